// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon whose document may be out of date must not report a route as missing.
//!
//! Guards against a fault in which daemons answered 404 for a new route for 2.0 to 2.9 s after the
//! store had acknowledged it (12 hosts, 26 answers in 40 s, heartbeats every 4 s). Their open
//! connections were black-holed, without being closed or reset: the long poll at the store waited
//! for up to 8.7 s and could be followed by another one on a black-holed pooled connection, and
//! peers announced the document over black-holed links without a retry before the next heartbeat.
//! Without black-holed connections, every host has a document in force within 0.35 s.

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use basaltarch_core::resources::WorkMode;
use basaltarch_decide::freshness::CERTAIN_FOR;
use common::eventually;
use common::forwarder::Forwarder;
use common::registered::{document, route, RegisteredFleet};
use serde_json::json;

/// Longest time from the store's acknowledgement of a document until every daemon has it in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);
/// Time after the start of a fault during which [`IN_FORCE_MAX`] may be exceeded.
const RECOVERY_GRACE: Duration = Duration::from_secs(3);
/// Time between two rounds of requests to all daemons.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];

/// A fleet whose daemons reach the store, and each other, through forwarders.
struct ProxiedFleet {
    fleet: RegisteredFleet,
    store_forwarders: Vec<Forwarder>,
    peer_forwarders: Vec<Forwarder>,
}

impl ProxiedFleet {
    fn start(heartbeat_ms: &str) -> Self {
        let fleet = RegisteredFleet::start(0);
        let mut proxied_fleet =
            Self { fleet, store_forwarders: Vec::new(), peer_forwarders: Vec::new() };
        for host in HOSTS {
            proxied_fleet.add_daemon(host, heartbeat_ms);
        }
        proxied_fleet.wait_revision(1);
        let daemons = &proxied_fleet.fleet.daemons;
        for daemon in daemons {
            eventually("the daemons know each other", || daemon.live_member_count() == HOSTS.len());
        }
        proxied_fleet
    }

    fn add_daemon(&mut self, host: &str, heartbeat_ms: &str) {
        let store_forwarder = Forwarder::start();
        store_forwarder.forward_to(self.fleet.platform.address);
        let peer_forwarder = Forwarder::start();
        let advertised = peer_forwarder.address.to_string();
        let flags = [("advertise-peers", advertised.as_str()), ("heartbeat-ms", heartbeat_ms)];
        let daemon = self.fleet.start_daemon_at(store_forwarder.address, host, "bkk-a", &flags);
        peer_forwarder.forward_to(daemon.peers);
        self.fleet.daemons.push(daemon);
        self.store_forwarders.push(store_forwarder);
        self.peer_forwarders.push(peer_forwarder);
    }

    fn wait_revision(&self, revision: u64) {
        for daemon in &self.fleet.daemons {
            eventually("the document is in force on every daemon", || {
                daemon.revision() >= revision
            });
        }
    }

    /// Writes a document with a route that only this version has.
    fn write_document(&self, version: u64) {
        let mut new_document = document(version);
        let path = format!("/added-{version}/");
        new_document.routes.push(route("r-added", &path, WorkMode::Repeatable));
        self.fleet.write_document(&new_document);
    }

    /// Requests the route of a document version from a daemon and returns the status. The status is
    /// never 200, as there are no servers.
    fn request_status(&self, daemon: usize, version: u64) -> u16 {
        let path = format!("/added-{version}/x");
        self.fleet.request(daemon, "GET", &path, "asked").status
    }
}

