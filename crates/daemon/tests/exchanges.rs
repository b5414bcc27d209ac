// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Exchanges whose messages don't pass in one go: a server runs what one caller sent, whole, and a
//! caller's complete answer is what one server sent, whole.

mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};

use common::client::{self, Reply};
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use common::{eventually, FleetPlan, TestFleet, EVENT_TIMEOUT};
use serde_json::json;
use test_case::test_case;

/// Bytes of a body that an ingress keeps for a further attempt, at least.
const KEPT_BYTES: usize = 64 * 1024;

/// A fleet of two daemons whose servers are scripted.
struct ScriptedFleet {
    fleet: TestFleet,
    servers: Vec<ScriptedServer>,
}

impl ScriptedFleet {
    /// Starts a fleet whose servers run beside the first and the second daemon in turn.
    fn start(servers: Vec<ScriptedServer>) -> Self {
        Self::start_beside(servers, &["host-a", "host-b"])
    }

    /// Starts a fleet whose servers run beside the second daemon, so that requests to the first
    /// daemon cross a link between failure domains.
    fn start_far(servers: Vec<ScriptedServer>) -> Self {
        Self::start_beside(servers, &["host-b"])
    }

    fn start_beside(servers: Vec<ScriptedServer>, hosts: &[&str]) -> Self {
        let plan = FleetPlan { daemons: 2, backends: 0, ..FleetPlan::default() };
        let mut fleet = TestFleet::start_unconfigured(&plan);
        fleet.backends = servers.iter().map(|server| server.backend.clone()).collect();
        let mut configuration = fleet.build_configuration(&plan);
        for (index, server) in servers.iter().enumerate() {
            let host = hosts[index % hosts.len()];
            let daemon = fleet.daemons.iter().find(|daemon| daemon.host == host).expect("a host");
            let entry = &mut configuration["backend-servers"][&server.backend.name];
            entry["host"] = json!(host);
            entry["failure_domain"] = json!(daemon.domain);
        }
        let reply = fleet.apply(&configuration);
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        Self { fleet, servers }
    }

    /// Sends a request and reads its answer.
    fn send(&self, daemon: usize, request: &[u8]) -> Option<Reply> {
        client::send_raw(self.fleet.daemons[daemon].callers, request)
    }

    /// Checks that each request that reached a server is one of `sent`, whole and unchanged if it
    /// was read to its end, and returns how often each was read to its end.
    fn count_whole(&self, sent: &BTreeMap<String, Vec<u8>>) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for seen in self.servers.iter().flat_map(ScriptedServer::seen) {
            let body = sent.get(&seen.id).unwrap_or_else(|| panic!("not sent: {}", seen.line));
            assert!(body.starts_with(&seen.body), "{}: other bytes than sent", seen.id);
            if seen.is_whole {
                assert_eq!(seen.body.len(), body.len(), "{}: a part runs as the whole", seen.id);
                *counts.entry(seen.id).or_default() += 1;
            }
        }
        counts
    }
}

/// Builds a body whose bytes differ with their position.
fn build_body(length: usize) -> Vec<u8> {
    (0..length).map(|index| b'a' + ((index / 7 + index / 1031) % 26) as u8).collect()
}

/// Builds a request for the host `solver.example`.
fn build_request(path: &str, id: &str, body: &[u8], chunked: bool) -> Vec<u8> {
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", body.len()),
    };
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: solver.example\r\nx-request-id: {id}\r\n{framing}\r\n"
    );
    let mut request = format!("{head}\r\n").into_bytes();
    if !chunked {
        request.extend_from_slice(body);
        return request;
    }
    for piece in body.chunks(10_000) {
        write!(request, "{:x}\r\n", piece.len()).expect("memory");
        request.extend_from_slice(piece);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// How the first exchange at any server ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstEnd {
    Shed,
    Fail,
    Close,
}

fn end_first(exchange: &mut ScriptedExchange<'_>, first: FirstEnd) -> AfterExchange {
    exchange.read_body();
    match first {
        FirstEnd::Shed => exchange.answer_shed(),
        FirstEnd::Fail => exchange.answer("500 Internal Server Error", "", "failed"),
        FirstEnd::Close => return AfterExchange::Close,
    };
    AfterExchange::Keep
}

