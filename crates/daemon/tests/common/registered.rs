// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A fleet that is configured by the operator's document. The backend servers of the fleet register
//! themselves.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use basaltarch_core::incarnation::ServerIncarnation;
use basaltarch_core::resources::{RouteRule, WorkClass, WorkMode};
use basaltarch_platform::document::{
    self, CallerLimits, ConfigDocument, NamedRoute, ServiceDeclaration,
};
use basaltarch_platform::registration::{self, ServerHeartbeat};
use basaltarch_platform::rows::StoreCall;
use basaltarch_platform::{headers, rows};

use super::client::{self, Reply};
use super::{eventually, loopback_address, TestBackend, TestDaemon, TestPlatform};

/// Name of the service of the backend servers.
pub const SERVICE: &str = "solver-app";
/// Host header of callers' requests.
pub const HOST: &str = "solver.example";
const DOMAINS: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

/// Daemons with one backend server beside each.
pub struct RegisteredFleet {
    pub platform: TestPlatform,
    pub daemons: Vec<TestDaemon>,
    pub backends: Vec<TestBackend>,
    /// Sequence number of the next heartbeat of any backend server.
    sequence: Cell<u64>,
}

/// Returns a document with a repeatable and a non-repeatable route to [`SERVICE`].
pub fn document(version: u64) -> ConfigDocument {
    let declaration = |name: &str| ServiceDeclaration {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        connections: 300,
        cold_rate: 0.0,
    };
    ConfigDocument {
        version,
        routes: vec![
            route("r-safe", "/safe/", WorkMode::Repeatable),
            route("r-unsafe", "/unsafe/", WorkMode::Plain),
        ],
        services: vec![declaration(SERVICE), declaration("other-app")],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        organisations: None,
    }
}

/// Returns a route to [`SERVICE`] with an objective of 800 ms and a time-out of 3 s.
pub fn route(name: &str, path_prefix: &str, mode: WorkMode) -> NamedRoute {
    let rule = RouteRule {
        host: HOST.to_owned(),
        path_prefix: path_prefix.to_owned(),
        methods: Vec::new(),
        service: SERVICE.to_owned(),
        timeout_ms: 3000,
        mode,
        criticality: WorkClass::Normal,
        split: Vec::new(),
        attempts: 2,
        objective_ms: 800,
        needs_key: false,
    };
    NamedRoute { name: name.to_owned(), rule }
}

/// Returns the name of a host by its index.
fn host_name(index: usize) -> String {
    format!("host-{}", (b'a' + index as u8) as char)
}

/// Builds the deregistration of a backend server; its name may include an incarnation.
pub fn build_deregistration(name: &str) -> StoreCall {
    registration::deregister(&ServerIncarnation::of_upstream(name))
}

/// Sends a request with this id and a deadline of 3 s to the daemon at an address.
pub fn send_request(callers: SocketAddr, method: &str, path: &str, id: &str) -> Reply {
    let fields = headers::exchange_fields();
    let request_field = fields.request.expect("a header field for request ids");
    let headers =
        [("Host", HOST), (request_field.as_str(), id), (fields.deadline.as_str(), "3000")];
    client::call(callers, method, path, &headers, "x")
}

impl RegisteredFleet {
    /// Starts daemons, and a backend server beside each that registers at once.
    pub fn start(daemons: usize) -> Self {
        (0..daemons).fold(Self::start_empty(), |fleet, index| fleet.with_host(index))
    }

    /// Starts a daemon beside each of these backend servers, which register at once.
    pub fn start_beside(servers: &[&TestBackend]) -> Self {
        let servers = servers.iter().enumerate();
        servers.fold(Self::start_empty(), |fleet, (index, server)| {
            fleet.with_server_in(index, DOMAINS[index % DOMAINS.len()], (*server).clone())
        })
    }

    /// Starts a platform with a document that is valid for any servers.
    fn start_empty() -> Self {
        let platform = TestPlatform::start();
        let fleet =
            Self { platform, daemons: Vec::new(), backends: Vec::new(), sequence: Cell::new(1) };
        fleet.write_document(&document(1));
        fleet
    }

