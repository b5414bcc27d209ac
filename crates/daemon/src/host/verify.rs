// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks that the head of an answer belongs to the request that was sent.

use basaltarch_http::fields::ExchangeFields;
use http::{header, response, HeaderMap, StatusCode};

use crate::wire;

/// `AnswerVerdict` says what the head of an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The answer to the request.
    Ours,
    /// The answer to an earlier request on the same connection; the right one follows.
    Surplus,
    /// The backend server's word that it did not run the request.
    Shed,
    /// Another backend server listens here; it did not run the request.
    Moved,
    /// No answer that a caller may get.
    Wrong,
}

/// Judges the head of an answer to the request whose field lines are `request`.
pub fn judge(fields: &ExchangeFields, request: &[u8], head: &response::Parts) -> AnswerVerdict {
    if let Some(verdict) = compare_ids(fields, request, head) {
        return verdict;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST && fields.expected_server.is_some() {
        return AnswerVerdict::Moved;
    }
    if head.headers.contains_key(&fields.shed) && may_shed(fields, head.status) {
        return AnswerVerdict::Shed;
    }
    // Callers take these statuses as word that nothing ran, which this server did not give.
    if fields.promises && is_promise(head.status) {
        return AnswerVerdict::Wrong;
    }
    let unstamped = fields.stamp.as_ref().is_some_and(|name| !head.headers.contains_key(name));
    if unstamped && head.status.is_success() || is_encoded_unasked(request, &head.headers) {
        return AnswerVerdict::Wrong;
    }
    AnswerVerdict::Ours
}

/// Compares the ids of request and answer; gives nothing if they are alike or not in use.
fn compare_ids(
    fields: &ExchangeFields,
    request: &[u8],
    head: &response::Parts,
) -> Option<AnswerVerdict> {
    let name = fields.request.as_ref()?;
    let wanted = wire::field_value(request, name.as_str())?;
    match head.headers.get(name) {
        Some(value) if value.as_bytes() == wanted => None,
        Some(_) => Some(AnswerVerdict::Surplus),
        // A refusal may come before the request was read as far as its id.
        None if head.status.is_success() => Some(AnswerVerdict::Wrong),
        None => None,
    }
}

fn may_shed(fields: &ExchangeFields, status: StatusCode) -> bool {
    let full = status == StatusCode::SERVICE_UNAVAILABLE;
    full || fields.promises && (is_promise(status) || status == StatusCode::BAD_REQUEST)
}

fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Says whether the body is encoded in a way that the request did not ask for.
fn is_encoded_unasked(request: &[u8], headers: &HeaderMap) -> bool {
    let coding = match headers.get(header::CONTENT_ENCODING) {
        Some(coding) => coding.as_bytes().to_ascii_lowercase(),
        None => return false,
    };
    let accepted = wire::field_value(request, header::ACCEPT_ENCODING.as_str()).unwrap_or_default();
    let accepted = accepted.to_ascii_lowercase();
    let is_asked = accepted.split(|byte| *byte == b',').any(|each| {
        let name = each.split(|byte| *byte == b';').next().unwrap_or_default();
        name.trim_ascii() == coding || name.trim_ascii() == b"*"
    });
    coding != b"identity" && !is_asked
}
