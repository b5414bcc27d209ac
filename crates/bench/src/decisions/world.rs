// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Scripted upstreams and ingresses in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use basaltarch_core::resources::PreferChoice;
use basaltarch_decide::evidence::WorkEvidence;
use basaltarch_decide::health::{AdmitVerdict, DispatchTerms, HealthChange, HealthReport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal};

use crate::decisions::actors::{self, Answer, Event, Ingress, Job, Request, Upstream, ROUTES};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::rules::RuleKind;
use crate::decisions::scenario::{self, FaultScript, ScenarioPlan};

/// Route of the slow requests of the mixed cases.
const SLOW_ROUTE: usize = 3;
/// Quiet time, in mean times between an upstream's requests, after which the work has stopped.
const QUIET_GAPS: u32 = 25;
/// Least quiet time.
const QUIET_MIN: Duration = Duration::from_millis(1000);
/// Factor on the usual median from which an answer is slow to a caller.
const SLOW_ANSWER: u32 = 8;
/// Dispatches of one request at the most, as in the daemon.
const DISPATCHES_MAX: usize = 3;
/// Time between bursts, their length, and the factor on the load in a burst.
const BURST_EVERY: u64 = 10;
const BURST_SECONDS: u64 = 2;
const BURST_FACTOR: f64 = 2.0;

/// `RunResult` is what came of one run.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// Time for which the sick upstream received work, if it stopped.
    pub detection: Option<Duration>,
    /// Requests that the sick upstream received in that time.
    pub received: u64,
    /// Ejections of upstreams that were not sick; one ingress of several counts as its part.
    pub false_ejections: f64,
    /// Upstream-hours that the false ejections are counted over.
    pub upstream_hours: f64,
    /// Requests of callers.
    pub requests: u64,
    /// Requests that failed for the caller while the fault lasted.
    pub failed: u64,
    /// Answers that were slow for the caller while the fault lasted.
    pub slow: u64,
    /// Least slots in service in any ingress's view while something was avoided, as a share of the
    /// floor's.
    pub lowest_over_floor: f64,
    /// Whether the floor was broken by ejection.
    pub floor_broken: bool,
    /// Time from the end of the fault until the upstream was back, if it was out.
    pub returned: Option<Duration>,
}

/// `World` is one run under way.
pub struct World {
    plan: ScenarioPlan,
    rule: RuleKind,
    strictness: f64,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    store: Vec<Event>,
    rng: ChaCha8Rng,
    times: LogNormal<f64>,
    requests: Vec<Request>,
    jobs: Vec<Job>,
    upstreams: Vec<Upstream>,
    ingresses: Vec<Ingress>,
    result: RunResult,
    returned_at: Option<Duration>,
    out_after_fault: bool,
}

/// The upstream that is sick where one is.
const SICK: usize = 1;

impl World {
    /// Builds the world of a run.
    pub fn new(plan: ScenarioPlan, rule: RuleKind, strictness: f64) -> Self {
        let deployment = plan.deployment;
        let prefer = rule.prefer().unwrap_or(PreferChoice::Precision);
        let upstreams = (0..deployment.upstreams)
            .map(|_| Upstream {
                health: actors::new_health(prefer, strictness, Duration::ZERO, false),
                working: 0,
                queue: VecDeque::new(),
                accepted: Vec::new(),
            })
            .collect();
        let ingresses = (0..scenario::INGRESSES)
            .map(|number| actors::new_ingress(&plan, rule, strictness, number % deployment.domains))
            .collect();
        let median = scenario::SERVICE_MEDIAN.as_secs_f64().ln();
        let times = LogNormal::new(median, scenario::SERVICE_SPREAD);
        let mut world = Self {
            plan,
            rule,
            strictness,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            store: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            times: times.unwrap_or_else(|_| unreachable!("the spread is a positive constant")),
            requests: Vec::new(),
            jobs: Vec::new(),
            upstreams,
            ingresses,
            result: RunResult { lowest_over_floor: f64::INFINITY, ..RunResult::default() },
            returned_at: None,
            out_after_fault: false,
        };
        world.schedule(Duration::ZERO, Event::Arrival);
        if let FaultScript::ColdStart(_) | FaultScript::ColdStuck(_) = plan.script {
            world.schedule(plan.fault_begin(), Event::Replace);
        }
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> RunResult {
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            if at > self.plan.end() {
                break;
            }
            self.now = at;
            match self.store[index] {
                Event::Arrival => self.arrive(),
                Event::Replace => self.replace_sick(),
                Event::AtHost { request, upstream, refusable } => {
                    self.reach_host(request, upstream, refusable);
                }
                Event::Overdue { job } => self.note_overdue(job),
                Event::End { job } => self.end_job(job),
                Event::Reply { request, upstream, answer } => {
                    self.reach_ingress(request, upstream, answer);
                }
            }
        }
        self.finish()
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.store.push(event);
        let key = (self.now + after, self.sequence, self.store.len() - 1);
        self.events.push(Reverse(key));
    }

