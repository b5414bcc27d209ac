// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A buffered reader whose reads can be cancelled without losing bytes.

use std::time::Duration;

use basaltarch_core::units;
use bytes::BytesMut;
use monoio::io::AsyncReadRent;

use crate::errors::{self, HttpError};
use crate::fault::ConnectionFault;

/// Buffer size in bytes of a read while a head is awaited. Most heads fit into this buffer, and an
/// idle connection holds no larger buffer.
pub const HEAD_READ_BYTES: usize = 4 * units::KIB;
/// Buffer size in bytes of a read within a body: one body chunk of a link between daemons.
pub const BODY_READ_BYTES: usize = 32 * units::KIB;

/// `ByteReader` is a buffered reader of the read half of a connection.
#[derive(Debug)]
pub struct ByteReader<R> {
    io: R,
    fault: ConnectionFault,
    /// Bytes that were read and not yet consumed.
    pub buffer: BytesMut,
    spare_buffer: Option<BytesMut>,
}

impl<R: AsyncReadRent> ByteReader<R> {
    /// Builds a reader over `io`, which shares `fault` with the writer of the same connection.
    pub fn new(io: R, fault: ConnectionFault) -> Self {
        Self { io, fault, buffer: BytesMut::new(), spare_buffer: None }
    }

    /// Reads at least one byte and at most `max_bytes` into the buffer; returns 0 at the orderly end
    /// of the connection.
    ///
    /// The future is cancel safe: the epoll driver reads only when polled, and into a spare buffer.
    pub async fn fill(&mut self, max_bytes: usize) -> Result<usize, HttpError> {
        let mut spare_buffer = self.spare_buffer.take().unwrap_or_default();
        spare_buffer.clear();
        spare_buffer.reserve(max_bytes);
        let (result, filled) = self.io.read(spare_buffer).await;
        let count = result.map_err(|error| {
            self.fault.note_read(&error);
            errors::broken(error)
        })?;
        if count == 0 {
            self.fault.check_end()?;
        }
        if self.buffer.is_empty() {
            let emptied_buffer = std::mem::replace(&mut self.buffer, filled);
            self.spare_buffer = Some(emptied_buffer);
        } else {
            self.buffer.extend_from_slice(&filled);
            self.spare_buffer = Some(filled);
        }
        Ok(count)
    }

    /// Reads as [`Self::fill`] does, but for at most `limit`. The error of a timeout names `what`
    /// was awaited.
    pub async fn fill_within(
        &mut self,
        max_bytes: usize,
        limit: Duration,
        what: &'static str,
    ) -> Result<usize, HttpError> {
        match monoio::time::timeout(limit, self.fill(max_bytes)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::TimedOut { what }),
        }
    }

    /// Frees what the buffers hold beyond the bytes that were not consumed yet.
    pub fn release(&mut self) {
        self.spare_buffer = None;
        if self.buffer.capacity() > self.buffer.len() + HEAD_READ_BYTES || self.buffer.is_empty() {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }
}
