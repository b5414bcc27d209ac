// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves one exchange at the host role: admits the request, claims the ledger row of an
//! at-most-once request, runs the exchange with the backend server, and records the evidence for
//! the server's health.

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

use crate::health_checks;
use crate::host::fault::AttemptFault;
use crate::host::progress::AttemptProgress;
use crate::host::relay::AnswerRelay;
use crate::host::sending;
use crate::host::upstream::{AttemptResult, HostUpstream};
use crate::host::watch::AttemptWatch;
use crate::ingress::body::KEPT_BYTES;
use crate::state::DaemonState;
use crate::stop;
use crate::suspects;
use crate::wire;

/// Time after which a caller may retry when a backend server was full or out of service.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Number of standard deviations by which the time that a reserved request is expected to need
/// exceeds the typical service time. Five of six requests complete within the expected time.
const RESERVED_DEVIATIONS: f64 = 1.0;

/// Serves one exchange to its end and reports a failure to the ingress.
pub async fn serve(
    state: &Rc<DaemonState>,
    head: DispatchHead,
    body: &EventPipe,
    answer: &EventSink,
) {
    let _counted = state.stop.count_in_flight();
    let upstream = state.host.get_or_successor(&head.upstream, &head.service_name);
    if let (Some(upstream), Some(rate)) = (&upstream, wire::rate_from_note(head.rate)) {
        // What an ingress has heard of a server does not hold for the server's successor.
        if *upstream.name == *head.upstream {
            upstream.note_reported_rate(rate);
        }
    }
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
        // A send error is ignored: an ingress that disconnected needs no report.
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
    let objective_time = Duration::from_millis(head.objective_ms.max(0) as u64);
    let objective = (head.objective_ms > 0).then(|| state.now() + objective_time);
    let arrived_at = state.now();
    let (trial_admitted_at, tally) = (None, Cell::default());
    let mut attempt = HostAttempt {
        state,
        upstream,
        head,
        deadline,
        objective,
        arrived_at,
        trial_admitted_at,
        tally,
    };
    let result = match attempt.admit() {
        Ok(()) if attempt.is_reservation() => attempt.run_reserved(body, answer).await,
        Ok(()) => attempt.run(body, answer).await,
        Err(reason) => Err(FailureOutcome::NotRun(reason)),
    };
    if let Err(FailureOutcome::NotRun(reason)) = result {
        attempt.log_refused(reason);
    }
    if attempt.is_trial() && result.is_err() {
        // A trial that did not reach the server is no evidence. Its end is recorded all the same,
        // because only after that can another trial start.
        attempt.record_result(RequestEvidence::Neutral, false, None);
    }
    result
}

/// `HostAttempt` is one attempt to run a request at one backend server.
pub struct HostAttempt<'a> {
    /// State of this daemon.
    pub state: &'a Rc<DaemonState>,
    /// Backend server that is to run the request.
    pub upstream: &'a Rc<HostUpstream>,
    /// Head of the request, as dispatched by the ingress.
    pub head: &'a DispatchHead,
    deadline: Duration,
    objective: Option<Duration>,
    arrived_at: Duration,
    /// When the attempt was admitted as a trial of an ejected server, if it is one.
    trial_admitted_at: Option<Duration>,
    /// Crash tally of the request at the last check before the request was sent.
    tally: Cell<CrashTally>,
}

