// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Simulators for tests and the demo: the platform, and backend servers with gray failures.
//!
//! Faults of each are set over a control endpoint while it runs.

pub mod backend;
pub mod platform;
pub mod table;
