// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The ingresses of a run: choosing, sending, repeating, answering.

use basaltarch_decide::balance::ChoiceRequest;
use basaltarch_decide::hedge;

use crate::decisions::actors::{self, Answer, Dispatch, Event, ROUTES};
use crate::decisions::faults::{self, JobEnd};
use crate::decisions::rules;
use crate::decisions::scenario;
use crate::decisions::world::{World, SICK};

/// Factor on the usual median from which an answer is slow to a caller.
const SLOW_ANSWER: u32 = 8;
/// Dispatches of one request at the most, as in the daemon.
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
        let asked = ChoiceRequest {
            excluded: &request.excluded,
            repeatable: request.repeatable,
            must_take,
            ..ChoiceRequest::default()
        };
        let choice = ingress.view.choose(self.now, &asked, &mut self.rng);
        let choice = match choice {
            Some(choice) if request.dispatches < DISPATCHES_MAX => choice,
            _ => return self.finish_request(number, false),
        };
        ingress.view.note_sent(choice.index);
        let spared = ingress.poison.is_poison(request.mark, self.now);
        let delay = actors::delay_between(&self.plan, ingress.domain, choice.index);
        self.note_capacity(number);
        let request = &mut self.requests[number];
        request.counts = request.failed_at.is_none() && !spared;
        request.dispatches += 1;
        request.sent_at = self.now;
        let sent = Dispatch { request: number, upstream: choice.index, number: request.dispatches };
        self.requests[number].current = Some(sent);
        self.schedule(delay, Event::AtHost { sent, refusable: choice.refusable });
        self.schedule_patience(sent);
    }

    /// Asks the health endpoints of all upstreams, for the rule that goes by them.
    pub(super) fn probe(&mut self) {
        let part = 1.0 / self.ingresses.len() as f64;
        for index in 0..self.upstreams.len() {
            let good = faults::endpoint_is_good(&self.plan, self.now, index, SICK);
            for ingress in 0..self.ingresses.len() {
                if self.ingresses[ingress].rule.note_probe(index, good, self.now) {
                    self.note_ejection(index, part);
                }
            }
        }
        self.schedule(rules::PROBE_EVERY, Event::Probe);
    }

    /// Lets another attempt at repeatable work be made beside one that is late, as the daemon does.
    fn schedule_patience(&mut self, sent: Dispatch) {
        let may_follow = self.requests[sent.request].repeatable && sent.number < DISPATCHES_MAX;
        if self.rule.prefer().is_none() || !may_follow {
            return;
        }
        let baseline = self.baseline_for(sent);
        if let Some(usual) = baseline.usual_time() {
            self.schedule(hedge::due_after(&usual, None), Event::Impatient { sent });
        }
    }

    fn is_waiting_for(&self, sent: Dispatch) -> bool {
        let request = &self.requests[sent.request];
        !request.over && request.dispatches == sent.number
    }

    /// Makes another attempt beside one that is late, if the budget allows it.
    pub(super) fn overtake(&mut self, sent: Dispatch) {
        if !self.is_waiting_for(sent) {
            return;
        }
        let request = &mut self.requests[sent.request];
        let ingress = &mut self.ingresses[request.ingress];
        if !ingress.budget.take(self.now) {
            return;
        }
        request.excluded.push(sent.upstream);
        request.late.push(sent);
        ingress.view.note_late(sent.upstream, self.now);
        self.dispatch(sent.request);
    }

    /// Takes the answer of a late attempt: only a good one ends the request.
    fn take_late(&mut self, sent: Dispatch, answer: Answer) {
        let request = &mut self.requests[sent.request];
        let known = request.late.len();
        request.late.retain(|late| *late != sent);
        let is_late = request.late.len() < known;
        let is_good = matches!(answer, Answer::Done { end: JobEnd::Good, .. });
        if is_late {
            self.ingresses[request.ingress].view.note_over(sent.upstream);
        }
        if is_late && is_good && !request.over {
            self.cancel_current(sent.request);
            self.finish_request(sent.request, true);
        }
    }

    /// Cancels the attempt that a request waits for, as a late one was quicker after all.
    fn cancel_current(&mut self, number: usize) {
        if let Some(sent) = self.requests[number].current {
            self.cancel_from_ingress(sent);
        }
    }

    fn cancel_from_ingress(&mut self, sent: Dispatch) {
        let ingress = &mut self.ingresses[self.requests[sent.request].ingress];
        ingress.view.note_over(sent.upstream);
        let delay = actors::delay_between(&self.plan, ingress.domain, sent.upstream);
        self.schedule(delay, Event::Cancel { sent });
    }

    pub(super) fn reach_ingress(&mut self, sent: Dispatch, answer: Answer) {
        if !self.is_waiting_for(sent) {
            return self.take_late(sent, answer);
        }
        let (number, index) = (sent.request, sent.upstream);
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
            ingress.poison.note_withdrawn(mark, &(first as u32));
        }
        let counts = self.requests[number].counts;
        let taken_back = ingress.poison.note_failure(mark, index as u32, counts, self.now);
        let hopeless = self.rule.prefer().is_some() && ingress.poison.forbids_retry(mark, self.now);
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
        if request.repeatable && in_time && !hopeless && budget.take(self.now) {
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
        for sent in std::mem::take(&mut self.requests[number].late) {
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
