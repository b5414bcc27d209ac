// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits over many ingresses: how often callers within a limit wait, and how many requests
//! are admitted from a caller that sends many times its usual rate. As the ingresses count
//! separately, callers could be refused within their limit, or admitted far beyond the limit.

use std::collections::VecDeque;
use std::time::Duration;

use basaltarch_decide::grants::{LimitOwner, LimitTolerance, TokenRequest};
use basaltarch_decide::limits::{LimitVerdict, LocalLimiter, StandaloneTerms, GRANT_LIFE};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Delay after which the owner of the limit learns of requests that were admitted before the owner
/// granted tokens for them. The delay is longer than a frame takes.
const SPENT_REPORT_DELAY: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: LimitTolerance = LimitTolerance { window: WINDOW, over: 0.1, extra: 20.0 };
const NO_TOLERANCE: LimitTolerance = LimitTolerance { window: WINDOW, over: 0.0, extra: 0.0 };

/// `LimitSimulation` simulates one organisation whose callers send through many ingresses.
struct LimitSimulation {
    rate: f64,
    burst: f64,
    tolerance: LimitTolerance,
    owner: LimitOwner,
    limiters: Vec<LocalLimiter>,
    unreported: VecDeque<(Duration, usize, f64)>,
    admitted: Vec<Duration>,
    waited: usize,
    refused: usize,
}

impl LimitSimulation {
    fn new(rate: f64, burst: f64, ingresses: usize, tolerance: LimitTolerance) -> Self {
        Self {
            rate,
            burst,
            tolerance,
            owner: LimitOwner::new(rate, burst, Duration::ZERO),
            limiters: vec![LocalLimiter::new(Duration::ZERO); ingresses],
            unreported: VecDeque::new(),
            admitted: Vec::new(),
            waited: 0,
            refused: 0,
        }
    }

    fn request_tokens(&mut self, ingress: usize, wanted: f64, spent: f64, now: Duration) {
        let requester = format!("host-{ingress}");
        let request = TokenRequest { requester: &requester, wanted, spent };
        let grant = self.owner.answer(self.rate, self.burst, &self.tolerance, &request, now);
        self.limiters[ingress].note_owner(grant.ahead, grant.share, now);
        if wanted > 0.0 {
            let wait = Duration::from_secs_f64(1.0 / self.rate).min(GRANT_LIFE);
            self.limiters[ingress].note_grant(grant.granted, wait, now);
        }
    }

