// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server that says in a response that it is leaving gets no new requests any more, even
//! if its heartbeats do not say so and whatever happens to the daemon beside it.

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use basaltarch_platform::headers::names;
use common::eventually;
use common::forwarder::Forwarder;
use common::load::CallerLoad;
use common::registered::{self, RegisteredFleet};
use serde_json::json;
use test_case::test_case;

/// Number of requests that are sent through each daemon to check that a server gets none of them.
const CHECKED_REQUESTS: usize = 60;

/// Starts three hosts whose first server has said that it is leaving.
fn start_with_leaving_server() -> RegisteredFleet {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    make_first_server_leave(&fleet);
    fleet
}

/// Waits until a response by which the first server is leaving was passed on.
fn make_first_server_leave(fleet: &RegisteredFleet) {
    fleet.backends[0].set_faults(json!({"notices": {names::LEAVING: "1"}}));
    eventually("a response says that the server is leaving", || {
        let before = fleet.backends[0].total_runs();
        (0..3).for_each(|daemon| drop(fleet.request(daemon, "GET", "/safe/x", "notice")));
        fleet.backends[0].total_runs() > before
    });
}

/// Checks that requests are served, and that none of them reaches the first server.
fn check_unused(fleet: &RegisteredFleet) {
    let before = fleet.backends[0].total_runs();
    for number in 0..CHECKED_REQUESTS * fleet.daemons.len() {
        let (daemon, id) = (number % fleet.daemons.len(), format!("away-{number}"));
        let reply = fleet.request(daemon, "POST", "/unsafe/x", &id);
        assert_eq!(reply.status, 200, "{id}: {}", reply.text());
    }
    assert_eq!(fleet.backends[0].total_runs(), before, "nothing reaches a server that is leaving");
}

fn send_ready_heartbeat(fleet: &mut RegisteredFleet) {
    assert_eq!(fleet.send_heartbeat(0, false).status, 200);
}

fn kill_and_restart(fleet: &mut RegisteredFleet) {
    fleet.kill_and_restart(&[]);
    wait_ready(fleet);
}

fn stop_and_restart(fleet: &mut RegisteredFleet) {
    fleet.stop_and_restart(&[]);
    wait_ready(fleet);
}

fn wait_ready(fleet: &mut RegisteredFleet) {
    eventually("the daemon is ready", || fleet.is_ready(0));
    send_ready_heartbeat(fleet);
}

fn freeze(fleet: &mut RegisteredFleet) {
    fleet.daemons[0].signal("-STOP");
    // The other daemons serve meanwhile.
    (1..3).for_each(|daemon| fleet.wait_served(daemon, &[1, 2]));
    fleet.daemons[0].signal("-CONT");
    send_ready_heartbeat(fleet);
}

fn change_configuration(fleet: &mut RegisteredFleet) {
    let mut document = registered::document(2);
    document.services[0].connections += 1;
    fleet.put_in_force(&document);
}

fn drop_service_and_add_it_again(fleet: &mut RegisteredFleet) {
    let mut document = registered::document(2);
    document.services.retain(|service| service.name != registered::SERVICE);
    document.routes.clear();
    fleet.put_in_force(&document);
    fleet.put_in_force(&registered::document(3));
}

fn stop_saying_so(fleet: &mut RegisteredFleet) {
    fleet.backends[0].set_faults(json!({}));
}

#[test_case(&[] ; "by itself")]
#[test_case(&[send_ready_heartbeat] ; "whose heartbeats say that it is ready")]
#[test_case(&[kill_and_restart] ; "beside a daemon that is killed")]
#[test_case(&[kill_and_restart, kill_and_restart] ; "beside a daemon that is killed twice")]
#[test_case(&[stop_and_restart] ; "beside a daemon that stops")]
#[test_case(&[freeze] ; "beside a daemon that is frozen")]
#[test_case(&[change_configuration] ; "of a service that changes")]
#[test_case(&[drop_service_and_add_it_again] ; "of a service that goes and returns")]
#[test_case(&[stop_saying_so, kill_and_restart] ; "that does not say so again")]
fn verify_a_server_that_says_it_is_leaving_gets_no_new_requests(
    interruptions: &[fn(&mut RegisteredFleet)],
) {
    let mut fleet = start_with_leaving_server();
    check_unused(&fleet);
    for interrupt in interruptions {
        interrupt(&mut fleet);
        check_unused(&fleet);
    }
}

