// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! `basaltarch-bench`: load generation, experiments and simulations.

#![allow(missing_docs, reason = "the command-line macro makes items without doc comments")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::time::Duration;

use basaltarch_bench::crashes;
use basaltarch_bench::decisions::{bounds, chart, report, scenario, suite};
use basaltarch_bench::errors::BenchError;
use basaltarch_bench::experiment::day_runs::{self, ExperimentOptions};
use basaltarch_bench::experiment::verdict;
use basaltarch_bench::hold::{self, HoldOptions};
use basaltarch_bench::load::{self, LoadOptions, LoadTarget, TargetReport};
use basaltarch_bench::{capacity, detection, fault, spread};
use basaltarch_core::config::SnapshotResource;
use basaltarch_core::errors::SettingError;
use basaltarch_core::settings::{self, EXIT_BAD_SETTINGS};
use basaltarch_telemetry::runtime;
use http::Method;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Load generation, experiments and simulations.
        cmd basaltarch-bench {
            /// Sends open-loop load to daemons, and to a baseline alongside.
            cmd load {
                /// Addresses of daemons for callers, separated by commas.
                required --to addresses: String
                /// Address of a backend server that directly receives as many requests.
                optional --baseline address: String
                /// Value of Host, default solver.example.
                optional --host name: String
                /// Path, default /.
                optional --path path: String
                /// Method, default GET.
                optional --method method: String
                /// Bytes of each request's body, default 0.
                optional --body-bytes count: String
                /// Requests per second to each target, default 900.
                optional --rate count: String
                /// Seconds, default 10.
                optional --seconds count: String
                /// Rounds, whose medians are printed, default 1.
                optional --rounds count: String
                /// Gives each request an idempotency key.
                optional --once
                /// Prints JSON.
                optional --json
                /// Fails on truncated or mismatched responses and on unknown outcomes.
                optional --clean
            }
            /// Measures the growth of memory and processor time behind docs/CAPACITY.md.
            cmd capacity {}
            /// Writes a generated configuration for basaltctl apply.
            cmd generate {
                /// Share of the fleet size expected in two years, 0 to 1.
                required share: String
                /// Writes the configuration as a snapshot into this file instead.
                optional --snapshot path: String
            }
            /// Measures how long an accepted change takes to be in force on all daemons.
            cmd spread {
                /// Admin addresses of daemons, separated by commas; the first gets the changes.
                required admins: String
                /// Token of an operator.
                required token: String
                /// Number of changes, default 10.
                optional --changes count: String
                /// Pause between changes in ms, default 300.
                optional --pause-ms ms: String
            }
            /// Compares ejection rules over simulated faults, in virtual time.
            cmd decisions {
                /// Number of seeds of each run, default 1.
                optional --seeds count: String
                /// Only cases whose name contains this.
                optional --case name: String
                /// Only this deployment.
                optional --deployment name: String
                /// Runs the small suite that gates CI, and checks its bounds.
                optional --gate
                /// Draws the chart of detection time against false ejections into this SVG file.
                optional --chart path: String
            }
            /// Simulates requests that crash servers, in virtual time, and checks bounds.
            cmd crashes {}
            /// Runs the same days with two builds and compares the results in pairs.
            cmd experiment {
                /// Path of the users' bench.
                required bench: PathBuf
                /// Checkout of the baseline build.
                required base: PathBuf
                /// Checkout of the build under test.
                required trial: PathBuf
                /// Site files, separated by commas.
                required sites: String
                /// Days, separated by commas; the trouble and scale days by default.
                optional --days names: String
                /// Seeds of each day, separated by commas; "own", the default, is that of the day.
                optional --seeds numbers: String
                /// Days that run at the same time, default 4.
                optional --jobs count: String
                /// Reason of the experiment, for the journal.
                optional --why text: String
                /// Leaves processor time out, so that results mostly repeat.
                optional --no-cpu
            }
            /// Compares what a failing server received with the errors that callers saw.
            cmd detection {
                /// Output of load --json.
                required load: String
                /// Output of fault.
                required fault: String
                /// Name of the failing server.
                required server: String
            }
            /// Holds connections to a daemon open, so that its memory can be read meanwhile.
            cmd hold {
                /// Address of a daemon for callers.
                required to: String
                /// Number of connections.
                required count: String
                /// Seconds, default 3.
                optional --seconds count: String
                /// Path of a request that runs on each connection; idle without.
                optional --path path: String
            }
            /// Injects a fault into a simulated backend server; measures how long it gets requests.
            cmd fault {
                /// Address of the server.
                required address: String
                /// The fault as JSON.
                required fault: String
                /// Time without requests that counts as stopped, in ms, default 1000.
                optional --quiet-ms ms: String
                /// Longest time to measure, in ms, default 20000.
                optional --most-ms ms: String
            }
        }
    }
}

