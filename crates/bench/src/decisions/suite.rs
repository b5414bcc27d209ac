// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs the scenarios of a suite on all processors and collects their results.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::decisions::measure::RunResult;
use crate::decisions::rules::RuleKind;
use crate::decisions::scenario::{FaultCase, LoadLevel, ScenarioPlan, ServiceDeployment, CASES};
use crate::decisions::world::DecisionWorld;

/// Number of severities of each case; the severities are numbered from 0.
pub const SEVERITY_COUNT: usize = 5;

/// `RunKey` identifies a run of a suite.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunKey {
    /// Index of the case in [`CASES`].
    pub case: usize,
    /// Severity from 0 to 4.
    pub severity: usize,
    /// Index of the load in [`SuitePlan::loads`].
    pub load: usize,
    /// Index of the deployment in [`SuitePlan::deployments`].
    pub deployment: usize,
    /// Ejection rule that decides in the run.
    pub rule: RuleKind,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// `SuitePlan` is the set of runs of a suite: all combinations of its lists.
#[derive(Debug, Clone)]
pub struct SuitePlan {
    /// Indices of the cases in [`CASES`].
    pub cases: Vec<usize>,
    /// Severities, each from 0 to 4.
    pub severities: Vec<usize>,
    /// Loads on the service.
    pub loads: Vec<LoadLevel>,
    /// Deployments of the service.
    pub deployments: Vec<ServiceDeployment>,
    /// Ejection rules that are compared.
    pub rules: Vec<RuleKind>,
    /// Seeds of the random numbers.
    pub seeds: Vec<u64>,
    /// Threshold of all rules; `None` for the [`RuleKind::default_threshold`] of each rule.
    pub threshold: Option<f64>,
}

impl SuitePlan {
    fn keys(&self) -> Vec<RunKey> {
        let mut keys = Vec::new();
        for &case in &self.cases {
            for &severity in &self.severities {
                for load in 0..self.loads.len() {
                    for deployment in 0..self.deployments.len() {
                        for &rule in &self.rules {
                            for &seed in &self.seeds {
                                keys.push(RunKey { case, severity, load, deployment, rule, seed });
                            }
                        }
                    }
                }
            }
        }
        keys
    }
}

/// Runs a suite. The results are sorted by key and don't depend on the number of threads.
pub fn run(plan: &SuitePlan) -> Vec<(RunKey, RunResult)> {
    let keys = plan.keys();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(keys.len()));
    let threads = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let key = match keys.get(index) {
                    Some(key) => *key,
                    None => return,
                };
                let result = run_scenario(plan, &key);
                if let Ok(mut results) = results.lock() {
                    results.push((key, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(key, _)| *key);
    results
}

fn run_scenario(plan: &SuitePlan, key: &RunKey) -> RunResult {
    let case: &FaultCase = &CASES[key.case];
    let scenario = ScenarioPlan {
        deployment: plan.deployments[key.deployment],
        load: plan.loads[key.load],
        script: (case.script)(key.severity),
        one_is_faulty: case.one_is_faulty,
        seed: key.seed,
    };
    let threshold = plan.threshold.unwrap_or(key.rule.default_threshold());
    DecisionWorld::new(scenario, key.rule, threshold).run()
}

/// `RuleSummary` aggregates the runs of one rule.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RuleSummary {
    /// Number of runs.
    pub run_count: usize,
    /// Number of runs in which the faulty upstream stopped receiving requests.
    pub detected_run_count: usize,
    /// Median of the detection times; a run without detection counts as longer than all others.
    pub detection_median: Option<Duration>,
    /// 99th percentile of the detection times: 99 in 100 runs took no longer.
    pub detection_p99: Option<Duration>,
    /// Median number of requests that the faulty upstream received until its detection.
    pub received_median: u64,
    /// False ejections per upstream-hour.
    pub false_ejections_hour: f64,
    /// Requests that failed for callers during the fault, as a share of all requests of the runs.
    pub failed_share: f64,
    /// Requests that were slow for callers during the fault, as a share of all requests of the
    /// runs.
    pub slow_share: f64,
    /// Fewest slots in service in any run, as a ratio to the slots that the floor requires.
    pub lowest_floor_ratio: f64,
    /// Number of runs in which ejections left fewer slots in service than the floor requires.
    pub floor_broken_run_count: usize,
    /// Median time from the end of the fault to the return of the faulty upstream.
    pub returned_median: Option<Duration>,
}

/// Aggregates the results of one rule. Detection and return are left out unless `one_is_faulty`.
pub fn summarize<'a>(
    results: impl Iterator<Item = &'a RunResult>,
    one_is_faulty: bool,
) -> RuleSummary {
    let results: Vec<&RunResult> = results.collect();
    let mut summary = RuleSummary { run_count: results.len(), ..RuleSummary::default() };
    let sum =
        |value: fn(&RunResult) -> f64| results.iter().map(|result| value(result)).sum::<f64>();
    let requests = sum(|result| result.request_count as f64).max(1.0);
    summary.false_ejections_hour =
        sum(|result| result.false_ejections) / sum(|result| result.upstream_hours).max(1e-9);
    summary.failed_share = sum(|result| result.failed_count as f64) / requests;
    summary.slow_share = sum(|result| result.slow_count as f64) / requests;
    summary.floor_broken_run_count = results.iter().filter(|result| result.floor_broken).count();
    summary.lowest_floor_ratio =
        results.iter().map(|result| result.lowest_floor_ratio).fold(f64::INFINITY, f64::min);
    if !one_is_faulty {
        return summary;
    }
    summary.detected_run_count =
        results.iter().filter(|result| result.detection_time.is_some()).count();
    let never_detected = Duration::MAX;
    let mut times: Vec<Duration> =
        results.iter().map(|result| result.detection_time.unwrap_or(never_detected)).collect();
    times.sort();
    summary.detection_median = quantile(&times, 0.5).filter(|time| *time != never_detected);
    summary.detection_p99 = quantile(&times, 0.99).filter(|time| *time != never_detected);
    let mut received_counts: Vec<u64> =
        results.iter().map(|result| result.received_count).collect();
    received_counts.sort();
    summary.received_median = quantile(&received_counts, 0.5).unwrap_or(0);
    let mut return_times: Vec<Duration> =
        results.iter().filter_map(|result| result.return_time).collect();
    return_times.sort();
    summary.returned_median = quantile(&return_times, 0.5);
    summary
}

fn quantile<T: Copy>(sorted: &[T], share: f64) -> Option<T> {
    let index = ((sorted.len() as f64 * share).ceil() as usize).saturating_sub(1);
    sorted.get(index).copied()
}
