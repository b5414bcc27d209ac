// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads lines from the logs of many hosts.
//!
//! A line is used if it contains a JSON object. The text before the object, such as the prefix that
//! a log collector adds, becomes part of the source of the line. Lines without a JSON object are
//! reported to the caller, which counts them.

use std::fs::File;
use std::io::{BufRead, BufReader};

use serde_json::{Map, Value};

use crate::errors::CommandError;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// `LogLine` is one line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Name of the file, and the text that precedes the JSON object in the line.
    pub source: String,
    /// Fields of the JSON object.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the text of a field; empty if the field is absent or not a text.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns the value of a field; `None` if the field is absent or not an unsigned integer.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }

    /// Returns the timestamp in seconds within its month. Only differences between lines of the
    /// same month are meaningful.
    pub fn seconds(&self) -> Option<f64> {
        let (date, clock) = self.text("timestamp").split_once('T')?;
        let day: f64 = date.rsplit('-').next()?.parse().ok()?;
        let mut parts = clock.trim_end_matches('Z').split(':').map(|part| part.parse::<f64>().ok());
        let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
        Some(day * SECONDS_PER_DAY + hours * 3600.0 + minutes * 60.0 + seconds)
    }
}

/// Calls `on_line` with each line of a file, or with `None` for a line without a complete
/// JSON object.
pub fn read_file(path: &str, mut on_line: impl FnMut(Option<LogLine>)) -> Result<(), CommandError> {
    let file_error = |error: std::io::Error| CommandError::BadFile {
        path: path.to_owned(),
        message: error.to_string(),
    };
    let mut reader = BufReader::new(File::open(path).map_err(file_error)?);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if reader.read_until(b'\n', &mut bytes).map_err(file_error)? == 0 {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&bytes);
        if !text.trim().is_empty() {
            on_line(read_line(path, text.trim_end()));
        }
    }
}

/// Parses one line; returns `None` if it contains no complete JSON object.
pub fn read_line(path: &str, text: &str) -> Option<LogLine> {
    let start = text.find('{')?;
    let fields = serde_json::from_str(&text[start..]).ok()?;
    let file = path.rsplit('/').next().unwrap_or(path);
    let source = format!("{file} {}", text[..start].trim());
    Some(LogLine { source: source.trim().to_owned(), fields })
}
