// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A fault soak: the real programs as separate processes on loopback, with faults injected from
//! outside.
//!
//! [`fleet`] starts the simulated store and, for each host, a daemon and a backend server as
//! processes ([`process`]), with a [`proxy`] in front of the store and of the daemon's port for its
//! peers. [`operator`] changes the configuration continually, [`callers`] request the changed
//! routes from every daemon, and [`faults`] black-holes and holds connections, and suspends, kills
//! and starves processes. The faults are drawn from a seed. Among them, backend servers leave and
//! come back ([`leavings`]). A run may have the requests of a deployment instead ([`mix`],
//! [`mix_callers`]). [`checker`] checks the observations of
//! callers and the operator for violated guarantees, and [`logs`] reads from the daemons' logs when
//! documents came in force. [`run`] combines the modules into a run, and [`report`] prints its
//! result.

#![forbid(unsafe_code)]

pub mod callers;
pub mod checker;
pub mod errors;
pub mod faults;
pub mod fleet;
pub mod leavings;
pub mod logs;
pub mod mix;
pub mod mix_callers;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod report;
pub mod run;
