// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The circuit breaker of an upstream, and the choice of an upstream when some circuit breakers are
//! open. Guards against non-repeatable requests that are lost at a failing upstream, and against an
//! upstream that gets no requests long after the end of its fault.

use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::balance::{ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::breaker::{FailureBreaker, FailureKind};
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::health::{AdmitVerdict, DispatchTerms, HealthReport, UpstreamHealth};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Longest time for which an upstream may get no request while the service turns requests away.
const IDLE_TIME_MAX: Duration = Duration::from_secs(2);

/// Offers a repeatable request every 50 ms until the breaker closes, to an upstream that fails for
/// `faulty_for`. Returns how long the breaker was open and how many requests failed.
fn run_trials(
    breaker: &mut FailureBreaker,
    from: Duration,
    faulty_for: Duration,
) -> (Duration, u32) {
    let mut failed = 0;
    let mut now = from;
    while breaker.is_open() {
        now += millis(50);
        assert!(now < from + Duration::from_secs(30), "the breaker never closed");
        if !breaker.admit(true, now) {
            continue;
        }
        if now < from + faulty_for {
            breaker.note_failure(FailureKind::Broken, now, now);
            failed += 1;
        } else {
            breaker.note_success(now, now);
        }
    }
    (now - from, failed)
}

#[test_case(0, 500, 0 ; "a single broken connection")]
#[test_case(300, 2000, 1 ; "failing for a moment")]
#[test_case(2700, 5000, 4 ; "failing for some seconds")]
#[test_case(20_000, 22_000, 15 ; "failing for long")]
fn verify_the_breaker_closes_soon_after_the_fault_and_few_trials_fail(
    fault_ms: u64,
    closed_within_ms: u64,
    max_failed: u32,
) {
    let mut breaker = FailureBreaker::default();
    assert!(breaker.admit(false, millis(0)));
    assert!(
        breaker.note_failure(FailureKind::Broken, millis(0), millis(0)),
        "one broken connection is enough"
    );
    assert!(!breaker.admit(false, millis(10)), "non-repeatable requests are refused");
    let (open_time, failed) = run_trials(&mut breaker, millis(0), millis(fault_ms));
    assert!(open_time <= millis(closed_within_ms), "{open_time:?}");
    assert!(failed <= max_failed, "{failed}");
    assert!(breaker.admit(false, open_time));
}

#[test]
fn verify_one_error_does_not_open_the_breaker_but_two_in_a_row_do() {
    let mut breaker = FailureBreaker::default();
    for number in 0..10 {
        assert!(!breaker.note_failure(FailureKind::Answered, millis(number), millis(number)));
        breaker.note_success(millis(number), millis(number));
    }
    breaker.note_failure(FailureKind::Answered, millis(20), millis(20));
    assert!(breaker.note_failure(FailureKind::Answered, millis(21), millis(21)));
    assert!(breaker.is_open());
}

#[test]
fn verify_a_non_repeatable_request_becomes_the_trial_where_no_other_comes() {
    let mut breaker = FailureBreaker::default();
    breaker.note_failure(FailureKind::Broken, millis(0), millis(0));
    assert!(!breaker.admit(false, millis(1000)));
    assert!(breaker.admit(false, millis(4000)));
    assert!(!breaker.admit(false, millis(4010)), "only one trial at a time");
}

fn terms(repeatable: bool, passable: bool) -> DispatchTerms<'static> {
    let baseline = ServiceBaseline::default();
    // No upstream can be taken out of service, as when the capacity floor is reached.
    DispatchTerms { route: "r", refusable: false, repeatable, passable, baseline }
}

#[test_case(FailureKind::TimedOut ; "by its timeout")]
#[test_case(FailureKind::Broken ; "with its connection")]
fn verify_the_late_end_of_requests_that_hung_before_the_opening_postpones_no_trial(
    kind: FailureKind,
) {
    let mut breaker = FailureBreaker::default();
    assert!(breaker.note_hang(millis(1000)));
    let trial_in = breaker.trial_in(millis(1100));
    for number in 0..8 {
        breaker.note_failure(kind, millis(number), millis(1100));
    }
    assert_eq!(breaker.trial_in(millis(1100)), trial_in);
}

