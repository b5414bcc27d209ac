// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Makes the attempts at one request: chooses an upstream, dispatches the request, and decides
//! whether a further attempt is allowed.
//!
//! A request that certainly did not run can be sent to another upstream without harm. One request
//! is sent again at most twice, and its last dispatch is marked as not refusable. A request that
//! may have run is retried only if its route allows it, and the retry is charged to the retry
//! budget of its service. No request is retried once the head of an answer was sent to the caller.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_core::resources::WorkMode;
use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, UpstreamChoice};
use basaltarch_decide::probing;
use basaltarch_decide::suspects::{CopyVerdict, CrashTally};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_options::WaitingMode;
use basaltarch_peer::protocol::AnswerHead;

use crate::ingress::body::RequestBody;
use crate::ingress::dispatch::{DispatchEnd, LiveExchange, DISPATCHES_MAX};
use crate::ingress::failure::CallerFailure;
use crate::ingress::load_probe::{self as ingress_probe, ProbedUpstream};
use crate::ingress::request::CallerRequest;
use crate::ingress::reservations::SlotEnd;
use crate::ingress::slow_attempts::{SlowAttempt, SlowAttempts};
use crate::ingress::trace::{self, NextStep, StepEnd, StepLoad, TraceStep};
use crate::ingress::waiting::{self, AttemptFailure, FirstEvent};
use crate::state::DaemonState;
use crate::stop;
use crate::suspects;
use crate::wire;

/// Number of upstreams that may decline one request, for example because the circuit breaker of the
/// upstream is open. If the circuit breakers of a third of the upstreams are open, one request in
/// 80 reaches a fifth upstream.
const DECLINES_MAX: usize = 4;

/// `AttemptEnd` is how the attempts at a request ended.
pub enum AttemptEnd {
    /// The exchange that brought an answer, and the head of that answer.
    Answer(LiveExchange, Box<AnswerHead>),
    /// No attempt brought an answer.
    Failed(CallerFailure),
    /// The body turned out to be malformed or too large after a part of it was passed on.
    BodyUnreadable(HttpError),
    /// The caller disconnected.
    CallerGone,
}

/// `RequestAttempts` is the state of the attempts at one request.
pub struct RequestAttempts<'a> {
    /// State of this daemon.
    pub state: &'a Rc<DaemonState>,
    /// Request to which the attempts belong.
    pub request: &'a CallerRequest,
    /// Upstreams to which the request must not be sent.
    pub excluded: Vec<usize>,
    /// Upstreams that declined the request as full.
    pub full: Vec<usize>,
    /// Upstreams that declined the request for the sake of others because their circuit breakers are
    /// open. They are excluded until no other upstream remains.
    doubted: Vec<usize>,
    /// Number of dispatches that were made.
    pub dispatches: usize,
    /// Number of attempts that reached or may have reached a backend server.
    pub server_attempts: usize,
    decline_count: usize,
    /// Whether this request is sent as a trial although its copies are refused in the whole fleet
    /// because they crashed servers.
    is_crash_trial: bool,
    /// Whether no healthy upstream accepts a reservation for the request.
    pub is_unreservable: bool,
    /// Time until which the request may wait for a slot; set when its first wait begins.
    pub wait_until: Option<Duration>,
    /// Whether a host held a reservation for the request, so that the request was admitted to wait.
    pub has_held_reservation: bool,
    /// How the last attempt ended.
    pub last_outcome: FailureOutcome,
    /// Why an earlier attempt may have run the request; `None` if no earlier attempt, apart from slow
    /// attempts, can have run the request.
    may_have_run: Option<UnknownReason>,
    /// Upstream at which an earlier attempt failed.
    pub failed_at: Option<usize>,
}

