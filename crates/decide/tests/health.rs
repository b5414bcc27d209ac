// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The outlier detector, the ejection, the trials and the return to service of one upstream. Guards
//! against faulty upstreams that stay in service, and against ejections of healthy ones.

use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::evidence::{RequestEvidence, ServiceBaseline};
use basaltarch_decide::health::{AdmitVerdict, DispatchTerms, HealthChange, UpstreamHealth};
use basaltarch_decide::recovery::{HOLD_OFF_MAX, TRIALS_NEEDED};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const ROUTE: &str = "puzzle";

fn baseline() -> ServiceBaseline {
    ServiceBaseline {
        median_ln: (20_000_f64).ln(),
        spread: 0.4,
        failure_rate: 0.002,
        overdue_rate: 0.005,
        sickness: 0.0,
        upstreams: 12,
    }
}

fn terms(refusable: bool, repeatable: bool) -> DispatchTerms<'static> {
    DispatchTerms { route: ROUTE, refusable, repeatable, passable: refusable, baseline: baseline() }
}

struct Upstream {
    health: UpstreamHealth,
    now: Duration,
    ejected: Vec<Duration>,
    returned: Vec<Duration>,
}

impl Upstream {
    fn new(prefer: EjectionPreference) -> Self {
        let health = UpstreamHealth::new(prefer, Duration::ZERO, false);
        Self { health, now: Duration::ZERO, ejected: Vec::new(), returned: Vec::new() }
    }

    fn note_change(&mut self, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Ejected { .. }) => self.ejected.push(self.now),
            Some(HealthChange::Returned { .. }) => self.returned.push(self.now),
            Some(HealthChange::BreakerOpened { .. } | HealthChange::BreakerClosed { .. })
            | None => {}
        }
    }

    /// Dispatches a request 20 ms after the previous one; returns whether the request was admitted.
    fn request(&mut self, terms: &DispatchTerms<'_>, evidence: RequestEvidence) -> bool {
        self.now += Duration::from_millis(20);
        let (verdict, change) = self.health.admit(terms, self.now);
        self.note_change(change);
        let change = match verdict {
            AdmitVerdict::Refuse => return false,
            AdmitVerdict::Admit => self.health.note_evidence(ROUTE, evidence, false, self.now),
            AdmitVerdict::Trial => self.health.note_trial(ROUTE, evidence, self.now, self.now),
        };
        self.note_change(change);
        true
    }
}

fn healthy_answer() -> RequestEvidence {
    RequestEvidence::Answered(Duration::from_millis(20))
}

#[test_case(EjectionPreference::Detection, 15 ; "detection")]
#[test_case(EjectionPreference::Precision, 50 ; "precision")]
fn verify_a_failing_upstream_is_ejected_within_a_bounded_number_of_requests(
    prefer: EjectionPreference,
    most: usize,
) {
    let mut upstream = Upstream::new(prefer);
    for _ in 0..100 {
        upstream.request(&terms(true, true), healthy_answer());
    }
    let mut count = 0;
    while upstream.ejected.is_empty() {
        upstream.request(&terms(true, true), RequestEvidence::Failed);
        count += 1;
        assert!(count <= most, "not ejected after {most} failures");
    }
    assert!(count >= 3, "one or two failures prove nothing");
}

#[test]
fn verify_a_slow_upstream_is_ejected_and_a_slightly_slow_one_is_not() {
    for (factor, ejected) in [(1.2, false), (4.0, true)] {
        let mut upstream = Upstream::new(EjectionPreference::Precision);
        for _ in 0..400 {
            let took = Duration::from_millis(20).mul_f64(factor);
            upstream.request(&terms(true, true), RequestEvidence::Answered(took));
        }
        assert_eq!(!upstream.ejected.is_empty(), ejected, "factor {factor}");
    }
}

#[test_case(false ; "warm")]
#[test_case(true ; "cold since its start")]
fn verify_a_stuck_upstream_is_ejected_before_any_request_ends(cold: bool) {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    if cold {
        upstream.health.note_restart(upstream.now);
    }
    for _ in 0..4 {
        let (verdict, _) = upstream.health.admit(&terms(true, true), upstream.now);
        assert_eq!(verdict, AdmitVerdict::Admit);
    }
    let wait = upstream.health.overdue_after(ROUTE, upstream.now).expect("a baseline");
    let usual = terms(true, true).baseline.overdue_after();
    assert_eq!(wait > usual, cold, "a cold upstream gets a longer time");
    for _ in 0..4 {
        upstream.now += wait;
        let change = upstream.health.note_overdue(ROUTE, upstream.now);
        upstream.note_change(change);
    }
    // The upstream has been an outlier for long enough that reports of the siblings have arrived,
    // and the siblings are healthy.
    upstream.now += Duration::from_millis(250);
    let (verdict, change) = upstream.health.admit(&terms(true, true), upstream.now);
    upstream.note_change(change);
    assert_eq!(upstream.ejected.len(), 1);
    assert_eq!(verdict, AdmitVerdict::Refuse);
}

