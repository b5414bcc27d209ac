// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A small fleet on loopback for tests: a simulated platform and backend servers in threads,
//! daemons as processes, a plain HTTP client.
//!
//! [`platform`] and [`backend`] are simulated, [`daemon`] and [`inline`] start daemons and
//! [`logs`] reads their logs. [`fleet`] and [`registered`] combine these, one for each source of
//! the configuration. [`client`] sends requests, [`operator`] makes the calls of operators, and
//! [`forwarder`] cuts or black-holes connections, [`load`] keeps sending requests, [`crowd`] plays
//! clients that don't behave, and [`stops`] sends requests to daemons that are shutting down. The exchanges of [`scripted`] servers follow a
//! script.
//!
//! The kernel assigns the ports. Tests wait for conditions rather than for fixed times, for at most
//! [`EVENT_TIMEOUT`].

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod backend;
pub mod client;
pub mod crowd;
pub mod daemon;
pub mod fleet;
pub mod forwarder;
pub mod inline;
pub mod load;
pub mod logs;
pub mod operator;
pub mod platform;
pub mod registered;
pub mod scripted;
pub mod stops;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub use backend::TestBackend;
pub use daemon::TestDaemon;
pub use fleet::{FleetPlan, TestFleet};
pub use platform::TestPlatform;

/// Longest wait of [`eventually`] for its condition.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(40);
/// Time between two checks of a condition that [`eventually`] awaits.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `holds` returns true. Fails with the description `what` after [`EVENT_TIMEOUT`].
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "not within {EVENT_TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a loopback address with port 0, for which the kernel assigns a free port.
pub fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns an address at which nothing listens: the system never assigns port 1.
pub fn closed_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
