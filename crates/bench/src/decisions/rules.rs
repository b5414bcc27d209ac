// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The ejection rules that are compared: plain rules in common use, and the rules of the daemon.

use std::collections::VecDeque;
use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::health::{THRESHOLD_DETECTION, THRESHOLD_PRECISION};

/// Failures in a row after which [`RuleKind::Consecutive`] ejects.
const CONSECUTIVE_FAILURES: f64 = 5.0;
/// Window over which [`RuleKind::Rate`] counts requests.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Minimum number of requests in the window for [`RuleKind::Rate`] to eject.
const RATE_REQUESTS_MIN: usize = 20;
/// Share of failed requests in the window from which on [`RuleKind::Rate`] ejects.
const RATE_SHARE: f64 = 0.5;
/// Time between evaluations of [`RuleKind::Outlier`].
const OUTLIER_INTERVAL: Duration = Duration::from_secs(10);
/// Standard deviations above the mean beyond which [`RuleKind::Outlier`] ejects.
const OUTLIER_DEVIATIONS: f64 = 1.9;
/// Minimum number of requests of an upstream between two evaluations for [`RuleKind::Outlier`] to
/// compare that upstream.
const OUTLIER_REQUESTS_MIN: u32 = 10;
/// Minimum number of upstreams that [`RuleKind::Outlier`] compares; with fewer upstreams the rule
/// ejects none.
const OUTLIER_UPSTREAMS_MIN: usize = 3;
/// Failed probes of the health endpoint in a row after which [`RuleKind::Probes`] ejects.
const FAILED_PROBES: f64 = 3.0;
/// Time between two probes of an upstream by one ingress.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Length of the first ejection of an upstream by a plain rule; the n-th ejection of the upstream
/// lasts n times as long.
const EJECTION_TIME: Duration = Duration::from_secs(30);
/// Least share of upstreams that a plain rule may keep ejected at the same time, whatever the
/// floor.
const EJECTION_CAP_MIN: f64 = 0.1;
/// Largest share of upstreams that a plain rule may keep ejected at the same time, whatever the
/// floor.
const EJECTION_CAP_MAX: f64 = 0.5;

/// `RuleKind` is an ejection rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RuleKind {
    /// Ejects no upstream.
    Nothing,
    /// Ejects after five failures in a row.
    Consecutive,
    /// Ejects if at least half of the requests of the last 10 s failed.
    Rate,
    /// Every 10 s, ejects upstreams whose failure rate or mean latency is over 1.9 standard
    /// deviations above the mean of the upstreams.
    Outlier,
    /// Ejects after three failed probes of the health endpoint in a row, and balances by the load
    /// that the load endpoint reports.
    Probes,
    /// The rule of the daemon, with `prefer: detection`.
    Detection,
    /// The rule of the daemon, with `prefer: precision`.
    Precision,
}

/// Every rule, in the order of the tables.
pub const RULES: [RuleKind; 7] = [
    RuleKind::Nothing,
    RuleKind::Consecutive,
    RuleKind::Rate,
    RuleKind::Outlier,
    RuleKind::Probes,
    RuleKind::Detection,
    RuleKind::Precision,
];

/// The plain rules that eject.
pub const PLAIN_RULES: [RuleKind; 4] =
    [RuleKind::Consecutive, RuleKind::Rate, RuleKind::Outlier, RuleKind::Probes];

impl RuleKind {
    /// Returns the name of the rule in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Nothing => "no ejection",
            Self::Consecutive => "5 in a row",
            Self::Rate => "rate over 10 s",
            Self::Outlier => "outlier 1.9",
            Self::Probes => "probes",
            Self::Detection => "detection",
            Self::Precision => "precision",
        }
    }

    /// Returns the default threshold of the rule; a lower threshold ejects more.
    pub fn default_threshold(self) -> f64 {
        match self {
            Self::Nothing => 0.0,
            Self::Consecutive => CONSECUTIVE_FAILURES,
            Self::Rate => RATE_SHARE,
            Self::Outlier => OUTLIER_DEVIATIONS,
            Self::Probes => FAILED_PROBES,
            Self::Detection => THRESHOLD_DETECTION,
            Self::Precision => THRESHOLD_PRECISION,
        }
    }

    /// Returns the value of the setting `prefer`, for the rules of the daemon.
    pub fn prefer(self) -> Option<EjectionPreference> {
        match self {
            Self::Detection => Some(EjectionPreference::Detection),
            Self::Precision => Some(EjectionPreference::Precision),
            _ => None,
        }
    }
}

/// `PlainUpstream` is what a plain rule has recorded about one upstream.
#[derive(Debug, Clone, Default)]
struct PlainUpstream {
    failures_in_row: u32,
    failed_probes_in_row: u32,
    /// Time of each request in the window of [`RuleKind::Rate`], and whether the request failed.
    window: VecDeque<(Duration, bool)>,
    answered_count: u32,
    failed_count: u32,
    latency_sum_s: f64,
    ejected_until: Option<Duration>,
    ejections: u32,
}

/// `PlainRule` is the state of a plain rule at one ingress. The rule sees only the requests of that
/// ingress.
#[derive(Debug, Clone)]
pub struct PlainRule {
    kind: RuleKind,
    threshold: f64,
    upstreams: Vec<PlainUpstream>,
    max_ejected: usize,
    evaluated_at: Duration,
}

