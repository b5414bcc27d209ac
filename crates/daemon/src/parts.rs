// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reassembles snapshots that peers send in parts.

use std::cell::{Cell, RefCell};

use basaltarch_core::units;
use fnv::FnvHashMap;

/// Largest snapshot accepted from a peer, in bytes. At the fleet size expected in two years, a
/// snapshot takes about 10 MB.
const SNAPSHOT_MAX: usize = 256 << 20;

/// `SnapshotParts` holds the parts of snapshots that are being received, keyed by the host of the
/// sender.
#[derive(Debug, Default)]
pub struct SnapshotParts {
    parts: RefCell<FnvHashMap<String, PartialSnapshot>>,
    last_transfer: Cell<i64>,
    /// Whether a complete snapshot is being read.
    pub is_reading: Cell<bool>,
}

/// `PartialSnapshot` is what has been received of one transfer.
#[derive(Debug, Default)]
struct PartialSnapshot {
    transfer: i64,
    next_index: i32,
    bytes: Vec<u8>,
}

/// `SnapshotPart` is a part of a snapshot as a peer sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotPart {
    /// Number of the sender's transfer that the part belongs to.
    pub transfer: i64,
    /// Index of the part in the transfer, from 0.
    pub index: i32,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
    /// Whether the part is the last of its transfer.
    pub last: bool,
    /// Whether the snapshot is compressed.
    pub packed: bool,
}

impl SnapshotParts {
    /// Returns the number of this daemon's next transfer; a later incarnation has higher numbers.
    pub fn next_transfer(&self) -> i64 {
        let number = (self.last_transfer.get() + 1).max(units::wall_millis() as i64);
        self.last_transfer.set(number);
        number
    }

    /// Adds a part, and returns the whole snapshot after the last part. A part that does not follow
    /// the previously received part is dropped: the transfer of the part broke off or was replaced
    /// by a later transfer.
    pub fn add_part(&self, host: &str, part: SnapshotPart) -> Option<Vec<u8>> {
        let mut parts = self.parts.borrow_mut();
        if part.index == 0 {
            let fresh = PartialSnapshot { transfer: part.transfer, ..PartialSnapshot::default() };
            parts.insert(host.to_owned(), fresh);
        }
        let partial = parts.get_mut(host)?;
        if partial.transfer != part.transfer || partial.next_index != part.index {
            return None;
        }
        partial.next_index += 1;
        partial.bytes.extend_from_slice(&part.bytes);
        if partial.bytes.len() > SNAPSHOT_MAX {
            parts.remove(host);
            return None;
        }
        part.last.then(|| parts.remove(host).unwrap_or_default().bytes)
    }
}
