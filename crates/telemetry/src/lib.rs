// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The logs, metrics, async runtime and signals that every basaltarch process uses.

pub mod errors;
pub mod logs;
pub mod metrics;
pub mod runtime;
pub mod signals;