    /// Replaces the upstream of the cold-start case; its daemon sees a new backend server.
    fn replace_sick(&mut self) {
        let prefer = self.rule.prefer().unwrap_or(PreferChoice::Precision);
        self.upstreams[SICK].health = actors::new_health(prefer, self.strictness, self.now, true);
    }

    fn in_fault(&self) -> bool {
        self.plan.in_fault(self.now)
    }

    fn arrive(&mut self) {
        let number = self.requests.len();
        let route = self.sample_route();
        let poison = match self.plan.script {
            FaultScript::Poison(share) => self.in_fault() && self.rng.random_bool(share),
            _ => false,
        };
        let request = Request {
            ingress: self.rng.random_range(0..self.ingresses.len()),
            route,
            repeatable: self.rng.random_bool(scenario::REPEATABLE_SHARE),
            poison,
            mark: actors::mark_of(number, poison),
            begun: self.now,
            sent_at: self.now,
            dispatches: 0,
            excluded: Vec::new(),
            failed_at: None,
            counts: true,
            over: false,
        };
        self.ingresses[request.ingress].budget.note_request();
        self.requests.push(request);
        self.result.requests += 1;
        self.dispatch(number);
        let wait: f64 = Exp1.sample(&mut self.rng);
        let gap = self.plan.gap().mul_f64(wait / self.burst_factor());
        self.schedule(gap, Event::Arrival);
    }

    fn sample_route(&mut self) -> usize {
        if self.plan.is_mixed() {
            let slow = self.rng.random_bool(scenario::MIXED_SHARE);
            return if slow { SLOW_ROUTE } else { self.rng.random_range(0..SLOW_ROUTE) };
        }
        self.rng.random_range(0..ROUTES.len())
    }

    fn burst_factor(&self) -> f64 {
        let bursts = matches!(self.plan.script, FaultScript::Bursts(_));
        let in_burst = self.now.as_secs() % BURST_EVERY < BURST_SECONDS;
        if bursts && in_burst {
            BURST_FACTOR
        } else {
            1.0
        }
    }

    /// Chooses an upstream for a request and sends it there.
    fn dispatch(&mut self, number: usize) {
        let request = &self.requests[number];
        let ingress = &mut self.ingresses[request.ingress];
        if self.rule.prefer().is_none() {
            for index in 0..self.upstreams.len() {
                ingress.view.note_draining(index, ingress.rule.is_ejected(index, self.now));
            }
            self.note_plain_return();
        }
        let request = &self.requests[number];
        let ingress = &mut self.ingresses[request.ingress];
        let must_take = request.dispatches + 1 >= DISPATCHES_MAX;
        let choice = ingress.view.choose(
            self.now,
            &request.excluded,
            request.repeatable,
            must_take,
            &mut self.rng,
        );
        let choice = match choice {
            Some(choice) if request.dispatches < DISPATCHES_MAX => choice,
            _ => return self.finish_request(number, false),
        };
        ingress.view.note_sent(choice.index);
        let spared = ingress.poison.spares(request.mark, self.now);
        let delay = actors::delay_between(&self.plan, ingress.domain, choice.index);
        let event =
            Event::AtHost { request: number, upstream: choice.index, refusable: choice.refusable };
        self.note_capacity(number);
        let request = &mut self.requests[number];
        request.counts = request.failed_at.is_none() && !spared;
        request.dispatches += 1;
        request.sent_at = self.now;
        self.schedule(delay, event);
    }

