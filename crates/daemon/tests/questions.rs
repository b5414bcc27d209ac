// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What it costs the store that callers ask for what is not there, at every daemon of a failure domain.

mod common;

use basaltarch_platform::headers::names;
use common::registered::RegisteredFleet;
use common::{client, eventually};

/// Daemons of the failure domain.
const DAEMONS: usize = 8;
/// Daemons that read the store for the others, and at most ask it by themselves.
const READERS: usize = 2;

fn counted(fleet: &RegisteredFleet, daemon: usize, metric: &str) -> u64 {
    let text = fleet.daemons[daemon].call("GET", "/metrics", &[], "").text();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let mut counts = lines.filter(|line| line.contains(metric));
    let count = counts.next().and_then(|line| line.split_whitespace().last());
    count.expect("the metric").parse().expect("a number")
}

#[test]
fn verify_many_daemons_ask_the_store_through_two() {
    let fleet = RegisteredFleet::start_near(DAEMONS);
    for daemon in &fleet.daemons {
        eventually("the daemons know each other", || daemon.live_members() == DAEMONS);
    }
    for daemon in 0..DAEMONS {
        let mut number = 0;
        // As long as it just had word it needs to ask nobody.
        eventually("the daemon has asked whether its configuration is the newest", || {
            number += 1;
            let status = client_status(&fleet, daemon, &format!("missing-{daemon}-{number}"));
            assert!(status == 404 || status == 503, "{status}");
            counted(&fleet, daemon, "configuration_questions") > 0
        });
        eventually("it is said that there is no such route", || {
            client_status(&fleet, daemon, "missing") == 404
        });
    }
    let asks = |daemon: &usize| counted(&fleet, *daemon, "store_questions") > 0;
    let asking = (0..DAEMONS).filter(asks).count();
    assert!(asking <= READERS, "{asking} daemons asked the store");
}

fn client_status(fleet: &RegisteredFleet, daemon: usize, id: &str) -> u16 {
    let headers = [("Host", "nowhere.example"), (names::REQUEST, id)];
    client::call(fleet.daemons[daemon].callers, "GET", "/", &headers, "").status
}
