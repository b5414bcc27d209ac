// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! No order of reports lets an earlier state of a failure domain replace a later one.

use std::collections::{BTreeMap, BTreeSet};

use basaltarch_decide::evacuation::{DomainState, EvacuationTable, DOMAINS_MAX};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn state(version: u64, evacuated: bool) -> DomainState {
    DomainState { version, evacuated }
}

#[test]
fn verify_a_domain_is_evacuated_and_restored() {
    let mut table = EvacuationTable::default();
    assert!(table.note("bkk-a", state(5, true)));
    assert!(table.note("bkk-b", state(6, true)));
    assert_eq!(table.evacuated(), BTreeSet::from(["bkk-a", "bkk-b"]));
    assert!(table.note("bkk-a", state(9, false)));
    assert_eq!(table.evacuated(), BTreeSet::from(["bkk-b"]));
    assert!(!table.note("bkk-a", state(8, true)), "a delayed report is ignored");
    assert_eq!(table.evacuated(), BTreeSet::from(["bkk-b"]));
}

#[test]
fn verify_a_whole_list_restores_the_domains_that_it_lacks() {
    let mut table = EvacuationTable::default();
    table.note("bkk-a", state(5, true));
    table.note("bkk-b", state(30, true));
    assert!(table.note_list(&BTreeMap::from([("bkk-c", 7)]), 20));
    // `bkk-b` was evacuated after the list was read.
    assert_eq!(table.evacuated(), BTreeSet::from(["bkk-b", "bkk-c"]));
    assert!(!table.note_list(&BTreeMap::from([("bkk-c", 7)]), 20));
}

#[test]
fn verify_the_table_is_bounded_and_keeps_every_evacuated_domain() {
    let mut table = EvacuationTable::default();
    table.note("kept", state(1, true));
    for number in 0..3 * DOMAINS_MAX as u64 {
        table.note(&format!("domain-{number}"), state(2 + number, false));
    }
    assert_eq!(table.iter().count(), DOMAINS_MAX);
    assert_eq!(table.evacuated(), BTreeSet::from(["kept"]));
    assert!(!table.note("domain-0", state(1, true)), "it is older than the dropped state");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(54), cases: 512, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_no_order_of_reports_changes_the_outcome(
        reports in proptest::collection::vec((0..4_u8, any::<bool>()), 1..24),
        keys in proptest::collection::vec(any::<u32>(), 48),
    ) {
        let reports: Vec<(String, DomainState)> = reports
            .iter()
            .enumerate()
            .map(|(index, (domain, evacuated))| {
                (format!("domain-{domain}"), state(index as u64 + 1, *evacuated))
            })
            .collect();
        let mut in_order = EvacuationTable::default();
        for (domain, state) in &reports {
            in_order.note(domain, *state);
        }
        // Each report arrives twice, in an arbitrary order.
        let mut shuffled: Vec<_> = reports.iter().chain(&reports).zip(&keys).collect();
        shuffled.sort_by_key(|(_, key)| **key);
        let mut out_of_order = EvacuationTable::default();
        for ((domain, state), _) in shuffled {
            out_of_order.note(domain, *state);
        }
        prop_assert_eq!(in_order, out_of_order);
    }
}
