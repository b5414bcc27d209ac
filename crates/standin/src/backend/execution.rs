// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Simulates the execution of a request: waits for the service time of the request, and cancels the
//! request if the client closes the connection.

use std::time::Duration;

use basaltarch_http::connection::HttpStream;
use basaltarch_http::fields;
use futures_util::future::{self, Either};
use http::{request, HeaderName};

use crate::backend::runs;
use crate::backend::{BackendFaults, BackendStandin};

/// `RunEnd` is how a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The service time passed.
    Complete,
    /// The deadline of the request passed first.
    DeadlinePassed,
    /// The client closed the connection.
    Disconnected,
}

/// Waits for the service time of a request, or until `time_left` has passed.
pub async fn run(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
    time_left: Duration,
) -> RunEnd {
    runs::record_run(standin, head);
    if !faults.crash_path.is_empty() && head.uri.path() == faults.crash_path {
        monoio::time::sleep(Duration::from_millis(faults.crash_after_ms)).await;
        standin.runs.borrow_mut().crashes += 1;
        standin.crash.raise();
        // This future never completes: the crash closes all connections, including the connection
        // of this request, and drops the future.
        return future::pending().await;
    }
    let mut work_time = standin.service_time(faults);
    if let Some(value) = fields::single(&head.headers, &HeaderName::from_static("x-work-ms")) {
        let requested_time = Duration::from_millis(value.parse().unwrap_or(0));
        work_time = requested_time.mul_f64(standin.slowdown(faults));
    }
    if faults.quick_errors || work_time.is_zero() {
        return RunEnd::Complete;
    }
    let running_count = standin.in_flight.get() + 1;
    standin.in_flight.set(running_count);
    runs::record_concurrency(standin, running_count);
    let sleep = std::pin::pin!(monoio::time::sleep(work_time.min(time_left)));
    let disconnected = std::pin::pin!(stream.reader.fill(1));
    let is_connected = matches!(future::select(sleep, disconnected).await, Either::Left(_));
    standin.in_flight.set(standin.in_flight.get() - 1);
    if !is_connected {
        standin.runs.borrow_mut().cancelled += 1;
        return RunEnd::Disconnected;
    }
    if work_time > time_left {
        return RunEnd::DeadlinePassed;
    }
    RunEnd::Complete
}
