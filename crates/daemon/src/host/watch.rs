// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Watches work at a backend server for as long as it runs, since work that hangs makes no event.

use std::future;
use std::rc::Rc;

use basaltarch_decide::hang::{self, UsualTime};
use basaltarch_decide::health::WatchEnd;

use crate::host::calls::WorkCalls;
use crate::host::exchange::HostWork;
use crate::host::relay::WorkProgress;
use crate::host::trail;

/// `WorkWatch` watches whether a piece of work lasts too long.
pub struct WorkWatch<'a> {
    work: &'a HostWork<'a>,
    request: String,
    calls: Rc<WorkCalls>,
    usual: Option<UsualTime>,
    number: u64,
    progress: &'a WorkProgress,
}

impl<'a> WorkWatch<'a> {
    /// Starts to watch work that is about to be sent.
    pub fn start(work: &'a HostWork<'a>, progress: &'a WorkProgress) -> Self {
        let now = work.state.now();
        let request = trail::request_id(work.state, work.head);
        let organisation = work.head.organisation.as_deref();
        let calls = work.state.host.calls.begin(&request, work.head.repeated, organisation);
        let usual = work.usual_time();
        let mut health = work.upstream.health.borrow_mut();
        let number = usual.map_or(0, |usual| health.start_request(usual, now));
        Self { work, request, calls, usual, number, progress }
    }

    /// Returns the calls that the work makes.
    pub fn calls(&self) -> &Rc<WorkCalls> {
        &self.calls
    }

    /// Looks at the work for as long as it runs and makes no call.
    pub async fn check_running(&self) {
        let usual = match &self.usual {
            Some(usual) => usual,
            None => return future::pending().await,
        };
        monoio::time::sleep(hang::first_check(usual)).await;
        while !self.calls.has_called() {
            self.look_once();
            monoio::time::sleep(hang::check_interval(usual)).await;
        }
        self.end(WatchEnd::Progressed);
        future::pending().await
    }

    fn look_once(&self) {
        let now = self.work.state.now();
        self.work.upstream.check_running(now);
        let is_long = self.progress.elapsed() > self.progress.given.late_after;
        if is_long && !self.progress.has_passed.replace(true) {
            self.work.upstream.adaptive_timeout.borrow_mut().note_overrun(now);
        }
    }

    fn end(&self, end: WatchEnd) {
        if self.usual.is_some() {
            self.work.upstream.end_request(self.number, end, self.work.state.now());
        }
    }
}

impl Drop for WorkWatch<'_> {
    fn drop(&mut self) {
        self.work.state.host.calls.end(&self.request);
        let lives = self.progress.has_answered.get() || self.calls.has_called();
        let seen = self.progress.was_overdue.get() || self.progress.head_seen.get();
        self.end(match (lives, seen) {
            (true, _) => WatchEnd::Progressed,
            (false, true) => WatchEnd::Recorded,
            (false, false) => WatchEnd::GivenUp,
        });
    }
}
