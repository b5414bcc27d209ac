// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server that restarts under its name is a new incarnation. Messages of the previous
//! incarnation are ignored, and failures of the previous incarnation no longer count.

mod common;

use basaltarch_platform::headers;
use basaltarch_platform::rows::StoreCall;
use common::forwarder::Forwarder;
use common::registered::{self, RegisteredFleet, SERVICE};
use common::{eventually, TestBackend};
use serde_json::json;
use test_case::test_case;

/// Name in the heartbeats of the first backend server before its restart.
const OLD_INCARNATION: &str = "i-1#a";
/// Name in the heartbeats of the first backend server after its restart.
const NEW_INCARNATION: &str = "i-1#b";

/// A fleet whose first backend server has registered as [`OLD_INCARNATION`].
struct RestartFleet {
    fleet: RegisteredFleet,
}

impl RestartFleet {
    fn start() -> Self {
        let restart_fleet = Self { fleet: RegisteredFleet::start(2) };
        restart_fleet.send_heartbeat(OLD_INCARNATION, false);
        restart_fleet.fleet.wait_served(1, &[0, 1]);
        restart_fleet
    }

    fn build_heartbeat(&self, name: &str, draining: bool) -> StoreCall {
        self.fleet.build_heartbeat(0, name, SERVICE, draining)
    }

    fn send_heartbeat(&self, name: &str, draining: bool) {
        self.send_call(&self.build_heartbeat(name, draining));
    }

    fn send_call(&self, call: &StoreCall) {
        assert_eq!(self.fleet.call_daemon(0, call).status, 200);
    }

    /// Simulates a restart of the first backend server: the sequence numbers of heartbeats begin at
    /// 1 again, and the server registers as [`NEW_INCARNATION`].
    fn restart_first_server(&self) {
        self.fleet.reset_sequence();
        self.send_heartbeat(NEW_INCARNATION, false);
    }

    /// Returns how often the first daemon has logged a registration under this name.
    fn registration_count(&self, name: &str) -> usize {
        let text = self.fleet.daemons[0].log_text();
        let quoted_name = format!("\"{name}\"");
        let is_event = |line: &&str| line.contains("backend server registered");
        text.lines().filter(is_event).filter(|line| line.contains(&quoted_name)).count()
    }
}

#[test_case(|_| {} ; "crashed without a message")]
#[test_case(|each| each.send_heartbeat(OLD_INCARNATION, true) ; "sent a drain notice")]
#[test_case(|each| each.send_call(&registered::build_deregistration(OLD_INCARNATION)) ; "deregistered")]
#[test_case(|each| each.send_call(&registered::build_deregistration("i-1")) ; "deregistered without its incarnation")]
fn verify_a_server_restarted_under_its_name_receives_requests(
    end_old_incarnation: fn(&RestartFleet),
) {
    let restart_fleet = RestartFleet::start();
    end_old_incarnation(&restart_fleet);
    restart_fleet.restart_first_server();
    eventually("the new incarnation is known", || {
        restart_fleet.registration_count(NEW_INCARNATION) == 1
    });
    restart_fleet.fleet.wait_served(0, &[0, 1]);
    restart_fleet.fleet.wait_served(1, &[0, 1]);
}

#[test_case(|each| each.build_heartbeat(OLD_INCARNATION, false) ; "a heartbeat")]
#[test_case(|each| each.build_heartbeat(OLD_INCARNATION, true) ; "a drain notice")]
#[test_case(|_| registered::build_deregistration(OLD_INCARNATION) ; "a deregistration")]
fn verify_late_messages_of_the_previous_incarnation_are_ignored(
    late_call: fn(&RestartFleet) -> StoreCall,
) {
    let restart_fleet = RestartFleet::start();
    let late_call = late_call(&restart_fleet);
    restart_fleet.restart_first_server();
    restart_fleet.send_call(&late_call);
    let registration_count = || {
        (
            restart_fleet.registration_count(OLD_INCARNATION),
            restart_fleet.registration_count(NEW_INCARNATION),
        )
    };
    // A separate thread writes the log, so the last lines of the log may be delayed.
    eventually("each incarnation is registered once", || registration_count() == (1, 1));
    restart_fleet.fleet.wait_served(0, &[0]);
    restart_fleet.fleet.wait_served(1, &[0]);
    assert_eq!(registration_count(), (1, 1), "the late message registered nothing");
}

#[test]
fn verify_a_restarted_daemon_uses_the_later_incarnation_in_any_order() {
    let mut restart_fleet = RestartFleet::start();
    let late_call = restart_fleet.build_heartbeat(OLD_INCARNATION, true);
    restart_fleet.fleet.daemons[0].kill();
    restart_fleet.fleet.daemons[0] = restart_fleet.fleet.start_daemon("host-a", "bkk-a", &[]);
    restart_fleet.send_call(&late_call);
    restart_fleet.restart_first_server();
    restart_fleet.send_call(&late_call);
    restart_fleet.fleet.wait_served(0, &[0, 1]);
    restart_fleet.fleet.wait_served(1, &[0, 1]);
}

