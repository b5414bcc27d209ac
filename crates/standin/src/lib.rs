// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Stand-ins for tests and the demo: the platform, and backend servers that fail gray.
//!
//! Each has faults that are switched on over a control path while it runs.

pub mod backend;
pub mod platform;
pub mod table;
