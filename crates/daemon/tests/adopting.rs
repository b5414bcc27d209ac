// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A snapshot of the configuration never replaces a newer configuration that came into force while
//! the snapshot was being read.

use std::time::Duration;

use basaltarch_base::configuration::ConfigCell;
use basaltarch_core::config::{ActiveConfig, ChangeRecord, FleetConfig, ResourceChange};
use basaltarch_core::units::FleetRevision;
use serde_json::json;

/// Time at which all changes and snapshots come into force.
const NOW: Duration = Duration::from_secs(1);

/// Builds the change of this revision, which adds the organisation `shop-<revision>`.
fn change_record(revision: u64) -> ChangeRecord {
    let change = ResourceChange {
        kind: "organisations".to_owned(),
        name: format!("shop-{revision}"),
        before: None,
        after: Some(json!({"title": "shop"})),
    };
    ChangeRecord {
        revision: FleetRevision(revision),
        actor: "operator".to_owned(),
        at_ms: 0,
        from: String::new(),
        writer: String::new(),
        changes: vec![change],
    }
}

/// Builds the configuration that the changes of the revisions 1 to `revision` result in.
fn build_config_at(revision: u64) -> (FleetConfig, ActiveConfig) {
    let mut config = FleetConfig::default();
    for number in 1..=revision {
        assert_eq!(config.apply(&change_record(number)), Ok(true));
    }
    let layout = ActiveConfig::build(&config);
    (config, layout)
}

#[test]
fn verify_a_snapshot_that_was_overtaken_while_it_was_read_changes_nothing() {
    let config_cell = ConfigCell::default();
    let (snapshot, snapshot_layout) = build_config_at(3);
    assert_eq!(
        config_cell
            .apply(&[change_record(1), change_record(2), change_record(3), change_record(4)], NOW),
        4
    );
    assert!(
        !config_cell.adopt(snapshot, snapshot_layout, NOW),
        "revision 4 was applied while the snapshot of revision 3 was read"
    );
    assert_eq!(config_cell.revision(), FleetRevision(4));
    assert!(config_cell.active().has_organisation("shop-4"));
}

#[test]
fn verify_a_later_snapshot_is_adopted_and_changes_continue_from_it() {
    let config_cell = ConfigCell::default();
    assert_eq!(config_cell.apply(&[change_record(1)], NOW), 1);
    let (later_snapshot, layout) = build_config_at(9);
    assert!(config_cell.adopt(later_snapshot, layout, NOW));
    assert_eq!(config_cell.revision(), FleetRevision(9));
    assert!(
        config_cell.records_after(FleetRevision(1)).is_none(),
        "the changes of revisions 2 to 9 are not known"
    );
    assert_eq!(config_cell.apply(&[change_record(10)], NOW), 1);
    assert!(
        config_cell.active().has_organisation("shop-10")
            && config_cell.active().has_organisation("shop-5")
    );
}
