// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs requests: spends their service time and gives up those whose sender is gone.

use std::time::Duration;

use basaltarch_http::connection::HttpStream;
use basaltarch_http::fields;
use futures_util::future::{self, Either};
use http::{request, HeaderName};

use crate::backend::runs;
use crate::backend::{BackendFaults, BackendStandin};

/// Works for the service time; returns whether the other side is still there.
pub async fn run(
    stream: &mut HttpStream,
    standin: &BackendStandin,
    head: &request::Parts,
    faults: &BackendFaults,
) -> bool {
    runs::note_run(standin, head);
    if !faults.crash_path.is_empty() && head.uri.path() == faults.crash_path {
        monoio::time::sleep(Duration::from_millis(faults.crash_after_ms)).await;
        standin.runs.borrow_mut().crashes += 1;
        standin.crash.raise();
        // The connection ends with all others.
        return future::pending().await;
    }
    let mut time = standin.service_time(faults);
    if let Some(asked) = fields::single(&head.headers, &HeaderName::from_static("x-work-ms")) {
        time = Duration::from_millis(asked.parse().unwrap_or(0));
    }
    if faults.quick_errors || time.is_zero() {
        return true;
    }
    let now = standin.working.get() + 1;
    standin.working.set(now);
    runs::note_at_once(standin, now);
    let sleep = std::pin::pin!(monoio::time::sleep(time));
    let gone = std::pin::pin!(stream.reader.fill(1));
    let stays = matches!(future::select(sleep, gone).await, Either::Left(_));
    standin.working.set(standin.working.get() - 1);
    if !stays {
        standin.runs.borrow_mut().cancelled += 1;
    }
    stays
}
