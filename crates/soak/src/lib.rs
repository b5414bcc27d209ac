// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A fault soak: the real programs as separate processes on loopback, troubled from outside.
//!
//! [`fleet`] starts the stand-in store and, for each host, a daemon and a backend server as processes
//! ([`process`]), with a [`proxy`] before the store and before the daemon's port for its peers. [`operator`]
//! changes the configuration all the time, [`callers`] ask every daemon for what just changed, and [`faults`]
//! silences, holds, pauses, kills and starves, drawn from a seed. [`judge`] says from what callers and the
//! operator saw whether a promise was broken, [`logs`] when documents came in force, [`run`] puts a run
//! together, and [`report`] tells it.

#![forbid(unsafe_code)]

pub mod callers;
pub mod errors;
pub mod faults;
pub mod fleet;
pub mod judge;
pub mod logs;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod report;
pub mod run;
