// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Short runs of the soak with fixed seeds. Guards against daemons that violate guarantees about
//! the configuration, or about servers that leave, under faults. Each seed that once had a finding is kept as a test case, with
//! the cause of the finding.

use std::path::Path;
use std::process::Command;

use test_case::test_case;

/// All kinds of faults.
const ALL: &str =
    "silent-store,silent-half,silent-all,held-store,held-peers,paused,killed,stopped,store-out,\
                   store-slow,forgotten,leaving,starved";

/// Mostly leavings of backend servers, among kills of daemons and outages of the store.
const LEAVINGS: &str = "killed,store-out,leaving,leaving,leaving,leaving";

// Seed 1 guards against a daemon that answers 404 to an added route for up to 2.9 s too long. The
// daemon's call to the store and its links to peers were black-holed, and the daemon did not detect
// that its configuration was outdated.
#[test_case("1", "silent-all", "30", "24" ; "all connections are black-holed")]
#[test_case("5", ALL, "30", "16" ; "all kinds of faults")]
// Seed 11 guards against daemons that use servers again whose leaving they had acknowledged before
// they were killed.
#[test_case("11", LEAVINGS, "30", "24" ; "servers leave")]
fn verify_no_promise_is_broken(seed: &str, kinds: &str, seconds: &str, processes: &str) {
    run_soak(&["--seed", seed, "--kinds", kinds], seconds, processes);
}

fn run_soak(flags: &[&str], seconds: &str, processes: &str) {
    let soak = Path::new(env!("CARGO_BIN_EXE_basaltarch-soak"));
    // `basaltarchd` belongs to another package, so only a build of the workspace builds the
    // program.
    let daemon = soak.with_file_name("basaltarchd");
    assert!(daemon.exists(), "build the workspace first: {} does not exist", daemon.display());
    let output = Command::new(soak)
        .args(flags)
        .args(["--seconds", seconds, "--processes", processes])
        .output()
        .expect("the soak runs");
    let (printed, errors) = (output.stdout, output.stderr);
    let text = [printed, errors].map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).concat();
    assert!(output.status.success(), "{text}");
    assert!(text.contains("no promise broken"), "{text}");
}

/// Faults of servers that refuse and spoil, among overload and lost connections.
const SPOILT: &str = "garbled,garbled,garbled,overloaded,overloaded,paused,killed,restarted,reset";

// Guards against a second copy of a refusal that is taken for the refusal of a later attempt at the
// same server: with the requests of a deployment, and servers that refuse what finds their slots
// taken.
#[test_case("30-hosts-long", "22" ; "long requests on new connections")]
fn verify_no_request_runs_that_was_refused(mix: &str, seed: &str) {
    let mix = format!("{}/mixes/{mix}.json", env!("CARGO_MANIFEST_DIR"));
    let flags = ["--mix", &mix, "--fault-pause-ms", "2500"];
    run_soak(&[&flags[..], &["--seed", seed, "--kinds", SPOILT]].concat(), "30", "24");
}

/// Invalid settings are refused with exit status 2.
#[test_case("--kinds", "quiet" ; "no such kind")]
#[test_case("--processes", "1" ; "too few processes")]
#[test_case("--seconds", "long" ; "no number")]
#[test_case("--mix", "/nowhere" ; "no mix")]
fn verify_bad_settings_are_reported(flag: &str, value: &str) {
    let soak = env!("CARGO_BIN_EXE_basaltarch-soak");
    let output = Command::new(soak).args([flag, value]).output().expect("the soak runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(flag) && text.contains("allowed"), "{text}");
}
