// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rows of hosts reach every daemon although only a few readers of a failure domain read them from
//! the store.

mod common;

use basaltarch_daemon::roster::HOSTS_TABLE;
use basaltarch_platform::rows::{evacuation_key, OPERATOR_TABLE};
use common::registered::{document, RegisteredFleet, SERVICE};
use common::{eventually, TestDaemon};
use serde_json::{json, Value};
use test_case::test_case;

/// Registers a server named `name` at the daemon `index`, and waits until the daemons
/// `daemons_to_know` know of that server.
fn register_and_wait(fleet: &RegisteredFleet, index: usize, name: &str, daemons_to_know: &[usize]) {
    assert_eq!(fleet.send_newcomer_heartbeat(index, name).status, 200);
    for daemon in daemons_to_know {
        eventually("the daemon knows of the server", || {
            fleet.daemons[*daemon].get("/v1/backend-servers").to_string().contains(name)
        });
    }
}

#[test_case(json!({"down": true}) ; "its connections are dropped")]
#[test_case(json!({"busy": true}) ; "its calls are refused")]
#[test_case(json!({"silent": true}) ; "its calls are not answered")]
fn verify_a_host_refused_by_the_store_learns_of_new_servers(mut outage: Value) {
    let mut fleet = RegisteredFleet::start_in_one_domain(3);
    fleet.daemons[2].kill();
    fleet.daemons[2] = fleet.start_daemon_at(fleet.platform.second_address, "host-c", "bkk-a", &[]);
    assert_eq!(fleet.send_heartbeat(2, false).status, 200);
    register_and_wait(&fleet, 0, "i-before", &[0, 1, 2]);
    outage["second_group_only"] = json!(true);
    fleet.platform.set_faults(outage);
    // Two servers are registered one after the other, so that the second change of the rows follows
    // the first change.
    register_and_wait(&fleet, 0, "i-during", &[0, 1, 2]);
    register_and_wait(&fleet, 1, "i-later", &[0, 1, 2]);
    fleet.platform.set_faults(json!({}));
    register_and_wait(&fleet, 2, "i-after", &[0, 1, 2]);
}

#[test]
fn verify_rows_arrive_although_readers_are_gone() {
    let mut fleet = RegisteredFleet::start_in_one_domain(4);
    register_and_wait(&fleet, 0, "i-first", &[0, 1, 2, 3]);
    for killed_daemon in [1, 2] {
        fleet.daemons[killed_daemon].kill();
        let remaining_daemons: Vec<usize> = [0, 1, 2, 3]
            .into_iter()
            .filter(|index| *index > killed_daemon || *index == 0)
            .collect();
        register_and_wait(&fleet, 0, &format!("i-without-{killed_daemon}"), &remaining_daemons);
        register_and_wait(&fleet, 3, &format!("i-still-{killed_daemon}"), &remaining_daemons);
    }
    let domain = fleet.daemons[1].domain.clone();
    fleet.daemons[1] = fleet.start_daemon("host-b", &domain, &[]);
    register_and_wait(&fleet, 0, "i-last", &[0, 1, 3]);
}

#[test]
fn verify_few_daemons_of_a_failure_domain_read_the_store() {
    let fleet = RegisteredFleet::start_in_one_domain(6);
    let all_daemons = [0, 1, 2, 3, 4, 5];
    register_and_wait(&fleet, 0, "i-first", &all_daemons);
    // Each change ends a long poll of the readers. The other daemons learn of the change from the
    // readers and don't call the store.
    let rows_call_count = |daemon: usize| fleet.daemons[daemon].metric_sum("rows_calls") as u64;
    eventually("one or two daemons read the rows during four changes", || {
        let calls_before: Vec<u64> =
            all_daemons.iter().map(|daemon| rows_call_count(*daemon)).collect();
        for number in 0..4 {
            register_and_wait(
                &fleet,
                number,
                &format!("i-{}-{number}", calls_before[0]),
                &all_daemons,
            );
        }
        let reader_count = all_daemons
            .iter()
            .filter(|daemon| rows_call_count(**daemon) > calls_before[**daemon])
            .count();
        (1..=2).contains(&reader_count)
    });
}

