// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon in a thread of the test, whose host can be made to sleep.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use basaltarch_daemon::run::{self, StopRequests};
use basaltarch_daemon::state::DaemonState;
use basaltarch_options::{DaemonOptions, RawOptions};
use basaltarch_telemetry::runtime;

use super::daemon::{KEY, TOKEN};

const LOOK_EVERY: Duration = Duration::from_millis(5);

/// A daemon in a thread. A test has one at the most, as its metrics are the process's.
pub struct InlineDaemon {
    pub host: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    sleeps: Sender<Duration>,
}

impl InlineDaemon {
    pub fn start(platform: SocketAddr, host: &str, domain: &str) -> Self {
        let raw = RawOptions {
            host: Some(host.to_owned()),
            failure_domain: Some(domain.to_owned()),
            platform: Some(platform.to_string()),
            fleet_key: Some(KEY.to_owned()),
            admin_token: Some(TOKEN.to_owned()),
            ..RawOptions::default()
        };
        let options = DaemonOptions::try_new(raw).expect("settings");
        let (sleeps, asleep) = mpsc::channel();
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let on_start = |state: &Rc<DaemonState>| {
                sender.send((state.options.callers, state.options.admin)).expect("send");
                monoio::spawn(sleep_when_told(state.clone(), asleep));
            };
            let running = run::run(options, StopRequests::Api, on_start);
            runtime::run(running).expect("runtime").expect("daemon");
        });
        let (callers, admin) = receiver.recv().expect("daemon starts");
        Self { host: host.to_owned(), callers, admin, sleeps }
    }

    /// Lets the host sleep for so long, in no time.
    pub fn sleep(&self, length: Duration) {
        self.sleeps.send(length).expect("the daemon runs");
    }
}

async fn sleep_when_told(state: Rc<DaemonState>, asleep: Receiver<Duration>) {
    loop {
        if let Ok(length) = asleep.try_recv() {
            state.clock.add_suspend(length);
        }
        monoio::time::sleep(LOOK_EVERY).await;
    }
}
