// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Logs as JSON lines on standard output.
//!
//! Lines pass through a bounded queue to a thread that writes them, so that a slow reader of
//! standard output blocks no other thread. A line is dropped and counted if the queue is full.

use std::io;
use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Capacity of the queue in lines. A full queue takes 1.2 MB, at about 300 bytes a line.
const QUEUED_LINES_MAX: usize = 4096;

static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// `LogGuard` is the guard of the writing thread: dropping it flushes the queued lines, for at most
/// about a second.
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

/// Starts logging as JSON lines; `filter` is a level (`info`) or a list of `tracing` directives.
///
/// A second call does nothing, so that tests may start several daemons in one process.
#[must_use = "queued lines are lost once the guard is dropped"]
pub fn start(filter: &str) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUED_LINES_MAX);
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
    let _ = DROPPED_LINES.set(dropped);
    LogGuard { _worker: Some(worker) }
}

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.get().map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Returns whether [`start`] can parse `filter`.
pub fn is_valid(filter: &str) -> bool {
    EnvFilter::try_new(filter).is_ok()
}
