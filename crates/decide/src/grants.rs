// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Token grants of a rate limit: what its owner grants to the ingresses that ask.
//!
//! An ingress that asks the owner before it admits a request makes each request wait for the
//! answer. So while a limit is far from used up, the owner lets each ingress admit some requests
//! ahead: before the owner has granted tokens for them. The ingress reports these requests with its
//! next token request, and the owner then takes their tokens from its bucket. However fast a caller
//! begins to send, the limit is exceeded at most by the number of requests admitted ahead, and this
//! number stays within the excess that the operator tolerates.
//!
//! Ingresses that can't reach the owner ask its backup. Each claims the part of the limit that the
//! owner last gave it, and the backup counts all claims as one limit, so that callers that come in
//! bursts share one burst allowance. Once the limit is nearly used up, the owner reserves the parts
//! of the ingresses that have stopped asking, so that the sum stays within the limit. The workload
//! is many organisations that each ask at many ingresses rarely, and one that suddenly sends many
//! times its usual rate.

use std::time::Duration;

use fnv::FnvHashMap;

use crate::limits::{RateMeter, TokenBucket};

/// Time since its last token request for which an ingress counts as one that may admit requests
/// ahead. Its allowance to do so, [`crate::limits::AHEAD_LIFE`], has expired by then.
const REQUESTER_LIFE: Duration = Duration::from_secs(12);
/// Share of the burst that must be available for an ingress to admit requests ahead: below it, a
/// caller that begins to send many times its usual rate is limited exactly.
const AHEAD_BURST_MIN: f64 = 0.5;
/// Share of the tolerated excess that all ingresses together may admit ahead.
const AHEAD_SHARE: f64 = 0.4;
/// Share of the tolerated excess that an owner may grant at once after all daemons were killed: the
/// tokens granted before are not known, and the grants after two such kills within one window must
/// not exceed the limit.
const RESTART_SHARE: f64 = 0.35;
/// Share of the burst below which the owner reserves the parts of the ingresses that have stopped
/// asking.
const RESERVE_BELOW: f64 = 0.25;
/// Typical intervals between the token requests of an ingress after which it counts as silent: its
/// link to the owner may be cut, while it goes on admitting its part.
const SILENT_INTERVALS: f64 = 1.25;
/// Lower bound, as a share of the limit, of the demand by which the parts are computed: where there
/// is little demand, the first ingress to ask must not be given the whole limit as its part.
const DEMAND_SHARE_MIN: f64 = 0.5;
/// Time between two counts of the ingresses that ask.
const COUNT_EVERY: Duration = Duration::from_millis(100);
/// Requests that a backup grants an ingress at first: the owner may just have granted the burst.
const BACKUP_FIRST_GRANT: f64 = 1.0;
/// Share of the tolerated excess by which the burst is enlarged: of the two errors of a count over
/// many daemons, refusing a request within its limit is the one that harms a caller.
const BURST_SHARE: f64 = 0.05;

/// `LimitTolerance` is how far the operator lets admitted requests exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitTolerance {
    /// Length of the window that is counted.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub over: f64,
    /// Further requests in a window beyond that share.
    pub extra: f64,
}

impl LimitTolerance {
    /// Returns the excess: the requests beyond a limit that are tolerated in a window.
    fn excess(&self, rate: f64, burst: f64) -> f64 {
        (rate * self.window.as_secs_f64() + burst) * self.over + self.extra
    }
}

/// `TokenRequest` is a request for tokens from an ingress to the owner of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenRequest<'a> {
    /// Host of the ingress.
    pub requester: &'a str,
    /// Tokens that the ingress requests, one for each request that it would admit.
    pub wanted: f64,
    /// Requests that the ingress admitted ahead since its last token request; their tokens are
    /// taken from the owner's bucket.
    pub spent: f64,
}

/// `TokenGrant` is the answer of the owner or its backup.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenGrant {
    /// Requests that the ingress may admit.
    pub granted: f64,
    /// Part of the limit that the ingress enforces while it can't reach the owner, in requests a
    /// second.
    pub share: f64,
    /// Requests that the ingress may admit before its next token request, without tokens.
    pub ahead: u32,
}

/// `LimitOwner` counts one limit for the whole fleet, as its owner or the backup of it.
#[derive(Debug, Clone)]
pub struct LimitOwner {
    bucket: TokenBucket,
    burst: f64,
    requesters: FnvHashMap<Box<str>, LimitRequester>,
    /// Rate of the requests that all ingresses admitted.
    admitted: RateMeter,
    counted_at: Option<Duration>,
    /// Requests that all ingresses together may admit ahead.
    ahead_total: u32,
    /// Requests a second that ingresses may admit by themselves which have sent no token request
    /// for longer than they usually do.
    silent_share: f64,
}

/// `LimitRequester` is what the owner knows of an ingress.
#[derive(Debug, Clone, Copy, Default)]
struct LimitRequester {
    asked_at: Duration,
    /// Rate of the requests that the ingress admitted.
    admitted: RateMeter,
    /// Requests that the ingress may admit ahead.
    ahead: u32,
    /// Part of the limit that the owner gave the ingress, or that the ingress claimed from the
    /// backup, in requests a second.
    share: f64,
}

impl LimitRequester {
    /// Says whether the ingress has sent no token request for longer than it usually does.
    fn is_silent(&self, now: Duration) -> bool {
        let silent_seconds = now.saturating_sub(self.asked_at).as_secs_f64();
        silent_seconds * self.admitted.per_second(self.asked_at) > SILENT_INTERVALS
    }
}

