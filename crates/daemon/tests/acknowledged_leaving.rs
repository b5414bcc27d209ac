// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server whose leaving was acknowledged gets no new requests, whatever happens to its
//! daemon and to the store.
//!
//! The health check of the simulated backend servers succeeds to the end, as that of a server that
//! is leaving may.

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use basaltarch_core::incarnation::ServerIncarnation;
use basaltarch_platform::registration::{self as server_calls, ServerHeartbeat};
use basaltarch_platform::rows::StoreCall;
use common::client::Reply;
use common::forwarder::Forwarder;
use common::registered::{self, RegisteredFleet, SERVICE};
use common::{eventually, TestDaemon};
use serde_json::{json, Value};
use test_case::test_case;

/// Number of requests that are sent through each daemon to check that a server gets none of them.
const CHECKED_REQUESTS: usize = 60;
/// Time, in seconds, that a daemon gives its neighbours to answer before it uses its servers.
const NEIGHBOUR_WAIT_S: f64 = 0.29;
/// Name of the first backend server with the start that its heartbeats report.
const NAMED_START: &str = "i-1#a";
/// Name of the first backend server without a start.
const BARE_NAME: &str = "i-1";

/// Three hosts. The first backend server is leaving in the course of a test.
struct LeavingFleet {
    fleet: RegisteredFleet,
    /// Name in the heartbeats of the first backend server.
    name: &'static str,
}

