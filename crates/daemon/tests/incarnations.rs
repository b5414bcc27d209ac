// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server that restarts under its name is a new incarnation: messages of the previous one
//! are ignored, and its failures no longer count.

mod common;

use basaltarch_platform::rows::StoreCall;
use common::eventually;
use common::registered::{self, RegisteredFleet, SERVICE};
use serde_json::json;
use test_case::test_case;

/// Names that the first backend server sends in its heartbeats: the old incarnation before its
/// restart, and the new incarnation after it.
const OLD_INCARNATION: &str = "i-1#a";
const NEW_INCARNATION: &str = "i-1#b";

/// A fleet whose first backend server has sent its incarnation.
struct RestartFleet {
    fleet: RegisteredFleet,
}

impl RestartFleet {
    fn start() -> Self {
        let restarts = Self { fleet: RegisteredFleet::start(2) };
        restarts.send_heartbeat(OLD_INCARNATION, false);
        restarts.fleet.wait_served(1, &[0, 1]);
        restarts
    }

    fn heartbeat(&self, name: &str, draining: bool) -> StoreCall {
        self.fleet.heartbeat(0, name, SERVICE, draining)
    }

    fn send_heartbeat(&self, name: &str, draining: bool) {
        self.send(&self.heartbeat(name, draining));
    }

    fn send(&self, call: &StoreCall) {
        assert_eq!(self.fleet.call_daemon(0, call).status, 200);
    }

    /// Restarts the server: the sequence numbers of its heartbeats begin at 1 again.
    fn restart(&self) {
        self.fleet.reset_sequence();
        self.send_heartbeat(NEW_INCARNATION, false);
    }

    fn registrations(&self, name: &str) -> usize {
        let text = self.fleet.daemons[0].log_text();
        let quoted = format!("\"{name}\"");
        let is_event = |line: &&str| line.contains("backend server registered");
        text.lines().filter(is_event).filter(|line| line.contains(&quoted)).count()
    }
}

#[test_case(|_| {} ; "crashed without a message")]
#[test_case(|each| each.send_heartbeat(OLD_INCARNATION, true) ; "sent a drain notice")]
#[test_case(|each| each.send(&registered::deregistration(OLD_INCARNATION)) ; "deregistered")]
#[test_case(|each| each.send(&registered::deregistration("i-1")) ; "deregistered without its incarnation")]
fn verify_a_server_restarted_under_its_name_receives_requests(
    end_old_incarnation: fn(&RestartFleet),
) {
    let restarts = RestartFleet::start();
    end_old_incarnation(&restarts);
    restarts.restart();
    eventually("the new incarnation is known", || restarts.registrations(NEW_INCARNATION) == 1);
    restarts.fleet.wait_served(0, &[0, 1]);
    restarts.fleet.wait_served(1, &[0, 1]);
}

#[test_case(|each| each.heartbeat(OLD_INCARNATION, false) ; "a heartbeat")]
#[test_case(|each| each.heartbeat(OLD_INCARNATION, true) ; "a drain notice")]
#[test_case(|_| registered::deregistration(OLD_INCARNATION) ; "a deregistration")]
fn verify_late_messages_of_the_previous_incarnation_are_ignored(
    late_call: fn(&RestartFleet) -> StoreCall,
) {
    let restarts = RestartFleet::start();
    let late_call = late_call(&restarts);
    restarts.restart();
    restarts.send(&late_call);
    let registrations =
        || (restarts.registrations(OLD_INCARNATION), restarts.registrations(NEW_INCARNATION));
    // A separate thread writes the log, so its last lines may be delayed.
    eventually("each incarnation is registered once", || registrations() == (1, 1));
    restarts.fleet.wait_served(0, &[0]);
    restarts.fleet.wait_served(1, &[0]);
    assert_eq!(registrations(), (1, 1), "the late message registered nothing");
}

#[test]
fn verify_a_restarted_daemon_uses_the_later_incarnation_in_any_order() {
    let mut restarts = RestartFleet::start();
    let late_call = restarts.heartbeat(OLD_INCARNATION, true);
    restarts.fleet.daemons[0].kill();
    restarts.fleet.daemons[0] = restarts.fleet.start_daemon("host-a", "bkk-a", &[]);
    restarts.send(&late_call);
    restarts.restart();
    restarts.send(&late_call);
    restarts.fleet.wait_served(0, &[0, 1]);
    restarts.fleet.wait_served(1, &[0, 1]);
}

#[test]
fn verify_an_incarnation_started_in_a_store_outage_is_known_after_it() {
    let restarts = RestartFleet::start();
    restarts.fleet.platform.set_faults(json!({"busy": true}));
    restarts.send_heartbeat(OLD_INCARNATION, true);
    restarts.restart();
    restarts.fleet.wait_served(0, &[0]);
    restarts.fleet.platform.set_faults(json!({}));
    restarts.fleet.wait_served(1, &[0, 1]);
}

#[test]
fn verify_failures_of_an_incarnation_do_not_count_against_the_next() {
    let restarts = RestartFleet::start();
    let fleet = &restarts.fleet;
    fleet.backends[0].set_faults(json!({"stuck": true}));
    eventually("the circuit breaker of the server is open, or it is ejected", || {
        fleet.request(0, "GET", "/safe/x", "find-out");
        let text = fleet.daemons[0].log_text();
        text.contains("upstream doubted") || text.contains("upstream ejected")
    });
    fleet.backends[0].set_faults(json!({}));
    restarts.restart();
    // Non-repeatable requests reach the new incarnation at once. A server whose circuit breaker is
    // open would receive them only if no other server is available.
    let reaches = |number: usize| {
        let id = format!("anew-{number}");
        let reply = fleet.request(0, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.backends[0].run_count(&id) == 1
    };
    assert!((0..20).any(reaches));
}

#[test]
fn verify_a_heartbeat_without_incarnation_is_refused_for_a_server_that_sent_one() {
    let restarts = RestartFleet::start();
    let reply = restarts.fleet.call_daemon(0, &restarts.heartbeat("i-1", true));
    assert_eq!(reply.status, 400, "{}", reply.text());
    restarts.fleet.wait_served(1, &[0]);
}
