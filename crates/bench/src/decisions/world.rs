// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Discrete-event simulation of scripted upstreams and ingresses in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::decisions::actors::{
    self, CallerRequest, ScriptedUpstream, ServiceJob, SimulatedIngress, SimulationEvent, ROUTES,
};
use crate::decisions::measure::RunResult;
use crate::decisions::rules::{self, RuleKind};
use crate::decisions::scenario::{self, FaultScript, ScenarioPlan};

/// Index in [`ROUTES`] of the slow route of the mixed cases.
pub(super) const SLOW_ROUTE: usize = 3;
/// Seconds from the start of one burst to the start of the next burst.
const BURST_PERIOD: u64 = 10;
/// Seconds that a burst lasts.
const BURST_SECONDS: u64 = 2;
/// Factor by which a burst raises the load.
const BURST_FACTOR: f64 = 2.0;

/// `DecisionWorld` is the state of one simulated run.
pub struct DecisionWorld {
    pub(super) plan: ScenarioPlan,
    pub(super) rule: RuleKind,
    pub(super) threshold: f64,
    pub(super) now: Duration,
    pub(super) sequence: u64,
    pub(super) events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    pub(super) scheduled_events: Vec<SimulationEvent>,
    pub(super) rng: ChaCha8Rng,
    pub(super) service_times: LogNormal<f64>,
    pub(super) requests: Vec<CallerRequest>,
    pub(super) jobs: Vec<ServiceJob>,
    pub(super) upstreams: Vec<ScriptedUpstream>,
    pub(super) ingresses: Vec<SimulatedIngress>,
    pub(super) result: RunResult,
    pub(super) returned_at: Option<Duration>,
    pub(super) ejected_after_fault: bool,
}

/// Index of the faulty upstream, in cases that have one.
pub(super) const FAULTY_UPSTREAM: usize = 1;

impl DecisionWorld {
    /// Builds the initial state of a run.
    pub fn new(plan: ScenarioPlan, rule: RuleKind, threshold: f64) -> Self {
        let deployment = plan.deployment;
        let prefer = rule.prefer().unwrap_or(EjectionPreference::Precision);
        let upstreams = (0..deployment.upstreams)
            .map(|_| ScriptedUpstream {
                health: actors::new_health(prefer, threshold, Duration::ZERO, false),
                queue: VecDeque::new(),
                running: Vec::new(),
                accepted: Vec::new(),
            })
            .collect();
        let ingresses = (0..scenario::INGRESS_COUNT)
            .map(|number| actors::new_ingress(&plan, rule, threshold, number % deployment.domains))
            .collect();
        let median_ln = scenario::SERVICE_TIME_MEDIAN.as_secs_f64().ln();
        let service_times = LogNormal::new(median_ln, scenario::SERVICE_TIME_LN_DEVIATION);
        let mut world = Self {
            plan,
            rule,
            threshold,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            scheduled_events: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            service_times: service_times
                .unwrap_or_else(|_| unreachable!("the spread is a positive constant")),
            requests: Vec::new(),
            jobs: Vec::new(),
            upstreams,
            ingresses,
            result: RunResult { lowest_floor_ratio: f64::INFINITY, ..RunResult::default() },
            returned_at: None,
            ejected_after_fault: false,
        };
        world.schedule(Duration::ZERO, SimulationEvent::Arrival);
        if rule == RuleKind::Probes {
            world.schedule(rules::PROBE_INTERVAL, SimulationEvent::Probe);
        }
        if let FaultScript::ColdStart(_) | FaultScript::ColdStuck(_) = plan.script {
            world.schedule(plan.fault_begin(), SimulationEvent::Replace);
        }
        world
    }

    /// Processes events in order of time until the run ends.
    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            if at > self.plan.end() {
                break;
            }
            self.now = at;
            match self.scheduled_events[index] {
                SimulationEvent::Arrival => self.handle_arrival(),
                SimulationEvent::Replace => self.replace_faulty(),
                SimulationEvent::Probe => self.probe_upstreams(),
                SimulationEvent::HostArrival { attempt, refusable } => {
                    self.handle_host_arrival(attempt, refusable)
                }
                SimulationEvent::HedgeDue { attempt } => self.send_hedge(attempt),
                SimulationEvent::Cancel { attempt } => self.cancel_attempt(attempt),
                SimulationEvent::Overdue { job } => self.note_overdue(job),
                SimulationEvent::RunningCheck { job } => self.check_job(job),
                SimulationEvent::End { job } => self.end_job(job),
                SimulationEvent::Reply { attempt, answer } => self.handle_reply(attempt, answer),
            }
        }
        self.finish()
    }

    pub(super) fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.scheduled_events.push(event);
        let key = (self.now + after, self.sequence, self.scheduled_events.len() - 1);
        self.events.push(Reverse(key));
    }

    /// Replaces the faulty upstream by a new backend server, for the cold-start cases. The daemon
    /// of the upstream begins with the health of a new backend server.
    pub(super) fn replace_faulty(&mut self) {
        let prefer = self.rule.prefer().unwrap_or(EjectionPreference::Precision);
        self.upstreams[FAULTY_UPSTREAM].health =
            actors::new_health(prefer, self.threshold, self.now, true);
    }

    pub(super) fn is_in_fault(&self) -> bool {
        self.plan.is_in_fault(self.now)
    }

    pub(super) fn handle_arrival(&mut self) {
        let request_index = self.requests.len();
        let route = self.sample_route();
        let poison = match self.plan.script {
            FaultScript::Poison(share) => self.is_in_fault() && self.rng.random_bool(share),
            _ => false,
        };
        let request = CallerRequest {
            ingress: self.rng.random_range(0..self.ingresses.len()),
            route,
            repeatable: self.rng.random_bool(scenario::REPEATABLE_SHARE),
            poison,
            hash: actors::hash_of(request_index, poison),
            begun: self.now,
            sent_at: self.now,
            dispatches: 0,
            excluded: Vec::new(),
            current: None,
            slow_attempts: Vec::new(),
            failed_at: None,
            failure_counts: true,
            is_finished: false,
        };
        self.ingresses[request.ingress].budget.note_request(self.now);
        self.requests.push(request);
        self.result.request_count += 1;
        self.dispatch(request_index);
        let relative_gap: f64 = Exp1.sample(&mut self.rng);
        let arrival_gap = self.plan.mean_gap().mul_f64(relative_gap / self.burst_factor());
        self.schedule(arrival_gap, SimulationEvent::Arrival);
    }

    pub(super) fn sample_route(&mut self) -> usize {
        if self.plan.is_mixed() {
            let is_slow = self.rng.random_bool(scenario::SLOW_ROUTE_SHARE);
            return if is_slow { SLOW_ROUTE } else { self.rng.random_range(0..SLOW_ROUTE) };
        }
        self.rng.random_range(0..ROUTES.len())
    }

    pub(super) fn burst_factor(&self) -> f64 {
        let has_bursts = matches!(self.plan.script, FaultScript::Bursts(_));
        let is_in_burst = self.now.as_secs() % BURST_PERIOD < BURST_SECONDS;
        if has_bursts && is_in_burst {
            BURST_FACTOR
        } else {
            1.0
        }
    }
}
