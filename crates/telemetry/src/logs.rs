// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Logs as JSON lines on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that nothing waits for whoever
//! reads standard output. Lines that find the queue full are dropped and counted.

use std::io;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait to be written: at about 300 bytes each, 1.2 MB.
const LINES_MAX: usize = 4096;

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// `LogGuard` writes the lines that still wait when it is dropped, for about a second at the longest.
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

/// Starts logging as JSON lines; `filter` is a level (`info`) or a list as of `tracing`.
///
/// A second call does nothing, so that tests may start several daemons in one process.
#[must_use = "lines that wait are lost when the guard is gone"]
pub fn start(filter: &str) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(LINES_MAX);
    let (writer, worker) = builder.thread_name("log").finish(io::stdout());
    let dropped = writer.error_counter();
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer)
        .try_init();
    if started.is_err() {
        return LogGuard { _worker: None };
    }
    let _ = DROPPED.set(dropped);
    LogGuard { _worker: Some(worker) }
}

/// Returns the number of lines that were dropped so far.
pub fn dropped_lines() -> u64 {
    DROPPED.get().map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Says whether `filter` can be read.
pub fn is_valid(filter: &str) -> bool {
    EnvFilter::try_new(filter).is_ok()
}