/// Runs the attempts at a request until an attempt brings an answer or no further attempt is
/// allowed.
pub async fn run(
    state: &Rc<DaemonState>,
    stream: &mut HttpStream,
    request: &CallerRequest,
    body: &mut RequestBody,
) -> AttemptEnd {
    let mut attempts = RequestAttempts {
        state,
        request,
        excluded: Vec::new(),
        full: Vec::new(),
        doubted: Vec::new(),
        dispatches: 0,
        server_attempts: 0,
        decline_count: 0,
        is_crash_trial: false,
        is_unreservable: false,
        wait_until: None,
        has_held_reservation: false,
        last_outcome: FailureOutcome::NotRun(NotRunReason::NoUpstream),
        may_have_run: None,
        failed_at: None,
    };
    let mut fallback: Option<(LiveExchange, AnswerHead)> = None;
    let mut slow = SlowAttempts::default();
    loop {
        let Some(start) = body.start() else {
            let failure = CallerFailure::new(attempts.last_outcome);
            return attempts.end_with(stream, &mut slow, fallback, failure).await;
        };
        let choice = match attempts.choose() {
            Ok(choice) => choice,
            Err(failure) => {
                return attempts.end_with(stream, &mut slow, fallback, failure).await;
            }
        };
        let choice = match waiting::unless_caller_gone(stream, attempts.probe_choice(choice)).await
        {
            Some(Some(choice)) => choice,
            // None of the probed upstreams would accept the request.
            Some(None) => continue,
            None => return AttemptEnd::CallerGone,
        };
        let (choice, started, dispatched) = if attempts.needs_reservation(&choice) {
            match attempts.wait_for_slot(stream, &start).await {
                SlotEnd::Sent(choice, live) => {
                    (choice, attempts.log_start(&choice), DispatchEnd::Sent(live))
                }
                SlotEnd::NoReservation => continue,
                SlotEnd::Failed(failure) => {
                    return attempts.end_with(stream, &mut slow, fallback, failure).await;
                }
                SlotEnd::CallerGone => return AttemptEnd::CallerGone,
            }
        } else {
            let started = attempts.log_start(&choice);
            let dispatched = attempts.dispatch(stream, choice, &start).await;
            (choice, started, dispatched)
        };
        let mut live = match dispatched {
            DispatchEnd::Sent(live) => live,
            DispatchEnd::Unreachable => {
                attempts.log_end(
                    &started,
                    StepEnd::Failed(attempts.last_outcome),
                    None,
                    NextStep::Elsewhere,
                );
                continue;
            }
            DispatchEnd::CallerGone => {
                attempts.log_end(&started, StepEnd::CallerGone, None, NextStep::End);
                return AttemptEnd::CallerGone;
            }
        };
        let time_left = attempts.time_left();
        let attempt_event =
            waiting::first_event(state, request, time_left, stream, body, &mut live, &mut slow)
                .await;
        match attempt_event {
            FirstEvent::CallerGone => {
                attempts.log_end(&started, StepEnd::CallerGone, None, NextStep::End);
                return AttemptEnd::CallerGone;
            }
            FirstEvent::BodyUnreadable(error) => {
                let outcome = FailureOutcome::Unknown(UnknownReason::BodyUnreadable);
                attempts.log_end(&started, StepEnd::Failed(outcome), None, NextStep::End);
                return AttemptEnd::BodyUnreadable(error);
            }
            FirstEvent::SlowAnswer(attempt, head) => return attempts.end_with_slow(attempt, head),
            FirstEvent::Stopping => {
                let outcome = FailureOutcome::Unknown(UnknownReason::DaemonStopped);
                attempts.log_end(&started, StepEnd::Failed(outcome), None, NextStep::End);
                if let Some((live, head)) = fallback {
                    return AttemptEnd::Answer(live, Box::new(head));
                }
                trace::log_given_up(state, request);
                return AttemptEnd::Failed(CallerFailure::new(outcome));
            }
            FirstEvent::Head(head) => {
                attempts.server_attempts += 1;
                let end = StepEnd::Answered(head.status as u16);
                let load = Some(StepLoad::of(&head.report));
                let failed = wire::is_server_error(head.status as u16);
                if !failed {
                    attempts.note_bytes(&head);
                }
                attempts.note_report(choice.index, &head.report, Some(failed));
                if failed && fallback.is_some() {
                    attempts.withdraw_first_failure();
                }
                attempts.note_attempt_result(choice.index, &live, failed);
                let is_final = !failed || !head.last;
                let has_next_attempt = !is_final && fallback.is_none() && attempts.may_retry(body);
                if is_final || !has_next_attempt && slow.is_empty() {
                    attempts.log_end(&started, end, load, NextStep::Answer);
                    return AttemptEnd::Answer(live, Box::new(head));
                }
                live.finish();
                if !has_next_attempt {
                    attempts.log_end(&started, end, load, NextStep::End);
                    let failure = CallerFailure::new(attempts.last_outcome);
                    let fallback = Some((live, head));
                    return attempts.end_with(stream, &mut slow, fallback, failure).await;
                }
                attempts.log_end(&started, end, load, NextStep::Retry);
                attempts.failed_at = Some(choice.index);
                attempts.excluded.push(choice.index);
                fallback = Some((live, head));
            }
            FirstEvent::HedgeDue => {
                // The retry budget is already charged for the hedge that follows.
                attempts.log_end(&started, StepEnd::Hedged, None, NextStep::Retry);
                attempts.server_attempts += 1;
                attempts.request.service.note_hedge_due(choice.index, state.now());
                attempts.excluded.push(choice.index);
                slow.push(SlowAttempt { start: started, live });
            }
            FirstEvent::Failed(AttemptFailure { outcome, report, is_exchange_over }) => {
                if is_exchange_over {
                    live.finish();
                }
                if let Some(report) = &report {
                    let has_run = matches!(outcome, FailureOutcome::Unknown(_));
                    attempts.note_report(choice.index, report, has_run.then_some(true));
                }
                if failed_at_server(outcome) {
                    attempts.note_attempt_result(choice.index, &live, true);
                }
                let end = StepEnd::Failed(outcome);
                let load = report.as_ref().map(StepLoad::of);
                if attempts.has_declined(&started, outcome, body) {
                    attempts.log_end(&started, end, load, NextStep::Elsewhere);
                    continue;
                }
                attempts.excluded.push(choice.index);
                attempts.note_outcome(outcome);
                attempts.server_attempts += usize::from(may_have_reached_server(outcome));
                let has_next_attempt = match outcome {
                    FailureOutcome::NotRun(reason) => attempts.may_go_elsewhere(reason, body),
                    FailureOutcome::Unknown(_) => attempts.may_retry(body),
                };
                attempts.log_end(&started, end, load, next_step(outcome, has_next_attempt));
                if !has_next_attempt {
                    let failure = CallerFailure::new(outcome);
                    return attempts.end_with(stream, &mut slow, fallback, failure).await;
                }
            }
        }
    }
}

