// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Outcomes: for each point at which an exchange can break, the outcome that the caller gets is
//! compared with the requests that the backend servers ran.

mod common;

use std::io::Write;
use std::thread;

use common::forwarder::Forwarder;
use common::{client, eventually, FleetPlan, TestBackend, TestDaemon, TestFleet, TestPlatform};
use serde_json::{json, Value};
use test_case::test_case;

/// Two daemons with one backend server beside the second daemon. Requests to the first daemon pass
/// over the link between the daemons.
struct TwoHops {
    fleet: TestFleet,
}

impl TwoHops {
    fn start(routes: Option<Value>) -> Self {
        let mut plan = FleetPlan { daemons: 2, backends: 0, ..FleetPlan::default() };
        if let Some(routes) = routes {
            plan.routes = routes;
        }
        let mut fleet = TestFleet::start_unconfigured(&plan);
        fleet.backends = vec![TestBackend::start("server-1", 1)];
        let mut configuration = fleet.build_configuration(&plan);
        configuration["backend-servers"]["server-1"]["host"] = json!("host-b");
        configuration["backend-servers"]["server-1"]["failure_domain"] = json!("bkk-b");
        let reply = fleet.apply(&configuration);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        Self { fleet }
    }

    fn backend(&self) -> &TestBackend {
        &self.fleet.backends[0]
    }
}

#[test_case("after-request-head", "unknown", "backend-broken", 0 ; "after the head of the request")]
#[test_case("after-run", "unknown", "backend-broken", 1 ; "after the request ran")]
#[test_case("in-answer-head", "unknown", "answer-broken", 1 ; "in the head of the answer")]
fn verify_a_broken_backend_exchange_is_reported_with_its_outcome(
    break_point: &str,
    outcome: &str,
    reason: &str,
    ran_count: u64,
) {
    for ingress in [0, 1] {
        let two_hops = TwoHops::start(None);
        two_hops.backend().set_faults(json!({ "break_at": break_point }));
        let headers = [("x-request-id", "broken")];
        let reply = two_hops.fleet.request(ingress, "POST", "/plain", &headers, "body");
        assert_eq!(reply.status, 502, "{}", reply.head);
        assert_eq!(reply.outcome().as_deref(), Some(outcome));
        assert_eq!(reply.reason().as_deref(), Some(reason));
        assert_eq!(
            two_hops.backend().run_count("broken"),
            ran_count,
            "dispatched once, never retried"
        );
        two_hops.fleet.check_invariants();
    }
}

#[test]
fn verify_a_truncated_answer_is_never_forwarded_as_complete() {
    let two_hops = TwoHops::start(None);
    two_hops.backend().set_faults(json!({"break_at": "in-answer-body"}));
    for path in ["/plain/x", "/bytes/300000"] {
        for ingress in [0, 1] {
            let headers = [("Host", "solver.example")];
            let callers = two_hops.fleet.daemons[ingress].callers;
            let reply = client::try_call(callers, "GET", path, &headers, "");
            let is_truncated = reply.as_ref().is_none_or(|reply| {
                !reply.complete || reply.outcome().as_deref() == Some("unknown")
            });
            assert!(is_truncated, "{path} through {ingress}: {reply:?}");
        }
    }
}

