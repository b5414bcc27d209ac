// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The rules that are compared: plain ones in common use, and the daemon's own.

use std::collections::VecDeque;
use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use basaltarch_decide::health::{THRESHOLD_DETECTION, THRESHOLD_PRECISION};

/// Failures in a row after which the first plain rule ejects.
const CONSECUTIVE: f64 = 5.0;
/// Window of the second plain rule.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Fewest requests in the window.
const RATE_VOLUME: usize = 20;
/// Share of failures in the window from which the second plain rule ejects.
const RATE_SHARE: f64 = 0.5;
/// Time between judgements of the third plain rule.
const OUTLIER_EVERY: Duration = Duration::from_secs(10);
/// Deviations from the mean beyond which the third plain rule ejects.
const OUTLIER_DEVIATIONS: f64 = 1.9;
/// Fewest requests of an upstream between two judgements.
const OUTLIER_VOLUME: u32 = 10;
/// Fewest upstreams with that many requests.
const OUTLIER_UPSTREAMS: usize = 3;
/// Bad answers of the health endpoint in a row after which the fourth plain rule ejects.
const PROBES_BAD: f64 = 3.0;
/// Time between two probes of an upstream by one ingress.
pub const PROBE_EVERY: Duration = Duration::from_secs(5);
/// Time of the first ejection by a plain rule; the n-th takes n times as long.
const EJECTION_TIME: Duration = Duration::from_secs(30);
/// Bounds of the share of upstreams that a plain rule may eject.
const CAP_MIN: f64 = 0.1;
const CAP_MAX: f64 = 0.5;

/// `RuleKind` names a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RuleKind {
    /// Nothing is ejected.
    Nothing,
    /// Five failures in a row.
    Consecutive,
    /// Half of the requests of the last 10 s failed.
    Rate,
    /// Success rate or latency 1.9 deviations from the mean, every 10 s.
    Outlier,
    /// Three bad answers of the health endpoint in a row; balances by the load that is claimed.
    Probes,
    /// The daemon's, with `prefer: detection`.
    Detection,
    /// The daemon's, with `prefer: precision`.
    Precision,
}

