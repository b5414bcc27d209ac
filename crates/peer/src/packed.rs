// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compresses bytes that a daemon sends to many others, once for all of them.

use crate::errors::{self, LinkError};

/// Number of bytes before the compressed bytes that give their uncompressed size.
const SIZE_BYTES: usize = 4;

/// Compresses bytes.
pub fn pack(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::block::compress_prepend_size(bytes)
}

/// Decompresses bytes that [`pack`] returned. The size that a peer claims is checked against
/// `size_max` before any memory is allocated.
pub fn unpack(packed: &[u8], size_max: usize) -> Result<Vec<u8>, LinkError> {
    let size = packed.first_chunk::<SIZE_BYTES>().map_or(0, |size| u32::from_le_bytes(*size));
    if size as usize > size_max {
        return Err(LinkError::FrameTooLong { bytes: size as usize, allowed: size_max });
    }
    lz4_flex::block::decompress_size_prepended(packed).map_err(errors::malformed)
}
