// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! HTTP handling towards callers: answers to bad input, framing, pipelining, streaming,
//! back-pressure.

mod common;

use std::fs;
use std::io::{Read, Write};

use common::{client, FleetPlan, TestFleet};
use serde_json::json;
use test_case::test_case;

/// Largest head that a daemon accepts by default, in bytes.
const HEAD_BYTES_MAX: usize = 16_384;
/// Largest body in the test of the limits, in bytes.
const BODY_BYTES_MAX: usize = 1_000_000;

/// Starts a fleet whose daemons wait for at most 0.4 s for a request's head and for more of its
/// body, and accept bodies of up to 2 GB.
fn start_fleet_with_short_timeouts() -> TestFleet {
    let flags = vec![("head-ms", "400"), ("body-idle-ms", "400"), ("body-bytes", "2000000000")];
    TestFleet::start(&FleetPlan { daemon_flags: flags, ..FleetPlan::default() })
}

#[test]
fn verify_each_unusual_request_gets_its_status() {
    let many_fields = "a:\r\n".repeat(4000);
    let too_many_fields = "a:\r\n".repeat(HEAD_BYTES_MAX / 4);
    let long_value = "y".repeat(20_000);
    let host = "Host: solver.example\r\n";
    let cases: Vec<(&str, String, u16)> = vec![
        ("CL with TE", format!("POST / HTTP/1.1\r\n{host}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"), 400),
        ("two CLs", format!("POST / HTTP/1.1\r\n{host}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"), 400),
        ("two equal CLs", format!("POST / HTTP/1.1\r\n{host}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"), 400),
        ("CL with sign", format!("POST / HTTP/1.1\r\n{host}Content-Length: +3\r\n\r\nabc"), 400),
        ("unknown coding", format!("POST / HTTP/1.1\r\n{host}Transfer-Encoding: gzip, chunked\r\n\r\n"), 501),
        ("TE in HTTP/1.0", format!("POST / HTTP/1.0\r\n{host}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400),
        ("bad chunk size", format!("POST / HTTP/1.1\r\n{host}Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n"), 400),
        ("bad chunk end", format!("POST / HTTP/1.1\r\n{host}Transfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n0\r\n\r\n"), 400),
        ("huge chunk size", format!("POST / HTTP/1.1\r\n{host}Transfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\n"), 400),
        ("head too large", format!("GET / HTTP/1.1\r\n{host}x: {long_value}\r\n\r\n"), 431),
        ("many fields", format!("GET / HTTP/1.1\r\n{host}{many_fields}\r\n"), 200),
        ("too many fields", format!("GET / HTTP/1.1\r\n{host}{too_many_fields}\r\n"), 431),
        ("bare LF", "GET / HTTP/1.1\nHost: solver.example\n\n".to_owned(), 400),
        ("bare LF within", format!("GET / HTTP/1.1\r\n{host}a: b\nc: d\r\n\r\n"), 400),
        ("space before colon", format!("GET / HTTP/1.1\r\n{host}a : b\r\n\r\n"), 400),
        ("folded field", format!("GET / HTTP/1.1\r\n{host}a: b\r\n c\r\n\r\n"), 400),
        ("no host", "GET / HTTP/1.1\r\n\r\n".to_owned(), 400),
        ("two hosts", format!("GET / HTTP/1.1\r\n{host}{host}\r\n"), 400),
        ("unknown host", "GET / HTTP/1.1\r\nHost: nowhere\r\n\r\n".to_owned(), 404),
        ("authority target", format!("GET solver.example:80 HTTP/1.1\r\n{host}\r\n"), 400),
        ("CONNECT", format!("CONNECT solver.example:80 HTTP/1.1\r\n{host}\r\n"), 501),
        ("absolute target", "GET http://solver.example/x HTTP/1.1\r\nHost: other\r\n\r\n".to_owned(), 200),
        ("host with port", "GET / HTTP/1.1\r\nHost: Solver.Example:8080\r\n\r\n".to_owned(), 200),
        ("not HTTP", "\x16\x03\x01\x02\r\n\r\n".to_owned(), 400),
        ("slow head", format!("GET / HTTP/1.1\r\n{host}"), 408),
        ("slow body", format!("POST / HTTP/1.1\r\n{host}Content-Length: 10\r\n\r\nabc"), 408),
        ("unknown API key", format!("GET /keyed HTTP/1.1\r\n{host}Basaltarch-Key: who\r\n\r\n"), 401),
        ("claimed organisation", format!("GET /keyed HTTP/1.1\r\n{host}Basaltarch-Organisation: khlung-shop\r\n\r\n"), 401),
        ("known API key", format!("GET /keyed HTTP/1.1\r\n{host}Basaltarch-Key: khlung-key\r\n\r\n"), 200),
        ("bad deadline", format!("GET / HTTP/1.1\r\n{host}Basaltarch-Deadline-Ms: soon\r\n\r\n"), 400),
        ("empty lines first", format!("\r\n\r\nGET / HTTP/1.1\r\n{host}\r\n"), 200),
    ];
    let fleet = start_fleet_with_short_timeouts();
    for (case, text, status) in cases {
        let reply = client::send_raw(fleet.daemons[0].callers, text.as_bytes());
        let reply = reply.unwrap_or_else(|| panic!("{case}: no reply"));
        assert_eq!(reply.status, status, "{case}: {}", reply.text());
        if status >= 400 {
            assert_eq!(reply.outcome().as_deref(), Some("not-run"), "{case}");
            assert!(reply.header("proxy-status").is_some(), "{case}");
        }
    }
    assert_eq!(fleet.run_count("-"), 0);
    fleet.check_invariants();
}

/// Builds a request whose head has this many bytes.
fn request_with_head(bytes: usize) -> String {
    let start = "GET / HTTP/1.1\r\nHost: solver.example\r\nx: ";
    format!("{start}{}\r\n\r\n", "y".repeat(bytes - start.len() - 4))
}

/// Builds a request with a body of this many bytes.
fn request_with_body(bytes: usize) -> String {
    let head = "POST /echo HTTP/1.1\r\nHost: solver.example\r\n";
    format!("{head}Content-Length: {bytes}\r\n\r\n{}", "b".repeat(bytes))
}

/// Builds a request with a body of this many bytes in chunks.
fn request_with_chunks(bytes: usize) -> String {
    let head = "POST /echo HTTP/1.1\r\nHost: solver.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("3e8\r\n{}\r\n", "b".repeat(1000));
    format!(
        "{head}{}{:x}\r\n{}\r\n0\r\n\r\n",
        chunk.repeat(bytes / 1000 - 1),
        1000 + bytes % 1000,
        "b".repeat(1000 + bytes % 1000)
    )
}

#[test_case(request_with_head(HEAD_BYTES_MAX), 200 ; "the longest head")]
#[test_case(request_with_head(HEAD_BYTES_MAX + 1), 431 ; "a head of one byte more")]
#[test_case(request_with_body(BODY_BYTES_MAX), 200 ; "the longest body")]
#[test_case(request_with_body(BODY_BYTES_MAX + 1), 413 ; "a body of one byte more")]
#[test_case(request_with_chunks(BODY_BYTES_MAX), 200 ; "the longest body in chunks")]
#[test_case(request_with_chunks(BODY_BYTES_MAX + 1), 413 ; "chunks of one byte more")]
fn verify_a_request_up_to_each_limit_is_served(text: String, status: u16) {
    let body_bytes = BODY_BYTES_MAX.to_string();
    let flags = vec![("body-bytes", &*body_bytes.leak()), ("memory-mb", "16")];
    let plan = FleetPlan { daemons: 1, backends: 1, daemon_flags: flags, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    let reply = client::send_raw(fleet.daemons[0].callers, text.as_bytes()).expect("a reply");
    assert_eq!(reply.status, status, "{}", reply.text());
    let echoed = if text.starts_with("POST") && status == 200 { BODY_BYTES_MAX } else { 0 };
    assert!(reply.body.len() >= echoed, "{} bytes", reply.body.len());
}

/// Guards against a cost in pieces: a head and a body that come byte by byte are served all the same.
#[test]
fn verify_a_request_that_comes_byte_by_byte_is_served() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 1, backends: 1, ..FleetPlan::default() });
    let mut stream = client::connect(fleet.daemons[0].callers);
    let head = "POST /echo HTTP/1.1\r\nHost: solver.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!("{head}{}0\r\n\r\n", "1\r\nb\r\n".repeat(1000));
    for byte in text.as_bytes() {
        stream.write_all(&[*byte]).expect("write");
    }
    let reply = client::read_reply(&mut stream, "POST").expect("reply");
    assert_eq!((reply.status, reply.body.len()), (200, 1000));
}

