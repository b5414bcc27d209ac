// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server that drains or deregisters while its daemon stops.
//!
//! Guards against a fault in which requests reached such a server again after a planned restart of
//! its daemon. The stopping daemon acknowledged the server's call at once and ended before the
//! daemon's row was written, as the write did not count as in flight. The restarted daemon
//! recovered the server from the old row and found the server healthy.

mod common;

use basaltarch_daemon::roster::HOSTS_TABLE;
use basaltarch_platform::rows;
use common::client::{self, Reply};
use common::registered::{RegisteredFleet, SERVICE};
use common::{eventually, TestBackend, TestDaemon};
use serde_json::{json, Value};
use test_case::test_case;

/// Name of the server beside the first daemon that stays registered.
const REMAINING_SERVER: &str = "i-stays";

/// Two hosts. Beside the first daemon are a server that leaves and a server that stays registered.
struct LeavingFleet {
    fleet: RegisteredFleet,
    _remaining_server: TestBackend,
}

impl LeavingFleet {
    fn start(flags: &[(&str, &str)]) -> Self {
        let mut fleet = RegisteredFleet::start(2);
        fleet.daemons[0].kill();
        fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", flags);
        assert_eq!(fleet.send_heartbeat(0, false).status, 200);
        let fields = basaltarch_platform::headers::exchange_fields();
        let remaining_server =
            TestBackend::start_at(common::loopback_address(), REMAINING_SERVER, 1, fields);
        let heartbeat =
            fleet.build_heartbeat_from(remaining_server.address, REMAINING_SERVER, SERVICE, false);
        assert_eq!(fleet.call_daemon(0, &heartbeat).status, 200);
        fleet.wait_served(1, &[0, 1]);
        eventually("the row lists both servers", || {
            read_stored_servers(&fleet) == ["i-1", REMAINING_SERVER]
        });
        eventually("the other daemon knows of both servers", || {
            fleet.daemons[1].log_text().contains("i-1, i-stays")
        });
        Self { fleet, _remaining_server: remaining_server }
    }

    /// Stops the first daemon and waits until it admits no more requests.
    fn stop_first_daemon(&self) {
        self.fleet.daemons[0].signal("-TERM");
        eventually("the stop closes", || self.fleet.daemons[0].log_text().contains("\"closed\""));
    }

    /// Restarts the first daemon and checks that the server that left receives nothing.
    fn check_left_server_unused(&mut self, flags: &[(&str, &str)]) {
        let fleet = &mut self.fleet;
        fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", flags);
        eventually("the server that stays is recovered", || has_recovered(fleet, REMAINING_SERVER));
        let count_before = fleet.backends[0].total_runs();
        for number in 0..60 {
            fleet.request(number % 2, "GET", "/safe/x", &format!("left-{number}"));
        }
        assert_eq!(
            fleet.backends[0].total_runs(),
            count_before,
            "nothing reaches a server that left"
        );
        assert!(!has_recovered(fleet, "i-1"));
    }
}

fn has_recovered(fleet: &RegisteredFleet, name: &str) -> bool {
    let text = fleet.daemons[0].log_text();
    text.lines().any(|line| line.contains("backend server recovered") && line.contains(name))
}

/// Returns the record of the first host in the store.
fn read_stored_record(fleet: &RegisteredFleet) -> Option<Value> {
    let path = format!("{}?table={HOSTS_TABLE}&part=", rows::READ_PATH);
    let page: Value = client::call(fleet.platform.address, "GET", &path, &[], "").json();
    let row = page["rows"].as_array()?.iter().find(|row| row["key"] == "host-a")?;
    serde_json::from_slice(&rows::decode_value(row["value"].as_str()?).ok()?).ok()
}

/// Returns the names of the servers that are not draining in the record of the first host.
fn read_stored_servers(fleet: &RegisteredFleet) -> Vec<String> {
    let record = read_stored_record(fleet).unwrap_or(Value::Null);
    let servers = record["servers"].as_array().cloned().unwrap_or_default();
    let servers_in_use = servers.iter().filter(|server| server["draining"] == false);
    servers_in_use.filter_map(|server| server["name"].as_str().map(str::to_owned)).collect()
}

/// Returns how many of the daemon's calls to the store failed, or 0 once the daemon has ended.
fn read_store_failures(daemon: &TestDaemon) -> u64 {
    let reply = client::try_call(daemon.admin, "GET", "/metrics", &[], "");
    let text = reply.map(|reply| reply.text()).unwrap_or_default();
    let store_lines = text.lines().filter(|line| line.starts_with("basaltarch_store_failures"));
    store_lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>() as u64
}

