// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The checker of the soak finds violated guarantees, and nothing else.

use std::time::Duration;

use basaltarch_soak::checker::{
    CallerSample, ConfigChecker, FaultHistory, GuaranteeViolation, SeenAnswer, StepTimes,
};
use basaltarch_soak::operator::RequestedRoute;
use test_case::test_case;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Documents that were acknowledged every two seconds from the start.
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
    let found = check_all(&[sample(sent_ms, route, answer)], &FaultHistory::new(1));
    let late = late_ms.map(|millis| GuaranteeViolation::Late { after: at(millis) });
    assert_eq!(found, [late]);
}

#[test]
fn verify_a_disturbed_host_is_not_held_to_time_bounds() {
    let late = sample(10_500, RequestedRoute::Added(4), SeenAnswer::Missing);
    let mut history = FaultHistory::new(1);
    let handle = history.begin(&[0], false, at(7000));
    history.end(&handle, at(7600));
    assert_eq!(check_all(std::slice::from_ref(&late), &history), [None], "2.9 s ago");
    let mut history = FaultHistory::new(1);
    let handle = history.begin(&[], true, at(7000));
    assert_eq!(
        check_all(std::slice::from_ref(&late), &history),
        [None],
        "the fault of the store lasts"
    );
    history.end(&handle, at(7400));
    assert_ne!(check_all(std::slice::from_ref(&late), &history), [None], "3.1 s ago");
}

#[test]
fn verify_a_rollback_is_found_on_undisturbed_and_disturbed_hosts() {
    let shows = sample(8100, RequestedRoute::Added(4), SeenAnswer::ServedBy(0));
    let back = sample(8600, RequestedRoute::Added(4), SeenAnswer::Missing);
    let mut history = FaultHistory::new(1);
    history.begin(&[0], true, at(0));
    let found = check_all(&[shows.clone(), back.clone()], &history);
    assert_eq!(found, [None, Some(GuaranteeViolation::RolledBack)]);
    let soon = CallerSample { sent_at: at(8200), answered_at: at(8700), ..back.clone() };
    assert_eq!(check_all(&[shows.clone(), soon], &history), [None, None], "it was on its way");
    let restarted = CallerSample { incarnation: 2, ..back };
    assert_eq!(check_all(&[shows, restarted], &history), [None, None], "another incarnation");
}
