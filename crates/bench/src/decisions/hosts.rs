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

use crate::decisions::actors::{self, Answer, Dispatch, Event, Job, ROUTES};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::rules::RuleKind;
use crate::decisions::scenario;
use crate::decisions::world::{World, FAULTY, SLOW_ROUTE};

impl World {
    /// Returns the baseline of sibling upstreams, their typical latencies and scores, which an
    /// ingress sends along with a request.
    pub(super) fn baseline_for(&self, sent: Dispatch) -> ServiceBaseline {
        let request = &self.requests[sent.request];
        let ingress = &self.ingresses[request.ingress];
        let mut baseline = ingress.baselines[request.route].current();
        baseline.sickness = ingress.view.median_score(self.now);
        ingress.recent.adjust(sent.upstream as u32, &mut baseline, self.now);
        baseline
    }

    pub(super) fn reach_host(&mut self, sent: Dispatch, refusable: bool) {
        let mut trial = false;
        if self.rule.prefer().is_some() {
            let request = &self.requests[sent.request];
            let terms = DispatchTerms {
                route: ROUTES[request.route],
                refusable,
                repeatable: request.repeatable,
                passable: refusable,
                baseline: self.baseline_for(sent),
            };
            let (verdict, change) = self.upstreams[sent.upstream].health.admit(&terms, self.now);
            self.note_change(sent.upstream, change);
            match verdict {
                AdmitVerdict::Admit => {}
                AdmitVerdict::Trial => trial = true,
                AdmitVerdict::Refuse => return self.refuse(sent),
            }
        }
        let upstream = &mut self.upstreams[sent.upstream];
        if upstream.running.len() < self.plan.deployment.slots as usize {
            self.start_job(sent, trial);
        } else if upstream.queue.len() < scenario::QUEUE {
            upstream.queue.push_back((sent, trial));
        } else {
            self.release_trial(sent.upstream, trial);
            self.refuse(sent);
        }
    }

    /// Ends a trial that gave no evidence, so that another one can start.
    fn release_trial(&mut self, index: usize, trial: bool) {
        if trial {
            self.upstreams[index].health.note_trial(ROUTES[0], RequestEvidence::Neutral, self.now);
        }
    }

    fn refuse(&mut self, sent: Dispatch) {
        let (load, health) = self.report(sent.upstream, self.requests[sent.request].route);
        self.reply(sent, Answer::Refused { load, health });
    }

