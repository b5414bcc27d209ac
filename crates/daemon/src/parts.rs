// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Snapshots on their way here from peers, in parts.

use std::cell::{Cell, RefCell};

use basaltarch_core::units;
use fnv::FnvHashMap;

/// Largest snapshot taken from a peer, in bytes; one of the two-year size has about 10 MB.
const SNAPSHOT_MAX: usize = 256 << 20;

/// `SnapshotParts` holds the parts of snapshots that are being received, by host of the sender.
#[derive(Debug, Default)]
pub struct SnapshotParts {
    parts: RefCell<FnvHashMap<String, PartialSnapshot>>,
    tellings: Cell<i64>,
    /// Whether a whole one is being read.
    pub reading: Cell<bool>,
}

/// `PartialSnapshot` is what has come of one telling.
#[derive(Debug, Default)]
struct PartialSnapshot {
    telling: i64,
    next: i32,
    bytes: Vec<u8>,
}

/// `SnapshotPart` is a part of a snapshot as a peer tells it.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotPart {
    /// Which telling of the sender it belongs to.
    pub telling: i64,
    /// Its place in that, from 0.
    pub place: i32,
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Whether it is the last.
    pub last: bool,
}

impl SnapshotParts {
    /// Numbers a telling of this daemon; a later start of it has higher numbers too.
    pub fn next_telling(&self) -> i64 {
        let number = (self.tellings.get() + 1).max(units::wall_millis() as i64);
        self.tellings.set(number);
        number
    }

    /// Takes a part in; returns the whole with the last one. A part that does not follow the one before
    /// belongs to a telling that broke off, or that another has overtaken: it is joined to nothing.
    pub fn take(&self, host: &str, part: SnapshotPart) -> Option<Vec<u8>> {
        let mut parts = self.parts.borrow_mut();
        if part.place == 0 {
            let fresh = PartialSnapshot { telling: part.telling, ..PartialSnapshot::default() };
            parts.insert(host.to_owned(), fresh);
        }
        let partial = parts.get_mut(host)?;
        if partial.telling != part.telling || partial.next != part.place {
            return None;
        }
        partial.next += 1;
        partial.bytes.extend_from_slice(&part.bytes);
        if partial.bytes.len() > SNAPSHOT_MAX {
            parts.remove(host);
            return None;
        }
        part.last.then(|| parts.remove(host).unwrap_or_default().bytes)
    }
}