/// Description of a valid address, for the error about an invalid address.
const ADDRESS_ALLOWED: &str = "an IP address with port, such as 127.0.0.1:8080";

/// Default value of `--days`: the trouble and scale days of a site file.
const DAYS_WITH_TROUBLE: &str = "trouble-1,trouble-2,trouble-3,scale-1,scale-2";
/// Value of `--seeds` that stands for the default seed of a day.
const OWN_SEED: &str = "own";

fn main() {
    let flags = flags::BasaltarchBench::from_env_or_exit();
    let result = match flags.subcommand {
        flags::BasaltarchBenchCmd::Load(flags) => run_load(flags),
        flags::BasaltarchBenchCmd::Fault(flags) => run_fault(flags),
        flags::BasaltarchBenchCmd::Capacity(_) => {
            capacity::print_all();
            Ok(())
        }
        flags::BasaltarchBenchCmd::Generate(flags) => run_generate(&flags),
        flags::BasaltarchBenchCmd::Hold(flags) => run_hold(&flags),
        flags::BasaltarchBenchCmd::Spread(flags) => run_spread(&flags),
        flags::BasaltarchBenchCmd::Decisions(flags) => run_decisions(flags),
        flags::BasaltarchBenchCmd::Crashes(_) => run_crashes(),
        flags::BasaltarchBenchCmd::Experiment(flags) => run_experiment(flags),
        flags::BasaltarchBenchCmd::Detection(flags) => {
            detection::run(&flags.load, &flags.fault, &flags.server)
        }
    };
    match result {
        Ok(()) => {}
        Err(error @ BenchError::Setting { .. }) => {
            eprintln!("basaltarch-bench: {error}");
            process::exit(EXIT_BAD_SETTINGS);
        }
        Err(error) => {
            eprintln!("basaltarch-bench: {error}");
            process::exit(1);
        }
    }
}

fn setting_error(source: SettingError) -> BenchError {
    BenchError::Setting { source }
}

fn read_number(
    flag: &str,
    given: Option<String>,
    default: f64,
    minimum: f64,
    maximum: f64,
) -> Result<f64, BenchError> {
    let allowed = format!("{minimum} to {maximum}");
    let accept = |value: &f64| (minimum..=maximum).contains(value);
    settings::checked(flag, given, default, &allowed, accept).map_err(setting_error)
}

fn read_address(flag: &str, given: &str) -> Result<SocketAddr, BenchError> {
    settings::required(flag, Some(given.to_owned()), ADDRESS_ALLOWED).map_err(setting_error)
}

fn read_load_options(flags: &flags::Load) -> Result<LoadOptions, BenchError> {
    let to: Result<Vec<SocketAddr>, BenchError> =
        flags.to.split(',').map(|each| read_address("to", each)).collect();
    let mut targets = vec![LoadTarget { name: "daemons".to_owned(), addresses: to? }];
    if let Some(baseline) = &flags.baseline {
        targets.push(LoadTarget {
            name: "direct".to_owned(),
            addresses: vec![read_address("baseline", baseline)?],
        });
    }
    let rate = read_number("rate", flags.rate.clone(), 900.0, 0.1, 200_000.0)?;
    let seconds = read_number("seconds", flags.seconds.clone(), 10.0, 0.1, 600.0)?;
    let method: Option<Method> =
        settings::optional("method", flags.method.clone(), "a method").map_err(setting_error)?;
    let body_bytes = read_number("body-bytes", flags.body_bytes.clone(), 0.0, 0.0, 1e8)?;
    Ok(LoadOptions {
        rate: rate * targets.len() as f64,
        targets,
        host: flags.host.clone().unwrap_or("solver.example".to_owned()),
        path: flags.path.clone().unwrap_or("/".to_owned()),
        method: method.unwrap_or(Method::GET),
        body_bytes: body_bytes as usize,
        duration: Duration::from_secs_f64(seconds),
        idempotency_keys: flags.once,
    })
}

