// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Makes a stand-in backend server fail and measures how long it keeps receiving work.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basaltarch_http::client::HttpClient;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Serialize;
use serde_json::Value;

use crate::errors::BenchError;

/// Time between looks at the server's counter.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Path of the faults of a stand-in backend server.
const FAULTS_PATH: &str = "/__control/faults";
/// Path of its counters.
const RUNS_PATH: &str = "/__control/runs";
/// Longest time of a control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `FaultReport` says how long a failing server kept receiving work.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FaultReport {
    /// Time from the fault to the last request before the quiet time, in milliseconds.
    pub received_for_ms: u64,
    /// Requests received in that time.
    pub received: u64,
    /// Whether the work stopped at all.
    pub stopped: bool,
}

/// Puts a fault on a server and waits until it received nothing for `quiet`, up to `most`.
pub async fn run(
    address: SocketAddr,
    fault: &str,
    quiet: Duration,
    most: Duration,
) -> Result<FaultReport, BenchError> {
    let client = HttpClient::new(address, CALL_TIMEOUT);
    let before = total(&client).await?;
    call(&client, Method::PUT, FAULTS_PATH, fault).await?;
    let start = Instant::now();
    let mut last = before;
    let mut last_at = Duration::ZERO;
    loop {
        monoio::time::sleep(LOOK_EVERY).await;
        let now = total(&client).await?;
        let elapsed = start.elapsed();
        if now > last {
            last = now;
            last_at = elapsed;
        }
        let stopped = elapsed.saturating_sub(last_at) >= quiet;
        if stopped || elapsed >= most {
            return Ok(FaultReport {
                received_for_ms: last_at.as_millis() as u64,
                received: last - before,
                stopped,
            });
        }
    }
}

async fn total(client: &HttpClient) -> Result<u64, BenchError> {
    let text = call(client, Method::GET, RUNS_PATH, "").await?;
    let value: Value = serde_json::from_slice(&text).unwrap_or(Value::Null);
    // A stuck server runs nothing, but it received what it holds.
    let held = value["received"].as_u64();
    Ok(held.or(value["total"].as_u64()).unwrap_or(0))
}

async fn call(
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
