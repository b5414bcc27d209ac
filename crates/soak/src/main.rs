// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! `basaltarch-soak`: runs the fault soak for each of a range of seeds.

#![allow(missing_docs, reason = "the command-line macro makes items without doc comments")]

use std::fs;
use std::path::{Path, PathBuf};
use std::process;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings::{self, EXIT_BAD_SETTINGS};
use basaltarch_soak::errors::SoakError;
use basaltarch_soak::faults::{self, FaultKind, KINDS};
use basaltarch_soak::mix::RequestMix;
use basaltarch_soak::report::RunReport;
use basaltarch_soak::run::{self, RunOptions};
use basaltarch_telemetry::runtime;

mod flags {
    xflags::xflags! {
        /// Runs the real programs as processes on loopback, injects faults drawn from a seed, and
        /// checks what callers see. Exits with status 1 if a guarantee was violated; the logs are
        /// kept then.
        cmd basaltarch-soak {
            /// First seed (default 1).
            optional --seed number: String
            /// Number of consecutive seeds, run one after the other (default 1).
            optional --seeds count: String
            /// Seconds of fault injection for each seed (default 60).
            optional --seconds count: String
            /// Number of processes, of which each host has two (default 24).
            optional --processes count: String
            /// Kinds of faults, separated by commas; `none` for no faults (default all).
            optional --kinds names: String
            /// Longest pause between two faults in ms (default 7000).
            optional --fault-pause-ms ms: String
            /// File with a mix of requests that callers send (default: requests that check the
            /// configuration).
            optional --mix path: String
            /// Folder with basaltarchd and basaltarch-standin (default: that of this program).
            optional --programs folder: String
            /// Folder for the logs (default: a new one below the system's temporary folder).
            optional --logs folder: String
            /// Keeps the logs of runs without findings too.
            optional --keep
            /// Prints faults and findings as they occur.
            optional --verbose
        }
    }
}

/// Exit status when a run had findings or failed.
const EXIT_FINDINGS: i32 = 1;

/// `SoakOptions` holds the options of the command line.
struct SoakOptions {
    seeds: std::ops::Range<u64>,
    /// Options of the run of the first seed; its folder holds the log folders of all seeds.
    base_options: RunOptions,
    /// Whether the logs of runs without findings are kept too.
    keeps_logs: bool,
}

fn main() {
    let flags = flags::BasaltarchSoak::from_env_or_exit();
    let options = match read_options(flags) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("basaltarch-soak: {error}");
            process::exit(EXIT_BAD_SETTINGS);
        }
    };
    let mut finding_count = 0;
    for seed in options.seeds.clone() {
        match run_seed(&options, seed) {
            Ok(report) => {
                print!("{report}");
                finding_count += report.finding_count;
            }
            Err(error) => {
                eprintln!("basaltarch-soak: seed {seed}: {error}");
                finding_count += 1;
            }
        }
    }
    if finding_count > 0 {
        println!("{finding_count} findings; logs below {}", options.base_options.folder.display());
        process::exit(EXIT_FINDINGS);
    }
    println!("no promise broken");
}

/// Runs the soak with one seed. Removes the logs of a run without findings, unless `keeps_logs` is
/// set.
fn run_seed(options: &SoakOptions, seed: u64) -> Result<RunReport, SoakError> {
    let SoakOptions { base_options, keeps_logs, .. } = options;
    let folder = base_options.folder.join(format!("seed-{seed}"));
    let folder_error = |source| SoakError::Program { path: folder.clone(), source };
    fs::create_dir_all(&folder).map_err(folder_error)?;
    let plan = RunOptions { seed, folder: folder.clone(), ..base_options.clone() };
    let result = runtime::run(async move { run::run(&plan).await });
    let report = result.map_err(|source| SoakError::Start { source })??;
    if report.finding_count == 0 && !keeps_logs {
        let _ = fs::remove_dir_all(&folder);
    }
    Ok(report)
}

fn read_options(flags: flags::BasaltarchSoak) -> Result<SoakOptions, SettingError> {
    let seed = settings::checked("seed", flags.seed, 1_u64, "a number", |_| true)?;
    let seeds = settings::checked("seeds", flags.seeds, 1_u64, "1 to 10000", |count| {
        (1..=10_000).contains(count)
    })?;
    let seconds = settings::checked("seconds", flags.seconds, 60_u64, "1 to 86400", |count| {
        (1..=86_400).contains(count)
    })?;
    let processes =
        settings::checked("processes", flags.processes, 24_usize, "4 to 400", |count| {
            (4..=400).contains(count)
        })?;
    let fault_pause_ms = settings::checked(
        "fault-pause-ms",
        flags.fault_pause_ms,
        7000_u64,
        "500 to 60000",
        |ms| (500..=60_000).contains(ms),
    )?;
    let program_folder = || std::env::current_exe().ok()?.parent().map(PathBuf::from);
    let programs = flags.programs.map(PathBuf::from).or_else(program_folder).unwrap_or_default();
    let logs = flags
        .logs
        .map(PathBuf::from)
        .unwrap_or_else(|| std::env::temp_dir().join(format!("basaltarch-soak-{}", process::id())));
    let base_options = RunOptions {
        seed,
        length: Duration::from_secs(seconds),
        hosts: processes / 2,
        kinds: read_kinds(flags.kinds)?,
        fault_pause: Duration::from_millis(fault_pause_ms),
        mix: flags.mix.map(read_mix).transpose()?,
        programs,
        folder: logs,
        verbose: flags.verbose,
    };
    let seeds = seed..seed.saturating_add(seeds);
    Ok(SoakOptions { seeds, base_options, keeps_logs: flags.keep })
}

fn read_mix(path: String) -> Result<Rc<RequestMix>, SettingError> {
    let invalid = |error: SoakError| SettingError::Invalid {
        flag: "mix".to_owned(),
        variable: settings::variable_of("mix"),
        value: path.clone(),
        allowed: format!("a file with a mix of requests ({error})"),
    };
    RequestMix::read(Path::new(&path)).map(Rc::new).map_err(invalid)
}

fn read_kinds(given: Option<String>) -> Result<Vec<FaultKind>, SettingError> {
    let all_kinds = || KINDS.iter().map(|(kind, _)| *kind).collect();
    let text = match given.as_deref() {
        None => return Ok(all_kinds()),
        Some("none") => return Ok(Vec::new()),
        Some(text) => text,
    };
    let read = |name: &str| {
        faults::kind_of(name).ok_or_else(|| SettingError::Invalid {
            flag: "kinds".to_owned(),
            variable: settings::variable_of("kinds"),
            value: name.to_owned(),
            allowed: KINDS.map(|(_, name)| name).join(", "),
        })
    };
    text.split(',').map(read).collect()
}
