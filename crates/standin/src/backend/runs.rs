// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Counts the requests that a simulated backend server received and ran.

use basaltarch_http::fields;
use fnv::FnvHashMap;
use http::request;
use serde::{Deserialize, Serialize};

use crate::backend::BackendStandin;

/// `BackendRuns` are the counters of a simulated backend server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendRuns {
    /// Number of requests run.
    pub total: u64,
    /// Number of times that each request was run, by the `x-request-id` of the request.
    pub by_id: FnvHashMap<String, u64>,
    /// Largest number of requests that ran concurrently.
    pub most_at_once: u64,
    /// Number of requests that were cancelled because the client closed the connection.
    pub cancelled: u64,
    /// Number of bytes received in request bodies.
    pub body_bytes: u64,
    /// Number of connections accepted.
    pub connections: u64,
    /// Number of requests received, whether or not they were run.
    pub received: u64,
    /// Times of the requests received while responses carry `notices` of the faults, in milliseconds
    /// since the server started.
    pub noticed_at_ms: Vec<u64>,
    /// Number of requests to the health and load endpoints.
    pub probes: u64,
    /// Number of crashes of the server.
    pub crashes: u64,
    /// Number of requests run, by the organisation that the request names.
    pub by_organisation: FnvHashMap<String, u64>,
    /// Number of requests received with a caller's API key. Daemons must not forward such a key to
    /// a backend server.
    pub keys: u64,
    /// Ids of the uploads of which other bytes arrived than were due.
    pub other_bodies: Vec<String>,
    /// Head of the last request received, as text.
    pub last_head: String,
}

/// Records a received request, whether or not it is run.
pub fn record_received(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.received += 1;
    runs.keys += u64::from(head.headers.contains_key(&standin.options.fields.api_key));
    if !standin.faults.borrow().notices.is_empty() {
        runs.noticed_at_ms.push(standin.started.elapsed().as_millis() as u64);
    }
    runs.last_head = format!("{} {} {:?}", head.method, head.uri, head.headers);
}

/// Records that `running` requests run concurrently.
pub fn record_concurrency(standin: &BackendStandin, running: u64) {
    let mut runs = standin.runs.borrow_mut();
    runs.most_at_once = runs.most_at_once.max(running);
}

/// Records a request that is run.
pub fn record_run(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.total += 1;
    if let Some(id) = fields::single(&head.headers, &standin.request_field()) {
        *runs.by_id.entry(id.to_owned()).or_default() += 1;
    }
    if let Some(name) = fields::single(&head.headers, &standin.options.fields.organisation) {
        *runs.by_organisation.entry(name.to_owned()).or_default() += 1;
    }
}
