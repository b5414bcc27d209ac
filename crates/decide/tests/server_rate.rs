// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The rate limit that a backend server names in its responses.

use std::time::Duration;

use basaltarch_decide::server_rate::{KnownRate, RateResponse, RateStatement, ServerRate};
use test_case::test_case;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn response(statement: RateStatement, sent_at: Duration) -> RateResponse {
    RateResponse { statement, sent_at }
}

/// Two responses in the order in which they are read. The requests are sent at 0 ms and at
/// `second_sent`, and the responses are read at 100 ms and 101 ms.
#[test_case(RateStatement::PerSecond(5.0), 0 => KnownRate::PerSecond(1.0) ; "a raise that may be older is ignored")]
#[test_case(RateStatement::Unlimited, 0 => KnownRate::PerSecond(1.0) ; "an end that may be older is ignored")]
#[test_case(RateStatement::PerSecond(0.5), 0 => KnownRate::PerSecond(0.5) ; "a lower limit counts at once")]
#[test_case(RateStatement::PerSecond(5.0), 100 => KnownRate::PerSecond(5.0) ; "a raise counts if it is later")]
#[test_case(RateStatement::Unlimited, 100 => KnownRate::Unlimited ; "an end counts if it is later")]
#[test_case(RateStatement::Silent, 100 => KnownRate::PerSecond(1.0) ; "a silent response changes nothing")]
fn verify_only_a_later_response_raises_or_ends_a_limit(
    second: RateStatement,
    second_sent: u64,
) -> KnownRate {
    let mut rate = ServerRate::default();
    rate.note_response(&response(RateStatement::PerSecond(1.0), at(0)), at(100));
    rate.note_response(&response(second, at(second_sent)), at(101));
    rate.known()
}

#[test]
fn verify_only_a_change_of_the_limit_counts_as_a_change() {
    let mut rate = ServerRate::default();
    let mut note =
        |statement, millis| rate.note_response(&response(statement, at(millis)), at(millis));
    assert!(!note(RateStatement::Unlimited, 1));
    assert!(note(RateStatement::PerSecond(2.0), 2));
    assert!(!note(RateStatement::PerSecond(2.0), 3));
    assert!(!note(RateStatement::Silent, 4));
    assert!(note(RateStatement::Unlimited, 5));
}
