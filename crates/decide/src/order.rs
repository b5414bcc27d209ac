// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Queue scheduling: which of the waiting requests gets a free slot.
//!
//! The workload is a service that is overloaded for seconds: one kind of request comes in a burst,
//! or a part of the backend servers hangs. Some callers are then answered late or not at all, and
//! the scheduling decides which. Nested calls of running requests go first: the parent request of a
//! nested call holds a slot until the call ends, and refusing the call discards what the parent has
//! done. Next go requests that can still be answered within their objective, as a late answer is
//! worth less to its caller, however urgent the request is. Requests that will miss their objective
//! are not refused, but served when no request that can meet its objective waits.

use std::cmp::Reverse;
use std::time::Duration;

use basaltarch_core::resources::WorkClass;

/// One slot in this many goes to the request that has waited longest, whatever its priority, so
/// that no class of requests starves while urgent requests fill all slots for seconds.
pub const LONGEST_EVERY: u32 = 5;

/// Slots of a backend server that are reserved for nested calls of running requests after a nested
/// call had to wait for a slot. New requests that took all slots would hold them until the nested
/// calls that they make were served, and these calls would wait for a slot: a deadlock until the
/// timeouts.
const CALL_RESERVED_SLOTS: u32 = 1;
/// Time for which slots stay reserved after a nested call had to wait.
pub const CALL_RESERVE_TIME: Duration = Duration::from_secs(5);

/// Returns how many of a backend server's slots may be filled by nested calls (`is_call`) or by
/// other requests. `nested_calls_waited` says whether nested calls recently had to wait for a slot
/// of the server.
pub fn open_slots(slots: u32, is_call: bool, nested_calls_waited: bool) -> u32 {
    match !is_call && nested_calls_waited && slots > CALL_RESERVED_SLOTS {
        true => slots - CALL_RESERVED_SLOTS,
        false => slots,
    }
}

/// Divisor of a backend server's slots that yields those for requests whose bodies still arrive.
const UPLOAD_SLOTS_DIVISOR: u32 = 2;

/// Returns how many of a backend server's slots may be filled by requests whose bodies still arrive.
/// A caller decides how long its body takes, so such requests must not fill all slots.
pub fn upload_slots(slots: u32) -> u32 {
    (slots / UPLOAD_SLOTS_DIVISOR).max(1)
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
    /// Time in which most requests of the same route complete, if known. A request that starts with
    /// less time until its objective misses the objective as often as it meets the objective.
    pub needed_time: Option<Duration>,
}

impl QueuedRequest {
    /// Returns the priority among requests that can meet their objectives; the request of the
    /// highest priority goes first.
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

/// Returns the position of the request that gets the next free slot; `waiting` lists the requests
/// in the order of their arrival. `grant_count` is the number of slots that were given so far to
/// requests that had waited.
pub fn first(
    waiting: impl Iterator<Item = QueuedRequest>,
    grant_count: u32,
    now: Duration,
) -> Option<usize> {
    let is_oldest_first = grant_count % LONGEST_EVERY == LONGEST_EVERY - 1;
    let ranked_requests = waiting.enumerate().map(|(index, request)| {
        let in_time = request.meets_objective(now);
        let urgency = if is_oldest_first { None } else { Some(request.urgency()) };
        // A nested call that misses its objective blocks the slot of its parent request as much as
        // one that meets its objective.
        let is_first = urgency.is_some_and(|(is_call, _)| is_call);
        ((is_first, in_time, urgency, Reverse(index)), index)
    });
    ranked_requests.max().map(|(_, index)| index)
}

/// Says whether a request that will miss its objective may wait for one of `slots` slots; `in_time`
/// is the number of waiting requests that meet their objectives. If the requests in time fill all
/// slots for a whole service round, the late request may not wait, since more requests in time
/// arrive before the late one is served. The late request is then refused while its caller still
/// has time to try elsewhere.
pub fn accepts_late(in_time: f64, slots: u32) -> bool {
    in_time < f64::from(slots)
}

/// Estimates when a request starts that waits for one of `slots` slots behind `requests_before`
/// other requests, if each request takes `usual`.
pub fn estimate_start(
    requests_before: f64,
    slots: u32,
    usual: Duration,
    now: Duration,
) -> Duration {
    now + usual.mul_f64((requests_before + 1.0) / f64::from(slots.max(1)))
}
