// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reconstructs the path of one request from the logs of many hosts.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::errors::CommandError;
use crate::lines::{self, LogLine};
use crate::tables;

/// Time in seconds before the first line of a request from which lines about its upstreams are
/// shown: an ejected upstream gets a trial request after at most six seconds.
const UPSTREAM_LEAD_TIME_S: f64 = 10.0;
/// Events by which a request is suspected of crashing backend servers, or cleared of that
/// suspicion. These events are matched by fingerprint, as any copy of the request may have raised
/// the suspicion.
const CRASH_EVENTS: [&str; 2] = ["request suspected", "request cleared"];
/// Fields that every line has, or that are shown in a column of their own.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// `RequestHistory` is what the logs contain about one request.
#[derive(Debug, Default)]
pub struct RequestHistory {
    /// Lines of the request, and lines about changes in the health of its upstreams, in order of
    /// time.
    pub lines: Vec<LogLine>,
    /// Number of lines that contain no complete JSON object.
    pub unreadable: usize,
}

/// Reads the log files and collects the lines about a request.
pub fn gather(request: &str, paths: &[String]) -> Result<RequestHistory, CommandError> {
    let mut history = RequestHistory::default();
    let mut upstream_lines = Vec::new();
    let mut crash_lines = Vec::new();
    for path in paths {
        lines::read_file(path, |line| match line {
            None => history.unreadable += 1,
            Some(line) if line.text("request") == request => history.lines.push(line),
            Some(line) if CRASH_EVENTS.contains(&line.text("message")) => crash_lines.push(line),
            Some(line) if line.fields.contains_key("request") => {}
            Some(line) if line.fields.contains_key("upstream") => upstream_lines.push(line),
            Some(_) => {}
        })?;
    }
    let upstreams: BTreeSet<String> =
        history.lines.iter().map(|line| line.text("upstream").to_owned()).collect();
    let times_s: Vec<f64> = history.lines.iter().filter_map(LogLine::seconds).collect();
    let first_s = times_s.iter().copied().fold(f64::INFINITY, f64::min);
    let last_s = times_s.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    history.lines.extend(upstream_lines.into_iter().filter(|line| {
        let is_near = |at: f64| at >= first_s - UPSTREAM_LEAD_TIME_S && at <= last_s;
        upstreams.contains(line.text("upstream")) && line.seconds().is_some_and(is_near)
    }));
    // All copies of a request share one fingerprint, and a crash by any copy counts against all
    // copies.
    let fingerprints: BTreeSet<String> =
        history.lines.iter().map(|line| line.text("fingerprint").to_owned()).collect();
    let is_about_copies = |line: &LogLine| fingerprints.contains(line.text("fingerprint"));
    history.lines.extend(crash_lines.into_iter().filter(is_about_copies));
    history.lines.sort_by(|left, right| left.text("timestamp").cmp(right.text("timestamp")));
    Ok(history)
}

/// Prints the lines as a table and says how the request ended.
pub fn print(request: &str, history: &RequestHistory) {
    let row = |line: &LogLine| {
        let clock = line.text("timestamp").split_once('T').map_or("", |(_, clock)| clock);
        let pairs = line.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let pairs: Vec<String> =
            pairs.map(|(name, value)| format!("{name}={}", tables::cell_text(value))).collect();
        let event = line.text("message").to_owned();
        vec![clock.trim_end_matches('Z').to_owned(), line.source.clone(), event, pairs.join(" ")]
    };
    let rows: Vec<Vec<String>> = history.lines.iter().map(row).collect();
    tables::print(&["TIME", "LOG", "EVENT", "WHY"], &rows);
    println!("\n{}", conclusion(request, history));
    if history.unreadable > 0 {
        println!("{} lines could not be read and were passed over", history.unreadable);
    }
}

/// Returns a sentence that says how the request ended.
pub fn conclusion(request: &str, history: &RequestHistory) -> String {
    let is_of_request = |line: &&LogLine| line.text("request") == request;
    let last_line = |event: &str| {
        history.lines.iter().filter(is_of_request).rfind(|line| line.text("message") == event)
    };
    let field_text = |line: &LogLine, field: &str| tables::cell_text(&line.fields[field]);
    if let Some(line) = last_line("request failed") {
        return format!(
            "request {request} failed as {} ({}) with status {} after {} attempts and {} ms",
            field_text(line, "outcome"),
            field_text(line, "reason"),
            field_text(line, "status"),
            field_text(line, "attempts"),
            field_text(line, "at_ms")
        );
    }
    if let Some(line) = last_line("request rejected") {
        return format!(
            "request {request} was rejected ({}) with status {}: {}",
            field_text(line, "reason"),
            field_text(line, "status"),
            field_text(line, "cause")
        );
    }
    if let Some(line) = last_line("answer cut short") {
        return format!(
            "the answer to request {request} was cut short: {}",
            field_text(line, "error")
        );
    }
    if let Some(line) = last_line("caller gone") {
        return format!(
            "the caller of request {request} left after {} ms",
            field_text(line, "at_ms")
        );
    }
    if let Some(line) = last_line("request answered") {
        let late_note =
            if line.fields.get("late") == Some(&Value::Bool(true)) { ", late" } else { "" };
        let (status, at) = (field_text(line, "status"), field_text(line, "at_ms"));
        return format!(
            "request {request} got the server's answer {status} after {at} ms{late_note}"
        );
    }
    format!("the logs do not tell how request {request} ended")
}
