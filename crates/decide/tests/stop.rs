// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon that stops closes before it ends, and admits only requests that can complete in time.
//! Guards against requests that are accepted and then lost when the daemon ends.

use std::time::Duration;

use basaltarch_decide::stop::{StopCause, StopPhase, StopTerms};
use test_case::test_case;

const TERMS: StopTerms =
    StopTerms { shortest: Duration::from_millis(2600), longest: Duration::from_millis(5700) };

/// Phase of a daemon that gave up its waiting requests at the planned time.
const GIVING_UP: StopPhase = StopPhase::GivingUp { since: Duration::from_millis(5400) };
/// Phase of a daemon that gave up its waiting requests late, as its host had been suspended.
const GAVE_UP_LATE: StopPhase = StopPhase::GivingUp { since: Duration::from_millis(9000) };

#[test_case(StopPhase::Open, 2199, 0, StopPhase::Open ; "idle before the peers are notified")]
#[test_case(StopPhase::Open, 2200, 1, StopPhase::HandingOver ; "time to notify them")]
#[test_case(StopPhase::Open, 9000, 0, StopPhase::HandingOver ; "suspended during the whole drain")]
#[test_case(StopPhase::HandingOver, 2599, 0, StopPhase::HandingOver
            ; "idle before the shortest drain")]
#[test_case(StopPhase::HandingOver, 2600, 0, StopPhase::Closed ; "idle after it")]
#[test_case(StopPhase::HandingOver, 2849, 1, StopPhase::HandingOver
            ; "busy before half of the longest drain")]
#[test_case(StopPhase::HandingOver, 2850, 1, StopPhase::Closed ; "busy after it")]
#[test_case(StopPhase::HandingOver, 9000, 1, StopPhase::Closed
            ; "busy and suspended during the whole drain")]
#[test_case(StopPhase::Closed, 2620, 0, StopPhase::Over(StopCause::Idle) ; "closed and idle")]
#[test_case(StopPhase::Closed, 5399, 1, StopPhase::Closed ; "closed and busy")]
#[test_case(StopPhase::Closed, 5400, 1, GIVING_UP ; "busy for too long")]
#[test_case(GIVING_UP, 5699, 1, GIVING_UP ; "last responses being written")]
#[test_case(GIVING_UP, 5420, 0, StopPhase::Over(StopCause::Time) ; "last responses written")]
#[test_case(GIVING_UP, 5700, 1, StopPhase::Over(StopCause::Time) ; "last responses stuck")]
#[test_case(GAVE_UP_LATE, 9299, 1, GAVE_UP_LATE ; "last responses after a suspension")]
fn verify_a_shutdown_closes_before_it_ends(
    phase: StopPhase,
    elapsed_ms: u64,
    in_flight: usize,
    next: StopPhase,
) {
    assert_eq!(TERMS.next(phase, Duration::from_millis(elapsed_ms), in_flight), next);
}

#[test_case(StopPhase::Open, 2849, false, true ; "open")]
#[test_case(StopPhase::HandingOver, 2849, false, true ; "handing over")]
#[test_case(StopPhase::Open, 2850, false, false ; "open at the last check before a suspension")]
#[test_case(StopPhase::HandingOver, 9000, true, false
            ; "a nested call after a suspension during the whole drain")]
#[test_case(StopPhase::Closed, 2620, false, false ; "closed")]
#[test_case(StopPhase::Closed, 5399, true, true ; "a nested call while closed")]
#[test_case(StopPhase::Closed, 5400, true, false ; "a nested call that arrives too late")]
#[test_case(GIVING_UP, 5420, true, false ; "giving up")]
fn verify_a_closed_shutdown_admits_only_nested_calls(
    phase: StopPhase,
    elapsed_ms: u64,
    is_call: bool,
    admitted: bool,
) {
    assert_eq!(TERMS.admits_request(phase, Duration::from_millis(elapsed_ms), is_call), admitted);
}

#[test_case(StopPhase::Open, 9000, true ; "open")]
#[test_case(StopPhase::HandingOver, 5400, true ; "handing over and in time")]
#[test_case(StopPhase::HandingOver, 5401, false ; "handing over and possibly too late")]
#[test_case(StopPhase::Closed, 5401, false ; "closed and possibly too late")]
fn verify_a_shutdown_starts_only_requests_that_end_in_time(
    phase: StopPhase,
    ends_ms: u64,
    started: bool,
) {
    assert_eq!(TERMS.allows_start(phase, Duration::from_millis(ends_ms)), started);
}

#[test_case(5700, 2199, 2200, 2600 ; "time for both")]
#[test_case(3700, 1449, 1450, 1850 ; "half of the longest drain is shorter")]
#[test_case(700, 0, 0, 350 ; "no time to hand over")]
fn verify_half_of_the_longest_drain_bounds_the_shortest(
    longest_ms: u64,
    open_ms: u64,
    handing_over_ms: u64,
    closed_ms: u64,
) {
    let terms = StopTerms { longest: Duration::from_millis(longest_ms), ..TERMS };
    let next = |phase, millis| terms.next(phase, Duration::from_millis(millis), 0);
    if open_ms > 0 {
        assert_eq!(next(StopPhase::Open, open_ms), StopPhase::Open);
    }
    assert_eq!(next(StopPhase::Open, handing_over_ms), StopPhase::HandingOver);
    assert_eq!(next(StopPhase::HandingOver, closed_ms - 1), StopPhase::HandingOver);
    assert_eq!(next(StopPhase::HandingOver, closed_ms), StopPhase::Closed);
}
