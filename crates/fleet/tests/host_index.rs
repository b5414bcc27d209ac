// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Hosts are found by the facts that they were added with, until they are removed.

use basaltarch_fleet::host_index::{HostFacts, HostIndex};

fn facts<'a>(host: &'a str, address: &'a str, services: &'a [&'a str]) -> HostFacts<'a> {
    HostFacts { host, address, services }
}

#[test]
fn verify_hosts_are_found_by_address_and_service() {
    let mut index = HostIndex::default();
    index.insert(&facts("host-b", "10.0.0.2:1", &["shop"]));
    index.insert(&facts("host-a", "10.0.0.1:1", &["shop", "desk"]));
    index.insert(&facts("host-c", "10.0.0.2:1", &[]));
    assert!(index.hosts_of("shop").eq(["host-a", "host-b"]));
    assert!(index.hosts_of("desk").eq(["host-a"]));
    assert!(index.hosts_at("10.0.0.2:1").eq(["host-b", "host-c"]));
    index.remove(&facts("host-a", "10.0.0.1:1", &["shop", "desk"]));
    assert!(index.hosts_of("shop").eq(["host-b"]));
    assert_eq!(index.hosts_of("desk").count(), 0);
    assert_eq!(index.hosts_at("10.0.0.1:1").count(), 0);
}