#[test]
fn verify_a_server_that_cannot_be_reached_ran_nothing() {
    let two_hops = TwoHops::start(None);
    let mut configuration = json!({"backend-servers": {"server-1": {
        "service": "solver-app", "host": "host-b", "slots": 4, "connections": 300,
        "failure_domain": "bkk-b",
    }}});
    // Nothing listens at this address, as the listener that reserved the port has been closed.
    let closed_address =
        std::net::TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("address");
    configuration["backend-servers"]["server-1"]["address"] = json!(closed_address.to_string());
    assert_eq!(two_hops.fleet.apply(&configuration).status, 200);
    two_hops.fleet.wait_revision(2);
    let reply = two_hops.fleet.request(0, "POST", "/plain", &[], "x");
    assert_eq!((reply.status, reply.outcome().as_deref()), (503, Some("not-run")));
    assert_eq!(reply.reason().as_deref(), Some("connect-failed"));
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn verify_a_shed_request_is_tried_at_another_server() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 2, backends: 2, ..FleetPlan::default() });
    fleet.backends[0].set_faults(json!({"shed": true}));
    for number in 0..20 {
        let id = format!("shed-{number}");
        let reply = fleet.request(0, "POST", "/plain", &[("x-request-id", &id)], "x");
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(fleet.run_count(&id), 1);
    }
    fleet.backends[1].set_faults(json!({"shed": true}));
    let reply = fleet.request(0, "POST", "/plain", &[("x-request-id", "none")], "x");
    assert_eq!((reply.status, reply.reason().as_deref()), (503, Some("shed")));
    assert_eq!(fleet.run_count("none"), 0);
}

#[test]
fn verify_an_unknown_outcome_is_not_replaced_by_not_run_of_a_retry() {
    let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 1.0});
    let plan = FleetPlan { daemons: 2, backends: 2, service, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    fleet.backends[0].set_faults(json!({"break_at": "after-run"}));
    fleet.backends[1].set_faults(json!({"shed": true}));
    let mut ran_count = 0;
    for number in 0..40 {
        let id = format!("both-{number}");
        let reply = fleet.request(number % 2, "GET", "/puzzle", &[("x-request-id", &id)], "");
        assert!(reply.status >= 500, "{}", reply.text());
        if fleet.run_count(&id) > 0 {
            assert_eq!(reply.outcome().as_deref(), Some("unknown"), "{id}: {}", reply.head);
            ran_count += 1;
        }
    }
    assert!(ran_count > 0, "no request reached the server that runs and breaks");
    fleet.check_invariants();
}

#[test_case("/plain", 504, "timed-out" ; "plain")]
fn verify_the_deadline_cancels_a_running_request(path: &str, status: u16, reason: &str) {
    let two_hops = TwoHops::start(None);
    let headers =
        [("x-work-ms", "20000"), ("basaltarch-deadline-ms", "300"), ("x-request-id", "late")];
    for ingress in [0, 1] {
        let reply = two_hops.fleet.request(ingress, "GET", path, &headers, "");
        assert_eq!((reply.status, reply.reason().as_deref()), (status, Some(reason)));
        assert_eq!(reply.outcome().as_deref(), Some("unknown"));
    }
    assert_eq!(two_hops.backend().run_count("late"), 2);
    eventually("the requests are cancelled", || {
        two_hops.backend().run_counters()["cancelled"] == json!(2)
    });
}

