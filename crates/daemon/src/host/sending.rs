// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Sends a request to a backend server.

use std::time::Duration;

use basaltarch_http::connection::StreamWriter;
use basaltarch_http::exchange::MessageProgress;
use basaltarch_http::framing::BodyFraming;
use basaltarch_http::writer;
use basaltarch_peer::protocol::DispatchHead;
use basaltarch_peer::stream::{EventPipe, StreamEvent};
use bytes::BytesMut;

use crate::host::exchange::HostAttempt;
use crate::host::fault::AttemptFault;
use crate::host::pace;
use crate::host::watch::AttemptWatch;

/// Sends the request, with the timeout of the attempt in its deadline field, and notes how far the
/// request has got.
pub async fn send_request(
    watch: &AttemptWatch<'_>,
    writer: &mut StreamWriter,
    body: &EventPipe,
) -> Result<(), AttemptFault> {
    let exchange = &watch.progress.exchange;
    exchange.note_request(MessageProgress::Partial);
    let result = write_request(watch, writer, body).await;
    exchange.note_request(match result {
        Ok(()) => MessageProgress::Whole,
        Err(_) => MessageProgress::Broken,
    });
    if result.is_ok() {
        watch.progress.note_uploaded();
    }
    result
}

async fn write_request(
    watch: &AttemptWatch<'_>,
    writer: &mut StreamWriter,
    body: &EventPipe,
) -> Result<(), AttemptFault> {
    let attempt = watch.attempt;
    let head = attempt.head;
    let framing = request_framing(head);
    let mut buffer = BytesMut::with_capacity(1024 + head.body.len());
    put_request(attempt, watch.progress.timeout.time, framing, &mut buffer);
    writer::put_piece(&mut buffer, framing, &head.body, head.last);
    writer::flush(writer, &mut buffer).await.map_err(|_| AttemptFault::Broken)?;
    if head.last {
        return Ok(());
    }
    body.open_window();
    loop {
        match pace::await_caller(watch, body.next(), event_bytes).await? {
            StreamEvent::Data(data, last) => {
                let sending = writer::send_piece(writer, &mut buffer, framing, data, last);
                sending.await.map_err(|_| AttemptFault::Broken)?;
                if last {
                    return Ok(());
                }
            }
            _ => return Err(AttemptFault::Cancelled),
        }
    }
}

/// Returns the number of body bytes of an event.
fn event_bytes(event: &StreamEvent) -> usize {
    match event {
        StreamEvent::Data(data, _) => data.len(),
        _ => 0,
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

fn put_request(
    attempt: &HostAttempt<'_>,
    timeout: Duration,
    framing: BodyFraming,
    buffer: &mut BytesMut,
) {
    let head = attempt.head;
    buffer.extend_from_slice(head.method.as_bytes());
    buffer.extend_from_slice(b" ");
    buffer.extend_from_slice(head.target.as_bytes());
    buffer.extend_from_slice(b" HTTP/1.1\r\n");
    buffer.extend_from_slice(&head.field_lines);
    let timeout = timeout.as_millis().to_string();
    let field_names = &attempt.state.fields;
    writer::put_field(buffer, field_names.deadline.as_str().as_bytes(), timeout.as_bytes());
    if let Some(name) = &field_names.expected_server {
        let server = attempt.upstream.server_name();
        writer::put_field(buffer, name.as_str().as_bytes(), server.as_bytes());
    }
    writer::put_framing(buffer, framing);
    let needs_length =
        framing == BodyFraming::Empty && matches!(head.method.as_str(), "POST" | "PUT" | "PATCH");
    if needs_length {
        writer::put_field(buffer, b"content-length", b"0");
    }
    buffer.extend_from_slice(b"\r\n");
}
