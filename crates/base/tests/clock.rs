// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The clock must include the time for which the host is suspended. Otherwise deadlines, leases and
//! knowledge about peers would stay valid for longer because of a suspend.

use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn verify_a_suspend_is_detected_once() {
    let clock = DaemonClock::try_new().expect("a clock");
    let before = clock.now();
    assert!(!clock.suspended_since(Duration::ZERO) && !clock.resumed().is_raised());
    clock.add_suspend(Duration::from_secs(5));
    let after = clock.now();
    assert!(after >= before + Duration::from_secs(5));
    assert!(clock.suspended_since(before) && clock.resumed().get() == 1);
    assert!(clock.last_suspend() >= Duration::from_secs(4));
    let later = clock.now();
    assert_eq!(clock.resumed().get(), 1);
    assert!(!clock.suspended_since(later + Duration::from_nanos(1)));
}

#[test]
fn verify_a_short_delay_is_no_suspend() {
    let clock = DaemonClock::try_new().expect("a clock");
    clock.add_suspend(Duration::from_millis(20));
    clock.now();
    assert!(!clock.resumed().is_raised());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(32), ..ProptestConfig::default() })]

    /// For any sequence of suspends, the clock reaches the end of a validity period as soon as the
    /// suspends alone have lasted that long.
    #[test]
    fn verify_no_validity_is_extended_by_a_suspend(
        suspends in prop::collection::vec(0_u64..20_000, 1..20),
        valid_ms in 1_u64..100_000,
    ) {
        let clock = DaemonClock::try_new().expect("a clock");
        let valid_until = clock.now() + Duration::from_millis(valid_ms);
        let mut suspended_ms = 0;
        for suspend_ms in suspends {
            clock.add_suspend(Duration::from_millis(suspend_ms));
            suspended_ms += suspend_ms;
            let now = clock.now();
            prop_assert!(suspended_ms < valid_ms || now >= valid_until);
        }
    }
}
