// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides which failure domains are evacuated, from reports that arrive in any order.
//!
//! The workload is an operator who evacuates a failure domain and restores it while some daemons
//! are cut off from the store, stopped or suspended. Each report names the version at which the
//! operator's request was written or removed. The report with the highest version is in force, so
//! that a delayed report never restores an earlier state.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of failure domains whose state is kept. A domain that is evacuated is never
/// dropped. With this number of entries, a list of all of them fits in a heartbeat.
pub const DOMAINS_MAX: usize = 64;

/// `DomainState` is the state of a failure domain at a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainState {
    /// Version at which the state was written.
    pub version: u64,
    /// Whether the domain is evacuated.
    pub evacuated: bool,
}

/// `EvacuationTable` is the latest known state of each failure domain that was ever evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationTable {
    domains: BTreeMap<String, DomainState>,
    /// Highest version of a state that was dropped. A report of an unknown domain up to this
    /// version may be older than the dropped state.
    dropped_version: u64,
}

impl EvacuationTable {
    /// Records a reported state, and says whether the report was later than the known state.
    pub fn note(&mut self, domain: &str, reported: DomainState) -> bool {
        let known_version = match self.domains.get(domain) {
            Some(known) => known.version,
            None => self.dropped_version,
        };
        if reported.version <= known_version {
            return false;
        }
        self.domains.insert(domain.to_owned(), reported);
        self.drop_oldest();
        true
    }

    /// Records a list of all evacuated domains as of `version`, and says whether any state was
    /// later than the known one. A domain that is not in the list was restored by then.
    pub fn note_list(&mut self, evacuated: &BTreeMap<&str, u64>, version: u64) -> bool {
        let is_missing = |domain: &&String| !evacuated.contains_key(domain.as_str());
        let missing: Vec<String> = self.domains.keys().filter(is_missing).cloned().collect();
        let mut is_later = false;
        for domain in missing {
            is_later |= self.note(&domain, DomainState { version, evacuated: false });
        }
        for (domain, version) in evacuated {
            is_later |= self.note(domain, DomainState { version: *version, evacuated: true });
        }
        is_later
    }

    /// Returns the highest version of any known state.
    pub fn version(&self) -> u64 {
        let versions = self.domains.values().map(|state| state.version);
        versions.max().unwrap_or(0).max(self.dropped_version)
    }

    /// Returns the evacuated domains.
    pub fn evacuated(&self) -> BTreeSet<&str> {
        let evacuated = self.domains.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(domain, _)| domain.as_str()).collect()
    }

    /// Lists the known states by domain.
    pub fn iter(&self) -> impl Iterator<Item = (&str, DomainState)> {
        self.domains.iter().map(|(domain, state)| (domain.as_str(), *state))
    }

    /// Drops the oldest states of restored domains beyond [`DOMAINS_MAX`] entries.
    fn drop_oldest(&mut self) {
        while self.domains.len() > DOMAINS_MAX {
            let restored = self.domains.iter().filter(|(_, state)| !state.evacuated);
            let oldest = restored.min_by_key(|(_, state)| state.version);
            let Some((domain, state)) = oldest.map(|(domain, state)| (domain.clone(), *state))
            else {
                return;
            };
            self.domains.remove(&domain);
            self.dropped_version = self.dropped_version.max(state.version);
        }
    }
}
