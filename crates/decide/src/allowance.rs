// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How long work may take at a backend server while others wait for its slot.
//!
//! Work that hangs holds its slot until the time that the server was given is over. The load is that of
//! a service that is full while some of its servers hang: there a quarter of the slots' time went to work
//! that hung (88 requests held what 2,500 calls would have needed). So a full server is given the time
//! in which nearly all sound work ends, in place of all that the caller would wait, and its own answer
//! ends the work then. It does so only where long work was seen to hang rather than to be answered late, and
//! gains where the balance sends repeatable work to the slots that get free.
//!
//! A server that begins to hang has all its slots taken before any of its work is long. So what other servers of the
//! service saw counts as well, where it is told, and work is bounded from its first piece on: where servers hang by
//! turns, the next one hangs like the last.

use std::time::Duration;

use crate::hang::UsualTime;

/// Deviations above the usual time that work is given: 99 in 100 pieces of sound work end in it. Of
/// work that is older, nine in ten hang where one in twelve does.
const ALLOWED_DEVIATIONS: f64 = 2.33;
/// Every so many pieces of work one is given all of its time, so that a server that has become slow is
/// told from one that hangs.
const UNBOUNDED_EVERY: u32 = 8;
/// Time over which what was seen of long work loses most of its worth: servers hang for seconds at a time,
/// and those that did lately do so again.
const EVIDENCE_LIFE: Duration = Duration::from_secs(20);
/// Pieces of work that must have hung before work is bounded: fewer may be the tail of sound work.
const HUNG_MIN: f64 = 2.0;
/// How many pieces of long work must hang for each that is answered after all. Bounding what would be
/// answered cost 0.015 of worth in the mean of 20 plays of fleets whose servers fail by errors.
const HUNG_TO_LATE_MIN: f64 = 4.0;

/// Pieces of work that must have hung at all servers of a service before work is bounded where slots are free, too: a
/// slot is free only until the work that hangs has taken it.
const SERVICE_HUNG_MIN: f64 = 10.0;

/// `LongWork` counts work that lasted longer than nearly all sound work does, as it was seen lately.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LongWork {
    /// Work that showed no life, less what was answered after all.
    pub hung: f64,
    /// Work that was answered late.
    pub late: f64,
}

impl LongWork {
    /// Returns what is left of this after a time.
    pub fn faded(&self, age: Duration) -> Self {
        let left = (-age.as_secs_f64() / EVIDENCE_LIFE.as_secs_f64()).exp();
        Self { hung: self.hung * left, late: self.late * left }
    }

    /// Returns the sum of both.
    pub fn with(&self, other: &Self) -> Self {
        Self { hung: self.hung + other.hung, late: self.late + other.late }
    }

    /// Says whether long work hung rather than being answered late.
    fn is_hanging(&self) -> bool {
        self.hung >= HUNG_MIN && self.hung >= HUNG_TO_LATE_MIN * self.late
    }
}

/// `AllowanceTerms` is what is known of work that is about to start.
#[derive(Debug, Clone, Copy)]
pub struct AllowanceTerms {
    /// Time that is left until its deadline.
    pub left: Duration,
    /// Time that is left until its objective; zero if that has passed or none was declared.
    pub objective_left: Duration,
    /// Distribution of the times that such work takes, if enough was seen of it.
    pub usual: Option<UsualTime>,
    /// Whether the server has no free slot beside that of this work.
    pub full: bool,
    /// What the other servers of the service saw, as far as it is told.
    pub siblings: LongWork,
}

/// `GivenTime` is the time that a piece of work is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenTime {
    /// The time that the server is given.
    pub time: Duration,
    /// Time after which an answer shows that sound work lasts longer than work is allowed here.
    pub late_after: Duration,
}

/// `TimeAllowance` gives work at one backend server its time.
#[derive(Debug, Clone, Default)]
pub struct TimeAllowance {
    bounded: u32,
    seen: LongWork,
    seen_at: Duration,
}

impl TimeAllowance {
    /// Gives a piece of work that starts at `now` its time. What can still be done within its objective
    /// is always given that long.
    pub fn give(&mut self, terms: &AllowanceTerms, now: Duration) -> GivenTime {
        let usual = terms.usual.map(|usual| usual.at(ALLOWED_DEVIATIONS).max(terms.objective_left));
        let late_after = usual.unwrap_or(terms.left);
        let all = GivenTime { time: terms.left, late_after };
        let seen = self.long_work(now).with(&terms.siblings);
        let is_bounded = terms.full || seen.hung >= SERVICE_HUNG_MIN;
        if !is_bounded || late_after >= terms.left || !seen.is_hanging() {
            return all;
        }
        self.bounded += 1;
        if self.bounded.is_multiple_of(UNBOUNDED_EVERY) {
            return all;
        }
        GivenTime { time: late_after, late_after }
    }

    /// Takes in that work still runs after what it was allowed, and shows no life.
    pub fn note_passed(&mut self, now: Duration) {
        self.fade(now);
        self.seen.hung += 1.0;
    }

    /// Takes in that sound work was answered after this time; `passed` says whether it was noted as passed.
    pub fn note_answered(
        &mut self,
        given: &GivenTime,
        took: Duration,
        passed: bool,
        now: Duration,
    ) {
        if took <= given.late_after {
            return;
        }
        self.fade(now);
        self.seen.late += 1.0;
        if passed {
            self.seen.hung = (self.seen.hung - 1.0).max(0.0);
        }
    }

    /// Returns what was seen of long work.
    pub fn long_work(&self, now: Duration) -> LongWork {
        self.seen.faded(now.saturating_sub(self.seen_at))
    }

    fn fade(&mut self, now: Duration) {
        self.seen = self.long_work(now);
        self.seen_at = now;
    }
}