#[test_case(true, false ; "from the others to it")]
#[test_case(false, true ; "from it to the others")]
#[test_case(true, true ; "both ways")]
fn verify_a_server_that_says_it_is_leaving_stays_away_over_cuts(forward: bool, backward: bool) {
    let mut fleet = RegisteredFleet::start(3);
    let forwarder = Forwarder::start();
    let advertised = forwarder.address.to_string();
    fleet.kill_and_restart(&[("advertise-peers", &advertised)]);
    forwarder.forward_to(fleet.daemons[0].peers);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    make_first_server_leave(&fleet);
    check_unused(&fleet);
    for _ in 0..2 {
        forwarder.cuts.forward.store(forward, Ordering::SeqCst);
        forwarder.cuts.backward.store(backward, Ordering::SeqCst);
        (1..3).for_each(|daemon| fleet.wait_served(daemon, &[1, 2]));
        forwarder.cuts.forward.store(false, Ordering::SeqCst);
        forwarder.cuts.backward.store(false, Ordering::SeqCst);
        send_ready_heartbeat(&mut fleet);
        check_unused(&fleet);
    }
}

#[test]
fn verify_a_server_that_reported_to_leave_stays_away_after_a_late_heartbeat_to_a_restarted_daemon()
{
    let mut fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    let name = fleet.backends[0].name.clone();
    let late = fleet.build_heartbeat(0, &name, registered::SERVICE, false);
    assert_eq!(fleet.send_heartbeat(0, true).status, 200);
    eventually("the other daemons know", || {
        let known = |daemon: &common::TestDaemon| daemon.log_text().contains("i-1 (draining)");
        fleet.daemons.iter().all(known)
    });
    fleet.daemons[0].kill();
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &[]);
    assert_eq!(fleet.call_daemon(0, &late).status, 200);
    eventually("the daemon is ready", || fleet.is_ready(0));
    check_unused(&fleet);
    assert_eq!(fleet.call_daemon(0, &late).status, 200);
    check_unused(&fleet);
}

#[test]
fn verify_requests_are_refused_at_once_when_every_server_is_leaving() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    for backend in &fleet.backends {
        backend.set_faults(json!({"notices": {names::LEAVING: "1"}}));
    }
    let mut number = 0;
    eventually("both servers are known to leave", || {
        number += 1;
        let reply = fleet.request(number % 2, "GET", "/safe/x", &format!("last-{number}"));
        reply.status == 503
    });
    for number in 0..CHECKED_REQUESTS {
        let id = format!("nowhere-{number}");
        let reply = fleet.request(number % 2, "POST", "/unsafe/x", &id);
        assert_eq!((reply.status, fleet.run_count(&id)), (503, 0), "{}", reply.text());
        assert_eq!(reply.outcome().as_deref(), Some("not-run"));
        assert!(reply.header("retry-after").is_some());
    }
}

/// Number of requests, sent at least 10 ms apart, of which one must be served once the daemon beside
/// the only server is back.
const REQUESTS_UNTIL_SERVED: usize = 1000;

#[test]
fn verify_a_server_is_used_again_once_its_daemon_is_back_from_a_stop() {
    let mut fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    assert_eq!(fleet.deregister(1).status, 200);
    // Requests are running when the daemon is stopped, so that their answers report the stop.
    fleet.backends[0].set_faults(json!({"slow_rate": 1.0, "slow_factor": 300.0}));
    let load = CallerLoad::start(&[fleet.daemons[1].callers], 4, "/safe/x");
    eventually("requests are running", || fleet.daemons[0].metric_sum("slots_used") > 2.0);
    stop_and_restart(&mut fleet);
    load.stop();
    eventually("the other daemon knows that it is back", || {
        fleet.daemons[1].live_member_count() == 2
    });
    let is_served = (0..REQUESTS_UNTIL_SERVED).any(|number| {
        thread::sleep(Duration::from_millis(10));
        let reply = fleet.request(1, "GET", "/safe/x", &format!("only-{number}"));
        reply.status == 200
    });
    assert!(is_served);
}
