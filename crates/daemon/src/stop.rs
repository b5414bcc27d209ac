// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Shuts a daemon down gracefully, without cutting requests in flight.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::signal::RisingSignal;
use basaltarch_decide::stop::{StopCause, StopPhase, StopTerms};
use basaltarch_events::process;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote};

use crate::membership::{self, HeartbeatContent};
use crate::state::DaemonState;

/// Time between checks for requests in flight during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of checks whether callers have read their last responses. All checks together
/// take a third of the time from the end of the longest drain to the platform's kill.
const LINGER_CHECKS_MAX: usize = 5;

/// `StopReport` says how a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were cut, or answered before their outcome was known.
    pub cut: usize,
}

/// `StopState` is the progress of a daemon's shutdown, and the counts of requests and connections
/// that the shutdown waits for.
#[derive(Debug, Default)]
pub struct StopState {
    /// Raised when the daemon is asked to stop.
    pub asked: RisingSignal,
    /// Raised when a daemon that is stopping is asked to end at once.
    pub interrupted: RisingSignal,
    /// Raised when no more requests of callers are accepted.
    pub closing: RisingSignal,
    /// Raised shortly before the end of the shutdown: requests that are still in flight get their
    /// final response.
    pub giving_up: RisingSignal,
    /// Raised when the daemon ends: idle connections are closed.
    pub ending: RisingSignal,
    phase: Cell<StopPhase>,
    stop_begin: Cell<Option<StopBegin>>,
    in_flight: Cell<usize>,
    lingering: Cell<usize>,
}

/// `StopBegin` is when a shutdown began, and its terms. Settings that are reloaded during a
/// shutdown do not change the terms.
#[derive(Debug, Clone, Copy)]
struct StopBegin {
    began_at: Duration,
    terms: StopTerms,
}

impl StopState {
    /// Says whether the daemon is asked to stop.
    pub fn is_asked(&self) -> bool {
        self.asked.is_raised()
    }

    /// Returns the signal to raise when a person at a terminal interrupts the daemon: the signal of
    /// a stop, or the signal of an immediate end if the daemon is stopping already.
    ///
    /// A repeated request to stop that comes from the platform or an operator does not end the
    /// daemon at once. Such requests come twice when planned maintenance overlaps, or when an
    /// operator drains a daemon that the platform then stops. The platform can still kill the
    /// daemon.
    pub fn interrupt_signal(&self) -> &RisingSignal {
        if self.is_asked() {
            &self.interrupted
        } else {
            &self.asked
        }
    }

    /// Says whether the daemon accepts no more requests of other daemons.
    pub fn is_handing_over(&self) -> bool {
        self.phase.get() != StopPhase::Open
    }

    /// Says whether the daemon starts no more requests.
    pub fn is_closed(&self) -> bool {
        !matches!(self.phase.get(), StopPhase::Open | StopPhase::HandingOver)
    }

    /// Says whether the drain is over, so that the daemon gives up the requests in flight or ends.
    /// A daemon that was suspended past its longest drain may not have entered a later phase yet,
    /// so the clock is checked as well.
    pub fn is_over(&self, now: Duration) -> bool {
        let is_past_longest =
            |begin: StopBegin| now.saturating_sub(begin.began_at) >= begin.terms.longest;
        matches!(self.phase.get(), StopPhase::GivingUp { .. } | StopPhase::Over(_))
            || self.stop_begin.get().is_some_and(is_past_longest)
    }

    /// Returns the time from the daemon's start to the beginning of its shutdown.
    pub fn asked_at(&self) -> Option<Duration> {
        self.stop_begin.get().map(|begin| begin.began_at)
    }

    /// Returns the number of callers' requests and peers' dispatches that have not ended.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request as in flight for as long as the guard lives.
    pub fn count_in_flight(&self) -> CountGuard<'_> {
        CountGuard::new(&self.in_flight)
    }

    /// Counts a connection whose response is written but may not have been read yet, for as long as
    /// the guard lives.
    pub fn count_lingering(&self) -> CountGuard<'_> {
        CountGuard::new(&self.lingering)
    }
}

/// `CountGuard` adds one to a count, such as that of requests in flight, for as long as it lives.
pub struct CountGuard<'a> {
    count: &'a Cell<usize>,
}

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}

/// Says whether a caller's request with this id is admitted.
///
/// Nothing may be awaited between this check and the moment at which the request is counted as in
/// flight: the daemon ends as soon as it is closed and nothing is in flight.
pub fn admits_request(state: &DaemonState, request: &str) -> bool {
    let begin = match state.stop.stop_begin.get() {
        Some(begin) => begin,
        None => return true,
    };
    let elapsed = state.now().saturating_sub(begin.began_at);
    let is_call = state.host.calls.parent_of(request).is_some();
    begin.terms.admits_request(state.stop.phase.get(), elapsed, is_call)
}