impl HostAttempt<'_> {
    /// Builds the attempt for a request that was dispatched after a slot offer, from its dispatch
    /// head. The attempt gives evidence about the server only from the dispatch on, since the host
    /// held only a reservation before the dispatch.
    pub fn with_dispatch_head<'b>(&'b self, head: &'b DispatchHead) -> HostAttempt<'b> {
        HostAttempt { head, tally: self.tally.clone(), arrived_at: self.state.now(), ..*self }
    }

    fn admit(&mut self) -> Result<(), NotRunReason> {
        let now = self.state.now();
        self.refuse_suspect()?;
        if self.state.stop.is_handing_over() || self.upstream.takes_no_requests(now) {
            return Err(NotRunReason::Draining);
        }
        let terms = DispatchTerms {
            route: &self.head.route,
            refusable: self.head.refusable,
            repeatable: wire::mode_from_number(self.head.work_mode) == WorkMode::Repeatable,
            passable: self.head.passable,
            baseline: wire::baseline_from_note(self.head.baseline.as_ref()),
        };
        match self.upstream.admit(&terms, now) {
            AdmitVerdict::Admit => Ok(()),
            AdmitVerdict::Trial => {
                self.trial_admitted_at = Some(now);
                Ok(())
            }
            AdmitVerdict::Refuse => Err(NotRunReason::Unhealthy),
        }
    }

    /// Refuses a request whose copies crashed backend servers; otherwise stores the crash tally of
    /// the request. If the ingress knows of at least as many crashes as this host, the ingress sent
    /// this copy deliberately as a trial, and the copy is not refused.
    fn refuse_suspect(&self) -> Result<(), NotRunReason> {
        let reported = self.head.tally.as_ref().map(wire::tally_from_note).unwrap_or_default();
        let known_tally = match self.state.suspects.is_empty() {
            true => CrashTally::default(),
            false => self.state.suspects.tally(&self.fingerprint()),
        };
        if known_tally.is_refused() && known_tally > reported {
            return Err(NotRunReason::CrashesServers);
        }
        self.tally.set(known_tally.max(reported));
        Ok(())
    }

    /// Says whether the attempt is a trial of an ejected server.
    pub fn is_trial(&self) -> bool {
        self.trial_admitted_at.is_some()
    }

    /// Says whether the host was suspended since the request arrived.
    pub fn was_suspended(&self) -> bool {
        self.state.clock.suspended_since(self.arrived_at)
    }

    /// Records that the request succeeded, which clears its crash tally.
    pub fn clear_suspicion(&self) {
        if !self.state.suspects.is_empty() {
            suspects::note_success(self.state, &self.fingerprint());
        }
    }

    /// Returns the time that is left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.state.now())
    }

    /// Records how the attempt ended.
    pub fn record_result(
        &self,
        evidence: RequestEvidence,
        was_overdue: bool,
        failure: Option<FailureKind>,
    ) {
        // A request that failed at another upstream before may be at fault itself. An attempt
        // during which the host was suspended counts neither as failed nor as fast or slow.
        let suspended = self.was_suspended();
        let evidence = match evidence {
            RequestEvidence::Failed if self.head.after_failure => RequestEvidence::Neutral,
            _ if suspended => RequestEvidence::Neutral,
            other => other,
        };
        let was_overdue = was_overdue && !suspended;
        let failure = failure.filter(|failure| {
            let is_exempt = self.head.after_failure && failure.is_fault_of_request();
            !suspended && !is_exempt
        });
        let (trial_admitted_at, started) = (self.trial_admitted_at, self.arrived_at);
        let result = AttemptResult { evidence, was_overdue, trial_admitted_at, started, failure };
        self.upstream.record_result(&self.head.route, &result, self.state.now());
    }

    /// Claims the ledger row of an at-most-once request with a key, waits for a slot and runs the
    /// request.
    async fn run(&self, body: &EventPipe, answer: &EventSink) -> Result<(), FailureOutcome> {
        if !self.upstream.slots.has_room(&self.slot_request()) {
            return Err(FailureOutcome::NotRun(NotRunReason::QueueFull));
        }
        // The ledger row is written before the slot is taken: a slow store must not occupy slots
        // that other requests need.
        let claim = match self.claim(body).await? {
            ClaimStep::Run(claim) => claim,
            ClaimStep::Answered(stored) => return self.replay(answer, stored).await,
        };
        let result = match unless_cancelled(body, self.take_slot()).await {
            Ok(slot) => self.forward(slot, body, answer, claim.clone()).await,
            Err(reason) => Err(FailureOutcome::NotRun(reason)),
        };
        if let (Err(FailureOutcome::NotRun(_)), Some(token)) = (&result, claim) {
            self.release(token).await;
        }
        result
    }

    /// Releases the claim of a request that did not run. The refusal of the request is sent after
    /// the release. Once a shutdown gives up pending requests, the release is no longer awaited,
    /// since otherwise the refusal would never be sent.
    async fn release(&self, token: ClaimToken) {
        let mut releasing = std::pin::pin!(self.state.ledger.release(token).fuse());
        let mut stopping = std::pin::pin!(self.state.stop.giving_up.raised().fuse());
        select_biased! {
            () = releasing => {}
            () = stopping => {}
        }
    }

    async fn take_slot(&self) -> Result<SlotGuard, NotRunReason> {
        // While the claim was written, the daemon may have begun to shut down, or the upstream may
        // have begun to drain.
        if !self.may_start() || self.upstream.takes_no_requests(self.state.now()) {
            return Err(NotRunReason::Draining);
        }
        self.upstream.slots.acquire(self.slot_request()).await
    }

    /// Says whether the request may still start if the daemon is shutting down.
    pub fn may_start(&self) -> bool {
        stop::allows_start(self.state, self.deadline)
    }

    /// Builds the request for a slot.
    pub fn slot_request(&self) -> SlotRequest {
        let usual = self.usual_time();
        let deviations = if self.is_reservation() { RESERVED_DEVIATIONS } else { 0.0 };
        let scheduling = QueuedRequest {
            class: wire::class_from_number(self.head.work_class),
            is_call: self.head.called == Some(true),
            deadline: self.deadline,
            objective: self.objective,
            usual: usual.map(|usual| usual.at(0.0)),
            needed_time: usual.map(|usual| usual.at(deviations)),
        };
        let is_repeatable = wire::mode_from_number(self.head.work_mode) == WorkMode::Repeatable;
        SlotRequest {
            scheduling,
            refusable: self.head.refusable,
            passable: self.head.passable,
            needs_recent_progress: self.state.live().prove_once_only && !is_repeatable,
            is_upload_open: self.is_upload_open(),
        }
    }

    /// Says whether the body of the request may still have to arrive from the caller. A shorter body
    /// was read whole before the request was dispatched, even if it is sent only once the request
    /// starts.
    pub fn is_upload_open(&self) -> bool {
        let length = usize::try_from(self.head.content_length).ok();
        !self.head.last && length.is_none_or(|length| length > KEPT_BYTES)
    }

    /// Says whether the server still waits for a part of the body that has to arrive.
    fn awaits_upload(&self, progress: &AttemptProgress) -> bool {
        self.is_upload_open() && !progress.is_uploaded()
    }

    /// Returns the fault of an attempt that ended at its deadline.
    fn late_fault(&self, progress: &AttemptProgress) -> AttemptFault {
        match self.awaits_upload(progress) {
            true => AttemptFault::CallerStalled,
            false => AttemptFault::TimedOut,
        }
    }

    /// Returns the distribution of the service time of requests on this route, if the distribution
    /// is known or can be assumed from the objective.
    pub fn usual_time(&self) -> Option<UsualTime> {
        let objective = self.objective.map(|at| at.saturating_sub(self.state.now()));
        let objective = objective.filter(|left| !left.is_zero());
        self.upstream.health.borrow().usual_time(&self.head.route, objective)
    }

    /// Returns the time after which the request counts as overdue, if there is a baseline.
    fn overdue_after(&self) -> Option<Duration> {
        self.upstream.health.borrow().overdue_after(&self.head.route, self.state.now())
    }

    /// Returns the timeout that the host sets for the server's response to this attempt.
    fn attempt_timeout(&self) -> AttemptTimeout {
        let now = self.state.now();
        let objective_left = self.objective.map_or(Duration::ZERO, |at| at.saturating_sub(now));
        let terms = TimeoutTerms {
            left: self.time_left(),
            objective_left,
            usual: self.upstream.health.borrow().usual_time(&self.head.route, None),
            full: self.upstream.slots.is_full(),
            siblings: wire::siblings_slow_requests(self.head.baseline.as_ref()),
        };
        self.upstream.adaptive_timeout.borrow_mut().timeout_for(&terms, now)
    }

    /// Writes the ledger row of an at-most-once request that has a key.
    async fn claim(&self, body: &EventPipe) -> Result<ClaimStep, FailureOutcome> {
        let key = match &self.head.once_key {
            Some(key) => key,
            None => return Ok(ClaimStep::Run(None)),
        };
        let key = self.once_key(key);
        let mut claiming = std::pin::pin!(self.state.ledger.claim(&key).fuse());
        let mut cancelled = std::pin::pin!(body.cancelled().fuse());
        let mut timed_out = std::pin::pin!(monoio::time::sleep(self.time_left()).fuse());
        let outcome = select_biased! {
            outcome = claiming => outcome,
            () = cancelled => return Err(FailureOutcome::NotRun(NotRunReason::CallerGone)),
            () = timed_out => return Err(FailureOutcome::NotRun(NotRunReason::LedgerUnavailable)),
        };
        match outcome {
            ClaimOutcome::Granted(token) => Ok(ClaimStep::Run(Some(token))),
            ClaimOutcome::Answered(stored) => {
                metrics::ONCE_DUPLICATES.add_one();
                Ok(ClaimStep::Answered(stored))
            }
            ClaimOutcome::Started => {
                metrics::ONCE_DUPLICATES.add_one();
                Err(FailureOutcome::Unknown(UnknownReason::AlreadyStarted))
            }
            ClaimOutcome::OtherRequest => Err(FailureOutcome::NotRun(NotRunReason::KeyReused)),
            // This attempt did not run the request, whether or not the ledger row was written.
            ClaimOutcome::Unavailable | ClaimOutcome::Unsettled => {
                Err(FailureOutcome::NotRun(NotRunReason::LedgerUnavailable))
            }
        }
    }

    /// Returns the fingerprint of the request, which all its copies share and no other request has.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let reported = self.head.fingerprint.as_deref().and_then(RequestFingerprint::from_bytes);
        reported.unwrap_or_else(|| {
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

    /// Checks, after a connection broke, whether the backend server crashed. The exit of a server
    /// that is draining, or that no longer belongs to this host, is no crash.
    async fn detect_crash(&self) -> bool {
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

    /// Answers a later attempt at an at-most-once request with the stored response of the first
    /// attempt.
    async fn replay(&self, answer: &EventSink, stored: KeptAnswer) -> Result<(), FailureOutcome> {
        let mut lines = BytesMut::new();
        writer::put_field(&mut lines, b"content-type", stored.media_type.as_bytes());
        writer::put_field(&mut lines, b"basaltarch-replayed", b"1");
        let head = AnswerHead {
            status: stored.status as i16,
            field_lines: lines.into(),
            content_length: stored.body.len() as i64,
            body: stored.body.into_bytes(),
            last: true,
            report: self.upstream.report(self.state, &self.head.route, None),
        };
        let _ = answer.send(StreamEvent::Head(head)).await;
        Ok(())
    }

    /// Waits until a cold backend server can bear the request. The request keeps its slot meanwhile,
    /// so that the reported load tells ingresses to send requests elsewhere.
    async fn await_turn(&self, body: &EventPipe) -> Result<(), NotRunReason> {
        let wait = self.upstream.reserve_turn(self.state.now());
        if wait.is_zero() {
            return Ok(());
        }
        if wait >= self.time_left() {
            return Err(NotRunReason::QueueFull);
        }
        let waiting = async {
            monoio::time::sleep(wait).await;
            Ok(())
        };
        unless_cancelled(body, waiting).await
    }

    /// Sends the request to the backend server and relays its response.
    pub async fn forward(
        &self,
        slot: SlotGuard,
        body: &EventPipe,
        answer: &EventSink,
        claim: Option<ClaimToken>,
    ) -> Result<(), FailureOutcome> {
        if self.time_left().is_zero() {
            return Err(FailureOutcome::NotRun(NotRunReason::DeadlinePassed));
        }
        self.await_turn(body).await.map_err(FailureOutcome::NotRun)?;
        let connecting = async { Ok(self.upstream.take_connection(self.request_id()).await) };
        let take_result =
            unless_cancelled(body, connecting).await.map_err(FailureOutcome::NotRun)?;
        self.upstream.note_connected(take_result.is_ok(), self.state.now());
        let mut pooled_stream = match take_result {
            Ok(pooled_stream) => pooled_stream,
            Err(_) => {
                self.record_result(RequestEvidence::Failed, false, Some(FailureKind::Broken));
                return Err(FailureOutcome::NotRun(NotRunReason::ConnectFailed));
            }
        };
        // A drain, an evacuation or a shutdown may have been acknowledged while the connection was
        // opened. No request may start after the acknowledgement.
        if self.upstream.takes_no_requests(self.state.now())
            || !stop::allows_start(self.state, self.deadline)
        {
            pooled_stream.give_back(None);
            return Err(FailureOutcome::NotRun(NotRunReason::Draining));
        }
        // A crash may have been reported while the request waited for its slot.
        if let Err(reason) = self.refuse_suspect() {
            pooled_stream.give_back(None);
            return Err(FailureOutcome::NotRun(reason));
        }
        metrics::HOST_ATTEMPTS.add_one();
        let waited = self.state.now().saturating_sub(self.arrived_at);
        metrics::SLOT_WAIT_SECONDS.record(waited);
        let idle_time = pooled_stream.idle_time();
        self.log_started(waited, idle_time);
        let (timeout, overdue_after) = (self.attempt_timeout(), self.overdue_after());
        let progress = AttemptProgress::new(slot, timeout, overdue_after, idle_time);
        let result =
            self.run_exchange(pooled_stream.stream(), &progress, body, answer, claim).await;
        let was_overdue = progress.was_overdue.get();
        let result_label = if result.is_ok() { "answered" } else { "broke" };
        metrics::ATTEMPT_SECONDS.record_as(progress.elapsed(), [("result", result_label)]);
        if !progress.has_succeeded.get() {
            self.request_id().into_iter().for_each(|id| pooled_stream.note_retryable(id));
        }
        // The slot is released after the connection is closed or given back, not before.
        let is_kept = progress.exchange.leaves_connection_reusable();
        match is_kept {
            true => pooled_stream.give_back(progress.keep_alive.get()),
            false => drop(pooled_stream),
        }
        match result {
            Ok(()) => {
                self.log_ended(&progress, is_kept);
                Ok(())
            }
            Err(AttemptFault::Refused(refusal)) => {
                self.log_ended(&progress, is_kept);
                if refusal.is_from_another_server() {
                    health_checks::check_listener(self.state, &self.upstream.name);
                }
                Err(AttemptFault::Refused(refusal).outcome())
            }
            Err(fault) => {
                let crashed = fault.is_connection_failure() && self.detect_crash().await;
                self.log_failed(fault, crashed, &progress);
                if !progress.is_recorded.get() {
                    self.record_result(fault.evidence(was_overdue), was_overdue, fault.failure());
                }
                drop(progress);
                Err(fault.outcome())
            }
        }
    }

    /// Returns the id that the response repeats, if ids are in use.
    fn request_id(&self) -> Option<&[u8]> {
        let name = self.state.fields.request.as_ref()?;
        wire::field_value(&self.head.field_lines, name.as_str())
    }

    /// Runs the HTTP exchange within its deadline.
    async fn run_exchange(
        &self,
        stream: &mut HttpStream,
        progress: &AttemptProgress,
        body: &EventPipe,
        answer: &EventSink,
        claim: Option<ClaimToken>,
    ) -> Result<(), AttemptFault> {
        let watch = AttemptWatch::start(self, progress);
        let HttpStream { reader, writer } = stream;
        let sending = sending::send_request(&watch, writer, body);
        let mut sending = std::pin::pin!(sending.fuse());
        let relay = AnswerRelay { attempt: self, progress, answer, claim, watch: &watch };
        let mut answering = std::pin::pin!(relay.run(reader).fuse());
        let mut cancelled = std::pin::pin!(body.cancelled().fuse());
        let mut timed_out = std::pin::pin!(monoio::time::sleep(self.time_left()).fuse());
        let mut deadline_passed =
            std::pin::pin!(self.state.clock.passed_after_resume(self.deadline).fuse());
        let mut overdue = std::pin::pin!(progress.overdue_timer.passed().fuse());
        let mut watching = std::pin::pin!(watch.check_until_nested_call().fuse());
        loop {
            select_biased! {
                result = answering => return result,
                () = watching => {}
                result = sending => match result {
                    // A server may respond before it has read the whole request. A connection that
                    // breaks while the request is sent therefore does not end the exchange: the
                    // result depends on the response.
                    Ok(()) | Err(AttemptFault::Broken) => {}
                    Err(fault) => return Err(fault),
                },
                () = cancelled => return Err(AttemptFault::Cancelled),
                () = overdue => if !progress.head_seen.get()
                    && !self.was_suspended()
                    && !self.awaits_upload(progress)
                {
                    progress.was_overdue.set(true);
                    if !self.is_trial() {
                        self.upstream.note_overdue(&self.head.route, self.state.now());
                    }
                },
                () = timed_out => if !progress.head_seen.get() {
                    return Err(self.late_fault(progress));
                },
                () = deadline_passed => if !progress.head_seen.get() {
                    return Err(self.late_fault(progress));
                },
            }
        }
    }
}

/// Waits for `needed`, without which a request can't be sent to its backend server, unless the
/// ingress cancels the request because its caller disconnected. The cancel is polled first, so that
/// a cancel that arrived together with the request takes effect before the request starts.
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

/// `ClaimStep` is what follows the claim of a request's ledger row.
enum ClaimStep {
    /// The request is run. If the request has a ledger row, the token is the claim of that row.
    Run(Option<ClaimToken>),
    /// An earlier attempt was answered, and its stored response is sent.
    Answered(KeptAnswer),
}
