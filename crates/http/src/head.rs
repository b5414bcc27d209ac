// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads the heads of requests and responses within limits.

use std::time::{Duration, Instant};

use basaltarch_core::units;
use bytes::{Buf, BytesMut};
use http::{request, response};
use monoio::io::AsyncReadRent;
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{DecodeError, RequestHeadDecoder, ResponseHeadDecoder};

use crate::errors::{self, HttpError};
use crate::reader::{ByteReader, HEAD_READ_BYTES};

/// Maximum number of interim (1xx) responses in front of a final response.
const INTERIM_RESPONSES_MAX: usize = 8;

/// `HeadLimits` is the set of limits on the heads that are read.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Maximum size of a head in bytes.
    pub bytes: usize,
    /// Maximum number of fields of a head; the parser has room for 96.
    pub fields: usize,
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
            fields: 64,
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
    let mut head = read_head_bytes(reader, limits).await?;
    require_complete_head(RequestHeadDecoder.decode(&mut head))
}

/// Reads the head of a response.
pub async fn read_response<R: AsyncReadRent>(
    reader: &mut ByteReader<R>,
    limits: &HeadLimits,
) -> Result<response::Parts, HttpError> {
    let mut head = read_head_bytes(reader, limits).await?;
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

async fn read_head_bytes<R: AsyncReadRent>(
    reader: &mut ByteReader<R>,
    limits: &HeadLimits,
) -> Result<BytesMut, HttpError> {
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
    loop {
        skipped_bytes += skip_empty_lines(&mut reader.buffer);
        if skipped_bytes > limits.bytes {
            return Err(HttpError::HeadTooLarge { allowed: limits.bytes });
        }
        if let Some(end) = find_head_end(&reader.buffer, limits)? {
            return Ok(reader.buffer.split_to(end));
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

fn find_head_end(buffer: &[u8], limits: &HeadLimits) -> Result<Option<usize>, HttpError> {
    let mut fields = 0;
    let mut line_start = 0;
    let searched_bytes = buffer.len().min(limits.bytes);
    for (index, _) in
        buffer[..searched_bytes].iter().enumerate().filter(|(_, byte)| **byte == b'\n')
    {
        if index == 0 || buffer[index - 1] != b'\r' {
            return Err(errors::bad_head("a line ends without a carriage return"));
        }
        if index + 1 - line_start == 2 && line_start > 0 {
            return Ok(Some(index + 1));
        }
        if line_start > 0 {
            fields += 1;
        }
        if fields > limits.fields {
            return Err(HttpError::TooManyFields { allowed: limits.fields });
        }
        line_start = index + 1;
    }
    if buffer.len() >= limits.bytes {
        return Err(HttpError::HeadTooLarge { allowed: limits.bytes });
    }
    Ok(None)
}
