// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The log lines of each failed request can be found by the request's id alone. The rate of log
//! lines is bounded, and requests never wait for the log.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::time::{Duration, Instant};

use basaltarch_ctl::losses::tally::LossTally;
use basaltarch_ctl::{explain, losses};
use common::client;
use common::registered::{document, RegisteredFleet, HOST};
use common::{eventually, TestDaemon};
use serde_json::{json, Value};
use test_case::test_case;

/// Starts a fleet whose daemons each log at most `requests` requests a second completely, and at
/// most 1000 failed requests a second.
fn start_fleet_logging(daemons: usize, requests: &str) -> RegisteredFleet {
    let mut fleet = RegisteredFleet::start(daemons);
    for index in 0..daemons {
        let host = format!("host-{}", (b'a' + index as u8) as char);
        fleet.daemons[index].kill();
        let extra_flags = [("log-requests", requests), ("log-failures", "1000")];
        fleet.daemons[index] = fleet.start_daemon(&host, "bkk-a", &extra_flags);
        assert_eq!(fleet.send_heartbeat(index, false).status, 200);
    }
    // A request that is refused for lack of a document would count as lost.
    for daemon in &fleet.daemons {
        eventually("the document is in force", || daemon.revision() == 1);
    }
    for index in 0..daemons {
        fleet.wait_served(index, &(0..daemons).collect::<Vec<_>>());
    }
    fleet
}

fn list_log_paths(fleet: &RegisteredFleet) -> Vec<String> {
    fleet.daemons.iter().map(TestDaemon::log_file).collect()
}

/// Waits until the conclusion from the logs about a request contains `end` and the logs contain the
/// expected events, and returns the history of the request. Each daemon writes its log in a thread
/// of its own, so the line of one host may be written before an earlier line of another.
fn wait_history(
    fleet: &RegisteredFleet,
    id: &str,
    end: &str,
    expected_events: &[&str],
) -> explain::RequestHistory {
    let paths = list_log_paths(fleet);
    let mut history = explain::RequestHistory::default();
    eventually(&format!("the logs show for {id}: {end}, {expected_events:?}"), || {
        history = explain::gather(id, &paths).expect("logs");
        let seen_events = collect_event_names(&history);
        explain::conclusion(id, &history).contains(end)
            && expected_events.iter().all(|event| seen_events.contains(event))
    });
    history
}

fn collect_event_names(history: &explain::RequestHistory) -> BTreeSet<&str> {
    history.lines.iter().filter_map(|line| line.fields["message"].as_str()).collect()
}

/// Sends a request with the given id and makes the request fail.
type FaultInjector = fn(&RegisteredFleet, &str);

fn send_request(fleet: &RegisteredFleet, method: &str, path: &str, id: &str) {
    fleet.request(0, method, path, id);
}

fn set_all_faults(fleet: &RegisteredFleet, faults: Value) {
    fleet.backends.iter().for_each(|backend| backend.set_faults(faults.clone()));
}

fn inject_no_route(fleet: &RegisteredFleet, id: &str) {
    send_request(fleet, "GET", "/nowhere/x", id);
}

fn inject_lost_answer(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"break_at": "after-run"}));
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_no_answer(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"stuck": true}));
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_unproved_answer(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"unstamped": true}));
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_cut_answer(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"break_at": "in-answer-body"}));
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_server_error(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"status": 500}));
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_shed_request(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"shed": true}));
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_drain_of_all_servers(fleet: &RegisteredFleet, id: &str) {
    for index in 0..fleet.daemons.len() {
        assert_eq!(fleet.send_heartbeat(index, true).status, 200);
    }
    // The ingress learns of the draining server of another host through the store.
    eventually("the ingress knows that all servers are draining", || {
        (1..=fleet.backends.len())
            .all(|n| fleet.daemons[0].log_text().contains(&format!("i-{n} (draining)")))
    });
    send_request(fleet, "POST", "/unsafe/x", id);
}