    /// Starts a fleet as [`RegisteredFleet::start`] does, but with all hosts in one failure domain.
    pub fn start_in_one_domain(daemons: usize) -> Self {
        (0..daemons).fold(Self::start_empty(), |fleet, index| fleet.with_host_in(index, DOMAINS[0]))
    }

    /// Starts a fleet as [`RegisteredFleet::start`] does, with servers of this service time and
    /// daemons with more flags.
    pub fn start_with(daemons: usize, service_ms: u64, flags: &[(&str, &str)]) -> Self {
        let mut fleet = Self::start_empty();
        for index in 0..daemons {
            let (host, domain) = (host_name(index), DOMAINS[index % DOMAINS.len()]);
            let daemon = fleet.start_daemon(&host, domain, flags);
            fleet.daemons.push(daemon);
            let fields = headers::exchange_fields();
            let name = format!("i-{}", index + 1);
            let server = TestBackend::start_at(loopback_address(), &name, service_ms, fields);
            fleet.backends.push(server);
            assert_eq!(fleet.send_heartbeat(index, false).status, 200);
        }
        fleet
    }

    fn with_host(self, index: usize) -> Self {
        self.with_host_in(index, DOMAINS[index % DOMAINS.len()])
    }

    fn with_host_in(self, index: usize, domain: &str) -> Self {
        let name = format!("i-{}", index + 1);
        let fields = headers::exchange_fields();
        let server = TestBackend::start_at(loopback_address(), &name, 1, fields);
        self.with_server_in(index, domain, server)
    }

    fn with_server_in(mut self, index: usize, domain: &str, server: TestBackend) -> Self {
        let host = host_name(index);
        self.daemons.push(self.start_daemon(&host, domain, &[]));
        self.backends.push(server);
        assert_eq!(self.send_heartbeat(index, false).status, 200);
        self
    }

    /// Kills the first daemon, and starts it again beside its server, which sends a heartbeat.
    pub fn kill_and_restart(&mut self, flags: &[(&str, &str)]) {
        self.daemons[0].kill();
        self.restart(flags);
    }

    /// Stops the first daemon as planned, and starts it again as [`Self::kill_and_restart`] does.
    pub fn stop_and_restart(&mut self, flags: &[(&str, &str)]) {
        self.daemons[0].signal("-TERM");
        self.daemons[0].wait_exit();
        self.restart(flags);
    }

    fn restart(&mut self, flags: &[(&str, &str)]) {
        self.daemons[0] = self.start_daemon("host-a", DOMAINS[0], flags);
        assert_eq!(self.send_heartbeat(0, false).status, 200);
    }

    /// Writes a document and waits until it is in force on all daemons.
    pub fn put_in_force(&self, new_document: &ConfigDocument) {
        self.write_document(new_document);
        for daemon in &self.daemons {
            eventually("the document is in force", || daemon.revision() >= new_document.version);
        }
    }

    pub fn start_daemon(
        &self,
        host: &str,
        domain: &str,
        extra_flags: &[(&str, &str)],
    ) -> TestDaemon {
        self.start_daemon_at(self.platform.address, host, domain, extra_flags)
    }

    /// Starts a daemon that calls the platform at this address.
    pub fn start_daemon_at(
        &self,
        platform: SocketAddr,
        host: &str,
        domain: &str,
        extra_flags: &[(&str, &str)],
    ) -> TestDaemon {
        let mut flags = vec![
            ("source", "document"),
            ("ready", "127.0.0.1:0"),
            ("registration", "127.0.0.1:0"),
            ("own-service", "shop-app"),
        ];
        flags.extend_from_slice(extra_flags);
        TestDaemon::start(platform, host, domain, &flags)
    }

    /// Writes the operator's document.
    pub fn write_document(&self, new_document: &ConfigDocument) {
        let text = String::from_utf8(document::write(new_document)).expect("text");
        self.write_text(&text);
    }

    /// Writes any text as the operator's document.
    pub fn write_text(&self, text: &str) {
        self.platform.change_row("PUT", rows::OPERATOR_TABLE, rows::DOCUMENT_KEY, text);
    }

