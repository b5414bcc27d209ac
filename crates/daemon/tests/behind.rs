// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon that may be behind the operator's document doesn't answer as if it were certain.
//!
//! What users saw: an operator adds a route, the store acknowledges it, and seconds after it had to be in force some
//! daemons still answer 404, which says that there is no such route.
//!
//! What happened, in order: the open connections of these daemons had fallen silent, with nothing that closed or
//! reset them. The call that waits at the store for a change went on waiting, for up to 8.7 s, and the next might
//! take a pooled connection that was as dead. Other daemons, whose calls had ended by then, took the document
//! over and told it along links that were as silent; nobody asked whether the word had arrived, and the next
//! was four seconds off. Meanwhile the daemon that knew nothing answered 404 from the document it had.
//!
//! The evidence: with every connection through a proxy that goes on taking what is sent, real processes
//! answer 404 for 2.0 to 2.9 s after the change (12 hosts, 26 answers in 40 s, heartbeats each 4 s); with
//! nothing silent, none does in as long, and every host shows a document within 0.35 s.

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

/// Time from an acknowledgement until the document must be in force everywhere.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);
/// Time after a trouble for which a host is not held to that.
const CONTACT: Duration = Duration::from_secs(3);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(20);
const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];

/// A fleet whose daemons reach the store, and each other, through forwarders.
struct WatchedFleet {
    fleet: RegisteredFleet,
    stores: Vec<Forwarder>,
    peers: Vec<Forwarder>,
}

impl WatchedFleet {
    fn start(heartbeat_ms: &str) -> Self {
        let fleet = RegisteredFleet::start(0);
        let mut watched = Self { fleet, stores: Vec::new(), peers: Vec::new() };
        for host in HOSTS {
            watched.add(host, heartbeat_ms);
        }
        watched.wait_revision(1);
        let daemons = &watched.fleet.daemons;
        for daemon in daemons {
            eventually("the daemons know each other", || daemon.live_members() == HOSTS.len());
        }
        watched
    }

    fn add(&mut self, host: &str, heartbeat_ms: &str) {
        let store = Forwarder::start();
        store.forward_to(self.fleet.platform.address);
        let peers = Forwarder::start();
        let advertised = peers.address.to_string();
        let flags = [("advertise-peers", advertised.as_str()), ("heartbeat-ms", heartbeat_ms)];
        let daemon = self.fleet.start_daemon_at(store.address, host, "bkk-a", &flags);
        peers.forward_to(daemon.peers);
        self.fleet.daemons.push(daemon);
        self.stores.push(store);
        self.peers.push(peers);
    }

    fn wait_revision(&self, revision: u64) {
        for daemon in &self.fleet.daemons {
            eventually("the document is in force", || daemon.revision() >= revision);
        }
    }

    /// Writes a document with a route of its own.
    fn write(&self, version: u64) {
        let mut wanted = document(version);
        let path = format!("/added-{version}/");
        wanted.routes.push(route("r-added", &path, WorkMode::Repeatable));
        self.fleet.write(&wanted);
    }

    /// Asks a daemon for the route of a document. There are no servers, so that none is served.
    fn status(&self, daemon: usize, version: u64) -> u16 {
        let path = format!("/added-{version}/x");
        self.fleet.request(daemon, "GET", &path, "asked").status
    }
}

/// All connections fall silent, to the store and between the daemons, as a call to the store has just begun.
#[test]
fn verify_a_daemon_that_may_be_behind_never_says_that_a_route_is_missing() {
    let watched = WatchedFleet::start("4000");
    watched.write(2);
    watched.wait_revision(2);
    watched.stores.iter().chain(&watched.peers).for_each(Forwarder::silence);
    let silent_at = Instant::now();
    watched.write(3);
    let acked_at = Instant::now();
    let bound = (silent_at + CONTACT).max(acked_at + IN_FORCE_MAX);
    let mut late = Vec::new();
    eventually("the document is in force everywhere", || {
        for (daemon, host) in HOSTS.iter().enumerate() {
            let sent_at = Instant::now();
            if watched.status(daemon, 3) == 404 && sent_at > bound {
                late.push((host, sent_at - acked_at));
            }
        }
        thread::sleep(PAUSE);
        watched.fleet.daemons.iter().all(|daemon| daemon.revision() == 3)
    });
    assert!(late.is_empty(), "answered 404 after the change: {late:?}");
}

