// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chooses the neighbours of a daemon in the gossip overlay: the daemons that it sends updates to
//! first.
//!
//! The workload is a change that must reach every daemon within a second while some links are
//! black-holed. A random graph alone leaves one daemon in fifty that no other has chosen. So half
//! of the neighbours are the next ones on a ring, which gives every daemon two that send to it, and
//! half are drawn at random, which keeps the paths across the fleet short and lets no partition of
//! the graph last.

use crate::limits;

/// Neighbours that a daemon sends updates to. A random graph with four edges a node is connected
/// for thousands of nodes, and updates cross it in about six hops.
pub const NEIGHBOURS: usize = 4;
/// Number of neighbours that are the next ones on the ring: two, as one may be down.
pub const RING_NEIGHBOURS: usize = 2;
/// Rounds of heartbeats after which the rotating neighbour is replaced.
const ROTATION_ROUNDS: u64 = 30;
/// Key of the hash that orders the ring; all daemons compute the same order.
const RING_KEY: &str = "ring of neighbours";

/// Chooses the neighbours of `own` among `hosts`, which must not contain it. The last one changes
/// from time to time with `round`.
pub fn choose(own: &str, mut hosts: Vec<String>, round: u64) -> Vec<String> {
    let mut chosen = on_ring(own, &hosts);
    hosts.retain(|host| !chosen.contains(host));
    while chosen.len() < NEIGHBOURS && !hosts.is_empty() {
        let rotating = chosen.len() + 1 == NEIGHBOURS;
        let rotation = if rotating { round / ROTATION_ROUNDS } else { 0 };
        let seed = format!("{own}#{rotation}#{}", chosen.len());
        let next = limits::owner_of(&seed, hosts.iter().map(String::as_str));
        let next = match next {
            Some(next) => next.to_owned(),
            None => break,
        };
        hosts.retain(|host| *host != next);
        chosen.push(next);
    }
    chosen
}

/// Returns the next hosts on the ring.
fn on_ring(own: &str, hosts: &[String]) -> Vec<String> {
    let position = |host: &str| (limits::weight(RING_KEY, host), host.to_owned());
    let start = position(own);
    let mut positions: Vec<_> = hosts.iter().map(|host| position(host)).collect();
    // Hosts before the daemon's own position come last, as the ring closes.
    positions.sort_by_key(|position| (*position < start, position.clone()));
    positions.into_iter().take(RING_NEIGHBOURS).map(|(_, host)| host).collect()
}
