// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Header fields that concern one connection only, and those that basaltarch adds.

use std::time::Duration;

use http::header::{
    HeaderName, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{request, HeaderMap, Version};

/// Outcome of an exchange without a complete answer: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("basaltarch-outcome");
/// Reason of the outcome.
pub const REASON: HeaderName = HeaderName::from_static("basaltarch-reason");
/// What a proxy did with the request (RFC 9209).
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");
/// Id of a request, by which the logs name it, where the deployment has no field of its own.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Milliseconds that the caller still waits; sent on to backend servers.
pub const DEADLINE: HeaderName = HeaderName::from_static("basaltarch-deadline-ms");
/// API key of the caller, by which its organisation is known; it goes no further than the daemon that reads it.
pub const API_KEY: HeaderName = HeaderName::from_static("basaltarch-key");
/// Organisation of the caller, as backend servers are told it.
pub const ORGANISATION: HeaderName = HeaderName::from_static("basaltarch-organisation");
/// Key by which repeated attempts at the same work are known.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// A backend server's word that it refused the work before starting it.
pub const SHED: HeaderName = HeaderName::from_static("basaltarch-shed");
/// A backend server's word that it is leaving.
pub const DRAIN: HeaderName = HeaderName::from_static("basaltarch-drain");
/// Addresses that the request came through.
pub const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// Protocol that the caller used.
pub const FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
/// Host that the caller asked for.
pub const FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");

/// `ExchangeFields` are the names of the fields that daemons and backend servers share about one
/// exchange. A deployment whose servers know other names hands in its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeFields {
    /// Names one attempt of a caller; the answer repeats it. Not compared where there is none.
    pub request: Option<HeaderName>,
    /// Milliseconds that the caller still waits.
    pub deadline: HeaderName,
    /// Stands on every answer that a backend server made. Not asked for where there is none.
    pub stamp: Option<HeaderName>,
    /// Names the only incarnation of a backend server that may run the request.
    pub expected_server: Option<HeaderName>,
    /// A backend server's word that it did not run the request.
    pub shed: HeaderName,
    /// A backend server's word that it is leaving.
    pub drain: HeaderName,
    /// Names the service of the host where the request began.
    pub caller_service: Option<HeaderName>,
    /// API key of the caller.
    pub api_key: HeaderName,
    /// Tells the backend server the organisation that holds the caller's key.
    pub organisation: HeaderName,
    /// Whether callers take the statuses 408, 421, 429 and 503 as word that nothing ran, so that a
    /// backend server's own, given without that word, must not reach them.
    pub promises: bool,
}

impl Default for ExchangeFields {
    fn default() -> Self {
        Self {
            request: None,
            deadline: DEADLINE,
            stamp: None,
            expected_server: None,
            shed: SHED,
            drain: DRAIN,
            caller_service: None,
            api_key: API_KEY,
            organisation: ORGANISATION,
            promises: false,
        }
    }
}

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Fields of one connection (RFC 9110 section 7.6.1); lengths are written anew on each hop.
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

/// Removes the fields of one connection, with those that `Connection` names.
pub fn remove_hop_fields(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_FIELDS {
        headers.remove(name);
    }
}

/// Says whether the connection ends after this message.
pub fn wants_close(version: Version, headers: &HeaderMap) -> bool {
    let has = |token: &str| {
        headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|each| each.trim().eq_ignore_ascii_case(token))
    };
    match version {
        Version::HTTP_11 => has("close"),
        _ => !has("keep-alive"),
    }
}

/// Returns the time for which the other side says it keeps the connection at rest.
pub fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    seconds?.trim().parse().ok().map(Duration::from_secs)
}

/// Says whether the caller waits for leave to send the body.
pub fn expects_continue(head: &request::Parts) -> bool {
    let value = head.headers.get(EXPECT).map(|value| value.as_bytes());
    value.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

/// Returns the text of a field that may stand at most once.
pub fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
