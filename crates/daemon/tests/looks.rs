// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A path between two daemons falls silent: work that must not be repeated isn't sent along it.
//!
//! What users saw: a request went out to a host that never took it in, and its caller heard nothing until its time
//! was over, while other servers stood idle.

mod common;

use std::time::Instant;

use basaltarch_decide::probing::FRESH_FOR;
use basaltarch_platform::headers;
use common::forwarder::Forwarder;
use common::registered::{RegisteredFleet, SERVICE};
use common::{eventually, loopback, TestBackend};

const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];

/// Starts a fleet whose daemons reach each other through forwarders, with a backend server beside each.
fn start() -> (RegisteredFleet, Vec<Forwarder>) {
    let mut fleet = RegisteredFleet::start(0);
    let mut peers = Vec::new();
    for (index, host) in HOSTS.iter().enumerate() {
        let forwarder = Forwarder::start();
        let advertised = forwarder.address.to_string();
        let daemon = fleet.start_daemon(host, "bkk-a", &[("advertise-peers", &advertised)]);
        forwarder.forward_to(daemon.peers);
        fleet.daemons.push(daemon);
        let name = format!("i-{index}");
        let fields = headers::exchange_fields();
        fleet.backends.push(TestBackend::start_at(loopback(), &name, 1, fields));
        assert_eq!(fleet.beat_as(index, &name, SERVICE, false).status, 200);
        peers.push(forwarder);
    }
    (fleet, peers)
}

#[test]
fn verify_once_only_work_is_not_sent_along_a_path_that_fell_silent() {
    let (fleet, peers) = start();
    fleet.wait_served(0, &[0, 1, 2]);
    eventually("work went there and came back", || {
        fleet.request(0, "POST", "/unsafe/x", "before").status == 200
            && fleet.backends[1].total() > 1
    });
    peers[1].silence();
    let silent_at = Instant::now();
    eventually("what is known of the other hosts is old", || silent_at.elapsed() > FRESH_FOR);
    for number in 0..40 {
        let id = format!("after-{number}");
        let reply = fleet.request(0, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "request {number}: {}", reply.text());
        assert_eq!(fleet.ran(&id), 1);
    }
}
