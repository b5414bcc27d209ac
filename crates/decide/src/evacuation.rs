// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides which failure domains are evacuated, from reports that arrive in any order.
//!
//! The workload is an operator who evacuates a failure domain and restores it while some daemons
//! are cut off from the store, stopped or suspended. Each report names the version at which the
//! operator's request was written or removed. The report with the highest version is in force, so
//! that a delayed report never restores an earlier state.
//!
//! A store that comes back from an older copy has lost the operator's last changes. What was
//! accepted stays in force until the operator changes it again: neither a row that the copy lacks
//! nor a row that the copy still has is a change.

use std::collections::{BTreeMap, BTreeSet};

use basaltarch_core::units::StoreVersion;

/// Maximum number of failure domains whose state is kept. A domain that is evacuated is never
/// dropped. With this number of entries, a list of all of them fits in a heartbeat.
pub const DOMAINS_MAX: usize = 64;

/// `DomainState` is the state of a failure domain at a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainState {
    /// Version at which the state was written.
    pub version: StoreVersion,
    /// Whether the domain is evacuated.
    pub evacuated: bool,
}

/// `KnownDomain` is what is known of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownDomain {
    state: DomainState,
    /// Highest version at which the domain was evacuated, whether or not it was restored since.
    evacuated_at: Option<StoreVersion>,
}

/// `EvacuationTable` is the latest known state of each failure domain that was ever evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationTable {
    domains: BTreeMap<String, KnownDomain>,
    /// Highest version of a state that was dropped. A report of an unknown domain up to this
    /// version may be older than the dropped state.
    dropped_version: StoreVersion,
}

impl EvacuationTable {
    /// Records a reported state, and says whether the report was later than the known state.
    pub fn note(&mut self, domain: &str, reported: DomainState) -> bool {
        let evacuated_at = reported.evacuated.then_some(reported.version);
        let Some(known) = self.domains.get_mut(domain) else {
            if reported.version <= self.dropped_version {
                return false;
            }
            self.domains.insert(domain.to_owned(), KnownDomain { state: reported, evacuated_at });
            self.drop_oldest();
            return true;
        };
        known.evacuated_at = known.evacuated_at.max(evacuated_at);
        let is_later = reported.version > known.state.version;
        if is_later {
            known.state = reported;
        }
        is_later
    }

    /// Records a list of all evacuated domains as of `version`, and says whether any state was
    /// later than the known one. A domain that is not in the list was restored by then, if its
    /// state is known from the era of the list.
    pub fn note_list(&mut self, evacuated: &BTreeMap<&str, u64>, version: StoreVersion) -> bool {
        let is_missing = |(domain, known): &(&String, &KnownDomain)| {
            known.state.version.era == version.era && !evacuated.contains_key(domain.as_str())
        };
        let missing = self.domains.iter().filter(is_missing);
        let missing: Vec<String> = missing.map(|(domain, _)| domain.clone()).collect();
        let mut is_later = false;
        for domain in missing {
            is_later |= self.note(&domain, DomainState { version, evacuated: false });
        }
        for (domain, row_version) in evacuated {
            let row_version = StoreVersion { version: *row_version, ..version };
            if !self.is_of_copy(domain, row_version) {
                is_later |=
                    self.note(domain, DomainState { version: row_version, evacuated: true });
            }
        }
        is_later
    }

    /// Says whether a row that the store has in a later era is the one by which the domain was
    /// evacuated in an earlier era.
    fn is_of_copy(&self, domain: &str, row_version: StoreVersion) -> bool {
        let evacuated_at = self.domains.get(domain).and_then(|known| known.evacuated_at);
        evacuated_at.is_some_and(|known| {
            known.era < row_version.era && known.version == row_version.version
        })
    }

    /// Returns the highest version of any known state.
    pub fn version(&self) -> StoreVersion {
        let versions = self.domains.values().map(|known| known.state.version);
        versions.max().unwrap_or_default().max(self.dropped_version)
    }

    /// Returns the evacuated domains.
    pub fn evacuated(&self) -> BTreeSet<&str> {
        let evacuated = self.domains.iter().filter(|(_, known)| known.state.evacuated);
        evacuated.map(|(domain, _)| domain.as_str()).collect()
    }

    /// Lists the known states by domain.
    pub fn iter(&self) -> impl Iterator<Item = (&str, DomainState)> {
        self.domains.iter().map(|(domain, known)| (domain.as_str(), known.state))
    }

    /// Drops the oldest states of restored domains beyond [`DOMAINS_MAX`] entries.
    fn drop_oldest(&mut self) {
        while self.domains.len() > DOMAINS_MAX {
            let states = self.iter().filter(|(_, state)| !state.evacuated);
            let oldest = states.min_by_key(|(_, state)| state.version);
            let Some((domain, state)) = oldest.map(|(domain, state)| (domain.to_owned(), state))
            else {
                return;
            };
            self.domains.remove(&domain);
            self.dropped_version = self.dropped_version.max(state.version);
        }
    }
}
