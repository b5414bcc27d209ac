// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Which start of a backend server lives, whatever comes in which order.

use std::time::Duration;

use basaltarch_decide::start::{StartTrack, StartVerdict, StartWord};
use test_case::test_case;
use StartVerdict::{Current, Late, Replaces, Unnamed};

/// A heartbeat: when it comes in ms, the start that it tells, its number, and what it counts for.
type Heard = (u64, Option<u64>, u64, StartVerdict);

#[test_case(&[(0, None, 1, Current), (9, None, 2, Current)] ; "servers that tell no start")]
#[test_case(&[(0, None, 7, Current), (9, Some(5), 1, Replaces)] ; "one that begins to tell it")]
#[test_case(&[(0, Some(5), 1, Replaces), (9, None, 2, Unnamed)] ; "one that told it before")]
#[test_case(&[(0, Some(5), 8, Replaces), (9, Some(6), 1, Replaces), (10, Some(5), 9, Late),
              (5000, Some(5), 10, Late)] ; "late heartbeats of the start before")]
#[test_case(&[(0, Some(6), 1, Replaces), (9, Some(5), 8, Late), (10, Some(6), 2, Current)]
            ; "a late heartbeat of a start that was never seen")]
#[test_case(&[(0, Some(6), 1, Replaces), (9, Some(5), 8, Late), (10, Some(5), 9, Late)]
            ; "two that were held up together")]
#[test_case(&[(0, Some(6), 90, Replaces), (500, Some(5), 1, Late), (2000, Some(5), 2, Late),
              (3500, Some(5), 3, Replaces), (4000, Some(6), 91, Late)] ; "a clock that was set back")]
#[test_case(&[(0, Some(6), 1, Replaces), (500, Some(5), 1, Late), (2000, Some(6), 2, Current),
              (3500, Some(5), 2, Late)] ; "an older start while the newer speaks")]
#[test_case(&[(0, Some(6), 1, Replaces), (500, Some(5), 9, Late), (3500, Some(5), 9, Late)]
            ; "the same heartbeat twice")]
fn verify_the_start_that_lives_is_taken(heard: &[Heard]) {
    let mut track = StartTrack::default();
    for (at, born, sequence, wanted) in heard {
        let word = StartWord { born: *born, sequence: *sequence };
        assert_eq!(track.judge(word, Duration::from_millis(*at)), *wanted, "at {at} ms");
    }
}

#[test]
fn verify_a_start_that_is_over_does_not_come_back_and_any_other_may() {
    let mut track = StartTrack::default();
    let word = |born| StartWord { born: Some(born), sequence: 1 };
    track.judge(word(6), Duration::ZERO);
    track.note_over(6);
    assert_eq!(track.current(), None);
    assert_eq!(track.judge(word(6), Duration::ZERO), Late);
    // Its clock was set back meanwhile; nothing that lives speaks against it.
    assert_eq!(track.judge(word(5), Duration::ZERO), Replaces);
}
