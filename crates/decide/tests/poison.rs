// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Poison requests fail at every upstream. Guards against ejections of healthy upstreams for the
//! failures of such requests, and against retries that only waste the retry budget.

use std::time::Duration;

use basaltarch_decide::poison::{
    CountedFailures, PoisonTable, RequestHash, POISON_LIFE, POISON_MAX,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Duration = Duration::from_secs(100);

fn hash_of(number: usize) -> RequestHash {
    RequestHash::of("GET", &format!("/puzzle/{number}"))
}

fn counted_failures(upstream: u32, count: u32) -> CountedFailures<u32> {
    CountedFailures { upstream, count }
}

#[test]
fn verify_no_failure_is_withdrawn_twice() {
    let mut table = PoisonTable::default();
    table.note_failure(hash_of(1), 4, true, NOW);
    table.note_withdrawn(hash_of(1), &4);
    assert_eq!(table.note_failure(hash_of(1), 2, false, NOW), []);
    // A copy of the request was running when the request became known as poison. The failure of the
    // copy counted as evidence, and is withdrawn at once.
    assert_eq!(table.note_failure(hash_of(1), 7, true, NOW), [counted_failures(7, 1)]);
    assert_eq!(table.note_failure(hash_of(1), 8, true, NOW), [counted_failures(8, 1)]);
    assert_eq!(table.note_failure(hash_of(1), 7, false, NOW), []);
}

#[test]
fn verify_failures_at_one_upstream_do_not_make_a_request_poison() {
    let mut table = PoisonTable::default();
    for _ in 0..100 {
        table.note_failure(hash_of(1), 4, true, NOW);
    }
    assert!(!table.is_poison(hash_of(1), NOW));
    assert!(!table.forbids_retry(hash_of(1), NOW));
}

#[test]
fn verify_failures_at_several_upstreams_make_a_request_poison_until_it_succeeds() {
    let mut table = PoisonTable::default();
    assert_eq!(table.note_failure(hash_of(1), 4, true, NOW), []);
    assert_eq!(table.note_failure(hash_of(1), 4, true, NOW), []);
    let withdrawn = table.note_failure(hash_of(1), 2, true, NOW);
    assert_eq!(
        withdrawn,
        [counted_failures(4, 2), counted_failures(2, 1)],
        "failures counted before are withdrawn"
    );
    assert!(table.is_poison(hash_of(1), NOW) && !table.forbids_retry(hash_of(1), NOW));
    assert!(!table.is_poison(hash_of(2), NOW));
    assert_eq!(table.note_failure(hash_of(1), 3, false, NOW), []);
    assert!(table.forbids_retry(hash_of(1), NOW));
    table.note_success(hash_of(1));
    assert!(!table.is_poison(hash_of(1), NOW));
    assert!(table.is_empty());
}

#[test]
fn verify_poison_records_expire_and_are_bounded() {
    let mut table = PoisonTable::default();
    table.note_failure(hash_of(0), 1, true, NOW);
    table.note_failure(hash_of(0), 2, true, NOW);
    for number in 1..10 * POISON_MAX {
        table.note_failure(hash_of(number), 1, true, NOW);
    }
    assert_eq!(table.len(), POISON_MAX);
    assert!(table.is_poison(hash_of(0), NOW), "a known poison request is kept");
    assert!(!table.is_poison(hash_of(0), NOW + POISON_LIFE));
    table.note_failure(hash_of(9999), 1, true, NOW + POISON_LIFE);
    assert_eq!(table.len(), 1);
}

#[test]
fn verify_a_single_failure_expires_without_another() {
    let mut table = PoisonTable::default();
    table.note_failure(hash_of(1), 1, true, NOW);
    table.forget_old(NOW + POISON_LIFE / 2);
    assert_eq!(table.len(), 1);
    table.forget_old(NOW + POISON_LIFE);
    assert!(table.is_empty());
}

#[test]
fn verify_method_and_target_identify_a_request() {
    assert_eq!(RequestHash::of("GET", "/a"), RequestHash::of("GET", "/a"));
    assert_ne!(RequestHash::of("GET", "/a"), RequestHash::of("PUT", "/a"));
    assert_ne!(RequestHash::of("GET", "/a"), RequestHash::of("GET", "/b"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The failures of a single failing upstream count, whichever requests succeed at the others.
    #[test]
    fn verify_failures_of_a_single_failing_upstream_always_count(
        outcomes in prop::collection::vec((0usize..40, 0u32..9), 1..300),
    ) {
        let mut table = PoisonTable::default();
        for (step, (number, upstream)) in outcomes.into_iter().enumerate() {
            let now = NOW + Duration::from_millis(step as u64);
            if upstream == 4 {
                table.note_failure(hash_of(number), upstream, true, now);
            } else {
                table.note_success(hash_of(number));
            }
            prop_assert!(!table.is_poison(hash_of(number), now));
            prop_assert!(table.len() <= POISON_MAX);
        }
    }
}
