// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Foundations that the parts of the daemon share. This crate depends on none of those parts.
//!
//! [`clock`] measures time, [`signal`] wakes tasks, [`metrics`] counts what the process does,
//! [`configuration`] holds the configuration in force, and [`peers`] holds the paths to other
//! daemons.

pub mod clock;
pub mod configuration;
pub mod metrics;
pub mod peers;
pub mod signal;
