// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How the fleet started, by what one daemon knows. Guards against callers that are refused within
//! their burst after a first start, and against a burst that is granted twice.

use std::time::Duration;

use basaltarch_decide::fleet_start::{FleetStart, StartFacts};
use test_case::test_case;

/// Returns the facts of a daemon of this age in a fleet that started for the first time.
fn first_start(age_ms: u64) -> StartFacts {
    StartFacts {
        age: Duration::from_millis(age_ms),
        has_read_table: true,
        had_earlier_start: false,
        others_lead: Duration::from_millis(200),
    }
}

#[test_case(40, 0, FleetStart::First ; "asked at once")]
#[test_case(9_000, 400, FleetStart::First ; "asked late in an unchanged fleet")]
#[test_case(9_000, 5_000, FleetStart::Settled ; "asked after another daemon may have been asked")]
fn verify_an_owner_grants_the_burst_whenever_it_is_first_asked(
    age_ms: u64,
    unchanged_since_ms: u64,
    expected: FleetStart,
) {
    let start = first_start(age_ms).owner_start(Duration::from_millis(unchanged_since_ms));
    assert_eq!(start, expected);
}

#[test_case(false, false, 40, FleetStart::Restart ; "rows not read")]
#[test_case(true, true, 40, FleetStart::Restart ; "started before")]
#[test_case(true, true, 9_000, FleetStart::Settled ; "started before and asked late")]
#[test_case(false, true, 40, FleetStart::Restart ; "started before by the report of a peer")]
fn verify_a_restarted_owner_grants_no_second_burst(
    has_read_table: bool,
    had_earlier_start: bool,
    age_ms: u64,
    expected: FleetStart,
) {
    let facts = StartFacts { has_read_table, had_earlier_start, ..first_start(age_ms) };
    assert_eq!(facts.owner_start(Duration::ZERO), expected);
}

#[test_case(40 ; "asked at once")]
#[test_case(9_000 ; "asked late")]
fn verify_a_daemon_that_joins_a_running_fleet_grants_no_second_burst(age_ms: u64) {
    let facts = StartFacts { others_lead: Duration::from_secs(10), ..first_start(age_ms) };
    assert_eq!(facts.owner_start(Duration::ZERO), FleetStart::Settled);
    assert_eq!(facts.fleet_start(), FleetStart::Settled);
}
