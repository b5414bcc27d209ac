// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Gossip: every daemon is notified by others, and an update reaches the whole fleet. Guards
//! against a daemon that is the neighbour of no other daemon and would miss updates.

use std::collections::{BTreeMap, BTreeSet};

use basaltarch_decide::neighbours::{self, NEIGHBOURS, RING_NEIGHBOURS};
use test_case::test_case;

/// Returns the hosts that each of `count` hosts notifies.
fn notified_by_host(count: usize, round: u64) -> BTreeMap<String, Vec<String>> {
    let names: Vec<String> = (0..count).map(|number| format!("host-{number}")).collect();
    let targets = |own: &String| {
        let others = names.iter().filter(|name| *name != own).map(String::as_str).collect();
        (own.clone(), neighbours::choose(own, others, round))
    };
    names.iter().map(targets).collect()
}

#[test_case(2)]
#[test_case(3)]
#[test_case(33)]
#[test_case(350)]
fn verify_every_host_is_notified_by_at_least_its_ring_neighbours(count: usize) {
    for round in [0, 45, 300] {
        let mut notified: BTreeMap<String, usize> = BTreeMap::new();
        for (own, chosen) in notified_by_host(count, round) {
            assert_eq!(chosen.len(), NEIGHBOURS.min(count - 1), "{own}");
            assert_eq!(chosen.iter().collect::<BTreeSet<_>>().len(), chosen.len(), "{own}");
            assert!(!chosen.contains(&own));
            chosen.into_iter().for_each(|host| *notified.entry(host).or_default() += 1);
        }
        assert_eq!(notified.len(), count, "some host is notified by none");
        let min_notifications = RING_NEIGHBOURS.min(count - 1);
        assert!(notified.values().all(|times| *times >= min_notifications), "{notified:?}");
    }
}

/// Half of the hosts have the update at first. In each step, all hosts that have the update forward
/// it to their neighbours.
#[test_case(12, 3)]
#[test_case(33, 4)]
#[test_case(350, 5)]
fn verify_an_update_that_half_of_the_hosts_have_reaches_all_in_few_steps(
    count: usize,
    steps: usize,
) {
    let targets = notified_by_host(count, 0);
    let mut informed: BTreeSet<&String> = targets.keys().step_by(2).collect();
    for _ in 0..steps {
        let notified: Vec<&String> = informed.iter().flat_map(|host| &targets[*host]).collect();
        informed.extend(notified);
    }
    assert_eq!(informed.len(), count);
}
