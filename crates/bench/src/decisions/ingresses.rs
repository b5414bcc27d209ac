// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The simulated ingresses: choice of an upstream, dispatch, retries, hedges and responses.

use basaltarch_decide::balance::ChoiceRequest;
use basaltarch_decide::hedge;

use crate::decisions::actors::{self, HostAnswer, RequestAttempt, SimulationEvent, ROUTES};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::rules;
use crate::decisions::scenario;
use crate::decisions::world::{DecisionWorld, FAULTY_UPSTREAM};

/// Multiple of the median service time above which a response counts as slow for the caller.
const SLOW_ANSWER_FACTOR: u32 = 8;
/// Maximum number of dispatches of one request, as in the daemon.
const DISPATCHES_MAX: usize = 3;

impl DecisionWorld {
    /// Chooses an upstream for a request and sends the request to the upstream. If no upstream can
    /// take the request, the request fails.
    pub(super) fn dispatch(&mut self, request_index: usize) {
        let request = &self.requests[request_index];
        let ingress = &mut self.ingresses[request.ingress];
        if self.rule.prefer().is_none() {
            for index in 0..self.upstreams.len() {
                ingress.view.note_draining(index, ingress.rule.is_ejected(index, self.now));
            }
            self.note_plain_return();
        }
        let request = &self.requests[request_index];
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
            _ => return self.finish_request(request_index, false),
        };
        ingress.view.note_sent(choice.index);
        let known_poison = ingress.poison.is_poison(request.hash, self.now);
        let delay = actors::delay_between(&self.plan, ingress.domain, choice.index);
        self.note_capacity(request_index);
        let request = &mut self.requests[request_index];
        request.failure_counts = request.failed_at.is_none() && !known_poison;
        request.dispatches += 1;
        request.sent_at = self.now;
        let attempt = RequestAttempt {
            request: request_index,
            upstream: choice.index,
            number: request.dispatches,
        };
        self.requests[request_index].current = Some(attempt);
        self.schedule(delay, SimulationEvent::HostArrival { attempt, refusable: choice.refusable });
        self.schedule_hedge(attempt);
    }

    /// Probes the health endpoints of all upstreams, for the rule that ejects by probes.
    pub(super) fn probe_upstreams(&mut self) {
        let fraction = 1.0 / self.ingresses.len() as f64;
        for index in 0..self.upstreams.len() {
            let is_good = faults::endpoint_is_good(&self.plan, self.now, index, FAULTY_UPSTREAM);
            for ingress in 0..self.ingresses.len() {
                if self.ingresses[ingress].rule.note_probe(index, is_good, self.now) {
                    self.note_ejection(index, fraction);
                }
            }
        }
        self.schedule(rules::PROBE_INTERVAL, SimulationEvent::Probe);
    }

    /// Schedules a hedge for a repeatable request after the hedging delay, as the daemon does.
    fn schedule_hedge(&mut self, attempt: RequestAttempt) {
        let may_hedge =
            self.requests[attempt.request].repeatable && attempt.number < DISPATCHES_MAX;
        if self.rule.prefer().is_none() || !may_hedge {
            return;
        }
        let baseline = self.baseline_for(attempt);
        if let Some(typical_time) = baseline.usual_time() {
            self.schedule(
                hedge::due_after(&typical_time, None),
                SimulationEvent::HedgeDue { attempt },
            );
        }
    }

    fn is_waiting_for(&self, attempt: RequestAttempt) -> bool {
        let request = &self.requests[attempt.request];
        !request.is_finished && request.dispatches == attempt.number
    }

    /// Sends a hedge while an attempt still runs after its hedging delay, if the retry budget
    /// allows the hedge.
    pub(super) fn send_hedge(&mut self, attempt: RequestAttempt) {
        if !self.is_waiting_for(attempt) {
            return;
        }
        let request = &mut self.requests[attempt.request];
        let ingress = &mut self.ingresses[request.ingress];
        if !ingress.budget.take(self.now) {
            return;
        }
        request.excluded.push(attempt.upstream);
        request.slow_attempts.push(attempt);
        ingress.view.note_hedge_due(attempt.upstream, self.now);
        self.dispatch(attempt.request);
    }

    /// Handles the response to a slow attempt. The response ends the request only if it is
    /// successful.
    fn handle_slow_answer(&mut self, attempt: RequestAttempt, answer: HostAnswer) {
        let request = &mut self.requests[attempt.request];
        let before = request.slow_attempts.len();
        request.slow_attempts.retain(|slow_attempt| *slow_attempt != attempt);
        let was_slow = request.slow_attempts.len() < before;
        let is_good = matches!(answer, HostAnswer::Done { end: JobEnd::Good, .. });
        if was_slow {
            self.ingresses[request.ingress].view.note_ended(attempt.upstream);
        }
        if was_slow && is_good && !request.is_finished {
            self.cancel_current(attempt.request);
            self.finish_request(attempt.request, true);
        }
    }

    /// Cancels the current attempt of a request after an earlier, slow attempt has got the
    /// response.
    fn cancel_current(&mut self, request_index: usize) {
        if let Some(attempt) = self.requests[request_index].current {
            self.cancel_from_ingress(attempt);
        }
    }

    fn cancel_from_ingress(&mut self, attempt: RequestAttempt) {
        let ingress = &mut self.ingresses[self.requests[attempt.request].ingress];
        ingress.view.note_ended(attempt.upstream);
        let delay = actors::delay_between(&self.plan, ingress.domain, attempt.upstream);
        self.schedule(delay, SimulationEvent::Cancel { attempt });
    }

    pub(super) fn handle_reply(&mut self, attempt: RequestAttempt, answer: HostAnswer) {
        if !self.is_waiting_for(attempt) {
            return self.handle_slow_answer(attempt, answer);
        }
        let (request_index, index) = (attempt.request, attempt.upstream);
        let request = self.requests[request_index].clone();
        let ingress = &mut self.ingresses[request.ingress];
        ingress.view.note_ended(index);
        let (load, health) = match answer {
            HostAnswer::Done { load, health, .. } | HostAnswer::Refused { load, health } => {
                (load, health)
            }
        };
        if let HostAnswer::Done { end, service_time, .. } = answer {
            let baseline = ingress.baselines[request.route].current();
            let failed = end != JobEnd::Good;
            let service_time = (!failed).then_some(service_time);
            ingress.recent.note(index as u32, failed, service_time, &baseline, self.now);
        }
        ingress.baselines[request.route].note(index as u32, &health);
        ingress.view.note_median(ingress.baselines[request.route].current().median_ln);
        ingress.view.note_report(index, load, health, self.now);
        match answer {
            HostAnswer::Done { end, .. } => self.handle_answer(request_index, index, end),
            HostAnswer::Refused { .. } => {
                self.requests[request_index].excluded.push(index);
                self.dispatch(request_index);
            }
        }
    }

    fn handle_answer(&mut self, request_index: usize, index: usize, end: JobEnd) {
        let failed = end != JobEnd::Good;
        let request = &self.requests[request_index];
        let ingress = &mut self.ingresses[request.ingress];
        if self.rule.prefer().is_none() {
            let latency = self.now.saturating_sub(request.sent_at);
            let ejected = ingress.rule.note_result(index, failed, latency, self.now);
            let fraction = 1.0 / self.ingresses.len() as f64;
            for each in ejected {
                self.note_ejection(each, fraction);
            }
        }
        let ingress = &mut self.ingresses[self.requests[request_index].ingress];
        let hash = self.requests[request_index].hash;
        if !failed {
            ingress.poison.note_success(hash);
            return self.finish_request(request_index, true);
        }
        let first_failed = self.requests[request_index].failed_at;
        if let Some(first_failed) = first_failed {
            ingress.poison.note_withdrawn(hash, &(first_failed as u32));
        }
        let failure_counts = self.requests[request_index].failure_counts;
        let withdrawn = ingress.poison.note_failure(hash, index as u32, failure_counts, self.now);
        let retry_forbidden =
            self.rule.prefer().is_some() && ingress.poison.forbids_retry(hash, self.now);
        let route = self.requests[request_index].route;
        for failures in withdrawn {
            for _ in 0..failures.count {
                self.withdraw(failures.upstream as usize, route);
            }
        }
        if let Some(first_failed) = first_failed {
            self.withdraw(first_failed, route);
            return self.finish_request(request_index, false);
        }
        let request = &mut self.requests[request_index];
        let before_timeout = self.now.saturating_sub(request.begun) < scenario::REQUEST_TIMEOUT;
        let budget = &mut self.ingresses[request.ingress].budget;
        if request.repeatable && before_timeout && !retry_forbidden && budget.take(self.now) {
            request.failed_at = Some(index);
            request.excluded.push(index);
            return self.dispatch(request_index);
        }
        self.finish_request(request_index, false);
    }

    fn withdraw(&mut self, index: usize, route: usize) {
        if self.rule.prefer().is_some() {
            self.upstreams[index].health.withdraw_failure(ROUTES[route]);
        }
    }

    fn finish_request(&mut self, request_index: usize, is_good: bool) {
        let begun = self.requests[request_index].begun;
        self.requests[request_index].is_finished = true;
        for attempt in std::mem::take(&mut self.requests[request_index].slow_attempts) {
            self.cancel_from_ingress(attempt);
        }
        let is_in_fault = self.plan.is_in_fault(begun);
        if !is_in_fault {
            return;
        }
        let slow = self.now - begun > scenario::SERVICE_TIME_MEDIAN * SLOW_ANSWER_FACTOR;
        self.result.failed_count += u64::from(!is_good);
        self.result.slow_count += u64::from(is_good && slow);
    }
}
