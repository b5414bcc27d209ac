// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Hop-by-hop header fields, and the header fields that basaltarch adds.

use std::time::Duration;

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{request, HeaderMap, Version};

/// Outcome of an exchange without a complete response, `not-run` or `unknown`, in the reply to the
/// caller.
pub const OUTCOME: HeaderName = HeaderName::from_static("basaltarch-outcome");
/// Reason for the outcome of an exchange without a complete response.
pub const REASON: HeaderName = HeaderName::from_static("basaltarch-reason");
/// How a proxy handled the request (RFC 9209).
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");
/// Id of a request in the logs, unless the deployment uses a field of another name.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds until the caller's deadline; forwarded to backend servers.
pub const DEADLINE: HeaderName = HeaderName::from_static("basaltarch-deadline-ms");
/// API key of the caller, which identifies its organisation. The daemon that reads the key does not
/// forward the key.
pub const API_KEY: HeaderName = HeaderName::from_static("basaltarch-key");
/// Organisation of the caller, as sent to backend servers.
pub const ORGANISATION: HeaderName = HeaderName::from_static("basaltarch-organisation");
/// Key by which repeated attempts at the same request are recognised.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Shed notice: a backend server refused the request before starting it.
pub const SHED: HeaderName = HeaderName::from_static("basaltarch-shed");
/// Drain notice: a backend server is about to leave.
pub const DRAIN: HeaderName = HeaderName::from_static("basaltarch-drain");
/// Requests per second that a backend server takes from all hosts together, as a decimal number. A
/// response without the field says that the server has no such limit.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("basaltarch-rate-limit");
/// Addresses that the request passed through.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// Protocol that the caller used.
pub const FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
/// Host that the caller requested.
pub const FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");

/// `ExchangeFields` is the set of names of the header fields that daemons and backend servers use
/// in an exchange. A deployment whose servers use other names supplies its own names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeFields {
    /// Id of one attempt of a caller, which the response repeats. If no field is named, the ids of
    /// request and response are not compared.
    pub request: Option<HeaderName>,
    /// Milliseconds until the caller's deadline.
    pub deadline: HeaderName,
    /// Proof that a backend server made the response, on each of its responses. If no field is
    /// named, no proof is required.
    pub stamp: Option<HeaderName>,
    /// The only incarnation of a backend server that may run the request.
    pub expected_server: Option<HeaderName>,
    /// Name of the incarnation that made the response. If no field is named, responses don't say
    /// which server made them.
    pub answering_server: Option<HeaderName>,
    /// Shed notice: a backend server did not run the request.
    pub shed: HeaderName,
    /// Drain notice: a backend server is about to leave.
    pub drain: HeaderName,
    /// Whether a backend server that sent a drain notice never takes requests again under its name,
    /// because the name is that of one incarnation.
    pub is_drain_final: bool,
    /// Requests per second that a backend server takes from all hosts together.
    pub rate_limit: HeaderName,
    /// Service of the host where the request originated.
    pub caller_service: Option<HeaderName>,
    /// API key of the caller.
    pub api_key: HeaderName,
    /// Organisation that holds the caller's key, for backend servers.
    pub organisation: HeaderName,
    /// Whether callers take the statuses 408, 421, 429 and 503 as a promise that the request did
    /// not run, so that a backend server's own response with such a status and no shed notice must
    /// not reach callers.
    pub has_not_run_statuses: bool,
}

impl Default for ExchangeFields {
    fn default() -> Self {
        Self {
            request: None,
            deadline: DEADLINE,
            stamp: None,
            expected_server: None,
            answering_server: None,
            shed: SHED,
            drain: DRAIN,
            is_drain_final: false,
            rate_limit: RATE_LIMIT,
            caller_service: None,
            api_key: API_KEY,
            organisation: ORGANISATION,
            has_not_run_statuses: false,
        }
    }
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Hop-by-hop fields (RFC 9110 section 7.6.1), and `Content-Length`, which is written again on each
/// hop.
const HOP_FIELDS: [HeaderName; 11] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
];

/// Removes the hop-by-hop fields, including the fields that `Connection` lists.
pub fn remove_hop_fields(headers: &mut HeaderMap) {
    let listed_names: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed_names {
        headers.remove(name);
    }
    for name in &HOP_FIELDS {
        headers.remove(name);
    }
}

/// Returns whether the connection ends after this message.
pub fn wants_close(version: Version, headers: &HeaderMap) -> bool {
    let has_token = |token: &str| {
        headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|each| each.trim().eq_ignore_ascii_case(token))
    };
    match version {
        Version::HTTP_11 => has_token("close"),
        _ => !has_token("keep-alive"),
    }
}

/// Returns the keep-alive timeout that the peer announces for the idle connection.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    seconds?.trim().parse().ok().map(Duration::from_secs)
}

/// Returns whether the caller waits for `100 Continue` before sending the body.
pub fn expects_continue(head: &request::Parts) -> bool {
    let value = head.headers.get(EXPECT).map(|value| value.as_bytes());
    value.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

/// Returns the text of a field that is expected at most once.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the rate limit, in requests per second, that a response names in the field `name`.
/// Returns `None` if the response names no limit, and the text of the field as the error if the
/// text is not one decimal number.
pub fn rate_limit(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, String> {
    let mut values = headers.get_all(name).iter();
    let text = match values.next() {
        Some(value) => String::from_utf8_lossy(value.as_bytes()),
        None => return Ok(None),
    };
    let is_decimal = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let rate = Some(text.trim()).filter(|text| is_decimal(text));
    match (rate.and_then(|text| text.parse::<f64>().ok()), values.next()) {
        (Some(rate), None) if rate.is_finite() => Ok(Some(rate)),
        _ => Err(text.into_owned()),
    }
}

/// Says whether a response carries a notice in the field `name`. Any value but `0` is one: a server
/// that has nothing to notify of leaves the field out.
pub fn has_notice(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get(name).is_some_and(|value| value.as_bytes().trim_ascii() != b"0")
}
