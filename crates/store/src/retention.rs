// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Removes rows of once-only work that are old enough.
//!
//! A row removed too soon would let once-only work run twice, so no wall clock has a say: one daemon
//! whose clock is a day ahead would remove every row. Rows carry the epoch in which they were
//! written. One row of the table holds the epoch, and only a daemon that has watched it unchanged
//! for a whole epoch, by its own steady clock, writes the next one. So an epoch never lasts less
//! than [`EPOCH_TIME`]; pauses, restarts and outages only make it longer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::errors::{self, StoreError};
use crate::ledger::{LedgerEntry, OnceLedger, LEDGER_PREFIX};
use crate::platform::PlatformClient;
use crate::wire::{self, RowCheck, RowWrite, TableRow};

/// Row that holds the epoch.
pub const EPOCH_KEY: &str = "once-epoch/current";
/// Least time of an epoch: a daemon lives several hours between restarts, so some daemon nearly always
/// gets to the end of one.
pub const EPOCH_TIME: Duration = Duration::from_secs(3600);
/// Rows looked at in one scan.
const SCAN_ROWS: usize = 200;
/// Rows changed at the most in one transaction; each has a check and a write.
const GROUP_ROWS: usize = wire::ENTRIES_MAX / 2;
/// Scans of one round, so that a round ends though rows come as fast as they go.
const SCANS_MAX: usize = 20;
/// Parts of the table, by the first two digits of the hashed key; a round looks at one.
const PARTS: u32 = 256;

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct EpochValue {
    epoch: u64,
}

/// `EpochWatch` tells when an epoch has lasted long enough.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EpochWatch {
    epoch: u64,
    seen_at: Duration,
    read_at: Duration,
}

impl EpochWatch {
    /// Takes in that the table holds this epoch; an answer from the past changes nothing.
    pub fn note(&mut self, epoch: u64, now: Duration) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.seen_at = now;
        }
        if epoch == self.epoch {
            self.read_at = now;
        }
    }

    /// Returns the epoch, or 0 if it is not known or may long be over.
    pub fn current(&self, now: Duration) -> u64 {
        let fresh = now.saturating_sub(self.read_at) < EPOCH_TIME;
        if fresh {
            self.epoch
        } else {
            0
        }
    }

    /// Says whether this daemon has watched the epoch for all of its time.
    pub fn is_over(&self, now: Duration) -> bool {
        self.epoch > 0 && now.saturating_sub(self.seen_at) >= EPOCH_TIME
    }
}

/// `SweepReport` is what one round did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SweepReport {
    /// Epoch in force.
    pub epoch: u64,
    /// Rows removed.
    pub removed: u64,
    /// Rows that had no epoch and got the present one.
    pub dated: u64,
}

/// `OnceRetention` removes the ledger's old rows.
pub struct OnceRetention {
    platform: Rc<PlatformClient>,
    ledger: Rc<OnceLedger>,
    watch: RefCell<EpochWatch>,
    keep: u64,
}

impl OnceRetention {
    /// Builds a retention that keeps rows for at least `keep` epochs.
    pub fn new(platform: Rc<PlatformClient>, ledger: Rc<OnceLedger>, keep: u64) -> Self {
        Self { platform, ledger, watch: RefCell::default(), keep }
    }

    /// Runs one round at `now`, by a steady clock: brings the epoch up to date and sweeps one part.
    pub async fn round(&self, now: Duration) -> Result<SweepReport, StoreError> {
        let result = self.follow_epoch(now).await;
        let epoch = self.watch.borrow().current(now);
        self.ledger.set_epoch(epoch);
        result?;
        self.sweep(rand::random_range(0..PARTS), epoch).await
    }

    async fn follow_epoch(&self, now: Duration) -> Result<(), StoreError> {
        let (epoch, version) = match self.platform.read(EPOCH_KEY).await? {
            Some(row) => (read_epoch(&row)?, row.version),
            None => (0, 0),
        };
        self.watch.borrow_mut().note(epoch, now);
        let over = self.watch.borrow().is_over(now);
        if version != 0 && !over {
            return Ok(());
        }
        // The check lets one daemon through for each epoch, also when its answer is lost.
        let next = EpochValue { epoch: self.watch.borrow().epoch + 1 };
        let check = RowCheck { key: EPOCH_KEY.to_owned(), version };
        let write = RowWrite { key: EPOCH_KEY.to_owned(), value: Some(json!(next)) };
        match self.platform.transact(vec![check], vec![write]).await {
            Ok(_) => self.watch.borrow_mut().note(next.epoch, now),
            // Another daemon wrote it; the next round reads that.
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Sweeps one part of the ledger.
    pub async fn sweep(&self, part: u32, epoch: u64) -> Result<SweepReport, StoreError> {
        let mut report = SweepReport { epoch, ..SweepReport::default() };
        if epoch == 0 {
            return Ok(report);
        }
        let prefix = format!("{LEDGER_PREFIX}{part:02x}");
        let mut after = String::new();
        for _ in 0..SCANS_MAX {
            let rows = self.platform.scan(&prefix, &after, SCAN_ROWS).await?;
            for group in rows.chunks(GROUP_ROWS) {
                self.sweep_rows(group, &mut report).await?;
            }
            match rows.last() {
                Some(last) if rows.len() == SCAN_ROWS => after = last.key.clone(),
                _ => break,
            }
        }
        Ok(report)
    }

    async fn sweep_rows(
        &self,
        rows: &[TableRow],
        report: &mut SweepReport,
    ) -> Result<(), StoreError> {
        let mut done = *report;
        let mut checks = Vec::new();
        let mut writes = Vec::new();
        for row in rows {
            let mut entry = match LedgerEntry::deserialize(&row.value) {
                Ok(entry) => entry,
                Err(_) => continue,
            };
            let value = if entry.epoch == 0 {
                // Nobody knows how old it is, so it counts from now on.
                entry.epoch = report.epoch;
                done.dated += 1;
                Some(json!(entry))
            } else if report.epoch > entry.epoch + self.keep {
                done.removed += 1;
                None
            } else {
                continue;
            };
            checks.push(RowCheck { key: row.key.clone(), version: row.version });
            writes.push(RowWrite { key: row.key.clone(), value });
        }
        if writes.is_empty() {
            return Ok(());
        }
        match self.platform.transact(checks, writes).await {
            Ok(_) => *report = done,
            // A row changed meanwhile; a later round looks again.
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }
}

fn read_epoch(row: &TableRow) -> Result<u64, StoreError> {
    let value = EpochValue::deserialize(&row.value);
    value.map(|value| value.epoch).map_err(errors::malformed)
}