/// Says whether a request that must end by `deadline` may still be started at a backend server of
/// this host.
pub fn allows_start(state: &DaemonState, deadline: Duration) -> bool {
    let begin = match state.stop.stop_begin.get() {
        Some(begin) => begin,
        None => return true,
    };
    begin.terms.allows_start(state.stop.phase.get(), deadline.saturating_sub(begin.began_at))
}

/// Returns the deadline of a request that is admitted now. After the stop has closed, only nested
/// calls of requests that run at this daemon are admitted, and those requests are given up at the
/// returned time.
pub fn bounded_deadline(state: &DaemonState, deadline: Duration) -> Duration {
    match state.stop.stop_begin.get() {
        Some(begin) if state.stop.is_closed() => {
            deadline.min(begin.began_at + begin.terms.gives_up_after())
        }
        _ => deadline,
    }
}

/// Refuses new requests phase by phase, and waits until the requests in flight have ended.
pub async fn run(state: &Rc<DaemonState>) -> StopReport {
    let stop = &state.stop;
    process::DaemonLeaving { in_flight: stop.in_flight() as u64 }.log();
    let options = state.live();
    let terms = StopTerms { shortest: options.drain_min, longest: options.drain };
    let begin = state.now();
    stop.stop_begin.set(Some(StopBegin { began_at: begin, terms }));
    let mut given_up = 0;
    loop {
        let elapsed = state.now().saturating_sub(begin);
        let mut next = terms.next(stop.phase.get(), elapsed, count_unfinished(state));
        if stop.interrupted.is_raised() {
            next = StopPhase::Over(StopCause::Signal);
        }
        let has_changed = stop.phase.replace(next) != next;
        match next {
            StopPhase::HandingOver if has_changed => hand_over(state, elapsed),
            StopPhase::Closed if has_changed => close(state, elapsed),
            StopPhase::GivingUp { .. } if has_changed => {
                given_up = stop.in_flight();
                stop.giving_up.raise();
            }
            StopPhase::Over(cause) => return end(state, cause, given_up, elapsed).await,
            _ => {}
        }
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Returns the number of conditions that must clear before the process may end.
///
/// Each request in flight is a condition. Another condition is a backend server whose departure was
/// acknowledged while the row in the store may still list the server. The next incarnation of this
/// daemon restores the servers that the row lists, and would send requests to a server that has
/// left.
fn count_unfinished(state: &DaemonState) -> usize {
    state.stop.in_flight() + usize::from(state.roster.has_unwritten_servers())
}

/// Stops accepting requests of other daemons, and notifies these daemons. Queued requests that
/// might not end in time are refused at once, so that they are sent to another host.
fn hand_over(state: &Rc<DaemonState>, elapsed: Duration) {
    let in_flight = state.stop.in_flight() as u64;
    process::DaemonHandingOver { in_flight, elapsed_ms: elapsed.as_millis() as u64 }.log();
    membership::send_heartbeats(state, HeartbeatContent::Own);
    notify_accepted(state);
    state.roster.signal_change();
    for upstream in state.host.all() {
        upstream.slots.refuse_late(|deadline| !allows_start(state, deadline));
    }
}

/// Stops accepting callers' requests, including requests whose body is still being received.
fn close(state: &DaemonState, elapsed: Duration) {
    let in_flight = state.stop.in_flight() as u64;
    process::DaemonClosed { in_flight, elapsed_ms: elapsed.as_millis() as u64 }.log();
    state.stop.closing.raise();
}

/// Closes idle connections and reports how the stop went.
async fn end(
    state: &DaemonState,
    cause: StopCause,
    given_up: usize,
    elapsed: Duration,
) -> StopReport {
    state.stop.ending.raise();
    // Gives the tasks of idle connections time to close them before the process ends.
    for _ in 0..LINGER_CHECKS_MAX {
        monoio::time::sleep(DRAIN_POLL_INTERVAL).await;
        if state.stop.lingering.get() == 0 {
            break;
        }
    }
    // The requests in flight are counted again, since the process ends now regardless of what an
    // earlier check found.
    let cut = state.stop.in_flight().max(given_up);
    let elapsed_ms = elapsed.as_millis() as u64;
    process::DaemonStopped { cause: cause.name(), cut: cut as u64, elapsed_ms }.log();
    StopReport { cut }
}

/// Notifies the daemons that dialled this daemon, and so send it requests, that it is leaving.
fn notify_accepted(state: &Rc<DaemonState>) {
    for link in state.members.sample_accepted(usize::MAX) {
        let members = state.members.sample_entries(state, &[]);
        // The heartbeat is marked as a reply, so that the peer sends no reply to it.
        let note = HeartbeatNote { reply: true, ..membership::heartbeat_request(state, members) };
        let _ = link.sender().send(NO_EXCHANGE, FrameBody::Heartbeat(note));
    }
}
