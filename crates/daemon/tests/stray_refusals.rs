// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that send bytes which belong to no request, or that respond to a request they ran with a
//! part of what makes a refusal. "Not run" is said only of a request that did not run.

mod common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use basaltarch_platform::headers::names;
use common::client::Reply;
use common::eventually;
use common::registered::RegisteredFleet;
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use test_case::test_case;

/// Requests of each test, so that both servers have used connections.
const REQUESTS: usize = 20;

/// Start of the line by which a response names the server that made it.
const NAMED: &str = "instance-id: ";
/// Shed notice of a response.
const NOTICE: &str = "not-executed: 1\r\n";

/// Ids of the requests that servers ran, an id for each run.
type RunList = Arc<Mutex<Vec<String>>>;

/// Runs a request and answers, all but the first time with `respond`.
fn run_and_respond(
    exchange: &mut ScriptedExchange<'_>,
    runs: &RunList,
    respond: impl Fn(&mut ScriptedExchange<'_>),
) {
    exchange.read_body();
    runs.lock().expect("runs").push(exchange.seen.id.clone());
    match exchange.number {
        0 => drop(exchange.answer_platform("200 OK", "", "done")),
        _ => respond(exchange),
    }
}

/// A fleet of two daemons whose servers run each request, and then respond in their own way.
struct StrayFleet {
    fleet: RegisteredFleet,
    runs: RunList,
}

impl StrayFleet {
    /// Starts servers that send `stray` in front of each answer but their first.
    fn start(stray: StrayResponse) -> Self {
        Self::start_with(move |exchange| {
            exchange.write(&stray.bytes());
            exchange.answer_platform("200 OK", "", "done");
        })
    }

    /// Starts servers that answer each request but their first with `respond`.
    fn start_with(
        respond: impl Fn(&mut ScriptedExchange<'_>) + Copy + Send + Sync + 'static,
    ) -> Self {
        let runs = RunList::default();
        let servers = ["i-1", "i-2"].map(|name| {
            let runs = runs.clone();
            ScriptedServer::start(name, move |exchange| {
                match exchange.seen.line.starts_with("GET /health") {
                    true => drop(exchange.answer("200 OK", &format!("{NAMED}{name}\r\n"), "")),
                    false => run_and_respond(exchange, &runs, respond),
                }
                AfterExchange::Keep
            })
        });
        Self::start_beside(&servers, runs)
    }

    /// Starts daemons beside these servers, and waits until each server has run a request.
    fn start_beside(servers: &[ScriptedServer; 2], runs: RunList) -> Self {
        let fleet = RegisteredFleet::start_beside(&[&servers[0].backend, &servers[1].backend]);
        let stray_fleet = Self { fleet, runs };
        for daemon in 0..servers.len() {
            let id = format!("first-{daemon}");
            eventually("the server beside the daemon is used", || {
                stray_fleet.fleet.request(daemon, "POST", "/unsafe/first", &id);
                stray_fleet.run_count(&id) > 0
            });
        }
        stray_fleet
    }

    /// Sends non-repeatable requests one after the other and returns each with its id.
    fn send_all(&self) -> Vec<(String, Reply)> {
        let ids = (0..REQUESTS).map(|number| format!("stray-{number}"));
        ids.map(|id| (id.clone(), self.fleet.request(0, "POST", "/unsafe/x", &id))).collect()
    }

    fn run_count(&self, id: &str) -> usize {
        self.runs.lock().expect("runs").iter().filter(|run| *run == id).count()
    }

    /// Sends non-repeatable requests, and checks that none ran twice, or ran although its caller was
    /// told that it didn't.
    fn check_promises(&self) {
        let replies = self.send_all();
        assert!(replies.iter().any(|(id, _)| self.run_count(id) > 0), "no request ran");
        for (id, reply) in replies {
            let runs = self.run_count(&id);
            let is_promise = matches!(reply.status, 408 | 421 | 429 | 503);
            assert!(!is_promise || runs == 0, "{id}: {} after {runs} runs", reply.status);
            assert!(runs <= 1, "{id}: {runs} runs");
        }
    }

    /// Checks that no daemon has recorded that a server is gone or leaving.
    fn check_servers(&self) {
        for daemon in &self.fleet.daemons {
            let log = daemon.log_text();
            let is_ended = log.contains("backend server gone") || log.contains("server leaving");
            assert!(!is_ended, "{}", daemon.host);
        }
    }
}

/// Servers that refuse each request when they first get it, and run it when they get it again. If it
/// comes along the connection of its refusal, a second copy of the refusal is in front of its answer.
fn start_servers_that_refuse_twice(runs: &RunList) -> [ScriptedServer; 2] {
    ["i-1", "i-2"].map(|name| {
        let runs = runs.clone();
        let refused = Mutex::new(HashMap::<String, SocketAddr>::new());
        ScriptedServer::start(name, move |exchange| {
            if exchange.seen.line.starts_with("GET /health") {
                exchange.answer("200 OK", &format!("{NAMED}{name}\r\n"), "");
                return AfterExchange::Keep;
            }
            exchange.read_body();
            let (id, peer) = (exchange.seen.id.clone(), exchange.peer());
            let refused_at = refused.lock().expect("refused").insert(id.clone(), peer);
            if refused_at.is_some() {
                runs.lock().expect("runs").push(id);
            }
            if refused_at.is_none_or(|refused_at| refused_at == peer) {
                exchange.answer_platform("503 Service Unavailable", NOTICE, "");
            }
            if refused_at.is_some() {
                exchange.answer_platform("200 OK", "", "done");
            }
            AfterExchange::Keep
        })
    })
}

/// A response without an id, and the field by which it says something of its server.
#[derive(Debug, Clone, Copy)]
struct StrayResponse {
    status: &'static str,
    notice: Option<&'static str>,
}

impl StrayResponse {
    fn bytes(self) -> Vec<u8> {
        let notice = self.notice.map(|name| format!("{name}: 1\r\n")).unwrap_or_default();
        let stamp = format!("{}: stamp\r\n", names::STAMP);
        let head = format!("HTTP/1.1 {}\r\n{notice}{stamp}Content-Length: 5\r\n\r\n", self.status);
        [head.as_bytes(), b"stray"].concat()
    }
}

const fn noticed(status: &'static str) -> StrayResponse {
    StrayResponse { status, notice: Some(names::NOT_RUN) }
}

const fn leaving(status: &'static str) -> StrayResponse {
    StrayResponse { status, notice: Some(names::LEAVING) }
}

const fn unnoticed(status: &'static str) -> StrayResponse {
    StrayResponse { status, notice: None }
}

// Guards against a request that runs after its caller, or another server, was told that it doesn't.
#[test_case(noticed("503 Service Unavailable") ; "shed")]
#[test_case(noticed("429 Too Many Requests") ; "limited")]
#[test_case(noticed("421 Misdirected Request") ; "misdirected")]
#[test_case(unnoticed("421 Misdirected Request") ; "misdirected without notice")]
#[test_case(noticed("408 Request Timeout") ; "timed out")]
#[test_case(noticed("400 Bad Request") ; "bad request")]
fn verify_a_refusal_that_names_no_request_is_not_believed(stray: StrayResponse) {
    StrayFleet::start(stray).check_promises();
}

// Guards against servers that get no requests for good after bytes that belong to none.
#[test_case(noticed("421 Misdirected Request") ; "with notice")]
#[test_case(unnoticed("421 Misdirected Request") ; "without notice")]
#[test_case(leaving("200 OK") ; "leaving")]
#[test_case(leaving("400 Bad Request") ; "leaving with an error")]
fn verify_no_server_is_ended_by_a_response_that_names_no_request(stray: StrayResponse) {
    let stray_fleet = StrayFleet::start(stray);
    stray_fleet.send_all();
    stray_fleet.check_servers();
}

// Guards against ready answers that are lost behind bytes that belong to no request.
#[test_case(noticed("503 Service Unavailable") ; "shed")]
#[test_case(noticed("421 Misdirected Request") ; "misdirected")]
#[test_case(unnoticed("200 OK") ; "success")]
#[test_case(unnoticed("500 Internal Server Error") ; "server error")]
fn verify_the_answer_behind_a_response_that_names_no_request_is_delivered(stray: StrayResponse) {
    let stray_fleet = StrayFleet::start(stray);
    for (id, reply) in stray_fleet.send_all() {
        assert_eq!((reply.status, reply.text().as_str()), (200, "done"), "{id}");
    }
}

// Guards against a response to a run request that is taken for its refusal, though a fact is missing.
#[test_case("421 Misdirected Request", "" ; "misdirected without notice")]
#[test_case("421 Misdirected Request", "instance-id: i-1\r\ninstance-id: i-2\r\n" ; "misdirected by two servers")]
#[test_case("408 Request Timeout", NOTICE ; "timed out with notice")]
#[test_case("400 Bad Request", NOTICE ; "bad request with notice")]
#[test_case("500 Internal Server Error", NOTICE ; "server error with notice")]
#[test_case("503 Service Unavailable", "not-executed: 0\r\n" ; "unavailable with notice that denies")]
#[test_case("503 Service Unavailable", "" ; "unavailable without notice")]
#[test_case("429 Too Many Requests", "" ; "limited without notice")]
#[test_case("408 Request Timeout", "" ; "timed out without notice")]
fn verify_a_response_that_lacks_a_fact_of_a_refusal_is_not_believed(
    status: &'static str,
    lines: &'static str,
) {
    let stray_fleet = StrayFleet::start_with(move |exchange| {
        exchange.answer_platform(status, lines, "");
    });
    stray_fleet.check_promises();
    stray_fleet.check_servers();
}

// Guards against a server that gets no requests for good after a single response.
#[test_case("not-executed: 1\r\n" ; "with notice")]
#[test_case("instance-id: i-9\r\n" ; "in the name of another server")]
#[test_case("not-executed: 1\r\ninstance-id: i-9\r\n" ; "with notice in the name of another server")]
#[test_case("not-executed: 1\r\nserver-leaving: 1\r\n" ; "with the leaving of an unnamed server")]
fn verify_no_server_is_ended_by_a_single_response(lines: &'static str) {
    let stray_fleet = StrayFleet::start_with(move |exchange| match exchange.number {
        1..=3 => drop(exchange.answer_platform("421 Misdirected Request", lines, "")),
        _ => drop(exchange.answer_platform("200 OK", "", "done")),
    });
    let replies = stray_fleet.send_all();
    assert!(replies.iter().rev().take(REQUESTS / 2).all(|(_, reply)| reply.status == 200));
    stray_fleet.check_servers();
}

// Guards against the refusal of one attempt that is taken for the refusal of a later attempt, which
// ran, at the same server.
#[test]
fn verify_a_second_copy_of_a_refusal_is_not_believed_of_a_later_attempt() {
    let runs = RunList::default();
    let servers = start_servers_that_refuse_twice(&runs);
    let stray_fleet = StrayFleet::start_beside(&servers, runs);
    stray_fleet.send_all();
    stray_fleet.check_promises();
}
