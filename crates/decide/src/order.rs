// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Queue scheduling: which of the waiting requests gets a free slot.
//!
//! The workload is a service that is overloaded for seconds: one kind of request comes in a burst,
//! or a part of the backend servers hangs. Some callers are then answered late or not at all, and
//! the scheduling decides which. Nested calls of running requests go first: their parents hold
//! slots for as long as they wait, and refusing them discards what their parents have done. Next go
//! requests that can still be answered within their objective, as a late answer is worth less to
//! its caller however urgent it is; those that can't are not refused, but served when no request
//! that can meet its objective waits.

use std::cmp::Reverse;
use std::time::Duration;

use basaltarch_core::resources::WorkClass;

/// One slot in this many goes to the request that has waited longest, whatever its priority: while
/// urgent requests fill all slots for seconds, no class of requests starves.
pub const LONGEST_EVERY: u32 = 5;

/// Slots of a backend server that are reserved for nested calls of running requests, once such
/// calls had to wait for one. If new requests took all slots, they would hold the slots until the
/// nested calls that they make had slots themselves: a deadlock until the timeouts.
const RESERVED_FOR_CALLS: u32 = 1;
/// Time for which slots stay reserved after a nested call had to wait.
pub const CALL_RESERVE_TIME: Duration = Duration::from_secs(5);

/// Returns how many of a backend server's slots requests of this kind may fill; `calls_wait` says
/// whether nested calls recently had to wait there.
pub fn open_slots(slots: u32, is_call: bool, calls_wait: bool) -> u32 {
    match !is_call && calls_wait && slots > RESERVED_FOR_CALLS {
        true => slots - RESERVED_FOR_CALLS,
        false => slots,
    }
}

/// `QueuedRequest` is what the scheduling needs to know about a queued request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueuedRequest {
    /// Class of the request.
    pub class: WorkClass,
    /// Whether the request is a nested call of a running request, which fails if the call fails.
    pub is_call: bool,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// Time up to which an answer has its full value, if one was declared.
    pub objective: Option<Duration>,
    /// Typical service time of requests of the same route, if known.
    pub usual: Option<Duration>,
    /// Time in which most requests of the same route complete, if known: a request that starts with
    /// less time than this until its objective misses the objective as often as it meets it.
    pub needed_time: Option<Duration>,
}

impl QueuedRequest {
    /// Returns the priority among requests that can meet their objectives; the highest goes first.
    pub fn urgency(&self) -> (bool, WorkClass) {
        (self.is_call, self.class)
    }

    /// Says whether a request that starts at `start` usually meets its objective.
    pub fn meets_objective(&self, start: Duration) -> bool {
        match (self.objective, self.needed_time) {
            (Some(objective), Some(needed_time)) => start + needed_time <= objective,
            _ => true,
        }
    }

    /// Says whether a request that starts at `start` is usually answered by its deadline.
    pub fn meets_deadline(&self, start: Duration) -> bool {
        start + self.usual.unwrap_or_default() <= self.deadline
    }
}

/// Returns the position of the request that gets a slot now, among requests in the order of their
/// arrival. `grant_count` is the number of slots that were given so far to requests that had
/// waited.
pub fn first(
    waiting: impl Iterator<Item = QueuedRequest>,
    grant_count: u32,
    now: Duration,
) -> Option<usize> {
    let is_oldest_first = grant_count % LONGEST_EVERY == LONGEST_EVERY - 1;
    let ranks = waiting.enumerate().map(|(index, request)| {
        let in_time = request.meets_objective(now);
        let urgency = if is_oldest_first { None } else { Some(request.urgency()) };
        // A nested call that misses its objective blocks its parent's slot no less than one that
        // meets it.
        let is_first = urgency.is_some_and(|(is_call, _)| is_call);
        ((is_first, in_time, urgency, Reverse(index)), index)
    });
    ranks.max().map(|(_, index)| index)
}

/// Says whether a request that will miss its objective may wait for one of `slots` slots; `in_time`
/// is the number of waiting requests that meet theirs. If those fill all slots for a whole round,
/// the request may not wait, since more of them arrive before it is served. It is refused while its
/// caller still has time to try elsewhere.
pub fn accepts_late(in_time: f64, slots: u32) -> bool {
    in_time < f64::from(slots)
}

/// Estimates when a request would start that waits behind `before` others for `slots` slots.
pub fn start_after(before: f64, slots: u32, usual: Duration, now: Duration) -> Duration {
    now + usual.mul_f64((before + 1.0) / f64::from(slots.max(1)))
}
