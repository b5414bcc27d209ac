// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Ends a daemon without cutting what is in flight.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_events::process;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote};

use crate::membership::{self, BeatNews};
use crate::signal::RisingSignal;
use crate::state::DaemonState;

/// Time between looks at what is still in flight while the daemon stops.
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// Time before the end of the longest drain at which requests that still wait are answered as not known:
/// an answer takes a few milliseconds to its caller, and a connection that just ends says less.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

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
    /// Raised when a stop nears its end: requests that still wait get their final answer.
    pub giving_up: RisingSignal,
    /// Raised when nothing is in flight any more and the daemon ends.
    pub ending: RisingSignal,
    asked_at: Cell<Option<Duration>>,
    in_flight: Cell<usize>,
}

impl StopState {
    /// Says whether the daemon is asked to stop.
    pub fn is_asked(&self) -> bool {
        self.asked.is_raised()
    }

    /// Returns when the daemon began to stop, since its start.
    pub fn asked_at(&self) -> Option<Duration> {
        self.asked_at.get()
    }

    /// Returns the number of callers' requests and peers' dispatches that are not over.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts work in flight for as long as the guard lives.
    pub fn count_in_flight(&self) -> InFlightGuard<'_> {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlightGuard { stop: self }
    }
}

/// `InFlightGuard` counts one piece of work in flight.
pub struct InFlightGuard<'a> {
    stop: &'a StopState,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let count = self.stop.in_flight.get();
        self.stop.in_flight.set(count - 1);
    }
}

/// Refuses new work, tells the peers, and waits until what is in flight has ended.
pub async fn run(state: &Rc<DaemonState>) -> StopReport {
    let stop = &state.stop;
    process::DaemonLeaving { in_flight: stop.in_flight() as u64 }.log();
    membership::beat(state, BeatNews::Own);
    tell_accepted(state);
    state.roster.touch();
    let begin = state.now();
    stop.asked_at.set(Some(begin));
    let last_answers = state.live().drain.saturating_sub(LAST_ANSWERS);
    let mut given_up = 0;
    loop {
        let elapsed = state.now().saturating_sub(begin);
        let busy = stop.in_flight();
        let twice = stop.asked.get() > 1;
        let late = elapsed >= state.live().drain;
        if elapsed >= last_answers && !stop.giving_up.is_raised() {
            given_up = busy;
            stop.giving_up.raise();
        }
        if (busy == 0 && elapsed >= state.live().drain_min) || twice || late {
            stop.ending.raise();
            // Idle connections are closed by their tasks before the process is gone.
            monoio::time::sleep(DRAIN_LOOK).await;
            // Counted anew: the process ends now, whatever a look before said.
            let cut = stop.in_flight().max(given_up);
            let report = StopReport { cut };
            let elapsed_ms = elapsed.as_millis() as u64;
            let cause = match (twice, stop.giving_up.is_raised()) {
                (true, _) => "signal",
                (_, true) => "time",
                _ => "idle",
            };
            process::DaemonStopped { cause, cut: cut as u64, elapsed_ms }.log();
            return report;
        }
        monoio::time::sleep(DRAIN_LOOK).await;
    }
}

/// Tells the daemons that dialled here, who send work here, that this one is leaving.
fn tell_accepted(state: &Rc<DaemonState>) {
    for link in state.members.some_accepted(usize::MAX) {
        let note = HeartbeatNote {
            reply: true,
            revision: state.config.revision().0 as i64,
            members: state.members.some_entries(state, &[]),
        };
        let _ = link.sender().send(NO_EXCHANGE, FrameBody::Heartbeat(note));
    }
}