impl LeavingFleet {
    fn start(name: &'static str) -> Self {
        let fleet = RegisteredFleet::start(3);
        let leaving_fleet = Self { fleet, name };
        leaving_fleet.send(&leaving_fleet.build_heartbeat(false));
        let fleet = &leaving_fleet.fleet;
        (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
        eventually("the row names the server", || leaving_fleet.is_stored());
        leaving_fleet
    }

    fn is_stored(&self) -> bool {
        let rows = self.fleet.platform.read_rows(basaltarch_daemon::roster::HOSTS_TABLE);
        let row = rows.iter().find(|row| row["host"] == "host-a");
        row.is_some_and(|row| row["servers"][0]["name"] == self.name)
    }

    fn build_heartbeat(&self, draining: bool) -> StoreCall {
        self.fleet.build_heartbeat(0, self.name, SERVICE, draining)
    }

    fn call(&self, call: &StoreCall) -> Reply {
        self.fleet.call_daemon(0, call)
    }

    fn send(&self, call: &StoreCall) {
        let reply = self.call(call);
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// Kills the first daemon and starts it again. The other daemons are its seeds, so that it needs
    /// no store to find them.
    fn kill_and_restart(&mut self) {
        self.fleet.daemons[0].kill();
        self.start_again();
    }

    fn start_again(&mut self) {
        let seeds: Vec<String> =
            self.fleet.daemons[1..].iter().map(|daemon| daemon.peers.to_string()).collect();
        let flags = [("seeds", &*seeds.join(","))];
        self.fleet.daemons[0] = self.fleet.start_daemon("host-a", "bkk-a", &flags);
    }

    fn set_store_faults(&self, faults: Value) {
        self.fleet.platform.set_faults(faults);
    }

    /// Checks that every daemon serves requests, and that none of them reaches the first server.
    fn check_unused(&self) {
        let fleet = &self.fleet;
        let runs_before = fleet.backends[0].total_runs();
        for daemon in 0..fleet.daemons.len() {
            let mut number = 0;
            eventually("the daemon serves requests", || {
                number += 1;
                fleet.request(daemon, "GET", "/safe/x", &format!("first-{daemon}-{number}")).status
                    == 200
            });
        }
        for number in 0..CHECKED_REQUESTS * fleet.daemons.len() {
            let daemon = number % fleet.daemons.len();
            fleet.request(daemon, "GET", "/safe/x", &format!("left-{number}"));
        }
        let late_runs = fleet.backends[0].total_runs() - runs_before;
        assert_eq!(late_runs, 0, "nothing reaches a server whose leaving was acknowledged");
    }

    /// Checks as [`Self::check_unused`] does, once the first daemon has learnt of the leaving.
    fn check_unused_in_the_end(&self) {
        eventually("the daemon learns of the leaving", || {
            let text = self.fleet.daemons[0].log_text();
            text.lines().any(|line| line.contains("server leaving") && line.contains(self.name))
        });
        self.check_unused();
    }
}

fn deregister(leaving_fleet: &LeavingFleet) -> StoreCall {
    registered::build_deregistration(leaving_fleet.name)
}

fn deregister_without_start(_: &LeavingFleet) -> StoreCall {
    registered::build_deregistration(BARE_NAME)
}

fn drain(leaving_fleet: &LeavingFleet) -> StoreCall {
    leaving_fleet.build_heartbeat(true)
}

/// Builds a call by which the first backend server reports that it is leaving.
type LeavingCall = fn(&LeavingFleet) -> StoreCall;

#[test_case(deregister_without_start ; "gone")]
#[test_case(|each| each.fleet.build_heartbeat(0, BARE_NAME, SERVICE, true) ; "draining")]
fn verify_a_leaving_without_a_start_binds_a_daemon_that_knows_the_server_from_its_row(
    build_leaving: LeavingCall,
) {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    leaving_fleet.kill_and_restart();
    leaving_fleet.fleet.wait_served(0, &[0, 1, 2]);
    leaving_fleet.send(&build_leaving(&leaving_fleet));
    leaving_fleet.check_unused();
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
}

#[test_case(deregister, NAMED_START, json!({}) ; "gone")]
#[test_case(deregister_without_start, NAMED_START, json!({}) ; "gone without its start")]
#[test_case(drain, NAMED_START, json!({}) ; "draining")]
#[test_case(deregister, BARE_NAME, json!({}) ; "gone and names no start")]
#[test_case(drain, BARE_NAME, json!({}) ; "draining and names no start")]
#[test_case(deregister, NAMED_START, json!({"busy": true}) ; "gone while the store refuses")]
#[test_case(drain, BARE_NAME, json!({"busy": true}) ; "draining while the store refuses")]
#[test_case(deregister, BARE_NAME, json!({"silent": true}) ; "gone while the store is silent")]
#[test_case(drain, NAMED_START, json!({"down": true}) ; "draining while the store is down")]
fn verify_an_acknowledged_leaving_binds_after_a_kill_at_once(
    build_leaving: LeavingCall,
    name: &'static str,
    store_faults: Value,
) {
    let mut leaving_fleet = LeavingFleet::start(name);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    leaving_fleet.set_store_faults(store_faults);
    leaving_fleet.send(&build_leaving(&leaving_fleet));
    leaving_fleet.fleet.daemons[0].kill();
    leaving_fleet.set_store_faults(json!({}));
    leaving_fleet.start_again();
    leaving_fleet.check_unused();
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
}

#[test]
fn verify_an_acknowledged_leaving_binds_after_a_kill_while_the_store_stays_down() {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    leaving_fleet.set_store_faults(json!({"down": true}));
    leaving_fleet.send(&deregister(&leaving_fleet));
    leaving_fleet.kill_and_restart();
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
    leaving_fleet.set_store_faults(json!({}));
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
}

#[test_case(deregister ; "gone")]
#[test_case(drain ; "draining")]
fn verify_an_acknowledged_leaving_binds_over_kills_in_series(build_leaving: LeavingCall) {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    leaving_fleet.send(&build_leaving(&leaving_fleet));
    for _ in 0..3 {
        leaving_fleet.kill_and_restart();
        leaving_fleet.send(&late_heartbeat);
        leaving_fleet.check_unused();
    }
}

#[test]
fn verify_an_acknowledged_leaving_binds_after_every_daemon_was_killed() {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    leaving_fleet.send(&deregister(&leaving_fleet));
    let fleet = &mut leaving_fleet.fleet;
    fleet.daemons.iter_mut().for_each(TestDaemon::kill);
    for (index, (host, domain)) in
        [("host-a", "bkk-a"), ("host-b", "bkk-b"), ("host-c", "bkk-c")].into_iter().enumerate()
    {
        fleet.daemons[index] = fleet.start_daemon(host, domain, &[]);
    }
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
}

#[test]
fn verify_an_acknowledged_leaving_binds_after_the_store_came_back_from_an_older_copy() {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    leaving_fleet.fleet.platform.take_copy();
    leaving_fleet.send(&deregister(&leaving_fleet));
    eventually("the row no longer names the server", || !leaving_fleet.is_stored());
    leaving_fleet.fleet.daemons[0].kill();
    leaving_fleet.fleet.platform.restore();
    leaving_fleet.start_again();
    leaving_fleet.check_unused();
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
}

/// Puts a forwarder before the peer address of each daemon, by which the daemons can be cut off from
/// each other.
fn add_forwarders(fleet: &mut RegisteredFleet) -> Vec<Forwarder> {
    let hosts = [("host-a", "bkk-a"), ("host-b", "bkk-b"), ("host-c", "bkk-c")];
    let forwarders: Vec<_> = hosts.iter().map(|_| Forwarder::start()).collect();
    for (index, (host, domain)) in hosts.into_iter().enumerate() {
        let advertised = forwarders[index].address.to_string();
        fleet.daemons[index].kill();
        fleet.daemons[index] =
            fleet.start_daemon(host, domain, &[("advertise-peers", &advertised)]);
        forwarders[index].forward_to(fleet.daemons[index].peers);
    }
    forwarders
}

#[test]
fn verify_a_daemon_that_starts_gives_its_neighbours_time_before_it_uses_its_row() {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let forwarders = add_forwarders(&mut leaving_fleet.fleet);
    (0..3).for_each(|daemon| leaving_fleet.fleet.wait_served(daemon, &[0, 1, 2]));
    leaving_fleet.set_store_faults(json!({"down": true}));
    leaving_fleet.send(&deregister(&leaving_fleet));
    let fleet = &mut leaving_fleet.fleet;
    fleet.daemons[0].kill();
    let hold = |holds| {
        for forwarder in &forwarders {
            forwarder.cuts.forward.store(holds, Ordering::SeqCst);
        }
    };
    hold(true);
    fleet.platform.set_faults(json!({}));
    let advertised = forwarders[0].address.to_string();
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &[("advertise-peers", &advertised)]);
    forwarders[0].forward_to(fleet.daemons[0].peers);
    let first_time = |event: &str| {
        let text = fleet.daemons[0].log_text();
        let line = text.lines().find(|line| line.contains(event))?.to_owned();
        let line: Value = serde_json::from_str(&line).expect("json");
        Some(line["timestamp"].as_str().expect("a timestamp").to_owned())
    };
    eventually("the daemon goes by the old row in the end", || {
        first_time("backend server recovered").is_some()
    });
    let read_at = first_time("host record adopted").expect("the rows were read");
    let used_at = first_time("backend server recovered").expect("the server was recovered");
    let waited = seconds_of(&used_at) - seconds_of(&read_at);
    assert!(waited.rem_euclid(60.0) >= NEIGHBOUR_WAIT_S, "{read_at} to {used_at}");
    hold(false);
    leaving_fleet.check_unused_in_the_end();
}

/// Returns the seconds in the minute of a timestamp in a log.
fn seconds_of(timestamp: &str) -> f64 {
    let seconds = timestamp.rsplit(':').next().expect("seconds").trim_end_matches('Z');
    seconds.parse().expect("a number")
}

/// Returns the incarnation of a daemon, as its log names it.
fn read_incarnation(daemon: &TestDaemon) -> String {
    let text = daemon.log_text();
    let line = text.lines().find(|line| line.contains("\"listening\"")).expect("a line");
    let line: Value = serde_json::from_str(line).expect("json");
    line["incarnation"].to_string()
}

#[test]
fn verify_a_daemon_that_started_cut_off_with_an_old_row_learns_a_leaving_after_the_cut() {
    let mut leaving_fleet = LeavingFleet::start(NAMED_START);
    let late_heartbeat = leaving_fleet.build_heartbeat(false);
    let forwarders = add_forwarders(&mut leaving_fleet.fleet);
    (0..3).for_each(|daemon| leaving_fleet.fleet.wait_served(daemon, &[0, 1, 2]));
    leaving_fleet.set_store_faults(json!({"down": true}));
    leaving_fleet.send(&deregister(&leaving_fleet));
    for forwarder in &forwarders {
        forwarder.cuts.refuse.store(true, Ordering::SeqCst);
        forwarder.break_all();
    }
    leaving_fleet.set_store_faults(json!({}));
    let advertised = forwarders[0].address.to_string();
    let fleet = &mut leaving_fleet.fleet;
    fleet.daemons[0].kill();
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &[("advertise-peers", &advertised)]);
    forwarders[0].forward_to(leaving_fleet.fleet.daemons[0].peers);
    leaving_fleet.send(&late_heartbeat);
    let [first, others @ ..] = &leaving_fleet.fleet.daemons[..] else { panic!("no daemons") };
    let started_at = read_incarnation(first);
    eventually("the others know the newer record, which lacks the leaving", || {
        others.iter().all(|daemon| {
            daemon
                .log_text()
                .lines()
                .any(|line| line.contains("host record adopted") && line.contains(&started_at))
        })
    });
    for forwarder in &forwarders {
        forwarder.cuts.refuse.store(false, Ordering::SeqCst);
    }
    leaving_fleet.check_unused_in_the_end();
    leaving_fleet.send(&late_heartbeat);
    leaving_fleet.check_unused();
}

