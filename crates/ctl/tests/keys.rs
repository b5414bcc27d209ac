// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Generated keys must be random, and each must be shown with its own digest: the operator declares
//! the digest, and with a wrong digest the daemon would not recognise the caller's key.

use std::process::Command;

use basaltarch_core::organisations::KeyDigest;
use basaltarch_ctl::keys;
use serde_json::Value;

#[test]
fn verify_generated_keys_differ_and_are_shown_with_their_digests() {
    let run = || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basaltctl"));
        let output = command.args(["-o", "json", "key"]).output().expect("runs");
        assert!(output.status.success());
        serde_json::from_slice::<Value>(&output.stdout).expect("json")
    };
    let (first, second) = (run(), run());
    assert_ne!(first["key"], second["key"]);
    let digest = KeyDigest::of(first["key"].as_str().expect("key").as_bytes());
    assert_eq!(first["digest"], String::from(digest));
    assert_eq!(first["public"], digest.public_part());
    assert!(keys::generate().key.len() >= 40);
}
