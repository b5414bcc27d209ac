// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits over the whole fleet: a home that grants, and ingresses that borrow.
//!
//! The home of a limit is the live daemon with the highest weight for it (D. Thaler and C.
//! Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that every daemon finds
//! it alone. Ingresses borrow tokens sized to what they lately used. While the home can't be
//! reached, each ingress keeps to an equal share.

use std::hash::Hasher;
use std::time::Duration;

use fnv::FnvHasher;

/// Time that borrowed tokens stay good; what is not used by then is lost, not hoarded.
pub const GRANT_LIFE: Duration = Duration::from_millis(1000);
/// Time for which an ingress may use what it was allowed ahead: callers that ask every few seconds don't wait.
pub const AHEAD_LIFE: Duration = Duration::from_secs(10);
/// Time over which the pace of requests is measured: callers that ask every few seconds have one.
const PACE_MEMORY: Duration = Duration::from_secs(8);
/// Requests that may come at once at an ingress that reaches nobody who counts the limit.
const ALONE_BURST: f64 = 2.0;
/// Least tokens asked for at once, so that quiet callers do not ask for each request.
const ASK_MIN: f64 = 1.0;
/// Part of a grant's life whose demand is asked for ahead.
const ASK_AHEAD: f64 = 0.25;

/// Finds the home of a limit among `hosts`; all daemons with the same hosts find the same.
pub fn home_of<'a>(limit: &str, hosts: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    hosts.max_by_key(|host| (weight(limit, host), *host))
}

/// Finds the deputy of a limit's home: who counts for ingresses that can't reach the home.
pub fn deputy_of<'a>(
    limit: &str,
    home: &str,
    hosts: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    home_of(limit, hosts.filter(|host| *host != home))
}

/// Returns the weight of a host for a limit, the same in all daemons.
pub fn weight(limit: &str, host: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(host.as_bytes());
    hasher.write_u8(0);
    hasher.write(limit.as_bytes());
    // FNV mixes its last bytes badly into the high bits; this finalizer (splitmix64) does it.
    let mut mixed = hasher.finish();
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// `TokenBucket` holds tokens that come at a rate.
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

    /// Builds a bucket that was empty at a moment and has been filled since: a new home must not grant a second
    /// burst.
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

    /// Takes one token, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.take_up_to(1.0, now) >= 1.0
    }

    /// Takes at most `wanted` whole tokens and returns how many.
    pub fn take_up_to(&mut self, wanted: f64, now: Duration) -> f64 {
        self.fill(now);
        let taken = wanted.min(self.tokens).floor().max(0.0);
        self.tokens -= taken;
        taken
    }

    /// Takes tokens that were used ahead of being granted; the bucket may come to owe as much as it holds.
    pub fn pay(&mut self, spent: f64, now: Duration) {
        self.fill(now);
        self.tokens = (self.tokens - spent.max(0.0)).max(-self.burst);
    }

    /// Puts tokens in, up to what the bucket holds.
    pub fn put(&mut self, tokens: f64, now: Duration) {
        self.fill(now);
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Returns the tokens that are left.
    pub fn left(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Returns how long until there is a token again.
    pub fn next_in(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / self.rate).min(3600.0))
    }
}

/// `PaceMeter` measures how many requests come in a second, the later ones counting more.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PaceMeter {
    count: f64,
    noted_at: Duration,
}

impl PaceMeter {
    /// Takes requests in.
    pub fn note(&mut self, requests: f64, now: Duration) {
        self.count = self.faded(now) + requests;
        self.noted_at = self.noted_at.max(now);
    }

    /// Returns the requests a second.
    pub fn pace(&self, now: Duration) -> f64 {
        self.faded(now) / PACE_MEMORY.as_secs_f64()
    }

    fn faded(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.noted_at).as_secs_f64();
        self.count * (-elapsed / PACE_MEMORY.as_secs_f64()).exp()
    }
}

/// `LimitVerdict` says whether a request is within a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitVerdict {
    /// It is.
    Pass,
    /// It is let in ahead; the home is to be paid meanwhile.
    PassAhead,
    /// It is not; the caller may come back after this time.
    Refuse(Duration),
    /// Nothing is borrowed; ask the home for this many tokens first.
    Ask(f64),
}

/// `AloneTerms` is what an ingress goes by that reaches nobody who counts a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AloneTerms {
    /// Requests a second of the limit.
    pub rate: f64,
    /// Requests that may come at once under the limit.
    pub burst: f64,
    /// Daemons among which the limit is shared.
    pub daemons: usize,
    /// When nothing was left of the ingress's part of the burst; nothing where all of it was.
    pub since: Option<Duration>,
}

