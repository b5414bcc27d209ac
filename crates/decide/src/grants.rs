// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Token grants of a rate limit: how many tokens the owner of the limit grants to each ingress.
//!
//! An ingress that asks the owner before it admits a request makes each request wait for the
//! answer. So while a limit is far from used up, the owner lets each ingress admit some requests
//! ahead: before the owner has granted tokens for them. The ingress reports these requests with its
//! next token request, and the owner then takes their tokens from its bucket. However fast a caller
//! begins to send, the limit is exceeded at most by the number of requests admitted ahead, and this
//! number stays within the excess that the operator tolerates.
//!
//! Ingresses that can't reach the owner send their token requests to the owner's backup. Each
//! ingress claims the part of the limit that the owner last gave it, and the backup counts all
//! claims as one limit, so that callers that come in bursts share one burst allowance. Once the
//! limit is nearly used up, the owner reserves the parts of the ingresses that have stopped sending
//! token requests, so that the sum stays within the limit. The workload is many organisations, each
//! of which sends few requests to each of many ingresses, and one organisation that suddenly sends
//! many times its usual rate.

use std::time::Duration;

use fnv::FnvHashMap;

use crate::limits::{RateMeter, TokenBucket};

/// Time for which an ingress is remembered after its last token request. This time is longer than
/// [`crate::limits::AHEAD_LIFE`], so that an ingress is forgotten only after its allowance to admit
/// requests before tokens are granted for them has expired.
const REQUESTER_LIFE: Duration = Duration::from_secs(12);
/// Share of the burst that must be available for ingresses to admit requests before tokens are
/// granted for them. While less is available, a caller that begins to send many times its usual
/// rate is limited exactly.
const AHEAD_BURST_SHARE_MIN: f64 = 0.5;
/// Share of the tolerated excess that all ingresses together may admit before tokens are granted.
const AHEAD_EXCESS_SHARE: f64 = 0.4;
/// Share of the tolerated excess that an owner may grant at once after all daemons were killed: the
/// tokens granted before the kill are not known, and the grants after two such kills within one
/// window must not exceed the limit.
const RESTART_EXCESS_SHARE: f64 = 0.35;
/// Share of the burst below which the owner reserves the parts of the ingresses that have stopped
/// sending token requests.
const RESERVE_BURST_SHARE: f64 = 0.25;
/// Number of typical intervals between the token requests of an ingress after which the ingress
/// counts as having stopped. The ingress's link to the owner may be cut, while the ingress goes on
/// admitting its part of the limit.
const STOPPED_INTERVALS: f64 = 1.25;
/// Lower bound, as a share of the limit, of the total demand by which the parts of the ingresses
/// are computed: while there is little demand, the first ingress that sends a token request must
/// not be given the whole limit as its part.
const DEMAND_SHARE_MIN: f64 = 0.5;
/// Time between two counts of the ingresses that send token requests.
const RECOUNT_INTERVAL: Duration = Duration::from_millis(100);
/// Tokens that a backup adds for the first token request of an ingress. The backup adds no whole
/// burst, as the owner may just have granted a burst.
const BACKUP_FIRST_GRANT: f64 = 1.0;
/// Share of the tolerated excess by which the burst is enlarged. A count over many daemons errs in
/// both directions, and refusing a request within its limit harms a caller, while admitting a
/// request beyond the limit does not.
const BURST_EXCESS_SHARE: f64 = 0.05;

/// `LimitTolerance` is how far the operator lets admitted requests exceed a limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitTolerance {
    /// Length of the window in which admitted requests are counted.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub over: f64,
    /// Requests tolerated in a window in addition to `over`.
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
    /// Requests that the ingress admitted without tokens since its last token request; the owner
    /// takes the tokens of these requests from its bucket.
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
    /// Requests that all ingresses together may admit before tokens are granted for them.
    ahead_total: u32,
    /// Sum of the parts, in requests a second, of the ingresses that have stopped sending token
    /// requests and may admit requests by themselves.
    stopped_share_sum: f64,
}

/// `LimitRequester` is what the owner knows of an ingress.
#[derive(Debug, Clone, Copy, Default)]
struct LimitRequester {
    asked_at: Duration,
    /// Rate of the requests that the ingress admitted.
    admitted: RateMeter,
    /// Requests that the ingress may admit before tokens are granted for them.
    ahead: u32,
    /// Part of the limit that the owner gave the ingress, or that the ingress claimed from the
    /// backup, in requests a second.
    share: f64,
}