#[test]
fn verify_an_incarnation_started_in_a_store_outage_is_known_after_it() {
    let restart_fleet = RestartFleet::start();
    restart_fleet.fleet.platform.set_faults(json!({"busy": true}));
    restart_fleet.send_heartbeat(OLD_INCARNATION, true);
    restart_fleet.restart_first_server();
    restart_fleet.fleet.wait_served(0, &[0]);
    restart_fleet.fleet.platform.set_faults(json!({}));
    restart_fleet.fleet.wait_served(1, &[0, 1]);
}

#[test]
fn verify_failures_of_an_incarnation_do_not_count_against_the_next() {
    let restart_fleet = RestartFleet::start();
    let fleet = &restart_fleet.fleet;
    fleet.backends[0].set_faults(json!({"stuck": true}));
    eventually("the circuit breaker of the server is open, or the server is ejected", || {
        fleet.request(0, "GET", "/safe/x", "find-out");
        let text = fleet.daemons[0].log_text();
        text.contains("upstream doubted") || text.contains("upstream ejected")
    });
    fleet.backends[0].set_faults(json!({}));
    restart_fleet.restart_first_server();
    // Non-repeatable requests reach the new incarnation at once. A server whose circuit breaker is
    // open would receive them only if no other server is available.
    let reaches_new_incarnation = |number: usize| {
        let id = format!("anew-{number}");
        let reply = fleet.request(0, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.backends[0].run_count(&id) == 1
    };
    assert!((0..20).any(reaches_new_incarnation));
}

#[test]
fn verify_a_heartbeat_without_incarnation_is_refused_for_a_server_that_sent_one() {
    let restart_fleet = RestartFleet::start();
    let reply = restart_fleet.fleet.call_daemon(0, &restart_fleet.build_heartbeat("i-1", true));
    assert_eq!(reply.status, 400, "{}", reply.text());
    restart_fleet.fleet.wait_served(1, &[0]);
}

/// When a whole fleet restarts, an ingress still knows the servers by their earlier names.
#[test]
fn verify_a_request_under_an_earlier_name_runs_at_the_server_that_replaced_it() {
    let mut fleet = RegisteredFleet::start(1);
    // The second daemon, without a server, learns nothing after the store is black-holed.
    let store_forwarder = Forwarder::start();
    store_forwarder.forward_to(fleet.platform.address);
    let unreachable = common::closed_address().to_string();
    let flags = [("heartbeat-ms", "600000"), ("advertise-peers", unreachable.as_str())];
    fleet.daemons.push(fleet.start_daemon_at(store_forwarder.address, "host-b", "bkk-b", &flags));
    fleet.wait_served(1, &[0]);
    store_forwarder.black_hole();
    let fields = headers::exchange_fields();
    fleet.backends.push(TestBackend::start_at(common::loopback_address(), "i-9", 1, fields));
    let address = fleet.backends[1].address;
    let heartbeat = fleet.build_heartbeat_from(address, "i-9", SERVICE, false);
    assert_eq!(fleet.call_daemon(0, &heartbeat).status, 200);
    assert_eq!(fleet.deregister(0).status, 200);
    let reply = fleet.request(1, "POST", "/unsafe/x", "renamed");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!((fleet.backends[0].run_count("renamed"), fleet.run_count("renamed")), (0, 1));
    let servers = fleet.daemons[1].get("/v1/backend-servers").to_string();
    assert!(!servers.contains("i-9"), "the ingress must not know the new name: {servers}");
}

// Guards against a heartbeat that comes after its sender has ended, and removes for good the server
// that listens at its address since.
#[test_case("i-0", SERVICE, false ; "of an incarnation that nobody knew")]
#[test_case("i-0", "other-app", false ; "of another service")]
#[test_case("i-0", "other-app", true ; "of another service, draining")]
fn verify_a_late_heartbeat_at_a_reused_address_displaces_no_live_server(
    name: &str,
    service: &str,
    draining: bool,
) {
    let fleet = RegisteredFleet::start(2);
    fleet.wait_served(1, &[0, 1]);
    fleet.send_heartbeat_as(0, name, service, draining);
    assert_eq!(fleet.send_heartbeat(0, false).status, 200);
    let mut number = 0;
    eventually("the live server gets requests", || {
        number += 1;
        let id = format!("after-{number}");
        fleet.request(1, "GET", "/safe/x", &id);
        fleet.backends[0].run_count(&id) > 0
    });
    let text = fleet.daemons[0].log_text();
    let is_displaced =
        |line: &str| line.contains("backend server gone") && line.contains("\"i-1\"");
    assert!(!text.lines().any(is_displaced), "the live server is displaced");
}
