// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The simulated hosts: slots, queues, jobs, and the evidence that jobs give about their upstream.

use std::time::Duration;

use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::evidence::{RequestEvidence, ServiceBaseline};
use basaltarch_decide::hang;
use basaltarch_decide::health::{
    AdmitVerdict, DispatchTerms, HealthChange, HealthReport, WatchEnd,
};

use crate::decisions::actors::{
    self, HostAnswer, RequestAttempt, ServiceJob, SimulationEvent, ROUTES,
};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::rules::RuleKind;
use crate::decisions::scenario;
use crate::decisions::world::{DecisionWorld, FAULTY_UPSTREAM, SLOW_ROUTE};

impl DecisionWorld {
    /// Returns the baseline that an ingress sends along with a request: the typical latencies and
    /// the health scores of the other upstreams of the service.
    pub(super) fn baseline_for(&self, attempt: RequestAttempt) -> ServiceBaseline {
        let request = &self.requests[attempt.request];
        let ingress = &self.ingresses[request.ingress];
        let mut baseline = ingress.baselines[request.route].current();
        baseline.sickness = ingress.view.median_score(self.now);
        ingress.recent.adjust(attempt.upstream as u32, &mut baseline, self.now);
        baseline
    }

    pub(super) fn handle_host_arrival(&mut self, attempt: RequestAttempt, refusable: bool) {
        let mut trial_admitted_at = None;
        if self.rule.prefer().is_some() {
            let request = &self.requests[attempt.request];
            let terms = DispatchTerms {
                route: ROUTES[request.route],
                refusable,
                repeatable: request.repeatable,
                passable: refusable,
                baseline: self.baseline_for(attempt),
            };
            let (verdict, change) = self.upstreams[attempt.upstream].health.admit(&terms, self.now);
            self.note_change(attempt.upstream, change);
            match verdict {
                AdmitVerdict::Admit => {}
                AdmitVerdict::Trial => trial_admitted_at = Some(self.now),
                AdmitVerdict::Refuse => return self.refuse_attempt(attempt),
            }
        }
        let upstream = &mut self.upstreams[attempt.upstream];
        if upstream.running.len() < self.plan.deployment.slots as usize {
            self.start_job(attempt, trial_admitted_at);
        } else if upstream.queue.len() < scenario::QUEUE_LENGTH_MAX {
            upstream.queue.push_back((attempt, trial_admitted_at));
        } else {
            self.release_trial(attempt.upstream, trial_admitted_at);
            self.refuse_attempt(attempt);
        }
    }

    /// Ends a trial that gave no evidence about the upstream, so that another trial can start.
    fn release_trial(&mut self, index: usize, trial_admitted_at: Option<Duration>) {
        if let Some(admitted_at) = trial_admitted_at {
            let health = &mut self.upstreams[index].health;
            health.note_trial(ROUTES[0], RequestEvidence::Neutral, admitted_at, self.now);
        }
    }

    fn refuse_attempt(&mut self, attempt: RequestAttempt) {
        let (load, health) = self.report(attempt.upstream, self.requests[attempt.request].route);
        self.send_reply(attempt, HostAnswer::Refused { load, health });
    }