    /// Notes when a plain rule has the upstream back at every ingress after the fault.
    fn note_plain_return(&mut self) {
        if !self.plan.one_is_sick || self.now < self.plan.fault_end() {
            return;
        }
        let now = self.now;
        let out = self.ingresses.iter().any(|ingress| ingress.rule.is_ejected(SICK, now));
        self.out_after_fault |= out;
        if self.out_after_fault && !out {
            self.returned_at.get_or_insert(now);
        }
    }

    /// Looks at the floor after each decision.
    fn note_capacity(&mut self, number: usize) {
        let view = &self.ingresses[self.requests[number].ingress].view;
        let plan = view.plan();
        let plain = self.rule.prefer().is_none();
        let ejects = plain && view.upstreams().iter().any(|upstream| upstream.draining);
        if (ejects || plan.avoided.iter().any(|avoided| *avoided)) && plan.floor > 0 {
            let over = f64::from(plan.in_service) / f64::from(plan.floor);
            self.result.lowest_over_floor = self.result.lowest_over_floor.min(over);
        }
        self.result.floor_broken |= view.violations() > 0;
    }

    fn reach_host(&mut self, number: usize, index: usize, refusable: bool) {
        let request = &self.requests[number];
        let mut trial = false;
        if self.rule.prefer().is_some() {
            let ingress = &self.ingresses[request.ingress];
            let mut baseline = ingress.baselines[request.route].current();
            baseline.sickness = ingress.view.sickness_median(self.now);
            ingress.recent.adjust(index as u32, &mut baseline, self.now);
            let terms = DispatchTerms {
                route: ROUTES[request.route],
                refusable,
                repeatable: request.repeatable,
                baseline,
            };
            let (verdict, change) = self.upstreams[index].health.admit(&terms, self.now);
            self.note_change(index, change);
            match verdict {
                AdmitVerdict::Admit => {}
                AdmitVerdict::Trial => trial = true,
                AdmitVerdict::Refuse => return self.refuse(number, index),
            }
        }
        let upstream = &mut self.upstreams[index];
        if upstream.working < self.plan.deployment.slots {
            self.start_job(number, index, trial);
        } else if upstream.queue.len() < scenario::QUEUE {
            upstream.queue.push_back((number, trial));
        } else {
            if trial {
                self.upstreams[index].health.note_trial(ROUTES[0], WorkEvidence::Neutral, self.now);
            }
            self.refuse(number, index);
        }
    }

    fn refuse(&mut self, number: usize, index: usize) {
        let (load, health) = self.report(index, self.requests[number].route);
        let answer = Answer::Refused { load, health };
        self.reply(number, index, answer);
    }

    fn report(&self, index: usize, route: usize) -> (u32, HealthReport) {
        let upstream = &self.upstreams[index];
        let load = upstream.working + upstream.queue.len() as u32;
        let mut health = upstream.health.report(ROUTES[route], self.now);
        if self.rule.prefer().is_none() {
            health.sickness = 0.0;
            health.ejected = false;
            health.samples = 0;
            health.ramp = 1.0;
            health.trial_in = Duration::ZERO;
        }
        (load, health)
    }

    fn reply(&mut self, number: usize, index: usize, answer: Answer) {
        let domain = self.ingresses[self.requests[number].ingress].domain;
        let delay = actors::delay_between(&self.plan, domain, index);
        self.schedule(delay, Event::Reply { request: number, upstream: index, answer });
    }

