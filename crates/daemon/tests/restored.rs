// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The store comes back from a copy that is some seconds old, and the operator writes again what was lost.
//!
//! What users may see: a route that the operator added after the return is answered 404 at every daemon, as one that
//! is not there, until the next change. The order of events: daemons have read up to a number; the store goes away and
//! comes back from a copy with a lower one; it gives out the numbers in between again, the operator's
//! document among them; a daemon that asks for what changed since its number hears of nothing, and takes that
//! for word that it has the newest document. Whoever asks before the numbers are passed gets 410, and reads anew.

mod common;

use std::ops::Range;

use basaltarch_core::resources::WorkMode;
use common::eventually;
use common::registered::{document, route, RegisteredFleet};
use serde_json::json;
use test_case::test_case;

/// Rows that somebody else wrote before the loss, or writes after it.
fn write_others(fleet: &RegisteredFleet, numbers: Range<u64>) {
    for number in numbers {
        fleet.platform.change_row("PUT", "status", &format!("row-{number}"), "{}");
    }
}

#[test_case(false ; "nobody passes the numbers that were lost")]
#[test_case(true ; "others pass the numbers before a daemon asks")]
fn verify_what_the_operator_writes_after_a_restore_comes_in_force(passed: bool) {
    let fleet = RegisteredFleet::start(2);
    fleet.platform.take_copy();
    write_others(&fleet, 0..20);
    fleet.write(&document(2));
    for daemon in &fleet.daemons {
        eventually("the document is in force", || daemon.revision() == 2);
    }
    fleet.platform.faults(json!({"down": true}));
    fleet.platform.restore();
    let mut wanted = document(3);
    wanted.routes.push(route("r-new", "/new/", WorkMode::Repeatable));
    fleet.write(&wanted);
    if passed {
        write_others(&fleet, 20..80);
    }
    fleet.platform.faults(json!({}));
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        eventually("what was written after the return is in force", || daemon.revision() == 3);
        assert_eq!(fleet.request(index, "GET", "/new/x", "new").status, 200);
    }
}
