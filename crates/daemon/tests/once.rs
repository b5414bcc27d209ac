// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! At-most-once requests run at most once under each fault that could make a request run twice.

mod common;

use std::thread;

use common::{client, eventually, FleetPlan, TestFleet};
use serde_json::json;
use test_case::test_case;

/// Sends an at-most-once request whose id is also its idempotency key.
fn send_payout(fleet: &TestFleet, daemon: usize, key: &str, body: &str) -> client::Reply {
    let headers = [("Idempotency-Key", key), ("x-request-id", key)];
    fleet.request(daemon, "POST", "/payouts", &headers, body)
}

#[test]
fn verify_a_duplicate_request_gets_the_recorded_answer() {
    let fleet = TestFleet::start(&FleetPlan { backends: 4, ..FleetPlan::default() });
    let first_reply = send_payout(&fleet, 0, "key-1", "amount=5");
    assert_eq!(first_reply.status, 200);
    eventually("the answer is recorded", || {
        let reply = send_payout(&fleet, 1, "key-1", "amount=5");
        match reply.status {
            200 => {
                assert_eq!(reply.text(), first_reply.text());
                assert!(reply.header("basaltarch-replayed").is_some());
                true
            }
            // Until the answer is recorded, a duplicate is refused because the first request has
            // been started.
            status => {
                assert_eq!((status, reply.outcome().as_deref()), (409, Some("unknown")));
                false
            }
        }
    });
    assert_eq!(fleet.run_count("key-1"), 1);
}

#[test]
fn verify_another_body_under_the_key_is_refused() {
    let fleet = TestFleet::start(&FleetPlan::default());
    assert_eq!(send_payout(&fleet, 0, "key-2", "amount=5").status, 200);
    let reply = send_payout(&fleet, 1, "key-2", "amount=6");
    assert_eq!((reply.status, reply.reason().as_deref()), (422, Some("key-reused")));
    assert_eq!(fleet.run_count("key-2"), 1);
}

#[test]
fn verify_concurrent_duplicates_run_once() {
    let fleet =
        TestFleet::start(&FleetPlan { backends: 4, service_ms: 20, ..FleetPlan::default() });
    for round in 0..5 {
        let key = format!("race-{round}");
        let threads: Vec<_> = (0..16)
            .map(|number| {
                let callers = fleet.daemons[number % 2].callers;
                let key = key.clone();
                thread::spawn(move || {
                    let headers = [
                        ("Host", "solver.example"),
                        ("Idempotency-Key", key.as_str()),
                        ("x-request-id", key.as_str()),
                    ];
                    client::call(callers, "POST", "/payouts", &headers, "amount=5")
                })
            })
            .collect();
        let replies: Vec<_> = threads.into_iter().map(|t| t.join().expect("join")).collect();
        assert_eq!(fleet.run_count(&key), 1);
        assert!(replies.iter().any(|reply| reply.status == 200));
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_eq!(reply.outcome().as_deref(), Some("unknown"), "{}", reply.head);
        }
    }
}

#[test_case(json!({"lose_write_answers": 1}) ; "the answer of the write is lost")]
#[test_case(json!({"lose_writes": 1}) ; "the write itself is lost")]
#[test_case(json!({"lose_write_answers": 3}) ; "three answers are lost")]
fn verify_a_lost_write_is_settled_and_the_request_runs_once(faults: serde_json::Value) {
    let fleet = TestFleet::start(&FleetPlan::default());
    fleet.platform.set_faults(faults);
    let reply = send_payout(&fleet, 0, "key-3", "amount=5");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(fleet.run_count("key-3"), 1);
    let second_reply = send_payout(&fleet, 1, "key-3", "amount=5");
    assert!(matches!(second_reply.status, 200 | 409), "{}", second_reply.head);
    assert_eq!(fleet.run_count("key-3"), 1);
}

#[test]
fn verify_without_the_store_only_at_most_once_requests_are_refused() {
    let fleet = TestFleet::start(&FleetPlan::default());
    assert_eq!(send_payout(&fleet, 0, "before", "x").status, 200);
    fleet.platform.set_faults(json!({"down": true}));
    let reply = send_payout(&fleet, 0, "during", "x");
    assert_eq!((reply.status, reply.outcome().as_deref()), (503, Some("not-run")));
    assert_eq!(reply.reason().as_deref(), Some("ledger-unavailable"));
    assert_eq!(fleet.run_count("during"), 0);
    for daemon in 0..2 {
        assert_eq!(fleet.request(daemon, "GET", "/puzzle", &[], "").status, 200);
        assert_eq!(fleet.request(daemon, "POST", "/plain", &[], "x").status, 200);
        // A request without a key needs no ledger on an at-most-once route, as the daemon sends
        // such a request only once.
        assert_eq!(fleet.request(daemon, "POST", "/payouts", &[], "x").status, 200);
    }
    fleet.platform.set_faults(json!({}));
    eventually("the request with the same key runs after the store is back", || {
        let reply = send_payout(&fleet, 1, "during", "x");
        assert!(matches!(reply.status, 200 | 409 | 503), "{}", reply.head);
        reply.status == 200
    });
    assert_eq!(fleet.run_count("during"), 1);
}

