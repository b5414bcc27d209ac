// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Passes the answer of a backend server on to the ingress, and takes from it what it says.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_base::metrics;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_decide::adaptive_timeout::AttemptTimeout;
use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::evidence::RequestEvidence;
use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_peer::protocol::AnswerHead;
use basaltarch_peer::stream::{EventSink, StreamEvent};
use basaltarch_store::ledger::{ClaimToken, KeptAnswer};
use basaltarch_waiting::slots::SlotGuard;
use bytes::{Bytes, BytesMut};
use http::{header, response, Method, StatusCode};

use crate::host::calls::WorkCalls;
use crate::host::exchange::HostWork;
use crate::host::verify::{self, AnswerVerdict};
use crate::wire;

/// Informational answers that a backend server may send before the real one.
const INFORMATIONAL_MAX: usize = 8;
/// Answers with these many bytes or fewer go to the ingress in one frame.
const INLINE_BYTES_MAX: u64 = 32 * 1024;
/// Time for which the rest of a short answer is waited for before its start goes out: a body that
/// was ready with its head takes a few milliseconds, and one that is being made must not be held.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// Answers read before the right one must have come: one late answer, and one more for chance.
const SURPLUS_MAX: usize = 3;

/// `WorkFault` says how the work broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkFault {
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
    /// Another backend server has taken its place; it refused the work.
    Moved,
    /// The ingress no longer takes the answer.
    SinkGone,
}

impl WorkFault {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::TimedOut => "timed-out",
            Self::Broken => "connection-broken",
            Self::BadAnswer => "bad-answer",
            Self::Shed => "shed",
            Self::Moved => "moved",
            Self::SinkGone => "ingress-gone",
        }
    }

    /// Returns the outcome that the ingress is told.
    pub fn outcome(self) -> FailureOutcome {
        match self {
            Self::Cancelled | Self::SinkGone => FailureOutcome::Unknown(UnknownReason::CallerGone),
            Self::TimedOut => FailureOutcome::Unknown(UnknownReason::TimedOut),
            Self::Broken => FailureOutcome::Unknown(UnknownReason::BackendBroken),
            Self::BadAnswer => FailureOutcome::Unknown(UnknownReason::AnswerBroken),
            Self::Shed => FailureOutcome::NotRun(NotRunReason::Shed),
            Self::Moved => FailureOutcome::NotRun(NotRunReason::UnknownUpstream),
        }
    }

    /// Says whether the connection to the server broke, or the answer on it.
    pub fn breaks_off(self) -> bool {
        matches!(self, Self::Broken | Self::BadAnswer)
    }

    /// Returns how the server failed, if it did.
    pub fn failure(self) -> Option<FailureKind> {
        match self {
            Self::Broken | Self::BadAnswer => Some(FailureKind::Broken),
            Self::TimedOut => Some(FailureKind::Answered),
            _ => None,
        }
    }

    /// Returns what the fault says about the server.
    pub fn evidence(self, was_overdue: bool) -> RequestEvidence {
        match self {
            Self::Broken | Self::BadAnswer => RequestEvidence::Failed,
            // A time-out is a censored time: it says something only if the work was overdue.
            Self::TimedOut if was_overdue => RequestEvidence::Failed,
            _ => RequestEvidence::Neutral,
        }
    }
}

/// `WorkProgress` is how far the work got.
pub struct WorkProgress {
    slot: Cell<Option<SlotGuard>>,
    started: Instant,
    /// Time that the server was given.
    pub given: AttemptTimeout,
    /// Whether it passed what such work is allowed without a sign of life.
    pub has_passed: Cell<bool>,
    /// Whether the head of the answer came.
    pub head_seen: Cell<bool>,
    /// Whether an answer came that is no error.
    pub has_answered: Cell<bool>,
    /// Whether the work was noted as overdue.
    pub was_overdue: Cell<bool>,
    /// Whether its end was noted.
    pub noted: Cell<bool>,
    /// Whether the connection can be used again after a refusal.
    pub reusable: Cell<bool>,
    /// Time for which the server says it keeps the connection at rest.
    pub rest: Cell<Option<Duration>>,
}

