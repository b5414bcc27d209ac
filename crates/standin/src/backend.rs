// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A stand-in backend server that fails gray on demand.
//!
//! It counts what it ran, by the request's `x-request-id`, so that tests can check what callers
//! were told against what really happened.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_http::body::{BodyLimits, BodyReader};
use basaltarch_http::connection::{self, ConnectionCount, HttpStream};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields::{self, ExchangeFields};
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head::{self, HeadLimits};
use basaltarch_http::writer;
use basaltarch_platform::headers;
use bytes::{Bytes, BytesMut};
use fnv::FnvHashMap;
use futures_util::future::{self, Either};
use http::{header, request, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use monoio::net::{TcpListener, TcpStream};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};

/// Path of the faults: `GET` them or `PUT` new ones.
pub const FAULTS_PATH: &str = "/__control/faults";
/// Path of what was run: `GET`.
pub const RUNS_PATH: &str = "/__control/runs";
/// Path of the health endpoint, which tells what the faults say and not how the server is.
pub const HEALTH_PATH: &str = "/health";
/// Path of the load endpoint, which tells what the faults say too.
pub const LOAD_PATH: &str = "/load";
/// Header by which runs are counted.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Bytes of one piece of a generated body.
const PIECE_BYTES: usize = 32 * 1024;

/// `BreakPoint` is where a broken server drops the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakPoint {
    /// Nowhere.
    #[default]
    Nowhere,
    /// After the head of the request, before its body.
    AfterRequestHead,
    /// After the whole request was read and run.
    AfterRun,
    /// Within the head of the answer.
    InAnswerHead,
    /// Within the body of the answer.
    InAnswerBody,
}

/// `BackendFaults` are the faults in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Share of requests answered with status 500.
    pub error_rate: f64,
    /// Only paths with this prefix fail; empty for all.
    pub error_prefix: String,
    /// Share of requests slowed by `slow_factor`.
    pub slow_rate: f64,
    /// Factor on the service time of slow requests.
    pub slow_factor: f64,
    /// Requests are read and never answered.
    pub stuck: bool,
    /// Where connections are dropped.
    pub break_at: BreakPoint,
    /// Work is refused before it starts, with the documented shed answer.
    pub shed: bool,
    /// Every answer says that the server is leaving.
    pub drain: bool,
    /// Errors come without any service time.
    pub quick_errors: bool,
    /// An answer to another request comes before each answer.
    pub surplus: bool,
    /// A second answer comes right behind each answer.
    pub twice: bool,
    /// Answers lack the proof that a backend server made them.
    pub unstamped: bool,
    /// Answers claim an encoding that nobody asked for.
    pub encoded: bool,
    /// Status of every answer, 0 for the usual.
    pub status: u16,
    /// Status of the health endpoint.
    pub health_status: u16,
    /// Requests in flight that the load endpoint claims.
    pub claimed_load: u64,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            error_rate: 0.0,
            error_prefix: String::new(),
            slow_rate: 0.0,
            slow_factor: 1.0,
            stuck: false,
            break_at: BreakPoint::Nowhere,
            shed: false,
            drain: false,
            quick_errors: false,
            surplus: false,
            twice: false,
            unstamped: false,
            encoded: false,
            status: 0,
            health_status: 200,
            claimed_load: 0,
        }
    }
}

/// `BackendRuns` is what the server ran.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendRuns {
    /// Requests run.
    pub total: u64,
    /// Requests run, by `x-request-id`.
    pub by_id: FnvHashMap<String, u64>,
    /// Most requests worked on at once.
    pub most_at_once: u64,
    /// Requests given up by the other side while they were worked on.
    pub cancelled: u64,
    /// Body bytes received.
    pub body_bytes: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Requests received, run or not.
    pub received: u64,
    /// Requests of the health and load endpoints.
    pub probes: u64,
    /// Head of the last request, as text.
    pub last_head: String,
}

/// `BackendOptions` are the settings of a stand-in backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendOptions {
    /// Median service time.
    pub service_time: Duration,
    /// Spread of the logarithm of the service time.
    pub spread: f64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Name in the `x-served-by` header, and of this incarnation where daemons ask for one.
    pub name: String,
    /// Names of the header fields that it knows.
    pub fields: ExchangeFields,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            service_time: Duration::ZERO,
            spread: 0.3,
            seed: 1,
            name: "backend".to_owned(),
            fields: ExchangeFields::default(),
        }
    }
}

