// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Feeds hand-written samples to the checker of the soak. Guards against a checker that overlooks
//! an outdated or rolled-back configuration. Guards also against a checker that reports a violation
//! although the allowed delay, a fault or a restart explains the response.

use std::time::Duration;

use basaltarch_soak::checker::{
    CallerSample, ConfigChecker, FaultHistory, GuaranteeViolation, SeenAnswer, StepTimes,
};
use basaltarch_soak::operator::RequestedRoute;
use test_case::test_case;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the times of eight steps: one step every two seconds from the start of the run. The
/// document of each step is acknowledged at the time at which it is sent.
fn steps() -> Vec<StepTimes> {
    let step =
        |number: u64| StepTimes { sent_at: at(number * 2000), acked_at: Some(at(number * 2000)) };
    (0..8).map(step).collect()
}

fn sample(sent_ms: u64, route: RequestedRoute, answer: SeenAnswer) -> CallerSample {
    CallerSample {
        host: 0,
        incarnation: 1,
        id: "asked".to_owned(),
        sent_at: at(sent_ms),
        answered_at: at(sent_ms + 1),
        route,
        answer,
    }
}

fn check_all(samples: &[CallerSample], history: &FaultHistory) -> Vec<Option<GuaranteeViolation>> {
    let mut checker = ConfigChecker::new(1);
    samples.iter().map(|sample| checker.check(sample, &steps(), history)).collect()
}

#[test_case(9900, RequestedRoute::Added(4), SeenAnswer::Missing, None ; "an added route may be missing for two seconds")]
#[test_case(10_500, RequestedRoute::Added(4), SeenAnswer::Missing, Some(2500) ; "and no longer")]
#[test_case(9500, RequestedRoute::Added(0), SeenAnswer::ServedBy(0), None ; "a removed route may be served for two seconds")]
#[test_case(10_700, RequestedRoute::Added(0), SeenAnswer::ServedBy(0), Some(2700) ; "no longer either")]
#[test_case(9500, RequestedRoute::Moved, SeenAnswer::ServedBy(1), None ; "the service of the document before")]
#[test_case(10_400, RequestedRoute::Moved, SeenAnswer::ServedBy(0), None ; "the service of the newest document that must be in force")]
#[test_case(10_500, RequestedRoute::Added(4), SeenAnswer::Inconclusive, None ; "a refusal as not run shows nothing")]
#[test_case(500, RequestedRoute::Steady, SeenAnswer::Missing, Some(500) ; "a route that was never missing")]
fn verify_late_answers_of_undisturbed_hosts_are_found(
    sent_ms: u64,
    route: RequestedRoute,
    answer: SeenAnswer,
    late_ms: Option<u64>,
) {
    let violations = check_all(&[sample(sent_ms, route, answer)], &FaultHistory::new(1));
    let late = late_ms.map(|millis| GuaranteeViolation::Late { delay: at(millis) });
    assert_eq!(violations, [late]);
}

#[test]
fn verify_a_disturbed_host_is_not_held_to_time_bounds() {
    let late = sample(10_500, RequestedRoute::Added(4), SeenAnswer::Missing);
    let mut history = FaultHistory::new(1);
    let handle = history.begin_fault(&[0], false, at(7000));
    history.end_fault(&handle, at(7600));
    assert_eq!(
        check_all(std::slice::from_ref(&late), &history),
        [None],
        "the fault ended 2.9 s before the request"
    );
    let mut history = FaultHistory::new(1);
    let handle = history.begin_fault(&[], true, at(7000));
    assert_eq!(
        check_all(std::slice::from_ref(&late), &history),
        [None],
        "the fault of the store still lasts"
    );
    history.end_fault(&handle, at(7400));
    assert_ne!(
        check_all(std::slice::from_ref(&late), &history),
        [None],
        "the fault ended 3.1 s before the request"
    );
}

#[test]
fn verify_a_rollback_is_found_on_undisturbed_and_disturbed_hosts() {
    let newer = sample(8100, RequestedRoute::Added(4), SeenAnswer::ServedBy(0));
    let older = sample(8600, RequestedRoute::Added(4), SeenAnswer::Missing);
    let mut history = FaultHistory::new(1);
    history.begin_fault(&[0], true, at(0));
    let violations = check_all(&[newer.clone(), older.clone()], &history);
    assert_eq!(violations, [None, Some(GuaranteeViolation::RolledBack)]);
    let in_flight = CallerSample { sent_at: at(8200), answered_at: at(8700), ..older.clone() };
    assert_eq!(
        check_all(&[newer.clone(), in_flight], &history),
        [None, None],
        "sent within the slack after the newer document"
    );
    let restarted = CallerSample { incarnation: 2, ..older };
    assert_eq!(check_all(&[newer, restarted], &history), [None, None], "the daemon was restarted");
}
