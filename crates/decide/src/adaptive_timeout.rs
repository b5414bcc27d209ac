// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Adaptive timeout: how long a request may run at a backend server while others wait for its slot.
//!
//! A request that hangs holds its slot until the timeout given to the server. The workload is a
//! service that is full while some of its servers hang: there a quarter of the slots' time went to
//! requests that hung (88 hung requests held slots for as long as 2,500 calls would have needed).
//! So a full server is given only the time in which nearly all requests that don't hang end,
//! instead of all the time that the caller would wait. After that time, the server itself ends the
//! request with its answer. Requests are bounded like that only where slow ones were seen to hang
//! rather than to be answered late; this helps where load balancing sends repeatable requests to
//! the slots that become free.
//!
//! A server that begins to hang has all its slots taken before any of its requests is slow. So what
//! other servers of the service saw counts as well, where it is reported, and requests are bounded
//! from the first one on: where servers hang one after another, the next hangs like the last.

use std::time::Duration;

use crate::hang::UsualTime;

/// Deviations above the typical service time that a request is given: 99 in 100 requests that don't
/// hang end within it. Of the requests that run longer, nine in ten hang where one request in
/// twelve does.
const ALLOWED_DEVIATIONS: f64 = 2.33;
/// One request in this many is given all of its time, so that a server that has become slow can be
/// told apart from one that hangs.
const UNBOUNDED_EVERY: u32 = 8;
/// Time constant with which the counts of slow requests decay: servers hang for seconds at a time,
/// and those that hung recently tend to hang again.
const EVIDENCE_LIFE: Duration = Duration::from_secs(20);
/// Requests that must have hung before requests are bounded: fewer may be the tail of healthy ones.
const HUNG_MIN: f64 = 2.0;
/// Ratio of hung to late requests from which requests are bounded. Bounding requests that would be
/// answered cost 0.015 of the worth of the answers in the mean of 20 runs of fleets whose servers
/// fail with errors.
const HUNG_TO_LATE_MIN: f64 = 4.0;

/// Requests that must have hung at all servers of a service before a server with free slots is
/// given the shorter timeout as well. A free slot may be taken by a request that hangs at any
/// moment.
const SERVICE_HUNG_MIN: f64 = 10.0;

/// `SlowRequests` holds decaying counts of requests that ran longer than nearly all healthy ones.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlowRequests {
    /// Requests that made no progress, less those that were answered after all.
    pub hung: f64,
    /// Requests that were answered late.
    pub late: f64,
}

impl SlowRequests {
    /// Returns the counts after they decayed for `age`.
    pub fn decayed(&self, age: Duration) -> Self {
        let remaining_share = (-age.as_secs_f64() / EVIDENCE_LIFE.as_secs_f64()).exp();
        Self { hung: self.hung * remaining_share, late: self.late * remaining_share }
    }

    /// Returns the sum of both counts.
    pub fn with(&self, other: &Self) -> Self {
        Self { hung: self.hung + other.hung, late: self.late + other.late }
    }

    /// Says whether slow requests hung rather than being answered late.
    fn is_hanging(&self) -> bool {
        self.hung >= HUNG_MIN && self.hung >= HUNG_TO_LATE_MIN * self.late
    }
}

/// `TimeoutTerms` is what is known about a request that is about to start.
#[derive(Debug, Clone, Copy)]
pub struct TimeoutTerms {
    /// Time from now to the deadline of the request.
    pub left: Duration,
    /// Time from now to the objective of the request; zero if the objective has passed or none was
    /// declared.
    pub objective_left: Duration,
    /// Distribution of the service times of requests of the same route, if enough of them were
    /// seen.
    pub usual: Option<UsualTime>,
    /// Whether the server has no free slot besides that of this request.
    pub full: bool,
    /// Slow requests that were reported by the other servers of the service.
    pub siblings: SlowRequests,
}

/// `AttemptTimeout` is the timeout of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimeout {
    /// Timeout that the server is given.
    pub time: Duration,
    /// Time after which an answer counts as late: a late answer shows that healthy requests run
    /// longer than this timeout allows.
    pub late_after: Duration,
}

/// `AdaptiveTimeout` sets the timeouts of the requests at one backend server.
#[derive(Debug, Clone, Default)]
pub struct AdaptiveTimeout {
    bounded: u32,
    slow: SlowRequests,
    counted_at: Duration,
}

impl AdaptiveTimeout {
    /// Returns the timeout of a request that starts at `now`. A request whose objective has not
    /// passed always has until its objective at least.
    pub fn timeout_for(&mut self, terms: &TimeoutTerms, now: Duration) -> AttemptTimeout {
        let usual = terms.usual.map(|usual| usual.at(ALLOWED_DEVIATIONS).max(terms.objective_left));
        let late_after = usual.unwrap_or(terms.left);
        let unbounded = AttemptTimeout { time: terms.left, late_after };
        let slow = self.slow_requests(now).with(&terms.siblings);
        let is_bounded = terms.full || slow.hung >= SERVICE_HUNG_MIN;
        if !is_bounded || late_after >= terms.left || !slow.is_hanging() {
            return unbounded;
        }
        self.bounded += 1;
        if self.bounded.is_multiple_of(UNBOUNDED_EVERY) {
            return unbounded;
        }
        AttemptTimeout { time: late_after, late_after }
    }

    /// Records that a request has been running for its `late_after` and makes no progress.
    pub fn note_overrun(&mut self, now: Duration) {
        self.decay(now);
        self.slow.hung += 1.0;
    }

    /// Records that a healthy request was answered after this time; `overrun` says whether
    /// [`Self::note_overrun`] was called for it.
    pub fn note_answered(
        &mut self,
        given: &AttemptTimeout,
        took: Duration,
        overrun: bool,
        now: Duration,
    ) {
        if took <= given.late_after {
            return;
        }
        self.decay(now);
        self.slow.late += 1.0;
        if overrun {
            self.slow.hung = (self.slow.hung - 1.0).max(0.0);
        }
    }

    /// Returns the slow requests seen at this server.
    pub fn slow_requests(&self, now: Duration) -> SlowRequests {
        self.slow.decayed(now.saturating_sub(self.counted_at))
    }

    fn decay(&mut self, now: Duration) {
        self.slow = self.slow_requests(now);
        self.counted_at = now;
    }
}
