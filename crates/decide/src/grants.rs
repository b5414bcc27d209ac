// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the home of a limit grants to the ingresses that ask.
//!
//! An ingress that asks before it lets a request in makes each request wait for the answer. So while a limit is
//! far from used up, the home lets each ingress run ahead: a request may be let in before it is paid for. What
//! can be let in too much by that is the number of requests ahead, however fast a caller begins to send; it
//! stays within what the operator tolerates.
//!
//! Ingresses that can't reach the home ask its deputy. Each claims the part of the limit that the home told it, and
//! the deputy counts all claims as one limit, so that callers that come in clumps share one burst. Once the limit
//! is nearly used up, the home keeps the parts of those it doesn't hear of, so that the sum stays within it. The loads that this answers are many organisations that each ask
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
const AHEAD_SHARE: f64 = 0.4;
/// Share of what is tolerated that a home may grant at once after all daemons were killed: what was granted before is
/// not known, and two such kills within one window must not break the limit.
const RESTART_SHARE: f64 = 0.35;
/// Share of the burst below which the home keeps the parts of those that are silent.
const KEEP_BELOW: f64 = 0.25;
/// Times between two questions, as they usually come, after which an ingress counts as silent: it may be cut off,
/// and goes on to let in its part.
const SILENT_FOR: f64 = 1.25;
/// Part of a limit that is told as if it were asked for, at the least: where little is, the first who asks must
/// not be told that all is his.
const ASKED_LEAST: f64 = 0.5;
/// Time between counts of those who ask.
const COUNT_EVERY: Duration = Duration::from_millis(100);
/// Requests that a deputy grants an ingress at first: the home may just have granted the burst.
const DEPUTY_FIRST: f64 = 1.0;
/// Share of what is tolerated by which the burst is larger: of the two errors of a count over many daemons, the
/// refusal of a request within its limit is the one that harms a caller.
const BURST_SHARE: f64 = 0.05;

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
    /// Its part of the limit, in requests a second, for as long as it can't reach the home.
    pub share: f64,
    /// Requests that it may let in ahead of its next question.
    pub ahead: u32,
}

/// `LimitHome` counts one limit for the whole fleet.
#[derive(Debug, Clone)]
pub struct LimitHome {
    bucket: TokenBucket,
    burst: f64,
    askers: FnvHashMap<Box<str>, LimitAsker>,
    /// Pace of what all of them let in.
    let_in: PaceMeter,
    counted_at: Option<Duration>,
    /// Requests that all of them may run ahead by.
    given: u32,
    /// Requests a second that silent ones may let in by themselves.
    silent: f64,
}

/// `LimitAsker` is what the home knows of an ingress.
#[derive(Debug, Clone, Copy, Default)]
struct LimitAsker {
    asked_at: Duration,
    /// Pace of what it let in.
    let_in: PaceMeter,
    /// Requests that it may run ahead by.
    ahead: u32,
    /// Its part of the limit, in requests a second: as it was told by the home, or as it claims it from a deputy.
    share: f64,
}

impl LimitAsker {
    /// Says whether the ingress is silent although it usually asks.
    fn is_silent(&self, now: Duration) -> bool {
        let silent = now.saturating_sub(self.asked_at).as_secs_f64();
        silent * self.let_in.pace(self.asked_at) > SILENT_FOR
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

    /// Builds the home of a limit after all daemons started again at `since`, without word of what was granted before:
    /// callers come back all at once then, and what is tolerated beyond the limit spares the usual of them a refusal.
    pub fn restarted(rate: f64, burst: f64, tolerance: &LimitTolerance, since: Duration) -> Self {
        let mut home = Self::following(rate, burst, since);
        home.bucket.put(tolerance.excess(rate, burst) * RESTART_SHARE, since);
        home
    }

    fn with_bucket(bucket: TokenBucket, burst: f64) -> Self {
        Self {
            bucket,
            burst,
            askers: FnvHashMap::default(),
            let_in: PaceMeter::default(),
            counted_at: None,
            given: 0,
            silent: 0.0,
        }
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
        self.count_askers(now);
        self.burst = burst + excess * BURST_SHARE;
        let is_short = self.bucket.left(now) < self.burst * KEEP_BELOW;
        let kept = if is_short { self.silent } else { 0.0 };
        self.bucket.set_rate((rate - kept).max(0.0), self.burst, now);
        self.bucket.pay(question.spent, now);
        let granted = self.bucket.take_up_to(question.wanted.clamp(0.0, self.burst), now);
        let let_in = granted + question.spent;
        self.let_in.note(let_in, now);
        let ahead_most = excess * AHEAD_SHARE;
        let is_roomy = self.bucket.left(now) >= self.burst * AHEAD_FROM;
        let asker = self.askers.entry(question.asker.into()).or_default();
        self.given -= asker.ahead;
        asker.asked_at = now;
        asker.let_in.note(let_in, now);
        asker.share = rate * asker.let_in.pace(now) / self.let_in.pace(now).max(rate * ASKED_LEAST);
        let share = asker.share;
        let ahead = if is_roomy { self.ahead(ahead_most) } else { 0 };
        self.note_ahead(question.asker, ahead);
        GrantAnswer { granted, share, ahead }
    }

    /// Counts the askers anew, and forgets those that have not asked for long. Not at each question: a limit of a
    /// large fleet has thousands.
    fn count_askers(&mut self, now: Duration) {
        if self.counted_at.is_some_and(|at| now.saturating_sub(at) < COUNT_EVERY) {
            return;
        }
        self.counted_at = Some(now);
        self.askers.retain(|_, asker| now.saturating_sub(asker.asked_at) < ASKER_LIFE);
        self.given = self.askers.values().map(|asker| asker.ahead).sum();
        let silent = self.askers.values().filter(|asker| asker.is_silent(now));
        self.silent = silent.map(|asker| asker.share).sum();
    }

    /// Returns how many requests one more ingress may run ahead by, of so many over the fleet.
    fn ahead(&self, most: f64) -> u32 {
        let fair = (most / self.askers.len() as f64).ceil();
        (most - f64::from(self.given)).min(fair).max(0.0) as u32
    }

    fn note_ahead(&mut self, asker: &str, ahead: u32) {
        if let Some(known) = self.askers.get_mut(asker) {
            known.ahead = ahead;
            self.given += ahead;
        }
    }

    /// Answers as the deputy of the home, for an ingress that claims so many requests a second.
    pub fn answer_as_deputy(
        &mut self,
        rate: f64,
        burst: f64,
        claim: f64,
        question: &GrantQuestion<'_>,
        now: Duration,
    ) -> GrantAnswer {
        self.askers.retain(|_, asker| now.saturating_sub(asker.asked_at) < ASKER_LIFE);
        let is_new = !self.askers.contains_key(question.asker);
        let asker = self.askers.entry(question.asker.into()).or_default();
        asker.asked_at = now;
        asker.share = claim.clamp(0.0, rate);
        let claim = asker.share;
        let claimed: f64 = self.askers.values().map(|asker| asker.share).sum();
        let claimed = claimed.min(rate);
        self.burst = (burst * claimed / rate).max(1.0);
        self.bucket.set_rate(claimed, self.burst, now);
        if is_new {
            self.bucket.put(DEPUTY_FIRST, now);
        }
        let granted = self.bucket.take_up_to(question.wanted.clamp(0.0, self.burst), now);
        GrantAnswer { granted, share: claim, ahead: 0 }
    }
}
