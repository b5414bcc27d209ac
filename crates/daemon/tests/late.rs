// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that accept requests and do not answer: repeatable requests are answered by another
//! server in time, and non-repeatable requests are soon sent to other servers.

mod common;

use std::thread;

use basaltarch_core::resources::WorkMode;
use common::registered::{document, route, RegisteredFleet, HOST};
use common::{client, eventually, TestBackend};
use serde_json::json;

/// Starts a fleet and sends requests through all ingresses, so that every ingress knows all
/// servers.
fn start_warmed_up_fleet() -> RegisteredFleet {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    for number in 0..60 {
        let reply = fleet.request(number % 3, "GET", "/safe/x", &format!("known-{number}"));
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    fleet
}

#[test]
fn verify_a_request_at_a_hanging_server_is_answered_by_another() {
    let fleet = start_warmed_up_fleet();
    fleet.backends[0].set_faults(json!({"stuck": true}));
    for number in 0..30 {
        // A request that only the hanging server receives ends with 504 at the route's time-out.
        let reply = fleet.request(number % 3, "GET", "/safe/x", &format!("late-{number}"));
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

#[test]
fn verify_non_repeatable_requests_avoid_a_hanging_server() {
    let fleet = start_warmed_up_fleet();
    fleet.backends[0].set_faults(json!({"stuck": true}));
    eventually("the circuit breaker of the server is open, or the server is ejected", || {
        fleet.request(0, "GET", "/safe/x", "find-out");
        fleet.daemons[0].log_text().contains("upstream doubted")
            || fleet.daemons[0].log_text().contains("upstream ejected")
    });
    let served_requests = (0..20).filter(|number| {
        let reply = fleet.request(0, "POST", "/unsafe/x", &format!("once-{number}"));
        reply.status == 200
    });
    assert!(served_requests.count() >= 18, "other servers have free slots");
}

#[test]
fn verify_the_answer_of_a_slow_attempt_is_used() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    let mut new_document = document(2);
    let mut slow_route = route("r-slow", "/slow/", WorkMode::Repeatable);
    slow_route.rule.objective_ms = 100;
    new_document.routes.push(slow_route);
    fleet.write_document(&new_document);
    eventually("the route is in force", || {
        fleet.request(0, "GET", "/slow/x", "in-force").status != 404
    });
    // One server takes far longer than the objective, and the other server never answers. Whichever
    // server is tried first, an answer comes only from an attempt that continues after the hedging
    // delay.
    fleet.backends[0].set_faults(json!({"slow_rate": 1.0, "slow_factor": 60.0}));
    fleet.backends[1].set_faults(json!({"stuck": true}));
    for number in 0..5 {
        let id = format!("slow-{number}");
        let reply = fleet.request(0, "GET", "/slow/x", &id);
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(fleet.run_count(&id), 1, "the request ran once");
    }
}

/// Returns the timeout in ms that the server received with its last request.
fn read_last_timeout_ms(backend: &TestBackend) -> u64 {
    let head = backend.run_counters()["last_head"].as_str().expect("head").to_owned();
    let timeout_ms =
        head.split("\"deadline-ms\": \"").nth(1).and_then(|rest| rest.split('"').next());
    timeout_ms.expect("a deadline").parse().expect("a number")
}

#[test]
fn verify_a_full_hanging_server_gets_a_shorter_timeout_than_the_route() {
    let fleet = RegisteredFleet::start(1);
    fleet.wait_served(0, &[0]);
    for number in 0..20 {
        assert_eq!(fleet.request(0, "POST", "/unsafe/x", &format!("known-{number}")).status, 200);
    }
    let server = &fleet.backends[0];
    assert!(
        read_last_timeout_ms(server) > 2000,
        "not the whole time-out of the route while slots are free"
    );
    server.set_faults(json!({"stuck": true}));
    // The hanging requests of the first round show that this server also does not answer after a
    // request has exceeded its objective.
    fill_slots(&fleet, 0);
    let timeout_ms = fill_slots(&fleet, 1);
    assert!(
        timeout_ms <= 800,
        "a timeout of {timeout_ms} ms, although the objective of the route is 800 ms"
    );
}

/// Fills the four slots of the first server with one request after another, and waits until all
/// four requests have ended. Returns the timeout in ms that the server received with the last
/// request.
fn fill_slots(fleet: &RegisteredFleet, round: usize) -> u64 {
    let server = &fleet.backends[0];
    let received_count = || server.run_counters()["received"].as_u64().expect("a count");
    let received_before = received_count();
    thread::scope(|scope| {
        for number in 1..=4 {
            let callers = fleet.daemons[0].callers;
            let path = format!("/unsafe/{round}-{number}");
            let headers = [("Host", HOST)];
            scope.spawn(move || client::call(callers, "POST", &path, &headers, "x"));
            eventually("the server has received the request", || {
                received_count() == received_before + number
            });
        }
        read_last_timeout_ms(server)
    })
}