/// One daemon can't reach the store and its links have fallen silent; no heartbeat is due for a minute.
#[test]
fn verify_the_word_of_a_document_arrives_where_a_link_fell_silent() {
    const LAST: usize = HOSTS.len() - 1;
    let watched = WatchedFleet::start("60000");
    watched.write(2);
    watched.wait_revision(2);
    watched.stores[LAST].cuts.forward.store(true, Ordering::SeqCst);
    watched.stores[LAST].cuts.back.store(true, Ordering::SeqCst);
    watched.peers.iter().for_each(Forwarder::silence);
    watched.write(3);
    watched.wait_revision(3);
    let told = watched.fleet.daemons[LAST].log_text();
    assert!(told.contains("store call given up"), "the call that brought nothing goes on");
}

/// Callers who ask for what never was, as many as they like, cost the store a question a second.
#[test]
fn verify_unknown_routes_are_refused_by_few_questions() {
    let watched = WatchedFleet::start("4000");
    let began = Instant::now();
    let questions = || watched.fleet.daemons[0].metric("configuration_questions");
    let mut requests = 0;
    eventually("three questions were asked", || {
        for _ in 0..100 {
            assert_eq!(watched.status(0, 99), 404);
            requests += 1;
        }
        questions() >= 3.0
    });
    let most = 1.0 + began.elapsed().as_secs_f64() / CERTAIN_FOR.as_secs_f64();
    assert!(questions() <= most, "{} questions, at most {most}", questions());
    assert!(requests >= 300, "{requests} requests");
}

/// While neither store nor peers have word, what is known is served, and what isn't is refused as not run.
#[test]
fn verify_an_unknown_route_is_not_said_to_be_missing_while_nobody_knows() {
    let watched = WatchedFleet::start("4000");
    watched.write(2);
    watched.wait_revision(2);
    watched.fleet.platform.faults(json!({"busy": true}));
    // Until then a peer may have word, and tell it late to a daemon that has just given up waiting.
    let busy_since = Instant::now();
    eventually("all word is too old", || busy_since.elapsed() > CERTAIN_FOR);
    assert_eq!(watched.status(0, 99), 503);
    let reply = watched.fleet.request(0, "GET", "/added-99/x", "asked");
    assert_eq!(reply.header("basaltarch-reason").as_deref(), Some("configuration-unsure"));
    assert!(reply.header("retry-after").is_some());
    let known = watched.fleet.request(0, "GET", "/added-2/x", "asked");
    assert_eq!(known.header("basaltarch-reason").as_deref(), Some("no-upstream"));
    watched.fleet.platform.faults(json!({}));
    eventually("there is word again", || watched.status(0, 99) == 404);
}

/// Who can't reach the store has the word of peers who can.
#[test]
fn verify_the_word_of_a_peer_is_enough() {
    let watched = WatchedFleet::start("4000");
    let last = HOSTS.len() - 1;
    let cuts = &watched.stores[last].cuts;
    cuts.forward.store(true, Ordering::SeqCst);
    cuts.back.store(true, Ordering::SeqCst);
    for _ in 0..3 {
        // The others ask the store, and are asked by the last.
        eventually("a peer has word of the store, and tells it", || {
            watched.status(0, 99) == 404 && watched.status(last, 99) == 404
        });
    }
}

/// A document that can't be read is later than what is in force: nobody is certain until another comes.
#[test]
fn verify_a_document_that_cannot_be_read_leaves_nobody_certain() {
    let watched = WatchedFleet::start("4000");
    assert_eq!(watched.status(0, 99), 404);
    watched.fleet.write_text(r#"{"version": "nine"}"#);
    eventually("it was read", || watched.status(0, 99) == 503);
    watched.write(9);
    eventually("the next is in force", || watched.status(0, 99) == 404);
}
