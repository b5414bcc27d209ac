// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Holds the latest state of every row of a table, ordered by the version of its last change.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;

/// Maximum number of removed rows that are remembered: as many as a large fleet removes in an hour.
pub const REMOVED_ROWS_MAX: usize = 512;

/// `RowState` is the latest state of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowState {
    /// Key of the row.
    pub key: Rc<str>,
    /// Value of the row; `None` if the row was removed.
    pub value: Option<Rc<[u8]>>,
    /// Version of the table at which the row was last changed.
    pub version: u64,
}

impl RowState {
    /// Returns the size of the key and the value in bytes.
    fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// `RowsPart` is a number of successive changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowsPart<'a> {
    /// Rows in the order of their versions.
    pub rows: Vec<&'a RowState>,
    /// Version up to which the part holds all changes, `None` if no change follows the part.
    pub up_to: Option<u64>,
}

/// `RowLog` holds the latest state of every row.
#[derive(Debug, Default)]
pub struct RowLog {
    rows: BTreeMap<Rc<str>, RowState>,
    by_version: BTreeSet<(u64, Rc<str>)>,
    /// Removed rows by the version of their removal.
    removed: BTreeSet<(u64, Rc<str>)>,
    /// Version up to which removed rows may have been forgotten.
    forgotten_up_to: u64,
}

impl RowLog {
    /// Stores the state of a row. If more than [`REMOVED_ROWS_MAX`] removed rows are stored, the
    /// row that was removed first is forgotten.
    pub fn put(&mut self, row: RowState) {
        self.take(&row.key);
        let position = (row.version, row.key.clone());
        if row.value.is_none() {
            self.removed.insert(position.clone());
        }
        self.by_version.insert(position);
        self.rows.insert(row.key.clone(), row);
        if self.removed.len() > REMOVED_ROWS_MAX {
            self.forget_first_removed();
        }
    }

    /// Records that rows that are not listed were removed by the time of `version`.
    pub fn remove_unlisted(&mut self, listed: &HashSet<&str>, version: u64) {
        let is_unlisted = |row: &&RowState| row.value.is_some() && !listed.contains(&*row.key);
        let unlisted = self.rows.values().filter(is_unlisted);
        let keys: Vec<Rc<str>> = unlisted.map(|row| row.key.clone()).collect();
        for key in keys {
            self.put(RowState { key, value: None, version });
        }
    }

    /// Says whether some changes after the version `after` are no longer known. All changes of a
    /// table that was never read before are known.
    pub fn has_forgotten(&self, after: u64) -> bool {
        after > 0 && after < self.forgotten_up_to
    }

    /// Returns the first changes after the version `after`, up to about `bytes_max` bytes. Rows
    /// that changed at the same version are in the same part.
    pub fn part_after(&self, after: u64, bytes_max: usize) -> RowsPart<'_> {
        let mut rows: Vec<&RowState> = Vec::new();
        let mut bytes = 0;
        for (version, key) in self.by_version.range((after + 1, Rc::from(""))..) {
            let last_version = rows.last().map(|row| row.version);
            if bytes >= bytes_max && last_version != Some(*version) {
                return RowsPart { rows, up_to: last_version };
            }
            let row = &self.rows[key];
            bytes += row.bytes();
            rows.push(row);
        }
        RowsPart { rows, up_to: None }
    }

    /// Returns the number of rows, including the removed rows that are remembered.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Says whether no row is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn forget_first_removed(&mut self) {
        let Some((version, key)) = self.removed.first().cloned() else { return };
        self.take(&key);
        self.forgotten_up_to = self.forgotten_up_to.max(version);
    }

    /// Removes the state of a row from the log.
    fn take(&mut self, key: &Rc<str>) {
        let Some(known) = self.rows.remove(key) else { return };
        let position = (known.version, known.key);
        self.by_version.remove(&position);
        self.removed.remove(&position);
    }
}