#[test]
fn verify_a_leaving_that_nothing_outside_the_daemon_holds_is_not_acknowledged() {
    let fleet = RegisteredFleet::start(1);
    fleet.wait_served(0, &[0]);
    fleet.platform.set_faults(json!({"busy": true}));
    let reply = fleet.deregister(0);
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(fleet.request(0, "GET", "/safe/x", "in force all the same").status, 503);
    fleet.platform.set_faults(json!({}));
    eventually("the leaving is acknowledged", || fleet.deregister(0).status == 200);
}

#[test_case(drain ; "draining")]
#[test_case(deregister ; "gone")]
fn verify_a_leaving_that_is_passed_over_is_not_acknowledged(build_leaving: LeavingCall) {
    let mut leaving_fleet = LeavingFleet::start("i-1#b");
    // The clock was set back before the server started again.
    leaving_fleet.name = NAMED_START;
    let reply = leaving_fleet.call(&build_leaving(&leaving_fleet));
    if reply.status == 200 {
        leaving_fleet.check_unused();
    }
    assert!(matches!(reply.status, 200 | 503), "{}", reply.text());
}

#[test]
fn verify_a_drain_notice_that_arrives_after_a_later_heartbeat_binds() {
    let leaving_fleet = LeavingFleet::start(NAMED_START);
    let drain_notice = drain(&leaving_fleet);
    leaving_fleet.send(&leaving_fleet.build_heartbeat(false));
    leaving_fleet.send(&drain_notice);
    leaving_fleet.check_unused();
}

