// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A part of a snapshot that a peer sends is joined only to other parts of the same transfer.

use basaltarch_daemon::parts::{SnapshotPart, SnapshotParts};

/// Host that sends the parts.
const HOST: &str = "host-a";

fn snapshot_part(transfer: i64, index: i32, text: &str, last: bool) -> SnapshotPart {
    SnapshotPart { transfer, index, bytes: text.as_bytes().to_vec(), last, packed: false }
}

#[test]
fn verify_an_interrupted_transfer_is_not_joined_to_the_next() {
    let parts = SnapshotParts::default();
    assert_eq!(parts.add_part(HOST, snapshot_part(1, 0, "half of ", false)), None);
    assert_eq!(parts.add_part(HOST, snapshot_part(2, 0, "a ", false)), None);
    assert_eq!(parts.add_part(HOST, snapshot_part(2, 1, "whole", true)), Some(b"a whole".to_vec()));
}

#[test]
fn verify_of_two_concurrent_transfers_the_later_one_completes() {
    let parts = SnapshotParts::default();
    assert_eq!(parts.add_part(HOST, snapshot_part(1, 0, "first ", false)), None);
    assert_eq!(parts.add_part(HOST, snapshot_part(2, 0, "second ", false)), None);
    assert_eq!(parts.add_part(HOST, snapshot_part(1, 1, "one", true)), None);
    assert_eq!(
        parts.add_part(HOST, snapshot_part(2, 1, "one", true)),
        Some(b"second one".to_vec())
    );
}

#[test]
fn verify_a_missing_part_fails_only_its_own_transfer() {
    let parts = SnapshotParts::default();
    assert_eq!(
        parts.add_part(HOST, snapshot_part(1, 1, "end", true)),
        None,
        "the first part of transfer 1 was never received"
    );
    assert_eq!(parts.add_part(HOST, snapshot_part(2, 0, "a", false)), None);
    assert_eq!(parts.add_part(HOST, snapshot_part(2, 2, "c", true)), None);
    assert_eq!(
        parts.add_part("host-b", snapshot_part(2, 0, "other", true)),
        Some(b"other".to_vec())
    );
    assert_eq!(parts.add_part(HOST, snapshot_part(3, 0, "whole", true)), Some(b"whole".to_vec()));
}
