// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The stand-in platform's transactional table, in memory.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Past states kept for answers from the past.
const PAST_MAX: usize = 64;

type TableRows = BTreeMap<String, (u64, Value)>;

/// `PlatformTable` is a table with transactions.
#[derive(Debug, Default)]
pub struct PlatformTable {
    rows: TableRows,
    version: u64,
    past: VecDeque<(Instant, TableRows)>,
    keep_past: bool,
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

    /// Runs a transaction given as JSON: its reply, or the rows that conflict.
    pub fn transact(&mut self, request: &Value) -> Result<Value, Value> {
        let mut conflicts = Vec::new();
        for check in items(request, "checks") {
            let key = text(check, "key");
            let (version, value) = self.rows.get(key).cloned().unwrap_or((0, Value::Null));
            if check["version"].as_u64() != Some(version) {
                conflicts.push(json!({"key": key, "version": version, "value": value}));
            }
        }
        if !conflicts.is_empty() {
            return Err(json!({ "conflicts": conflicts }));
        }
        self.version += 1;
        for write in items(request, "writes") {
            let key = text(write, "key").to_owned();
            if write["value"].is_null() {
                self.rows.remove(&key);
            } else {
                self.rows.insert(key, (self.version, write["value"].clone()));
            }
        }
        if self.keep_past {
            self.past.push_back((Instant::now(), self.rows.clone()));
            if self.past.len() > PAST_MAX {
                self.past.pop_front();
            }
        }
        Ok(json!({ "version": self.version }))
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

    /// Reads rows by key, as they were `age` ago.
    pub fn read(&self, request: &Value, age: Duration) -> Value {
        let rows = self.rows_at(age);
        let found: Vec<Value> = items(request, "keys")
            .iter()
            .filter_map(Value::as_str)
            .filter_map(|key| rows.get(key).map(|row| row_json(key, row)))
            .collect();
        json!({ "rows": found })
    }

    /// Reads rows by prefix, as they were `age` ago.
    pub fn scan(&self, request: &Value, age: Duration) -> Value {
        let rows = self.rows_at(age);
        let prefix = text(request, "prefix");
        let after = text(request, "after");
        let limit = request["limit"].as_u64().unwrap_or(0) as usize;
        let found: Vec<Value> = rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, row)| row_json(key, row))
            .collect();
        json!({ "rows": found })
    }
}

fn row_json(key: &str, row: &(u64, Value)) -> Value {
    json!({"key": key, "version": row.0, "value": row.1})
}

fn items<'a>(request: &'a Value, field: &str) -> &'a [Value] {
    request[field].as_array().map_or(&[], Vec::as_slice)
}

fn text<'a>(value: &'a Value, field: &str) -> &'a str {
    value[field].as_str().unwrap_or_default()
}