/// `BackendStandin` is the state of a stand-in backend server.
pub struct BackendStandin {
    options: BackendOptions,
    faults: RefCell<BackendFaults>,
    runs: RefCell<BackendRuns>,
    working: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
}

impl BackendStandin {
    /// Builds a stand-in.
    pub fn new(options: BackendOptions) -> Rc<Self> {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Rc::new(Self {
            options,
            faults: RefCell::default(),
            runs: RefCell::default(),
            working: Cell::new(0),
            rng: RefCell::new(rng),
        })
    }

    /// Returns the name of the field that names a request.
    fn request_field(&self) -> HeaderName {
        self.options.fields.request.clone().unwrap_or(REQUEST_ID)
    }

    fn service_time(&self, faults: &BackendFaults) -> Duration {
        let median = self.options.service_time.as_secs_f64();
        if median == 0.0 {
            return Duration::ZERO;
        }
        let mut rng = self.rng.borrow_mut();
        let factor =
            LogNormal::new(0.0, self.options.spread).map_or(1.0, |law| law.sample(&mut *rng));
        let slow = rng.random_bool(faults.slow_rate.clamp(0.0, 1.0));
        let slowness = if slow { faults.slow_factor } else { 1.0 };
        Duration::from_secs_f64(median * factor * slowness)
    }

    fn fails(&self, faults: &BackendFaults, path: &str) -> bool {
        path.starts_with(&faults.error_prefix)
            && self.rng.borrow_mut().random_bool(faults.error_rate.clamp(0.0, 1.0))
    }
}

/// Serves the stand-in for ever.
pub async fn serve(listener: TcpListener, standin: Rc<BackendStandin>, connections: usize) {
    let serve = move |stream, _: SocketAddr| {
        let standin = standin.clone();
        async move {
            standin.runs.borrow_mut().connections += 1;
            // The connection ends with its first error; the other side sees that.
            let _ = serve_connection(stream, &standin).await;
        }
    };
    connection::accept_all(listener, connections, ConnectionCount::default(), serve).await
}