#[test]
fn verify_pipelined_requests_are_answered_in_order() {
    let fleet = TestFleet::start(&FleetPlan { service_ms: 5, ..FleetPlan::default() });
    let mut stream = client::connect(fleet.daemons[0].callers);
    let mut text = String::new();
    for number in 0..20 {
        let id = format!("pipe-{number}");
        let headers = [("Host", "solver.example"), ("x-request-id", id.as_str())];
        text.push_str(&client::request_text("GET", "/puzzle", &headers, ""));
    }
    stream.write_all(text.as_bytes()).expect("write");
    let mut buffer = Vec::new();
    for number in 0..20 {
        let reply = client::read_next_reply(&mut stream, "GET", &mut buffer).expect("reply");
        assert_eq!(reply.header("x-request-id"), Some(format!("pipe-{number}")));
        assert!(reply.complete);
    }
}

#[test_case("HEAD", "/", 200 ; "head")]
#[test_case("GET", "/status/204", 204 ; "no content")]
#[test_case("GET", "/status/304", 304 ; "not modified")]
#[test_case("GET", "/status/418", 418 ; "caller fault")]
fn verify_bodiless_answers_leave_the_connection_usable(method: &str, path: &str, status: u16) {
    let fleet = TestFleet::start(&FleetPlan { daemons: 1, backends: 1, ..FleetPlan::default() });
    let mut stream = client::connect(fleet.daemons[0].callers);
    let mut buffer = Vec::new();
    for _ in 0..3 {
        let text = client::request_text(method, path, &[("Host", "solver.example")], "");
        stream.write_all(text.as_bytes()).expect("write");
        let reply = client::read_next_reply(&mut stream, method, &mut buffer).expect("reply");
        assert_eq!(reply.status, status);
        assert!(buffer.is_empty());
    }
}

