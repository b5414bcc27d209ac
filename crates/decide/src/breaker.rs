// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Circuit breaker of an upstream: after a failure, non-repeatable requests go to other upstreams
//! until repeatable ones succeed at this one.
//!
//! The detector needs several failures before it ejects an upstream, and until then each
//! non-repeatable request that fails is lost to its caller. A broken connection is a rare event on
//! a healthy upstream, so one is enough to open the breaker for a moment. While it is open,
//! repeatable requests, which can go to another upstream when they fail, are the trials. The
//! breaker takes no capacity out of service: it refuses only requests that other upstreams have
//! room for.

use std::time::Duration;

/// Pause before the first trial by a repeatable request: a connection that was reset by chance is
/// followed by a successful answer, and the typical service time is of this order.
const TRIAL_PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest pause between two trials.
const TRIAL_PAUSE_MAX: Duration = Duration::from_millis(1600);
/// Successful answers in a row after which the breaker closes: an upstream that fails half of its
/// requests passes one time in four.
const SUCCESSES_NEEDED: u32 = 2;
/// Failed answers in a row that count as much as one broken connection: an error may also be caused
/// by the request itself.
const ANSWERED_FAILURES: u32 = 2;
/// Time after which the breaker, once closed, forgets its previous pause: until then, the previous
/// pause lengthens the next one.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time after a trial is due from which a non-repeatable request is admitted as well: a service
/// without repeatable requests must recover too.
const ANY_REQUEST_AFTER: Duration = Duration::from_secs(3);

/// `FailureKind` classifies failures by how rare they are on a healthy upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection broke, or the server sent something that is not an answer.
    Broken,
    /// The answer was an error, or late.
    Answered,
    /// No answer arrived in time. The failure says nothing about the upstream after the request was
    /// sent: the connection may have fallen silent since.
    TimedOut,
}

impl FailureKind {
    /// Says whether the failure of a request that failed at other upstreams as well is the fault of
    /// the request alone. The upstream answered, as it does for other requests.
    pub fn is_fault_of_request(self) -> bool {
        self == Self::Answered
    }
}

/// `BreakerCause` is what opened a circuit breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BreakerCause {
    /// Requests failed; the last failure was of this kind.
    Failure(FailureKind),
    /// Running requests took too long.
    Hang,
}

impl BreakerCause {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Failure(FailureKind::Broken) => "broken",
            Self::Failure(FailureKind::Answered) => "error-answers",
            Self::Failure(FailureKind::TimedOut) => "timed-out",
            Self::Hang => "hanging",
        }
    }
}

/// `FailureBreaker` is the circuit breaker of one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FailureBreaker {
    opened_at: Option<Duration>,
    trial_at: Duration,
    trial_pause: Duration,
    successes: u32,
    /// When the first of the latest successive trials was sent.
    first_success_started: Duration,
    failures: u32,
    closed_at: Duration,
    /// When the first of the trials that last closed the breaker was sent.
    proven_from: Duration,
    /// Whether the breaker opened only because running requests took too long.
    opened_by_hang: bool,
}

impl FailureBreaker {
    /// Says whether the breaker is open.
    pub fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// Returns how long until a repeatable request may be admitted as a trial; zero when the
    /// breaker is closed.
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
        self.trial_at = now + self.trial_pause;
        true
    }

    /// Records that running requests take too long; says whether this opened the breaker.
    pub fn note_hang(&mut self, now: Duration) -> bool {
        let opened = self.note_failure(FailureKind::Broken, now, now);
        self.opened_by_hang = opened;
        opened
    }

    /// Closes the breaker if it opened only because of running requests, which were answered since;
    /// returns how long it was open.
    pub fn retract(&mut self, now: Duration) -> Option<Duration> {
        let since = self.opened_at.filter(|_| self.opened_by_hang)?;
        self.close(now);
        Some(now.saturating_sub(since))
    }

    fn close(&mut self, now: Duration) {
        self.opened_at = None;
        self.opened_by_hang = false;
        self.successes = 0;
        self.closed_at = now;
    }

    /// Records the failure of a request that was sent at `started`; says whether the failure opened
    /// the breaker.
    pub fn note_failure(&mut self, kind: FailureKind, started: Duration, now: Duration) -> bool {
        if self.is_superseded(kind, started) {
            return false;
        }
        self.successes = 0;
        self.failures += 1;
        if kind != FailureKind::Broken && self.failures < ANSWERED_FAILURES {
            return false;
        }
        self.opened_by_hang = false;
        if self.opened_at.is_some() {
            self.trial_pause = (self.trial_pause * 2).min(TRIAL_PAUSE_MAX);
            // The pause runs from the start of the trial: the end of one that hung must not
            // postpone the next.
            self.trial_at = self.trial_at.max(started + self.trial_pause);
            return false;
        }
        let closed_recently =
            self.trial_pause > Duration::ZERO && now.saturating_sub(self.closed_at) < FORGET_AFTER;
        self.trial_pause = if closed_recently {
            (self.trial_pause * 2).min(TRIAL_PAUSE_MAX)
        } else {
            TRIAL_PAUSE_MIN
        };
        self.opened_at = Some(now);
        self.trial_at = now + self.trial_pause;
        true
    }

    /// Says whether the failure of a request that was sent at `started` says nothing new: the
    /// request was sent before the breaker opened, or it timed out although later requests were
    /// answered.
    fn is_superseded(&self, kind: FailureKind, started: Duration) -> bool {
        match self.opened_at {
            Some(opened_at) => started < opened_at,
            None => kind == FailureKind::TimedOut && started < self.proven_from,
        }
    }

    /// Records a successful answer to a request that was sent at `started`; returns how long the
    /// breaker was open if the answer closed it. A request that was sent before the breaker opened
    /// is no evidence of the upstream's state since then.
    pub fn note_success(&mut self, started: Duration, now: Duration) -> Option<Duration> {
        self.failures = 0;
        let since = self.opened_at.filter(|since| started >= *since)?;
        if self.successes == 0 {
            self.first_success_started = started;
        }
        self.successes += 1;
        // The next trial may start at once.
        self.trial_at = now;
        if self.successes < SUCCESSES_NEEDED {
            return None;
        }
        self.proven_from = self.first_success_started;
        self.close(now);
        Some(now.saturating_sub(since))
    }
}
