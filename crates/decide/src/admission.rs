// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! When a daemon that has started may use the backend servers of its host.
//!
//! A server may have left while an earlier incarnation of the daemon ran. The departure is held by
//! the store or, if the store was away, by the neighbours of the daemon. Neither alone is enough:
//! the row in the store may be of before, and a neighbour may not have read it yet.

use std::time::Duration;

/// Time after the first word for which a daemon that has read its row waits for neighbours that have
/// not answered, if at least one has: some round trips of a long path.
const REMAINING_ANSWERS_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after the first word for which a daemon that has read its row waits for the first answer of
/// a neighbour. It covers one lost packet. A daemon that is cut off, or whose neighbours lost power
/// as well, must still use its servers.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the first word for which a daemon waits for its row: the store may answer slowly.
const ROW_TIMEOUT: Duration = Duration::from_secs(1);

/// `WordFacts` is what a daemon that has started has heard of its earlier incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WordFacts {
    /// Whether the row of the host was read from the store.
    pub has_read_row: bool,
    /// Number of neighbours that were asked.
    pub asked: usize,
    /// Number of neighbours that have answered, or are not running.
    pub answered: usize,
    /// Time since the first word, of the store or of a neighbour; `None` before.
    pub since_first_word: Option<Duration>,
}

impl WordFacts {
    /// Says whether the servers of the host may be used, because all that may hold a departure of
    /// one of them have been heard or have had their time.
    pub fn may_use_servers(&self) -> bool {
        let Some(waited) = self.since_first_word else { return false };
        let timeout = match (self.has_read_row, self.answered) {
            (true, answered) if answered >= self.asked => Duration::ZERO,
            (true, 1..) => REMAINING_ANSWERS_TIMEOUT,
            (true, 0) => FIRST_ANSWER_TIMEOUT,
            (false, _) => ROW_TIMEOUT,
        };
        waited >= timeout
    }
}
