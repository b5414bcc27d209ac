// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the upstreams of a service have in common, gathered at an ingress from their reports.

use crate::evidence::ServiceBaseline;
use crate::health::HealthReport;

/// Upstreams whose reports are kept for one route: the median of 15 is steady, and their reports
/// fit in a kilobyte.
const REPORTS_MAX: usize = 15;
/// Requests that a report must stand on.
const SAMPLES_MIN: u32 = 3;

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
    /// Takes a report of the upstream with this number in.
    pub fn note(&mut self, upstream: u32, report: &HealthReport) {
        if report.samples < SAMPLES_MIN {
            return;
        }
        let kept = KeptReport { upstream, report: *report };
        let known = self.reports.iter().position(|each| each.upstream == upstream);
        match known {
            Some(index) => self.reports[index] = kept,
            None if self.reports.len() < REPORTS_MAX => self.reports.push(kept),
            None => {
                self.reports[self.oldest] = kept;
                self.oldest = (self.oldest + 1) % REPORTS_MAX;
            }
        }
        self.refresh();
    }

    fn refresh(&mut self) {
        self.current = ServiceBaseline {
            median_ln: self.median(|report| report.median_ln),
            spread: self.median(|report| report.spread),
            failure_rate: self.median(|report| report.failure_rate),
            overdue_rate: self.median(|report| report.overdue_rate),
            sickness: self.median(|report| report.sickness),
            upstreams: self.reports.len() as u32,
        };
    }

    fn median(&self, value: impl Fn(&HealthReport) -> f64) -> f64 {
        let mut values = [0.0; REPORTS_MAX];
        let count = self.reports.len();
        for (place, kept) in values.iter_mut().zip(&self.reports) {
            *place = value(&kept.report);
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
