// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves one request of a caller: checks the request against the configuration and the limits,
//! reads the start of the body, makes the attempts and relays the answer.

use std::cell::OnceCell;
use std::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::fingerprint::{RequestFingerprint, RequestParts};
use basaltarch_core::outcome::{FailureOutcome, NotRunReason};
use basaltarch_core::resources::{WorkClass, WorkMode};
use basaltarch_core::routes::RouteEntry;
use basaltarch_core::units::FleetRevision;
use basaltarch_decide::eviction::ConnectionStage;
use basaltarch_decide::suspects::CrashTally;
use basaltarch_http::body::BodyLimits;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::head;
use basaltarch_http::table::ConnectionEntry;
use bytes::{Bytes, BytesMut};
use futures_util::{select_biased, FutureExt};
use http::{header, request, HeaderMap, HeaderValue, Method, StatusCode, Version};

use crate::ingress::answer;
use crate::ingress::attempt::{self, AttemptEnd};
use crate::ingress::body::{self, KeepError, RequestBody};
use crate::ingress::caller::{self, AfterRequest, CallerConnection};
use crate::ingress::caller_key::CallerIdentity;
use crate::ingress::failure::CallerFailure;
use crate::ingress::hold::RequestHold;
use crate::ingress::target::{self, RequestTarget, TargetQuery};
use crate::ingress::trace::{self, RequestTrace};
use crate::limits::{self, LimitSubject};
use crate::services::ServiceState;
use crate::state::DaemonState;
use crate::stop;
use crate::wire;

/// Largest length of a request's id in the logs, in characters; the rest is cut off.
const REQUEST_ID_MAX: usize = 128;
/// How often the lines of a head are held while its request is served: once, and in the attempt that
/// is being sent, which is also encoded for its link.
const HEAD_COPIES: u64 = 3;
/// Largest length of an idempotency key, in bytes.
const ONCE_KEY_MAX: usize = 256;

/// `CallerRequest` is a request that passed its checks.
pub struct CallerRequest {
    /// Route of the request.
    pub route: Rc<RouteEntry>,
    /// Service of the request.
    pub service: Rc<ServiceState>,
    /// Method of the request.
    pub method: Method,
    /// Target of the request in origin form.
    pub target: String,
    /// HTTP version of the request.
    pub version: Version,
    /// Header fields of the request, as the backend server gets them.
    pub field_lines: Vec<u8>,
    /// Caller of the request.
    pub caller: CallerIdentity,
    /// Revision of the configuration under which the request was admitted.
    pub revision: FleetRevision,
    /// Idempotency key of an at-most-once request.
    pub once_key: Option<String>,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// Time after which an answer misses the route's latency objective, if the route declares an
    /// objective.
    pub objective: Option<Duration>,
    /// Framing of the request's body.
    pub framing: BodyFraming,
    /// Start of the request's body, by which the request is recognised. What an attempt sends comes
    /// from [`RequestBody::start`].
    pub body_start: Bytes,
    /// Whether the connection is closed after the request.
    pub close: bool,
    /// Whether the caller sends many requests ahead.
    pub is_far_ahead: bool,
    /// What is held for the request.
    pub hold: RequestHold,
    /// Trace of the request for the logs.
    pub trace: RequestTrace,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl CallerRequest {
    /// Returns the number of servers at which requests with the same method and target recently
    /// failed.
    pub fn failed_servers(&self, now: Duration) -> usize {
        self.service.failed_servers(self.method.as_str(), &self.target, now)
    }

    /// Returns the organisation, route and service against whose limits the request counts.
    fn limit_subject(&self) -> LimitSubject<'_> {
        LimitSubject {
            organisation: self.caller.limited_organisation(),
            route: &self.route.name,
            service: &self.service.entry.name,
        }
    }

    /// Returns the class of the request: the class of its organisation overrides the class of its
    /// route. The request of a caller that sends far ahead gives way to those of others.
    pub fn class(&self) -> WorkClass {
        if self.is_far_ahead {
            return WorkClass::Sheddable;
        }
        self.caller.class.unwrap_or(self.route.rule.criticality)
    }

    /// Says whether the whole body was read before the request is dispatched.
    pub fn has_whole_body(&self) -> bool {
        self.body_start.len() < body::KEPT_BYTES
    }

