// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Partial network failures: paths to a peer that only some ingresses have lost, and partitioned
//! regions.

mod common;

use std::sync::atomic::Ordering;

use common::forwarder::Forwarder;
use common::{eventually, FleetPlan, TestBackend, TestDaemon, TestFleet, TestPlatform};
use serde_json::json;
use test_case::test_case;

/// Four daemons with a backend server each. Peers reach the last daemon through a forwarder.
struct HalfCut {
    fleet: TestFleet,
    forwarder: Forwarder,
}

/// Index of the daemon that peers reach through the forwarder.
const FORWARDED_DAEMON: usize = 3;

impl HalfCut {
    fn start() -> Self {
        let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 1.0});
        let plan = FleetPlan { service, ..FleetPlan::default() };
        let platform = TestPlatform::start();
        let forwarder = Forwarder::start();
        let advertised = forwarder.address.to_string();
        let mut daemons = Vec::new();
        for (index, name) in ["host-a", "host-b", "host-c", "host-d"].iter().enumerate() {
            // All daemons are in one failure domain, so that every ingress uses every server.
            let flags = [("advertise-peers", advertised.as_str())];
            let flags = if index == FORWARDED_DAEMON { &flags[..] } else { &[] };
            let daemon = TestDaemon::start(platform.address, name, "bkk-a", flags);
            daemons.push(daemon);
        }
        forwarder.forward_to(daemons[FORWARDED_DAEMON].peers);
        let mut fleet = TestFleet { platform, daemons, backends: Vec::new() };
        fleet.wait_members();
        let start = |number| TestBackend::start(&format!("server-{number}"), 1);
        fleet.backends = (1..=4).map(start).collect();
        let reply = fleet.apply(&fleet.build_configuration(&plan));
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        Self { fleet, forwarder }
    }

    /// Returns the state that an ingress reports for the server beside the last daemon.
    fn state_seen_by(&self, daemon: usize) -> String {
        let health = self.fleet.daemons[daemon].get("/v1/health?service=solver-app");
        health["services"][0]["upstreams"][FORWARDED_DAEMON]["state"]
            .as_str()
            .expect("state")
            .to_owned()
    }

    /// Sends requests through an ingress. Returns whether all requests were answered, and whether
    /// the last server answered any of them.
    fn send_requests(&self, daemon: usize, count: usize) -> (bool, bool) {
        let (mut all_served, mut last_used) = (true, false);
        for _ in 0..count {
            let reply = self.fleet.request(daemon, "GET", "/puzzle", &[], "");
            all_served &= reply.status == 200;
            last_used |= reply.header("x-served-by").as_deref() == Some("server-4");
        }
        (all_served, last_used)
    }
}

#[test_case(true, false ; "requests do not arrive")]
#[test_case(false, true ; "answers do not arrive")]
fn verify_ingresses_that_are_cut_off_do_not_eject_a_server_for_the_others(
    forward: bool,
    backward: bool,
) {
    let half_cut = HalfCut::start();
    for daemon in 0..FORWARDED_DAEMON {
        eventually("the last server is used", || half_cut.send_requests(daemon, 20).1);
    }
    *half_cut.forwarder.cuts.only_hosts.lock().expect("lock") =
        vec!["host-a".to_owned(), "host-b".to_owned()];
    half_cut.forwarder.cuts.forward.store(forward, Ordering::SeqCst);
    half_cut.forwarder.cuts.backward.store(backward, Ordering::SeqCst);
    for daemon in 0..2 {
        eventually("an ingress that is cut off stops using the path", || {
            half_cut.send_requests(daemon, 5);
            half_cut.state_seen_by(daemon) == "unreachable"
        });
    }
    for daemon in 0..2 {
        let (all_served, last_used) = half_cut.send_requests(daemon, 30);
        assert!(all_served, "callers of ingress {daemon} are not served by the other servers");
        assert!(!last_used, "ingress {daemon} still sends over the cut path");
    }
    eventually("the ingress that is not cut off still uses the last server", || {
        half_cut.send_requests(2, 20) == (true, true)
    });
    assert_eq!(half_cut.state_seen_by(2), "in service");
    assert!(
        !half_cut.fleet.daemons[FORWARDED_DAEMON].log_text().contains("upstream ejected"),
        "the server beside the last daemon is healthy"
    );
    half_cut.forwarder.cuts.forward.store(false, Ordering::SeqCst);
    half_cut.forwarder.cuts.backward.store(false, Ordering::SeqCst);
    half_cut.forwarder.break_all();
    for daemon in 0..2 {
        eventually("the path is used again", || half_cut.send_requests(daemon, 20).1);
    }
    half_cut.fleet.check_invariants();
}

/// The process of the last host is paused. A paused host answers nothing, but its links stay open.
#[test]
fn verify_a_paused_host_is_avoided_and_used_again_after_it_resumes() {
    let half_cut = HalfCut::start();
    let paused_daemon = &half_cut.fleet.daemons[FORWARDED_DAEMON];
    eventually("the last server is used", || half_cut.send_requests(0, 20).1);
    for round in 0..2 {
        paused_daemon.signal("-STOP");
        eventually("the path to the host is no longer used", || {
            half_cut.send_requests(0, 5);
            half_cut.state_seen_by(0) == "unreachable"
        });
        assert_eq!(
            half_cut.send_requests(0, 30),
            (true, false),
            "round {round}: the other servers serve the callers of the ingress"
        );
        paused_daemon.signal("-CONT");
        eventually("the server of the host is used again", || half_cut.send_requests(0, 20).1);
    }
    assert!(
        !paused_daemon.log_text().contains("upstream ejected"),
        "the server of the paused host was healthy all the time"
    );
    half_cut.fleet.check_invariants();
}

