// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The transactional rows of the simulated platform, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use basaltarch_platform::rows::{PageBody, RowEntry, TransactBody};

/// Number of snapshots kept for reads of an older state.
const SNAPSHOTS_MAX: usize = 64;

/// `RowKey` orders rows by table, part and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    table: String,
    part: String,
    key: String,
}

/// `VersionedRow` is a row with the version of the transaction that wrote it; a removed row has no
/// value.
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
    version: u64,
    /// Version before which the history of changes was discarded.
    history_start: u64,
    snapshots: VecDeque<(Instant, TableRows)>,
    keep_snapshots: bool,
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
    fn of(entry: &RowEntry) -> Self {
        Self { table: entry.table.clone(), part: entry.part.clone(), key: entry.key.clone() }
    }

    fn entry(&self, row: &VersionedRow) -> RowEntry {
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
        if !self.keep_snapshots {
            self.snapshots.push_back((Instant::now(), self.rows.clone()));
        }
        self.keep_snapshots = true;
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

    /// Restores the table from its copy: later writes are lost, and their versions are assigned
    /// again.
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

    /// Runs a transaction and returns its version. If some rows are not as expected, it writes
    /// nothing and returns their current state as the error.
    pub fn transact(&mut self, body: &TransactBody) -> Result<PageBody, PageBody> {
        let current_row = |entry: &RowEntry| {
            let row = self.rows.get(&RowKey::of(entry)).filter(|row| row.value.is_some());
            row.cloned()
        };
        let mut conflicts = Vec::new();
        for entry in &body.expectations {
            let row = current_row(entry);
            let version = row.as_ref().map_or(0, |row| row.version);
            if entry.ver.unwrap_or(0) != version {
                let absent_row = VersionedRow { version: 0, value: None };
                conflicts.push(RowKey::of(entry).entry(&row.unwrap_or(absent_row)));
            }
        }
        if !conflicts.is_empty() {
            return Err(PageBody { rows: conflicts, ver: self.version, ..PageBody::default() });
        }
        self.version += 1;
        let version = self.version;
        for entry in &body.put {
            let value = entry.value.clone().or(Some(String::new()));
            self.rows.insert(RowKey::of(entry), VersionedRow { version, value });
        }
        for entry in &body.remove {
            self.rows.insert(RowKey::of(entry), VersionedRow { version, value: None });
        }
        if self.keep_snapshots {
            self.snapshots.push_back((Instant::now(), self.rows.clone()));
            if self.snapshots.len() > SNAPSHOTS_MAX {
                self.snapshots.pop_front();
            }
        }
        Ok(PageBody { ver: version, ..PageBody::default() })
    }

    /// Returns the rows as they were `age` ago, or the oldest snapshot if none is that old.
    fn rows_at(&self, age: Duration) -> &TableRows {
        if age.is_zero() || !self.keep_snapshots {
            return &self.rows;
        }
        let moment = Instant::now().checked_sub(age);
        let is_old_enough = |at: &Instant| moment.is_some_and(|moment| *at <= moment);
        let state = self.snapshots.iter().rev().find(|(at, _)| is_old_enough(at));
        state.or(self.snapshots.front()).map_or(&self.rows, |(_, rows)| rows)
    }

    /// Reads the rows of a partition from a key on, as they were `age` ago.
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
        let rows = matching.by_ref().take(limit).map(|(key, row)| key.entry(row)).collect();
        PageBody { rows, more: matching.next().is_some(), ver: self.version, ..PageBody::default() }
    }

    /// Lists the rows of a table that changed after a version, oldest first. Returns `None` if the
    /// history since that version was discarded, or the version was never assigned.
    pub fn changes(&self, table: &str, after: u64) -> Option<PageBody> {
        if after < self.history_start || after > self.version {
            return None;
        }
        let of_table = self.rows.iter().filter(|(key, _)| key.table == table);
        let changed = of_table.filter(|(_, row)| row.version > after);
        let mut rows: Vec<RowEntry> = changed.map(|(key, row)| key.entry(row)).collect();
        rows.sort_by_key(|row| row.ver);
        Some(PageBody { rows, ver: self.version, ..PageBody::default() })
    }
}
