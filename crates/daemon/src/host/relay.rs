// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Passes the answer of a backend server on to the ingress, and takes from it what it says.

use std::cell::Cell;
use std::time::{Duration, Instant};

use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_decide::evidence::WorkEvidence;
use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_peer::protocol::AnswerHead;
use basaltarch_peer::stream::{EventSink, StreamEvent};
use basaltarch_store::ledger::{ClaimToken, KeptAnswer};
use bytes::{Bytes, BytesMut};
use http::{header, response, Method, StatusCode};

use crate::host::admission::SlotGuard;
use crate::host::exchange::HostWork;
use crate::wire;

/// Informational answers that a backend server may send before the real one.
const INFORMATIONAL_MAX: usize = 8;
/// Answers with these many bytes or fewer go to the ingress in one frame if they came in one piece.
const INLINE_BYTES_MAX: u64 = 32 * 1024;

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
    /// The ingress no longer takes the answer.
    SinkGone,
}

impl WorkFault {
    /// Returns the outcome that the ingress is told.
    pub fn outcome(self) -> FailureOutcome {
        match self {
            Self::Cancelled | Self::SinkGone => FailureOutcome::Unknown(UnknownReason::CallerGone),
            Self::TimedOut => FailureOutcome::Unknown(UnknownReason::TimedOut),
            Self::Broken => FailureOutcome::Unknown(UnknownReason::BackendBroken),
            Self::BadAnswer => FailureOutcome::Unknown(UnknownReason::AnswerBroken),
            Self::Shed => FailureOutcome::NotRun(NotRunReason::Shed),
        }
    }

    /// Returns what the fault says about the server.
    pub fn evidence(self, was_overdue: bool) -> WorkEvidence {
        match self {
            Self::Broken | Self::BadAnswer => WorkEvidence::Failed,
            // A time-out is a censored time: it says something only if the work was overdue.
            Self::TimedOut if was_overdue => WorkEvidence::Failed,
            _ => WorkEvidence::Neutral,
        }
    }
}

/// `WorkProgress` is how far the work got.
pub struct WorkProgress {
    slot: Cell<Option<SlotGuard>>,
    started: Instant,
    /// Whether the head of the answer came.
    pub head_seen: Cell<bool>,
    /// Whether the work was noted as overdue.
    pub was_overdue: Cell<bool>,
    /// Whether its end was noted.
    pub noted: Cell<bool>,
}

impl WorkProgress {
    /// Builds the progress of work that starts now in this slot.
    pub fn new(slot: SlotGuard) -> Self {
        Self {
            slot: Cell::new(Some(slot)),
            started: Instant::now(),
            head_seen: Cell::new(false),
            was_overdue: Cell::new(false),
            noted: Cell::new(false),
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
}

type BackendReader =
    basaltarch_http::reader::ByteReader<monoio::io::OwnedReadHalf<monoio::net::TcpStream>>;

impl AnswerRelay<'_> {
    /// Passes the answer on; says whether it left the connection clean.
    pub async fn run(self, reader: &mut BackendReader) -> Result<bool, WorkFault> {
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
        let failed = wire::is_server_error(head.status.as_u16());
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
