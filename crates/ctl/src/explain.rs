// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reconstructs the path of one request from the logs of many hosts.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::errors::CommandError;
use crate::lines::{self, LogLine};
use crate::tables;

/// Lines about the upstreams of a request are shown from this many seconds before the request: an
/// ejected upstream gets a trial request after at most six seconds.
const LEAD_TIME_S: f64 = 10.0;
/// Events by which a request is suspected of crashing backend servers, or cleared of that
/// suspicion. They are matched by fingerprint, as any copy of the request may have raised the
/// suspicion.
const CRASH_EVENTS: [&str; 2] = ["request suspected", "request cleared"];
/// Fields that every line has, or that are shown in a column of their own.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// `RequestHistory` is what the logs contain about one request.
#[derive(Debug, Default)]
pub struct RequestHistory {
    /// Lines of the request, and lines about changes in the health of its upstreams, in order of
    /// time.
    pub lines: Vec<LogLine>,
    /// Lines that contain no complete JSON object.
    pub unreadable: usize,
}

/// Reads the files and collects the lines about a request.
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
    let first = times_s.iter().copied().fold(f64::INFINITY, f64::min);
    let last = times_s.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    history.lines.extend(upstream_lines.into_iter().filter(|line| {
        let is_near = |at: f64| at >= first - LEAD_TIME_S && at <= last;
        upstreams.contains(line.text("upstream")) && line.seconds().is_some_and(is_near)
    }));
    // All copies of a request share its fingerprint, and are refused because of the crashes that
    // any of them caused.
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
            pairs.map(|(name, value)| format!("{name}={}", tables::cell(value))).collect();
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
    let of_request = |line: &&LogLine| line.text("request") == request;
    let last = |event: &str| {
        history.lines.iter().filter(of_request).rfind(|line| line.text("message") == event)
    };
    let value = |line: &LogLine, field: &str| tables::cell(&line.fields[field]);
    if let Some(line) = last("request failed") {
        return format!(
            "request {request} failed as {} ({}) with status {} after {} attempts and {} ms",
            value(line, "outcome"),
            value(line, "reason"),
            value(line, "status"),
            value(line, "attempts"),
            value(line, "at_ms")
        );
    }
    if let Some(line) = last("request rejected") {
        return format!(
            "request {request} was rejected ({}) with status {}: {}",
            value(line, "reason"),
            value(line, "status"),
            value(line, "cause")
        );
    }
    if let Some(line) = last("answer cut short") {
        return format!("the answer to request {request} was cut short: {}", value(line, "error"));
    }
    if let Some(line) = last("caller gone") {
        return format!("the caller of request {request} left after {} ms", value(line, "at_ms"));
    }
    if let Some(line) = last("request answered") {
        let late = if line.fields.get("late") == Some(&Value::Bool(true)) { ", late" } else { "" };
        let (status, at) = (value(line, "status"), value(line, "at_ms"));
        return format!("request {request} got the server's answer {status} after {at} ms{late}");
    }
    format!("the logs do not tell how request {request} ended")
}
