// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The simulated platform in a thread of the test.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;

use basaltarch_http::connection;
use basaltarch_platform::rows;
use basaltarch_standin::platform::{self, HostGroup, PlatformStandin};
use basaltarch_telemetry::runtime;
use serde_json::Value;

use super::{client, loopback_address};

/// The simulated platform in a thread.
pub struct TestPlatform {
    pub address: SocketAddr,
    /// Address for the second group of hosts. An outage can be restricted to this group.
    pub second_address: SocketAddr,
}

impl TestPlatform {
    pub fn start() -> Self {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let serving = async move {
                let first = connection::bind(loopback_address()).expect("bind");
                let second = connection::bind(loopback_address()).expect("bind");
                let addresses = [&first, &second].map(|each| each.local_addr().expect("address"));
                sender.send(addresses).expect("send");
                let standin = Rc::new(PlatformStandin::default());
                monoio::spawn(platform::serve(second, standin.clone(), HostGroup::Second));
                platform::serve(first, standin, HostGroup::First).await;
            };
            runtime::run(serving).expect("runtime");
        });
        let [address, second_address] = receiver.recv().expect("platform starts");
        Self { address, second_address }
    }

    /// Replaces the faults that the platform simulates.
    pub fn set_faults(&self, faults: Value) {
        let reply =
            client::call(self.address, "PUT", platform::FAULTS_PATH, &[], &faults.to_string());
        assert_eq!(reply.status, 204, "{}", reply.text());
    }

    /// Takes a copy of all rows, for [`TestPlatform::restore`].
    pub fn take_copy(&self) {
        let reply = client::call(self.address, "PUT", platform::COPY_PATH, &[], "");
        assert_eq!(reply.status, 204, "{}", reply.text());
    }

    /// Restores the rows from the copy, after which the platform begins a new era.
    pub fn restore(&self) {
        let reply = client::call(self.address, "DELETE", platform::COPY_PATH, &[], "");
        assert_eq!(reply.status, 204, "{}", reply.text());
    }

    pub fn read_counters(&self) -> Value {
        client::call(self.address, "GET", platform::COUNTERS_PATH, &[], "").json()
    }

    /// Returns the values of a table's rows, without the values that can't be decoded.
    pub fn read_rows(&self, table: &str) -> Vec<Value> {
        let path = format!("{}?table={table}&part=", rows::READ_PATH);
        let page = client::call(self.address, "GET", &path, &[], "").json();
        let decoded_value = |row: &Value| {
            let bytes = rows::decode_value(row["value"].as_str()?).ok()?;
            serde_json::from_slice(&bytes).ok()
        };
        page["rows"].as_array().into_iter().flatten().filter_map(decoded_value).collect()
    }

    /// Writes a row by PUT, writes a row with an undecodable value by PATCH, or removes a row by
    /// DELETE. Nothing is checked, as for a writer other than the daemon that owns the row.
    pub fn change_row(&self, method: &str, table: &str, key: &str, decoded_value: &str) {
        let path = format!("{}{table}/{key}", platform::ROWS_CONTROL_PATH);
        let reply = client::call(self.address, method, &path, &[], decoded_value);
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}
