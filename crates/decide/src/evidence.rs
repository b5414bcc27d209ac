// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Evidence about an upstream from live requests, and the baseline that the upstream is compared
//! with.

use std::time::Duration;

use crate::estimates::SPREAD_MIN;
use crate::hang::UsualTime;

/// `RequestEvidence` is the evidence that one request gives about the upstream that served it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEvidence {
    /// A complete answer that is no server error arrived this long after the request was offered.
    Answered(Duration),
    /// A complete answer that is no server error arrived, and its service time is not known, since
    /// this daemon was paused.
    Untimed,
    /// A server error, a broken connection or an answer cut short.
    Failed,
    /// No evidence: the caller was at fault or disconnected early.
    Neutral,
}

/// `ServiceBaseline` holds the medians over the upstreams of a service, so that an upstream is
/// compared with its siblings rather than with fixed limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceBaseline {
    /// Median over the upstreams of the natural logarithm of the median service time in µs.
    pub median_ln: f64,
    /// Median over the upstreams of the spread of that logarithm (as a standard deviation).
    pub spread: f64,
    /// Median over the upstreams of the failure rate.
    pub failure_rate: f64,
    /// Median over the upstreams of the share of overdue requests.
    pub overdue_rate: f64,
    /// Median over the upstreams of the anomaly score.
    pub sickness: f64,
    /// Number of upstreams behind the medians.
    pub upstreams: u32,
}

/// Fewest upstreams whose median is a meaningful baseline.
pub const BASELINE_UPSTREAMS_MIN: u32 = 3;
/// Standard deviations above the median from which a request is overdue. A log-normal service time
/// exceeds this bound once in 740 requests; heavier tails raise the baseline's overdue rate
/// instead.
pub const OVERDUE_DEVIATIONS: f64 = 3.0;
/// Shortest time after which a request may be overdue: a shorter time would measure the delays of
/// timers and of the system's scheduler.
pub const OVERDUE_MIN: Duration = Duration::from_millis(20);

impl Default for ServiceBaseline {
    fn default() -> Self {
        Self {
            median_ln: 0.0,
            spread: 1.0,
            failure_rate: 0.0,
            overdue_rate: 0.0,
            sickness: 0.0,
            upstreams: 0,
        }
    }
}

impl ServiceBaseline {
    /// Says whether there are enough upstreams for a comparison.
    pub fn is_usable(&self) -> bool {
        self.upstreams >= BASELINE_UPSTREAMS_MIN
    }

    /// Returns the distribution of the service times, if the baseline is usable.
    pub fn usual_time(&self) -> Option<UsualTime> {
        let spread = self.spread.max(SPREAD_MIN);
        self.is_usable().then_some(UsualTime { median_ln: self.median_ln, spread })
    }

    /// Returns the time after which a request is overdue.
    pub fn overdue_after(&self) -> Duration {
        let micros = (self.median_ln + OVERDUE_DEVIATIONS * self.spread).exp();
        Duration::from_micros(micros.min(60e6) as u64).max(OVERDUE_MIN)
    }
}

/// Returns the natural logarithm of a duration in microseconds.
pub fn log_micros(duration: Duration) -> f64 {
    (duration.as_micros().max(1) as f64).ln()
}
