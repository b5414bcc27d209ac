// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the log lines say about one request.

use crate::lines::LogLine;

/// `RequestEnd` is how a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got the response of a backend server.
    Answered {
        /// Status of the response.
        status: u64,
        /// Whether the response missed the route's latency objective.
        late: bool,
    },
    /// The request was refused before an upstream was chosen.
    Rejected {
        /// Status that the caller received.
        status: u64,
        /// Reason that was reported to the caller.
        reason: String,
    },
    /// The request failed without a response of a backend server.
    Failed {
        /// Whether the request certainly did not run at a backend server.
        not_run: bool,
        /// Reason that was reported to the caller.
        reason: String,
    },
    /// The caller disconnected.
    CallerGone,
    /// The connection ended before the response to the caller was complete.
    CutShort,
}

/// `AttemptRecord` is what the logs show about the attempts of one request at one backend server.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AttemptRecord {
    /// The backend server.
    pub upstream: String,
    /// When the request was last sent to the backend server, as [`LogLine::seconds`].
    pub started: Option<f64>,
    /// Time that the request waited for a slot, in milliseconds.
    pub waited_ms: u64,
    /// Fault of the last failed attempt; `None` if no attempt failed.
    pub fault: Option<String>,
}

/// `RequestRecord` is what the logs show about one request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestRecord {
    /// Route that the request matched; empty if the logs do not show the route.
    pub route: String,
    /// Service to which the request was sent.
    pub service: String,
    /// When the first line about the request was logged, as [`LogLine::seconds`].
    pub first_line_at: Option<f64>,
    /// Whether an ingress received the request.
    pub received: bool,
    /// How the request ended, if the logs show its end.
    pub end: Option<RequestEnd>,
    /// Time from the receipt of the request to its end, in milliseconds.
    pub held_ms: Option<u64>,
    /// Number of attempts that were made, including those that a daemon declined.
    pub attempts: u64,
    /// Number of slow attempts, which continued while the ingress made another attempt.
    pub slow_attempts: u64,
    /// Upstream that was chosen last.
    pub last_chosen: String,
    /// Attempts that were sent to backend servers, one entry for each server.
    pub dispatched: Vec<AttemptRecord>,
}

impl RequestRecord {
    /// Adds a line of the request.
    pub fn add_line(&mut self, line: &LogLine) {
        let at = line.seconds();
        self.first_line_at = match (self.first_line_at, at) {
            (Some(first), Some(at)) => Some(first.min(at)),
            (first, at) => first.or(at),
        };
        if let Some(attempt) = line.number("attempt") {
            self.attempts = self.attempts.max(attempt);
        }
        match line.text("message") {
            "request received" => {
                self.received = true;
                self.route = line.text("route").to_owned();
                self.service = line.text("service").to_owned();
            }
            "upstream chosen" => self.last_chosen = line.text("upstream").to_owned(),
            "attempt ended" if line.text("outcome") == "late" => self.slow_attempts += 1,
            "work started" => self.add_started(line),
            "work broke" => self.add_fault(line),
            _ => self.add_end(line),
        }
    }

    fn add_started(&mut self, line: &LogLine) {
        let waited_ms = line.number("waited_ms").unwrap_or(0);
        let attempt = self.attempt_mut(line.text("upstream"));
        attempt.started = line.seconds();
        attempt.waited_ms = waited_ms;
    }

    fn add_fault(&mut self, line: &LogLine) {
        let fault = line.text("fault").to_owned();
        self.attempt_mut(line.text("upstream")).fault = Some(fault);
    }

    fn attempt_mut(&mut self, upstream: &str) -> &mut AttemptRecord {
        let known_index = self.dispatched.iter().position(|attempt| attempt.upstream == upstream);
        let index = known_index.unwrap_or_else(|| {
            self.dispatched
                .push(AttemptRecord { upstream: upstream.to_owned(), ..AttemptRecord::default() });
            self.dispatched.len() - 1
        });
        &mut self.dispatched[index]
    }

    fn add_end(&mut self, line: &LogLine) {
        let status = line.number("status").unwrap_or(0);
        let reason = line.text("reason").to_owned();
        let end = match line.text("message") {
            "request answered" => {
                let late = line.fields.get("late").and_then(serde_json::Value::as_bool);
                RequestEnd::Answered { status, late: late.unwrap_or(false) }
            }
            "request rejected" => RequestEnd::Rejected { status, reason },
            "request failed" => {
                RequestEnd::Failed { not_run: line.text("outcome") == "not-run", reason }
            }
            "caller gone" => RequestEnd::CallerGone,
            "answer cut short" => RequestEnd::CutShort,
            _ => return,
        };
        if self.route.is_empty() {
            self.route = line.text("route").to_owned();
        }
        self.received = true;
        self.held_ms = line.number("at_ms");
        self.end = Some(end);
    }

    /// Returns whether the caller got a successful response.
    pub fn is_served(&self) -> bool {
        matches!(self.end, Some(RequestEnd::Answered { status, .. }) if status < 500)
    }

    /// Returns whether the caller got a successful response that missed the route's latency
    /// objective.
    pub fn is_late(&self) -> bool {
        self.is_served() && matches!(self.end, Some(RequestEnd::Answered { late: true, .. }))
    }

    /// Returns the backend server that determined how the request ended: the last server to which
    /// the request was sent, or else the last server that was chosen. Empty if none was chosen.
    pub fn last_server(&self) -> &str {
        self.dispatched.last().map_or(&self.last_chosen, |attempt| &attempt.upstream)
    }
}
