// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Whether a request that holds a slot is held up by its caller, which sends its body or reads its
//! answer too slowly.
//!
//! A slow caller may take its time as long as nobody else needs the slot. Otherwise slots belong to
//! requests that move: a few callers that stand still would hold all slots until their deadlines.

use std::time::Duration;

/// Number of bytes that a caller must send or accept within [`WAIT_MAX`] of waiting for it.
const LEAST_BYTES: usize = 4096;
/// Longest wait for a caller whose slot others need: some retransmissions of lost packets.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// Longest wait for a caller if callers hold up most slots of the server.
const CROWDED_WAIT_MAX: Duration = Duration::from_millis(250);

/// `SlotDemand` says how much a backend server's slots are needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotDemand {
    /// Whether requests wait for a slot or were just refused for want of one.
    pub is_wanted: bool,
    /// Number of slots.
    pub slots: u32,
    /// Number of requests in slots that wait for their callers.
    pub held_up: u32,
}

impl SlotDemand {
    /// Returns how long a slot may wait for its caller; `None` if no one else needs the slot.
    pub fn wait_max(&self) -> Option<Duration> {
        let is_crowded = self.held_up * 2 > self.slots;
        let wait_max = if is_crowded { CROWDED_WAIT_MAX } else { WAIT_MAX };
        self.is_wanted.then_some(wait_max)
    }
}

/// `CallerPace` is how fast a caller moves the request that holds a slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallerPace {
    waited: Duration,
    moved_bytes: usize,
}

impl CallerPace {
    /// Notes that the caller moved bytes after a wait.
    pub fn note_moved(&mut self, bytes: usize, waited: Duration) {
        self.waited += waited;
        self.moved_bytes += bytes;
        if self.moved_bytes >= LEAST_BYTES {
            *self = Self::default();
        }
    }

    /// Says whether the caller is held to stand still after it was waited for once more, for
    /// `waiting`.
    pub fn is_stalled(&self, waiting: Duration, demand: &SlotDemand) -> bool {
        demand.wait_max().is_some_and(|wait_max| self.waited + waiting >= wait_max)
    }
}