#[test_case(RequestEvidence::Neutral ; "faults of callers")]
fn verify_neutral_evidence_changes_nothing(evidence: RequestEvidence) {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    for _ in 0..2000 {
        assert!(upstream.request(&terms(true, true), evidence));
    }
    assert_eq!(upstream.health.report(ROUTE, upstream.now).sickness, 0.0);
}

#[test]
fn verify_failures_that_all_siblings_share_eject_no_upstream() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    let mut shared = terms(true, true);
    shared.baseline.sickness = 1.2;
    for _ in 0..300 {
        assert!(upstream.request(&shared, RequestEvidence::Failed));
    }
    assert!(upstream.ejected.is_empty());
}

#[test]
fn verify_a_baseline_that_one_of_several_ingresses_reports_counts_for_all() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    let mut failing_siblings = terms(true, true);
    failing_siblings.baseline.failure_rate = 0.3;
    for number in 0..2000 {
        // One ingress in four sees the siblings fail as often as this upstream. The others send
        // requests to too few siblings for a baseline.
        let terms = if number % 4 == 0 { &failing_siblings } else { &terms(true, true) };
        let evidence = if number % 10 < 3 { RequestEvidence::Failed } else { healthy_answer() };
        assert!(upstream.request(terms, evidence), "request {number}");
    }
    assert!(upstream.ejected.is_empty());
}

#[test]
fn verify_a_withdrawn_failure_does_not_count() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    for _ in 0..500 {
        upstream.request(&terms(true, true), RequestEvidence::Failed);
        upstream.health.withdraw_failure(ROUTE);
    }
    assert!(upstream.ejected.is_empty());
}

#[test]
fn verify_an_ejected_upstream_admits_requests_that_are_not_refusable() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    while upstream.ejected.is_empty() {
        upstream.request(&terms(true, false), RequestEvidence::Failed);
    }
    assert!(
        !upstream.request(&terms(true, false), healthy_answer()),
        "a refusable request is refused"
    );
    assert!(
        upstream.request(&terms(false, false), healthy_answer()),
        "a request that is not refusable is admitted"
    );
}

#[test]
fn verify_a_recovered_upstream_returns_within_the_longest_hold_off() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    while upstream.ejected.len() < 6 {
        upstream.request(&terms(true, true), RequestEvidence::Failed);
        if upstream.now > Duration::from_secs(600) {
            break;
        }
    }
    let recovered_at = upstream.now;
    let returned = upstream.returned.len();
    while upstream.returned.len() == returned {
        upstream.request(&terms(true, true), healthy_answer());
        assert!(upstream.now - recovered_at < HOLD_OFF_MAX + Duration::from_secs(2));
    }
    assert!(upstream.health.report(ROUTE, upstream.now).ramp < 0.2, "the load rises slowly");
    upstream.now += Duration::from_secs(11);
    assert_eq!(upstream.health.report(ROUTE, upstream.now).ramp, 1.0);
}

#[test]
fn verify_a_flapping_upstream_is_held_off_longer_each_time() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    let mut durations = Vec::new();
    for _ in 0..4 {
        let ejections = upstream.ejected.len();
        while upstream.ejected.len() == ejections {
            upstream.request(&terms(true, true), RequestEvidence::Failed);
        }
        let ejected_at = upstream.now;
        let returns = upstream.returned.len();
        while upstream.returned.len() == returns {
            upstream.request(&terms(true, true), healthy_answer());
        }
        durations.push(upstream.now - ejected_at);
    }
    assert!(durations.windows(2).all(|pair| pair[1] > pair[0]), "{durations:?}");
}

