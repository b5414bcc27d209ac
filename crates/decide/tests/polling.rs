// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The daemons of a fleet call the store no more often the more of them there are, nor when they
//! have just started and know no other daemon.

use std::time::Duration;

use basaltarch_decide::polling::{self, START_TIME};
use test_case::test_case;

const WAIT_LIMIT: Duration = Duration::from_secs(28);

/// Returns the number of calls that a daemon makes until the time `until` since its start, if no
/// call brings a change.
fn count_calls(members: usize, until: Duration) -> usize {
    let (mut now, mut calls) = (Duration::ZERO, 0);
    while now < until {
        now += polling::longest_wait(members, now, WAIT_LIMIT);
        calls += 1;
    }
    calls
}

#[test]
fn verify_a_daemon_that_knows_no_other_makes_one_call_while_it_starts() {
    assert_eq!(count_calls(1, START_TIME), 1);
}

#[test_case(12)]
#[test_case(40)]
#[test_case(981)]
fn verify_the_calls_of_a_fleet_do_not_grow_with_its_daemons(members: usize) {
    let hour = Duration::from_secs(3600);
    let calls_a_second = (members * count_calls(members, hour)) as f64 / hour.as_secs_f64();
    let at_the_limit = members as f64 / WAIT_LIMIT.as_secs_f64();
    assert!(calls_a_second <= f64::max(1.5, 1.01 * at_the_limit), "{calls_a_second}");
}
