// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Relays the response of a backend server to the ingress, and derives the evidence for the
//! server's health from the response.

use std::time::{Duration, Instant};

use basaltarch_base::metrics;
use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::evidence::RequestEvidence;
use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::errors::HttpError;
use basaltarch_http::exchange::MessageProgress;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_peer::protocol::{AnswerHead, LoadReport};
use basaltarch_peer::stream::{EventSink, StreamEvent};
use basaltarch_store::ledger::{ClaimToken, KeptAnswer};
use bytes::{Bytes, BytesMut};
use http::{header, response, Method, StatusCode};

use crate::host::exchange::HostAttempt;
use crate::host::fault::AttemptFault;
use crate::host::notices;
use crate::host::pace;
use crate::host::progress::AttemptProgress;
use crate::host::verify::{
    self, AnswerVerdict, AnsweringServer, ResponseBinding, ResponseOrigin, ServerRefusal,
};
use crate::host::watch::AttemptWatch;
use crate::registration;
use crate::wire;

/// Responses with a body of up to this many bytes go to the ingress in one frame.
const INLINE_BYTES_MAX: u64 = 32 * 1024;
/// Time for which the end of a short body is awaited before the part that has arrived is sent. A
/// body that was ready together with its head arrives within a few milliseconds; a body that is
/// still being produced must not be held back.
const BUFFER_TIME: Duration = Duration::from_millis(150);
/// Largest size in bytes of a body that is discarded so that its connection can be used on. A server
/// may send bytes without end.
const DISCARDED_BYTES_MAX: u64 = 1024 * 1024;
/// Time for which the end of a refusal's body is awaited, so that its connection can be used again.
/// The refused request waits meanwhile.
const REFUSAL_BODY_TIME_MAX: Duration = Duration::from_millis(10);
/// Largest number of responses that are read to find the response to the request: a surplus
/// response to an earlier request, the expected response, and one more response as a margin.
const RESPONSES_MAX: usize = 3;

/// `AnswerRelay` relays the response of a backend server to the ingress.
pub struct AnswerRelay<'a> {
    /// Attempt whose response is relayed.
    pub attempt: &'a HostAttempt<'a>,
    /// Progress of the attempt, which the relay updates as the response arrives.
    pub progress: &'a AttemptProgress,
    /// Sink through which the response is sent to the ingress.
    pub answer: &'a EventSink,
    /// Claim of the ledger row of an at-most-once request.
    pub claim: Option<ClaimToken>,
    /// Watch over the attempt.
    pub watch: &'a AttemptWatch<'a>,
}

/// `AnswerStart` is a response head and its classification.
struct AnswerStart {
    head: response::Parts,
    framing: BodyFraming,
    origin: ResponseOrigin,
    verdict: AnswerVerdict,
    /// Whether no surplus response preceded this response on the connection.
    is_first_response: bool,
}

impl AnswerStart {
    /// Says whether the response can say anything of the server that was asked: it belongs to the
    /// request, and no other server made it.
    fn speaks_for_asked_server(&self) -> bool {
        let is_misdirected = matches!(
            self.verdict,
            AnswerVerdict::Refused(refusal) if refusal.is_from_another_server()
        );
        self.origin.binding == ResponseBinding::Bound
            && self.origin.server != AnsweringServer::Other
            && !is_misdirected
    }
}

type BackendReader =
    basaltarch_http::reader::ByteReader<monoio::io::OwnedReadHalf<monoio::net::TcpStream>>;

