// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Incarnations of a backend server: which start of the process is the current one.
//!
//! A backend server may restart under the same name, and heartbeats of its previous incarnation may
//! arrive after the restart. Incarnations are distinguished by their start times, although the
//! clock may be set back between two of them. The rules are designed for servers that crash and
//! restart while their heartbeats are delayed in the network.

use std::time::Duration;

/// Earlier incarnations that are remembered, to recognise their late heartbeats: a server that
/// restarts more often than this while heartbeats are delayed is of no use to callers.
const EARLIER_INCARNATIONS_MAX: usize = 8;
/// Time over which an incarnation that claims to be older must send heartbeats, while the newer one
/// sends none, to count as the current one. It is longer than delayed heartbeats take to arrive one
/// after the other, and short enough that a clock that was set back costs callers one server for a
/// few seconds only.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);

/// `IncarnationClaim` is what a heartbeat says about the incarnation that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IncarnationClaim {
    /// Unix time of the start in milliseconds, if the server reports it.
    pub born: Option<u64>,
    /// Sequence number of the heartbeat within the incarnation.
    pub sequence: u64,
}

/// `IncarnationVerdict` says which incarnation a heartbeat is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationVerdict {
    /// The heartbeat is from the current incarnation.
    Current,
    /// The heartbeat is from an incarnation that replaces the current one.
    Replaces,
    /// The heartbeat is from an earlier incarnation, or may be.
    Late,
    /// The heartbeat reports no start time, although earlier ones of the server did.
    Unnamed,
}

/// `OlderIncarnation` is an incarnation that claims to be older than the current one, and of which
/// no heartbeat was seen before.
#[derive(Debug, Clone, Copy)]
struct OlderIncarnation {
    born: u64,
    first_at: Duration,
    sequence: u64,
}

/// `IncarnationTracker` follows the incarnations of one backend server.
#[derive(Debug, Clone, Default)]
pub struct IncarnationTracker {
    current: Option<u64>,
    earlier: Vec<u64>,
    older: Option<OlderIncarnation>,
}

impl IncarnationTracker {
    /// Returns the start time of the current incarnation, if the server reports it.
    pub fn current(&self) -> Option<u64> {
        self.current
    }

    /// Records a heartbeat and says which incarnation it is from.
    pub fn judge(&mut self, claim: IncarnationClaim, now: Duration) -> IncarnationVerdict {
        let (current, born) = match (self.current, claim.born) {
            (None, None) => return IncarnationVerdict::Current,
            (Some(_), None) => return IncarnationVerdict::Unnamed,
            (None, Some(born)) => return self.replace(born),
            (Some(current), Some(born)) => (current, born),
        };
        if born == current {
            self.older = None;
            return IncarnationVerdict::Current;
        }
        if self.earlier.contains(&born) {
            return IncarnationVerdict::Late;
        }
        if born > current || self.has_taken_over(born, claim.sequence, now) {
            return self.replace(born);
        }
        IncarnationVerdict::Late
    }

    /// Records that an incarnation has ended. The next heartbeat is from another incarnation,
    /// whatever its start time.
    pub fn note_end(&mut self, born: u64) {
        if self.current == Some(born) {
            self.current = None;
        }
        self.note_earlier(born);
    }

    fn replace(&mut self, born: u64) -> IncarnationVerdict {
        if self.earlier.contains(&born) {
            return IncarnationVerdict::Late;
        }
        if let Some(before) = self.current.replace(born) {
            self.note_earlier(before);
        }
        self.older = None;
        IncarnationVerdict::Replaces
    }

    fn note_earlier(&mut self, born: u64) {
        if !self.earlier.contains(&born) {
            self.earlier.push(born);
        }
        if self.earlier.len() > EARLIER_INCARNATIONS_MAX {
            self.earlier.remove(0);
        }
    }

    /// Says whether an incarnation that claims to be older is the current one, because it goes on
    /// sending heartbeats and the newer one doesn't.
    fn has_taken_over(&mut self, born: u64, sequence: u64, now: Duration) -> bool {
        match self.older {
            Some(older) if older.born == born => {
                let rises = sequence > older.sequence;
                rises && now.saturating_sub(older.first_at) >= TAKEOVER_TIME
            }
            _ => {
                self.older = Some(OlderIncarnation { born, first_at: now, sequence });
                false
            }
        }
    }
}
