// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves one exchange at the host role: admission, once-only claim, the work itself, evidence.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_core::resources::WorkMode;
use basaltarch_decide::evidence::WorkEvidence;
use basaltarch_decide::health::{AdmitVerdict, DispatchTerms};
use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_http::writer;
use basaltarch_peer::protocol::{AnswerHead, DispatchHead, ExchangeFailure};
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};
use basaltarch_store::ledger::{ClaimOutcome, ClaimToken, KeptAnswer, OnceKey};
use bytes::{Bytes, BytesMut};
use futures_util::{select_biased, FutureExt};
use http::{header, response, Method, StatusCode};

use crate::host::admission::{SlotGuard, SlotRequest};
use crate::host::upstream::{HostUpstream, WorkNote};
use crate::metrics;
use crate::state::DaemonState;
use crate::wire;

/// Time after which a caller may come back when a backend server was full or out.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Wait that stands for "never overdue".
const NEVER: Duration = Duration::from_secs(3600);
/// Informational answers that a backend server may send before the real one.
const INFORMATIONAL_MAX: usize = 8;
/// Answers with these many bytes or fewer go to the ingress in one frame if they came in one piece.
const INLINE_BYTES_MAX: u64 = 32 * 1024;

/// `WorkFault` says how the work broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkFault {
    /// The ingress gave it up.
    Cancelled,
    /// The deadline passed before the head of the answer.
    TimedOut,
    /// The connection broke before the head of the answer.
    Broken,
    /// The answer was malformed or cut short.
    BadAnswer,
    /// The backend server refused the work by its documented word.
    Shed,
    /// The ingress no longer takes the answer.
    SinkGone,
}

impl WorkFault {
    fn outcome(self) -> FailureOutcome {
        match self {
            Self::Cancelled | Self::SinkGone => FailureOutcome::Unknown(UnknownReason::CallerGone),
            Self::TimedOut => FailureOutcome::Unknown(UnknownReason::TimedOut),
            Self::Broken => FailureOutcome::Unknown(UnknownReason::BackendBroken),
            Self::BadAnswer => FailureOutcome::Unknown(UnknownReason::AnswerBroken),
            Self::Shed => FailureOutcome::NotRun(NotRunReason::Shed),
        }
    }

    fn evidence(self, was_overdue: bool) -> WorkEvidence {
        match self {
            Self::Broken | Self::BadAnswer => WorkEvidence::Failed,
            // A time-out is a censored time: it says something only if the work was overdue.
            Self::TimedOut if was_overdue => WorkEvidence::Failed,
            _ => WorkEvidence::Neutral,
        }
    }
}

/// Serves one exchange to its end and tells the ingress how it went.
pub async fn serve(
    state: &Rc<DaemonState>,
    head: DispatchHead,
    body: &EventPipe,
    answer: &EventSink,
) {
    let _counted = state.count_in_flight();
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
    let mut work = HostWork { state, upstream, head, deadline, is_trial: false };
    work.admit().map_err(FailureOutcome::NotRun)?;
    let admitted = work.run(body, answer).await;
    if work.is_trial && admitted.is_err() {
        // A trial that never reached the server says nothing, but another may start.
        work.note(WorkEvidence::Neutral, false);
    }
    admitted
}

/// `HostWork` is one piece of work at one backend server.
struct HostWork<'a> {
    state: &'a Rc<DaemonState>,
    upstream: &'a Rc<HostUpstream>,
    head: &'a DispatchHead,
    deadline: Duration,
    is_trial: bool,
}

