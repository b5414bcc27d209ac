// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Running estimates over recent requests.

use std::time::Duration;

use crate::evidence;

/// Weight of a new sample once there are many: an estimate covers about the last dozen requests, so
/// that a change shared by all upstreams moves the baseline about as fast as a detector.
const SAMPLE_WEIGHT: f64 = 0.08;
/// Deviations at which a sample is clipped (Huber's bound).
const CLIP_DEVIATIONS: f64 = 2.0;
/// Ratio of the standard deviation to the mean absolute deviation of a normal distribution.
const MEAN_TO_STANDARD_DEVIATION: f64 = 1.2533;
/// Lower bound of the spread: with a smaller spread, noise of the system would count as a change.
pub const SPREAD_MIN: f64 = 0.15;
/// Upper bound of the spread: beyond a factor of e², a service has no typical time to compare with.
pub const SPREAD_MAX: f64 = 2.0;
/// Spread of the logarithm of service times that is assumed before there are samples.
const ASSUMED_SPREAD: f64 = 0.5;

/// `LatencyEstimate` estimates the centre and spread of the logarithm of service times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyEstimate {
    centre: f64,
    spread: f64,
    samples: u32,
}

impl Default for LatencyEstimate {
    fn default() -> Self {
        Self { centre: 0.0, spread: ASSUMED_SPREAD, samples: 0 }
    }
}

impl LatencyEstimate {
    /// Records one service time.
    pub fn note(&mut self, latency: Duration) {
        let value = evidence::log_micros(latency);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.centre = value;
            return;
        }
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let bound = CLIP_DEVIATIONS * self.spread;
        let distance = value - self.centre;
        self.centre += weight * distance.clamp(-bound, bound);
        let deviation = distance.abs().min(2.0 * bound) * MEAN_TO_STANDARD_DEVIATION;
        self.spread += weight.min(0.2) * (deviation - self.spread);
        self.spread = self.spread.clamp(SPREAD_MIN, SPREAD_MAX);
    }

    /// Returns the centre, a natural logarithm of µs.
    pub fn centre(&self) -> f64 {
        self.centre
    }

    /// Returns the spread as a standard deviation.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Weight of a new sample in the slow estimate of a rate: rare events need to be remembered for
/// many requests.
const SLOW_ESTIMATE_WEIGHT: f64 = 0.005;

/// `RateEstimate` estimates the share of requests for which a condition holds.
///
/// The type keeps a fast and a slow estimate and returns the higher one: a rate that recently rose
/// at all upstreams counts at once, and a rare but regular event is not forgotten between two
/// occurrences.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateEstimate {
    fast: f64,
    slow: f64,
    samples: u32,
}

impl RateEstimate {
    /// Records one request.
    pub fn note(&mut self, is_true: bool) {
        self.samples = self.samples.saturating_add(1);
        // Starts from zero rather than from the first sample: one early failure is not a rate of 1.
        let start = 1.0 / f64::from(self.samples + 8);
        let value = if is_true { 1.0 } else { 0.0 };
        self.fast += SAMPLE_WEIGHT.max(start) * (value - self.fast);
        self.slow += SLOW_ESTIMATE_WEIGHT.max(start) * (value - self.slow);
    }

    /// Returns the share, 0 to 1.
    pub fn rate(&self) -> f64 {
        self.fast.max(self.slow)
    }
}

/// Time constant with which a peak decays.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(5);

/// `DecayingPeak` is the decaying maximum of recently reported values of one quantity. The values
/// come from several parties, each of which sees only a part of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct DecayingPeak {
    height: f64,
    at: Duration,
}

impl DecayingPeak {
    /// Records a value and returns the peak.
    pub fn note(&mut self, value: f64, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let decayed = self.height * (-age / PEAK_DECAY_TIME.as_secs_f64()).exp();
        self.height = decayed.max(value);
        self.at = now;
        self.height
    }
}