fn run_experiment(flags: flags::Experiment) -> Result<(), BenchError> {
    let absolute = |path: &PathBuf| {
        std::path::absolute(path).map_err(|error| BenchError::File {
            path: path.display().to_string(),
            message: error.to_string(),
        })
    };
    let sites: Result<Vec<PathBuf>, BenchError> =
        flags.sites.split(',').map(|site| absolute(&PathBuf::from(site))).collect();
    let seeds: Result<Vec<Option<u64>>, BenchError> =
        flags.seeds.as_deref().unwrap_or(OWN_SEED).split(',').map(read_seed).collect();
    let days = flags.days.as_deref().unwrap_or(DAYS_WITH_TROUBLE);
    let options = ExperimentOptions {
        bench: absolute(&flags.bench)?,
        builds: vec![absolute(&flags.base)?, absolute(&flags.trial)?],
        sites: sites?,
        days: days.split(',').map(str::to_owned).collect(),
        seeds: seeds?,
        jobs: read_number("jobs", flags.jobs, 4.0, 1.0, 64.0)? as usize,
        counts_processor: !flags.no_cpu,
        reason: flags.why.unwrap_or("experiment".to_owned()),
    };
    print!("{}", verdict::table(&day_runs::run_all(&options)?));
    Ok(())
}

fn read_seed(text: &str) -> Result<Option<u64>, BenchError> {
    if text == OWN_SEED {
        return Ok(None);
    }
    settings::required("seeds", Some(text.to_owned()), "numbers or own")
        .map(Some)
        .map_err(setting_error)
}

fn run_load(flags: flags::Load) -> Result<(), BenchError> {
    let options = read_load_options(&flags)?;
    let rounds = read_number("rounds", flags.rounds.clone(), 1.0, 1.0, 100.0)? as usize;
    let mut reports = Vec::new();
    let mut latency_differences = Vec::new();
    for _ in 0..rounds {
        let running = load::run(options.clone());
        reports = runtime::run(running).map_err(|source| BenchError::Start { source })?;
        if let [proxied, direct] = &reports[..] {
            let difference_us = |high: u64, low: u64| high as i64 - low as i64;
            let p50 = difference_us(proxied.p50_us, direct.p50_us);
            latency_differences.push((p50, difference_us(proxied.p99_us, direct.p99_us)));
        }
    }
    if flags.clean {
        for report in &reports {
            detection::check_clean(&serde_json::json!(report))?;
        }
    }
    if flags.json {
        println!("{}", serde_json::json!(reports));
        return Ok(());
    }
    for report in &reports {
        print_report(report);
    }
    if !latency_differences.is_empty() {
        print_latency_differences(&latency_differences);
    }
    Ok(())
}

fn print_latency_differences(latency_differences: &[(i64, i64)]) {
    let median = |values: Vec<i64>| {
        let mut values = values;
        values.sort();
        values[values.len() / 2] as f64 / 1000.0
    };
    println!(
        "added, median of {} rounds: p50 {:.3} ms, p99 {:.3} ms (p99 of each round: {:?} us)",
        latency_differences.len(),
        median(latency_differences.iter().map(|(p50, _)| *p50).collect()),
        median(latency_differences.iter().map(|(_, p99)| *p99).collect()),
        latency_differences.iter().map(|(_, p99)| *p99).collect::<Vec<i64>>()
    );
}

fn print_report(report: &TargetReport) {
    let millis = |micros: u64| micros as f64 / 1000.0;
    println!(
        "{}: {} started, {} answered ({} good), {} not run, {} unknown, {} broken, {} crossed",
        report.name,
        report.started,
        report.answered,
        report.good,
        report.not_run,
        report.unknown,
        report.broken,
        report.crossed
    );
    println!(
        "  p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms, max {:.3} ms",
        millis(report.p50_us),
        millis(report.p99_us),
        millis(report.p999_us),
        millis(report.max_us)
    );
    for (server, tally) in &report.servers {
        println!("  {server}: {} answers, {} errors", tally.answers, tally.errors);
    }
}

fn run_hold(flags: &flags::Hold) -> Result<(), BenchError> {
    let seconds = read_number("seconds", flags.seconds.clone(), 3.0, 0.1, 60.0)?;
    let count = read_number("count", Some(flags.count.clone()), 1.0, 1.0, 20_000.0)?;
    let request = flags.path.clone().map(|path| ("solver.example".to_owned(), path));
    let options = HoldOptions {
        address: read_address("to", &flags.to)?,
        connection_count: count as usize,
        hold_time: Duration::from_secs_f64(seconds),
        request,
    };
    runtime::run(hold::run(options)).map_err(|source| BenchError::Start { source })?
}

