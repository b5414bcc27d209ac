// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Follows a table of the platform's store: all of it once, then each change.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_events::process;
use basaltarch_platform::rows::RowsPage;
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::{FeedReply, RetryPause};

use crate::metrics;
use crate::state::DaemonState;

/// `FeedPlan` says which table is followed and how often the store is called.
#[derive(Debug, Clone, Copy)]
pub struct FeedPlan {
    /// The table.
    pub table: &'static str,
    /// Pause after a call that brought changes, so that those that come together are read together.
    pub between: Duration,
    /// Longest pause after failed calls in a row.
    pub failure_max: Duration,
}

/// `FeedNews` is what following a table brings.
pub enum FeedNews<'a> {
    /// Every row of the table as of one moment.
    Whole(&'a RowsPage),
    /// Rows that changed or were removed, oldest first.
    Changes(&'a RowsPage),
}

/// `FeedHealth` is whether the store answers, for pauses and for the log.
struct FeedHealth {
    pause: RetryPause,
    lost_at: Option<Duration>,
    failures: u64,
}

impl FeedHealth {
    /// Takes in that a call was answered.
    fn note_answer(&mut self, state: &DaemonState, plan: &FeedPlan) {
        self.pause.reset();
        if let Some(lost_at) = self.lost_at.take() {
            let after_ms = state.now().saturating_sub(lost_at).as_millis() as u64;
            let failures = std::mem::take(&mut self.failures);
            process::StoreRegained { table: plan.table, after_ms, failures }.log();
        }
    }

    /// Takes in that a call failed, and waits before the next.
    async fn note_failure(&mut self, state: &DaemonState, plan: &FeedPlan, error: &StoreError) {
        metrics::STORE_FAILURES.add_one();
        self.failures += 1;
        let error = &error.to_string();
        if self.lost_at.is_none() {
            self.lost_at = Some(state.now());
            process::StoreLost { table: plan.table, error }.log();
        } else {
            process::StoreFailed { call: "follow a table", error }.log();
        }
        monoio::time::sleep(self.pause.next_pause()).await;
    }
}

/// Follows a table for ever and hands what it brings to `take`.
pub async fn follow(
    state: Rc<DaemonState>,
    plan: FeedPlan,
    take: impl Fn(&Rc<DaemonState>, FeedNews<'_>),
) {
    let pause = RetryPause::up_to(plan.failure_max);
    let mut health = FeedHealth { pause, lost_at: None, failures: 0 };
    loop {
        if let Err(error) = read_and_follow(&state, &plan, &mut health, &take).await {
            health.note_failure(&state, &plan, &error).await;
        }
    }
}

/// Reads the table and follows it until its history is forgotten, or reading it fails.
async fn read_and_follow(
    state: &Rc<DaemonState>,
    plan: &FeedPlan,
    health: &mut FeedHealth,
    take: &impl Fn(&Rc<DaemonState>, FeedNews<'_>),
) -> Result<(), StoreError> {
    let page = state.platform.read_table(plan.table).await?;
    let mut version = page.version;
    take(state, FeedNews::Whole(&page));
    health.note_answer(state, plan);
    loop {
        match state.platform.follow(plan.table, version).await {
            Ok(FeedReply::Changes(page)) => {
                version = version.max(page.version);
                health.note_answer(state, plan);
                take(state, FeedNews::Changes(&page));
                if !page.rows.is_empty() {
                    monoio::time::sleep(plan.between).await;
                }
            }
            Ok(FeedReply::Forgotten) => {
                process::HistoryForgotten { table: plan.table, version }.log();
                return Ok(());
            }
            Err(error) => health.note_failure(state, plan, &error).await,
        }
    }
}