#[test]
fn verify_an_ejected_upstream_gets_one_trial_at_a_time() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    while upstream.ejected.is_empty() {
        upstream.request(&terms(true, true), RequestEvidence::Failed);
    }
    upstream.now += Duration::from_secs(5);
    let admit = |upstream: &mut Upstream| upstream.health.admit(&terms(true, true), upstream.now).0;
    assert_eq!(admit(&mut upstream), AdmitVerdict::Trial);
    assert_eq!(admit(&mut upstream), AdmitVerdict::Refuse);
    for completed in 1..=TRIALS_NEEDED {
        let now = upstream.now;
        let change = upstream.health.note_trial(ROUTE, healthy_answer(), now, now);
        assert_eq!(change.is_some(), completed == TRIALS_NEEDED);
        if completed < TRIALS_NEEDED {
            assert_eq!(admit(&mut upstream), AdmitVerdict::Trial);
        }
    }
}

/// Longest time for which an upstream may get no request while the service turns requests away.
const IDLE_TIME_MAX: Duration = Duration::from_secs(2);

#[test]
fn verify_trials_that_hang_do_not_keep_an_ejected_upstream_idle() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    while upstream.ejected.is_empty() {
        upstream.request(&terms(true, true), RequestEvidence::Failed);
    }
    let timeout = Duration::from_secs(5);
    let overdue_after = upstream.health.overdue_after(ROUTE, upstream.now).expect("a baseline");
    let mut running: Vec<Duration> = Vec::new();
    let mut last_trial_at = upstream.now;
    for _ in 0..3000 {
        upstream.now += Duration::from_millis(20);
        let now = upstream.now;
        running.retain(|admitted_at| {
            let has_timed_out = now >= *admitted_at + timeout;
            if has_timed_out {
                upstream.health.note_trial(ROUTE, RequestEvidence::Failed, *admitted_at, now);
            }
            !has_timed_out
        });
        if upstream.health.admit(&terms(true, true), now).0 == AdmitVerdict::Trial {
            running.push(now);
            last_trial_at = now;
        }
        let idle_time = now - last_trial_at;
        assert!(idle_time <= IDLE_TIME_MAX + overdue_after, "no trial for {idle_time:?}");
    }
}

#[test]
fn verify_an_upstream_that_is_ejected_again_and_again_is_never_idle_for_long() {
    let mut upstream = Upstream::new(EjectionPreference::Detection);
    let mut last_request_at = upstream.now;
    for round in 0..5 {
        while upstream.ejected.len() <= round {
            if upstream.request(&terms(true, true), RequestEvidence::Failed) {
                last_request_at = upstream.now;
            }
            let idle_time = upstream.now - last_request_at;
            assert!(idle_time <= IDLE_TIME_MAX, "round {round}: no request for {idle_time:?}");
        }
        while upstream.returned.len() <= round {
            if upstream.request(&terms(true, true), healthy_answer()) {
                last_request_at = upstream.now;
            }
            let idle_time = upstream.now - last_request_at;
            assert!(idle_time <= IDLE_TIME_MAX, "round {round}: no request for {idle_time:?}");
        }
    }
}

#[test]
fn verify_a_cold_upstream_is_not_ejected_for_its_latency() {
    for (cold, ejected) in [(true, false), (false, true)] {
        let mut upstream = Upstream::new(EjectionPreference::Detection);
        if cold {
            upstream.health.note_restart(upstream.now);
        }
        for _ in 0..200 {
            let slow = RequestEvidence::Answered(Duration::from_millis(120));
            upstream.request(&terms(true, true), slow);
        }
        assert_eq!(!upstream.ejected.is_empty(), ejected, "cold: {cold}");
    }
}

/// Counts the ejections of a healthy upstream, which has the failure rate and the latencies of its
/// siblings: the thresholds bound the rate of these false ejections.
#[test_case(EjectionPreference::Detection, 3 ; "detection")]
#[test_case(EjectionPreference::Precision, 0 ; "precision")]
fn verify_healthy_upstreams_are_hardly_ever_ejected(prefer: EjectionPreference, most: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut ejections = 0;
    for _ in 0..10 {
        let mut upstream = Upstream::new(prefer);
        for _ in 0..30_000 {
            let evidence = if rng.random_bool(0.002) {
                RequestEvidence::Failed
            } else {
                // The sum of twelve uniform numbers approximates a normal distribution.
                let normal: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
                RequestEvidence::Answered(Duration::from_millis(20).mul_f64((0.4 * normal).exp()))
            };
            upstream.request(&terms(true, true), evidence);
        }
        ejections += upstream.ejected.len();
    }
    assert!(ejections <= most, "{ejections} ejections in 300,000 requests");
}
