// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! docs/REFERENCE.md must list every event with its fields. The page becomes stale if an event
//! changes and the page does not, or if the daemon logs a line that is not an event.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use basaltarch_events::{entries, EventEntry};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the row of an event in the reference.
fn row(entry: &EventEntry) -> String {
    let fields: Vec<String> = entry
        .fields
        .iter()
        .map(|field| format!("`{}` {}", field.name, field.help.trim().trim_end_matches('.')))
        .collect();
    let (level, help) = (entry.level.to_lowercase(), entry.help.trim());
    format!("| `{}` | {level} | {help} | {} |", entry.name, fields.join("; "))
}

#[test]
fn verify_every_event_stands_in_the_reference_and_no_other() {
    let reference = fs::read_to_string(root().join("docs/REFERENCE.md")).expect("reference");
    let section = reference.split("## Log events").nth(1).expect("the section of events");
    let section = section.split("\n## ").next().expect("its text");
    let documented: BTreeSet<&str> =
        section.lines().filter(|line| line.starts_with("| `")).collect();
    let rows: Vec<String> = entries().map(row).collect();
    let known: BTreeSet<&str> = rows.iter().map(String::as_str).collect();
    let missing: Vec<&&str> = known.difference(&documented).collect();
    let stale: Vec<&&str> = documented.difference(&known).collect();
    assert!(missing.is_empty() && stale.is_empty(), "lacks {missing:#?}\nstale {stale:#?}");
}

#[test]
fn verify_names_of_events_differ_and_their_fields_too() {
    let mut names = BTreeSet::new();
    for entry in entries() {
        assert!(names.insert(entry.name), "{} is declared twice", entry.name);
        let fields: BTreeSet<&str> = entry.fields.iter().map(|field| field.name).collect();
        assert_eq!(fields.len(), entry.fields.len(), "{}", entry.name);
        assert!(!fields.contains("message"), "{}: the name is the message", entry.name);
    }
}

fn sources(folder: &Path, paths: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("folder").map_while(Result::ok) {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, paths);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            paths.push(path);
        }
    }
}

#[test]
fn verify_the_daemon_logs_nothing_but_events() {
    let mut paths = Vec::new();
    for package in ["core", "decide", "http", "peer", "store", "daemon"] {
        sources(&root().join("crates").join(package).join("src"), &mut paths);
    }
    assert!(paths.len() > 50, "the sources were found");
    for path in paths {
        let text = fs::read_to_string(&path).expect("source");
        for level in ["error!", "warn!", "info!", "debug!", "trace!", "event!"] {
            let call = format!("tracing::{level}");
            assert!(!text.contains(&call), "{} logs by {call}", path.display());
        }
    }
}