    /// Returns the length of the body in the form that daemons exchange: -1 if the length is not
    /// known.
    pub fn known_length(&self) -> i64 {
        match self.has_whole_body() {
            true => self.body_start.len() as i64,
            false => self.framing.wire_length(),
        }
    }

    /// Returns the crash tally of the request; `None` if the tally is empty.
    pub fn tally(&self, state: &DaemonState) -> Option<CrashTally> {
        let has_suspects = !state.suspects.is_empty();
        let tally = has_suspects.then(|| state.suspects.tally(&self.fingerprint(state)));
        tally.filter(|tally| *tally != CrashTally::default())
    }

    /// Returns the fingerprint of the request, which identical requests share and no other request
    /// has. The start of the body must have been read.
    pub fn fingerprint(&self, state: &DaemonState) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let parts = RequestParts {
                organisation: self.caller.organisation.as_deref().unwrap_or_default(),
                service: &self.service.entry.name,
                method: self.method.as_str(),
                target: &self.target,
                field_lines: &self.field_lines,
                body: &self.body_start,
                is_whole: self.has_whole_body(),
                length: self.framing.wire_length(),
            };
            RequestFingerprint::of(&state.options.fleet_key, &parts)
        })
    }
}

/// Serves one request of a caller and returns what happens to the connection after the request.
pub async fn serve(
    state: &Rc<DaemonState>,
    stream: &mut HttpStream,
    head: request::Parts,
    id: &str,
    connection: &CallerConnection,
) -> AfterRequest {
    let entry = &connection.entry;
    let method = head.method.clone();
    let close = caller::closes_after(state, &head);
    let limits = state.body_limits();
    let framing = match framing_within(&head, &limits) {
        Ok(framing) => framing,
        Err(error) => {
            return refuse_unreadable(state, stream, entry, &method, "", &error).await;
        }
    };
    let awaits_continue = fields::expects_continue(&head);
    let hold = RequestHold::new(state, entry);
    let admitted = match hold.take_head(head::parsed_bytes(&head)) {
        Ok(()) => admit(state, head, framing, hold, connection.from, close, id).await,
        Err(_) => Err(CallerFailure::not_run(NotRunReason::MemoryFull)),
    };
    let mut request = match admitted {
        Ok(request) => request,
        Err(failure) => {
            trace::log_rejected(state, id, &failure);
            // An unread body would be parsed as the next request.
            let close = close || framing != BodyFraming::Empty;
            return send_refusal(stream, entry, &method, &failure, close).await;
        }
    };
    // The head has been copied out of the buffer that it was read into.
    stream.reader.release();
    let mut body = RequestBody::new(framing, limits);
    if awaits_continue && !body.is_read() && stream.reader.buffer.is_empty() {
        let mut line = BytesMut::from(&b"HTTP/1.1 100 Continue\r\n\r\n"[..]);
        if caller::flush_unless_evicted(stream, entry, &mut line).await.is_err() {
            return AfterRequest::Abort;
        }
    }
    if let Err(fault) = receive_start(state, stream, &mut request, &mut body).await {
        return refuse_start(state, stream, &request, fault).await;
    }
    if body.is_read() && !stream.reader.buffer.is_empty() {
        connection.pipeline.note_waiting(&stream.reader.buffer);
    }
    request.is_far_ahead = connection.pipeline.is_far_ahead();
    trace::log_received(state, &request);
    if request.once_key.is_some() && !body.is_read() {
        let message = "an at-most-once request with a key may have a body of at most 65536 bytes";
        let failure = CallerFailure::bad_request(StatusCode::PAYLOAD_TOO_LARGE, message);
        trace::log_rejected(state, id, &failure);
        return send_refusal(stream, entry, &method, &failure, true).await;
    }
    run_and_reply(state, stream, &request, &mut body).await
}

/// Returns the framing of a request's body, unless the body is announced as too large.
fn framing_within(head: &request::Parts, limits: &BodyLimits) -> Result<BodyFraming, HttpError> {
    let framing = framing::of_request(head)?;
    limits.check_length(framing)?;
    Ok(framing)
}

