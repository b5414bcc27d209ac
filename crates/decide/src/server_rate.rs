// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Tracks the rate limit that a backend server names in its responses.
//!
//! A server in need names the requests per second that it takes from all hosts together, for as
//! long as its responses name the limit. The daemon beside the server is the only sender of the
//! server's requests, so that a limit which this daemon holds is held by the fleet.

use std::time::Duration;

/// `RateStatement` is what one response says about the rate limit of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateStatement {
    /// The server takes this many requests per second.
    PerSecond(f64),
    /// The server has no rate limit.
    Unlimited,
    /// The response does not say whether the server has a rate limit.
    Silent,
}

/// `RateResponse` is a response as evidence of its server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateResponse {
    /// What the response says.
    pub statement: RateStatement,
    /// When the request was sent to the server, since the daemon's start.
    pub sent_at: Duration,
}

/// `KnownRate` is what a daemon knows about the rate limit of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum KnownRate {
    /// No response of the server has reached the daemon.
    #[default]
    Unknown,
    /// The server has no rate limit.
    Unlimited,
    /// The server takes this many requests per second.
    PerSecond(f64),
}

impl KnownRate {
    /// Returns the limit in requests per second; `None` if there is none or it is not known.
    pub fn per_second(self) -> Option<f64> {
        match self {
            Self::PerSecond(rate) => Some(rate),
            Self::Unknown | Self::Unlimited => None,
        }
    }

    fn is_stricter_than(self, other: Self) -> bool {
        let bound = |rate: Self| rate.per_second().unwrap_or(f64::INFINITY);
        bound(self) < bound(other)
    }
}

/// `ServerRate` tracks the rate limit of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerRate {
    known: KnownRate,
    /// When the limit in force was first heard of.
    changed_at: Duration,
}

impl ServerRate {
    /// Returns the limit in force.
    pub fn known(&self) -> KnownRate {
        self.known
    }

    /// Records a response of the server, and says whether the limit changed.
    ///
    /// Responses on several connections may be read in another order than they were made. A
    /// response that raises or ends the limit counts only if its request was sent after the limit
    /// in force was heard of, so that the response is certainly later.
    pub fn note_response(&mut self, response: &RateResponse, now: Duration) -> bool {
        let new = match response.statement {
            RateStatement::PerSecond(rate) => KnownRate::PerSecond(rate),
            RateStatement::Unlimited => KnownRate::Unlimited,
            RateStatement::Silent => return false,
        };
        let may_be_earlier = response.sent_at < self.changed_at;
        if new == self.known || may_be_earlier && !new.is_stricter_than(self.known) {
            return false;
        }
        let is_change = self.known.per_second() != new.per_second();
        self.known = new;
        self.changed_at = now;
        is_change
    }
}
