// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Measurements of a run of the decision bench.

use std::time::Duration;

use crate::decisions::world::{DecisionWorld, FAULTY_UPSTREAM};

/// Time without requests after which an upstream counts as taken out of service, as a multiple of
/// the mean time between requests to the upstream.
const IDLE_GAPS: u32 = 25;
/// Minimum time without requests after which an upstream counts as taken out of service.
const IDLE_TIME_MIN: Duration = Duration::from_millis(1000);

/// `RunResult` holds the measurements of one run.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// Time from the fault until the last request that the faulty upstream received; `None` if the
    /// upstream did not stop receiving requests.
    pub detection_time: Option<Duration>,
    /// Number of requests that the faulty upstream received from the fault until its detection.
    pub received_count: u64,
    /// Number of ejections of upstreams that were not faulty. An ejection by one of several
    /// ingresses counts as a fraction.
    pub false_ejections: f64,
    /// Upstream-hours of the run, by which the false ejections are divided.
    pub upstream_hours: f64,
    /// Number of requests that callers sent.
    pub request_count: u64,
    /// Number of requests that arrived while the fault lasted and failed for the caller.
    pub failed_count: u64,
    /// Number of requests that arrived while the fault lasted and got a successful but slow
    /// response.
    pub slow_count: u64,
    /// Fewest slots in service in the view of any ingress that avoided an upstream at the time, as
    /// a ratio to the slots that the floor requires.
    pub lowest_floor_ratio: f64,
    /// Whether ejections left fewer slots in service than the floor of the service requires.
    pub floor_broken: bool,
    /// Time from the end of the fault until the faulty upstream returned; `None` if the upstream
    /// was not ejected when the fault ended, or did not return.
    pub return_time: Option<Duration>,
}

impl DecisionWorld {
    /// Records when, after the fault, the faulty upstream is no longer ejected at any ingress under
    /// a plain rule.
    pub(super) fn note_plain_return(&mut self) {
        if !self.plan.one_is_faulty || self.now < self.plan.fault_end() {
            return;
        }
        let now = self.now;
        let ejected =
            self.ingresses.iter().any(|ingress| ingress.rule.is_ejected(FAULTY_UPSTREAM, now));
        self.ejected_after_fault |= ejected;
        if self.ejected_after_fault && !ejected {
            self.returned_at.get_or_insert(now);
        }
    }

    /// Records the ratio of the slots in service to the floor, after each decision.
    pub(super) fn note_capacity(&mut self, request_index: usize) {
        let view = &self.ingresses[self.requests[request_index].ingress].view;
        let plan = view.plan();
        let is_plain_rule = self.rule.prefer().is_none();
        let has_plain_ejection =
            is_plain_rule && view.upstreams().iter().any(|upstream| upstream.draining);
        if (has_plain_ejection || plan.avoided.iter().any(|avoided| *avoided)) && plan.floor > 0 {
            let floor_ratio = f64::from(plan.in_service) / f64::from(plan.floor);
            self.result.lowest_floor_ratio = self.result.lowest_floor_ratio.min(floor_ratio);
        }
        self.result.floor_broken |= view.violations() > 0;
    }

    pub(super) fn note_ejection(&mut self, index: usize, fraction: f64) {
        let is_faulty = self.plan.one_is_faulty
            && index == FAULTY_UPSTREAM
            && self.now >= self.plan.fault_begin();
        if !is_faulty {
            self.result.false_ejections += fraction;
        }
    }

    pub(super) fn note_return(&mut self, index: usize) {
        if self.plan.one_is_faulty && index == FAULTY_UPSTREAM && self.now >= self.plan.fault_end()
        {
            self.returned_at.get_or_insert(self.now);
        }
    }

    pub(super) fn finish(mut self) -> RunResult {
        let upstreams = self.upstreams.len() as f64;
        self.result.upstream_hours = upstreams * self.plan.end().as_secs_f64() / 3600.0;
        if self.plan.one_is_faulty {
            self.measure_detection();
            self.result.return_time =
                self.returned_at.map(|at| at.saturating_sub(self.plan.fault_end()));
        }
        self.result
    }

    /// Finds the last request that the faulty upstream received before the first long time without
    /// requests, and records the time from the fault until that request as the detection time.
    pub(super) fn measure_detection(&mut self) {
        let begin = self.plan.fault_begin();
        let end = self.plan.fault_end();
        let upstream_gap = self.plan.mean_gap() * self.upstreams.len() as u32;
        let idle_time = (upstream_gap * IDLE_GAPS).max(IDLE_TIME_MIN);
        let mut last = begin;
        for at in
            self.upstreams[FAULTY_UPSTREAM].accepted.iter().filter(|at| (begin..end).contains(*at))
        {
            if *at - last > idle_time {
                break;
            }
            last = *at;
            self.result.received_count += 1;
        }
        let stopped = end.saturating_sub(last) > idle_time;
        self.result.detection_time = stopped.then(|| last - begin);
    }
}
