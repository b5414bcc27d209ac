// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Links that a daemon accepted end even if the daemon at their other end never says so.

mod common;

use std::fs;
use std::net::SocketAddr;

use common::eventually;
use common::registered::RegisteredFleet;

/// State of an established connection in the system's table of connections.
const ESTABLISHED: &str = "01";
/// Prefix of the timer of a connection that the system probes.
const KEEPALIVE_TIMER: &str = "02:";

/// Returns the timers of the established connections that were accepted at an address.
fn accepted_timers(address: SocketAddr) -> Vec<String> {
    let table = fs::read_to_string("/proc/net/tcp").expect("the system's table of connections");
    let port = format!(":{:04X}", address.port());
    let rows = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<&str>>());
    rows.filter(|row| row[1].ends_with(&port) && row[3] == ESTABLISHED)
        .map(|row| row[5].to_owned())
        .collect()
}

// Guards against descriptors that stay open for good once the other host has lost its power.
#[test]
fn verify_the_system_probes_accepted_links() {
    let fleet = RegisteredFleet::start(2);
    eventually("accepted links are probed", || {
        let timers = fleet.daemons.iter().flat_map(|daemon| accepted_timers(daemon.peers));
        let timers: Vec<String> = timers.collect();
        !timers.is_empty() && timers.iter().all(|timer| timer.starts_with(KEEPALIVE_TIMER))
    });
}
