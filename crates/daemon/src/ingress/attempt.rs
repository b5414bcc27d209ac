// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The attempts at one request: choosing, dispatching, and what may be tried again.
//!
//! What certainly did not run may go elsewhere without harm, at most twice, the last time not
//! refusable. What may have run is repeated only if its route allows that, out of the service's
//! budget. Once the answer's head went to the caller, nothing is repeated.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_core::resources::WorkMode;
use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, UpstreamChoice};
use basaltarch_decide::probing;
use basaltarch_decide::suspects::{CopyVerdict, CrashTally};
use basaltarch_http::body::BodyReader;
use basaltarch_http::connection::HttpStream;
use basaltarch_options::WaitingMode;
use basaltarch_peer::protocol::AnswerHead;

use crate::ingress::dispatch::{DispatchEnd, LiveExchange, DISPATCHES_MAX};
use crate::ingress::failure::CallerFailure;
use crate::ingress::late::{LateAttempt, LateAttempts};
use crate::ingress::look::{self as ingress_look, LookedUpstream};
use crate::ingress::places::SlotEnd;
use crate::ingress::request::CallerRequest;
use crate::ingress::trail::{self, NextStep, StepEnd, StepLoad, TrailStep};
use crate::ingress::waiting::{self, FirstEvent};
use crate::state::DaemonState;
use crate::stop;
use crate::suspects;
use crate::wire;

/// Upstreams that may pass work on as they are doubted: with a third of them doubted, the fifth is
/// reached once in 80 times.
const PASSES_MAX: usize = 4;

/// `AttemptEnd` is how the attempts at a request ended.
pub enum AttemptEnd {
    /// The head of an answer came, and the exchange it came from.
    Answer(LiveExchange, AnswerHead),
    /// There is no answer.
    Failed(CallerFailure),
    /// The caller went away.
    CallerGone,
}

/// `RequestAttempts` is the state over the attempts at one request.
pub struct RequestAttempts<'a> {
    /// The daemon.
    pub state: &'a Rc<DaemonState>,
    /// The request.
    pub request: &'a CallerRequest,
    /// Upstreams that it must not go to.
    pub excluded: Vec<usize>,
    /// Upstreams that passed it on as they were full.
    pub full: Vec<usize>,
    /// Dispatches so far.
    pub dispatches: usize,
    /// Backend servers that the request reached, or may have.
    pub arrivals: usize,
    passes: usize,
    /// Whether the request is refused everywhere and this copy tries it out.
    is_tried: bool,
    /// Whether no upstream that is trusted has a place for it.
    pub has_waited: bool,
    /// Until when it may wait for a slot, once it has begun to.
    pub wait_until: Option<Duration>,
    /// How the last attempt ended.
    pub last: FailureOutcome,
    /// Why it is not known whether an earlier attempt ran, if one may have.
    may_have_run: Option<UnknownReason>,
    /// Upstream at which an earlier attempt failed.
    pub failed_at: Option<usize>,
}

