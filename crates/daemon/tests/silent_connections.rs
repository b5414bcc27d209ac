// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Connections that rested may have fallen silent, without a reset, and say nothing about the
//! backend server at their other end.

mod common;

use common::eventually;
use common::load::CallerLoad;
use common::registered::RegisteredFleet;
use serde_json::{json, Value};

/// Callers at each daemon.
const CALLERS: usize = 6;

/// Returns the log lines of a daemon with this message.
fn lines_of(fleet: &RegisteredFleet, daemon: usize, message: &str) -> Vec<Value> {
    let log = fleet.daemons[daemon].log_text();
    let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["message"] == message).collect()
}

#[test]
fn verify_trials_of_an_ejected_server_are_not_sent_along_connections_that_rested() {
    let fleet = RegisteredFleet::start(3);
    (0..3).for_each(|daemon| fleet.wait_served(daemon, &[0, 1, 2]));
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let load = CallerLoad::start(&addresses, CALLERS, "/safe/x");
    fleet.backends[0].set_faults(json!({"status": 500}));
    let has_logged = |text: &str| fleet.daemons[0].log_text().contains(text);
    eventually("the server is ejected", || has_logged("upstream ejected"));
    fleet.backends[0].set_faults(json!({}));
    eventually("the server returns", || has_logged("upstream returned"));
    load.stop();
    let started = lines_of(&fleet, 0, "work started");
    let trials: Vec<&Value> = started.iter().filter(|line| line["trial"] == true).collect();
    assert!(trials.len() > 1, "{} trials are logged", trials.len());
    for trial in trials {
        assert_eq!(trial["idle_ms"], Value::Null, "{trial}");
    }
}
