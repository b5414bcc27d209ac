// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Counts the requests that a simulated backend server received and ran.

use basaltarch_http::fields;
use fnv::FnvHashMap;
use http::request;
use serde::{Deserialize, Serialize};

use crate::backend::BackendStandin;

/// `BackendRuns` are the counters of the server.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendRuns {
    /// Requests run.
    pub total: u64,
    /// Requests run, by `x-request-id`.
    pub by_id: FnvHashMap<String, u64>,
    /// Largest number of requests that ran concurrently.
    pub most_at_once: u64,
    /// Requests whose client closed the connection while they ran.
    pub cancelled: u64,
    /// Body bytes received.
    pub body_bytes: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Requests received, run or not.
    pub received: u64,
    /// Requests to the health and load endpoints.
    pub probes: u64,
    /// Times that the server crashed.
    pub crashes: u64,
    /// Requests run, by the organisation that the request names.
    pub by_organisation: FnvHashMap<String, u64>,
    /// Requests received with a caller's API key, which must not be forwarded to a backend server.
    pub keys: u64,
    /// Head of the last request, as text.
    pub last_head: String,
}

/// Records a received request, whether or not it is run.
pub fn record_received(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.received += 1;
    runs.keys += u64::from(head.headers.contains_key(&standin.options.fields.api_key));
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