/// Every rule.
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
    /// Returns the name in tables.
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

    /// Returns the parameter of the rule by which it is made stricter or laxer.
    pub fn usual_strictness(self) -> f64 {
        match self {
            Self::Nothing => 0.0,
            Self::Consecutive => CONSECUTIVE,
            Self::Rate => RATE_SHARE,
            Self::Outlier => OUTLIER_DEVIATIONS,
            Self::Probes => PROBES_BAD,
            Self::Detection => THRESHOLD_DETECTION,
            Self::Precision => THRESHOLD_PRECISION,
        }
    }

    /// Returns the daemon's setting, for the daemon's rules.
    pub fn prefer(self) -> Option<EjectionPreference> {
        match self {
            Self::Detection => Some(EjectionPreference::Detection),
            Self::Precision => Some(EjectionPreference::Precision),
            _ => None,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct PlainUpstream {
    row: u32,
    bad_probes: u32,
    window: VecDeque<(Duration, bool)>,
    answered: u32,
    failed: u32,
    time_sum: f64,
    ejected_until: Option<Duration>,
    ejections: u32,
}

/// `PlainRule` is a plain rule at one ingress, which sees the requests that it sent itself.
#[derive(Debug, Clone)]
pub struct PlainRule {
    kind: RuleKind,
    strictness: f64,
    upstreams: Vec<PlainUpstream>,
    cap: usize,
    judged_at: Duration,
}

impl PlainRule {
    /// Builds a rule; it ejects no more than the floor leaves, within 10 to 50%.
    pub fn new(kind: RuleKind, strictness: f64, upstreams: usize, floor: f64) -> Self {
        let share = (1.0 - floor).clamp(CAP_MIN, CAP_MAX);
        Self {
            kind,
            strictness,
            upstreams: vec![PlainUpstream::default(); upstreams],
            cap: ((upstreams as f64 * share) as usize).max(1),
            judged_at: Duration::ZERO,
        }
    }

    /// Says whether an upstream is ejected.
    pub fn is_ejected(&self, index: usize, now: Duration) -> bool {
        self.upstreams[index].ejected_until.is_some_and(|until| now < until)
    }

    /// Takes the result of a request in; returns the upstreams that are ejected for it.
    pub fn note(
        &mut self,
        index: usize,
        failed: bool,
        latency: Duration,
        now: Duration,
    ) -> Vec<usize> {
        let upstream = &mut self.upstreams[index];
        upstream.row = if failed { upstream.row + 1 } else { 0 };
        upstream.answered += 1;
        upstream.failed += u32::from(failed);
        upstream.time_sum += latency.as_secs_f64();
        let chosen = match self.kind {
            RuleKind::Consecutive if f64::from(upstream.row) >= self.strictness => {
                upstream.row = 0;
                vec![index]
            }
            RuleKind::Rate => {
                let over = upstream.is_over_rate(failed, self.strictness, now);
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

    /// Takes an answer of an upstream's health endpoint in; says whether it is ejected for it.
    pub fn note_probe(&mut self, index: usize, good: bool, now: Duration) -> bool {
        let upstream = &mut self.upstreams[index];
        upstream.bad_probes = if good { 0 } else { upstream.bad_probes + 1 };
        f64::from(upstream.bad_probes) >= self.strictness && self.eject(index, now)
    }

    fn eject(&mut self, index: usize, now: Duration) -> bool {
        let count = (0..self.upstreams.len()).filter(|each| self.is_ejected(*each, now)).count();
        if count >= self.cap || self.is_ejected(index, now) {
            return false;
        }
        let upstream = &mut self.upstreams[index];
        upstream.ejections += 1;
        upstream.ejected_until = Some(now + EJECTION_TIME * upstream.ejections);
        upstream.window.clear();
        true
    }

    /// Judges all upstreams by their distance from the mean, every ten seconds.
    fn outliers(&mut self, now: Duration) -> Vec<usize> {
        if now.saturating_sub(self.judged_at) < OUTLIER_EVERY {
            return Vec::new();
        }
        self.judged_at = now;
        let counted: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| self.upstreams[*index].answered >= OUTLIER_VOLUME)
            .collect();
        let mut chosen = Vec::new();
        if counted.len() >= OUTLIER_UPSTREAMS {
            let failures = |upstream: &PlainUpstream| {
                f64::from(upstream.failed) / f64::from(upstream.answered)
            };
            let times = |upstream: &PlainUpstream| upstream.time_sum / f64::from(upstream.answered);
            chosen = self.beyond(&counted, failures);
            chosen.extend(self.beyond(&counted, times));
        }
        for upstream in &mut self.upstreams {
            upstream.answered = 0;
            upstream.failed = 0;
            upstream.time_sum = 0.0;
        }
        chosen
    }

    fn beyond(&self, counted: &[usize], value: impl Fn(&PlainUpstream) -> f64) -> Vec<usize> {
        let values: Vec<f64> = counted.iter().map(|index| value(&self.upstreams[*index])).collect();
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        let square = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
        let bound = mean + self.strictness * (square / values.len() as f64).sqrt();
        let far = counted.iter().zip(&values).filter(|(_, value)| **value > bound);
        far.map(|(index, _)| *index).collect()
    }
}

impl PlainUpstream {
    fn is_over_rate(&mut self, failed: bool, share: f64, now: Duration) -> bool {
        self.window.push_back((now, failed));
        while self.window.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RATE_WINDOW) {
            self.window.pop_front();
        }
        let failures = self.window.iter().filter(|(_, failed)| *failed).count();
        self.window.len() >= RATE_VOLUME && failures as f64 >= share * self.window.len() as f64
    }
}
