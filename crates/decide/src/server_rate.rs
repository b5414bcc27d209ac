// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Tracks the rate limit that a backend server names in its responses, and spaces the requests to
//! the server accordingly.
//!
//! A server in need names the requests per second that it takes from all hosts together, for as
//! long as its responses name the limit. The daemon beside the server is the only sender of the
//! server's requests, so that a limit which this daemon holds is held by the fleet. After a restart
//! the daemon learns the limit again from the ingresses that passed on a response with the limit,
//! before the first request of such an ingress starts.

use std::time::Duration;

use crate::limits::TokenBucket;

/// Time whose requests a server may get at once after a pause.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Smallest rate, in requests per second, at which a server gets requests. Only a response can say
/// that a server which takes no requests takes some again.
const RATE_MIN: f64 = 0.1;

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

/// `RateReport` is what the daemon beside a server reports of the server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateReport {
    /// Limit in force.
    pub known: KnownRate,
    /// Time until the limit allows the next request.
    pub turn_in: Duration,
}

/// `ServerRate` is the rate limit of one backend server, as the daemon beside the server holds it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ServerRate {
    known: KnownRate,
    /// Whether a response of the server said what is known, rather than an ingress.
    is_confirmed: bool,
    /// When the limit in force was first heard of.
    changed_at: Duration,
    /// Requests that may be sent now; `None` without a limit.
    bucket: Option<TokenBucket>,
}

impl ServerRate {
    /// Returns the limit in force.
    pub fn known(&self) -> KnownRate {
        self.known
    }

    /// Records the limit that an ingress has heard of, and says whether the limit changed. The
    /// ingress may know an earlier limit, so its report counts only until the server has responded
    /// to this daemon, and only if it lowers the limit.
    pub fn note_report(&mut self, per_second: f64, now: Duration) -> bool {
        let new = KnownRate::PerSecond(per_second);
        !self.is_confirmed && new.is_stricter_than(self.known) && self.set(new, now)
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
        self.is_confirmed = true;
        let may_be_earlier = response.sent_at < self.changed_at;
        if new == self.known || may_be_earlier && !new.is_stricter_than(self.known) {
            return false;
        }
        self.set(new, now)
    }

    /// Puts a limit in force, and says whether it differs from the one before. A bucket starts
    /// empty: requests of the time before the limit are still at the server, and a daemon that was
    /// restarted does not know what the server received before.
    fn set(&mut self, new: KnownRate, now: Duration) -> bool {
        let is_change = self.known.per_second() != new.per_second();
        self.known = new;
        self.changed_at = now;
        self.bucket = new.per_second().map(|rate| {
            let rate = rate.max(RATE_MIN);
            let burst = (rate * BURST_TIME.as_secs_f64()).max(1.0);
            let mut bucket = self.bucket.unwrap_or(TokenBucket::empty(rate, burst, now));
            bucket.set_rate(rate, burst, now);
            bucket
        });
        is_change
    }

    /// Returns the time until the next request may be sent; zero if it may be sent now.
    pub fn next_in(&self, now: Duration) -> Duration {
        self.wait_behind(0.0, now)
    }

    /// Estimates the time until a request may be sent that goes behind `requests` others.
    pub fn wait_behind(&self, requests: f64, now: Duration) -> Duration {
        self.bucket.map_or(Duration::ZERO, |bucket| bucket.time_to(requests + 1.0, now))
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Duration) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take_owed(1.0, now);
        }
    }

    /// Takes back the count of a request that was not sent.
    pub fn put_back(&mut self, now: Duration) {
        if let Some(bucket) = &mut self.bucket {
            bucket.put(1.0, now);
        }
    }
}
