// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What came of a run.

use std::time::Duration;

use crate::decisions::world::{World, SICK};

/// Quiet time, in mean times between an upstream's requests, after which the work has stopped.
const QUIET_GAPS: u32 = 25;
/// Least quiet time.
const QUIET_MIN: Duration = Duration::from_millis(1000);

/// `RunResult` is what came of one run.
#[derive(Debug, Clone, Default)]
pub struct RunResult {
    /// Time for which the sick upstream received work, if it stopped.
    pub detection: Option<Duration>,
    /// Requests that the sick upstream received in that time.
    pub received: u64,
    /// Ejections of upstreams that were not sick; one ingress of several counts as its part.
    pub false_ejections: f64,
    /// Upstream-hours that the false ejections are counted over.
    pub upstream_hours: f64,
    /// Requests of callers.
    pub requests: u64,
    /// Requests that failed for the caller while the fault lasted.
    pub failed: u64,
    /// Answers that were slow for the caller while the fault lasted.
    pub slow: u64,
    /// Least slots in service in any ingress's view while something was avoided, as a share of the
    /// floor's.
    pub lowest_over_floor: f64,
    /// Whether the floor was broken by ejection.
    pub floor_broken: bool,
    /// Time from the end of the fault until the upstream was back, if it was out.
    pub returned: Option<Duration>,
}

impl World {
    /// Notes when a plain rule has the upstream back at every ingress after the fault.
    pub(super) fn note_plain_return(&mut self) {
        if !self.plan.one_is_sick || self.now < self.plan.fault_end() {
            return;
        }
        let now = self.now;
        let out = self.ingresses.iter().any(|ingress| ingress.rule.is_ejected(SICK, now));
        self.out_after_fault |= out;
        if self.out_after_fault && !out {
            self.returned_at.get_or_insert(now);
        }
    }

    /// Looks at the floor after each decision.
    pub(super) fn note_capacity(&mut self, number: usize) {
        let view = &self.ingresses[self.requests[number].ingress].view;
        let plan = view.plan();
        let plain = self.rule.prefer().is_none();
        let ejects = plain && view.upstreams().iter().any(|upstream| upstream.draining);
        if (ejects || plan.avoided.iter().any(|avoided| *avoided)) && plan.floor > 0 {
            let over = f64::from(plan.in_service) / f64::from(plan.floor);
            self.result.lowest_over_floor = self.result.lowest_over_floor.min(over);
        }
        self.result.floor_broken |= view.violations() > 0;
    }

    pub(super) fn note_ejection(&mut self, index: usize, part: f64) {
        let sick = self.plan.one_is_sick && index == SICK && self.now >= self.plan.fault_begin();
        if !sick {
            self.result.false_ejections += part;
        }
    }

    pub(super) fn note_return(&mut self, index: usize) {
        if self.plan.one_is_sick && index == SICK && self.now >= self.plan.fault_end() {
            self.returned_at.get_or_insert(self.now);
        }
    }

    pub(super) fn finish(mut self) -> RunResult {
        let upstreams = self.upstreams.len() as f64;
        self.result.upstream_hours = upstreams * self.plan.end().as_secs_f64() / 3600.0;
        if self.plan.one_is_sick {
            self.measure_detection();
            self.result.returned =
                self.returned_at.map(|at| at.saturating_sub(self.plan.fault_end()));
        }
        self.result
    }

    /// Finds when work to the sick upstream stopped: the last request before a quiet time.
    pub(super) fn measure_detection(&mut self) {
        let begin = self.plan.fault_begin();
        let end = self.plan.fault_end();
        let gap = self.plan.gap() * self.upstreams.len() as u32;
        let quiet = (gap * QUIET_GAPS).max(QUIET_MIN);
        let mut last = begin;
        for at in self.upstreams[SICK].accepted.iter().filter(|at| (begin..end).contains(*at)) {
            if *at - last > quiet {
                break;
            }
            last = *at;
            self.result.received += 1;
        }
        let stopped = end.saturating_sub(last) > quiet;
        self.result.detection = stopped.then(|| last - begin);
    }
}