/// Returns what follows a failed attempt.
fn next_step(outcome: FailureOutcome, has_next_attempt: bool) -> NextStep {
    match outcome {
        _ if !has_next_attempt => NextStep::End,
        FailureOutcome::NotRun(reason) if reason != NotRunReason::Shed => NextStep::Elsewhere,
        _ => NextStep::Retry,
    }
}

/// `AttemptStart` is the number, the upstream and the start of an attempt, for its log lines.
pub struct AttemptStart {
    attempt: usize,
    index: usize,
    began: Duration,
    /// Whether another upstream could be tried when the attempt was made.
    was_passable: bool,
}

impl RequestAttempts<'_> {
    /// Counts an attempt and logs the choice of its upstream.
    fn log_start(&mut self, choice: &UpstreamChoice) -> AttemptStart {
        let attempts = &self.request.trace.attempts;
        attempts.set(attempts.get() + 1);
        let attempt = attempts.get() as usize;
        let passable = self.is_passable();
        let step = TraceStep::Chosen { attempt, choice: *choice, passable };
        trace::note_step(self.state, self.request, step);
        let began = self.state.now();
        AttemptStart { attempt, index: choice.index, began, was_passable: passable }
    }

    /// Logs the end of an attempt.
    fn log_end(&self, start: &AttemptStart, end: StepEnd, load: Option<StepLoad>, next: NextStep) {
        let AttemptStart { attempt, index, began, .. } = *start;
        let step = TraceStep::Ended { attempt, index, end, began, load, next };
        trace::note_step(self.state, self.request, step);
    }

    /// Ends the request with the successful answer of a slow attempt.
    fn end_with_slow(&self, attempt: SlowAttempt, head: AnswerHead) -> AttemptEnd {
        let SlowAttempt { start, live } = attempt;
        self.note_report(start.index, &head.report, Some(false));
        self.note_attempt_result(start.index, &live, false);
        let end = StepEnd::Answered(head.status as u16);
        self.log_end(&start, end, Some(StepLoad::of(&head.report)), NextStep::Answer);
        AttemptEnd::Answer(live, Box::new(head))
    }

    /// Ends the request without another attempt: with the successful answer of a slow attempt, else
    /// with `fallback`, the server error that an earlier attempt got as its answer, else with
    /// `failure`.
    async fn end_with(
        &self,
        stream: &mut HttpStream,
        slow: &mut SlowAttempts,
        fallback: Option<(LiveExchange, AnswerHead)>,
        failure: CallerFailure,
    ) -> AttemptEnd {
        if !slow.is_empty() {
            let (time_left, outcome) = (self.time_left(), failure.outcome);
            match waiting::await_slow_answers(self.state, time_left, stream, slow, outcome).await {
                FirstEvent::SlowAnswer(attempt, head) => return self.end_with_slow(attempt, head),
                FirstEvent::CallerGone => return AttemptEnd::CallerGone,
                _ => {}
            }
        }
        if let Some((live, head)) = fallback {
            return AttemptEnd::Answer(live, Box::new(head));
        }
        let slow_run = slow.may_have_run().then_some(UnknownReason::TimedOut);
        self.end_without_answer(self.may_have_run.or(slow_run), failure)
    }

    /// Builds the end of a request without an answer. If any attempt may have run the request, as
    /// `may_have_run` says, the caller is not told that the request was not run.
    fn end_without_answer(
        &self,
        may_have_run: Option<UnknownReason>,
        failure: CallerFailure,
    ) -> AttemptEnd {
        match (may_have_run, failure.outcome) {
            (Some(reason), FailureOutcome::NotRun(_)) => {
                AttemptEnd::Failed(CallerFailure::new(FailureOutcome::Unknown(reason)))
            }
            _ => AttemptEnd::Failed(failure),
        }
    }

    fn note_outcome(&mut self, outcome: FailureOutcome) {
        self.last_outcome = outcome;
        if let FailureOutcome::Unknown(reason) = outcome {
            self.may_have_run = Some(reason);
        }
    }

    /// Says whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.request.route.rule.mode == WorkMode::Repeatable
    }

    /// Returns the time left until the deadline of the request.
    pub fn time_left(&self) -> Duration {
        self.request.deadline.saturating_sub(self.state.now())
    }

    /// Returns the time left until the objective of the request, after which an answer is worth
    /// less; zero if the route declares no objective.
    pub fn objective_left(&self) -> Duration {
        self.request.objective.map_or(Duration::ZERO, |at| at.saturating_sub(self.state.now()))
    }

    /// Returns the number of service rounds that the request may wait for an upstream in the local
    /// failure domain before an upstream in another failure domain is preferred.
    pub fn local_wait_rounds(&self) -> f64 {
        let far_megabyte_time = self.state.live().far_megabyte;
        self.request.service.local_wait_rounds(&self.request.route.name, far_megabyte_time)
    }

    /// Chooses an upstream. One that declined the request for the sake of others is chosen again only
    /// if no other remains.
    fn choose(&mut self) -> Result<UpstreamChoice, CallerFailure> {
        let chosen = self.choose_untried();
        if chosen.is_ok() || self.doubted.is_empty() || self.time_left().is_zero() {
            return chosen;
        }
        let doubted = std::mem::take(&mut self.doubted);
        self.excluded.retain(|index| !doubted.contains(index));
        self.choose_untried()
    }

    /// Chooses an upstream among those that the request was not sent to.
    fn choose_untried(&mut self) -> Result<UpstreamChoice, CallerFailure> {
        if !self.may_dispatch() {
            return Err(CallerFailure::not_run(NotRunReason::Draining));
        }
        if self.time_left().is_zero() && self.dispatches == 0 {
            return Err(CallerFailure::not_run(NotRunReason::DeadlinePassed));
        }
        self.refuse_revoked_key()?;
        self.refuse_suspect()?;
        let must_take = self.dispatches + 1 >= DISPATCHES_MAX;
        let now = self.state.now();
        let service = &self.request.service;
        let request = ChoiceRequest {
            excluded: &self.excluded,
            full: &self.full,
            repeatable: self.may_be_trial(),
            must_take,
            is_last: self.decline_count >= DECLINES_MAX,
            local_wait_rounds: self.local_wait_rounds(),
        };
        service.refresh_own(self.state, &self.request.route.name);
        service
            .choose(now, &request)
            .filter(|_| self.dispatches < DISPATCHES_MAX)
            .ok_or_else(|| CallerFailure::new(self.last_outcome))
    }

    /// Probes the load of the chosen upstream and of the other candidate of the choice, and returns
    /// a choice of the better upstream. Returns `None` if each of the two upstreams would decline
    /// the request or doesn't answer, and other upstreams can be tried.
    async fn probe_choice(&mut self, choice: UpstreamChoice) -> Option<UpstreamChoice> {
        if !self.is_probe_useful(&choice) {
            return Some(choice);
        }
        let rival = choice.rival.map(|rival| rival.index);
        let indexes: Vec<usize> = std::iter::once(choice.index).chain(rival).collect();
        let probed = ingress_probe::probe_all(self.state, self.request, &indexes).await;
        if probed.is_empty() {
            return Some(choice);
        }
        for probed_upstream in &probed {
            if let Some(report) = &probed_upstream.report {
                self.note_report(probed_upstream.index, report, None);
            }
        }
        let best = ingress_probe::best_of(&probed);
        let accepts = best.is_some_and(|best| !best.declines());
        self.request.service.note_probe(accepts);
        if !accepts && self.is_passable() {
            self.skip_probed(&probed);
            return None;
        }
        Some(UpstreamChoice { index: best.map_or(choice.index, |best| best.index), ..choice })
    }

    /// Says whether a load probe may change to which upstream the request is sent. If the ground of
    /// the choice is neither `Near` nor `Sound`, a probe has no use: the request queues, is a
    /// trial, or is sent to one of the few remaining upstreams.
    fn is_probe_useful(&self, choice: &UpstreamChoice) -> bool {
        let is_open_choice = matches!(choice.ground, ChoiceGround::Near | ChoiceGround::Sound);
        let path = self.request.service.path(choice.index);
        let time_left = Some(self.objective_left()).filter(|time_left| !time_left.is_zero());
        let time_left = time_left.unwrap_or_else(|| self.time_left());
        let is_worthwhile = probing::is_worthwhile(choice.report_age, path.round_trip(), time_left);
        is_open_choice && !path.is_self && is_worthwhile && self.request.service.should_probe()
    }

    /// Skips the upstreams that were probed, because each of these upstreams would decline the
    /// request or did not answer its probe.
    fn skip_probed(&mut self, probed: &[ProbedUpstream]) {
        self.decline_count += 1;
        for probed_upstream in probed {
            let is_full =
                probed_upstream.load().is_some_and(|load| load.is_full() && !load.doubtful);
            let skip_list = if is_full { &mut self.full } else { &mut self.excluded };
            skip_list.push(probed_upstream.index);
            if probed_upstream.load().is_some_and(|load| load.doubtful) {
                self.note_doubted(probed_upstream.index);
            }
        }
    }

    /// Refuses a request whose caller's key was revoked after the request was admitted. The key is
    /// checked before each dispatch, so that a request that waited for a retry doesn't start under
    /// a revoked key.
    pub fn refuse_revoked_key(&self) -> Result<(), CallerFailure> {
        let caller = &self.request.caller;
        let is_same = self.state.config.revision() == self.request.revision;
        if is_same || caller.is_key_valid(&self.state.config.active()) {
            return Ok(());
        }
        Err(caller.revoked_key_failure())
    }

    /// Refuses a request whose copies crash the servers that run them, unless this request is sent
    /// as a trial. The request is checked before each dispatch, since another daemon may have
    /// reported a crash after the last check.
    pub fn refuse_suspect(&mut self) -> Result<(), CallerFailure> {
        if self.is_crash_trial || self.state.suspects.is_empty() {
            return Ok(());
        }
        let fingerprint = self.request.fingerprint(self.state);
        match suspects::judge_copy(self.state, &fingerprint) {
            CopyVerdict::Serve => Ok(()),
            CopyVerdict::Trial => {
                self.is_crash_trial = true;
                trace::log_trial(self.state, self.request);
                Ok(())
            }
            CopyVerdict::Refuse { retry_after } => Err(CallerFailure {
                retry_after: Some(retry_after),
                ..CallerFailure::not_run(NotRunReason::CrashesServers)
            }),
        }
    }

    /// Says whether the request may still be dispatched while the daemon shuts down. Before the
    /// first dispatch, the admission of the request is checked again, because the daemon may have
    /// begun to shut down while the body was read.
    pub fn may_dispatch(&self) -> bool {
        if self.dispatches + self.decline_count == 0 {
            return stop::admits_request(self.state, &self.request.trace.id);
        }
        !self.state.stop.giving_up.is_raised()
    }

    /// Says whether a request that did not run may be sent to another upstream.
    fn may_go_elsewhere(&self, reason: NotRunReason, body: &RequestBody) -> bool {
        let would_recur = matches!(
            reason,
            NotRunReason::DeadlinePassed
                | NotRunReason::CallerGone
                | NotRunReason::KeyReused
                | NotRunReason::LedgerUnavailable
                | NotRunReason::CrashesServers
        );
        let is_allowed = !would_recur
            && body.start().is_some()
            && self.dispatches < DISPATCHES_MAX
            && !self.time_left().is_zero();
        // Shedding a request costs a backend server processing time, so sending the request
        // elsewhere counts as a retry.
        let is_uncharged = reason != NotRunReason::Shed;
        is_allowed && (is_uncharged || self.has_server_attempts_left() && self.take_retry())
    }

    /// Says whether another upstream can be tried if the next upstream declines the request.
    pub fn is_passable(&self) -> bool {
        let tried_indexes = [&self.excluded[..], &self.full].concat();
        let now = self.state.now();
        let service = &self.request.service;
        let other_count = service.with_view(|view| view.count_others(&tried_indexes, now));
        self.decline_count < DECLINES_MAX && other_count > 1
    }

    /// Records that an upstream declined the request because the upstream is full or draining or
    /// its circuit breaker is open. Returns whether the upstream declined and another upstream may
    /// be tried. A decline costs only a round trip, so a decline does not count as a dispatch.
    ///
    /// An upstream that was told of another one declines also if the other one has become full
    /// since. The upstream itself must then remain eligible.
    fn has_declined(
        &mut self,
        start: &AttemptStart,
        outcome: FailureOutcome,
        body: &RequestBody,
    ) -> bool {
        let decline_reasons = [
            NotRunReason::Unhealthy,
            NotRunReason::Unproven,
            NotRunReason::QueueFull,
            NotRunReason::Draining,
        ];
        let connect_failed = outcome == FailureOutcome::NotRun(NotRunReason::ConnectFailed);
        // A host offers a slot before the host knows whether its backend server accepts a
        // connection. If the server refuses the connection, the offer was void and counts as a
        // decline.
        let offer_was_void =
            connect_failed && self.state.live().waiting == WaitingMode::Reservations;
        let declined =
            decline_reasons.iter().any(|reason| outcome == FailureOutcome::NotRun(*reason));
        let declined = declined || offer_was_void;
        let may_decline = start.was_passable || self.is_passable();
        if !declined || !may_decline || body.start().is_none() || self.time_left().is_zero() {
            return false;
        }
        self.dispatches -= 1;
        self.decline_count += 1;
        let full_reasons = [NotRunReason::QueueFull, NotRunReason::Unproven];
        if full_reasons.iter().any(|reason| outcome == FailureOutcome::NotRun(*reason)) {
            self.full.push(start.index);
            return true;
        }
        self.excluded.push(start.index);
        if outcome == FailureOutcome::NotRun(NotRunReason::Unhealthy) {
            self.note_doubted(start.index);
        }
        true
    }

    /// Records that an upstream declined the request as unhealthy. An ejected upstream is not asked
    /// again: it would probably fail the request.
    fn note_doubted(&mut self, index: usize) {
        let is_ejected = self.request.service.with_view(|view| view.is_ejected(index));
        if !is_ejected && !self.doubted.contains(&index) {
            self.doubted.push(index);
        }
    }

    /// Says whether the request may be sent as a trial to an upstream that may fail the request. A
    /// request that fails as a trial must be retried, so neither a retry nor a request for which
    /// the retry budget is exhausted is used as a trial.
    fn may_be_trial(&self) -> bool {
        self.is_repeatable()
            && self.server_attempts == 0
            && self.request.service.has_retry_budget(self.state)
    }

    /// Returns the mode that is sent to the host's daemon: a repeatable request that may not be a
    /// trial is sent as `Plain`.
    pub fn dispatch_mode(&self) -> WorkMode {
        match self.request.route.rule.mode {
            WorkMode::Repeatable if !self.may_be_trial() => WorkMode::Plain,
            mode => mode,
        }
    }

    /// Says whether the route lets the request reach one more backend server.
    fn has_server_attempts_left(&self) -> bool {
        match self.request.route.rule.attempts {
            0 => true,
            attempts_max => self.server_attempts < attempts_max as usize,
        }
    }

    fn take_retry(&self) -> bool {
        self.request.service.take_retry(self.state)
    }

    /// Says whether a request that may have run may be sent again. If the request may be sent
    /// again, the retry budget is charged.
    fn may_retry(&self, body: &RequestBody) -> bool {
        self.is_repeatable()
            && body.start().is_some()
            && self.dispatches < DISPATCHES_MAX
            && !self.time_left().is_zero()
            && self.has_server_attempts_left()
            && !self.fails_everywhere()
            && self.request.tally(self.state).is_none_or(CrashTally::allows_retry)
            && self.take_retry()
    }
}

/// Says whether the request reached or may have reached a backend server.
fn may_have_reached_server(outcome: FailureOutcome) -> bool {
    matches!(outcome, FailureOutcome::Unknown(_) | FailureOutcome::NotRun(NotRunReason::Shed))
}

/// Says whether the backend server failed, rather than the path to the server.
fn failed_at_server(outcome: FailureOutcome) -> bool {
    matches!(
        outcome,
        FailureOutcome::Unknown(
            UnknownReason::BackendBroken | UnknownReason::AnswerBroken | UnknownReason::TimedOut
        )
    )
}
