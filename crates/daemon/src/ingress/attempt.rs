// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The attempts at one request: choosing, dispatching, and what may be tried again.
//!
//! What certainly did not run may go elsewhere without harm, at most twice, the last time not
//! refusable. What may have run is repeated only if its route allows that, out of the service's
//! budget. Once the answer's head went to the caller, nothing is repeated.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_core::resources::WorkMode;
use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, UpstreamChoice};
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::hang::UsualTime;
use basaltarch_decide::look;
use basaltarch_decide::patience;
use basaltarch_decide::suspects::{CopyVerdict, CrashTally};
use basaltarch_http::body::BodyReader;
use basaltarch_http::connection::HttpStream;
use basaltarch_peer::errors::LinkError;
use basaltarch_peer::link::{DialledLink, OutboundExchange, NO_EXCHANGE};
use basaltarch_peer::protocol::{AnswerHead, DispatchHead, FrameBody, LoadReport, WithdrawNote};
use bytes::Bytes;

use crate::host;
use crate::ingress::failure::CallerFailure;
use crate::ingress::late::{LateAttempt, LateAttempts};
use crate::ingress::look::{self as ingress_look, LookedUpstream};
use crate::ingress::request::CallerRequest;
use crate::ingress::trail::{self, NextStep, StepEnd, StepLoad, TrailStep};
use crate::ingress::waiting::{self, FirstEvent};
use crate::links;
use crate::services::SentGuard;
use crate::state::DaemonState;
use crate::stop;
use crate::suspects;
use crate::wire;

/// Dispatches of one request at the most: the first and two more.
const DISPATCHES_MAX: usize = 3;
/// Upstreams that may pass work on as they are doubted: with a third of them doubted, the fifth is
/// reached once in 80 times.
const PASSES_MAX: usize = 4;
/// Bytes of a body from which it is worth a way there and back to send it only when it is wanted.
const WITHHELD_BYTES_MIN: usize = 256;
/// `AttemptEnd` is how the attempts at a request ended.
pub enum AttemptEnd {
    /// The head of an answer came, and the exchange it came from.
    Answer(LiveExchange, AnswerHead),
    /// There is no answer.
    Failed(CallerFailure),
    /// The caller went away.
    CallerGone,
}

/// `LiveExchange` is an exchange whose answer is being passed on.
pub struct LiveExchange {
    /// The exchange.
    pub exchange: OutboundExchange,
    /// Start of the body, if it goes out only once the host's daemon has started the work.
    pub withheld: Option<Bytes>,
    /// Path to another daemon that it runs over, if it may be given up when that is cut.
    pub path: Option<Rc<PeerPath>>,
    /// How long it is waited for before another attempt is made.
    pub patience: Option<Duration>,
    /// Whether a failure counts as evidence against the upstream.
    counts: bool,
    _sent: SentGuard,
}

/// `DispatchEnd` is what became of a dispatch.
enum DispatchEnd {
    /// It was sent.
    Sent(LiveExchange),
    /// The upstream's daemon can't be reached; nothing was sent.
    Unreachable,
    /// The caller went away before it was sent.
    CallerGone,
}

