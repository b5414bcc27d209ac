// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs a fleet with an operator, callers and injected faults, and collects the findings.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_standin::backend::{BackendRuns, RUNS_PATH};
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{HeaderMap, Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use snafu::ResultExt;

use crate::callers::{self, AnswerViolation, CallerCrowd, CallerPlan, PlainRequests};
use crate::checker::{
    CallerSample, ConfigChecker, FaultHandle, FaultHistory, GuaranteeViolation, SeenAnswer,
    StepTimes, IN_FORCE_DELAY_MAX,
};
use crate::errors::{CallSnafu, SoakError};
use crate::faults::{self, FaultKind};
use crate::fleet::{FleetOptions, SoakFleet};
use crate::logs::{self, InForceLine};
use crate::mix::RequestMix;
use crate::mix_callers::{MixCaller, MixSample};
use crate::operator::{self, SoakOperator};
use crate::report::RunReport;

/// Number of callers of each daemon.
const CALLERS_PER_DAEMON: usize = 2;
/// Number of further callers of each daemon that send requests during an overload.
const CROWD_PER_DAEMON: usize = 8;
/// Shortest and longest pause between two documents, in milliseconds.
const DOCUMENT_PAUSE_MS: std::ops::RangeInclusive<u64> = 700..=2500;
/// Pause between the start of the fleet's processes and the beginning of load and faults.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time-out of a call for the run counters of a backend server.
const RUNS_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause before a server that is down is asked for its counters again.
const RUNS_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of findings that the report holds as texts.
const FINDING_TEXTS_MAX: usize = 40;

/// `RunOptions` are the settings of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of load and fault injection.
    pub length: Duration,
    /// Number of hosts, each of which has two processes: a daemon and a backend server.
    pub hosts: usize,
    /// Kinds of faults from which the injected faults are drawn; empty for a run without faults.
    pub kinds: Vec<FaultKind>,
    /// Longest pause between the beginnings of two faults.
    pub fault_pause: Duration,
    /// Mix of requests that callers send in place of those that check the configuration.
    pub mix: Option<Rc<RequestMix>>,
    /// Folder that holds the programs `basaltarchd` and `basaltarch-standin`.
    pub programs: PathBuf,
    /// Folder into which the processes write their logs.
    pub folder: PathBuf,
    /// Whether faults and findings are printed as they occur.
    pub verbose: bool,
}

/// `SoakState` is the state that the tasks of a run share.
pub struct SoakState {
    /// The fleet of the run.
    pub fleet: SoakFleet,
    operator: Rc<SoakOperator>,
    mix: Option<Rc<RequestMix>>,
    began: Instant,
    /// Time of day at which the run began.
    began_time_of_day: Duration,
    /// Callers that send requests during an overload.
    pub crowd: Rc<CallerCrowd>,
    fault_history: RefCell<FaultHistory>,
    checker: RefCell<ConfigChecker>,
    report: RefCell<RunReport>,
    /// For each host, whether a fault is restarting the daemon of the host.
    restarting: RefCell<Vec<bool>>,
    verbose: bool,
    /// Whether the run is over; samples that arrive afterwards are not checked.
    is_finished: Cell<bool>,
}

impl SoakState {
    /// Returns the time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Says whether callers send a mix of requests.
    pub fn has_mix(&self) -> bool {
        self.mix.is_some()
    }

    /// Returns the index of each host of the fleet.
    pub fn all_hosts(&self) -> Vec<usize> {
        (0..self.fleet.hosts.len()).collect()
    }

    /// Records that a fault of `hosts`, and of the store if `includes_store` is set, begins.
    pub fn begin_fault(&self, hosts: &[usize], includes_store: bool) -> FaultHandle {
        self.fault_history.borrow_mut().begin_fault(hosts, includes_store, self.now())
    }

    /// Records that the fault of `handle` has ended.
    pub fn end_fault(&self, handle: &FaultHandle) {
        self.fault_history.borrow_mut().end_fault(handle, self.now());
    }

