// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What it costs to send a request to another failure domain.
//!
//! The load is requests of very different size for the same servers: downloads of many kilobytes beside lookups of some
//! hundred bytes, and a demand that moves between failure domains. The way there and back is nearly nothing beside the
//! work; bytes across are not, where the operator says so. So heavy requests wait near by for as long as their
//! bytes are worth, and light ones, which lose nothing by it, make room by going far.

use std::time::Duration;

/// Part of a mean that the last request makes: sizes of a route change as callers ask for other things.
const LAST_SHARE: f64 = 0.1;
/// Bytes of a megabyte, as the operator counts them.
const MEGABYTE: f64 = 1e6;
/// Most rounds of work that the bytes of a request are worth: beyond it callers would wait near by for what they could
/// have at once.
const ROUNDS_MAX: f64 = 3.0;

/// `ByteMean` is the mean size of the requests of a route, with their answers; it forgets.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ByteMean {
    mean: Option<f64>,
}

impl ByteMean {
    /// Takes in the bytes of a request and its answer.
    pub fn note(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        self.mean = Some(match self.mean {
            Some(mean) => mean + LAST_SHARE * (bytes - mean),
            None => bytes,
        });
    }

    /// Returns the rounds of work that a request waits rather than send its bytes across, where a megabyte is worth
    /// waiting for `worth` and a round takes `usual`.
    pub fn rounds(&self, worth: Duration, usual: Option<Duration>) -> f64 {
        let (Some(mean), Some(usual)) = (self.mean, usual.filter(|usual| !usual.is_zero())) else {
            return 0.0;
        };
        let wait = worth.as_secs_f64() * mean / MEGABYTE;
        (wait / usual.as_secs_f64()).min(ROUNDS_MAX)
    }
}
