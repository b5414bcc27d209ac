// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Copies of a request have the same fingerprint, and requests that differ in any part that a
//! server processes have different ones. Guards against copies of a crashing request that are not
//! recognised, and against the refusal of a harmless request.

use basaltarch_core::fingerprint::{RequestFingerprint, RequestParts};
use test_case::test_case;

const SECRET: &[u8] = b"a secret of the fleet";

fn parts() -> RequestParts<'static> {
    RequestParts {
        organisation: "",
        service: "solver-app",
        method: "GET",
        target: "/puzzle/7",
        field_lines: b"host: solver.example\r\nx-request-id: 1\r\nbasaltarch-deadline-ms: 90\r\n",
        body: b"ab",
        is_whole: true,
        length: 2,
    }
}

fn fingerprint(parts: &RequestParts<'_>) -> RequestFingerprint {
    RequestFingerprint::of(SECRET, parts)
}

#[test]
fn verify_copies_have_the_same_fingerprint() {
    let lines = b"x-request-id: 2\r\ndate: today\r\nhost: solver.example\r\n";
    let copy = RequestParts { field_lines: lines, length: -1, ..parts() };
    assert_eq!(
        fingerprint(&copy),
        fingerprint(&parts()),
        "id, deadline and framing are not hashed"
    );
}

#[test_case(RequestParts { service: "other-app", ..parts() } ; "service")]
#[test_case(RequestParts { method: "POST", ..parts() } ; "method")]
#[test_case(RequestParts { target: "/puzzle/7?a", ..parts() } ; "target")]
#[test_case(RequestParts { target: "/puzzle/7a", body: b"b", ..parts() } ; "bytes moved to the next part")]
#[test_case(RequestParts { field_lines: b"host: other.example\r\n", ..parts() } ; "host")]
#[test_case(RequestParts { organisation: "khlung-shop", ..parts() } ; "organisation")]
#[test_case(RequestParts { field_lines: b"host: solver.example\r\nauthorization: me\r\n", ..parts() } ; "authorization")]
#[test_case(RequestParts { body: b"ac", ..parts() } ; "body")]
#[test_case(RequestParts { is_whole: false, ..parts() } ; "a partial body")]
fn verify_other_requests_differ(other: RequestParts<'_>) {
    assert_ne!(fingerprint(&other), fingerprint(&parts()));
}

#[test]
fn verify_the_fingerprint_depends_on_the_secret() {
    assert_ne!(RequestFingerprint::of(b"another", &parts()), fingerprint(&parts()));
}

#[test]
fn verify_text_and_bytes_are_read_back() {
    let original = fingerprint(&parts());
    assert_eq!(RequestFingerprint::parse(&original.to_string()), Some(original));
    assert_eq!(RequestFingerprint::from_bytes(original.bytes()), Some(original));
    assert_eq!(RequestFingerprint::parse("12"), None);
    assert_eq!(RequestFingerprint::parse(&"é".repeat(16)), None);
    assert_eq!(RequestFingerprint::from_bytes(&[1; 4]), None);
}
