// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Says from the logs of many hosts where callers' requests were lost, and why.
//!
//! [`record`] keeps what the lines tell of each request, [`beliefs`] what hosts believed of their
//! backend servers, [`cause`] names why a request was lost, and [`tally`] counts.

pub mod beliefs;
pub mod cause;
pub mod record;
pub mod tally;

use std::collections::BTreeMap;

use crate::errors::CommandError;
use crate::lines;
use crate::losses::beliefs::ServerBeliefs;
use crate::losses::record::RequestRecord;
use crate::losses::tally::LossTally;

/// Requests that are kept at the most, about 300 bytes each; later ones are counted only.
pub const REQUESTS_MAX: usize = 1_000_000;

/// `LogGathering` is what the logs tell of all requests.
#[derive(Debug, Default)]
pub struct LogGathering {
    /// What is known of each request, by its id.
    pub requests: BTreeMap<String, RequestRecord>,
    /// What hosts believed of their backend servers.
    pub beliefs: ServerBeliefs,
    /// Lines that hold no JSON object, or only a part of one.
    pub unreadable: usize,
    /// Lines of requests beyond [`REQUESTS_MAX`].
    pub passed_over: usize,
    /// Requests that the hosts themselves left out of their logs.
    pub not_logged: u64,
}

/// Reads the files and counts the losses; fails if a file can't be read.
pub fn count(paths: &[String]) -> Result<LossTally, CommandError> {
    let mut gathering = LogGathering::default();
    for path in paths {
        lines::read_file(path, |line| match line {
            None => gathering.unreadable += 1,
            Some(line) => gathering.note(&line),
        })?;
    }
    gathering.beliefs.sort();
    Ok(tally::of(&gathering))
}

impl LogGathering {
    fn note(&mut self, line: &lines::LogLine) {
        self.beliefs.note(line);
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
            record.note(line);
        }
    }
}

/// Returns the id of the request whose work made this call: backend servers that pass an id on put
/// their own behind it.
pub fn parent_of(id: &str) -> Option<&str> {
    id.rsplit_once('.').map(|(parent, _)| parent)
}