    /// Sends a heartbeat of a backend server to the daemon beside that server.
    pub fn send_heartbeat(&self, index: usize, draining: bool) -> Reply {
        let name = &self.backends[index].name;
        self.send_heartbeat_as(index, name, SERVICE, draining)
    }

    /// Sends a heartbeat with any name and service and the address of a backend server. A name may
    /// include an incarnation: `i-1#a` is the incarnation of `i-1` that started at 10 ms (`a` in
    /// hexadecimal).
    pub fn send_heartbeat_as(
        &self,
        index: usize,
        name: &str,
        service: &str,
        draining: bool,
    ) -> Reply {
        self.call_daemon(index, &self.build_heartbeat(index, name, service, draining))
    }

    /// Sends the heartbeat of a server that nobody knows yet.
    pub fn send_newcomer_heartbeat(&self, index: usize, name: &str) -> Reply {
        self.call_daemon(index, &self.build_newcomer_heartbeat(name, false))
    }

    /// Builds the heartbeat of a server that nobody knows yet, at an address of its own where nobody
    /// listens.
    pub fn build_newcomer_heartbeat(&self, name: &str, draining: bool) -> StoreCall {
        let port = 1 + (self.sequence.get() % 1000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        self.build_heartbeat_from(address, name, SERVICE, draining)
    }

    /// Resets the sequence numbers of heartbeats, as a backend server does when it starts.
    pub fn reset_sequence(&self) {
        self.sequence.set(1);
    }

    /// Builds a heartbeat with any name and service and the address of a backend server.
    pub fn build_heartbeat(
        &self,
        index: usize,
        name: &str,
        service: &str,
        draining: bool,
    ) -> StoreCall {
        self.build_heartbeat_from(self.backends[index].address, name, service, draining)
    }

    /// Builds the heartbeat of a backend server at any address.
    pub fn build_heartbeat_from(
        &self,
        address: SocketAddr,
        name: &str,
        service: &str,
        draining: bool,
    ) -> StoreCall {
        let sequence = self.sequence.replace(self.sequence.get() + 1);
        registration::heartbeat(&ServerHeartbeat {
            incarnation: ServerIncarnation::of_upstream(name),
            service: service.to_owned(),
            address,
            failure_domain: "bkk-a".to_owned(),
            slots: 4,
            draining,
            cold_for: Duration::ZERO,
            sequence,
        })
    }

    /// Deregisters a backend server.
    pub fn deregister(&self, index: usize) -> Reply {
        self.call_daemon(index, &build_deregistration(&self.backends[index].name))
    }

    /// Sends a call of the registration API to the daemon beside a backend server.
    pub fn call_daemon(&self, index: usize, call: &StoreCall) -> Reply {
        let address = self.daemons[index].registration.expect("registration");
        let body = String::from_utf8_lossy(&call.body);
        client::call(address, call.method.as_str(), &call.target, &[], &body)
    }

    /// Sends a caller's request with an id to a daemon.
    pub fn request(&self, daemon: usize, method: &str, path: &str, id: &str) -> Reply {
        send_request(self.daemons[daemon].callers, method, path, id)
    }

    /// Sends requests to a daemon until each of these backend servers has run at least one of the
    /// requests.
    pub fn wait_served(&self, daemon: usize, servers: &[usize]) {
        let mut number = 0;
        eventually("every backend server receives requests", || {
            for _ in 0..20 {
                number += 1;
                self.request(daemon, "GET", "/safe/x", &format!("wait-{daemon}-{number}"));
            }
            servers.iter().all(|index| {
                let runs = self.backends[*index].run_counters();
                runs["by_id"]
                    .as_object()
                    .expect("runs")
                    .keys()
                    .any(|id| id.starts_with(&format!("wait-{daemon}-")))
            })
        });
    }

    /// Returns the number of runs of the request with this id, over all backend servers.
    pub fn run_count(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.run_count(id)).sum()
    }

    pub fn is_ready(&self, daemon: usize) -> bool {
        let address = self.daemons[daemon].ready.expect("ready");
        client::try_call(address, "GET", registration::READY_PATH, &[], "")
            .is_some_and(|reply| reply.status == 200)
    }
}
