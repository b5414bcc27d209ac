// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Packed rows are read back, take few bytes, and are refused if they are malformed.

use basaltarch_peer::protocol::RowNote;
use basaltarch_peer::row_list;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn build_rows(count: usize) -> Vec<RowNote> {
    let build_row = |number: usize| {
        RowNote {
        key: format!("sidecar-bkk-a-{number}"),
        value: Some(
            format!(
                r#"{{"host":"sidecar-bkk-a-{number}","incarnation":1764775{number},
                "failure_domain":"bkk-a","peer_address":"10.1.0.{number}:8146","admin_address":
                "10.1.0.{number}:7380","changes":1,"leaving":false,"servers":[{{"name":"i-{number}",
                "service":"solver-app","address":"10.1.0.{number}:8145","slots":6,"draining":false}}]}}"#
            )
            .into_bytes(),
        ),
        version: number as i64,
    }
    };
    let removed = RowNote { key: "gone".to_owned(), value: None, version: count as i64 };
    (0..count).map(build_row).chain([removed]).collect()
}

#[test]
fn verify_packed_rows_are_read_back_and_take_few_bytes() {
    let rows = build_rows(100);
    let packed = row_list::pack(rows.clone()).expect("rows");
    let bytes: usize = rows.iter().map(|row| row.value.as_ref().map_or(0, Vec::len)).sum();
    assert!(packed.len() * 3 < bytes, "{} of {bytes} bytes", packed.len());
    assert_eq!(row_list::unpack(&packed).expect("packed rows"), rows);
}

#[test]
fn verify_rows_of_an_excessive_size_are_refused() {
    let mut packed = row_list::pack(build_rows(1)).expect("rows");
    packed[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(row_list::unpack(&packed).is_err());
    assert!(row_list::unpack(&[]).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(55), cases: 512, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_malformed_rows_cause_no_panic(position in any::<usize>(), byte in any::<u8>()) {
        let mut packed = row_list::pack(build_rows(20)).expect("rows");
        let position = position % packed.len();
        packed[position] = byte;
        let _ = row_list::unpack(&packed);
    }
}
