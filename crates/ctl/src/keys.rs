// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Generates API keys. A key is shown once, when it is generated; only its digest is declared and
//! stored.

use basaltarch_core::organisations::KeyDigest;
use serde_json::{json, Value};

/// Number of random bytes in a key. With 20 bytes, no key can be found by guessing.
const KEY_BYTES: usize = 20;

/// `GeneratedKey` is a newly generated key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GeneratedKey {
    /// Text of the key, for the caller.
    pub key: String,
    /// Digest of the key, for the resource of the organisation.
    pub digest: KeyDigest,
}

/// Generates a key.
pub fn generate() -> GeneratedKey {
    let bytes: [u8; KEY_BYTES] = rand::random();
    let key: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let digest = KeyDigest::of(key.as_bytes());
    GeneratedKey { key, digest }
}

impl GeneratedKey {
    /// Returns the key as JSON.
    pub fn to_json(&self) -> Value {
        json!({"key": self.key, "digest": self.digest, "public": self.digest.public_part()})
    }

    /// Prints the key for people.
    pub fn print(&self) {
        println!("key     {}", self.key);
        println!("digest  {}", self.digest);
        println!("public  {}", self.digest.public_part());
        println!("Give the key to the caller; it is not shown again. Add the digest to the");
        println!("`keys` of the organisation. Logs name the key by its public part.");
    }
}
