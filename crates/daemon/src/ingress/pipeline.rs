// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests that a caller sends ahead, before the earlier ones on its connection are answered.

use std::cell::Cell;

/// Number of requests ahead from which a caller sends far ahead. Its requests still run, one after
/// the other, but those of others go first while slots are scarce.
const FAR_AHEAD_MIN: usize = 8;
/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The shortest request.
const SHORTEST_REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// `CallerPipeline` says whether a caller sends far ahead on its connection.
#[derive(Debug, Default)]
pub struct CallerPipeline {
    is_far_ahead: Cell<bool>,
}

impl CallerPipeline {
    /// Notes what waits in the buffer of the connection. A caller that has sent far ahead does so
    /// until it has waited for an answer with no further request behind it.
    pub fn note_waiting(&self, buffer: &[u8]) {
        if !self.is_far_ahead.get() {
            self.is_far_ahead.set(holds_many(buffer));
        }
    }

    /// Notes that no request waits behind the one that was answered.
    pub fn note_empty(&self) {
        self.is_far_ahead.set(false);
    }

    /// Says whether the caller sends far ahead.
    pub fn is_far_ahead(&self) -> bool {
        self.is_far_ahead.get()
    }
}

/// Says whether a buffer holds many requests.
fn holds_many(buffer: &[u8]) -> bool {
    if buffer.len() < FAR_AHEAD_MIN * SHORTEST_REQUEST.len() {
        return false;
    }
    let head_ends = buffer.windows(HEAD_END.len()).filter(|window| *window == HEAD_END);
    head_ends.take(FAR_AHEAD_MIN).count() == FAR_AHEAD_MIN
}
