// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The phases of a graceful shutdown: which requests a daemon admits, refuses and waits for in each
//! phase.

mod common;

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::client;
use common::stops::{self, StopRequest};
use common::{eventually, FleetPlan, TestFleet};
use serde_json::{json, Value};

/// Returns flags for a stop that admits new requests for 4 s, gives up pending requests after 7.7 s
/// and ends after 8 s.
fn stop_flags() -> Vec<(&'static str, &'static str)> {
    vec![("drain-ms", "8000"), ("drain-min-ms", "500")]
}

/// Returns routes with a time-out of 60 s, which is longer than any stop of these tests.
fn long_timeout_routes() -> Value {
    json!({
        "any": {"host": "solver.example", "path_prefix": "/", "service": "solver-app",
                "mode": "repeatable", "timeout_ms": 60000},
        "plain": {"host": "solver.example", "path_prefix": "/plain", "service": "solver-app",
                  "timeout_ms": 60000},
        "payouts": {"host": "solver.example", "path_prefix": "/payouts", "mode": "once",
                    "service": "solver-app", "timeout_ms": 60000},
    })
}

#[test]
fn verify_a_daemon_paused_past_its_drain_admits_nothing_that_it_gives_up() {
    const LONGEST_DRAIN: Duration = Duration::from_secs(3);
    let stop_flags = vec![("drain-ms", "3000"), ("drain-min-ms", "2000")];
    let mut fleet =
        TestFleet::start(&FleetPlan { daemon_flags: stop_flags, ..FleetPlan::default() });
    let callers = fleet.daemons[0].callers;
    let mut keep_alive: Vec<TcpStream> = (0..4).map(|_| client::connect(callers)).collect();
    for (number, stream) in keep_alive.iter_mut().enumerate() {
        let reply = stops::send_request(stream, &format!("before-{number}"), "0");
        assert_eq!(reply.map(|reply| reply.status), Some(200));
    }
    stops::request_stop(&fleet.daemons[0]);
    let stop_requested_at = Instant::now();
    fleet.daemons[0].signal("-STOP");
    for (number, stream) in keep_alive.iter_mut().enumerate() {
        stops::write_request(stream, &format!("slept-{number}"), "1000").expect("write");
    }
    eventually("the longest drain is over", || stop_requested_at.elapsed() > LONGEST_DRAIN);
    fleet.daemons[0].signal("-CONT");
    for (number, stream) in keep_alive.iter_mut().enumerate() {
        let reply = client::read_reply(stream, "POST");
        StopRequest { id: format!("slept-{number}"), reply }.check_runs(&fleet);
    }
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
}

#[test]
fn verify_a_request_with_an_incomplete_body_is_refused_when_the_stop_closes() {
    let stop_flags = vec![("drain-ms", "3000"), ("drain-min-ms", "500")];
    let mut fleet =
        TestFleet::start(&FleetPlan { daemon_flags: stop_flags, ..FleetPlan::default() });
    let mut stream = client::connect(fleet.daemons[0].callers);
    let head = "POST /plain HTTP/1.1\r\nHost: solver.example\r\nx-request-id: slow\r\n";
    stream.write_all(format!("{head}Content-Length: 4\r\n\r\nab").as_bytes()).expect("write");
    eventually("the head of the request was read", || {
        fleet.daemons[0].metric_sum("in_flight") > 0.0
    });
    stops::request_stop(&fleet.daemons[0]);
    let reply = client::read_reply(&mut stream, "POST").expect("a refusal");
    assert_eq!((reply.status, reply.reason().as_deref()), (503, Some("draining")));
    assert_eq!(fleet.run_count("slow"), 0);
    drop(stream);
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
}