#[test]
fn verify_a_full_server_refuses_at_once_and_slots_are_exact() {
    let plan = FleetPlan {
        daemons: 1,
        backends: 1,
        slots: 3,
        service: json!({"floor": 0.5, "queue": 2}),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    let threads: Vec<_> = (0..12)
        .map(|number| {
            thread::spawn(move || {
                let id = format!("full-{number}");
                let headers =
                    [("Host", "solver.example"), ("x-work-ms", "700"), ("x-request-id", &id)];
                (id.clone(), client::call(callers, "POST", "/plain", &headers, "x"))
            })
        })
        .collect();
    let replies: Vec<_> = threads.into_iter().map(|thread| thread.join().expect("join")).collect();
    let served_count = replies.iter().filter(|(_, reply)| reply.status == 200).count();
    assert_eq!(served_count, 5, "three slots and a queue of two");
    for (id, reply) in &replies {
        if reply.status != 200 {
            assert_eq!(reply.reason().as_deref(), Some("queue-full"));
            assert_eq!(fleet.run_count(id), 0, "a request reported as not run must not have run");
        }
    }
    assert_eq!(fleet.backends[0].run_counters()["most_at_once"], json!(3));
}

#[test]
fn verify_a_critical_request_displaces_a_queued_sheddable_one() {
    let routes = json!({
        "hints": {"host": "solver.example", "path_prefix": "/hints", "service": "solver-app",
                  "criticality": "sheddable"},
        "payouts": {"host": "solver.example", "path_prefix": "/payouts", "service": "solver-app",
                    "criticality": "critical"},
    });
    let plan = FleetPlan {
        daemons: 1,
        backends: 1,
        slots: 1,
        service: json!({"floor": 0.5, "queue": 2}),
        routes,
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    let send = |path: &'static str, id: &'static str| {
        thread::spawn(move || {
            let headers = [("Host", "solver.example"), ("x-work-ms", "500"), ("x-request-id", id)];
            client::call(callers, "POST", path, &headers, "x")
        })
    };
    let wait_queued = |expected: u64| {
        eventually("requests wait", || {
            let health = fleet.daemons[0].get("/v1/health?service=solver-app");
            let here = &health["services"][0]["upstreams"][0]["here"];
            here["queued"].as_u64() == Some(expected) && here["in_flight"].as_u64() == Some(1)
        });
    };
    let first_hint = send("/hints", "hint-1");
    wait_queued(0);
    let second_hint = send("/hints", "hint-2");
    wait_queued(1);
    let third_hint = send("/hints", "hint-3");
    wait_queued(2);
    let payout = send("/payouts", "payout");
    assert_eq!(payout.join().expect("join").status, 200);
    assert_eq!(first_hint.join().expect("join").status, 200);
    let queued_replies = [second_hint.join().expect("join"), third_hint.join().expect("join")];
    let displaced =
        queued_replies.iter().filter(|reply| reply.reason().as_deref() == Some("queue-full"));
    assert_eq!(displaced.count(), 1, "one of the queued hints was displaced by the payout");
}

#[test]
fn verify_a_lost_peer_is_reported_as_unknown_or_not_run() {
    let two_hops = TwoHops::start(None);
    let mut fleet = two_hops.fleet;
    let callers = fleet.daemons[0].callers;
    let request = thread::spawn(move || {
        let headers =
            [("Host", "solver.example"), ("x-work-ms", "20000"), ("x-request-id", "lost")];
        client::call(callers, "POST", "/plain", &headers, "x")
    });
    eventually("the request runs", || fleet.run_count("lost") == 1);
    fleet.daemons[1].kill();
    let reply = request.join().expect("join");
    assert_eq!(reply.outcome().as_deref(), Some("unknown"));
    assert_eq!(reply.reason().as_deref(), Some("peer-lost"));
    let reply = fleet.request(0, "POST", "/plain", &[("x-request-id", "after")], "x");
    assert_eq!(reply.outcome().as_deref(), Some("not-run"), "{}", reply.head);
    assert_eq!(fleet.run_count("after"), 0);
}

#[test]
fn verify_the_state_of_an_idle_service_is_dropped_after_its_last_request() {
    let daemon_flags = vec![("service-idle-ms", "100")];
    let fleet = TestFleet::start(&FleetPlan { daemon_flags, ..FleetPlan::default() });
    let known_service_count =
        || fleet.daemons[0].metric_sum("services{") + fleet.daemons[0].metric_sum("services ");
    assert_eq!(known_service_count(), 0.0);
    let callers = fleet.daemons[0].callers;
    let slow_request = thread::spawn(move || {
        let headers = [("Host", "solver.example"), ("x-work-ms", "1500"), ("x-request-id", "slow")];
        client::call(callers, "GET", "/plain", &headers, "")
    });
    eventually("the service is known", || known_service_count() == 1.0);
    eventually("the request runs", || fleet.run_count("slow") == 1);
    // A health query at the admin API does not count as a request for the service.
    fleet.daemons[0].get("/v1/health");
    eventually("the state of the service is dropped once no request is running", || {
        known_service_count() == 0.0
    });
    assert_eq!(slow_request.join().expect("join").status, 200);
    for number in 0..5 {
        let id = format!("again-{number}");
        let reply = fleet.request(0, "GET", "/plain", &[("x-request-id", &id)], "");
        assert_eq!((reply.status, fleet.run_count(&id)), (200, 1));
    }
    fleet.check_invariants();
}

#[test]
fn verify_the_status_counts_requests_by_outcome() {
    let two_hops = TwoHops::start(None);
    let outcomes =
        |daemon: usize| two_hops.fleet.daemons[daemon].get("/v1/status")["outcomes"].clone();
    assert_eq!(outcomes(0)["complete"], json!(0));
    for _ in 0..3 {
        assert_eq!(two_hops.fleet.request(0, "GET", "/plain", &[], "").status, 200);
    }
    two_hops.fleet.backends[0].set_faults(json!({"break_at": "after-run"}));
    assert_eq!(two_hops.fleet.request(0, "POST", "/plain", &[], "x").status, 502);
    two_hops.fleet.backends[0].set_faults(json!({"shed": true}));
    assert_eq!(two_hops.fleet.request(0, "POST", "/plain", &[], "x").status, 503);
    let outcome_counts = outcomes(0);
    assert_eq!(
        (&outcome_counts["requests"], &outcome_counts["complete"]),
        (&json!(5), &json!(3)),
        "{outcome_counts}"
    );
    assert_eq!(outcome_counts["unknown"], json!({"backend-broken": 1}));
    let not_run = outcome_counts["not_run"].as_object().expect("reasons");
    assert_eq!(not_run.values().filter_map(Value::as_u64).sum::<u64>(), 1, "{outcome_counts}");
    assert_eq!(outcomes(1)["requests"], json!(0), "counted at the ingress only");
}

#[test]
fn verify_repeatable_requests_succeed_beside_a_broken_server() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 2, backends: 4, ..FleetPlan::default() });
    fleet.backends[0].set_faults(json!({"break_at": "after-run"}));
    for number in 0..60 {
        let id = format!("again-{number}");
        let reply = fleet.request(number % 2, "GET", "/puzzle", &[("x-request-id", &id)], "");
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert_eq!(reply.header("x-request-id"), Some(id));
    }
    // Some requests reach the broken server. The daemon beside the server needs 200 ms to establish
    // that the server is unhealthy, and the sixty requests end earlier.
    assert!(
        fleet.backends[0].total_runs() <= 14,
        "the broken server ran {} of 60 requests, at most 14 expected",
        fleet.backends[0].total_runs()
    );
    fleet.check_invariants();
}

