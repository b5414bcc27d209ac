// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Non-repeatable requests are not sent over a black-holed path between two daemons.
//!
//! Guards against a fault in which a request was sent to a host that never received it, so that its
//! caller waited until the time-out while other servers were idle.

mod common;

use std::time::Instant;

use basaltarch_decide::probing::FRESH_FOR;
use basaltarch_platform::headers;
use common::forwarder::Forwarder;
use common::registered::{RegisteredFleet, SERVICE};
use common::{eventually, loopback_address, TestBackend};

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
