// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Writes heads and bodies.

use std::fmt::Write as _;
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use monoio::buf::{IoBuf, IoVecBuf};
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt};
use monoio::BufResult;

use crate::errors::{self, HttpError};
use crate::fault::ConnectionFault;
use crate::framing::BodyFraming;

/// Size in bytes up to which a body piece is appended to the buffered bytes, which saves a system
/// call.
const COPY_BYTES_MAX: usize = 8 * 1024;

/// Largest number of bytes that a field line has beyond its name and value.
pub const FIELD_EXTRA_BYTES: usize = 4;

/// `ByteWriter` is the write half of a connection, which tells the read half of its errors.
#[derive(Debug)]
pub struct ByteWriter<W> {
    io: W,
    fault: ConnectionFault,
}

impl<W> ByteWriter<W> {
    /// Builds a writer over `io`, which shares `fault` with the reader of the same connection.
    pub fn new(io: W, fault: ConnectionFault) -> Self {
        Self { io, fault }
    }

    fn note<T>(&self, result: io::Result<T>) -> io::Result<T> {
        result.inspect_err(|error| self.fault.note_write(error))
    }
}

impl<W: AsyncWriteRent> AsyncWriteRent for ByteWriter<W> {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.io.write(buf).await;
        (self.note(result), buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf_vec: T) -> BufResult<usize, T> {
        let (result, buf_vec) = self.io.writev(buf_vec).await;
        (self.note(result), buf_vec)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let result = self.io.flush().await;
        self.note(result)
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.io.shutdown().await
    }
}

/// Writes the head of a request.
pub fn put_request_head(
    buffer: &mut BytesMut,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    framing: BodyFraming,
) {
    buffer.put_slice(method.as_str().as_bytes());
    buffer.put_u8(b' ');
    buffer.put_slice(target.as_bytes());
    buffer.put_slice(b" HTTP/1.1\r\n");
    put_fields(buffer, headers);
    put_framing(buffer, framing);
    buffer.put_slice(b"\r\n");
}

/// Writes the status line of a response.
pub fn put_status_line(buffer: &mut BytesMut, status: StatusCode) {
    buffer.put_slice(b"HTTP/1.1 ");
    buffer.put_slice(status.as_str().as_bytes());
    buffer.put_u8(b' ');
    buffer.put_slice(status.canonical_reason().unwrap_or("").as_bytes());
    buffer.put_slice(b"\r\n");
}

/// Writes the head of a response.
pub fn put_response_head(
    buffer: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    framing: BodyFraming,
    close: bool,
) {
    put_status_line(buffer, status);
    put_fields(buffer, headers);
    put_framing(buffer, framing);
    if framing == BodyFraming::Empty && !crate::framing::never_has_body(status) {
        buffer.put_slice(b"content-length: 0\r\n");
    }
    if close {
        buffer.put_slice(b"connection: close\r\n");
    }
    buffer.put_slice(b"\r\n");
}

/// Writes header fields.
pub fn put_fields(buffer: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        put_field(buffer, name.as_str().as_bytes(), value.as_bytes());
    }
}

/// Writes one header field.
pub fn put_field(buffer: &mut BytesMut, name: &[u8], value: &[u8]) {
    buffer.put_slice(name);
    // Without a space, a head of many empty fields is no longer than it was when it arrived.
    buffer.put_slice(if value.is_empty() { b":" } else { b": " });
    buffer.put_slice(value);
    buffer.put_slice(b"\r\n");
}

/// Writes the header field that delimits the body.
pub fn put_framing(buffer: &mut BytesMut, framing: BodyFraming) {
    match framing {
        BodyFraming::Empty | BodyFraming::UntilClose => {}
        BodyFraming::Length(bytes) => {
            // Writing to memory does not fail.
            let _ = write!(buffer, "content-length: {bytes}\r\n");
        }
        BodyFraming::Chunked => buffer.put_slice(b"transfer-encoding: chunked\r\n"),
    }
}

/// Writes a piece of a body with this framing, and the end of the body after the last piece.
pub fn put_piece(buffer: &mut BytesMut, framing: BodyFraming, piece: &[u8], last: bool) {
    if framing != BodyFraming::Chunked {
        buffer.put_slice(piece);
        return;
    }
    if !piece.is_empty() {
        let _ = write!(buffer, "{:x}\r\n", piece.len());
        buffer.put_slice(piece);
        buffer.put_slice(b"\r\n");
    }
    if last {
        buffer.put_slice(b"0\r\n\r\n");
    }
}

/// Sends the buffered bytes, then `piece`, and leaves the buffer empty.
pub async fn send_piece<W: AsyncWriteRent>(
    io: &mut W,
    buffer: &mut BytesMut,
    framing: BodyFraming,
    piece: Bytes,
    last: bool,
) -> Result<(), HttpError> {
    if framing == BodyFraming::Chunked || piece.len() <= COPY_BYTES_MAX {
        put_piece(buffer, framing, &piece, last);
        return flush(io, buffer).await;
    }
    flush(io, buffer).await?;
    let (result, _) = io.write_all(piece).await;
    result.map(drop).map_err(errors::broken)
}

/// Sends the buffered bytes and leaves the buffer empty.
pub async fn flush<W: AsyncWriteRent>(io: &mut W, buffer: &mut BytesMut) -> Result<(), HttpError> {
    if buffer.is_empty() {
        return Ok(());
    }
    let unsent = std::mem::take(buffer);
    let (result, mut written) = io.write_all(unsent).await;
    written.clear();
    *buffer = written;
    result.map(drop).map_err(errors::broken)
}