impl WorkProgress {
    /// Returns the time since the work started.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Builds the progress of work that starts now in this slot and for which the server is given this time.
    pub fn new(slot: SlotGuard, given: AttemptTimeout) -> Self {
        Self {
            slot: Cell::new(Some(slot)),
            started: Instant::now(),
            given,
            has_passed: Cell::new(false),
            head_seen: Cell::new(false),
            has_answered: Cell::new(false),
            was_overdue: Cell::new(false),
            noted: Cell::new(false),
            reusable: Cell::new(false),
            rest: Cell::new(None),
        }
    }
}

/// `AnswerRelay` passes the answer of a backend server on to the ingress.
pub struct AnswerRelay<'a> {
    /// The work.
    pub work: &'a HostWork<'a>,
    /// How far it got.
    pub progress: &'a WorkProgress,
    /// Where the answer goes.
    pub answer: &'a EventSink,
    /// Row of once-only work.
    pub claim: Option<ClaimToken>,
    /// Calls that the work made.
    pub calls: Rc<WorkCalls>,
}

/// `AnswerStart` is the head of an answer and what it is.
struct AnswerStart {
    head: response::Parts,
    framing: BodyFraming,
    verdict: AnswerVerdict,
    /// Whether nothing else came before it on the connection.
    clean: bool,
}

type BackendReader =
    basaltarch_http::reader::ByteReader<monoio::io::OwnedReadHalf<monoio::net::TcpStream>>;

