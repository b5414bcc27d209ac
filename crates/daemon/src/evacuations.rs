// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Follows the evacuations of failure domains in the operator's table, where this table is the
//! source of the configuration.
//!
//! A daemon learns of an evacuation from the store, and from the heartbeats of its peers while the
//! store does not answer. The hosts of the failure domain refuse new requests, whatever the
//! ingresses know.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use basaltarch_base::configuration::TouchedServices;
use basaltarch_core::config::{ActiveConfig, EvacuatedDomains};
use basaltarch_core::units::StoreVersion;
use basaltarch_decide::evacuation::{DomainState, EvacuationTable};
use basaltarch_events::fleet;
use basaltarch_peer::protocol::EvacuationNote;
use basaltarch_platform::rows::{evacuated_domain, RowValue, RowsPage};

use crate::membership::{self, HeartbeatContent};
use crate::rows;
use crate::state::DaemonState;

/// `EvacuationRegistry` holds the latest known state of each failure domain that was ever
/// evacuated.
#[derive(Debug, Default)]
pub struct EvacuationRegistry {
    table: RefCell<EvacuationTable>,
}

impl EvacuationRegistry {
    /// Returns the highest version of any known state.
    pub fn version(&self) -> StoreVersion {
        self.table.borrow().version()
    }

    /// Builds a version that was assigned in `era`. Without an era, the latest known era is assumed.
    pub fn version_in(&self, era: Option<u64>, version: u64) -> StoreVersion {
        StoreVersion { era: era.unwrap_or_else(|| self.version().era), version }
    }

    /// Returns the evacuated failure domains.
    pub fn evacuated(&self) -> EvacuatedDomains {
        Rc::new(self.table.borrow().evacuated().into_iter().map(Rc::from).collect())
    }
}

/// Applies the whole operator's table, as read in `era`. A failure domain without a row is not
/// evacuated.
pub fn apply_table(state: &Rc<DaemonState>, page: &RowsPage, era: Option<u64>) {
    let present = page.rows.iter().filter(|row| row.value != RowValue::Gone);
    let requests = present.filter_map(|row| Some((evacuated_domain(&row.key)?, row.version)));
    let evacuated: BTreeMap<&str, u64> = requests.collect();
    let version = state.evacuations.version_in(era, page.version);
    let is_later = state.evacuations.table.borrow_mut().note_list(&evacuated, version);
    if is_later {
        put_in_force(state);
    }
}

/// Applies changes of the operator's table, as read in `era`.
pub fn apply_changes(state: &Rc<DaemonState>, page: &RowsPage, era: Option<u64>) {
    apply_reports(
        state,
        page.rows.iter().filter_map(|row| {
            let evacuated = row.value != RowValue::Gone;
            let version = state.evacuations.version_in(era, row.version);
            Some((evacuated_domain(&row.key)?, DomainState { version, evacuated }))
        }),
    );
}

/// Applies the states that a peer reported.
pub fn handle_notes(state: &Rc<DaemonState>, notes: &[EvacuationNote]) {
    apply_reports(
        state,
        notes.iter().map(|note| {
            let era = note.era.map(|era| era.max(0) as u64);
            let version = state.evacuations.version_in(era, note.version.max(0) as u64);
            (&*note.failure_domain, DomainState { version, evacuated: note.evacuated })
        }),
    );
}

/// Applies reported states of failure domains, in any order.
fn apply_reports<'a>(
    state: &Rc<DaemonState>,
    reports: impl Iterator<Item = (&'a str, DomainState)>,
) {
    let mut is_later = false;
    for (domain, reported) in reports {
        is_later |= state.evacuations.table.borrow_mut().note(domain, reported);
    }
    if is_later {
        put_in_force(state);
    }
}

/// Returns the known states for a heartbeat, `None` if there are none.
pub fn notes(state: &DaemonState) -> Option<Vec<EvacuationNote>> {
    let table = state.evacuations.table.borrow();
    let note = |(domain, known): (&str, DomainState)| EvacuationNote {
        failure_domain: domain.to_owned(),
        version: known.version.version as i64,
        evacuated: known.evacuated,
        era: Some(known.version.era as i64),
    };
    let notes: Vec<EvacuationNote> = table.iter().map(note).collect();
    (!notes.is_empty()).then_some(notes)
}

/// Puts the known states in force, and reports them to the neighbours. Without a document, the
/// states are put in force together with the first document.
fn put_in_force(state: &Rc<DaemonState>) {
    let evacuated = state.evacuations.evacuated();
    let active = state.config.active();
    log_difference(state, &active.evacuated, &evacuated);
    if state.document.get().is_some() {
        let mut next_layout = ActiveConfig::clone(&active);
        next_layout.evacuated = evacuated;
        let touched = TouchedServices::Some(Vec::new());
        state.config.replace_layout(next_layout, touched, state.now());
    }
    membership::send_heartbeats(state, HeartbeatContent::Own);
    rows::announce_configuration(state);
}

fn log_difference(state: &DaemonState, before: &BTreeSet<Rc<str>>, evacuated: &BTreeSet<Rc<str>>) {
    for domain in evacuated.difference(before) {
        let mut hosts = 0;
        state.roster.for_each(|_, record| {
            hosts += u64::from(record.failure_domain == **domain);
        });
        fleet::DomainEvacuated { domain, hosts }.log();
    }
    for domain in before.difference(evacuated) {
        fleet::DomainRestored { domain }.log();
    }
}
