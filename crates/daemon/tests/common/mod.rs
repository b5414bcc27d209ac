// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A small fleet on loopback for tests: stand-ins in threads, daemons as processes, a plain client.
//!
//! Ports are given by the kernel. Every wait is for an event, with a generous bound.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod client;
pub mod forwarder;
pub mod operator;
pub mod registered;
pub mod stops;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use basaltarch_http::connection;
use basaltarch_http::fields::ExchangeFields;
use basaltarch_standin::backend::{self, BackendOptions, BackendStandin};
use basaltarch_standin::platform::{self, HostGroup, PlatformStandin};
use basaltarch_telemetry::runtime;
use serde_json::{json, Value};

use client::Reply;

/// Longest wait for an event.
pub const PATIENCE: Duration = Duration::from_secs(40);
const LOOK_EVERY: Duration = Duration::from_millis(10);
const TOKEN: &str = "operator-token";
const KEY: &str = "a-fleet-key-for-tests";

/// Waits until `holds`; fails with `what` after [`PATIENCE`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(LOOK_EVERY);
    }
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address at which nothing listens: port 1 is none that the system gives out.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// The stand-in platform in a thread.
pub struct TestPlatform {
    pub address: SocketAddr,
    /// Address for hosts that some outages strike alone.
    pub second: SocketAddr,
}

impl TestPlatform {
    pub fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let serving = async move {
                let first = connection::bind(loopback()).expect("bind");
                let second = connection::bind(loopback()).expect("bind");
                let addresses = [&first, &second].map(|each| each.local_addr().expect("address"));
                sender.send(addresses).expect("send");
                let standin = Rc::new(PlatformStandin::default());
                monoio::spawn(platform::serve(second, standin.clone(), HostGroup::Second));
                platform::serve(first, standin, HostGroup::First).await;
            };
            runtime::run(serving).expect("runtime");
        });
        let [address, second] = receiver.recv().expect("platform starts");
        Self { address, second }
    }

    pub fn faults(&self, faults: Value) {
        let reply =
            client::call(self.address, "PUT", platform::FAULTS_PATH, &[], &faults.to_string());
        assert_eq!(reply.status, 204, "{}", reply.text());
    }

    pub fn counters(&self) -> Value {
        client::call(self.address, "GET", platform::COUNTERS_PATH, &[], "").json()
    }

    /// Writes or removes a row past all rules, as somebody else than its daemon.
    pub fn change_row(&self, method: &str, table: &str, key: &str, value: &str) {
        let path = format!("{}{table}/{key}", platform::ROWS_CONTROL_PATH);
        let reply = client::call(self.address, method, &path, &[], value);
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

/// A stand-in backend server in a thread.
pub struct TestBackend {
    pub name: String,
    pub address: SocketAddr,
}

impl TestBackend {
    pub fn start(name: &str, service_ms: u64) -> Self {
        Self::start_at(loopback(), name, service_ms, ExchangeFields::default())
    }

    /// Starts one at an address that knows other header fields.
    pub fn start_at(
        address: SocketAddr,
        name: &str,
        service_ms: u64,
        fields: ExchangeFields,
    ) -> Self {
        let options = BackendOptions {
            name: name.to_owned(),
            service_time: Duration::from_millis(service_ms),
            fields,
            ..BackendOptions::default()
        };
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let serving = async move {
                let listener = connection::bind(address).expect("bind");
                sender.send(listener.local_addr().expect("address")).expect("send");
                backend::serve(listener, BackendStandin::new(options), 1000).await;
            };
            runtime::run(serving).expect("runtime");
        });
        Self { name: name.to_owned(), address: receiver.recv().expect("backend server starts") }
    }

    pub fn faults(&self, faults: Value) {
        let reply =
            client::call(self.address, "PUT", backend::FAULTS_PATH, &[], &faults.to_string());
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    pub fn runs(&self) -> Value {
        client::call(self.address, "GET", backend::RUNS_PATH, &[], "").json()
    }

    pub fn total(&self) -> u64 {
        self.runs()["total"].as_u64().expect("total")
    }

    /// Says how often the request with this id ran here.
    pub fn ran(&self, id: &str) -> u64 {
        self.runs()["by_id"][id].as_u64().unwrap_or(0)
    }
}

