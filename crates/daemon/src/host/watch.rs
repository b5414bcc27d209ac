// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Watches the requests that backend servers process, since a hung request causes no event.

use std::future;
use std::rc::Rc;
use std::time::Instant;

use basaltarch_decide::hang::{self, UsualTime};
use basaltarch_decide::health::WatchEnd;
use basaltarch_decide::pause;

use crate::host::calls::NestedCalls;
use crate::host::exchange::HostAttempt;
use crate::host::progress::AttemptProgress;
use crate::host::trace;

/// `AttemptWatch` watches whether a request runs for too long.
pub struct AttemptWatch<'a> {
    attempt: &'a HostAttempt<'a>,
    request: String,
    calls: Rc<NestedCalls>,
    usual: Option<UsualTime>,
    request_number: u64,
    progress: &'a AttemptProgress,
}

impl<'a> AttemptWatch<'a> {
    /// Starts to watch a request that is about to be sent.
    pub fn start(attempt: &'a HostAttempt<'a>, progress: &'a AttemptProgress) -> Self {
        let now = attempt.state.now();
        let request = trace::request_id(attempt.state, attempt.head);
        let organisation = attempt.head.organisation.as_deref();
        let calls = attempt.state.host.calls.begin(&request, attempt.head.repeated, organisation);
        let usual = attempt.usual_time();
        let mut health = attempt.upstream.health.borrow_mut();
        let request_number = usual.map_or(0, |usual| health.start_request(usual, now));
        Self { attempt, request, calls, usual, request_number, progress }
    }

    /// Returns the nested calls of the request.
    pub fn calls(&self) -> &Rc<NestedCalls> {
        &self.calls
    }

    /// Checks the request periodically until the request makes a nested call, which shows progress.
    /// Never returns, even after the last check.
    pub async fn check_until_nested_call(&self) {
        let usual = match &self.usual {
            Some(usual) => usual,
            None => return future::pending().await,
        };
        let mut interval = hang::first_check(usual);
        loop {
            let since = Instant::now();
            monoio::time::sleep(interval).await;
            if self.calls.has_made_call() {
                break;
            }
            let was_paused = !pause::length(interval, since.elapsed()).is_zero();
            self.check_for_hang(was_paused);
            interval = hang::check_interval(usual);
        }
        self.end(WatchEnd::Progressed);
        future::pending().await
    }

    /// Checks whether the request runs for too long, unless this daemon was paused: the answer may
    /// have arrived meanwhile.
    fn check_for_hang(&self, was_paused: bool) {
        let now = self.attempt.state.now();
        self.attempt.upstream.detect_hang(now);
        if was_paused {
            return;
        }
        let took_too_long = self.progress.elapsed() > self.progress.timeout.late_after;
        if took_too_long && !self.progress.counted_as_hung.replace(true) {
            self.attempt.upstream.adaptive_timeout.borrow_mut().note_overrun(now);
        }
    }

    fn end(&self, end: WatchEnd) {
        if self.usual.is_some() {
            self.attempt.upstream.end_request(self.request_number, end, self.attempt.state.now());
        }
    }
}

impl Drop for AttemptWatch<'_> {
    fn drop(&mut self) {
        self.attempt.state.host.calls.end(&self.request);
        let has_progressed = self.progress.has_succeeded.get() || self.calls.has_made_call();
        let is_recorded = self.progress.was_overdue.get() || self.progress.head_seen.get();
        self.end(match (has_progressed, is_recorded) {
            (true, _) => WatchEnd::Progressed,
            (false, true) => WatchEnd::Recorded,
            (false, false) => WatchEnd::GivenUp,
        });
    }
}
