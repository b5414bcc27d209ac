// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Determines when a request at a backend server is overdue. A pause of this daemon does not count.

use std::cell::Cell;
use std::time::{Duration, Instant};

use basaltarch_decide::pause;

/// Time after which a request is overdue if it never counts as overdue.
const NEVER_OVERDUE: Duration = Duration::from_secs(3600);

/// `OverdueTimer` determines when a running request is overdue.
pub struct OverdueTimer {
    started: Instant,
    overdue_after: Duration,
    /// Time since the start at which the timer is due.
    due: Cell<Duration>,
    has_passed: Cell<bool>,
}

impl OverdueTimer {
    /// Builds the timer of a request that starts now; `None` if the request is never overdue.
    pub fn new(overdue_after: Option<Duration>) -> Self {
        let overdue_after = overdue_after.unwrap_or(NEVER_OVERDUE);
        Self {
            started: Instant::now(),
            overdue_after,
            due: Cell::new(overdue_after),
            has_passed: Cell::new(false),
        }
    }

    /// Waits until the request is overdue. If this daemon was paused when the timer was due, the
    /// answer may have arrived meanwhile, so the request gets its whole time once more.
    pub async fn passed(&self) {
        loop {
            let due = self.due.get();
            monoio::time::sleep(due.saturating_sub(self.started.elapsed())).await;
            let elapsed = self.started.elapsed();
            if pause::length(due, elapsed).is_zero() {
                return self.has_passed.set(true);
            }
            self.due.set(elapsed + self.overdue_after);
        }
    }

    /// Says whether this daemon was paused when the request would have become overdue, so that the
    /// service time of an answer that arrives now is not known.
    pub fn is_untimed(&self) -> bool {
        let pause = pause::length(self.due.get(), self.started.elapsed());
        !self.has_passed.get() && !pause.is_zero()
    }
}