    /// Claims the restart of a daemon; returns false if another fault is restarting the daemon.
    pub fn claim_restart(&self, host: usize) -> bool {
        !std::mem::replace(&mut self.restarting.borrow_mut()[host], true)
    }

    /// Releases the claim to restart a daemon.
    pub fn release_restart(&self, host: usize) {
        self.restarting.borrow_mut()[host] = false;
    }

    /// Sets the faults of the store. A failure to set the faults is added as a finding.
    pub async fn apply_store_faults(&self, faults: &Value) {
        if let Err(error) = self.fleet.set_store_faults(faults).await {
            self.add_finding(error.to_string());
        }
    }

    /// Prints `line` after the time of the run, if the run is verbose.
    pub fn print_event(&self, line: &str) {
        if self.verbose {
            println!("{:8.3} {line}", self.now().as_secs_f64());
        }
    }

    /// Adds a finding to the report.
    pub fn add_finding(&self, finding: String) {
        self.print_event(&finding);
        let mut report = self.report.borrow_mut();
        report.finding_count += 1;
        if report.findings.len() < FINDING_TEXTS_MAX {
            report.findings.push(format!("{:.3} s: {finding}", self.now().as_secs_f64()));
        }
    }

    /// Counts a leaving of a backend server that was acknowledged and watched.
    pub fn note_leaving(&self) {
        self.report.borrow_mut().leaving_count += 1;
    }

    fn note_mix_sample(&self, sample: &MixSample) {
        if self.is_finished.get() {
            return;
        }
        let MixSample { id, class, status, violation } = sample;
        if let Some(violation) = violation {
            self.add_finding(format!("{id} {class}: {violation:?}"));
        }
        let mut report = self.report.borrow_mut();
        report.requests += 1;
        report.conclusive_count += u64::from(*status == Some(StatusCode::OK));
    }

    fn check_sample(&self, sample: &CallerSample, answer_violation: Option<AnswerViolation>) {
        if self.is_finished.get() {
            return;
        }
        let host = &self.fleet.hosts[sample.host].name;
        let id = &sample.id;
        if let Some(answer_violation) = answer_violation {
            self.add_finding(format!("{host} {id} {:?}: {answer_violation:?}", sample.route));
        }
        let mut report = self.report.borrow_mut();
        report.requests += 1;
        report.conclusive_count += u64::from(sample.answer != SeenAnswer::Inconclusive);
        drop(report);
        let violation = self.operator.with_steps(|steps| {
            self.checker.borrow_mut().check(sample, steps, &self.fault_history.borrow())
        });
        let CallerSample { route, answer, sent_at, .. } = sample;
        let sent = sent_at.as_secs_f64();
        match violation {
            Some(GuaranteeViolation::Late { delay }) => {
                let delay = delay.as_secs_f64();
                self.add_finding(format!(
                    "{host} {id} sent {sent:.3}: {route:?} {answer:?}, \
                     {delay:.3} s after it was forbidden"
                ));
            }
            Some(GuaranteeViolation::RolledBack) => {
                self.add_finding(format!(
                    "{host} {id} sent {sent:.3}: {route:?} {answer:?}, a rollback"
                ));
            }
            None => {}
        }
    }

    /// Returns the times from the acknowledgement of each document until the document was in force
    /// at each undisturbed host, sorted.
    fn measure_in_force_delays(&self) -> Vec<Duration> {
        let fault_history = self.fault_history.borrow();
        let mut delays = Vec::new();
        for (host_index, host) in self.fleet.hosts.iter().enumerate() {
            let lines = logs::in_force_lines(
                &self.fleet.daemon_log_path(&host.name),
                self.began_time_of_day,
            );
            self.operator.with_steps(|steps| {
                for (step, StepTimes { acked_at, .. }) in steps.iter().enumerate() {
                    let Some(acked_at) = *acked_at else { continue };
                    let until = in_force_at(&lines, step, acked_at).unwrap_or(self.now());
                    if fault_history.is_undisturbed(host_index, acked_at, until) {
                        let in_force_delay = until.saturating_sub(acked_at);
                        self.print_late(&host.name, step, in_force_delay);
                        delays.push(in_force_delay);
                    }
                }
            });
        }
        delays.sort();
        delays
    }