#[test_case(false ; "gone")]
#[test_case(true ; "draining")]
fn verify_a_request_that_waits_for_its_turn_at_a_cold_server_is_refused_once_it_leaves(
    draining: bool,
) {
    let fleet = RegisteredFleet::start(1);
    let mut document = registered::document(2);
    document.services[0].cold_rate = 2.0;
    fleet.put_in_force(&document);
    let heartbeat = server_calls::heartbeat(&ServerHeartbeat {
        incarnation: ServerIncarnation::of_upstream(BARE_NAME),
        service: SERVICE.to_owned(),
        address: fleet.backends[0].address,
        failure_domain: "bkk-a".to_owned(),
        slots: 4,
        draining: false,
        cold_for: Duration::from_secs(60),
        sequence: 1,
    });
    assert_eq!(fleet.call_daemon(0, &heartbeat).status, 200);
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let address = fleet.daemons[0].callers;
            let id = format!("cold-{number}");
            thread::spawn(move || registered::send_request(address, "GET", "/safe/x", &id).status)
        })
        .collect();
    eventually("a request has run, and the others wait for their turns", || {
        fleet.backends[0].total_runs() > 0 && fleet.daemons[0].metric_sum("slots_used") > 2.0
    });
    let reply = if draining { fleet.send_heartbeat(0, true) } else { fleet.deregister(0) };
    assert_eq!(reply.status, 200, "{}", reply.text());
    let runs_before = fleet.backends[0].total_runs();
    for caller in callers {
        let status = caller.join().expect("join");
        assert!(matches!(status, 200 | 503), "{status}");
    }
    assert_eq!(fleet.backends[0].total_runs(), runs_before, "nothing is sent to the server");
}
