// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves connections: each request from its head to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::{self, ConnectionCount, HttpStream};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use bytes::{Bytes, BytesMut};
use futures_util::future;
use http::{request, StatusCode};
use monoio::net::{TcpListener, TcpStream};

use crate::backend::{control, probe, reply, runs, work};
use crate::backend::{BackendStandin, BreakPoint, HEALTH_PATH, LOAD_PATH};

/// Serves the stand-in for ever. One that crashed listens again after a while.
pub async fn serve(listener: TcpListener, standin: Rc<BackendStandin>, connections: usize) {
    let address = listener.local_addr();
    let mut listener = Ok(listener);
    while let (Ok(address), Ok(open)) = (&address, listener) {
        serve_until_crash(open, &standin, connections).await;
        standin.down.raise();
        let down = Duration::from_millis(standin.faults.borrow().down_ms);
        monoio::time::sleep(down).await;
        listener = connection::bind(*address);
    }
}

async fn serve_until_crash(
    listener: TcpListener,
    standin: &Rc<BackendStandin>,
    connections: usize,
) {
    let crashed = std::pin::pin!(standin.crash.after(standin.crash.count()));
    let standin = standin.clone();
    let serve = move |stream, _: SocketAddr| {
        let standin = standin.clone();
        // Counted as it is accepted: its task may run only when the listener has closed.
        let seen = standin.down.count();
        async move {
            standin.runs.borrow_mut().connections += 1;
            let down = std::pin::pin!(standin.down.after(seen));
            // The connection ends with its first error; the other side sees that.
            let serving = std::pin::pin!(serve_connection(stream, &standin));
            future::select(serving, down).await;
        }
    };
    let count = ConnectionCount::default();
    let accepting = std::pin::pin!(connection::accept_all(listener, connections, count, serve));
    future::select(accepting, crashed).await;
}

async fn serve_connection(stream: TcpStream, standin: &BackendStandin) -> Result<(), HttpError> {
    let mut stream = HttpStream::new(stream);
    let limits = HeadLimits { idle: Duration::from_secs(3600), ..HeadLimits::default() };
    loop {
        let head = head::read_request(&mut stream.reader, &limits).await?;
        let framing = framing::of_request(&head)?;
        if head.uri.path().starts_with("/__control/") {
            control::answer(&mut stream, standin, &head, framing).await?;
            continue;
        }
        let faults = standin.faults.borrow().clone();
        if [HEALTH_PATH, LOAD_PATH].contains(&head.uri.path()) {
            probe::answer(&mut stream, standin, &head, &faults).await?;
            continue;
        }
        runs::note_received(standin, &head);
        if faults.break_at == BreakPoint::AfterRequestHead {
            return Ok(());
        }
        let body = read_body(&mut stream, standin, &head, framing).await?;
        if !is_expected(standin, &head) {
            reply::refuse(&mut stream, standin, StatusCode::MISDIRECTED_REQUEST).await?;
            continue;
        }
        if faults.shed {
            reply::refuse(&mut stream, standin, StatusCode::SERVICE_UNAVAILABLE).await?;
            continue;
        }
        if faults.stuck {
            standin.working.set(standin.working.get() + 1);
            let _ = stream.reader.fill(1).await;
            standin.working.set(standin.working.get() - 1);
            standin.runs.borrow_mut().cancelled += 1;
            return Ok(());
        }
        if !work::run(&mut stream, standin, &head, &faults).await {
            return Ok(());
        }
        if faults.break_at == BreakPoint::AfterRun {
            return Ok(());
        }
        reply::answer(&mut stream, standin, &head, &faults, body).await?;
        if faults.break_at != BreakPoint::Nowhere {
            return Ok(());
        }
    }
}

async fn read_body(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    framing: BodyFraming,
) -> Result<Bytes, HttpError> {
    let keep = head.uri.path() == "/echo";
    let mut reader = BodyReader::new(framing, BodyLimits::default());
    let mut body = BytesMut::new();
    while let Some(piece) = reader.next(&mut stream.reader).await? {
        standin.runs.borrow_mut().body_bytes += piece.len() as u64;
        if keep {
            body.extend_from_slice(&piece);
        }
    }
    Ok(body.freeze())
}

/// Says whether the request is meant for this incarnation of the server.
fn is_expected(standin: &BackendStandin, head: &request::Parts) -> bool {
    let name = match &standin.options.fields.expected_server {
        Some(name) => name,
        None => return true,
    };
    fields::single(&head.headers, name).is_none_or(|wanted| wanted == standin.options.name)
}
