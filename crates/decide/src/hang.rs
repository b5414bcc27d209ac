// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Detection of an upstream that accepts requests and does not answer.
//!
//! A request that hangs ends in no event. The only evidence is that the request still runs, and
//! this evidence grows with the age of the request. Each running request adds the log-likelihood
//! ratio of "half of the requests hang" against "all requests end in their typical service time" at
//! its age, and each answer adds the ratio of an answer, which is negative. The evidence of several
//! requests that each run only a little longer than usual adds up. So a hang of an upstream with a
//! few requests a second is detected within one or two typical service times, before the age of any
//! single request is enough evidence.

use std::time::Duration;

use crate::evidence;
use crate::pause;

/// Share of the requests that hang at a hanging upstream. The users' servers hang with half of
/// their requests or more, and the likelihood of a larger share is close to that of a half.
const HANG_SHARE: f64 = 0.5;
/// Lower bound of the share of healthy requests that run longer than any age, since service times
/// have heavier tails than the log-normal: limits the evidence of one request to ln(0.5 / 0.01) =
/// 3.9.
const TAIL_SHARE: f64 = 0.01;
/// Evidence from which an upstream counts as hanging, which opens its circuit breaker.
const HANG_THRESHOLD: f64 = 2.0;
/// Evidence that is subtracted for each running request, a little more than the average evidence of
/// a healthy one. Without the subtraction, a healthy upstream with four requests at a time counted
/// as hanging for a quarter of the time.
const RUNNING_EVIDENCE_MEAN: f64 = 0.6;
/// Lower bound of the evidence of ended requests: servers begin to hang within seconds, so a long
/// history of answers must not delay the detection.
const ENDED_EVIDENCE_MIN: f64 = -1.0;
/// Upper bound of the evidence of ended requests.
const ENDED_EVIDENCE_MAX: f64 = 4.0;
/// Time constant with which the evidence of ended requests decays.
const ENDED_EVIDENCE_LIFE: Duration = Duration::from_secs(3);
/// Deviations above the typical service time from which a running request is checked: the age of a
/// younger request is no evidence.
const FIRST_CHECK_DEVIATIONS: f64 = 0.5;
/// Time between two checks of a request, as a share of its typical service time.
const CHECK_INTERVAL_SHARE: f64 = 0.25;
/// Shortest time between two checks of a request.
const CHECK_INTERVAL_MIN: Duration = Duration::from_millis(20);

/// `UsualTime` is the distribution of the service times of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsualTime {
    /// Natural logarithm of the median in µs.
    pub median_ln: f64,
    /// Standard deviation of that logarithm.
    pub spread: f64,
}

/// Median service time of a route that is assumed before any request was seen, as a share of the
/// route's objective: most requests are well within their objective.
const OBJECTIVE_MEDIAN_SHARE: f64 = 1.0 / 3.0;
/// Spread of the logarithm of service times that is assumed before any request was seen.
const ASSUMED_SPREAD: f64 = 0.6;
/// Number of observed answers that weigh as much as the distribution assumed from the objective.
const OBJECTIVE_WEIGHT_ANSWERS: f64 = 4.0;

impl UsualTime {
    /// Returns the distribution that is assumed of a route with this objective.
    pub fn of_objective(objective: Duration) -> Self {
        let median = objective.mul_f64(OBJECTIVE_MEDIAN_SHARE);
        Self { median_ln: evidence::log_micros(median), spread: ASSUMED_SPREAD }
    }

    /// Returns the mean of this distribution, which was assumed, and the distribution `seen` of
    /// observed answers, weighted by the number of `answers`.
    pub fn corrected(&self, seen: &UsualTime, answers: u32) -> Self {
        let weight = f64::from(answers) / (f64::from(answers) + OBJECTIVE_WEIGHT_ANSWERS);
        let weighted_mean = |assumed: f64, seen: f64| assumed + weight * (seen - assumed);
        Self {
            median_ln: weighted_mean(self.median_ln, seen.median_ln),
            spread: weighted_mean(self.spread, seen.spread),
        }
    }

    /// Returns the share of healthy requests that run longer than `age`.
    pub fn survival(&self, age: Duration) -> f64 {
        let deviations = (evidence::log_micros(age) - self.median_ln) / self.spread;
        0.5 * libm::erfc(deviations / std::f64::consts::SQRT_2)
    }

    /// Returns the service time that is this many deviations above the median.
    pub fn at(&self, deviations: f64) -> Duration {
        let micros = (self.median_ln + deviations * self.spread).exp();
        Duration::from_micros(micros.min(60e6) as u64)
    }

