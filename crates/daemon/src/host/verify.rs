// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks that the head of a response belongs to the request that was sent, and what the response
//! says of that request.
//!
//! A connection may bring bytes that belong to no request. Only a response that is bound to the
//! request can say that the server did not run it, or anything about the server itself. That the
//! request did not run is said by several facts together, which [`ServerRefusal`] asks for.

use basaltarch_core::outcome::NotRunReason;
use basaltarch_http::fields::{self, ExchangeFields};
use http::{header, response, HeaderMap, HeaderValue, StatusCode};

use crate::wire;

/// `ResponseBinding` says which request a response head belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseBinding {
    /// The request that was sent: the response repeats its id. Where ids are not in use, the order
    /// on the connection binds a response to its request (RFC 9112 section 9.3.2).
    Bound,
    /// Another request: the response has another id.
    Foreign,
    /// Possibly none: the response has no id.
    Unnamed,
}

impl ResponseBinding {
    /// Returns the binding of a response head to the request whose field lines are `request`.
    fn of(fields: &ExchangeFields, request: &[u8], head: &response::Parts) -> Self {
        let Some(name) = &fields.request else { return Self::Bound };
        let expected = wire::field_value(request, name.as_str());
        let mut ids = head.headers.get_all(name).iter().peekable();
        match expected {
            _ if ids.peek().is_none() => Self::Unnamed,
            Some(expected) if ids.all(|id| id.as_bytes() == expected) => Self::Bound,
            _ => Self::Foreign,
        }
    }

    /// Returns the name of the binding in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Bound => "same",
            Self::Foreign => "other",
            Self::Unnamed => "missing",
        }
    }
}

/// `AnsweringServer` is which backend server made a response, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnsweringServer {
    /// The server that was asked.
    Asked,
    /// Another server.
    Other,
    /// The response doesn't say.
    Unnamed,
}

impl AnsweringServer {
    /// Returns which server made a response, if the server of this name was asked.
    fn of(fields: &ExchangeFields, asked: &str, head: &response::Parts) -> Self {
        let Some(name) = &fields.answering_server else { return Self::Unnamed };
        let is_asked = |server: &HeaderValue| server.as_bytes() == asked.as_bytes();
        match head.headers.get(name) {
            None => Self::Unnamed,
            Some(_) if head.headers.get_all(name).iter().any(is_asked) => Self::Asked,
            Some(_) => Self::Other,
        }
    }

    /// Returns the name of the server in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Asked => "asked",
            Self::Other => "other",
            Self::Unnamed => "unnamed",
        }
    }
}

/// `ResponseOrigin` says where a response comes from, by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseOrigin {
    /// Request that the response belongs to.
    pub binding: ResponseBinding,
    /// Server that made the response.
    pub server: AnsweringServer,
}

impl ResponseOrigin {
    /// Returns the origin of a response head on the connection along which the request with the
    /// field lines `request` was sent to the server of the name `asked`.
    pub fn of(
        fields: &ExchangeFields,
        request: &[u8],
        asked: &str,
        head: &response::Parts,
    ) -> Self {
        Self {
            binding: ResponseBinding::of(fields, request, head),
            server: AnsweringServer::of(fields, asked, head),
        }
    }
}

/// `ServerRefusal` is the backend server's word that it did not run the request. Nothing else lets
/// the host say "not run" of a request that it has sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerRefusal {
    reason: NotRunReason,
}

impl ServerRefusal {
    /// Returns the refusal that a response of this origin states: it belongs to the request, and
    /// either it has a shed notice and a status that comes with the notice, or another server than
    /// the one that was asked says that the request was misdirected.
    fn of(fields: &ExchangeFields, origin: ResponseOrigin, head: &response::Parts) -> Option<Self> {
        if origin.binding != ResponseBinding::Bound {
            return None;
        }
        let is_noticed = fields::has_notice(&head.headers, &fields.shed);
        let is_misdirected =
            head.status == StatusCode::MISDIRECTED_REQUEST && fields.expected_server.is_some();
        let reason = match origin.server {
            AnsweringServer::Other if is_misdirected => NotRunReason::UnknownUpstream,
            AnsweringServer::Unnamed if is_misdirected && is_noticed => {
                NotRunReason::UnknownUpstream
            }
            _ if is_noticed && comes_with_notice(fields, head.status) => NotRunReason::Shed,
            _ => return None,
        };
        Some(Self { reason })
    }

    /// Returns why the server did not run the request.
    pub fn reason(self) -> NotRunReason {
        self.reason
    }

    /// Says whether another backend server answered in the place of the one that was asked.
    pub fn is_from_another_server(self) -> bool {
        self.reason == NotRunReason::UnknownUpstream
    }
}

/// `AnswerVerdict` is the classification of a response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The response to the request.
    Matching,
    /// A response that belongs to another request or to none; the expected response may follow.
    Surplus,
    /// The response to the request, which says that the request did not run.
    Refused(ServerRefusal),
    /// A response that must not reach a caller.
    Invalid,
}

/// Classifies the head of a response of this origin to the request whose field lines are `request`.
pub fn classify(
    fields: &ExchangeFields,
    request: &[u8],
    head: &response::Parts,
    origin: ResponseOrigin,
) -> AnswerVerdict {
    if let Some(refusal) = ServerRefusal::of(fields, origin, head) {
        return AnswerVerdict::Refused(refusal);
    }
    match origin.binding {
        ResponseBinding::Bound => classify_content(fields, request, head),
        ResponseBinding::Foreign => AnswerVerdict::Surplus,
        ResponseBinding::Unnamed => classify_unnamed(fields, request, head),
    }
}

/// Classifies a response without an id. A server that can't read a request refuses it without its
/// id; any other such response belongs to no request.
fn classify_unnamed(
    fields: &ExchangeFields,
    request: &[u8],
    head: &response::Parts,
) -> AnswerVerdict {
    let has_id = |name| wire::field_value(request, name).is_some();
    let is_named_request = fields.request.as_ref().is_some_and(|name| has_id(name.as_str()));
    match head.status {
        StatusCode::BAD_REQUEST if is_named_request => AnswerVerdict::Invalid,
        _ if is_named_request => AnswerVerdict::Surplus,
        _ => classify_content(fields, request, head),
    }
}

/// Says whether a response has a part of what makes a [`ServerRefusal`].
pub fn resembles_refusal(fields: &ExchangeFields, head: &response::Parts) -> bool {
    implies_not_run(head.status) || fields::has_notice(&head.headers, &fields.shed)
}

/// Classifies a response by whether callers may get it.
fn classify_content(
    fields: &ExchangeFields,
    request: &[u8],
    head: &response::Parts,
) -> AnswerVerdict {
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

/// Says whether a shed notice comes with `status`. Beside any other status it states nothing.
fn comes_with_notice(fields: &ExchangeFields, status: StatusCode) -> bool {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => true,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::MISDIRECTED_REQUEST => {
            fields.has_not_run_statuses
        }
        _ => false,
    }
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
