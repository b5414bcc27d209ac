// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What a daemon does for a number of rows that arrive together grows no faster than their number.
//! The work is counted by the bytes that it allocates.

mod common;

use std::alloc::System;
use std::rc::Rc;

use basaltarch_daemon::document;
use basaltarch_daemon::roster::{self, HOSTS_TABLE};
use basaltarch_daemon::state::DaemonState;
use basaltarch_options::{DaemonOptions, RawOptions};
use basaltarch_platform::rows::{RowValue, StoredRow};
use basaltarch_telemetry::runtime;
use cap::Cap;
use common::daemon::{FLEET_KEY, OPERATOR_TOKEN};
use common::registered::{self, SERVICE};
use serde_json::json;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Numbers of hosts, each with one backend server of the same service.
const HOST_COUNTS: [usize; 4] = [250, 500, 1000, 4000];
/// Factor by which the bytes for each row may exceed those in the smallest fleet. Buffers that
/// double, and deeper trees, explain a part of it.
const GROWTH_MAX: f64 = 2.0;

fn build_state() -> Rc<DaemonState> {
    let raw = RawOptions {
        host: Some("host-a".to_owned()),
        failure_domain: Some("bkk-a".to_owned()),
        platform: Some(common::closed_address().to_string()),
        fleet_key: Some(FLEET_KEY.to_owned()),
        admin_token: Some(OPERATOR_TOKEN.to_owned()),
        source: Some("document".to_owned()),
        ..RawOptions::default()
    };
    let state = DaemonState::try_new(DaemonOptions::try_new(raw).expect("settings"));
    let state = state.expect("a clock");
    let snapshot = json!({"document": registered::document(1), "hosts": []}).to_string();
    document::adopt_snapshot(&state, "host-b", snapshot.as_bytes());
    state
}

fn build_row(number: usize) -> StoredRow {
    let server = json!({"name": format!("i-{number}"), "service": SERVICE, "slots": 4,
        "address": "127.0.0.1:1", "draining": false});
    let record = json!({"incarnation": 1, "failure_domain": "bkk-b", "leaving": false,
        "servers": [server], "admin_address": "127.0.0.1:1",
        "peer_address": format!("127.0.{}.{}:1", number / 250, 1 + number % 250)});
    StoredRow {
        table: HOSTS_TABLE.to_owned(),
        part: String::new(),
        key: format!("far-{number}"),
        value: RowValue::Bytes(record.to_string().into_bytes()),
        version: 1 + number as u64,
    }
}

/// Applies the rows of `count` hosts at once, and returns the bytes that were allocated for each.
fn bytes_for_each_row(count: usize) -> f64 {
    let state = build_state();
    let rows: Vec<StoredRow> = (0..count).map(build_row).collect();
    let before = ALLOCATOR.total_allocated();
    roster::apply_rows(&state, &rows);
    let allocated = ALLOCATOR.total_allocated() - before;
    assert_eq!(state.config.active().service(SERVICE).expect("a service").upstreams.len(), count);
    allocated as f64 / count as f64
}

#[test]
fn verify_the_work_for_rows_that_arrive_together_grows_as_their_number() {
    let bytes = runtime::run(async { HOST_COUNTS.map(bytes_for_each_row) }).expect("runtime");
    let growth = bytes.map(|bytes_for_each| bytes_for_each / bytes[0]);
    assert!(growth.iter().all(|factor| *factor <= GROWTH_MAX), "{bytes:?}");
}
