// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon in a thread of the test. The test can simulate a suspend of the daemon's host.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use basaltarch_daemon::run::{self, StopRequests};
use basaltarch_daemon::state::DaemonState;
use basaltarch_options::{DaemonOptions, RawOptions};
use basaltarch_telemetry::runtime;

use super::daemon::{FLEET_KEY, OPERATOR_TOKEN};

/// Time between two checks for a simulated suspend.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A daemon in a thread. A test process can have only one such daemon, as metrics are global to the
/// process.
pub struct InlineDaemon {
    pub host: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    suspend_sender: Sender<Duration>,
}

impl InlineDaemon {
    pub fn start(platform: SocketAddr, host: &str, domain: &str) -> Self {
        let raw = RawOptions {
            host: Some(host.to_owned()),
            failure_domain: Some(domain.to_owned()),
            platform: Some(platform.to_string()),
            fleet_key: Some(FLEET_KEY.to_owned()),
            admin_token: Some(OPERATOR_TOKEN.to_owned()),
            ..RawOptions::default()
        };
        let options = DaemonOptions::try_new(raw).expect("settings");
        let (suspend_sender, suspend_receiver) = mpsc::channel();
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let on_start = |state: &Rc<DaemonState>| {
                sender.send((state.options.callers, state.options.admin)).expect("send");
                monoio::spawn(apply_suspends(state.clone(), suspend_receiver));
            };
            let running = run::run(options, StopRequests::Api, on_start);
            runtime::run(running).expect("runtime").expect("daemon");
        });
        let (callers, admin) = receiver.recv().expect("daemon starts");
        Self { host: host.to_owned(), callers, admin, suspend_sender }
    }

    /// Simulates that the host was suspended for `length`; returns without waiting.
    pub fn suspend(&self, length: Duration) {
        self.suspend_sender.send(length).expect("the daemon runs");
    }
}

async fn apply_suspends(state: Rc<DaemonState>, suspend_receiver: Receiver<Duration>) {
    loop {
        if let Ok(length) = suspend_receiver.try_recv() {
            state.clock.add_suspend(length);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
