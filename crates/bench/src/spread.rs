// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Measures how long an accepted configuration change takes to be in force on all daemons. The
//! bench watches the revision of each daemon.

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
/// Default pause between changes, so that the propagation times of two changes don't overlap.
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
    /// Median over the changes of the time until the first daemon accepted the change.
    pub accepted_median_ms: f64,
}

fn call_error(source: CommandError) -> BenchError {
    BenchError::Bound { message: source.to_string() }
}

/// Makes changes and measures when each change is in force on all daemons.
pub async fn run(
    admins: Vec<SocketAddr>,
    token: String,
    changes: usize,
    pause: Duration,
) -> Result<SpreadReport, BenchError> {
    let connect_api =
        |address: &SocketAddr| AdminApi::new(*address, token.clone(), "bench".to_owned());
    let first_daemon = connect_api(&admins[0]);
    let status = first_daemon.get("/v1/status").await.map_err(call_error)?;
    let start_revision = status["revision"].as_u64().unwrap_or(0);
    let reached_revisions =
        Rc::new(RefCell::new(vec![(start_revision, Instant::now()); admins.len()]));
    for (index, address) in admins.iter().enumerate() {
        let watcher = connect_api(address);
        let reached_revisions = reached_revisions.clone();
        monoio::spawn(async move {
            let target = format!("/v1/watch?after={start_revision}");
            let record = |line: &serde_json::Value| {
                if let Some(revision) = line["revision"].as_u64() {
                    reached_revisions.borrow_mut()[index] = (revision, Instant::now());
                }
            };
            // If a watch ends, its daemon never reaches the revision, so the run times out.
            let _ = watcher.watch(&target, record).await;
        });
    }
    monoio::time::sleep(pause).await;
    let (mut all_times, mut half_times, mut accepted_times) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..changes {
        let start = Instant::now();
        let body = json!({"title": format!("change {number}")});
        let if_match = Some((header::IF_MATCH, "*".to_owned()));
        let target = "/v1/organisations/spread-bench";
        let reply = first_daemon
            .call(Method::PUT, target, Some(&body), if_match)
            .await
            .map_err(call_error)?;
        accepted_times.push(millis(start.elapsed()));
        let revision = reply["revision"].as_u64().unwrap_or(0);
        let times = wait_for_all(&reached_revisions, revision, start).await?;
        all_times.push(times[times.len() - 1]);
        half_times.push(times[times.len() / 2]);
        monoio::time::sleep(pause).await;
    }
    Ok(SpreadReport {
        daemons: admins.len(),
        changes,
        all_max_ms: all_times.iter().copied().fold(0.0, f64::max),
        all_median_ms: median(all_times),
        half_median_ms: median(half_times),
        accepted_median_ms: median(accepted_times),
    })
}

async fn wait_for_all(
    reached_revisions: &Rc<RefCell<Vec<(u64, Instant)>>>,
    revision: u64,
    start: Instant,
) -> Result<Vec<f64>, BenchError> {
    loop {
        let reached = reached_revisions
            .borrow()
            .iter()
            .filter(|(seen_revision, _)| *seen_revision >= revision)
            .count();
        let total = reached_revisions.borrow().len();
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
    let times = reached_revisions.borrow();
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
