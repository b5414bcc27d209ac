// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Which connection makes room for others.

use std::time::Duration;

use basaltarch_decide::eviction::{self, ByteNeed, ConnectionFacts, ConnectionStage};
use test_case::test_case;
use ConnectionStage::{Blocked, Idle, Lingering, Receiving, Serving};

fn connection(stage: ConnectionStage, still_ms: u64) -> ConnectionFacts {
    ConnectionFacts { stage, still_time: Duration::from_millis(still_ms), held_bytes: 1 }
}

#[test_case(&[(Serving, 9000), (Idle, 9000), (Receiving, 1)], Some(2) ; "a request in part before an idle connection")]
#[test_case(&[(Receiving, 5), (Receiving, 7), (Receiving, 6)], Some(1) ; "the one that moved least")]
#[test_case(&[(Receiving, 9000), (Lingering, 1)], Some(1) ; "one that has its answer first of all")]
#[test_case(&[(Blocked, 9000), (Idle, 5)], Some(1) ; "an idle connection before a reader")]
#[test_case(&[(Blocked, 999), (Serving, 9000)], None ; "no reader that read within a second")]
#[test_case(&[(Blocked, 1000), (Serving, 9000)], Some(0) ; "a reader that stands still")]
#[test_case(&[(Serving, 9000)], None ; "never one that is served")]
#[test_case(&[], None ; "none of none")]
fn verify_the_connection_that_makes_room(
    connections: &[(ConnectionStage, u64)],
    chosen: Option<usize>,
) {
    let facts = connections.iter().map(|(stage, still_ms)| connection(*stage, *still_ms));
    assert_eq!(eviction::choose_for_room(facts), chosen);
}

#[test_case(&[(Receiving, 999), (Idle, 9000)], ByteNeed::Request, None ; "nobody who moves")]
#[test_case(&[(Receiving, 1000), (Blocked, 2000)], ByteNeed::Request, Some(1) ; "who stands still longest")]
#[test_case(&[(Blocked, 10), (Serving, 9000)], ByteNeed::Request, None ; "no reader for a request")]
#[test_case(&[(Blocked, 10), (Blocked, 20)], ByteNeed::Answer, Some(1) ; "a reader for an answer")]
fn verify_the_holder_that_gives_its_bytes(
    connections: &[(ConnectionStage, u64)],
    need: ByteNeed,
    chosen: Option<usize>,
) {
    let facts = connections.iter().map(|(stage, still_ms)| connection(*stage, *still_ms));
    assert_eq!(eviction::choose_for_bytes(facts, need), chosen);
}

#[test]
fn verify_a_connection_without_bytes_gives_none() {
    let facts = ConnectionFacts { held_bytes: 0, ..connection(Receiving, 9000) };
    assert_eq!(eviction::choose_for_bytes([facts].into_iter(), ByteNeed::Answer), None);
}
