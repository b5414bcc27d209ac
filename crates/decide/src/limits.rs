// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits over the whole fleet: an owner that grants tokens, and ingresses that borrow them.
//!
//! The owner of a limit is the live daemon with the highest weight for it (rendezvous hashing; D.
//! Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that
//! every daemon finds it by itself. Ingresses borrow tokens in proportion to their recent use.
//! While the owner can't be reached, each ingress keeps to its part of the limit.

use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;

/// Time for which borrowed tokens are valid. Tokens that are not used within this time expire, so
/// that an ingress can't hoard them.
pub const GRANT_LIFE: Duration = Duration::from_millis(1000);
/// Time for which an ingress may use its allowance to admit requests before the owner grants tokens
/// for them. Callers that send a request every few seconds send the next one within this time, and
/// so don't wait.
pub const AHEAD_LIFE: Duration = Duration::from_secs(10);
/// Time constant over which the rate of requests is measured: long enough for callers that send a
/// request every few seconds to have a rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Burst at an ingress that reaches neither the owner nor its backup.
const STANDALONE_BURST: f64 = 2.0;
/// Fewest tokens requested from the owner at once, so that an ingress with few requests sends at
/// most one token request for each of them.
const REQUESTED_TOKENS_MIN: f64 = 1.0;
/// Part of a grant's lifetime for which tokens are requested in advance.
const REQUESTED_LIFE_SHARE: f64 = 0.25;

/// Finds the owner of a limit among `hosts`; all daemons with the same hosts find the same owner.
pub fn owner_of<'a>(limit: &str, hosts: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    hosts.max_by_key(|host| (weight(limit, host), *host))
}

/// Finds the backup of a limit's owner, which counts the requests of ingresses that can't reach the
/// owner.
pub fn backup_of<'a>(
    limit: &str,
    owner: &str,
    hosts: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    owner_of(limit, hosts.filter(|host| *host != owner))
}

