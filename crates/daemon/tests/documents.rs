// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The operator's document in force, and the answers that callers get when a backend server
//! violates the rules of an exchange.

mod common;

use std::fs;
use std::io::{Read, Write};

use basaltarch_core::resources::{ServiceShare, WorkMode};
use basaltarch_platform::document::ConfigDocument;
use basaltarch_platform::headers;
use common::registered::{document, route, RegisteredFleet, HOST, SERVICE};
use common::{client, eventually};
use serde_json::{json, Value};
use test_case::test_case;

/// Builds a document of this version with one more repeatable route for `path`.
fn document_with_route(version: u64, path: &str) -> ConfigDocument {
    let mut document = document(version);
    document.routes.push(route("r-new", path, WorkMode::Repeatable));
    document
}

#[test]
fn verify_only_newer_documents_take_effect_and_bad_ones_change_nothing() {
    let fleet = RegisteredFleet::start(2);
    fleet.write_document(&document_with_route(5, "/new/"));
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        eventually("the document is in force", || daemon.revision() == 5);
        let id = format!("new-{index}");
        assert_eq!(fleet.request(index, "GET", "/new/x", &id).status, 200);
    }
    let texts = [r#"{"version": 9}"#, "text", r#"{"version": "nine"}"#];
    for (bad_index, text) in texts.into_iter().enumerate() {
        fleet.write_text(text);
        // Waits for the log line of each document before the next document is written. A daemon
        // logs nothing for a document that is replaced before the daemon reads the document.
        for daemon in &fleet.daemons {
            let unreadable_count = || daemon.log_text().matches("configuration unreadable").count();
            eventually("the bad document was read", || unreadable_count() > bad_index);
        }
    }
    fleet.write_document(&document(3));
    for daemon in &fleet.daemons {
        let is_logged = || daemon.log_text().contains("older configuration passed over");
        eventually("the older document was read", is_logged);
    }
    fleet.write_document(&document_with_route(7, "/newer/"));
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        eventually("the last document is in force", || daemon.revision() == 7);
        assert_eq!(fleet.request(index, "GET", "/newer/x", "a").status, 200);
        assert_eq!(fleet.request(index, "GET", "/new/x", "b").status, 404);
        let text = daemon.log_text();
        let revisions: Vec<u64> = text
            .lines()
            .filter_map(|line| serde_json::from_str::<Value>(line).ok())
            .filter(|line| line["message"] == "configuration in force")
            .filter_map(|line| line["revision"].as_u64())
            .collect();
        assert!(revisions.is_sorted(), "{revisions:?}");
    }
}

#[test]
fn verify_the_resource_api_shows_the_revision_and_refuses_changes_with_the_reason() {
    let fleet = RegisteredFleet::start(1);
    eventually("the document is in force", || fleet.daemons[0].revision() == 1);
    let body = json!({"title": "t"}).to_string();
    let precondition = [("If-Match", "*")];
    let reply = fleet.daemons[0].call("PUT", "/v1/organisations/one", &precondition, &body);
    assert_eq!(reply.status, 405, "{}", reply.text());
    assert!(reply.text().contains("document"), "{}", reply.text());
    let empty_change = json!({"changes": []}).to_string();
    assert_eq!(fleet.daemons[0].call("POST", "/v1/apply", &[], &empty_change).status, 405);
    let routes = fleet.daemons[0].get("/v1/routes");
    assert!(routes.to_string().contains("r-unsafe"), "{routes}");
}

