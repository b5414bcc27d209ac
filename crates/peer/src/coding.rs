// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compression of the bytes of a link between failure domains.
//!
//! Most of what goes over a link was said before: names of services, routes and hosts, header fields,
//! reports. One DEFLATE stream a direction (RFC 1951) over the life of the link says it again in a few
//! bytes. Each batch ends with a flush, so that nothing waits for more to come.

use bytes::BytesMut;
use flate2::{Compress, Compression, Decompress, FlushCompress, FlushDecompress, Status};

use crate::errors::{self, LinkError};

/// Logarithm of the bytes that are looked back at: the heads of some twenty requests.
const WINDOW_BITS: u8 = 13;
/// Effort of the compression, 1 to 9; the usual one of the library.
const EFFORT: u32 = 6;
/// Room that is made for coded bytes at a time.
const ROOM_BYTES: usize = 4096;
/// Bytes that are decoded at a time, so that a short input can't grow without bound before its frames
/// are looked at.
const DECODED_BYTES_MAX: usize = 64 * 1024;

/// `LinkEncoder` compresses what goes over a link.
#[derive(Debug)]
pub struct LinkEncoder {
    stream: Compress,
}

impl Default for LinkEncoder {
    fn default() -> Self {
        let effort = Compression::new(EFFORT);
        Self { stream: Compress::new_with_window_bits(effort, false, WINDOW_BITS) }
    }
}

impl LinkEncoder {
    /// Writes a batch behind `coded`, to its last bit; fails if the library does.
    pub fn encode(&mut self, batch: &[u8], coded: &mut Vec<u8>) -> Result<(), LinkError> {
        let mut taken = 0;
        loop {
            coded.reserve(ROOM_BYTES.max((batch.len() - taken) / 2));
            let before = self.stream.total_in();
            let result = self.stream.compress_vec(&batch[taken..], coded, FlushCompress::Sync);
            result.map_err(errors::malformed)?;
            taken += (self.stream.total_in() - before) as usize;
            // Room that is left over says that the flush is complete.
            if taken == batch.len() && coded.len() < coded.capacity() {
                return Ok(());
            }
        }
    }
}

/// `LinkDecoder` restores what came over a link.
#[derive(Debug)]
pub struct LinkDecoder {
    stream: Decompress,
    coded: BytesMut,
    room: Vec<u8>,
}

impl Default for LinkDecoder {
    fn default() -> Self {
        let stream = Decompress::new_with_window_bits(false, WINDOW_BITS);
        Self { stream, coded: BytesMut::new(), room: Vec::new() }
    }
}

impl LinkDecoder {
    /// Takes coded bytes in.
    pub fn take(&mut self, coded: &[u8]) {
        self.coded.extend_from_slice(coded);
    }

    /// Writes a part of what was taken in behind `plain`; says whether there was any. Fails if the
    /// bytes are no DEFLATE stream or it ends.
    pub fn decode(&mut self, plain: &mut BytesMut) -> Result<bool, LinkError> {
        self.room.clear();
        self.room.reserve(DECODED_BYTES_MAX.min(ROOM_BYTES + 8 * self.coded.len()));
        let before = self.stream.total_in();
        let result = self.stream.decompress_vec(&self.coded, &mut self.room, FlushDecompress::None);
        let status = result.map_err(errors::malformed)?;
        if status == Status::StreamEnd {
            return Err(LinkError::Closed);
        }
        let taken = (self.stream.total_in() - before) as usize;
        bytes::Buf::advance(&mut self.coded, taken);
        plain.extend_from_slice(&self.room);
        Ok(!self.room.is_empty())
    }
}