fn run_spread(flags: &flags::Spread) -> Result<(), BenchError> {
    let admins: Result<Vec<SocketAddr>, BenchError> =
        flags.admins.split(',').map(|each| read_address("admins", each)).collect();
    let changes = read_number("changes", flags.changes.clone(), 10.0, 1.0, 1000.0)? as usize;
    let default_pause_ms = spread::CHANGE_PAUSE.as_millis() as f64;
    let pause = read_number("pause-ms", flags.pause_ms.clone(), default_pause_ms, 1.0, 60_000.0)?;
    let pause = Duration::from_secs_f64(pause / 1000.0);
    let running = spread::run(admins?, flags.token.clone(), changes, pause);
    let report = runtime::run(running).map_err(|source| BenchError::Start { source })??;
    println!("{}", serde_json::json!(report));
    Ok(())
}

/// Prints a generated configuration in the format that `basaltctl apply` reads. With `--snapshot`,
/// writes the configuration as a snapshot into a file instead.
fn run_generate(flags: &flags::Generate) -> Result<(), BenchError> {
    let share = read_number("share", Some(flags.share.clone()), 1.0, 1e-6, 1.0)?;
    let size = capacity::TWO_YEARS.scaled(share);
    if let Some(path) = &flags.snapshot {
        let bytes = capacity::snapshot_of(size).unwrap_or_default();
        return std::fs::write(path, bytes)
            .map_err(|error| BenchError::File { path: path.clone(), message: error.to_string() });
    }
    let resources = capacity::generate(size);
    let mut kinds = serde_json::Map::new();
    for SnapshotResource(kind, name, _, value) in resources {
        let names = kinds.entry(kind).or_insert_with(|| serde_json::json!({}));
        if let Some(names) = names.as_object_mut() {
            names.insert(name, value);
        }
    }
    println!("{}", serde_json::Value::Object(kinds));
    Ok(())
}

fn run_decisions(flags: flags::Decisions) -> Result<(), BenchError> {
    let seeds = read_number("seeds", flags.seeds, 1.0, 1.0, 100.0)?;
    if let Some(path) = &flags.chart {
        let curves = chart::sweep_thresholds();
        for curve in &curves {
            for (threshold, rate, seconds) in &curve.points {
                println!("{} at {threshold}: {rate:.3}, {seconds:.2} s", curve.rule.name());
            }
        }
        return chart::draw(path, &curves);
    }
    if flags.gate {
        let plan = bounds::gate_suite();
        let results = suite::run(&plan);
        println!("{}", report::markdown(&plan, &results));
        return bounds::check(&plan, &results);
    }
    let mut plan = bounds::whole_suite(seeds as u64);
    if let Some(part) = &flags.case {
        plan.cases.retain(|case| scenario::CASES[*case].name.contains(part.as_str()));
    }
    if let Some(name) = &flags.deployment {
        plan.deployments.retain(|deployment| deployment.name == name);
    }
    let results = suite::run(&plan);
    println!("{}", report::markdown(&plan, &results));
    Ok(())
}

fn run_crashes() -> Result<(), BenchError> {
    let plans = [false, true].into_iter().flat_map(crashes::plans);
    let results: Vec<_> = plans.map(|plan| (plan, crashes::run(plan))).collect();
    crashes::print(&results);
    crashes::check(&results)
}

fn run_fault(flags: flags::Fault) -> Result<(), BenchError> {
    let address = read_address("address", &flags.address)?;
    let idle_ms = read_number("quiet-ms", flags.quiet_ms, 1000.0, 10.0, 60_000.0)?;
    let most_ms = read_number("most-ms", flags.most_ms, 20_000.0, 10.0, 600_000.0)?;
    let idle_time = Duration::from_secs_f64(idle_ms / 1000.0);
    let time_max = Duration::from_secs_f64(most_ms / 1000.0);
    let running = fault::run(address, &flags.fault, idle_time, time_max);
    let report = runtime::run(running).map_err(|source| BenchError::Start { source })??;
    println!("{}", serde_json::json!(report));
    Ok(())
}
