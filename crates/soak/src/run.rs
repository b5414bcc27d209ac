// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! One run: a fleet, its operator, its callers and its troubles, and what was found.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::process;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use basaltarch_http::client::HttpClient;
use basaltarch_standin::backend::{BackendRuns, RUNS_PATH};
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{HeaderMap, Method};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use snafu::ResultExt;

use crate::callers::{self, AnswerFault, CallerPlan, PlainRequests};
use crate::errors::{CallSnafu, SoakError};
use crate::faults::{self, TroubleKind};
use crate::fleet::{FleetOptions, SoakFleet};
use crate::judge::{
    BrokenPromise, CallerSample, ConfigJudge, SeenAnswer, StepTimes, TouchRecord, TroubleMark,
    IN_FORCE_MAX,
};
use crate::logs::{self, InForceLine};
use crate::operator::{self, SoakOperator};
use crate::report::RunReport;

/// Callers at each daemon.
const CALLERS: usize = 2;
/// Shortest and longest pause between two documents, in milliseconds.
const CHANGE_MS: std::ops::RangeInclusive<u64> = 700..=2500;
/// Time for which a fleet settles before its troubles begin.
const SETTLE: Duration = Duration::from_secs(4);
/// Longest wait for what a backend server ran.
const RUNS_TIMEOUT: Duration = Duration::from_secs(10);
/// Findings that are told one by one.
const FINDS_MAX: usize = 40;

/// `RunOptions` says what a run is.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// How long the troubles last.
    pub length: Duration,
    /// Hosts, each with two processes.
    pub hosts: usize,
    /// Kinds of trouble that are drawn from; none for a quiet run.
    pub kinds: Vec<TroubleKind>,
    /// Folder with the programs.
    pub programs: PathBuf,
    /// Folder for the logs.
    pub folder: PathBuf,
    /// Whether troubles and findings are told as they come.
    pub verbose: bool,
}

/// `SoakState` is what the parts of a run share.
pub struct SoakState {
    /// The fleet.
    pub fleet: SoakFleet,
    operator: Rc<SoakOperator>,
    began: Instant,
    /// Time of the day at which the run began.
    began_of_day: Duration,
    touch: RefCell<TouchRecord>,
    judge: RefCell<ConfigJudge>,
    report: RefCell<RunReport>,
    restarting: RefCell<Vec<bool>>,
    verbose: bool,
    /// Set when the run is over: what comes later is not judged.
    over: Cell<bool>,
}

impl SoakState {
    /// Returns the time of the run.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Returns the numbers of all hosts.
    pub fn all_hosts(&self) -> Vec<usize> {
        (0..self.fleet.hosts.len()).collect()
    }

    /// Notes that a trouble begins.
    pub fn begin(&self, hosts: &[usize], store: bool) -> TroubleMark {
        self.touch.borrow_mut().begin(hosts, store, self.now())
    }

    /// Notes that a trouble has ended.
    pub fn end(&self, mark: &TroubleMark) {
        self.touch.borrow_mut().end(mark, self.now());
    }

    /// Claims the restart of a daemon, unless another trouble has it.
    pub fn take_restart(&self, host: usize) -> bool {
        !std::mem::replace(&mut self.restarting.borrow_mut()[host], true)
    }

    /// Lets others restart a daemon.
    pub fn free_restart(&self, host: usize) {
        self.restarting.borrow_mut()[host] = false;
    }

    /// Puts faults of the store in force.
    pub async fn set_store(&self, faults: &Value) {
        if let Err(error) = self.fleet.store_faults(faults).await {
            self.find(error.to_string());
        }
    }

    /// Tells what happens, where that is wanted.
    pub fn tell(&self, line: &str) {
        if self.verbose {
            println!("{:8.3} {line}", self.now().as_secs_f64());
        }
    }

    /// Takes a finding in.
    pub fn find(&self, find: String) {
        self.tell(&find);
        let mut report = self.report.borrow_mut();
        report.found += 1;
        if report.finds.len() < FINDS_MAX {
            report.finds.push(format!("{:.3} s: {find}", self.now().as_secs_f64()));
        }
    }

    fn take_sample(&self, sample: &CallerSample, fault: Option<AnswerFault>) {
        if self.over.get() {
            return;
        }
        let host = &self.fleet.hosts[sample.host].name;
        let id = &sample.id;
        if let Some(fault) = fault {
            self.find(format!("{host} {id} {:?}: {fault:?}", sample.route));
        }
        let mut report = self.report.borrow_mut();
        report.requests += 1;
        report.words += u64::from(sample.answer != SeenAnswer::NoWord);
        drop(report);
        let broken = self
            .operator
            .with_steps(|steps| self.judge.borrow_mut().take(sample, steps, &self.touch.borrow()));
        let CallerSample { route, answer, sent_at, .. } = sample;
        let sent = sent_at.as_secs_f64();
        match broken {
            Some(BrokenPromise::Late { after }) => {
                let after = after.as_secs_f64();
                self.find(format!(
                    "{host} {id} sent {sent:.3}: {route:?} {answer:?}, {after:.3} s after it changed"
                ));
            }
            Some(BrokenPromise::WentBack) => {
                self.find(format!("{host} {id} sent {sent:.3}: {route:?} {answer:?} went back"));
            }
            None => {}
        }
    }

