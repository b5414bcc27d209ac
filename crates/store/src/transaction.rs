// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rows, and the checks and writes of a transaction. A row has one key and a JSON value.

use basaltarch_platform::rows::RowAddress;
use serde_json::Value;

/// Maximum number of entries of a transaction, checks and writes together.
pub const ENTRIES_MAX: usize = basaltarch_platform::rows::ENTRIES_MAX;
/// Maximum size of a row value in bytes; longer values are written as objects.
pub const VALUE_BYTES_MAX: usize = 48 * basaltarch_core::units::KIB;

/// `TableRow` is a row of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct TableRow {
    /// Key of the row: its table, a slash, and the key within the table.
    pub key: String,
    /// Number of the transaction that wrote the row; 0 if the row does not exist.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// `RowCheck` is a condition of a transaction: the transaction commits only if the row has the
/// required version.
#[derive(Debug, Clone, PartialEq)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Required version; 0 if the row must not exist.
    pub version: u64,
}

/// `RowWrite` is a write of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
}

/// `RowPath` splits a key into table and row: `config/head` is the row `head` of table `config`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RowPath<'a> {
    /// Table of the row.
    pub table: &'a str,
    /// Key within the table.
    pub key: &'a str,
}

impl<'a> RowPath<'a> {
    /// Splits a key at its first slash.
    pub fn of(key: &'a str) -> Self {
        let (table, key) = key.split_once('/').unwrap_or((key, ""));
        Self { table, key }
    }

    /// Returns the key in the form that [`RowPath::of`] splits: table, slash, key within the table.
    pub fn store_key(&self) -> String {
        format!("{}/{}", self.table, self.key)
    }

    /// Returns the address of the row. The tables of this crate are not partitioned, as the
    /// transactions of this crate are small and touch related rows.
    pub fn address(&self) -> RowAddress<'a> {
        RowAddress { table: self.table, part: "", key: self.key }
    }
}
