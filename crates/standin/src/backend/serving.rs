// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Accepts connections and serves their requests, each from its head to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::{self, HttpStream};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_http::table::{ConnectionEntry, ConnectionTable};
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

/// Largest head in bytes: the largest that daemons accept from callers, and what they add to it.
const HEAD_BYTES_MAX: usize = 48 * 1024;
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
    let serve_stream = move |stream, _: SocketAddr, entry: Rc<ConnectionEntry>| {
        entry.protect();
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
    let accepting = std::pin::pin!(connection::accept_all(
        listener,
        connections,
        ConnectionTable::default(),
        serve_stream
    ));
    future::select(accepting, crashed).await;
}

async fn serve_connection(stream: TcpStream, standin: &BackendStandin) -> Result<(), HttpError> {
    let (stream, late_copy) = (HttpStream::new(stream), BytesMut::new());
    let mut connection = ServerConnection { stream, standin, late_copy };
    let limits = HeadLimits {
        bytes: HEAD_BYTES_MAX,
        idle: Duration::from_secs(3600),
        ..HeadLimits::default()
    };
    loop {
        let head = head::read_request(&mut connection.stream.reader, &limits).await?;
        if connection.serve_request(&head).await? == AfterRequest::Close {
            return Ok(());
        }
    }
}

/// `AfterRequest` says what happens to a connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterRequest {
    Keep,
    Close,
}

/// `ServerConnection` is one connection of a client.
struct ServerConnection<'a> {
    stream: HttpStream,
    standin: &'a BackendStandin,
    /// Copy of an earlier response, to be sent in front of the next one.
    late_copy: BytesMut,
}

impl ServerConnection<'_> {
    async fn serve_request(&mut self, head: &request::Parts) -> Result<AfterRequest, HttpError> {
        let Self { stream, standin, .. } = self;
        let framing = framing::of_request(head)?;
        let path = head.uri.path();
        if path.starts_with("/__control/") {
            control::answer(stream, standin, head, framing).await?;
            return Ok(AfterRequest::Keep);
        }
        let faults = standin.draw_faults();
        if [HEALTH_PATH, LOAD_PATH].contains(&path) {
            probe::answer(stream, standin, head, &faults).await?;
            return Ok(AfterRequest::Keep);
        }
        runs::record_received(standin, head);
        if faults.break_at == BreakPoint::AfterRequestHead {
            return Ok(AfterRequest::Close);
        }
        if let Some(act) = UploadAct::of_path(path) {
            uploads::serve(stream, standin, head, framing, act).await?;
            return Ok(AfterRequest::Keep);
        }
        let body = read_body(stream, standin, head, framing).await?;
        if !is_expected(standin, head) {
            reply::refuse(stream, standin, head, StatusCode::MISDIRECTED_REQUEST).await?;
            return Ok(AfterRequest::Keep);
        }
        if faults.shed {
            return self.refuse_full(head, &faults).await;
        }
        self.run_in_slot(head, body, faults).await
    }

    /// Waits for a slot, runs the request and answers it.
    async fn run_in_slot(
        &mut self,
        head: &request::Parts,
        body: Bytes,
        faults: BackendFaults,
    ) -> Result<AfterRequest, HttpError> {
        let deadline = Instant::now() + deadline_of(self.standin, head);
        let time_left = || deadline.saturating_duration_since(Instant::now());
        let taken = match &self.standin.slots {
            Some(slots) => slots.take(&mut self.stream, time_left()).await.map(Some),
            None => Ok(None),
        };
        let slot = match taken {
            Ok(slot) => slot,
            Err(SlotRefusal::Disconnected) => return Ok(AfterRequest::Close),
            Err(SlotRefusal::Full | SlotRefusal::DeadlinePassed) => {
                return self.refuse_full(head, &faults).await;
            }
        };
        if faults.stuck {
            self.hang().await;
            return Ok(AfterRequest::Close);
        }
        let running = execution::run(&mut self.stream, self.standin, head, &faults, time_left());
        let run_end = running.await;
        drop(slot);
        match run_end {
            RunEnd::Complete => self.answer(head, body, faults).await,
            RunEnd::DeadlinePassed => {
                let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
                self.answer(head, body, BackendFaults { status, ..faults }).await
            }
            RunEnd::Disconnected => Ok(AfterRequest::Close),
        }
    }

    /// Answers a request that was run.
    async fn answer(
        &mut self,
        head: &request::Parts,
        body: Bytes,
        faults: BackendFaults,
    ) -> Result<AfterRequest, HttpError> {
        if faults.break_at == BreakPoint::AfterRun {
            return Ok(AfterRequest::Close);
        }
        writer::flush(&mut self.stream.writer, &mut self.late_copy).await?;
        reply::answer(&mut self.stream, self.standin, head, &faults, body).await?;
        if faults.late {
            self.late_copy = reply::build_copy(self.standin, head, &faults);
        }
        let is_ended = faults.break_at != BreakPoint::Nowhere || faults.unframed;
        Ok(if is_ended { AfterRequest::Close } else { AfterRequest::Keep })
    }

    /// Refuses a request that finds no slot.
    async fn refuse_full(
        &mut self,
        head: &request::Parts,
        faults: &BackendFaults,
    ) -> Result<AfterRequest, HttpError> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        writer::flush(&mut self.stream.writer, &mut self.late_copy).await?;
        reply::refuse(&mut self.stream, self.standin, head, status).await?;
        if faults.late {
            self.late_copy = reply::build_refusal(self.standin, head, status);
        }
        Ok(AfterRequest::Keep)
    }

    /// Keeps a request without an answer until the client closes the connection.
    async fn hang(&mut self) {
        self.standin.in_flight.set(self.standin.in_flight.get() + 1);
        let _ = self.stream.reader.fill(1).await;
        self.standin.in_flight.set(self.standin.in_flight.get() - 1);
        self.standin.runs.borrow_mut().cancelled += 1;
    }
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