    fn start_job(&mut self, number: usize, index: usize, trial: bool) {
        let route = self.requests[number].route;
        let (time, end) = self.sample_work(number, index);
        let upstream = &mut self.upstreams[index];
        upstream.working += 1;
        if !trial {
            upstream.accepted.push(self.now);
        }
        let job = self.jobs.len();
        self.jobs.push(Job {
            request: number,
            upstream: index,
            route,
            started: self.now,
            end,
            overdue: false,
            trial,
            after_failure: !self.requests[number].counts,
            over: false,
        });
        self.schedule(time, Event::End { job });
        if self.rule.prefer().is_some() && !trial {
            let health = &self.upstreams[index].health;
            if let Some(after) = health.overdue_after(ROUTES[route], self.now) {
                if after < time {
                    self.schedule(after, Event::Overdue { job });
                }
            }
        }
    }

    /// Returns how long the work takes and how it ends.
    fn sample_work(&mut self, number: usize, index: usize) -> (Duration, JobEnd) {
        let request = &self.requests[number];
        let work = faults::WorkSample {
            plan: &self.plan,
            now: self.now,
            is_sick: index == SICK,
            fails_first: request.route == 0,
            is_slow_route: request.route == SLOW_ROUTE,
            poison: request.poison,
        };
        work.sample(&self.times, &mut self.rng)
    }

    fn note_overdue(&mut self, number: usize) {
        let job = self.jobs[number];
        if job.over {
            return;
        }
        self.jobs[number].overdue = true;
        let health = &mut self.upstreams[job.upstream].health;
        let change = health.note_overdue(ROUTES[job.route], self.now);
        self.note_change(job.upstream, change);
    }

    fn end_job(&mut self, number: usize) {
        self.jobs[number].over = true;
        let job = self.jobs[number];
        self.upstreams[job.upstream].working -= 1;
        self.note_evidence(&job);
        let (load, health) = self.report(job.upstream, job.route);
        let took = self.now - job.started;
        let answer = Answer::Done { end: job.end, took, load, health };
        self.reply(job.request, job.upstream, answer);
        if let Some((next, trial)) = self.upstreams[job.upstream].queue.pop_front() {
            self.start_job(next, job.upstream, trial);
        }
    }

    fn note_evidence(&mut self, job: &Job) {
        if self.rule.prefer().is_none() {
            return;
        }
        let evidence = match job.end {
            JobEnd::Good => WorkEvidence::Answered(self.now - job.started),
            JobEnd::Error if job.after_failure => WorkEvidence::Neutral,
            JobEnd::Error => WorkEvidence::Failed,
            JobEnd::Timeout if job.overdue || job.trial => WorkEvidence::Failed,
            JobEnd::Timeout => WorkEvidence::Neutral,
        };
        let health = &mut self.upstreams[job.upstream].health;
        let route = ROUTES[job.route];
        let change = if job.trial {
            health.note_trial(route, evidence, self.now)
        } else {
            health.note(route, evidence, job.overdue, self.now)
        };
        self.note_change(job.upstream, change);
    }

