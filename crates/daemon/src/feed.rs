// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Follows a table of the platform's store: reads the whole table once, and then each change.

use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_decide::polling;
use basaltarch_events::{fleet, process};
use basaltarch_platform::rows::{RowValue, RowsPage};
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::{self, FeedReply, RetryBackoff, TablePosition};
use futures_util::{select_biased, FutureExt};

use crate::state::DaemonState;

/// `FeedPlan` says which table is followed and how often the store is called.
#[derive(Debug, Clone, Copy)]
pub struct FeedPlan {
    /// Name of the followed table.
    pub table: &'static str,
    /// Pause after a call that brought changes, so that changes close together are read together.
    pub batch_pause: Duration,
    /// Longest pause after consecutive failed calls.
    pub failure_pause_max: Duration,
    /// Longest time for which a call waits at the store for a change.
    pub wait_max: Duration,
}

/// `FeedUpdate` is the result of one call to the store.
#[derive(Debug)]
pub enum FeedUpdate {
    /// Every row of the table, all read at the same time.
    Whole(RowsPage),
    /// Rows that changed or were removed, oldest first; none if the wait ended without a change.
    Changes(RowsPage),
    /// The call failed, and the pause after the failed call is over.
    Failed,
}

/// `FeedReader` follows one table.
pub struct FeedReader {
    plan: FeedPlan,
    /// Position up to which the table was read, `None` before the whole table was read.
    position: Option<TablePosition>,
    /// Time up to which the last answer of the store includes all changes.
    complete_until: Duration,
    backoff: RetryBackoff,
    /// When the first of the latest consecutive failed calls ended, `None` after an answer.
    failing_since: Option<Duration>,
    /// Number of the latest consecutive failed calls.
    failures: u64,
}

impl FeedReader {
    /// Builds a reader that has read nothing yet.
    pub fn new(plan: FeedPlan) -> Self {
        let backoff = RetryBackoff::with_max_delay(plan.failure_pause_max);
        let complete_until = Duration::ZERO;
        Self { plan, position: None, complete_until, backoff, failing_since: None, failures: 0 }
    }

    /// Continues from a later version, after a peer relayed the changes up to that version.
    pub fn skip_to(&mut self, version: u64) {
        self.position = Some(TablePosition { version, ..self.position.unwrap_or_default() });
    }

    /// Returns the time up to which the last answer of the store includes all changes.
    pub fn complete_until(&self) -> Duration {
        self.complete_until
    }

    /// Returns the position from which the next call continues, if the table was read.
    pub fn position(&self) -> Option<TablePosition> {
        self.position
    }

    /// Reads the whole table, or waits for the next changes.
    pub async fn next(&mut self, state: &DaemonState) -> FeedUpdate {
        let began = state.now();
        match self.fetch(state).await {
            Ok(news) => {
                self.note_answer(state);
                self.log_unreadable(&news);
                news
            }
            Err(error) => {
                self.note_failure(state, &error, began).await;
                FeedUpdate::Failed
            }
        }
    }

    /// Reads the whole table, or waits for the next changes. Abandons the call when `stale_call` is
    /// raised and returns `None`: a call on a black-holed connection would hang until its wait is
    /// over.
    pub async fn next_unless_stale(
        &mut self,
        state: &DaemonState,
        stale_call: &RisingSignal,
    ) -> Option<FeedUpdate> {
        let began = state.now();
        let table = self.plan.table;
        let became_stale = stale_call.above(stale_call.get());
        select_biased! {
            news = std::pin::pin!(self.next(state).fuse()) => Some(news),
            _ = std::pin::pin!(became_stale.fuse()) => {
                let waited_ms = state.now().saturating_sub(began).as_millis() as u64;
                fleet::CallGivenUp { table, waited_ms }.log();
                state.platform.close_idle_connections();
                None
            }
        }
    }

    /// Logs and counts rows that can't be read; the other rows are used.
    fn log_unreadable(&self, news: &FeedUpdate) {
        let (FeedUpdate::Whole(page) | FeedUpdate::Changes(page)) = news else { return };
        let table = self.plan.table;
        for row in &page.rows {
            if let RowValue::Unreadable(error) = &row.value {
                metrics::ROWS_UNREADABLE.add_one();
                process::RowUnreadable { table, key: &row.key, error }.log();
            }
        }
        if page.keyless > 0 {
            metrics::ROWS_UNREADABLE.add(page.keyless as u64);
            let error = &format!("{} entries have no key", page.keyless);
            process::RowUnreadable { table, key: "", error }.log();
        }
    }

    /// Waits after a call that brought changes, so that changes close together are read together.
    pub async fn pause_after_changes(&self) {
        monoio::time::sleep(self.plan.batch_pause).await;
    }

    async fn fetch(&mut self, state: &DaemonState) -> Result<FeedUpdate, StoreError> {
        let position = match self.position {
            Some(position) => position,
            None => return self.read_whole(state).await,
        };
        let began = state.now();
        let members = state.members.count();
        let wait = platform::draw_wait(polling::longest_wait(members, began, self.plan.wait_max));
        match state.platform.follow(self.plan.table, position, wait).await? {
            FeedReply::Changes(page, position) => {
                // An answer may have been delayed on its way, so that all changes are included only
                // up to the start of the call. An answer without changes was sent no sooner than
                // the end of the call's wait.
                let has_waited_fully = page.rows.is_empty() && state.now() >= began + wait;
                self.complete_until = if has_waited_fully { began + wait } else { began };
                self.position = Some(position);
                Ok(FeedUpdate::Changes(page))
            }
            FeedReply::Forgotten => {
                let version = position.version;
                process::HistoryForgotten { table: self.plan.table, version }.log();
                self.position = None;
                self.read_whole(state).await
            }
        }
    }

    /// Reads the whole table now.
    pub async fn read_whole(&mut self, state: &DaemonState) -> Result<FeedUpdate, StoreError> {
        let began = state.now();
        let (page, position) = state.platform.read_table(self.plan.table).await?;
        self.complete_until = began;
        self.position = Some(position);
        Ok(FeedUpdate::Whole(page))
    }

    /// Records that a call was answered.
    fn note_answer(&mut self, state: &DaemonState) {
        self.backoff.reset();
        if let Some(failing_since) = self.failing_since.take() {
            let after_ms = state.now().saturating_sub(failing_since).as_millis() as u64;
            let failures = std::mem::take(&mut self.failures);
            process::StoreRegained { table: self.plan.table, after_ms, failures }.log();
        }
    }

    /// Records that a call that began at `began` failed, and waits before the next.
    async fn note_failure(&mut self, state: &DaemonState, error: &StoreError, began: Duration) {
        metrics::STORE_FAILURES.add_one();
        self.failures += 1;
        let error = &error.to_string();
        if self.failing_since.is_none() {
            self.failing_since = Some(state.now());
            let waited_ms = state.now().saturating_sub(began).as_millis() as u64;
            process::StoreLost { table: self.plan.table, waited_ms, error }.log();
        } else {
            process::StoreFailed { call: "follow a table", error }.log();
        }
        monoio::time::sleep(self.backoff.next_delay()).await;
    }
}
