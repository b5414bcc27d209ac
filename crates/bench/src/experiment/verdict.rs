// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compares two builds over the days that both played.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use basaltarch_platform::report::DayReport;

use crate::experiment::plays::{DayKey, PlayedDay};

/// Standard errors from which a difference is called one: by chance once in twenty.
const ERRORS_TOLD: f64 = 2.0;
/// Prices whose means stay below this share of a day are not shown.
const PRICE_SHOWN_MIN: f64 = 0.0005;

/// `PairedFigure` is one figure over all pairs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PairedFigure {
    /// Mean with the first build.
    pub base: f64,
    /// Mean with the second.
    pub trial: f64,
    /// Standard error of the mean difference; none with fewer than two pairs.
    pub error: Option<f64>,
}

impl PairedFigure {
    /// Compares pairs of values; gives nothing without any.
    pub fn of(pairs: &[(f64, f64)]) -> Option<Self> {
        if pairs.is_empty() {
            return None;
        }
        let count = pairs.len() as f64;
        let base = pairs.iter().map(|pair| pair.0).sum::<f64>() / count;
        let trial = pairs.iter().map(|pair| pair.1).sum::<f64>() / count;
        let difference = trial - base;
        let squares: f64 = pairs.iter().map(|pair| (pair.1 - pair.0 - difference).powi(2)).sum();
        let error = (pairs.len() > 1).then(|| (squares / (count - 1.0) / count).sqrt());
        Some(Self { base, trial, error })
    }

    /// Returns the mean difference.
    pub fn difference(&self) -> f64 {
        self.trial - self.base
    }

    /// Says whether the difference is more than chance makes.
    pub fn is_told(&self) -> bool {
        self.error.is_some_and(|error| self.difference().abs() > ERRORS_TOLD * error)
    }
}

struct DayPair<'a> {
    key: &'a DayKey,
    base: &'a DayReport,
    trial: &'a DayReport,
}

/// Returns the comparison as text: a table for each site, one for all, and what went wrong.
pub fn table(played: &[PlayedDay]) -> String {
    let mut text = String::new();
    let pairs = pairs_of(played);
    let sites: BTreeSet<&str> = pairs.iter().map(|pair| pair.key.site.as_str()).collect();
    for site in &sites {
        let of_site: Vec<&DayPair> = pairs.iter().filter(|pair| pair.key.site == *site).collect();
        put_figures(&mut text, site, &of_site);
        let days: BTreeSet<&str> = of_site.iter().map(|pair| pair.key.day.as_str()).collect();
        for day in days {
            let of_day = of_site.iter().filter(|pair| pair.key.day == day).copied();
            let worths: Vec<_> = of_day.map(|pair| (pair.base.worth, pair.trial.worth)).collect();
            put_line(&mut text, &format!("  worth of {day}"), PairedFigure::of(&worths));
        }
    }
    if sites.len() > 1 {
        put_figures(&mut text, "all sites", &pairs.iter().collect::<Vec<_>>());
    }
    put_troubles(&mut text, played);
    text
}

fn pairs_of(played: &[PlayedDay]) -> Vec<DayPair<'_>> {
    let mut days: BTreeMap<&DayKey, [Option<&DayReport>; 2]> = BTreeMap::new();
    for day in played {
        let place = days.entry(&day.key).or_default().get_mut(day.build);
        if let (Some(place), Ok(report)) = (place, &day.outcome) {
            *place = Some(report);
        }
    }
    let whole = days.into_iter().filter_map(|(key, reports)| match reports {
        [Some(base), Some(trial)] => Some(DayPair { key, base, trial }),
        _ => None,
    });
    whole.collect()
}

fn put_figures(text: &mut String, title: &str, pairs: &[&DayPair<'_>]) {
    put(text, format_args!("{title}: {} pairs", pairs.len()));
    let mut figure = |name: &str, read: &dyn Fn(&DayReport) -> f64| {
        let values: Vec<_> = pairs.iter().map(|pair| (read(pair.base), read(pair.trial))).collect();
        put_line(text, name, PairedFigure::of(&values));
    };
    figure("worth", &|report| report.worth);
    figure("served", &|report| report.served);
    figure("refused", &|report| report.refused);
    figure("failed", &|report| report.failed);
    let lines = pairs.iter().flat_map(|pair| pair.base.prices.iter().chain(&pair.trial.prices));
    let shown = lines.filter(|line| line.share >= PRICE_SHOWN_MIN);
    let names: BTreeSet<&str> = shown.map(|line| line.name.as_str()).collect();
    for name in names {
        figure(&format!("price: {name}"), &|report| price_of(report, name));
    }
}

fn price_of(report: &DayReport, name: &str) -> f64 {
    report.prices.iter().filter(|line| line.name == name).map(|line| line.share).sum()
}

fn put_line(text: &mut String, name: &str, figure: Option<PairedFigure>) {
    let figure = match figure {
        Some(figure) => figure,
        None => return,
    };
    let error = figure.error.map_or("-".to_owned(), |error| format!("{error:.4}"));
    let mark = if figure.is_told() { "*" } else { "" };
    let PairedFigure { base, trial, .. } = figure;
    let difference = figure.difference();
    put(
        text,
        format_args!("  {name:<46} {base:>8.4} {trial:>8.4} {difference:>+9.4} ±{error} {mark}"),
    );
}

/// Lists days without a report, with a fault or with a broken rule.
fn put_troubles(text: &mut String, played: &[PlayedDay]) {
    for PlayedDay { key, build, outcome } in played {
        let what = match outcome {
            Err(message) => message.clone(),
            Ok(report) => match (&report.fault, report.broken.is_empty()) {
                (Some(fault), _) => format!("fault: {fault}"),
                (None, false) => format!("broken: {}", report.broken.join(", ")),
                (None, true) => continue,
            },
        };
        let build = if *build == 0 { "first" } else { "second" };
        let seed = key.seed.map_or("own".to_owned(), |seed| seed.to_string());
        put(text, format_args!("{} {} seed {seed}, {build} build: {what}", key.site, key.day));
    }
}

fn put(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").unwrap_or_else(|_| unreachable!("a text takes everything"));
}
