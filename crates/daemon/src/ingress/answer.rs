// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Relays an answer to the caller, piece by piece, as fast as the caller reads the pieces.

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
use crate::ingress::trace;
use crate::state::DaemonState;

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
    match relay_while_sending(stream, request, body, live, head).await {
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

/// Writes the answer and goes on with the upload; returns whether the connection is closed after
/// the answer.
async fn relay_while_sending(
    stream: &mut HttpStream,
    request: &CallerRequest,
    body: &mut RequestBody,
    live: &mut LiveExchange,
    head: AnswerHead,
) -> Result<bool, HttpError> {
    let LiveExchange { exchange, upload, .. } = live;
    let HttpStream { reader, writer } = stream;
    let mut relaying = std::pin::pin!(relay_answer(writer, request, &exchange.answer, head).fuse());
    let mut sending = std::pin::pin!(upload.run(body, reader, &exchange.body).fuse());
    loop {
        select_biased! {
            result = relaying => return result,
            _ = sending => {}
        }
    }
}

/// Writes the answer; returns whether the connection is closed after the answer.
async fn relay_answer(
    writer: &mut StreamWriter,
    request: &CallerRequest,
    answer: &EventPipe,
    mut head: AnswerHead,
) -> Result<bool, HttpError> {
    if request.version == Version::HTTP_10 && head.content_length < 0 && !head.last {
        buffer_answer(answer, &mut head).await?;
    }
    let status = StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::BAD_GATEWAY);
    let is_bodiless = framing::never_has_body(status) || request.method == Method::HEAD;
    let framing = answer_framing(&head, is_bodiless);
    let mut buffer = BytesMut::with_capacity(512 + head.body.len());
    put_head(&mut buffer, status, &head, framing, request.close);
    if head.last {
        let piece = if is_bodiless { Bytes::new() } else { Bytes::from(head.body) };
        send(writer, &mut buffer, framing, piece, true).await?;
        return Ok(request.close);
    }
    send(writer, &mut buffer, framing, Bytes::from(head.body), false).await?;
    loop {
        match answer.next().await {
            StreamEvent::Data(data, last) => {
                send(writer, &mut buffer, framing, data, last).await?;
                if last {
                    return Ok(request.close);
                }
            }
            // The head is already sent; the failure can only be shown by truncating the answer.
            _ => return Err(HttpError::Truncated),
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

async fn send(
    writer: &mut StreamWriter,
    buffer: &mut BytesMut,
    framing: BodyFraming,
    piece: Bytes,
    last: bool,
) -> Result<(), HttpError> {
    let sending = writer::send_piece(writer, buffer, framing, piece, last);
    match monoio::time::timeout(WRITE_TIMEOUT, sending).await {
        Ok(result) => result,
        Err(_) => Err(HttpError::TimedOut { what: "the caller to read its answer" }),
    }
}

/// Reads the rest of the body into the `body` field of the answer's head.
async fn buffer_answer(answer: &EventPipe, head: &mut AnswerHead) -> Result<(), HttpError> {
    loop {
        match answer.next().await {
            StreamEvent::Data(data, last) => {
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
            _ => return Err(HttpError::Truncated),
        }
    }
}