#[test]
fn verify_chunked_and_expected_bodies_arrive_complete() {
    let fleet = start_fleet_with_short_timeouts();
    let mut stream = client::connect(fleet.daemons[0].callers);
    let head = "POST /echo HTTP/1.1\r\nHost: solver.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("write");
    stream.write_all(b"5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: 1\r\n\r\n").expect("write");
    let reply = client::read_reply(&mut stream, "POST").expect("reply");
    assert_eq!(reply.text(), "hello world");
    let head = "POST /echo HTTP/1.1\r\nHost: solver.example\r\nContent-Length: 3\r\n\
                Expect: 100-continue\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("write");
    let mut buffer = Vec::new();
    let interim_reply =
        client::read_next_reply(&mut stream, "POST", &mut buffer).expect("an interim response");
    assert_eq!(interim_reply.status, 100);
    stream.write_all(b"abc").expect("write");
    let reply = client::read_next_reply(&mut stream, "POST", &mut buffer).expect("reply");
    assert_eq!((reply.status, reply.text()), (200, "abc".to_owned()));
}

#[test]
fn verify_hop_by_hop_fields_are_dropped_and_forwarding_fields_are_set() {
    let fleet = start_fleet_with_short_timeouts();
    let headers = [
        ("Connection", "x-private, close"),
        ("X-Private", "1"),
        ("X-Forwarded-For", "198.51.100.7"),
        ("x-request-id", "hop"),
    ];
    let reply = fleet.request(0, "GET", "/", &headers, "");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection").as_deref(), Some("close"));
    let last_heads = fleet
        .backends
        .iter()
        .map(|b| b.run_counters()["last_head"].to_string())
        .collect::<String>();
    assert!(last_heads.contains("198.51.100.7, 127.0.0.1"), "{last_heads}");
    assert!(!last_heads.contains("x-private"), "{last_heads}");
    assert!(last_heads.contains("basaltarch-deadline-ms"), "{last_heads}");
}