#[test]
fn verify_a_closed_stop_admits_nested_calls_of_running_requests() {
    let plan = FleetPlan {
        daemon_flags: stop_flags(),
        routes: long_timeout_routes(),
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    let sending: Vec<_> = (0..2)
        .map(|number| {
            thread::spawn(move || {
                let mut stream = client::connect(callers);
                stops::send_request(&mut stream, &format!("work-{number}"), "6000")
            })
        })
        .collect();
    eventually("all requests run", || {
        fleet.backends[0].total_runs() + fleet.backends[1].total_runs() == 2
    });
    let runs_at_first_server =
        |number: &usize| fleet.backends[0].run_count(&format!("work-{number}")) == 1;
    let parent_number = (0..2)
        .find(runs_at_first_server)
        .expect("one of the requests runs at the first backend server");
    stops::request_stop(&fleet.daemons[0]);
    stops::wait_event(&fleet.daemons[0], "closed");
    let mut stream = client::connect(fleet.daemons[0].callers);
    let nested_reply = stops::send_request(&mut stream, &format!("work-{parent_number}.1"), "0")
        .expect("an answer");
    assert_eq!(nested_reply.status, 200, "{}", nested_reply.text());
    let mut stream = client::connect(fleet.daemons[0].callers);
    let unrelated_reply = stops::send_request(&mut stream, "other", "0").expect("an answer");
    assert_eq!(
        (unrelated_reply.status, fleet.run_count("other")),
        (503, 0),
        "{}",
        unrelated_reply.text()
    );
    for sending in sending {
        let reply = sending.join().expect("join").expect("an answer");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
}

#[test]
fn verify_only_queued_requests_that_must_end_in_time_run_after_handing_over() {
    let plan = FleetPlan {
        backends: 1,
        slots: 1,
        daemon_flags: vec![("drain-ms", "20000"), ("drain-min-ms", "500")],
        routes: long_timeout_routes(),
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[1].callers;
    let mut holding_stream = client::connect(callers);
    stops::write_request(&mut holding_stream, "holds", "6000").expect("write");
    eventually("the request runs", || fleet.run_count("holds") == 1);
    let mut long_stream = client::connect(callers);
    stops::write_request(&mut long_stream, "long", "200").expect("write");
    eventually("the request with the long deadline is queued", || {
        fleet.daemons[0].metric_sum("queued") == 1.0
    });
    let mut short_stream = client::connect(callers);
    let headers = [
        ("Host", "solver.example"),
        ("x-work-ms", "200"),
        ("x-request-id", "short"),
        ("basaltarch-deadline-ms", "15000"),
    ];
    let text = client::request_text("POST", "/plain", &headers, "x");
    short_stream.write_all(text.as_bytes()).expect("write");
    eventually("both requests are queued", || fleet.daemons[0].metric_sum("queued") == 2.0);
    stops::request_stop(&fleet.daemons[0]);
    let reply = client::read_reply(&mut long_stream, "POST").expect("a refusal");
    assert_eq!(
        (reply.status, fleet.run_count("long")),
        (503, 0),
        "the deadline of the request, 60 s, is after the end of the stop"
    );
    for (id, mut stream) in [("holds", holding_stream), ("short", short_stream)] {
        let reply = client::read_reply(&mut stream, "POST");
        assert_eq!(reply.map(|reply| reply.status), Some(200), "{id}");
    }
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
}

#[test]
fn verify_an_available_answer_is_sent_when_the_stop_gives_up() {
    let plan = FleetPlan {
        daemons: 3,
        backends: 3,
        daemon_flags: stop_flags(),
        routes: long_timeout_routes(),
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    for backend in &fleet.backends {
        backend.set_faults(json!({"error_rate": 1.0}));
    }
    let mut stream = client::connect(fleet.daemons[0].callers);
    stops::request_stop(&fleet.daemons[0]);
    // The first attempt gets a server error after 5 s. The retry then runs until the daemon gives
    // up pending requests.
    let headers = [("Host", "solver.example"), ("x-work-ms", "5000"), ("x-request-id", "again")];
    let text = client::request_text("GET", "/puzzle", &headers, "");
    stream.write_all(text.as_bytes()).expect("write");
    let reply = client::read_reply(&mut stream, "GET").expect("an answer");
    assert_eq!(reply.status, 500, "{}", reply.text());
    assert_eq!(fleet.run_count("again"), 2, "both the first attempt and the retry ran");
    fleet.daemons[0].wait_exit();
}

#[test]
fn verify_reloaded_settings_do_not_change_a_running_stop() {
    let path = std::env::temp_dir().join(format!("basaltarch-stop-{}.conf", std::process::id()));
    fs::write(&path, "drain-min-ms = 500\n").expect("settings");
    let config: &'static str = path.to_str().expect("path").to_owned().leak();
    let stop_flags = vec![("config", config)];
    let mut fleet =
        TestFleet::start(&FleetPlan { daemon_flags: stop_flags, ..FleetPlan::default() });
    let mut stream = client::connect(fleet.daemons[0].callers);
    stops::request_stop(&fleet.daemons[0]);
    stops::write_request(&mut stream, "whole", "3000").expect("write");
    eventually("the request runs", || fleet.run_count("whole") == 1);
    fs::write(&path, "drain-min-ms = 500\nkill-after-ms = 1200\n").expect("settings");
    fleet.daemons[0].signal("-HUP");
    stops::wait_event(&fleet.daemons[0], "settings in force");
    let reply = client::read_reply(&mut stream, "POST").expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
    let _ = fs::remove_file(&path);
}

#[test]
fn verify_a_refusal_is_sent_although_the_store_does_not_answer() {
    let plan = FleetPlan {
        backends: 1,
        slots: 1,
        daemon_flags: stop_flags(),
        routes: long_timeout_routes(),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(&plan);
    let mut holding_stream = client::connect(fleet.daemons[1].callers);
    stops::write_request(&mut holding_stream, "holds", "18000").expect("write");
    eventually("the request runs", || fleet.run_count("holds") == 1);
    let mut waiting_stream = client::connect(fleet.daemons[1].callers);
    let headers =
        [("Host", "solver.example"), ("Idempotency-Key", "once"), ("x-request-id", "once")];
    let text = client::request_text("POST", "/payouts", &headers, "x");
    waiting_stream.write_all(text.as_bytes()).expect("write");
    eventually("the request is queued", || fleet.daemons[0].metric_sum("queued") > 0.0);
    fleet.platform.set_faults(json!({"silent": true}));
    stops::request_stop(&fleet.daemons[0]);
    let reply = client::read_reply(&mut waiting_stream, "POST").expect("a refusal");
    assert_eq!((reply.status, fleet.run_count("once")), (503, 0), "{}", reply.text());
}

#[test]
fn verify_a_pending_change_is_answered_before_the_daemon_ends() {
    let mut fleet = TestFleet::start(&FleetPlan::default());
    // The store answers long after the end of the shortest drain, 0.5 s.
    fleet.platform.set_faults(json!({"delay_ms": 1200}));
    let mut change_stream = client::connect(fleet.daemons[0].admin);
    let change = json!({"kind": "organisations", "name": "new", "value": {"title": "New"}});
    let body = json!({"changes": [change]}).to_string();
    let headers = [("Authorization", "Bearer operator-token")];
    let text = client::request_text("POST", "/v1/apply", &headers, &body);
    change_stream.write_all(text.as_bytes()).expect("write");
    // Once the daemon answers this later call, the daemon has also read the change.
    fleet.daemons[0].get("/v1/status");
    stops::request_stop(&fleet.daemons[0]);
    let reply = client::read_reply(&mut change_stream, "POST").expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fleet.daemons[0].wait_exit().code(), Some(0));
}
