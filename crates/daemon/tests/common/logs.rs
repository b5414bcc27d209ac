// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The logs of daemons: their paths, waiting for lines, and saving the names of their events.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use serde_json::Value;

use super::eventually;

/// Returns a unique path for the log of a daemon.
pub fn new_log_path(host: &str) -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("basaltarch-{}-{number}-{host}.log", std::process::id()))
}

/// Waits for a log line with this message and returns the fields of the line.
pub fn wait_line(log: &std::path::Path, message: &str) -> Value {
    let mut matching_line = Value::Null;
    eventually("the expected line is in the log", || {
        let file = File::open(log).expect("log");
        for line in BufReader::new(file).lines().map_while(Result::ok) {
            let value: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
            if value["message"] == message {
                matching_line = value;
                return true;
            }
        }
        false
    });
    matching_line
}

/// Saves the names of the events in a log, for scripts/check-events.
pub fn save_event_names(log: &std::path::Path) {
    let text = fs::read_to_string(log).unwrap_or_default();
    let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let names: BTreeSet<String> =
        lines.filter_map(|line| line["message"].as_str().map(str::to_owned)).collect();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("events");
    let name = log.file_name().expect("name");
    let text: String = names.iter().map(|name| format!("{name}\n")).collect();
    // If an event can't be saved here, scripts/check-events reports the event as never seen.
    let _ = fs::create_dir_all(&folder);
    let _ = fs::write(folder.join(name), text);
}
