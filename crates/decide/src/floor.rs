// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Keeps ejection from taking a service's capacity below its floor.
//!
//! Each ingress decides from its own view. Servers that are down, unreachable or draining already
//! use up a part of the capacity that the floor allows to be missing. Of all other servers, those
//! with the highest anomaly scores are avoided, as long as the capacity in service stays at or
//! above the floor. So ejection takes the capacity in no ingress's view below the floor, and the
//! ingresses need no agreement.

/// `CapacityEntry` is what the floor needs to know about one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityEntry {
    /// Slots of the upstream.
    pub slots: u32,
    /// Slots that requests can use: fewer than all if the upstream names a rate limit.
    pub usable: u32,
    /// Whether the upstream is reachable and not draining.
    pub available: bool,
    /// Anomaly score in multiples of the ejection threshold.
    pub score: f64,
}

/// `FloorPlan` says which upstreams an ingress avoids, and how much capacity stays in service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FloorPlan {
    /// Whether each upstream is avoided, in the order of the entries.
    pub avoided: Vec<bool>,
    /// Slots that stay in service.
    pub in_service: u32,
    /// Slots that must stay in service.
    pub floor: u32,
}

/// Returns how many of `configured` slots must stay in service.
pub fn floor_slots(floor: f64, configured: u32) -> u32 {
    // The small subtrahend keeps 0.7 × 10 from becoming 8 by rounding of binary fractions.
    (floor * f64::from(configured) - 1e-9).ceil().max(0.0) as u32
}

/// Plans which upstreams to avoid: the highest anomaly scores first, ties by position, while the
/// floor holds.
///
/// Entries are sorted by the names of the upstreams, so that ingresses with the same reports avoid
/// the same upstreams.
pub fn plan(floor: f64, entries: &[CapacityEntry]) -> FloorPlan {
    let configured = entries.iter().map(|entry| entry.slots).sum();
    let available = entries.iter().filter(|entry| entry.available);
    let mut plan = FloorPlan {
        avoided: vec![false; entries.len()],
        in_service: available.map(|entry| entry.usable).sum(),
        floor: floor_slots(floor, configured),
    };
    let mut anomalous: Vec<usize> = (0..entries.len())
        .filter(|index| entries[*index].available && entries[*index].score >= 1.0)
        .collect();
    anomalous.sort_by(|left, right| entries[*right].score.total_cmp(&entries[*left].score));
    for index in anomalous {
        if plan.allows_removal(entries[index].usable) {
            plan.avoided[index] = true;
            plan.in_service -= entries[index].usable;
        }
    }
    plan
}

impl FloorPlan {
    /// Says whether the floor holds if this many more slots are taken out of service.
    pub fn allows_removal(&self, slots: u32) -> bool {
        self.in_service >= self.floor.saturating_add(slots)
    }

    /// Checks the invariant: avoiding upstreams never leaves less than the floor.
    pub fn holds(&self) -> bool {
        let avoids = self.avoided.iter().any(|avoided| *avoided);
        !avoids || self.in_service >= self.floor
    }
}
