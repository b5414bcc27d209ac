// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Plays days with the users' bench, a few at a time.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use basaltarch_platform::report::{self, DayReport};

use crate::errors::BenchError;

/// `PlayOptions` says what is played and how.
#[derive(Debug, Clone)]
pub struct PlayOptions {
    /// Path of the users' bench.
    pub bench: PathBuf,
    /// Checkouts that are compared, the one compared with first.
    pub builds: Vec<PathBuf>,
    /// Site files.
    pub sites: Vec<PathBuf>,
    /// Names of days.
    pub days: Vec<String>,
    /// Seeds of each day; none stands for the day's own.
    pub seeds: Vec<Option<u64>>,
    /// Days played at the same time.
    pub jobs: usize,
    /// Whether processor time counts.
    pub counts_processor: bool,
    /// Why it is played, for the journal.
    pub why: String,
}

/// `DayKey` names one day of one site with its seed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DayKey {
    /// Name of the site's file.
    pub site: String,
    /// Name of the day.
    pub day: String,
    /// Seed; none stands for the day's own.
    pub seed: Option<u64>,
}

/// `PlayedDay` is one day as one build played it.
#[derive(Debug, Clone)]
pub struct PlayedDay {
    /// Which day.
    pub key: DayKey,
    /// Position of the build in [`PlayOptions::builds`].
    pub build: usize,
    /// How it went, or why there is no report.
    pub outcome: Result<DayReport, String>,
}

struct PlannedDay {
    key: DayKey,
    build: usize,
    site: PathBuf,
}

/// Plays every day of every site with every seed and build.
///
/// Fails if a build can't be made or a folder for reports can't.
pub fn play_all(options: &PlayOptions) -> Result<Vec<PlayedDay>, BenchError> {
    for build in &options.builds {
        build_once(options, build)?;
    }
    let folder = std::env::temp_dir().join(format!("basaltarch-experiment-{}", std::process::id()));
    let failed = |error: std::io::Error| BenchError::File {
        path: folder.display().to_string(),
        message: error.to_string(),
    };
    fs::create_dir_all(&folder).map_err(failed)?;
    let plan = plan(options);
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let planned = match plan.get(number) {
                    Some(planned) => planned,
                    None => return,
                };
                let report = folder.join(format!("{number}.json"));
                let outcome = play(options, planned, &report);
                let day = PlayedDay { key: planned.key.clone(), build: planned.build, outcome };
                played.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(day);
            });
        }
    });
    fs::remove_dir_all(&folder).map_err(failed)?;
    Ok(played.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

/// Lists the plays so that both builds of a day follow each other.
fn plan(options: &PlayOptions) -> Vec<PlannedDay> {
    let mut plan = Vec::new();
    for site in &options.sites {
        let name = site.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        for seed in &options.seeds {
            for day in &options.days {
                let key = DayKey { site: name.clone(), day: day.clone(), seed: *seed };
                let builds = 0..options.builds.len();
                plan.extend(builds.map(|build| PlannedDay {
                    key: key.clone(),
                    build,
                    site: site.clone(),
                }));
            }
        }
    }
    plan
}

fn build_once(options: &PlayOptions, build: &Path) -> Result<(), BenchError> {
    let output = Command::new(&options.bench).arg("build").current_dir(build).output();
    let message = match output {
        Ok(output) if output.status.success() => return Ok(()),
        Ok(output) => String::from_utf8_lossy(&output.stderr).into_owned(),
        Err(error) => error.to_string(),
    };
    Err(BenchError::File { path: build.display().to_string(), message })
}

fn play(options: &PlayOptions, planned: &PlannedDay, report: &Path) -> Result<DayReport, String> {
    let mut command = Command::new(&options.bench);
    command.arg("run").arg(&planned.site).arg(&planned.key.day);
    command.args(["--jobs", "1", "--why", &options.why]).arg("--report").arg(report);
    if let Some(seed) = planned.key.seed {
        command.args(["--seed", &seed.to_string()]);
    }
    if !options.counts_processor {
        command.arg("--no-cpu");
    }
    let output = command.current_dir(&options.builds[planned.build]).output();
    let output = output.map_err(|error| error.to_string())?;
    let bytes = fs::read(report).map_err(|error| {
        let text = String::from_utf8_lossy(&output.stdout);
        format!("no report ({error}): {}", text.lines().last().unwrap_or_default())
    })?;
    report::decode(&bytes).map_err(|error| error.to_string())
}
