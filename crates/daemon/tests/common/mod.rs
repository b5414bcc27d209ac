// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A small fleet on loopback for tests: stand-ins in threads, daemons as processes, a plain client.
//!
//! [`platform`] and [`backend`] are the stand-ins, [`daemon`] starts daemons and [`logs`] reads what
//! they log. [`fleet`] and [`registered`] put these together, one for each source of the
//! configuration. [`client`] sends requests, [`operator`] does what operators do, and [`forwarder`]
//! cuts links. [`stops`] sends requests to daemons that stop.
//!
//! Ports are given by the kernel. Every wait is for an event, with a generous bound.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod backend;
pub mod client;
pub mod daemon;
pub mod fleet;
pub mod forwarder;
pub mod inline;
pub mod logs;
pub mod operator;
pub mod platform;
pub mod registered;
pub mod stops;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

pub use backend::TestBackend;
pub use daemon::TestDaemon;
pub use fleet::{FleetPlan, TestFleet};
pub use platform::TestPlatform;

/// Longest wait for an event.
pub const PATIENCE: Duration = Duration::from_secs(40);
const LOOK_EVERY: Duration = Duration::from_millis(10);

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
