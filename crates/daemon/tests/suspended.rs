// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Hosts that are suspended: time limits that passed during the suspend have expired on resume, and
//! durations measured across the suspend do not count.

mod common;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use basaltarch_decide::suspects::TRIAL_EVERY;
use common::client::{self, Reply};
use common::inline::InlineDaemon;
use common::{eventually, TestBackend, TestPlatform};
use serde_json::{json, Value};

/// Header with the deadline of the requests. The deadline is longer than any wait of a test, so
/// that only a suspend can make the deadline pass.
const DEADLINE_HEADER: (&str, &str) = ("basaltarch-deadline-ms", "600000");
/// Length of a suspend that is longer than the deadline in [`DEADLINE_HEADER`].
const SUSPEND_LENGTH: Duration = Duration::from_secs(1200);

/// A host whose suspend can be simulated, with one backend server.
struct SuspendableHost {
    _platform: TestPlatform,
    daemon: InlineDaemon,
    backend: TestBackend,
}

impl SuspendableHost {
    /// Starts a host with one backend server of this many slots.
    fn start(slots: u32) -> Self {
        let platform = TestPlatform::start();
        let daemon = InlineDaemon::start(platform.address, "host-a", "bkk-a");
        let backend = TestBackend::start("server-1", 0);
        let host = Self { _platform: platform, daemon, backend };
        eventually("the daemon is ready", || {
            client::try_call(host.daemon.admin, "GET", "/readyz", &[], "")
                .is_some_and(|reply| reply.status == 200)
        });
        let server = json!({"service": "solver-app", "host": "host-a", "slots": slots, "connections": 50,
            "address": host.backend.address.to_string(), "failure_domain": "bkk-a"});
        let route = json!({"host": "solver.example", "path_prefix": "/", "service": "solver-app",
            "timeout_ms": 600_000});
        let change = |kind: &str, name: &str, value: Value| json!({"kind": kind, "name": name, "value": value});
        let changes = json!({"changes": [
            change("failure-domains", "bkk-a", json!({"region": "bangkok"})),
            change("services", "solver-app", json!({"floor": 0.5})),
            change("backend-servers", "server-1", server),
            change("routes", "puzzle", route),
        ]});
        let reply = host.call_admin("POST", "/v1/apply", &changes.to_string());
        assert_eq!(reply.status, 200, "{}", reply.text());
        host
    }

    fn call_admin(&self, method: &str, path: &str, body: &str) -> Reply {
        let token = [("Authorization", "Bearer operator-token")];
        client::call(self.daemon.admin, method, path, &token, body)
    }

    fn server_health(&self) -> Value {
        let health = self.call_admin("GET", "/v1/health?service=solver-app", "").json();
        health["services"][0]["upstreams"][0]["here"].clone()
    }

    /// Waits until the server has received this many requests.
    fn wait_received(&self, expected_count: u64) {
        eventually("the server has received the requests", || {
            self.backend.run_counters()["received"]
                .as_u64()
                .is_some_and(|seen| seen >= expected_count)
        });
    }
}

fn send_request(callers: SocketAddr, work_ms: &str) -> Reply {
    let headers = [("Host", "solver.example"), DEADLINE_HEADER, ("x-work-ms", work_ms)];
    client::call(callers, "GET", "/puzzle/7", &headers, "")
}

#[test]
fn verify_requests_whose_deadline_passed_in_a_suspend_are_answered_on_resume() {
    let host = SuspendableHost::start(1);
    host.backend.set_faults(json!({"stuck": true}));
    let callers = host.daemon.callers;
    let running_request = thread::spawn(move || send_request(callers, "0"));
    host.wait_received(1);
    let waiting_request = thread::spawn(move || send_request(callers, "0"));
    eventually("the second request waits for the slot", || {
        host.server_health()["queued"] == json!(1)
    });
    host.daemon.suspend(SUSPEND_LENGTH);
    let running_request = running_request.join().expect("join");
    assert_eq!(
        running_request.outcome().as_deref(),
        Some("unknown"),
        "the request may have run: {}",
        running_request.text()
    );
    assert_eq!(running_request.reason().as_deref(), Some("timed-out"));
    let waiting_request = waiting_request.join().expect("join");
    assert_eq!(
        waiting_request.outcome().as_deref(),
        Some("not-run"),
        "the queued request never got the slot"
    );
    assert_eq!(
        host.backend.run_counters()["received"],
        json!(1),
        "the queued request was never sent"
    );
}

#[test]
fn verify_a_suspend_does_not_count_against_a_server() {
    let host = SuspendableHost::start(4);
    let callers = host.daemon.callers;
    for _ in 0..40 {
        assert_eq!(send_request(callers, "1").status, 200);
    }
    let received = host.backend.run_counters()["received"].as_u64().expect("a count");
    let running_request: Vec<_> =
        (0..4).map(|_| thread::spawn(move || send_request(callers, "500"))).collect();
    host.wait_received(received + 4);
    // The suspend of 30 s is far longer than the service time of the requests, and shorter than
    // their deadline.
    host.daemon.suspend(Duration::from_secs(30));
    for caller in running_request {
        assert_eq!(caller.join().expect("join").status, 200);
    }
    let health = host.server_health();
    assert_eq!(health["ejected"], json!(false), "{health}");
    assert!(health["score"].as_f64().is_some_and(|score| score < 0.5), "{health}");
    assert_eq!(send_request(callers, "1").status, 200);
}

#[test]
fn verify_a_refused_request_is_tried_again_and_admitted_once_it_succeeds() {
    let host = SuspendableHost::start(4);
    host.backend.set_faults(json!({"crash_path": "/puzzle/7", "crash_after_ms": 5, "down_ms": 50}));
    let callers = host.daemon.callers;
    let is_refused = |reply: &Reply| reply.reason().as_deref() == Some("crashes-servers");
    eventually("the request is refused", || is_refused(&send_request(callers, "0")));
    eventually("the fault of the server is removed", || {
        let path = "/__control/faults";
        client::try_call(host.backend.address, "PUT", path, &[], "{}").is_some()
    });
    assert!(is_refused(&send_request(callers, "0")), "no trial is due yet");
    host.daemon.suspend(TRIAL_EVERY);
    eventually("a trial admits the request again", || send_request(callers, "0").status == 200);
    assert_eq!(send_request(callers, "0").status, 200);
}
