// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The daemon's clock: time since its start, which never goes back and goes on while the host is suspended.
//!
//! Whatever holds for a time (a deadline, a lease, what was heard of a peer) must not hold longer because
//! the host slept, so it is told by the boot clock of the system. Timers stand still meanwhile and fire late:
//! whoever waits for a moment waits with [`DaemonClock::passed`] beside the timer. What is measured (how
//! long a server took) is told by [`std::time::Instant`], which doesn't count the sleep, and is thrown
//! away if the host slept meanwhile ([`DaemonClock::slept_since`]).

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nix::sys::time::TimeValLike;
use nix::time::{self, ClockId};
use snafu::{ResultExt, Snafu};

use crate::signal::RisingSignal;

/// Shortest sleep that counts as one: both clocks are read one after the other, and the daemon may be held
/// up between; shorter sleeps are like any other hold-up.
const SLEEP_MIN: Duration = Duration::from_millis(50);

/// `ClockError` says why there is no clock.
#[derive(Debug, Snafu)]
pub enum ClockError {
    /// The system doesn't tell its boot time.
    #[snafu(display("the boot clock can't be read: {source}"))]
    Unreadable {
        /// What the system reported.
        source: nix::Error,
    },
}

#[derive(Debug)]
struct ClockState {
    booted: Duration,
    steady: Instant,
    /// Sleep that a test adds.
    added: Cell<Duration>,
    /// Sleep since the start, as far as it was noticed.
    slept: Cell<Duration>,
    /// Latest time that was told.
    latest: Cell<Duration>,
    woke_at: Cell<Option<Duration>>,
    last_sleep: Cell<Duration>,
    woke: RisingSignal,
}

/// `DaemonClock` tells the time since the daemon started, sleep of the host included.
#[derive(Debug, Clone)]
pub struct DaemonClock {
    state: Rc<ClockState>,
}

fn boot_time() -> Result<Duration, nix::Error> {
    let time = time::clock_gettime(ClockId::CLOCK_BOOTTIME)?;
    Ok(Duration::from_nanos(time.num_nanoseconds().max(0) as u64))
}

impl DaemonClock {
    /// Starts the clock, or says why the system has none.
    pub fn try_new() -> Result<Self, ClockError> {
        // The steady clock first, the other way round than later: a hold-up here must not look like a sleep.
        let steady = Instant::now();
        let booted = boot_time().context(UnreadableSnafu)?;
        let state = ClockState {
            booted,
            steady,
            added: Cell::default(),
            slept: Cell::default(),
            latest: Cell::default(),
            woke_at: Cell::default(),
            last_sleep: Cell::default(),
            woke: RisingSignal::default(),
        };
        Ok(Self { state: Rc::new(state) })
    }

    /// Returns the time since the start. The first call after a sleep notices it.
    pub fn now(&self) -> Duration {
        let state = &self.state;
        // The boot clock first: what holds the daemon up between the two can only hide a sleep.
        let booted = boot_time().unwrap_or(state.booted + state.latest.get());
        let steady = state.steady.elapsed();
        let since = booted.saturating_sub(state.booted) + state.added.get();
        let now = since.max(state.latest.get());
        state.latest.set(now);
        let slept = now.saturating_sub(steady);
        if slept > state.slept.get() + SLEEP_MIN {
            state.last_sleep.set(slept - state.slept.replace(slept));
            state.woke_at.set(Some(now));
            state.woke.raise();
        }
        now
    }

    /// Returns what is raised when the host woke from a sleep.
    pub fn woke(&self) -> &RisingSignal {
        &self.state.woke
    }

    /// Returns the length of the last sleep.
    pub fn last_sleep(&self) -> Duration {
        self.state.last_sleep.get()
    }

    /// Says whether the host slept since a moment, so that what was measured from it says nothing.
    pub fn slept_since(&self, moment: Duration) -> bool {
        self.state.woke_at.get().is_some_and(|woke_at| woke_at >= moment)
    }

    /// Waits until the host has woken and finds that a moment has passed. Who waits for the moment with a
    /// timer waits for this beside it; without a sleep it never ends.
    pub async fn passed(&self, moment: Duration) {
        let mut seen = self.state.woke.get();
        loop {
            seen = self.state.woke.above(seen).await;
            if self.now() >= moment {
                return;
            }
        }
    }

    /// Lets the clock go on as if the host had slept, for tests.
    pub fn add_sleep(&self, length: Duration) {
        self.state.added.set(self.state.added.get() + length);
    }
}