    fn report(&self, index: usize, route: usize) -> (u32, HealthReport) {
        let upstream = &self.upstreams[index];
        let mut load = (upstream.running.len() + upstream.queue.len()) as u32;
        if self.rule == RuleKind::Probes {
            load = faults::claimed_load(&self.plan, self.now, index == FAULTY_UPSTREAM, load);
        }
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

    fn send_reply(&mut self, attempt: RequestAttempt, answer: HostAnswer) {
        let domain = self.ingresses[self.requests[attempt.request].ingress].domain;
        let delay = actors::delay_between(&self.plan, domain, attempt.upstream);
        self.schedule(delay, SimulationEvent::Reply { attempt, answer });
    }

    fn start_job(&mut self, attempt: RequestAttempt, trial_admitted_at: Option<Duration>) {
        let route = self.requests[attempt.request].route;
        let (time, end) = self.sample_service(attempt);
        let job = self.jobs.len();
        let upstream = &mut self.upstreams[attempt.upstream];
        upstream.running.push(job);
        let typical_time = upstream.health.usual_time(ROUTES[route], None);
        let typical_time = typical_time.filter(|_| self.rule.prefer().is_some());
        let watched = typical_time.map(|typical_time| {
            (upstream.health.start_request(typical_time, self.now), typical_time)
        });
        if trial_admitted_at.is_none() {
            upstream.accepted.push(self.now);
        }
        self.jobs.push(ServiceJob {
            attempt,
            route,
            started: self.now,
            end,
            is_overdue: false,
            watched,
            trial_admitted_at,
            after_failure: !self.requests[attempt.request].failure_counts,
            is_finished: false,
        });
        self.schedule(time, SimulationEvent::End { job });
        if let Some((_, typical_time)) = watched {
            self.schedule(hang::first_check(&typical_time), SimulationEvent::RunningCheck { job });
        }
        if self.rule.prefer().is_some() && trial_admitted_at.is_none() {
            let health = &self.upstreams[attempt.upstream].health;
            if let Some(after) = health.overdue_after(ROUTES[route], self.now) {
                if after < time {
                    self.schedule(after, SimulationEvent::Overdue { job });
                }
            }
        }
    }

    /// Samples how long the request of an attempt runs, and its outcome.
    fn sample_service(&mut self, attempt: RequestAttempt) -> (Duration, JobEnd) {
        let request = &self.requests[attempt.request];
        let sample = faults::ServiceSample {
            plan: &self.plan,
            now: self.now,
            is_faulty: attempt.upstream == FAULTY_UPSTREAM,
            is_failing_route: request.route == 0,
            is_slow_route: request.route == SLOW_ROUTE,
            poison: request.poison,
        };
        sample.sample(&self.service_times, &mut self.rng)
    }

    pub(super) fn note_overdue(&mut self, job_index: usize) {
        let job = self.jobs[job_index];
        if job.is_finished {
            return;
        }
        self.jobs[job_index].is_overdue = true;
        let health = &mut self.upstreams[job.attempt.upstream].health;
        let change = health.note_overdue(ROUTES[job.route], self.now);
        self.note_change(job.attempt.upstream, change);
    }

    /// Checks whether the running jobs of a job's upstream hang, as the daemon does.
    pub(super) fn check_job(&mut self, job_index: usize) {
        let job = self.jobs[job_index];
        let typical_time = match job.watched {
            Some((_, typical_time)) if !job.is_finished => typical_time,
            _ => return,
        };
        let change = self.upstreams[job.attempt.upstream].health.check_running(self.now);
        self.note_change(job.attempt.upstream, change);
        self.schedule(
            hang::check_interval(&typical_time),
            SimulationEvent::RunningCheck { job: job_index },
        );
    }

    /// Removes a job from the hang detector.
    fn end_watch(&mut self, job_index: usize, answered: bool) {
        let job = self.jobs[job_index];
        let end = match (answered, job.is_overdue) {
            (true, _) => WatchEnd::Progressed,
            (false, true) => WatchEnd::Recorded,
            (false, false) => WatchEnd::GivenUp,
        };
        if let Some((watched, _)) = job.watched {
            let health = &mut self.upstreams[job.attempt.upstream].health;
            let change = health.end_request(watched, end, self.now);
            self.note_change(job.attempt.upstream, change);
        }
    }

    pub(super) fn end_job(&mut self, job_index: usize) {
        let job = self.jobs[job_index];
        if job.is_finished {
            return;
        }
        self.end_watch(job_index, job.end != JobEnd::Timeout);
        self.free_slot(job_index);
        self.note_evidence(&job);
        let (load, health) = self.report(job.attempt.upstream, job.route);
        let service_time = self.now - job.started;
        self.send_reply(job.attempt, HostAnswer::Done { end: job.end, service_time, load, health });
        self.start_next(job.attempt.upstream);
    }

    fn free_slot(&mut self, job_index: usize) {
        self.jobs[job_index].is_finished = true;
        let index = self.jobs[job_index].attempt.upstream;
        self.upstreams[index].running.retain(|running| *running != job_index);
    }

    fn start_next(&mut self, index: usize) {
        if let Some((next, trial_admitted_at)) = self.upstreams[index].queue.pop_front() {
            self.start_job(next, trial_admitted_at);
        }
    }

    /// Cancels an attempt for whose response the ingress no longer waits. The cancelled attempt is
    /// no evidence about the upstream, except if the attempt was already recorded as overdue.
    pub(super) fn cancel_attempt(&mut self, attempt: RequestAttempt) {
        let upstream = &mut self.upstreams[attempt.upstream];
        let waiting = upstream.queue.iter().position(|(queued, _)| *queued == attempt);
        if let Some((_, trial_admitted_at)) =
            waiting.and_then(|position| upstream.queue.remove(position))
        {
            return self.release_trial(attempt.upstream, trial_admitted_at);
        }
        let mut running = upstream.running.iter().copied();
        let job = running.find(|job_index| self.jobs[*job_index].attempt == attempt);
        if let Some(job_index) = job {
            self.end_watch(job_index, false);
            self.free_slot(job_index);
            self.release_trial(attempt.upstream, self.jobs[job_index].trial_admitted_at);
            self.start_next(attempt.upstream);
        }
    }

    fn note_evidence(&mut self, job: &ServiceJob) {
        if self.rule.prefer().is_none() {
            return;
        }
        let evidence = match job.end {
            JobEnd::Good => RequestEvidence::Answered(self.now - job.started),
            JobEnd::Error if job.after_failure => RequestEvidence::Neutral,
            JobEnd::Error => RequestEvidence::Failed,
            JobEnd::Timeout if job.is_overdue || job.trial_admitted_at.is_some() => {
                RequestEvidence::Failed
            }
            JobEnd::Timeout => RequestEvidence::Neutral,
        };
        let health = &mut self.upstreams[job.attempt.upstream].health;
        let route = ROUTES[job.route];
        let change = match job.trial_admitted_at {
            Some(admitted_at) => health.note_trial(route, evidence, admitted_at, self.now),
            None => health.note_evidence(route, evidence, job.is_overdue, self.now),
        };
        let failure = match job.end {
            JobEnd::Good => None,
            JobEnd::Error => Some(FailureKind::Answered),
            JobEnd::Timeout => Some(FailureKind::TimedOut),
        };
        if failure.is_some() || evidence != RequestEvidence::Neutral {
            // Whether the end of the job opens or closes the circuit breaker shows only in the
            // health reports of the upstream.
            health.note_end(failure, job.started, self.now);
        }
        self.note_change(job.attempt.upstream, change);
    }

    fn note_change(&mut self, index: usize, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Ejected { .. }) => self.note_ejection(index, 1.0),
            Some(HealthChange::Returned { .. }) => self.note_return(index),
            Some(HealthChange::BreakerOpened { .. } | HealthChange::BreakerClosed { .. })
            | None => {}
        }
    }
}