#[test]
fn verify_a_split_route_follows_its_weights() {
    let fleet = RegisteredFleet::start(2);
    let name = &fleet.backends[1].name;
    assert_eq!(fleet.send_heartbeat_as(1, name, "other-app", false).status, 200);
    let mut new_document = document(2);
    let mut split_route = route("r-split", "/split/", WorkMode::Repeatable);
    split_route.rule.split = [(SERVICE, 75), ("other-app", 25)]
        .map(|(service, weight)| ServiceShare { service: service.to_owned(), weight })
        .to_vec();
    new_document.routes.push(split_route);
    fleet.write_document(&new_document);
    for daemon in &fleet.daemons {
        eventually("the split is in force", || daemon.revision() == 2);
    }
    for daemon in 0..2 {
        let mut number = 0;
        eventually("the ingress knows the servers of both services", || {
            number += 1;
            let id = format!("known-{daemon}-{number}");
            fleet.request(daemon, "GET", "/split/x", &id);
            fleet.backends[1].run_count(&id) == 1
        });
    }
    for number in 0..200 {
        let reply = fleet.request(number % 2, "GET", "/split/x", &format!("split-{number}"));
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    let other_service_runs =
        (0..200).filter(|n| fleet.backends[1].run_count(&format!("split-{n}")) > 0).count();
    // At each of the two ingresses, the number of requests that are sent to a service differs from
    // the weight of the service by less than one request.
    assert!(
        (48..=52).contains(&other_service_runs),
        "{other_service_runs} of 200 requests ran at the other service"
    );
    assert!((0..200).all(|number| fleet.run_count(&format!("split-{number}")) == 1));
}

/// Each case names a fault of one server and two expectations: whether the other server answers
/// repeatable requests instead, and the status that the caller of a non-repeatable request gets if
/// the faulty server ran the request.
#[test_case(json!({"surplus": true}), true, 200 ; "an answer to an earlier request comes first")]
#[test_case(json!({"twice": true}), true, 200 ; "a second answer follows")]
#[test_case(json!({"unstamped": true}), true, 502 ; "the answer is not proved")]
#[test_case(json!({"encoded": true}), true, 502 ; "the answer is encoded unasked")]
#[test_case(json!({"status": 503}), true, 502 ; "a refusal that does not state that nothing ran")]
#[test_case(json!({"status": 429}), true, 502 ; "a rate limit that does not state that nothing ran")]
#[test_case(json!({"break_at": "after-run"}), true, 502 ; "the answer is lost")]
#[test_case(json!({"break_at": "in-answer-body"}), true, 502 ; "the answer breaks off")]
#[test_case(json!({"status": 404}), false, 404 ; "the server's own answer")]
fn verify_a_broken_exchange_reaches_no_caller_as_an_answer(
    faults: Value,
    is_served_elsewhere: bool,
    status: u16,
) {
    let fleet = RegisteredFleet::start(2);
    fleet.wait_served(0, &[0, 1]);
    fleet.backends[1].set_faults(faults);
    let mut faulty_server_runs = 0;
    for number in 0..60 {
        let id = format!("unsafe-{number}");
        let reply = fleet.request(1, "POST", "/unsafe/x", &id);
        assert!(fleet.run_count(&id) <= 1, "{id} ran {} times", fleet.run_count(&id));
        if fleet.backends[1].run_count(&id) == 0 {
            assert_eq!(reply.status, 200, "{}", reply.text());
            continue;
        }
        faulty_server_runs += 1;
        assert_eq!(reply.status, status, "{}", reply.text());
        if status == 200 {
            assert!(
                reply.text().contains(&id),
                "the answer belongs to another request: {}",
                reply.text()
            );
        }
    }
    assert!(faulty_server_runs > 0, "no request reached the faulty server");
    if !is_served_elsewhere {
        return;
    }
    for number in 0..20 {
        let id = format!("safe-{number}");
        let reply = fleet.request(1, "GET", "/safe/x", &id);
        assert_eq!(reply.status, 200, "{}", reply.text());
        assert!(
            reply.text().contains(&id),
            "the answer belongs to another request: {}",
            reply.text()
        );
    }
}

#[test]
fn verify_pipelined_requests_are_answered_in_their_order() {
    let fleet = RegisteredFleet::start(2);
    fleet.wait_served(0, &[0, 1]);
    let mut stream = client::connect(fleet.daemons[0].callers);
    let request_field = headers::exchange_fields().request.expect("a header field for request ids");
    let request = |number: usize| {
        let work_ms = if number == 0 { 200 } else { 1 };
        let connection_field = if number == 9 { "Connection: close\r\n" } else { "" };
        format!(
            "GET /safe/{number} HTTP/1.1\r\nHost: {HOST}\r\n{request_field}: order-{number}\r\n\
             x-work-ms: {work_ms}\r\n{connection_field}\r\n"
        )
    };
    let text: String = (0..10).map(request).collect();
    stream.write_all(text.as_bytes()).expect("write");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("read");
    let answer_order: Vec<&str> = answers
        .lines()
        .filter_map(|line| line.strip_prefix(&format!("{request_field}: ")))
        .map(str::trim_end)
        .collect();
    let expected_order: Vec<String> = (0..10).map(|number| format!("order-{number}")).collect();
    assert_eq!(answer_order, expected_order);
}

#[test]
fn verify_a_route_timeout_is_answered_with_504_and_cancels_the_request() {
    let fleet = RegisteredFleet::start(1);
    let mut short_document = document(2);
    short_document.routes[1].rule.timeout_ms = 300;
    fleet.write_document(&short_document);
    eventually("the document is in force", || fleet.daemons[0].revision() == 2);
    let request_field = headers::exchange_fields().request.expect("a header field for request ids");
    let headers = [("Host", HOST), (request_field.as_str(), "slow"), ("x-work-ms", "60000")];
    let reply = client::call(fleet.daemons[0].callers, "POST", "/unsafe/x", &headers, "x");
    // The request may have run, so the status must not state that the request has not run.
    assert_eq!((reply.status, fleet.run_count("slow")), (504, 1), "{}", reply.text());
    eventually("the request is cancelled", || {
        fleet.backends[0].run_counters()["cancelled"] == json!(1)
    });
}

#[test]
fn verify_settings_are_reloaded_and_wrong_ones_change_nothing() {
    let mut fleet = RegisteredFleet::start(1);
    let path = std::env::temp_dir().join(format!("basaltarch-{}.conf", std::process::id()));
    let write_settings = |text: &str| fs::write(&path, text).expect("settings");
    write_settings("# settings\nown-service = first-app\nready = 127.0.0.1:0\n");
    fleet.daemons.clear();
    let config = path.to_str().expect("path").to_owned();
    let flags = [("source", "document"), ("config", config.as_str())];
    let platform = fleet.platform.address;
    let mut daemon = common::TestDaemon::start(platform, "host-a", "bkk-a", &flags);
    eventually("the document is in force", || daemon.is_ready());
    let wait_logged = |daemon: &common::TestDaemon, text: &str| {
        let text = text.to_owned();
        eventually(&format!("the log contains {text}"), || daemon.log_text().contains(&text));
    };
    write_settings("own-service = second-app\nfloor = 7\n");
    daemon.signal("-HUP");
    wait_logged(&daemon, "\"message\":\"settings refused\"");
    write_settings("own-service = second-app\nhost = another\n");
    wait_logged(&daemon, "\"cause\":\"file\"");
    write_settings("own-service = third-app\nfailure-domain = elsewhere\n");
    daemon.signal("-HUP");
    wait_logged(&daemon, "\"cause\":\"signal\"");
    wait_logged(&daemon, "settings need a restart");
    assert!(daemon.is_running());
    assert!(daemon.is_ready());
    let _ = fs::remove_file(&path);
}
