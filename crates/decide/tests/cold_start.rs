// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A cold backend server gets no more requests than it bears.

use std::time::Duration;

use basaltarch_decide::cold_start::ColdStart;
use test_case::test_case;

const START: Duration = Duration::from_secs(100);

fn cold_start(rate: f64, cold_for: Duration) -> ColdStart {
    let mut cold = ColdStart::default();
    cold.set_rate(rate);
    assert!(cold.note(cold_for, START));
    cold
}

/// Whatever the number of waiting requests, those of the first second are as many as the rate.
#[test_case(12.0, 12 ; "whole")]
#[test_case(2.5, 3 ; "a fraction")]
#[test_case(0.25, 1 ; "less than one a second")]
fn verify_requests_are_sent_at_the_rate(rate: f64, expected: usize) {
    let mut cold = cold_start(rate, Duration::from_secs(30));
    let waits: Vec<Duration> = (0..50).map(|_| cold.reserve(START)).collect();
    // The spacing is rounded to nanoseconds.
    let second = Duration::from_millis(999);
    let in_first_second = waits.iter().filter(|wait| **wait < second).count();
    assert_eq!(in_first_second, expected);
    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(30)));
}

#[test]
fn verify_time_without_requests_allows_no_burst() {
    let mut cold = cold_start(2.0, Duration::from_secs(30));
    let later = START + Duration::from_secs(10);
    let waits: Vec<Duration> = (0..3).map(|_| cold.reserve(later)).collect();
    assert_eq!(waits, [0, 500, 1000].map(Duration::from_millis));
}

#[test]
fn verify_a_warm_server_and_one_without_a_rate_get_requests_at_once() {
    let mut warm = cold_start(1.0, Duration::from_secs(2));
    let later = START + Duration::from_secs(2);
    assert!((0..10).all(|_| warm.reserve(later).is_zero()));
    let mut unbounded = cold_start(0.0, Duration::from_secs(2));
    assert!((0..10).all(|_| unbounded.reserve(START).is_zero()));
}

#[test]
fn verify_no_request_waits_beyond_the_end_of_the_cold_time() {
    let mut cold = cold_start(1.0, Duration::from_secs(3));
    let longest = (0..10).map(|_| cold.reserve(START)).max();
    assert_eq!(longest, Some(Duration::from_secs(3)));
}

#[test]
fn verify_a_server_becomes_cold_again() {
    let mut cold = cold_start(1.0, Duration::from_secs(3));
    assert!(!cold.note(Duration::from_secs(2), START + Duration::from_secs(1)), "still cold");
    assert!(!cold.note(Duration::ZERO, START + Duration::from_secs(3)));
    assert!(cold.note(Duration::from_secs(3), START + Duration::from_secs(9)));
}