    /// Returns how long each document took to come in force at each host in touch, sorted.
    fn in_force_times(&self) -> Vec<Duration> {
        let touch = self.touch.borrow();
        let mut times = Vec::new();
        for (number, host) in self.fleet.hosts.iter().enumerate() {
            let lines = logs::in_force_lines(&self.fleet.log_of(&host.name), self.began_of_day);
            self.operator.with_steps(|steps| {
                for (step, StepTimes { acked_at, .. }) in steps.iter().enumerate() {
                    let Some(acked_at) = *acked_at else { continue };
                    let until = in_force_at(&lines, step, acked_at).unwrap_or(self.now());
                    if touch.in_touch(number, acked_at, until) {
                        let took = until.saturating_sub(acked_at);
                        self.tell_late(&host.name, step, took);
                        times.push(took);
                    }
                }
            });
        }
        times.sort();
        times
    }

    fn tell_late(&self, host: &str, step: usize, took: Duration) {
        if took > IN_FORCE_MAX {
            self.tell(&format!("document {step} was in force at {host} after {took:?}"));
        }
    }
}

/// Finds when a step's document, or a later one, was in force at the daemon of a log: at once if one was when it
/// was acknowledged, as a daemon may read it before the operator is answered.
fn in_force_at(lines: &[InForceLine], step: usize, acked_at: Duration) -> Option<Duration> {
    let has_it = |line: &&InForceLine| line.revision >= operator::version_of(step);
    let first = lines.iter().find(has_it)?;
    Some(first.at.max(acked_at))
}

/// Makes a run.
pub async fn run(options: &RunOptions) -> Result<RunReport, SoakError> {
    let RunOptions { seed, hosts, programs, folder, .. } = options.clone();
    let began = Instant::now();
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let began_of_day = logs::since_midnight(since_epoch);
    let key = format!("a-fleet-key-for-soak-{}-{seed}", process::id());
    let mut fleet = SoakFleet::start(FleetOptions { hosts, programs, folder, key }).await?;
    let operator = Rc::new(SoakOperator::new(fleet.platform));
    operator.step(|| began.elapsed()).await?;
    fleet.start_hosts().await?;
    let state = Rc::new(SoakState {
        fleet,
        operator,
        began,
        began_of_day,
        touch: RefCell::new(TouchRecord::new(hosts)),
        judge: RefCell::new(ConfigJudge::new(hosts)),
        report: RefCell::new(RunReport { seed, ..RunReport::default() }),
        restarting: RefCell::new(vec![false; hosts]),
        verbose: options.verbose,
        over: Cell::new(false),
    });
    monoio::time::sleep(SETTLE).await;
    // Tasks that go on for ever hold the state, so that nothing ends by being dropped.
    let result = trouble(&state, options).await;
    state.fleet.end();
    result
}

/// Lets callers, operator and troubles work on a fleet, and returns what was found.
async fn trouble(state: &Rc<SoakState>, options: &RunOptions) -> Result<RunReport, SoakError> {
    let seed = options.seed;
    let plain = Rc::<PlainRequests>::default();
    start_callers(state, &plain, seed);
    monoio::spawn(change(state.clone(), ChaCha8Rng::seed_from_u64(seed ^ 1)));
    let rng = ChaCha8Rng::seed_from_u64(seed ^ 2);
    monoio::spawn(faults::run(state.clone(), options.kinds.clone(), rng));
    monoio::time::sleep(options.length).await;
    state.over.set(true);
    let runs = all_runs(state).await?;
    for (id, fault) in plain.faults(&runs) {
        state.find(format!("{id}: {fault:?}"));
    }
    let mut report = state.report.borrow().clone();
    report.steps = state.operator.with_steps(<[_]>::len);
    report.in_force = state.in_force_times();
    let late = report.late_count();
    if late > 0 {
        report.found += late as u64;
        report
            .finds
            .push(format!("{late} times a document was in force too late at a host in touch"));
    }
    Ok(report)
}

fn start_callers(state: &Rc<SoakState>, plain: &Rc<PlainRequests>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 3);
    for (number, host) in state.fleet.hosts.iter().enumerate() {
        for caller in 0..CALLERS {
            let plan = CallerPlan {
                number,
                host: host.clone(),
                caller,
                operator: state.operator.clone(),
                plain: plain.clone(),
                began: state.began,
                rng: ChaCha8Rng::seed_from_u64(rng.random()),
            };
            let state = state.clone();
            let on_sample = move |sample, fault| state.take_sample(&sample, fault);
            monoio::spawn(callers::run(plan, on_sample));
        }
    }
}

/// Changes the configuration for ever.
async fn change(state: Rc<SoakState>, mut rng: ChaCha8Rng) {
    loop {
        let pause = Duration::from_millis(rng.random_range(CHANGE_MS));
        monoio::time::sleep(pause).await;
        if let Err(error) = state.operator.step(|| state.now()).await {
            state.find(error.to_string());
        }
    }
}

/// Returns how often each request ran on any backend server.
async fn all_runs(state: &SoakState) -> Result<FnvHashMap<String, u64>, SoakError> {
    let mut all = FnvHashMap::default();
    for host in &state.fleet.hosts {
        let client = HttpClient::new(host.backend_address(), RUNS_TIMEOUT);
        let call = client.call(Method::GET, RUNS_PATH, HeaderMap::new(), Bytes::new());
        let reply = call.await.context(CallSnafu { what: "a backend server's runs" })?;
        let runs: BackendRuns = serde_json::from_slice(&reply.body).unwrap_or_default();
        for (id, count) in runs.by_id {
            *all.entry(id).or_default() += count;
        }
    }
    Ok(all)
}
