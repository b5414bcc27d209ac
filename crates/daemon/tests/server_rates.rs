// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A backend server that names in its responses how many requests per second it takes gets no more
//! than that from all hosts together, for as long as it says so.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use basaltarch_platform::headers::names;
use common::forwarder::Forwarder;
use common::load::{CallerLoad, SentRequest};
use common::registered::{self, RegisteredFleet};
use common::{eventually, TestBackend};
use serde_json::{json, Value};
use test_case::test_case;

/// Time over which the requests to a server are counted, in milliseconds.
const WINDOW_MS: u64 = 4000;
/// Factor by which a server may get more requests in a window than its rate allows.
const EXCESS_FACTOR: f64 = 1.5;
/// Number of requests that a server may get in a window beyond that.
const EXCESS_REQUESTS: f64 = 5.0;
/// Time from the first response with the rate, after which requests count, in milliseconds.
const TOLD_AFTER_MS: u64 = 500;
/// Time for which requests are sent: longer than a window.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Callers at each daemon.
const CALLERS: usize = 4;
/// Flags of a daemon that is stopped while callers keep sending requests.
const SHORT_DRAIN: &[(&str, &str)] = &[("drain-ms", "1000"), ("drain-min-ms", "100")];
/// Interruptions of the same daemon in series.
const INTERRUPTIONS: usize = 4;

fn name_rate(backend: &TestBackend, rate: &str) {
    backend.set_faults(json!({"notices": {names::RATE_LIMIT: rate}}));
}

/// Returns when a server got requests while it named a rate, as it counts the time, in milliseconds.
fn limited_arrivals(backend: &TestBackend) -> Vec<u64> {
    let counters = backend.run_counters();
    let arrivals = counters["noticed_at_ms"].as_array().expect("arrivals");
    let mut arrivals: Vec<u64> = arrivals.iter().filter_map(Value::as_u64).collect();
    arrivals.sort_unstable();
    arrivals
}

/// Returns the arrivals by which all hosts know the rate.
fn told_arrivals(arrivals: &[u64]) -> &[u64] {
    let told_at = arrivals.first().map_or(0, |first| first + TOLD_AFTER_MS);
    &arrivals[arrivals.partition_point(|at| *at < told_at)..]
}

/// Checks that no window holds more requests than the rate allows.
fn check_rate(arrivals: &[u64], per_second: f64) {
    let allowed = EXCESS_FACTOR * per_second * WINDOW_MS as f64 / 1000.0 + EXCESS_REQUESTS;
    for (index, first) in arrivals.iter().enumerate() {
        let count = arrivals[index..].partition_point(|at| *at < first + WINDOW_MS);
        assert!(count as f64 <= allowed, "{count} requests in a window, allowed {allowed}");
    }
}

fn check_all_served(sent: &[SentRequest]) {
    for SentRequest { id, reply } in sent {
        let status = reply.as_ref().map(|reply| reply.status);
        assert_eq!(status, Some(200), "{id}: {:?}", reply.as_ref().map(|reply| reply.text()));
    }
}

fn caller_addresses(fleet: &RegisteredFleet) -> Vec<SocketAddr> {
    fleet.daemons.iter().map(|daemon| daemon.callers).collect()
}

/// Sends requests for [`LOAD_TIME`] and until `is_enough` holds, and returns them.
fn send_load(fleet: &RegisteredFleet, mut is_enough: impl FnMut() -> bool) -> Vec<SentRequest> {
    let load = CallerLoad::start(&caller_addresses(fleet), CALLERS, "/safe/x");
    let began = Instant::now();
    eventually("enough requests were sent", || began.elapsed() >= LOAD_TIME && is_enough());
    load.stop()
}

#[test_case("20", 20.0 ; "a whole number")]
#[test_case("3.1", 3.1 ; "a fraction")]
#[test_case("1", 1.0 ; "one")]
#[test_case("0.5", 0.5 ; "less than one")]
#[test_case("0", 0.0 ; "none")]
fn verify_a_server_gets_no_more_requests_than_the_rate_that_it_names(text: &str, rate: f64) {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    let server = &fleet.backends[0];
    name_rate(server, text);
    let wanted = if rate > 0.0 { 2 } else { 0 };
    let sent = send_load(&fleet, || told_arrivals(&limited_arrivals(server)).len() >= wanted);
    check_rate(told_arrivals(&limited_arrivals(server)), rate);
    check_all_served(&sent);
}

