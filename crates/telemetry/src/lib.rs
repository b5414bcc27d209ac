// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Logs, metrics, the runtime and signals of every basaltarch process.

pub mod errors;
pub mod logs;
pub mod metrics;
pub mod runtime;
pub mod signals;
