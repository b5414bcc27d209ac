// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Which connection is closed when a listener has no room for a new one, or when the memory for what
//! clients send is used up.
//!
//! A crowd of clients that stand still must not lock out those that come with a request. So room is
//! made by the connection that has moved least, never by one whose request is being served.

use std::cmp::Reverse;
use std::time::Duration;

/// Time without progress after which a client that is to read its answer may lose its connection.
const BLOCKED_TIME_MIN: Duration = Duration::from_secs(1);
/// Time without progress after which a connection may be closed for the bytes that it holds.
const HOLDER_TIME_MIN: Duration = Duration::from_secs(1);

/// `ConnectionStage` is what a connection is doing. Earlier stages make room first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// All is answered, and the peer is given time to read it before the connection is closed.
    Lingering,
    /// A request is awaited on a new connection, or has arrived in part.
    Receiving,
    /// The next request is awaited.
    Idle,
    /// The client is to read its answer.
    Blocked,
    /// A request is being served.
    Serving,
}

/// `ConnectionFacts` is what is known of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// What the connection is doing.
    pub stage: ConnectionStage,
    /// Time since the client last made progress.
    pub still_time: Duration,
    /// Bytes that are held for the client beyond those of any connection.
    pub held_bytes: u64,
}

impl ConnectionFacts {
    fn may_make_room(&self) -> bool {
        match self.stage {
            ConnectionStage::Serving => false,
            ConnectionStage::Blocked => self.still_time >= BLOCKED_TIME_MIN,
            _ => true,
        }
    }

    fn may_free_bytes(&self, need: ByteNeed) -> bool {
        let is_still = self.still_time >= HOLDER_TIME_MIN;
        let may_free = match self.stage {
            ConnectionStage::Receiving => is_still,
            ConnectionStage::Blocked => is_still || need == ByteNeed::Answer,
            _ => false,
        };
        may_free && self.held_bytes > 0
    }
}

/// `ByteNeed` is what bytes are needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ByteNeed {
    /// A request, which can still be refused.
    Request,
    /// An answer that is here already.
    Answer,
}

/// Returns the position of the connection that makes room for a new one, if one may.
pub fn choose_for_room(connections: impl Iterator<Item = ConnectionFacts>) -> Option<usize> {
    let candidates = connections.enumerate().filter(|(_, facts)| facts.may_make_room());
    let chosen = candidates.min_by_key(|(_, facts)| (facts.stage, Reverse(facts.still_time)));
    chosen.map(|(position, _)| position)
}

/// Returns the position of the connection that gives its bytes to others, if one may.
pub fn choose_for_bytes(
    connections: impl Iterator<Item = ConnectionFacts>,
    need: ByteNeed,
) -> Option<usize> {
    let candidates = connections.enumerate().filter(|(_, facts)| facts.may_free_bytes(need));
    let chosen = candidates.max_by_key(|(_, facts)| facts.still_time);
    chosen.map(|(position, _)| position)
}