/// Time-out in ms of the route over which a test transfers 1 GiB. On a busy machine the transfer
/// took longer than 5 s, the time-out of the other routes.
const LONG_TIMEOUT_MS: u64 = 600_000;

/// Reads the resident memory of a process in KiB.
fn read_resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("VmRSS");
    line.split_whitespace().nth(1).expect("number").parse().expect("number")
}

#[test]
fn verify_a_large_answer_to_a_slow_caller_does_not_grow_the_memory_of_daemons() {
    const BODY_LENGTH: usize = 1 << 30;
    // The only server is beside the first daemon, so that the body passes over the link between the
    // daemons.
    let fleet = TestFleet::start(&FleetPlan { backends: 1, ..FleetPlan::default() });
    let before_kib: Vec<u64> =
        fleet.daemons.iter().map(|daemon| read_resident_kib(daemon.process_id())).collect();
    let mut stream = client::connect(fleet.daemons[1].callers);
    let path = format!("/bytes/{BODY_LENGTH}");
    let text = client::request_text("GET", &path, &[("Host", "solver.example")], "");
    stream.write_all(text.as_bytes()).expect("write");
    let mut chunk = vec![0; 1 << 20];
    let mut received_bytes = 0;
    let mut growth_kib = 0;
    while received_bytes < BODY_LENGTH {
        let count = stream.read(&mut chunk).expect("read");
        assert!(count > 0, "answer cut after {received_bytes} of {BODY_LENGTH} bytes");
        received_bytes += count;
        for (daemon, before_kib) in fleet.daemons.iter().zip(&before_kib) {
            growth_kib =
                growth_kib.max(read_resident_kib(daemon.process_id()).saturating_sub(*before_kib));
        }
    }
    // For this transfer, a daemon holds one window of bytes in each direction and the queue of the
    // link. These are far smaller than the 1 GiB that was transferred.
    assert!(growth_kib < 16 * 1024, "a daemon grew by {growth_kib} KiB");
}

