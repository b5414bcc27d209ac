// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What a scripted upstream does with one request.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::decisions::scenario::{self, FaultScript, ScenarioPlan};

/// `JobEnd` is how work ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// With a good answer.
    Good,
    /// With a server error.
    Error,
    /// With the request's time-out.
    Timeout,
}

/// `WorkSample` is one request at one upstream.
#[derive(Debug, Clone, Copy)]
pub struct WorkSample<'a> {
    /// The run.
    pub plan: &'a ScenarioPlan,
    /// The time.
    pub now: Duration,
    /// Whether the upstream is the one that the fault touches.
    pub is_sick: bool,
    /// Whether the request is of the route that fails where one route does.
    pub fails_first: bool,
    /// Whether the request is of the slow route of the mixed cases.
    pub is_slow_route: bool,
    /// Whether the request fails wherever it goes.
    pub poison: bool,
}

/// Share of the work that fails at the upstream whose endpoints lie.
const LYING_FAILURES: f64 = 0.5;

/// Says what the health endpoint of an upstream answers; gray failures do not show there.
pub fn endpoint_is_good(plan: &ScenarioPlan, now: Duration, upstream: usize, sick: usize) -> bool {
    let share = match plan.script {
        FaultScript::LyingHealth(share) if plan.in_fault(now) => share,
        _ => return true,
    };
    let others = plan.deployment.upstreams - 1;
    let rank = (upstream + others - sick) % plan.deployment.upstreams;
    upstream == sick || rank >= (share * others as f64).ceil() as usize
}

/// Returns the load that the load endpoint of an upstream claims.
pub fn claimed_load(plan: &ScenarioPlan, now: Duration, is_sick: bool, load: u32) -> u32 {
    match plan.script {
        FaultScript::LyingLoad(share) if is_sick && plan.in_fault(now) => {
            (f64::from(load) * (1.0 - share)).round() as u32
        }
        _ => load,
    }
}

struct FaultTouch {
    factor: f64,
    fails: bool,
    never: bool,
}

impl WorkSample<'_> {
    /// Returns how long the work takes and how it ends.
    pub fn sample(&self, times: &LogNormal<f64>, rng: &mut ChaCha8Rng) -> (Duration, JobEnd) {
        let mut seconds: f64 = times.sample(rng);
        if self.plan.is_mixed() && self.is_slow_route {
            seconds *= scenario::MIXED_FACTOR;
        }
        let stragglers = match self.plan.script {
            FaultScript::Bursts(weight) => weight,
            _ => scenario::USUAL_STRAGGLERS,
        };
        if rng.random_bool(stragglers) {
            seconds *= scenario::STRAGGLER_FACTOR;
        }
        let mut fails = rng.random_bool(scenario::USUAL_FAILURES) || self.poison;
        let mut never = false;
        if self.is_touched() {
            let touch = self.sample_fault(rng);
            seconds *= touch.factor;
            fails |= touch.fails;
            never = touch.never;
        }
        let time = Duration::from_secs_f64(seconds);
        if never || time >= scenario::REQUEST_TIMEOUT {
            return (scenario::REQUEST_TIMEOUT, JobEnd::Timeout);
        }
        (time, if fails { JobEnd::Error } else { JobEnd::Good })
    }

    fn is_touched(&self) -> bool {
        let all = matches!(self.plan.script, FaultScript::AllSlow(_) | FaultScript::AllErrors(_));
        self.plan.in_fault(self.now) && (all || self.is_sick)
    }

    fn sample_fault(&self, rng: &mut ChaCha8Rng) -> FaultTouch {
        let mut touch = FaultTouch { factor: 1.0, fails: false, never: false };
        let since = self.now.saturating_sub(self.plan.fault_begin());
        match self.plan.script {
            FaultScript::Errors(share)
            | FaultScript::Truncated(share)
            | FaultScript::LowTraffic(share)
            | FaultScript::AllErrors(share) => touch.fails = rng.random_bool(share),
            FaultScript::LyingHealth(_) | FaultScript::LyingLoad(_) => {
                touch.fails = rng.random_bool(LYING_FAILURES);
            }
            FaultScript::RouteErrors(share) => {
                touch.fails = self.fails_first && rng.random_bool(share);
            }
            FaultScript::QuickErrors(share) => {
                touch.fails = rng.random_bool(share);
                touch.factor = if touch.fails { 0.02 } else { 1.0 };
            }
            FaultScript::Slow(factor)
            | FaultScript::AllSlow(factor)
            | FaultScript::MixedSlow(factor) => touch.factor = factor,
            FaultScript::Tail(share) => {
                touch.factor = if rng.random_bool(share) { 10.0 } else { 1.0 };
            }
            FaultScript::Stuck(share) | FaultScript::ColdStuck(share) => {
                touch.never = rng.random_bool(share);
            }
            FaultScript::Flapping(period) => {
                let sick = (since.as_millis() as u64 / period).is_multiple_of(2);
                touch.fails = sick && rng.random_bool(0.5);
            }
            FaultScript::ColdStart(factor) => {
                let left = (1.0 - since.as_secs_f64() / 10.0).max(0.0);
                touch.factor = 1.0 + (factor - 1.0) * left;
            }
            FaultScript::Healthy
            | FaultScript::Poison(_)
            | FaultScript::MixedHealthy(_)
            | FaultScript::Bursts(_) => {}
        }
        touch
    }
}
