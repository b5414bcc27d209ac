// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Guards against an experiment that calls a chance difference between two builds significant,
//! compares days that only one of the builds completed, or hides runs that failed.

use basaltarch_bench::experiment::day_runs::{DayKey, DayRun};
use basaltarch_bench::experiment::verdict::{self, PairedFigure};
use basaltarch_platform::report::DayReport;
use test_case::test_case;

#[test_case(&[(0.1, 0.2), (0.4, 0.5), (0.2, 0.3)], true ; "the same gain on days that differ")]
#[test_case(&[(0.1, 0.4), (0.4, 0.1), (0.2, 0.35)], false ; "up and down")]
#[test_case(&[(0.1, 0.9)], false ; "one pair alone")]
fn verify_a_difference_is_significant_beyond_its_spread(
    pairs: &[(f64, f64)],
    is_significant: bool,
) {
    let figure = PairedFigure::of(pairs).expect("pairs");
    assert_eq!(figure.is_significant(), is_significant, "{figure:?}");
}

fn day_run(seed: u64, build: usize, outcome: Result<f64, &str>) -> DayRun {
    let key = DayKey { site: "site".to_owned(), day: "day-1".to_owned(), seed: Some(seed) };
    let report = |worth| DayReport {
        worth,
        served: 0.5,
        refused: 0.0,
        failed: 0.0,
        prices: Vec::new(),
        broken: if worth < 0.0 { vec!["FLOOR".to_owned()] } else { Vec::new() },
        fault: None,
    };
    DayRun { key, build, outcome: outcome.map(report).map_err(str::to_owned) }
}

#[test]
fn verify_days_that_one_build_did_not_run_are_left_out_and_reported() {
    let days = [
        day_run(1, 0, Ok(0.2)),
        day_run(1, 1, Ok(0.3)),
        day_run(2, 0, Ok(0.9)),
        day_run(2, 1, Err("no report")),
        day_run(3, 0, Ok(0.2)),
        day_run(3, 1, Ok(-0.1)),
    ];
    let text = verdict::table(&days);
    assert!(text.contains("site: 2 pairs"), "{text}");
    assert!(text.contains("seed 2, second build: no report"), "{text}");
    assert!(text.contains("seed 3, second build: broken: FLOOR"), "{text}");
}
