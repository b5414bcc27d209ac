// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves one exchange at the host role: admission, once-only claim, the work itself, evidence.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::fingerprint::{RequestFingerprint, RequestParts};
use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_core::resources::WorkMode;
use basaltarch_decide::adaptive_timeout::{AttemptTimeout, TimeoutTerms};
use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::evidence::RequestEvidence;
use basaltarch_decide::hang::UsualTime;
use basaltarch_decide::health::{AdmitVerdict, DispatchTerms};
use basaltarch_decide::order::QueuedRequest;
use basaltarch_decide::suspects::CrashTally;
use basaltarch_events::servers::ServerCrashed;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::writer;
use basaltarch_peer::protocol::{AnswerHead, DispatchHead, ExchangeFailure};
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};
use basaltarch_store::ledger::{ClaimOutcome, ClaimToken, KeptAnswer, OnceKey};
use basaltarch_waiting::slots::{SlotGuard, SlotRequest};
use bytes::BytesMut;
use futures_util::{select_biased, FutureExt};

use crate::host::relay::{AnswerRelay, WorkFault, WorkProgress};
use crate::host::sending;
use crate::host::upstream::{HostUpstream, WorkNote};
use crate::host::watch::WorkWatch;
use crate::registration;
use crate::state::DaemonState;
use crate::stop;
use crate::suspects;
use crate::wire;

/// Time after which a caller may come back when a backend server was full or out.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Deviations above the usual time in which five of six pieces of work end.
const MOST_DEVIATIONS: f64 = 1.0;
/// Wait that stands for "never overdue".
const NEVER: Duration = Duration::from_secs(3600);

/// Serves one exchange to its end and tells the ingress how it went.
pub async fn serve(
    state: &Rc<DaemonState>,
    head: DispatchHead,
    body: &EventPipe,
    answer: &EventSink,
) {
    let _counted = state.stop.count_in_flight();
    let upstream = state.host.get(&head.upstream);
    let result = match &upstream {
        Some(upstream) => serve_upstream(state, upstream, &head, body, answer).await,
        None => Err(FailureOutcome::NotRun(NotRunReason::UnknownUpstream)),
    };
    if let Err(outcome) = result {
        if matches!(outcome, FailureOutcome::NotRun(_)) {
            metrics::HOST_REFUSED.add_one();
        }
        let failure = ExchangeFailure {
            outcome: outcome.wire_number(),
            retry_after_ms: RETRY_AFTER.as_millis() as i32,
            report: upstream.map(|upstream| upstream.report(state, &head.route, None)),
        };
        // An ingress that is gone needs no word.
        let _ = answer.send(StreamEvent::Failed(failure)).await;
    }
}

async fn serve_upstream(
    state: &Rc<DaemonState>,
    upstream: &Rc<HostUpstream>,
    head: &DispatchHead,
    body: &EventPipe,
    answer: &EventSink,
) -> Result<(), FailureOutcome> {
    let deadline = state.now() + Duration::from_millis(head.deadline_ms.max(0) as u64);
    let within = Duration::from_millis(head.objective_ms.max(0) as u64);
    let objective = (head.objective_ms > 0).then(|| state.now() + within);
    let came_at = state.now();
    let (is_trial, tally) = (false, Cell::default());
    let mut work =
        HostWork { state, upstream, head, deadline, objective, came_at, is_trial, tally };
    let admitted = match work.admit() {
        Ok(()) if work.is_place() => work.run_called_in(body, answer).await,
        Ok(()) => work.run(body, answer).await,
        Err(reason) => Err(FailureOutcome::NotRun(reason)),
    };
    if let Err(FailureOutcome::NotRun(reason)) = admitted {
        work.tell_refused(reason);
    }
    if work.is_trial && admitted.is_err() {
        // A trial that never reached the server says nothing, but another may start.
        work.note(RequestEvidence::Neutral, false, None);
    }
    admitted
}

/// `HostWork` is one piece of work at one backend server.
pub struct HostWork<'a> {
    /// The daemon.
    pub state: &'a Rc<DaemonState>,
    /// The backend server.
    pub upstream: &'a Rc<HostUpstream>,
    /// What is asked.
    pub head: &'a DispatchHead,
    deadline: Duration,
    objective: Option<Duration>,
    came_at: Duration,
    /// Whether it tries out a server that is out of service.
    pub is_trial: bool,
    /// What counted against the request when it was last looked at before its run.
    tally: Cell<CrashTally>,
}