/// Starts a fleet of two servers: the first exchange at either ends as `first` says, the others
/// are answered.
fn start_failing_once(first: FirstEnd) -> ScriptedFleet {
    let seen = Arc::new(AtomicUsize::new(0));
    let start = |name: &str| {
        let seen = seen.clone();
        ScriptedServer::start(name, move |exchange| {
            if seen.fetch_add(1, Ordering::SeqCst) == 0 {
                return end_first(exchange, first);
            }
            if !exchange.read_body() {
                return AfterExchange::Close;
            }
            exchange.answer("200 OK", "", "done");
            AfterExchange::Keep
        })
    };
    ScriptedFleet::start(vec![start("server-1"), start("server-2")])
}

/// Guards against a request that runs with the kept start of its body in place of the whole.
#[test_case(FirstEnd::Shed, "/plain", 503 ; "the server sheds it")]
#[test_case(FirstEnd::Fail, "/puzzle", 500 ; "the server fails it")]
#[test_case(FirstEnd::Close, "/puzzle", 502 ; "the connection closes")]
fn verify_a_body_that_is_not_kept_whole_is_not_sent_again(
    first: FirstEnd,
    path: &str,
    status: u16,
) {
    let lengths = [0, KEPT_BYTES - 1, KEPT_BYTES, KEPT_BYTES + 1, 90_000, 400_000];
    for (daemon, chunked) in [(0, false), (1, false), (0, true), (1, true)] {
        for length in lengths {
            let scripted = start_failing_once(first);
            let body = build_body(length);
            let request = build_request(path, "long", &body, chunked);
            let reply = scripted.send(daemon, &request).expect("an answer");
            let sent = BTreeMap::from([("long".to_owned(), body)]);
            // A body that was kept whole can be sent again; a longer one can't.
            let is_kept = length <= KEPT_BYTES;
            let is_long = length >= 2 * KEPT_BYTES;
            let is_sent_again = is_kept || !is_long && reply.status == 200;
            let status = if is_sent_again { 200 } else { status };
            assert_eq!(reply.status, status, "{length} bytes: {}", reply.head);
            let runs = 1 + usize::from(is_sent_again);
            eventually("the servers have the runs", || {
                scripted.count_whole(&sent).get("long") == Some(&runs)
            });
            scripted.fleet.check_invariants();
        }
    }
}

/// Sends `before`, waits for `event`, sends `after` and then reads the answer.
fn send_around(
    callers: SocketAddr,
    before: &[u8],
    event: &Receiver<()>,
    after: &[u8],
) -> Option<Reply> {
    let mut stream = client::connect(callers);
    stream.write_all(before).expect("written");
    event.recv_timeout(EVENT_TIMEOUT).expect("the event");
    stream.write_all(after).expect("written");
    client::read_reply(&mut stream, "POST")
}

/// Guards against a cut answer that looks complete because the upload took the reset's error.
#[test_case("" ; "without a length")]
#[test_case("Content-Length: 1000000000\r\n" ; "with a length")]
fn verify_a_reset_answer_never_looks_complete(framing: &'static str) {
    let (closing, is_closing) = mpsc::channel();
    let closing = Mutex::new(closing);
    let server = ScriptedServer::start("server-1", move |exchange| {
        exchange.write(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes());
        exchange.write_until_blocked(&[b'z'; 64 * 1024]);
        exchange.await_unread_bytes();
        closing.lock().expect("sender").send(()).expect("sent");
        AfterExchange::Close
    });
    let scripted = ScriptedFleet::start(vec![server]);
    for daemon in [0, 1] {
        let request = build_request("/plain", "cut", &build_body(400_000), true);
        let (before, after) = request.split_at(200_000);
        let callers = scripted.fleet.daemons[daemon].callers;
        let reply = send_around(callers, before, &is_closing, &after[..10_000]);
        let reply = reply.expect("the head of the answer");
        assert_eq!((reply.status, reply.complete), (200, false), "{} bytes", reply.body.len());
    }
}

