// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Counts what a stand-in backend server received and ran.

use basaltarch_http::fields;
use fnv::FnvHashMap;
use http::request;
use serde::{Deserialize, Serialize};

use crate::backend::BackendStandin;

/// `BackendRuns` is what the server ran.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendRuns {
    /// Requests run.
    pub total: u64,
    /// Requests run, by `x-request-id`.
    pub by_id: FnvHashMap<String, u64>,
    /// Most requests worked on at once.
    pub most_at_once: u64,
    /// Requests given up by the other side while they were worked on.
    pub cancelled: u64,
    /// Body bytes received.
    pub body_bytes: u64,
    /// Connections accepted.
    pub connections: u64,
    /// Requests received, run or not.
    pub received: u64,
    /// Requests of the health and load endpoints.
    pub probes: u64,
    /// Times that the server crashed.
    pub crashes: u64,
    /// Requests run, by the organisation that the server was told.
    pub by_organisation: FnvHashMap<String, u64>,
    /// Requests received with a caller's API key, which must not go this far.
    pub keys: u64,
    /// Head of the last request, as text.
    pub last_head: String,
}

/// Notes a request that may or may not be run.
pub fn note_received(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.received += 1;
    runs.keys += u64::from(head.headers.contains_key(&standin.options.fields.api_key));
    runs.last_head = format!("{} {} {:?}", head.method, head.uri, head.headers);
}

/// Notes how many requests are worked on now.
pub fn note_at_once(standin: &BackendStandin, now: u64) {
    let mut runs = standin.runs.borrow_mut();
    runs.most_at_once = runs.most_at_once.max(now);
}

/// Notes a request that is run.
pub fn note_run(standin: &BackendStandin, head: &request::Parts) {
    let mut runs = standin.runs.borrow_mut();
    runs.total += 1;
    if let Some(id) = fields::single(&head.headers, &standin.request_field()) {
        *runs.by_id.entry(id.to_owned()).or_default() += 1;
    }
    if let Some(name) = fields::single(&head.headers, &standin.options.fields.organisation) {
        *runs.by_organisation.entry(name.to_owned()).or_default() += 1;
    }
}
