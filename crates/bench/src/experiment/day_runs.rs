// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs days with the users' bench, several days in parallel.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use basaltarch_platform::report::{self, DayReport};

use crate::errors::BenchError;

/// `ExperimentOptions` are the settings of an experiment.
#[derive(Debug, Clone)]
pub struct ExperimentOptions {
    /// Path of the users' bench.
    pub bench: PathBuf,
    /// Folders of the checkouts whose builds are compared, the baseline first.
    pub builds: Vec<PathBuf>,
    /// Site files.
    pub sites: Vec<PathBuf>,
    /// Names of days.
    pub days: Vec<String>,
    /// Seeds with which each day runs; `None` stands for the default seed of the day.
    pub seeds: Vec<Option<u64>>,
    /// Maximum number of days that run in parallel.
    pub jobs: usize,
    /// Whether the bench accounts for processor time.
    pub counts_processor: bool,
    /// Reason of the experiment, for the journal of the users' bench.
    pub reason: String,
}

/// `DayKey` identifies a day of a site with its seed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DayKey {
    /// Name of the site's file.
    pub site: String,
    /// Name of the day.
    pub day: String,
    /// Seed; `None` stands for the default seed of the day.
    pub seed: Option<u64>,
}

/// `DayRun` is the result of one day with one build.
#[derive(Debug, Clone)]
pub struct DayRun {
    /// Site, day and seed of the run.
    pub key: DayKey,
    /// Index of the build in [`ExperimentOptions::builds`].
    pub build: usize,
    /// Report of the day, or the reason why the users' bench wrote no report.
    pub outcome: Result<DayReport, String>,
}

struct PlannedDay {
    key: DayKey,
    build: usize,
    site: PathBuf,
}

/// Runs every day of every site with every seed and build.
///
/// Fails if a checkout can't be built or the folder for reports can't be created.
pub fn run_all(options: &ExperimentOptions) -> Result<Vec<DayRun>, BenchError> {
    for build in &options.builds {
        build_checkout(options, build)?;
    }
    let folder = std::env::temp_dir().join(format!("basaltarch-experiment-{}", std::process::id()));
    let folder_error = |error: std::io::Error| BenchError::File {
        path: folder.display().to_string(),
        message: error.to_string(),
    };
    fs::create_dir_all(&folder).map_err(folder_error)?;
    let plan = plan(options);
    let next_number = AtomicUsize::new(0);
    let runs = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| loop {
                let number = next_number.fetch_add(1, Ordering::Relaxed);
                let planned = match plan.get(number) {
                    Some(planned) => planned,
                    None => return,
                };
                let report = folder.join(format!("{number}.json"));
                let outcome = run_day(options, planned, &report);
                let day = DayRun { key: planned.key.clone(), build: planned.build, outcome };
                runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(day);
            });
        }
    });
    fs::remove_dir_all(&folder).map_err(folder_error)?;
    Ok(runs.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner()))
}

/// Lists the runs in their order. For each day, the runs of the builds directly follow each other.
fn plan(options: &ExperimentOptions) -> Vec<PlannedDay> {
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

fn build_checkout(options: &ExperimentOptions, build: &Path) -> Result<(), BenchError> {
    let output = Command::new(&options.bench).arg("build").current_dir(build).output();
    let message = match output {
        Ok(output) if output.status.success() => return Ok(()),
        Ok(output) => String::from_utf8_lossy(&output.stderr).into_owned(),
        Err(error) => error.to_string(),
    };
    Err(BenchError::File { path: build.display().to_string(), message })
}

fn run_day(
    options: &ExperimentOptions,
    planned: &PlannedDay,
    report: &Path,
) -> Result<DayReport, String> {
    let mut command = Command::new(&options.bench);
    command.arg("run").arg(&planned.site).arg(&planned.key.day);
    command.args(["--jobs", "1", "--why", &options.reason]).arg("--report").arg(report);
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
