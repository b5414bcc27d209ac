// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Backend servers of a host that are leaving or have left.
//!
//! A departure is recorded as a name that is present, not as a server that is absent: a late
//! message or an older record can add a missing server again, but can't take a name away.

use serde::{Deserialize, Serialize};

/// Maximum number of names in a list. A host has few backend servers at a time, and messages of a
/// server arrive within seconds of its end.
const DEPARTED_MAX: usize = 16;

/// `DepartedServers` lists the upstreams of one host that get no new requests, oldest first. Each
/// name stands for one incarnation of a backend server.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DepartedServers {
    names: Vec<String>,
}

impl DepartedServers {
    /// Adds a name, and says whether it is new. A full list forgets its oldest name.
    pub fn note(&mut self, name: &str) -> bool {
        if self.contains(name) {
            return false;
        }
        if self.is_full() {
            self.names.remove(0);
        }
        self.names.push(name.to_owned());
        true
    }

    /// Adds a name that is older than the others, and says whether it was added. A full list has no
    /// room for it.
    pub fn note_older(&mut self, name: &str) -> bool {
        if self.is_full() || self.contains(name) {
            return false;
        }
        self.names.insert(0, name.to_owned());
        true
    }

    /// Says whether the list forgets a name with each one that is added.
    pub fn is_full(&self) -> bool {
        self.names.len() >= DEPARTED_MAX
    }

    /// Says whether the list has no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Says whether a name is in the list.
    pub fn contains(&self, name: &str) -> bool {
        self.names.iter().any(|known| known == name)
    }

    /// Says whether every name of another list is in this list.
    pub fn covers(&self, other: &Self) -> bool {
        other.iter().all(|name| self.contains(name))
    }

    /// Lists the names, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }
}

impl<'a> FromIterator<&'a str> for DepartedServers {
    fn from_iter<I: IntoIterator<Item = &'a str>>(names: I) -> Self {
        let mut departed = Self::default();
        for name in names {
            departed.note(name);
        }
        departed
    }
}
