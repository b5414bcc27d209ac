// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Service time and outcome of a request at a scripted upstream.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::decisions::scenario::{self, FaultScript, ScenarioPlan};

/// `JobEnd` is the outcome of a request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// A successful response.
    Good,
    /// A server error.
    Error,
    /// The time-out of the request.
    Timeout,
}

/// `ServiceSample` holds the inputs for drawing the service time and outcome of a request at an
/// upstream.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSample<'a> {
    /// Deployment, load and fault of the run.
    pub plan: &'a ScenarioPlan,
    /// The current virtual time.
    pub now: Duration,
    /// Whether the upstream is the faulty upstream of the run.
    pub is_faulty: bool,
    /// Whether the request is of the route that fails in [`FaultScript::RouteErrors`].
    pub is_failing_route: bool,
    /// Whether the request is of the slow route of the mixed cases.
    pub is_slow_route: bool,
    /// Whether the request fails at whichever upstream runs it.
    pub poison: bool,
}

/// Share of requests that fail at the upstream whose health or load endpoint reports wrongly.
const MISREPORTED_FAILURES: f64 = 0.5;

/// Returns whether the health endpoint of an upstream reports the upstream as healthy. The endpoint
/// reports no failure of requests; only [`FaultScript::LyingHealth`] makes endpoints report
/// failures.
pub fn endpoint_is_good(
    plan: &ScenarioPlan,
    now: Duration,
    upstream: usize,
    faulty_upstream: usize,
) -> bool {
    let share = match plan.script {
        FaultScript::LyingHealth(share) if plan.is_in_fault(now) => share,
        _ => return true,
    };
    let healthy_upstreams = plan.deployment.upstreams - 1;
    let rank = (upstream + healthy_upstreams - faulty_upstream) % plan.deployment.upstreams;
    upstream == faulty_upstream || rank >= (share * healthy_upstreams as f64).ceil() as usize
}

/// Returns the load that the load endpoint of an upstream reports.
pub fn claimed_load(plan: &ScenarioPlan, now: Duration, is_faulty: bool, load: u32) -> u32 {
    match plan.script {
        FaultScript::LyingLoad(share) if is_faulty && plan.is_in_fault(now) => {
            (f64::from(load) * (1.0 - share)).round() as u32
        }
        _ => load,
    }
}

/// `FaultEffect` is how a fault changes one request.
struct FaultEffect {
    /// Factor on the service time.
    factor: f64,
    fails: bool,
    never_answers: bool,
}

impl ServiceSample<'_> {
    /// Samples how long the request runs and its outcome.
    pub fn sample(&self, times: &LogNormal<f64>, rng: &mut ChaCha8Rng) -> (Duration, JobEnd) {
        let mut seconds: f64 = times.sample(rng);
        if self.plan.is_mixed() && self.is_slow_route {
            seconds *= scenario::SLOW_ROUTE_FACTOR;
        }
        let straggler_share = match self.plan.script {
            FaultScript::Bursts(weight) => weight,
            _ => scenario::USUAL_STRAGGLER_SHARE,
        };
        if rng.random_bool(straggler_share) {
            seconds *= scenario::STRAGGLER_FACTOR;
        }
        let mut fails = rng.random_bool(scenario::USUAL_FAILURE_SHARE) || self.poison;
        let mut never_answers = false;
        if self.is_affected() {
            let effect = self.sample_fault(rng);
            seconds *= effect.factor;
            fails |= effect.fails;
            never_answers = effect.never_answers;
        }
        let time = Duration::from_secs_f64(seconds);
        if never_answers || time >= scenario::REQUEST_TIMEOUT {
            return (scenario::REQUEST_TIMEOUT, JobEnd::Timeout);
        }
        (time, if fails { JobEnd::Error } else { JobEnd::Good })
    }

    fn is_affected(&self) -> bool {
        let affects_all =
            matches!(self.plan.script, FaultScript::AllSlow(_) | FaultScript::AllErrors(_));
        self.plan.is_in_fault(self.now) && (affects_all || self.is_faulty)
    }

    fn sample_fault(&self, rng: &mut ChaCha8Rng) -> FaultEffect {
        let mut effect = FaultEffect { factor: 1.0, fails: false, never_answers: false };
        let fault_age = self.now.saturating_sub(self.plan.fault_begin());
        match self.plan.script {
            FaultScript::Errors(share)
            | FaultScript::Truncated(share)
            | FaultScript::LowTraffic(share)
            | FaultScript::AllErrors(share) => effect.fails = rng.random_bool(share),
            FaultScript::LyingHealth(_) | FaultScript::LyingLoad(_) => {
                effect.fails = rng.random_bool(MISREPORTED_FAILURES);
            }
            FaultScript::RouteErrors(share) => {
                effect.fails = self.is_failing_route && rng.random_bool(share);
            }
            FaultScript::QuickErrors(share) => {
                effect.fails = rng.random_bool(share);
                effect.factor = if effect.fails { 0.02 } else { 1.0 };
            }
            FaultScript::Slow(factor)
            | FaultScript::AllSlow(factor)
            | FaultScript::MixedSlow(factor) => effect.factor = factor,
            FaultScript::Tail(share) => {
                effect.factor = if rng.random_bool(share) { 10.0 } else { 1.0 };
            }
            FaultScript::Stuck(share) | FaultScript::ColdStuck(share) => {
                effect.never_answers = rng.random_bool(share);
            }
            FaultScript::Flapping(period) => {
                let in_failing_period = (fault_age.as_millis() as u64 / period).is_multiple_of(2);
                effect.fails = in_failing_period && rng.random_bool(0.5);
            }
            FaultScript::ColdStart(factor) => {
                let remaining_share = (1.0 - fault_age.as_secs_f64() / 10.0).max(0.0);
                effect.factor = 1.0 + (factor - 1.0) * remaining_share;
            }
            FaultScript::Healthy
            | FaultScript::Poison(_)
            | FaultScript::MixedHealthy(_)
            | FaultScript::Bursts(_) => {}
        }
        effect
    }
}
