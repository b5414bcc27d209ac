// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The daemon's clock: time since its start, which never goes back.

use std::time::{Duration, Instant};

/// `DaemonClock` tells the time since the daemon started.
#[derive(Debug, Clone, Copy)]
pub struct DaemonClock {
    started: Instant,
}

impl Default for DaemonClock {
    fn default() -> Self {
        Self { started: Instant::now() }
    }
}

impl DaemonClock {
    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
