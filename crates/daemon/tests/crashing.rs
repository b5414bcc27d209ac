// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that crash under a request.

mod common;

use common::{client, eventually, FleetPlan, TestBackend, TestFleet};
use serde_json::json;

/// Path of the bad request.
const BAD: &str = "/puzzle/bad";
/// Time that a server needs to start again.
const DOWN_MS: u64 = 300;

/// Starts servers that crash under the bad request.
fn fragile_fleet(daemons: usize, backends: usize) -> TestFleet {
    let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 0.5});
    let fleet = TestFleet::start(&FleetPlan {
        daemons,
        backends,
        service_ms: 5,
        service,
        ..FleetPlan::default()
    });
    for backend in &fleet.backends {
        backend.faults(json!({"crash_path": BAD, "crash_after_ms": 20, "down_ms": DOWN_MS}));
    }
    fleet
}

/// Returns how often a server has crashed, once it is up.
fn crashes(backend: &TestBackend) -> u64 {
    let mut crashes = None;
    eventually("the server is up", || {
        let reply = client::try_call(backend.address, "GET", "/__control/runs", &[], "");
        crashes = reply.and_then(|reply| reply.json()["crashes"].as_u64());
        crashes.is_some()
    });
    crashes.expect("a count")
}

#[test]
fn verify_a_crash_is_told_from_a_connection_that_breaks() {
    let fleet = fragile_fleet(1, 1);
    let log = || fleet.daemons[0].log_text();
    fleet.request(0, "GET", BAD, &[("x-request-id", "crashes")], "");
    let broke = |id: &str, crashed: bool| {
        let wanted = [format!("\"request\":\"{id}\""), format!("\"crashed\":{crashed}")];
        let of_break = |line: &&str| line.contains("work broke");
        log().lines().filter(of_break).any(|line| wanted.iter().all(|part| line.contains(part)))
    };
    eventually("the crash is told", || broke("crashes", true));
    assert!(log().contains("backend server crashed"));
    crashes(&fleet.backends[0]);
    fleet.backends[0].faults(json!({"break_at": "after-run"}));
    eventually("the break is told", || {
        fleet.request(0, "GET", "/plain/x", &[("x-request-id", "breaks")], "");
        broke("breaks", false)
    });
    assert!(!broke("breaks", true), "a server that still listens has not crashed");
}
