// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Which incarnation of a backend server is the current one, in whatever order its heartbeats
//! arrive.

use std::time::Duration;

use basaltarch_decide::server_incarnation::{
    IncarnationClaim, IncarnationTracker, IncarnationVerdict,
};
use test_case::test_case;
use IncarnationVerdict::{Current, Late, Replaces, Unnamed};

/// `HeartbeatCase` is a heartbeat: its arrival in ms, its incarnation, its sequence number, and the
/// expected verdict.
type HeartbeatCase = (u64, Option<u64>, u64, IncarnationVerdict);

#[test_case(&[(0, None, 1, Current), (9, None, 2, Current)]
            ; "a server that reports no incarnation")]
#[test_case(&[(0, None, 7, Current), (9, Some(5), 1, Replaces)]
            ; "a server that begins to report it")]
#[test_case(&[(0, Some(5), 1, Replaces), (9, None, 2, Unnamed)]
            ; "a server that reported it before")]
#[test_case(&[(0, Some(5), 8, Replaces), (9, Some(6), 1, Replaces), (10, Some(5), 9, Late),
              (5000, Some(5), 10, Late)] ; "late heartbeats of the previous incarnation")]
#[test_case(&[(0, Some(6), 1, Replaces), (9, Some(5), 8, Late), (10, Some(6), 2, Current)]
            ; "a late heartbeat of an incarnation that was never seen")]
#[test_case(&[(0, Some(6), 1, Replaces), (9, Some(5), 8, Late), (10, Some(5), 9, Late)]
            ; "two heartbeats that were delayed together")]
#[test_case(&[(0, Some(6), 90, Replaces), (500, Some(5), 1, Late), (2000, Some(5), 2, Late),
              (3500, Some(5), 3, Replaces), (4000, Some(6), 91, Late)]
            ; "a clock that was set back")]
#[test_case(&[(0, Some(6), 1, Replaces), (500, Some(5), 1, Late), (2000, Some(6), 2, Current),
              (3500, Some(5), 2, Late)]
            ; "an older incarnation while the newer sends heartbeats")]
#[test_case(&[(0, Some(6), 1, Replaces), (500, Some(5), 9, Late), (3500, Some(5), 9, Late)]
            ; "the same heartbeat twice")]
fn verify_the_running_incarnation_is_the_current_one(heartbeats: &[HeartbeatCase]) {
    let mut track = IncarnationTracker::default();
    for (at, born, sequence, expected) in heartbeats {
        let claim = IncarnationClaim { born: *born, sequence: *sequence };
        assert_eq!(track.judge(claim, Duration::from_millis(*at)), *expected, "at {at} ms");
    }
}

#[test]
fn verify_an_ended_incarnation_does_not_come_back_and_any_other_may() {
    let mut track = IncarnationTracker::default();
    let claim = |born| IncarnationClaim { born: Some(born), sequence: 1 };
    track.judge(claim(6), Duration::ZERO);
    track.note_end(6);
    assert_eq!(track.current(), None);
    assert_eq!(track.judge(claim(6), Duration::ZERO), Late);
    // The clock was set back since; no running incarnation contradicts the older start time.
    assert_eq!(track.judge(claim(5), Duration::ZERO), Replaces);
}
