// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Evidence that an upstream takes work and does not answer.
//!
//! Work that hangs ends in no event: what speaks is that it still runs, all the louder the longer it
//! does. Each piece of running work adds the log-likelihood ratio of "a half of the work hangs"
//! against "all work ends in its usual time" at its age, and each answer takes the ratio of an answer
//! off. Several pieces that are each only a little late speak together, so that an upstream of a few
//! requests a second is seen within a usual time or two, before one request is late enough by itself.

use std::time::Duration;

use crate::evidence;

/// Share of the work that hangs in the state that is looked for: the users' servers that hang do so
/// with a half of their work and more, and the likelihood of more is close to it.
const HANG_SHARE: f64 = 0.5;
/// Least share of sound work that is taken to last as long as one likes, since times have heavier
/// tails than the log-normal: bounds what one request can say to ln(0.5 / 0.01) = 3.9.
const TAIL_SHARE: f64 = 0.01;
/// Evidence from which an upstream is doubted.
const DOUBT_AT: f64 = 2.0;
/// Evidence that a piece of running sound work has in the mean and a little more, which is taken off:
/// without it, a sound upstream with four pieces of work at a time was doubted for a quarter of the
/// time (`decide/tests/hang.rs`).
const RUNNING_USUAL: f64 = 0.6;
/// Evidence below which answers no longer add up: the state changes within seconds, so that a long
/// past of answers must not delay the doubt.
const EVIDENCE_MIN: f64 = -1.0;
/// Largest evidence that ended work leaves behind.
const EVIDENCE_MAX: f64 = 4.0;
/// Time over which the evidence of ended work loses most of its worth.
const EVIDENCE_LIFE: Duration = Duration::from_secs(3);
/// Deviations above the usual time from which running work is looked at: below, it says nothing.
const FIRST_LOOK_DEVIATIONS: f64 = 0.5;
/// Time between two looks at a piece of work, as a share of its usual time.
const LOOK_SHARE: f64 = 0.25;
/// Least time between two looks at a piece of work.
const LOOK_MIN: Duration = Duration::from_millis(20);

/// `UsualTime` is the distribution of the times that a route's work takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsualTime {
    /// Natural logarithm of the median in µs.
    pub median_ln: f64,
    /// Standard deviation of that logarithm.
    pub spread: f64,
}

/// Share of a route's objective that its median is taken to be before work was seen: most work is
/// well within what is wished for.
const OBJECTIVE_MEDIAN: f64 = 1.0 / 3.0;
/// Spread that is assumed then.
const OBJECTIVE_SPREAD: f64 = 0.6;
/// Answers that what is assumed weighs as much as.
const OBJECTIVE_WEIGHT: f64 = 4.0;

impl UsualTime {
    /// Returns what is assumed of a route with this objective.
    pub fn of_objective(objective: Duration) -> Self {
        let median = objective.mul_f64(OBJECTIVE_MEDIAN);
        Self { median_ln: evidence::log_micros(median), spread: OBJECTIVE_SPREAD }
    }

    /// Returns what is assumed, corrected by so many answers of this distribution.
    pub fn corrected(&self, seen: &UsualTime, answers: u32) -> Self {
        let weight = f64::from(answers) / (f64::from(answers) + OBJECTIVE_WEIGHT);
        let mix = |assumed: f64, seen: f64| assumed + weight * (seen - assumed);
        Self {
            median_ln: mix(self.median_ln, seen.median_ln),
            spread: mix(self.spread, seen.spread),
        }
    }

    /// Returns the share of sound work that lasts longer than `age`.
    pub fn survival(&self, age: Duration) -> f64 {
        let deviations = (evidence::log_micros(age) - self.median_ln) / self.spread;
        0.5 * libm::erfc(deviations / std::f64::consts::SQRT_2)
    }

    /// Returns the time that so many deviations are above the median.
    pub fn at(&self, deviations: f64) -> Duration {
        let micros = (self.median_ln + deviations * self.spread).exp();
        Duration::from_micros(micros.min(60e6) as u64)
    }

    /// Returns the evidence of work that still runs at this age.
    fn running_evidence(&self, age: Duration) -> f64 {
        let usual = self.survival(age).max(TAIL_SHARE);
        ((HANG_SHARE + (1.0 - HANG_SHARE) * usual) / usual).ln()
    }
}

/// `RunningWork` is a piece of work that has not ended.
#[derive(Debug, Clone, Copy)]
struct RunningWork {
    number: u64,
    usual: UsualTime,
    started: Duration,
}

impl RunningWork {
    fn evidence(&self, now: Duration) -> f64 {
        self.usual.running_evidence(now.saturating_sub(self.started))
    }
}

/// `HangWatch` follows the running work of one upstream.
#[derive(Debug, Clone, Default)]
pub struct HangWatch {
    running: Vec<RunningWork>,
    ended: f64,
    ended_at: Duration,
    next: u64,
}

impl HangWatch {
    /// Takes in that work started; returns its number.
    pub fn start(&mut self, usual: UsualTime, now: Duration) -> u64 {
        self.next += 1;
        let number = self.next;
        self.running.push(RunningWork { number, usual, started: now });
        number
    }

    /// Takes the end of work in: an answer, or a call that the work makes, speaks against a hang, and
    /// work that was given up leaves what spoke for one.
    /// Returns what this work speaks for a hang.
    pub fn end(&mut self, number: u64, answered: bool, now: Duration) -> f64 {
        let index = match self.running.iter().position(|work| work.number == number) {
            Some(index) => index,
            None => return 0.0,
        };
        let work = self.running.swap_remove(index);
        let change = if answered { (1.0 - HANG_SHARE).ln() } else { work.evidence(now) };
        self.ended = (self.left(now) + change).clamp(EVIDENCE_MIN, EVIDENCE_MAX);
        self.ended_at = now;
        change
    }

    /// Returns what is left of the evidence of ended work.
    fn left(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.ended_at).as_secs_f64();
        self.ended * (-age / EVIDENCE_LIFE.as_secs_f64()).exp()
    }

    /// Returns the evidence of a hang: from 0 on, it is likelier than before any work.
    pub fn evidence(&self, now: Duration) -> f64 {
        let beyond_usual = |work: &RunningWork| work.evidence(now) - RUNNING_USUAL;
        let running: f64 = self.running.iter().map(beyond_usual).sum();
        self.left(now) + running
    }

    /// Says whether the upstream should be doubted.
    pub fn is_doubtful(&self, now: Duration) -> bool {
        self.evidence(now) >= DOUBT_AT
    }

    /// Says whether what spoke for a hang is answered.
    pub fn is_over(&self, now: Duration) -> bool {
        self.evidence(now) < 0.0
    }

    /// Forgets what was seen, since the upstream has proved itself: work that hangs from before says
    /// nothing new.
    pub fn forget(&mut self) {
        self.running.clear();
        self.ended = 0.0;
    }
}

/// Returns the time after which work is first looked at.
pub fn first_look(usual: &UsualTime) -> Duration {
    usual.at(FIRST_LOOK_DEVIATIONS).max(LOOK_MIN)
}

/// Returns the time between two looks at work.
pub fn look_every(usual: &UsualTime) -> Duration {
    usual.at(0.0).mul_f64(LOOK_SHARE).max(LOOK_MIN)
}
