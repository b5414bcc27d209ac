// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds hosts by the address of their daemon and by the services of their backend servers.

use std::collections::{BTreeMap, BTreeSet};

/// `HostFacts` is what a host is found by.
#[derive(Debug, Clone, Copy)]
pub struct HostFacts<'a> {
    /// Name of the host.
    pub host: &'a str,
    /// Address at which the daemon of the host accepts links.
    pub address: &'a str,
    /// Services of the backend servers on the host.
    pub services: &'a [&'a str],
}

/// `HostIndex` is the index of all hosts.
#[derive(Debug, Default)]
pub struct HostIndex {
    by_address: BTreeMap<String, BTreeSet<String>>,
    by_service: BTreeMap<String, BTreeSet<String>>,
}

impl HostIndex {
    /// Adds a host.
    pub fn insert(&mut self, facts: &HostFacts<'_>) {
        add(&mut self.by_address, facts.address, facts.host);
        for service in facts.services {
            add(&mut self.by_service, service, facts.host);
        }
    }

    /// Removes a host that was added with the same facts.
    pub fn remove(&mut self, facts: &HostFacts<'_>) {
        discard(&mut self.by_address, facts.address, facts.host);
        for service in facts.services {
            discard(&mut self.by_service, service, facts.host);
        }
    }

    /// Returns the hosts whose daemon accepts links at `address`, in the order of their names.
    pub fn hosts_at(&self, address: &str) -> impl Iterator<Item = &str> {
        names(&self.by_address, address)
    }

    /// Returns the hosts with a backend server of `service`, in the order of their names.
    pub fn hosts_of(&self, service: &str) -> impl Iterator<Item = &str> {
        names(&self.by_service, service)
    }
}

fn add(index: &mut BTreeMap<String, BTreeSet<String>>, key: &str, host: &str) {
    if let Some(hosts) = index.get_mut(key) {
        hosts.insert(host.to_owned());
        return;
    }
    index.insert(key.to_owned(), BTreeSet::from([host.to_owned()]));
}

fn discard(index: &mut BTreeMap<String, BTreeSet<String>>, key: &str, host: &str) {
    let Some(hosts) = index.get_mut(key) else { return };
    hosts.remove(host);
    if hosts.is_empty() {
        index.remove(key);
    }
}

fn names<'a>(
    index: &'a BTreeMap<String, BTreeSet<String>>,
    key: &str,
) -> impl Iterator<Item = &'a str> {
    index.get(key).into_iter().flatten().map(String::as_str)
}