impl HostWork<'_> {
    fn admit(&mut self) -> Result<(), NotRunReason> {
        let now = self.state.now();
        if self.state.is_stopping() || self.upstream.is_draining(now) {
            return Err(NotRunReason::Draining);
        }
        let terms = DispatchTerms {
            route: &self.head.route,
            refusable: self.head.refusable,
            repeatable: wire::mode_of(self.head.work_mode) == WorkMode::Repeatable,
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

    fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.state.now())
    }

    fn note(&self, evidence: WorkEvidence, was_overdue: bool) {
        // What failed elsewhere before may be the request's own fault.
        let evidence = match evidence {
            WorkEvidence::Failed if self.head.after_failure => WorkEvidence::Neutral,
            other => other,
        };
        let note = WorkNote { evidence, was_overdue, is_trial: self.is_trial };
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
        let result = match self.take_slot(body).await {
            Ok(slot) => self.work(slot, body, answer, claim.clone()).await,
            Err(reason) => Err(FailureOutcome::NotRun(reason)),
        };
        if let (Err(FailureOutcome::NotRun(_)), Some(token)) = (&result, claim) {
            self.state.ledger.release(token).await;
        }
        result
    }

    async fn take_slot(&self, body: &EventPipe) -> Result<SlotGuard, NotRunReason> {
        let usual = self.usual_time();
        let request = SlotRequest {
            class: wire::class_of(self.head.work_class),
            refusable: self.head.refusable,
            deadline: self.deadline,
            usual,
        };
        let taking = self.upstream.slots.acquire(request, || self.state.now());
        let mut taking = std::pin::pin!(taking.fuse());
        let mut cancelled = std::pin::pin!(body.cancelled().fuse());
        select_biased! {
            slot = taking => slot,
            () = cancelled => Err(NotRunReason::CallerGone),
        }
    }

    fn usual_time(&self) -> Option<Duration> {
        let report = self.upstream.health.borrow().report(&self.head.route, self.state.now());
        let known = report.samples > 0;
        known.then(|| Duration::from_micros(report.median_ln.exp().min(60e6) as u64))
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
    async fn work(
        &self,
        slot: SlotGuard,
        body: &EventPipe,
        answer: &EventSink,
        claim: Option<ClaimToken>,
    ) -> Result<(), FailureOutcome> {
        if self.left().is_zero() {
            return Err(FailureOutcome::NotRun(NotRunReason::DeadlinePassed));
        }
        let taken = self.upstream.pool.take().await;
        self.upstream.note_connected(taken.is_ok(), self.state.now());
        let mut pooled = match taken {
            Ok(pooled) => pooled,
            Err(_) => {
                self.note(WorkEvidence::Failed, false);
                return Err(FailureOutcome::NotRun(NotRunReason::ConnectFailed));
            }
        };
        metrics::WORKED.add_one();
        let progress = WorkProgress::new(slot);
        let result = self.converse(pooled.stream(), &progress, body, answer, claim).await;
        let was_overdue = progress.was_overdue.get();
        match result {
            Ok(reusable) => {
                if reusable {
                    pooled.give_back();
                }
                Ok(())
            }
            Err(WorkFault::Shed) => {
                pooled.give_back();
                Err(WorkFault::Shed.outcome())
            }
            Err(fault) => {
                // The slot is free once the connection is closed, not before.
                drop(pooled);
                if !progress.noted.get() {
                    self.note(fault.evidence(was_overdue), was_overdue);
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
        let overdue_after = self.upstream.health.borrow().overdue_after(&self.head.route);
        let HttpStream { reader, writer } = stream;
        let sent = Cell::new(false);
        let mut sending = std::pin::pin!(send_request(self, writer, body, &sent).fuse());
        let relay = AnswerRelay { work: self, progress, answer, claim };
        let mut answering = std::pin::pin!(relay.run(reader).fuse());
        let mut cancelled = std::pin::pin!(body.cancelled().fuse());
        let mut late = std::pin::pin!(monoio::time::sleep(self.left()).fuse());
        let overdue_after = overdue_after.unwrap_or(NEVER);
        let mut overdue = std::pin::pin!(monoio::time::sleep(overdue_after).fuse());
        loop {
            select_biased! {
                result = answering => return result.map(|clean| clean && sent.get()),
                result = sending => match result {
                    // A server may answer without reading all; its answer decides.
                    Ok(()) | Err(WorkFault::Broken) => {}
                    Err(fault) => return Err(fault),
                },
                () = cancelled => return Err(WorkFault::Cancelled),
                () = overdue => if !progress.head_seen.get() {
                    progress.was_overdue.set(true);
                    if !self.is_trial {
                        self.upstream.note_overdue(&self.head.route, self.state.now());
                    }
                },
                () = late => if !progress.head_seen.get() {
                    return Err(WorkFault::TimedOut);
                },
            }
        }
    }
}

enum ClaimStep {
    Run(Option<ClaimToken>),
    Answered(KeptAnswer),
}

/// `WorkProgress` is how far the work got.
struct WorkProgress {
    slot: Cell<Option<SlotGuard>>,
    started: Instant,
    head_seen: Cell<bool>,
    was_overdue: Cell<bool>,
    noted: Cell<bool>,
}

impl WorkProgress {
    fn new(slot: SlotGuard) -> Self {
        Self {
            slot: Cell::new(Some(slot)),
            started: Instant::now(),
            head_seen: Cell::new(false),
            was_overdue: Cell::new(false),
            noted: Cell::new(false),
        }
    }
}

/// Sends the request; `sent` tells whether all of it was.
async fn send_request(
    work: &HostWork<'_>,
    writer: &mut monoio::io::OwnedWriteHalf<monoio::net::TcpStream>,
    body: &EventPipe,
    sent: &Cell<bool>,
) -> Result<(), WorkFault> {
    let head = work.head;
    let framing = request_framing(head);
    let mut buffer = BytesMut::with_capacity(1024 + head.body.len());
    put_request(work, framing, &mut buffer);
    writer::put_piece(&mut buffer, framing, &head.body, head.last);
    writer::flush(writer, &mut buffer).await.map_err(|_| WorkFault::Broken)?;
    if head.last {
        sent.set(true);
        return Ok(());
    }
    body.open_window();
    loop {
        match body.next().await {
            StreamEvent::Data(data, last) => {
                let sending = writer::send_piece(writer, &mut buffer, framing, data, last);
                sending.await.map_err(|_| WorkFault::Broken)?;
                if last {
                    sent.set(true);
                    return Ok(());
                }
            }
            _ => return Err(WorkFault::Cancelled),
        }
    }
}

fn request_framing(head: &DispatchHead) -> BodyFraming {
    match (head.last, head.content_length) {
        (true, _) if head.body.is_empty() => BodyFraming::Empty,
        (true, _) => BodyFraming::Length(head.body.len() as u64),
        (false, length) if length >= 0 => BodyFraming::Length(length as u64),
        (false, _) => BodyFraming::Chunked,
    }
}

fn put_request(work: &HostWork<'_>, framing: BodyFraming, buffer: &mut BytesMut) {
    let head = work.head;
    buffer.extend_from_slice(head.method.as_bytes());
    buffer.extend_from_slice(b" ");
    buffer.extend_from_slice(head.target.as_bytes());
    buffer.extend_from_slice(b" HTTP/1.1\r\n");
    buffer.extend_from_slice(&head.field_lines);
    let left = work.left().as_millis().to_string();
    writer::put_field(buffer, fields::DEADLINE.as_str().as_bytes(), left.as_bytes());
    writer::put_framing(buffer, framing);
    let needs_length =
        framing == BodyFraming::Empty && matches!(head.method.as_str(), "POST" | "PUT" | "PATCH");
    if needs_length {
        writer::put_field(buffer, b"content-length", b"0");
    }
    buffer.extend_from_slice(b"\r\n");
}

/// `AnswerRelay` passes the answer of a backend server on to the ingress.
struct AnswerRelay<'a> {
    work: &'a HostWork<'a>,
    progress: &'a WorkProgress,
    answer: &'a EventSink,
    claim: Option<ClaimToken>,
}

type BackendReader =
    basaltarch_http::reader::ByteReader<monoio::io::OwnedReadHalf<monoio::net::TcpStream>>;

impl AnswerRelay<'_> {
    /// Passes the answer on; says whether it left the connection clean.
    async fn run(self, reader: &mut BackendReader) -> Result<bool, WorkFault> {
        let mut head = self.read_head(reader).await?;
        self.progress.head_seen.set(true);
        let now = self.work.state.now();
        self.work.upstream.note_drain_word(head.headers.contains_key(fields::DRAIN), now);
        let method = self.work.head.method.parse().unwrap_or(Method::GET);
        let framing = framing::of_response(&head, &method).map_err(|_| WorkFault::BadAnswer)?;
        let shed = head.status == StatusCode::SERVICE_UNAVAILABLE
            && head.headers.contains_key(fields::SHED);
        if shed {
            return self.finish_shed(reader, framing).await;
        }
        let close =
            framing == BodyFraming::UntilClose || fields::wants_close(head.version, &head.headers);
        let length = declared_length(&head, framing);
        let failed = is_server_error(head.status);
        fields::remove_hop_fields(&mut head.headers);
        let mut body = BodyReader::new(framing, BodyLimits::default());
        let inline = self.take_inline(&mut body, reader, framing)?;
        if body.is_done() {
            self.note_end(failed, self.progress.started.elapsed());
            self.keep(&head, &inline);
            self.send_head(&head, length, inline, true).await?;
            return Ok(!close);
        }
        self.send_head(&head, length, inline, false).await?;
        self.stream_body(&mut body, reader, failed).await?;
        Ok(!close)
    }

    async fn read_head(&self, reader: &mut BackendReader) -> Result<response::Parts, WorkFault> {
        let limits = HeadLimits {
            bytes: 32 * 1024,
            idle: self.work.left() + Duration::from_secs(1),
            time: self.work.left() + Duration::from_secs(1),
            ..HeadLimits::default()
        };
        for _ in 0..INFORMATIONAL_MAX {
            match head::read_response(reader, &limits).await {
                Ok(head) if head.status.is_informational() => continue,
                Ok(head) => return Ok(head),
                Err(HttpError::Closed | HttpError::Broken { .. }) => return Err(WorkFault::Broken),
                Err(_) => return Err(WorkFault::BadAnswer),
            }
        }
        Err(WorkFault::BadAnswer)
    }

    /// Takes what is already there of a short body.
    fn take_inline(
        &self,
        body: &mut BodyReader,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<Bytes, WorkFault> {
        let short = match framing {
            BodyFraming::Empty => true,
            BodyFraming::Length(bytes) => bytes <= INLINE_BYTES_MAX,
            BodyFraming::Chunked => true,
            BodyFraming::UntilClose => false,
        };
        let mut inline = BytesMut::new();
        while short && inline.len() < INLINE_BYTES_MAX as usize {
            match body.take(&mut reader.buffer) {
                Ok(Some(piece)) if inline.is_empty() && body.is_done() => return Ok(piece),
                Ok(Some(piece)) => inline.extend_from_slice(&piece),
                Ok(None) => break,
                Err(_) => return Err(WorkFault::BadAnswer),
            }
        }
        Ok(inline.freeze())
    }

    async fn finish_shed(
        &self,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<bool, WorkFault> {
        let mut body = BodyReader::new(framing, BodyLimits::default());
        loop {
            match body.next(reader).await {
                Ok(Some(_)) => {}
                Ok(None) => break,
                // The word was in the head; a broken body only spoils the connection.
                Err(_) => break,
            }
        }
        self.work.note(WorkEvidence::Neutral, false);
        self.progress.noted.set(true);
        Err(WorkFault::Shed)
    }

    /// Notes the end of the work and frees its slot, so that the report tells of both.
    fn note_end(&self, failed: bool, took: Duration) {
        let evidence = if failed { WorkEvidence::Failed } else { WorkEvidence::Answered(took) };
        self.work.note(evidence, self.progress.was_overdue.get());
        self.progress.noted.set(true);
        drop(self.progress.slot.take());
    }

    async fn send_head(
        &self,
        head: &response::Parts,
        length: i64,
        body: Bytes,
        last: bool,
    ) -> Result<(), WorkFault> {
        let answer = AnswerHead {
            status: head.status.as_u16() as i16,
            field_lines: wire::field_lines(&head.headers),
            content_length: length,
            body: body.to_vec(),
            last,
            report: self.work.upstream.report(
                self.work.state,
                &self.work.head.route,
                Some(self.progress.started.elapsed()),
            ),
        };
        let sending = self.answer.send(StreamEvent::Head(answer));
        sending.await.map_err(|_| WorkFault::SinkGone)
    }

    async fn stream_body(
        &self,
        body: &mut BodyReader,
        reader: &mut BackendReader,
        failed: bool,
    ) -> Result<(), WorkFault> {
        // Time that the caller takes to read is not the server's.
        let mut waited = Duration::ZERO;
        loop {
            let piece = body.next(reader).await.map_err(|_| WorkFault::BadAnswer)?;
            let last = piece.is_none();
            if last {
                self.note_end(failed, self.progress.started.elapsed().saturating_sub(waited));
            }
            let data = piece.unwrap_or_default();
            let before = Instant::now();
            let sending = self.answer.send(StreamEvent::Data(data, last));
            sending.await.map_err(|_| WorkFault::SinkGone)?;
            waited += before.elapsed();
            if last {
                return Ok(());
            }
        }
    }

    /// Keeps a short text answer of once-only work for later attempts.
    fn keep(&self, head: &response::Parts, body: &Bytes) {
        let token = match &self.claim {
            Some(token) => token.clone(),
            None => return,
        };
        let media_type = head.headers.get(header::CONTENT_TYPE);
        let media_type = media_type.and_then(|value| value.to_str().ok()).unwrap_or("text/plain");
        if let Ok(text) = std::str::from_utf8(body) {
            let answer = KeptAnswer {
                status: head.status.as_u16(),
                media_type: media_type.to_owned(),
                body: text.to_owned(),
            };
            self.work.state.ledger.finish(token, answer);
        }
    }
}

/// Returns the length that the answer declares; also when it has no body, as to `HEAD`.
fn declared_length(head: &response::Parts, framing: BodyFraming) -> i64 {
    match framing {
        BodyFraming::Empty => match framing::content_length(&head.headers) {
            Ok(Some(bytes)) => bytes as i64,
            _ if framing::never_has_body(head.status) => -1,
            _ => 0,
        },
        other => other.wire_length(),
    }
}

/// Says whether a status speaks against the server rather than the request.
fn is_server_error(status: StatusCode) -> bool {
    matches!(status.as_u16(), 500 | 502 | 503 | 504)
}
