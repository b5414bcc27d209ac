// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that send bytes without end, in a head or a body, until their connection ends. The
//! request ends with a true status, and so does the connection.

mod common;

use std::io::{Read, Write};
use std::sync::mpsc::{self, Receiver};
use std::sync::Mutex;

use basaltarch_platform::headers::names;
use common::client::{self, Reply};
use common::registered::{RegisteredFleet, HOST};
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use common::{eventually, EVENT_TIMEOUT};
use test_case::test_case;

/// Bytes that a server sends over and over.
const PIECE: &[u8] = &[b'a'; 16 * 1024];
/// A chunk that a server sends over and over.
const CHUNK: &[u8] = b"4\r\nmore\r\n";

/// A daemon with a server whose every response is a script. The end of each connection is noted.
struct EndlessFleet {
    fleet: RegisteredFleet,
    connection_ends: Receiver<()>,
}

impl EndlessFleet {
    fn start(respond: fn(&mut ScriptedExchange<'_>)) -> Self {
        let (sender, connection_ends) = mpsc::channel();
        let sender = Mutex::new(sender);
        let server = ScriptedServer::start("i-1", move |exchange| {
            exchange.read_body();
            respond(exchange);
            exchange.await_end();
            let _ = sender.lock().expect("sender").send(());
            AfterExchange::Close
        });
        let fleet = RegisteredFleet::start_beside(&[&server.backend]);
        eventually("the document is in force", || fleet.daemons[0].revision() == 1);
        Self { fleet, connection_ends }
    }

    /// Sends a non-repeatable request.
    fn send(&self) -> Reply {
        self.fleet.request(0, "POST", "/unsafe/x", "endless")
    }

    fn wait_connection_end(&self) {
        self.connection_ends.recv_timeout(EVENT_TIMEOUT).expect("the connection ends");
    }
}

/// Builds the header lines by which a response is bound to the request with this id.
fn build_bound_lines(id: &str) -> String {
    format!("{}: {id}\r\n{}: stamp\r\n", names::REQUEST_ID, names::STAMP)
}

/// Starts a response with the id of the request whose body comes in chunks.
fn start_chunked(exchange: &mut ScriptedExchange<'_>, status: &str, id: &str, lines: &str) {
    let bound_lines = build_bound_lines(id);
    let head =
        format!("HTTP/1.1 {status}\r\n{bound_lines}{lines}Transfer-Encoding: chunked\r\n\r\n");
    exchange.write(head.as_bytes());
}

fn start_refusal(exchange: &mut ScriptedExchange<'_>) {
    let id = exchange.seen.id.clone();
    let notice = format!("{}: 1\r\n", names::NOT_RUN);
    start_chunked(exchange, "503 Service Unavailable", &id, &notice);
}

fn refuse_without_end(exchange: &mut ScriptedExchange<'_>) {
    start_refusal(exchange);
    exchange.write_until_ended(CHUNK);
}

fn refuse_and_fall_silent(exchange: &mut ScriptedExchange<'_>) {
    start_refusal(exchange);
    exchange.write(CHUNK);
}

// Guards against refusals that are known at once and told at the deadline.
#[test_case(refuse_without_end ; "bytes without end")]
#[test_case(refuse_and_fall_silent ; "silence")]
fn verify_a_refusal_whose_body_does_not_end_is_told_at_once(
    respond: fn(&mut ScriptedExchange<'_>),
) {
    let endless_fleet = EndlessFleet::start(respond);
    let reply = endless_fleet.send();
    assert_eq!((reply.status, reply.reason().as_deref()), (503, Some("shed")), "{}", reply.text());
    endless_fleet.wait_connection_end();
}

fn answer_another_without_end(exchange: &mut ScriptedExchange<'_>) {
    start_chunked(exchange, "200 OK", "another", "");
    exchange.write_until_ended(CHUNK);
}

fn answer_none_without_end(exchange: &mut ScriptedExchange<'_>) {
    exchange.write(b"HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n");
    exchange.write_until_ended(CHUNK);
}

fn send_bare_bytes(exchange: &mut ScriptedExchange<'_>) {
    exchange.write_until_ended(PIECE);
}

fn send_empty_lines_without_end(exchange: &mut ScriptedExchange<'_>) {
    exchange.write_until_ended(b"\r\n\r\n");
}

fn send_head_without_end(exchange: &mut ScriptedExchange<'_>) {
    exchange.write(b"HTTP/1.1 200 OK\r\nX-More: ");
    exchange.write_until_ended(PIECE);
}

fn send_fields_without_end(exchange: &mut ScriptedExchange<'_>) {
    exchange.write(b"HTTP/1.1 200 OK\r\n");
    exchange.write_until_ended(b"X-More: a\r\n");
}

fn send_continues_without_end(exchange: &mut ScriptedExchange<'_>) {
    exchange.write_until_ended(b"HTTP/1.1 100 Continue\r\n\r\n");
}

fn send_trailers_without_end(exchange: &mut ScriptedExchange<'_>) {
    let id = exchange.seen.id.clone();
    start_chunked(exchange, "200 OK", &id, "");
    exchange.write(b"4\r\ndone\r\n0\r\n");
    exchange.write_until_ended(b"X-More: a\r\n");
}

fn send_chunk_line_without_end(exchange: &mut ScriptedExchange<'_>) {
    let id = exchange.seen.id.clone();
    start_chunked(exchange, "200 OK", &id, "");
    exchange.write_until_ended(b"00000000");
}

// Guards against requests that wait until their deadline for the end of bytes that are no answer.
#[test_case(answer_another_without_end ; "body of another request")]
#[test_case(answer_none_without_end ; "body of no request")]
#[test_case(send_bare_bytes ; "bare bytes")]
#[test_case(send_empty_lines_without_end ; "empty lines")]
#[test_case(send_head_without_end ; "head")]
#[test_case(send_fields_without_end ; "header fields")]
#[test_case(send_continues_without_end ; "interim responses")]
#[test_case(send_trailers_without_end ; "trailers")]
#[test_case(send_chunk_line_without_end ; "chunk size")]
fn verify_bytes_without_end_that_are_no_answer_end_the_request(
    respond: fn(&mut ScriptedExchange<'_>),
) {
    let endless_fleet = EndlessFleet::start(respond);
    let reply = endless_fleet.send();
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(reply.outcome().as_deref(), Some("unknown"));
    endless_fleet.wait_connection_end();
}

fn answer_without_end(exchange: &mut ScriptedExchange<'_>) {
    let id = exchange.seen.id.clone();
    start_chunked(exchange, "200 OK", &id, "");
    exchange.write_until_ended(CHUNK);
}

fn fail_without_end(exchange: &mut ScriptedExchange<'_>) {
    let id = exchange.seen.id.clone();
    start_chunked(exchange, "500 Internal Server Error", &id, "");
    exchange.write_until_ended(CHUNK);
}

fn answer_until_close_without_end(exchange: &mut ScriptedExchange<'_>) {
    let id = exchange.seen.id.clone();
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", build_bound_lines(&id));
    exchange.write(head.as_bytes());
    exchange.write_until_ended(PIECE);
}

// Guards against servers that go on sending to a caller that has left.
#[test_case(answer_without_end ; "success")]
#[test_case(fail_without_end ; "server error")]
#[test_case(answer_until_close_without_end ; "success without length")]
fn verify_an_answer_without_end_ends_with_its_caller(respond: fn(&mut ScriptedExchange<'_>)) {
    let endless_fleet = EndlessFleet::start(respond);
    let mut stream = client::connect(endless_fleet.fleet.daemons[0].callers);
    let request = client::request_text("POST", "/unsafe/x", &[("Host", HOST)], "x");
    stream.write_all(request.as_bytes()).expect("written");
    let mut piece = [0; 16 * 1024];
    assert!(stream.read(&mut piece).expect("the answer begins") > 0);
    drop(stream);
    endless_fleet.wait_connection_end();
}