/// A daemon as a process; killed when dropped.
pub struct TestDaemon {
    pub host: String,
    pub domain: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    /// Address for heartbeats of backend servers, if the daemon has one.
    pub registration: Option<SocketAddr>,
    /// Address for the platform's question, if the daemon has one.
    pub ready: Option<SocketAddr>,
    child: Child,
    log: PathBuf,
    /// Standard output, where it is a pipe that the test reads or leaves unread.
    pub output: Option<BufReader<ChildStdout>>,
}

impl TestDaemon {
    /// Starts a daemon that logs into a file.
    pub fn start(platform: SocketAddr, host: &str, domain: &str, extra: &[(&str, &str)]) -> Self {
        let log = log_path(host);
        let file = File::create(&log).expect("log file");
        let errors = file.try_clone().expect("log file");
        let mut command = daemon_command(platform, host, domain, extra);
        let child = command
            .stdout(Stdio::from(file))
            .stderr(Stdio::from(errors))
            .spawn()
            .expect("daemon starts");
        let line = wait_line(&log, "listening");
        Self::listening(child, log, &line, host, domain)
    }

    /// Starts a daemon whose standard output is a pipe; only its first lines have been read.
    pub fn start_piped(
        platform: SocketAddr,
        host: &str,
        domain: &str,
        extra: &[(&str, &str)],
    ) -> Self {
        let mut command = daemon_command(platform, host, domain, extra);
        let mut child = command.stdout(Stdio::piped()).spawn().expect("daemon starts");
        let mut output = BufReader::new(child.stdout.take().expect("output"));
        let mut line = Value::Null;
        while line["message"] != "listening" {
            let mut text = String::new();
            assert!(output.read_line(&mut text).expect("output") > 0, "the daemon ended");
            line = serde_json::from_str(&text).unwrap_or(Value::Null);
        }
        let mut daemon = Self::listening(child, log_path(host), &line, host, domain);
        daemon.output = Some(output);
        daemon
    }

    fn listening(child: Child, log: PathBuf, line: &Value, host: &str, domain: &str) -> Self {
        let address = |field: &str| line[field].as_str().expect(field).parse().expect(field);
        let parse = |text: &str| text.parse().expect("address");
        Self {
            host: host.to_owned(),
            domain: domain.to_owned(),
            callers: address("callers"),
            peers: address("peers"),
            admin: address("admin"),
            registration: line["registration"].as_str().map(parse),
            ready: line["ready"].as_str().map(parse),
            child,
            log,
            output: None,
        }
    }

    /// Returns the path of the log.
    pub fn log_file(&self) -> String {
        self.log.to_str().expect("path").to_owned()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process.
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the daemon ends", || {
            status = self.child.try_wait().expect("wait");
            status.is_some()
        });
        status.expect("ended")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_none()
    }

    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let bearer = format!("Bearer {TOKEN}");
        let mut all = vec![("Authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        client::call(self.admin, method, path, &all, body)
    }

    pub fn get(&self, path: &str) -> Value {
        let reply = self.call("GET", path, &[], "");
        assert_eq!(reply.status, 200, "{path}: {}", reply.text());
        reply.json()
    }

    pub fn revision(&self) -> u64 {
        self.get("/v1/status")["revision"].as_u64().expect("revision")
    }

    pub fn is_ready(&self) -> bool {
        client::try_call(self.admin, "GET", "/readyz", &[], "").is_some_and(|r| r.status == 200)
    }

    /// Returns the sum of a metric over its labels.
    pub fn metric(&self, name: &str) -> f64 {
        let reply = client::call(self.admin, "GET", "/metrics", &[], "");
        let prefix = format!("basaltarch_{name}");
        reply
            .text()
            .lines()
            .filter(|line| line.starts_with(&prefix))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn live_members(&self) -> usize {
        let status = self.get("/v1/status");
        let members = status["members"].as_array().expect("members");
        members.iter().filter(|member| member["state"] == "live").count()
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            let text = self.log_text();
            let tail: Vec<&str> = text.lines().rev().take(60).collect();
            eprintln!("-- log of {}, last first\n{}", self.host, tail.join("\n"));
        }
        keep_events(&self.log);
        let _ = fs::remove_file(&self.log);
    }
}