    fn note_change(&mut self, index: usize, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Ejected { .. }) => self.note_ejection(index, 1.0),
            Some(HealthChange::Returned { .. }) => self.note_return(index),
            None => {}
        }
    }

    fn note_ejection(&mut self, index: usize, part: f64) {
        let sick = self.plan.one_is_sick && index == SICK && self.now >= self.plan.fault_begin();
        if !sick {
            self.result.false_ejections += part;
        }
    }

    fn note_return(&mut self, index: usize) {
        if self.plan.one_is_sick && index == SICK && self.now >= self.plan.fault_end() {
            self.returned_at.get_or_insert(self.now);
        }
    }

    fn reach_ingress(&mut self, number: usize, index: usize, answer: Answer) {
        let request = self.requests[number].clone();
        let ingress = &mut self.ingresses[request.ingress];
        ingress.view.note_over(index);
        let (load, health) = match answer {
            Answer::Done { load, health, .. } | Answer::Refused { load, health } => (load, health),
        };
        if let Answer::Done { end, took, .. } = answer {
            let baseline = ingress.baselines[request.route].current();
            let failed = end != JobEnd::Good;
            let took = (!failed).then_some(took);
            ingress.recent.note(index as u32, failed, took, &baseline, self.now);
        }
        ingress.baselines[request.route].note(index as u32, &health);
        ingress.view.note_median(ingress.baselines[request.route].current().median_ln);
        ingress.view.note_report(index, load, health, self.now);
        match answer {
            Answer::Done { end, .. } => self.take_answer(number, index, end),
            Answer::Refused { .. } => {
                self.requests[number].excluded.push(index);
                self.dispatch(number);
            }
        }
    }

    fn take_answer(&mut self, number: usize, index: usize, end: JobEnd) {
        let failed = end != JobEnd::Good;
        let request = &self.requests[number];
        let ingress = &mut self.ingresses[request.ingress];
        if self.rule.prefer().is_none() {
            let latency = self.now.saturating_sub(request.sent_at);
            let ejected = ingress.rule.note(index, failed, latency, self.now);
            let part = 1.0 / self.ingresses.len() as f64;
            for each in ejected {
                self.note_ejection(each, part);
            }
        }
        let ingress = &mut self.ingresses[self.requests[number].ingress];
        let mark = self.requests[number].mark;
        if !failed {
            ingress.poison.note_success(mark);
            return self.finish_request(number, true);
        }
        let first = self.requests[number].failed_at;
        if let Some(first) = first {
            ingress.poison.note_withdrawn(mark, first as u32);
        }
        let counts = self.requests[number].counts;
        let taken_back = ingress.poison.note_failure(mark, index as u32, counts, self.now);
        let hopeless =
            self.rule.prefer().is_some() && ingress.poison.forbids_repeat(mark, self.now);
        let route = self.requests[number].route;
        for failures in taken_back {
            for _ in 0..failures.count {
                self.withdraw(failures.upstream as usize, route);
            }
        }
        if let Some(first) = first {
            self.withdraw(first, route);
            return self.finish_request(number, false);
        }
        let request = &mut self.requests[number];
        let in_time = self.now.saturating_sub(request.begun) < scenario::REQUEST_TIMEOUT;
        let budget = &mut self.ingresses[request.ingress].budget;
        if request.repeatable && in_time && !hopeless && budget.take() {
            request.failed_at = Some(index);
            request.excluded.push(index);
            return self.dispatch(number);
        }
        self.finish_request(number, false);
    }

    fn withdraw(&mut self, index: usize, route: usize) {
        if self.rule.prefer().is_some() {
            self.upstreams[index].health.withdraw_failure(ROUTES[route]);
        }
    }

    fn finish_request(&mut self, number: usize, good: bool) {
        let begun = self.requests[number].begun;
        self.requests[number].over = true;
        let in_fault = self.plan.in_fault(begun);
        if !in_fault {
            return;
        }
        let slow = self.now - begun > scenario::SERVICE_MEDIAN * SLOW_ANSWER;
        self.result.failed += u64::from(!good);
        self.result.slow += u64::from(good && slow);
    }

    fn finish(mut self) -> RunResult {
        let upstreams = self.upstreams.len() as f64;
        self.result.upstream_hours = upstreams * self.plan.end().as_secs_f64() / 3600.0;
        if self.plan.one_is_sick {
            self.measure_detection();
            self.result.returned =
                self.returned_at.map(|at| at.saturating_sub(self.plan.fault_end()));
        }
        self.result
    }

    /// Finds when work to the sick upstream stopped: the last request before a quiet time.
    fn measure_detection(&mut self) {
        let begin = self.plan.fault_begin();
        let end = self.plan.fault_end();
        let gap = self.plan.gap() * self.upstreams.len() as u32;
        let quiet = (gap * QUIET_GAPS).max(QUIET_MIN);
        let mut last = begin;
        for at in self.upstreams[SICK].accepted.iter().filter(|at| (begin..end).contains(*at)) {
            if *at - last > quiet {
                break;
            }
            last = *at;
            self.result.received += 1;
        }
        let stopped = end.saturating_sub(last) > quiet;
        self.result.detection = stopped.then(|| last - begin);
    }
}