impl LimitRequester {
    /// Says whether the time since the ingress's last token request is longer than the typical
    /// interval between its token requests.
    fn has_stopped_requesting(&self, now: Duration) -> bool {
        let seconds_since_request = now.saturating_sub(self.asked_at).as_secs_f64();
        seconds_since_request * self.admitted.per_second(self.asked_at) > STOPPED_INTERVALS
    }
}

impl LimitOwner {
    /// Builds the first owner of a limit.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self::with_bucket(TokenBucket::new(rate, burst, now), burst)
    }

    /// Builds the owner of a limit that may have had another owner until `since`. The previous
    /// owner may have granted the whole burst, so the bucket is empty at `since` and fills from
    /// then on.
    pub fn with_predecessor(rate: f64, burst: f64, since: Duration) -> Self {
        Self::with_bucket(TokenBucket::empty(rate, burst, since), burst)
    }

    /// Builds the owner of a limit after all daemons restarted at `since`. The tokens granted
    /// before the restart are not known, and all callers return at once. A part of the tolerated
    /// excess is added to the bucket, so that callers within their usual rate are not refused.
    pub fn after_restart(
        rate: f64,
        burst: f64,
        tolerance: &LimitTolerance,
        since: Duration,
    ) -> Self {
        let mut owner = Self::with_predecessor(rate, burst, since);
        owner.bucket.put(tolerance.excess(rate, burst) * RESTART_EXCESS_SHARE, since);
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
            stopped_share_sum: 0.0,
        }
    }

    /// Returns the tokens that may be granted at once.
    pub fn available(&mut self, now: Duration) -> f64 {
        self.bucket.available(now)
    }

    /// Answers a token request as the owner of the limit.
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
        self.burst = burst + excess * BURST_EXCESS_SHARE;
        let is_short = self.bucket.available(now) < self.burst * RESERVE_BURST_SHARE;
        let reserved = if is_short { self.stopped_share_sum } else { 0.0 };
        self.bucket.set_rate((rate - reserved).max(0.0), self.burst, now);
        self.bucket.take_owed(request.spent, now);
        let granted = self.bucket.take_up_to(request.wanted.clamp(0.0, self.burst), now);
        let admitted = granted + request.spent;
        self.admitted.note(admitted, now);
        let fleet_ahead_max = excess * AHEAD_EXCESS_SHARE;
        let has_headroom = self.bucket.available(now) >= self.burst * AHEAD_BURST_SHARE_MIN;
        let requester = self.requesters.entry(request.requester.into()).or_default();
        self.ahead_total -= requester.ahead;
        requester.asked_at = now;
        requester.admitted.note(admitted, now);
        requester.share = rate * requester.admitted.per_second(now)
            / self.admitted.per_second(now).max(rate * DEMAND_SHARE_MIN);
        let share = requester.share;
        let ahead = if has_headroom { self.ahead_allowance(fleet_ahead_max) } else { 0 };
        self.note_ahead(request.requester, ahead);
        TokenGrant { granted, share, ahead }
    }

    /// Recounts the ingresses that request tokens, and removes the ingresses that have requested no
    /// tokens for [`REQUESTER_LIFE`]. Recounts once every [`RECOUNT_INTERVAL`] rather than at each
    /// token request, as thousands of ingresses request tokens of one limit in a large fleet.
    fn recount_requesters(&mut self, now: Duration) {
        if self.counted_at.is_some_and(|at| now.saturating_sub(at) < RECOUNT_INTERVAL) {
            return;
        }
        self.counted_at = Some(now);
        self.requesters
            .retain(|_, requester| now.saturating_sub(requester.asked_at) < REQUESTER_LIFE);
        self.ahead_total = self.requesters.values().map(|requester| requester.ahead).sum();
        let stopped_requesters =
            self.requesters.values().filter(|requester| requester.has_stopped_requesting(now));
        self.stopped_share_sum = stopped_requesters.map(|requester| requester.share).sum();
    }

    /// Returns how many requests one ingress may admit before tokens are granted for them, if all
    /// ingresses of the fleet together may so admit `fleet_max` requests.
    fn ahead_allowance(&self, fleet_max: f64) -> u32 {
        let equal_part = (fleet_max / self.requesters.len() as f64).ceil();
        (fleet_max - f64::from(self.ahead_total)).min(equal_part).max(0.0) as u32
    }

    fn note_ahead(&mut self, requester: &str, ahead: u32) {
        if let Some(known_requester) = self.requesters.get_mut(requester) {
            known_requester.ahead = ahead;
            self.ahead_total += ahead;
        }
    }

    /// Answers a token request as the backup of the owner; `claim` is the rate that the ingress
    /// claims, in requests a second.
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
