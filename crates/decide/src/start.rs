// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Which start of a backend server is the one that lives.
//!
//! A backend server may start again under its name; what the start before said may still arrive then.
//! Starts are told apart by their time of day, which may be set back between two of them. The load is
//! that of servers that crash and come back while their heartbeats are held up on the way.

use std::time::Duration;

/// Earlier starts that are remembered, to know their late heartbeats: a server that starts more often
/// than heartbeats are held up for is of no use to callers.
const EARLIER_MAX: usize = 8;
/// Time over which a start that claims to be older must speak, while the newer one is silent, to be
/// taken for the one that lives: longer than heartbeats that were held up take to arrive one after the
/// other, and short enough that a clock set back costs callers one server for a few seconds.
const PROOF_TIME: Duration = Duration::from_secs(2);

/// `StartWord` is what a heartbeat says of the start that it is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartWord {
    /// Unix time of the start in milliseconds, if it is told.
    pub born: Option<u64>,
    /// Number of the heartbeat within the start.
    pub sequence: u64,
}

/// `StartVerdict` says what a heartbeat counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// It is from the start that lives.
    Current,
    /// It is from a start that takes the place of the one known.
    Replaces,
    /// It is from an earlier start, or may be.
    Late,
    /// It tells no start although others of the server did.
    Unnamed,
}

/// `OlderStart` is a start that claims to be older than the current one, and that nothing was heard of
/// before.
#[derive(Debug, Clone, Copy)]
struct OlderStart {
    born: u64,
    first_at: Duration,
    sequence: u64,
}

/// `StartTrack` follows the starts of one backend server.
#[derive(Debug, Clone, Default)]
pub struct StartTrack {
    current: Option<u64>,
    earlier: Vec<u64>,
    older: Option<OlderStart>,
}

impl StartTrack {
    /// Returns the start that lives, if the server tells it.
    pub fn current(&self) -> Option<u64> {
        self.current
    }

    /// Takes a heartbeat in and says what it counts for.
    pub fn judge(&mut self, word: StartWord, now: Duration) -> StartVerdict {
        let (current, born) = match (self.current, word.born) {
            (None, None) => return StartVerdict::Current,
            (Some(_), None) => return StartVerdict::Unnamed,
            (None, Some(born)) => return self.replace(born),
            (Some(current), Some(born)) => (current, born),
        };
        if born == current {
            self.older = None;
            return StartVerdict::Current;
        }
        if self.earlier.contains(&born) {
            return StartVerdict::Late;
        }
        if born > current || self.is_proved(born, word.sequence, now) {
            return self.replace(born);
        }
        StartVerdict::Late
    }

    /// Takes in that a start is over. One that comes after it is another, whatever its time.
    pub fn note_over(&mut self, born: u64) {
        if self.current == Some(born) {
            self.current = None;
        }
        self.note_earlier(born);
    }

    fn replace(&mut self, born: u64) -> StartVerdict {
        if self.earlier.contains(&born) {
            return StartVerdict::Late;
        }
        if let Some(before) = self.current.replace(born) {
            self.note_earlier(before);
        }
        self.older = None;
        StartVerdict::Replaces
    }

    fn note_earlier(&mut self, born: u64) {
        if !self.earlier.contains(&born) {
            self.earlier.push(born);
        }
        if self.earlier.len() > EARLIER_MAX {
            self.earlier.remove(0);
        }
    }

    /// Says whether a start that claims to be older lives: it goes on speaking, and the newer doesn't.
    fn is_proved(&mut self, born: u64, sequence: u64, now: Duration) -> bool {
        match self.older {
            Some(older) if older.born == born => {
                let rises = sequence > older.sequence;
                rises && now.saturating_sub(older.first_at) >= PROOF_TIME
            }
            _ => {
                self.older = Some(OlderStart { born, first_at: now, sequence });
                false
            }
        }
    }
}
