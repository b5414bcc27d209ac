// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Puts side by side how long a failing server received work and how long callers saw it fail.

use std::fs;

use serde_json::Value;

use crate::errors::{self, BenchError};

/// Time that an answer may take after its request was received, beyond which a caller that still
/// sees errors of an ejected server shows a fault, in milliseconds.
const CALLER_SLACK_MS: u64 = 250;

fn read(path: &str) -> Result<Value, BenchError> {
    let bad = |message: String| errors::BenchError::File { path: path.to_owned(), message };
    let text = fs::read_to_string(path).map_err(|error| bad(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| bad(error.to_string()))
}

/// Prints the table and checks that callers saw no more than the server received.
pub fn run(load_path: &str, fault_path: &str, server: &str) -> Result<(), BenchError> {
    let load = read(load_path)?;
    let fault = read(fault_path)?;
    let report = &load[0];
    let tally = &report["servers"][server];
    let first = tally["first_error_ms"].as_u64();
    let last = tally["last_error_ms"].as_u64();
    let seen_for = last.zip(first).map_or(0, |(last, first)| last - first);
    let received_for = fault["received_for_ms"].as_u64().unwrap_or(0);
    println!("failing server                     {server}");
    println!("kept receiving work for            {received_for} ms");
    println!("requests received in that time     {}", fault["received"]);
    println!("callers saw its errors for         {seen_for} ms");
    println!("errors that callers saw            {}", tally["errors"].as_u64().unwrap_or(0));
    println!("answers to callers                 {} ({} good)", report["answered"], report["good"]);
    println!(
        "not run / unknown / broken / crossed  {} / {} / {} / {}",
        report["not_run"], report["unknown"], report["broken"], report["crossed"]
    );
    check(fault["stopped"] == true, "the failing server was never taken out")?;
    check(
        seen_for <= received_for + CALLER_SLACK_MS,
        "callers saw the failing server longer than it received work",
    )?;
    check_clean(report)
}

/// Checks that no answer of a load was cut, crossed or left unknown.
pub fn check_clean(report: &Value) -> Result<(), BenchError> {
    check(report["answered"].as_u64().unwrap_or(0) > 0, "nothing was answered")?;
    for field in ["unknown", "broken", "crossed"] {
        let message = format!("{} answers were {field}", report[field]);
        check(report[field] == 0, &message)?;
    }
    Ok(())
}

fn check(holds: bool, message: &str) -> Result<(), BenchError> {
    if holds {
        return Ok(());
    }
    Err(BenchError::Bound { message: message.to_owned() })
}
