// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of HTTP connections, and the status of the response to each error.

use std::io;

use http::StatusCode;
use snafu::Snafu;

/// `HttpError` says what is wrong with a message or its connection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The peer closed the connection between messages.
    #[snafu(display("the connection was closed"))]
    Closed,
    /// The connection ended within a message.
    #[snafu(display("the message was cut short"))]
    Truncated,
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// Error that the operating system reported.
        source: io::Error,
    },
    /// The peer did not send or accept bytes within the time allowed.
    #[snafu(display("timed out waiting for {what}"))]
    TimedOut {
        /// What was awaited.
        what: &'static str,
    },
    /// The head is larger than allowed.
    #[snafu(display("the head is larger than {allowed} bytes"))]
    HeadTooLarge {
        /// Bytes allowed.
        allowed: usize,
    },
    /// The head has more fields than allowed.
    #[snafu(display("the head has more than {allowed} fields"))]
    TooManyFields {
        /// Fields allowed.
        allowed: usize,
    },
    /// The head is malformed.
    #[snafu(display("the head can't be read: {message}"))]
    BadHead {
        /// What is wrong with the head.
        message: String,
    },
    /// The peer sent more interim (1xx) responses than allowed in front of its response.
    #[snafu(display("more than {allowed} interim responses"))]
    TooManyInterim {
        /// Interim responses allowed.
        allowed: usize,
    },
    /// The length of the body is ambiguous.
    #[snafu(display("the length of the body is ambiguous: {message}"))]
    BadLength {
        /// What is wrong with the length.
        message: &'static str,
    },
    /// The transfer coding is not supported.
    #[snafu(display("the transfer coding is not known; allowed: chunked"))]
    UnknownCoding,
    /// A chunk is malformed.
    #[snafu(display("a chunk of the body can't be read"))]
    BadChunk,
    /// The body is larger than allowed.
    #[snafu(display("the body is larger than {allowed} bytes"))]
    BodyTooLarge {
        /// Bytes allowed.
        allowed: u64,
    },
}

impl HttpError {
    /// Returns the status of the response to this error, if a response can still be sent.
    pub fn status(&self) -> Option<StatusCode> {
        match self {
            Self::Closed | Self::Truncated | Self::Broken { .. } => None,
            Self::TimedOut { .. } => Some(StatusCode::REQUEST_TIMEOUT),
            Self::HeadTooLarge { .. } | Self::TooManyFields { .. } => {
                Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
            }
            Self::BadHead { .. }
            | Self::TooManyInterim { .. }
            | Self::BadLength { .. }
            | Self::BadChunk => Some(StatusCode::BAD_REQUEST),
            Self::UnknownCoding => Some(StatusCode::NOT_IMPLEMENTED),
            Self::BodyTooLarge { .. } => Some(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }
}

/// Builds a [`HttpError::BadHead`].
pub fn bad_head(message: impl ToString) -> HttpError {
    HttpError::BadHead { message: message.to_string() }
}

/// Builds a [`HttpError::Broken`].
pub fn broken(source: io::Error) -> HttpError {
    HttpError::Broken { source }
}
