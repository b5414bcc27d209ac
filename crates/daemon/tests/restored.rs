// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The store is restored from a copy that is some seconds old, and the operator writes a document
//! again.
//!
//! Guards against a fault in which every daemon answered 404 for a route that was added after the
//! restore, until the next change. The restored store assigns row numbers again that daemons have
//! already read, and the new document gets such a number. A daemon asks for changes after the last
//! number that the daemon has read. If the store has passed that number, the daemon gets no changes
//! and concludes that it has the newest document. If the store has not passed that number, the
//! daemon gets 410 and reads all rows again.

mod common;

use std::ops::Range;

use basaltarch_core::resources::WorkMode;
use common::eventually;
use common::registered::{document, route, RegisteredFleet};
use serde_json::json;
use test_case::test_case;

/// Writes the rows `row-<number>` as another client of the store.
fn write_foreign_rows(fleet: &RegisteredFleet, numbers: Range<u64>) {
    for number in numbers {
        fleet.platform.change_row("PUT", "status", &format!("row-{number}"), "{}");
    }
}

#[test_case(false ; "the lost numbers are not passed")]
#[test_case(true ; "other writes pass the lost numbers before a daemon asks")]
fn verify_a_document_written_after_a_restore_takes_effect(passes_lost_numbers: bool) {
    let fleet = RegisteredFleet::start(2);
    fleet.platform.take_copy();
    write_foreign_rows(&fleet, 0..20);
    fleet.write_document(&document(2));
    for daemon in &fleet.daemons {
        eventually("the document is in force", || daemon.revision() == 2);
    }
    fleet.platform.set_faults(json!({"down": true}));
    fleet.platform.restore();
    let mut new_document = document(3);
    new_document.routes.push(route("r-new", "/new/", WorkMode::Repeatable));
    fleet.write_document(&new_document);
    if passes_lost_numbers {
        write_foreign_rows(&fleet, 20..80);
    }
    fleet.platform.set_faults(json!({}));
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        eventually("the document written after the restore is in force", || daemon.revision() == 3);
        assert_eq!(fleet.request(index, "GET", "/new/x", "new").status, 200);
    }
}

// Guards against a leaving that was acknowledged, and that nobody holds once all daemons have been
// killed after the store was restored from a copy of before it.
#[test]
fn verify_an_acknowledged_leaving_is_written_again_after_a_restore() {
    let fleet = RegisteredFleet::start(2);
    fleet.wait_served(1, &[0, 1]);
    let has_departed = || {
        let rows = fleet.platform.read_rows("hosts");
        rows.iter().any(|row| row["departed"].to_string().contains("i-1"))
    };
    fleet.platform.take_copy();
    assert_eq!(fleet.deregister(0).status, 200);
    eventually("the row lists the leaving", has_departed);
    fleet.platform.set_faults(json!({"down": true}));
    fleet.platform.restore();
    fleet.platform.set_faults(json!({}));
    eventually("the row lists the leaving again", has_departed);
}
