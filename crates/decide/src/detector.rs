// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Detects from live requests that an upstream has become worse than its siblings.
//!
//! The detector keeps one-sided cumulative sums of log-likelihood ratios (CUSUM; E. S. Page,
//! "Continuous inspection schemes", Biometrika 1954). Each sum compares the hypothesis that the
//! upstream behaves like its siblings with the hypothesis of one kind of anomaly. On average, a
//! healthy upstream reaches a sum of `h` at most once in `exp(h)` requests (G. Lorden, "Procedures
//! for reacting to a change in distribution", 1971), so the threshold bounds the rate of false
//! ejections.

use std::time::Duration;

use crate::estimates::SPREAD_MIN;
use crate::evidence::{self, RequestEvidence, ServiceBaseline};

/// Lowest failure rate that is assumed of a healthy upstream: callers and networks fail too.
const ASSUMED_FAILURE_RATE: f64 = 0.01;
/// Lowest share of overdue requests that is assumed of a healthy upstream.
const ASSUMED_OVERDUE_RATE: f64 = 0.02;
/// Highest baseline rate at which an upstream can still be distinguished from its siblings.
const RATE_MAX: f64 = 0.6;
/// Failure rate of an upstream that mostly fails.
const STRONG_RATE: f64 = 0.5;
/// Failure rate of an upstream that fails in part, for instance on one route of ten.
const WEAK_RATE: f64 = 0.12;
/// Shift of the mean, in deviations, that the sum of service times is designed to detect.
const DETECTED_SHIFT_DEVIATIONS: f64 = 1.0;
/// Deviations at which a service time is clipped, so that a single very slow answer is not enough
/// evidence for an ejection.
const SHIFT_CLIP_DEVIATIONS: f64 = 2.5;
/// Shift, in deviations, that the mix of requests alone may cause. Only the part of a shift beyond
/// this value counts as evidence.
const SHIFT_SLACK_DEVIATIONS: f64 = 0.25;
/// Weight of the evidence of a request that was given up before it was overdue: service times have
/// heavier tails than the evidence assumes, and with the full weight a healthy upstream was ejected
/// 0.12 times an hour instead of 0.04 in simulations.
const GIVEN_UP_WEIGHT: f64 = 0.5;
/// Upper bound of a sum, in multiples of the threshold, so that the sum falls below the threshold
/// soon after an upstream has recovered.
const SUM_MAX_THRESHOLDS: f64 = 4.0;

/// `EvidenceKind` is the kind of anomaly that a sum detects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceKind {
    /// Most requests fail.
    Failing,
    /// Some requests fail.
    FailingPartly,
    /// Requests take longer in general.
    Slow,
    /// Many requests take much longer, or hang.
    Overdue,
    /// Some requests take much longer.
    OverduePartly,
}

/// Every kind, in the order of the sums.
pub const EVIDENCE_KINDS: [EvidenceKind; 5] = [
    EvidenceKind::Failing,
    EvidenceKind::FailingPartly,
    EvidenceKind::Slow,
    EvidenceKind::Overdue,
    EvidenceKind::OverduePartly,
];

impl EvidenceKind {
    /// Returns the name in logs and tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::FailingPartly => "failing-partly",
            Self::Slow => "slow",
            Self::Overdue => "overdue",
            Self::OverduePartly => "overdue-partly",
        }
    }
}

/// `AnomalyDetector` keeps the sums of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnomalyDetector {
    sums: [f64; EVIDENCE_KINDS.len()],
    threshold: f64,
}

impl AnomalyDetector {
    /// Builds a detector that a healthy upstream triggers once in `exp(threshold)` requests.
    pub fn new(threshold: f64) -> Self {
        Self { sums: [0.0; EVIDENCE_KINDS.len()], threshold }
    }

    /// Changes the threshold; the sums are kept.
    pub fn set_threshold(&mut self, threshold: f64) {
        self.threshold = threshold;
    }

    /// Records the end of a request. `was_overdue` says whether [`Self::note_overdue`] was already
    /// called for the request.
    pub fn note(
        &mut self,
        evidence: RequestEvidence,
        was_overdue: bool,
        baseline: &ServiceBaseline,
    ) {
        match evidence {
            RequestEvidence::Neutral => {}
            RequestEvidence::Failed => self.note_failure(true, baseline),
            RequestEvidence::Untimed => self.note_failure(false, baseline),
            RequestEvidence::Answered(latency) => {
                self.note_failure(false, baseline);
                self.note_latency(latency, was_overdue, baseline);
            }
        }
    }

    /// Records the end of a request without its service time, as for a server that is still cold.
    pub fn note_untimed(&mut self, evidence: RequestEvidence, baseline: &ServiceBaseline) {
        match evidence {
            RequestEvidence::Neutral => {}
            RequestEvidence::Failed => self.note_failure(true, baseline),
            RequestEvidence::Answered(_) | RequestEvidence::Untimed => {
                self.note_failure(false, baseline);
            }
        }
    }

