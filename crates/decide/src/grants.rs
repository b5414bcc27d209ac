// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the home of a limit grants to the ingresses that ask.
//!
//! An ingress that asks before it lets a request in makes each request wait for the answer. So while a limit is
//! far from used up, the home lets each ingress run ahead: a request may be let in before it is paid for. What
//! can be let in too much by that is the number of requests ahead, however fast a caller begins to send; it
//! stays within what the operator tolerates. The loads that this answers are many organisations that each ask
//! at many ingresses seldom, and one that suddenly sends many times its usual.

use std::time::Duration;

use fnv::FnvHashMap;

use crate::limits::{PaceMeter, TokenBucket};

/// Time for which an ingress counts as one that may run ahead, after it asked last. What it was allowed ahead
/// lapses before.
const ASKER_LIFE: Duration = Duration::from_secs(12);
/// Share of the burst that must be left for an ingress to run ahead: one that begins to send many times its
/// usual is held back exactly from there on.
const AHEAD_FROM: f64 = 0.5;
/// Share of what is tolerated that all ingresses together may run ahead by.
const AHEAD_SHARE: f64 = 0.5;
/// Times between two questions, as they usually come, after which an ingress is taken for cut off: what it goes
/// on to let in by itself is kept for it.
const SILENT_FOR: f64 = 1.5;
/// Share of what is tolerated by which the burst is larger: of the two errors of a count over many daemons, the
/// refusal of a request within its limit is the one that harms a caller.
const BURST_SHARE: f64 = 0.4;

/// `LimitTolerance` is how far beyond a limit the operator tolerates requests that were let in.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitTolerance {
    /// Length of the window that is counted.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub over: f64,
    /// Requests in a window beyond that share.
    pub extra: f64,
}

impl LimitTolerance {
    /// Returns the requests beyond a limit that are tolerated in a window.
    fn excess(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * self.over + self.extra
    }
}

/// `GrantQuestion` is what an ingress asks the home of a limit for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantQuestion<'a> {
    /// Host of the ingress.
    pub asker: &'a str,
    /// Requests that it would let in.
    pub wanted: f64,
    /// Requests that it let in ahead and pays for now.
    pub spent: f64,
}

/// `GrantAnswer` is what the home answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantAnswer {
    /// Requests that the ingress may let in.
    pub granted: f64,
    /// Requests that it may let in ahead of its next question.
    pub ahead: u32,
}

/// `LimitHome` counts one limit for the whole fleet.
#[derive(Debug, Clone)]
pub struct LimitHome {
    bucket: TokenBucket,
    burst: f64,
    askers: FnvHashMap<Box<str>, LimitAsker>,
}

/// `LimitAsker` is what the home knows of an ingress.
#[derive(Debug, Clone, Copy, Default)]
struct LimitAsker {
    asked_at: Duration,
    /// Pace of what it let in.
    let_in: PaceMeter,
    /// Requests that it may run ahead by.
    ahead: u32,
}

impl LimitAsker {
    /// Returns the requests a second that are kept for an ingress which is silent although it usually asks.
    fn kept(&self, now: Duration) -> f64 {
        let pace = self.let_in.pace(self.asked_at);
        let silent = now.saturating_sub(self.asked_at).as_secs_f64();
        if silent * pace > SILENT_FOR {
            pace
        } else {
            0.0
        }
    }
}

impl LimitHome {
    /// Builds the first home of a limit.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self::with_bucket(TokenBucket::new(rate, burst, now), burst)
    }

    /// Builds the home of a limit that may have had another one until a moment, which granted the whole burst:
    /// the bucket fills from then on.
    pub fn following(rate: f64, burst: f64, since: Duration) -> Self {
        Self::with_bucket(TokenBucket::empty(rate, burst, since), burst)
    }

    fn with_bucket(bucket: TokenBucket, burst: f64) -> Self {
        Self { bucket, burst, askers: FnvHashMap::default() }
    }

    /// Answers a question under the limit as it is in force.
    pub fn answer(
        &mut self,
        rate: f64,
        burst: f64,
        tolerance: &LimitTolerance,
        question: &GrantQuestion<'_>,
        now: Duration,
    ) -> GrantAnswer {
        let excess = tolerance.excess(rate, burst);
        self.burst = burst + excess * BURST_SHARE;
        self.askers.retain(|_, asker| now.saturating_sub(asker.asked_at) < ASKER_LIFE);
        let kept: f64 = self.askers.values().map(|asker| asker.kept(now)).sum();
        self.bucket.set_rate((rate - kept).max(0.0), self.burst, now);
        self.bucket.pay(question.spent, now);
        let granted = self.bucket.take_up_to(question.wanted.clamp(0.0, self.burst), now);
        let asker = self.askers.entry(question.asker.into()).or_default();
        asker.asked_at = now;
        asker.ahead = 0;
        asker.let_in.note(granted + question.spent, now);
        let ahead = self.ahead(excess * AHEAD_SHARE, now);
        self.askers.entry(question.asker.into()).or_default().ahead = ahead;
        GrantAnswer { granted, ahead }
    }

    /// Returns how many requests the ingress that asks may run ahead by, of so many over the fleet.
    fn ahead(&mut self, most: f64, now: Duration) -> u32 {
        if self.bucket.left(now) < self.burst * AHEAD_FROM {
            return 0;
        }
        let given: u32 = self.askers.values().map(|asker| asker.ahead).sum();
        let fair = (most / self.askers.len() as f64).ceil();
        (most - f64::from(given)).min(fair).max(0.0) as u32
    }
}
