// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The judge finds what breaks a promise, and nothing else.

use std::time::Duration;

use basaltarch_soak::judge::{
    BrokenPromise, CallerSample, ConfigJudge, SeenAnswer, StepTimes, TouchRecord,
};
use basaltarch_soak::operator::AskedRoute;
use test_case::test_case;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Documents that were acknowledged each two seconds from the start.
fn steps() -> Vec<StepTimes> {
    let step =
        |number: u64| StepTimes { sent_at: at(number * 2000), acked_at: Some(at(number * 2000)) };
    (0..8).map(step).collect()
}

fn sample(sent_ms: u64, route: AskedRoute, answer: SeenAnswer) -> CallerSample {
    CallerSample {
        host: 0,
        start: 1,
        id: "asked".to_owned(),
        sent_at: at(sent_ms),
        answered_at: at(sent_ms + 1),
        route,
        answer,
    }
}

fn judge_all(samples: &[CallerSample], touch: &TouchRecord) -> Vec<Option<BrokenPromise>> {
    let mut judge = ConfigJudge::new(1);
    samples.iter().map(|sample| judge.take(sample, &steps(), touch)).collect()
}

#[test_case(9900, AskedRoute::Added(4), SeenAnswer::Missing, None ; "an added route may be missing for two seconds")]
#[test_case(10_500, AskedRoute::Added(4), SeenAnswer::Missing, Some(2500) ; "and no longer")]
#[test_case(9500, AskedRoute::Added(0), SeenAnswer::ServedBy(0), None ; "a removed route may be served for two seconds")]
#[test_case(10_700, AskedRoute::Added(0), SeenAnswer::ServedBy(0), Some(2700) ; "no longer either")]
#[test_case(9500, AskedRoute::Moved, SeenAnswer::ServedBy(1), None ; "the service of the document before")]
#[test_case(10_400, AskedRoute::Moved, SeenAnswer::ServedBy(0), None ; "the service of the newest document that binds")]
#[test_case(10_500, AskedRoute::Added(4), SeenAnswer::NoWord, None ; "a refusal as not run says nothing")]
#[test_case(500, AskedRoute::Steady, SeenAnswer::Missing, Some(500) ; "a route that was never missing")]
fn verify_late_answers_of_hosts_in_touch_are_found(
    sent_ms: u64,
    route: AskedRoute,
    answer: SeenAnswer,
    late_ms: Option<u64>,
) {
    let found = judge_all(&[sample(sent_ms, route, answer)], &TouchRecord::new(1));
    let late = late_ms.map(|millis| BrokenPromise::Late { after: at(millis) });
    assert_eq!(found, [late]);
}

#[test]
fn verify_a_host_that_was_troubled_is_not_held_to_times() {
    let late = sample(10_500, AskedRoute::Added(4), SeenAnswer::Missing);
    let mut touch = TouchRecord::new(1);
    let mark = touch.begin(&[0], false, at(7000));
    touch.end(&mark, at(7600));
    assert_eq!(judge_all(std::slice::from_ref(&late), &touch), [None], "2.9 s ago");
    let mut touch = TouchRecord::new(1);
    let mark = touch.begin(&[], true, at(7000));
    assert_eq!(judge_all(std::slice::from_ref(&late), &touch), [None], "the store still is");
    touch.end(&mark, at(7400));
    assert_ne!(judge_all(std::slice::from_ref(&late), &touch), [None], "3.1 s ago");
}

#[test]
fn verify_a_daemon_that_goes_back_is_found_in_touch_or_not() {
    let shows = sample(8100, AskedRoute::Added(4), SeenAnswer::ServedBy(0));
    let back = sample(8600, AskedRoute::Added(4), SeenAnswer::Missing);
    let mut touch = TouchRecord::new(1);
    touch.begin(&[0], true, at(0));
    let found = judge_all(&[shows.clone(), back.clone()], &touch);
    assert_eq!(found, [None, Some(BrokenPromise::WentBack)]);
    let soon = CallerSample { sent_at: at(8200), answered_at: at(8700), ..back.clone() };
    assert_eq!(judge_all(&[shows.clone(), soon], &touch), [None, None], "it was on its way");
    let restarted = CallerSample { start: 2, ..back };
    assert_eq!(judge_all(&[shows, restarted], &touch), [None, None], "another start");
}