/// All connections to the store and between the daemons become black-holed just after a call to the
/// store began.
#[test]
fn verify_a_daemon_that_may_be_behind_never_reports_a_missing_route() {
    let proxied_fleet = ProxiedFleet::start("4000");
    proxied_fleet.write_document(2);
    proxied_fleet.wait_revision(2);
    proxied_fleet
        .store_forwarders
        .iter()
        .chain(&proxied_fleet.peer_forwarders)
        .for_each(Forwarder::black_hole);
    let black_holed_at = Instant::now();
    proxied_fleet.write_document(3);
    let acked_at = Instant::now();
    let deadline = (black_holed_at + RECOVERY_GRACE).max(acked_at + IN_FORCE_MAX);
    let mut stale_answers = Vec::new();
    eventually("the document is in force everywhere", || {
        for (daemon, host) in HOSTS.iter().enumerate() {
            let sent_at = Instant::now();
            if proxied_fleet.request_status(daemon, 3) == 404 && sent_at > deadline {
                stale_answers.push((host, sent_at - acked_at));
            }
        }
        thread::sleep(REQUEST_INTERVAL);
        proxied_fleet.fleet.daemons.iter().all(|daemon| daemon.revision() == 3)
    });
    assert!(
        stale_answers.is_empty(),
        "daemons answered 404 for the new route after the deadline: {stale_answers:?}"
    );
}

/// All open connections of a daemon without requests become black-holed, and its peers can't dial it
/// to announce a document. The daemon must find out by itself that its document is no longer the
/// newest: a route that was dropped must not be served.
#[test]
fn verify_a_daemon_that_is_told_nothing_does_not_serve_a_dropped_route() {
    const UNTOLD_DAEMON: usize = HOSTS.len() - 1;
    let mut proxied_fleet = ProxiedFleet::start("4000");
    // In a larger fleet, calls to the store wait longer.
    ["host-d", "host-e", "host-f"].iter().for_each(|host| proxied_fleet.add_daemon(host, "4000"));
    proxied_fleet.write_document(2);
    proxied_fleet.wait_revision(2);
    let untold_forwarder = &proxied_fleet.peer_forwarders[UNTOLD_DAEMON];
    untold_forwarder.cuts.refuse.store(true, Ordering::SeqCst);
    proxied_fleet.peer_forwarders.iter().for_each(Forwarder::black_hole);
    proxied_fleet.store_forwarders[UNTOLD_DAEMON].black_hole();
    let black_holed_at = Instant::now();
    proxied_fleet.write_document(3);
    let deadline = black_holed_at + RECOVERY_GRACE;
    let mut served_late = Vec::new();
    eventually("the document is in force", || {
        let sent_at = Instant::now();
        let reply = proxied_fleet.fleet.request(UNTOLD_DAEMON, "GET", "/added-2/x", "asked");
        // The route is known, and no server is there to run the request.
        let is_served = reply.header("basaltarch-reason").as_deref() == Some("no-upstream");
        if is_served && sent_at > deadline {
            served_late.push(sent_at - black_holed_at);
        }
        thread::sleep(REQUEST_INTERVAL);
        proxied_fleet.fleet.daemons[UNTOLD_DAEMON].revision() == 3
    });
    assert!(
        served_late.is_empty(),
        "a dropped route was served after the deadline: {served_late:?}"
    );
}

/// A document reaches a daemon that can't reach the store, although all links are black-holed and
/// no heartbeat is due for a minute.
#[test]
fn verify_a_document_arrives_although_links_are_black_holed() {
    const CUT_OFF_DAEMON: usize = HOSTS.len() - 1;
    let proxied_fleet = ProxiedFleet::start("60000");
    proxied_fleet.write_document(2);
    proxied_fleet.wait_revision(2);
    proxied_fleet.store_forwarders[CUT_OFF_DAEMON].cuts.forward.store(true, Ordering::SeqCst);
    proxied_fleet.store_forwarders[CUT_OFF_DAEMON].cuts.backward.store(true, Ordering::SeqCst);
    proxied_fleet.peer_forwarders.iter().for_each(Forwarder::black_hole);
    proxied_fleet.write_document(3);
    proxied_fleet.wait_revision(3);
    let log = proxied_fleet.fleet.daemons[CUT_OFF_DAEMON].log_text();
    assert!(
        log.contains("store call given up"),
        "the black-holed call to the store was not given up"
    );
}