impl HostWork<'_> {
    /// Returns the work that was called in, which came with a head of its own. What it says of the server counts from now:
    /// while it held a place, it was not there.
    pub fn called_in_with<'b>(&'b self, head: &'b DispatchHead) -> HostWork<'b> {
        HostWork { head, tally: self.tally.clone(), came_at: self.state.now(), ..*self }
    }

    fn admit(&mut self) -> Result<(), NotRunReason> {
        let now = self.state.now();
        self.refuse_suspect()?;
        if self.state.stop.is_handing_over() || self.upstream.is_draining(now) {
            return Err(NotRunReason::Draining);
        }
        let terms = DispatchTerms {
            route: &self.head.route,
            refusable: self.head.refusable,
            repeatable: wire::mode_of(self.head.work_mode) == WorkMode::Repeatable,
            passable: self.head.passable,
            baseline: wire::baseline_of(self.head.baseline.as_ref()),
        };
        match self.upstream.admit(&terms, now) {
            AdmitVerdict::Admit => Ok(()),
            AdmitVerdict::Trial => {
                self.is_trial = true;
                Ok(())
            }
            AdmitVerdict::Refuse => Err(NotRunReason::Sick),
        }
    }

    /// Refuses work that crashes the servers that run it, and notes what counts against it otherwise. An
    /// ingress that knows as much lets a copy through to try it.
    fn refuse_suspect(&self) -> Result<(), NotRunReason> {
        let told = self.head.tally.as_ref().map(wire::tally_of).unwrap_or_default();
        let known = match self.state.suspects.is_empty() {
            true => CrashTally::default(),
            false => self.state.suspects.tally(&self.fingerprint()),
        };
        if known.is_refused() && known > told {
            return Err(NotRunReason::CrashesServers);
        }
        self.tally.set(known.max(told));
        Ok(())
    }

    /// Says whether the host slept since the work came.
    pub fn slept(&self) -> bool {
        self.state.clock.slept_since(self.came_at)
    }

    /// Takes in that the work ran well.
    pub fn note_good(&self) {
        if !self.state.suspects.is_empty() {
            suspects::note_success(self.state, &self.fingerprint());
        }
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.state.now())
    }

    /// Takes the end of the work in.
    pub fn note(&self, evidence: RequestEvidence, was_overdue: bool, failure: Option<FailureKind>) {
        // What failed elsewhere before may be the request's own fault, and work that a sleep of the host
        // fell into neither failed nor was quick or slow.
        let slept = self.slept();
        let evidence = match evidence {
            RequestEvidence::Failed if self.head.after_failure => RequestEvidence::Neutral,
            _ if slept => RequestEvidence::Neutral,
            other => other,
        };
        let (was_overdue, failure) = (was_overdue && !slept, failure.filter(|_| !slept));
        let (is_trial, started) = (self.is_trial, self.came_at);
        let note = WorkNote { evidence, was_overdue, is_trial, started, failure };
        self.upstream.note(&self.head.route, &note, self.state.now());
    }

    async fn run(&self, body: &EventPipe, answer: &EventSink) -> Result<(), FailureOutcome> {
        let class = wire::class_of(self.head.work_class);
        if !self.upstream.slots.has_room(class) {
            return Err(FailureOutcome::NotRun(NotRunReason::QueueFull));
        }
        // The row comes before the slot: a slow store must not hold slots that others need.
        let claim = match self.claim(body).await? {
            ClaimStep::Run(claim) => claim,
            ClaimStep::Answered(kept) => return self.replay(answer, kept).await,
        };
        let result = match unless_cancelled(body, self.take_slot()).await {
            Ok(slot) => self.work(slot, body, answer, claim.clone()).await,
            Err(reason) => Err(FailureOutcome::NotRun(reason)),
        };
        if let (Err(FailureOutcome::NotRun(_)), Some(token)) = (&result, claim) {
            self.release(token).await;
        }
        result
    }

    /// Takes the claim of work that did not run back; the refusal doesn't wait for it beyond the moment at
    /// which a stop gives up: it would never be told.
    async fn release(&self, token: ClaimToken) {
        let mut releasing = std::pin::pin!(self.state.ledger.release(token).fuse());
        let mut stopping = std::pin::pin!(self.state.stop.giving_up.raised().fuse());
        select_biased! {
            () = releasing => {}
            () = stopping => {}
        }
    }

    async fn take_slot(&self) -> Result<SlotGuard, NotRunReason> {
        // The claim may have taken until the daemon hands over.
        if !self.may_start() {
            return Err(NotRunReason::Draining);
        }
        self.upstream.slots.acquire(self.slot_request()).await
    }

    /// Says whether the work may still start although the daemon stops.
    pub fn may_start(&self) -> bool {
        stop::starts(self.state, self.deadline)
    }

    /// Asks for a slot.
    pub fn slot_request(&self) -> SlotRequest {
        let usual = self.usual_time();
        let deviations = if self.is_place() { MOST_DEVIATIONS } else { 0.0 };
        let work = QueuedRequest {
            class: wire::class_of(self.head.work_class),
            is_call: self.head.called == Some(true),
            deadline: self.deadline,
            objective: self.objective,
            usual: usual.map(|usual| usual.at(0.0)),
            most: usual.map(|usual| usual.at(deviations)),
        };
        let is_repeatable = wire::mode_of(self.head.work_mode) == WorkMode::Repeatable;
        SlotRequest {
            work,
            refusable: self.head.refusable,
            passable: self.head.passable,
            needs_recent_progress: self.state.live().prove_once_only && !is_repeatable,
        }
    }

    /// Returns the distribution of the time that this work usually takes, if it is known or assumed.
    pub fn usual_time(&self) -> Option<UsualTime> {
        let objective = self.objective.map(|at| at.saturating_sub(self.state.now()));
        let objective = objective.filter(|left| !left.is_zero());
        self.upstream.health.borrow().usual_time(&self.head.route, objective)
    }

    /// Returns the time that the server is given for this work.
    fn give_time(&self) -> AttemptTimeout {
        let now = self.state.now();
        let objective_left = self.objective.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let terms = TimeoutTerms {
            left: self.left(),
            objective_left,
            usual: self.upstream.health.borrow().usual_time(&self.head.route, None),
            full: self.upstream.slots.is_full(),
            siblings: wire::siblings_work(self.head.baseline.as_ref()),
        };
        self.upstream.adaptive_timeout.borrow_mut().timeout_for(&terms, now)
    }

    /// Writes the ledger's row of once-only work with a key.
    async fn claim(&self, body: &EventPipe) -> Result<ClaimStep, FailureOutcome> {
        let key = match &self.head.once_key {
            Some(key) => key,
            None => return Ok(ClaimStep::Run(None)),
        };
        let key = self.once_key(key);
        let mut claiming = std::pin::pin!(self.state.ledger.claim(&key).fuse());
        let mut cancelled = std::pin::pin!(body.cancelled().fuse());
        let mut late = std::pin::pin!(monoio::time::sleep(self.left()).fuse());
        let outcome = select_biased! {
            outcome = claiming => outcome,
            () = cancelled => return Err(FailureOutcome::NotRun(NotRunReason::CallerGone)),
            () = late => return Err(FailureOutcome::NotRun(NotRunReason::LedgerUnavailable)),
        };
        match outcome {
            ClaimOutcome::Granted(token) => Ok(ClaimStep::Run(Some(token))),
            ClaimOutcome::Answered(kept) => {
                metrics::ONCE_REPEATS.add_one();
                Ok(ClaimStep::Answered(kept))
            }
            ClaimOutcome::Started => {
                metrics::ONCE_REPEATS.add_one();
                Err(FailureOutcome::Unknown(UnknownReason::AlreadyStarted))
            }
            ClaimOutcome::OtherRequest => Err(FailureOutcome::NotRun(NotRunReason::KeyReused)),
            // Whether or not the row was written, this attempt did not run the work.
            ClaimOutcome::Unavailable | ClaimOutcome::Unsettled => {
                Err(FailureOutcome::NotRun(NotRunReason::LedgerUnavailable))
            }
        }
    }

    /// Returns what the copies of the request share and no other request has.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let told = self.head.fingerprint.as_deref().and_then(RequestFingerprint::from_bytes);
        told.unwrap_or_else(|| {
            let parts = RequestParts {
                organisation: self.head.organisation.as_deref().unwrap_or_default(),
                service: &self.head.service_name,
                method: &self.head.method,
                target: &self.head.target,
                field_lines: &self.head.field_lines,
                body: &self.head.body,
                is_whole: true,
                length: self.head.content_length,
            };
            RequestFingerprint::of(&self.state.options.fleet_key, &parts)
        })
    }

    /// Finds out, after a connection broke, whether the backend server crashed. One that leaves ends by
    /// plan, and so does one that is no longer of this host.
    async fn find_crash(&self) -> bool {
        let upstream = self.upstream;
        let is_own = self.state.host.get(&upstream.name).is_some();
        if !is_own || upstream.is_draining(self.state.now()) {
            return false;
        }
        let crashed = upstream.pool.is_refused().await;
        if !crashed {
            return false;
        }
        if upstream.note_crashed() {
            let in_flight = upstream.slots.used().into();
            let (upstream, service) = (&*upstream.name, &*upstream.service);
            ServerCrashed { upstream, service, in_flight }.log();
        }
        suspects::note_crash(self.state, self.fingerprint(), self.tally.get(), &upstream.name);
        true
    }

    fn once_key(&self, key: &str) -> OnceKey {
        let parts = [self.head.method.as_bytes(), self.head.target.as_bytes(), &self.head.body];
        OnceKey {
            service: self.head.service_name.clone(),
            organisation: self.head.organisation.clone().unwrap_or_default(),
            key: key.to_owned(),
            digest: basaltarch_store::ledger::digest(parts.into_iter()),
        }
    }

    /// Answers a later attempt with the kept answer of the first.
    async fn replay(&self, answer: &EventSink, kept: KeptAnswer) -> Result<(), FailureOutcome> {
        let mut lines = BytesMut::new();
        writer::put_field(&mut lines, b"content-type", kept.media_type.as_bytes());
        writer::put_field(&mut lines, b"basaltarch-replayed", b"1");
        let head = AnswerHead {
            status: kept.status as i16,
            field_lines: lines.into(),
            content_length: kept.body.len() as i64,
            body: kept.body.into_bytes(),
            last: true,
            report: self.upstream.report(self.state, &self.head.route, None),
        };
        let _ = answer.send(StreamEvent::Head(head)).await;
        Ok(())
    }

    /// Sends the work to the backend server and passes its answer on.
    pub async fn work(
        &self,
        slot: SlotGuard,
        body: &EventPipe,
        answer: &EventSink,
        claim: Option<ClaimToken>,
    ) -> Result<(), FailureOutcome> {
        if self.left().is_zero() {
            return Err(FailureOutcome::NotRun(NotRunReason::DeadlinePassed));
        }
        let connecting = async { Ok(self.upstream.pool.take().await) };
        let taken = unless_cancelled(body, connecting).await.map_err(FailureOutcome::NotRun)?;
        self.upstream.note_connected(taken.is_ok(), self.state.now());
        let mut pooled = match taken {
            Ok(pooled) => pooled,
            Err(_) => {
                self.note(RequestEvidence::Failed, false, Some(FailureKind::Broken));
                return Err(FailureOutcome::NotRun(NotRunReason::ConnectFailed));
            }
        };
        // An acknowledged drain binds also while a connection was being made, and so does a stop.
        if self.upstream.is_draining(self.state.now()) || !stop::starts(self.state, self.deadline) {
            pooled.give_back(None);
            return Err(FailureOutcome::NotRun(NotRunReason::Draining));
        }
        // The word of a crash may have come while it waited for its slot.
        if let Err(reason) = self.refuse_suspect() {
            pooled.give_back(None);
            return Err(FailureOutcome::NotRun(reason));
        }
        metrics::WORKED.add_one();
        let waited = self.state.now().saturating_sub(self.came_at);
        metrics::WAIT_SECONDS.record(waited);
        self.tell_started(waited);
        let progress = WorkProgress::new(slot, self.give_time());
        let result = self.converse(pooled.stream(), &progress, body, answer, claim).await;
        let was_overdue = progress.was_overdue.get();
        let ending = if result.is_ok() { "answered" } else { "broke" };
        metrics::WORK_SECONDS.record_as(progress.elapsed(), [("result", ending)]);
        match result {
            Ok(reusable) => {
                self.tell_ended(&progress);
                if reusable {
                    pooled.give_back(progress.rest.get());
                }
                Ok(())
            }
            Err(WorkFault::Shed) => {
                if progress.reusable.get() {
                    pooled.give_back(None);
                }
                Err(WorkFault::Shed.outcome())
            }
            Err(WorkFault::Moved) => {
                registration::note_gone(self.state, &self.upstream.name);
                Err(WorkFault::Moved.outcome())
            }
            Err(fault) => {
                // The slot is free once the connection is closed, not before.
                drop(pooled);
                let crashed = fault.breaks_off() && self.find_crash().await;
                self.tell_broke(fault, crashed, &progress);
                if !progress.noted.get() {
                    self.note(fault.evidence(was_overdue), was_overdue, fault.failure());
                }
                drop(progress);
                Err(fault.outcome())
            }
        }
    }

    /// Runs the exchange within its deadline; says whether the connection can be used again.
    async fn converse(
        &self,
        stream: &mut HttpStream,
        progress: &WorkProgress,
        body: &EventPipe,
        answer: &EventSink,
        claim: Option<ClaimToken>,
    ) -> Result<bool, WorkFault> {
        let now = self.state.now();
        let overdue_after = self.upstream.health.borrow().overdue_after(&self.head.route, now);
        let watch = WorkWatch::start(self, progress);
        let calls = watch.calls().clone();
        let HttpStream { reader, writer } = stream;
        let sent = Cell::new(false);
        let mut sending =
            std::pin::pin!(
                sending::send_request(self, progress.given.time, writer, body, &sent).fuse()
            );
        let relay = AnswerRelay { work: self, progress, answer, claim, calls };
        let mut answering = std::pin::pin!(relay.run(reader).fuse());
        let mut cancelled = std::pin::pin!(body.cancelled().fuse());
        let mut late = std::pin::pin!(monoio::time::sleep(self.left()).fuse());
        let mut slept = std::pin::pin!(self.state.clock.passed(self.deadline).fuse());
        let overdue_after = overdue_after.unwrap_or(NEVER);
        let mut overdue = std::pin::pin!(monoio::time::sleep(overdue_after).fuse());
        let mut looking = std::pin::pin!(watch.check_running().fuse());
        loop {
            select_biased! {
                result = answering => return result.map(|clean| clean && sent.get()),
                () = looking => {}
                result = sending => match result {
                    // A server may answer without reading all; its answer decides.
                    Ok(()) | Err(WorkFault::Broken) => {}
                    Err(fault) => return Err(fault),
                },
                () = cancelled => return Err(WorkFault::Cancelled),
                () = overdue => if !progress.head_seen.get() && !self.slept() {
                    progress.was_overdue.set(true);
                    if !self.is_trial {
                        self.upstream.note_overdue(&self.head.route, self.state.now());
                    }
                },
                () = late => if !progress.head_seen.get() {
                    return Err(WorkFault::TimedOut);
                },
                () = slept => if !progress.head_seen.get() {
                    return Err(WorkFault::TimedOut);
                },
            }
        }
    }
}

/// Waits for what work needs before it can be sent to its backend server, unless the ingress cancels it: a
/// caller that has left has no use for it. A cancel that came together with the work is seen before it starts.
pub async fn unless_cancelled<T>(
    body: &EventPipe,
    needed: impl Future<Output = Result<T, NotRunReason>>,
) -> Result<T, NotRunReason> {
    let mut needed = std::pin::pin!(needed.fuse());
    let mut cancelled = std::pin::pin!(body.cancelled().fuse());
    select_biased! {
        () = cancelled => Err(NotRunReason::CallerGone),
        result = needed => result,
    }
}

enum ClaimStep {
    Run(Option<ClaimToken>),
    Answered(KeptAnswer),
}
