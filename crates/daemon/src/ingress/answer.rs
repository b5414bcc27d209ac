// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Relays an answer to the caller, piece by piece, as fast as the caller reads the pieces.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::units;
use basaltarch_http::connection::{HttpStream, StreamWriter};
use basaltarch_http::errors::HttpError;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::writer;
use basaltarch_peer::protocol::AnswerHead;
use basaltarch_peer::stream::{EventPipe, StreamEvent};
use bytes::{Bytes, BytesMut};
use futures_util::{select_biased, FutureExt};
use http::{Method, StatusCode, Version};

use crate::ingress::body::RequestBody;
use crate::ingress::caller::{AfterRequest, WRITE_TIMEOUT};
use crate::ingress::dispatch::LiveExchange;
use crate::ingress::request::CallerRequest;
use crate::ingress::{trace, waiting};
use crate::state::DaemonState;

/// Time after the deadline within which the next piece of an answer must arrive. The host's daemon
/// may stand still, so the ingress keeps the deadline by itself.
const LATE_PIECE_TIME: Duration = Duration::from_millis(250);
/// Largest size in bytes of an answer of unknown length that is buffered whole for an HTTP/1.0
/// caller, which could not distinguish a truncated answer from a complete answer.
const BUFFERED_BYTES_MAX: usize = 1024 * units::KIB;

/// Relays an answer while sending the rest of the request's body.
pub async fn relay(
    state: &DaemonState,
    stream: &mut HttpStream,
    request: &CallerRequest,
    body: &mut RequestBody,
    live: &mut LiveExchange,
    head: AnswerHead,
) -> AfterRequest {
    let status = head.status as u16;
    let pieces = AnswerPieces { state, answer: live.exchange.answer.clone(), request };
    match relay_while_sending(stream, &pieces, body, live, head).await {
        Ok(close) => {
            live.finish();
            metrics::COMPLETE.add_one();
            trace::log_answered(state, request, status);
            if close {
                AfterRequest::Close
            } else {
                AfterRequest::Keep
            }
        }
        // The caller sees the connection close before the end of the answer.
        Err(error) => {
            trace::log_cut(state, request, &error);
            AfterRequest::Abort
        }
    }
}

/// `AnswerPieces` are the pieces of an answer as they arrive from the host's daemon.
struct AnswerPieces<'a> {
    state: &'a DaemonState,
    answer: Rc<EventPipe>,
    request: &'a CallerRequest,
}

impl AnswerPieces<'_> {
    /// Waits for the next piece of the answer, and says whether it is the last. Pieces that are
    /// there are delivered after the deadline too.
    async fn next(&self) -> Result<(Bytes, bool), HttpError> {
        let Self { state, answer, request } = self;
        let time_left = request.deadline.saturating_sub(state.now()) + LATE_PIECE_TIME;
        match monoio::time::timeout(time_left, answer.next()).await {
            Ok(StreamEvent::Data(data, last)) => Ok((data, last)),
            // The head is already sent; the failure can only be shown by truncating the answer.
            Ok(_) => Err(HttpError::Truncated),
            Err(_) => Err(HttpError::TimedOut { what: "the next piece of the answer" }),
        }
    }

    /// Sends a piece of the answer to the caller. A caller that doesn't read it may have to make room
    /// for others.
    async fn send(
        &self,
        writer: &mut StreamWriter,
        buffer: &mut BytesMut,
        framing: BodyFraming,
        piece: Bytes,
        last: bool,
    ) -> Result<(), HttpError> {
        let sending = writer::send_piece(writer, buffer, framing, piece, last);
        let mut sending = std::pin::pin!(sending);
        if let Some(result) = sending.as_mut().now_or_never() {
            return result;
        }
        let hold = &self.request.hold;
        let _held = hold.take_answer(self.state).await;
        let mut sending = sending.fuse();
        let mut given_up = std::pin::pin!(self.answer.cancelled().fuse());
        let mut evicted = std::pin::pin!(hold.entry.evicted().fuse());
        let mut timed_out = std::pin::pin!(monoio::time::sleep(WRITE_TIMEOUT).fuse());
        select_biased! {
            result = sending => result,
            // The host gave up the answer because its caller doesn't read it.
            () = given_up => Err(HttpError::Truncated),
            () = evicted => Err(HttpError::Closed),
            () = timed_out => Err(HttpError::TimedOut { what: "the caller to read its answer" }),
        }
    }
}

