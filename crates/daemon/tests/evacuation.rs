// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! After a failure domain is evacuated, its backend servers get no new request from any daemon,
//! until the domain is restored.

mod common;

use std::thread;

use basaltarch_platform::rows::{self, OPERATOR_TABLE};
use basaltarch_standin::backend;
use common::forwarder::Forwarder;
use common::registered::{RegisteredFleet, HOST};
use common::{client, eventually, FleetPlan, TestFleet};
use serde_json::{json, Value};
use test_case::test_case;

/// Number of requests that are sent to check that a server gets none of them.
const CHECKED_REQUESTS: usize = 60;

fn evacuate(fleet: &RegisteredFleet, domain: &str) {
    fleet.platform.change_row("PUT", OPERATOR_TABLE, &rows::evacuation_key(domain), "{}");
}

fn restore(fleet: &RegisteredFleet, domain: &str) {
    fleet.platform.change_row("DELETE", OPERATOR_TABLE, &rows::evacuation_key(domain), "");
}

fn wait_evacuated(fleet: &RegisteredFleet, daemon: usize, domains: &[&str]) {
    eventually("the daemon knows the evacuated domains", || {
        fleet.daemons[daemon].get("/v1/status")["evacuated"] == json!(domains)
    });
}

/// Sends requests to a daemon and checks that all of them are served, and none by the server
/// `evacuated`.
fn check_served_elsewhere(fleet: &RegisteredFleet, daemon: usize, evacuated: usize, label: &str) {
    for number in 0..CHECKED_REQUESTS {
        let id = format!("{label}-{daemon}-{number}");
        let reply = fleet.request(daemon, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "{id}: {}", reply.text());
        assert_eq!(fleet.backends[evacuated].run_count(&id), 0, "{id} ran in the domain");
    }
}

#[test]
fn verify_an_evacuated_domain_gets_no_requests_until_it_is_restored() {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    evacuate(&fleet, "bkk-a");
    (0..3).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-a"]));
    (0..3).for_each(|daemon| check_served_elsewhere(&fleet, daemon, 0, "away"));
    restore(&fleet, "bkk-a");
    (0..3).for_each(|daemon| wait_evacuated(&fleet, daemon, &[]));
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
}

#[test]
fn verify_a_host_of_the_domain_refuses_requests_of_ingresses_that_know_nothing() {
    let mut fleet = RegisteredFleet::start(1);
    // The second daemon learns nothing after its start: it sends no more heartbeats, no peer
    // reaches it, and the store becomes black-holed.
    let store_forwarder = Forwarder::start();
    store_forwarder.forward_to(fleet.platform.address);
    let unreachable = common::closed_address().to_string();
    let flags = [("heartbeat-ms", "600000"), ("advertise-peers", unreachable.as_str())];
    fleet.daemons.push(fleet.start_daemon_at(store_forwarder.address, "host-b", "bkk-b", &flags));
    fleet.wait_served(1, &[0]);
    store_forwarder.black_hole();
    evacuate(&fleet, "bkk-a");
    wait_evacuated(&fleet, 0, &["bkk-a"]);
    wait_evacuated(&fleet, 1, &[]);
    for number in 0..CHECKED_REQUESTS {
        let id = format!("refused-{number}");
        let reply = fleet.request(1, "POST", "/unsafe/x", &id);
        assert_eq!((reply.status, fleet.run_count(&id)), (503, 0), "{}", reply.text());
        assert_eq!(reply.outcome().as_deref(), Some("not-run"));
        assert!(reply.header("retry-after").is_some());
    }
}

#[test_case(json!({"down": true}) ; "its connections are dropped")]
#[test_case(json!({"busy": true}) ; "its calls are refused")]
#[test_case(json!({"silent": true}) ; "its calls are not answered")]
fn verify_a_daemon_refused_by_the_store_learns_of_evacuations_from_its_peers(mut outage: Value) {
    let mut fleet = RegisteredFleet::start(2);
    fleet.daemons.push(fleet.start_daemon_at(
        fleet.platform.second_address,
        "host-c",
        "bkk-c",
        &[],
    ));
    fleet.wait_served(2, &[0, 1]);
    outage["second_group_only"] = json!(true);
    fleet.platform.set_faults(outage);
    evacuate(&fleet, "bkk-a");
    wait_evacuated(&fleet, 2, &["bkk-a"]);
    check_served_elsewhere(&fleet, 2, 0, "away");
    restore(&fleet, "bkk-a");
    wait_evacuated(&fleet, 2, &[]);
    // A daemon that starts while the store refuses it learns of the evacuation before it serves.
    evacuate(&fleet, "bkk-b");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-b"]));
    fleet.daemons[2].kill();
    let seed = fleet.daemons[0].peers.to_string();
    let flags = [("seeds", seed.as_str())];
    fleet.daemons[2] =
        fleet.start_daemon_at(fleet.platform.second_address, "host-c", "bkk-c", &flags);
    eventually("the daemon is ready", || fleet.daemons[2].is_ready());
    check_served_elsewhere(&fleet, 2, 1, "started");
}

