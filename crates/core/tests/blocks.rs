// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Packed resources are read back as they were stored, in whatever order changes are made. Guards
//! against resources that are lost or changed when blocks are split, emptied or shared by copies.

use std::collections::BTreeMap;
use std::rc::Rc;

use basaltarch_core::blocks::{BlockBuilder, ResourceBlocks, BLOCK_MAX};
use basaltarch_core::config::StoredResource;
use basaltarch_core::resources::{OrganisationSpec, ResourceKind, ResourceValue};
use basaltarch_core::services::{PackedService, ServiceEntry, UpstreamEntry};
use basaltarch_core::units::FleetRevision;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use test_case::test_case;

fn organisation(title: &str, revision: u64) -> StoredResource {
    let value = ResourceValue::Organisation(OrganisationSpec {
        title: title.to_owned(),
        ..OrganisationSpec::default()
    });
    StoredResource { revision: FleetRevision(revision), value }
}

fn contents(blocks: &ResourceBlocks) -> Vec<(String, StoredResource)> {
    blocks.iter().map(|(name, stored)| (name.to_string(), stored)).collect()
}

/// Runs `cases` cases from a fixed seed, so that every run tests the same cases.
fn fixed_seed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed(60))]

    #[test]
    fn verify_blocks_match_a_plain_map(
        start in prop::collection::vec(0..900_u32, 0..600),
        changes in prop::collection::vec((0..900_u32, any::<bool>()), 0..500),
    ) {
        let mut plain_map = BTreeMap::new();
        for (revision, number) in start.iter().enumerate() {
            plain_map.insert(format!("n-{number}"), organisation("at start", revision as u64));
        }
        let mut builder = BlockBuilder::default();
        for (revision, number) in start.iter().enumerate() {
            builder.push(&format!("n-{number}"), &organisation("at start", revision as u64));
        }
        let mut blocks = builder.finish();
        let copy = blocks.clone();
        let before = contents(&copy);
        for (revision, (number, keep)) in changes.iter().enumerate() {
            let name = format!("n-{number}");
            if *keep {
                let stored = organisation(&name, revision as u64);
                blocks.insert(&name, &stored);
                plain_map.insert(name, stored);
            } else {
                blocks.remove(&name);
                plain_map.remove(&name);
            }
        }
        prop_assert_eq!(blocks.len(), plain_map.len());
        prop_assert_eq!(contents(&blocks), plain_map.clone().into_iter().collect::<Vec<_>>());
        for number in 0..900 {
            let name = format!("n-{number}");
            prop_assert_eq!(blocks.get(&name), plain_map.get(&name).cloned());
            prop_assert_eq!(blocks.contains(&name), plain_map.contains_key(&name));
        }
        prop_assert_eq!(contents(&copy), before, "changes do not affect copies");
    }
}

#[test]
fn verify_names_around_the_ends_of_blocks_are_found() {
    let mut blocks = ResourceBlocks::default();
    assert!(blocks.is_empty() && blocks.get("x").is_none());
    for number in (0..3 * BLOCK_MAX).rev() {
        blocks.insert(&format!("n-{number:04}"), &organisation("", number as u64));
    }
    for number in 0..3 * BLOCK_MAX {
        let stored = blocks.get(&format!("n-{number:04}")).expect("stored");
        assert_eq!(stored.revision, FleetRevision(number as u64));
    }
    assert!(!blocks.contains("a"), "a name before the first");
    assert!(!blocks.contains("z"), "a name after the last");
    assert!(!blocks.contains("n-0000x"), "a name between two others");
    assert_eq!(blocks.names().count(), blocks.len());
    for number in 0..3 * BLOCK_MAX {
        blocks.remove(&format!("n-{number:04}"));
    }
    assert!(blocks.is_empty() && blocks.iter().next().is_none());
}

#[test_case(ResourceKind::FailureDomain, json!({"region": "bangkok", "evacuated": true}) ; "failure domain")]
#[test_case(ResourceKind::Organisation, json!({"title": "ขลุง", "keys": ["00112233445566778899aabbccddeeff"], "criticality": "critical"}) ; "organisation")]
#[test_case(ResourceKind::Service,
    json!({"floor": 0.7, "prefer": "detection", "queue": 3, "retry_budget": 0.25,
           "cold_rate": 2.5}) ; "service")]
#[test_case(ResourceKind::BackendServer,
    json!({"service": "s", "host": "h", "address": "[::1]:9", "slots": 4096, "connections": 65536,
           "failure_domain": "d", "state": "draining"}) ; "backend server")]
#[test_case(ResourceKind::Route,
    json!({"host": "h", "path_prefix": "/a/", "methods": ["GET", "PUT"], "service": "s",
           "timeout_ms": 600000, "mode": "once", "criticality": "critical",
           "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
           "attempts": 2, "objective_ms": 800, "needs_key": true}) ; "route")]
#[test_case(ResourceKind::Limit,
    json!({"scope": "organisation", "target": "o", "rate": 0.25, "burst": 7.0}) ; "limit")]
fn verify_every_field_of_every_kind_is_kept(kind: ResourceKind, value: Value) {
    let stored = StoredResource {
        revision: FleetRevision(u64::MAX),
        value: ResourceValue::try_new(kind, "name", &value).expect("value"),
    };
    let mut blocks = ResourceBlocks::default();
    blocks.insert("name", &stored);
    assert_eq!(blocks.get("name").map(|stored| stored.value.to_json()), Some(value));
    assert_eq!(blocks.get("name"), Some(stored));
}

#[test]
fn verify_packed_services_are_complete_and_equal_ones_have_equal_bytes() {
    let spec = json!({"floor": 0.5, "prefer": "detection"});
    let spec = serde_json::from_value(spec).expect("service");
    let upstreams = (0..30).map(|number| {
        let server = json!({"service": "s", "host": format!("h{number}"), "slots": 4,
                            "address": "10.0.0.1:80", "connections": 300, "failure_domain": "d"});
        let server = serde_json::from_value(server).expect("server");
        UpstreamEntry { name: Rc::from(format!("b{number:02}")), server: Rc::new(server) }
    });
    let name = Rc::from("s");
    let entry = ServiceEntry { name: Rc::clone(&name), spec, upstreams: upstreams.collect() };
    let packed = PackedService::new(&entry);
    assert_eq!(packed.unpack(&name), entry);
    assert_eq!(packed, PackedService::new(&packed.unpack(&name)));
    let mut with_fewer_upstreams = entry;
    with_fewer_upstreams.upstreams.pop();
    assert_ne!(packed, PackedService::new(&with_fewer_upstreams));
}
