// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Caution after a failure: what must not be repeated goes elsewhere until repeatable work succeeds.
//!
//! The detector needs several failures before it ejects an upstream. Until it is sure, each piece of
//! work that must not be repeated and fails is lost to its caller. A broken connection is a rare event
//! on a healthy upstream, so one is enough to be careful for a moment: repeatable work, which can go to
//! another upstream when it fails, finds out whether the upstream works. Caution takes no capacity
//! out of service: it refuses only work that others have room for.

use std::time::Duration;

/// Pause before the first repeatable work is let through: a connection that was reset by chance is
/// followed by a good answer, and the usual service time is of this order.
const HOLD_MIN: Duration = Duration::from_millis(200);
/// Longest pause between two pieces of such work.
const HOLD_MAX: Duration = Duration::from_millis(1600);
/// Good answers in a row after which the upstream gets all work again: of an upstream that fails half
/// of its work, one in four passes.
const GOOD_NEEDED: u32 = 2;
/// Failures in a row that count like one broken connection: errors also follow from requests.
const SOFT_FAILURES: u32 = 2;
/// Time after which a former failure no longer lengthens the pause.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// Time without any work let through after which any work is: a service without repeatable work
/// must find out as well.
const ANY_WORK_AFTER: Duration = Duration::from_secs(3);

/// `FailureSort` tells failures apart by how rare they are on a healthy upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureSort {
    /// The connection broke, or what came was no answer.
    Broken,
    /// The answer was an error, or late.
    Answered,
}

/// `FailureCaution` is the caution towards one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FailureCaution {
    doubted_at: Option<Duration>,
    trial_at: Duration,
    hold: Duration,
    good: u32,
    failures: u32,
    trusted_at: Duration,
    /// Whether only running work speaks for the doubt.
    is_hang: bool,
}

impl FailureCaution {
    /// Says whether the upstream is doubted.
    pub fn is_doubtful(&self) -> bool {
        self.doubted_at.is_some()
    }

    /// Returns how long until repeatable work may find out; zero when the upstream is not doubted.
    pub fn trial_in(&self, now: Duration) -> Duration {
        match self.doubted_at {
            Some(_) => self.trial_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Says whether work is let through, and notes that it is.
    pub fn admit(&mut self, repeatable: bool, now: Duration) -> bool {
        if self.doubted_at.is_none() {
            return true;
        }
        let due = if repeatable { self.trial_at } else { self.trial_at + ANY_WORK_AFTER };
        if now < due {
            return false;
        }
        self.trial_at = now + self.hold;
        true
    }

    /// Takes in that running work lasts too long; says whether the upstream is doubted from now on.
    pub fn note_hang(&mut self, now: Duration) -> bool {
        let doubted = self.note_failure(FailureSort::Broken, now);
        self.is_hang = doubted;
        doubted
    }

    /// Takes back a doubt for which only running work spoke, since that ended well; returns how long
    /// the upstream was doubted.
    pub fn retract(&mut self, now: Duration) -> Option<Duration> {
        let since = self.doubted_at.filter(|_| self.is_hang)?;
        self.trust(now);
        Some(now.saturating_sub(since))
    }

    fn trust(&mut self, now: Duration) {
        self.doubted_at = None;
        self.is_hang = false;
        self.good = 0;
        self.trusted_at = now;
    }

    /// Takes in a failure; says whether the upstream is doubted from now on.
    pub fn note_failure(&mut self, sort: FailureSort, now: Duration) -> bool {
        self.good = 0;
        self.failures += 1;
        if sort == FailureSort::Answered && self.failures < SOFT_FAILURES {
            return false;
        }
        self.is_hang = false;
        if self.doubted_at.is_some() {
            self.hold = (self.hold * 2).min(HOLD_MAX);
            self.trial_at = now + self.hold;
            return false;
        }
        let lately =
            self.hold > Duration::ZERO && now.saturating_sub(self.trusted_at) < FORGET_AFTER;
        self.hold = if lately { (self.hold * 2).min(HOLD_MAX) } else { HOLD_MIN };
        self.doubted_at = Some(now);
        self.trial_at = now + self.hold;
        true
    }

    /// Takes in a good answer to work that was sent at `started`; returns how long the upstream was
    /// doubted if it no longer is. Work from before the doubt says nothing of what came after.
    pub fn note_success(&mut self, started: Duration, now: Duration) -> Option<Duration> {
        self.failures = 0;
        let since = self.doubted_at.filter(|since| started >= *since)?;
        self.good += 1;
        // The next may follow at once.
        self.trial_at = now;
        if self.good < GOOD_NEEDED {
            return None;
        }
        self.trust(now);
        Some(now.saturating_sub(since))
    }
}
