// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Injects a fault into a simulated backend server and measures how long the server keeps receiving
//! requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basaltarch_http::client::HttpClient;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Serialize;
use serde_json::Value;

use crate::errors::BenchError;

/// Interval at which the server's counter of received requests is read.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Control path of a simulated backend server that sets its faults.
const FAULTS_PATH: &str = "/__control/faults";
/// Control path of a simulated backend server that returns its counters.
const RUNS_PATH: &str = "/__control/runs";
/// Time-out of a control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `FaultReport` holds how long a failing server kept receiving requests.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FaultReport {
    /// Time from the fault until the last request that the server received, in milliseconds.
    pub received_for_ms: u64,
    /// Number of requests that the server received after the fault was injected.
    pub received: u64,
    /// Whether the server stopped receiving requests before the measurement ended.
    pub stopped: bool,
}

/// Injects a fault into a server. Waits until the server has received no request for `idle_time`,
/// or until `time_max` has passed.
pub async fn run(
    address: SocketAddr,
    fault: &str,
    idle_time: Duration,
    time_max: Duration,
) -> Result<FaultReport, BenchError> {
    let client = HttpClient::new(address, CALL_TIMEOUT);
    let total_before = count_received(&client).await?;
    send_control_call(&client, Method::PUT, FAULTS_PATH, fault).await?;
    let start = Instant::now();
    let mut last_total = total_before;
    let mut last_received_at = Duration::ZERO;
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let current_total = count_received(&client).await?;
        let elapsed = start.elapsed();
        if current_total > last_total {
            last_total = current_total;
            last_received_at = elapsed;
        }
        let stopped = elapsed.saturating_sub(last_received_at) >= idle_time;
        if stopped || elapsed >= time_max {
            return Ok(FaultReport {
                received_for_ms: last_received_at.as_millis() as u64,
                received: last_total - total_before,
                stopped,
            });
        }
    }
}

async fn count_received(client: &HttpClient) -> Result<u64, BenchError> {
    let text = send_control_call(client, Method::GET, RUNS_PATH, "").await?;
    let value: Value = serde_json::from_slice(&text).unwrap_or(Value::Null);
    // A stuck server completes no runs, so `total` stays the same, while `received` also counts the
    // requests that are still running.
    let received = value["received"].as_u64();
    Ok(received.or(value["total"].as_u64()).unwrap_or(0))
}

async fn send_control_call(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: &str,
) -> Result<Bytes, BenchError> {
    let body = Bytes::from(body.to_owned());
    let reply = client.call(method, path, HeaderMap::new(), body).await;
    reply.map(|reply| reply.body).map_err(|source| BenchError::Call {
        what: format!("backend server at {}", client.address()),
        source,
    })
}
