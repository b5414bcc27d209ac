// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How far an attempt has got at its backend server.

use std::cell::Cell;
use std::time::{Duration, Instant};

use basaltarch_decide::adaptive_timeout::AttemptTimeout;
use basaltarch_decide::pace::CallerPace;
use basaltarch_http::exchange::{ExchangeProgress, MessageProgress};
use basaltarch_waiting::slots::SlotGuard;

use crate::host::overdue::OverdueTimer;

/// `AttemptProgress` records how far an attempt has got.
pub struct AttemptProgress {
    slot: Cell<Option<SlotGuard>>,
    started: Instant,
    /// Timeout that the server was given.
    pub timeout: AttemptTimeout,
    /// How fast the caller moves the request.
    pub pace: Cell<CallerPace>,
    /// Time after the start at which the whole request had been sent to the server.
    pub upload_time: Cell<Duration>,
    /// Determines when the request is overdue.
    pub overdue_timer: OverdueTimer,
    /// Whether the attempt was counted as hung, because the attempt ran longer than `late_after` of
    /// its timeout.
    pub counted_as_hung: Cell<bool>,
    /// How far the request and its response have got on the connection to the server.
    pub exchange: ExchangeProgress,
    /// Whether the response head arrived.
    pub head_seen: Cell<bool>,
    /// Whether a successful response arrived.
    pub has_succeeded: Cell<bool>,
    /// Whether the request was recorded as overdue.
    pub was_overdue: Cell<bool>,
    /// Whether the end of the attempt was recorded as evidence about the server.
    pub is_recorded: Cell<bool>,
    /// Keep-alive timeout that the server announced.
    pub keep_alive: Cell<Option<Duration>>,
    /// Time for which the connection had been idle; `None` for a new connection.
    pub idle_time: Option<Duration>,
}

impl AttemptProgress {
    /// Returns the time since the attempt started.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Releases the slot that the attempt holds.
    pub fn release_slot(&self) {
        drop(self.slot.take());
    }

    /// Notes that the caller sent or accepted bytes after it was waited for.
    pub fn note_moved(&self, bytes: usize, waited: Duration) {
        let mut pace = self.pace.get();
        pace.note_moved(bytes, waited);
        self.pace.set(pace);
    }

    /// Says whether the whole request was sent to the server.
    pub fn is_uploaded(&self) -> bool {
        self.exchange.request() == MessageProgress::Whole
    }

    /// Notes that the whole request was sent to the server.
    pub fn note_uploaded(&self) {
        self.upload_time.set(self.elapsed());
        let slot = self.slot.take();
        slot.iter().for_each(SlotGuard::note_uploaded);
        self.slot.set(slot);
    }

    /// Builds the progress of an attempt that starts now, holds `slot`, has `timeout`, counts as
    /// overdue after `overdue_after`, and uses a connection that had been idle for `idle_time`.
    pub fn new(
        slot: SlotGuard,
        timeout: AttemptTimeout,
        overdue_after: Option<Duration>,
        idle_time: Option<Duration>,
    ) -> Self {
        Self {
            slot: Cell::new(Some(slot)),
            started: Instant::now(),
            timeout,
            pace: Cell::default(),
            upload_time: Cell::default(),
            overdue_timer: OverdueTimer::new(overdue_after),
            counted_as_hung: Cell::new(false),
            exchange: ExchangeProgress::default(),
            head_seen: Cell::new(false),
            has_succeeded: Cell::new(false),
            was_overdue: Cell::new(false),
            is_recorded: Cell::new(false),
            keep_alive: Cell::new(None),
            idle_time,
        }
    }
}