#[test]
fn verify_trials_that_hang_do_not_keep_others_away() {
    let mut breaker = FailureBreaker::default();
    breaker.note_hang(millis(0));
    let timeout = millis(4000);
    let mut running: Vec<Duration> = Vec::new();
    let mut last_trial_at = millis(0);
    for now in (0..60_000).step_by(10).map(millis) {
        running.retain(|started| {
            let has_timed_out = now >= *started + timeout;
            if has_timed_out {
                breaker.note_failure(FailureKind::TimedOut, *started, now);
            }
            !has_timed_out
        });
        if breaker.admit(true, now) {
            running.push(now);
            last_trial_at = now;
        }
        assert!(now - last_trial_at <= IDLE_TIME_MAX, "no trial from {last_trial_at:?} to {now:?}");
    }
}

#[test]
fn verify_requests_that_hung_before_the_trials_do_not_open_the_breaker_again() {
    let mut breaker = FailureBreaker::default();
    breaker.note_hang(millis(1000));
    breaker.note_success(millis(1300), millis(1400));
    assert!(breaker.note_success(millis(1500), millis(1600)).is_some(), "the breaker closes");
    for number in 0..8 {
        let started = millis(900 + 50 * number);
        assert!(!breaker.note_failure(FailureKind::TimedOut, started, millis(5000)));
    }
    let after_trials = millis(1350);
    assert!(!breaker.note_failure(FailureKind::TimedOut, after_trials, millis(5000)));
    assert!(breaker.note_failure(FailureKind::TimedOut, after_trials, millis(5000)));
}

#[test]
fn verify_an_open_breaker_declines_requests_but_the_last_upstream_tried_admits_them() {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.note_end(Some(FailureKind::Broken), millis(0), millis(0));
    let mut verdict =
        |repeatable, passable| health.admit(&terms(repeatable, passable), millis(10)).0;
    assert_eq!(verdict(false, true), AdmitVerdict::Refuse);
    assert_eq!(verdict(true, true), AdmitVerdict::Refuse, "no trial is due yet");
    assert_eq!(verdict(false, false), AdmitVerdict::Admit, "no capacity is taken out of service");
    assert!(!health.is_ejected());
    assert!(health.report("r", millis(10)).doubtful);
}

fn report(healthy: bool) -> HealthReport {
    HealthReport {
        sickness: 0.0,
        ejected: false,
        median_ln: (200_000_f64).ln(),
        spread: 0.4,
        failure_rate: 0.0,
        overdue_rate: 0.0,
        samples: 50,
        ramp: 1.0,
        trial_in: millis(200),
        doubtful: !healthy,
    }
}

/// Six upstreams of four slots, the first two of them local.
fn view() -> ServiceView {
    let upstreams = (0..6).map(|index| LoadView::new(4, index < 2));
    let mut view = ServiceView::new(0.7, upstreams.collect());
    view.note_median((200_000_f64).ln());
    (0..6).for_each(|index| view.note_report(index, 0, report(true), millis(0)));
    view
}

#[test]
fn verify_a_service_without_upstreams_offers_no_choice() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut view = ServiceView::new(0.7, Vec::new());
    for number in 0..30 {
        assert_eq!(
            view.choose(
                millis(number),
                &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() },
                &mut rng
            ),
            None
        );
    }
}

#[test]
fn verify_requests_go_to_an_open_breaker_only_if_the_other_upstreams_are_far_more_loaded() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut view = view();
    view.note_report(1, 0, report(false), millis(0));
    for number in 0..100 {
        let choice =
            view.choose(millis(10 + number), &ChoiceRequest::default(), &mut rng).expect("some");
        assert_ne!(choice.index, 1);
    }
    for index in [0, 2, 3, 4, 5] {
        // A suspect is chosen only if the other upstreams are ten times as loaded.
        (0..30).for_each(|_| view.note_sent(index));
    }
    let chosen =
        (0..50).filter_map(|_| view.choose(millis(200), &ChoiceRequest::default(), &mut rng));
    assert!(
        chosen.into_iter().any(|choice| choice.index == 1),
        "a suspect with free slots is chosen while the other upstreams are overloaded"
    );
}
