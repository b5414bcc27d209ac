// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The phases of a planned stop: what is still taken, and when the process may end.
//!
//! The load is that of callers who go on sending for as long as the daemon lives. They hear late that
//! it leaves, and where most of a failure domain stops at once, they are sent nowhere else: one in 15 of
//! the requests that stopping daemons took came later than half of the grace (66 of 959, logs of 62
//! stops in series). So a stop first closes, which takes nothing more, and ends only after that: what
//! was taken has ended then, and nothing can come in between.
//!
//! Until the callers have heard, the backend servers beside the daemon go on working: they are not
//! leaving. Where a third of a fleet stops at once, as much of its capacity would be idle for that time:
//! a server got nothing for 3.4 s in the middle, and gets nothing for 1.5 s (logs of 372 stops each).

use std::time::Duration;

/// Share of the longest drain for which work is taken, however long callers take to hear: what comes last
/// has as long to end as the daemon listened to them. What is refused after it ran nowhere.
const OPEN_SHARE: f64 = 0.5;
/// Time before the end of the shortest drain at which the other daemons are told: no way there and back
/// is longer than 0.3 s (between far regions), so that nothing of theirs is on its way when the daemon ends.
const HAND_OVER: Duration = Duration::from_millis(400);
/// Time before the end of the longest drain at which requests that still wait are answered as not known:
/// an answer takes a few milliseconds to its caller, and a connection that just ends says less.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// `StopPhase` is how far a stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StopPhase {
    /// Callers' requests and the work of other daemons are taken.
    #[default]
    Open,
    /// The other daemons are told; their work is refused, callers' requests are still taken.
    HandingOver,
    /// Only calls of work that runs here are taken; all else is refused as not run.
    Closed,
    /// Who still waits is told that the end is not known.
    GivingUp {
        /// When that began.
        since: Duration,
    },
    /// The process ends.
    Over(StopCause),
}

/// `StopCause` says why a daemon ends now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// What was taken has ended.
    Idle,
    /// The longest drain was over before that.
    Time,
    /// It was asked to end at once.
    Signal,
}

impl StopCause {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Time => "time",
            Self::Signal => "signal",
        }
    }
}

/// `StopTerms` are the bounds of a stop, as times since it was asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTerms {
    /// Shortest drain: within it callers hear that the daemon leaves.
    pub shortest: Duration,
    /// Longest drain: the process ends then, whatever is in flight.
    pub longest: Duration,
}

impl StopTerms {
    /// Returns the phase that follows, `elapsed` after the stop was asked for, while so many things are
    /// `unfinished` that must be done before the process may end.
    pub fn next(&self, phase: StopPhase, elapsed: Duration, unfinished: usize) -> StopPhase {
        let is_idle = unfinished == 0;
        match phase {
            StopPhase::Open if elapsed >= self.hands_over_after() => StopPhase::HandingOver,
            StopPhase::HandingOver if is_idle && elapsed >= self.may_close_after() => {
                StopPhase::Closed
            }
            StopPhase::HandingOver if elapsed >= self.closes_after() => StopPhase::Closed,
            // Idle while closed: nothing was taken since. To close and end on the same look would cut what
            // comes with it.
            StopPhase::Closed if is_idle => StopPhase::Over(StopCause::Idle),
            StopPhase::Closed if elapsed >= self.gives_up_after() => {
                StopPhase::GivingUp { since: elapsed }
            }
            // A daemon that slept gives up late; its last answers take as long as ever.
            StopPhase::GivingUp { since } if is_idle || elapsed >= since + LAST_ANSWERS => {
                StopPhase::Over(StopCause::Time)
            }
            same => same,
        }
    }

    /// Says whether a request is taken, `elapsed` after the stop was asked for. A call of work that runs
    /// here is taken longer: the stop waits for that work, which fails without it.
    ///
    /// The phase is that of the last look. A daemon that slept since then goes by the clock, lest it take
    /// requests on waking, run them, and give them up 40 ms later (tests with a stopped process).
    pub fn takes(&self, phase: StopPhase, elapsed: Duration, is_call: bool) -> bool {
        match phase {
            StopPhase::Open | StopPhase::HandingOver if elapsed < self.closes_after() => true,
            StopPhase::Open | StopPhase::HandingOver | StopPhase::Closed => {
                is_call && elapsed < self.gives_up_after()
            }
            StopPhase::GivingUp { .. } | StopPhase::Over(_) => false,
        }
    }

    /// Says whether work at a backend server of this host is started that must end `ends` after the stop was
    /// asked for. Once the other daemons are told it must be sure to end: work that waits here for seconds
    /// is else lost to callers whose own daemon stops as well (8 requests in logs of 870 stops in series, on a
    /// fleet whose requests may last for 10 s).
    pub fn starts(&self, phase: StopPhase, ends: Duration) -> bool {
        phase == StopPhase::Open || ends <= self.gives_up_after()
    }

    /// Returns the time after which who still waits is given up.
    pub fn gives_up_after(&self) -> Duration {
        self.longest.saturating_sub(LAST_ANSWERS)
    }

    /// Returns the time after which the other daemons are told.
    fn hands_over_after(&self) -> Duration {
        self.may_close_after().saturating_sub(HAND_OVER)
    }

    /// Returns the time after which the stop closes once nothing is in flight.
    fn may_close_after(&self) -> Duration {
        self.shortest.min(self.closes_after())
    }

    /// Returns the time after which the stop closes although work is in flight.
    fn closes_after(&self) -> Duration {
        self.longest.mul_f64(OPEN_SHARE)
    }
}
