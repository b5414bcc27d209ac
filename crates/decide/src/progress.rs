// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Whether a backend server has made recent progress, as non-repeatable requests need.
//!
//! The workload is a service whose servers begin to hang one after another: a request that is sent
//! there is lost to its caller, and one that can't be retried is lost for good. The first sign is
//! that no requests end any more, long before any single one is late. How long a server may go
//! without ending a request follows from how many run and how long they typically take.

use std::time::Duration;

/// Typical intervals between the ends of two requests after which a server with running requests
/// counts as unproven: one healthy server in seven goes for as long without ending a request.
const UNPROVEN_INTERVALS: f64 = 2.0;

/// `ProgressTerms` is what is known about the progress of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressTerms {
    /// Requests that run there.
    pub running: u32,
    /// Time since a request last succeeded there, if any did.
    pub quiet: Option<Duration>,
    /// Typical service time of the requests that run there, if known.
    pub usual: Option<Duration>,
}

impl ProgressTerms {
    /// Says whether non-repeatable requests should go elsewhere for now, if they can. A server
    /// without running requests is not unproven: one request tests it, and no server stands idle
    /// for lack of recent progress.
    pub fn is_unproven(&self) -> bool {
        let (Some(usual), true) = (self.usual, self.running > 0) else { return false };
        let interval = usual.as_secs_f64() / f64::from(self.running);
        self.quiet.is_none_or(|quiet| quiet.as_secs_f64() > UNPROVEN_INTERVALS * interval)
    }
}