/// Reads the start of the body. Its caller makes room for others meanwhile if it stands still.
async fn receive_start(
    state: &DaemonState,
    stream: &mut HttpStream,
    request: &mut CallerRequest,
    body: &mut RequestBody,
) -> Result<(), StartFault> {
    let (hold, id) = (&request.hold, &request.trace.id);
    let time_left = request.deadline.saturating_sub(state.now());
    hold.entry.enter(ConnectionStage::Receiving);
    let kept = keep_start_until_stop(state, stream, body, hold, id, time_left).await;
    hold.entry.enter(ConnectionStage::Serving);
    request.body_start = body.kept().clone();
    kept
}

/// Refuses a request the start of whose body was not read.
async fn refuse_start(
    state: &DaemonState,
    stream: &mut HttpStream,
    request: &CallerRequest,
    fault: StartFault,
) -> AfterRequest {
    let (entry, method, id) = (&request.hold.entry, &request.method, &request.trace.id);
    match fault {
        StartFault::Unreadable(error) => {
            refuse_unreadable(state, stream, entry, method, id, &error).await
        }
        StartFault::Refused(reason) => {
            let failure = CallerFailure::not_run(reason);
            trace::log_rejected(state, id, &failure);
            send_refusal(stream, entry, method, &failure, true).await
        }
    }
}

/// Runs the attempts at an admitted request and replies to its caller.
async fn run_and_reply(
    state: &Rc<DaemonState>,
    stream: &mut HttpStream,
    request: &CallerRequest,
    body: &mut RequestBody,
) -> AfterRequest {
    let began = state.now();
    request.service.note_request(began);
    let parent = state.host.calls.parent_of(&request.trace.id);
    if parent.as_ref().is_some_and(|parent| parent.repeated) {
        request.service.note_request_as_retry(began);
    }
    let note_failed_call = || {
        if let Some(parent) = &parent {
            parent.note_failed_call();
        }
    };
    let record = |outcome: &str| {
        let elapsed_time = state.now().saturating_sub(began);
        let service = &request.service.entry.name;
        state.route_labels.record(&request.route.name, service, outcome, elapsed_time);
    };
    match attempt::run(state, stream, request, body).await {
        AttemptEnd::Answer(mut exchange, head) => {
            if wire::is_server_error(head.status as u16) {
                note_failed_call();
            }
            let after = answer::relay(state, stream, request, body, &mut exchange, *head).await;
            record(if after == AfterRequest::Abort { "cut-short" } else { "complete" });
            match after {
                AfterRequest::Keep if !body.is_read() => AfterRequest::Close,
                after => after,
            }
        }
        AttemptEnd::Failed(failure) => {
            note_failed_call();
            if let FailureOutcome::NotRun(_) = failure.outcome {
                limits::return_tokens(state, &state.config.active(), request.limit_subject());
            }
            trace::log_failed(state, request, &failure);
            record(failure.outcome.header_value());
            let close = request.close || !body.is_read();
            send_refusal(stream, &request.hold.entry, &request.method, &failure, close).await
        }
        AttemptEnd::BodyUnreadable(error) => {
            note_failed_call();
            let failure = CallerFailure::unreadable_late(&error);
            trace::log_failed(state, request, &failure);
            record(failure.outcome.header_value());
            send_refusal(stream, &request.hold.entry, &request.method, &failure, true).await
        }
        AttemptEnd::CallerGone => {
            trace::log_caller_gone(state, request);
            record("caller-gone");
            AfterRequest::Abort
        }
    }
}

async fn refuse_unreadable(
    state: &DaemonState,
    stream: &mut HttpStream,
    entry: &ConnectionEntry,
    method: &Method,
    id: &str,
    error: &HttpError,
) -> AfterRequest {
    match CallerFailure::unreadable(error) {
        Some(failure) => {
            trace::log_rejected(state, id, &failure);
            send_refusal(stream, entry, method, &failure, true).await
        }
        None => AfterRequest::Abort,
    }
}

async fn send_refusal(
    stream: &mut HttpStream,
    entry: &ConnectionEntry,
    method: &Method,
    failure: &CallerFailure,
    close: bool,
) -> AfterRequest {
    metrics::count_failure(failure.outcome);
    let mut buffer = BytesMut::new();
    failure.put(&mut buffer, method, close);
    match caller::flush_unless_evicted(stream, entry, &mut buffer).await {
        Ok(()) if close => AfterRequest::Close,
        Ok(()) => AfterRequest::Keep,
        Err(_) => AfterRequest::Abort,
    }
}