impl AnswerRelay<'_> {
    /// Passes the answer on; says whether it left the connection clean.
    pub async fn run(self, reader: &mut BackendReader) -> Result<bool, WorkFault> {
        let AnswerStart { mut head, framing, verdict, clean } = self.start(reader).await?;
        self.progress.head_seen.set(true);
        let now = self.work.state.now();
        let drain = &self.work.state.fields.drain;
        self.work.upstream.note_drain_word(head.headers.contains_key(drain), now);
        match verdict {
            AnswerVerdict::Shed => {
                let close = fields::wants_close(head.version, &head.headers) || !clean;
                return self.finish_shed(reader, framing, close).await;
            }
            AnswerVerdict::Moved => return Err(WorkFault::Moved),
            AnswerVerdict::Wrong | AnswerVerdict::Surplus => return Err(WorkFault::BadAnswer),
            AnswerVerdict::Ours => {}
        }
        let close = framing == BodyFraming::UntilClose
            || fields::wants_close(head.version, &head.headers)
            || !clean;
        let length = declared_length(&head, framing);
        let rest = fields::keep_alive_time(&head.headers);
        self.progress.rest.set(rest);
        fields::remove_hop_fields(&mut head.headers);
        let mut body = BodyReader::new(framing, BodyLimits::default());
        let inline = self.gather(&mut body, reader, framing).await?;
        if body.is_done() {
            self.note_end(head.status, self.progress.started.elapsed());
            self.keep(&head, &inline);
            self.send_head(&head, length, inline, true).await?;
            // Bytes behind the whole answer belong to no request.
            return Ok(!close && reader.buffer.is_empty());
        }
        self.send_head(&head, length, inline, false).await?;
        self.stream_body(&mut body, reader, head.status).await?;
        Ok(!close && reader.buffer.is_empty())
    }

    /// Reads heads until one belongs to the request; answers to earlier requests are read past.
    async fn start(&self, reader: &mut BackendReader) -> Result<AnswerStart, WorkFault> {
        let method = self.work.head.method.parse().unwrap_or(Method::GET);
        let mut clean = true;
        for _ in 0..SURPLUS_MAX {
            let head = self.read_head(reader).await?;
            let framing = framing::of_response(&head, &method).map_err(|_| WorkFault::BadAnswer)?;
            let names = &self.work.state.fields;
            let verdict = verify::judge(names, &self.work.head.field_lines, &head);
            if verdict != AnswerVerdict::Surplus {
                return Ok(AnswerStart { head, framing, verdict, clean });
            }
            clean = false;
            metrics::SURPLUS_ANSWERS.add_one();
            self.work.tell_surplus(head.status.as_u16());
            self.read_past(reader, framing).await?;
        }
        Err(WorkFault::BadAnswer)
    }

    /// Reads past the body of an answer to an earlier request.
    async fn read_past(
        &self,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<(), WorkFault> {
        if framing == BodyFraming::UntilClose {
            return Err(WorkFault::BadAnswer);
        }
        let mut body = BodyReader::new(framing, BodyLimits::default());
        while body.next(reader).await.map_err(|_| WorkFault::BadAnswer)?.is_some() {}
        Ok(())
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

    /// Takes the start of a body: all of a short one, if it comes within [`GATHER_TIME`], so that one
    /// that breaks off reaches no caller and can be repeated.
    async fn gather(
        &self,
        body: &mut BodyReader,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<Bytes, WorkFault> {
        if matches!(framing, BodyFraming::Length(bytes) if bytes > INLINE_BYTES_MAX) {
            return Ok(Bytes::new());
        }
        let mut inline = BytesMut::new();
        let begin = Instant::now();
        while inline.len() < INLINE_BYTES_MAX as usize && !body.is_done() {
            let left = GATHER_TIME.saturating_sub(begin.elapsed());
            match monoio::time::timeout(left, body.next(reader)).await {
                Ok(Ok(Some(piece))) => inline.extend_from_slice(&piece),
                Ok(Ok(None)) => break,
                Ok(Err(_)) => return Err(WorkFault::BadAnswer),
                Err(_) => break,
            }
        }
        Ok(inline.freeze())
    }

    async fn finish_shed(
        &self,
        reader: &mut BackendReader,
        framing: BodyFraming,
        close: bool,
    ) -> Result<bool, WorkFault> {
        // The word was in the head; a broken body only spoils the connection.
        let whole = self.read_past(reader, framing).await.is_ok();
        self.progress.reusable.set(whole && !close && reader.buffer.is_empty());
        self.work.note(RequestEvidence::Neutral, false, None);
        self.progress.noted.set(true);
        Err(WorkFault::Shed)
    }

    /// Notes the end of the work and frees its slot, so that the report tells of both.
    fn note_end(&self, status: StatusCode, took: Duration) {
        let was_overdue = self.progress.was_overdue.get();
        let failed = wire::is_server_error(status.as_u16());
        let evidence = match status {
            // An error that follows a lost call is not the server's own.
            _ if failed && self.calls.has_lost() => RequestEvidence::Neutral,
            // The server ended with its time, which says no more than that the time was too short.
            StatusCode::GATEWAY_TIMEOUT => WorkFault::TimedOut.evidence(was_overdue),
            _ if failed => RequestEvidence::Failed,
            _ => RequestEvidence::Answered(took),
        };
        let failure = (evidence == RequestEvidence::Failed).then_some(FailureKind::Answered);
        self.progress.has_answered.set(!failed);
        if !failed && !self.work.slept() {
            let mut adaptive_timeout = self.work.upstream.adaptive_timeout.borrow_mut();
            let passed = self.progress.has_passed.get();
            let now = self.work.state.now();
            adaptive_timeout.note_answered(&self.progress.given, took, passed, now);
        }
        self.work.note(evidence, was_overdue, failure);
        self.progress.noted.set(true);
        if !failed {
            self.work.note_good();
        }
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
        status: StatusCode,
    ) -> Result<(), WorkFault> {
        // Time that the caller takes to read is not the server's.
        let mut waited = Duration::ZERO;
        loop {
            let piece = body.next(reader).await.map_err(|_| WorkFault::BadAnswer)?;
            let last = piece.is_none();
            if last {
                self.note_end(status, self.progress.started.elapsed().saturating_sub(waited));
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
