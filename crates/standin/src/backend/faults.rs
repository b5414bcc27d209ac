// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The faults that a stand-in backend server shows.

use serde::{Deserialize, Serialize};

/// `BreakPoint` is where a broken server drops the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakPoint {
    /// Nowhere.
    #[default]
    Nowhere,
    /// After the head of the request, before its body.
    AfterRequestHead,
    /// After the whole request was read and run.
    AfterRun,
    /// Within the head of the answer.
    InAnswerHead,
    /// Within the body of the answer.
    InAnswerBody,
}

/// `BackendFaults` are the faults in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Share of requests answered with status 500.
    pub error_rate: f64,
    /// Only paths with this prefix fail; empty for all.
    pub error_prefix: String,
    /// Share of requests slowed by `slow_factor`.
    pub slow_rate: f64,
    /// Factor on the service time of slow requests.
    pub slow_factor: f64,
    /// Requests are read and never answered.
    pub stuck: bool,
    /// Where connections are dropped.
    pub break_at: BreakPoint,
    /// Work is refused before it starts, with the documented shed answer.
    pub shed: bool,
    /// Every answer says that the server is leaving.
    pub drain: bool,
    /// Errors come without any service time.
    pub quick_errors: bool,
    /// An answer to another request comes before each answer.
    pub surplus: bool,
    /// A second answer comes right behind each answer.
    pub twice: bool,
    /// Answers lack the proof that a backend server made them.
    pub unstamped: bool,
    /// Answers claim an encoding that nobody asked for.
    pub encoded: bool,
    /// Status of every answer, 0 for the usual.
    pub status: u16,
    /// Status of the health endpoint.
    pub health_status: u16,
    /// Requests in flight that the load endpoint claims.
    pub claimed_load: u64,
    /// Path of the requests that crash the server while they run; empty for none.
    pub crash_path: String,
    /// Time for which such a request runs before.
    pub crash_after_ms: u64,
    /// Time after a crash until the server listens again.
    pub down_ms: u64,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            error_rate: 0.0,
            error_prefix: String::new(),
            slow_rate: 0.0,
            slow_factor: 1.0,
            stuck: false,
            break_at: BreakPoint::Nowhere,
            shed: false,
            drain: false,
            quick_errors: false,
            surplus: false,
            twice: false,
            unstamped: false,
            encoded: false,
            status: 0,
            health_status: 200,
            claimed_load: 0,
            crash_path: String::new(),
            crash_after_ms: 0,
            down_ms: 0,
        }
    }
}
