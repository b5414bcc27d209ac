// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Logs as JSON lines on standard output.

use tracing_subscriber::EnvFilter;

/// Starts logging as JSON lines; `filter` is a level (`info`) or a list as of `tracing`.
///
/// A second call does nothing, so that tests may start several daemons in one process.
pub fn start(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_current_span(false)
        .with_span_list(false)
        .try_init();
}

/// Says whether `filter` can be read.
pub fn is_valid(filter: &str) -> bool {
    EnvFilter::try_new(filter).is_ok()
}
