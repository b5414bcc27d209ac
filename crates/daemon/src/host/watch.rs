// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Watches the requests that backend servers process, since a hung request causes no event.

use std::cell::Cell;
use std::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_decide::hang::{self, UsualTime};
use basaltarch_decide::health::WatchEnd;
use basaltarch_decide::pause;

use crate::host::calls::NestedCalls;
use crate::host::exchange::HostAttempt;
use crate::host::progress::AttemptProgress;
use crate::host::trace;

/// `AttemptWatch` watches whether a request runs for too long.
pub struct AttemptWatch<'a> {
    /// Attempt that is watched.
    pub attempt: &'a HostAttempt<'a>,
    /// Progress of the attempt.
    pub progress: &'a AttemptProgress,
    request: String,
    calls: Rc<NestedCalls>,
    usual: Option<UsualTime>,
    /// Number of the request among those that are checked for hangs, once it is.
    request_number: Cell<Option<u64>>,
    has_ended: Cell<bool>,
}

impl<'a> AttemptWatch<'a> {
    /// Starts to watch a request that is about to be sent.
    pub fn start(attempt: &'a HostAttempt<'a>, progress: &'a AttemptProgress) -> Self {
        let now = attempt.state.now();
        let request = trace::request_id(attempt.state, attempt.head);
        let organisation = attempt.head.organisation.as_deref();
        let calls = attempt.state.host.calls.begin(&request, attempt.head.repeated, organisation);
        let usual = attempt.usual_time();
        let request_number = Cell::new(None);
        let has_ended = Cell::new(false);
        let watch = Self { attempt, progress, request, calls, usual, request_number, has_ended };
        watch.check_from(now);
        watch
    }

    /// Notes that the caller is waited for. Once the server has begun to answer, it doesn't hang,
    /// however long its caller takes to read the answer.
    pub fn note_caller_wait(&self) {
        if self.progress.head_seen.get() {
            self.end(WatchEnd::Progressed);
        }
    }

    /// Checks the request for hangs from now on, unless its body still has to arrive: it runs for as
    /// long as its caller takes.
    fn check_from(&self, now: Duration) {
        let has_begun = self.has_ended.get() || self.request_number.get().is_some();
        let awaits_body = self.attempt.is_upload_open() && !self.progress.is_uploaded();
        let is_due = !has_begun && !awaits_body;
        if let Some(usual) = self.usual.filter(|_| is_due) {
            let mut health = self.attempt.upstream.health.borrow_mut();
            self.request_number.set(Some(health.start_request(usual, now)));
        }
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
        self.check_from(now);
        self.attempt.upstream.detect_hang(now);
        if was_paused || self.has_ended.get() || self.request_number.get().is_none() {
            return;
        }
        let took_too_long = self.progress.elapsed() > self.progress.timeout.late_after;
        if took_too_long && !self.progress.counted_as_hung.replace(true) {
            self.attempt.upstream.adaptive_timeout.borrow_mut().note_overrun(now);
        }
    }

    fn end(&self, end: WatchEnd) {
        if self.has_ended.replace(true) {
            return;
        }
        if let Some(request_number) = self.request_number.get() {
            self.attempt.upstream.end_request(request_number, end, self.attempt.state.now());
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
