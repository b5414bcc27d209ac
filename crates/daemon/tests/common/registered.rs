// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A fleet whose configuration is the operator's document and whose backend servers register.

use std::cell::Cell;

use basaltarch_platform::{headers, rows};
use serde_json::{json, Value};

use super::client::{self, Reply};
use super::{eventually, loopback, TestBackend, TestDaemon, TestPlatform};

/// Name of the service.
pub const SERVICE: &str = "solver-app";
/// Host that callers ask for.
pub const HOST: &str = "solver.example";
const DOMAINS: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

/// Daemons with one backend server beside each.
pub struct RegisteredFleet {
    pub platform: TestPlatform,
    pub daemons: Vec<TestDaemon>,
    pub backends: Vec<TestBackend>,
    sequence: Cell<u64>,
}

/// Returns a document with a route of each sort.
pub fn document(version: u64) -> Value {
    let columns = json!([
        "name",
        "host",
        "pathPrefix",
        "routeType",
        "timeoutS",
        "targetLatencyS",
        "priority",
        "service",
        "retryAttempts",
        "weightedClusters"
    ]);
    json!({
        "version": version,
        "routes": {"columns": columns, "rows": [
            ["r-safe", HOST, "/safe/", "safe", 3, 0.8, 1, SERVICE, 2, null],
            ["r-unsafe", HOST, "/unsafe/", "unsafe", 3, 0.8, 0, SERVICE, 2, null],
        ]},
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "protocol", "tls"],
            "rows": [[SERVICE, "/health", 300, "h1", false], ["other-app", "/health", 300, "h1", false]],
        },
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3,
                   "idleTimeoutS": 15},
    })
}

impl RegisteredFleet {
    /// Starts daemons, and a backend server beside each that registers at once.
    pub fn start(daemons: usize) -> Self {
        let platform = TestPlatform::start();
        let fleet =
            Self { platform, daemons: Vec::new(), backends: Vec::new(), sequence: Cell::new(1) };
        fleet.write(&document(1));
        (0..daemons).fold(fleet, |fleet, index| fleet.with_host(index))
    }

    fn with_host(mut self, index: usize) -> Self {
        let host = format!("host-{}", (b'a' + index as u8) as char);
        let domain = DOMAINS[index % DOMAINS.len()];
        self.daemons.push(self.start_daemon(&host, domain, &[]));
        let name = format!("i-{}", index + 1);
        let fields = headers::exchange_fields();
        self.backends.push(TestBackend::start_at(loopback(), &name, 1, fields));
        assert_eq!(self.beat(index, "ready").status, 200);
        self
    }

    pub fn start_daemon(&self, host: &str, domain: &str, more: &[(&str, &str)]) -> TestDaemon {
        let mut flags = vec![
            ("source", "document"),
            ("ready", "127.0.0.1:0"),
            ("registration", "127.0.0.1:0"),
            ("own-service", "shop-app"),
        ];
        flags.extend_from_slice(more);
        TestDaemon::start(self.platform.address, host, domain, &flags)
    }

    /// Writes the operator's document.
    pub fn write(&self, document: &Value) {
        let (table, key) = (rows::OPERATOR_TABLE, rows::DOCUMENT_KEY);
        self.platform.change_row("PUT", table, key, &document.to_string());
    }

    /// Sends a heartbeat of a backend server to the daemon beside it.
    pub fn beat(&self, index: usize, state: &str) -> Reply {
        let backend = &self.backends[index];
        let sequence = self.sequence.replace(self.sequence.get() + 1);
        self.beat_as(index, &backend.name, SERVICE, state, sequence)
    }

    pub fn beat_as(
        &self,
        index: usize,
        name: &str,
        service: &str,
        state: &str,
        sequence: u64,
    ) -> Reply {
        let body = json!({
            "service": service, "address": self.backends[index].address.to_string(),
            "zone": "bkk-a", "version": "v1", "slots": 4, "state": state, "coldRemainingS": 0,
            "sequence": sequence,
        });
        self.call_daemon(index, &format!("call=instances.heartbeat&of={name}"), &body.to_string())
    }

    /// Says for a backend server that it is gone.
    pub fn deregister(&self, index: usize) -> Reply {
        let name = &self.backends[index].name;
        self.call_daemon(index, &format!("call=instances.deregister&of={name}"), "")
    }

    pub fn call_daemon(&self, index: usize, query: &str, body: &str) -> Reply {
        let address = self.daemons[index].registration.expect("registration");
        client::call(address, "POST", &format!("/basaltarch/rpc?{query}"), &[], body)
    }

    /// Sends a caller's request with an id to a daemon.
    pub fn request(&self, daemon: usize, method: &str, path: &str, id: &str) -> Reply {
        let headers = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "3000")];
        client::call(self.daemons[daemon].callers, method, path, &headers, "x")
    }

    /// Waits until a daemon sends work to each of these backend servers.
    pub fn wait_served(&self, daemon: usize, wanted: &[usize]) {
        let mut number = 0;
        eventually("every backend server gets work", || {
            for _ in 0..20 {
                number += 1;
                self.request(daemon, "GET", "/safe/x", &format!("wait-{daemon}-{number}"));
            }
            wanted.iter().all(|index| {
                let runs = self.backends[*index].runs();
                runs["by_id"]
                    .as_object()
                    .expect("runs")
                    .keys()
                    .any(|id| id.starts_with(&format!("wait-{daemon}-")))
            })
        });
    }

    /// Returns how often a request ran anywhere.
    pub fn ran(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.ran(id)).sum()
    }

    pub fn is_ready(&self, daemon: usize) -> bool {
        let address = self.daemons[daemon].ready.expect("ready");
        client::try_call(address, "GET", "/basaltarch/ready", &[], "")
            .is_some_and(|reply| reply.status == 200)
    }
}
