// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Streams message bodies.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use monoio::io::AsyncReadRent;

use crate::errors::HttpError;
use crate::framing::BodyFraming;
use crate::reader::{ByteReader, BODY_READ_BYTES, HEAD_READ_BYTES};

/// Maximum length in bytes of a chunk header line with its extensions, and of a trailer line.
const CHUNK_LINE_BYTES_MAX: usize = 1024;
/// Length in bytes of the end of a line.
const LINE_END_BYTES: usize = 2;
/// Maximum number of hexadecimal digits of a chunk size, so that the size fits a `u64`.
const CHUNK_DIGITS_MAX: usize = 15;
/// Maximum number of trailer lines that are discarded.
const TRAILERS_MAX: usize = 64;
/// Size in bytes from which a piece shares the buffer that it was read into. A shorter piece is
/// copied, together with those that follow it: it would keep a whole buffer for a few bytes.
const SHARED_BYTES_MIN: usize = BODY_READ_BYTES / 2;

/// `BodyLimits` is the set of limits on the bodies that are read.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size of a body in bytes.
    pub bytes: u64,
    /// Maximum wait for the next piece of the body.
    pub idle: Duration,
}

impl BodyLimits {
    /// Checks the length that a message announces.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::BodyTooLarge`] if the announced body is larger than allowed.
    pub fn check_length(&self, framing: BodyFraming) -> Result<(), HttpError> {
        match framing {
            BodyFraming::Length(bytes) if bytes > self.bytes => {
                Err(HttpError::BodyTooLarge { allowed: self.bytes })
            }
            _ => Ok(()),
        }
    }
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
    /// Size of the next read.
    read_bytes: usize,
}

impl BodyReader {
    /// Builds a reader of a client's body. Its reads grow as long as the client fills them, so that
    /// a slow client holds no large buffer.
    pub fn with_growing_reads(framing: BodyFraming, limits: BodyLimits) -> Self {
        Self { read_bytes: HEAD_READ_BYTES, ..Self::new(framing, limits) }
    }

    /// Builds a reader for a body with this framing.
    pub fn new(framing: BodyFraming, limits: BodyLimits) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => BodyState::Done,
            BodyFraming::Length(bytes) => BodyState::Length(bytes),
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::UntilClose,
        };
        Self { state, limits, total_bytes: 0, read_bytes: BODY_READ_BYTES }
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
            let filled = reader.fill_within(self.read_bytes, self.limits.idle, "the body").await?;
            if filled >= self.read_bytes {
                self.read_bytes = BODY_READ_BYTES.min(self.read_bytes * 2);
            }
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
    /// the connection. Small chunks are returned together.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, HttpError> {
        let mut gathered = BytesMut::new();
        while gathered.len() < BODY_READ_BYTES {
            let available_bytes = self.available(buffer)?.min(BODY_READ_BYTES);
            if available_bytes == 0 {
                break;
            }
            if gathered.is_empty() && available_bytes >= SHARED_BYTES_MIN {
                self.consume(available_bytes)?;
                return Ok(Some(buffer.split_to(available_bytes).freeze()));
            }
            let count = available_bytes.min(BODY_READ_BYTES - gathered.len());
            self.consume(count)?;
            gathered.extend_from_slice(&buffer[..count]);
            buffer.advance(count);
        }
        Ok((!gathered.is_empty()).then(|| gathered.freeze()))
    }

    /// Reads the framing in front of the next bytes of the body, and returns how many of these bytes
    /// are in `buffer`.
    fn available(&mut self, buffer: &mut BytesMut) -> Result<usize, HttpError> {
        loop {
            match self.state {
                BodyState::Done => return Ok(0),
                BodyState::Length(bytes) | BodyState::ChunkData(bytes) => {
                    return Ok(bytes.min(buffer.len() as u64) as usize);
                }
                BodyState::UntilClose => return Ok(buffer.len()),
                BodyState::ChunkSize | BodyState::ChunkEnd | BodyState::Trailers(_) => {
                    let Some(length) = line_length(buffer)? else { return Ok(0) };
                    self.state = state_after_line(self.state, &buffer[..length])?;
                    buffer.advance(length + LINE_END_BYTES);
                }
            }
        }
    }

    /// Counts `count` bytes as read.
    fn consume(&mut self, count: usize) -> Result<(), HttpError> {
        let count = count as u64;
        self.total_bytes += count;
        if self.total_bytes > self.limits.bytes {
            return Err(HttpError::BodyTooLarge { allowed: self.limits.bytes });
        }
        self.state = match self.state {
            BodyState::Length(bytes) if bytes == count => BodyState::Done,
            BodyState::Length(bytes) => BodyState::Length(bytes - count),
            BodyState::ChunkData(bytes) if bytes == count => BodyState::ChunkEnd,
            BodyState::ChunkData(bytes) => BodyState::ChunkData(bytes - count),
            other => other,
        };
        Ok(())
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

/// Returns the length of the line at the start of the buffer without its CRLF, once the whole line
/// has arrived; a line feed without a carriage return is an error.
fn line_length(buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    match buffer.iter().take(CHUNK_LINE_BYTES_MAX + 1).position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' => Ok(Some(end - 1)),
        Some(_) => Err(HttpError::BadChunk),
        None if buffer.len() > CHUNK_LINE_BYTES_MAX => Err(HttpError::BadChunk),
        None => Ok(None),
    }
}
