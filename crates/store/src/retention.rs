// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Removes expired ledger rows of at-most-once requests.
//!
//! Removing a row too early would let an at-most-once request run twice. Wall clocks are therefore
//! not used for expiry: a daemon whose clock is a day ahead would remove every row. Instead, each
//! row carries the epoch in which the row was written. One row of the table holds the current
//! epoch. Only a daemon that has seen that row unchanged for [`EPOCH_TIME`], by its own monotonic
//! clock, writes the next epoch. So an epoch never lasts less than [`EPOCH_TIME`]; pauses, restarts
//! and outages only make it longer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::errors::{self, StoreError};
use crate::ledger::{LedgerEntry, OnceLedger, LEDGER_PREFIX};
use crate::platform::PlatformClient;
use crate::transaction::{self, RowCheck, RowWrite, TableRow};

/// Row that holds the current epoch.
pub const EPOCH_KEY: &str = "once-epoch/current";
/// Minimum duration of an epoch: daemons run several hours between restarts, so that nearly always
/// some daemon sees an epoch to its end.
pub const EPOCH_TIME: Duration = Duration::from_secs(3600);
/// Maximum number of ledger rows read in one scan.
const SCAN_ROWS_MAX: usize = 200;
/// Maximum number of rows changed in one transaction; each row takes a check and a write.
const BATCH_ROWS_MAX: usize = transaction::ENTRIES_MAX / 2;
/// Maximum number of scans of one round, so that a round ends even if rows are added as fast as the
/// round removes rows.
const SCANS_PER_ROUND_MAX: usize = 20;
/// Number of partitions of the ledger, by the first two hexadecimal digits of the hashed key; a
/// round sweeps one partition.
const PARTITION_COUNT: u32 = 256;

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct EpochValue {
    epoch: u64,
}

/// `EpochWatch` tracks for how long this daemon has read the same current epoch from the table.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EpochWatch {
    epoch: u64,
    /// When this daemon first read the epoch, by its monotonic clock.
    first_read_at: Duration,
    /// When this daemon last read the epoch, by its monotonic clock.
    last_read_at: Duration,
}

impl EpochWatch {
    /// Records that the table holds the epoch `epoch` at the time `now`. A stale answer, which
    /// holds an earlier epoch, changes nothing.
    pub fn record_epoch(&mut self, epoch: u64, now: Duration) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.first_read_at = now;
        }
        if epoch == self.epoch {
            self.last_read_at = now;
        }
    }

    /// Returns the current epoch, or 0 if the epoch is unknown or was last read at least
    /// [`EPOCH_TIME`] ago and may be over.
    pub fn current(&self, now: Duration) -> u64 {
        let is_fresh = now.saturating_sub(self.last_read_at) < EPOCH_TIME;
        if is_fresh {
            self.epoch
        } else {
            0
        }
    }

    /// Returns whether this daemon first read the current epoch at least [`EPOCH_TIME`] ago, so
    /// that the epoch may be advanced.
    pub fn is_over(&self, now: Duration) -> bool {
        self.epoch > 0 && now.saturating_sub(self.first_read_at) >= EPOCH_TIME
    }
}

/// `SweepReport` is the result of one round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SweepReport {
    /// Current epoch; 0 if the epoch is unknown.
    pub epoch: u64,
    /// Number of rows removed.
    pub removed: u64,
    /// Number of rows without an epoch into which the sweep wrote the current epoch.
    pub dated: u64,
}

/// `OnceRetention` removes expired rows of the ledger.
pub struct OnceRetention {
    platform: Rc<PlatformClient>,
    ledger: Rc<OnceLedger>,
    watch: RefCell<EpochWatch>,
    keep_epochs: u64,
}

impl OnceRetention {
    /// Builds a retention that keeps rows for at least `keep_epochs` epochs.
    pub fn new(platform: Rc<PlatformClient>, ledger: Rc<OnceLedger>, keep_epochs: u64) -> Self {
        Self { platform, ledger, watch: RefCell::default(), keep_epochs }
    }

    /// Runs one round at the time `now` of a monotonic clock: updates the epoch and sweeps one
    /// partition.
    pub async fn run_round(&self, now: Duration) -> Result<SweepReport, StoreError> {
        let result = self.update_epoch(now).await;
        let epoch = self.watch.borrow().current(now);
        self.ledger.set_epoch(epoch);
        result?;
        self.sweep(rand::random_range(0..PARTITION_COUNT), epoch).await
    }

    /// Reads the current epoch, and advances the epoch if this daemon has seen the same epoch for
    /// [`EPOCH_TIME`] or if the table holds no epoch yet.
    async fn update_epoch(&self, now: Duration) -> Result<(), StoreError> {
        let (epoch, version) = match self.platform.read(EPOCH_KEY).await? {
            Some(row) => (read_epoch(&row)?, row.version),
            None => (0, 0),
        };
        self.watch.borrow_mut().record_epoch(epoch, now);
        let is_over = self.watch.borrow().is_over(now);
        if version != 0 && !is_over {
            return Ok(());
        }
        // The check lets only one daemon advance each epoch, even if the store's answer is lost.
        let next_epoch = EpochValue { epoch: self.watch.borrow().epoch + 1 };
        let check = RowCheck { key: EPOCH_KEY.to_owned(), version };
        let write = RowWrite { key: EPOCH_KEY.to_owned(), value: Some(json!(next_epoch)) };
        match self.platform.transact(vec![check], vec![write]).await {
            Ok(_) => self.watch.borrow_mut().record_epoch(next_epoch.epoch, now),
            // Another daemon advanced the epoch; the next round reads it.
            Err(StoreError::Conflict { .. }) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Sweeps one partition of the ledger: removes expired rows, and writes the epoch `epoch` into
    /// rows without an epoch. Does nothing if `epoch` is 0 (unknown).
    pub async fn sweep(&self, partition: u32, epoch: u64) -> Result<SweepReport, StoreError> {
        let mut report = SweepReport { epoch, ..SweepReport::default() };
        if epoch == 0 {
            return Ok(report);
        }
        let prefix = format!("{LEDGER_PREFIX}{partition:02x}");
        let mut start_after = String::new();
        for _ in 0..SCANS_PER_ROUND_MAX {
            let rows = self.platform.scan(&prefix, &start_after, SCAN_ROWS_MAX).await?;
            for batch in rows.chunks(BATCH_ROWS_MAX) {
                self.sweep_rows(batch, &mut report).await?;
            }
            match rows.last() {
                Some(last) if rows.len() == SCAN_ROWS_MAX => start_after = last.key.clone(),
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
        let mut updated_report = *report;
        let mut checks = Vec::new();
        let mut writes = Vec::new();
        for row in rows {
            let mut entry = match LedgerEntry::deserialize(&row.value) {
                Ok(entry) => entry,
                Err(_) => continue,
            };
            let value = if entry.epoch == 0 {
                // The age of the row is unknown, so the retention of the row starts now.
                entry.epoch = report.epoch;
                updated_report.dated += 1;
                Some(json!(entry))
            } else if report.epoch > entry.epoch + self.keep_epochs {
                updated_report.removed += 1;
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
            Ok(_) => *report = updated_report,
            // A row changed in the meantime; a later round retries.
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
