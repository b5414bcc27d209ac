// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compares two builds over the days that both have completed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use basaltarch_platform::report::DayReport;

use crate::experiment::day_runs::{DayKey, DayRun};

/// Number of standard errors above which a difference counts as significant. Chance alone exceeds
/// this bound once in twenty comparisons.
const SIGNIFICANT_ERRORS: f64 = 2.0;
/// Least share of a price in any report for which the table shows the price.
const PRICE_SHOWN_MIN: f64 = 0.0005;

/// `PairedFigure` is the comparison of one figure over pairs of runs with the two builds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PairedFigure {
    /// Mean of the figure with the baseline build.
    pub base: f64,
    /// Mean of the figure with the build under test.
    pub trial: f64,
    /// Standard error of the mean difference; `None` with fewer than two pairs.
    pub standard_error: Option<f64>,
}

impl PairedFigure {
    /// Compares pairs of values, of the baseline build first; returns `None` without any pairs.
    pub fn of(pairs: &[(f64, f64)]) -> Option<Self> {
        if pairs.is_empty() {
            return None;
        }
        let count = pairs.len() as f64;
        let base = pairs.iter().map(|pair| pair.0).sum::<f64>() / count;
        let trial = pairs.iter().map(|pair| pair.1).sum::<f64>() / count;
        let difference = trial - base;
        let squares: f64 = pairs.iter().map(|pair| (pair.1 - pair.0 - difference).powi(2)).sum();
        let standard_error = (pairs.len() > 1).then(|| (squares / (count - 1.0) / count).sqrt());
        Some(Self { base, trial, standard_error })
    }

    /// Returns the mean difference of the build under test from the baseline build.
    pub fn difference(&self) -> f64 {
        self.trial - self.base
    }

    /// Returns whether the difference is statistically significant.
    pub fn is_significant(&self) -> bool {
        self.standard_error.is_some_and(|standard_error| {
            self.difference().abs() > SIGNIFICANT_ERRORS * standard_error
        })
    }
}

struct DayPair<'a> {
    key: &'a DayKey,
    base: &'a DayReport,
    trial: &'a DayReport,
}

/// Returns the comparison as text: a table for each site, a table for all sites if there are
/// several, and the list of failed runs.
pub fn table(runs: &[DayRun]) -> String {
    let mut text = String::new();
    let pairs = pairs_of(runs);
    let sites: BTreeSet<&str> = pairs.iter().map(|pair| pair.key.site.as_str()).collect();
    for site in &sites {
        let site_pairs: Vec<&DayPair> =
            pairs.iter().filter(|pair| pair.key.site == *site).collect();
        write_figures(&mut text, site, &site_pairs);
        let days: BTreeSet<&str> = site_pairs.iter().map(|pair| pair.key.day.as_str()).collect();
        for day in days {
            let day_pairs = site_pairs.iter().filter(|pair| pair.key.day == day).copied();
            let worth_pairs: Vec<_> =
                day_pairs.map(|pair| (pair.base.worth, pair.trial.worth)).collect();
            write_row(&mut text, &format!("  worth of {day}"), PairedFigure::of(&worth_pairs));
        }
    }
    if sites.len() > 1 {
        write_figures(&mut text, "all sites", &pairs.iter().collect::<Vec<_>>());
    }
    write_failures(&mut text, runs);
    text
}

fn pairs_of(runs: &[DayRun]) -> Vec<DayPair<'_>> {
    let mut days: BTreeMap<&DayKey, [Option<&DayReport>; 2]> = BTreeMap::new();
    for day in runs {
        let entry = days.entry(&day.key).or_default().get_mut(day.build);
        if let (Some(entry), Ok(report)) = (entry, &day.outcome) {
            *entry = Some(report);
        }
    }
    let complete = days.into_iter().filter_map(|(key, reports)| match reports {
        [Some(base), Some(trial)] => Some(DayPair { key, base, trial }),
        _ => None,
    });
    complete.collect()
}

fn write_figures(text: &mut String, title: &str, pairs: &[&DayPair<'_>]) {
    write_line(text, format_args!("{title}: {} pairs", pairs.len()));
    let mut write_figure = |name: &str, read: &dyn Fn(&DayReport) -> f64| {
        let values: Vec<_> = pairs.iter().map(|pair| (read(pair.base), read(pair.trial))).collect();
        write_row(text, name, PairedFigure::of(&values));
    };
    write_figure("worth", &|report| report.worth);
    write_figure("served", &|report| report.served);
    write_figure("refused", &|report| report.refused);
    write_figure("failed", &|report| report.failed);
    let lines = pairs.iter().flat_map(|pair| pair.base.prices.iter().chain(&pair.trial.prices));
    let shown = lines.filter(|line| line.share >= PRICE_SHOWN_MIN);
    let names: BTreeSet<&str> = shown.map(|line| line.name.as_str()).collect();
    for name in names {
        write_figure(&format!("price: {name}"), &|report| price_of(report, name));
    }
}

fn price_of(report: &DayReport, name: &str) -> f64 {
    report.prices.iter().filter(|line| line.name == name).map(|line| line.share).sum()
}

fn write_row(text: &mut String, name: &str, figure: Option<PairedFigure>) {
    let figure = match figure {
        Some(figure) => figure,
        None => return,
    };
    let standard_error = figure
        .standard_error
        .map_or("-".to_owned(), |standard_error| format!("{standard_error:.4}"));
    let significance = if figure.is_significant() { "*" } else { "" };
    let PairedFigure { base, trial, .. } = figure;
    let difference = figure.difference();
    write_line(
        text,
        format_args!("  {name:<46} {base:>8.4} {trial:>8.4} {difference:>+9.4} ±{standard_error} {significance}"),
    );
}

/// Lists the runs that have no report, or whose report states a fault or a broken rule.
fn write_failures(text: &mut String, runs: &[DayRun]) {
    for DayRun { key, build, outcome } in runs {
        let failure = match outcome {
            Err(message) => message.clone(),
            Ok(report) => match (&report.fault, report.broken.is_empty()) {
                (Some(fault), _) => format!("fault: {fault}"),
                (None, false) => format!("broken: {}", report.broken.join(", ")),
                (None, true) => continue,
            },
        };
        let build = if *build == 0 { "first" } else { "second" };
        let seed = key.seed.map_or("own".to_owned(), |seed| seed.to_string());
        write_line(
            text,
            format_args!("{} {} seed {seed}, {build} build: {failure}", key.site, key.day),
        );
    }
}

fn write_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").unwrap_or_else(|_| unreachable!("writing to a string doesn't fail"));
}
