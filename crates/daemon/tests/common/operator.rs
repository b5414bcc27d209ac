// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Calls that operators make to change the configuration, and a check of the audit trail.

use std::collections::BTreeMap;

use serde_json::{json, Value};

use super::client;
use super::{FleetPlan, TestDaemon, TestFleet};

/// Starts a fleet with this many daemons and two backend servers.
pub fn start_fleet_with_daemons(daemons: usize) -> TestFleet {
    TestFleet::start(&FleetPlan { daemons, backends: 2, ..FleetPlan::default() })
}

pub fn put_organisation(
    daemon: &TestDaemon,
    name: &str,
    title: &str,
    precondition: (&str, &str),
) -> client::Reply {
    let path = format!("/v1/organisations/{name}");
    daemon.call("PUT", &path, &[precondition], &json!({"title": title}).to_string())
}

/// Precondition of a change that any revision of the resource satisfies.
pub const ANY_REVISION: (&str, &str) = ("If-Match", "*");

/// Checks on every daemon that the audit trail has one record for each revision from 1 to
/// `revisions`, and that each change starts from the value that the previous change left.
pub fn check_audit_trail(fleet: &TestFleet, revisions: u64) {
    for daemon in &fleet.daemons {
        let audit = daemon.get("/v1/audit?after=0");
        let records = audit["records"].as_array().expect("records").clone();
        let revisions_in_order: Vec<u64> =
            records.iter().map(|record| record["revision"].as_u64().expect("revision")).collect();
        assert_eq!(revisions_in_order, (1..=revisions).collect::<Vec<u64>>());
        let mut state: BTreeMap<String, Value> = BTreeMap::new();
        for record in &records {
            assert!(record["actor"].as_str().is_some_and(|actor| !actor.is_empty()));
            assert!(record["at"].as_str().is_some_and(|at| at.ends_with('Z')));
            for change in record["changes"].as_array().expect("changes") {
                let key = format!("{}/{}", change["kind"], change["name"]);
                let before = state.get(&key).cloned().unwrap_or(Value::Null);
                assert_eq!(before, change["before"], "{key} at {}", record["revision"]);
                state.insert(key, change["after"].clone());
            }
        }
    }
}
