// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Answers that begin and do not end: they end by the deadline of their request, or when their
//! caller leaves.

mod common;

use std::io::{Read, Write};
use std::sync::mpsc::{self, Receiver};
use std::sync::Mutex;
use std::thread;

use basaltarch_platform::headers::{self, names};
use common::client::{self, Reply};
use common::registered::{RegisteredFleet, HOST};
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use common::EVENT_TIMEOUT;
use test_case::test_case;

/// Time in milliseconds after which callers of unended answers give up.
const SHORT_DEADLINE_MS: &str = "1000";
/// Time in milliseconds after which a caller whose request is never answered gets 504: later than
/// the deadline of the others, and far earlier than the end of any wait that heeds no deadline.
const LONG_DEADLINE_MS: &str = "3000";

/// Size in bytes of the part of an answer that a server sends.
const BEGUN_BYTES: usize = 100_000;

/// What happened, in the order in which it happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TestEvent {
    /// The server has sent the start of its answer.
    AnswerBegun,
    /// The server has seen the end of the connection that it answered on.
    ServerConnectionEnded,
    /// The caller of the unended answer has seen the end of its connection.
    AnswerEnded,
    /// The caller of the request that is never answered got its reply.
    LongDeadlinePassed,
}

/// A daemon beside a server that begins the answer to each `begun` request and never ends it, and
/// answers no `silent` request at all; and a daemon without such a server.
struct UnendedFleet {
    fleet: RegisteredFleet,
    events: Receiver<TestEvent>,
    sender: mpsc::Sender<TestEvent>,
}

impl UnendedFleet {
    fn start() -> Self {
        let (sender, events) = mpsc::channel();
        let script_sender = Mutex::new(sender.clone());
        let server = ScriptedServer::start("i-1", move |exchange| {
            let sender = script_sender.lock().expect("sender").clone();
            respond(exchange, &sender)
        });
        let fleet = RegisteredFleet::start_beside(&[&server.backend]);
        common::eventually("the server is used", || {
            fleet.request(0, "GET", "/safe/ready", "ready").status == 200
        });
        Self { fleet, events, sender }
    }

    /// Sends a request with a deadline from a thread of its own, which sends `event` when the
    /// connection or the reply ends.
    fn send(&self, path: &'static str, deadline_ms: &'static str, event: TestEvent) {
        let callers = self.fleet.daemons[0].callers;
        let sender = self.sender.clone();
        thread::spawn(move || {
            let reply = send_request(callers, path, deadline_ms);
            assert!(reply.is_none_or(|reply| !reply.complete || reply.status == 504));
            let _ = sender.send(event);
        });
    }

    fn next_event(&self) -> TestEvent {
        self.events.recv_timeout(EVENT_TIMEOUT).expect("an event")
    }
}

fn respond(exchange: &mut ScriptedExchange<'_>, sender: &mpsc::Sender<TestEvent>) -> AfterExchange {
    exchange.read_body();
    if exchange.seen.line.contains("/begun") {
        let (id, id_name, stamp) = (&exchange.seen.id, names::REQUEST_ID, names::STAMP);
        let lines = format!("{id_name}: {id}\r\n{stamp}: stamp\r\nContent-Length: 900000\r\n");
        let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
        exchange.write(head.as_bytes());
        exchange.write(&[b'x'; BEGUN_BYTES]);
        let _ = sender.send(TestEvent::AnswerBegun);
        exchange.await_end();
        let _ = sender.send(TestEvent::ServerConnectionEnded);
        return AfterExchange::Close;
    }
    if exchange.seen.line.contains("/silent") {
        exchange.await_end();
        return AfterExchange::Close;
    }
    exchange.answer_platform("200 OK", "instance-id: i-1\r\n", "done");
    AfterExchange::Keep
}

fn send_request(callers: std::net::SocketAddr, path: &str, deadline_ms: &str) -> Option<Reply> {
    let fields = headers::exchange_fields();
    let request_field = fields.request.expect("a header field for request ids");
    let headers =
        [("Host", HOST), (request_field.as_str(), path), (fields.deadline.as_str(), deadline_ms)];
    client::try_call(callers, "GET", path, &headers, "")
}

// Guards against an answer whose end is awaited past the deadline of its request, while its caller
// waits and the server keeps a slot.
#[test]
fn verify_an_answer_that_has_begun_ends_by_the_deadline() {
    let unended = UnendedFleet::start();
    unended.send("/safe/silent", LONG_DEADLINE_MS, TestEvent::LongDeadlinePassed);
    unended.send("/safe/begun", SHORT_DEADLINE_MS, TestEvent::AnswerEnded);
    let events: Vec<TestEvent> = (0..4).map(|_| unended.next_event()).collect();
    assert_eq!(events[0], TestEvent::AnswerBegun);
    assert_eq!(events[3], TestEvent::LongDeadlinePassed, "{events:?}");
}

// Guards against servers that work on for a caller that left while its answer was relayed.
#[test_case("/safe/begun" ; "repeatable")]
#[test_case("/unsafe/begun" ; "not repeatable")]
fn verify_a_caller_that_leaves_during_its_answer_frees_its_server(path: &str) {
    let unended = UnendedFleet::start();
    unended.send("/safe/silent", LONG_DEADLINE_MS, TestEvent::LongDeadlinePassed);
    let mut stream = client::connect(unended.fleet.daemons[0].callers);
    let fields = headers::exchange_fields();
    let request_field = fields.request.expect("a header field for request ids");
    let headers =
        [("Host", HOST), (request_field.as_str(), "leaves"), (fields.deadline.as_str(), "30000")];
    let method = if path.starts_with("/safe") { "GET" } else { "POST" };
    let text = client::request_text(method, path, &headers, "");
    stream.write_all(text.as_bytes()).expect("write");
    assert_eq!(unended.next_event(), TestEvent::AnswerBegun);
    // Everything is read, so that the daemon waits for the next piece of the answer.
    stream.read_exact(&mut [0; BEGUN_BYTES]).expect("the start of the answer");
    drop(stream);
    assert_eq!(unended.next_event(), TestEvent::ServerConnectionEnded);
    assert_eq!(unended.next_event(), TestEvent::LongDeadlinePassed);
}