    fn request(&mut self, ingress: usize, now: Duration) {
        while self.unreported.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, reporting_ingress, spent) = self.unreported.pop_front().expect("there is one");
            self.request_tokens(reporting_ingress, 0.0, spent, now);
        }
        for _ in 0..2 {
            match self.limiters[ingress].admit(now) {
                LimitVerdict::Pass => return self.admitted.push(now),
                LimitVerdict::PassAhead => {
                    let spent = self.limiters[ingress].take_spent();
                    self.unreported.push_back((now + SPENT_REPORT_DELAY, ingress, spent));
                    return self.admitted.push(now);
                }
                LimitVerdict::Refuse(_) => break,
                LimitVerdict::Ask(wanted) => {
                    self.waited += 1;
                    let spent = self.limiters[ingress].take_spent();
                    self.request_tokens(ingress, wanted, spent, now);
                }
            }
        }
        self.refused += 1;
    }

    /// Sends requests at a total rate of `rate` through the first `active_ingresses` ingresses.
    fn send(
        &mut self,
        rate: f64,
        active_ingresses: usize,
        from_s: f64,
        to_s: f64,
        rng: &mut ChaCha8Rng,
    ) {
        let mut at = from_s;
        while at < to_s {
            let ingress = rng.random_range(0..active_ingresses);
            self.request(ingress, Duration::from_secs_f64(at));
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
        }
    }

    /// Returns the highest number of requests that were admitted in one window.
    fn busiest_window(&self) -> usize {
        let window_start =
            |end: &Duration| self.admitted.partition_point(|at| *at + WINDOW <= *end);
        let counts =
            self.admitted.iter().enumerate().map(|(index, end)| index + 1 - window_start(end));
        counts.max().unwrap_or(0)
    }
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(5.0, 5 ; "a small one")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_within_a_limit_few_requests_wait_and_hardly_any_is_refused(
    rate: f64,
    active_ingresses: usize,
) {
    let mut shares = Vec::new();
    for tolerance in [NO_TOLERANCE, TOLERANCE] {
        let mut simulation = LimitSimulation::new(rate, rate, active_ingresses, tolerance);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        simulation.send(rate / 1.6, active_ingresses, 3.0, 63.0, &mut rng);
        let request_count = (simulation.admitted.len() + simulation.refused) as f64;
        shares.push((
            simulation.waited as f64 / request_count,
            simulation.refused as f64 / request_count,
        ));
    }
    let [(waited_without_tolerance, _), (waited, refused)] = shares[..] else {
        panic!("{shares:?}")
    };
    assert!(
        waited < waited_without_tolerance / 2.0,
        "{waited} and {waited_without_tolerance} waited"
    );
    assert!(refused < 0.005, "{refused} refused");
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(22.0, 93 ; "a usual one at every ingress")]
#[test_case(5.0, 40 ; "a small one at many ingresses")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_a_caller_far_beyond_its_limit_is_held_to_the_tolerance(
    rate: f64,
    active_ingresses: usize,
) {
    for seed in 0..20 {
        let mut simulation = LimitSimulation::new(rate, rate, active_ingresses, TOLERANCE);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        simulation.send(rate / 1.6, active_ingresses, 3.0, 8.0, &mut rng);
        simulation.send(rate / 1.6 * 10.0, active_ingresses, 8.0, 16.0, &mut rng);
        simulation.send(rate / 1.6, active_ingresses, 16.0, 24.0, &mut rng);
        let max_admitted_requests = (rate * 5.0 + rate) * 1.1 + 20.0;
        assert!(
            simulation.busiest_window() as f64 <= max_admitted_requests,
            "{} of at most {max_admitted_requests}",
            simulation.busiest_window()
        );
        let allowed_requests = rate * 8.0;
        let admitted_requests =
            simulation.admitted.iter().filter(|at| (8..16).contains(&at.as_secs())).count();
        assert!(
            admitted_requests as f64 >= allowed_requests * 0.9,
            "{admitted_requests} of the {allowed_requests} that the limit allows"
        );
    }
}

#[test]
fn verify_a_returned_token_can_be_used_again() {
    let now = Duration::from_secs(1);
    let mut limiter = LocalLimiter::new(now);
    limiter.note_grant(1.0, GRANT_LIFE, now);
    assert_eq!(limiter.admit(now), LimitVerdict::Pass);
    limiter.return_token(now);
    assert_eq!(limiter.admit(now), LimitVerdict::Pass);
    assert!(matches!(limiter.admit(now), LimitVerdict::Ask(_)));
}

#[test]
fn verify_requests_admitted_without_tokens_are_reported_after_the_owner_was_unreachable() {
    let now = Duration::from_secs(9);
    let mut limiter = LocalLimiter::new(now);
    limiter.note_owner(2, 1.0, now);
    assert_eq!(limiter.admit(now), LimitVerdict::PassAhead);
    let spent = limiter.take_spent();
    limiter.restore_spent(spent);
    limiter
        .start_standalone(StandaloneTerms { rate: 1.0, burst: 1.0, daemons: 10, since: None }, now);
    limiter.note_owner(0, 1.0, now);
    assert_eq!(limiter.take_spent(), 1.0);
    let mut owner = LimitOwner::new(1.0, 4.0, Duration::ZERO);
    let request = TokenRequest { requester: "host-1", wanted: 10.0, spent: 3.0 };
    let grant = owner.answer(1.0, 4.0, &NO_TOLERANCE, &request, now);
    assert_eq!((grant.granted, grant.ahead), (1.0, 0));
}

