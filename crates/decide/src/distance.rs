// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The cost of sending a request to another failure domain.
//!
//! The workload is requests of very different size for the same servers: downloads of many
//! kilobytes beside lookups of some hundred bytes, with a demand that moves between failure
//! domains. The round trip is negligible compared with the service time. The cost of the bytes sent
//! to another failure domain is not, where the operator puts a price on them. So large requests
//! wait in their own failure domain for as long as their bytes are worth. Small requests go to
//! another failure domain, which costs them nothing and frees slots for the large ones.

use std::time::Duration;

/// Weight of the last request in the mean size: sizes on a route change as callers request other
/// resources.
const LAST_SIZE_WEIGHT: f64 = 0.1;
/// Bytes of a megabyte, as the operator counts them.
const MEGABYTE: f64 = 1e6;
/// Maximum number of service rounds that a request waits to save its bytes: with more, callers
/// would wait for a local server although a server elsewhere could serve them at once.
const LOCAL_WAIT_ROUNDS_MAX: f64 = 3.0;

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
            Some(mean) => mean + LAST_SIZE_WEIGHT * (bytes - mean),
            None => bytes,
        });
    }

    /// Returns the number of service rounds for which a request waits rather than send its bytes to
    /// another failure domain. `wait_per_megabyte` is the waiting time that a saved megabyte is
    /// worth, and `usual` is the time of a service round.
    pub fn rounds(&self, wait_per_megabyte: Duration, usual: Option<Duration>) -> f64 {
        let (Some(mean), Some(usual)) = (self.mean, usual.filter(|usual| !usual.is_zero())) else {
            return 0.0;
        };
        let wait = wait_per_megabyte.as_secs_f64() * mean / MEGABYTE;
        (wait / usual.as_secs_f64()).min(LOCAL_WAIT_ROUNDS_MAX)
    }
}