    fn print_late(&self, host: &str, step: usize, in_force_delay: Duration) {
        if in_force_delay > IN_FORCE_DELAY_MAX {
            self.print_event(&format!(
                "document {step} was in force at {host} after {in_force_delay:?}"
            ));
        }
    }
}

/// Returns the time of the run at which a step's document, or a later document, came in force at
/// the daemon that logged `lines`. The result is no earlier than `acked_at`, although a daemon may
/// read the document before the operator gets the acknowledgement.
fn in_force_at(lines: &[InForceLine], step: usize, acked_at: Duration) -> Option<Duration> {
    let is_same_or_later = |line: &&InForceLine| line.revision >= operator::version_of(step);
    let first_line = lines.iter().find(is_same_or_later)?;
    Some(first_line.at.max(acked_at))
}

/// Starts a fleet, runs load and faults on the fleet, and ends its processes.
pub async fn run(options: &RunOptions) -> Result<RunReport, SoakError> {
    let RunOptions { seed, hosts, programs, folder, mix, .. } = options.clone();
    let began = Instant::now();
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let began_time_of_day = logs::since_midnight(since_epoch);
    let key = format!("a-fleet-key-for-soak-{}-{seed}", process::id());
    let fleet_options = FleetOptions { hosts, programs, folder, key, mix: mix.clone() };
    let mut fleet = SoakFleet::start(fleet_options).await?;
    let operator = Rc::new(SoakOperator::new(fleet.store_address, mix.clone()));
    operator.step(|| began.elapsed()).await?;
    fleet.start_hosts().await?;
    let state = Rc::new(SoakState {
        fleet,
        operator,
        mix,
        began,
        began_time_of_day,
        crowd: Rc::default(),
        fault_history: RefCell::new(FaultHistory::new(hosts)),
        checker: RefCell::new(ConfigChecker::new(hosts)),
        report: RefCell::new(RunReport { seed, ..RunReport::default() }),
        restarting: RefCell::new(vec![false; hosts]),
        verbose: options.verbose,
        is_finished: Cell::new(false),
    });
    monoio::time::sleep(SETTLE_TIME).await;
    // Tasks that never end hold references to the state, so the processes of the fleet do not end
    // when `state` is dropped here.
    let result = run_load_and_faults(&state, options).await;
    state.fleet.end_processes();
    result
}

/// Runs the callers, the operator and the faults on a fleet, and returns the report.
async fn run_load_and_faults(
    state: &Rc<SoakState>,
    options: &RunOptions,
) -> Result<RunReport, SoakError> {
    let seed = options.seed;
    let plain_requests = Rc::<PlainRequests>::default();
    match &state.mix {
        Some(mix) => start_mix_callers(state, mix, &plain_requests, seed),
        None => start_callers(state, &plain_requests, seed),
    }
    monoio::spawn(change_config(state.clone(), ChaCha8Rng::seed_from_u64(seed ^ 1)));
    let rng = ChaCha8Rng::seed_from_u64(seed ^ 2);
    monoio::spawn(faults::run(state.clone(), options.kinds.clone(), options.fault_pause, rng));
    monoio::time::sleep(options.length).await;
    state.is_finished.set(true);
    let FleetRuns { counts: runs, other_bodies } = fetch_runs(state).await?;
    for id in other_bodies {
        state.add_finding(format!("{id}: other bytes reached a server than were sent"));
    }
    for (id, route, answer_violation) in plain_requests.violations(&runs) {
        state.add_finding(format!("{id} {route:?}: {answer_violation:?}"));
    }
    let mut report = state.report.borrow().clone();
    report.refused_count = plain_requests.refused_count();
    report.document_count = state.operator.with_steps(<[_]>::len);
    report.in_force_delays = state.measure_in_force_delays();
    let late_count = report.late_count();
    if late_count > 0 {
        report.finding_count += late_count as u64;
        report.findings.push(format!(
            "{late_count} times a document was in force too late at an undisturbed host"
        ));
    }
    Ok(report)
}

