// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves the connections of callers: the requests on a connection are served one after another,
//! and answered in the same order.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_decide::eviction::ConnectionStage;
use basaltarch_events::process;
use basaltarch_http::connection::{self, ConnectionTurn, HttpStream};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::head;
use basaltarch_http::reader::HEAD_READ_BYTES;
use basaltarch_http::table::ConnectionEntry;
use basaltarch_http::writer;
use bytes::BytesMut;
use fnv::FnvHashMap;
use futures_util::{select_biased, FutureExt};
use http::request::Parts;
use http::Method;
use monoio::net::{TcpListener, TcpStream};

use crate::ingress::failure::CallerFailure;
use crate::ingress::pipeline::CallerPipeline;
use crate::ingress::{request, trace};
use crate::state::DaemonState;
use crate::stop;

/// Longest time that a caller may take to accept the bytes of one write. After this time, the
/// connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// `AfterRequest` says what happens to the connection after a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterRequest {
    /// The connection stays open for the next request.
    Keep,
    /// The connection is closed once the caller has read the answer.
    Close,
    /// The connection is closed at once, so that the caller sees that the answer was cut short.
    Abort,
}

/// `CallerConnection` is what requests on one connection of a caller share.
pub struct CallerConnection {
    /// Entry of the connection in the table of all.
    pub entry: Rc<ConnectionEntry>,
    /// Address of the caller.
    pub from: SocketAddr,
    /// Requests that the caller sent ahead.
    pub pipeline: CallerPipeline,
}

/// Accepts callers' connections; never returns.
pub async fn accept(state: Rc<DaemonState>, listener: TcpListener) {
    let connections_max = state.options.connections;
    let table = state.callers.clone();
    let callers = Rc::new(CallerCounts::default());
    let serve = move |stream, from: SocketAddr, entry| {
        let state = state.clone();
        metrics::CALLER_CONNECTIONS.set(state.callers.len() as i64);
        let callers = callers.clone();
        async move {
            match callers.count_connection(from.ip(), state.options.connections_each) {
                Some(_caller_guard) => {
                    let pipeline = CallerPipeline::default();
                    serve(&state, stream, &CallerConnection { entry, from, pipeline }).await;
                }
                None => log_refused_connection(from.ip(), state.options.connections_each),
            }
            metrics::CALLER_CONNECTIONS.set(state.callers.len() as i64 - 1);
        }
    };
    connection::accept_all(listener, connections_max, table, serve).await;
}

/// Logs that a connection was refused, because its address has too many connections open.
fn log_refused_connection(caller: IpAddr, allowed: usize) {
    process::CallerRefused { caller: &caller.to_string(), allowed: allowed as u64 }.log();
}

/// `CallerCounts` counts the connections of each caller's address.
#[derive(Default)]
struct CallerCounts {
    counts: RefCell<FnvHashMap<IpAddr, usize>>,
}

/// `CallerGuard` counts one connection of a caller's address until the guard is dropped.
struct CallerGuard {
    callers: Rc<CallerCounts>,
    address: IpAddr,
}

impl CallerCounts {
    fn count_connection(
        self: &Rc<Self>,
        address: IpAddr,
        connections_max: usize,
    ) -> Option<CallerGuard> {
        let mut counts = self.counts.borrow_mut();
        let count = counts.entry(address).or_default();
        if *count >= connections_max {
            return None;
        }
        *count += 1;
        Some(CallerGuard { callers: self.clone(), address })
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let mut counts = self.callers.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.address);
            }
        }
    }
}

async fn serve(state: &Rc<DaemonState>, stream: TcpStream, caller: &CallerConnection) {
    let entry = &caller.entry;
    let mut stream = HttpStream::new(stream);
    let mut turn = ConnectionTurn::default();
    loop {
        let head = match next_head_unless_evicted(state, &mut stream, entry).await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => {
                if let Some(failure) = CallerFailure::unreadable(&error) {
                    metrics::count_failure(failure.outcome);
                    trace::log_rejected(state, "", &failure);
                    send_refusal(&mut stream, entry, &failure).await;
                }
                return;
            }
        };
        entry.enter(ConnectionStage::Serving);
        let id = request::id_of(state, &head);
        // Refused requests aren't counted: callers that keep retrying would delay the shutdown.
        let in_flight_guard =
            stop::admits_request(state, &id).then(|| state.stop.count_in_flight());
        metrics::REQUESTS.add_one();
        metrics::IN_FLIGHT.add(1);
        // The future is boxed, so that an idle connection does not hold memory for a request's
        // whole state.
        let after = Box::pin(request::serve(state, &mut stream, head, &id, caller)).await;
        metrics::IN_FLIGHT.add(-1);
        match after {
            AfterRequest::Keep => {}
            AfterRequest::Close => {
                // The request is complete: a caller that keeps its connection open must not delay a
                // shutdown.
                drop(in_flight_guard);
                let _lingering = state.stop.count_lingering();
                return stream.linger_unless_evicted(entry).await;
            }
            AfterRequest::Abort => return,
        }
        turn.end_request().await;
        stream.reader.release();
        if stream.reader.buffer.is_empty() {
            caller.pipeline.note_empty();
            entry.enter(ConnectionStage::Idle);
        } else {
            entry.enter(ConnectionStage::Receiving);
            caller.pipeline.note_waiting(&stream.reader.buffer);
            caller.pipeline.give_way(entry).await;
            if entry.is_evicted() {
                return;
            }
        }
    }
}

