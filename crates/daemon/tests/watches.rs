// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Watches of the resource API: a watch reports each change once and in order, and a watch from a
//! discarded revision is refused.

mod common;

use std::io::{BufRead, BufReader, Write};

use common::operator::{put_organisation, start_fleet_with_daemons, ANY_REVISION};
use common::{client, eventually, FleetPlan, TestDaemon, TestFleet};
use serde_json::{json, Value};

/// A watch of the admin API, which sends one JSON text per line.
struct Watch {
    lines: std::io::Lines<BufReader<std::net::TcpStream>>,
}

impl Watch {
    fn start(daemon: &TestDaemon, path: &str) -> Self {
        let mut stream = client::connect(daemon.admin);
        let headers = [("Authorization", "Bearer operator-token")];
        let text = client::request_text("GET", path, &headers, "");
        stream.write_all(text.as_bytes()).expect("write");
        Self { lines: BufReader::new(stream).lines() }
    }

    /// Returns the next line that holds changes or an error.
    fn next_change(&mut self) -> Value {
        loop {
            let line = self.lines.next().expect("a line").expect("a line");
            if let Ok(value) = serde_json::from_str::<Value>(&line) {
                if value["changes"].is_array() || value["error"].is_string() {
                    return value;
                }
            }
        }
    }
}

#[test]
fn verify_watches_neither_miss_nor_repeat_changes_over_a_reconnect() {
    let fleet = start_fleet_with_daemons(2);
    let mut seen_revisions = Vec::new();
    let mut watch = Watch::start(&fleet.daemons[1], "/v1/watch?after=0");
    for number in 0..12 {
        let name = format!("org-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY_REVISION).status, 200);
        if number % 4 == 3 {
            while seen_revisions.len() < number - 1 {
                seen_revisions.push(watch.next_change()["revision"].as_u64().expect("revision"));
            }
            let last_revision = seen_revisions.last().expect("some");
            let other_daemon = &fleet.daemons[number % 2];
            eventually("the other daemon has the revision", || {
                other_daemon.revision() >= *last_revision
            });
            watch = Watch::start(other_daemon, &format!("/v1/watch?after={last_revision}"));
        }
    }
    while seen_revisions.len() < 13 {
        seen_revisions.push(watch.next_change()["revision"].as_u64().expect("revision"));
    }
    assert_eq!(seen_revisions, (1..=13).collect::<Vec<u64>>());
    let mut route_watch = Watch::start(&fleet.daemons[0], "/v1/routes?watch=0");
    let first_change = route_watch.next_change();
    assert!(first_change["changes"]
        .as_array()
        .expect("changes")
        .iter()
        .all(|c| c["kind"] == "routes"));
}

#[test]
fn verify_a_watch_from_a_discarded_revision_gets_the_revision_to_restart_at() {
    let plan = FleetPlan {
        daemons: 1,
        backends: 1,
        daemon_flags: vec![("store-writes", "1000")],
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    for number in 0..303 {
        let name = format!("o-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY_REVISION).status, 200);
    }
    // A new daemon starts from a snapshot and knows only the changes made after that snapshot.
    eventually("a snapshot is stored", || fleet.daemons[0].log_text().contains("snapshot kept"));
    let new_daemon = TestDaemon::start(fleet.platform.address, "host-n", "bkk-b", &[]);
    fleet.daemons.push(new_daemon);
    eventually("the new daemon has all revisions", || {
        fleet.daemons[1].is_ready() && fleet.daemons[1].revision() == 304
    });
    let reply = fleet.daemons[1].call("GET", "/v1/watch?after=1", &[], "");
    assert_eq!(reply.status, 410, "{}", reply.text());
    assert_eq!(reply.json()["start_again_at"], json!(304));
    let bad_reply = fleet.daemons[1].call("GET", "/v1/watch?after=x", &[], "");
    assert_eq!(bad_reply.status, 422);
}
