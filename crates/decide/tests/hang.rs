// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The hang detector: an upstream whose requests hang is detected within one or two typical service
//! times, and a healthy upstream seldom counts as hanging. Guards against requests that are sent to
//! a hanging upstream for long, as a request that hangs ends in no event.

use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::breaker::BreakerCause;
use basaltarch_decide::evidence::{RequestEvidence, ServiceBaseline};
use basaltarch_decide::hang::{HangDetector, UsualTime};
use basaltarch_decide::health::{
    AdmitVerdict, DispatchTerms, HealthChange, UpstreamHealth, WatchEnd,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use test_case::test_case;

const MEDIAN_MS: f64 = 300.0;
const SPREAD: f64 = 0.6;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn usual() -> UsualTime {
    UsualTime { median_ln: (MEDIAN_MS * 1000.0).ln(), spread: SPREAD }
}

/// Starts a request that hangs at each of `starts`, and returns when the upstream first counts as
/// hanging. All times are in milliseconds.
fn detected_after(starts: &[u64]) -> u64 {
    let mut hang_detector = HangDetector::default();
    let mut starts = starts.iter().peekable();
    for now in 0..20_000 {
        while starts.next_if(|start| **start <= now).is_some() {
            hang_detector.start(usual(), millis(now));
        }
        if hang_detector.is_hanging(millis(now)) {
            return now;
        }
    }
    panic!("the hang was never detected");
}

// 99 in 100 requests usually take at most 1212 ms.
#[test_case(&[0], 1000 ; "a single request")]
#[test_case(&[0, 250, 500], 900 ; "four a second")]
#[test_case(&[0, 100, 200, 300, 400], 680 ; "ten a second")]
fn verify_more_hanging_requests_are_detected_sooner(starts: &[u64], max_detection_ms: u64) {
    let at = detected_after(starts);
    assert!(at <= max_detection_ms, "{at}");
}

/// Simulates healthy requests, `rate` per second, for an hour of simulated time. Returns the share
/// of the time in which the upstream counts as hanging.
fn hanging_share(rate: f64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let times = LogNormal::new((MEDIAN_MS / 1000.0).ln(), SPREAD).expect("a distribution");
    let arrival_gaps = Exp::new(rate).expect("a distribution");
    let mut hang_detector = HangDetector::default();
    let (mut next, mut running) = (0.0, Vec::<(f64, u64)>::new());
    let (mut hanging, mut checks) = (0_u32, 0_u32);
    for step in 0..360_000_u32 {
        let at = f64::from(step) / 100.0;
        let now = Duration::from_secs_f64(at);
        while next <= at {
            let number = hang_detector.start(usual(), now);
            running.push((at + times.sample(&mut rng), number));
            next += arrival_gaps.sample(&mut rng);
        }
        running.retain(|(end, number)| {
            let over = *end <= at;
            if over {
                hang_detector.end(*number, true, now);
            }
            !over
        });
        checks += 1;
        hanging += u32::from(hang_detector.is_hanging(now));
    }
    f64::from(hanging) / f64::from(checks)
}

#[test_case(1.0 ; "one a second")]
#[test_case(4.0 ; "four a second")]
#[test_case(12.0 ; "twelve a second")]
#[test_case(40.0 ; "forty a second")]
fn verify_a_healthy_upstream_seldom_counts_as_hanging(rate: f64) {
    let share = hanging_share(rate);
    assert!(share < 0.06, "{share}");
}

fn terms(route: &str, repeatable: bool) -> DispatchTerms<'_> {
    let baseline = ServiceBaseline {
        median_ln: usual().median_ln,
        spread: SPREAD,
        upstreams: 5,
        ..ServiceBaseline::default()
    };
    DispatchTerms { route, refusable: true, repeatable, passable: true, baseline }
}

/// Returns an upstream whose only request hangs and whose circuit breaker has just opened, and the
/// time at which the circuit breaker opened.
fn health_with_open_breaker() -> (UpstreamHealth, Duration) {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.admit(&terms("r", false), millis(0));
    let usual = health.usual_time("r", None).expect("the baseline of the siblings");
    health.start_request(usual, millis(0));
    let opened_by_hang = HealthChange::BreakerOpened { cause: BreakerCause::Hang };
    for now in 0..5000 {
        if health.check_running(millis(now)) == Some(opened_by_hang) {
            return (health, millis(now));
        }
    }
    panic!("the breaker never opened");
}

