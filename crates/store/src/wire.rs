// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rows as the parts of this crate see them: one key, and a value in JSON.

use basaltarch_platform::rows::RowAddress;
use serde_json::Value;

/// Most entries, checks and writes together, that one transaction takes.
pub const ENTRIES_MAX: usize = basaltarch_platform::rows::ENTRIES_MAX;
/// Most bytes of a value in a row; longer ones go into objects.
pub const VALUE_BYTES_MAX: usize = 48 * basaltarch_core::units::KIB;

/// `TableRow` is a row; version 0 means that there is none.
#[derive(Debug, Clone, PartialEq)]
pub struct TableRow {
    /// Key of the row: its table, a slash, and the key within the table.
    pub key: String,
    /// Number of the transaction that wrote it.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// `RowCheck` lets a transaction through only if the row has this version.
#[derive(Debug, Clone, PartialEq)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Version that it must have; 0 for no row.
    pub version: u64,
}

/// `RowWrite` is a write of a transaction; no value deletes the row.
#[derive(Debug, Clone, PartialEq)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Option<Value>,
}

/// `RowPlace` is where the row of a key lies: `config/head` is the row `head` of table `config`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RowPlace<'a> {
    /// Table of the row.
    pub table: &'a str,
    /// Key within the table.
    pub key: &'a str,
}

impl<'a> RowPlace<'a> {
    /// Returns the place of a key.
    pub fn of(key: &'a str) -> Self {
        let (table, key) = key.split_once('/').unwrap_or((key, ""));
        Self { table, key }
    }

    /// Returns the key that has this place.
    pub fn store_key(&self) -> String {
        format!("{}/{}", self.table, self.key)
    }

    /// Returns the address of the row. Transactions of this crate are small and touch rows that
    /// belong together, so that tables have one part.
    pub fn address(&self) -> RowAddress<'a> {
        RowAddress { table: self.table, part: "", key: self.key }
    }
}
