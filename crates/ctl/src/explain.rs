// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds the way of one request in the logs of many hosts.

use std::collections::BTreeSet;

use serde_json::Value;

use crate::errors::CommandError;
use crate::lines::{self, LogLine};
use crate::tables;

/// Time before a request in which lines about its upstreams are shown, in seconds: an ejected one is
/// tried again after six at the longest (docs/design/gray-failures.md).
const BEFORE_S: f64 = 10.0;
/// Events that tell what is known against the copies of a request, whichever of them it was.
const CRASH_EVENTS: [&str; 2] = ["request suspected", "request cleared"];
/// Fields that every line has, or that stand in a column of their own.
const COMMON_FIELDS: [&str; 5] = ["timestamp", "level", "message", "target", "request"];

/// `RequestStory` is what the logs tell of one request.
#[derive(Debug, Default)]
pub struct RequestStory {
    /// Its lines, and those that changed what hosts believe of its upstreams, in order of time.
    pub lines: Vec<LogLine>,
    /// Lines that hold no JSON object, or only a part of one.
    pub unreadable: usize,
}

/// Reads the files and gathers what they tell of a request.
pub fn gather(request: &str, paths: &[String]) -> Result<RequestStory, CommandError> {
    let mut story = RequestStory::default();
    let mut beliefs = Vec::new();
    let mut crashes = Vec::new();
    for path in paths {
        lines::read_file(path, |line| match line {
            None => story.unreadable += 1,
            Some(line) if line.text("request") == request => story.lines.push(line),
            Some(line) if CRASH_EVENTS.contains(&line.text("message")) => crashes.push(line),
            Some(line) if line.fields.contains_key("request") => {}
            Some(line) if line.fields.contains_key("upstream") => beliefs.push(line),
            Some(_) => {}
        })?;
    }
    let upstreams: BTreeSet<String> =
        story.lines.iter().map(|line| line.text("upstream").to_owned()).collect();
    let times: Vec<f64> = story.lines.iter().filter_map(LogLine::seconds).collect();
    let first = times.iter().copied().fold(f64::INFINITY, f64::min);
    let last = times.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    story.lines.extend(beliefs.into_iter().filter(|line| {
        let near = |at: f64| at >= first - BEFORE_S && at <= last;
        upstreams.contains(line.text("upstream")) && line.seconds().is_some_and(near)
    }));
    // What its copies did before is why it is refused.
    let copies: BTreeSet<String> =
        story.lines.iter().map(|line| line.text("fingerprint").to_owned()).collect();
    let of_copies = |line: &LogLine| copies.contains(line.text("fingerprint"));
    story.lines.extend(crashes.into_iter().filter(of_copies));
    story.lines.sort_by(|left, right| left.text("timestamp").cmp(right.text("timestamp")));
    Ok(story)
}

/// Prints the story as a table, one line each.
pub fn print(request: &str, story: &RequestStory) {
    let row = |line: &LogLine| {
        let clock = line.text("timestamp").split_once('T').map_or("", |(_, clock)| clock);
        let words = line.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let words: Vec<String> =
            words.map(|(name, value)| format!("{name}={}", tables::cell(value))).collect();
        let event = line.text("message").to_owned();
        vec![clock.trim_end_matches('Z').to_owned(), line.source.clone(), event, words.join(" ")]
    };
    let rows: Vec<Vec<String>> = story.lines.iter().map(row).collect();
    tables::print(&["TIME", "LOG", "EVENT", "WHY"], &rows);
    println!("\n{}", conclusion(request, story));
    if story.unreadable > 0 {
        println!("{} lines could not be read and were passed over", story.unreadable);
    }
}

/// Says in one sentence how the request ended.
pub fn conclusion(request: &str, story: &RequestStory) -> String {
    let own = |line: &&LogLine| line.text("request") == request;
    let last =
        |event: &str| story.lines.iter().filter(own).rfind(|line| line.text("message") == event);
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
