// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The rate limit that a backend server names in its responses.

use std::time::Duration;

use basaltarch_decide::server_rate::{KnownRate, RateResponse, RateStatement, ServerRate};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
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

#[test]
fn verify_a_report_counts_only_until_the_server_has_responded() {
    let mut rate = ServerRate::default();
    assert!(rate.note_report(5.0, at(0)));
    assert!(!rate.note_report(7.0, at(0)), "an ingress may know an earlier, higher limit");
    assert!(rate.note_report(2.0, at(0)));
    rate.note_response(&response(RateStatement::Unlimited, at(1)), at(2));
    assert!(!rate.note_report(1.0, at(3)));
    assert_eq!(rate.known(), KnownRate::Unlimited);
}

#[test]
fn verify_a_server_that_takes_nothing_still_gets_a_request_now_and_then() {
    let mut rate = ServerRate::default();
    rate.note_response(&response(RateStatement::PerSecond(0.0), at(0)), at(0));
    let wait = rate.next_in(at(0));
    assert!(wait > Duration::from_secs(4) && wait < Duration::from_secs(60), "{wait:?}");
    assert_eq!(rate.next_in(at(0) + wait), Duration::ZERO);
}

/// What happens at the daemon beside a server.
#[derive(Debug, Clone)]
enum RateStep {
    /// As many requests as possible are sent, at most this many.
    Send(u32),
    Pause(u64),
    /// The daemon restarts and learns the limit from an ingress.
    Restart,
    /// The server names its limit again.
    Confirm,
    /// A request that was counted is not sent.
    PutBack,
}

fn any_step() -> impl Strategy<Value = RateStep> {
    prop_oneof![
        4 => (1..40_u32).prop_map(RateStep::Send),
        4 => (0..1500_u64).prop_map(RateStep::Pause),
        1 => Just(RateStep::Restart),
        1 => Just(RateStep::Confirm),
        1 => Just(RateStep::PutBack),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_no_series_of_restarts_and_pauses_exceeds_the_limit(
        limit in prop_oneof![0.0..1.0_f64, 1.0..60.0_f64],
        steps in prop::collection::vec(any_step(), 1..120),
    ) {
        let mut rate = ServerRate::default();
        rate.note_response(&response(RateStatement::PerSecond(limit), at(0)), at(0));
        let (mut now, mut sent) = (Duration::ZERO, Vec::new());
        for step in steps {
            match step {
                RateStep::Send(count) => {
                    let mut left = count;
                    while left > 0 && rate.next_in(now).is_zero() {
                        rate.take(now);
                        sent.push(now);
                        left -= 1;
                    }
                }
                RateStep::Pause(millis) => now += at(millis),
                RateStep::Restart => {
                    rate = ServerRate::default();
                    rate.note_report(limit, now);
                }
                RateStep::Confirm => {
                    rate.note_response(&response(RateStatement::PerSecond(limit), now), now);
                }
                RateStep::PutBack => if sent.last() == Some(&now) {
                    sent.pop();
                    rate.put_back(now);
                },
            }
        }
        let window = Duration::from_secs(4);
        let allowed = 1.5 * limit * window.as_secs_f64() + 5.0;
        for (index, first) in sent.iter().enumerate() {
            let count = sent[index..].partition_point(|at| *at < *first + window);
            prop_assert!(count as f64 <= allowed, "{count} in a window, allowed {allowed}");
        }
    }
}
