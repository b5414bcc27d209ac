// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The cost of sending a request to another failure domain.
//!
//! The workload is requests of very different size for the same servers: downloads of many
//! kilobytes beside lookups of some hundred bytes, with a demand that moves between failure
//! domains. The round trip is negligible compared with the service time; the cost of the bytes that
//! cross is not, where the operator puts a price on them. So heavy requests wait in their own
//! failure domain for as long as their bytes are worth, and light ones, which lose nothing by it,
//! make room by going to another.

use std::time::Duration;

/// Weight of the last request in the mean: sizes on a route change as callers ask for other things.
const LAST_WEIGHT: f64 = 0.1;
/// Bytes of a megabyte, as the operator counts them.
const MEGABYTE: f64 = 1e6;
/// Most service rounds that the bytes of a request are worth: beyond it, callers would wait for a
/// local server although another could serve them at once.
const ROUNDS_MAX: f64 = 3.0;

/// `ByteMean` is the moving average of the size of a route's requests, with their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ByteMean {
    mean: Option<f64>,
}

impl ByteMean {
    /// Records the bytes of a request and its answer.
    pub fn note(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        self.mean = Some(match self.mean {
            Some(mean) => mean + LAST_WEIGHT * (bytes - mean),
            None => bytes,
        });
    }

    /// Returns the service rounds for which a request waits rather than send its bytes to another
    /// failure domain, where a megabyte is worth waiting for `worth` and a round takes `usual`.
    pub fn rounds(&self, worth: Duration, usual: Option<Duration>) -> f64 {
        let (Some(mean), Some(usual)) = (self.mean, usual.filter(|usual| !usual.is_zero())) else {
            return 0.0;
        };
        let wait = worth.as_secs_f64() * mean / MEGABYTE;
        (wait / usual.as_secs_f64()).min(ROUNDS_MAX)
    }
}
