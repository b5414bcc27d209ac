// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Who gets a free slot, of those who wait for one.
//!
//! The load is a service that has too little room for seconds: one kind of work comes in a burst, or a part of the
//! backend servers hangs. Some callers are then answered late or not at all, and the order decides which. Calls of
//! running work go first: it holds slots for as long as they wait, and their refusal throws away what was done.
//! Then goes what can still be answered within its objective, as a late answer is worth less to its caller however
//! urgent it is; what can't is not thrown away, but served when nobody in time waits.

use std::cmp::Reverse;
use std::time::Duration;

use basaltarch_core::resources::WorkClass;

/// One slot in so many goes to who has waited longest, however little urgent: while urgent work fills all slots for
/// seconds, no class of work falls to nothing.
pub const LONGEST_EVERY: u32 = 5;

/// Slots of a backend server that are kept for calls of running work, once such calls had to wait for one. If new work
/// took them all, it would hold them until the calls that it makes itself had slots: nothing would move until time-outs.
const KEPT_FOR_CALLS: u32 = 1;
/// Time for which a call that had to wait lets slots be kept for the next.
pub const KEEP_TIME: Duration = Duration::from_secs(5);

/// Returns how many of a backend server's slots work may fill; `calls_wait` says whether calls of running work lately
/// had to wait there.
pub fn open_slots(slots: u32, is_call: bool, calls_wait: bool) -> u32 {
    match !is_call && calls_wait && slots > KEPT_FOR_CALLS {
        true => slots - KEPT_FOR_CALLS,
        false => slots,
    }
}

/// `WaitingWork` is what the order of work that waits goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingWork {
    /// Class of the work.
    pub class: WorkClass,
    /// Whether it is a call of work that runs, which is lost with it.
    pub is_call: bool,
    /// Time by which the work must be done.
    pub deadline: Duration,
    /// Time by which an answer is worth most, if one was declared.
    pub objective: Option<Duration>,
    /// Time that one request usually takes, if known.
    pub usual: Option<Duration>,
    /// Time in which most such requests end, if known: work that starts later than this before its objective is late
    /// as often as not.
    pub most: Option<Duration>,
}

impl WaitingWork {
    /// Returns what it goes by while all are in time: the higher first.
    pub fn urgency(&self) -> (bool, WorkClass) {
        (self.is_call, self.class)
    }

    /// Says whether work that starts at `start` is done by its objective most of the time.
    pub fn is_in_time(&self, start: Duration) -> bool {
        match (self.objective, self.most) {
            (Some(objective), Some(most)) => start + most <= objective,
            _ => true,
        }
    }

    /// Says whether work that starts at `start` is usually done by its deadline.
    pub fn can_end(&self, start: Duration) -> bool {
        start + self.usual.unwrap_or_default() <= self.deadline
    }
}

/// Finds the position of the work that gets a slot now, of work in the order in which it came. `turn` counts the
/// slots that were given to work that had waited.
pub fn first(
    waiting: impl Iterator<Item = WaitingWork>,
    turn: u32,
    now: Duration,
) -> Option<usize> {
    let goes_by_age = turn % LONGEST_EVERY == LONGEST_EVERY - 1;
    let ranks = waiting.enumerate().map(|(index, work)| {
        let in_time = work.is_in_time(now);
        let urgency = if goes_by_age { None } else { Some(work.urgency()) };
        // A late call keeps a slot from its parent's work no less than one in time.
        let is_first = urgency.is_some_and(|(is_call, _)| is_call);
        ((is_first, in_time, urgency, Reverse(index)), index)
    });
    ranks.max().map(|(_, index)| index)
}

/// Says whether late work is kept waiting before `slots` slots: not behind a whole round of work in time, since more
/// comes before it is served. Its caller hears so while there is time to turn elsewhere.
pub fn keeps_late(in_time: f64, slots: u32) -> bool {
    in_time < f64::from(slots)
}

/// Estimates when work would start that is the next after `before` others at `slots` slots.
pub fn start_after(before: f64, slots: u32, usual: Duration, now: Duration) -> Duration {
    now + usual.mul_f64((before + 1.0) / f64::from(slots.max(1)))
}
