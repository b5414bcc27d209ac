// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compares how long a failing server received requests with how long callers saw its errors.

use std::fs;

use serde_json::Value;

use crate::errors::{self, BenchError};

/// Time that a response may take after the server received the request, in milliseconds. If callers
/// see errors of an ejected server for longer than the server received requests plus this time, the
/// daemon has a fault.
const RESPONSE_SLACK_MS: u64 = 250;

fn read_json(path: &str) -> Result<Value, BenchError> {
    let file_error = |message: String| errors::BenchError::File { path: path.to_owned(), message };
    let text = fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))
}

/// Prints the comparison of the report of a load with the report of a fault, and checks that
/// callers saw errors no longer than the server received requests.
pub fn run(load_path: &str, fault_path: &str, server: &str) -> Result<(), BenchError> {
    let load = read_json(load_path)?;
    let fault = read_json(fault_path)?;
    let report = &load[0];
    let tally = &report["servers"][server];
    let first_error_ms = tally["first_error_ms"].as_u64();
    let last_error_ms = tally["last_error_ms"].as_u64();
    let seen_for_ms = last_error_ms
        .zip(first_error_ms)
        .map_or(0, |(last_error_ms, first_error_ms)| last_error_ms - first_error_ms);
    let received_for_ms = fault["received_for_ms"].as_u64().unwrap_or(0);
    println!("failing server                     {server}");
    println!("kept receiving work for            {received_for_ms} ms");
    println!("requests received in that time     {}", fault["received"]);
    println!("callers saw its errors for         {seen_for_ms} ms");
    println!("errors that callers saw            {}", tally["errors"].as_u64().unwrap_or(0));
    println!("answers to callers                 {} ({} good)", report["answered"], report["good"]);
    println!(
        "not run / unknown / broken / crossed  {} / {} / {} / {}",
        report["not_run"], report["unknown"], report["broken"], report["crossed"]
    );
    check(fault["stopped"] == true, "the failing server was not ejected within the measured time")?;
    check(
        seen_for_ms <= received_for_ms + RESPONSE_SLACK_MS,
        "callers saw errors of the failing server longer than it received requests",
    )?;
    check_clean(report)
}

/// Checks that a load got responses, that no response was truncated or belonged to another request,
/// and that no outcome is unknown.
pub fn check_clean(report: &Value) -> Result<(), BenchError> {
    check(report["answered"].as_u64().unwrap_or(0) > 0, "no request got a response")?;
    for field in ["unknown", "broken", "crossed"] {
        let message = format!("{} responses counted as {field}", report[field]);
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