/// Runs the attempts at a request until one brings an answer or none may follow.
pub async fn run(
    state: &Rc<DaemonState>,
    stream: &mut HttpStream,
    request: &CallerRequest,
    body: &mut BodyReader,
) -> AttemptEnd {
    let mut attempts = RequestAttempts {
        state,
        request,
        excluded: Vec::new(),
        full: Vec::new(),
        dispatches: 0,
        arrivals: 0,
        passes: 0,
        is_tried: false,
        has_waited: false,
        wait_until: None,
        last: FailureOutcome::NotRun(NotRunReason::NoUpstream),
        may_have_run: None,
        failed_at: None,
    };
    let mut fallback: Option<(LiveExchange, AnswerHead)> = None;
    let mut earlier = LateAttempts::default();
    loop {
        let choice = match attempts.choose() {
            Ok(choice) => choice,
            Err(failure) => {
                return attempts.end_with(stream, &mut earlier, fallback, failure).await;
            }
        };
        let choice = match waiting::unless_gone(stream, attempts.look(choice)).await {
            Some(Some(choice)) => choice,
            // None of those that were looked at would take it.
            Some(None) => continue,
            None => return AttemptEnd::CallerGone,
        };
        let (choice, asked, dispatched) = if attempts.waits(&choice) {
            match attempts.wait_for_slot(stream, body.is_done()).await {
                SlotEnd::SlotOffered(choice, live) => {
                    (choice, attempts.ask(&choice), DispatchEnd::Sent(live))
                }
                SlotEnd::NoPlace => continue,
                SlotEnd::Failed(failure) => {
                    return attempts.end_with(stream, &mut earlier, fallback, failure).await;
                }
                SlotEnd::CallerGone => return AttemptEnd::CallerGone,
            }
        } else {
            let asked = attempts.ask(&choice);
            let dispatched = attempts.dispatch(stream, choice, body.is_done()).await;
            (choice, asked, dispatched)
        };
        let mut live = match dispatched {
            DispatchEnd::Sent(live) => live,
            DispatchEnd::Unreachable => {
                attempts.tell(&asked, StepEnd::Failed(attempts.last), None, NextStep::Elsewhere);
                continue;
            }
            DispatchEnd::CallerGone => {
                attempts.tell(&asked, StepEnd::CallerGone, None, NextStep::End);
                return AttemptEnd::CallerGone;
            }
        };
        let left = attempts.left();
        let first =
            waiting::first_event(state, request, left, stream, body, &live, &mut earlier).await;
        match first {
            FirstEvent::CallerGone => {
                attempts.tell(&asked, StepEnd::CallerGone, None, NextStep::End);
                return AttemptEnd::CallerGone;
            }
            FirstEvent::Overtaken(late, head) => return attempts.end_late(late, head),
            FirstEvent::Stopping => {
                let outcome = FailureOutcome::Unknown(UnknownReason::DaemonStopped);
                attempts.tell(&asked, StepEnd::Failed(outcome), None, NextStep::End);
                if let Some((live, head)) = fallback {
                    return AttemptEnd::Answer(live, head);
                }
                trail::tell_given_up(state, request);
                return AttemptEnd::Failed(CallerFailure::new(outcome));
            }
            FirstEvent::Head(head) => {
                attempts.arrivals += 1;
                let end = StepEnd::Answered(head.status as u16);
                let load = Some(StepLoad::of(&head.report));
                let failed = wire::is_server_error(head.status as u16);
                if !failed {
                    attempts.note_bytes(&head);
                }
                attempts.note_report(choice.index, &head.report, Some(failed));
                if failed && fallback.is_some() {
                    attempts.withdraw();
                }
                attempts.note_end(choice.index, &live, failed);
                let is_final = !failed || !head.last;
                let again = !is_final && fallback.is_none() && attempts.may_repeat(body);
                if is_final || !again && earlier.is_empty() {
                    attempts.tell(&asked, end, load, NextStep::Answer);
                    return AttemptEnd::Answer(live, head);
                }
                live.exchange.finish();
                if !again {
                    attempts.tell(&asked, end, load, NextStep::End);
                    let failure = CallerFailure::new(attempts.last);
                    let fallback = Some((live, head));
                    return attempts.end_with(stream, &mut earlier, fallback, failure).await;
                }
                attempts.tell(&asked, end, load, NextStep::Repeat);
                attempts.failed_at = Some(choice.index);
                attempts.excluded.push(choice.index);
                fallback = Some((live, head));
            }
            FirstEvent::Late => {
                // The attempt that follows is already paid for.
                attempts.tell(&asked, StepEnd::Late, None, NextStep::Repeat);
                attempts.arrivals += 1;
                attempts.request.service.note_late(choice.index, state.now());
                attempts.excluded.push(choice.index);
                attempts.note_outcome(FailureOutcome::Unknown(UnknownReason::TimedOut));
                earlier.push(LateAttempt { asked, live });
            }
            FirstEvent::Failed(outcome, report) => {
                live.exchange.finish();
                if let Some(report) = &report {
                    let ran = matches!(outcome, FailureOutcome::Unknown(_));
                    attempts.note_report(choice.index, report, ran.then_some(true));
                }
                if failed_at_server(outcome) {
                    attempts.note_end(choice.index, &live, true);
                }
                let end = StepEnd::Failed(outcome);
                let load = report.as_ref().map(StepLoad::of);
                if attempts.has_passed(choice.index, outcome) {
                    attempts.tell(&asked, end, load, NextStep::Elsewhere);
                    continue;
                }
                attempts.excluded.push(choice.index);
                attempts.note_outcome(outcome);
                attempts.arrivals += usize::from(has_arrived(outcome));
                let again = match outcome {
                    FailureOutcome::NotRun(reason) => attempts.may_go_elsewhere(reason),
                    FailureOutcome::Unknown(_) => attempts.may_repeat(body),
                };
                attempts.tell(&asked, end, load, next_of(outcome, again));
                if !again {
                    let failure = CallerFailure::new(outcome);
                    return attempts.end_with(stream, &mut earlier, fallback, failure).await;
                }
            }
        }
    }
}

