// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The key table gives the same answers as a plain map after any sequence of changes. Guards
//! against callers that are taken for another organisation, or for none, after a change of keys.

use std::collections::BTreeMap;
use std::rc::Rc;

use basaltarch_core::organisations::{KeyDigest, KeyOwner, KeyTable};
use basaltarch_core::resources::WorkClass;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn owner(number: u8) -> KeyOwner {
    let class = number.is_multiple_of(2).then_some(WorkClass::Critical);
    KeyOwner { name: Rc::from(format!("shop-{number}")), class }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn verify_the_last_assignment_of_a_key_wins(
        steps in prop::collection::vec((0u8..12, prop::option::of(0u8..5)), 0..60),
    ) {
        let mut table = KeyTable::default();
        let mut plain_map: BTreeMap<u8, KeyOwner> = BTreeMap::new();
        for (key, new_owner) in steps {
            let digest = KeyDigest::of(&[key]);
            match new_owner {
                Some(number) => {
                    table.insert(&digest, &owner(number));
                    plain_map.insert(key, owner(number));
                }
                None => {
                    table.remove(&digest);
                    plain_map.remove(&key);
                }
            }
        }
        for key in 0..12 {
            prop_assert_eq!(table.find(&KeyDigest::of(&[key])), plain_map.get(&key).cloned());
        }
    }
}

#[test]
fn verify_digests_round_trip_and_malformed_ones_are_rejected() {
    let digest = KeyDigest::of(b"a key");
    let text = String::from(digest);
    assert_eq!(KeyDigest::try_from(text.clone()), Ok(digest));
    assert!(text.starts_with(&digest.public_part()) && digest.public_part().len() == 8);
    assert_ne!(digest, KeyDigest::of(b"a kez"));
    for bad in ["", "12", "é123456789abcdefé123456789abcde", &"g".repeat(32)] {
        assert!(KeyDigest::try_from(bad.to_owned()).is_err(), "{bad}");
    }
}
