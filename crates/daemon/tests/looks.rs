// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Non-repeatable requests are not sent over a black-holed path between two daemons.
//!
//! Guards against faults in which requests were sent to a host that never received them, so that
//! their callers waited until the time-out while other servers were idle.

mod common;

use std::thread;
use std::time::Instant;

use basaltarch_decide::probing::FRESH_FOR;
use basaltarch_platform::headers;
use common::forwarder::Forwarder;
use common::registered::{self, RegisteredFleet, SERVICE};
use common::{eventually, loopback_address, TestBackend};
use serde_json::json;

const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];

/// Starts a fleet with a backend server beside each daemon. Each daemon is reached by its peers
/// through the forwarder with the daemon's index.
fn start_fleet() -> (RegisteredFleet, Vec<Forwarder>) {
    let mut fleet = RegisteredFleet::start(0);
    let mut forwarders = Vec::new();
    for (index, host) in HOSTS.iter().enumerate() {
        let forwarder = Forwarder::start();
        let advertised = forwarder.address.to_string();
        let daemon = fleet.start_daemon(host, "bkk-a", &[("advertise-peers", &advertised)]);
        forwarder.forward_to(daemon.peers);
        fleet.daemons.push(daemon);
        let name = format!("i-{index}");
        let fields = headers::exchange_fields();
        fleet.backends.push(TestBackend::start_at(loopback_address(), &name, 1, fields));
        assert_eq!(fleet.send_heartbeat_as(index, &name, SERVICE, false).status, 200);
        forwarders.push(forwarder);
    }
    (fleet, forwarders)
}

#[test]
fn verify_non_repeatable_requests_are_not_sent_over_a_black_holed_path() {
    let (fleet, forwarders) = start_fleet();
    fleet.wait_served(0, &[0, 1, 2]);
    eventually("the second backend server has run requests", || {
        fleet.request(0, "POST", "/unsafe/x", "before").status == 200
            && fleet.backends[1].total_runs() > 1
    });
    forwarders[1].black_hole();
    let black_holed_at = Instant::now();
    eventually("the load reports of the other hosts are no longer fresh", || {
        black_holed_at.elapsed() > FRESH_FOR
    });
    for number in 0..40 {
        let id = format!("after-{number}");
        let reply = fleet.request(0, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "request {number}: {}", reply.text());
        assert_eq!(fleet.run_count(&id), 1);
    }
}

/// All links of a daemon are black-holed, and only one of them is in use.
#[test]
fn verify_idle_links_are_replaced_once_another_link_was_black_holed() {
    let (fleet, forwarders) = start_fleet();
    fleet.wait_served(0, &[0, 1, 2]);
    assert_eq!(fleet.deregister(2).status, 200);
    let count = |message: &str, host: &str| {
        let log = fleet.daemons[0].log_text();
        let is_wanted =
            |line: &&str| line.contains(message) && line.contains(&format!("\"host\":\"{host}\""));
        log.lines().filter(is_wanted).count()
    };
    eventually("the third server gets no more requests", || {
        let log = fleet.daemons[0].log_text();
        log.lines().any(|line| line.contains("host-c") && line.contains("\"servers\":\"\""))
    });
    let linked_before = count("peer linked", HOSTS[2]);
    forwarders.iter().for_each(Forwarder::black_hole);
    eventually("the link in use was found to be black-holed", || {
        fleet.request(0, "GET", "/safe/x", "meanwhile");
        count("peer silent", HOSTS[1]) > 0
    });
    eventually("the idle link is replaced", || count("peer linked", HOSTS[2]) > linked_before);
}

/// Guards against ready answers that are lost with the link along which their requests were sent.
#[test]
fn verify_a_ready_answer_finds_another_way_once_its_link_is_black_holed() {
    let (fleet, forwarders) = start_fleet();
    fleet.wait_served(0, &[0, 1, 2]);
    for server in [0, 2] {
        assert_eq!(fleet.deregister(server).status, 200);
    }
    // A run lasts for a second, and two more are left until the time-out of the route.
    fleet.backends[1].set_faults(json!({"slow_rate": 1.0, "slow_factor": 1000.0}));
    let callers = fleet.daemons[0].callers;
    let send = move || registered::send_request(callers, "POST", "/unsafe/x", "in-flight");
    let caller = thread::spawn(send);
    eventually("the request runs", || fleet.run_count("in-flight") == 1);
    forwarders[1].black_hole();
    let reply = caller.join().expect("the caller");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fleet.run_count("in-flight"), 1);
}
