// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The platform's interface as JSON over HTTP.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path of a transaction: `POST` a [`TransactRequest`].
pub const TRANSACT_PATH: &str = "/table/transact";
/// Path of a read: `POST` a [`ReadRequest`].
pub const READ_PATH: &str = "/table/read";
/// Path of a scan: `POST` a [`ScanRequest`].
pub const SCAN_PATH: &str = "/table/scan";
/// Path of an object: `PUT` or `GET`, the name follows.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of the host list: `GET` a [`HostList`].
pub const HOSTS_PATH: &str = "/hosts";

/// `TableRow` is a row of the table; version 0 means that there is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Number of the transaction that wrote it.
    pub version: u64,
    /// Value of the row.
    pub value: Value,
}

/// `RowCheck` lets a transaction through only if the row has this version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row.
    pub key: String,
    /// Version that it must have; 0 for no row.
    pub version: u64,
}

/// `RowWrite` is a write of a transaction; no value deletes the row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Option<Value>,
}

/// `TransactRequest` asks for a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactRequest {
    /// Checks, all of which must hold.
    pub checks: Vec<RowCheck>,
    /// Writes, all or none of which happen.
    pub writes: Vec<RowWrite>,
}

/// `TransactReply` answers a transaction that happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransactReply {
    /// Number of the transaction.
    pub version: u64,
}

/// `ConflictReply` answers, with status 409, a transaction whose checks failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConflictReply {
    /// The rows whose checks failed, as they are.
    pub conflicts: Vec<TableRow>,
}

/// `ReadRequest` asks for rows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// `ScanRequest` asks for the rows of a prefix in the order of their keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Key after which to begin.
    pub after: String,
    /// Most rows to give.
    pub limit: usize,
}

/// `RowsReply` answers a read or a scan with the rows that there are.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RowsReply {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// `HostState` is what the platform says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host will be taken away.
    Leaving,
}

/// `HostEntry` is a host of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which its daemon takes links.
    pub peer_address: String,
    /// Address of its daemon's administration.
    pub admin_address: String,
    /// State of the host.
    pub state: HostState,
}

/// `HostList` is the platform's list of hosts.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}
