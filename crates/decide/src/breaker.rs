// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Circuit breaker after a failure: non-repeatable requests go elsewhere until repeatable ones
//! succeed.
//!
//! The detector needs several failures before it ejects an upstream, and until then each
//! non-repeatable request that fails is lost to its caller. A broken connection is a rare event on
//! a healthy upstream, so one is enough to open the breaker for a moment, in which the upstream is
//! doubted: repeatable requests, which can go to another upstream when they fail, are its trials.
//! The breaker takes no capacity out of service: it refuses only requests that other upstreams have
//! room for.

use std::time::Duration;

/// Pause before the first repeatable request is admitted: a connection that was reset by chance is
/// followed by a successful answer, and the typical service time is of this order.
const HOLD_MIN: Duration = Duration::from_millis(200);
/// Longest pause between two such requests.
const HOLD_MAX: Duration = Duration::from_millis(1600);
/// Successful answers in a row after which the breaker closes: an upstream that fails half of its
/// requests passes one time in four.
const SUCCESSES_NEEDED: u32 = 2;
/// Failures in a row that count as one broken connection: error answers may also be caused by
/// requests.
const ANSWERED_FAILURES: u32 = 2;
/// Time after which a previous failure no longer lengthens the pause.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time without an admitted request after which any request is admitted: a service without
/// repeatable requests must recover as well.
const ANY_REQUEST_AFTER: Duration = Duration::from_secs(3);

/// `FailureKind` classifies failures by how rare they are on a healthy upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection broke, or the server sent something that is not an answer.
    Broken,
    /// The answer was an error, or late.
    Answered,
}

/// `FailureBreaker` is the circuit breaker of one upstream; the upstream is doubted while it is
/// open.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FailureBreaker {
    opened_at: Option<Duration>,
    trial_at: Duration,
    hold: Duration,
    successes: u32,
    failures: u32,
    closed_at: Duration,
    /// Whether running requests are the only evidence behind the doubt.
    is_hang: bool,
}

impl FailureBreaker {
    /// Says whether the upstream is doubted.
    pub fn is_doubtful(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Returns how long until a repeatable request may be admitted as a trial; zero when the
    /// upstream is not doubted.
    pub fn trial_in(&self, now: Duration) -> Duration {
        match self.opened_at {
            Some(_) => self.trial_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Says whether a request is admitted, and records it if so.
    pub fn admit(&mut self, repeatable: bool, now: Duration) -> bool {
        if self.opened_at.is_none() {
            return true;
        }
        let due = if repeatable { self.trial_at } else { self.trial_at + ANY_REQUEST_AFTER };
        if now < due {
            return false;
        }
        self.trial_at = now + self.hold;
        true
    }

    /// Records that requests run too long; says whether the upstream is doubted from now on.
    pub fn note_hang(&mut self, now: Duration) -> bool {
        let opened = self.note_failure(FailureKind::Broken, now);
        self.is_hang = opened;
        opened
    }

    /// Withdraws a doubt for which running requests were the only evidence, as they were answered;
    /// returns how long the upstream was doubted.
    pub fn retract(&mut self, now: Duration) -> Option<Duration> {
        let since = self.opened_at.filter(|_| self.is_hang)?;
        self.close(now);
        Some(now.saturating_sub(since))
    }

    fn close(&mut self, now: Duration) {
        self.opened_at = None;
        self.is_hang = false;
        self.successes = 0;
        self.closed_at = now;
    }

    /// Records a failure; says whether the upstream is doubted from now on.
    pub fn note_failure(&mut self, kind: FailureKind, now: Duration) -> bool {
        self.successes = 0;
        self.failures += 1;
        if kind == FailureKind::Answered && self.failures < ANSWERED_FAILURES {
            return false;
        }
        self.is_hang = false;
        if self.opened_at.is_some() {
            self.hold = (self.hold * 2).min(HOLD_MAX);
            self.trial_at = now + self.hold;
            return false;
        }
        let recent =
            self.hold > Duration::ZERO && now.saturating_sub(self.closed_at) < FORGET_AFTER;
        self.hold = if recent { (self.hold * 2).min(HOLD_MAX) } else { HOLD_MIN };
        self.opened_at = Some(now);
        self.trial_at = now + self.hold;
        true
    }

    /// Records a successful answer to a request that was sent at `started`; returns how long the
    /// upstream was doubted if it no longer is. A request from before the doubt is no evidence of
    /// the upstream's state after it.
    pub fn note_success(&mut self, started: Duration, now: Duration) -> Option<Duration> {
        self.failures = 0;
        let since = self.opened_at.filter(|since| started >= *since)?;
        self.successes += 1;
        // The next trial may follow at once.
        self.trial_at = now;
        if self.successes < SUCCESSES_NEEDED {
            return None;
        }
        self.close(now);
        Some(now.saturating_sub(since))
    }
}
