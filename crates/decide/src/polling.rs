// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides how long a daemon's call waits at the store for a change.
//!
//! The workload is a fleet whose daemons all wait for changes of one table, over connections that
//! may be black-holed. A call on such a connection hangs until its wait is over, and the first
//! daemon whose call ends informs the others. Each call costs the store as much as any other, so the
//! calls of all daemons together should end no more often than that needs.

use std::time::Duration;

/// Longest wait for each daemon of the fleet. Over all daemons of a small fleet, calls end as often
/// as in a fleet of twelve daemons with a wait of 8 s, about one every half second.
const WAIT_PER_DAEMON: Duration = Duration::from_millis(700);
/// Time since a daemon's start during which it may not know how large the fleet is. Until then, a
/// call may wait for at least this time: otherwise, all daemons of a starting fleet would take it
/// for a small one, and make several short calls each.
pub const START_TIME: Duration = Duration::from_secs(4);

/// Returns the longest wait of a call in a fleet of `members` daemons at the time `now` since the
/// daemon's start, but no more than `wait_limit`.
pub fn longest_wait(members: usize, now: Duration, wait_limit: Duration) -> Duration {
    let wait = WAIT_PER_DAEMON.saturating_mul(members as u32);
    let wait = if now < START_TIME { wait.max(START_TIME) } else { wait };
    wait.min(wait_limit)
}