/// Returns what follows a failed attempt.
fn next_of(outcome: FailureOutcome, again: bool) -> NextStep {
    match outcome {
        _ if !again => NextStep::End,
        FailureOutcome::NotRun(reason) if reason != NotRunReason::Shed => NextStep::Elsewhere,
        _ => NextStep::Repeat,
    }
}

/// `AskedUpstream` is an upstream that was asked, for the log.
pub struct AskedUpstream {
    attempt: usize,
    index: usize,
    began: Duration,
}

impl RequestAttempts<'_> {
    /// Logs the choice of an upstream.
    fn ask(&mut self, choice: &UpstreamChoice) -> AskedUpstream {
        let attempts = &self.request.trail.attempts;
        attempts.set(attempts.get() + 1);
        let attempt = attempts.get() as usize;
        let passable = self.is_passable();
        let step = TrailStep::Chosen { attempt, choice: *choice, passable };
        trail::note(self.state, self.request, step);
        AskedUpstream { attempt, index: choice.index, began: self.state.now() }
    }

    /// Logs the end of an attempt.
    fn tell(&self, asked: &AskedUpstream, end: StepEnd, load: Option<StepLoad>, next: NextStep) {
        let AskedUpstream { attempt, index, began } = *asked;
        let step = TrailStep::Ended { attempt, index, end, began, load, next };
        trail::note(self.state, self.request, step);
    }

    /// Ends with the good answer of an attempt that was late.
    fn end_late(&self, late: LateAttempt, head: AnswerHead) -> AttemptEnd {
        let LateAttempt { asked, live } = late;
        self.note_report(asked.index, &head.report, Some(false));
        self.note_end(asked.index, &live, false);
        let end = StepEnd::Answered(head.status as u16);
        self.tell(&asked, end, Some(StepLoad::of(&head.report)), NextStep::Answer);
        AttemptEnd::Answer(live, head)
    }

    /// Ends without another attempt: with the good answer of one that is late, else with the complete
    /// answer of an earlier attempt if there is one, though it was an error.
    async fn end_with(
        &self,
        stream: &mut HttpStream,
        earlier: &mut LateAttempts,
        fallback: Option<(LiveExchange, AnswerHead)>,
        failure: CallerFailure,
    ) -> AttemptEnd {
        if !earlier.is_empty() {
            let (left, outcome) = (self.left(), failure.outcome);
            match waiting::last_event(self.state, left, stream, earlier, outcome).await {
                FirstEvent::Overtaken(late, head) => return self.end_late(late, head),
                FirstEvent::CallerGone => return AttemptEnd::CallerGone,
                _ => {}
            }
        }
        if let Some((live, head)) = fallback {
            return AttemptEnd::Answer(live, head);
        }
        self.failed(failure)
    }

    /// Builds the end of a request without an answer: what may have run at any attempt is not called
    /// "not run".
    fn failed(&self, failure: CallerFailure) -> AttemptEnd {
        match (self.may_have_run, failure.outcome) {
            (Some(reason), FailureOutcome::NotRun(_)) => {
                AttemptEnd::Failed(CallerFailure::new(FailureOutcome::Unknown(reason)))
            }
            _ => AttemptEnd::Failed(failure),
        }
    }

    fn note_outcome(&mut self, outcome: FailureOutcome) {
        self.last = outcome;
        if let FailureOutcome::Unknown(reason) = outcome {
            self.may_have_run = Some(reason);
        }
    }

    /// Says whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.request.route.rule.mode == WorkMode::Repeatable
    }

    /// Returns the time left until the request must be answered.
    pub fn left(&self) -> Duration {
        self.request.deadline.saturating_sub(self.state.now())
    }

    /// Returns the time left in which an answer is worth most; zero if none was declared.
    pub fn objective_left(&self) -> Duration {
        self.request.objective.map_or(Duration::ZERO, |at| at.saturating_sub(self.state.now()))
    }

    /// Returns the rounds of work for which the request waits in this failure domain rather than go far.
    pub fn local_wait_rounds(&self) -> f64 {
        let worth = self.state.live().far_megabyte;
        self.request.service.local_wait_rounds(&self.request.route.name, worth)
    }

    fn choose(&mut self) -> Result<UpstreamChoice, CallerFailure> {
        if !self.is_taken() {
            return Err(CallerFailure::not_run(NotRunReason::Draining));
        }
        if self.left().is_zero() && self.dispatches == 0 {
            return Err(CallerFailure::not_run(NotRunReason::DeadlinePassed));
        }
        self.refuse_taken_away()?;
        self.refuse_suspect()?;
        let must_take = self.dispatches + 1 >= DISPATCHES_MAX;
        let now = self.state.now();
        let service = &self.request.service;
        let request = ChoiceRequest {
            excluded: &self.excluded,
            full: &self.full,
            repeatable: self.finds_out(),
            must_take,
            is_last: self.passes >= PASSES_MAX,
            local_wait_rounds: self.local_wait_rounds(),
        };
        service.refresh_own(self.state, &self.request.route.name);
        service
            .choose(now, &request)
            .filter(|_| self.dispatches < DISPATCHES_MAX)
            .ok_or_else(|| CallerFailure::new(self.last))
    }

    /// Looks at the chosen upstream and its rival, and returns the choice of the better one; nothing if both would
    /// pass the work on, or are silent, and others can be asked.
    async fn look(&mut self, choice: UpstreamChoice) -> Option<UpstreamChoice> {
        if !self.is_look_worth(&choice) {
            return Some(choice);
        }
        let rival = choice.rival.map(|rival| rival.index);
        let indexes: Vec<usize> = std::iter::once(choice.index).chain(rival).collect();
        let looked = ingress_look::look_at(self.state, self.request, &indexes).await;
        if looked.is_empty() {
            return Some(choice);
        }
        for each in &looked {
            if let Some(report) = &each.report {
                self.note_report(each.index, report, None);
            }
        }
        let best = ingress_look::best_of(&looked);
        let takes = best.is_some_and(|best| !best.declines());
        self.request.service.note_look(takes);
        if !takes && self.is_passable() {
            self.pass_by(&looked);
            return None;
        }
        Some(UpstreamChoice { index: best.map_or(choice.index, |best| best.index), ..choice })
    }

    /// Says whether a look may change where the request goes: elsewhere than at sound upstreams it waits, finds
    /// out, or takes what is left.
    fn is_look_worth(&self, choice: &UpstreamChoice) -> bool {
        let is_choosy = matches!(choice.ground, ChoiceGround::Near | ChoiceGround::Sound);
        let path = self.request.service.path(choice.index);
        let left = Some(self.objective_left()).filter(|left| !left.is_zero());
        let left = left.unwrap_or_else(|| self.left());
        let is_worth = probing::is_worth(choice.report_age, path.round_trip(), left);
        is_choosy && !path.is_self && is_worth && self.request.service.should_probe()
    }

    /// Leaves out upstreams that were looked at and would pass the work on, or did not answer.
    fn pass_by(&mut self, looked: &[LookedUpstream]) {
        self.passes += 1;
        for each in looked {
            let is_full = each.look().is_some_and(|look| look.is_full() && !look.doubtful);
            let list = if is_full { &mut self.full } else { &mut self.excluded };
            list.push(each.index);
        }
    }

    /// Refuses a request whose caller's key went away after it was let in. It is asked before each dispatch,
    /// so that what waited for a repeat doesn't begin with a key that is gone.
    pub fn refuse_taken_away(&self) -> Result<(), CallerFailure> {
        let caller = &self.request.caller;
        let is_same = self.state.config.revision() == self.request.revision;
        if is_same || caller.still_holds(&self.state.config.active()) {
            return Ok(());
        }
        Err(caller.taken_away())
    }

    /// Refuses a request that crashes the servers that run it, unless this copy tries it out. It is asked
    /// before each dispatch: another daemon's word may have come since the last.
    pub fn refuse_suspect(&mut self) -> Result<(), CallerFailure> {
        if self.is_tried || self.state.suspects.is_empty() {
            return Ok(());
        }
        let fingerprint = self.request.fingerprint(self.state);
        match suspects::judge(self.state, &fingerprint) {
            CopyVerdict::Serve => Ok(()),
            CopyVerdict::Trial => {
                self.is_tried = true;
                trail::tell_tried(self.state, self.request);
                Ok(())
            }
            CopyVerdict::Refuse { retry_after } => Err(CallerFailure {
                retry_after: Some(retry_after),
                ..CallerFailure::not_run(NotRunReason::CrashesServers)
            }),
        }
    }

    /// Says whether the request may be passed on although the daemon stops. The first time that is asked
    /// anew: reading its body took time.
    pub fn is_taken(&self) -> bool {
        if self.dispatches + self.passes == 0 {
            return stop::takes(self.state, &self.request.trail.id);
        }
        !self.state.stop.giving_up.is_raised()
    }

    /// Says whether what did not run may be sent to another upstream.
    fn may_go_elsewhere(&self, reason: NotRunReason) -> bool {
        let would_repeat = matches!(
            reason,
            NotRunReason::DeadlinePassed
                | NotRunReason::CallerGone
                | NotRunReason::KeyReused
                | NotRunReason::LedgerUnavailable
                | NotRunReason::CrashesServers
        );
        let may = !would_repeat && self.dispatches < DISPATCHES_MAX && !self.left().is_zero();
        // What a backend server turned away costs it work, so that sending it on counts as a repeat.
        let is_free = reason != NotRunReason::Shed;
        may && (is_free || self.has_arrivals_left() && self.take_repeat())
    }

    /// Says whether another upstream can be asked if this one is doubted.
    pub fn is_passable(&self) -> bool {
        let asked = [&self.excluded[..], &self.full].concat();
        let others = self.request.service.with_view(|view| view.count_others(&asked));
        self.passes < PASSES_MAX && others > 1
    }

    /// Takes in that an upstream passed the work on, as it is doubted, full or leaving; that costs a
    /// way there and back.
    fn has_passed(&mut self, index: usize, outcome: FailureOutcome) -> bool {
        let reasons = [
            NotRunReason::Sick,
            NotRunReason::Unproven,
            NotRunReason::QueueFull,
            NotRunReason::Draining,
        ];
        let is_down = outcome == FailureOutcome::NotRun(NotRunReason::ConnectFailed);
        // A host calls work in before it knows whether its backend server takes a connection.
        let came_for_nothing = is_down && self.state.live().waiting == WaitingMode::Places;
        let passed = reasons.iter().any(|reason| outcome == FailureOutcome::NotRun(*reason));
        let passed = passed || came_for_nothing;
        if !passed || !self.is_passable() || self.left().is_zero() {
            return false;
        }
        self.dispatches -= 1;
        self.passes += 1;
        let waits = [NotRunReason::QueueFull, NotRunReason::Unproven];
        if waits.iter().any(|reason| outcome == FailureOutcome::NotRun(*reason)) {
            self.full.push(index);
        } else {
            self.excluded.push(index);
        }
        true
    }

    /// Says whether the request may find out which upstreams work: its failure would be repeated. A
    /// second try should succeed, and so should one that the budget would not let be repeated.
    fn finds_out(&self) -> bool {
        self.is_repeatable() && self.arrivals == 0 && self.request.service.has_repeat(self.state)
    }

    /// Returns the mode that the host's daemon is told.
    pub fn dispatch_mode(&self) -> WorkMode {
        match self.request.route.rule.mode {
            WorkMode::Repeatable if !self.finds_out() => WorkMode::Plain,
            mode => mode,
        }
    }

    /// Says whether the route lets the request reach one more backend server.
    fn has_arrivals_left(&self) -> bool {
        match self.request.route.rule.attempts {
            0 => true,
            most => self.arrivals < most as usize,
        }
    }

    fn take_repeat(&self) -> bool {
        self.request.service.take_repeat(self.state)
    }

    /// Says whether what may have run may be sent again, and takes that from the budget.
    fn may_repeat(&self, body: &BodyReader) -> bool {
        self.is_repeatable()
            && body.is_done()
            && self.dispatches < DISPATCHES_MAX
            && !self.left().is_zero()
            && self.has_arrivals_left()
            && !self.is_hopeless()
            && self.request.tally(self.state).is_none_or(CrashTally::allows_retry)
            && self.take_repeat()
    }
}

/// Says whether the request reached a backend server, or may have.
fn has_arrived(outcome: FailureOutcome) -> bool {
    matches!(outcome, FailureOutcome::Unknown(_) | FailureOutcome::NotRun(NotRunReason::Shed))
}

/// Says whether the backend server broke over the request, rather than the way to it.
fn failed_at_server(outcome: FailureOutcome) -> bool {
    matches!(
        outcome,
        FailureOutcome::Unknown(
            UnknownReason::BackendBroken | UnknownReason::AnswerBroken | UnknownReason::TimedOut
        )
    )
}
