// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests that fail wherever they go speak against no upstream.

use std::time::Duration;

use basaltarch_decide::poison::{CountedFailures, PoisonMemory, RequestMark, MARKS_MAX, MARK_LIFE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Duration = Duration::from_secs(100);

fn mark(number: usize) -> RequestMark {
    RequestMark::of("GET", &format!("/puzzle/{number}"))
}

fn counted(upstream: u32, count: u32) -> CountedFailures<u32> {
    CountedFailures { upstream, count }
}

#[test]
fn verify_nothing_is_taken_back_twice() {
    let mut memory = PoisonMemory::default();
    memory.note_failure(mark(1), 4, true, NOW);
    memory.note_withdrawn(mark(1), &4);
    assert_eq!(memory.note_failure(mark(1), 2, false, NOW), []);
    // One that was under way when the request became known counted, and is taken back at once.
    assert_eq!(memory.note_failure(mark(1), 7, true, NOW), [counted(7, 1)]);
    assert_eq!(memory.note_failure(mark(1), 8, true, NOW), [counted(8, 1)]);
    assert_eq!(memory.note_failure(mark(1), 7, false, NOW), []);
}

#[test]
fn verify_failures_at_one_upstream_are_never_the_request_s_own() {
    let mut memory = PoisonMemory::default();
    for _ in 0..100 {
        memory.note_failure(mark(1), 4, true, NOW);
    }
    assert!(!memory.spares(mark(1), NOW));
    assert!(!memory.forbids_repeat(mark(1), NOW));
}

#[test]
fn verify_failures_at_several_upstreams_are_the_request_s_own_until_one_succeeds() {
    let mut memory = PoisonMemory::default();
    assert_eq!(memory.note_failure(mark(1), 4, true, NOW), []);
    assert_eq!(memory.note_failure(mark(1), 4, true, NOW), []);
    let taken_back = memory.note_failure(mark(1), 2, true, NOW);
    assert_eq!(taken_back, [counted(4, 2), counted(2, 1)], "what counted before is taken back");
    assert!(memory.spares(mark(1), NOW) && !memory.forbids_repeat(mark(1), NOW));
    assert!(!memory.spares(mark(2), NOW));
    assert_eq!(memory.note_failure(mark(1), 3, false, NOW), []);
    assert!(memory.forbids_repeat(mark(1), NOW));
    memory.note_success(mark(1));
    assert!(!memory.spares(mark(1), NOW));
    assert!(memory.is_empty());
}

#[test]
fn verify_marks_expire_and_are_bounded() {
    let mut memory = PoisonMemory::default();
    memory.note_failure(mark(0), 1, true, NOW);
    memory.note_failure(mark(0), 2, true, NOW);
    for number in 1..10 * MARKS_MAX {
        memory.note_failure(mark(number), 1, true, NOW);
    }
    assert_eq!(memory.len(), MARKS_MAX);
    assert!(memory.spares(mark(0), NOW), "what is known to be poison stays");
    assert!(!memory.spares(mark(0), NOW + MARK_LIFE));
    memory.note_failure(mark(9999), 1, true, NOW + MARK_LIFE);
    assert_eq!(memory.len(), 1);
}

#[test]
fn verify_one_failure_that_never_comes_again_is_forgotten_without_another() {
    let mut memory = PoisonMemory::default();
    memory.note_failure(mark(1), 1, true, NOW);
    memory.forget_old(NOW + MARK_LIFE / 2);
    assert_eq!(memory.len(), 1);
    memory.forget_old(NOW + MARK_LIFE);
    assert!(memory.is_empty());
}

#[test]
fn verify_method_and_target_make_the_mark() {
    assert_eq!(RequestMark::of("GET", "/a"), RequestMark::of("GET", "/a"));
    assert_ne!(RequestMark::of("GET", "/a"), RequestMark::of("PUT", "/a"));
    assert_ne!(RequestMark::of("GET", "/a"), RequestMark::of("GET", "/b"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// One sick upstream alone never has its failures overlooked, whatever else goes on.
    #[test]
    fn verify_one_sick_upstream_is_never_spared(ends in prop::collection::vec((0usize..40, 0u32..9), 1..300)) {
        let mut memory = PoisonMemory::default();
        for (step, (number, upstream)) in ends.into_iter().enumerate() {
            let now = NOW + Duration::from_millis(step as u64);
            if upstream == 4 {
                memory.note_failure(mark(number), upstream, true, now);
            } else {
                memory.note_success(mark(number));
            }
            prop_assert!(!memory.spares(mark(number), now));
            prop_assert!(memory.len() <= MARKS_MAX);
        }
    }
}
