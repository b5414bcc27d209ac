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

/// Routes of the service; one of the four fails in the one-route case.
pub const ROUTES: [&str; 4] = ["route-1", "route-2", "route-3", "route-4"];

/// `Event` is a scheduled step of the simulation.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    Arrival,
    Replace,
    Probe,
    HostArrival { sent: Dispatch, refusable: bool },
    HedgeDue { sent: Dispatch },
    Cancel { sent: Dispatch },
    Overdue { job: usize },
    RunningCheck { job: usize },
    End { job: usize },
    Reply { sent: Dispatch, answer: Answer },
}

/// `Dispatch` is one attempt at a request; `number` counts the attempts at the request from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    pub request: usize,
    pub upstream: usize,
    pub number: usize,
}

/// `Answer` is the reply of a host to an ingress.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    Done { end: JobEnd, took: Duration, load: u32, health: HealthReport },
    Refused { load: u32, health: HealthReport },
}

/// `Request` is a caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    pub ingress: usize,
    pub route: usize,
    pub repeatable: bool,
    pub poison: bool,
    pub hash: RequestHash,
    pub begun: Duration,
    pub sent_at: Duration,
    pub dispatches: usize,
    pub excluded: Vec<usize>,
    /// Latest attempt, for whose response the ingress waits; earlier attempts that still run are in
    /// `slow_attempts`.
    pub current: Option<Dispatch>,
    /// Attempts that outlasted their hedging delay and still run.
    pub slow_attempts: Vec<Dispatch>,
    pub failed_at: Option<usize>,
    /// Whether a failure of the last dispatch is evidence against the upstream.
    pub failure_counts: bool,
    pub finished: bool,
}

/// `Job` is the execution of a request at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub sent: Dispatch,
    pub route: usize,
    pub started: Duration,
    pub end: JobEnd,
    pub overdue: bool,
    /// Number of the job in the hang detector of the upstream, if it is watched, and its typical
    /// service time.
    pub watched: Option<(u64, UsualTime)>,
    pub trial: bool,
    pub after_failure: bool,
    pub finished: bool,
}

/// `Upstream` is a scripted upstream, with the health that its daemon tracks.
pub struct Upstream {
    pub health: UpstreamHealth,
    pub queue: VecDeque<(Dispatch, bool)>,
    pub running: Vec<usize>,
    pub accepted: Vec<Duration>,
}

/// `Ingress` is an ingress, with its view of the service.
pub struct Ingress {
    pub view: ServiceView,
    pub baselines: Vec<RouteBaseline>,
    pub recent: RecentAnswers,
    pub rule: PlainRule,
    pub budget: RetryBudget,
    pub poison: PoisonTable<u32>,
    pub domain: usize,
}

/// Terms of the retry budget of each ingress: the defaults of the daemon.
const BUDGET: BudgetTerms =
    BudgetTerms { share: 0.1, extra: 10.0, window: Duration::from_secs(10) };

/// Builds the health of an upstream.
pub fn new_health(
    prefer: EjectionPreference,
    threshold: f64,
    now: Duration,
    cold: bool,
) -> UpstreamHealth {
    let mut health = UpstreamHealth::new(prefer, now, cold);
    health.set_threshold(threshold.max(1.0));
    health
}

/// Builds an ingress in a failure domain.
pub fn new_ingress(plan: &ScenarioPlan, rule: RuleKind, threshold: f64, domain: usize) -> Ingress {
    let deployment = plan.deployment;
    let views = (0..deployment.upstreams)
        .map(|index| LoadView::new(deployment.slots, index % deployment.domains == domain))
        .collect();
    Ingress {
        view: ServiceView::new(deployment.floor, views),
        baselines: vec![RouteBaseline::default(); ROUTES.len()],
        recent: RecentAnswers::default(),
        rule: PlainRule::new(rule, threshold, deployment.upstreams, deployment.floor),
        budget: RetryBudget::new(BUDGET),
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

/// Numbers of distinct paths: ordinary ones, and poison ones that callers request repeatedly.
const TARGETS: usize = 500;
const POISON_TARGETS: usize = 4;

/// Returns the hash of a request; every second poison request has a path of its own.
pub fn hash_of(number: usize, poison: bool) -> RequestHash {
    match (poison, number.is_multiple_of(2)) {
        (false, _) => RequestHash::of("GET", &format!("/puzzle/{}", number % TARGETS)),
        (true, true) => RequestHash::of("GET", &format!("/poison/{}", number / 2 % POISON_TARGETS)),
        (true, false) => RequestHash::of("GET", &format!("/poison/new/{number}")),
    }
}