fn kill_and_restart(fleet: &mut RegisteredFleet) {
    fleet.kill_and_restart(SHORT_DRAIN);
}

fn stop_and_restart(fleet: &mut RegisteredFleet) {
    fleet.stop_and_restart(SHORT_DRAIN);
}

fn freeze(fleet: &mut RegisteredFleet) {
    fleet.daemons[0].signal("-STOP");
    // The request waits until its deadline.
    fleet.request(1, "GET", "/safe/x", "meanwhile");
    fleet.daemons[0].signal("-CONT");
}

fn change_configuration(fleet: &mut RegisteredFleet) {
    let version = fleet.daemons[0].revision() + 1;
    let mut document = registered::document(version);
    document.routes[0].rule.timeout_ms += version;
    document.services[0].connections += version as u32;
    fleet.put_in_force(&document);
}

/// Checks that the first server gets no more requests than the rate that it names while `interrupt`
/// interrupts the daemon beside it, several times in series.
fn check_rate_outlasts(
    fleet: &mut RegisteredFleet,
    mut interrupt: impl FnMut(&mut RegisteredFleet),
) {
    fleet.wait_served(1, &[0]);
    // The other servers leave, so that all requests are for the first one. It is slow, so that many
    // requests could start before its first response after the interruption.
    (1..3).for_each(|index| assert_eq!(fleet.deregister(index).status, 200));
    fleet.backends[0].set_faults(json!({
        "notices": {names::RATE_LIMIT: "1"}, "slow_rate": 1.0, "slow_factor": 500.0,
    }));
    // Only requests through daemons that go on running are checked.
    let load = CallerLoad::start(&caller_addresses(fleet)[1..], CALLERS, "/safe/x");
    let wait_for = |fleet: &RegisteredFleet, count: usize| {
        let server = &fleet.backends[0];
        let told_count = || told_arrivals(&limited_arrivals(server)).len();
        let wanted = told_count() + count;
        eventually("the server gets requests", || told_count() >= wanted);
    };
    wait_for(fleet, 2);
    for _ in 0..INTERRUPTIONS {
        interrupt(fleet);
        wait_for(fleet, 1);
    }
    let began = Instant::now();
    eventually("requests were sent for a while", || began.elapsed() >= LOAD_TIME);
    load.stop();
    check_rate(told_arrivals(&limited_arrivals(&fleet.backends[0])), 1.0);
}

#[test_case(kill_and_restart ; "that is killed")]
#[test_case(stop_and_restart ; "that stops")]
#[test_case(freeze ; "that is frozen")]
#[test_case(change_configuration ; "whose configuration changes")]
fn verify_the_rate_outlasts_an_interruption_of_the_daemon_beside_the_server(
    interrupt: fn(&mut RegisteredFleet),
) {
    let mut fleet = RegisteredFleet::start(3);
    kill_and_restart(&mut fleet);
    check_rate_outlasts(&mut fleet, interrupt);
}

#[test_case(true, false ; "from the others to it")]
#[test_case(false, true ; "from it to the others")]
#[test_case(true, true ; "both ways")]
fn verify_the_rate_outlasts_a_cut_of_the_daemon_beside_the_server(forward: bool, backward: bool) {
    let mut fleet = RegisteredFleet::start(3);
    let forwarder = Forwarder::start();
    let advertised = forwarder.address.to_string();
    fleet.kill_and_restart(&[("advertise-peers", &advertised)]);
    forwarder.forward_to(fleet.daemons[0].peers);
    check_rate_outlasts(&mut fleet, |fleet| {
        forwarder.cuts.forward.store(forward, Ordering::SeqCst);
        forwarder.cuts.backward.store(backward, Ordering::SeqCst);
        // The request waits until its deadline.
        fleet.request(1, "GET", "/safe/x", "meanwhile");
        forwarder.cuts.forward.store(false, Ordering::SeqCst);
        forwarder.cuts.backward.store(false, Ordering::SeqCst);
    });
}