    fn note_failure(&mut self, failed: bool, baseline: &ServiceBaseline) {
        let usual = usual_rate(baseline.failure_rate, ASSUMED_FAILURE_RATE, baseline);
        self.add_evidence(EvidenceKind::Failing, log_ratio(failed, usual, strong_rate(usual)));
        self.add_evidence(EvidenceKind::FailingPartly, log_ratio(failed, usual, weak_rate(usual)));
    }

    fn note_latency(&mut self, latency: Duration, was_overdue: bool, baseline: &ServiceBaseline) {
        if !baseline.is_usable() {
            return;
        }
        if !was_overdue {
            self.add_overdue(latency > baseline.overdue_after(), baseline);
        }
        let spread = baseline.spread.max(SPREAD_MIN);
        let distance = evidence::log_micros(latency) - baseline.median_ln;
        let deviations = (distance / spread).clamp(-SHIFT_CLIP_DEVIATIONS, SHIFT_CLIP_DEVIATIONS);
        let step = DETECTED_SHIFT_DEVIATIONS * (deviations - SHIFT_SLACK_DEVIATIONS)
            - DETECTED_SHIFT_DEVIATIONS.powi(2) / 2.0;
        self.add_evidence(EvidenceKind::Slow, step);
    }

    /// Records that a request, still running, is overdue.
    pub fn note_overdue(&mut self, baseline: &ServiceBaseline) {
        if baseline.is_usable() {
            self.add_overdue(true, baseline);
        }
    }

    /// Records that a request was given up before it was overdue; `evidence` is the log-likelihood
    /// ratio of a hang at that moment.
    pub fn note_given_up(&mut self, evidence: f64) {
        self.add_evidence(EvidenceKind::Overdue, evidence * GIVEN_UP_WEIGHT);
    }

    fn add_overdue(&mut self, overdue: bool, baseline: &ServiceBaseline) {
        let usual = usual_rate(baseline.overdue_rate, ASSUMED_OVERDUE_RATE, baseline);
        self.add_evidence(EvidenceKind::Overdue, log_ratio(overdue, usual, strong_rate(usual)));
        self.add_evidence(EvidenceKind::OverduePartly, log_ratio(overdue, usual, weak_rate(usual)));
    }

    /// Withdraws a failure, as the request failed at another upstream as well.
    pub fn withdraw_failure(&mut self, baseline: &ServiceBaseline) {
        let usual = usual_rate(baseline.failure_rate, ASSUMED_FAILURE_RATE, baseline);
        self.add_evidence(EvidenceKind::Failing, -log_ratio(true, usual, strong_rate(usual)));
        self.add_evidence(EvidenceKind::FailingPartly, -log_ratio(true, usual, weak_rate(usual)));
    }

    fn add_evidence(&mut self, kind: EvidenceKind, step: f64) {
        let cap = SUM_MAX_THRESHOLDS * self.threshold;
        let sum = &mut self.sums[kind as usize];
        *sum = (*sum + step).clamp(0.0, cap);
    }

    /// Returns the anomaly score: the largest sum in multiples of the threshold. At a score of 1 or
    /// more, the requests alone show an anomaly, whatever the state of the siblings.
    pub fn score(&self) -> f64 {
        self.largest_sum().1 / self.threshold
    }

    /// Returns the kind of evidence behind the anomaly score.
    pub fn reason(&self) -> EvidenceKind {
        EVIDENCE_KINDS[self.largest_sum().0]
    }

    fn largest_sum(&self) -> (usize, f64) {
        let mut largest_sum = (0, self.sums[0]);
        for (index, sum) in self.sums.iter().enumerate() {
            if *sum > largest_sum.1 {
                largest_sum = (index, *sum);
            }
        }
        largest_sum
    }

    /// Clears the sums, after the upstream has passed its trials.
    pub fn reset(&mut self) {
        self.sums = [0.0; EVIDENCE_KINDS.len()];
    }
}

fn usual_rate(rate: f64, lower_bound: f64, baseline: &ServiceBaseline) -> f64 {
    if baseline.is_usable() {
        rate.clamp(lower_bound, RATE_MAX)
    } else {
        lower_bound
    }
}

fn strong_rate(usual: f64) -> f64 {
    // Halfway between the usual rate and 1, and at least a half.
    STRONG_RATE.max((1.0 + usual) / 2.0)
}

fn weak_rate(usual: f64) -> f64 {
    // Three times the usual rate, but never close to 1.
    WEAK_RATE.max((usual * 3.0).min((1.0 + usual) / 2.0))
}

/// Returns the log-likelihood ratio of the anomalous rate against the usual one for one request;
/// `is_true` says whether the request failed or was overdue.
fn log_ratio(is_true: bool, usual: f64, anomalous: f64) -> f64 {
    if is_true {
        (anomalous / usual).ln()
    } else {
        ((1.0 - anomalous) / (1.0 - usual)).ln()
    }
}
