// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Keeps which backend servers of this host are leaving or have left.
//!
//! The record of the host lists them, so that the store, the other daemons and the next incarnation
//! of this daemon know them. A departure is final: whatever record names it, and whenever that
//! record arrives, it is learnt and kept.

use std::cell::RefCell;

use basaltarch_core::departures::DepartedServers;
use basaltarch_core::incarnation::{self, ServerIncarnation};
use fnv::FnvHashSet;

use crate::records::HostRecord;

/// Maximum number of servers whose departure without a start time is remembered.
const UNNAMED_MAX: usize = 64;

/// `DepartureTable` holds the departures of this host's backend servers.
#[derive(Debug, Default)]
pub struct DepartureTable {
    departed: RefCell<DepartedServers>,
    /// Servers, by their own names, that left without saying when they had started. Every incarnation
    /// in a record of before the start of this daemon has left.
    unnamed: RefCell<FnvHashSet<String>>,
}

impl DepartureTable {
    /// Returns the departed upstreams, as the record of this host lists them.
    pub fn list(&self) -> DepartedServers {
        self.departed.borrow().clone()
    }

    /// Records that an upstream gets no new requests, and says whether that is new.
    pub fn note(&self, upstream: &str) -> bool {
        self.departed.borrow_mut().note(upstream)
    }

    /// Records the departure of an upstream that an earlier record names, and says whether that is
    /// new.
    pub fn note_earlier(&self, upstream: &str) -> bool {
        self.departed.borrow_mut().note_older(upstream)
    }

    /// Records that a server left without saying which of its incarnations did.
    pub fn note_unnamed(&self, server: &str) {
        let mut unnamed = self.unnamed.borrow_mut();
        if unnamed.len() >= UNNAMED_MAX && !unnamed.contains(server) {
            unnamed.clear();
        }
        unnamed.insert(server.to_owned());
    }

    /// Says whether an incarnation of a server has departed.
    pub fn contains(&self, incarnation: &ServerIncarnation) -> bool {
        self.departed.borrow().contains(&incarnation.upstream())
    }

    /// Says whether an incarnation of a server that told its start has departed.
    pub fn has_named(&self, server: &str) -> bool {
        let departed = self.departed.borrow();
        let mut of_server = departed.iter().filter(|name| incarnation::server_of(name) == server);
        of_server.any(|name| name != server)
    }

    /// Returns the upstreams that have departed by an earlier record of this host, or by what a server
    /// in the record has said since without its start time.
    pub fn departed_in(&self, record: &HostRecord) -> Vec<String> {
        let unnamed = self.unnamed.borrow();
        let has_left = |name: &&str| unnamed.contains(incarnation::server_of(name));
        let servers = record.servers.iter().map(|server| server.name.as_str()).filter(has_left);
        record.departures().chain(servers).map(str::to_owned).collect()
    }
}
