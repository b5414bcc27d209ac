// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that send bytes which belong to no request. "Not run" is said only of a request that did
//! not run.

mod common;

use std::sync::{Arc, Mutex};

use basaltarch_platform::headers::names;
use common::client::Reply;
use common::eventually;
use common::registered::RegisteredFleet;
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use test_case::test_case;

/// Requests of each test, so that both servers have used connections.
const REQUESTS: usize = 20;

/// Ids of the requests that servers ran, an id for each run.
type RunList = Arc<Mutex<Vec<String>>>;

/// Runs a request, sends `stray` in front of the answer to it, and answers.
fn run_with_stray(exchange: &mut ScriptedExchange<'_>, runs: &RunList, stray: &[u8]) {
    exchange.read_body();
    runs.lock().expect("runs").push(exchange.seen.id.clone());
    exchange.write(stray);
    exchange.answer_platform("200 OK", "", "done");
}

/// A fleet of two daemons whose servers send `stray` in front of each answer but their first.
struct StrayFleet {
    fleet: RegisteredFleet,
    runs: RunList,
}

impl StrayFleet {
    fn start(stray: StrayResponse) -> Self {
        let runs = RunList::default();
        let servers = ["i-1", "i-2"].map(|name| {
            let runs = runs.clone();
            ScriptedServer::start(name, move |exchange| {
                let stray = if exchange.number == 0 { Vec::new() } else { stray.bytes() };
                run_with_stray(exchange, &runs, &stray);
                AfterExchange::Keep
            })
        });
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
    let stray_fleet = StrayFleet::start(stray);
    let replies = stray_fleet.send_all();
    assert!(replies.iter().any(|(id, _)| stray_fleet.run_count(id) > 0), "no request ran");
    for (id, reply) in replies {
        let runs = stray_fleet.run_count(&id);
        let is_promise = matches!(reply.status, 408 | 421 | 429 | 503);
        assert!(!is_promise || runs == 0, "{id}: {} after {runs} runs", reply.status);
        assert!(runs <= 1, "{id}: {runs} runs");
    }
}

// Guards against servers that get no requests for good after bytes that belong to none.
#[test_case(noticed("421 Misdirected Request") ; "with notice")]
#[test_case(unnoticed("421 Misdirected Request") ; "without notice")]
#[test_case(leaving("200 OK") ; "leaving")]
#[test_case(leaving("400 Bad Request") ; "leaving with an error")]
fn verify_no_server_is_ended_by_a_response_that_names_no_request(stray: StrayResponse) {
    let stray_fleet = StrayFleet::start(stray);
    stray_fleet.send_all();
    for daemon in &stray_fleet.fleet.daemons {
        let log = daemon.log_text();
        let is_ended = log.contains("backend server gone") || log.contains("server leaving");
        assert!(!is_ended, "{}", daemon.host);
    }
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
