// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides when a request may be sent to a cold backend server.
//!
//! The workload is a server, or a whole failure domain of servers, that has just started with empty
//! caches while requests of all ingresses are waiting. A server that gets more requests than it can
//! serve in this state falls over. The daemon beside the server is the only sender of its requests,
//! so that the rate holds for the fleet. Requests are spaced evenly, without a burst: a daemon that
//! was restarted does not know what the server received before.

use std::time::Duration;

/// `ColdStart` spaces the requests to a backend server while the server is cold.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdStart {
    /// Requests per second that the server bears while it is cold; 0 if there is no bound.
    rate: f64,
    /// Time until which the server is cold.
    until: Duration,
    /// Earliest time at which the next request may be sent.
    next_at: Duration,
}

impl ColdStart {
    /// Sets the number of requests per second that the server bears while it is cold; 0 if there is
    /// no bound.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Records for how long the server says that it stays cold, and says whether the server has
    /// become cold with this report.
    pub fn note(&mut self, cold_for: Duration, now: Duration) -> bool {
        let was_cold = self.is_cold(now);
        self.until = now + cold_for;
        !was_cold && self.is_cold(now)
    }

    /// Says whether the server is cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.until > now
    }

    /// Reserves the next turn of a request, and returns how long the request waits for its turn.
    pub fn reserve(&mut self, now: Duration) -> Duration {
        if !self.is_cold(now) || self.rate <= 0.0 {
            return Duration::ZERO;
        }
        let turn = self.next_at.max(now);
        if turn >= self.until {
            return self.until - now;
        }
        self.next_at = turn + Duration::from_secs_f64(1.0 / self.rate);
        turn - now
    }
}