fn daemon_command(
    platform: SocketAddr,
    host: &str,
    domain: &str,
    extra: &[(&str, &str)],
) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltarchd"));
    command
        .args(["--host", host, "--failure-domain", domain])
        .args(["--platform", &platform.to_string()])
        .args(["--admin-token", TOKEN])
        .env("BASALTARCH_FLEET_KEY", KEY)
        .env("BASALTARCH_DRAIN_MS", "20000")
        // Every line, so that a failed test can be traced.
        .env("BASALTARCH_LOG_REQUESTS", "1000000");
    for (flag, value) in extra {
        command.arg(format!("--{flag}")).arg(value);
    }
    command
}

/// Keeps the names of the events in a log, for scripts/check-events.
fn keep_events(log: &std::path::Path) {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let names: BTreeSet<String> =
        lines.filter_map(|line| line["message"].as_str().map(str::to_owned)).collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("events");
    let name = log.file_name().expect("name");
    let text: String = names.iter().map(|name| format!("{name}\n")).collect();
    // What can't be kept is reported there as never seen.
    let _ = fs::create_dir_all(&folder);
    let _ = fs::write(folder.join(name), text);
}

fn log_path(host: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("basaltarch-{}-{number}-{host}.log", std::process::id()))
}

fn wait_line(log: &std::path::Path, message: &str) -> Value {
    let mut found = Value::Null;
    eventually("a line in the log", || {
        let file = File::open(log).expect("log");
        for line in BufReader::new(file).lines().map_while(Result::ok) {
            let value: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
            if value["message"] == message {
                found = value;
                return true;
            }
        }
        false
    });
    found
}

/// Daemons on hosts `host-a`, `host-b`, ... in failure domains `bkk-a`, `bkk-b`, `bkk-c`, with
/// backend servers on each.
pub struct TestFleet {
    pub platform: TestPlatform,
    pub daemons: Vec<TestDaemon>,
    pub backends: Vec<TestBackend>,
}

/// What a fleet is made of.
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
                "payouts": {"host": "solver.example", "path_prefix": "/payouts", "mode": "once",
                            "service": "solver-app", "timeout_ms": 8000, "criticality": "critical"},
            }),
            limits: json!({}),
            daemon_flags: Vec::new(),
        }
    }
}

const DOMAINS: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];

impl TestFleet {
    /// Starts a fleet and waits until every daemon knows the others and serves.
    pub fn start(plan: &FleetPlan) -> Self {
        let mut fleet = Self::start_unconfigured(plan);
        fleet.backends = (0..plan.backends)
            .map(|index| TestBackend::start(&format!("server-{}", index + 1), plan.service_ms))
            .collect();
        let reply = fleet.apply(&fleet.configuration(plan));
        assert_eq!(reply.status, 200, "{}", reply.text());
        fleet.wait_revision(1);
        fleet
    }

    /// Starts the platform and the daemons.
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

    pub fn wait_members(&self) {
        for daemon in &self.daemons {
            eventually("the daemons know each other", || {
                daemon.is_ready() && daemon.live_members() == self.daemons.len()
            });
        }
    }

    pub fn wait_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            eventually("the revision is in force", || daemon.revision() >= revision);
        }
    }

    pub fn configuration(&self, plan: &FleetPlan) -> Value {
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
            "organisations": {"khlung-shop": {"title": "Khlung"}},
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

    /// Sends a caller's request to a daemon.
    pub fn request(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let mut all = vec![("Host", "solver.example")];
        all.extend_from_slice(headers);
        client::call(self.daemons[daemon].callers, method, path, &all, body)
    }

    /// Returns how often a request ran on any backend server.
    pub fn ran(&self, id: &str) -> u64 {
        self.backends.iter().map(|backend| backend.ran(id)).sum()
    }

    /// Checks what must hold in every daemon at any time.
    pub fn check_invariants(&self) {
        for daemon in &self.daemons {
            assert_eq!(daemon.metric("floor_violations"), 0.0, "floor on {}", daemon.host);
            assert!(!daemon.log_text().contains("panicked"), "panic on {}", daemon.host);
        }
    }
}
