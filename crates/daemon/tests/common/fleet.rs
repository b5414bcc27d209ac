// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A fleet whose configuration is declared through the daemons' API.

use std::collections::BTreeMap;

use basaltarch_core::organisations::KeyDigest;
use serde_json::{json, Value};

use super::client::{self, Reply};
use super::{eventually, TestBackend, TestDaemon, TestPlatform};

/// API key of the organisation `khlung-shop`.
pub const SHOP_KEY: &[u8] = b"khlung-key";
const DOMAINS: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

/// Daemons on hosts `host-a`, `host-b`, ... in failure domains `bkk-a`, `bkk-b`, `bkk-c`, with
/// backend servers on each.
pub struct TestFleet {
    pub platform: TestPlatform,
    pub daemons: Vec<TestDaemon>,
    pub backends: Vec<TestBackend>,
}

/// Numbers of daemons and backend servers of a test fleet, and the fleet's configuration.
pub struct FleetPlan {
    pub daemons: usize,
    pub backends: usize,
    pub service_ms: u64,
    pub slots: u32,
    pub service: Value,
    pub routes: Value,
    pub limits: Value,
    pub daemon_flags: Vec<(&'static str, &'static str)>,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            daemons: 2,
            backends: 2,
            service_ms: 0,
            slots: 4,
            service: json!({"floor": 0.5, "prefer": "detection"}),
            routes: json!({
                "puzzle": {"host": "solver.example", "path_prefix": "/", "service": "solver-app",
                           "mode": "repeatable", "timeout_ms": 5000},
                "plain": {"host": "solver.example", "path_prefix": "/plain", "service": "solver-app",
                          "timeout_ms": 5000},
                "keyed": {"host": "solver.example", "path_prefix": "/keyed", "service": "solver-app",
                          "needs_key": true, "timeout_ms": 5000},
                "payouts": {"host": "solver.example", "path_prefix": "/payouts", "mode": "once",
                            "service": "solver-app", "timeout_ms": 8000, "criticality": "critical"},
            }),
            limits: json!({}),
            daemon_flags: Vec::new(),
        }
    }
}

impl TestFleet {
    /// Starts a fleet and applies the configuration of the plan. Waits until every daemon is ready,
    /// knows all other daemons and has the configuration in force.
    pub fn start(plan: &FleetPlan) -> Self {
        let mut fleet = Self::start_unconfigured(plan);
        fleet.backends = (0..plan.backends)
            .map(|index| TestBackend::start(&format!("server-{}", index + 1), plan.service_ms))
            .collect();
        let reply = fleet.apply(&fleet.build_configuration(plan));
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        fleet
    }

    /// Starts the platform and the daemons, without a configuration or backend servers.
    pub fn start_unconfigured(plan: &FleetPlan) -> Self {
        let platform = TestPlatform::start();
        let mut fleet = Self { platform, daemons: Vec::new(), backends: Vec::new() };
        for index in 0..plan.daemons {
            let letter = (b'a' + index as u8) as char;
            let host = format!("host-{letter}");
            let domain = DOMAINS[index % DOMAINS.len()];
            let daemon =
                TestDaemon::start(fleet.platform.address, &host, domain, &plan.daemon_flags);
            fleet.daemons.push(daemon);
        }
        fleet.wait_members();
        fleet
    }

    /// Kills all daemons at once and restarts them with the same hosts and failure domains. Waits
    /// until every daemon is ready and knows all other daemons.
    pub fn restart_all(&mut self, flags: &[(&str, &str)]) {
        self.daemons.iter_mut().for_each(TestDaemon::kill);
        for daemon in &mut self.daemons {
            let restarted =
                TestDaemon::start(self.platform.address, &daemon.host, &daemon.domain, flags);
            *daemon = restarted;
        }
        self.wait_members();
    }

    /// Waits until every daemon is ready and knows all other daemons.
    pub fn wait_members(&self) {
        for daemon in &self.daemons {
            eventually("the daemons know each other", || {
                daemon.is_ready() && daemon.live_member_count() == self.daemons.len()
            });
        }
    }

    pub fn wait_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            eventually("the revision is in force", || daemon.revision() >= revision);
        }
    }

    /// Builds the configuration of a plan for the running daemons and backend servers.
    pub fn build_configuration(&self, plan: &FleetPlan) -> Value {
        let mut servers = BTreeMap::new();
        for (index, backend) in self.backends.iter().enumerate() {
            let daemon = &self.daemons[index % self.daemons.len()];
            servers.insert(backend.name.clone(), json!({
                "service": "solver-app", "host": daemon.host, "address": backend.address.to_string(),
                "slots": plan.slots, "connections": 300, "failure_domain": daemon.domain,
            }));
        }
        let domains: BTreeMap<&str, Value> =
            DOMAINS.iter().map(|name| (*name, json!({"region": "bangkok"}))).collect();
        json!({
            "failure-domains": domains,
            "organisations": {"khlung-shop": {"title": "Khlung", "keys": [KeyDigest::of(SHOP_KEY)]}},
            "services": {"solver-app": plan.service},
            "backend-servers": servers,
            "routes": plan.routes,
            "limits": plan.limits,
        })
    }

    /// Applies a configuration in one transaction at the first daemon.
    pub fn apply(&self, configuration: &Value) -> Reply {
        let mut changes = Vec::new();
        for (kind, resources) in configuration.as_object().expect("kinds") {
            for (name, value) in resources.as_object().expect("names") {
                changes.push(json!({"kind": kind, "name": name, "value": value}));
            }
        }
        let body = json!({ "changes": changes }).to_string();
        self.daemons[0].call("POST", "/v1/apply", &[], &body)
    }

    /// Sends a caller's request for the host `solver.example` to a daemon.
    pub fn request(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let mut all_headers = vec![("Host", "solver.example")];
        all_headers.extend_from_slice(headers);
        client::call(self.daemons[daemon].callers, method, path, &all_headers, body)
    }

    /// Returns the number of runs of the request with this id, over all backend servers.
    pub fn run_count(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.run_count(id)).sum()
    }

    /// Checks that no daemon counted a violation of a service's floor or logged a panic.
    pub fn check_invariants(&self) {
        for daemon in &self.daemons {
            assert_eq!(daemon.metric_sum("floor_violations"), 0.0, "floor on {}", daemon.host);
            assert!(!daemon.log_text().contains("panicked"), "panic on {}", daemon.host);
        }
    }
}
