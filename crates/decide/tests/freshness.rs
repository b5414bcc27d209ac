// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon is certain of its configuration for a limited time after a confirmation. Guards against
//! a daemon that refuses requests by a configuration that is no longer the latest.

use std::time::Duration;

use basaltarch_decide::freshness::{
    ConfigFreshness, ConfirmationSource, FreshConfirmation, CERTAIN_FOR, PASSED_ON_FOR,
};
use proptest::prelude::*;

fn confirmation(millis: u64) -> FreshConfirmation {
    FreshConfirmation { valid_at: Duration::from_millis(millis), source: ConfirmationSource::Store }
}

#[test]
fn verify_a_daemon_is_uncertain_before_a_confirmation_and_after_it_expires() {
    let mut freshness = ConfigFreshness::default();
    assert!(!freshness.is_certain(Duration::ZERO));
    freshness.note_confirmation(confirmation(5000));
    let until = Duration::from_millis(5000) + CERTAIN_FOR;
    assert!(freshness.is_certain(until));
    assert!(!freshness.is_certain(until + Duration::from_millis(1)));
}

#[test]
fn verify_a_later_configuration_that_cannot_be_read_overrides_confirmations() {
    let mut freshness = ConfigFreshness::default();
    freshness.note_confirmation(confirmation(1000));
    freshness.note_outdated();
    freshness.note_confirmation(confirmation(1100));
    assert!(!freshness.is_certain(Duration::from_millis(1100)));
    freshness.note_readable();
    assert!(
        !freshness.is_certain(Duration::from_millis(1100)),
        "earlier confirmations no longer count"
    );
    freshness.note_confirmation(confirmation(1200));
    assert!(freshness.is_certain(Duration::from_millis(1200)));
}

proptest! {
    /// Confirmations arrive late and out of order. The age is counted from the latest moment that
    /// any confirmation gives.
    #[test]
    fn verify_the_age_is_that_of_the_latest_confirmation(
        moments in proptest::collection::vec(0_u64..100_000, 1..40),
    ) {
        let mut freshness = ConfigFreshness::default();
        for moment in &moments {
            freshness.note_confirmation(confirmation(*moment));
        }
        let latest = moments.iter().max().copied().unwrap_or(0);
        let now = Duration::from_millis(100_000);
        prop_assert_eq!(freshness.age(now), Some(now - Duration::from_millis(latest)));
    }
}

#[test]
fn verify_a_confirmation_near_its_end_is_not_passed_on() {
    let mut freshness = ConfigFreshness::default();
    freshness.note_confirmation(confirmation(1000));
    let last = Duration::from_millis(1000) + CERTAIN_FOR - PASSED_ON_FOR;
    assert!(freshness.is_certain_for(last, PASSED_ON_FOR));
    let later = last + Duration::from_millis(1);
    assert!(!freshness.is_certain_for(later, PASSED_ON_FOR));
    assert!(freshness.is_certain(later), "it still serves the daemon that has it");
}