#[test_case(|fleet| fleet.deregister(0) ; "gone")]
#[test_case(|fleet| fleet.send_heartbeat(0, true) ; "draining")]
fn verify_a_server_that_left_while_its_daemon_stopped_receives_nothing_after_the_restart(
    leave: fn(&RegisteredFleet) -> Reply,
) {
    let mut leaving_fleet = LeavingFleet::start(&[]);
    leaving_fleet.fleet.platform.set_faults(json!({"busy": true}));
    assert_eq!(leave(&leaving_fleet.fleet).status, 200, "the call is acknowledged");
    leaving_fleet.stop_first_daemon();
    // The store is restored only after five more failed calls. A stop that does not wait for the
    // store would end earlier.
    let daemon = &mut leaving_fleet.fleet.daemons[0];
    let count_before = read_store_failures(daemon);
    eventually("the daemon retries its write, or ends", || {
        read_store_failures(daemon) >= count_before + 5 || !daemon.is_running()
    });
    leaving_fleet.fleet.platform.set_faults(json!({}));
    assert_eq!(leaving_fleet.fleet.daemons[0].wait_exit().code(), Some(0));
    leaving_fleet.check_left_server_unused(&[]);
}

#[test]
fn verify_every_drain_that_a_stopping_daemon_acknowledged_is_stored() {
    let mut leaving_fleet = LeavingFleet::start(&[("drain-ms", "3000")]);
    let address = leaving_fleet.fleet.daemons[0].registration.expect("registration");
    // Writes are delayed a little, so that a call can arrive while the change of the previous call
    // is being written.
    leaving_fleet.fleet.platform.set_faults(json!({"delay_ms": 50}));
    leaving_fleet.fleet.daemons[0].signal("-TERM");
    // One server after another drains, until the daemon no longer listens.
    let mut last_acknowledged = None;
    for number in 0.. {
        let name = format!("i-drains-{number}");
        let call = leaving_fleet.fleet.build_newcomer_heartbeat(&name, true);
        let body = String::from_utf8_lossy(&call.body);
        match client::try_call(address, call.method.as_str(), &call.target, &[], &body) {
            Some(reply) if reply.status == 200 => last_acknowledged = Some(name),
            Some(reply) => assert_eq!(reply.status, 503, "{}", reply.text()),
            None => break,
        }
    }
    assert_eq!(leaving_fleet.fleet.daemons[0].wait_exit().code(), Some(0));
    let record = read_stored_record(&leaving_fleet.fleet).expect("a record");
    let last_name = json!(last_acknowledged.expect("drains were acknowledged"));
    let servers = record["servers"].as_array().expect("servers");
    assert!(
        servers.iter().any(|server| server["name"] == last_name),
        "{last_name} is not in {record}"
    );
}

#[test]
fn verify_a_stop_without_pending_writes_does_not_wait_for_the_store() {
    let mut leaving_fleet = LeavingFleet::start(&[]);
    leaving_fleet.fleet.platform.set_faults(json!({"busy": true}));
    leaving_fleet.stop_first_daemon();
    assert_eq!(leaving_fleet.fleet.daemons[0].wait_exit().code(), Some(0));
    let text = leaving_fleet.fleet.daemons[0].log_text();
    let stopped_line = text.lines().find(|line| line.contains("\"stopped\"")).expect("a line");
    assert!(stopped_line.contains("\"idle\""), "{stopped_line}");
}

#[test]
fn verify_a_server_that_left_in_an_outage_receives_nothing_after_the_restart() {
    let mut leaving_fleet = LeavingFleet::start(&[("drain-ms", "3000")]);
    leaving_fleet.fleet.platform.set_faults(json!({"down": true}));
    assert_eq!(leaving_fleet.fleet.deregister(0).status, 200, "the call is acknowledged");
    leaving_fleet.stop_first_daemon();
    assert_eq!(leaving_fleet.fleet.daemons[0].wait_exit().code(), Some(0));
    // The store is still down, so the restarted daemon learns from the other daemon which servers
    // were registered and which server left.
    let seeds = leaving_fleet.fleet.daemons[1].peers.to_string();
    leaving_fleet.check_left_server_unused(&[("seeds", seeds.as_str())]);
}

#[test]
fn verify_a_restarted_daemon_that_reads_an_old_row_learns_from_peers_which_server_left() {
    let mut leaving_fleet = LeavingFleet::start(&[("drain-ms", "3000")]);
    leaving_fleet.fleet.platform.set_faults(json!({"down": true}));
    assert_eq!(leaving_fleet.fleet.deregister(0).status, 200, "the call is acknowledged");
    leaving_fleet.stop_first_daemon();
    assert_eq!(leaving_fleet.fleet.daemons[0].wait_exit().code(), Some(0));
    leaving_fleet.fleet.platform.set_faults(json!({}));
    let fleet = &mut leaving_fleet.fleet;
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &[]);
    eventually("the server that stays is recovered", || has_recovered(fleet, REMAINING_SERVER));
    let mut round = 0;
    eventually("nothing reaches the server that left", || {
        round += 1;
        let count_before = fleet.backends[0].total_runs();
        for number in 0..60 {
            fleet.request(number % 2, "GET", "/safe/x", &format!("old-row-{round}-{number}"));
        }
        fleet.backends[0].total_runs() == count_before
    });
    eventually("the row no longer lists the server that left", || {
        read_stored_servers(fleet) == [REMAINING_SERVER]
    });
}
