// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Daemons that run as processes.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::thread;

use serde_json::Value;

use super::client::{self, Reply};
use super::{eventually, logs};

/// Token of the admin API, with which tests call as an operator.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Key by which the daemons of a fleet authenticate each other.
pub const FLEET_KEY: &str = "a-fleet-key-for-tests";

/// A daemon that runs as a process and is killed when dropped.
pub struct TestDaemon {
    pub host: String,
    pub domain: String,
    /// Address that accepts connections of callers.
    pub callers: SocketAddr,
    /// Address that accepts links of other daemons.
    pub peers: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Address that accepts heartbeats of backend servers, if the daemon has such an address.
    pub registration: Option<SocketAddr>,
    /// Address that answers the platform's readiness probe, if the daemon has such an address.
    pub ready: Option<SocketAddr>,
    child: Child,
    log: PathBuf,
    /// Standard output of a daemon that was started by [`TestDaemon::start_piped`], else `None`.
    /// A test may leave the pipe unread.
    pub output: Option<BufReader<ChildStdout>>,
}

impl TestDaemon {
    /// Starts a daemon that logs into a file.
    pub fn start(
        platform: SocketAddr,
        host: &str,
        domain: &str,
        extra_flags: &[(&str, &str)],
    ) -> Self {
        let log = logs::new_log_path(host);
        let file = File::create(&log).expect("log file");
        let stderr_file = file.try_clone().expect("log file");
        let mut command = daemon_command(platform, host, domain, extra_flags);
        let child = command
            .stdout(Stdio::from(file))
            .stderr(Stdio::from(stderr_file))
            .spawn()
            .expect("daemon starts");
        let line = logs::wait_line(&log, "listening");
        Self::from_listening_line(child, log, &line, host, domain)
    }

    /// Starts a daemon whose standard output is a pipe, and reads the pipe up to the log line
    /// `listening`.
    pub fn start_piped(
        platform: SocketAddr,
        host: &str,
        domain: &str,
        extra_flags: &[(&str, &str)],
    ) -> Self {
        let mut command = daemon_command(platform, host, domain, extra_flags);
        let mut child = command.stdout(Stdio::piped()).spawn().expect("daemon starts");
        let mut output = BufReader::new(child.stdout.take().expect("output"));
        let mut line = Value::Null;
        while line["message"] != "listening" {
            let mut text = String::new();
            assert!(
                output.read_line(&mut text).expect("output") > 0,
                "the daemon ended its output without the log line `listening`"
            );
            line = serde_json::from_str(&text).unwrap_or(Value::Null);
        }
        let mut daemon =
            Self::from_listening_line(child, logs::new_log_path(host), &line, host, domain);
        daemon.output = Some(output);
        daemon
    }

    /// Builds the handle of a started daemon. The addresses are read from the log line `listening`.
    fn from_listening_line(
        child: Child,
        log: PathBuf,
        line: &Value,
        host: &str,
        domain: &str,
    ) -> Self {
        let address_in = |field: &str| line[field].as_str().expect(field).parse().expect(field);
        let parse_address = |text: &str| text.parse().expect("address");
        Self {
            host: host.to_owned(),
            domain: domain.to_owned(),
            callers: address_in("callers"),
            peers: address_in("peers"),
            admin: address_in("admin"),
            registration: line["registration"].as_str().map(parse_address),
            ready: line["ready"].as_str().map(parse_address),
            child,
            log,
            output: None,
        }
    }

    /// Returns the path of the daemon's log.
    pub fn log_file(&self) -> String {
        self.log.to_str().expect("path").to_owned()
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `-TERM`, to the daemon's process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the daemon's process ends and returns the exit status.
    pub fn wait_exit(&mut self) -> ExitStatus {
        let mut status = None;
        eventually("the daemon ends", || {
            status = self.child.try_wait().expect("wait");
            status.is_some()
        });
        status.expect("exit status")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_none()
    }

    /// Calls the admin API with the token of an operator.
    pub fn call(&self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let mut all_headers = vec![("Authorization", bearer.as_str())];
        all_headers.extend_from_slice(headers);
        client::call(self.admin, method, path, &all_headers, body)
    }

    /// Reads a path of the admin API; fails the test unless the status is 200.
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

    /// Returns the sum, over all labels, of the metrics whose names begin with `name`.
    pub fn metric_sum(&self, name: &str) -> f64 {
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

    /// Returns how many members of the fleet this daemon reports as live.
    pub fn live_member_count(&self) -> usize {
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
            eprintln!("-- log of {}, last line first\n{}", self.host, tail.join("\n"));
            // The lines that concern no request are few and tell what the daemon decided.
            let is_decision = |line: &&str| !line.contains(r#""request":""#);
            let decisions: Vec<&str> = text.lines().filter(is_decision).collect();
            eprintln!("-- decisions of {}\n{}", self.host, decisions.join("\n"));
        }
        logs::save_event_names(&self.log);
        let _ = fs::remove_file(&self.log);
    }
}

fn daemon_command(
    platform: SocketAddr,
    host: &str,
    domain: &str,
    extra_flags: &[(&str, &str)],
) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltarchd"));
    command
        .args(["--host", host, "--failure-domain", domain])
        .args(["--platform", &platform.to_string()])
        .args(["--admin-token", OPERATOR_TOKEN])
        .env("BASALTARCH_FLEET_KEY", FLEET_KEY)
        .env("BASALTARCH_DRAIN_MS", "20000")
        // Logs every request, so that a failed test can be traced.
        .env("BASALTARCH_LOG_REQUESTS", "1000000");
    for (flag, value) in extra_flags {
        command.arg(format!("--{flag}")).arg(value);
    }
    command
}
