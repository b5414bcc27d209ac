// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! No change of the configuration is lost or undone while the store or daemons fail, or while rows
//! of hosts in the store are wrong.

mod common;

use basaltarch_platform::rows;
use common::forwarder::Forwarder;
use common::operator::{
    check_audit_trail, put_organisation, start_fleet_with_daemons, ANY_REVISION,
};
use common::{client, eventually, FleetPlan, TestDaemon, TestFleet};
use serde_json::{json, Value};
use test_case::test_case;

#[test_case(json!({"lose_write_answers": 1}) ; "answer lost")]
#[test_case(json!({"lose_write_answers": 2}) ; "two answers lost")]
#[test_case(json!({"lose_writes": 1}) ; "write lost")]
fn verify_a_change_whose_answer_is_lost_is_neither_applied_twice_nor_misreported(faults: Value) {
    let fleet = start_fleet_with_daemons(2);
    fleet.platform.set_faults(faults);
    let reply = put_organisation(&fleet.daemons[0], "lost", "t", ("If-None-Match", "*"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.json()["revision"], json!(2));
    fleet.wait_revision(2);
    assert_eq!(fleet.daemons[0].revision(), 2);
    check_audit_trail(&fleet, 2);
}

#[test]
fn verify_with_the_store_down_changes_are_refused_and_requests_are_served() {
    let fleet = start_fleet_with_daemons(3);
    fleet.platform.set_faults(json!({"down": true}));
    let reply = put_organisation(&fleet.daemons[0], "x", "t", ANY_REVISION);
    assert!(matches!(reply.status, 503 | 504), "{}", reply.text());
    for daemon in 0..3 {
        assert_eq!(fleet.request(daemon, "GET", "/puzzle", &[], "").status, 200);
    }
    assert_eq!(fleet.daemons[0].revision(), 1);
}

#[test]
fn verify_a_daemon_without_store_and_peers_is_not_ready_and_serves_nothing() {
    let mut fleet = start_fleet_with_daemons(1);
    fleet.platform.set_faults(json!({"down": true}));
    fleet.daemons.clear();
    let new_daemon = TestDaemon::start(fleet.platform.address, "host-a", "bkk-a", &[]);
    let readiness_reply = client::call(new_daemon.admin, "GET", "/readyz", &[], "");
    assert_eq!(readiness_reply.status, 503);
    assert!(readiness_reply.text().contains("waits for a configuration"));
    let reply = client::call(new_daemon.callers, "GET", "/", &[("Host", "solver.example")], "");
    assert_eq!((reply.status, reply.reason().as_deref()), (503, Some("no-configuration")));
    assert_eq!(reply.outcome().as_deref(), Some("not-run"));
    fleet.platform.set_faults(json!({}));
    eventually("the daemon is ready once the store is back", || new_daemon.is_ready());
    assert_eq!(new_daemon.revision(), 1);
}

#[test]
fn verify_all_daemons_replaced_one_after_another_without_the_store_lose_nothing() {
    let mut fleet = start_fleet_with_daemons(3);
    assert_eq!(put_organisation(&fleet.daemons[0], "x", "t", ANY_REVISION).status, 200);
    fleet.wait_revision(2);
    fleet.platform.set_faults(json!({"down": true}));
    for index in 0..3 {
        let old_daemon = fleet.daemons.remove(index);
        let (host, domain) = (old_daemon.host.clone(), old_daemon.domain.clone());
        drop(old_daemon);
        let seeds: Vec<String> = fleet.daemons.iter().map(|d| d.peers.to_string()).collect();
        let seeds = seeds.join(",");
        let flags = [("seeds", seeds.as_str())];
        let new_daemon = TestDaemon::start(fleet.platform.address, &host, &domain, &flags);
        eventually("the new daemon is ready with the configuration of its peers", || {
            new_daemon.is_ready()
        });
        fleet.daemons.insert(index, new_daemon);
    }
    for daemon in &fleet.daemons {
        assert_eq!(daemon.revision(), 2);
        assert_eq!(daemon.call("GET", "/v1/organisations/x", &[], "").status, 200);
    }
}

#[test]
fn verify_a_replaced_daemon_learns_from_its_peers_while_the_store_is_down() {
    let mut fleet = start_fleet_with_daemons(3);
    let seeds = format!("{},{}", fleet.daemons[0].peers, fleet.daemons[1].peers);
    assert_eq!(put_organisation(&fleet.daemons[0], "x", "t", ANY_REVISION).status, 200);
    fleet.wait_revision(2);
    fleet.platform.set_faults(json!({"down": true}));
    let old_daemon = fleet.daemons.pop().expect("daemon");
    let (host, domain) = (old_daemon.host.clone(), old_daemon.domain.clone());
    drop(old_daemon);
    let flags = [("seeds", seeds.as_str())];
    let new_daemon = TestDaemon::start(fleet.platform.address, &host, &domain, &flags);
    eventually("the new daemon is ready with the configuration of its peers", || {
        new_daemon.is_ready()
    });
    assert_eq!(new_daemon.revision(), 2);
    let reply =
        client::call(new_daemon.callers, "GET", "/puzzle", &[("Host", "solver.example")], "");
    assert_eq!(reply.status, 200, "{}", reply.text());
}

#[test]
fn verify_stale_store_answers_never_restore_an_older_revision() {
    let fleet = start_fleet_with_daemons(2);
    fleet.platform.set_faults(json!({"reads_from_past_ms": 1}));
    for number in 0..6 {
        let name = format!("org-{number}");
        eventually("the change is accepted", || {
            put_organisation(&fleet.daemons[0], &name, "t", ANY_REVISION).status == 200
        });
    }
    fleet.wait_revision(7);
    fleet.platform.set_faults(json!({"reads_from_past_ms": 3_600_000}));
    let mut lowest_revisions = [7, 7];
    let rejections_before = fleet.daemons[1].metric_sum("old_revisions");
    eventually("stale answers were received and rejected", || {
        for (index, daemon) in fleet.daemons.iter().enumerate() {
            lowest_revisions[index] = lowest_revisions[index].min(daemon.revision());
        }
        fleet.daemons[1].metric_sum("old_revisions") > rejections_before
    });
    assert_eq!(lowest_revisions, [7, 7]);
    // Changes are still accepted. Each write checks the head of the configuration in the store, so
    // that a change that is based on an old revision is rejected.
    eventually("the change is accepted, at the latest with current answers of the store", || {
        let reply = put_organisation(&fleet.daemons[0], "late", "t", ANY_REVISION);
        assert!(matches!(reply.status, 200 | 409 | 503), "{}", reply.text());
        fleet.platform.set_faults(json!({}));
        reply.status == 200
    });
    fleet.wait_revision(8);
    check_audit_trail(&fleet, 8);
}

#[test]
fn verify_a_paused_daemon_catches_up_and_never_goes_back() {
    let fleet = start_fleet_with_daemons(3);
    fleet.daemons[2].signal("-STOP");
    for number in 0..5 {
        let name = format!("org-{number}");
        eventually("the change is accepted", || {
            put_organisation(&fleet.daemons[0], &name, "t", ANY_REVISION).status == 200
        });
    }
    fleet.daemons[2].signal("-CONT");
    fleet.wait_revision(6);
    check_audit_trail(&fleet, 6);
}

#[test]
fn verify_daemons_cut_off_from_the_store_learn_changes_from_their_peers() {
    let plan = FleetPlan { daemons: 2, backends: 2, ..FleetPlan::default() };
    let mut fleet = TestFleet::start(&plan);
    let seeds = format!("{},{}", fleet.daemons[0].peers, fleet.daemons[1].peers);
    // As its store, the third daemon gets an address at which nothing listens.
    let closed_address =
        std::net::TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("addr");
    let flags = [("seeds", seeds.as_str())];
    let cut_off_daemon = TestDaemon::start(closed_address, "host-c", "bkk-c", &flags);
    fleet.daemons.push(cut_off_daemon);
    eventually("the daemon that is cut off is ready", || fleet.daemons[2].is_ready());
    for number in 0..5 {
        let name = format!("org-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY_REVISION).status, 200);
    }
    fleet.wait_revision(6);
}

#[test]
fn verify_half_of_the_fleet_cut_off_from_the_store_learns_changes_and_a_second_fault_loses_none() {
    use std::sync::atomic::Ordering;
    let mut fleet = start_fleet_with_daemons(2);
    let seeds = format!("{},{}", fleet.daemons[0].peers, fleet.daemons[1].peers);
    let store_forwarder = Forwarder::start();
    store_forwarder.forward_to(fleet.platform.address);
    for (host, domain) in [("host-c", "bkk-c"), ("host-d", "bkk-a")] {
        let daemon =
            TestDaemon::start(store_forwarder.address, host, domain, &[("seeds", seeds.as_str())]);
        fleet.daemons.push(daemon);
    }
    fleet.wait_members();
    store_forwarder.cuts.forward.store(true, Ordering::SeqCst);
    store_forwarder.cuts.backward.store(true, Ordering::SeqCst);
    for number in 0..4 {
        let name = format!("cut-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY_REVISION).status, 200);
    }
    fleet.wait_revision(5);
    // A second fault during the cut: the store's answer to a write is lost, and the daemon that
    // accepted the change is killed.
    fleet.platform.set_faults(json!({"lose_write_answers": 1}));
    let reply = put_organisation(&fleet.daemons[1], "second", "t", ("If-None-Match", "*"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    fleet.daemons.remove(1);
    fleet.wait_revision(6);
    // A daemon that is cut off from the store refuses changes.
    let refused_reply = put_organisation(&fleet.daemons[1], "third", "t", ANY_REVISION);
    assert!(matches!(refused_reply.status, 503 | 504), "{}", refused_reply.text());
    store_forwarder.cuts.forward.store(false, Ordering::SeqCst);
    store_forwarder.cuts.backward.store(false, Ordering::SeqCst);
    eventually("the cut-off half accepts changes again", || {
        let reply = put_organisation(&fleet.daemons[1], "fourth", "t", ANY_REVISION);
        assert!(matches!(reply.status, 200 | 409 | 503 | 504), "{}", reply.text());
        reply.status == 200
    });
    let last_revision = fleet.daemons[1].revision();
    fleet.wait_revision(last_revision);
    check_audit_trail(&fleet, last_revision);
}

#[test]
fn verify_wrong_host_rows_neither_revive_nor_remove_a_member() {
    let mut fleet = start_fleet_with_daemons(3);
    // The row of a killed daemon stays in the store.
    fleet.daemons[2].kill();
    eventually("the killed daemon is suspect although it has a row", || {
        let status = fleet.daemons[0].get("/v1/status");
        let members = status["members"].as_array().expect("members").clone();
        members.iter().any(|m| m["host"] == "host-c" && m["state"] == "suspect")
    });
    // A live daemon writes its row again after the row was deleted.
    let hosts_table = basaltarch_daemon::roster::HOSTS_TABLE;
    fleet.platform.change_row("DELETE", hosts_table, "host-b", "");
    let read_rows = || {
        let path = format!("{}?table={hosts_table}&part=", rows::READ_PATH);
        client::call(fleet.platform.address, "GET", &path, &[], "").text()
    };
    eventually("the row is written again", || read_rows().contains("host-b"));
    let status = fleet.daemons[0].get("/v1/status");
    let members = status["members"].as_array().expect("members").clone();
    assert!(members.iter().any(|m| m["host"] == "host-b" && m["state"] == "live"), "{members:?}");
}

#[test]
fn verify_a_row_of_an_earlier_incarnation_or_an_unreadable_row_changes_nothing() {
    let mut fleet = start_fleet_with_daemons(3);
    // The daemon is killed first. Otherwise the daemon would rewrite its row before the other
    // daemons read the changed row.
    fleet.daemons[2].kill();
    let hosts_table = basaltarch_daemon::roster::HOSTS_TABLE;
    let earlier_record = json!({"incarnation": 1, "failure_domain": "bkk-b", "peer_address": "127.0.0.1:1",
                     "admin_address": "127.0.0.1:1", "leaving": true});
    fleet.platform.change_row("PUT", hosts_table, "host-c", &earlier_record.to_string());
    fleet.platform.change_row("PUT", hosts_table, "host-y", "no record at all");
    let has_logged = |daemon: &TestDaemon, text: &str| daemon.log_text().contains(text);
    eventually("both rows were read", || {
        has_logged(&fleet.daemons[0], "host row unreadable")
            && has_logged(&fleet.daemons[0], "earlier start passed over")
    });
    let status = fleet.daemons[0].get("/v1/status");
    let members = status["members"].as_array().expect("members").clone();
    let known_member = members.iter().find(|m| m["host"] == "host-c").expect("still known");
    assert_ne!(known_member["state"], "leaving", "{members:?}");
    fleet.daemons.pop();
    for request in 0..20 {
        let reply = fleet.request(request % 2, "GET", "/puzzle", &[], "");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    fleet.check_invariants();
}

#[test_case(json!({"silent": true}) ; "the store does not answer")]
#[test_case(json!({"busy": true}) ; "the store refuses calls")]
#[test_case(json!({"down": true}) ; "the store drops connections")]
#[test_case(json!({"forget_history": true}) ; "the store forgets its history")]
fn verify_rows_that_change_in_an_outage_are_known_after_it(outage: Value) {
    let mut fleet = start_fleet_with_daemons(2);
    fleet.platform.set_faults(outage);
    let seeds = fleet.daemons[0].peers.to_string();
    let flags = [("seeds", seeds.as_str())];
    let daemon = TestDaemon::start(fleet.platform.address, "host-c", "bkk-c", &flags);
    fleet.daemons.push(daemon);
    // Daemons discover each other through peers, without the store.
    eventually("the new daemon and the others know each other", || {
        fleet.daemons[2].live_member_count() == 3 && fleet.daemons[0].live_member_count() == 3
    });
    fleet.platform.set_faults(json!({}));
    let hosts_table = basaltarch_daemon::roster::HOSTS_TABLE;
    let path = format!("{}?table={hosts_table}&part=", rows::READ_PATH);
    let read_rows = || client::call(fleet.platform.address, "GET", &path, &[], "").text();
    eventually("the row of the new daemon is written after the outage", || {
        read_rows().contains("host-c")
    });
    fleet.wait_members();
}
