// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Report of the decision bench as Markdown tables.

use std::fmt::Write;
use std::time::Duration;

use crate::decisions::measure::RunResult;
use crate::decisions::rules::{RuleKind, PLAIN_RULES, RULES};
use crate::decisions::scenario::CASES;
use crate::decisions::suite::{self, RuleSummary, RunKey, SuitePlan};

/// Ratio of a rule's detection time to that of the best plain rule above which the rule counts as
/// slower in a case.
const SLOWER_FACTOR: f64 = 1.1;

const DETECTION_TITLE: &str = "Detection time, median (requests received; 99 in 100; share of \
                               runs in which the work stopped)";
const CALLERS_TITLE: &str = "Callers' failed and slow answers while the fault lasted";
const CAPACITY_TITLE: &str = "Lowest capacity in service over the floor, in any ingress's view; \
                              a dash where nothing was ejected";
const RETURN_TITLE: &str = "Median time from the end of the fault to the return, where it was out \
                            then";

/// `CaseRow` aggregates one case at one load over deployments, severities and seeds.
#[derive(Debug, Clone)]
pub struct CaseRow {
    /// Index of the case in [`CASES`].
    pub case: usize,
    /// Index of the load in [`SuitePlan::loads`].
    pub load: usize,
    /// Summary of each rule, in the order of [`RULES`].
    pub rules: Vec<(RuleKind, RuleSummary)>,
}

impl CaseRow {
    /// Returns the summary of a rule, or `None` if the suite did not run the rule.
    pub fn summary_of(&self, rule: RuleKind) -> Option<&RuleSummary> {
        self.rules.iter().find(|(kind, _)| *kind == rule).map(|(_, summary)| summary)
    }

    /// Returns the shortest median detection time of the plain rules.
    pub fn best_plain(&self) -> Option<Duration> {
        PLAIN_RULES.iter().filter_map(|rule| self.summary_of(*rule)?.detection_median).min()
    }
}

/// Aggregates results by case and load.
pub fn rows(plan: &SuitePlan, results: &[(RunKey, RunResult)]) -> Vec<CaseRow> {
    let mut rows = Vec::new();
    for &case in &plan.cases {
        for load in 0..plan.loads.len() {
            let rules = RULES
                .iter()
                .filter(|rule| plan.rules.contains(rule))
                .map(|rule| {
                    (
                        *rule,
                        summarize_rule(results, *rule, |key| key.case == case && key.load == load),
                    )
                })
                .collect();
            rows.push(CaseRow { case, load, rules });
        }
    }
    rows
}

/// Aggregates the results of a rule for whose keys `is_wanted` returns true.
pub fn summarize_rule(
    results: &[(RunKey, RunResult)],
    rule: RuleKind,
    is_wanted: impl Fn(&RunKey) -> bool,
) -> RuleSummary {
    let chosen: Vec<&(RunKey, RunResult)> =
        results.iter().filter(|(key, _)| key.rule == rule && is_wanted(key)).collect();
    let one_is_faulty = chosen.first().is_some_and(|(key, _)| CASES[key.case].one_is_faulty);
    suite::summarize(chosen.iter().map(|(_, result)| result), one_is_faulty)
}

fn format_time(time: Option<Duration>) -> String {
    match time {
        Some(time) if time >= Duration::from_secs(10) => format!("{:.1} s", time.as_secs_f64()),
        Some(time) => format!("{} ms", time.as_millis()),
        None => "never".to_owned(),
    }
}

/// Writes the whole report as Markdown.
pub fn markdown(plan: &SuitePlan, results: &[(RunKey, RunResult)]) -> String {
    let rows = rows(plan, results);
    let mut text = String::new();
    let faulty_rows: Vec<CaseRow> =
        rows.iter().filter(|row| CASES[row.case].one_is_faulty).cloned().collect();
    write_table(&mut text, plan, &faulty_rows, DETECTION_TITLE, detection_cell);
    write_table(&mut text, plan, &rows, "False ejections for each upstream-hour", |summary| {
        format!("{:.3}", summary.false_ejections_hour)
    });
    write_table(&mut text, plan, &rows, CALLERS_TITLE, callers_cell);
    write_table(&mut text, plan, &rows, CAPACITY_TITLE, capacity_cell);
    write_table(&mut text, plan, &faulty_rows, RETURN_TITLE, |summary| {
        format_time(summary.returned_median)
    });
    write_rules(&mut text, results);
    write_slower_cases(&mut text, plan, &rows);
    text
}

