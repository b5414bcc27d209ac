// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! docs/REFERENCE.md is up to date: it contains the help text of the binary and the metrics, header
//! fields, reasons and resource fields of the code.

use std::fs;
use std::process::Command;

use basaltarch_base::metrics;
use basaltarch_core::outcome::{NOT_RUN_REASONS, UNKNOWN_REASONS};
use basaltarch_core::resources::{ResourceKind, ResourceValue};
use basaltarch_http::fields;
use serde_json::json;
use test_case::test_case;

fn read_reference() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/REFERENCE.md");
    fs::read_to_string(path).expect("docs/REFERENCE.md")
}

#[test]
fn verify_the_help_text_stands_in_the_reference() {
    let output = Command::new(env!("CARGO_BIN_EXE_basaltarchd")).arg("--help").output();
    let help = String::from_utf8(output.expect("runs").stdout).expect("text");
    assert!(read_reference().contains(help.trim_end()), "docs/REFERENCE.md lacks:\n{help}");
}

#[test]
fn verify_every_metric_stands_in_the_reference() {
    let reference = read_reference();
    for entry in metrics::entries() {
        let line = format!("| `{}` | {} |", entry.name, entry.help);
        assert!(reference.contains(&line), "docs/REFERENCE.md lacks: {line}");
    }
}

#[test]
fn verify_every_header_and_reason_stands_in_the_reference() {
    let reference = read_reference();
    let headers = [
        fields::OUTCOME,
        fields::REASON,
        fields::PROXY_STATUS,
        fields::DEADLINE,
        fields::API_KEY,
        fields::ORGANISATION,
        fields::IDEMPOTENCY_KEY,
        fields::SHED,
        fields::DRAIN,
        fields::RATE_LIMIT,
        fields::FORWARDED_FOR,
        fields::FORWARDED_PROTO,
        fields::FORWARDED_HOST,
    ];
    for header in headers {
        assert!(
            reference.contains(&format!("`{header}`")),
            "docs/REFERENCE.md lacks the header field {header}"
        );
    }
    let reasons = NOT_RUN_REASONS.iter().map(|reason| reason.name());
    for name in reasons.chain(UNKNOWN_REASONS.iter().map(|reason| reason.name())) {
        assert!(reference.contains(name), "docs/REFERENCE.md lacks the reason {name}");
    }
}

#[test_case(ResourceKind::FailureDomain, json!({"region": "r"}) ; "failure domains")]
#[test_case(ResourceKind::Organisation, json!({}) ; "organisations")]
#[test_case(ResourceKind::Service, json!({}) ; "services")]
#[test_case(ResourceKind::BackendServer, json!({"service": "s", "host": "h", "address": "127.0.0.1:1",
    "slots": 1, "connections": 1, "failure_domain": "d"}) ; "backend servers")]
#[test_case(ResourceKind::Route, json!({"host": "h", "path_prefix": "/", "service": "s"}) ; "routes")]
#[test_case(ResourceKind::Limit, json!({"scope": "route", "target": "r", "rate": 1, "burst": 1}) ; "limits")]
fn verify_every_field_of_a_resource_stands_in_the_reference(
    kind: ResourceKind,
    minimal: serde_json::Value,
) {
    let value = ResourceValue::try_new(kind, "name", &minimal).expect("valid").to_json();
    let reference = read_reference();
    let rows = reference.lines().filter(|line| line.starts_with(&format!("| `{}` |", kind.name())));
    let documented_fields: Vec<&str> = rows.filter_map(|line| line.split('`').nth(3)).collect();
    let mut value_fields: Vec<&str> =
        value.as_object().expect("fields").keys().map(String::as_str).collect();
    let mut sorted_documented_fields = documented_fields.clone();
    sorted_documented_fields.sort();
    value_fields.sort();
    assert_eq!(sorted_documented_fields, value_fields);
}

#[test_case(&["--host", "UPPER"], "--host" ; "bad name")]
#[test_case(&["--host", "h", "--failure-domain", "d", "--platform", "nowhere"], "--platform" ; "bad address")]
#[test_case(&["--host", "h", "--failure-domain", "d", "--platform", "127.0.0.1:1", "--fleet-key", "short"], "--fleet-key" ; "short key")]
#[test_case(&["--host", "h", "--failure-domain", "d", "--platform", "127.0.0.1:1", "--callers", "x"], "--callers" ; "bad listen address")]
#[test_case(&["--host", "h", "--failure-domain", "d", "--platform", "127.0.0.1:1", "--fleet-key", "0123456789abcdef", "--admin-token", "t", "--head-bytes", "1"], "512 to 32768" ; "out of range")]
#[test_case(&[], "BASALTARCH_HOST" ; "nothing given")]
fn verify_a_wrong_setting_ends_with_status_2_and_its_name(arguments: &[&str], expected_text: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_basaltarchd"))
        .args(arguments)
        .env_clear()
        .output()
        .expect("runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains(expected_text), "{errors}");
    assert!(!errors.contains("short\""), "an error must not contain a key: {errors}");
}
