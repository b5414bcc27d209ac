// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Simulators for tests and the demo: one of the platform, and one of a backend server with gray
//! failures.
//!
//! Tests inject faults into a running simulator through its control endpoint.

pub mod backend;
pub mod platform;
pub mod table;
