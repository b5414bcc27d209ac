// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chooses whom a daemon tells of news first: its neighbours.
//!
//! The load that this answers is a change that must reach every daemon in a second while some links are silent.
//! A random graph alone leaves one daemon in fifty that nobody has chosen. So half of the neighbours are those
//! that follow on a ring, which gives every daemon two that tell it, and half are drawn, which makes
//! the way across the fleet short and lets no partition of the graph last.

use crate::limits;

/// Neighbours that a daemon tells. A random graph with four edges a node is connected for thousands of
/// nodes, and news crosses it in about six steps.
pub const NEIGHBOURS: usize = 4;
/// Those of them that follow on the ring: one may be down.
pub const RING_NEIGHBOURS: usize = 2;
/// Rounds of heartbeats for which the one that changes stays.
const TURN_ROUNDS: u64 = 30;
/// What the order on the ring is drawn by; all daemons find the same.
const RING_KEY: &str = "ring of neighbours";

/// Chooses among `hosts`, which must not hold `own`. The last of them changes from time to time with `round`.
pub fn choose(own: &str, mut hosts: Vec<String>, round: u64) -> Vec<String> {
    let mut chosen = on_ring(own, &hosts);
    hosts.retain(|host| !chosen.contains(host));
    while chosen.len() < NEIGHBOURS && !hosts.is_empty() {
        let rotating = chosen.len() + 1 == NEIGHBOURS;
        let turn = if rotating { round / TURN_ROUNDS } else { 0 };
        let seed = format!("{own}#{turn}#{}", chosen.len());
        let next = limits::home_of(&seed, hosts.iter().map(String::as_str));
        let next = match next {
            Some(next) => next.to_owned(),
            None => break,
        };
        hosts.retain(|host| *host != next);
        chosen.push(next);
    }
    chosen
}

/// Returns those that follow on the ring.
fn on_ring(own: &str, hosts: &[String]) -> Vec<String> {
    let place = |host: &str| (limits::weight(RING_KEY, host), host.to_owned());
    let start = place(own);
    let mut places: Vec<_> = hosts.iter().map(|host| place(host)).collect();
    // Who comes before the own place follows at the end, as the ring closes.
    places.sort_by_key(|place| (*place < start, place.clone()));
    places.into_iter().take(RING_NEIGHBOURS).map(|(_, host)| host).collect()
}