#[test]
fn verify_requests_are_refused_at_once_when_every_domain_is_evacuated() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    evacuate(&fleet, "bkk-a");
    evacuate(&fleet, "bkk-b");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-a", "bkk-b"]));
    for daemon in 0..2 {
        let id = format!("nowhere-{daemon}");
        let reply = fleet.request(daemon, "POST", "/unsafe/x", &id);
        assert_eq!((reply.status, fleet.run_count(&id)), (503, 0), "{}", reply.text());
        assert_eq!(reply.outcome().as_deref(), Some("not-run"));
        assert!(reply.header("retry-after").is_some());
    }
    restore(&fleet, "bkk-a");
    restore(&fleet, "bkk-b");
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
}

#[test]
fn verify_a_running_request_ends_by_itself() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    fleet.backends[0].set_faults(json!({"slow_rate": 1.0, "slow_factor": 500.0}));
    let (callers, server) = (fleet.daemons[0].callers, fleet.backends[0].address);
    // Requests are sent one after another until one has run in the domain.
    let running = thread::spawn(move || loop {
        let headers = [("Host", HOST), ("Request-Id", "running"), ("Deadline-Ms", "3000")];
        let reply = client::call(callers, "POST", "/unsafe/x", &headers, "x");
        assert_eq!(reply.status, 200, "{}", reply.text());
        let runs = client::call(server, "GET", backend::RUNS_PATH, &[], "").json();
        if runs["by_id"]["running"].as_u64() >= Some(1) {
            return;
        }
    });
    eventually("a request runs in the domain", || fleet.daemons[0].metric_sum("slots_used") > 0.0);
    evacuate(&fleet, "bkk-a");
    running.join().expect("every request is answered");
}

#[test_case("PUT", "atlantis", "{}" ; "an unknown domain")]
#[test_case("PUT", "", "{}" ; "no name")]
#[test_case("PUT", "bkk/a", "not JSON" ; "another name")]
fn verify_an_evacuation_of_no_known_domain_changes_nothing_else(
    method: &str,
    domain: &str,
    value: &str,
) {
    let fleet = RegisteredFleet::start(2);
    fleet.platform.change_row(method, OPERATOR_TABLE, &rows::evacuation_key(domain), value);
    evacuate(&fleet, "bkk-b");
    eventually("the evacuation of the known domain is in force", || {
        let status = fleet.daemons[0].get("/v1/status");
        status["evacuated"].as_array().is_some_and(|domains| domains.contains(&json!("bkk-b")))
    });
    check_served_elsewhere(&fleet, 0, 1, "known");
}

#[test]
fn verify_an_evacuation_is_declared_as_a_resource() {
    let fleet = TestFleet::start(&FleetPlan::default());
    let set_evacuated = |evacuated: bool| {
        let value = json!({"region": "bangkok", "evacuated": evacuated}).to_string();
        let path = "/v1/failure-domains/bkk-a";
        let reply = fleet.daemons[1].call("PUT", path, &[("If-Match", "*")], &value);
        assert_eq!(reply.status, 200, "{}", reply.text());
        let revision = reply.json()["revision"].as_u64().expect("a revision");
        fleet.wait_revision(revision);
    };
    set_evacuated(true);
    for number in 0..CHECKED_REQUESTS {
        let id = format!("away-{number}");
        let reply = fleet.request(0, "POST", "/plain", &[("Request-Id", &id)], "x");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(fleet.daemons[0].get("/v1/status")["evacuated"], json!(["bkk-a"]));
    assert_eq!(fleet.backends[0].total_runs(), 0);
    set_evacuated(false);
    eventually("the server of the restored domain gets requests", || {
        fleet.request(0, "POST", "/plain", &[], "x");
        fleet.backends[0].total_runs() > 0
    });
}

/// Takes the store down, restores it from its copy and lets it serve again.
fn restore_from_copy(fleet: &RegisteredFleet) {
    fleet.platform.set_faults(json!({"down": true}));
    fleet.platform.restore();
    fleet.platform.set_faults(json!({}));
}

/// Guards against an evacuation that is ignored as its version was given out before.
#[test]
fn verify_an_evacuation_declared_after_a_restore_of_the_store_takes_effect() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    fleet.platform.take_copy();
    for _ in 0..10 {
        evacuate(&fleet, "bkk-a");
        (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-a"]));
        restore(&fleet, "bkk-a");
        (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &[]));
    }
    restore_from_copy(&fleet);
    evacuate(&fleet, "bkk-a");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-a"]));
    (0..2).for_each(|daemon| check_served_elsewhere(&fleet, daemon, 0, "again"));
    restore(&fleet, "bkk-a");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &[]));
}

/// Guards against an accepted change that reverts because the store's copy is older.
#[test]
fn verify_what_was_accepted_stays_when_the_store_comes_back_from_an_older_copy() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    evacuate(&fleet, "bkk-b");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-b"]));
    fleet.platform.take_copy();
    // The copy still has the row of one domain, and lacks that of the other.
    restore(&fleet, "bkk-b");
    evacuate(&fleet, "bkk-a");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-a"]));
    restore_from_copy(&fleet);
    // A document of the new era shows that the daemons have read the table in that era.
    fleet.put_in_force(&common::registered::document(2));
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &["bkk-a"]));
    restore(&fleet, "bkk-a");
    evacuate(&fleet, "bkk-a");
    restore(&fleet, "bkk-a");
    (0..2).for_each(|daemon| wait_evacuated(&fleet, daemon, &[]));
}
