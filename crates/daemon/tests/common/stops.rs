// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests to daemons that are shutting down.

use std::io::{self, Write};
use std::net::TcpStream;

use crate::common::client::{self, Reply};
use crate::common::{eventually, TestDaemon, TestFleet};

/// A request to a daemon that is shutting down, and its reply.
pub struct StopRequest {
    pub id: String,
    pub reply: Option<Reply>,
}

impl StopRequest {
    /// Checks that the request ran exactly once if the reply is a complete 200. Otherwise checks
    /// that the request never ran, and that the reply, if there is one, has status 503.
    pub fn check_runs(&self, fleet: &TestFleet) {
        let runs = fleet.run_count(&self.id);
        let expected = match &self.reply {
            Some(reply) if reply.status == 200 && reply.complete => 1,
            Some(reply) => {
                assert_eq!(reply.status, 503, "{}: {}", self.id, reply.text());
                0
            }
            None => 0,
        };
        assert_eq!(
            runs, expected,
            "wrong number of runs of {}, whose reply is {:?}",
            self.id, self.reply
        );
    }
}

/// Sends a non-repeatable request with a service time of `work_ms`, without reading the reply.
pub fn write_request(stream: &mut TcpStream, id: &str, work_ms: &str) -> io::Result<()> {
    let headers = [("Host", "solver.example"), ("x-work-ms", work_ms), ("x-request-id", id)];
    stream.write_all(client::request_text("POST", "/plain", &headers, "x").as_bytes())
}

/// Sends a non-repeatable request and waits until the reply is read or the connection ends.
pub fn send_request(stream: &mut TcpStream, id: &str, work_ms: &str) -> Option<Reply> {
    write_request(stream, id, work_ms).ok()?;
    client::read_reply(stream, "POST")
}

/// Waits until a daemon has logged an event.
pub fn wait_event(daemon: &TestDaemon, event: &str) {
    let text = format!("\"message\":\"{event}\"");
    eventually(event, || daemon.log_text().contains(&text));
}

/// Asks a daemon to stop and waits until the daemon begins its graceful shutdown.
pub fn request_stop(daemon: &TestDaemon) {
    daemon.signal("-TERM");
    wait_event(daemon, "leaving");
}
