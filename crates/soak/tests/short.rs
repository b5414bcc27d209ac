// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Short runs of the soak, each seeded. Seeds that ever found something stay here, with the cause.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// Draws from every kind of trouble.
const ALL: &str =
    "silent-store,silent-half,silent-all,held-store,held-peers,paused,killed,stopped,store-out,\
                   store-slow,forgotten,starved";

// A daemon answered 404 to an added route for up to 2.9 s too long: its call at the store and its links had
// fallen silent, and it didn't know that it was behind.
#[test_case("1", "silent-all", "30", "24" ; "all connections fall silent")]
#[test_case("5", ALL, "30", "16" ; "all troubles")]
fn verify_no_promise_is_broken(seed: &str, kinds: &str, seconds: &str, processes: &str) {
    let soak = Path::new(env!("CARGO_BIN_EXE_basaltarch-soak"));
    // The programs of other packages are built with the workspace.
    let daemon = soak.with_file_name("basaltarchd");
    assert!(daemon.exists(), "build the workspace first: {} is not there", daemon.display());
    let output = Command::new(soak)
        .args(["--seed", seed, "--kinds", kinds, "--seconds", seconds, "--processes", processes])
        .output()
        .expect("the soak runs");
    let (told, errors) = (output.stdout, output.stderr);
    let text = [told, errors].map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).concat();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("no promise broken"), "{text}");
}

/// What a wrong call of the soak gets.
#[test_case("--kinds", "quiet" ; "no such kind")]
#[test_case("--processes", "1" ; "too few processes")]
#[test_case("--seconds", "long" ; "no number")]
fn verify_bad_settings_are_told(flag: &str, value: &str) {
    let soak = env!("CARGO_BIN_EXE_basaltarch-soak");
    let output = Command::new(soak).args([flag, value]).output().expect("the soak runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(flag) && text.contains("allowed"), "{text}");
}
