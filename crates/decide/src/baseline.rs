// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The baseline of a service: the latencies and failure rates that its upstreams have in common,
//! collected at an ingress.
//!
//! The upstreams' reports give the typical values of a route. The reports follow a change within a
//! dozen requests at each upstream. The most recent answers of all upstreams together show a change
//! that the upstreams share sooner.

use std::time::Duration;

use crate::evidence::{self, ServiceBaseline};
use crate::health::HealthReport;

/// Upstreams whose reports are kept for one route: the median of 15 reports is stable, and 15
/// reports fit in a kilobyte.
const REPORTS_MAX: usize = 15;
/// Fewest requests that a report must be based on to be kept.
const REPORT_SAMPLES_MIN: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct KeptReport {
    upstream: u32,
    report: HealthReport,
}

/// `RouteBaseline` keeps the last reports of a route's upstreams and their median.
#[derive(Debug, Clone, Default)]
pub struct RouteBaseline {
    reports: Vec<KeptReport>,
    oldest: usize,
    current: ServiceBaseline,
}

impl RouteBaseline {
    /// Records a report of the upstream with this number.
    pub fn note(&mut self, upstream: u32, report: &HealthReport) {
        if report.samples < REPORT_SAMPLES_MIN {
            return;
        }
        let kept_report = KeptReport { upstream, report: *report };
        let position = self.reports.iter().position(|each| each.upstream == upstream);
        match position {
            Some(index) => self.reports[index] = kept_report,
            None if self.reports.len() < REPORTS_MAX => self.reports.push(kept_report),
            None => {
                self.reports[self.oldest] = kept_report;
                self.oldest = (self.oldest + 1) % REPORTS_MAX;
            }
        }
        self.recompute_medians();
    }

    fn recompute_medians(&mut self) {
        self.current = ServiceBaseline {
            median_ln: self.median(|report| report.median_ln),
            spread: self.median(|report| report.spread),
            failure_rate: self.median(|report| report.failure_rate),
            overdue_rate: self.median(|report| report.overdue_rate),
            sickness: 0.0,
            upstreams: self.reports.len() as u32,
        };
    }

    fn median(&self, value: impl Fn(&HealthReport) -> f64) -> f64 {
        let mut values = [0.0; REPORTS_MAX];
        let count = self.reports.len();
        for (slot, kept) in values.iter_mut().zip(&self.reports) {
            *slot = value(&kept.report);
        }
        let values = &mut values[..count];
        let middle = (count - 1) / 2;
        let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Returns the baseline.
    pub fn current(&self) -> ServiceBaseline {
        self.current
    }
}

/// Answers kept of a service: about two for each upstream of a service of the required size.
const ANSWERS_MAX: usize = 32;
/// Age from which an answer is no evidence of the current state of the upstream that sent it.
const ANSWER_LIFE: Duration = Duration::from_secs(5);
/// Fewest answers of other upstreams from which a shared change is detected.
const OTHER_ANSWERS_MIN: usize = 6;
/// Other upstreams that must have failed before failures count as shared, in a large service.
const FAILED_UPSTREAMS_MIN: usize = 3;
/// Share of the other upstreams that must have failed before failures count as shared.
const FAILED_UPSTREAMS_SHARE: f64 = 0.25;
/// Standard deviations above the baseline's median from which the median service time of the other
/// upstreams' answers counts as a shared change. The noise of a median of a few answers is smaller.
const SHARED_SHIFT_MIN: f64 = 0.4;

/// Most recent answers of other upstreams that must all be late for a shared change to be detected
/// before the median of [`ANSWERS_MAX`] answers shows the change. Four answers are all late by
/// [`SHARED_SHIFT_MIN`] by chance once in 70 times.
const LATEST_ANSWERS_COMPARED: usize = 4;

#[derive(Debug, Clone, Copy)]
struct KeptAnswer {
    upstream: u32,
    at: Duration,
    failed: bool,
    deviations: Option<f64>,
}

/// `RecentAnswers` keeps the most recent answers of a service's upstreams, to detect a change that
/// they share before their own reports show it.
#[derive(Debug, Clone, Default)]
pub struct RecentAnswers {
    answers: Vec<KeptAnswer>,
    oldest: usize,
}

impl RecentAnswers {
    /// Records an answer; `took` is the service time, if the answer can be compared by its time.
    pub fn note(
        &mut self,
        upstream: u32,
        failed: bool,
        took: Option<Duration>,
        baseline: &ServiceBaseline,
        now: Duration,
    ) {
        let deviations = took.filter(|_| baseline.is_usable()).map(|took| {
            let distance = evidence::log_micros(took) - baseline.median_ln;
            distance / baseline.spread.max(crate::estimates::SPREAD_MIN)
        });
        let kept_answer = KeptAnswer { upstream, at: now, failed, deviations };
        if self.answers.len() < ANSWERS_MAX {
            self.answers.push(kept_answer);
            return;
        }
        self.answers[self.oldest] = kept_answer;
        self.oldest = (self.oldest + 1) % ANSWERS_MAX;
    }

