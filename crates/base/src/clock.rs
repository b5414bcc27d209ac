// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The daemon's clock: monotonic time since its start, which includes time for which the host is
//! suspended.
//!
//! Deadlines, leases and knowledge about peers must not stay valid for longer because the host was
//! suspended. They are therefore measured with the system's boot-time clock.
//!
//! Timers don't advance during a suspend and fire late: code that waits for a point in time awaits
//! [`DaemonClock::passed_after_resume`] beside the timer. Durations, such as the response time of a
//! server, are measured with [`std::time::Instant`], which doesn't advance during a suspend. A
//! duration is discarded if the host was suspended during the measurement
//! ([`DaemonClock::suspended_since`]).

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::sys::time::TimeValLike;
use nix::time::{self, ClockId};
use snafu::{ResultExt, Snafu};

use crate::signal::RisingSignal;

/// Shortest difference between the boot-time clock and the steady clock that counts as a suspend:
/// the two clocks are read in succession, and the daemon may be delayed in between. A shorter
/// suspend is treated like any other delay.
const DETECTED_SUSPEND_MIN: Duration = Duration::from_millis(50);

/// `ClockError` is the reason why the clock could not be started.
#[derive(Debug, Snafu)]
pub enum ClockError {
    /// The system doesn't provide a boot-time clock.
    #[snafu(display("cannot read the boot-time clock: {source}"))]
    Unreadable {
        /// What the system reported.
        source: nix::Error,
    },
}

#[derive(Debug)]
struct ClockState {
    /// Reading of the boot-time clock when the daemon's clock was started.
    start_boot_time: Duration,
    /// Reading of the steady clock, which stops during a suspend, when the daemon's clock was
    /// started.
    start_instant: Instant,
    /// Total length of the suspends that a test simulated.
    simulated_suspend: Cell<Duration>,
    /// Total length of all suspends since the start of the clock, as of the last detected suspend.
    suspended: Cell<Duration>,
    /// Latest time that the clock returned.
    latest: Cell<Duration>,
    /// Time of this clock at which the last suspend was detected.
    resumed_at: Cell<Option<Duration>>,
    /// Length of the last detected suspend.
    last_suspend: Cell<Duration>,
    /// Raised when a suspend is detected.
    resumed: RisingSignal,
}

/// `DaemonClock` is a clock that starts with the daemon and includes suspends of the host.
#[derive(Debug, Clone)]
pub struct DaemonClock {
    state: Rc<ClockState>,
}

fn boot_time() -> Result<Duration, nix::Error> {
    let time = time::clock_gettime(ClockId::CLOCK_BOOTTIME)?;
    Ok(Duration::from_nanos(time.num_nanoseconds().max(0) as u64))
}

impl DaemonClock {
    /// Starts the clock. Fails if the system has no boot-time clock.
    pub fn try_new() -> Result<Self, ClockError> {
        // The steady clock is read before the boot-time clock, in the opposite order to `now`: a
        // delay between the two reads must not be mistaken for a suspend.
        let start_instant = Instant::now();
        let start_boot_time = boot_time().context(UnreadableSnafu)?;
        let state = ClockState {
            start_boot_time,
            start_instant,
            simulated_suspend: Cell::default(),
            suspended: Cell::default(),
            latest: Cell::default(),
            resumed_at: Cell::default(),
            last_suspend: Cell::default(),
            resumed: RisingSignal::default(),
        };
        Ok(Self { state: Rc::new(state) })
    }

    /// Returns the time since the start of the clock. The first call after a suspend detects the
    /// suspend.
    pub fn now(&self) -> Duration {
        let state = &self.state;
        // The boot-time clock is read before the steady clock: a delay between the two reads can
        // then only hide a suspend, not simulate one.
        let boot_reading = boot_time().unwrap_or(state.start_boot_time + state.latest.get());
        let steady_time = state.start_instant.elapsed();
        let since_start =
            boot_reading.saturating_sub(state.start_boot_time) + state.simulated_suspend.get();
        let now = since_start.max(state.latest.get());
        state.latest.set(now);
        let suspended = now.saturating_sub(steady_time);
        if suspended > state.suspended.get() + DETECTED_SUSPEND_MIN {
            state.last_suspend.set(suspended - state.suspended.replace(suspended));
            state.resumed_at.set(Some(now));
            state.resumed.raise();
        }
        now
    }

    /// Returns the signal that is raised when the host resumes from a suspend.
    pub fn resumed(&self) -> &RisingSignal {
        &self.state.resumed
    }

    /// Returns the length of the last suspend.
    pub fn last_suspend(&self) -> Duration {
        self.state.last_suspend.get()
    }

    /// Returns whether the host was suspended since `moment`. Durations measured from `moment` are
    /// then invalid.
    pub fn suspended_since(&self, moment: Duration) -> bool {
        self.state.resumed_at.get().is_some_and(|resumed_at| resumed_at >= moment)
    }

    /// Waits until the host has resumed from a suspend and `moment` has passed. Code that waits for
    /// `moment` with a timer awaits this function as well as the timer. Without a suspend, the
    /// function never completes.
    pub async fn passed_after_resume(&self, moment: Duration) {
        let mut seen = self.state.resumed.get();
        loop {
            seen = self.state.resumed.above(seen).await;
            if self.now() >= moment {
                return;
            }
        }
    }

    /// Advances the clock as if the host had been suspended for `length`. For tests.
    pub fn add_suspend(&self, length: Duration) {
        self.state.simulated_suspend.set(self.state.simulated_suspend.get() + length);
    }
}
