// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Every change of a table reaches a daemon that asks for one part after another, whatever the size
//! of the fleet.

use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

use basaltarch_fleet::row_log::{RowLog, RowState, REMOVED_ROWS_MAX};
use test_case::test_case;

const PART_BYTES: usize = 32 * 1024;
/// Size of the record of a host with one backend server.
const RECORD_BYTES: usize = 300;

fn row(key: &str, value: Option<&[u8]>, version: u64) -> RowState {
    RowState { key: Rc::from(key), value: value.map(Rc::from), version }
}

/// Applies part after part from the version `after` on, as a daemon that asks for changes does.
/// Returns the rows and the number of parts.
fn read_parts(log: &RowLog, after: u64) -> (BTreeMap<Rc<str>, RowState>, usize) {
    let (mut rows, mut parts, mut version) = (BTreeMap::new(), 0, after);
    loop {
        let part = log.part_after(version, PART_BYTES);
        let row_bytes = |row: &&RowState| row.key.len() + row.value.as_ref().map_or(0, |v| v.len());
        let bytes: usize = part.rows.iter().map(row_bytes).sum();
        assert!(bytes <= PART_BYTES + RECORD_BYTES + 12, "a part of {bytes} bytes");
        rows.extend(part.rows.iter().map(|row| (row.key.clone(), (*row).clone())));
        parts += 1;
        match part.up_to {
            Some(up_to) => {
                assert!(up_to > version, "each part advances");
                version = up_to;
            }
            None => return (rows, parts),
        }
    }
}

#[test_case(250)]
#[test_case(1000)]
#[test_case(4000)]
fn verify_a_whole_table_and_half_of_its_changes_arrive_in_parts(hosts: u64) {
    let value = vec![7; RECORD_BYTES];
    let mut log = RowLog::default();
    for number in 0..hosts {
        log.put(row(&format!("host-{number}"), Some(&value), number + 1));
    }
    let (rows, parts) = read_parts(&log, 0);
    assert_eq!(rows.len() as u64, hosts);
    let bytes = rows.len() * (RECORD_BYTES + 12);
    assert!(parts <= 1 + bytes / PART_BYTES, "{parts} parts for {bytes} bytes");
    for number in (0..hosts).step_by(2) {
        log.put(row(&format!("host-{number}"), Some(&value), hosts + number + 1));
    }
    let (changed, _) = read_parts(&log, hosts);
    assert_eq!(changed.len() as u64, hosts.div_ceil(2));
    assert!(changed.values().all(|row| row.version > hosts));
}

#[test]
fn verify_rows_of_one_version_stay_together() {
    let value = vec![7; PART_BYTES];
    let mut log = RowLog::default();
    for number in 0..5 {
        log.put(row(&format!("host-{number}"), Some(&value), 3));
    }
    log.put(row("later", Some(&value), 4));
    let part = log.part_after(0, PART_BYTES);
    assert_eq!((part.rows.len(), part.up_to), (5, Some(3)));
    let part = log.part_after(3, PART_BYTES);
    assert_eq!((part.rows.len(), part.up_to), (1, None));
}

#[test]
fn verify_rows_that_a_whole_table_lacks_are_removed() {
    let mut log = RowLog::default();
    log.put(row("kept", Some(b"1"), 1));
    log.put(row("gone", Some(b"2"), 2));
    log.remove_unlisted(&HashSet::from(["kept"]), 9);
    let part = log.part_after(1, PART_BYTES);
    assert_eq!(part.rows, [&row("gone", None, 9)]);
    log.put(row("gone", Some(b"3"), 10));
    assert_eq!(log.part_after(9, PART_BYTES).rows, [&row("gone", Some(b"3"), 10)]);
    assert_eq!(log.len(), 2);
}

#[test]
fn verify_the_number_of_removed_rows_is_bounded() {
    let mut log = RowLog::default();
    log.put(row("kept", Some(b"1"), 1));
    for number in 0..3 * REMOVED_ROWS_MAX as u64 {
        log.put(row(&format!("gone-{number}"), None, 10 + number));
    }
    assert_eq!(log.len(), 1 + REMOVED_ROWS_MAX);
    assert!(!log.has_forgotten(0), "the whole table is known");
    assert!(log.has_forgotten(9));
    assert!(!log.has_forgotten(10 + 2 * REMOVED_ROWS_MAX as u64));
}
