// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The simulated ingresses: choice of an upstream, dispatch, retries, hedges and responses.

use basaltarch_decide::balance::ChoiceRequest;
use basaltarch_decide::hedge;

use crate::decisions::actors::{self, Answer, Dispatch, Event, ROUTES};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::rules;
use crate::decisions::scenario;
use crate::decisions::world::{World, FAULTY};

/// Multiple of the median service time above which a response counts as slow for its caller.
const SLOW_ANSWER: u32 = 8;
/// Maximum number of dispatches of one request, as in the daemon.
const DISPATCHES_MAX: usize = 3;

impl World {
    /// Chooses an upstream for a request and sends it there.
    pub(super) fn dispatch(&mut self, number: usize) {
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
        let criteria = ChoiceRequest {
            excluded: &request.excluded,
            repeatable: request.repeatable,
            must_take,
            ..ChoiceRequest::default()
        };
        let choice = ingress.view.choose(self.now, &criteria, &mut self.rng);
        let choice = match choice {
            Some(choice) if request.dispatches < DISPATCHES_MAX => choice,
            _ => return self.finish_request(number, false),
        };
        ingress.view.note_sent(choice.index);
        let known_poison = ingress.poison.is_poison(request.hash, self.now);
        let delay = actors::delay_between(&self.plan, ingress.domain, choice.index);
        self.note_capacity(number);
        let request = &mut self.requests[number];
        request.failure_counts = request.failed_at.is_none() && !known_poison;
        request.dispatches += 1;
        request.sent_at = self.now;
        let sent = Dispatch { request: number, upstream: choice.index, number: request.dispatches };
        self.requests[number].current = Some(sent);
        self.schedule(delay, Event::HostArrival { sent, refusable: choice.refusable });
        self.schedule_hedge(sent);
    }

    /// Probes the health endpoints of all upstreams, for the rule that ejects by probes.
    pub(super) fn probe(&mut self) {
        let fraction = 1.0 / self.ingresses.len() as f64;
        for index in 0..self.upstreams.len() {
            let good = faults::endpoint_is_good(&self.plan, self.now, index, FAULTY);
            for ingress in 0..self.ingresses.len() {
                if self.ingresses[ingress].rule.note_probe(index, good, self.now) {
                    self.note_ejection(index, fraction);
                }
            }
        }
        self.schedule(rules::PROBE_INTERVAL, Event::Probe);
    }

    /// Schedules a hedge for a repeatable request after its hedging delay, as the daemon does.
    fn schedule_hedge(&mut self, sent: Dispatch) {
        let may_hedge = self.requests[sent.request].repeatable && sent.number < DISPATCHES_MAX;
        if self.rule.prefer().is_none() || !may_hedge {
            return;
        }
        let baseline = self.baseline_for(sent);
        if let Some(usual) = baseline.usual_time() {
            self.schedule(hedge::due_after(&usual, None), Event::HedgeDue { sent });
        }
    }

    fn is_waiting_for(&self, sent: Dispatch) -> bool {
        let request = &self.requests[sent.request];
        !request.finished && request.dispatches == sent.number
    }

    /// Sends a hedge while a slow attempt still runs, if the retry budget allows the hedge.
    pub(super) fn send_hedge(&mut self, sent: Dispatch) {
        if !self.is_waiting_for(sent) {
            return;
        }
        let request = &mut self.requests[sent.request];
        let ingress = &mut self.ingresses[request.ingress];
        if !ingress.budget.take(self.now) {
            return;
        }
        request.excluded.push(sent.upstream);
        request.slow_attempts.push(sent);
        ingress.view.note_hedge_due(sent.upstream, self.now);
        self.dispatch(sent.request);
    }