    /// Returns the evidence of a hang in a request that still runs at this age.
    fn running_evidence(&self, age: Duration) -> f64 {
        let usual = self.survival(age).max(TAIL_SHARE);
        ((HANG_SHARE + (1.0 - HANG_SHARE) * usual) / usual).ln()
    }
}

/// `RunningRequest` is a request that has not ended.
#[derive(Debug, Clone, Copy)]
struct RunningRequest {
    number: u64,
    usual: UsualTime,
    started: Duration,
    /// When the request is due to be checked next.
    check_due: Duration,
}

impl RunningRequest {
    fn evidence(&self, now: Duration) -> f64 {
        self.usual.running_evidence(now.saturating_sub(self.started))
    }
}

/// `HangDetector` sums up the evidence of a hang at one upstream.
#[derive(Debug, Clone, Default)]
pub struct HangDetector {
    running: Vec<RunningRequest>,
    ended_evidence: f64,
    ended_at: Duration,
    last_number: u64,
}

impl HangDetector {
    /// Records that a request started; returns its number.
    pub fn start(&mut self, usual: UsualTime, now: Duration) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        let check_due = now + first_check(&usual);
        self.running.push(RunningRequest { number, usual, started: now, check_due });
        number
    }

    /// Records that the running requests were checked.
    pub fn note_check(&mut self, now: Duration) {
        for request in self.running.iter_mut().filter(|request| request.check_due <= now) {
            request.check_due = now + check_interval(&request.usual);
        }
    }

    /// Leaves a pause of this daemon, which a check that is long due shows, out of the ages of the
    /// running requests: the answers may have arrived during the pause.
    pub fn skip_pause(&mut self, now: Duration) {
        let first_due = self.running.iter().map(|request| request.check_due).min();
        let pause = first_due.map_or(Duration::ZERO, |due| pause::length(due, now));
        for request in &mut self.running {
            request.started = (request.started + pause).min(now);
            request.check_due += pause;
        }
    }

    /// Returns when a running request started.
    pub fn started(&self, number: u64) -> Option<Duration> {
        let request = self.running.iter().find(|request| request.number == number);
        request.map(|request| request.started)
    }

    /// Records the end of a request. An answer, or a nested call that the request makes, is
    /// evidence against a hang. A request that was given up adds the evidence of a hang that it had
    /// at its end. Returns the evidence that the request adds.
    pub fn end(&mut self, number: u64, answered: bool, now: Duration) -> f64 {
        let index = match self.running.iter().position(|request| request.number == number) {
            Some(index) => index,
            None => return 0.0,
        };
        let request = self.running.swap_remove(index);
        let change = if answered { (1.0 - HANG_SHARE).ln() } else { request.evidence(now) };
        self.ended_evidence =
            (self.decayed_evidence(now) + change).clamp(ENDED_EVIDENCE_MIN, ENDED_EVIDENCE_MAX);
        self.ended_at = now;
        change
    }

    /// Returns the evidence of ended requests, decayed until `now`.
    fn decayed_evidence(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.ended_at).as_secs_f64();
        self.ended_evidence * (-age / ENDED_EVIDENCE_LIFE.as_secs_f64()).exp()
    }

    /// Returns the evidence of a hang: from a value of 0 on, a hang is likelier than before any
    /// request.
    pub fn evidence(&self, now: Duration) -> f64 {
        let beyond_usual = |request: &RunningRequest| request.evidence(now) - RUNNING_EVIDENCE_MEAN;
        let running: f64 = self.running.iter().map(beyond_usual).sum();
        self.decayed_evidence(now) + running
    }

    /// Says whether the upstream counts as hanging.
    pub fn is_hanging(&self, now: Duration) -> bool {
        self.evidence(now) >= HANG_THRESHOLD
    }

    /// Says whether the evidence no longer suggests a hang.
    pub fn is_over(&self, now: Duration) -> bool {
        self.evidence(now) < 0.0
    }

    /// Clears the evidence after the upstream has passed its trials: requests that began to hang
    /// before the trials are no new evidence.
    pub fn forget(&mut self) {
        self.running.clear();
        self.ended_evidence = 0.0;
    }
}

/// Returns the age at which a request is first checked.
pub fn first_check(usual: &UsualTime) -> Duration {
    usual.at(FIRST_CHECK_DEVIATIONS).max(CHECK_INTERVAL_MIN)
}

/// Returns the time between two checks of a request.
pub fn check_interval(usual: &UsualTime) -> Duration {
    usual.at(0.0).mul_f64(CHECK_INTERVAL_SHARE).max(CHECK_INTERVAL_MIN)
}
