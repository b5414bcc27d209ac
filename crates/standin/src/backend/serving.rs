// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Accepts connections and serves their requests, each from its head to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::{self, ConnectionCount, HttpStream};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_http::writer;
use bytes::{Bytes, BytesMut};
use futures_util::future;
use http::{request, StatusCode};
use monoio::net::{TcpListener, TcpStream};

use crate::backend::execution::RunEnd;
use crate::backend::slots::SlotRefusal;
use crate::backend::uploads::{self, UploadAct};
use crate::backend::{control, execution, probe, reply, runs};
use crate::backend::{BackendFaults, BackendStandin, BreakPoint, HeldPort, HEALTH_PATH, LOAD_PATH};

/// Time that a request may take if it has no deadline.
const UNLIMITED_TIME: Duration = Duration::from_secs(24 * 3600);

/// Serves a simulated backend server for ever. After a crash, the server listens again once the
/// time `down_ms` of the faults has passed.
pub async fn serve(
    port: HeldPort,
    listener: TcpListener,
    standin: Rc<BackendStandin>,
    connections: usize,
) {
    let mut listener = Ok(listener);
    while let Ok(open_listener) = listener {
        serve_until_crash(open_listener, &standin, connections).await;
        standin.down.raise();
        let down_time = Duration::from_millis(standin.faults.borrow().down_ms);
        monoio::time::sleep(down_time).await;
        listener = port.listen();
    }
}

async fn serve_until_crash(
    listener: TcpListener,
    standin: &Rc<BackendStandin>,
    connections: usize,
) {
    let crashed = std::pin::pin!(standin.crash.after(standin.crash.count()));
    let standin = standin.clone();
    let serve_stream = move |stream, _: SocketAddr| {
        let standin = standin.clone();
        // The count of the signal is read when the connection is accepted, as the task of the
        // connection may first run after the listener has closed.
        let seen_downs = standin.down.count();
        async move {
            standin.runs.borrow_mut().connections += 1;
            let down = std::pin::pin!(standin.down.after(seen_downs));
            // The connection ends with its first error, which the client sees as a closed
            // connection.
            let serving = std::pin::pin!(serve_connection(stream, &standin));
            future::select(serving, down).await;
        }
    };
    let connection_count = ConnectionCount::default();
    let accepting = std::pin::pin!(connection::accept_all(
        listener,
        connections,
        connection_count,
        serve_stream
    ));
    future::select(accepting, crashed).await;
}

async fn serve_connection(stream: TcpStream, standin: &BackendStandin) -> Result<(), HttpError> {
    let mut stream = HttpStream::new(stream);
    let limits = HeadLimits { idle: Duration::from_secs(3600), ..HeadLimits::default() };
    // Copy of an earlier response, to be sent in front of the next one.
    let mut late_copy = BytesMut::new();
    loop {
        let head = head::read_request(&mut stream.reader, &limits).await?;
        let framing = framing::of_request(&head)?;
        if head.uri.path().starts_with("/__control/") {
            control::answer(&mut stream, standin, &head, framing).await?;
            continue;
        }
        let faults = standin.draw_faults();
        if [HEALTH_PATH, LOAD_PATH].contains(&head.uri.path()) {
            probe::answer(&mut stream, standin, &head, &faults).await?;
            continue;
        }
        runs::record_received(standin, &head);
        if faults.break_at == BreakPoint::AfterRequestHead {
            return Ok(());
        }
        if let Some(act) = UploadAct::of_path(head.uri.path()) {
            uploads::serve(&mut stream, standin, &head, framing, act).await?;
            continue;
        }
        let body = read_body(&mut stream, standin, &head, framing).await?;
        if !is_expected(standin, &head) {
            let status = StatusCode::MISDIRECTED_REQUEST;
            reply::refuse(&mut stream, standin, &head, status).await?;
            continue;
        }
        if faults.shed {
            refuse_full(&mut stream, standin, &head, &faults, &mut late_copy).await?;
            continue;
        }
        let deadline = Instant::now() + deadline_of(standin, &head);
        let time_left = || deadline.saturating_duration_since(Instant::now());
        let slot = match &standin.slots {
            None => None,
            Some(slots) => match slots.take(&mut stream, time_left()).await {
                Ok(slot) => Some(slot),
                Err(SlotRefusal::Disconnected) => return Ok(()),
                Err(SlotRefusal::Full | SlotRefusal::DeadlinePassed) => {
                    refuse_full(&mut stream, standin, &head, &faults, &mut late_copy).await?;
                    continue;
                }
            },
        };
        if faults.stuck {
            standin.in_flight.set(standin.in_flight.get() + 1);
            let _ = stream.reader.fill(1).await;
            standin.in_flight.set(standin.in_flight.get() - 1);
            standin.runs.borrow_mut().cancelled += 1;
            return Ok(());
        }
        let run_end = execution::run(&mut stream, standin, &head, &faults, time_left()).await;
        drop(slot);
        let faults = match run_end {
            RunEnd::Complete => faults,
            RunEnd::DeadlinePassed => BackendFaults { status: 504, ..faults },
            RunEnd::Disconnected => return Ok(()),
        };
        if faults.break_at == BreakPoint::AfterRun {
            return Ok(());
        }
        writer::flush(&mut stream.writer, &mut late_copy).await?;
        reply::answer(&mut stream, standin, &head, &faults, body).await?;
        if faults.late {
            late_copy = reply::build_copy(standin, &head, &faults);
        }
        if faults.break_at != BreakPoint::Nowhere || faults.unframed {
            return Ok(());
        }
    }
}

/// Refuses a request that finds no slot.
async fn refuse_full(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
    late_copy: &mut BytesMut,
) -> Result<(), HttpError> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    writer::flush(&mut stream.writer, late_copy).await?;
    reply::refuse(stream, standin, head, status).await?;
    if faults.late {
        *late_copy = reply::build_refusal(standin, head, status);
    }
    Ok(())
}

/// Returns the time that a request may take. A server without a limit of its slots heeds no
/// deadline.
fn deadline_of(standin: &BackendStandin, head: &request::Parts) -> Duration {
    let name = &standin.options.fields.deadline;
    let millis = fields::single(&head.headers, name).and_then(|value| value.parse().ok());
    match (&standin.slots, millis) {
        (Some(_), Some(millis)) => Duration::from_millis(millis),
        _ => UNLIMITED_TIME,
    }
}

async fn read_body(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    framing: BodyFraming,
) -> Result<Bytes, HttpError> {
    let is_echoed = head.uri.path() == "/echo";
    let mut reader = BodyReader::new(framing, BodyLimits::default());
    let mut body = BytesMut::new();
    while let Some(chunk) = reader.next(&mut stream.reader).await? {
        standin.runs.borrow_mut().body_bytes += chunk.len() as u64;
        if is_echoed {
            body.extend_from_slice(&chunk);
        }
    }
    Ok(body.freeze())
}

/// Returns whether the request is addressed to this incarnation of the server, or names no
/// incarnation.
fn is_expected(standin: &BackendStandin, head: &request::Parts) -> bool {
    let name = match &standin.options.fields.expected_server {
        Some(name) => name,
        None => return true,
    };
    fields::single(&head.headers, name).is_none_or(|wanted| wanted == standin.options.name)
}
