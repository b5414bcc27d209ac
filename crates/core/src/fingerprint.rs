// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Fingerprints that recognise copies of the same request.
//!
//! A copy of a request may arrive on another connection and at another daemon, and has its own
//! request id and deadline. The copy shares with the original all that a backend server processes:
//! service, method, target, body, and the header fields that identify the caller and describe the
//! body. The hash is keyed with the fleet's secret, so that a caller can't search for a request
//! that collides with another one.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: with 16, the probability that any two of a billion different requests
/// collide is 1 in 10^21.
pub const FINGERPRINT_BYTES: usize = 16;
/// Header fields that are hashed. Ids, deadlines, dates and traces differ between copies and are
/// left out. A caller that changes a hashed field evades recognition only until the daemons have a
/// record of the changed request as well.
const HASHED_FIELDS: [&str; 5] =
    ["host", "authorization", "cookie", "content-type", "content-encoding"];

/// `RequestFingerprint` is a hash that all copies of a request share and no other request has.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// `RequestParts` are the parts of a request that its fingerprint is computed from.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// Organisation of the caller, empty when there is none.
    pub organisation: &'a str,
    /// Service that the request goes to: a request that crashes the servers of one service may be
    /// harmless to another.
    pub service: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Target of the request in origin form.
    pub target: &'a str,
    /// Header fields of the request as lines with lower-case names.
    pub field_lines: &'a [u8],
    /// The part of the request's body that was read before the request was forwarded.
    pub body: &'a [u8],
    /// Whether `body` is the complete body.
    pub is_whole: bool,
    /// Declared length of the body, negative if none was declared. The length distinguishes long
    /// bodies with the same beginning.
    pub length: i64,
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request, keyed with the fleet's secret.
    pub fn of(secret: &[u8], parts: &RequestParts<'_>) -> Self {
        let mut hasher = PartHasher(Sha256::new());
        hasher.add_part(secret);
        hasher.add_part(parts.organisation.as_bytes());
        hasher.add_part(parts.service.as_bytes());
        hasher.add_part(parts.method.as_bytes());
        hasher.add_part(parts.target.as_bytes());
        for line in
            parts.field_lines.split(|byte| *byte == b'\n').filter(|line| is_hashed_field(line))
        {
            hasher.add_part(line.trim_ascii());
        }
        // Copies may frame the same body differently, so the declared length counts only for a
        // partial body.
        let length = if parts.is_whole { 0 } else { parts.length };
        hasher.add_part(&length.to_be_bytes());
        hasher.add_part(parts.body);
        let digest = hasher.0.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Decodes a fingerprint that another daemon sent; returns `None` if the length is not
    /// [`FINGERPRINT_BYTES`].
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the fingerprint.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Parses the text form of a fingerprint: hexadecimal digits, two for each byte.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 2 * FINGERPRINT_BYTES && text.is_ascii();
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate().filter(|_| is_hex) {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        is_hex.then_some(Self(bytes))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// `PartHasher` hashes each part with its length, so that bytes can't move from one part to the
/// next without changing the hash.
struct PartHasher(Sha256);

impl PartHasher {
    fn add_part(&mut self, part: &[u8]) {
        self.0.update((part.len() as u64).to_be_bytes());
        self.0.update(part);
    }
}

/// Returns whether a header line is one of the hashed fields.
fn is_hashed_field(line: &[u8]) -> bool {
    HASHED_FIELDS.iter().any(|name| {
        line.strip_prefix(name.as_bytes()).is_some_and(|rest| rest.first() == Some(&b':'))
    })
}