/// Reads the head of the next request as [`next_head`] does, unless the connection is to make room
/// for another.
async fn next_head_unless_evicted(
    state: &Rc<DaemonState>,
    stream: &mut HttpStream,
    entry: &ConnectionEntry,
) -> Result<Option<Parts>, HttpError> {
    let mut reading = std::pin::pin!(next_head(state, stream, entry).fuse());
    let mut evicted = std::pin::pin!(entry.evicted().fuse());
    select_biased! {
        head = reading => head,
        () = evicted => Ok(None),
    }
}

/// Reads the head of the next request. Returns `None` if the connection has ended, or if the
/// connection is idle when the daemon is about to exit. A daemon that shuts down keeps reading
/// until it is about to exit. Callers discover the shutdown only after some time, and a refusal
/// shows a caller that its request did not run.
async fn next_head(
    state: &Rc<DaemonState>,
    stream: &mut HttpStream,
    entry: &ConnectionEntry,
) -> Result<Option<Parts>, HttpError> {
    let limits = state.head_limits();
    if stream.reader.buffer.is_empty() {
        let filling = stream.reader.fill_within(HEAD_READ_BYTES, limits.idle, "a request");
        let mut filling = std::pin::pin!(filling.fuse());
        let mut ending = std::pin::pin!(state.stop.ending.raised().fuse());
        // Data that has arrived is read first, so that a shutdown drops no request that was already
        // sent.
        let filled = select_biased! {
            filled = filling => filled,
            () = ending => return Ok(None),
        };
        match filled {
            Ok(0) | Err(HttpError::TimedOut { .. }) => return Ok(None),
            Ok(_) => entry.enter(ConnectionStage::Receiving),
            Err(error) => return Err(error),
        }
    }
    match head::read_request(&mut stream.reader, &limits).await {
        Ok(head) => Ok(Some(head)),
        Err(HttpError::Closed) => Ok(None),
        Err(error) => Err(error),
    }
}

async fn send_refusal(stream: &mut HttpStream, entry: &ConnectionEntry, failure: &CallerFailure) {
    let mut buffer = BytesMut::new();
    failure.put(&mut buffer, &Method::GET, true);
    if flush_unless_evicted(stream, entry, &mut buffer).await.is_ok() {
        stream.linger_unless_evicted(entry).await;
    }
}

/// Sends what is buffered for the caller. A caller that doesn't read it may have to make room for
/// others.
///
/// # Errors
///
/// Returns the error of the connection, [`HttpError::TimedOut`] after [`WRITE_TIMEOUT`], or
/// [`HttpError::Closed`] if the connection makes room.
pub async fn flush_unless_evicted(
    stream: &mut HttpStream,
    entry: &ConnectionEntry,
    buffer: &mut BytesMut,
) -> Result<(), HttpError> {
    let mut writing = std::pin::pin!(writer::flush(&mut stream.writer, buffer));
    if let Some(result) = writing.as_mut().now_or_never() {
        return result;
    }
    entry.enter(ConnectionStage::Blocked);
    let mut writing = writing.fuse();
    let mut evicted = std::pin::pin!(entry.evicted().fuse());
    let mut timed_out = std::pin::pin!(monoio::time::sleep(WRITE_TIMEOUT).fuse());
    let result = select_biased! {
        result = writing => result,
        () = evicted => Err(HttpError::Closed),
        () = timed_out => Err(HttpError::TimedOut { what: "the caller to read a reply" }),
    };
    entry.enter(ConnectionStage::Serving);
    result
}

/// Says whether the connection is closed after the answer to this request.
pub fn closes_after(state: &DaemonState, head: &Parts) -> bool {
    state.is_stopping() || fields::wants_close(head.version, &head.headers)
}