impl LimitOwner {
    /// Builds the first owner of a limit.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self::with_bucket(TokenBucket::new(rate, burst, now), burst)
    }

    /// Builds the owner of a limit that may have had another owner until `since`. That owner may
    /// have granted the whole burst, so the bucket fills only from then on.
    pub fn with_predecessor(rate: f64, burst: f64, since: Duration) -> Self {
        Self::with_bucket(TokenBucket::empty(rate, burst, since), burst)
    }

    /// Builds the owner of a limit after all daemons restarted at `since`. The tokens granted
    /// before are not known, and after the restart all callers return at once. The tolerated excess
    /// keeps callers within their usual rate from being refused.
    pub fn after_restart(
        rate: f64,
        burst: f64,
        tolerance: &LimitTolerance,
        since: Duration,
    ) -> Self {
        let mut owner = Self::with_predecessor(rate, burst, since);
        owner.bucket.put(tolerance.excess(rate, burst) * RESTART_SHARE, since);
        owner
    }

    fn with_bucket(bucket: TokenBucket, burst: f64) -> Self {
        Self {
            bucket,
            burst,
            requesters: FnvHashMap::default(),
            admitted: RateMeter::default(),
            counted_at: None,
            ahead_total: 0,
            silent_share: 0.0,
        }
    }

    /// Answers a token request under the limit in force.
    pub fn answer(
        &mut self,
        rate: f64,
        burst: f64,
        tolerance: &LimitTolerance,
        request: &TokenRequest<'_>,
        now: Duration,
    ) -> TokenGrant {
        let excess = tolerance.excess(rate, burst);
        self.recount_requesters(now);
        self.burst = burst + excess * BURST_SHARE;
        let is_short = self.bucket.available(now) < self.burst * RESERVE_BELOW;
        let reserved = if is_short { self.silent_share } else { 0.0 };
        self.bucket.set_rate((rate - reserved).max(0.0), self.burst, now);
        self.bucket.pay(request.spent, now);
        let granted = self.bucket.take_up_to(request.wanted.clamp(0.0, self.burst), now);
        let admitted = granted + request.spent;
        self.admitted.note(admitted, now);
        let ahead_most = excess * AHEAD_SHARE;
        let has_headroom = self.bucket.available(now) >= self.burst * AHEAD_BURST_MIN;
        let requester = self.requesters.entry(request.requester.into()).or_default();
        self.ahead_total -= requester.ahead;
        requester.asked_at = now;
        requester.admitted.note(admitted, now);
        requester.share = rate * requester.admitted.per_second(now)
            / self.admitted.per_second(now).max(rate * DEMAND_SHARE_MIN);
        let share = requester.share;
        let ahead = if has_headroom { self.ahead_allowance(ahead_most) } else { 0 };
        self.note_ahead(request.requester, ahead);
        TokenGrant { granted, share, ahead }
    }

    /// Recounts the ingresses that request tokens, and removes those that have requested none for
    /// [`REQUESTER_LIFE`]. Recounts once every [`COUNT_EVERY`] rather than at each token request,
    /// as a limit of a large fleet has thousands of such ingresses.
    fn recount_requesters(&mut self, now: Duration) {
        if self.counted_at.is_some_and(|at| now.saturating_sub(at) < COUNT_EVERY) {
            return;
        }
        self.counted_at = Some(now);
        self.requesters
            .retain(|_, requester| now.saturating_sub(requester.asked_at) < REQUESTER_LIFE);
        self.ahead_total = self.requesters.values().map(|requester| requester.ahead).sum();
        let silent_requesters =
            self.requesters.values().filter(|requester| requester.is_silent(now));
        self.silent_share = silent_requesters.map(|requester| requester.share).sum();
    }

    /// Returns how many requests one ingress may admit ahead, if all ingresses of the fleet
    /// together may admit `most`.
    fn ahead_allowance(&self, most: f64) -> u32 {
        let equal_part = (most / self.requesters.len() as f64).ceil();
        (most - f64::from(self.ahead_total)).min(equal_part).max(0.0) as u32
    }

    fn note_ahead(&mut self, requester: &str, ahead: u32) {
        if let Some(known_requester) = self.requesters.get_mut(requester) {
            known_requester.ahead = ahead;
            self.ahead_total += ahead;
        }
    }

    /// Answers as the backup of the owner, for an ingress that claims this many requests a second.
    pub fn answer_as_backup(
        &mut self,
        rate: f64,
        burst: f64,
        claim: f64,
        request: &TokenRequest<'_>,
        now: Duration,
    ) -> TokenGrant {
        self.requesters
            .retain(|_, requester| now.saturating_sub(requester.asked_at) < REQUESTER_LIFE);
        let is_new = !self.requesters.contains_key(request.requester);
        let requester = self.requesters.entry(request.requester.into()).or_default();
        requester.asked_at = now;
        requester.share = claim.clamp(0.0, rate);
        let claim = requester.share;
        let claimed: f64 = self.requesters.values().map(|requester| requester.share).sum();
        let claimed = claimed.min(rate);
        self.burst = (burst * claimed / rate).max(1.0);
        self.bucket.set_rate(claimed, self.burst, now);
        if is_new {
            self.bucket.put(BACKUP_FIRST_GRANT, now);
        }
        let granted = self.bucket.take_up_to(request.wanted.clamp(0.0, self.burst), now);
        TokenGrant { granted, share: claim, ahead: 0 }
    }
}
