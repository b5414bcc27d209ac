// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How an ejected upstream returns to service: trials, hold-off, slow start.

use std::time::Duration;

/// First hold-off before a trial: a restart or a short pause of a backend server takes less time.
pub const HOLD_OFF_MIN: Duration = Duration::from_secs(1);
/// Longest hold-off: a server that has recovered must not be idle for longer while its service turns
/// requests away.
pub const HOLD_OFF_MAX: Duration = Duration::from_secs(2);
/// Successful trials in a row after which an upstream returns to service from its first ejection.
pub const TRIALS_NEEDED: u32 = 3;
/// Ejections in quick succession up to which each further one makes [`TRIALS_NEEDED`] more trials
/// necessary.
const COUNTED_EJECTIONS_MAX: u32 = 4;
/// Time of the slow start, in which the load of an upstream that returned or started rises to its
/// full share.
pub const RAMP_TIME: Duration = Duration::from_secs(10);
/// Share of its full load that an upstream gets at the beginning of the slow start.
pub const RAMP_START_SHARE: f64 = 0.1;
/// Time after an ejection, as a multiple of the hold-off, from which a non-repeatable request may
/// be a trial as well, if no repeatable request has arrived.
const HOLD_OFFS_BEFORE_ANY_TRIAL: u32 = 4;
/// Time in service, for each recent ejection, after which the recent ejections no longer lengthen
/// the next one.
const FORGET_AFTER_EACH: Duration = Duration::from_secs(10);

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
        /// The trial that is running, if any.
        running: Option<RunningTrial>,
    },
}

/// `RunningTrial` is a trial that has not ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningTrial {
    started: Duration,
    /// When the trial counts as failed if it has not ended by then.
    fails_at: Duration,
}

/// `RecoveryPlan` schedules the return of an upstream to service. Each time the upstream is ejected
/// again, it must pass more trials.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryPlan {
    state: RecoveryState,
    hold_off: Duration,
    ramp_from: Option<Duration>,
    ejections: u64,
    /// Ejections in quick succession, up to [`COUNTED_EJECTIONS_MAX`].
    recent_ejections: u32,
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
            recent_ejections: 0,
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
            if in_service_for > FORGET_AFTER_EACH * self.recent_ejections {
                self.recent_ejections = 0;
                self.hold_off = HOLD_OFF_MIN;
            } else if self.recent_ejections > 0 {
                self.hold_off = (self.hold_off * 2).min(HOLD_OFF_MAX);
            }
            self.recent_ejections = (self.recent_ejections + 1).min(COUNTED_EJECTIONS_MAX);
            self.ejections += 1;
            self.state = RecoveryState::Ejected {
                since: now,
                trial_at: now + self.hold_off,
                passed: 0,
                running: None,
            };
        }
    }

    /// Returns how long until a trial with a repeatable request may start, if the upstream is
    /// ejected.
    pub fn trial_in(&self, now: Duration) -> Option<Duration> {
        let mut settled_plan = *self;
        settled_plan.fail_overdue_trial(now);
        match settled_plan.state {
            RecoveryState::Serving { .. } => None,
            RecoveryState::Ejected { trial_at, .. } => Some(trial_at.saturating_sub(now)),
        }
    }

    /// Starts a trial if one is due; says whether a trial was started. A trial that has not ended
    /// after `overdue_after` counts as failed, so that it keeps no other away.
    pub fn start_trial(
        &mut self,
        now: Duration,
        repeatable: bool,
        overdue_after: Option<Duration>,
    ) -> bool {
        self.fail_overdue_trial(now);
        let non_repeatable_delay = self.hold_off * (HOLD_OFFS_BEFORE_ANY_TRIAL - 1);
        let RecoveryState::Ejected { trial_at, running, .. } = &mut self.state else {
            return false;
        };
        let due = if repeatable { *trial_at } else { *trial_at + non_repeatable_delay };
        if running.is_some() || now < due {
            return false;
        }
        let fails_at = overdue_after.map_or(Duration::MAX, |overdue_after| now + overdue_after);
        *running = Some(RunningTrial { started: now, fails_at });
        true
    }

    /// Records that the running trial has failed if it is overdue.
    fn fail_overdue_trial(&mut self, now: Duration) {
        let RecoveryState::Ejected { running: Some(trial), .. } = self.state else { return };
        if now >= trial.fails_at {
            self.end_trial(trial.started, trial.fails_at, TrialVerdict::Failed);
        }
    }

    /// Records the end of the trial that started at `started`, and says whether the upstream returns
    /// to service. The end of a trial that already counted as failed changes nothing.
    pub fn end_trial(&mut self, started: Duration, now: Duration, verdict: TrialVerdict) -> bool {
        let RecoveryState::Ejected { passed, trial_at, running, .. } = &mut self.state else {
            return false;
        };
        if running.is_none_or(|trial| trial.started != started) {
            return false;
        }
        *running = None;
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
        if *passed < TRIALS_NEEDED * self.recent_ejections {
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
