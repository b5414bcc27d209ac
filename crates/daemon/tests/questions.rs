// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! When callers request unknown routes at every daemon of a failure domain, only the readers of the
//! failure domain send freshness checks to the store.

mod common;

use basaltarch_platform::headers::names;
use common::registered::RegisteredFleet;
use common::{client, eventually};

/// Number of daemons in the failure domain.
const DAEMON_COUNT: usize = 8;
/// Number of readers. A reader is a daemon that reads the store for the whole failure domain; no
/// other daemon sends freshness checks to the store.
const READER_COUNT: usize = 2;

fn read_metric(fleet: &RegisteredFleet, daemon: usize, metric: &str) -> u64 {
    let text = fleet.daemons[daemon].call("GET", "/metrics", &[], "").text();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let mut counts = lines.filter(|line| line.contains(metric));
    let count = counts.next().and_then(|line| line.split_whitespace().last());
    count.expect("the metric").parse().expect("a number")
}

#[test]
fn verify_many_daemons_ask_the_store_through_two_readers() {
    let fleet = RegisteredFleet::start_in_one_domain(DAEMON_COUNT);
    for daemon in &fleet.daemons {
        eventually("the daemons know each other", || daemon.live_member_count() == DAEMON_COUNT);
    }
    for daemon in 0..DAEMON_COUNT {
        let mut number = 0;
        // A daemon with a recent confirmation makes no freshness check.
        eventually("the daemon has checked that its configuration is the newest", || {
            number += 1;
            let status = request_status(&fleet, daemon, &format!("missing-{daemon}-{number}"));
            assert!(status == 404 || status == 503, "{status}");
            read_metric(&fleet, daemon, "configuration_questions") > 0
        });
        eventually("the route is reported as missing", || {
            request_status(&fleet, daemon, "missing") == 404
        });
    }
    let reads_store = |daemon: &usize| read_metric(&fleet, *daemon, "store_questions") > 0;
    let reader_count = (0..DAEMON_COUNT).filter(reads_store).count();
    assert!(reader_count <= READER_COUNT, "{reader_count} daemons asked the store");
}

fn request_status(fleet: &RegisteredFleet, daemon: usize, id: &str) -> u16 {
    let headers = [("Host", "nowhere.example"), (names::REQUEST_ID, id)];
    client::call(fleet.daemons[daemon].callers, "GET", "/", &headers, "").status
}
