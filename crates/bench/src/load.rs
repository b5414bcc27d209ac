// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Open-loop load generator. Each request starts when it is due, whether or not earlier requests
//! have got a response, and latency counts from the due time. So a slow system can't hide its
//! latency by slowing the load down (coordinated omission).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_http::body::BodyLimits;
use basaltarch_http::client;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{header, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use monoio::io::AsyncReadRent;
use serde::Serialize;

/// Largest latency that the histograms record: a minute, in microseconds.
const MICROS_MAX: u64 = 60_000_000;
/// Number of significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest wait for the responses to requests in flight after the last request has started.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time-out for opening a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// `LoadTarget` is a destination that receives an equal share of the requests.
#[derive(Debug, Clone)]
pub struct LoadTarget {
    /// Name of the target in the report.
    pub name: String,
    /// Addresses of the target; new connections go to the addresses round-robin.
    pub addresses: Vec<SocketAddr>,
}

/// `LoadOptions` holds the targets, request and rate of a load.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// Targets, which get the requests in turn, so that all targets are measured while the machine
    /// is in the same state.
    pub targets: Vec<LoadTarget>,
    /// Value of the header `Host` of each request.
    pub host: String,
    /// Path of each request.
    pub path: String,
    /// Method of each request.
    pub method: Method,
    /// Length of each request's body in bytes.
    pub body_bytes: usize,
    /// Requests per second over all targets.
    pub rate: f64,
    /// Time during which requests are started.
    pub duration: Duration,
    /// Whether each request carries an idempotency key of its own.
    pub idempotency_keys: bool,
}

/// `ServerTally` counts the responses of one backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServerTally {
    /// Number of responses.
    pub answers: u64,
    /// Number of responses with a server error (status 500 to 599).
    pub errors: u64,
    /// Time of the first server error, in milliseconds since the start of the load.
    pub first_error_ms: Option<u64>,
    /// Time of the last server error, in milliseconds since the start of the load.
    pub last_error_ms: Option<u64>,
}

/// `TargetReport` holds the outcomes and latencies of the requests to one target.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TargetReport {
    /// Name of the target.
    pub name: String,
    /// Number of requests that were started.
    pub started: u64,
    /// Number of complete responses, except for responses that `not_run` and `unknown` count.
    pub answered: u64,
    /// Number of complete responses with a status below 400.
    pub good: u64,
    /// Number of requests that were refused without being run.
    pub not_run: u64,
    /// Number of requests for which the daemon reported an unknown outcome.
    pub unknown: u64,
    /// Number of requests that ended with a broken connection or a truncated response, or that were
    /// still in flight at the end.
    pub broken: u64,
    /// Number of responses that bear the id of another request than the request that was sent.
    pub crossed: u64,
    /// Median latency of complete responses, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency, in microseconds: 99 in 100 responses took no longer.
    pub p99_us: u64,
    /// 99.9th percentile of the latency, in microseconds: 999 in 1000 responses took no longer.
    pub p999_us: u64,
    /// Longest latency of complete responses, in microseconds.
    pub max_us: u64,
    /// Number of responses by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Tallies of responses by name of the backend server.
    pub servers: BTreeMap<String, ServerTally>,
}

struct TargetState {
    target: LoadTarget,
    report: TargetReport,
    latencies: Histogram<u64>,
    idle_connections: Vec<(SocketAddr, HttpStream)>,
    address_index: usize,
    in_flight: u64,
}