/// `RequestAttempts` is the state over the attempts at one request.
struct RequestAttempts<'a> {
    state: &'a Rc<DaemonState>,
    request: &'a CallerRequest,
    excluded: Vec<usize>,
    /// Upstreams that passed it on as they were full.
    full: Vec<usize>,
    dispatches: usize,
    /// Backend servers that the request reached, or may have.
    arrivals: usize,
    passes: usize,
    /// Whether the request is refused everywhere and this copy tries it out.
    is_tried: bool,
    last: FailureOutcome,
    /// Why it is not known whether an earlier attempt ran, if one may have.
    may_have_run: Option<UnknownReason>,
    failed_at: Option<usize>,
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
        let asked = attempts.ask(&choice);
        let mut live = match attempts.dispatch(stream, choice, body.is_done()).await {
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

    fn is_repeatable(&self) -> bool {
        self.request.route.rule.mode == WorkMode::Repeatable
    }

    fn left(&self) -> Duration {
        self.request.deadline.saturating_sub(self.state.now())
    }

    /// Returns the time left in which an answer is worth most; zero if none was declared.
    fn objective_left(&self) -> Duration {
        self.request.objective.map_or(Duration::ZERO, |at| at.saturating_sub(self.state.now()))
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
        };
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
        let takes = best.is_some_and(|best| !best.passes_on());
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
        let is_worth = look::is_worth(choice.report_age, path.round_trip(), left);
        is_choosy && !path.is_self && is_worth && self.request.service.looks()
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
    fn refuse_taken_away(&self) -> Result<(), CallerFailure> {
        let caller = &self.request.caller;
        let is_same = self.state.config.revision() == self.request.revision;
        if is_same || caller.still_holds(&self.state.config.active()) {
            return Ok(());
        }
        Err(caller.taken_away())
    }

    /// Refuses a request that crashes the servers that run it, unless this copy tries it out. It is asked
    /// before each dispatch: another daemon's word may have come since the last.
    fn refuse_suspect(&mut self) -> Result<(), CallerFailure> {
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
    fn is_taken(&self) -> bool {
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
    fn is_passable(&self) -> bool {
        let asked = [&self.excluded[..], &self.full].concat();
        let others = self.request.service.with_view(|view| view.count_others(&asked));
        self.passes < PASSES_MAX && others > 1
    }

    /// Takes in that an upstream passed the work on, as it is doubted, full or leaving; that costs a
    /// way there and back.
    fn has_passed(&mut self, index: usize, outcome: FailureOutcome) -> bool {
        let reasons = [NotRunReason::Sick, NotRunReason::QueueFull, NotRunReason::Draining];
        let passed = reasons.iter().any(|reason| outcome == FailureOutcome::NotRun(*reason));
        if !passed || !self.is_passable() || self.left().is_zero() {
            return false;
        }
        self.dispatches -= 1;
        self.passes += 1;
        if outcome == FailureOutcome::NotRun(NotRunReason::QueueFull) {
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
    fn dispatch_mode(&self) -> WorkMode {
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
            && self.request.tally(self.state).is_none_or(CrashTally::allows_repeat)
            && self.take_repeat()
    }

    /// Says whether the request lately failed wherever it went.
    fn is_hopeless(&self) -> bool {
        let request = self.request;
        request.service.forbids_repeat(request.method.as_str(), &request.target, self.state.now())
    }

    /// Says whether a failure of the request is no evidence: it failed elsewhere, now or lately.
    fn spares_failure(&self) -> bool {
        let request = self.request;
        self.failed_at.is_some()
            || request.service.spares_failure(
                request.method.as_str(),
                &request.target,
                self.state.now(),
            )
    }

    /// Dispatches to the chosen upstream.
    async fn dispatch(
        &mut self,
        stream: &mut HttpStream,
        choice: UpstreamChoice,
        body_is_done: bool,
    ) -> DispatchEnd {
        self.dispatches += 1;
        metrics::DISPATCHES.add_one();
        if self.dispatches > 1 {
            metrics::RETRIES.add_one();
        }
        let service = &self.request.service;
        let path = service.path(choice.index).clone();
        let sent = service.count_sent(choice.index);
        // Making a link takes time off the deadline, so the head is written after it.
        let link = match waiting::unless_gone(stream, self.link(&path)).await {
            // While it was made the daemon may have given up: nothing is begun any more then.
            Some(Ok(Some(_))) if self.state.stop.giving_up.is_raised() => {
                return DispatchEnd::Unreachable;
            }
            Some(Ok(link)) => link,
            Some(Err(_)) => return self.note_unreachable(choice.index),
            None => return DispatchEnd::CallerGone,
        };
        let route = &self.request.route.name;
        let baseline = service.baseline(route, choice.index, self.state.now());
        let mut head = self.head(choice, body_is_done, &baseline);
        let withheld = self.withholds_body(choice.index, &head);
        if withheld || !self.request.has_whole_body() {
            head.fingerprint = Some(self.request.fingerprint(self.state).bytes().to_vec());
        }
        if withheld {
            head.body = Vec::new();
            head.last = false;
        }
        let counts = !head.after_failure;
        let exchange = match link {
            None => host::dispatch_local(self.state, head),
            Some(link) => match link.dispatch(head) {
                Ok(exchange) => exchange,
                Err(_) => return self.note_unreachable(choice.index),
            },
        };
        let patience = self.patience(choice.index, &baseline);
        let withheld = withheld.then(|| self.request.prefix.clone());
        let may_leave = self.may_follow() && body_is_done && !path.is_self;
        let path = may_leave.then_some(path);
        DispatchEnd::Sent(LiveExchange { exchange, withheld, path, patience, counts, _sent: sent })
    }

    /// Returns the link to an upstream's daemon, making it if need be; none is needed to this one.
    async fn link(&self, path: &Rc<PeerPath>) -> Result<Option<Rc<DialledLink>>, LinkError> {
        if path.is_self {
            return Ok(None);
        }
        path.note_used(self.state.now());
        links::link_to(self.state, path).await.map(Some)
    }

    /// Says whether the body waits until the work has started: bytes between failure domains are dear,
    /// and a dispatch that may be refused would carry them for nothing.
    fn withholds_body(&self, index: usize, head: &DispatchHead) -> bool {
        let is_local = self.request.service.with_view(|view| view.is_local(index));
        let may_be_refused = head.passable || head.refusable;
        !is_local && may_be_refused && head.body.len() > WITHHELD_BYTES_MIN
    }

    fn note_unreachable(&mut self, index: usize) -> DispatchEnd {
        self.excluded.push(index);
        self.last = FailureOutcome::NotRun(NotRunReason::PeerUnreachable);
        DispatchEnd::Unreachable
    }

    fn head(
        &self,
        choice: UpstreamChoice,
        body_is_done: bool,
        baseline: &ServiceBaseline,
    ) -> DispatchHead {
        let request = self.request;
        let entry = &request.service.entry;
        DispatchHead {
            service_name: entry.name.to_string(),
            upstream: entry.upstreams[choice.index].name.to_string(),
            route: request.route.name.to_string(),
            method: request.method.as_str().to_owned(),
            target: request.target.clone(),
            field_lines: request.field_lines.clone(),
            deadline_ms: self.left().as_millis().min(i32::MAX as u128) as i32,
            refusable: choice.refusable,
            work_class: wire::class_number(request.class()),
            work_mode: wire::mode_number(self.dispatch_mode()),
            attempt: self.request.trail.attempts.get() as i8,
            content_length: request.framing.wire_length(),
            body: request.prefix.to_vec(),
            last: body_is_done,
            baseline: (baseline.upstreams > 0).then(|| wire::baseline_note(baseline)),
            once_key: request.once_key.clone(),
            organisation: request.caller.organisation.as_deref().map(str::to_owned),
            revision: self.state.config.revision().0 as i64,
            after_failure: self.spares_failure(),
            passable: choice.ground != ChoiceGround::Waiting && self.is_passable(),
            objective_ms: self.objective_left().as_millis().min(i32::MAX as u128) as i32,
            logged: Some(self.request.trail.is_logged),
            repeated: self.arrivals > 0,
            fingerprint: None,
            tally: self.request.tally(self.state).map(wire::tally_note),
        }
    }

    /// Says whether another attempt may follow the one that was just dispatched.
    fn may_follow(&self) -> bool {
        // That attempt will be an arrival itself.
        let most = self.request.route.rule.attempts as usize;
        let arrivals_left = most == 0 || self.arrivals + 1 < most;
        let may = self.is_repeatable() && self.dispatches < DISPATCHES_MAX && arrivals_left;
        may && !self.state.is_stopping()
    }

    /// Returns how long an attempt is waited for before another is made, if another may be.
    fn patience(&self, index: usize, baseline: &ServiceBaseline) -> Option<Duration> {
        if !self.may_follow() {
            return None;
        }
        let left = Some(self.objective_left()).filter(|left| !left.is_zero());
        let usual = baseline.usual_time().or(left.map(UsualTime::of_objective))?;
        // What the upstream has queued before this request is not the upstream's fault.
        let queued = self.request.service.queued_rounds(index, self.state.now());
        Some(patience::of(&usual, left) + usual.at(0.0).mul_f64(queued))
    }

    fn note_report(&self, index: usize, report: &LoadReport, failed: Option<bool>) {
        let route = &self.request.route.name;
        let now = self.state.now();
        self.request.service.note_report(index, route, report, failed, now);
    }

    /// Takes in how the request ended at an upstream, to find out whether it fails wherever it goes.
    fn note_end(&self, index: usize, live: &LiveExchange, failed: bool) {
        let request = self.request;
        let method = request.method.as_str();
        let now = self.state.now();
        if !failed {
            request.service.note_success(method, &request.target, now);
            return;
        }
        let target = &request.target;
        let counted = request.service.note_failure(method, target, index, live.counts, now);
        let upstreams = &request.service.entry.upstreams;
        for failures in counted {
            // One that has gone since has nothing to take back.
            let index = upstreams.iter().position(|each| each.name == failures.upstream);
            for index in index.into_iter().cycle().take(failures.count as usize) {
                self.withdraw_at(index);
            }
        }
    }

    /// Takes the first failure back: the same request failed on a second upstream, so the request
    /// is at fault rather than the servers.
    fn withdraw(&self) {
        let index = match self.failed_at {
            Some(index) => index,
            None => return,
        };
        self.withdraw_at(index);
        let request = self.request;
        request.service.note_withdrawn(request.method.as_str(), &request.target, index);
    }

    fn withdraw_at(&self, index: usize) {
        let upstream = &self.request.service.entry.upstreams[index].name;
        let path = self.request.service.path(index);
        if path.is_self {
            self.state.host.withdraw_failure(upstream, &self.request.route.name);
            return;
        }
        if let Some(link) = path.link() {
            let note = WithdrawNote {
                service_name: self.request.service.entry.name.to_string(),
                upstream: upstream.to_string(),
                route: self.request.route.name.to_string(),
            };
            let _ = link.sender().send(NO_EXCHANGE, FrameBody::Withdraw(note));
        }
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
