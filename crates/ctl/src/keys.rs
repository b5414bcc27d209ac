// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Makes API keys. A key is shown once, here; what is declared and kept anywhere is its digest.

use basaltarch_core::organisations::KeyDigest;
use serde_json::{json, Value};

/// Random bytes of a key: nobody finds one by trying.
const KEY_BYTES: usize = 20;

/// `MadeKey` is a key that was just made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MadeKey {
    /// The key, for the caller.
    pub key: String,
    /// Its digest, for the organisation's resource.
    pub digest: KeyDigest,
}

/// Makes a key.
pub fn make() -> MadeKey {
    let bytes: [u8; KEY_BYTES] = rand::random();
    let key: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let digest = KeyDigest::of(key.as_bytes());
    MadeKey { key, digest }
}

impl MadeKey {
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
