// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! No order of reports lets an earlier state of a failure domain replace a later one.

use std::collections::{BTreeMap, BTreeSet};

use basaltarch_core::units::StoreVersion;
use basaltarch_decide::evacuation::{DomainState, EvacuationTable, DOMAINS_MAX};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn at(era: u64, version: u64) -> StoreVersion {
    StoreVersion { era, version }
}

fn state(version: u64, evacuated: bool) -> DomainState {
    DomainState { version: at(0, version), evacuated }
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
    assert!(table.note_list(&BTreeMap::from([("bkk-c", 7)]), at(0, 20)));
    // `bkk-b` was evacuated after the list was read.
    assert_eq!(table.evacuated(), BTreeSet::from(["bkk-b", "bkk-c"]));
    assert!(!table.note_list(&BTreeMap::from([("bkk-c", 7)]), at(0, 20)));
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

/// Guards against a change that is ignored as its version was given out in an earlier era.
#[test]
fn verify_a_change_of_a_later_era_counts_whatever_its_version() {
    let mut table = EvacuationTable::default();
    table.note("bkk-a", state(40, true));
    table.note("bkk-a", state(50, false));
    assert!(table.note_list(&BTreeMap::from([("bkk-a", 12)]), at(1, 12)));
    assert_eq!(table.evacuated(), BTreeSet::from(["bkk-a"]));
    assert!(!table.note("bkk-a", state(60, false)), "an earlier era is over");
    assert!(table.note("bkk-a", DomainState { version: at(1, 13), evacuated: false }));
    assert_eq!(table.version(), at(1, 13));
}

/// Guards against an accepted change that reverts because the store's copy is older.
#[test]
fn verify_a_copy_reverts_no_accepted_change() {
    let mut table = EvacuationTable::default();
    table.note("kept-in-copy", state(5, true));
    table.note("kept-in-copy", state(8, false));
    table.note("lost-with-copy", state(9, true));
    assert!(!table.note_list(&BTreeMap::from([("kept-in-copy", 5)]), at(1, 7)));
    assert_eq!(table.evacuated(), BTreeSet::from(["lost-with-copy"]));
    // The operator's next changes count.
    assert!(table.note("lost-with-copy", DomainState { version: at(1, 8), evacuated: false }));
    assert!(table.note_list(&BTreeMap::from([("kept-in-copy", 9)]), at(1, 9)));
    assert_eq!(table.evacuated(), BTreeSet::from(["kept-in-copy"]));
    assert!(table.note_list(&BTreeMap::new(), at(1, 10)), "its own era's list restores it");
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