#[test]
fn verify_a_late_answer_never_reaches_another_caller() {
    let two_hops = TwoHops::start(None);
    let callers = two_hops.fleet.daemons[0].callers;
    for round in 0..10 {
        let late_id = format!("late-{round}");
        let headers =
            [("x-work-ms", "150"), ("basaltarch-deadline-ms", "60"), ("x-request-id", &late_id)];
        let reply = two_hops.fleet.request(0, "GET", "/plain", &headers, "");
        assert_eq!(reply.status, 504);
        let mut stream = client::connect(callers);
        let mut buffer = Vec::new();
        for index in 0..5 {
            let id = format!("next-{round}-{index}");
            let headers =
                [("Host", "solver.example"), ("x-work-ms", "40"), ("x-request-id", id.as_str())];
            let text = client::request_text("GET", "/plain", &headers, "");
            stream.write_all(text.as_bytes()).expect("write");
            let reply = client::read_next_reply(&mut stream, "GET", &mut buffer).expect("reply");
            assert_eq!(reply.header("x-request-id"), Some(id.clone()));
            assert!(reply.text().contains(&id));
        }
    }
}

/// Two daemons whose link runs through a forwarder.
struct CutLink {
    fleet: TestFleet,
    forwarder: Forwarder,
}

fn start_cut_link() -> CutLink {
    let plan = FleetPlan { daemons: 2, backends: 0, ..FleetPlan::default() };
    let platform = TestPlatform::start();
    let forwarder = Forwarder::start();
    let advertised = forwarder.address.to_string();
    let local_daemon = TestDaemon::start(platform.address, "host-a", "bkk-a", &[]);
    let flags = [("advertise-peers", advertised.as_str())];
    let remote_daemon = TestDaemon::start(platform.address, "host-b", "bkk-b", &flags);
    forwarder.forward_to(remote_daemon.peers);
    let mut fleet =
        TestFleet { platform, daemons: vec![local_daemon, remote_daemon], backends: Vec::new() };
    fleet.wait_members();
    fleet.backends = vec![TestBackend::start("server-1", 1), TestBackend::start("server-2", 1)];
    let configuration = fleet.build_configuration(&plan);
    assert_eq!(fleet.apply(&configuration).status, 200);
    fleet.wait_revision(1);
    CutLink { fleet, forwarder }
}

