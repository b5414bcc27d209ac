// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Simulated backend servers in threads of the test.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use basaltarch_http::fields::ExchangeFields;
use basaltarch_standin::backend::{self, BackendOptions, BackendStandin, HeldPort};
use basaltarch_telemetry::runtime;
use serde_json::Value;

use super::{client, loopback_address};

/// A simulated backend server in a thread.
#[derive(Clone)]
pub struct TestBackend {
    pub name: String,
    pub address: SocketAddr,
}

impl TestBackend {
    pub fn start(name: &str, service_ms: u64) -> Self {
        Self::start_at(loopback_address(), name, service_ms, ExchangeFields::default())
    }

    /// Starts a backend server at an address. `fields` are the names of the header fields that it
    /// reads and sets in an exchange.
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
                let port = HeldPort::try_new(address).expect("bind");
                let listener = port.listen().expect("listen");
                sender.send(port.address()).expect("send");
                backend::serve(port, listener, BackendStandin::new(options), 1000).await;
            };
            runtime::run(serving).expect("runtime");
        });
        Self { name: name.to_owned(), address: receiver.recv().expect("backend server starts") }
    }

    /// Replaces the faults that the server simulates.
    pub fn set_faults(&self, faults: Value) {
        let reply =
            client::call(self.address, "PUT", backend::FAULTS_PATH, &[], &faults.to_string());
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    /// Returns the run counters that the server reports at its control path.
    pub fn run_counters(&self) -> Value {
        client::call(self.address, "GET", backend::RUNS_PATH, &[], "").json()
    }

    /// Returns the number of all runs on this server.
    pub fn total_runs(&self) -> u64 {
        self.run_counters()["total"].as_u64().expect("total")
    }

    /// Returns the number of runs of the request with this id on this server.
    pub fn run_count(&self, id: &str) -> u64 {
        self.run_counters()["by_id"][id].as_u64().unwrap_or(0)
    }
}
