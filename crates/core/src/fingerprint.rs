// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Tells the copies of a request from other requests.
//!
//! A copy comes on another connection, at another daemon, with an id and a deadline of its own. What it
//! shares with the first is what a backend server works on: service, method, target, body, and those
//! header fields that say who asks and what the body is. The hash is keyed with the fleet's secret, so
//! that a caller can't search for a request that is taken for another one.

use std::fmt;

use sha2::{Digest, Sha256};

/// Bytes of a fingerprint: at 16, two of a billion different requests are alike once in 10^21 fleets.
pub const FINGERPRINT_BYTES: usize = 16;
/// Header fields that count. Ids, deadlines, dates and traces differ between copies and are left out;
/// who changes another field escapes only until that copy is known by itself.
const COUNTED_FIELDS: [&str; 5] =
    ["host", "authorization", "cookie", "content-type", "content-encoding"];

/// `RequestFingerprint` is the same for all copies of a request and for no other request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// `RequestParts` are the parts of a request that its fingerprint is made of.
#[derive(Debug, Clone, Copy)]
pub struct RequestParts<'a> {
    /// Organisation of the caller, empty when there is none.
    pub organisation: &'a str,
    /// Service that the request goes to: what ends the servers of one may be served by another.
    pub service: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its target in origin form.
    pub target: &'a str,
    /// Its header fields as lines with names in lower case.
    pub field_lines: &'a [u8],
    /// The part of its body that was read before it was sent on.
    pub body: &'a [u8],
    /// Whether that is all of the body.
    pub is_whole: bool,
    /// Length of the body as declared, below zero if it wasn't. It tells long bodies with the same
    /// start apart.
    pub length: i64,
}

impl RequestFingerprint {
    /// Makes the fingerprint of a request with the fleet's secret.
    pub fn of(secret: &[u8], parts: &RequestParts<'_>) -> Self {
        let mut hasher = PartHasher(Sha256::new());
        hasher.add(secret);
        hasher.add(parts.organisation.as_bytes());
        hasher.add(parts.service.as_bytes());
        hasher.add(parts.method.as_bytes());
        hasher.add(parts.target.as_bytes());
        for line in parts.field_lines.split(|byte| *byte == b'\n').filter(|line| counts(line)) {
            hasher.add(line.trim_ascii());
        }
        // How a whole body was framed is the connection's affair.
        let rest = if parts.is_whole { 0 } else { parts.length };
        hasher.add(&rest.to_be_bytes());
        hasher.add(parts.body);
        let digest = hasher.0.finalize();
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&digest[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// Reads a fingerprint that another daemon sent; `None` if it has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns its bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads a fingerprint from its text.
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

/// `PartHasher` hashes parts with their lengths, so that no part can pass for the end of another.
struct PartHasher(Sha256);

impl PartHasher {
    fn add(&mut self, part: &[u8]) {
        self.0.update((part.len() as u64).to_be_bytes());
        self.0.update(part);
    }
}

/// Says whether a line of the head is one of the fields that count.
fn counts(line: &[u8]) -> bool {
    COUNTED_FIELDS.iter().any(|name| {
        line.strip_prefix(name.as_bytes()).is_some_and(|rest| rest.first() == Some(&b':'))
    })
}