/// A daemon makes at most one freshness check at the store a second, however many requests for
/// unknown routes the daemon receives.
#[test]
fn verify_unknown_routes_cause_few_freshness_checks() {
    let proxied_fleet = ProxiedFleet::start("4000");
    let started_at = Instant::now();
    let check_count = || proxied_fleet.fleet.daemons[0].metric_sum("configuration_questions");
    let mut request_count = 0;
    eventually("three freshness checks were made", || {
        for _ in 0..100 {
            assert_eq!(proxied_fleet.request_status(0, 99), 404);
            request_count += 1;
        }
        check_count() >= 3.0
    });
    let check_count_max = 1.0 + started_at.elapsed().as_secs_f64() / CERTAIN_FOR.as_secs_f64();
    assert!(
        check_count() <= check_count_max,
        "{} freshness checks, at most {check_count_max}",
        check_count()
    );
    assert!(request_count >= 300, "{request_count} requests");
}

/// Without a confirmation from the store or a peer, requests for known routes are served and
/// requests for unknown routes are refused as not run.
#[test]
fn verify_an_unknown_route_is_not_reported_missing_without_confirmation() {
    let proxied_fleet = ProxiedFleet::start("4000");
    proxied_fleet.write_document(2);
    proxied_fleet.wait_revision(2);
    proxied_fleet.fleet.platform.set_faults(json!({"busy": true}));
    // The test waits, as a daemon may answer 404 until all confirmations have expired: a peer may
    // send a confirmation even after the daemon has stopped waiting for the peer's reply.
    let busy_since = Instant::now();
    eventually("all confirmations have expired", || busy_since.elapsed() > CERTAIN_FOR);
    assert_eq!(proxied_fleet.request_status(0, 99), 503);
    let reply = proxied_fleet.fleet.request(0, "GET", "/added-99/x", "asked");
    assert_eq!(reply.header("basaltarch-reason").as_deref(), Some("configuration-unsure"));
    assert!(reply.header("retry-after").is_some());
    let known_route_reply = proxied_fleet.fleet.request(0, "GET", "/added-2/x", "asked");
    assert_eq!(known_route_reply.header("basaltarch-reason").as_deref(), Some("no-upstream"));
    proxied_fleet.fleet.platform.set_faults(json!({}));
    eventually("a confirmation arrives again", || proxied_fleet.request_status(0, 99) == 404);
}

/// A daemon that can't reach the store uses the confirmations of peers that can reach the store.
#[test]
fn verify_the_confirmation_of_a_peer_suffices() {
    let proxied_fleet = ProxiedFleet::start("4000");
    let cut_off_daemon = HOSTS.len() - 1;
    let cuts = &proxied_fleet.store_forwarders[cut_off_daemon].cuts;
    cuts.forward.store(true, Ordering::SeqCst);
    cuts.backward.store(true, Ordering::SeqCst);
    for _ in 0..3 {
        // The other daemons ask the store, and the daemon that is cut off asks its peers.
        eventually("a peer has a confirmation of the store and forwards it", || {
            proxied_fleet.request_status(0, 99) == 404
                && proxied_fleet.request_status(cut_off_daemon, 99) == 404
        });
    }
}

/// While the newest document is unreadable, no daemon is certain that its configuration is the
/// newest, and each answers 503 in place of 404 until the next readable document.
#[test]
fn verify_after_an_unreadable_document_no_route_is_reported_missing() {
    let proxied_fleet = ProxiedFleet::start("4000");
    assert_eq!(proxied_fleet.request_status(0, 99), 404);
    proxied_fleet.fleet.write_text(r#"{"version": "nine"}"#);
    eventually("the unreadable document was read", || proxied_fleet.request_status(0, 99) == 503);
    proxied_fleet.write_document(9);
    eventually("the next document is in force", || proxied_fleet.request_status(0, 99) == 404);
}
