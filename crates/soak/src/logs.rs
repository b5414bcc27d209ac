// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads from a daemon's log when documents came in force. A caller can observe only at its next
//! request that a document is in force, so the responses do not show the exact time.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde_json::Value;

const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// `InForceLine` is a line of the log which says that a document came in force at a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InForceLine {
    /// Time of the run at which the line was logged.
    pub at: Duration,
    /// Revision of the document.
    pub revision: u64,
}

/// Reads the lines of a log which say that a document came in force; `began_time_of_day` is the
/// time of day at which the run began.
pub fn in_force_lines(log: &Path, began_time_of_day: Duration) -> Vec<InForceLine> {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let matching = lines.filter(|line| line["message"] == "configuration in force");
    let read = |line: Value| {
        let at = read_time_of_day(line["timestamp"].as_str()?)?;
        // A time of day before that of the beginning means that the run has crossed midnight.
        let at = if at < began_time_of_day { at + DAY } else { at };
        Some(InForceLine { at: at - began_time_of_day, revision: line["revision"].as_u64()? })
    };
    matching.filter_map(read).collect()
}

/// Returns the time of day that belongs to a time since the beginning of 1970, in UTC.
pub fn since_midnight(time: Duration) -> Duration {
    Duration::from_micros((time.as_micros() % DAY.as_micros()) as u64)
}

/// Reads the time of day from a timestamp such as `2026-01-31T23:59:59.123456Z`.
fn read_time_of_day(text: &str) -> Option<Duration> {
    let (_, time) = text.trim_end_matches('Z').split_once('T')?;
    let mut parts = time.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(Duration::from_secs(hours * 3600 + minutes * 60) + Duration::from_secs_f64(seconds))
}
