// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Drain of daemons and backend servers: a drain interrupts no running request unless the longest
//! drain is over, and a draining backend server receives no new requests.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use common::{client, eventually, FleetPlan, TestDaemon, TestFleet};
use serde_json::json;
use test_case::test_case;

/// Starts a thread that sends requests one after another until `stop` is set. The thread returns
/// the number of requests and the replies other than a complete 200.
fn spawn_load(
    callers: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<(usize, Vec<String>)> {
    thread::spawn(move || {
        let mut failures = Vec::new();
        let mut count = 0;
        while !stop.load(Ordering::SeqCst) {
            let headers = [("Host", "solver.example"), ("x-work-ms", "30")];
            let reply = client::try_call(callers, "GET", "/plain", &headers, "");
            count += 1;
            match reply {
                Some(reply) if reply.status == 200 && reply.complete => {}
                failure => failures.push(format!("{failure:?}")),
            }
        }
        (count, failures)
    })
}

#[test]
fn verify_a_planned_stop_of_a_daemon_interrupts_no_request() {
    let mut fleet =
        TestFleet::start(&FleetPlan { daemons: 3, backends: 6, ..FleetPlan::default() });
    let stop = Arc::new(AtomicBool::new(false));
    let load_threads: Vec<_> =
        (0..12).map(|number| spawn_load(fleet.daemons[number % 2].callers, stop.clone())).collect();
    // Sends a long request to the daemon that is then stopped.
    let callers = fleet.daemons[2].callers;
    let long_request = thread::spawn(move || {
        let headers = [("Host", "solver.example"), ("x-work-ms", "1500"), ("x-request-id", "long")];
        client::call(callers, "POST", "/plain", &headers, "x")
    });
    eventually("the long request runs", || fleet.run_count("long") == 1);
    fleet.daemons[2].signal("-TERM");
    let status = fleet.daemons[2].wait_exit();
    assert_eq!(status.code(), Some(0));
    assert_eq!(long_request.join().expect("join").status, 200);
    let total_runs_of = |fleet: &TestFleet| -> u64 {
        [2, 5].iter().map(|index| fleet.backends[*index].total_runs()).sum()
    };
    let total_after_stop = total_runs_of(&fleet);
    let runs_before_stop = fleet.backends[0].total_runs();
    eventually("load continues", || fleet.backends[0].total_runs() > runs_before_stop + 20);
    assert_eq!(
        total_runs_of(&fleet),
        total_after_stop,
        "no new requests for the servers of the daemon that stopped"
    );
    stop.store(true, Ordering::SeqCst);
    for load in load_threads {
        let (count, failures) = load.join().expect("join");
        assert!(count > 0);
        assert!(failures.is_empty(), "{failures:?}");
    }
    fleet.daemons.truncate(2);
    fleet.check_invariants();
}

#[test]
fn verify_a_kept_alive_connection_is_served_and_closed_while_its_daemon_stops() {
    use std::io::{Read, Write};
    let flags = vec![("drain-min-ms", "5s")];
    let plan = FleetPlan { daemons: 2, backends: 2, daemon_flags: flags, ..FleetPlan::default() };
    let mut fleet = TestFleet::start(&plan);
    let mut keep_alive = client::connect(fleet.daemons[0].callers);
    fleet.daemons[0].signal("-TERM");
    eventually("the daemon is leaving", || !fleet.daemons[0].is_ready());
    // Requests on the kept-alive connection and on a new connection are both served, as callers
    // learn only after some time that a daemon is leaving.
    keep_alive.write_all(b"GET /plain HTTP/1.1\r\nHost: solver.example\r\n\r\n").expect("write");
    let mut answer = String::new();
    keep_alive.read_to_string(&mut answer).expect("an answer, then the end of the connection");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    let reply = fleet.request(0, "GET", "/plain", &[], "");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
}

#[test]
fn verify_an_interrupt_ends_a_stop_at_once_and_logs_the_aborted_requests() {
    let mut fleet =
        TestFleet::start(&FleetPlan { daemons: 1, backends: 1, ..FleetPlan::default() });
    let callers = fleet.daemons[0].callers;
    let request = thread::spawn(move || {
        let headers = [("Host", "solver.example"), ("x-work-ms", "20000"), ("x-request-id", "cut")];
        client::try_call(callers, "POST", "/plain", &headers, "x")
    });
    eventually("the request runs", || fleet.run_count("cut") == 1);
    fleet.daemons[0].signal("-TERM");
    eventually("the daemon is leaving", || fleet.daemons[0].log_text().contains("\"leaving\""));
    assert!(fleet.daemons[0].is_running());
    fleet.daemons[0].signal("-INT");
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(3));
    assert!(fleet.daemons[0].log_text().contains("requests cut"));
    assert!(request.join().expect("join").is_none());
}