#[test]
fn verify_a_rate_that_changes_and_ends_is_followed() {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    let server = &fleet.backends[0];
    name_rate(server, "20");
    send_load(&fleet, || told_arrivals(&limited_arrivals(server)).len() >= 20);
    check_rate(told_arrivals(&limited_arrivals(server)), 20.0);
    let count = limited_arrivals(server).len();
    name_rate(server, "1");
    send_load(&fleet, || told_arrivals(&limited_arrivals(server)[count..]).len() >= 2);
    check_rate(told_arrivals(&limited_arrivals(server)[count..]), 1.0);
    server.set_faults(json!({}));
    let before = server.total_runs();
    send_load(&fleet, || server.total_runs() > before + 100);
}

#[test]
fn verify_a_rate_of_nothing_ends_as_well() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    let server = &fleet.backends[0];
    name_rate(server, "0");
    let sent = send_load(&fleet, || !limited_arrivals(server).is_empty());
    check_rate(told_arrivals(&limited_arrivals(server)), 0.0);
    check_all_served(&sent);
    server.set_faults(json!({}));
    let before = server.total_runs();
    send_load(&fleet, || server.total_runs() > before + 100);
}

#[test_case("ten" ; "a word")]
#[test_case("-3" ; "below zero")]
#[test_case("NaN" ; "not a number")]
#[test_case("5, 7" ; "a list")]
fn verify_an_unreadable_rate_leaves_the_rate_in_force(text: &str) {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    let server = &fleet.backends[0];
    // Without a rate in force, the server goes on being used.
    name_rate(server, text);
    send_load(&fleet, || limited_arrivals(server).len() > 100);
    name_rate(server, "1");
    let is_limited = || fleet.daemons[0].log_text().contains("server rate limited");
    send_load(&fleet, is_limited);
    let count = limited_arrivals(server).len();
    name_rate(server, text);
    let sent = send_load(&fleet, || limited_arrivals(server).len() >= count + 2);
    check_rate(&limited_arrivals(server)[count..], 1.0);
    check_all_served(&sent);
    let log = fleet.daemons[0].log_text();
    let unreadable_count = log.matches("server rate unreadable").count();
    assert_eq!(unreadable_count, 2, "logged when it begins, not with each response");
}

#[test]
fn verify_requests_beyond_the_rates_of_all_servers_are_refused_at_once() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    fleet.backends.iter().for_each(|server| name_rate(server, "2"));
    let sent = send_load(&fleet, || {
        fleet.backends.iter().all(|server| told_arrivals(&limited_arrivals(server)).len() >= 4)
    });
    for server in &fleet.backends {
        check_rate(told_arrivals(&limited_arrivals(server)), 2.0);
    }
    let counters: Vec<Value> = fleet.backends.iter().map(TestBackend::run_counters).collect();
    for SentRequest { id, reply } in &sent {
        let reply = reply.as_ref().expect("a reply");
        let runs: u64 = counters.iter().filter_map(|each| each["by_id"][id].as_u64()).sum();
        match reply.status {
            200 => assert_eq!(runs, 1, "{id}"),
            _ => {
                assert_eq!((reply.status, runs), (503, 0), "{id}: {}", reply.text());
                assert_eq!(reply.outcome().as_deref(), Some("not-run"));
                assert!(reply.header("retry-after").is_some());
            }
        }
    }
    assert!(sent.iter().any(|each| each.reply.as_ref().is_some_and(|reply| reply.status == 503)));
}

/// The second server's circuit breaker is open, and its daemon declines a request for the sake of the
/// first server, of whose rate the ingress has not heard.
#[test]
fn verify_a_request_returns_to_the_server_that_declined_it_for_a_limited_one() {
    let mut fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    name_rate(&fleet.backends[0], "0");
    eventually("the rate is in force", || {
        fleet.request(0, "GET", "/safe/x", "before");
        fleet.daemons[0].log_text().contains("server rate limited")
    });
    fleet.daemons.push(fleet.start_daemon("host-c", "bkk-b", &[]));
    let ingress = &fleet.daemons[2];
    eventually("the ingress knows both servers", || {
        let log = ingress.log_text();
        ["i-1", "i-2"].iter().all(|server| log.contains(&format!("\"servers\":\"{server}\"")))
    });
    fleet.backends[1].set_faults(json!({"status": 500}));
    eventually("the circuit breaker opens", || {
        fleet.request(1, "POST", "/unsafe/x", "failing");
        fleet.daemons[1].log_text().contains("upstream doubted")
    });
    fleet.backends[1].set_faults(json!({}));
    let reply = fleet.request(2, "POST", "/unsafe/x", "after");
    assert_eq!(reply.status, 200, "{}", reply.text());
}
