// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server that starts again under its name is another one: what the start before said, and
//! what was learnt of it, counts no more.

mod common;

use basaltarch_platform::rows::StoreCall;
use common::eventually;
use common::registered::{self, RegisteredFleet, SERVICE};
use serde_json::json;
use test_case::test_case;

/// Two starts of the first backend server, as heartbeats name them.
const BEFORE: &str = "i-1#a";
const AFTER: &str = "i-1#b";

/// A fleet whose first backend server has told its start.
struct RestartFleet {
    fleet: RegisteredFleet,
}

impl RestartFleet {
    fn start() -> Self {
        let restarts = Self { fleet: RegisteredFleet::start(2) };
        restarts.beat(BEFORE, false);
        restarts.fleet.wait_served(1, &[0, 1]);
        restarts
    }

    fn heartbeat(&self, name: &str, draining: bool) -> StoreCall {
        self.fleet.heartbeat(0, name, SERVICE, draining)
    }

    fn beat(&self, name: &str, draining: bool) {
        self.send(&self.heartbeat(name, draining));
    }

    fn send(&self, call: &StoreCall) {
        assert_eq!(self.fleet.call_daemon(0, call).status, 200);
    }

    /// Lets the server start again: its count begins anew.
    fn restart(&self) {
        self.fleet.restart_count();
        self.beat(AFTER, false);
    }

    fn registered(&self, name: &str) -> usize {
        let text = self.fleet.daemons[0].log_text();
        let quoted = format!("\"{name}\"");
        let told = |line: &&str| line.contains("backend server registered");
        text.lines().filter(told).filter(|line| line.contains(&quoted)).count()
    }
}

#[test_case(|_| {} ; "crashed without a word")]
#[test_case(|each| each.beat(BEFORE, true) ; "said that it leaves")]
#[test_case(|each| each.send(&registered::leaving(BEFORE)) ; "said that it is gone")]
#[test_case(|each| each.send(&registered::leaving("i-1")) ; "said that it is gone without its start")]
fn verify_a_server_that_starts_again_under_its_name_gets_work(end: fn(&RestartFleet)) {
    let restarts = RestartFleet::start();
    end(&restarts);
    restarts.restart();
    eventually("the new start is known", || restarts.registered(AFTER) == 1);
    restarts.fleet.wait_served(0, &[0, 1]);
    restarts.fleet.wait_served(1, &[0, 1]);
}

#[test_case(|each| each.heartbeat(BEFORE, false) ; "a heartbeat")]
#[test_case(|each| each.heartbeat(BEFORE, true) ; "a word that it leaves")]
#[test_case(|_| registered::leaving(BEFORE) ; "a word that it is gone")]
fn verify_what_the_start_before_said_comes_too_late(late: fn(&RestartFleet) -> StoreCall) {
    let restarts = RestartFleet::start();
    let late = late(&restarts);
    restarts.restart();
    restarts.send(&late);
    let registered = || (restarts.registered(BEFORE), restarts.registered(AFTER));
    // A thread writes the log, so that its last lines may be yet to come.
    eventually("each start was registered once", || registered() == (1, 1));
    restarts.fleet.wait_served(0, &[0]);
    restarts.fleet.wait_served(1, &[0]);
    assert_eq!(registered(), (1, 1), "what came late registered nothing");
}

#[test]
fn verify_a_restarted_daemon_takes_the_later_start_whatever_comes_first() {
    let mut restarts = RestartFleet::start();
    let late = restarts.heartbeat(BEFORE, true);
    restarts.fleet.daemons[0].kill();
    restarts.fleet.daemons[0] = restarts.fleet.start_daemon("host-a", "bkk-a", &[]);
    restarts.send(&late);
    restarts.restart();
    restarts.send(&late);
    restarts.fleet.wait_served(0, &[0, 1]);
    restarts.fleet.wait_served(1, &[0, 1]);
}

#[test]
fn verify_a_start_that_follows_an_outage_of_the_store_is_known_after_it() {
    let restarts = RestartFleet::start();
    restarts.fleet.platform.faults(json!({"busy": true}));
    restarts.beat(BEFORE, true);
    restarts.restart();
    restarts.fleet.wait_served(0, &[0]);
    restarts.fleet.platform.faults(json!({}));
    restarts.fleet.wait_served(1, &[0, 1]);
}

#[test]
fn verify_what_was_learnt_of_a_start_is_not_held_against_the_next() {
    let restarts = RestartFleet::start();
    let fleet = &restarts.fleet;
    fleet.backends[0].faults(json!({"stuck": true}));
    eventually("its daemon doubts it", || {
        fleet.request(0, "GET", "/safe/x", "find-out");
        let text = fleet.daemons[0].log_text();
        text.contains("upstream doubted") || text.contains("upstream ejected")
    });
    fleet.backends[0].faults(json!({}));
    restarts.restart();
    // Unrepeatable work, which a doubted server gets only as the last one, goes to it at once.
    let reaches = |number: usize| {
        let id = format!("anew-{number}");
        let reply = fleet.request(0, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.backends[0].ran(&id) == 1
    };
    assert!((0..20).any(reaches));
}

#[test]
fn verify_a_heartbeat_that_tells_no_start_names_no_server_that_told_one() {
    let restarts = RestartFleet::start();
    let reply = restarts.fleet.call_daemon(0, &restarts.heartbeat("i-1", true));
    assert_eq!(reply.status, 400, "{}", reply.text());
    restarts.fleet.wait_served(1, &[0]);
}
