// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Packs the rows of hosts that a daemon relays.
//!
//! Rows of different hosts have nearly all of their text in common, so many rows compressed
//! together take a fraction of the bytes. A daemon that relays rows sends the same rows to all
//! daemons of its failure domain.

use thrift::protocol::{
    TCompactInputProtocol, TCompactOutputProtocol, TOutputProtocol, TSerializable,
};

use crate::errors::{self, LinkError};
use crate::frames::FRAME_BYTES_MAX;
use crate::packed;
use crate::protocol::{RowList, RowNote};

/// Maximum size of unpacked rows in bytes.
const UNPACKED_BYTES_MAX: usize = 4 * FRAME_BYTES_MAX;

/// Packs rows.
pub fn pack(rows: Vec<RowNote>) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::new();
    let mut output = TCompactOutputProtocol::new(&mut bytes);
    RowList { rows }.write_to_out_protocol(&mut output).map_err(errors::malformed)?;
    output.flush().map_err(errors::malformed)?;
    Ok(packed::pack(&bytes))
}

/// Unpacks rows that [`pack`] packed.
pub fn unpack(packed_rows: &[u8]) -> Result<Vec<RowNote>, LinkError> {
    let bytes = packed::unpack(packed_rows, UNPACKED_BYTES_MAX)?;
    let mut input = TCompactInputProtocol::new(&bytes[..]);
    let list = RowList::read_from_in_protocol(&mut input).map_err(errors::malformed)?;
    Ok(list.rows)
}