/// Writes the answer and goes on with the upload; returns whether the connection is closed after
/// the answer. Ends if the caller disconnects.
async fn relay_while_sending(
    stream: &mut HttpStream,
    pieces: &AnswerPieces<'_>,
    body: &mut RequestBody,
    live: &mut LiveExchange,
    head: AnswerHead,
) -> Result<bool, HttpError> {
    let LiveExchange { exchange, upload, .. } = live;
    let HttpStream { reader, writer } = stream;
    let mut relaying = std::pin::pin!(relay_answer(writer, pieces, head).fuse());
    let watching = waiting::send_body_until_caller_gone(reader, body, upload, &exchange.body);
    let mut watching = std::pin::pin!(watching.fuse());
    select_biased! {
        result = relaying => result,
        () = watching => Err(HttpError::Closed),
    }
}

/// Writes the answer; returns whether the connection is closed after the answer.
async fn relay_answer(
    writer: &mut StreamWriter,
    pieces: &AnswerPieces<'_>,
    mut head: AnswerHead,
) -> Result<bool, HttpError> {
    let request = pieces.request;
    if request.version == Version::HTTP_10 && head.content_length < 0 && !head.last {
        buffer_answer(pieces, &mut head).await?;
    }
    let status = StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    let is_bodiless = framing::never_has_body(status) || request.method == Method::HEAD;
    let framing = answer_framing(&head, is_bodiless);
    let mut buffer = BytesMut::with_capacity(512 + head.body.len());
    put_head(&mut buffer, status, &head, framing, request.close);
    if head.last {
        let piece = if is_bodiless { Bytes::new() } else { Bytes::from(head.body) };
        pieces.send(writer, &mut buffer, framing, piece, true).await?;
        return Ok(request.close);
    }
    pieces.send(writer, &mut buffer, framing, Bytes::from(head.body), false).await?;
    loop {
        let (data, last) = pieces.next().await?;
        pieces.send(writer, &mut buffer, framing, data, last).await?;
        if last {
            return Ok(request.close);
        }
    }
}

fn answer_framing(head: &AnswerHead, is_bodiless: bool) -> BodyFraming {
    match head.content_length {
        length if length >= 0 => BodyFraming::Length(length as u64),
        _ if is_bodiless => BodyFraming::Empty,
        _ if head.last => BodyFraming::Length(head.body.len() as u64),
        _ => BodyFraming::Chunked,
    }
}

fn put_head(
    buffer: &mut BytesMut,
    status: StatusCode,
    head: &AnswerHead,
    framing: BodyFraming,
    close: bool,
) {
    writer::put_status_line(buffer, status);
    buffer.extend_from_slice(&head.field_lines);
    if status != StatusCode::NO_CONTENT {
        writer::put_framing(buffer, framing);
    }
    if close {
        writer::put_field(buffer, b"connection", b"close");
    }
    buffer.extend_from_slice(b"\r\n");
}

/// Reads the rest of the body into the `body` field of the answer's head.
async fn buffer_answer(pieces: &AnswerPieces<'_>, head: &mut AnswerHead) -> Result<(), HttpError> {
    loop {
        let (data, last) = pieces.next().await?;
        head.body.extend_from_slice(&data);
        if last {
            head.last = true;
            head.content_length = head.body.len() as i64;
            return Ok(());
        }
        if head.body.len() > BUFFERED_BYTES_MAX {
            return Err(HttpError::BodyTooLarge { allowed: BUFFERED_BYTES_MAX as u64 });
        }
    }
}