    /// Handles the response of a slow attempt, which ends the request only if it is successful.
    fn handle_slow_answer(&mut self, sent: Dispatch, answer: Answer) {
        let request = &mut self.requests[sent.request];
        let before = request.slow_attempts.len();
        request.slow_attempts.retain(|attempt| *attempt != sent);
        let was_slow = request.slow_attempts.len() < before;
        let is_good = matches!(answer, Answer::Done { end: JobEnd::Good, .. });
        if was_slow {
            self.ingresses[request.ingress].view.note_ended(sent.upstream);
        }
        if was_slow && is_good && !request.finished {
            self.cancel_current(sent.request);
            self.finish_request(sent.request, true);
        }
    }

    /// Cancels the current attempt of a request after a slower one responded first.
    fn cancel_current(&mut self, number: usize) {
        if let Some(sent) = self.requests[number].current {
            self.cancel_from_ingress(sent);
        }
    }

    fn cancel_from_ingress(&mut self, sent: Dispatch) {
        let ingress = &mut self.ingresses[self.requests[sent.request].ingress];
        ingress.view.note_ended(sent.upstream);
        let delay = actors::delay_between(&self.plan, ingress.domain, sent.upstream);
        self.schedule(delay, Event::Cancel { sent });
    }

    pub(super) fn reach_ingress(&mut self, sent: Dispatch, answer: Answer) {
        if !self.is_waiting_for(sent) {
            return self.handle_slow_answer(sent, answer);
        }
        let (number, index) = (sent.request, sent.upstream);
        let request = self.requests[number].clone();
        let ingress = &mut self.ingresses[request.ingress];
        ingress.view.note_ended(index);
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
            Answer::Done { end, .. } => self.handle_answer(number, index, end),
            Answer::Refused { .. } => {
                self.requests[number].excluded.push(index);
                self.dispatch(number);
            }
        }
    }

    fn handle_answer(&mut self, number: usize, index: usize, end: JobEnd) {
        let failed = end != JobEnd::Good;
        let request = &self.requests[number];
        let ingress = &mut self.ingresses[request.ingress];
        if self.rule.prefer().is_none() {
            let latency = self.now.saturating_sub(request.sent_at);
            let ejected = ingress.rule.note(index, failed, latency, self.now);
            let fraction = 1.0 / self.ingresses.len() as f64;
            for each in ejected {
                self.note_ejection(each, fraction);
            }
        }
        let ingress = &mut self.ingresses[self.requests[number].ingress];
        let hash = self.requests[number].hash;
        if !failed {
            ingress.poison.note_success(hash);
            return self.finish_request(number, true);
        }
        let first_failed = self.requests[number].failed_at;
        if let Some(first_failed) = first_failed {
            ingress.poison.note_withdrawn(hash, &(first_failed as u32));
        }
        let failure_counts = self.requests[number].failure_counts;
        let withdrawn = ingress.poison.note_failure(hash, index as u32, failure_counts, self.now);
        let retry_forbidden =
            self.rule.prefer().is_some() && ingress.poison.forbids_retry(hash, self.now);
        let route = self.requests[number].route;
        for failures in withdrawn {
            for _ in 0..failures.count {
                self.withdraw(failures.upstream as usize, route);
            }
        }
        if let Some(first_failed) = first_failed {
            self.withdraw(first_failed, route);
            return self.finish_request(number, false);
        }
        let request = &mut self.requests[number];
        let before_timeout = self.now.saturating_sub(request.begun) < scenario::REQUEST_TIMEOUT;
        let budget = &mut self.ingresses[request.ingress].budget;
        if request.repeatable && before_timeout && !retry_forbidden && budget.take(self.now) {
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
        self.requests[number].finished = true;
        for sent in std::mem::take(&mut self.requests[number].slow_attempts) {
            self.cancel_from_ingress(sent);
        }
        let in_fault = self.plan.in_fault(begun);
        if !in_fault {
            return;
        }
        let slow = self.now - begun > scenario::SERVICE_MEDIAN * SLOW_ANSWER;
        self.result.failed += u64::from(!good);
        self.result.slow += u64::from(good && slow);
    }
}
