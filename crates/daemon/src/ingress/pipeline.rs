// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests that a caller sends ahead, before the earlier ones on its connection are answered.

use std::cell::Cell;
use std::time::{Duration, Instant};

use basaltarch_http::connection;
use basaltarch_http::table::ConnectionEntry;
use futures_util::{select_biased, FutureExt};

use crate::ingress::waiting::PIPELINE_BYTES_MAX;

/// Number of requests ahead, or in a row with another one behind each, from which a caller sends far
/// ahead. Its requests still run, one after the other, but those of others go first while slots are
/// scarce.
const FAR_AHEAD_MIN: usize = 8;
/// Number of bytes ahead from which a caller sends far ahead.
const FAR_AHEAD_BYTES: usize = PIPELINE_BYTES_MAX;
/// Time that a round of all ready tasks takes from which the daemon counts as busy.
const BUSY_ROUND: Duration = Duration::from_millis(10);
/// Rounds for which a caller that sends far ahead pauses while the daemon is busy.
const PAUSE_ROUNDS: u32 = 4;
/// End of a request's head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The shortest request.
const SHORTEST_REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// `CallerPipeline` says whether a caller sends far ahead on its connection.
#[derive(Debug, Default)]
pub struct CallerPipeline {
    is_far_ahead: Cell<bool>,
    /// Number of requests behind which another one waited.
    row: Cell<u32>,
}

impl CallerPipeline {
    /// Notes what waits in the buffer of the connection behind a request. A caller that has sent far
    /// ahead does so until it has waited for an answer with no further request behind it.
    pub fn note_waiting(&self, buffer: &[u8]) {
        if !self.is_far_ahead.get() {
            self.row.set(self.row.get() + 1);
            let is_far_ahead = self.row.get() >= FAR_AHEAD_MIN as u32
                || buffer.len() >= FAR_AHEAD_BYTES
                || holds_many(buffer);
            self.is_far_ahead.set(is_far_ahead);
        }
    }

    /// Notes that no request waits behind the one that was answered.
    pub fn note_empty(&self) {
        self.is_far_ahead.set(false);
        self.row.set(0);
    }

    /// Lets other connections have their turn before the next request of a caller that sends far
    /// ahead. While the daemon is busy, the caller waits for longer.
    pub async fn give_way(&self, entry: &ConnectionEntry) {
        if !self.is_far_ahead() {
            return;
        }
        let began = Instant::now();
        connection::pause().await;
        let round = began.elapsed();
        if round < BUSY_ROUND {
            return;
        }
        let mut pause = std::pin::pin!(monoio::time::sleep(round * PAUSE_ROUNDS).fuse());
        let mut evicted = std::pin::pin!(entry.evicted().fuse());
        select_biased! {
            () = pause => {}
            () = evicted => {}
        }
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