#[test]
fn verify_a_large_request_body_streams_through() {
    const BODY_LENGTH: usize = 1 << 30;
    let routes = json!({"sink": {"host": "solver.example", "path_prefix": "/sink",
        "service": "solver-app", "timeout_ms": LONG_TIMEOUT_MS}});
    // The only server is beside the first daemon, so that the body passes over the link between the
    // daemons.
    let fleet = TestFleet::start(&FleetPlan { backends: 1, routes, ..FleetPlan::default() });
    let before_kib: Vec<u64> =
        fleet.daemons.iter().map(|daemon| read_resident_kib(daemon.process_id())).collect();
    let mut stream = client::connect(fleet.daemons[1].callers);
    let head = format!(
        "POST /sink HTTP/1.1\r\nHost: solver.example\r\nContent-Length: {BODY_LENGTH}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("write");
    let chunk = vec![b'z'; 1 << 20];
    for _ in 0..BODY_LENGTH >> 20 {
        stream.write_all(&chunk).expect("write");
    }
    let reply = client::read_reply(&mut stream, "POST").expect("reply");
    assert_eq!(reply.status, 200);
    let body_bytes_received: u64 = fleet
        .backends
        .iter()
        .map(|b| b.run_counters()["body_bytes"].as_u64().expect("bytes"))
        .sum();
    assert_eq!(body_bytes_received, BODY_LENGTH as u64);
    for (daemon, before_kib) in fleet.daemons.iter().zip(&before_kib) {
        let growth_kib = read_resident_kib(daemon.process_id()).saturating_sub(*before_kib);
        assert!(growth_kib < 16 * 1024, "{} grew by {growth_kib} KiB", daemon.host);
    }
}

#[test]
fn verify_a_slow_caller_does_not_stall_others() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 2, backends: 2, ..FleetPlan::default() });
    let mut slow_streams = Vec::new();
    for _ in 0..3 {
        let mut stream = client::connect(fleet.daemons[0].callers);
        let text =
            client::request_text("GET", "/bytes/50000000", &[("Host", "solver.example")], "");
        stream.write_all(text.as_bytes()).expect("write");
        slow_streams.push(stream);
    }
    for number in 0..50 {
        let id = format!("quick-{number}");
        let reply = fleet.request(0, "GET", "/puzzle", &[("x-request-id", &id)], "");
        assert_eq!(reply.status, 200);
        assert_eq!(reply.header("x-request-id"), Some(id));
    }
}

#[test]
fn verify_a_disconnected_caller_cancels_its_request() {
    let fleet = TestFleet::start(&FleetPlan::default());
    let mut stream = client::connect(fleet.daemons[0].callers);
    let headers = [("Host", "solver.example"), ("x-work-ms", "4000")];
    let text = client::request_text("GET", "/plain", &headers, "");
    stream.write_all(text.as_bytes()).expect("write");
    let run_total = || fleet.backends.iter().map(|backend| backend.total_runs()).sum::<u64>();
    common::eventually("the request starts", || run_total() == 1);
    drop(stream);
    common::eventually("the backend server reports the cancellation", || {
        fleet.backends.iter().any(|backend| backend.run_counters()["cancelled"] == json!(1))
    });
}

#[test]
fn verify_one_address_cannot_take_all_connections() {
    let flags = vec![("connections-each", "2")];
    let plan = FleetPlan { daemons: 1, backends: 1, daemon_flags: flags, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    let callers = fleet.daemons[0].callers;
    let text = client::request_text("GET", "/", &[("Host", "solver.example")], "");
    let send_request = |stream: &mut std::net::TcpStream| {
        let sent = stream.write_all(text.as_bytes()).is_ok();
        sent.then(|| client::read_reply(stream, "GET")).flatten().map(|reply| reply.status)
    };
    let mut first_stream = client::connect(callers);
    let mut second_stream = client::connect(callers);
    assert_eq!(
        (send_request(&mut first_stream), send_request(&mut second_stream)),
        (Some(200), Some(200))
    );
    assert_eq!(send_request(&mut client::connect(callers)), None, "a third connection is closed");
    drop(first_stream);
    common::eventually("a new connection is accepted after one has closed", || {
        send_request(&mut client::connect(callers)) == Some(200)
    });
    assert_eq!(send_request(&mut second_stream), Some(200));
}

#[test]
fn verify_no_io_uring_is_created() {
    let fleet = TestFleet::start(&FleetPlan { daemons: 1, backends: 1, ..FleetPlan::default() });
    let files =
        fs::read_dir(format!("/proc/{}/fd", fleet.daemons[0].process_id())).expect("descriptors");
    let targets: Vec<String> = files
        .map_while(Result::ok)
        .filter_map(|file| fs::read_link(file.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    assert!(targets.iter().any(|target| target.contains("eventpoll")), "{targets:?}");
    assert!(!targets.iter().any(|target| target.contains("uring")), "{targets:?}");
}
