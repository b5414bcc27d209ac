// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The stand-in platform's transactional rows, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use basaltarch_platform::rows::{PageBody, RowEntry, TransactBody};

/// Past states kept for answers from the past.
const PAST_MAX: usize = 64;

/// `RowKey` orders rows by table, part and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    table: String,
    part: String,
    key: String,
}

/// `KeptRow` is a row with the transaction that wrote it; a removed one has no value.
#[derive(Debug, Clone, PartialEq)]
struct KeptRow {
    version: u64,
    value: Option<String>,
}

type TableRows = BTreeMap<RowKey, KeptRow>;

/// `PlatformTable` holds the rows of all tables.
#[derive(Debug, Default)]
pub struct PlatformTable {
    rows: TableRows,
    version: u64,
    /// Version before which the feed knows nothing.
    forgotten: u64,
    past: VecDeque<(Instant, TableRows)>,
    keep_past: bool,
    copy: TableCopy,
}

/// `TableCopy` is what the table comes back from: nothing at all before the first copy.
#[derive(Debug, Clone, Default)]
struct TableCopy {
    rows: TableRows,
    version: u64,
    forgotten: u64,
}

impl RowKey {
    fn of(entry: &RowEntry) -> Self {
        Self { table: entry.table.clone(), part: entry.part.clone(), key: entry.key.clone() }
    }

    fn entry(&self, row: &KeptRow) -> RowEntry {
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
    /// Keeps past states from now on, for answers from the past.
    pub fn keep_past(&mut self) {
        if !self.keep_past {
            self.past.push_back((Instant::now(), self.rows.clone()));
        }
        self.keep_past = true;
    }

    /// Returns the number of the last transaction.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes a copy of the table, in place of the one before.
    pub fn take_copy(&mut self) {
        let (version, forgotten) = (self.version, self.forgotten);
        self.copy = TableCopy { rows: self.rows.clone(), version, forgotten };
    }

    /// Brings the table back from its copy: what was written since is gone, and its numbers are given out
    /// again.
    pub fn restore(&mut self) {
        let TableCopy { rows, version, forgotten } = self.copy.clone();
        self.rows = rows;
        self.version = version;
        self.forgotten = forgotten;
    }

    /// Forgets what changed so far, so that feeds must be read anew.
    pub fn forget_history(&mut self) {
        // A transaction of nothing, so that also the newest version that readers hold is forgotten.
        self.version += 1;
        self.forgotten = self.version;
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Runs a transaction: its page, or the rows that are not as expected.
    pub fn transact(&mut self, body: &TransactBody) -> Result<PageBody, PageBody> {
        let version_of = |entry: &RowEntry| {
            let row = self.rows.get(&RowKey::of(entry)).filter(|row| row.value.is_some());
            row.cloned()
        };
        let mut conflicts = Vec::new();
        for entry in &body.expectations {
            let row = version_of(entry);
            let version = row.as_ref().map_or(0, |row| row.version);
            if entry.ver.unwrap_or(0) != version {
                let none = KeptRow { version: 0, value: None };
                conflicts.push(RowKey::of(entry).entry(&row.unwrap_or(none)));
            }
        }
        if !conflicts.is_empty() {
            return Err(PageBody { rows: conflicts, ver: self.version, ..PageBody::default() });
        }
        self.version += 1;
        let version = self.version;
        for entry in &body.put {
            let value = entry.value.clone().or(Some(String::new()));
            self.rows.insert(RowKey::of(entry), KeptRow { version, value });
        }
        for entry in &body.remove {
            self.rows.insert(RowKey::of(entry), KeptRow { version, value: None });
        }
        if self.keep_past {
            self.past.push_back((Instant::now(), self.rows.clone()));
            if self.past.len() > PAST_MAX {
                self.past.pop_front();
            }
        }
        Ok(PageBody { ver: version, ..PageBody::default() })
    }

    fn rows_at(&self, age: Duration) -> &TableRows {
        if age.is_zero() || !self.keep_past {
            return &self.rows;
        }
        let then = Instant::now().checked_sub(age);
        let old_enough = |at: &Instant| then.is_some_and(|then| *at <= then);
        let state = self.past.iter().rev().find(|(at, _)| old_enough(at));
        state.or(self.past.front()).map_or(&self.rows, |(_, rows)| rows)
    }

    /// Reads the rows of a part from a key on, as they were `age` ago.
    pub fn read(
        &self,
        table: &str,
        part: &str,
        from: &str,
        limit: usize,
        age: Duration,
    ) -> PageBody {
        let from = RowKey { table: table.to_owned(), part: part.to_owned(), key: from.to_owned() };
        let found = self.rows_at(age).range(from..);
        let found = found.take_while(|(key, _)| key.table == table && key.part == part);
        let mut found = found.filter(|(_, row)| row.value.is_some());
        let rows = found.by_ref().take(limit).map(|(key, row)| key.entry(row)).collect();
        PageBody { rows, more: found.next().is_some(), ver: self.version, ..PageBody::default() }
    }

    /// Lists what changed in a table after a version, oldest first; nothing if that is forgotten, or was
    /// never given out.
    pub fn changes(&self, table: &str, after: u64) -> Option<PageBody> {
        if after < self.forgotten || after > self.version {
            return None;
        }
        let of_table = self.rows.iter().filter(|(key, _)| key.table == table);
        let changed = of_table.filter(|(_, row)| row.version > after);
        let mut rows: Vec<RowEntry> = changed.map(|(key, row)| key.entry(row)).collect();
        rows.sort_by_key(|row| row.ver);
        Some(PageBody { rows, ver: self.version, ..PageBody::default() })
    }
}
