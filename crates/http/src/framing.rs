// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Message framing by the rules of RFC 9112 section 6; an ambiguous length is an error.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{request, response, HeaderMap, Method, StatusCode, Version};

use crate::errors::HttpError;

/// `BodyFraming` says where a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the body length in the form that daemons exchange: -1 if the length is not known in
    /// advance.
    pub fn wire_length(self) -> i64 {
        match self {
            Self::Empty => 0,
            Self::Length(bytes) => bytes as i64,
            Self::Chunked | Self::UntilClose => -1,
        }
    }
}

/// Returns the framing of a request's body.
pub fn of_request(head: &request::Parts) -> Result<BodyFraming, HttpError> {
    if head.headers.contains_key(TRANSFER_ENCODING) {
        if head.version == Version::HTTP_10 {
            return Err(HttpError::BadLength { message: "Transfer-Encoding in HTTP/1.0" });
        }
        require_chunked(&head.headers)?;
        return Ok(BodyFraming::Chunked);
    }
    match content_length(&head.headers)? {
        None | Some(0) => Ok(BodyFraming::Empty),
        Some(bytes) => Ok(BodyFraming::Length(bytes)),
    }
}

/// Returns the framing of the body of a response to `method`.
pub fn of_response(head: &response::Parts, method: &Method) -> Result<BodyFraming, HttpError> {
    if never_has_body(head.status) || method == Method::HEAD {
        return Ok(BodyFraming::Empty);
    }
    if head.headers.contains_key(TRANSFER_ENCODING) {
        require_chunked(&head.headers)?;
        return Ok(BodyFraming::Chunked);
    }
    match content_length(&head.headers)? {
        Some(0) => Ok(BodyFraming::Empty),
        Some(bytes) => Ok(BodyFraming::Length(bytes)),
        None => Ok(BodyFraming::UntilClose),
    }
}

/// Returns whether a response with this status never has a body.
pub fn never_has_body(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

fn require_chunked(headers: &HeaderMap) -> Result<(), HttpError> {
    if headers.contains_key(CONTENT_LENGTH) {
        return Err(HttpError::BadLength { message: "both Content-Length and Transfer-Encoding" });
    }
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let value = values.next().map(|value| value.as_bytes());
    let is_chunked = value.is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"));
    if is_chunked && values.next().is_none() {
        return Ok(());
    }
    Err(HttpError::UnknownCoding)
}

/// Reads `Content-Length`; a repeated field is an error, even with equal values.
pub fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HttpError> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let value = match values.next() {
        Some(value) => value.as_bytes(),
        None => return Ok(None),
    };
    if values.next().is_some() {
        return Err(HttpError::BadLength { message: "more than one Content-Length" });
    }
    let is_all_digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(value).ok().and_then(|text| text.parse::<u64>().ok());
    match parsed {
        Some(bytes) if is_all_digits && bytes <= i64::MAX as u64 => Ok(Some(bytes)),
        _ => Err(HttpError::BadLength { message: "Content-Length is not a number" }),
    }
}
