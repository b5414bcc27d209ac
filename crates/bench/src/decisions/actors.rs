// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Entities of a simulated run: requests, jobs, upstreams, ingresses and events.

#![allow(missing_docs, reason = "the fields are named for what they are; only `world` uses them")]

use std::collections::VecDeque;
use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::balance::{LoadView, ServiceView};
use basaltarch_decide::baseline::{RecentAnswers, RouteBaseline};
use basaltarch_decide::budget::{BudgetTerms, RetryBudget};
use basaltarch_decide::hang::UsualTime;
use basaltarch_decide::health::{HealthReport, UpstreamHealth};
use basaltarch_decide::poison::{PoisonTable, RequestHash};

use crate::decisions::faults::JobEnd;
use crate::decisions::rules::{PlainRule, RuleKind};
use crate::decisions::scenario::{self, ScenarioPlan};

/// Names of the routes of the service. The first route is the one that fails in the case
/// `one route fails`.
pub const ROUTES: [&str; 4] = ["route-1", "route-2", "route-3", "route-4"];

/// `SimulationEvent` is a scheduled step of the simulation.
#[derive(Debug, Clone, Copy)]
pub enum SimulationEvent {
    Arrival,
    Replace,
    Probe,
    HostArrival { attempt: RequestAttempt, refusable: bool },
    HedgeDue { attempt: RequestAttempt },
    Cancel { attempt: RequestAttempt },
    Overdue { job: usize },
    RunningCheck { job: usize },
    End { job: usize },
    Reply { attempt: RequestAttempt, answer: HostAnswer },
}

/// `RequestAttempt` is one attempt at a request. `request` and `upstream` are indices, and `number`
/// counts the attempts at the request from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestAttempt {
    pub request: usize,
    pub upstream: usize,
    pub number: usize,
}

/// `HostAnswer` is the reply of a host to an ingress.
#[derive(Debug, Clone, Copy)]
pub enum HostAnswer {
    Done { end: JobEnd, service_time: Duration, load: u32, health: HealthReport },
    Refused { load: u32, health: HealthReport },
}

/// `CallerRequest` is a caller's request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub ingress: usize,
    pub route: usize,
    pub repeatable: bool,
    pub poison: bool,
    pub hash: RequestHash,
    pub begun: Duration,
    pub sent_at: Duration,
    pub dispatches: usize,
    pub excluded: Vec<usize>,
    /// Latest attempt, for whose response the ingress waits. Earlier attempts that still run are in
    /// `slow_attempts`.
    pub current: Option<RequestAttempt>,
    /// Attempts that outlasted their hedging delay and still run.
    pub slow_attempts: Vec<RequestAttempt>,
    pub failed_at: Option<usize>,
    /// Whether a failure of the latest attempt is evidence against its upstream.
    pub failure_counts: bool,
    pub is_finished: bool,
}

/// `ServiceJob` is the execution of a request at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct ServiceJob {
    pub attempt: RequestAttempt,
    pub route: usize,
    pub started: Duration,
    pub end: JobEnd,
    pub is_overdue: bool,
    /// Number of the job in the hang detector of the upstream and typical service time of the job;
    /// `None` if the hang detector does not watch the job.
    pub watched: Option<(u64, UsualTime)>,
    /// When the job was admitted as a trial of an ejected upstream, if it is one.
    pub trial_admitted_at: Option<Duration>,
    pub after_failure: bool,
    pub is_finished: bool,
}

/// `ScriptedUpstream` is a scripted upstream, with the health that the daemon of its host tracks.
pub struct ScriptedUpstream {
    pub health: UpstreamHealth,
    pub queue: VecDeque<(RequestAttempt, Option<Duration>)>,
    pub running: Vec<usize>,
    pub accepted: Vec<Duration>,
}

/// `SimulatedIngress` is an ingress, with its view of the service and the state of its decisions.
pub struct SimulatedIngress {
    pub view: ServiceView,
    pub baselines: Vec<RouteBaseline>,
    pub recent: RecentAnswers,
    pub rule: PlainRule,
    pub budget: RetryBudget,
    pub poison: PoisonTable<u32>,
    pub domain: usize,
}

/// Terms of the retry budget of each ingress, which are the defaults of the daemon.
const RETRY_BUDGET: BudgetTerms =
    BudgetTerms { share: 0.1, extra: 10.0, window: Duration::from_secs(10) };

/// Builds the health of an upstream.
pub fn new_health(
    prefer: EjectionPreference,
    threshold: f64,
    now: Duration,
    is_cold: bool,
) -> UpstreamHealth {
    let mut health = UpstreamHealth::new(prefer, now, is_cold);
    health.set_threshold(threshold.max(1.0));
    health
}

/// Builds an ingress in a failure domain.
pub fn new_ingress(
    plan: &ScenarioPlan,
    rule: RuleKind,
    threshold: f64,
    domain: usize,
) -> SimulatedIngress {
    let deployment = plan.deployment;
    let views = (0..deployment.upstreams)
        .map(|index| LoadView::new(deployment.slots, index % deployment.domains == domain))
        .collect();
    SimulatedIngress {
        view: ServiceView::new(deployment.floor, views),
        baselines: vec![RouteBaseline::default(); ROUTES.len()],
        recent: RecentAnswers::default(),
        rule: PlainRule::new(rule, threshold, deployment.upstreams, deployment.floor),
        budget: RetryBudget::new(RETRY_BUDGET),
        poison: PoisonTable::default(),
        domain,
    }
}

/// Returns the one-way delay from a failure domain to an upstream.
pub fn delay_between(plan: &ScenarioPlan, domain: usize, upstream: usize) -> Duration {
    if upstream % plan.deployment.domains == domain {
        scenario::LOCAL_DELAY
    } else {
        scenario::REMOTE_DELAY
    }
}

/// Number of distinct paths of ordinary requests.
const ORDINARY_PATHS: usize = 500;
/// Number of distinct paths of the poison requests that callers repeat.
const REPEATED_POISON_PATHS: usize = 4;

/// Returns the hash of a request. Every second poison request has a path that no other request has.
pub fn hash_of(number: usize, poison: bool) -> RequestHash {
    match (poison, number.is_multiple_of(2)) {
        (false, _) => RequestHash::of("GET", &format!("/puzzle/{}", number % ORDINARY_PATHS)),
        (true, true) => {
            RequestHash::of("GET", &format!("/poison/{}", number / 2 % REPEATED_POISON_PATHS))
        }
        (true, false) => RequestHash::of("GET", &format!("/poison/new/{number}")),
    }
}
