// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The help text must stand word for word in docs/REFERENCE.md. The page becomes stale if a flag or
//! its help text changes and the page does not.

use std::fs;
use std::process::Command;

#[test]
fn verify_the_help_text_stands_in_the_reference() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/REFERENCE.md");
    let reference = fs::read_to_string(path).expect("docs/REFERENCE.md");
    let output = Command::new(env!("CARGO_BIN_EXE_basaltarch-standin")).arg("--help").output();
    let help = String::from_utf8(output.expect("runs").stdout).expect("text");
    assert!(reference.contains(help.trim_end()), "docs/REFERENCE.md lacks:\n{help}");
}