    fn report(&self, index: usize, route: usize) -> (u32, HealthReport) {
        let upstream = &self.upstreams[index];
        let mut load = (upstream.running.len() + upstream.queue.len()) as u32;
        if self.rule == RuleKind::Probes {
            load = faults::claimed_load(&self.plan, self.now, index == FAULTY, load);
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

    fn reply(&mut self, sent: Dispatch, answer: Answer) {
        let domain = self.ingresses[self.requests[sent.request].ingress].domain;
        let delay = actors::delay_between(&self.plan, domain, sent.upstream);
        self.schedule(delay, Event::Reply { sent, answer });
    }

    fn start_job(&mut self, sent: Dispatch, trial: bool) {
        let route = self.requests[sent.request].route;
        let (time, end) = self.sample_service(sent);
        let job = self.jobs.len();
        let upstream = &mut self.upstreams[sent.upstream];
        upstream.running.push(job);
        let usual = upstream.health.usual_time(ROUTES[route], None);
        let usual = usual.filter(|_| self.rule.prefer().is_some());
        let watched = usual.map(|usual| (upstream.health.start_request(usual, self.now), usual));
        if !trial {
            upstream.accepted.push(self.now);
        }
        self.jobs.push(Job {
            sent,
            route,
            started: self.now,
            end,
            overdue: false,
            watched,
            trial,
            after_failure: !self.requests[sent.request].failure_counts,
            finished: false,
        });
        self.schedule(time, Event::End { job });
        if let Some((_, usual)) = watched {
            self.schedule(hang::first_check(&usual), Event::RunningCheck { job });
        }
        if self.rule.prefer().is_some() && !trial {
            let health = &self.upstreams[sent.upstream].health;
            if let Some(after) = health.overdue_after(ROUTES[route], self.now) {
                if after < time {
                    self.schedule(after, Event::Overdue { job });
                }
            }
        }
    }

    /// Samples how long the request runs and its outcome.
    fn sample_service(&mut self, sent: Dispatch) -> (Duration, JobEnd) {
        let request = &self.requests[sent.request];
        let sample = faults::ServiceSample {
            plan: &self.plan,
            now: self.now,
            is_faulty: sent.upstream == FAULTY,
            is_failing_route: request.route == 0,
            is_slow_route: request.route == SLOW_ROUTE,
            poison: request.poison,
        };
        sample.sample(&self.service_times, &mut self.rng)
    }

    pub(super) fn note_overdue(&mut self, number: usize) {
        let job = self.jobs[number];
        if job.finished {
            return;
        }
        self.jobs[number].overdue = true;
        let health = &mut self.upstreams[job.sent.upstream].health;
        let change = health.note_overdue(ROUTES[job.route], self.now);
        self.note_change(job.sent.upstream, change);
    }

    /// Checks whether the running jobs of an upstream hang, as the daemon does.
    pub(super) fn check_job(&mut self, number: usize) {
        let job = self.jobs[number];
        let usual = match job.watched {
            Some((_, usual)) if !job.finished => usual,
            _ => return,
        };
        let change = self.upstreams[job.sent.upstream].health.check_running(self.now);
        self.note_change(job.sent.upstream, change);
        self.schedule(hang::check_interval(&usual), Event::RunningCheck { job: number });
    }

    /// Removes a job from the hang detector.
    fn end_watch(&mut self, number: usize, answered: bool) {
        let job = self.jobs[number];
        let end = match (answered, job.overdue) {
            (true, _) => WatchEnd::Progressed,
            (false, true) => WatchEnd::Recorded,
            (false, false) => WatchEnd::GivenUp,
        };
        if let Some((watched, _)) = job.watched {
            let health = &mut self.upstreams[job.sent.upstream].health;
            let change = health.end_request(watched, end, self.now);
            self.note_change(job.sent.upstream, change);
        }
    }

    pub(super) fn end_job(&mut self, number: usize) {
        let job = self.jobs[number];
        if job.finished {
            return;
        }
        self.end_watch(number, job.end != JobEnd::Timeout);
        self.free_slot(number);
        self.note_evidence(&job);
        let (load, health) = self.report(job.sent.upstream, job.route);
        let took = self.now - job.started;
        self.reply(job.sent, Answer::Done { end: job.end, took, load, health });
        self.start_next(job.sent.upstream);
    }

    fn free_slot(&mut self, number: usize) {
        self.jobs[number].finished = true;
        let index = self.jobs[number].sent.upstream;
        self.upstreams[index].running.retain(|running| *running != number);
    }

    fn start_next(&mut self, index: usize) {
        if let Some((next, trial)) = self.upstreams[index].queue.pop_front() {
            self.start_job(next, trial);
        }
    }

    /// Cancels an attempt that its ingress no longer waits for. The cancelled attempt is no
    /// evidence about the upstream, except if it was already recorded as overdue.
    pub(super) fn cancel(&mut self, sent: Dispatch) {
        let upstream = &mut self.upstreams[sent.upstream];
        let waiting = upstream.queue.iter().position(|(queued, _)| *queued == sent);
        if let Some((_, trial)) = waiting.and_then(|position| upstream.queue.remove(position)) {
            return self.release_trial(sent.upstream, trial);
        }
        let mut running = upstream.running.iter().copied();
        let job = running.find(|number| self.jobs[*number].sent == sent);
        if let Some(number) = job {
            self.end_watch(number, false);
            self.free_slot(number);
            self.release_trial(sent.upstream, self.jobs[number].trial);
            self.start_next(sent.upstream);
        }
    }

    fn note_evidence(&mut self, job: &Job) {
        if self.rule.prefer().is_none() {
            return;
        }
        let evidence = match job.end {
            JobEnd::Good => RequestEvidence::Answered(self.now - job.started),
            JobEnd::Error if job.after_failure => RequestEvidence::Neutral,
            JobEnd::Error => RequestEvidence::Failed,
            JobEnd::Timeout if job.overdue || job.trial => RequestEvidence::Failed,
            JobEnd::Timeout => RequestEvidence::Neutral,
        };
        let health = &mut self.upstreams[job.sent.upstream].health;
        let route = ROUTES[job.route];
        let change = if job.trial {
            health.note_trial(route, evidence, self.now)
        } else {
            health.note_evidence(route, evidence, job.overdue, self.now)
        };
        let failure = match job.end {
            JobEnd::Good => None,
            JobEnd::Error | JobEnd::Timeout => Some(FailureKind::Answered),
        };
        if failure.is_some() || evidence != RequestEvidence::Neutral {
            // Whether this opens or closes the circuit breaker shows only in the reports.
            health.note_end(failure, job.started, self.now);
        }
        self.note_change(job.sent.upstream, change);
    }

    fn note_change(&mut self, index: usize, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Ejected { .. }) => self.note_ejection(index, 1.0),
            Some(HealthChange::Returned { .. }) => self.note_return(index),
            Some(HealthChange::BreakerOpened | HealthChange::BreakerClosed { .. }) | None => {}
        }
    }
}
