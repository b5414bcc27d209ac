// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The hosts of a run: slots, queues, work and what it says about an upstream.

use std::time::Duration;

use basaltarch_decide::evidence::WorkEvidence;
use basaltarch_decide::health::{AdmitVerdict, DispatchTerms, HealthChange, HealthReport};

use crate::decisions::actors::{self, Answer, Event, Job, ROUTES};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::scenario;
use crate::decisions::world::{World, SICK, SLOW_ROUTE};

impl World {
    pub(super) fn reach_host(&mut self, number: usize, index: usize, refusable: bool) {
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

    pub(super) fn refuse(&mut self, number: usize, index: usize) {
        let (load, health) = self.report(index, self.requests[number].route);
        let answer = Answer::Refused { load, health };
        self.reply(number, index, answer);
    }

    pub(super) fn report(&self, index: usize, route: usize) -> (u32, HealthReport) {
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

    pub(super) fn reply(&mut self, number: usize, index: usize, answer: Answer) {
        let domain = self.ingresses[self.requests[number].ingress].domain;
        let delay = actors::delay_between(&self.plan, domain, index);
        self.schedule(delay, Event::Reply { request: number, upstream: index, answer });
    }

    pub(super) fn start_job(&mut self, number: usize, index: usize, trial: bool) {
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
    pub(super) fn sample_work(&mut self, number: usize, index: usize) -> (Duration, JobEnd) {
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

    pub(super) fn note_overdue(&mut self, number: usize) {
        let job = self.jobs[number];
        if job.over {
            return;
        }
        self.jobs[number].overdue = true;
        let health = &mut self.upstreams[job.upstream].health;
        let change = health.note_overdue(ROUTES[job.route], self.now);
        self.note_change(job.upstream, change);
    }

    pub(super) fn end_job(&mut self, number: usize) {
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

    pub(super) fn note_evidence(&mut self, job: &Job) {
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

    pub(super) fn note_change(&mut self, index: usize, change: Option<HealthChange>) {
        match change {
            Some(HealthChange::Ejected { .. }) => self.note_ejection(index, 1.0),
            Some(HealthChange::Returned { .. }) => self.note_return(index),
            None => {}
        }
    }
}