/// Guards against a request that is read as the rest of a body that was answered early.
#[test_case("503 Service Unavailable", "basaltarch-shed: 1\r\n" ; "the server sheds it")]
#[test_case("500 Internal Server Error", "" ; "the server fails it")]
#[test_case("413 Content Too Large", "" ; "the server rejects it")]
#[test_case("200 OK", "" ; "the server answers it")]
fn verify_no_request_follows_an_unsent_body_on_its_connection(
    status: &'static str,
    lines: &'static str,
) {
    let server = ScriptedServer::start("server-1", move |exchange| {
        let is_long = exchange.seen.id.starts_with("long");
        if is_long {
            exchange.answer(status, lines, "");
        }
        // The server reads on after its answer, and keeps the connection.
        if !exchange.read_body() {
            return AfterExchange::Close;
        }
        if !is_long {
            exchange.answer("200 OK", "", "done");
        }
        AfterExchange::Keep
    });
    let scripted = ScriptedFleet::start(vec![server]);
    let mut sent = BTreeMap::new();
    for (number, length) in [100, 90_000, 200_000, 200_000].into_iter().enumerate() {
        for (daemon, chunked) in [(0, false), (1, false), (0, true), (1, true)] {
            let id = format!("long-{number}-{daemon}-{chunked}");
            let body = build_body(length);
            let request = build_request("/plain", &id, &body, chunked);
            sent.insert(id, body);
            let mut stream = client::connect(scripted.fleet.daemons[daemon].callers);
            // The rest of the body never comes.
            stream.write_all(&request[..request.len() - 10]).expect("written");
            let is_passed_on = length > 2 * KEPT_BYTES;
            let reply = is_passed_on.then(|| client::read_reply(&mut stream, "POST"));
            let status_sent = status.split(' ').next().expect("a code");
            if let Some(reply) = reply {
                assert_eq!(reply.expect("an answer").status.to_string(), status_sent);
            }
            let id = format!("short-{number}-{daemon}-{chunked}");
            sent.insert(id.clone(), b"short".to_vec());
            let reply = scripted.send(0, &build_request("/plain", &id, b"short", false));
            assert_eq!(reply.expect("an answer").status, 200, "{id}");
        }
    }
    eventually("each short request ran once", || {
        let counts = scripted.count_whole(&sent);
        let short_runs =
            counts.iter().filter(|(id, count)| id.starts_with("short") && **count == 1);
        short_runs.count() == 16
    });
}

/// Length of an answer that an ingress gets from its start on, as it is too long to be buffered.
const LONG_ANSWER: usize = 100_000;

/// Starts a server that begins its answer before it reads the body of the request.
fn start_early(name: &str) -> ScriptedServer {
    ScriptedServer::start(name, |exchange| {
        exchange
            .write(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER}\r\n\r\n").as_bytes());
        exchange.write(&[b'e'; LONG_ANSWER / 2]);
        if !exchange.read_body() {
            return AfterExchange::Close;
        }
        exchange.write(&[b'e'; LONG_ANSWER / 2]);
        AfterExchange::Keep
    })
}

/// Guards against a body with a hole where an early answer ended the wait that was sending it.
#[test_case(false ; "with a length")]
#[test_case(true ; "in chunks")]
fn verify_an_early_answer_leaves_no_hole_in_the_body(chunked: bool) {
    let scripted = ScriptedFleet::start_far(vec![start_early("server-1"), start_early("server-2")]);
    let mut sent = BTreeMap::new();
    for number in 0..10 {
        for (daemon, length) in [0, 1]
            .into_iter()
            .flat_map(|daemon| [300, 60_000, 90_000, 250_000].map(|l| (daemon, l)))
        {
            let id = format!("{number}-{daemon}-{length}");
            let body = build_body(length);
            let request = build_request("/plain", &id, &body, chunked);
            sent.insert(id.clone(), body);
            let reply = scripted.send(daemon, &request).expect("an answer");
            assert_eq!((reply.status, reply.complete), (200, true), "{id}");
            assert_eq!(reply.body, [b'e'; LONG_ANSWER], "{id}");
        }
    }
    eventually("each body arrived whole", || scripted.count_whole(&sent).len() == sent.len());
}
