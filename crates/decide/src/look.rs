// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides whether to look at upstreams before work is sent to one, and which of them then gets it.
//!
//! What an ingress knows of an upstream is as old as its last answer from there. The load that this answers is work
//! of tenths of a second at many upstreams of few slots, each of which an ingress sees less than once a second:
//! there most of what is known is out of date, and work sent by it is turned away, or sent along a path that has
//! fallen silent. A look costs a round trip and two small frames for each upstream.

use std::time::Duration;

/// Age up to which a report counts as fresh: a slot is taken or given back a few times in it.
pub const FRESH_FOR: Duration = Duration::from_millis(20);
/// Part of the time left that a round trip may have for a look to be worth it.
const ROUND_TRIP_SHARE: u32 = 25;
/// Round trips for which an answer is waited for.
const WAIT_ROUNDS: u32 = 4;
/// Shortest wait for an answer: a daemon on a small part of a processor is at other work for as long.
const WAIT_MIN: Duration = Duration::from_millis(10);
/// Wait for an answer over a path whose round trip is not known.
const WAIT_UNKNOWN: Duration = Duration::from_millis(40);

/// Part of the looks that must lately have found an upstream which would take the work: where all are full a look
/// finds nothing, and costs processor time and choices.
const FOUND_LEAST: f64 = 0.5;
/// Weight of the last look in that part.
const FOUND_WEIGHT: f64 = 1.0 / 16.0;
/// Of requests that would not look, one in so many does, to find out whether it pays again.
pub const TRY_EACH: u32 = 16;

/// `LookGain` follows how often looks at a service find an upstream that would take the work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LookGain {
    found: f64,
    passed: u32,
}

impl Default for LookGain {
    fn default() -> Self {
        Self { found: 1.0, passed: 0 }
    }
}

impl LookGain {
    /// Says whether the next request looks.
    pub fn looks(&mut self) -> bool {
        if self.found >= FOUND_LEAST {
            return true;
        }
        self.passed = (self.passed + 1) % TRY_EACH;
        self.passed == 0
    }

    /// Takes in whether a look found an upstream that would take the work.
    pub fn note(&mut self, found: bool) {
        let last = if found { 1.0 } else { 0.0 };
        self.found += (last - self.found) * FOUND_WEIGHT;
    }
}

/// `UpstreamLook` is how an upstream is just now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamLook {
    /// Requests in its slots.
    pub in_flight: u32,
    /// Requests that wait for one.
    pub queued: u32,
    /// Its slots.
    pub slots: u32,
    /// Whether its daemon doubts it.
    pub doubtful: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it is out of service.
    pub ejected: bool,
}

impl UpstreamLook {
    /// Says whether its daemon would pass work on that can go elsewhere.
    pub fn passes_on(&self) -> bool {
        self.doubtful || self.draining || self.ejected || self.is_full()
    }

    /// Says whether work would wait.
    pub fn is_full(&self) -> bool {
        self.in_flight >= self.slots || self.queued > 0
    }

    /// Returns what it has to do for each slot.
    fn load(&self) -> f64 {
        f64::from(self.in_flight + self.queued) / f64::from(self.slots.max(1))
    }
}

/// Says whether to look before work is sent along a path, with so much time left for the work.
pub fn is_worth(
    report_age: Option<Duration>,
    round_trip: Option<Duration>,
    left: Duration,
) -> bool {
    let is_fresh = report_age.is_some_and(|age| age < FRESH_FOR);
    let is_quick = round_trip.is_none_or(|took| took * ROUND_TRIP_SHARE <= left);
    !is_fresh && is_quick
}

/// Returns how long an answer is waited for.
pub fn wait_for(round_trip: Option<Duration>) -> Duration {
    round_trip.map_or(WAIT_UNKNOWN, |took| (took * WAIT_ROUNDS).clamp(WAIT_MIN, WAIT_UNKNOWN))
}

/// Returns the position of the better of some looks: one that would take the work, of those the least loaded.
pub fn best(looks: &[UpstreamLook]) -> Option<usize> {
    let rank = |look: &UpstreamLook| (look.passes_on(), look.load());
    let ranked = looks.iter().enumerate().map(|(position, look)| (rank(look), position));
    let least = ranked.min_by(|((passes, load), _), ((others_pass, other_load), _)| {
        passes.cmp(others_pass).then(load.total_cmp(other_load))
    });
    least.map(|(_, position)| position)
}