/// `OwnerlessPartition` is a partition: ingresses that can't reach the owner, and the backup owner
/// that grants tokens to them.
struct OwnerlessPartition {
    backup: LimitOwner,
    limiters: Vec<LocalLimiter>,
    rate: f64,
    burst: f64,
    daemons: usize,
    admitted: Vec<Duration>,
    refused: usize,
}

impl OwnerlessPartition {
    /// Moves ingresses out of a simulation, as they can't reach the owner from now on.
    fn new(
        simulation: &LimitSimulation,
        limiters: Vec<LocalLimiter>,
        daemons: usize,
        now: Duration,
    ) -> Self {
        let (rate, burst) = (simulation.rate, simulation.burst);
        let backup = LimitOwner::with_predecessor(rate, burst, now);
        Self { backup, limiters, rate, burst, daemons, admitted: Vec::new(), refused: 0 }
    }

    fn request(&mut self, ingress: usize, now: Duration) {
        let limiter = &mut self.limiters[ingress];
        let claim = limiter.note_owner_lost(self.rate, self.daemons);
        for _ in 0..2 {
            match limiter.admit(now) {
                LimitVerdict::Pass | LimitVerdict::PassAhead => return self.admitted.push(now),
                LimitVerdict::Refuse(_) => break,
                LimitVerdict::Ask(wanted) => {
                    let requester = format!("host-{ingress}");
                    let request = TokenRequest { requester: &requester, wanted, spent: 0.0 };
                    let (rate, burst) = (self.rate, self.burst);
                    let grant = self.backup.answer_as_backup(rate, burst, claim, &request, now);
                    let wait = Duration::from_secs_f64(1.0 / rate).min(GRANT_LIFE);
                    limiter.note_backup();
                    limiter.note_grant(grant.granted, wait, now);
                }
            }
        }
        self.refused += 1;
    }
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_callers_are_served_while_the_owner_is_unreachable(rate: f64, active_ingresses: usize) {
    let mut simulation = LimitSimulation::new(rate, rate, active_ingresses, TOLERANCE);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    simulation.send(rate / 1.6, active_ingresses, 3.0, 20.0, &mut rng);
    let limiters = simulation.limiters.clone();
    let mut partition = OwnerlessPartition::new(&simulation, limiters, 93, Duration::from_secs(20));
    let mut at = 20.0;
    while at < 32.0 {
        partition.request(rng.random_range(0..active_ingresses), Duration::from_secs_f64(at));
        at += -(1.0 - rng.random::<f64>()).ln() / (rate / 1.6);
    }
    let refused = partition.refused as f64 / (partition.refused + partition.admitted.len()) as f64;
    assert!(refused < 0.03, "{refused} refused");
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_the_limit_holds_in_total_when_a_third_loses_the_owner_during_an_overload(
    rate: f64,
    active_ingresses: usize,
) {
    for seed in 0..20 {
        let mut simulation = LimitSimulation::new(rate, rate, active_ingresses, TOLERANCE);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        simulation.send(rate / 1.6, active_ingresses, 3.0, 20.0, &mut rng);
        let limiters = simulation.limiters.clone();
        let mut partition =
            OwnerlessPartition::new(&simulation, limiters, 93, Duration::from_secs(20));
        let mut at = 20.0;
        while at < 32.0 {
            let ingress = rng.random_range(0..active_ingresses);
            let now = Duration::from_secs_f64(at);
            if ingress < active_ingresses / 3 {
                partition.request(ingress, now)
            } else {
                simulation.request(ingress, now)
            }
            at += -(1.0 - rng.random::<f64>()).ln() / (rate / 1.6 * 10.0);
        }
        simulation.admitted.extend(&partition.admitted);
        simulation.admitted.sort();
        let max_admitted_requests = (rate * 5.0 + rate) * 1.1 + 20.0;
        assert!(
            simulation.busiest_window() as f64 <= max_admitted_requests,
            "{} of at most {max_admitted_requests}",
            simulation.busiest_window()
        );
    }
}
