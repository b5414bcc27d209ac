// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How an ejected upstream returns to service: trials, hold-off, slow start.

use std::time::Duration;

/// First hold-off before a trial: a restart or a short pause of a backend server takes less time.
pub const HOLD_OFF_MIN: Duration = Duration::from_secs(1);
/// Longest hold-off: a server that has recovered is tried at least this often.
pub const HOLD_OFF_MAX: Duration = Duration::from_secs(6);
/// Successful trials in a row after which an upstream returns to service.
pub const TRIALS_NEEDED: u32 = 3;
/// Time of the slow start, in which the load of an upstream that returned or started rises to its
/// full share.
pub const RAMP_TIME: Duration = Duration::from_secs(10);
/// Share of its full load that an upstream gets at the beginning of the slow start.
pub const RAMP_START_SHARE: f64 = 0.1;
/// Time after an ejection, as a multiple of the hold-off, from which a non-repeatable request may
/// be a trial as well, if no repeatable request has arrived.
const HOLD_OFFS_BEFORE_ANY_TRIAL: u32 = 4;
/// Time in service, as a multiple of the hold-off, after which a previous ejection no longer
/// lengthens the next.
const FORGET_AFTER_HOLD_OFFS: u32 = 10;

/// `RecoveryState` says whether an upstream is in service or ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RecoveryState {
    /// The upstream is in service.
    Serving {
        /// When the upstream came into service.
        since: Duration,
    },
    /// The upstream is ejected and gets only trials.
    Ejected {
        /// When the upstream was ejected.
        since: Duration,
        /// Next time at which a trial may start.
        trial_at: Duration,
        /// Successful trials in a row.
        passed: u32,
        /// Whether a trial is running.
        running: bool,
    },
}

/// `RecoveryPlan` schedules the return of an upstream to service. Each time the upstream is ejected
/// again, it returns later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryPlan {
    state: RecoveryState,
    hold_off: Duration,
    ramp_from: Option<Duration>,
    ejections: u64,
}

impl RecoveryPlan {
    /// Builds the plan of an upstream that is in service from `now`; a `cold` upstream begins with
    /// a slow start.
    pub fn new(now: Duration, cold: bool) -> Self {
        Self {
            state: RecoveryState::Serving { since: now },
            hold_off: HOLD_OFF_MIN,
            ramp_from: cold.then_some(now),
            ejections: 0,
        }
    }

    /// Returns the state of the upstream.
    pub fn state(&self) -> RecoveryState {
        self.state
    }

    /// Says whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        matches!(self.state, RecoveryState::Ejected { .. })
    }

    /// Returns how often the upstream was ejected.
    pub fn ejections(&self) -> u64 {
        self.ejections
    }

    /// Returns when the current state began.
    pub fn since(&self) -> Duration {
        match self.state {
            RecoveryState::Serving { since } | RecoveryState::Ejected { since, .. } => since,
        }
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: Duration) {
        if let RecoveryState::Serving { since } = self.state {
            let in_service_for = now.saturating_sub(since);
            let is_forgotten = in_service_for > self.hold_off * FORGET_AFTER_HOLD_OFFS;
            if self.ejections > 0 && !is_forgotten {
                self.hold_off = (self.hold_off * 2).min(HOLD_OFF_MAX);
            } else {
                self.hold_off = HOLD_OFF_MIN;
            }
            self.ejections += 1;
            self.state = RecoveryState::Ejected {
                since: now,
                trial_at: now + self.hold_off,
                passed: 0,
                running: false,
            };
        }
    }

    /// Returns how long until a trial with a repeatable request may start, if the upstream is
    /// ejected.
    pub fn trial_in(&self, now: Duration) -> Option<Duration> {
        match self.state {
            RecoveryState::Serving { .. } => None,
            RecoveryState::Ejected { trial_at, .. } => Some(trial_at.saturating_sub(now)),
        }
    }

    /// Starts a trial if one is due; says whether a trial was started.
    pub fn start_trial(&mut self, now: Duration, repeatable: bool) -> bool {
        let non_repeatable_delay = self.hold_off * (HOLD_OFFS_BEFORE_ANY_TRIAL - 1);
        match &mut self.state {
            RecoveryState::Ejected { trial_at, running, .. } if !*running => {
                let due = if repeatable { *trial_at } else { *trial_at + non_repeatable_delay };
                *running = now >= due;
                *running
            }
            _ => false,
        }
    }

    /// Records the end of a trial and says whether the upstream returns to service.
    pub fn end_trial(&mut self, now: Duration, verdict: TrialVerdict) -> bool {
        let (passed, trial_at) = match &mut self.state {
            RecoveryState::Ejected { passed, trial_at, running, .. } => {
                *running = false;
                (passed, trial_at)
            }
            RecoveryState::Serving { .. } => return false,
        };
        match verdict {
            TrialVerdict::Inconclusive => return false,
            TrialVerdict::Failed => {
                *passed = 0;
                self.hold_off = (self.hold_off * 2).min(HOLD_OFF_MAX);
                *trial_at = now + self.hold_off;
                return false;
            }
            TrialVerdict::Passed => *passed += 1,
        }
        if *passed < TRIALS_NEEDED {
            return false;
        }
        self.state = RecoveryState::Serving { since: now };
        self.ramp_from = Some(now);
        true
    }

    /// Begins a new slow start at `now`.
    pub fn ramp_from(&mut self, now: Duration) {
        self.ramp_from = Some(now);
    }

    /// Returns the share of its full load that the upstream should get, 0.1 to 1.
    pub fn ramp(&self, now: Duration) -> f64 {
        let start = match self.ramp_from {
            Some(start) => start,
            None => return 1.0,
        };
        let elapsed_share = now.saturating_sub(start).as_secs_f64() / RAMP_TIME.as_secs_f64();
        (RAMP_START_SHARE + (1.0 - RAMP_START_SHARE) * elapsed_share).clamp(RAMP_START_SHARE, 1.0)
    }
}

/// `TrialVerdict` is the result of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialVerdict {
    /// The upstream answered within its typical service time.
    Passed,
    /// The upstream failed the request or was much too slow.
    Failed,
    /// The end of the request says nothing about the upstream.
    Inconclusive,
}