/// `StartFault` is why the start of a body was not read.
enum StartFault {
    /// The body can't be read.
    Unreadable(HttpError),
    /// The request was refused before its body had arrived.
    Refused(NotRunReason),
}

impl From<KeepError> for StartFault {
    fn from(error: KeepError) -> Self {
        match error {
            KeepError::Unreadable { source } => Self::Unreadable(source),
            KeepError::Full { .. } => Self::Refused(NotRunReason::MemoryFull),
        }
    }
}

/// Reads and keeps the start of the body, unless the connection is to make room for others, or the
/// daemon shuts down and no longer admits the request: a body that doesn't arrive would delay the
/// shutdown until the end of the longest drain.
async fn keep_start_until_stop(
    state: &DaemonState,
    stream: &mut HttpStream,
    body: &mut RequestBody,
    hold: &RequestHold,
    id: &str,
    time_left: Duration,
) -> Result<(), StartFault> {
    let mut reading = std::pin::pin!(body.keep_start(state, stream, hold, time_left).fuse());
    let mut stopping = std::pin::pin!(wait_until_stop_refuses(state, id).fuse());
    let mut evicted = std::pin::pin!(hold.entry.evicted().fuse());
    select_biased! {
        read = reading => read.map_err(StartFault::from),
        () = stopping => Err(StartFault::Refused(NotRunReason::Draining)),
        () = evicted => Err(StartFault::Refused(NotRunReason::MemoryFull)),
    }
}

/// Waits until the daemon shuts down and no longer admits this request.
async fn wait_until_stop_refuses(state: &DaemonState, id: &str) {
    state.stop.closing.raised().await;
    if stop::admits_request(state, id) {
        future::pending().await
    }
}

/// Checks a request against the configuration and the limits.
async fn admit(
    state: &Rc<DaemonState>,
    mut head: request::Parts,
    framing: BodyFraming,
    hold: RequestHold,
    from: SocketAddr,
    close: bool,
    id: &str,
) -> Result<CallerRequest, CallerFailure> {
    if !stop::admits_request(state, id) {
        return Err(CallerFailure::not_run(NotRunReason::Draining));
    }
    if !state.config.is_loaded() {
        return Err(CallerFailure::not_run(NotRunReason::NoConfiguration));
    }
    let host = target::caller_host(&head)?;
    let query = TargetQuery { head: &head, host: &host, id };
    let (active, target) = target::resolve(state, &query).await?;
    let RequestTarget { route, caller } = target;
    let once_key = once_key(&route, &head)?;
    let service = state.services.choose_service(&route);
    let subject =
        LimitSubject { organisation: caller.limited_organisation(), route: &route.name, service };
    limits::admit(state, &active, subject).await.map_err(|refusal| CallerFailure {
        retry_after: Some(refusal.wait),
        message: refusal.message,
        ..CallerFailure::not_run(NotRunReason::Limited)
    })?;
    let service = state
        .services
        .get(state, &active, service)
        .ok_or_else(|| CallerFailure::not_run(NotRunReason::NoUpstream))?;
    let timeout = caller_timeout(state, &route, &head)?;
    let now = state.now();
    let objective = route.rule.objective_ms;
    let objective = (objective > 0).then(|| now + Duration::from_millis(objective.into()));
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    prepare_backend_fields(state, &mut head, &host, from);
    set_organisation(state, &mut head.headers, caller.organisation.as_deref());
    let field_lines = wire::field_lines(&head.headers);
    hold.shrink_head(HEAD_COPIES * (field_lines.len() + target.len()) as u64);
    Ok(CallerRequest {
        route,
        service,
        method: head.method,
        target,
        version: head.version,
        field_lines,
        caller,
        revision: active.revision,
        once_key,
        deadline: stop::bounded_deadline(state, now + timeout),
        objective,
        framing,
        body_start: Bytes::new(),
        close,
        is_far_ahead: false,
        hold,
        trace: RequestTrace::start(state, id.to_owned()),
        fingerprint: OnceCell::new(),
    })
}