/// Two regions of two daemons each. Peers reach every daemon through a forwarder of that daemon.
/// The second region reaches the store through one more forwarder.
struct TwoRegions {
    fleet: TestFleet,
    forwarders: Vec<Forwarder>,
    store_forwarder: Forwarder,
}

const REGIONS: [[&str; 2]; 2] = [["host-a", "host-b"], ["host-c", "host-d"]];

impl TwoRegions {
    fn start() -> Self {
        let platform = TestPlatform::start();
        let store_forwarder = Forwarder::start();
        store_forwarder.forward_to(platform.address);
        let mut forwarders = Vec::new();
        let mut daemons = Vec::new();
        for (region, hosts) in REGIONS.iter().enumerate() {
            for name in hosts {
                let daemon_forwarder = Forwarder::start();
                let advertised = daemon_forwarder.address.to_string();
                let flags = [("advertise-peers", advertised.as_str())];
                let store_address =
                    if region == 0 { platform.address } else { store_forwarder.address };
                let domain = ["bkk-a", "bkk-b"][region];
                let daemon = TestDaemon::start(store_address, name, domain, &flags);
                daemon_forwarder.forward_to(daemon.peers);
                forwarders.push(daemon_forwarder);
                daemons.push(daemon);
            }
        }
        let mut fleet = TestFleet { platform, daemons, backends: Vec::new() };
        fleet.wait_members();
        let start = |number| TestBackend::start(&format!("server-{number}"), 1);
        fleet.backends = (1..=4).map(start).collect();
        let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 1.0});
        let mut configuration =
            fleet.build_configuration(&FleetPlan { service, ..FleetPlan::default() });
        for (index, name) in ["server-1", "server-2", "server-3", "server-4"].iter().enumerate() {
            configuration["backend-servers"][name]["host"] = json!(REGIONS[index / 2][index % 2]);
        }
        let reply = fleet.apply(&configuration);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        Self { fleet, forwarders, store_forwarder }
    }

    /// Cuts the regions from each other and the second region from the store, in both directions.
    /// If `is_cut` is false, ends all these cuts.
    fn set_cut(&self, is_cut: bool) {
        for (index, daemon_forwarder) in self.forwarders.iter().enumerate() {
            let other_region_hosts = REGIONS[1 - index / 2].map(str::to_owned).to_vec();
            *daemon_forwarder.cuts.only_hosts.lock().expect("lock") = other_region_hosts;
            daemon_forwarder.cuts.forward.store(is_cut, Ordering::SeqCst);
            daemon_forwarder.cuts.backward.store(is_cut, Ordering::SeqCst);
        }
        self.store_forwarder.cuts.forward.store(is_cut, Ordering::SeqCst);
        self.store_forwarder.cuts.backward.store(is_cut, Ordering::SeqCst);
    }

    fn send_payout(&self, daemon: usize, key: &str) -> (u16, Option<String>) {
        let headers = [("idempotency-key", key), ("x-request-id", key)];
        let reply = self.fleet.request(daemon, "POST", "/payouts", &headers, "100");
        (reply.status, reply.outcome())
    }
}

#[test]
fn verify_partitioned_regions_both_serve_and_agree_afterwards() {
    let regions = TwoRegions::start();
    let fleet = &regions.fleet;
    let is_served = |daemon: usize| fleet.request(daemon, "GET", "/puzzle", &[], "").status == 200;
    assert!((0..4).all(is_served));
    assert_eq!(regions.send_payout(2, "before").0, 200);
    regions.set_cut(true);
    for daemon in 0..4 {
        eventually("each region serves its own callers", || (0..10).all(|_| is_served(daemon)));
    }
    // Changes are accepted in the region with the store. The other region serves with its last
    // configuration.
    for number in 0..3 {
        let path = format!("/v1/organisations/cut-{number}");
        let reply = fleet.daemons[0].call("PUT", &path, &[("If-None-Match", "*")], "{}");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    eventually("the changes are in force in the region with the store", || {
        fleet.daemons[1].revision() == 4
    });
    assert_eq!((fleet.daemons[2].revision(), fleet.daemons[3].revision()), (1, 1));
    // An at-most-once request needs the store. The request therefore runs in the region with the
    // store and is refused in the other region.
    eventually("an at-most-once request runs in the region with the store", || {
        regions.send_payout(0, "one-key").0 == 200
    });
    let (status, outcome) = regions.send_payout(2, "one-key");
    assert_eq!((status, outcome.as_deref()), (503, Some("not-run")));
    let (status, outcome) = regions.send_payout(3, "before");
    assert_eq!((status, outcome.as_deref()), (503, Some("not-run")), "the row can't be read");
    regions.set_cut(false);
    fleet.wait_revision(4);
    for key in ["one-key", "before"] {
        eventually("the other region learns that the request has run", || {
            regions.send_payout(2, key).0 == 200
        });
        assert_eq!(fleet.run_count(key), 1, "{key}");
    }
    let last_revision = fleet.daemons[3].revision();
    assert!(
        fleet.daemons.iter().all(|daemon| daemon.revision() == last_revision),
        "no daemon went back to an older revision"
    );
    fleet.check_invariants();
}