impl PlainRule {
    /// Builds a rule that keeps at most the share of upstreams above the floor ejected. The share
    /// is clamped to 10 to 50%, and at least one upstream may be ejected.
    pub fn new(kind: RuleKind, threshold: f64, upstreams: usize, floor: f64) -> Self {
        let share = (1.0 - floor).clamp(EJECTION_CAP_MIN, EJECTION_CAP_MAX);
        Self {
            kind,
            threshold,
            upstreams: vec![PlainUpstream::default(); upstreams],
            max_ejected: ((upstreams as f64 * share) as usize).max(1),
            evaluated_at: Duration::ZERO,
        }
    }

    /// Returns whether the rule keeps an upstream ejected.
    pub fn is_ejected(&self, index: usize, now: Duration) -> bool {
        self.upstreams[index].ejected_until.is_some_and(|until| now < until)
    }

    /// Records the result of a request, and returns the upstreams that the rule ejects because of
    /// the result.
    pub fn note_result(
        &mut self,
        index: usize,
        failed: bool,
        latency: Duration,
        now: Duration,
    ) -> Vec<usize> {
        let upstream = &mut self.upstreams[index];
        upstream.failures_in_row = if failed { upstream.failures_in_row + 1 } else { 0 };
        upstream.answered_count += 1;
        upstream.failed_count += u32::from(failed);
        upstream.latency_sum_s += latency.as_secs_f64();
        let chosen = match self.kind {
            RuleKind::Consecutive if f64::from(upstream.failures_in_row) >= self.threshold => {
                upstream.failures_in_row = 0;
                vec![index]
            }
            RuleKind::Rate => {
                let over = upstream.is_over_rate(failed, self.threshold, now);
                if over {
                    vec![index]
                } else {
                    Vec::new()
                }
            }
            RuleKind::Outlier => self.outliers(now),
            _ => Vec::new(),
        };
        chosen.into_iter().filter(|index| self.eject(*index, now)).collect()
    }

    /// Records a probe of the health endpoint of an upstream, and returns whether the rule ejects
    /// the upstream because of the probe.
    pub fn note_probe(&mut self, index: usize, is_good: bool, now: Duration) -> bool {
        let upstream = &mut self.upstreams[index];
        upstream.failed_probes_in_row = if is_good { 0 } else { upstream.failed_probes_in_row + 1 };
        f64::from(upstream.failed_probes_in_row) >= self.threshold && self.eject(index, now)
    }

    fn eject(&mut self, index: usize, now: Duration) -> bool {
        let count = (0..self.upstreams.len()).filter(|each| self.is_ejected(*each, now)).count();
        if count >= self.max_ejected || self.is_ejected(index, now) {
            return false;
        }
        let upstream = &mut self.upstreams[index];
        upstream.ejections += 1;
        upstream.ejected_until = Some(now + EJECTION_TIME * upstream.ejections);
        upstream.window.clear();
        true
    }

    /// Returns the upstreams whose failure rate or mean latency is too far above the mean over the
    /// upstreams. Evaluates every ten seconds, and returns no upstream between two evaluations.
    fn outliers(&mut self, now: Duration) -> Vec<usize> {
        if now.saturating_sub(self.evaluated_at) < OUTLIER_INTERVAL {
            return Vec::new();
        }
        self.evaluated_at = now;
        let compared: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].answered_count >= OUTLIER_REQUESTS_MIN)
            .collect();
        let mut chosen = Vec::new();
        if compared.len() >= OUTLIER_UPSTREAMS_MIN {
            let failure_rate = |upstream: &PlainUpstream| {
                f64::from(upstream.failed_count) / f64::from(upstream.answered_count)
            };
            let mean_latency = |upstream: &PlainUpstream| {
                upstream.latency_sum_s / f64::from(upstream.answered_count)
            };
            chosen = self.outliers_by(&compared, failure_rate);
            chosen.extend(self.outliers_by(&compared, mean_latency));
        }
        for upstream in &mut self.upstreams {
            upstream.answered_count = 0;
            upstream.failed_count = 0;
            upstream.latency_sum_s = 0.0;
        }
        chosen
    }

    fn outliers_by(&self, compared: &[usize], value: impl Fn(&PlainUpstream) -> f64) -> Vec<usize> {
        let values: Vec<f64> =
            compared.iter().map(|index| value(&self.upstreams[*index])).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let squares = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
        let bound = mean + self.threshold * (squares / values.len() as f64).sqrt();
        let outlying = compared.iter().zip(&values).filter(|(_, value)| **value > bound);
        outlying.map(|(index, _)| *index).collect()
    }
}

impl PlainUpstream {
    fn is_over_rate(&mut self, failed: bool, share: f64, now: Duration) -> bool {
        self.window.push_back((now, failed));
        while self.window.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RATE_WINDOW) {
            self.window.pop_front();
        }
        let failures = self.window.iter().filter(|(_, failed)| *failed).count();
        self.window.len() >= RATE_REQUESTS_MIN
            && failures as f64 >= share * self.window.len() as f64
    }
}
