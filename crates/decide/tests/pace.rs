// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! When a caller that is waited for loses its slot.

use std::time::Duration;

use basaltarch_decide::pace::{CallerPace, SlotDemand};
use test_case::test_case;

const QUIET: SlotDemand = SlotDemand { is_wanted: false, slots: 4, held_up: 4 };
const WANTED: SlotDemand = SlotDemand { is_wanted: true, slots: 4, held_up: 1 };
const CROWDED: SlotDemand = SlotDemand { is_wanted: true, slots: 4, held_up: 3 };

#[test_case(QUIET, 3_600_000, false ; "nobody else needs the slot")]
#[test_case(WANTED, 999, false ; "less than a second")]
#[test_case(WANTED, 1000, true ; "a second")]
#[test_case(CROWDED, 249, false ; "less than a quarter of a second in a crowd")]
#[test_case(CROWDED, 250, true ; "a quarter of a second in a crowd")]
fn verify_a_wait_counts_as_a_stall(demand: SlotDemand, waiting_ms: u64, is_stalled: bool) {
    let waiting = Duration::from_millis(waiting_ms);
    assert_eq!(CallerPace::default().is_stalled(waiting, &demand), is_stalled);
}

#[test_case(100, true ; "a trickle")]
#[test_case(1024, false ; "four KiB within a second")]
fn verify_waits_add_up_until_the_caller_has_moved_enough(bytes: usize, is_stalled: bool) {
    let mut pace = CallerPace::default();
    let step = Duration::from_millis(200);
    for _ in 0..4 {
        pace.note_moved(bytes, step);
    }
    assert_eq!(pace.is_stalled(step, &WANTED), is_stalled);
}