/// Runs a load and returns a report on each target.
pub async fn run(options: LoadOptions) -> Vec<TargetReport> {
    let options = Rc::new(options);
    let states: Vec<Rc<RefCell<TargetState>>> = options
        .targets
        .iter()
        .map(|target| Rc::new(RefCell::new(new_target_state(target))))
        .collect();
    let start = Instant::now();
    let total = (options.rate * options.duration.as_secs_f64()) as u64;
    let mut pacer = match start_pacer(start, options.rate, total) {
        Ok(pacer) => pacer,
        Err(_) => return Vec::new(),
    };
    let mut number = 0;
    while number < total {
        let (result, _) = pacer.read(vec![0; 64]).await;
        for _ in 0..result.unwrap_or(0) {
            let due = start + Duration::from_secs_f64(number as f64 / options.rate);
            let state = states[number as usize % states.len()].clone();
            let options = options.clone();
            state.borrow_mut().in_flight += 1;
            monoio::spawn(async move {
                run_request(&options, &state, number, start, due).await;
                state.borrow_mut().in_flight -= 1;
            });
            number += 1;
        }
    }
    let settle_until = Instant::now() + SETTLE_TIMEOUT;
    while states.iter().any(|state| state.borrow().in_flight > 0) && Instant::now() < settle_until {
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    states.iter().map(|state| finish_report(&state.borrow())).collect()
}

fn new_target_state(target: &LoadTarget) -> TargetState {
    let latencies = Histogram::new_with_bounds(1, MICROS_MAX, SIGNIFICANT_DIGITS);
    TargetState {
        target: target.clone(),
        report: TargetReport { name: target.name.clone(), ..TargetReport::default() },
        latencies: latencies.unwrap_or_else(|_| unreachable!("the bounds are constants")),
        idle_connections: Vec::new(),
        address_index: 0,
        in_flight: 0,
    }
}

/// Starts a thread that writes a byte to a socket whenever a request is due, and returns the other
/// end of the socket.
///
/// A task of the runtime can't pace the requests: the timer of the runtime has a resolution of a
/// millisecond, and a task that spins would keep the runtime from polling its connections.
fn start_pacer(
    start: Instant,
    rate: f64,
    total: u64,
) -> Result<monoio::net::UnixStream, std::io::Error> {
    let (receiver, mut sender) = std::os::unix::net::UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    std::thread::spawn(move || {
        for number in 0..total {
            let due = start + Duration::from_secs_f64(number as f64 / rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if sender.write_all(&[0]).is_err() {
                return;
            }
        }
    });
    monoio::net::UnixStream::from_std(receiver)
}

async fn run_request(
    options: &LoadOptions,
    state: &Rc<RefCell<TargetState>>,
    number: u64,
    start: Instant,
    due: Instant,
) {
    state.borrow_mut().report.started += 1;
    let id = format!("load-{number}");
    let result = exchange(options, state, &id).await;
    let latency_us = due.elapsed().as_micros() as u64;
    let since_start_ms = start.elapsed().as_millis() as u64;
    let mut state = state.borrow_mut();
    match result {
        Ok(reply) => record_reply(&mut state, &reply, &id, latency_us, since_start_ms),
        Err(_) => state.report.broken += 1,
    }
}

async fn exchange(
    options: &LoadOptions,
    state: &Rc<RefCell<TargetState>>,
    id: &str,
) -> Result<client::ClientReply, HttpError> {
    let (address, mut stream) = open_connection(state).await?;
    let headers = build_headers(options, id);
    let body = Bytes::from(vec![b'x'; options.body_bytes]);
    client::send(&mut stream, &options.method, &options.path, &headers, body).await?;
    let receiving = client::receive(&mut stream, &options.method, BodyLimits::default());
    let (reply, must_close) = receiving.await?;
    if !must_close {
        state.borrow_mut().idle_connections.push((address, stream));
    }
    Ok(reply)
}

async fn open_connection(
    state: &Rc<RefCell<TargetState>>,
) -> Result<(SocketAddr, HttpStream), HttpError> {
    let idle = state.borrow_mut().idle_connections.pop();
    if let Some((address, mut stream)) = idle {
        if client::is_reusable(&mut stream) {
            return Ok((address, stream));
        }
    }
    let address = {
        let mut state = state.borrow_mut();
        state.address_index += 1;
        state.target.addresses[state.address_index % state.target.addresses.len()]
    };
    let stream = HttpStream::connect(address, CONNECT_TIMEOUT).await?;
    Ok((address, stream))
}

fn build_headers(options: &LoadOptions, id: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let mut insert_header = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    insert_header(header::HOST, &options.host);
    insert_header(HeaderName::from_static("x-request-id"), id);
    if options.idempotency_keys {
        insert_header(fields::IDEMPOTENCY_KEY, id);
    }
    headers
}

fn record_reply(
    state: &mut TargetState,
    reply: &client::ClientReply,
    id: &str,
    latency_us: u64,
    since_start_ms: u64,
) {
    let report = &mut state.report;
    *report.statuses.entry(reply.status.as_u16()).or_default() += 1;
    match fields::single(&reply.headers, &fields::OUTCOME) {
        Some("not-run") => {
            report.not_run += 1;
            return;
        }
        Some(_) => {
            report.unknown += 1;
            return;
        }
        None => {}
    }
    report.answered += 1;
    report.good += u64::from(reply.status < StatusCode::BAD_REQUEST);
    let answered_id = fields::single(&reply.headers, &HeaderName::from_static("x-request-id"));
    report.crossed += u64::from(answered_id.is_some_and(|answered| answered != id));
    let _ = state.latencies.record(latency_us.clamp(1, MICROS_MAX));
    let server = fields::single(&reply.headers, &HeaderName::from_static("x-served-by"));
    let tally = report.servers.entry(server.unwrap_or("-").to_owned()).or_default();
    tally.answers += 1;
    if reply.status.is_server_error() {
        tally.errors += 1;
        tally.first_error_ms.get_or_insert(since_start_ms);
        tally.last_error_ms = Some(since_start_ms);
    }
}

fn finish_report(state: &TargetState) -> TargetReport {
    let mut report = state.report.clone();
    report.p50_us = state.latencies.value_at_quantile(0.5);
    report.p99_us = state.latencies.value_at_quantile(0.99);
    report.p999_us = state.latencies.value_at_quantile(0.999);
    report.max_us = state.latencies.max();
    // Requests that are still in flight after `SETTLE_TIMEOUT` count as broken.
    report.broken += state.in_flight;
    report
}