/// `LimitLedger` is one ingress's part of one limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitLedger {
    borrowed: f64,
    good_until: Duration,
    refused_until: Duration,
    used: f64,
    used_since: Duration,
    pace: f64,
    /// Part of the limit, in requests a second, that the home last told to be this ingress's.
    share: f64,
    ahead: u32,
    ahead_until: Duration,
    spent: f64,
    /// Requests a second to which it keeps since the home can't be reached.
    claim: Option<f64>,
    alone: Option<TokenBucket>,
}

impl LimitLedger {
    /// Builds a ledger without tokens.
    pub fn new(now: Duration) -> Self {
        Self {
            borrowed: 0.0,
            good_until: Duration::ZERO,
            refused_until: Duration::ZERO,
            used: 0.0,
            used_since: now,
            pace: 0.0,
            share: 0.0,
            ahead: 0,
            ahead_until: Duration::ZERO,
            spent: 0.0,
            claim: None,
            alone: None,
        }
    }

    /// Takes a request in.
    pub fn admit(&mut self, now: Duration) -> LimitVerdict {
        self.note_demand(now);
        if let Some(bucket) = &mut self.alone {
            if bucket.take(now) {
                return LimitVerdict::Pass;
            }
            return LimitVerdict::Refuse(bucket.next_in());
        }
        if now <= self.good_until && self.borrowed >= 1.0 {
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

    fn note_demand(&mut self, now: Duration) {
        self.used += 1.0;
        let elapsed = now.saturating_sub(self.used_since);
        if elapsed >= GRANT_LIFE {
            self.pace = self.used / elapsed.as_secs_f64();
            self.used = 0.0;
            self.used_since = now;
        }
    }

    fn wanted(&self) -> f64 {
        (self.pace * GRANT_LIFE.as_secs_f64() * ASK_AHEAD).ceil().max(ASK_MIN)
    }

    /// Takes the home's grant in; a grant of nothing refuses for `wait`.
    pub fn note_grant(&mut self, granted: f64, wait: Duration, now: Duration) {
        self.alone = None;
        if granted < 1.0 {
            self.refused_until = now + wait;
            return;
        }
        let kept = if now <= self.good_until { self.borrowed } else { 0.0 };
        self.borrowed = kept + granted;
        self.good_until = now + GRANT_LIFE;
    }

    /// Takes what was let in ahead, to be paid with the next question.
    pub fn take_spent(&mut self) -> f64 {
        std::mem::take(&mut self.spent)
    }

    /// Takes in that the home may not have been paid.
    pub fn note_unpaid(&mut self, spent: f64) {
        self.spent += spent;
    }

    /// Takes in that the home answered: how many requests may be let in ahead of the next question, and which part
    /// of the limit, in requests a second, is that of this ingress.
    pub fn note_home(&mut self, ahead: u32, share: f64, now: Duration) {
        self.alone = None;
        self.claim = None;
        self.share = share;
        self.ahead = ahead;
        self.ahead_until = now + AHEAD_LIFE;
    }

    /// Takes back a request that was let in and then refused for another reason: it counts towards nothing.
    pub fn give_back(&mut self, now: Duration) {
        if self.alone.is_none() {
            let kept = if now <= self.good_until { self.borrowed } else { 0.0 };
            self.borrowed = kept + 1.0;
            self.good_until = now + GRANT_LIFE;
        }
    }

    /// Takes in that the home can't be reached, and returns the requests a second that are let in here until it
    /// can: the part that the home told, or an equal one if it told none. Parts follow what callers asked for, so
    /// that they are served on, and their sum is the limit.
    pub fn note_home_lost(&mut self, rate: f64, daemons: usize) -> f64 {
        let equal = rate / daemons.max(1) as f64;
        let told = if self.share > 0.0 { self.share } else { equal };
        self.ahead = 0;
        *self.claim.get_or_insert(told.min(rate))
    }

    /// Takes in that the deputy of the home answered: it counts what is claimed.
    pub fn note_deputy(&mut self) {
        self.alone = None;
    }

    /// Takes in that nobody counts the limit that can be reached: from now on keeps to its claim by itself.
    pub fn go_alone(&mut self, terms: AloneTerms, now: Duration) {
        let AloneTerms { rate, burst, daemons, since } = terms;
        let claim = self.note_home_lost(rate, daemons);
        if self.alone.is_none() {
            let burst = (burst / daemons.max(1) as f64).max(ALONE_BURST);
            self.alone = Some(match since {
                Some(since) => TokenBucket::empty(claim, burst, since),
                None => TokenBucket::new(claim, burst, now),
            });
        }
    }

    /// Says whether the ledger keeps to its share.
    pub fn is_alone(&self) -> bool {
        self.alone.is_some()
    }
}