/// Writes a table with a line for each of `rows` and a column for each rule that ejects upstreams.
fn write_table(
    text: &mut String,
    plan: &SuitePlan,
    rows: &[CaseRow],
    title: &str,
    cell: impl Fn(&RuleSummary) -> String,
) {
    let _ = write!(text, "{title}\n\n| case | load |");
    for rule in RULES.iter().skip(1) {
        let _ = write!(text, " {} |", rule.name());
    }
    text.push_str("\n|---|---|---|---|---|---|---|\n");
    for row in rows {
        let _ = write!(text, "| {} | {} |", CASES[row.case].name, plan.loads[row.load].name);
        for rule in RULES.iter().skip(1) {
            let cell = row.summary_of(*rule).map_or("-".to_owned(), &cell);
            let _ = write!(text, " {cell} |");
        }
        text.push('\n');
    }
    text.push('\n');
}

fn detection_cell(summary: &RuleSummary) -> String {
    format!(
        "{} ({}; {}; {:.0}%)",
        format_time(summary.detection_median),
        summary.received_median,
        format_time(summary.detection_p99),
        100.0 * summary.detected_run_count as f64 / summary.run_count.max(1) as f64
    )
}

fn callers_cell(summary: &RuleSummary) -> String {
    format!("{:.2}%, {:.2}%", 100.0 * summary.failed_share, 100.0 * summary.slow_share)
}

/// Formats the fewest slots in service as a ratio to the floor, or a dash if no upstream was
/// ejected.
fn capacity_cell(summary: &RuleSummary) -> String {
    if summary.lowest_floor_ratio.is_finite() {
        format!("{:.2}", summary.lowest_floor_ratio)
    } else {
        "-".to_owned()
    }
}

fn write_rules(text: &mut String, results: &[(RunKey, RunResult)]) {
    text.push_str("Over all cases\n\n| rule | detection median | received | stopped | false ejections an upstream-hour | failed answers | slow answers | lowest over floor | floor broken | return median |\n|---|---|---|---|---|---|---|---|---|---|\n");
    for rule in RULES {
        let faulty_summary = summarize_rule(results, rule, |key| CASES[key.case].one_is_faulty);
        let rule_results: Vec<&RunResult> =
            results.iter().filter(|(key, _)| key.rule == rule).map(|(_, result)| result).collect();
        let overall_summary = suite::summarize(rule_results.into_iter(), false);
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} of {} | {:.3} | {:.3}% | {:.3}% | {:.2} | {} | {} |",
            rule.name(),
            format_time(faulty_summary.detection_median),
            faulty_summary.received_median,
            faulty_summary.detected_run_count,
            faulty_summary.run_count,
            overall_summary.false_ejections_hour,
            100.0 * overall_summary.failed_share,
            100.0 * overall_summary.slow_share,
            overall_summary.lowest_floor_ratio,
            overall_summary.floor_broken_run_count,
            format_time(faulty_summary.returned_median)
        );
    }
}

/// Returns the rows in which a rule of the daemon is slower than the best plain rule by over a
/// tenth. Each item holds the index of the case, the index of the load, the median detection time
/// of the plain rule, and the median detection time of the daemon's rule.
pub fn slower_cases(
    rows: &[CaseRow],
    rule: RuleKind,
) -> Vec<(usize, usize, Duration, Option<Duration>)> {
    rows.iter()
        .filter(|row| CASES[row.case].one_is_faulty)
        .filter_map(|row| {
            let best = row.best_plain()?;
            let median = row.summary_of(rule)?.detection_median;
            let is_slower = median
                .is_none_or(|median| median.as_secs_f64() > best.as_secs_f64() * SLOWER_FACTOR);
            is_slower.then_some((row.case, row.load, best, median))
        })
        .collect()
}

fn write_slower_cases(text: &mut String, plan: &SuitePlan, rows: &[CaseRow]) {
    text.push_str("\nCases in which a rule of the daemon's is slower than the best plain rule by more than a tenth\n\n");
    for rule in [RuleKind::Detection, RuleKind::Precision] {
        for (case, load, best, median) in slower_cases(rows, rule) {
            let _ = writeln!(
                text,
                "- {}: {}, {}: {} against {}",
                rule.name(),
                CASES[case].name,
                plan.loads[load].name,
                format_time(median),
                format_time(Some(best))
            );
        }
    }
}