impl AnswerRelay<'_> {
    /// Relays the response, and notes how far it has got on its connection.
    pub async fn run(self, reader: &mut BackendReader) -> Result<(), AttemptFault> {
        let start = self.read_start(reader).await?;
        self.progress.head_seen.set(true);
        if start.speaks_for_asked_server() {
            self.note_notices(&start.head, start.verdict);
        }
        let AnswerStart { mut head, framing, origin, verdict, is_first_response } = start;
        let exchange = &self.progress.exchange;
        exchange.note_response(MessageProgress::Partial);
        if fields::wants_close(head.version, &head.headers) || !is_first_response {
            exchange.note_last();
        }
        self.progress.keep_alive.set(fields::keep_alive_timeout(&head.headers));
        match verdict {
            AnswerVerdict::Refused(refusal) => {
                self.attempt.log_server_refused(&head, origin, true, self.progress);
                return self.finish_refused(refusal, reader, framing).await;
            }
            AnswerVerdict::Invalid | AnswerVerdict::Surplus => {
                if verify::resembles_refusal(&self.attempt.state.fields, &head) {
                    metrics::REFUSALS_NOT_BELIEVED.add_one();
                    self.attempt.log_server_refused(&head, origin, false, self.progress);
                }
                return Err(AttemptFault::BadAnswer);
            }
            AnswerVerdict::Matching => {}
        }
        let length = declared_length(&head, framing);
        fields::remove_hop_fields(&mut head.headers);
        let mut body = BodyReader::new(framing, BodyLimits::default());
        let inline = self.buffer_body_start(&mut body, reader, framing).await?;
        if body.is_done() {
            self.record_end(head.status, self.progress.elapsed());
            self.store_answer(&head, &inline);
            self.note_response_end(reader, framing);
            return self.send_head(&head, length, inline, true).await;
        }
        self.send_head(&head, length, inline, false).await?;
        self.stream_body(&mut body, reader, head.status).await?;
        self.note_response_end(reader, framing);
        Ok(())
    }

    /// Notes that the response was read to its end.
    fn note_response_end(&self, reader: &BackendReader, framing: BodyFraming) {
        let exchange = &self.progress.exchange;
        exchange.note_response(MessageProgress::Whole);
        // Bytes after the complete response belong to no request.
        if framing == BodyFraming::UntilClose || !reader.buffer.is_empty() {
            exchange.note_last();
        }
    }

    /// Records what the server says of itself in a response head.
    fn note_notices(&self, head: &response::Parts, verdict: AnswerVerdict) {
        let state = self.attempt.state;
        let now = state.now();
        let upstream = self.attempt.upstream;
        let field_names = &state.fields;
        let is_leaving = fields::has_notice(&head.headers, &field_names.drain);
        if !field_names.is_drain_final {
            upstream.note_drain_notice(is_leaving, now);
        } else if is_leaving {
            registration::note_leaving(state, &upstream.name);
        }
        let sent_at = now.saturating_sub(self.progress.elapsed());
        upstream.note_rate(notices::rate_statement(field_names, head, verdict), sent_at);
        state.notices.note_rate(&upstream.name, upstream.slots.rate(), now);
    }

    /// Reads response heads until a head belongs to the request; responses that belong to another
    /// request or to none are discarded.
    async fn read_start(&self, reader: &mut BackendReader) -> Result<AnswerStart, AttemptFault> {
        let method = self.attempt.head.method.parse().unwrap_or(Method::GET);
        let mut is_first_response = true;
        for _ in 0..RESPONSES_MAX {
            let head = self.read_head(reader).await?;
            let framing =
                framing::of_response(&head, &method).map_err(|_| AttemptFault::BadAnswer)?;
            let field_names = &self.attempt.state.fields;
            let request = &self.attempt.head.field_lines;
            let asked = self.attempt.upstream.server_name();
            let origin = ResponseOrigin::of(field_names, request, asked, &head);
            let verdict = verify::classify(field_names, request, &head, origin);
            if verdict != AnswerVerdict::Surplus {
                return Ok(AnswerStart { head, framing, origin, verdict, is_first_response });
            }
            is_first_response = false;
            metrics::SURPLUS_ANSWERS.add_one();
            self.attempt.log_surplus_response(head.status.as_u16(), origin.binding);
            self.discard_body(reader, framing).await?;
        }
        Err(AttemptFault::BadAnswer)
    }

    /// Reads and discards the body of a response that is not relayed.
    async fn discard_body(
        &self,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<(), AttemptFault> {
        if framing == BodyFraming::UntilClose {
            return Err(AttemptFault::BadAnswer);
        }
        let limits = BodyLimits { bytes: DISCARDED_BYTES_MAX, ..BodyLimits::default() };
        let mut body = BodyReader::new(framing, limits);
        while body.next(reader).await.map_err(|_| AttemptFault::BadAnswer)?.is_some() {}
        Ok(())
    }

    async fn read_head(&self, reader: &mut BackendReader) -> Result<response::Parts, AttemptFault> {
        let limits = HeadLimits {
            bytes: 32 * 1024,
            idle: self.attempt.time_left() + Duration::from_secs(1),
            time: self.attempt.time_left() + Duration::from_secs(1),
        };
        head::read_final_response(reader, &limits).await.map_err(|error| match error {
            HttpError::Closed | HttpError::Broken { .. } => AttemptFault::Broken,
            _ => AttemptFault::BadAnswer,
        })
    }

    /// Buffers the start of a body. A short body that arrives within [`BUFFER_TIME`] is buffered
    /// whole: if the buffered body is truncated, no part of the response reaches the caller, and
    /// the request can be retried.
    async fn buffer_body_start(
        &self,
        body: &mut BodyReader,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<Bytes, AttemptFault> {
        if matches!(framing, BodyFraming::Length(bytes) if bytes > INLINE_BYTES_MAX) {
            return Ok(Bytes::new());
        }
        let mut inline = BytesMut::new();
        let buffering_since = Instant::now();
        while inline.len() < INLINE_BYTES_MAX as usize && !body.is_done() {
            let buffer_time_left = BUFFER_TIME.saturating_sub(buffering_since.elapsed());
            match monoio::time::timeout(buffer_time_left, body.next(reader)).await {
                Ok(Ok(Some(piece))) => inline.extend_from_slice(&piece),
                Ok(Ok(None)) => break,
                Ok(Err(_)) => return Err(AttemptFault::BadAnswer),
                Err(_) => break,
            }
        }
        Ok(inline.freeze())
    }

    async fn finish_refused(
        &self,
        refusal: ServerRefusal,
        reader: &mut BackendReader,
        framing: BodyFraming,
    ) -> Result<(), AttemptFault> {
        if refusal.is_from_another_server() {
            return Err(AttemptFault::Refused(refusal));
        }
        // The refusal was in the head; a broken body only makes the connection unusable.
        let discarding = self.discard_body(reader, framing);
        if let Ok(Ok(())) = monoio::time::timeout(REFUSAL_BODY_TIME_MAX, discarding).await {
            self.note_response_end(reader, framing);
        }
        self.attempt.record_result(RequestEvidence::Neutral, false, None);
        self.progress.is_recorded.set(true);
        Err(AttemptFault::Refused(refusal))
    }

    /// Records the end of the attempt and releases its slot. The load report that is sent after
    /// this call covers both changes.
    fn record_end(&self, status: StatusCode, service_time: Duration) {
        let was_overdue = self.progress.was_overdue.get();
        let is_untimed = self.progress.overdue_timer.is_untimed();
        // The time that a caller takes to send its body is not the server's.
        let service_time = match self.attempt.is_upload_open() {
            true => service_time.saturating_sub(self.progress.upload_time.get()),
            false => service_time,
        };
        let failed = wire::is_server_error(status.as_u16());
        let evidence = match status {
            // A server's error after a failed nested call is not attributed to that server.
            _ if failed && self.watch.calls().has_failed_call() => RequestEvidence::Neutral,
            // The server gave up the request at the timeout that the host had set, which shows only
            // that this timeout was too short.
            StatusCode::GATEWAY_TIMEOUT => AttemptFault::TimedOut.evidence(was_overdue),
            _ if failed => RequestEvidence::Failed,
            _ if is_untimed => RequestEvidence::Untimed,
            _ => RequestEvidence::Answered(service_time),
        };
        let failure = (evidence == RequestEvidence::Failed).then_some(FailureKind::Answered);
        self.progress.has_succeeded.set(!failed);
        if !failed && !is_untimed && !self.attempt.was_suspended() {
            let mut adaptive_timeout = self.attempt.upstream.adaptive_timeout.borrow_mut();
            let was_counted_as_hung = self.progress.counted_as_hung.get();
            let now = self.attempt.state.now();
            adaptive_timeout.note_answered(
                &self.progress.timeout,
                service_time,
                was_counted_as_hung,
                now,
            );
        }
        self.attempt.record_result(evidence, was_overdue, failure);
        self.progress.is_recorded.set(true);
        if !failed {
            self.attempt.clear_suspicion();
        }
        self.progress.release_slot();
    }

    /// Builds the load report that is sent with the response. The report names the server if the
    /// server is not the one that the ingress asked for, but its successor.
    fn report(&self) -> LoadReport {
        let HostAttempt { state, upstream, head, .. } = self.attempt;
        let report = upstream.report(state, &head.route, Some(self.progress.elapsed()));
        let is_asked_for = *upstream.name == *head.upstream;
        let successor = (!is_asked_for).then(|| upstream.name.to_string());
        LoadReport { successor, ..report }
    }

    async fn send_head(
        &self,
        head: &response::Parts,
        length: i64,
        body: Bytes,
        last: bool,
    ) -> Result<(), AttemptFault> {
        let answer = AnswerHead {
            status: head.status.as_u16() as i16,
            field_lines: wire::field_lines(&head.headers),
            content_length: length,
            body: body.to_vec(),
            last,
            report: self.report(),
        };
        let sending = self.answer.send(StreamEvent::Head(answer));
        sending.await.map_err(|_| AttemptFault::SinkGone)
    }

    async fn stream_body(
        &self,
        body: &mut BodyReader,
        reader: &mut BackendReader,
        status: StatusCode,
    ) -> Result<(), AttemptFault> {
        // Time that the caller takes to read the response does not count as service time of the
        // server.
        let mut sending_time = Duration::ZERO;
        loop {
            let piece = body.next(reader).await.map_err(|_| AttemptFault::BadAnswer)?;
            let last = piece.is_none();
            if last {
                self.record_end(status, self.progress.elapsed().saturating_sub(sending_time));
            }
            let data = piece.unwrap_or_default();
            let sending_since = Instant::now();
            let length = data.len();
            let sending = self.answer.send(StreamEvent::Data(data, last));
            let sent = pace::await_caller(self.watch, sending, |_| length).await?;
            sent.map_err(|_| AttemptFault::SinkGone)?;
            sending_time += sending_since.elapsed();
            if last {
                return Ok(());
            }
        }
    }

    /// Stores a short text response to an at-most-once request for later attempts.
    fn store_answer(&self, head: &response::Parts, body: &Bytes) {
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
            self.attempt.state.ledger.finish(token, answer);
        }
    }
}

/// Returns the length that the response declares, even if the response has no body, such as a
/// response to `HEAD`. A negative length means that none is declared.
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
