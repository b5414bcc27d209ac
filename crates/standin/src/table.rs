// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The transactional rows of the simulated platform, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use basaltarch_platform::rows::{PageBody, RowEntry, TransactBody};

/// Largest number of snapshots that are kept for reads of an older state.
const SNAPSHOTS_MAX: usize = 64;

/// `RowKey` orders rows by table, part and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    table: String,
    part: String,
    key: String,
}

/// `VersionedRow` is a row with the version of the transaction that last wrote or removed the row.
/// A removed row has no value.
#[derive(Debug, Clone, PartialEq)]
struct VersionedRow {
    version: u64,
    value: Option<String>,
}

type TableRows = BTreeMap<RowKey, VersionedRow>;

/// `PlatformTable` holds the rows of all tables.
#[derive(Debug, Default)]
pub struct PlatformTable {
    rows: TableRows,
    /// Version of the last transaction.
    version: u64,
    /// Version before which the history of changes was discarded.
    history_start: u64,
    snapshots: VecDeque<(Instant, TableRows)>,
    keeps_snapshots: bool,
    copy: TableCopy,
}

/// `TableCopy` is the copy from which the table is restored. It is empty before a copy is taken.
#[derive(Debug, Clone, Default)]
struct TableCopy {
    rows: TableRows,
    version: u64,
    history_start: u64,
}

impl RowKey {
    fn of_entry(entry: &RowEntry) -> Self {
        Self { table: entry.table.clone(), part: entry.part.clone(), key: entry.key.clone() }
    }

    fn to_entry(&self, row: &VersionedRow) -> RowEntry {
        RowEntry {
            table: self.table.clone(),
            part: self.part.clone(),
            key: self.key.clone(),
            value: row.value.clone(),
            ver: Some(row.version),
            gone: row.value.is_none(),
        }
    }
}

impl PlatformTable {
    /// Starts to keep a snapshot per transaction, for reads of an older state.
    pub fn keep_snapshots(&mut self) {
        if !self.keeps_snapshots {
            self.snapshots.push_back((Instant::now(), self.rows.clone()));
        }
        self.keeps_snapshots = true;
    }

    /// Returns the version of the last transaction.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a copy of the table, which replaces the previous one.
    pub fn take_copy(&mut self) {
        let (version, history_start) = (self.version, self.history_start);
        self.copy = TableCopy { rows: self.rows.clone(), version, history_start };
    }

    /// Restores the table from its copy. Writes after the copy are lost, and the versions of their
    /// transactions are assigned again.
    pub fn restore(&mut self) {
        let TableCopy { rows, version, history_start } = self.copy.clone();
        self.rows = rows;
        self.version = version;
        self.history_start = history_start;
    }

    /// Discards the history of changes, so that readers of the feed must read the table again.
    pub fn forget_history(&mut self) {
        // The version rises as if by an empty transaction, so that even the newest version that
        // readers hold lies before the start of the history.
        self.version += 1;
        self.history_start = self.version;
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Runs a transaction and returns its version. If some rows are not as expected, the
    /// transaction writes nothing, and the error holds the current state of these rows.
    pub fn transact(&mut self, body: &TransactBody) -> Result<PageBody, PageBody> {
        let current_row = |entry: &RowEntry| {
            let row = self.rows.get(&RowKey::of_entry(entry)).filter(|row| row.value.is_some());
            row.cloned()
        };
        let mut conflicts = Vec::new();
        for entry in &body.expectations {
            let row = current_row(entry);
            let version = row.as_ref().map_or(0, |row| row.version);
            if entry.ver.unwrap_or(0) != version {
                let absent_row = VersionedRow { version: 0, value: None };
                conflicts.push(RowKey::of_entry(entry).to_entry(&row.unwrap_or(absent_row)));
            }
        }
        if !conflicts.is_empty() {
            return Err(PageBody { rows: conflicts, ver: self.version, ..PageBody::default() });
        }
        self.version += 1;
        let version = self.version;
        for entry in &body.put {
            let value = entry.value.clone().or(Some(String::new()));
            self.rows.insert(RowKey::of_entry(entry), VersionedRow { version, value });
        }
        for entry in &body.remove {
            self.rows.insert(RowKey::of_entry(entry), VersionedRow { version, value: None });
        }
        if self.keeps_snapshots {
            self.snapshots.push_back((Instant::now(), self.rows.clone()));
            if self.snapshots.len() > SNAPSHOTS_MAX {
                self.snapshots.pop_front();
            }
        }
        Ok(PageBody { ver: version, ..PageBody::default() })
    }

    /// Returns the rows as they were `age` ago, or the oldest snapshot if no snapshot is that old.
    fn rows_at(&self, age: Duration) -> &TableRows {
        if age.is_zero() || !self.keeps_snapshots {
            return &self.rows;
        }
        let moment = Instant::now().checked_sub(age);
        let is_old_enough = |taken_at: &Instant| moment.is_some_and(|moment| *taken_at <= moment);
        let snapshot = self.snapshots.iter().rev().find(|(taken_at, _)| is_old_enough(taken_at));
        snapshot.or(self.snapshots.front()).map_or(&self.rows, |(_, rows)| rows)
    }

    /// Reads at most `limit` rows of a partition, starting at the key `from`, as they were `age`
    /// ago.
    pub fn read(
        &self,
        table: &str,
        part: &str,
        from: &str,
        limit: usize,
        age: Duration,
    ) -> PageBody {
        let from = RowKey { table: table.to_owned(), part: part.to_owned(), key: from.to_owned() };
        let matching = self.rows_at(age).range(from..);
        let matching = matching.take_while(|(key, _)| key.table == table && key.part == part);
        let mut matching = matching.filter(|(_, row)| row.value.is_some());
        let rows = matching.by_ref().take(limit).map(|(key, row)| key.to_entry(row)).collect();
        PageBody { rows, more: matching.next().is_some(), ver: self.version, ..PageBody::default() }
    }

    /// Lists the rows of a table that changed after a version, oldest first. Returns `None` if the
    /// history since that version was discarded, or the version was never assigned.
    pub fn changes(&self, table: &str, after: u64) -> Option<PageBody> {
        if after < self.history_start || after > self.version {
            return None;
        }
        let table_rows = self.rows.iter().filter(|(key, _)| key.table == table);
        let changed_rows = table_rows.filter(|(_, row)| row.version > after);
        let mut rows: Vec<RowEntry> = changed_rows.map(|(key, row)| key.to_entry(row)).collect();
        rows.sort_by_key(|row| row.ver);
        Some(PageBody { rows, ver: self.version, ..PageBody::default() })
    }
}
