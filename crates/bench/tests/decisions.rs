// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs the decision bench, whose figures are deterministic, in CI. Guards against changes of the
//! decision code by which faulty upstreams are ejected later, or more healthy upstreams are
//! ejected.

use basaltarch_bench::decisions::rules::RuleKind;
use basaltarch_bench::decisions::scenario::{CASES, DEPLOYMENTS, LOADS};
use basaltarch_bench::decisions::{bounds, report, suite};
use test_case::test_case;

#[test]
fn verify_targets_and_regression_bounds_hold() {
    let plan = bounds::gate_suite();
    let results = suite::run(&plan);
    if let Err(error) = bounds::check(&plan, &results) {
        panic!("{error}\n{}", report::markdown(&plan, &results));
    }
}

#[test]
fn verify_a_run_gives_the_same_figures_again() {
    let mut plan = bounds::gate_suite();
    plan.cases = vec![0, 12];
    plan.deployments = vec![DEPLOYMENTS[1]];
    let run_figures = |plan| {
        let results = suite::run(plan);
        results.iter().map(|(key, result)| format!("{key:?} {result:?}")).collect::<Vec<_>>()
    };
    assert_eq!(run_figures(&plan), run_figures(&plan));
}

#[test_case("health endpoint lies")]
#[test_case("load endpoint lies")]
fn verify_lying_endpoints_change_no_decision(case: &str) {
    let run_case = |case: &str, severities: Vec<usize>, rules: Vec<RuleKind>| {
        let mut plan = bounds::gate_suite();
        plan.cases = (0..CASES.len()).filter(|each| CASES[*each].name == case).collect();
        plan.deployments = vec![DEPLOYMENTS[1], DEPLOYMENTS[3]];
        plan.severities = severities;
        plan.rules = rules;
        suite::run(&plan)
    };
    let daemon_rules = vec![RuleKind::Detection, RuleKind::Precision];
    // At the middle severity of `errors`, half of the requests fail. The same share fails at an
    // upstream whose endpoint reports wrongly.
    let honest = run_case("errors", vec![2], daemon_rules.clone());
    for severity in 0..suite::SEVERITY_COUNT {
        let lying = run_case(case, vec![severity], daemon_rules.clone());
        for ((_, lying), (_, honest)) in lying.iter().zip(&honest) {
            assert_eq!(format!("{lying:?}"), format!("{honest:?}"));
        }
    }
    let probes = run_case(case, vec![4], vec![RuleKind::Probes]);
    assert!(
        probes.iter().all(|(_, result)| result.detection_time.is_none()),
        "probes detect nothing"
    );
}

#[test]
fn verify_nothing_healthy_is_ejected_by_precision_in_healthy_hours() {
    let mut plan = bounds::whole_suite(3);
    plan.cases = (0..CASES.len()).filter(|case| CASES[*case].name == "healthy").collect();
    plan.severities = vec![0];
    plan.loads = LOADS.to_vec();
    plan.rules = vec![RuleKind::Precision, RuleKind::Detection];
    let results = suite::run(&plan);
    let false_ejections =
        |rule| report::summarize_rule(&results, rule, |_| true).false_ejections_hour;
    assert_eq!(false_ejections(RuleKind::Precision), 0.0);
    assert!(false_ejections(RuleKind::Detection) < 0.1, "{}", false_ejections(RuleKind::Detection));
}
