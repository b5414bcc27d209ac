// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Ends a daemon without cutting what is in flight.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::signal::RisingSignal;
use basaltarch_decide::stop::{StopCause, StopPhase, StopTerms};
use basaltarch_events::process;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote};

use crate::membership::{self, BeatNews};
use crate::state::DaemonState;

/// Time between looks at what is still in flight while the daemon stops.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// Most looks whether callers have read their last answers: together a third of the time that the
/// platform's kill comes after the longest drain.
const LINGER_LOOKS: usize = 5;

/// `StopReport` says how a daemon ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were cut, or answered before it was known how they end.
    pub cut: usize,
}

/// `StopState` is how far a daemon is with its end, and what it still waits for.
#[derive(Debug, Default)]
pub struct StopState {
    /// Raised when the daemon is asked to stop.
    pub asked: RisingSignal,
    /// Raised when a daemon that stops is asked to end at once.
    pub interrupted: RisingSignal,
    /// Raised when no more requests of callers are taken.
    pub closing: RisingSignal,
    /// Raised when a stop nears its end: requests that still wait get their final answer.
    pub giving_up: RisingSignal,
    /// Raised when the daemon ends: idle connections are closed.
    pub ending: RisingSignal,
    phase: Cell<StopPhase>,
    begun: Cell<Option<StopBegin>>,
    in_flight: Cell<usize>,
    lingering: Cell<usize>,
}

/// `StopBegin` is when a stop began and on which terms: settings that are read again during it are for the
/// next one.
#[derive(Debug, Clone, Copy)]
struct StopBegin {
    at: Duration,
    terms: StopTerms,
}

impl StopState {
    /// Says whether the daemon is asked to stop.
    pub fn is_asked(&self) -> bool {
        self.asked.is_raised()
    }

    /// Returns what a person at a terminal asks for: a stop, or the end of one that lasts too long.
    ///
    /// No other request does the second. Requests to stop come twice when planned work overlaps, or when
    /// an operator drains a daemon that the platform then stops; the platform has its kill for the rest.
    pub fn next_of_interrupt(&self) -> &RisingSignal {
        if self.is_asked() {
            &self.interrupted
        } else {
            &self.asked
        }
    }

    /// Says whether the daemon takes no more work of other daemons.
    pub fn is_handing_over(&self) -> bool {
        self.phase.get() != StopPhase::Open
    }

    /// Says whether the daemon starts no work any more.
    pub fn is_closed(&self) -> bool {
        !matches!(self.phase.get(), StopPhase::Open | StopPhase::HandingOver)
    }

    /// Says whether the daemon waits for nothing new any more: it gives up what it waits for, or ends. One
    /// that slept over its longest drain goes by the clock.
    pub fn is_over(&self, now: Duration) -> bool {
        let slept = |begin: StopBegin| now.saturating_sub(begin.at) >= begin.terms.longest;
        matches!(self.phase.get(), StopPhase::GivingUp { .. } | StopPhase::Over(_))
            || self.begun.get().is_some_and(slept)
    }

    /// Returns when the daemon began to stop, since its start.
    pub fn asked_at(&self) -> Option<Duration> {
        self.begun.get().map(|begin| begin.at)
    }

    /// Returns the number of callers' requests and peers' dispatches that are not over.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts work in flight for as long as the guard lives.
    pub fn count_in_flight(&self) -> CountGuard<'_> {
        CountGuard::new(&self.in_flight)
    }

    /// Counts a connection whose answer is written but may not be read yet, for as long as the guard lives.
    pub fn count_lingering(&self) -> CountGuard<'_> {
        CountGuard::new(&self.lingering)
    }
}

/// `CountGuard` counts one of something for as long as it lives.
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

/// Says whether a caller's request with this id is taken.
///
/// Between this and the moment at which the request is counted in flight nothing may be waited for: the
/// daemon ends as soon as it is closed and nothing is in flight.
pub fn takes(state: &DaemonState, request: &str) -> bool {
    let begin = match state.stop.begun.get() {
        Some(begin) => begin,
        None => return true,
    };
    let elapsed = state.now().saturating_sub(begin.at);
    let is_call = state.host.calls.caller_of(request).is_some();
    begin.terms.takes(state.stop.phase.get(), elapsed, is_call)
}