    /// Raises the failure rate and the median service time of a baseline to those of the recent
    /// answers of the upstreams other than `upstream`, if these answers show a shared change.
    pub fn adjust(&self, upstream: u32, baseline: &mut ServiceBaseline, now: Duration) {
        let recent = |answer: &&KeptAnswer| {
            answer.upstream != upstream && now.saturating_sub(answer.at) < ANSWER_LIFE
        };
        let answers_of_others = self.answers.iter().filter(recent);
        let (mut count, mut failures) = (0, 0);
        let mut deviations = [0.0; ANSWERS_MAX];
        let mut timed_count = 0;
        let mut upstreams = [0; ANSWERS_MAX];
        let mut failed_upstreams = [0; ANSWERS_MAX];
        let (mut upstream_count, mut failed_count) = (0, 0);
        for answer in answers_of_others {
            count += 1;
            push_distinct(&mut upstreams, &mut upstream_count, answer.upstream);
            if answer.failed {
                failures += 1;
                push_distinct(&mut failed_upstreams, &mut failed_count, answer.upstream);
            }
            if let Some(value) = answer.deviations {
                deviations[timed_count] = value;
                timed_count += 1;
            }
        }
        if count < OTHER_ANSWERS_MIN {
            return;
        }
        let share = failed_count as f64 / upstream_count as f64;
        // Two of five other upstreams must have failed, and three of seven or more.
        let needed = upstream_count.div_ceil(3).clamp(2, FAILED_UPSTREAMS_MIN);
        if failed_count >= needed && share >= FAILED_UPSTREAMS_SHARE {
            let rate = f64::from(failures) / count as f64;
            baseline.failure_rate = baseline.failure_rate.max(rate);
        }
        if timed_count < OTHER_ANSWERS_MIN {
            return;
        }
        let latest = self.latest_shift(upstream, now);
        let deviations = &mut deviations[..timed_count];
        let (_, median, _) = deviations.select_nth_unstable_by(timed_count / 2, f64::total_cmp);
        let shift = median.max(latest);
        if shift > SHARED_SHIFT_MIN {
            baseline.median_ln += shift * baseline.spread;
        }
    }

    /// Returns the smallest deviation among the most recent answers of upstreams other than
    /// `upstream`: each of these answers is late by at least the returned deviation.
    fn latest_shift(&self, upstream: u32, now: Duration) -> f64 {
        let (older, newer) = self.answers.split_at(self.oldest);
        let newest_first = older.iter().rev().chain(newer.iter().rev());
        let answers_of_others = newest_first.filter(|answer| {
            answer.upstream != upstream && now.saturating_sub(answer.at) < ANSWER_LIFE
        });
        answers_of_others
            .filter_map(|answer| answer.deviations)
            .take(LATEST_ANSWERS_COMPARED)
            .fold(f64::INFINITY, f64::min)
    }
}

fn push_distinct(list: &mut [u32], len: &mut usize, value: u32) {
    if !list[..*len].contains(&value) {
        list[*len] = value;
        *len += 1;
    }
}
