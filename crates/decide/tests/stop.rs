// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A stop closes before it ends, and takes only what can end before it gives up.

use std::time::Duration;

use basaltarch_decide::stop::{StopCause, StopPhase, StopTerms};
use test_case::test_case;

const TERMS: StopTerms =
    StopTerms { shortest: Duration::from_millis(2600), longest: Duration::from_millis(5700) };

#[test_case(StopPhase::Open, 2199, 0, StopPhase::Open ; "idle before the others are told")]
#[test_case(StopPhase::Open, 2200, 1, StopPhase::HandingOver ; "time to tell them")]
#[test_case(StopPhase::Open, 9000, 0, StopPhase::HandingOver ; "asleep over the whole drain")]
#[test_case(StopPhase::HandingOver, 2599, 0, StopPhase::HandingOver ; "idle before the shortest drain")]
#[test_case(StopPhase::HandingOver, 2600, 0, StopPhase::Closed ; "idle after it")]
#[test_case(StopPhase::HandingOver, 2849, 1, StopPhase::HandingOver ; "busy before half of the longest drain")]
#[test_case(StopPhase::HandingOver, 2850, 1, StopPhase::Closed ; "busy after it")]
#[test_case(StopPhase::HandingOver, 9000, 1, StopPhase::Closed ; "busy and asleep over the whole drain")]
#[test_case(StopPhase::Closed, 2620, 0, StopPhase::Over(StopCause::Idle) ; "closed and idle")]
#[test_case(StopPhase::Closed, 5399, 1, StopPhase::Closed ; "closed and busy")]
#[test_case(StopPhase::Closed, 5400, 1, StopPhase::GivingUp ; "busy for too long")]
#[test_case(StopPhase::GivingUp, 5420, 1, StopPhase::GivingUp ; "last answers on their way")]
#[test_case(StopPhase::GivingUp, 5420, 0, StopPhase::Over(StopCause::Time) ; "last answers written")]
#[test_case(StopPhase::GivingUp, 5700, 1, StopPhase::Over(StopCause::Time) ; "last answers stuck")]
fn verify_a_stop_closes_before_it_ends(
    phase: StopPhase,
    elapsed_ms: u64,
    in_flight: usize,
    next: StopPhase,
) {
    assert_eq!(TERMS.next(phase, Duration::from_millis(elapsed_ms), in_flight), next);
}

#[test_case(StopPhase::Open, false, 9000, true ; "open")]
#[test_case(StopPhase::HandingOver, false, 9000, true ; "handing over")]
#[test_case(StopPhase::Closed, false, 2900, false ; "closed")]
#[test_case(StopPhase::Closed, true, 5400, true ; "a call that ends in time")]
#[test_case(StopPhase::Closed, true, 5401, false ; "a call that may last too long")]
#[test_case(StopPhase::GivingUp, true, 5400, false ; "giving up")]
fn verify_a_closed_stop_takes_only_calls_that_end_in_time(
    phase: StopPhase,
    is_call: bool,
    ends_ms: u64,
    taken: bool,
) {
    assert_eq!(TERMS.takes(phase, is_call, Duration::from_millis(ends_ms)), taken);
}

#[test]
fn verify_callers_who_hear_late_are_served_for_the_shortest_drain() {
    // Half of the longest drain is shorter than the shortest.
    let terms = StopTerms { longest: Duration::from_millis(4000), ..TERMS };
    let at = |millis| terms.next(StopPhase::HandingOver, Duration::from_millis(millis), 1);
    assert_eq!((at(2599), at(2600)), (StopPhase::HandingOver, StopPhase::Closed));
}

#[test]
fn verify_a_stop_closes_at_the_latest_when_it_gives_up() {
    let terms = StopTerms { longest: Duration::from_millis(700), ..TERMS };
    let at = |millis| terms.next(StopPhase::HandingOver, Duration::from_millis(millis), 1);
    assert_eq!((at(399), at(400)), (StopPhase::HandingOver, StopPhase::Closed));
}
