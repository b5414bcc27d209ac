// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The suites of the decision bench, and the bounds that gate CI.

use std::time::Duration;

use crate::decisions::measure::RunResult;
use crate::decisions::report::{self, CaseRow};
use crate::decisions::rules::{RuleKind, PLAIN_RULES, RULES};
use crate::decisions::scenario::{CASES, DEPLOYMENTS, LOADS};
use crate::decisions::suite::{RunKey, SuitePlan};
use crate::errors::BenchError;

/// Factor by which `detection` must detect faults sooner than the best plain rule.
const DETECTION_SPEEDUP_MIN: f64 = 3.0;
/// Factor by which `precision` must have fewer false ejections than the best plain rule.
const FALSE_EJECTION_FACTOR_MIN: f64 = 10.0;
/// Maximum median detection time of `detection` over the suite of the gate.
///
/// This bound and the three bounds that follow allow a seventh more than the measured figures in
/// docs/MEASUREMENTS.md, as floating-point results differ between processors.
pub const DETECTION_MEDIAN_MAX: Duration = Duration::from_millis(680);
/// Maximum median detection time of `precision` over the suite of the gate.
pub const PRECISION_MEDIAN_MAX: Duration = Duration::from_millis(1370);
/// Maximum number of false ejections per upstream-hour of `detection`.
pub const DETECTION_FALSE_MAX: f64 = 0.04;
/// Maximum number of false ejections per upstream-hour of `precision`.
pub const PRECISION_FALSE_MAX: f64 = 0.005;

/// Number of seeds of the gate. Two seeds are too few: with two, the median detection times of
/// equally good variants of `detection` scatter by chance between 443 and 584 ms.
const GATE_SEEDS: u64 = 4;

/// Returns the whole suite: every case, severity, load and deployment.
pub fn whole_suite(seeds: u64) -> SuitePlan {
    SuitePlan {
        cases: (0..CASES.len()).collect(),
        severities: (0..5).collect(),
        loads: LOADS.to_vec(),
        deployments: DEPLOYMENTS.to_vec(),
        rules: RULES.to_vec(),
        seeds: (1..=seeds).collect(),
        threshold: None,
    }
}

/// Returns the suite that gates CI: every case and deployment at the middle severity and load.
pub fn gate_suite() -> SuitePlan {
    SuitePlan { severities: vec![2], loads: vec![LOADS[1]], ..whole_suite(GATE_SEEDS) }
}

/// Returns the plain rule with the shortest median detection time over all cases, the median
/// detection time of the rule, and its false ejections per upstream-hour.
pub fn best_plain(results: &[(RunKey, RunResult)]) -> Option<(RuleKind, Duration, f64)> {
    let is_faulty_case = |key: &RunKey| CASES[key.case].one_is_faulty;
    let timed_rules = PLAIN_RULES.iter().filter_map(|rule| {
        let median = report::summarize_rule(results, *rule, is_faulty_case).detection_median?;
        let false_rate = report::summarize_rule(results, *rule, |_| true).false_ejections_hour;
        Some((*rule, median, false_rate))
    });
    timed_rules.min_by_key(|(_, median, _)| *median)
}

/// Checks that the rules of the daemon keep their bounds and surpass the best plain rule by the
/// required factors, and that no run broke the floor.
pub fn check(plan: &SuitePlan, results: &[(RunKey, RunResult)]) -> Result<(), BenchError> {
    let broken_runs = results.iter().filter(|(_, result)| result.floor_broken).count();
    require(broken_runs == 0, format!("ejections broke the floor in {broken_runs} runs"))?;
    let (plain_rule, plain_median, plain_false) = best_plain(results)
        .ok_or(BenchError::Bound { message: "no plain rule detected a fault".to_owned() })?;
    let is_faulty_case = |key: &RunKey| CASES[key.case].one_is_faulty;
    for (rule, median_max, false_max) in [
        (RuleKind::Detection, DETECTION_MEDIAN_MAX, DETECTION_FALSE_MAX),
        (RuleKind::Precision, PRECISION_MEDIAN_MAX, PRECISION_FALSE_MAX),
    ] {
        let name = rule.name();
        let median = report::summarize_rule(results, rule, is_faulty_case).detection_median;
        let median = median.unwrap_or(Duration::MAX);
        let false_rate = report::summarize_rule(results, rule, |_| true).false_ejections_hour;
        require(
            median <= median_max,
            format!("{name}: median detection time {median:?} exceeds {median_max:?}"),
        )?;
        require(
            false_rate <= false_max,
            format!("{name}: {false_rate:.3} false ejections per upstream-hour exceed {false_max}"),
        )?;
        let speedup = plain_median.as_secs_f64() / median.as_secs_f64();
        let fewer_factor = plain_false / false_rate.max(1e-9);
        let speedup_min = if rule == RuleKind::Detection { DETECTION_SPEEDUP_MIN } else { 1.0 };
        let fewer_factor_min =
            if rule == RuleKind::Precision { FALSE_EJECTION_FACTOR_MIN } else { 1.0 };
        require(
            speedup >= speedup_min && fewer_factor >= fewer_factor_min,
            format!(
                "{name}: {speedup:.1} times faster, {fewer_factor:.1} times fewer false ejections than {}",
                plain_rule.name()
            ),
        )?;
    }
    check_slower_cases(&report::rows(plan, results))
}

/// Cases in which `detection` may be slower than the best plain rule.
///
/// - `mixed routes, slow`: by chance, the outlier rule has already ejected the upstream before the
///   fault begins.
/// - `stuck`: under a plain rule, stuck requests hold the slots until the requests time out, so the
///   upstream takes no more requests whatever the rule decides. The daemon cancels slow attempts,
///   which frees the slots. So the upstream receives requests until the daemon ejects it, but
///   callers wait less.
/// - `stuck from its start`: the reason is that of `stuck`; in addition, the hang detector allows a
///   cold upstream more time.
/// - `quick errors`: under a plain rule, the upstream attracts traffic by failing quickly, and so
///   reaches five failures sooner, at the cost of callers.
const KNOWN_SLOWER_CASES: [&str; 4] =
    ["mixed routes, slow", "stuck", "stuck from its start", "quick errors"];

fn check_slower_cases(rows: &[CaseRow]) -> Result<(), BenchError> {
    for (case, _, best, median) in report::slower_cases(rows, RuleKind::Detection) {
        let name = CASES[case].name;
        require(
            KNOWN_SLOWER_CASES.contains(&name),
            format!(
                "detection is slower than the best plain rule in {name}: {median:?} against {best:?}"
            ),
        )?;
    }
    Ok(())
}

fn require(holds: bool, message: String) -> Result<(), BenchError> {
    if holds {
        return Ok(());
    }
    Err(BenchError::Bound { message })
}