/// Returns the id that identifies a request in the logs: the id that the caller sent, else an id
/// that this daemon assigns.
pub fn id_of(state: &DaemonState, head: &request::Parts) -> String {
    let default_name = fields::REQUEST_ID;
    let name = state.fields.request.as_ref().unwrap_or(&default_name);
    match head.headers.get(name).and_then(|value| value.to_str().ok()) {
        Some(id) => id.chars().take(REQUEST_ID_MAX).collect(),
        None => {
            let request_number = state.requests.replace(state.requests.get() + 1);
            format!("{}-{:x}-{request_number}", state.options.host, state.identity.incarnation)
        }
    }
}

fn once_key(route: &RouteEntry, head: &request::Parts) -> Result<Option<String>, CallerFailure> {
    if route.rule.mode != WorkMode::Once {
        return Ok(None);
    }
    let mut values = head.headers.get_all(fields::IDEMPOTENCY_KEY).iter();
    let value = match values.next() {
        Some(value) => value,
        None => return Ok(None),
    };
    match value.to_str() {
        Ok(key) if (1..=ONCE_KEY_MAX).contains(&key.len()) && values.next().is_none() => {
            Ok(Some(key.to_owned()))
        }
        _ => {
            let message = "there must be one Idempotency-Key field, of 1 to 256 characters";
            Err(CallerFailure::bad_request(StatusCode::BAD_REQUEST, message))
        }
    }
}

/// Returns the timeout of a request: the timeout of the route, or a shorter timeout that the caller
/// asks for.
fn caller_timeout(
    state: &DaemonState,
    route: &RouteEntry,
    head: &request::Parts,
) -> Result<Duration, CallerFailure> {
    let route_timeout = Duration::from_millis(route.rule.timeout_ms);
    let name = &state.fields.deadline;
    let value = match head.headers.get(name) {
        Some(value) => value,
        None => return Ok(route_timeout),
    };
    let requested_millis = value.to_str().ok().and_then(|text| text.parse().ok());
    match requested_millis {
        Some(millis) => Ok(route_timeout.min(Duration::from_millis(millis))),
        None => {
            let message = format!("{name} must be a number of milliseconds");
            Err(CallerFailure::bad_request(StatusCode::BAD_REQUEST, message))
        }
    }
}

/// Removes the caller's key, and sets the organisation field for the backend server to the
/// identified organisation, whatever the caller claims.
fn set_organisation(state: &DaemonState, headers: &mut HeaderMap, organisation: Option<&str>) {
    headers.remove(&state.fields.api_key);
    headers.remove(&state.fields.organisation);
    let value = organisation.and_then(|name| HeaderValue::from_str(name).ok());
    if let Some(value) = value {
        headers.insert(&state.fields.organisation, value);
    }
}

/// Removes the fields that are not meant for the backend server, and adds the fields that say where
/// the request came from.
fn prepare_backend_fields(
    state: &DaemonState,
    head: &mut request::Parts,
    host: &str,
    from: SocketAddr,
) {
    let headers = &mut head.headers;
    fields::remove_hop_fields(headers);
    headers.remove(&state.fields.deadline);
    if let Some(name) = &state.fields.expected_server {
        headers.remove(name);
    }
    if let Some(name) = &state.fields.caller_service {
        headers.remove(name);
        let service = state.own_service().and_then(|text| HeaderValue::from_str(&text).ok());
        if let Some(service) = service {
            headers.insert(name, service);
        }
    }
    if head.uri.authority().is_some() || !headers.contains_key(header::HOST) {
        if let Ok(value) = HeaderValue::from_str(host) {
            headers.insert(header::HOST, value);
        }
    }
    if !state.options.forwarded {
        return;
    }
    let address = from.ip().to_string();
    let address_chain =
        match headers.get(fields::FORWARDED_FOR).and_then(|value| value.to_str().ok()) {
            Some(earlier_addresses) => format!("{earlier_addresses}, {address}"),
            None => address,
        };
    let mut set_field = |name, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    set_field(fields::FORWARDED_FOR, &address_chain);
    set_field(fields::FORWARDED_PROTO, "http");
    set_field(fields::FORWARDED_HOST, host);
}
