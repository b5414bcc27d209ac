// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Measures how long an accepted configuration change takes to be in force on all daemons, with a
//! watch on the revision of each daemon.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_ctl::api::AdminApi;
use basaltarch_ctl::errors::CommandError;
use http::{header, Method};
use serde::Serialize;
use serde_json::json;

use crate::errors::BenchError;

/// Time-out for one change to be in force on all daemons.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the revisions that the watches report are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Default pause between changes, so that each is measured separately.
pub const CHANGE_PAUSE: Duration = Duration::from_millis(300);

/// `SpreadReport` holds the propagation times over all changes, in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SpreadReport {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of changes.
    pub changes: usize,
    /// Median over the changes of the time until all daemons had the change.
    pub all_median_ms: f64,
    /// Longest time until all daemons had a change.
    pub all_max_ms: f64,
    /// Median over the changes of the time until half of the daemons had the change.
    pub half_median_ms: f64,
    /// Median over the changes of the time until the change was accepted.
    pub accepted_median_ms: f64,
}

fn call_error(source: CommandError) -> BenchError {
    BenchError::Bound { message: source.to_string() }
}

/// Makes changes and measures when each is in force on all daemons.
pub async fn run(
    admins: Vec<SocketAddr>,
    token: String,
    changes: usize,
    pause: Duration,
) -> Result<SpreadReport, BenchError> {
    let api = |address: &SocketAddr| AdminApi::new(*address, token.clone(), "bench".to_owned());
    let first = api(&admins[0]);
    let status = first.get("/v1/status").await.map_err(call_error)?;
    let begin = status["revision"].as_u64().unwrap_or(0);
    let seen = Rc::new(RefCell::new(vec![(begin, Instant::now()); admins.len()]));
    for (index, address) in admins.iter().enumerate() {
        let watcher = api(address);
        let seen = seen.clone();
        monoio::spawn(async move {
            let target = format!("/v1/watch?after={begin}");
            let record = |line: &serde_json::Value| {
                if let Some(revision) = line["revision"].as_u64() {
                    seen.borrow_mut()[index] = (revision, Instant::now());
                }
            };
            // If a watch ends, its daemon never reaches the revision, so the run times out.
            let _ = watcher.watch(&target, record).await;
        });
    }
    monoio::time::sleep(pause).await;
    let (mut all, mut half, mut accepted) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..changes {
        let start = Instant::now();
        let body = json!({"title": format!("change {number}")});
        let guard = Some((header::IF_MATCH, "*".to_owned()));
        let target = "/v1/organisations/spread-bench";
        let reply =
            first.call(Method::PUT, target, Some(&body), guard).await.map_err(call_error)?;
        accepted.push(millis(start.elapsed()));
        let revision = reply["revision"].as_u64().unwrap_or(0);
        let times = wait_all(&seen, revision, start).await?;
        all.push(times[times.len() - 1]);
        half.push(times[times.len() / 2]);
        monoio::time::sleep(pause).await;
    }
    Ok(SpreadReport {
        daemons: admins.len(),
        changes,
        all_max_ms: all.iter().copied().fold(0.0, f64::max),
        all_median_ms: median(all),
        half_median_ms: median(half),
        accepted_median_ms: median(accepted),
    })
}

async fn wait_all(
    seen: &Rc<RefCell<Vec<(u64, Instant)>>>,
    revision: u64,
    start: Instant,
) -> Result<Vec<f64>, BenchError> {
    loop {
        let reached = seen.borrow().iter().filter(|(known, _)| *known >= revision).count();
        let total = seen.borrow().len();
        if reached == total {
            break;
        }
        if start.elapsed() > CHANGE_TIMEOUT {
            let message = format!(
                "revision {revision} reached {reached} of {total} daemons within the time-out"
            );
            return Err(BenchError::Bound { message });
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let times = seen.borrow();
    let mut times: Vec<f64> =
        times.iter().map(|(_, at)| millis(at.saturating_duration_since(start))).collect();
    times.sort_by(f64::total_cmp);
    Ok(times)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
