// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads the heads of requests and responses within limits.

use std::time::{Duration, Instant};

use basaltarch_core::units;
use bytes::{Buf, Bytes, BytesMut};
use http::{request, response, HeaderName, HeaderValue, Method, Request, Uri, Version};
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, ResponseHeadDecoder};

use crate::errors::{self, HttpError};
use crate::reader::{ByteReader, HEAD_READ_BYTES};

/// Maximum number of interim (1xx) responses in front of a final response.
const INTERIM_RESPONSES_MAX: usize = 8;
/// Maximum number of fields of a response; the parser has room for 96.
const RESPONSE_FIELDS_MAX: usize = 64;
/// Number of fields for which room is made at once.
const TYPICAL_FIELDS: usize = 16;
/// Estimated memory in bytes of a parsed field beyond its text: its place in the header map, and the
/// text of its name.
const PARSED_FIELD_BYTES: u64 = 160;

/// `HeadLimits` is the set of limits on the heads that are read.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Maximum size of a head in bytes.
    pub bytes: usize,
    /// Maximum wait for the first byte.
    pub idle: Duration,
    /// Maximum time from the first byte to the end of the head.
    pub time: Duration,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            // Common servers allow 8 to 32 KiB.
            bytes: 16 * units::KIB,
            idle: Duration::from_secs(75),
            time: Duration::from_secs(10),
        }
    }
}

/// Reads the head of a request.
pub async fn read_request<R: AsyncReadRent>(
    reader: &mut ByteReader<R>,
    limits: &HeadLimits,
) -> Result<request::Parts, HttpError> {
    let (head, field_count) = read_head_bytes(reader, limits).await?;
    parse_request(head.freeze(), field_count)
}

/// Returns an estimate of the memory in bytes that a parsed head takes.
pub fn parsed_bytes(head: &request::Parts) -> u64 {
    let lines = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let target = head.uri.path_and_query().map_or(0, |target| target.as_str().len());
    head.headers.len() as u64 * PARSED_FIELD_BYTES + (lines.sum::<usize>() + target) as u64
}

/// Parses the head of a request with this number of fields.
fn parse_request(head: Bytes, field_count: usize) -> Result<request::Parts, HttpError> {
    let mut fields = vec![httparse::EMPTY_HEADER; field_count];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(&head) {
        Ok(status) if status.is_complete() => {}
        Ok(_) => return Err(errors::bad_head("incomplete")),
        Err(error) => return Err(errors::bad_head(error)),
    }
    let (mut parts, ()) = Request::new(()).into_parts();
    let method = parsed.method.unwrap_or_default();
    parts.method = Method::from_bytes(method.as_bytes()).map_err(errors::bad_head)?;
    parts.version = match parsed.version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    if let Some(path) = parsed.path.filter(|path| *path != "/") {
        let target = head.slice_ref(path.as_bytes());
        parts.uri = Uri::from_maybe_shared(target).map_err(errors::bad_head)?;
    }
    parts.headers.reserve(parsed.headers.len().min(TYPICAL_FIELDS));
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(errors::bad_head)?;
        let value = HeaderValue::from_maybe_shared(head.slice_ref(field.value));
        parts.headers.append(name, value.map_err(errors::bad_head)?);
    }
    Ok(parts)
}

/// Reads the head of a response.
pub async fn read_response<R: AsyncReadRent>(
    reader: &mut ByteReader<R>,
    limits: &HeadLimits,
) -> Result<response::Parts, HttpError> {
    let (mut head, field_count) = read_head_bytes(reader, limits).await?;
    if field_count > RESPONSE_FIELDS_MAX {
        return Err(HttpError::TooManyFields { allowed: RESPONSE_FIELDS_MAX });
    }
    require_complete_head(ResponseHeadDecoder.decode(&mut head))
}

/// Reads the head of a final response: the interim (1xx) responses in front of it are passed over
/// (RFC 9110 section 15.2).
pub async fn read_final_response<R: AsyncReadRent>(
    reader: &mut ByteReader<R>,
    limits: &HeadLimits,
) -> Result<response::Parts, HttpError> {
    for _ in 0..=INTERIM_RESPONSES_MAX {
        let head = read_response(reader, limits).await?;
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(HttpError::TooManyInterim { allowed: INTERIM_RESPONSES_MAX })
}

fn require_complete_head<T>(result: Result<Decoded<T>, DecodeError>) -> Result<T, HttpError> {
    match result {
        Ok(Decoded::Some(head)) => Ok(head),
        Ok(_) => Err(errors::bad_head("incomplete")),
        Err(error) => Err(errors::bad_head(error)),
    }
}

/// Reads the bytes of a head, and returns them with the number of its fields.
async fn read_head_bytes<R: AsyncReadRent>(
    reader: &mut ByteReader<R>,
    limits: &HeadLimits,
) -> Result<(BytesMut, usize), HttpError> {
    if reader.buffer.is_empty() {
        let count = reader.fill_within(HEAD_READ_BYTES, limits.idle, "a message").await;
        match count {
            Ok(0) => return Err(HttpError::Closed),
            Ok(_) => {}
            Err(HttpError::TimedOut { .. }) => return Err(HttpError::Closed),
            Err(error) => return Err(error),
        }
    }
    let start = Instant::now();
    let mut skipped_bytes = 0;
    let mut search = HeadSearch::default();
    loop {
        if search.line_start == 0 {
            let skipped_before = skipped_bytes;
            skipped_bytes += skip_empty_lines(&mut reader.buffer);
            if skipped_bytes > skipped_before {
                search = HeadSearch::default();
            }
        }
        if skipped_bytes > limits.bytes {
            return Err(HttpError::HeadTooLarge { allowed: limits.bytes });
        }
        if let Some(end) = search.find_end(&reader.buffer, limits)? {
            return Ok((reader.buffer.split_to(end), search.fields));
        }
        let remaining_time = limits.time.saturating_sub(start.elapsed());
        let count = reader.fill_within(HEAD_READ_BYTES, remaining_time, "the head").await?;
        if count == 0 {
            return Err(HttpError::Truncated);
        }
    }
}

/// Skips empty lines before a message, as RFC 9112 section 2.2 recommends for servers, and returns
/// their size in bytes.
fn skip_empty_lines(buffer: &mut BytesMut) -> usize {
    let length_before = buffer.len();
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
    length_before - buffer.len()
}

/// `HeadSearch` looks for the end of a head in a buffer that grows: each byte is looked at once.
#[derive(Debug, Default)]
struct HeadSearch {
    position: usize,
    line_start: usize,
    fields: usize,
}

impl HeadSearch {
    fn find_end(&mut self, buffer: &[u8], limits: &HeadLimits) -> Result<Option<usize>, HttpError> {
        let searched_end = buffer.len().min(limits.bytes);
        while self.position < searched_end {
            let unsearched = &buffer[self.position..searched_end];
            let Some(offset) = unsearched.iter().position(|byte| *byte == b'\n') else { break };
            let index = self.position + offset;
            if index == 0 || buffer[index - 1] != b'\r' {
                return Err(errors::bad_head("a line ends without a carriage return"));
            }
            self.position = index + 1;
            if self.position - self.line_start == 2 && self.line_start > 0 {
                return Ok(Some(self.position));
            }
            self.fields += usize::from(self.line_start > 0);
            self.line_start = self.position;
        }
        self.position = searched_end.max(self.position);
        if buffer.len() >= limits.bytes {
            return Err(HttpError::HeadTooLarge { allowed: limits.bytes });
        }
        Ok(None)
    }
}
