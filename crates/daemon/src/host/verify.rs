// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks that the head of a response belongs to the request that was sent.

use basaltarch_http::fields::ExchangeFields;
use http::{header, response, HeaderMap, StatusCode};

use crate::wire;

/// `AnswerVerdict` is the classification of a response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The response to the request.
    Matching,
    /// The response to an earlier request on the same connection; the expected response follows.
    Surplus,
    /// The backend server's shed notice, which says that the server did not run the request.
    Shed,
    /// Another backend server listens at this address and did not run the request.
    Moved,
    /// A response that must not reach a caller.
    Invalid,
}

/// Classifies the head of a response to the request whose field lines are `request`.
pub fn classify(fields: &ExchangeFields, request: &[u8], head: &response::Parts) -> AnswerVerdict {
    if let Some(verdict) = compare_ids(fields, request, head) {
        return verdict;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST && fields.expected_server.is_some() {
        return AnswerVerdict::Moved;
    }
    if head.headers.contains_key(&fields.shed) && allows_shed(fields, head.status) {
        return AnswerVerdict::Shed;
    }
    // Callers take a status for which `implies_not_run` holds as proof that the request did not
    // run, but without a shed notice the server may have run the request.
    if fields.has_not_run_statuses && implies_not_run(head.status) {
        return AnswerVerdict::Invalid;
    }
    let unstamped = fields.stamp.as_ref().is_some_and(|name| !head.headers.contains_key(name));
    if unstamped && head.status.is_success() || has_unaccepted_coding(request, &head.headers) {
        return AnswerVerdict::Invalid;
    }
    AnswerVerdict::Matching
}

/// Compares the ids of request and response; returns `None` if the ids match or are not in use.
fn compare_ids(
    fields: &ExchangeFields,
    request: &[u8],
    head: &response::Parts,
) -> Option<AnswerVerdict> {
    let name = fields.request.as_ref()?;
    let expected = wire::field_value(request, name.as_str())?;
    match head.headers.get(name) {
        Some(value) if value.as_bytes() == expected => None,
        Some(_) => Some(AnswerVerdict::Surplus),
        // An error response may lack the id, since a server may refuse a request before reading the
        // id.
        None if head.status.is_success() => Some(AnswerVerdict::Invalid),
        None => None,
    }
}

/// Says whether a response with `status` may carry a shed notice.
fn allows_shed(fields: &ExchangeFields, status: StatusCode) -> bool {
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    is_unavailable
        || fields.has_not_run_statuses
            && (implies_not_run(status) || status == StatusCode::BAD_REQUEST)
}

/// Says whether callers may take `status` as proof that the request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Says whether the body has a content coding that the request did not accept.
fn has_unaccepted_coding(request: &[u8], headers: &HeaderMap) -> bool {
    let coding = match headers.get(header::CONTENT_ENCODING) {
        Some(coding) => coding.as_bytes().to_ascii_lowercase(),
        None => return false,
    };
    let accepted = wire::field_value(request, header::ACCEPT_ENCODING.as_str()).unwrap_or_default();
    let accepted = accepted.to_ascii_lowercase();
    let is_accepted = accepted.split(|byte| *byte == b',').any(|each| {
        let name = each.split(|byte| *byte == b';').next().unwrap_or_default();
        name.trim_ascii() == coding || name.trim_ascii() == b"*"
    });
    coding != b"identity" && !is_accepted
}
