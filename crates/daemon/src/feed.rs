// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Follows a table of the platform's store: all of it once, then each change.

use std::rc::Rc;
use std::time::Duration;

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

/// Follows a table for ever and hands what it brings to `take`.
pub async fn follow(
    state: Rc<DaemonState>,
    plan: FeedPlan,
    take: impl Fn(&Rc<DaemonState>, FeedNews<'_>),
) {
    let mut pause = RetryPause::up_to(plan.failure_max);
    loop {
        if let Err(error) = read_and_follow(&state, &plan, &mut pause, &take).await {
            note_failure(&plan, &error, &mut pause).await;
        }
    }
}

/// Reads the table and follows it until its history is forgotten, or reading it fails.
async fn read_and_follow(
    state: &Rc<DaemonState>,
    plan: &FeedPlan,
    pause: &mut RetryPause,
    take: &impl Fn(&Rc<DaemonState>, FeedNews<'_>),
) -> Result<(), StoreError> {
    let page = state.platform.read_table(plan.table).await?;
    let mut version = page.version;
    take(state, FeedNews::Whole(&page));
    pause.reset();
    loop {
        match state.platform.follow(plan.table, version).await {
            Ok(FeedReply::Changes(page)) => {
                version = version.max(page.version);
                pause.reset();
                take(state, FeedNews::Changes(&page));
                if !page.rows.is_empty() {
                    monoio::time::sleep(plan.between).await;
                }
            }
            Ok(FeedReply::Forgotten) => {
                tracing::info!(table = plan.table, version, "history forgotten; read anew");
                return Ok(());
            }
            Err(error) => note_failure(plan, &error, pause).await,
        }
    }
}

async fn note_failure(plan: &FeedPlan, error: &StoreError, pause: &mut RetryPause) {
    metrics::STORE_FAILURES.add_one();
    tracing::debug!(%error, table = plan.table, "the store did not answer");
    monoio::time::sleep(pause.next_pause()).await;
}