/// Says whether work at a backend server of this host is started now that must end by `deadline`.
pub fn starts(state: &DaemonState, deadline: Duration) -> bool {
    let begin = match state.stop.begun.get() {
        Some(begin) => begin,
        None => return true,
    };
    begin.terms.starts(state.stop.phase.get(), deadline.saturating_sub(begin.at))
}

/// Returns the deadline of a request that is taken now: a closed stop takes only calls of work that runs
/// here, and gives that work up then.
pub fn bounded_deadline(state: &DaemonState, deadline: Duration) -> Duration {
    match state.stop.begun.get() {
        Some(begin) if state.stop.is_closed() => {
            deadline.min(begin.at + begin.terms.gives_up_after())
        }
        _ => deadline,
    }
}

/// Refuses new work phase by phase, and waits until what is in flight has ended.
pub async fn run(state: &Rc<DaemonState>) -> StopReport {
    let stop = &state.stop;
    process::DaemonLeaving { in_flight: stop.in_flight() as u64 }.log();
    let options = state.live();
    let terms = StopTerms { shortest: options.drain_min, longest: options.drain };
    let begin = state.now();
    stop.begun.set(Some(StopBegin { at: begin, terms }));
    let mut given_up = 0;
    loop {
        let elapsed = state.now().saturating_sub(begin);
        let mut next = terms.next(stop.phase.get(), elapsed, unfinished(state));
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
        monoio::time::sleep(DRAIN_LOOK).await;
    }
}

/// Returns the number of things that must be done before the process may end.
///
/// What was acknowledged of the backend servers is one of them until the row tells it: the next start of
/// this daemon takes back whom the row tells of, and sends work to a server that has left.
fn unfinished(state: &DaemonState) -> usize {
    state.stop.in_flight() + usize::from(state.roster.has_unwritten_servers())
}

/// Takes no more work of other daemons from here on, and tells them. Of what waits for a slot here, what is
/// not sure to end in time goes elsewhere at once.
fn hand_over(state: &Rc<DaemonState>, elapsed: Duration) {
    let in_flight = state.stop.in_flight() as u64;
    process::DaemonHandingOver { in_flight, elapsed_ms: elapsed.as_millis() as u64 }.log();
    membership::beat(state, BeatNews::Own);
    tell_accepted(state);
    state.roster.touch();
    for upstream in state.host.all() {
        upstream.slots.refuse_late(|deadline| !starts(state, deadline));
    }
}

/// Takes no more callers' requests from here on, those included whose body has not come.
fn close(state: &DaemonState, elapsed: Duration) {
    let in_flight = state.stop.in_flight() as u64;
    process::DaemonClosed { in_flight, elapsed_ms: elapsed.as_millis() as u64 }.log();
    state.stop.closing.raise();
}

/// Ends idle connections and says how the stop went.
async fn end(
    state: &DaemonState,
    cause: StopCause,
    given_up: usize,
    elapsed: Duration,
) -> StopReport {
    state.stop.ending.raise();
    // Idle connections are closed by their tasks before the process is gone.
    for _ in 0..LINGER_LOOKS {
        monoio::time::sleep(DRAIN_LOOK).await;
        if state.stop.lingering.get() == 0 {
            break;
        }
    }
    // Counted anew: the process ends now, whatever a look before said.
    let cut = state.stop.in_flight().max(given_up);
    let elapsed_ms = elapsed.as_millis() as u64;
    process::DaemonStopped { cause: cause.name(), cut: cut as u64, elapsed_ms }.log();
    StopReport { cut }
}

/// Tells the daemons that dialled here, who send work here, that this one is leaving.
fn tell_accepted(state: &Rc<DaemonState>) {
    for link in state.members.some_accepted(usize::MAX) {
        let members = state.members.some_entries(state, &[]);
        // It wants no answer.
        let note = HeartbeatNote { reply: true, ..membership::heartbeat_request(state, members) };
        let _ = link.sender().send(NO_EXCHANGE, FrameBody::Heartbeat(note));
    }
}