#[test]
fn verify_a_hanging_upstream_declines_non_repeatable_requests_until_it_answers() {
    let (mut health, at) = health_with_open_breaker();
    let mut verdict = |repeatable, at| health.admit(&terms("r", repeatable), at).0;
    assert_eq!(verdict(false, at + millis(1)), AdmitVerdict::Refuse);
    assert_eq!(verdict(true, at + millis(1000)), AdmitVerdict::Admit, "the trial is admitted");
    for number in 0..2 {
        let (sent, now) = (at + millis(1000 + number), at + millis(1200 + number));
        let took = now - sent;
        health.note_evidence("r", RequestEvidence::Answered(took), false, now);
        health.note_end(None, sent, now);
    }
    let verdict = health.admit(&terms("r", false), at + millis(1300)).0;
    assert_eq!(verdict, AdmitVerdict::Admit, "requests that hung before are no new evidence");
}

#[test]
fn verify_answers_to_requests_sent_before_the_breaker_opened_do_not_close_it() {
    let (mut health, at) = health_with_open_breaker();
    for number in 0..4 {
        let change = health.note_end(None, at - millis(50), at + millis(number));
        assert_eq!(change, None);
    }
}

#[test]
fn verify_the_breaker_closes_when_the_hanging_request_makes_progress() {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.admit(&terms("r", false), millis(0));
    let request = health.start_request(usual(), millis(0));
    let opened_ms = (0..5000)
        .find(|now| health.check_running(millis(*now)).is_some())
        .expect("the breaker opens");
    let change = health.end_request(request, WatchEnd::Progressed, millis(opened_ms + 5));
    assert_eq!(change, Some(HealthChange::BreakerClosed { after: millis(5) }));
}

#[test]
fn verify_a_request_that_made_a_nested_call_does_not_open_the_breaker() {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.admit(&terms("r", false), millis(0));
    let request = health.start_request(usual(), millis(0));
    health.end_request(request, WatchEnd::Progressed, millis(200));
    assert!((200..9000).all(|now| health.check_running(millis(now)).is_none()));
}

#[test]
fn verify_a_route_that_was_never_answered_has_no_usual_time() {
    let health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    assert_eq!(
        health.usual_time("r", Some(millis(900))),
        None,
        "it may be a route that no server can answer"
    );
    assert_eq!(health.usual_time("r", None), None);
}

#[test]
fn verify_the_objective_replaces_the_usual_time_until_answers_are_known() {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.note_evidence("r", RequestEvidence::Answered(millis(10)), false, millis(10));
    let median = |health: &UpstreamHealth| {
        health.usual_time("r", Some(millis(900))).expect("assumed").at(0.0)
    };
    let first = median(&health);
    assert!(first > millis(100) && first <= millis(300), "{first:?}: a third of the objective");
    for number in 0..100 {
        health.note_evidence(
            "r",
            RequestEvidence::Answered(millis(10)),
            false,
            millis(20 + number),
        );
    }
    assert!(median(&health) < millis(15), "{:?}: the measured time", median(&health));
}

/// Guards against servers that are taken for hanging because their daemon was paused.
#[test_case(0 ; "the answers arrive first")]
#[test_case(1 ; "a check runs first")]
fn verify_a_pause_of_the_daemon_is_no_hang(checks: usize) {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.admit(&terms("r", true), millis(0));
    let usual = health.usual_time("r", None).expect("the baseline of the siblings");
    let numbers: Vec<u64> = (0..4).map(|_| health.start_request(usual, millis(0))).collect();
    // No check ran although several were due.
    let resumed_at = millis(3000);
    for _ in 0..checks {
        assert_eq!(health.check_running(resumed_at), None);
    }
    for number in numbers {
        assert_eq!(health.end_request(number, WatchEnd::Progressed, resumed_at), None);
    }
    assert!(!health.is_breaker_open());
}

#[test]
fn verify_a_hang_is_detected_after_a_pause_of_the_daemon() {
    let mut health = UpstreamHealth::new(EjectionPreference::Precision, millis(0), false);
    health.admit(&terms("r", true), millis(0));
    let usual = health.usual_time("r", None).expect("the baseline of the siblings");
    health.start_request(usual, millis(0));
    let opened = (3000..6000).find(|now| health.check_running(millis(*now)).is_some());
    assert!(opened.is_some_and(|at| at < 4000), "{opened:?}");
}