fn inject_caller_disconnect(fleet: &RegisteredFleet, id: &str) {
    set_all_faults(fleet, json!({"stuck": true}));
    let received_before: u64 = fleet
        .backends
        .iter()
        .map(|backend| backend.run_counters()["received"].as_u64().unwrap_or(0))
        .sum();
    let headers = [("Host", HOST), ("Request-Id", id)];
    let text = client::request_text("POST", "/unsafe/x", &headers, "x");
    let mut stream = client::connect(fleet.daemons[0].callers);
    stream.write_all(text.as_bytes()).expect("write");
    eventually("the request has started", || {
        let received = fleet
            .backends
            .iter()
            .map(|backend| backend.run_counters()["received"].as_u64().unwrap_or(0));
        received.sum::<u64>() > received_before
    });
}

fn inject_duplicate_host_header(fleet: &RegisteredFleet, id: &str) {
    let headers = [("Host", HOST), ("Host", "second.example"), ("Request-Id", id)];
    client::call(fleet.daemons[0].callers, "GET", "/safe/x", &headers, "");
}

#[test_case(inject_no_route, "rejected (no-route) with status 404", &["request rejected"] ; "no route")]
#[test_case(inject_duplicate_host_header, "rejected (bad-request) with status 400", &["request rejected"] ; "two hosts")]
#[test_case(inject_lost_answer, "failed as unknown (backend-broken) with status 502",
    &["request received", "upstream chosen", "work broke", "attempt ended", "request failed"] ; "the answer is lost")]
#[test_case(inject_no_answer, "failed as unknown (timed-out) with status 504",
    &["request received", "upstream chosen", "attempt ended", "request failed"] ; "no answer comes")]
#[test_case(inject_unproved_answer, "failed as unknown (answer-broken) with status 502",
    &["request received", "upstream chosen", "work broke", "attempt ended", "request failed"] ; "the answer is not proved")]
#[test_case(inject_cut_answer, "failed as unknown (answer-broken) with status 502",
    &["request received", "upstream chosen", "work broke", "request failed"] ; "the answer is cut")]
#[test_case(inject_shed_request, "failed as not-run (shed) with status 503",
    &["request received", "upstream chosen", "attempt ended", "request failed"] ; "the servers are full")]
#[test_case(inject_drain_of_all_servers, "failed as not-run (no-upstream) with status 503",
    &["request received", "request failed"] ; "all servers leave")]
#[test_case(inject_caller_disconnect, "left after",
    &["request received", "upstream chosen", "attempt ended", "caller gone"] ; "the caller leaves")]
fn verify_each_failure_is_found_by_its_id(
    inject: FaultInjector,
    end: &str,
    expected_events: &[&str],
) {
    // The limit `1000000` logs every request from its start, and `0` logs only failures.
    for requests in ["1000000", "0"] {
        let fleet = start_fleet_logging(2, requests);
        let id = format!("harmed-{requests}");
        inject(&fleet, &id);
        wait_history(&fleet, &id, end, expected_events);
    }
}

#[test_case(inject_lost_answer, "broken (backend-broken)" ; "the answer is lost")]
#[test_case(inject_no_answer, "hung without a call" ; "no answer comes")]
#[test_case(inject_unproved_answer, "broken (answer-broken)" ; "the answer is not proved")]
#[test_case(inject_server_error, "server error" ; "the server fails")]
#[test_case(inject_shed_request, "refused (shed)" ; "the servers are full")]
#[test_case(inject_drain_of_all_servers, "refused (no-upstream)" ; "all servers leave")]
#[test_case(inject_caller_disconnect, "caller gone" ; "the caller leaves")]
fn verify_losses_name_the_cause_of_each_failure(inject: FaultInjector, cause: &str) {
    // The limit `1000000` logs every request from its start, and `0` logs only failures.
    for requests in ["1000000", "0"] {
        let fleet = start_fleet_logging(2, requests);
        inject(&fleet, &format!("lost-{requests}"));
        let paths = list_log_paths(&fleet);
        let causes_counted_once = |tally: &LossTally| {
            let causes = tally.causes.iter().filter(|(_, tally)| tally.count == 1);
            causes.map(|(cause, _)| cause.to_string()).collect::<Vec<_>>()
        };
        eventually(&format!("{cause} is reported with {requests}"), || {
            let tally = losses::count(&paths).expect("logs");
            causes_counted_once(&tally).iter().any(|name| name.starts_with(cause))
        });
        let tally = losses::count(&paths).expect("logs");
        let lost_count: u64 = tally.routes.values().flat_map(|route| route.lost.values()).sum();
        assert_eq!(lost_count, 1, "{tally:?}");
    }
}

