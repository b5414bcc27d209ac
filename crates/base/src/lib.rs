// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the parts of the daemon stand on, and what knows none of them.
//!
//! [`clock`] and [`signal`] are time and waking, [`metrics`] counts what the process does,
//! [`configuration`] holds what is in force, and [`peers`] the paths to other daemons.

pub mod clock;
pub mod configuration;
pub mod metrics;
pub mod peers;
pub mod signal;
