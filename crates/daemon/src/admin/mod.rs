// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The admin role: serves operators the resource API, watches, the audit trail, status and metrics.

pub mod changes;
pub mod gauges;
pub mod metrics_page;
pub mod read;
pub mod status;
pub mod suspects;
pub mod watch;

use std::rc::Rc;

use basaltarch_core::resources::ResourceKind;
use basaltarch_http::framing::{self, BodyFraming};
use basaltarch_http::server::{
    self, HeadCheck, ServerLimits, ServerPolicy, ServerReply, ServerRequest,
};
use basaltarch_options::ConfigSource;
use basaltarch_telemetry::metrics;
use http::{header, request, Method, StatusCode};
use monoio::net::TcpListener;
use serde_json::json;

use crate::state::DaemonState;

/// Paths that are answered without a token.
const PUBLIC_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];
/// Maximum number of operators' connections: people, scripts and watches.
const CONNECTIONS_MAX: usize = 512;
/// Largest size of a request's body in bytes: enough for one transaction of 20,000 resources.
const BODY_BYTES_MAX: u64 = 16 << 20;

/// Accepts operators' connections for as long as the daemon runs.
pub async fn accept(state: Rc<DaemonState>, listener: TcpListener) {
    let policy = ServerPolicy {
        limits: ServerLimits::with_body_bytes(BODY_BYTES_MAX),
        account: state.account.clone(),
        refuse_head: refuse_strangers(&state),
    };
    let handle_request = move |request| {
        let state = state.clone();
        async move { serve_request(&state, &request).await }
    };
    server::serve_all(listener, CONNECTIONS_MAX, policy, handle_request).await;
}

/// Returns the check by which a request without a valid token is refused before its body is read.
fn refuse_strangers(state: &Rc<DaemonState>) -> HeadCheck {
    let state = state.clone();
    Rc::new(move |head| {
        let is_public = PUBLIC_PATHS.contains(&head.uri.path());
        let is_bodiless = framing::of_request(head).is_ok_and(|body| body == BodyFraming::Empty);
        let may_read = is_public && is_bodiless || is_operator(&state, head);
        (!may_read).then(unauthorized)
    })
}

/// Builds the reply to a request without a valid token.
fn unauthorized() -> ServerReply {
    let message = "a valid admin token is required as the bearer token";
    problem(StatusCode::UNAUTHORIZED, message).with_field(header::WWW_AUTHENTICATE, "Bearer")
}

async fn serve_request(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    match request.path() {
        "/healthz" => return ServerReply::text(StatusCode::OK, "ok\n"),
        "/readyz" => return ready(state),
        "/metrics" => {
            let text = state.metrics_page.get(|| {
                gauges::refresh(state);
                metrics::render()
            });
            return ServerReply::whole(StatusCode::OK, "text/plain; version=0.0.4", text);
        }
        _ => {}
    }
    if !is_operator(state, &request.head) {
        return unauthorized();
    }
    serve_api(state, request).await
}

async fn serve_api(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    let path = match request.path().strip_prefix("/v1/") {
        Some(path) => path.to_owned(),
        None => return problem(StatusCode::NOT_FOUND, "paths begin with /v1/"),
    };
    let method = request.head.method.clone();
    if let Some(fingerprint) = path.strip_prefix("suspects/") {
        return match method {
            Method::DELETE => suspects::lift(state, request, fingerprint),
            _ => method_not_allowed("DELETE"),
        };
    }
    let is_write = method != Method::GET && path != "drain";
    if is_write && state.options.source == ConfigSource::Document {
        let message = "the configuration comes from the operator's document; change it there";
        let reply = problem(StatusCode::METHOD_NOT_ALLOWED, message);
        return reply.with_field(header::ALLOW, "GET");
    }
    // A shutdown waits for changes in progress, so that operators get the results of their changes.
    let _counted = is_write.then(|| state.stop.count_in_flight());
    match (method.as_str(), path.as_str()) {
        ("GET", "status") => status::report_fleet(state),
        ("GET", "health") => status::health(state, request.query("service")),
        ("GET", "suspects") => suspects::list(state),
        ("GET", "audit") => read::read_audit_trail(state, request).await,
        ("GET", "watch") => watch::start(state, request, None),
        ("POST", "apply") => changes::apply(state, request).await,
        ("POST", "drain") => {
            state.stop.asked.raise();
            ServerReply::json(StatusCode::ACCEPTED, &json!({"draining": state.options.host}))
        }
        (_, path) => match path.split_once('/') {
            Some((kind, name)) => serve_resource(state, request, kind, name).await,
            None => serve_collection(state, request, path),
        },
    }
}

fn serve_collection(state: &Rc<DaemonState>, request: &ServerRequest, kind: &str) -> ServerReply {
    let kind = match ResourceKind::parse(kind) {
        Ok(kind) => kind,
        Err(error) => return problem(StatusCode::NOT_FOUND, error),
    };
    if request.head.method != Method::GET {
        return method_not_allowed("GET");
    }
    if request.query("watch").is_some() {
        return watch::start(state, request, Some(kind));
    }
    read::list(state, kind)
}

async fn serve_resource(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    kind: &str,
    name: &str,
) -> ServerReply {
    let kind = match ResourceKind::parse(kind) {
        Ok(kind) => kind,
        Err(error) => return problem(StatusCode::NOT_FOUND, error),
    };
    match request.head.method.as_str() {
        "GET" => read::read_one(state, kind, name),
        "PUT" => changes::put(state, request, kind, name).await,
        "DELETE" => changes::delete(state, request, kind, name).await,
        _ => method_not_allowed("GET, PUT, DELETE"),
    }
}

fn method_not_allowed(allow: &str) -> ServerReply {
    let reply = problem(StatusCode::METHOD_NOT_ALLOWED, format!("allowed: {allow}"));
    reply.with_field(header::ALLOW, allow)
}

/// Builds the reply to a readiness check: status 200 if the daemon accepts callers' requests, else
/// 503.
pub fn ready(state: &DaemonState) -> ServerReply {
    if state.is_stopping() {
        return ServerReply::text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if !state.config.is_loaded() {
        let message = "waits for a configuration: neither the store nor a peer has answered\n";
        return ServerReply::text(StatusCode::SERVICE_UNAVAILABLE, message);
    }
    ServerReply::text(StatusCode::OK, "ready\n")
}

fn is_operator(state: &DaemonState, head: &request::Parts) -> bool {
    let value = head.headers.get(header::AUTHORIZATION);
    let token =
        value.and_then(|value| value.to_str().ok()).and_then(|value| value.strip_prefix("Bearer "));
    token.is_some_and(|token| tokens_match(token.as_bytes(), state.options.admin_token.as_bytes()))
}

/// Compares two tokens in a time that does not depend on their contents, so that timing does not
/// reveal a matching prefix.
fn tokens_match(given: &[u8], expected: &[u8]) -> bool {
    let differences = given.iter().zip(expected).fold(0, |sum, (left, right)| sum | (left ^ right));
    given.len() == expected.len() && differences == 0
}

/// Builds an error reply with a JSON body that holds the message.
pub fn problem(status: StatusCode, message: impl ToString) -> ServerReply {
    ServerReply::json(status, &json!({ "error": message.to_string() }))
}
