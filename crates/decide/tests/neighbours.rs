// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Every daemon is told by others, and news crosses the fleet.

use std::collections::{BTreeMap, BTreeSet};

use basaltarch_decide::neighbours::{self, NEIGHBOURS, RING_NEIGHBOURS};
use test_case::test_case;

/// Returns whom each of so many hosts tells.
fn tellers(count: usize, round: u64) -> BTreeMap<String, Vec<String>> {
    let names: Vec<String> = (0..count).map(|number| format!("host-{number}")).collect();
    let tells = |own: &String| {
        let others = names.iter().filter(|name| *name != own).cloned().collect();
        (own.clone(), neighbours::choose(own, others, round))
    };
    names.iter().map(tells).collect()
}

#[test_case(2)]
#[test_case(3)]
#[test_case(33)]
#[test_case(350)]
fn verify_every_host_is_told_by_as_many_as_the_ring_gives_it(count: usize) {
    for round in [0, 45, 300] {
        let mut told: BTreeMap<String, usize> = BTreeMap::new();
        for (own, chosen) in tellers(count, round) {
            assert_eq!(chosen.len(), NEIGHBOURS.min(count - 1), "{own}");
            assert_eq!(chosen.iter().collect::<BTreeSet<_>>().len(), chosen.len(), "{own}");
            assert!(!chosen.contains(&own));
            chosen.into_iter().for_each(|host| *told.entry(host).or_default() += 1);
        }
        assert_eq!(told.len(), count, "somebody is told by nobody");
        let least = RING_NEIGHBOURS.min(count - 1);
        assert!(told.values().all(|times| *times >= least), "{told:?}");
    }
}

/// Half of the hosts learn nothing by themselves; the others tell.
#[test_case(12, 3)]
#[test_case(33, 4)]
#[test_case(350, 5)]
fn verify_news_that_half_of_the_hosts_have_reaches_all_in_few_steps(count: usize, steps: usize) {
    let tells = tellers(count, 0);
    let mut know: BTreeSet<&String> = tells.keys().step_by(2).collect();
    for _ in 0..steps {
        let told: Vec<&String> = know.iter().flat_map(|host| &tells[*host]).collect();
        know.extend(told);
    }
    assert_eq!(know.len(), count);
}
