// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that send bytes which belong to no request. "Not run" is said only of a request that did
//! not run.

mod common;

use std::sync::{Arc, Mutex};

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
fn run_with_stray(exchange: &mut ScriptedExchange<'_>, runs: &RunList, stray: &str) {
    exchange.read_body();
    runs.lock().expect("runs").push(exchange.seen.id.clone());
    exchange.write(stray.as_bytes());
    exchange.answer_platform("200 OK", "", "done");
}

/// A fleet of two daemons whose servers send `stray` in front of each answer but their first.
struct StrayFleet {
    fleet: RegisteredFleet,
    runs: RunList,
}

impl StrayFleet {
    fn start(stray: &'static str) -> Self {
        let runs = RunList::default();
        let servers = ["i-1", "i-2"].map(|name| {
            let runs = runs.clone();
            ScriptedServer::start(name, move |exchange| {
                let stray = if exchange.number == 0 { "" } else { stray };
                run_with_stray(exchange, &runs, stray);
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

const SHED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const LIMITED: &str =
    "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str =
    "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED_WITHOUT_NOTICE: &str =
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
const TIMED_OUT: &str =
    "HTTP/1.1 408 Request Timeout\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST: &str =
    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against a request that runs after its caller, or another server, was told that it doesn't.
#[test_case(SHED ; "shed")]
#[test_case(LIMITED ; "limited")]
#[test_case(MISDIRECTED ; "misdirected")]
#[test_case(MISDIRECTED_WITHOUT_NOTICE ; "misdirected without notice")]
#[test_case(TIMED_OUT ; "timed out")]
#[test_case(BAD_REQUEST ; "bad request")]
fn verify_a_refusal_that_names_no_request_is_not_believed(stray: &'static str) {
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
#[test_case(MISDIRECTED ; "with notice")]
#[test_case(MISDIRECTED_WITHOUT_NOTICE ; "without notice")]
fn verify_no_server_is_ended_by_a_response_that_names_no_request(stray: &'static str) {
    let stray_fleet = StrayFleet::start(stray);
    stray_fleet.send_all();
    for daemon in &stray_fleet.fleet.daemons {
        assert!(!daemon.log_text().contains("backend server gone"), "{}", daemon.host);
    }
}

// Guards against ready answers that are lost behind bytes that belong to no request.
#[test_case(SHED ; "shed")]
#[test_case(MISDIRECTED ; "misdirected")]
#[test_case("HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nContent-Length: 5\r\n\r\nstray" ; "success")]
#[test_case("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nstray" ; "server error")]
fn verify_the_answer_behind_a_response_that_names_no_request_is_delivered(stray: &'static str) {
    let stray_fleet = StrayFleet::start(stray);
    for (id, reply) in stray_fleet.send_all() {
        assert_eq!((reply.status, reply.text().as_str()), (200, "done"), "{id}");
    }
}
