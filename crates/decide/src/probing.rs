// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Load probes: decides whether to probe the load of upstreams before a request is sent, and which
//! of them then gets it.
//!
//! An ingress knows the load of an upstream only from the upstream's last answer. The workload is
//! requests of tenths of a second at many upstreams of few slots, each of which an ingress uses
//! less than once a second. Most of the known loads are then out of date, so that requests are
//! declined by upstreams that seemed to have room, or go over a path that has become black-holed. A
//! probe costs a round trip and two small frames for each upstream.

use std::time::Duration;

/// Age up to which a report counts as fresh: within this time a slot is taken or released only a
/// few times.
pub const FRESH_FOR: Duration = Duration::from_millis(20);
/// Fraction (one in this many) of the remaining time that a round trip may take for a probe to be
/// worth it.
const ROUND_TRIP_SHARE: u32 = 25;
/// Round trips after which a probe times out.
const TIMEOUT_ROUND_TRIPS: u32 = 4;
/// Shortest timeout of a probe: a daemon with a small share of a processor may be busy with other
/// things for as long.
const TIMEOUT_MIN: Duration = Duration::from_millis(10);
/// Timeout of a probe over a path whose round trip is not known, and the longest one.
const TIMEOUT_MAX: Duration = Duration::from_millis(40);

/// Share of the recent probes that must have found an upstream which would accept the request:
/// where all are full, a probe finds nothing, and costs processor time and one of the choices that
/// a request has.
const FOUND_SHARE_MIN: f64 = 0.5;
/// Weight of the last probe in the share of probes that found an upstream.
const FOUND_WEIGHT: f64 = 1.0 / 16.0;
/// Of the requests that would not probe, one in this many does, to find out whether probing pays
/// again.
pub const PROBE_EVERY: u32 = 16;

/// `ProbeYield` estimates how often probes of a service find an upstream that would accept the
/// request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeYield {
    found_share: f64,
    skipped: u32,
}

impl Default for ProbeYield {
    fn default() -> Self {
        Self { found_share: 1.0, skipped: 0 }
    }
}

impl ProbeYield {
    /// Says whether the next request probes.
    pub fn should_probe(&mut self) -> bool {
        if self.found_share >= FOUND_SHARE_MIN {
            return true;
        }
        self.skipped = (self.skipped + 1) % PROBE_EVERY;
        self.skipped == 0
    }

    /// Records whether a probe found an upstream that would accept the request.
    pub fn note(&mut self, found: bool) {
        let last = if found { 1.0 } else { 0.0 };
        self.found_share += (last - self.found_share) * FOUND_WEIGHT;
    }
}

/// `ProbedLoad` is the current state of an upstream, as answered to a probe.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbedLoad {
    /// Requests in the slots of the upstream.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots of the upstream.
    pub slots: u32,
    /// Whether the upstream's circuit breaker is open.
    pub doubtful: bool,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Whether the upstream is ejected.
    pub ejected: bool,
}

impl ProbedLoad {
    /// Says whether the upstream's daemon would decline a request that can go elsewhere.
    pub fn declines(&self) -> bool {
        self.doubtful || self.draining || self.ejected || self.is_full()
    }

    /// Says whether a request would have to wait.
    pub fn is_full(&self) -> bool {
        self.in_flight >= self.slots || self.queued > 0
    }

    /// Returns the requests per slot.
    fn load(&self) -> f64 {
        f64::from(self.in_flight + self.queued) / f64::from(self.slots.max(1))
    }
}

/// Says whether to probe before a request is sent over a path; `time_left` is the remaining time of
/// the request.
pub fn is_worthwhile(
    report_age: Option<Duration>,
    round_trip: Option<Duration>,
    time_left: Duration,
) -> bool {
    let is_fresh = report_age.is_some_and(|age| age < FRESH_FOR);
    let is_quick = round_trip.is_none_or(|took| took * ROUND_TRIP_SHARE <= time_left);
    !is_fresh && is_quick
}

/// Returns the timeout of a probe.
pub fn probe_timeout(round_trip: Option<Duration>) -> Duration {
    round_trip
        .map_or(TIMEOUT_MAX, |took| (took * TIMEOUT_ROUND_TRIPS).clamp(TIMEOUT_MIN, TIMEOUT_MAX))
}

/// Returns the position of the best probed upstream: one that would accept the request, of those
/// the least loaded.
pub fn best(probed: &[ProbedLoad]) -> Option<usize> {
    let rank = |load: &ProbedLoad| (load.declines(), load.load());
    let ranked = probed.iter().enumerate().map(|(position, load)| (rank(load), position));
    let least = ranked.min_by(|((is_declined, load), _), ((other_declined, other_load), _)| {
        is_declined.cmp(other_declined).then(load.total_cmp(other_load))
    });
    least.map(|(_, position)| position)
}