fn start_callers(state: &Rc<SoakState>, plain_requests: &Rc<PlainRequests>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 3);
    let mut crowd_rng = ChaCha8Rng::seed_from_u64(seed ^ 4);
    for (host_index, host) in state.fleet.hosts.iter().enumerate() {
        for caller_index in 0..CALLERS_PER_DAEMON + CROWD_PER_DAEMON {
            let is_in_crowd = caller_index >= CALLERS_PER_DAEMON;
            let caller_seed = if is_in_crowd { crowd_rng.random() } else { rng.random() };
            let plan = CallerPlan {
                host_index,
                host: host.clone(),
                caller_index,
                operator: state.operator.clone(),
                plain_requests: plain_requests.clone(),
                began: state.began,
                crowd: is_in_crowd.then(|| state.crowd.clone()),
                rng: ChaCha8Rng::seed_from_u64(caller_seed),
            };
            let state = state.clone();
            let on_sample =
                move |sample, answer_violation| state.check_sample(&sample, answer_violation);
            monoio::spawn(callers::run(plan, on_sample));
        }
    }
}

fn start_mix_callers(
    state: &Rc<SoakState>,
    mix: &Rc<RequestMix>,
    plain_requests: &Rc<PlainRequests>,
    seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 3);
    for host in &state.fleet.hosts {
        for caller_index in 0..mix.callers_each {
            let caller_rng = ChaCha8Rng::seed_from_u64(rng.random());
            let (mix, crowd) = (mix.clone(), state.crowd.clone());
            let caller = MixCaller::new(
                host.clone(),
                caller_index,
                mix,
                crowd,
                plain_requests.clone(),
                caller_rng,
            );
            let state = state.clone();
            monoio::spawn(caller.run(move |sample| state.note_mix_sample(&sample)));
        }
    }
}

/// Writes a document after each pause of [`DOCUMENT_PAUSE_MS`], for ever.
async fn change_config(state: Rc<SoakState>, mut rng: ChaCha8Rng) {
    loop {
        let pause = Duration::from_millis(rng.random_range(DOCUMENT_PAUSE_MS));
        monoio::time::sleep(pause).await;
        if let Err(error) = state.operator.step(|| state.now()).await {
            state.add_finding(error.to_string());
        }
    }
}

/// `FleetRuns` is what all backend servers have seen together.
#[derive(Default)]
struct FleetRuns {
    /// How often each request ran, by its id.
    counts: FnvHashMap<String, u64>,
    /// Ids of the uploads of which other bytes arrived than were sent.
    other_bodies: Vec<String>,
}

/// Reads the counters of a backend server, which may be down for a moment.
async fn fetch_counters(address: SocketAddr) -> Result<ClientReply, SoakError> {
    let client = HttpClient::new(address, RUNS_TIMEOUT);
    let asking_since = Instant::now();
    loop {
        let reply = client.call(Method::GET, RUNS_PATH, HeaderMap::new(), Bytes::new()).await;
        if reply.is_ok() || asking_since.elapsed() > RUNS_TIMEOUT {
            let what = "reading the run counters of a backend server";
            return reply.context(CallSnafu { what });
        }
        monoio::time::sleep(RUNS_RETRY_PAUSE).await;
    }
}

async fn fetch_runs(state: &SoakState) -> Result<FleetRuns, SoakError> {
    let mut fleet_runs = FleetRuns::default();
    for host in &state.fleet.hosts {
        let reply = fetch_counters(host.backend_address()).await?;
        let runs: BackendRuns = serde_json::from_slice(&reply.body).unwrap_or_default();
        for (id, count) in runs.by_id {
            *fleet_runs.counts.entry(id).or_default() += count;
        }
        fleet_runs.other_bodies.extend(runs.other_bodies);
    }
    Ok(fleet_runs)
}
