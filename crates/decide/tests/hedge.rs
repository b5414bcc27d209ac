// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A hedged attempt is made early enough to complete in time, and not for a request that is only a
//! little late.

use std::time::Duration;

use basaltarch_decide::hang::UsualTime;
use basaltarch_decide::hedge;
use test_case::test_case;

fn usual() -> UsualTime {
    UsualTime { median_ln: 100_000_f64.ln(), spread: 0.5 }
}

// The median is 100 ms; one standard deviation above it is 165 ms, two are 272 ms.
#[test_case(None, 271, 273 ; "no objective")]
#[test_case(Some(5000), 271, 273 ; "an objective far ahead")]
#[test_case(Some(330), 200, 203 ; "an objective that leaves time for a hedge")]
#[test_case(Some(150), 164, 166 ; "an objective that can hardly be met")]
fn verify_a_hedge_is_sent_while_it_can_complete_in_time(
    left_ms: Option<u64>,
    least: u64,
    most: u64,
) {
    let delay = hedge::due_after(&usual(), left_ms.map(Duration::from_millis));
    let allowed = Duration::from_millis(least)..=Duration::from_millis(most);
    assert!(allowed.contains(&delay), "{delay:?}");
}