/// Returns the record of a host in another failure domain. Nothing listens at its addresses. The
/// padding makes the changes of a few hundred hosts as long as those of a large fleet.
fn build_long_record(number: usize) -> String {
    let server = json!({"name": format!("i-far-{number}"), "service": SERVICE, "slots": 4,
        "address": "127.0.0.1:1", "draining": false});
    json!({"incarnation": 1, "failure_domain": "bkk-z", "leaving": false, "servers": [server],
        "peer_address": format!("127.0.0.2:{}", 1 + number), "admin_address": "127.0.0.2:1",
        "padding": "x".repeat(3000)})
    .to_string()
}

/// Writes the rows of `count` hosts in another failure domain, and waits until the daemons know
/// their servers.
fn add_far_hosts(fleet: &RegisteredFleet, count: usize) {
    for number in 0..count {
        let key = format!("far-{number}");
        fleet.platform.change_row("PUT", HOSTS_TABLE, &key, &build_long_record(number));
    }
    for daemon in &fleet.daemons {
        eventually("the daemon knows of every server", || {
            let servers = daemon.get("/v1/backend-servers").to_string();
            servers.matches("i-far-").count() >= count
        });
    }
}

/// In a large fleet, a change of the document completes the calls of the readers only. The far hosts
/// don't run, so that nearly all neighbours of a daemon are unreachable.
#[test]
fn verify_few_daemons_of_a_large_fleet_wait_for_the_document() {
    let fleet = RegisteredFleet::start_in_one_domain(6);
    add_far_hosts(&fleet, 300);
    let mut version = 1;
    let document_calls = |daemon: &TestDaemon| daemon.metric_sum("document_calls") as u64;
    eventually("one or two daemons call the store during four changes", || {
        let calls_before: Vec<u64> = fleet.daemons.iter().map(document_calls).collect();
        for _ in 0..4 {
            version += 1;
            fleet.write_document(&document(version));
            for daemon in &fleet.daemons {
                eventually("the document is in force", || daemon.revision() == version);
            }
        }
        let daemons = fleet.daemons.iter().zip(calls_before);
        let callers = daemons.filter(|(daemon, before)| document_calls(daemon) > *before);
        (1..=2).contains(&callers.count())
    });
}

/// An evacuation reaches the daemons of a large fleet that do not wait at the store.
#[test]
fn verify_an_evacuation_reaches_every_daemon_of_a_large_fleet() {
    let fleet = RegisteredFleet::start_in_one_domain(5);
    add_far_hosts(&fleet, 300);
    for (method, expected) in [("PUT", json!(["bkk-z"])), ("DELETE", json!([]))] {
        fleet.platform.change_row(method, OPERATOR_TABLE, &evacuation_key("bkk-z"), "{}");
        for daemon in &fleet.daemons {
            eventually("the daemon knows the evacuated domains", || {
                daemon.get("/v1/status")["evacuated"] == expected
            });
        }
    }
}

#[test]
fn verify_more_changes_than_a_frame_holds_reach_a_host_refused_by_the_store() {
    const HOST_COUNT: usize = 300;
    let mut fleet = RegisteredFleet::start_in_one_domain(3);
    fleet.daemons[2].kill();
    fleet.daemons[2] = fleet.start_daemon_at(fleet.platform.second_address, "host-c", "bkk-a", &[]);
    assert_eq!(fleet.send_heartbeat(2, false).status, 200);
    register_and_wait(&fleet, 0, "i-before", &[0, 1, 2]);
    fleet.platform.set_faults(json!({"down": true, "second_group_only": true}));
    add_far_hosts(&fleet, HOST_COUNT);
}
