// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The faults that can be injected into a simulated backend server.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `BreakPoint` is the stage of an exchange at which the server drops the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakPoint {
    /// Connections are not dropped.
    #[default]
    Nowhere,
    /// After the head of the request was read, before the body of the request is read.
    AfterRequestHead,
    /// After the whole request was read and run.
    AfterRun,
    /// Within the head of the response.
    InAnswerHead,
    /// Within the body of the response.
    InAnswerBody,
}

/// `GarbleKind` is how the response to one request is spoilt, or the request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GarbleKind {
    /// The response is sent twice.
    Twice,
    /// The response is sent once more in front of the next response on its connection.
    Late,
    /// The response has no length, and ends with its connection.
    Unframed,
    /// The connection ends within the head of the response.
    HalfHead,
    /// The connection ends within the body of the response.
    HalfBody,
    /// The connection ends after the run, without a response.
    Lost,
    /// The connection ends before the request is read to its end.
    Unread,
    /// The response has status 500.
    Failed,
    /// The request is refused before it runs, with status 503 and a shed notice.
    Shed,
    /// The request is refused before it runs, and the refusal is sent once more in front of the next
    /// response on its connection.
    ShedLate,
    /// A refusal that belongs to no request is sent in front of the response.
    Stray,
    /// The request runs, and the response has a part of what makes a refusal.
    Partial,
}

/// `BackendFaults` are the faults in force at a simulated backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFaults {
    /// Share of requests that are answered with status 500, from 0 to 1.
    pub error_rate: f64,
    /// Prefix of the paths to which `error_rate` applies; empty for all paths.
    pub error_prefix: String,
    /// Share of requests whose service time is multiplied by `slow_factor`, from 0 to 1.
    pub slow_rate: f64,
    /// Factor by which the service time of slow requests is multiplied.
    pub slow_factor: f64,
    /// Requests are read and never answered.
    pub stuck: bool,
    /// Stage at which connections are dropped.
    pub break_at: BreakPoint,
    /// Requests are refused before they run, with status 503 and a shed notice.
    pub shed: bool,
    /// Every response carries a drain notice.
    pub drain: bool,
    /// Header fields that every response carries besides the usual ones.
    pub notices: BTreeMap<String, String>,
    /// Requests are answered without any service time.
    pub quick_errors: bool,
    /// A response to another request is sent before each response.
    pub surplus: bool,
    /// Each response is sent twice.
    pub twice: bool,
    /// Each response is sent once more in front of the next response on its connection.
    pub late: bool,
    /// Responses have no length, and end with their connection.
    pub unframed: bool,
    /// A refusal that belongs to no request is sent in front of each response.
    pub stray: bool,
    /// Responses have a part of what makes a refusal.
    pub partial: bool,
    /// Share of requests to which one of `garbles` happens, from 0 to 1.
    pub garble_rate: f64,
    /// What happens to the share `garble_rate` of requests.
    pub garbles: Vec<GarbleKind>,
    /// Responses lack the header field that marks a response as made by a backend server.
    pub unstamped: bool,
    /// Responses claim a content encoding that the request did not accept.
    pub encoded: bool,
    /// Status of every response; 0 for the status that the request path selects.
    pub status: u16,
    /// Status of the health endpoint.
    pub health_status: u16,
    /// Number of requests in flight that the load endpoint reports.
    pub claimed_load: u64,
    /// Path of the requests that crash the server while they run; empty for none.
    pub crash_path: String,
    /// Time for which a request with `crash_path` runs before the crash, in milliseconds.
    pub crash_after_ms: u64,
    /// Time after a crash until the server listens again, in milliseconds.
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
            notices: BTreeMap::new(),
            quick_errors: false,
            surplus: false,
            twice: false,
            late: false,
            unframed: false,
            stray: false,
            partial: false,
            garble_rate: 0.0,
            garbles: Vec::new(),
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

impl BackendFaults {
    /// Returns these faults with what happens to one request.
    pub fn garbled(mut self, kind: GarbleKind) -> Self {
        match kind {
            GarbleKind::Twice => self.twice = true,
            GarbleKind::Late => self.late = true,
            GarbleKind::Unframed => self.unframed = true,
            GarbleKind::HalfHead => self.break_at = BreakPoint::InAnswerHead,
            GarbleKind::HalfBody => self.break_at = BreakPoint::InAnswerBody,
            GarbleKind::Lost => self.break_at = BreakPoint::AfterRun,
            GarbleKind::Unread => self.break_at = BreakPoint::AfterRequestHead,
            GarbleKind::Failed => self.status = 500,
            GarbleKind::Shed => self.shed = true,
            GarbleKind::Stray => self.stray = true,
            GarbleKind::Partial => self.partial = true,
            GarbleKind::ShedLate => {
                self.shed = true;
                self.late = true;
            }
        }
        self
    }
}
