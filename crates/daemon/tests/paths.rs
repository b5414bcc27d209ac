// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Paths to peers that only some of the fleet has lost.

mod common;

use std::sync::atomic::Ordering;

use common::forwarder::Forwarder;
use common::{eventually, FleetPlan, TestBackend, TestDaemon, TestFleet, TestPlatform};
use serde_json::json;
use test_case::test_case;

/// Four daemons with a backend server each; the last is reached through a forwarder.
struct HalfCut {
    fleet: TestFleet,
    forwarder: Forwarder,
}

const LAST: usize = 3;

impl HalfCut {
    fn start() -> Self {
        let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 1.0});
        let plan = FleetPlan { service, ..FleetPlan::default() };
        let platform = TestPlatform::start();
        let forwarder = Forwarder::start();
        let advertised = forwarder.address.to_string();
        let mut daemons = Vec::new();
        for (index, name) in ["host-a", "host-b", "host-c", "host-d"].iter().enumerate() {
            // One failure domain, so that every ingress uses every server.
            let flags = [("advertise-peers", advertised.as_str())];
            let flags = if index == LAST { &flags[..] } else { &[] };
            let daemon = TestDaemon::start(platform.address, name, "bkk-a", flags);
            let peers = if index == LAST { forwarder.address } else { daemon.peers };
            platform.list_host(name, "bkk-a", peers, daemon.admin, "live");
            daemons.push(daemon);
        }
        forwarder.forward_to(daemons[LAST].peers);
        let mut fleet = TestFleet { platform, daemons, backends: Vec::new() };
        fleet.wait_members();
        let start = |number| TestBackend::start(&format!("server-{number}"), 1);
        fleet.backends = (1..=4).map(start).collect();
        let reply = fleet.apply(&fleet.configuration(&plan));
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        Self { fleet, forwarder }
    }

    /// Returns how an ingress sees the server beside the last daemon.
    fn seen_by(&self, daemon: usize) -> String {
        let health = self.fleet.daemons[daemon].get("/v1/health?service=solver-app");
        health["services"][0]["upstreams"][LAST]["state"].as_str().expect("state").to_owned()
    }

    /// Sends requests through an ingress; tells whether all were answered, and by the last server.
    fn ask(&self, daemon: usize, count: usize) -> (bool, bool) {
        let (mut all, mut last) = (true, false);
        for _ in 0..count {
            let reply = self.fleet.request(daemon, "GET", "/puzzle", &[], "");
            all &= reply.status == 200;
            last |= reply.header("x-served-by").as_deref() == Some("server-4");
        }
        (all, last)
    }
}

#[test_case(true, false ; "requests do not arrive")]
#[test_case(false, true ; "answers do not arrive")]
fn verify_half_of_the_ingresses_cut_off_do_not_eject_for_the_other_half(forward: bool, back: bool) {
    let half = HalfCut::start();
    for daemon in 0..LAST {
        eventually("the last server is used", || half.ask(daemon, 20).1);
    }
    *half.forwarder.cuts.only.lock().expect("lock") =
        vec!["host-a".to_owned(), "host-b".to_owned()];
    half.forwarder.cuts.forward.store(forward, Ordering::SeqCst);
    half.forwarder.cuts.back.store(back, Ordering::SeqCst);
    for daemon in 0..2 {
        eventually("an ingress that is cut off leaves the path", || {
            half.ask(daemon, 5);
            half.seen_by(daemon) == "unreachable"
        });
    }
    for daemon in 0..2 {
        let (all, last) = half.ask(daemon, 30);
        assert!(all, "callers of ingress {daemon} are served by the others");
        assert!(!last, "nothing goes over the cut path");
    }
    eventually("the other half goes on using it", || half.ask(2, 20) == (true, true));
    assert_eq!(half.seen_by(2), "in service");
    assert!(!half.fleet.daemons[LAST].log_text().contains("upstream ejected"), "it is healthy");
    half.forwarder.cuts.forward.store(false, Ordering::SeqCst);
    half.forwarder.cuts.back.store(false, Ordering::SeqCst);
    half.forwarder.break_all();
    for daemon in 0..2 {
        eventually("the path is found again", || half.ask(daemon, 20).1);
    }
    half.fleet.check_invariants();
}
