// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What a run of the decision bench is made of: requests, work, upstreams, ingresses, events.

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

/// Routes of the service; one in four fails in the one-route case.
pub const ROUTES: [&str; 4] = ["route-1", "route-2", "route-3", "route-4"];

/// `Event` is what happens next.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    Arrival,
    Replace,
    Probe,
    AtHost { sent: Dispatch, refusable: bool },
    Impatient { sent: Dispatch },
    Cancel { sent: Dispatch },
    Overdue { job: usize },
    Look { job: usize },
    End { job: usize },
    Reply { sent: Dispatch, answer: Answer },
}

/// `Dispatch` is one sending of a request; `number` counts those of the request from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    pub request: usize,
    pub upstream: usize,
    pub number: usize,
}

/// `Answer` is what a host tells an ingress.
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
    pub mark: RequestHash,
    pub begun: Duration,
    pub sent_at: Duration,
    pub dispatches: usize,
    pub excluded: Vec<usize>,
    /// Attempt that is waited for.
    pub current: Option<Dispatch>,
    /// Attempts that were late and still run.
    pub late: Vec<Dispatch>,
    pub failed_at: Option<usize>,
    /// Whether a failure of the last dispatch counts as evidence.
    pub counts: bool,
    pub over: bool,
}

/// `Job` is the work on a request at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub sent: Dispatch,
    pub route: usize,
    pub started: Duration,
    pub end: JobEnd,
    pub overdue: bool,
    /// Number by which the upstream's health watches it, if it does, and its usual time.
    pub watched: Option<(u64, UsualTime)>,
    pub trial: bool,
    pub after_failure: bool,
    pub over: bool,
}

/// `Upstream` is a scripted upstream, with what its daemon thinks of it.
pub struct Upstream {
    pub health: UpstreamHealth,
    pub queue: VecDeque<(Dispatch, bool)>,
    pub running: Vec<usize>,
    pub accepted: Vec<Duration>,
}

/// `Ingress` is an ingress, with what it knows of the service.
pub struct Ingress {
    pub view: ServiceView,
    pub baselines: Vec<RouteBaseline>,
    pub recent: RecentAnswers,
    pub rule: PlainRule,
    pub budget: RetryBudget,
    pub poison: PoisonTable<u32>,
    pub domain: usize,
}

/// Terms of each ingress's budget of repeats: the daemon's defaults.
const BUDGET: BudgetTerms =
    BudgetTerms { share: 0.1, extra: 10.0, window: Duration::from_secs(10) };

/// Builds the health of an upstream.
pub fn new_health(
    prefer: EjectionPreference,
    strictness: f64,
    now: Duration,
    cold: bool,
) -> UpstreamHealth {
    let mut health = UpstreamHealth::new(prefer, now, cold);
    health.set_threshold(strictness.max(1.0));
    health
}

/// Builds an ingress in a failure domain.
pub fn new_ingress(plan: &ScenarioPlan, rule: RuleKind, strictness: f64, domain: usize) -> Ingress {
    let deployment = plan.deployment;
    let views = (0..deployment.upstreams)
        .map(|index| LoadView::new(deployment.slots, index % deployment.domains == domain))
        .collect();
    Ingress {
        view: ServiceView::new(deployment.floor, views),
        baselines: vec![RouteBaseline::default(); ROUTES.len()],
        recent: RecentAnswers::default(),
        rule: PlainRule::new(rule, strictness, deployment.upstreams, deployment.floor),
        budget: RetryBudget::new(BUDGET),
        poison: PoisonTable::default(),
        domain,
    }
}

/// Returns the way from a failure domain to an upstream.
pub fn delay_between(plan: &ScenarioPlan, domain: usize, upstream: usize) -> Duration {
    if upstream % plan.deployment.domains == domain {
        scenario::LOCAL_DELAY
    } else {
        scenario::REMOTE_DELAY
    }
}

/// Ordinary targets of a service, and poison targets that callers ask for again and again.
const TARGETS: usize = 500;
const POISON_TARGETS: usize = 4;

/// Returns the mark of a request; every second poison request is for a target never seen before.
pub fn mark_of(number: usize, poison: bool) -> RequestHash {
    match (poison, number.is_multiple_of(2)) {
        (false, _) => RequestHash::of("GET", &format!("/puzzle/{}", number % TARGETS)),
        (true, true) => RequestHash::of("GET", &format!("/poison/{}", number / 2 % POISON_TARGETS)),
        (true, false) => RequestHash::of("GET", &format!("/poison/new/{number}")),
    }
}