fn stop_by_signal(daemon: &TestDaemon) {
    daemon.signal("-TERM");
}

fn stop_by_call(daemon: &TestDaemon) {
    assert_eq!(daemon.call("POST", "/v1/drain", &[], "").status, 202);
}

#[test_case(stop_by_signal ; "by signals")]
#[test_case(stop_by_call ; "by a call before the signal")]
fn verify_a_daemon_that_is_asked_to_stop_twice_interrupts_no_request(
    request_stop: fn(&TestDaemon),
) {
    let mut fleet =
        TestFleet::start(&FleetPlan { daemons: 1, backends: 1, ..FleetPlan::default() });
    let callers = fleet.daemons[0].callers;
    let request = thread::spawn(move || {
        let headers =
            [("Host", "solver.example"), ("x-work-ms", "3000"), ("x-request-id", "whole")];
        client::call(callers, "POST", "/plain", &headers, "x")
    });
    eventually("the request runs", || fleet.run_count("whole") == 1);
    request_stop(&fleet.daemons[0]);
    eventually("the daemon is leaving", || fleet.daemons[0].log_text().contains("\"leaving\""));
    fleet.daemons[0].signal("-TERM");
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
    assert_eq!(request.join().expect("join").status, 200);
}

#[test]
fn verify_a_long_drain_is_bounded_and_pending_requests_are_answered() {
    let plan = FleetPlan {
        daemons: 1,
        backends: 1,
        daemon_flags: vec![("drain-ms", "700")],
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    let request = thread::spawn(move || {
        let headers =
            [("Host", "solver.example"), ("x-work-ms", "20000"), ("x-request-id", "late")];
        client::try_call(callers, "POST", "/plain", &headers, "x")
    });
    eventually("the request runs", || fleet.run_count("late") == 1);
    fleet.daemons[0].signal("-TERM");
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(3));
    let reply = request.join().expect("join").expect("an answer, not a closed connection");
    assert_eq!(reply.status, 504);
    assert_eq!(
        reply.header("basaltarch-outcome").as_deref(),
        Some("unknown"),
        "the request may have run"
    );
    assert_eq!(
        reply.reason().as_deref(),
        Some("daemon-stopped"),
        "the deadline of the request has not passed"
    );
    let log = fleet.daemons[0].log_text();
    assert!(log.contains("\"request given up\""), "{log}");
    assert!(log.contains("\"cause\":\"time\""), "{log}");
}

#[test]
fn verify_a_draining_backend_server_receives_no_new_requests_and_finishes_running_ones() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 2, backends: 4, ..FleetPlan::default() });
    let mut server = fleet.daemons[0].get("/v1/backend-servers/server-1");
    let callers = fleet.daemons[0].callers;
    let threads: Vec<_> = (0..8)
        .map(|number| {
            thread::spawn(move || {
                let id = format!("slow-{number}");
                let headers =
                    [("Host", "solver.example"), ("x-work-ms", "1200"), ("x-request-id", &id)];
                client::call(callers, "POST", "/plain", &headers, "x").status
            })
        })
        .collect();
    eventually("server-1 runs requests", || fleet.backends[0].total_runs() > 0);
    server["state"] = json!("draining");
    let reply = fleet.daemons[1].call(
        "PUT",
        "/v1/backend-servers/server-1",
        &[("If-Match", "*")],
        &server.to_string(),
    );
    assert_eq!(reply.status, 200, "{}", reply.text());
    fleet.wait_revision(2);
    let received_count = fleet.backends[0].run_counters()["received"].as_u64().expect("count");
    for number in 0..60 {
        assert_eq!(fleet.request(number % 2, "GET", "/puzzle", &[], "").status, 200);
    }
    assert_eq!(fleet.backends[0].run_counters()["received"].as_u64(), Some(received_count));
    for thread in threads {
        assert_eq!(thread.join().expect("join"), 200);
    }
}

#[test]
fn verify_a_backend_server_that_sends_a_drain_notice_receives_no_new_requests() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 2, backends: 4, ..FleetPlan::default() });
    fleet.backends[1].set_faults(json!({"drain": true}));
    let received_count =
        |fleet: &TestFleet| fleet.backends[1].run_counters()["received"].as_u64().expect("count");
    eventually("a server answers with its drain notice", || {
        assert_eq!(fleet.request(1, "GET", "/puzzle", &[], "").status, 200);
        received_count(&fleet) > 0
    });
    let received_by_notice = received_count(&fleet);
    for number in 0..60 {
        assert_eq!(fleet.request(number % 2, "GET", "/puzzle", &[], "").status, 200);
    }
    assert_eq!(received_count(&fleet), received_by_notice);
}
