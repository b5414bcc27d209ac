// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chooses the neighbours of a daemon in the gossip overlay: the daemons that it sends updates to
//! first.
//!
//! The workload is a change that must reach every daemon within a second while some links are
//! black-holed. In a random graph alone, one daemon in fifty is the neighbour of no other daemon.
//! So half of the neighbours are the next hosts on a ring, so that every daemon receives updates
//! from two others. The other half are drawn at random, which keeps the paths across the fleet
//! short and lets no partition of the graph last.

use crate::limits;

/// Neighbours that a daemon sends updates to. A random graph with four edges a node is connected
/// for thousands of nodes, and updates cross it in about six hops.
pub const NEIGHBOURS: usize = 4;
/// Number of neighbours that are the next hosts on the ring: two, as one of them may be down.
pub const RING_NEIGHBOURS: usize = 2;
/// Rounds of heartbeats after which the last of the neighbours is replaced.
const ROTATION_ROUNDS: u64 = 30;
/// Key of the hash that orders the ring; all daemons compute the same order.
const RING_KEY: &str = "ring of neighbours";

/// Chooses the neighbours of the host `own` among the other hosts of the fleet. `round` is the
/// number of the heartbeat round: the last neighbour changes every [`ROTATION_ROUNDS`] rounds.
pub fn choose(own: &str, mut hosts: Vec<&str>, round: u64) -> Vec<String> {
    let mut chosen = ring_neighbours(own, &hosts);
    hosts.retain(|host| !chosen.contains(host));
    while chosen.len() < NEIGHBOURS && !hosts.is_empty() {
        let rotating = chosen.len() + 1 == NEIGHBOURS;
        let rotation = if rotating { round / ROTATION_ROUNDS } else { 0 };
        let seed = format!("{own}#{rotation}#{}", chosen.len());
        let Some(next_host) = limits::owner_of(&seed, hosts.iter().copied()) else { break };
        hosts.retain(|host| *host != next_host);
        chosen.push(next_host);
    }
    chosen.into_iter().map(str::to_owned).collect()
}

/// Returns the [`RING_NEIGHBOURS`] hosts that follow the host `own` on the ring.
fn ring_neighbours<'a>(own: &'a str, hosts: &[&'a str]) -> Vec<&'a str> {
    let ring_position = |host: &'a str| (limits::weight(RING_KEY, host), host);
    let start = ring_position(own);
    // Hosts before the position of `own` come last, as the ring closes.
    let follow_position = |host: &&'a str| {
        let position = ring_position(host);
        (position < start, position)
    };
    let mut following: Vec<_> = hosts.iter().map(follow_position).collect();
    following.sort_unstable();
    following.into_iter().take(RING_NEIGHBOURS).map(|(_, (_, host))| host).collect()
}