async fn serve_connection(stream: TcpStream, standin: &BackendStandin) -> Result<(), HttpError> {
    let mut stream = HttpStream::new(stream);
    let limits = HeadLimits { idle: Duration::from_secs(3600), ..HeadLimits::default() };
    loop {
        let head = head::read_request(&mut stream.reader, &limits).await?;
        let framing = framing::of_request(&head)?;
        if head.uri.path().starts_with("/__control/") {
            control(&mut stream, standin, &head, framing).await?;
            continue;
        }
        let faults = standin.faults.borrow().clone();
        if [HEALTH_PATH, LOAD_PATH].contains(&head.uri.path()) {
            answer_probe(&mut stream, standin, &head, &faults).await?;
            continue;
        }
        note_received(standin, &head);
        if faults.break_at == BreakPoint::AfterRequestHead {
            return Ok(());
        }
        let body = read_body(&mut stream, standin, &head, framing).await?;
        if !is_expected(standin, &head) {
            refuse(&mut stream, standin, StatusCode::MISDIRECTED_REQUEST).await?;
            continue;
        }
        if faults.shed {
            refuse(&mut stream, standin, StatusCode::SERVICE_UNAVAILABLE).await?;
            continue;
        }
        if faults.stuck {
            standin.working.set(standin.working.get() + 1);
            let _ = stream.reader.fill(1).await;
            standin.working.set(standin.working.get() - 1);
            standin.runs.borrow_mut().cancelled += 1;
            return Ok(());
        }
        if !work(&mut stream, standin, &head, &faults).await {
            return Ok(());
        }
        if faults.break_at == BreakPoint::AfterRun {
            return Ok(());
        }
        answer(&mut stream, standin, &head, &faults, body).await?;
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

/// Works for the service time; returns whether the other side is still there.
async fn work(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> bool {
    note_run(standin, head);
    let mut time = standin.service_time(faults);
    if let Some(asked) = fields::single(&head.headers, &HeaderName::from_static("x-work-ms")) {
        time = Duration::from_millis(asked.parse().unwrap_or(0));
    }
    if faults.quick_errors || time.is_zero() {
        return true;
    }
    let now = standin.working.get() + 1;
    standin.working.set(now);
    note_at_once(standin, now);
    let sleep = std::pin::pin!(monoio::time::sleep(time));
    let gone = std::pin::pin!(stream.reader.fill(1));
    let stays = matches!(future::select(sleep, gone).await, Either::Left(_));
    standin.working.set(standin.working.get() - 1);
    if !stays {
        standin.runs.borrow_mut().cancelled += 1;
    }
    stays
}

fn note_received(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.received += 1;
    runs.last_head = format!("{} {} {:?}", head.method, head.uri, head.headers);
}

fn note_at_once(standin: &BackendStandin, now: u64) {
    let mut runs = standin.runs.borrow_mut();
    runs.most_at_once = runs.most_at_once.max(now);
}

fn note_run(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.total += 1;
    if let Some(id) = fields::single(&head.headers, &standin.request_field()) {
        *runs.by_id.entry(id.to_owned()).or_default() += 1;
    }
}

async fn answer_probe(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> Result<(), HttpError> {
    standin.runs.borrow_mut().probes += 1;
    let (status, text) = match head.uri.path() {
        HEALTH_PATH => (faults.health_status, String::new()),
        _ => (StatusCode::OK.as_u16(), faults.claimed_load.to_string()),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let sound = BackendFaults::default();
    let body = Bytes::from(text);
    let mut headers = HeaderMap::new();
    if standin.options.fields.expected_server.is_some() {
        put(&mut headers, headers::SERVER, &standin.options.name);
    }
    answer_whole(stream, &head.method, status, &headers, body, &sound).await
}

/// Says whether the request is meant for this incarnation of the server.
fn is_expected(standin: &BackendStandin, head: &request::Parts) -> bool {
    let name = match &standin.options.fields.expected_server {
        Some(name) => name,
        None => return true,
    };
    fields::single(&head.headers, name).is_none_or(|wanted| wanted == standin.options.name)
}

/// Sets a field; a value that can't stand in a head is left out.
fn put(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Refuses a request that was not run.
async fn refuse(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    status: StatusCode,
) -> Result<(), HttpError> {
    let mut headers = HeaderMap::new();
    headers.insert(standin.options.fields.shed.clone(), HeaderValue::from_static("1"));
    let mut buffer = BytesMut::new();
    writer::put_response_head(&mut buffer, status, &headers, BodyFraming::Empty, false);
    writer::flush(&mut stream.writer, &mut buffer).await
}

async fn answer(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
    body: Bytes,
) -> Result<(), HttpError> {
    let path = head.uri.path();
    let failed = standin.fails(faults, path);
    let status = match (failed, StatusCode::from_u16(faults.status)) {
        (true, _) => StatusCode::INTERNAL_SERVER_ERROR,
        (false, Ok(status)) => status,
        (false, Err(_)) => wanted_status(path),
    };
    let headers = answer_fields(standin, head, faults);
    if faults.surplus {
        let mut other = headers.clone();
        put(&mut other, standin.request_field(), "an-earlier-request");
        let body = Bytes::from_static(b"the answer to an earlier request\n");
        let sound = BackendFaults::default();
        answer_whole(stream, &head.method, StatusCode::OK, &other, body, &sound).await?;
    }
    if faults.twice {
        let body = answer_text(standin, head, status);
        answer_whole(stream, &head.method, status, &headers, body, faults).await?;
    }
    if let Some(length) = path.strip_prefix("/bytes/").and_then(|text| text.parse().ok()) {
        return answer_generated(stream, &headers, length, faults).await;
    }
    let body = match path {
        "/echo" => body,
        _ => answer_text(standin, head, status),
    };
    answer_whole(stream, &head.method, status, &headers, body, faults).await
}

/// Returns the header fields of an answer.
fn answer_fields(
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> HeaderMap {
    let names = &standin.options.fields;
    let mut headers = HeaderMap::new();
    put(&mut headers, HeaderName::from_static("x-served-by"), &standin.options.name);
    if let Some(id) = head.headers.get(standin.request_field()) {
        headers.insert(standin.request_field(), id.clone());
    }
    if let Some(name) = names.stamp.as_ref().filter(|_| !faults.unstamped) {
        put(&mut headers, name.clone(), "stamp");
    }
    if faults.encoded {
        put(&mut headers, header::CONTENT_ENCODING, "gzip");
    }
    if faults.drain {
        put(&mut headers, names.drain.clone(), "1");
    }
    headers
}

fn wanted_status(path: &str) -> StatusCode {
    let wanted = path.strip_prefix("/status/").and_then(|text| text.parse::<u16>().ok());
    wanted.and_then(|code| StatusCode::from_u16(code).ok()).unwrap_or(StatusCode::OK)
}

fn answer_text(standin: &BackendStandin, head: &request::Parts, status: StatusCode) -> Bytes {
    let id = fields::single(&head.headers, &standin.request_field()).unwrap_or("-");
    Bytes::from(format!("{} {} {} {id}\n", standin.options.name, status.as_u16(), head.uri.path()))
}

async fn answer_whole(
    stream: &mut HttpStream,
    method: &Method,
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    faults: &BackendFaults,
) -> Result<(), HttpError> {
    let framing = BodyFraming::Length(body.len() as u64);
    let bare = framing::never_has_body(status);
    let framing = if bare { BodyFraming::Empty } else { framing };
    let mut buffer = BytesMut::new();
    writer::put_response_head(&mut buffer, status, headers, framing, false);
    if faults.break_at == BreakPoint::InAnswerHead {
        buffer.truncate(buffer.len() / 2);
        return writer::flush(&mut stream.writer, &mut buffer).await;
    }
    let mut body = if bare || method == Method::HEAD { Bytes::new() } else { body };
    if faults.break_at == BreakPoint::InAnswerBody {
        body.truncate(body.len() / 2);
    }
    writer::send_piece(&mut stream.writer, &mut buffer, framing, body, true).await
}

/// Answers with `length` generated bytes.
async fn answer_generated(
    stream: &mut HttpStream,
    headers: &HeaderMap,
    length: u64,
    faults: &BackendFaults,
) -> Result<(), HttpError> {
    let framing = BodyFraming::Length(length);
    let mut buffer = BytesMut::new();
    writer::put_response_head(&mut buffer, StatusCode::OK, headers, framing, false);
    writer::flush(&mut stream.writer, &mut buffer).await?;
    let piece = Bytes::from(vec![b'x'; PIECE_BYTES]);
    let wanted = match faults.break_at {
        BreakPoint::InAnswerBody => length / 2,
        _ => length,
    };
    let mut left = wanted;
    while left > 0 {
        let count = left.min(PIECE_BYTES as u64);
        let next = piece.slice(..count as usize);
        writer::send_piece(&mut stream.writer, &mut buffer, framing, next, false).await?;
        left -= count;
    }
    Ok(())
}

async fn control(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    framing: BodyFraming,
) -> Result<(), HttpError> {
    let mut reader = BodyReader::new(framing, BodyLimits::default());
    let mut body = BytesMut::new();
    while let Some(piece) = reader.next(&mut stream.reader).await? {
        body.extend_from_slice(&piece);
    }
    let (status, text) = control_reply(standin, head, &body);
    let mut buffer = BytesMut::new();
    let framing = BodyFraming::Length(text.len() as u64);
    writer::put_response_head(&mut buffer, status, &HeaderMap::new(), framing, false);
    writer::send_piece(&mut stream.writer, &mut buffer, framing, Bytes::from(text), true).await
}

fn control_reply(
    standin: &BackendStandin,
    head: &request::Parts,
    body: &[u8],
) -> (StatusCode, String) {
    match (head.method.as_str(), head.uri.path()) {
        ("GET", RUNS_PATH) => (StatusCode::OK, to_text(&*standin.runs.borrow())),
        ("DELETE", RUNS_PATH) => {
            *standin.runs.borrow_mut() = BackendRuns::default();
            (StatusCode::OK, "{}".to_owned())
        }
        ("GET", FAULTS_PATH) => (StatusCode::OK, to_text(&*standin.faults.borrow())),
        ("PUT", FAULTS_PATH) => match serde_json::from_slice(body) {
            Ok(faults) => {
                *standin.faults.borrow_mut() = faults;
                (StatusCode::OK, "{}".to_owned())
            }
            Err(error) => (StatusCode::UNPROCESSABLE_ENTITY, error.to_string()),
        },
        _ => (StatusCode::NOT_FOUND, "no such control path".to_owned()),
    }
}

fn to_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