#[test]
fn verify_losses_attribute_a_failed_nested_call_and_count_unreadable_lines() {
    let path = std::env::temp_dir().join(format!("basaltarch-losses-{}.log", std::process::id()));
    let format_line = |second: u32, event: &str, fields: &str| {
        format!(
            "{second} host | {{\"timestamp\":\"2026-12-02T10:00:0{second}.000000Z\",\"message\":\"{event}\",{fields}}}"
        )
    };
    let lines = [
        format_line(1, "request received", r#""request":"r-1","route":"top","service":"s""#),
        format_line(
            1,
            "work started",
            r#""request":"r-1","upstream":"u-1","attempt":1,"in_flight":1,"slots":2"#,
        ),
        format_line(2, "request received", r#""request":"r-1.c","route":"call","service":"t""#),
        format_line(
            2,
            "work started",
            r#""request":"r-1.c","upstream":"u-2","attempt":1,"in_flight":1,"slots":2"#,
        ),
        format_line(3, "upstream doubted", r#""upstream":"u-2","service":"t""#),
        format_line(
            4,
            "request answered",
            r#""request":"r-1.c","at_ms":2000,"route":"call","status":504"#,
        ),
        format_line(
            4,
            "request answered",
            r#""request":"r-1","at_ms":3000,"route":"top","status":500"#,
        ),
        format_line(5, "request received", r#""request":"r-2","route":"top","service":"s""#),
        format_line(
            5,
            "request answered",
            r#""request":"r-2","at_ms":9,"route":"top","status":200,"late":true"#,
        ),
        format_line(6, "request received", r#""request":"r-3","route":"top","service":"s""#),
        format_line(7, "requests not logged", r#""requests":5,"failed":1"#),
        r#"{"timestamp":"2026-12-02T10:00:02.000000Z","message":"request fai"#.to_owned(),
        "a line of another program".to_owned(),
    ];
    std::fs::write(&path, lines.join("\n")).expect("file");
    let tally = losses::count(&[path.to_str().expect("path").to_owned()]).expect("read");
    let _ = std::fs::remove_file(&path);
    let top_route = &tally.routes["top"];
    assert_eq!((top_route.asked, top_route.served, top_route.late), (3, 1, 1));
    let causes: Vec<String> = top_route.lost.keys().map(ToString::to_string).collect();
    assert_eq!(causes, ["a call was lost: hung without a call", "nothing seen"]);
    assert_eq!(tally.calls["call"].asked, 1);
    assert_eq!(tally.seconds, BTreeMap::from([(0, 1), (5, 1)]));
    assert_eq!((tally.unreadable, tally.not_logged), (2, 5));
    assert_eq!(tally.servers, BTreeMap::from([("u-1".to_owned(), 1)]));
}

#[test]
fn verify_a_retried_request_shows_both_attempts_and_the_reason() {
    let fleet = start_fleet_logging(2, "1000000");
    fleet.backends[0].set_faults(json!({"break_at": "after-run"}));
    let mut number = 0;
    eventually("a request is retried", || {
        number += 1;
        let id = format!("repeat-{number}");
        send_request(&fleet, "GET", "/safe/x", &id);
        let history = wait_history(&fleet, &id, "got the server's answer 200", &[]);
        let attempt_ends =
            history.lines.iter().filter(|line| line.fields["message"] == "attempt ended");
        let next_steps: Vec<&str> =
            attempt_ends.map(|line| line.fields["next"].as_str().expect("text")).collect();
        // The history also lists lines about the failed server that don't name the request.
        next_steps == ["repeat", "answer"]
            && collect_event_names(&history).contains("upstream doubted")
    });
}

#[test]
fn verify_the_log_rate_is_bounded_and_requests_are_logged_completely_or_not_at_all() {
    const LOGGED_REQUESTS_MAX: u64 = 5;
    const LOGGED_FAILURES_MAX: u64 = 7;
    let mut fleet = RegisteredFleet::start(1);
    fleet.daemons[0].kill();
    let extra_flags = [("log-requests", "5"), ("log-failures", "7")];
    fleet.daemons[0] = fleet.start_daemon("host-a", "bkk-a", &extra_flags);
    assert_eq!(fleet.send_heartbeat(0, false).status, 200);
    fleet.wait_served(0, &[0]);
    let started_at = Instant::now();
    for number in 0..300 {
        send_request(&fleet, "GET", "/safe/x", &format!("good-{number}"));
        send_request(&fleet, "GET", "/nowhere/x", &format!("bad-{number}"));
    }
    eventually("the log reports how many requests were not logged", || {
        fleet.daemons[0].log_text().contains("requests not logged")
    });
    let logged_seconds = started_at.elapsed().as_secs() + 2;
    let text = fleet.daemons[0].log_text();
    let mut lines: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        if let Some(id) = line["request"].as_str() {
            let event = line["message"].as_str().expect("message").to_owned();
            lines.entry(id.to_owned()).or_default().insert(event);
        }
    }
    let good_requests: Vec<_> = lines.iter().filter(|(id, _)| id.starts_with("good-")).collect();
    let bad_request_count = lines.keys().filter(|id| id.starts_with("bad-")).count() as u64;
    assert!(
        (1..=LOGGED_REQUESTS_MAX * logged_seconds).contains(&(good_requests.len() as u64)),
        "{} logged completely",
        good_requests.len()
    );
    assert!(
        (1..=LOGGED_FAILURES_MAX * logged_seconds).contains(&bad_request_count),
        "{bad_request_count} failures logged"
    );
    let expected_events_of_good = [
        "request received",
        "upstream chosen",
        "work started",
        "work ended",
        "attempt ended",
        "request answered",
    ];
    for (id, event_names) in good_requests {
        assert!(
            expected_events_of_good.iter().all(|event| event_names.contains(*event)),
            "{id}: {event_names:?}"
        );
    }
}

#[test]
fn verify_requests_do_not_wait_for_an_unread_log() {
    let mut fleet = RegisteredFleet::start(1);
    fleet.daemons[0].kill();
    let flags = [
        ("source", "document"),
        ("registration", "127.0.0.1:0"),
        ("log-requests", "1000000"),
        ("log-failures", "1000000"),
    ];
    let platform = fleet.platform.address;
    fleet.daemons[0] = TestDaemon::start_piped(platform, "host-a", "bkk-a", &flags);
    assert_eq!(fleet.send_heartbeat(0, false).status, 200);
    fleet.write_document(&document(2));
    fleet.wait_served(0, &[0]);
    let mut number = 0;
    eventually("more lines are logged than the pipe and the queue hold", || {
        for _ in 0..100 {
            number += 1;
            let reply = fleet.request(0, "GET", "/safe/x", &format!("unread-{number}"));
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
        fleet.daemons[0].metric_sum("log_lines_dropped") > 0.0
    });
    // Once the test reads the pipe, the daemon logs again and reports how many lines were dropped.
    let mut output = fleet.daemons[0].output.take().expect("pipe");
    let started_at = Instant::now();
    let mut line = String::new();
    while !line.contains("log lines dropped") {
        assert!(
            started_at.elapsed() < Duration::from_secs(40),
            "the log does not report dropped lines"
        );
        line.clear();
        output.read_line(&mut line).expect("output");
    }
    // The line read last is written to the log file, from which scripts/check-events learns that
    // the event occurred.
    std::fs::write(fleet.daemons[0].log_file(), line).expect("log");
}

#[test]
fn verify_files_with_truncated_and_foreign_lines_are_read() {
    let path = std::env::temp_dir().join(format!("basaltarch-foreign-{}.log", std::process::id()));
    let lines = [
        r#"12.5 host-a | {"timestamp":"2026-12-02T10:00:01.000000Z","message":"request received","request":"r-1"}"#,
        "a line of another program",
        r#"{"timestamp":"2026-12-02T10:00:02.000000Z","message":"request fai"#,
        r#"{"timestamp":"2026-12-02T10:00:03.000000Z","message":"request rejected","request":"r-1","reason":"no-route","status":404,"cause":"no route"}"#,
        r#"{"timestamp":"2026-12-02T10:00:04.000000Z","message":"request received","request":"r-2"}"#,
    ];
    let mut bytes = lines.join("\n").into_bytes();
    bytes.extend_from_slice(b"\n\xff\xfe not text\n");
    std::fs::write(&path, bytes).expect("file");
    let history = explain::gather("r-1", &[path.to_str().expect("path").to_owned()]).expect("read");
    assert_eq!((history.lines.len(), history.unreadable), (2, 3));
    assert!(history.lines[0].source.ends_with("12.5 host-a |"), "{}", history.lines[0].source);
    let end = explain::conclusion("r-1", &history);
    assert_eq!(end, "request r-1 was rejected (no-route) with status 404: no route");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn verify_metrics_hold_the_outcomes_of_a_route_and_the_current_state() {
    let fleet = start_fleet_logging(2, "0");
    for number in 0..5 {
        send_request(&fleet, "GET", "/safe/x", &format!("metrics-{number}"));
    }
    set_all_faults(&fleet, json!({"break_at": "after-run"}));
    send_request(&fleet, "POST", "/unsafe/x", "metrics-broken");
    assert_eq!(fleet.send_heartbeat(0, true).status, 200);
    let text = client::call(fleet.daemons[0].admin, "GET", "/metrics", &[], "").text();
    let metric_value = |name: &str, labels: &[&str]| {
        let is_metric = |line: &&str| {
            line.starts_with(&format!("basaltarch_{name}"))
                && labels.iter().all(|label| line.contains(label))
        };
        let line =
            text.lines().find(is_metric).unwrap_or_else(|| panic!("{name} {labels:?}: {text}"));
        line.rsplit(' ').next().and_then(|number| number.parse::<f64>().ok()).expect("a number")
    };
    let ended_requests = |route: &str, outcome: &str| {
        let labels = [
            format!("route=\"{route}\""),
            format!("outcome=\"{outcome}\""),
            "service=\"solver-app\"".to_owned(),
        ];
        metric_value("request_seconds_count", &labels.each_ref().map(String::as_str))
    };
    assert!(ended_requests("r-safe", "complete") >= 5.0);
    assert_eq!(ended_requests("r-unsafe", "unknown"), 1.0);
    assert!(metric_value("work_seconds_count", &["result=\"answered\""]) >= 1.0);
    assert!(metric_value("slot_wait_seconds_count", &[]) >= 1.0);
    assert_eq!(metric_value("upstreams", &["state=\"draining\""]), 1.0);
    assert_eq!(metric_value("slots{", &[]) + metric_value("slots_used", &[]), 4.0, "{text}");
    assert!(metric_value("store_calls", &["result=\"answered\""]) >= 2.0);
    assert!(metric_value("retries_left", &[]) > 0.0);
}