#[test]
fn verify_a_request_that_did_not_run_can_be_retried_with_its_key() {
    let fleet = TestFleet::start(&FleetPlan::default());
    for backend in &fleet.backends {
        backend.set_faults(json!({"shed": true}));
    }
    let reply = send_payout(&fleet, 0, "shed", "x");
    assert_eq!((reply.status, reply.reason().as_deref()), (503, Some("shed")));
    for backend in &fleet.backends {
        backend.set_faults(json!({}));
    }
    assert_eq!(send_payout(&fleet, 1, "shed", "x").status, 200);
    assert_eq!(fleet.run_count("shed"), 1);
}

#[test]
fn verify_a_request_is_not_retried_after_its_server_broke_off() {
    let fleet = TestFleet::start(&FleetPlan::default());
    for backend in &fleet.backends {
        backend.set_faults(json!({"break_at": "after-run"}));
    }
    let reply = send_payout(&fleet, 0, "broke", "x");
    assert_eq!(reply.outcome().as_deref(), Some("unknown"));
    for backend in &fleet.backends {
        backend.set_faults(json!({}));
    }
    for daemon in [0, 1] {
        let reply = send_payout(&fleet, daemon, "broke", "x");
        assert_eq!((reply.status, reply.reason().as_deref()), (409, Some("already-started")));
    }
    assert_eq!(fleet.run_count("broke"), 1);
}

#[test]
fn verify_a_request_does_not_run_twice_after_its_daemon_is_killed() {
    let mut fleet = TestFleet::start(&FleetPlan::default());
    let callers = fleet.daemons[0].callers;
    let request = thread::spawn(move || {
        let headers = [
            ("Host", "solver.example"),
            ("Idempotency-Key", "killed"),
            ("x-request-id", "killed"),
            ("x-work-ms", "3000"),
        ];
        client::try_call(callers, "POST", "/payouts", &headers, "x")
    });
    eventually("the request runs", || fleet.run_count("killed") == 1);
    fleet.daemons[0].kill();
    assert!(request.join().expect("join").is_none_or(|reply| reply.status != 200));
    let reply = send_payout(&fleet, 1, "killed", "x");
    assert_eq!((reply.status, reply.reason().as_deref()), (409, Some("already-started")));
    assert_eq!(fleet.run_count("killed"), 1);
}

#[test]
fn verify_rows_of_many_requests_share_transactions() {
    let fleet =
        TestFleet::start(&FleetPlan { daemons: 1, backends: 2, slots: 64, ..FleetPlan::default() });
    fleet.platform.set_faults(json!({"delay_ms": 40}));
    let transactions_before =
        fleet.platform.read_counters()["transactions"].as_u64().expect("count");
    let callers = fleet.daemons[0].callers;
    let threads: Vec<_> = (0..64)
        .map(|number| {
            thread::spawn(move || {
                let key = format!("group-{number}");
                let headers = [
                    ("Host", "solver.example"),
                    ("Idempotency-Key", key.as_str()),
                    ("x-request-id", key.as_str()),
                ];
                client::call(callers, "POST", "/payouts", &headers, "x").status
            })
        })
        .collect();
    let statuses: Vec<u16> = threads.into_iter().map(|t| t.join().expect("join")).collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let transactions = fleet.platform.read_counters()["transactions"].as_u64().expect("count")
        - transactions_before;
    assert!(transactions <= 32, "64 rows took {transactions} transactions, at most 32 allowed");
}

#[test]
fn verify_keys_of_different_organisations_are_independent() {
    let fleet = TestFleet::start(&FleetPlan::default());
    assert_eq!(send_payout(&fleet, 0, "shared", "x").status, 200);
    let headers = [
        ("Idempotency-Key", "shared"),
        ("Basaltarch-Key", "khlung-key"),
        ("x-request-id", "shared"),
    ];
    let reply = fleet.request(0, "POST", "/payouts", &headers, "x");
    assert_eq!(reply.status, 200);
    assert_eq!(fleet.run_count("shared"), 2, "two organisations, two requests");
}
