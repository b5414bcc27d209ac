// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Replies to callers whose requests got no complete answer.

use std::time::Duration;

use basaltarch_core::outcome::{FailureOutcome, NotRunReason, UnknownReason};
use basaltarch_http::errors::HttpError;
use basaltarch_http::fields;
use basaltarch_http::writer;
use bytes::BytesMut;
use http::{header, Method, StatusCode};

/// Shortest wait in a `Retry-After` field, whose value is in whole seconds (RFC 9110).
const RETRY_AFTER_MIN_SECONDS: u64 = 1;

/// Challenge sent with status 401 to a caller without a known key; RFC 9110 requires a challenge
/// with this status.
const AUTH_CHALLENGE: &str = "ApiKey";

/// `CallerFailure` is the reply that a caller gets in place of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerFailure {
    /// Status of the reply.
    pub status: StatusCode,
    /// Outcome of the exchange.
    pub outcome: FailureOutcome,
    /// Time after which the caller may retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Human-readable message.
    pub message: String,
    /// Methods that the route serves, if the request was refused for its method.
    pub allow: Option<String>,
}

impl CallerFailure {
    /// Builds the reply for an exchange that ended with `outcome`.
    pub fn new(outcome: FailureOutcome) -> Self {
        Self {
            status: status_of(outcome),
            outcome,
            retry_after: retry_after_of(outcome),
            message: outcome.to_string(),
            allow: None,
        }
    }

    /// Builds the reply for a request that was not run.
    pub fn not_run(reason: NotRunReason) -> Self {
        Self::new(FailureOutcome::NotRun(reason))
    }

    /// Builds the reply for an invalid request.
    pub fn bad_request(status: StatusCode, message: impl ToString) -> Self {
        Self { status, message: message.to_string(), ..Self::not_run(NotRunReason::BadRequest) }
    }

    /// Builds the reply for a request that can't be parsed, if a reply can still be sent to the
    /// caller.
    pub fn unreadable(error: &HttpError) -> Option<Self> {
        let status = error.status()?;
        Some(Self::bad_request(status, error))
    }

    /// Builds the reply for a request whose body turned out to be unreadable while the request ran.
    pub fn unreadable_late(error: &HttpError) -> Self {
        let outcome = FailureOutcome::Unknown(UnknownReason::BodyUnreadable);
        let status = error.status().unwrap_or(StatusCode::BAD_REQUEST);
        Self { status, message: error.to_string(), ..Self::new(outcome) }
    }

    /// Writes the whole reply to `buffer`. The reply to a `HEAD` request has no body.
    pub fn put(&self, buffer: &mut BytesMut, method: &Method, close: bool) {
        let body = format!("{}\n", self.message);
        writer::put_status_line(buffer, self.status);
        let mut put = |name: header::HeaderName, value: &str| {
            writer::put_field(buffer, name.as_str().as_bytes(), value.as_bytes());
        };
        put(fields::OUTCOME, self.outcome.header_value());
        put(fields::REASON, self.outcome.reason());
        put(fields::PROXY_STATUS, &self.proxy_status());
        put(header::CONTENT_TYPE, "text/plain; charset=utf-8");
        put(header::CONTENT_LENGTH, &body.len().to_string());
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil() as u64;
            put(header::RETRY_AFTER, &seconds.max(RETRY_AFTER_MIN_SECONDS).to_string());
        }
        if let Some(allow) = &self.allow {
            put(header::ALLOW, allow);
        }
        if self.status == StatusCode::UNAUTHORIZED {
            put(header::WWW_AUTHENTICATE, AUTH_CHALLENGE);
        }
        if close {
            put(header::CONNECTION, "close");
        }
        buffer.extend_from_slice(b"\r\n");
        if method != Method::HEAD {
            buffer.extend_from_slice(body.as_bytes());
        }
    }

    /// Returns the value of `Proxy-Status` with an error type of RFC 9209 section 2.3.
    fn proxy_status(&self) -> String {
        let error = match self.outcome {
            FailureOutcome::NotRun(reason) => match reason {
                NotRunReason::BadRequest | NotRunReason::KeyReused => "http_request_error",
                NotRunReason::NoRoute => "destination_not_found",
                NotRunReason::Limited | NotRunReason::CrashesServers | NotRunReason::KeyUnknown => {
                    "http_request_denied"
                }
                NotRunReason::ConnectFailed => "connection_refused",
                NotRunReason::DeadlinePassed => "connection_timeout",
                NotRunReason::NoConfiguration
                | NotRunReason::MemoryFull
                | NotRunReason::ConfigurationUnsure
                | NotRunReason::LedgerUnavailable => "proxy_internal_error",
                _ => "destination_unavailable",
            },
            FailureOutcome::Unknown(reason) => match reason {
                UnknownReason::TimedOut => "http_response_timeout",
                UnknownReason::AnswerBroken => "http_response_incomplete",
                UnknownReason::AlreadyStarted => "http_request_denied",
                _ => "connection_terminated",
            },
        };
        format!(
            "basaltarch; error={error}; details=\"{} {}\"",
            self.outcome.header_value(),
            self.outcome.reason()
        )
    }
}

fn status_of(outcome: FailureOutcome) -> StatusCode {
    match outcome {
        FailureOutcome::NotRun(reason) => match reason {
            NotRunReason::NoRoute => StatusCode::NOT_FOUND,
            NotRunReason::Limited => StatusCode::TOO_MANY_REQUESTS,
            NotRunReason::BadRequest => StatusCode::BAD_REQUEST,
            NotRunReason::KeyUnknown => StatusCode::UNAUTHORIZED,
            NotRunReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
        FailureOutcome::Unknown(reason) => match reason {
            UnknownReason::TimedOut
            | UnknownReason::DaemonStopped
            | UnknownReason::CallerStalled => StatusCode::GATEWAY_TIMEOUT,
            UnknownReason::AlreadyStarted => StatusCode::CONFLICT,
            _ => StatusCode::BAD_GATEWAY,
        },
    }
}

fn retry_after_of(outcome: FailureOutcome) -> Option<Duration> {
    let is_unavailable = status_of(outcome) == StatusCode::SERVICE_UNAVAILABLE;
    is_unavailable.then(|| Duration::from_secs(RETRY_AFTER_MIN_SECONDS))
}
