// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Streams message bodies.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use monoio::io::AsyncReadRent;

use crate::errors::HttpError;
use crate::framing::BodyFraming;
use crate::reader::{ByteReader, BODY_READ_BYTES};

/// Maximum length in bytes of a chunk header line with its extensions, and of a trailer line.
const CHUNK_LINE_BYTES_MAX: usize = 1024;
/// Maximum number of hexadecimal digits of a chunk size, so that the size fits a `u64`.
const CHUNK_DIGITS_MAX: usize = 15;
/// Maximum number of trailer lines that are discarded.
const TRAILERS_MAX: usize = 64;

/// `BodyLimits` is the set of limits on the bodies that are read.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size of a body in bytes.
    pub bytes: u64,
    /// Maximum wait for the next piece of the body.
    pub idle: Duration,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            // Bodies are streamed, so the size limit protects backend servers rather than memory.
            bytes: 4 << 30,
            idle: Duration::from_secs(30),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Done,
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    UntilClose,
}

/// `BodyReader` reads one message body and returns the body in pieces.
#[derive(Debug)]
pub struct BodyReader {
    state: BodyState,
    limits: BodyLimits,
    total_bytes: u64,
}

impl BodyReader {
    /// Builds a reader for a body with this framing.
    pub fn new(framing: BodyFraming, limits: BodyLimits) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => BodyState::Done,
            BodyFraming::Length(bytes) => BodyState::Length(bytes),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Self { state, limits, total_bytes: 0 }
    }

    /// Returns whether the body has been read to its end.
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// Reads and returns the next piece, or `None` at the end of the body.
    pub async fn next<R: AsyncReadRent>(
        &mut self,
        reader: &mut ByteReader<R>,
    ) -> Result<Option<Bytes>, HttpError> {
        loop {
            if let Some(piece) = self.take(&mut reader.buffer)? {
                return Ok(Some(piece));
            }
            if self.is_done() {
                return Ok(None);
            }
            let filled = reader.fill_within(BODY_READ_BYTES, self.limits.idle, "the body").await?;
            if filled > 0 {
                continue;
            }
            if self.state != BodyState::UntilClose {
                return Err(HttpError::Truncated);
            }
            self.state = BodyState::Done;
            return Ok(None);
        }
    }

    /// Returns the next piece that is already in `buffer`, if there is one, without reading from
    /// the connection.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.state {
                BodyState::Done => return Ok(None),
                BodyState::Length(remaining_bytes) => {
                    return self.take_length(buffer, remaining_bytes)
                }
                BodyState::UntilClose => return self.take_data(buffer, u64::MAX),
                BodyState::ChunkData(remaining_bytes) => {
                    let piece = self.take_data(buffer, remaining_bytes)?;
                    let taken_bytes = piece.as_ref().map_or(0, Bytes::len) as u64;
                    self.state = match remaining_bytes - taken_bytes {
                        0 => BodyState::ChunkEnd,
                        rest => BodyState::ChunkData(rest),
                    };
                    return Ok(piece);
                }
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailers(_) => {
                    match take_line(buffer)? {
                        Some(line) => self.state = state_after_line(self.state, &line)?,
                        None => return Ok(None),
                    }
                }
            }
        }
    }

    fn take_length(
        &mut self,
        buffer: &mut BytesMut,
        remaining_bytes: u64,
    ) -> Result<Option<Bytes>, HttpError> {
        let piece = self.take_data(buffer, remaining_bytes)?;
        let taken_bytes = piece.as_ref().map_or(0, Bytes::len) as u64;
        self.state = match remaining_bytes - taken_bytes {
            0 => BodyState::Done,
            rest => BodyState::Length(rest),
        };
        Ok(piece)
    }

    fn take_data(
        &mut self,
        buffer: &mut BytesMut,
        max_bytes: u64,
    ) -> Result<Option<Bytes>, HttpError> {
        if buffer.is_empty() || max_bytes == 0 {
            return Ok(None);
        }
        let count = max_bytes.min(buffer.len() as u64).min(BODY_READ_BYTES as u64);
        self.total_bytes += count;
        if self.total_bytes > self.limits.bytes {
            return Err(HttpError::BodyTooLarge { allowed: self.limits.bytes });
        }
        Ok(Some(buffer.split_to(count as usize).freeze()))
    }
}

fn state_after_line(state: BodyState, line: &[u8]) -> Result<BodyState, HttpError> {
    match state {
        BodyState::ChunkEnd if line.is_empty() => Ok(BodyState::ChunkSize),
        BodyState::ChunkEnd => Err(HttpError::BadChunk),
        BodyState::Trailers(_) if line.is_empty() => Ok(BodyState::Done),
        BodyState::Trailers(count) if count < TRAILERS_MAX => Ok(BodyState::Trailers(count + 1)),
        BodyState::Trailers(_) => Err(HttpError::BadChunk),
        _ => match chunk_size(line)? {
            0 => Ok(BodyState::Trailers(0)),
            size => Ok(BodyState::ChunkData(size)),
        },
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = size.trim_ascii_end();
    let has_valid_length = !digits.is_empty() && digits.len() <= CHUNK_DIGITS_MAX;
    if !has_valid_length || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::BadChunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| HttpError::BadChunk)?;
    u64::from_str_radix(text, 16).map_err(|_| HttpError::BadChunk)
}

/// Removes a line from the buffer and returns the line without its CRLF; a line feed without a
/// carriage return is an error.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, HttpError> {
    match buffer.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > CHUNK_LINE_BYTES_MAX => Err(HttpError::BadChunk),
        Some(end) if end > 0 && buffer[end - 1] == b'\r' => {
            let line = buffer.split_to(end - 1);
            buffer.advance(2);
            Ok(Some(line))
        }
        Some(_) => Err(HttpError::BadChunk),
        None if buffer.len() > CHUNK_LINE_BYTES_MAX => Err(HttpError::BadChunk),
        None => Ok(None),
    }
}