/// Returns the weight of a host for a limit. All daemons compute the same weight.
pub fn weight(limit: &str, host: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(host.as_bytes());
    hasher.write_u8(0);
    hasher.write(limit.as_bytes());
    // FNV mixes the last bytes poorly into the high bits of the hash. The finalizer of splitmix64
    // mixes them well.
    let mut mixed = hasher.finish();
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// `TokenBucket` holds tokens that are refilled at a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Builds a full bucket.
    pub fn new(rate: f64, burst: f64, now: Duration) -> Self {
        Self { rate, burst, tokens: burst, filled_at: now }
    }

    /// Builds a bucket that was empty at `since` and has been refilled from then on, for a new
    /// owner, which must not grant a second burst.
    pub fn empty(rate: f64, burst: f64, since: Duration) -> Self {
        Self { tokens: 0.0, ..Self::new(rate, burst, since) }
    }

    /// Changes rate and burst.
    pub fn set_rate(&mut self, rate: f64, burst: f64, now: Duration) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes one token from the bucket; says whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.take_up_to(1.0, now) >= 1.0
    }

    /// Takes at most `wanted` whole tokens and returns how many were taken.
    pub fn take_up_to(&mut self, wanted: f64, now: Duration) -> f64 {
        self.fill(now);
        let taken = wanted.min(self.tokens).floor().max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Takes tokens that were used before they were granted. The bucket may become negative,
    /// by at most its capacity (the burst).
    pub fn take_owed(&mut self, spent: f64, now: Duration) {
        self.fill(now);
        self.tokens = (self.tokens - spent.max(0.0)).max(-self.burst);
    }

    /// Adds tokens, up to the capacity of the bucket.
    pub fn put(&mut self, tokens: f64, now: Duration) {
        self.fill(now);
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Returns the tokens in the bucket; negative if [`Self::take_owed`] took more than there were.
    pub fn available(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Returns the time until the bucket would hold this many tokens, if it were large enough.
    pub fn time_to(&self, tokens: f64, now: Duration) -> Duration {
        let missing_tokens = (tokens - self.tokens).max(0.0);
        let filled_in = Duration::from_secs_f64((missing_tokens / self.rate).min(3600.0));
        (self.filled_at + filled_in).saturating_sub(now)
    }

    /// Returns the time until the bucket holds a whole token.
    pub fn next_in(&self) -> Duration {
        let missing_tokens = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64((missing_tokens / self.rate).min(3600.0))
    }
}

/// `RateMeter` measures the rate of requests, weighted by recency.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateMeter {
    count: f64,
    noted_at: Duration,
}

impl RateMeter {
    /// Records that this many requests arrived.
    pub fn note(&mut self, requests: f64, now: Duration) {
        self.count = self.decayed(now) + requests;
        self.noted_at = self.noted_at.max(now);
    }

    /// Returns the rate in requests a second.
    pub fn per_second(&self, now: Duration) -> f64 {
        self.decayed(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.noted_at).as_secs_f64();
        self.count * (-elapsed / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// `LimitVerdict` says whether a request is within a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitVerdict {
    /// The request is within the limit.
    Pass,
    /// The request is admitted before the owner has granted a token for it; the token is requested
    /// from the owner in the meantime.
    PassAhead,
    /// The request is beyond the limit; the caller may retry after the given time.
    Refuse(Duration),
    /// No borrowed token is available; the ingress must first request this many from the owner.
    Ask(f64),
}

/// `StandaloneTerms` is what an ingress enforces while it reaches neither the owner nor the backup.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StandaloneTerms {
    /// Requests a second of the limit.
    pub rate: f64,
    /// Burst of the limit.
    pub burst: f64,
    /// Daemons among which the limit is shared.
    pub daemons: usize,
    /// When the ingress's part of the burst was used up; `None` if none of it was used.
    pub since: Option<Duration>,
}

/// `LocalLimiter` enforces one limit at one ingress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalLimiter {
    borrowed: f64,
    valid_until: Duration,
    refused_until: Duration,
    /// Requests since `used_since`.
    used: f64,
    used_since: Duration,
    per_second: f64,
    /// Part of the limit, in requests a second, that the owner last gave this ingress.
    share: f64,
    /// Requests that may still be admitted before a token is granted for them, until `ahead_until`.
    ahead: u32,
    ahead_until: Duration,
    /// Requests that were admitted before a token was granted for them and are not yet reported to
    /// the owner, which takes their tokens from its bucket.
    spent: f64,
    /// Maximum rate, in requests a second, at which this ingress admits requests while the owner
    /// can't be reached.
    claim: Option<f64>,
    standalone: Option<TokenBucket>,
}

impl LocalLimiter {
    /// Builds a limiter without tokens.
    pub fn new(now: Duration) -> Self {
        Self {
            borrowed: 0.0,
            valid_until: Duration::ZERO,
            refused_until: Duration::ZERO,
            used: 0.0,
            used_since: now,
            per_second: 0.0,
            share: 0.0,
            ahead: 0,
            ahead_until: Duration::ZERO,
            spent: 0.0,
            claim: None,
            standalone: None,
        }
    }

    /// Says whether a request is within the limit, and takes its token if so.
    pub fn admit(&mut self, now: Duration) -> LimitVerdict {
        self.count_request(now);
        if let Some(bucket) = &mut self.standalone {
            if bucket.take(now) {
                return LimitVerdict::Pass;
            }
            return LimitVerdict::Refuse(bucket.next_in());
        }
        if now <= self.valid_until && self.borrowed >= 1.0 {
            self.borrowed -= 1.0;
            return LimitVerdict::Pass;
        }
        if now < self.refused_until {
            return LimitVerdict::Refuse(self.refused_until - now);
        }
        if self.ahead > 0 && now <= self.ahead_until {
            self.ahead -= 1;
            self.spent += 1.0;
            return LimitVerdict::PassAhead;
        }
        LimitVerdict::Ask(self.wanted())
    }

    fn count_request(&mut self, now: Duration) {
        self.used += 1.0;
        let elapsed = now.saturating_sub(self.used_since);
        if elapsed >= GRANT_LIFE {
            self.per_second = self.used / elapsed.as_secs_f64();
            self.used = 0.0;
            self.used_since = now;
        }
    }

    fn wanted(&self) -> f64 {
        (self.per_second * GRANT_LIFE.as_secs_f64() * REQUESTED_LIFE_SHARE)
            .ceil()
            .max(REQUESTED_TOKENS_MIN)
    }

    /// Records a grant of the owner. After a grant of no token, requests are refused for `wait`.
    pub fn note_grant(&mut self, granted: f64, wait: Duration, now: Duration) {
        self.standalone = None;
        if granted < 1.0 {
            self.refused_until = now + wait;
            return;
        }
        let valid_tokens = if now <= self.valid_until { self.borrowed } else { 0.0 };
        self.borrowed = valid_tokens + granted;
        self.valid_until = now + GRANT_LIFE;
    }

    /// Takes the count of requests that were admitted before a token was granted for them, to be
    /// reported with the next token request.
    pub fn take_spent(&mut self) -> f64 {
        std::mem::take(&mut self.spent)
    }

    /// Records that the count from [`Self::take_spent`] may not have reached the owner: the next
    /// token request includes it again.
    pub fn restore_spent(&mut self, spent: f64) {
        self.spent += spent;
    }

    /// Records the answer of the owner. `ahead` is how many requests may be admitted before the
    /// next token request, and `share` is this ingress's part of the limit, in requests a second.
    pub fn note_owner(&mut self, ahead: u32, share: f64, now: Duration) {
        self.standalone = None;
        self.claim = None;
        self.share = share;
        self.ahead = ahead;
        self.ahead_until = now + AHEAD_LIFE;
    }

    /// Puts back the token of a request that was admitted and then refused for another reason, as a
    /// refused request counts towards no limit.
    pub fn return_token(&mut self, now: Duration) {
        if self.standalone.is_none() {
            let valid_tokens = if now <= self.valid_until { self.borrowed } else { 0.0 };
            self.borrowed = valid_tokens + 1.0;
            self.valid_until = now + GRANT_LIFE;
        }
    }

    /// Records that the owner can't be reached, and returns the rate, in requests a second, at
    /// which this ingress admits requests until the owner can be reached again. The rate is the
    /// part of the limit that the owner last gave this ingress, or an equal part if the owner gave
    /// none. The parts follow the demand of the callers, so that the callers are still served, and
    /// the sum of the parts is the limit.
    pub fn note_owner_lost(&mut self, rate: f64, daemons: usize) -> f64 {
        let equal_share = rate / daemons.max(1) as f64;
        let claimed_rate = if self.share > 0.0 { self.share } else { equal_share };
        self.ahead = 0;
        *self.claim.get_or_insert(claimed_rate.min(rate))
    }

    /// Records that the backup of the owner answered. The backup counts the claims of all
    /// ingresses.
    pub fn note_backup(&mut self) {
        self.standalone = None;
    }

    /// Records that neither the owner nor its backup can be reached: from now on the ingress
    /// enforces its claim by itself.
    pub fn start_standalone(&mut self, terms: StandaloneTerms, now: Duration) {
        let StandaloneTerms { rate, burst, daemons, since } = terms;
        let claim = self.note_owner_lost(rate, daemons);
        if self.standalone.is_none() {
            let burst = (burst / daemons.max(1) as f64).max(STANDALONE_BURST);
            self.standalone = Some(match since {
                Some(since) => TokenBucket::empty(claim, burst, since),
                None => TokenBucket::new(claim, burst, now),
            });
        }
    }

    /// Says whether the ingress enforces its claim by itself.
    pub fn is_standalone(&self) -> bool {
        self.standalone.is_some()
    }
}
