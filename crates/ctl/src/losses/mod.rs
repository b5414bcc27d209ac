// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds in the logs of many hosts where and why callers' requests were lost.
//!
//! [`record`] holds what the log lines say about each request, [`server_health`] the health of the
//! backend servers in the view of their hosts, [`cause`] determines why a request was lost, and
//! [`tally`] counts the losses.

pub mod cause;
pub mod record;
pub mod server_health;
pub mod tally;

use std::collections::BTreeMap;

use crate::errors::CommandError;
use crate::lines;
use crate::losses::record::RequestRecord;
use crate::losses::server_health::ServerHistories;
use crate::losses::tally::LossTally;

/// Largest number of requests whose records are kept, at about 300 bytes a record. The lines of
/// further requests are only counted.
pub const REQUESTS_MAX: usize = 1_000_000;

/// `ParsedLogs` is what the logs contain about all requests.
#[derive(Debug, Default)]
pub struct ParsedLogs {
    /// Record of each request that the logs name, by its id.
    pub requests: BTreeMap<String, RequestRecord>,
    /// Health and load of the backend servers over time.
    pub histories: ServerHistories,
    /// Number of lines that contain no complete JSON object.
    pub unreadable: usize,
    /// Number of lines that were skipped because they are about requests beyond [`REQUESTS_MAX`].
    pub passed_over: usize,
    /// Number of requests that the hosts did not log, as the hosts report.
    pub not_logged: u64,
}

/// Reads the log files and counts the lost requests. Fails if a file can't be read.
pub fn count(paths: &[String]) -> Result<LossTally, CommandError> {
    let mut logs = ParsedLogs::default();
    for path in paths {
        lines::read_file(path, |line| match line {
            None => logs.unreadable += 1,
            Some(line) => logs.add_line(&line),
        })?;
    }
    logs.histories.sort();
    Ok(tally::count_losses(&logs))
}

impl ParsedLogs {
    fn add_line(&mut self, line: &lines::LogLine) {
        self.histories.add_line(line);
        if line.text("message") == "requests not logged" {
            self.not_logged += line.number("requests").unwrap_or(0);
        }
        let id = line.text("request");
        if id.is_empty() {
            return;
        }
        if !self.requests.contains_key(id) {
            if self.requests.len() >= REQUESTS_MAX {
                self.passed_over += 1;
                return;
            }
            self.requests.insert(id.to_owned(), RequestRecord::default());
        }
        if let Some(record) = self.requests.get_mut(id) {
            record.add_line(line);
        }
    }
}

/// Returns the id of the request during which a backend server sent the nested call `id`. A backend
/// server builds the id of a nested call from the id of the request, a dot and a suffix.
pub fn parent_of(id: &str) -> Option<&str> {
    id.rsplit_once('.').map(|(parent, _)| parent)
}