#[test_case(true, false ; "requests do not arrive")]
#[test_case(false, true ; "answers do not arrive")]
#[test_case(true, true ; "nothing arrives")]
fn verify_a_cut_path_is_avoided_and_used_again_after_recovery(forward: bool, backward: bool) {
    use std::sync::atomic::Ordering;
    let cut_link = start_cut_link();
    let is_served_by = |expected: &str| {
        let reply = cut_link.fleet.request(0, "GET", "/puzzle", &[], "");
        reply.status == 200 && reply.header("x-served-by").as_deref() == Some(expected)
    };
    // So many requests are sent at once that the local server is busy, and that the remote server
    // receives some of the requests.
    let send_load = |rounds: usize| {
        let callers = cut_link.fleet.daemons[0].callers;
        let threads: Vec<_> = (0..rounds * 8)
            .map(|_| {
                thread::spawn(move || {
                    let headers = [
                        ("Host", "solver.example"),
                        ("x-work-ms", "30"),
                        ("basaltarch-deadline-ms", "2500"),
                    ];
                    client::call(callers, "GET", "/puzzle", &headers, "")
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("join")).collect::<Vec<_>>()
    };
    let remote_reply_count = |replies: &[client::Reply]| {
        replies.iter().filter(|r| r.header("x-served-by").as_deref() == Some("server-2")).count()
    };
    eventually("both servers receive requests", || remote_reply_count(&send_load(1)) > 0);
    cut_link.forwarder.cuts.forward.store(forward, Ordering::SeqCst);
    cut_link.forwarder.cuts.backward.store(backward, Ordering::SeqCst);
    eventually("the remote server is no longer used", || {
        let replies = send_load(1);
        remote_reply_count(&replies) == 0 && {
            let health = cut_link.fleet.daemons[0].get("/v1/health?service=solver-app");
            health["services"][0]["upstreams"][1]["state"] == "unreachable"
        }
    });
    eventually("the local server serves callers", || is_served_by("server-1"));
    cut_link.forwarder.cuts.forward.store(false, Ordering::SeqCst);
    cut_link.forwarder.cuts.backward.store(false, Ordering::SeqCst);
    eventually("the remote server receives requests again", || {
        remote_reply_count(&send_load(1)) > 0
    });
    cut_link.fleet.check_invariants();
}

#[test]
fn verify_a_peer_without_the_fleet_key_is_refused() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 1, backends: 1, ..FleetPlan::default() });
    let fleet_key_flag = [("fleet-key", "another-key-altogether")];
    let foreign_daemon =
        TestDaemon::start(fleet.platform.address, "host-z", "bkk-c", &fleet_key_flag);
    let has_refused =
        |daemon: &TestDaemon| daemon.log_text().contains("does not hold the fleet key");
    eventually("one of the two daemons refuses the other", || {
        has_refused(&fleet.daemons[0]) || has_refused(&foreign_daemon)
    });
    // Bytes that are no frame close only the connection on which they are sent.
    let mut stream = client::connect(fleet.daemons[0].peers);
    let _ = stream.write_all(&[0xff; 64]);
    assert_eq!(fleet.request(0, "GET", "/puzzle", &[], "").status, 200);
    fleet.check_invariants();
}
