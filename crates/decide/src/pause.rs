// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Pauses of a daemon: times for which the system did not run it, or it was busy with other work.
//!
//! A daemon that is paused while a backend server works sees the answer late. What it measures is
//! then no evidence about the server. A timer that fires much later than it was due shows a pause.

use std::time::Duration;

/// Longest delay with which a timer fires in a daemon that is not paused.
pub const TIMER_DELAY_MAX: Duration = Duration::from_millis(10);

/// Returns how long a daemon was paused that runs at `now` and has not yet handled a timer that was
/// due at `due`; zero if it was not paused.
pub fn length(due: Duration, now: Duration) -> Duration {
    let delay = now.saturating_sub(due);
    match delay > TIMER_DELAY_MAX {
        true => delay,
        false => Duration::ZERO,
    }
}
