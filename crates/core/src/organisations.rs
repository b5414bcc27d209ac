// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Looks up the organisation that owns a caller's API key.
//!
//! Keys are identified by their digests alone, so that no memory, store, log or peer holds a key.
//! Owners are packed in small shards by the first bytes of the digest. A lookup reads one shard. A
//! change rewrites one shard, and copies of the table share all other shards.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::config::SharedMap;
use crate::packing;
use crate::resources::{OrganisationSpec, WorkClass};

/// Bytes of a digest: with 16 bytes, finding a key with the digest of another key is infeasible.
pub const DIGEST_BYTES: usize = 16;
/// Bytes of a digest that are shown to operators: enough to distinguish the keys of one
/// organisation.
const PUBLIC_DIGEST_BYTES: usize = 4;
/// Domain separator, so that the digest of a key never equals a digest computed for another
/// purpose.
const DIGEST_DOMAIN: &[u8] = b"basaltarch api key\0";

/// `KeyDigest` is the digest that replaces an API key wherever one is stored or sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(DIGEST_DOMAIN);
        hasher.update(key);
        let digest = hasher.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }

    /// Returns the prefix of the digest that is shown to operators, so that they can distinguish
    /// keys.
    pub fn public_part(&self) -> String {
        hex(&self.0[..PUBLIC_DIGEST_BYTES])
    }

    fn shard(&self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        const EXPECTED: &str = "the digest of a key has 32 hexadecimal digits";
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(EXPECTED);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| EXPECTED)?;
        }
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex(&digest.0)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex(&self.0))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// `KeyOwner` is the organisation that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Name of the organisation.
    pub name: Rc<str>,
    /// Class of the organisation's requests, if it overrides the class of the route.
    pub class: Option<WorkClass>,
}

/// The packed form of one key.
#[derive(Serialize, Deserialize)]
struct KeyRecord<'a> {
    digest: [u8; DIGEST_BYTES],
    class: Option<WorkClass>,
    #[serde(borrow)]
    name: &'a str,
}

/// `KeyTable` maps the digests of keys to their owners.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    shards: SharedMap<u16, Rc<[u8]>>,
}

impl KeyTable {
    /// Returns the owner of a key.
    pub fn find(&self, digest: &KeyDigest) -> Option<KeyOwner> {
        let mut rest: &[u8] = self.shards.get(&digest.shard())?;
        while !rest.is_empty() {
            let record: KeyRecord = packing::unpack_next(&mut rest);
            if record.digest == digest.0 {
                return Some(KeyOwner { name: Rc::from(record.name), class: record.class });
            }
        }
        None
    }

    /// Assigns a key to an organisation; a previous owner loses the key.
    pub fn insert(&mut self, digest: &KeyDigest, owner: &KeyOwner) {
        let mut shard = self.shard_without(digest);
        let record = KeyRecord { digest: digest.0, class: owner.class, name: &owner.name };
        shard.extend(packing::pack(&record));
        self.shards.insert(digest.shard(), shard.into());
    }

    /// Assigns to the organisation `name` all keys that its resource `spec` lists.
    pub fn insert_all(&mut self, name: &str, spec: &OrganisationSpec) {
        let owner = KeyOwner { name: Rc::from(name), class: spec.criticality };
        spec.keys.iter().for_each(|digest| self.insert(digest, &owner));
    }

    /// Removes a key.
    pub fn remove(&mut self, digest: &KeyDigest) {
        let shard = self.shard_without(digest);
        if shard.is_empty() {
            self.shards.remove(&digest.shard());
        } else {
            self.shards.insert(digest.shard(), shard.into());
        }
    }

    /// Returns the packed shard that a key belongs to, without the key.
    fn shard_without(&self, digest: &KeyDigest) -> Vec<u8> {
        let Some(packed_records) = self.shards.get(&digest.shard()) else { return Vec::new() };
        let records: Vec<KeyRecord> = packing::unpack_all(packed_records);
        let others = records.iter().filter(|record| record.digest != digest.0);
        others.flat_map(packing::pack).collect()
    }
}
