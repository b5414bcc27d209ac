// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that take work and do not answer: repeatable work is answered by another in time, and what
//! must not be repeated soon goes elsewhere.

mod common;

use std::thread;

use basaltarch_core::resources::WorkMode;
use common::registered::{document, route, RegisteredFleet, HOST};
use common::{client, eventually, TestBackend};
use serde_json::json;

/// Starts a fleet whose servers are known to its ingresses.
fn known_fleet() -> RegisteredFleet {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    for number in 0..60 {
        let reply = fleet.request(number % 3, "GET", "/safe/x", &format!("known-{number}"));
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    fleet
}

#[test]
fn verify_work_at_a_server_that_hangs_is_answered_by_another() {
    let fleet = known_fleet();
    fleet.backends[0].faults(json!({"stuck": true}));
    for number in 0..30 {
        // A server that hangs answers nothing before the route's time-out, which ends with 504.
        let reply = fleet.request(number % 3, "GET", "/safe/x", &format!("late-{number}"));
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

#[test]
fn verify_what_must_not_be_repeated_leaves_a_server_that_hangs() {
    let fleet = known_fleet();
    fleet.backends[0].faults(json!({"stuck": true}));
    eventually("its daemon doubts it", || {
        fleet.request(0, "GET", "/safe/x", "find-out");
        fleet.daemons[0].log_text().contains("upstream doubted")
            || fleet.daemons[0].log_text().contains("upstream ejected")
    });
    let served = (0..20).filter(|number| {
        let reply = fleet.request(0, "POST", "/unsafe/x", &format!("once-{number}"));
        reply.status == 200
    });
    assert!(served.count() >= 18, "others have room");
}

#[test]
fn verify_a_late_attempt_that_answers_after_all_is_not_thrown_away() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    let mut wanted = document(2);
    let mut slow = route("r-slow", "/slow/", WorkMode::Repeatable);
    slow.rule.objective_ms = 100;
    wanted.routes.push(slow);
    fleet.write(&wanted);
    eventually("the route is in force", || {
        fleet.request(0, "GET", "/slow/x", "in-force").status != 404
    });
    // One server takes far longer than is wished for, the other never answers: only an attempt that
    // goes on although it is late gets an answer, wherever the first one went.
    fleet.backends[0].faults(json!({"slow_rate": 1.0, "slow_factor": 60.0}));
    fleet.backends[1].faults(json!({"stuck": true}));
    for number in 0..5 {
        let id = format!("slow-{number}");
        let reply = fleet.request(0, "GET", "/slow/x", &id);
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(fleet.ran(&id), 1, "it ran to its end once");
    }
}

/// Returns the time in ms that the server was given for the request that it read last.
fn given_ms(backend: &TestBackend) -> u64 {
    let head = backend.runs()["last_head"].as_str().expect("head").to_owned();
    let given = head.split("\"deadline-ms\": \"").nth(1).and_then(|rest| rest.split('"').next());
    given.expect("a deadline").parse().expect("a number")
}

#[test]
fn verify_a_full_server_is_given_the_time_that_sound_work_needs() {
    let fleet = RegisteredFleet::start(1);
    fleet.wait_served(0, &[0]);
    for number in 0..20 {
        assert_eq!(fleet.request(0, "POST", "/unsafe/x", &format!("known-{number}")).status, 200);
    }
    let server = &fleet.backends[0];
    assert!(given_ms(server) > 2000, "all of the route's time while slots are free");
    server.faults(json!({"stuck": true}));
    // What hangs in the first round shows that long work here is not answered late.
    fill(&fleet, 0);
    let given = fill(&fleet, 1);
    assert!(given <= 800, "{given} ms, though its objective is 800 ms");
}

/// Sends work for all four slots of the first server, one piece after the other, and waits for its ends.
/// Returns the time in ms that the server was given for the last, which made it full.
fn fill(fleet: &RegisteredFleet, round: usize) -> u64 {
    let server = &fleet.backends[0];
    let received = || server.runs()["received"].as_u64().expect("a count");
    let before = received();
    thread::scope(|scope| {
        for number in 1..=4 {
            let callers = fleet.daemons[0].callers;
            let path = format!("/unsafe/{round}-{number}");
            let headers = [("Host", HOST)];
            scope.spawn(move || client::call(callers, "POST", &path, &headers, "x"));
            eventually("the server works on it", || received() == before + number);
        }
        given_ms(server)
    })
}
