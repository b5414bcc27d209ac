// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the lines of the logs tell of one request.

use crate::lines::LogLine;

/// `RequestEnd` is how a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// With the answer of a backend server.
    Answered {
        /// Its status.
        status: u64,
        /// Whether it came after the route's objective.
        late: bool,
    },
    /// Refused before an upstream was chosen.
    Rejected {
        /// Status that the caller got.
        status: u64,
        /// Reason that the caller was told.
        reason: String,
    },
    /// Without an answer of a backend server.
    Failed {
        /// Whether it certainly did not run.
        not_run: bool,
        /// Reason that the caller was told.
        reason: String,
    },
    /// The caller went away.
    CallerGone,
    /// The answer broke off on its way to the caller.
    CutShort,
}

/// `WorkRecord` is what one backend server did of a request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct WorkRecord {
    /// The backend server.
    pub upstream: String,
    /// When the work was sent to it, in seconds.
    pub started: Option<f64>,
    /// Time that it waited for a slot, in milliseconds.
    pub waited_ms: u64,
    /// How it broke, if it did.
    pub fault: Option<String>,
}

/// `RequestRecord` is what is known of one request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct RequestRecord {
    /// Route that it matched; empty if that is not known.
    pub route: String,
    /// Service that it went to.
    pub service: String,
    /// When its first line was written, in seconds.
    pub first: Option<f64>,
    /// Whether an ingress took it in.
    pub received: bool,
    /// How it ended, if that is told.
    pub end: Option<RequestEnd>,
    /// Time until its end, in milliseconds.
    pub held_ms: Option<u64>,
    /// Attempts that were made, those included that were passed on.
    pub attempts: u64,
    /// Attempts that were late, so that others were made beside them.
    pub late: u64,
    /// Upstream that was asked last.
    pub asked: String,
    /// Work that was sent to backend servers.
    pub works: Vec<WorkRecord>,
}

impl RequestRecord {
    /// Takes a line of the request in.
    pub fn note(&mut self, line: &LogLine) {
        let at = line.seconds();
        self.first = match (self.first, at) {
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
            "upstream chosen" => self.asked = line.text("upstream").to_owned(),
            "attempt ended" if line.text("outcome") == "late" => self.late += 1,
            "work started" => self.note_started(line),
            "work broke" => self.note_broke(line),
            _ => self.note_end(line),
        }
    }

    fn note_started(&mut self, line: &LogLine) {
        let waited_ms = line.number("waited_ms").unwrap_or(0);
        let work = self.work_mut(line.text("upstream"));
        work.started = line.seconds();
        work.waited_ms = waited_ms;
    }

    fn note_broke(&mut self, line: &LogLine) {
        let fault = line.text("fault").to_owned();
        self.work_mut(line.text("upstream")).fault = Some(fault);
    }

    fn work_mut(&mut self, upstream: &str) -> &mut WorkRecord {
        let known = self.works.iter().position(|work| work.upstream == upstream);
        let index = known.unwrap_or_else(|| {
            self.works.push(WorkRecord { upstream: upstream.to_owned(), ..WorkRecord::default() });
            self.works.len() - 1
        });
        &mut self.works[index]
    }

    fn note_end(&mut self, line: &LogLine) {
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

    /// Says whether the caller got a good answer.
    pub fn is_served(&self) -> bool {
        matches!(self.end, Some(RequestEnd::Answered { status, .. }) if status < 500)
    }

    /// Says whether the caller got a good answer after the route's objective.
    pub fn is_late(&self) -> bool {
        self.is_served() && matches!(self.end, Some(RequestEnd::Answered { late: true, .. }))
    }

    /// Returns the backend server that decided how it ended: the last that worked on it, else the last
    /// that was asked; empty if there is none.
    pub fn last_server(&self) -> &str {
        self.works.last().map_or(&self.asked, |work| &work.upstream)
    }
}
