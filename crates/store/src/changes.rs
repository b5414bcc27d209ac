// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The accepted configuration in the platform's table.
//!
//! The head row holds the revision of the fleet. Each accepted change adds a row, which is both the
//! configuration change and its audit record. The head row and the change row are written in one
//! transaction that is conditional on the head row being unchanged. Periodically the whole
//! configuration is written as a snapshot object, so that a new daemon need not read all changes.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::config::{ChangeRecord, FleetConfig, ResourceChange};
use basaltarch_core::errors::ResourceError;
use basaltarch_core::resources::{self, ResourceKind, ResourceValue};
use basaltarch_core::snapshot;
use basaltarch_core::units::{self, FleetRevision};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::errors::{malformed, ChangeError, StoreError};
use crate::platform::{PlatformClient, RetryBackoff};
use crate::transaction::{self, RowCheck, RowWrite, TableRow};

/// Row that holds the revision of the fleet.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of accepted changes.
pub const CHANGE_PREFIX: &str = "config/change/";
/// Row that names the latest snapshot.
pub const SNAPSHOT_KEY: &str = "config/snapshot";
/// Maximum number of change rows read in one scan.
const SCAN_CHANGES_MAX: usize = 200;
/// Number of changes between two snapshots. A new daemon reads the latest snapshot and at most two
/// scans of later changes.
pub const CHANGES_PER_SNAPSHOT: u64 = 256;
/// Maximum number of attempts to commit a change that conflicts with concurrent changes.
const COMMIT_TRIES_MAX: u32 = 20;
/// Maximum backoff between the attempts to commit a change. All attempts together take a few
/// seconds at most, so that the operator who requested the change soon gets an answer.
const COMMIT_BACKOFF_MAX: Duration = Duration::from_millis(200);
/// Maximum number of attempts to find out whether a change took effect after the store's answer
/// was lost.
const OUTCOME_TRIES_MAX: u32 = 8;
/// Maximum size in bytes of one object that this module writes (4 MiB); the platform accepts 8 MiB.
const OBJECT_BYTES_MAX: usize = 4 << 20;
/// Maximum number of resource edits in one change. At 200 bytes for each edit, a change fits into
/// one object.
pub const CHANGE_EDITS_MAX: usize = 20_000;

/// `ChangeGuard` is the precondition of a change on the revision of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeGuard {
    /// No precondition.
    Any,
    /// The resource does not exist yet.
    Absent,
    /// The resource in force was last changed at the given revision.
    At(FleetRevision),
}

/// `ResourceEdit` is a requested change of one resource.
#[derive(Debug, Clone, PartialEq)]
pub struct ResourceEdit {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource.
    pub name: String,
    /// Requested value; `None` deletes the resource.
    pub value: Option<Value>,
    /// Precondition on the revision of the resource in force.
    pub guard: ChangeGuard,
}

/// `ChangeAuthor` is the operator who requests a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeAuthor {
    /// Name of the operator.
    pub actor: String,
    /// Address that the operator's request came from.
    pub from: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct HeadValue {
    revision: FleetRevision,
}

#[derive(Debug, Serialize, Deserialize)]
struct SnapshotValue {
    revision: FleetRevision,
    object: String,
    parts: u32,
}

/// Row value that refers to an object, for a change that is too long for a row.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ObjectValue {
    object: String,
}

/// `ChangeStore` reads and writes the accepted configuration.
#[derive(Debug, Clone)]
pub struct ChangeStore {
    platform: Rc<PlatformClient>,
}

impl ChangeStore {
    /// Builds a store over the platform.
    pub fn new(platform: Rc<PlatformClient>) -> Self {
        Self { platform }
    }

    /// Reads the revision of the fleet and the version of the head row; both are 0 before the first
    /// change.
    pub async fn head(&self) -> Result<(FleetRevision, u64), StoreError> {
        match self.platform.read(HEAD_KEY).await? {
            Some(row) => Ok((parse_row_value::<HeadValue>(&row.value)?.revision, row.version)),
            None => Ok((FleetRevision(0), 0)),
        }
    }

    /// Reads the changes after a revision, oldest first, up to the limit of one scan.
    pub async fn changes_after(
        &self,
        revision: FleetRevision,
    ) -> Result<Vec<ChangeRecord>, StoreError> {
        let after = change_key(revision);
        let rows = self.platform.scan(CHANGE_PREFIX, &after, SCAN_CHANGES_MAX).await?;
        let mut records = Vec::with_capacity(rows.len());
        for row in &rows {
            records.push(self.read_record(row).await?);
        }
        Ok(records)
    }

    /// Reads the change of a row, or of the object that the row refers to.
    async fn read_record(&self, row: &TableRow) -> Result<ChangeRecord, StoreError> {
        let name = match ObjectValue::deserialize(&row.value) {
            Ok(value) => value.object,
            Err(_) => return parse_row_value(&row.value),
        };
        let content = self.platform.get_object(&name).await?;
        let content = content.ok_or_else(|| malformed(format!("object {name} is missing")))?;
        serde_json::from_slice(&content).map_err(malformed)
    }

    /// Reads the latest snapshot. Returns `None` if no snapshot exists or an object of the snapshot
    /// is missing. `pause` is awaited between steps, so that other tasks can run.
    pub async fn snapshot(
        &self,
        pause: &impl AsyncFn(),
    ) -> Result<Option<FleetConfig>, StoreError> {
        let value: SnapshotValue = match self.platform.read(SNAPSHOT_KEY).await? {
            Some(row) => parse_row_value(&row.value)?,
            None => return Ok(None),
        };
        let mut content = Vec::new();
        for part in 0..value.parts {
            match self.platform.get_object(&part_name(&value.object, part)).await? {
                Some(bytes) => content.extend_from_slice(&bytes),
                None => return Ok(None),
            }
        }
        snapshot::read(&content, pause).await.map(Some).map_err(malformed)
    }

    /// Writes a snapshot and makes it the latest, unless the store names a snapshot of the same or
    /// a later revision. `pause` is awaited between steps, so that other tasks can run.
    pub async fn put_snapshot(
        &self,
        config: &FleetConfig,
        pause: &impl AsyncFn(),
    ) -> Result<(), StoreError> {
        let revision = config.revision();
        let object = format!("config-{:020}", revision.0);
        let content = snapshot::write(config, pause).await.map_err(malformed)?;
        let content = Bytes::from(content);
        let mut parts = 0;
        for begin in (0..content.len()).step_by(OBJECT_BYTES_MAX) {
            let end = content.len().min(begin + OBJECT_BYTES_MAX);
            let name = part_name(&object, parts);
            self.platform.put_object(&name, content.slice(begin..end)).await?;
            parts += 1;
        }
        let mut version = 0;
        if let Some(row) = self.platform.read(SNAPSHOT_KEY).await? {
            version = row.version;
            if parse_row_value::<SnapshotValue>(&row.value)?.revision >= revision {
                return Ok(());
            }
        }
        let check = RowCheck { key: SNAPSHOT_KEY.to_owned(), version };
        let value = json!(SnapshotValue { revision, object, parts });
        let write = RowWrite { key: SNAPSHOT_KEY.to_owned(), value: Some(value) };
        self.platform.transact(vec![check], vec![write]).await.map(drop)
    }

    /// Reads the changes after the revision of `config`, applies these changes to `config` and
    /// returns them.
    pub async fn catch_up(
        &self,
        config: &mut FleetConfig,
    ) -> Result<Vec<ChangeRecord>, StoreError> {
        let mut new_records = Vec::new();
        loop {
            let records = self.changes_after(config.revision()).await?;
            let is_full_scan = records.len() == SCAN_CHANGES_MAX;
            for record in records {
                let applied = config.apply(&record).map_err(malformed)?;
                if !applied {
                    return Err(malformed("a change is missing between two revisions"));
                }
                new_records.push(record);
            }
            if !is_full_scan {
                return Ok(new_records);
            }
        }
    }

    /// Commits a change atomically: either all edits of the change take effect, or none does.
    ///
    /// Applies the earlier changes of the store to `config` first, and applies the new change to
    /// `config` once the store has accepted the change.
    pub async fn commit(
        &self,
        config: &mut FleetConfig,
        edits: &[ResourceEdit],
        author: &ChangeAuthor,
    ) -> Result<ChangeRecord, ChangeError> {
        let writer = fresh_token();
        let mut backoff = RetryBackoff::with_max_delay(COMMIT_BACKOFF_MAX);
        for _ in 0..COMMIT_TRIES_MAX {
            let version = self.sync_to_head(config).await?;
            let record = plan_change(config, edits, author, &writer)?;
            if record.changes.is_empty() {
                return Ok(ChangeRecord { revision: config.revision(), ..record });
            }
            match self.write_change(&record, version).await {
                Ok(()) => {
                    let applied = config.apply(&record);
                    debug_assert_eq!(applied, Ok(true));
                    return Ok(record);
                }
                Err(StoreError::Conflict { .. }) => monoio::time::sleep(backoff.next_delay()).await,
                Err(error) if error.may_have_happened() => {
                    return self.resolve_outcome(config, record, version).await
                }
                Err(source) => return Err(ChangeError::Store { source }),
            }
        }
        Err(ChangeError::Contended)
    }

    /// Applies the missing changes of the store to `config` and returns the version of the head
    /// row.
    async fn sync_to_head(&self, config: &mut FleetConfig) -> Result<u64, ChangeError> {
        let store_error = |source| ChangeError::Store { source };
        let (revision, version) = self.head().await.map_err(store_error)?;
        if revision > config.revision() {
            self.catch_up(config).await.map_err(store_error)?;
        }
        Ok(version)
    }

    /// Writes a change, provided that the head row still has the version `version`.
    async fn write_change(&self, record: &ChangeRecord, version: u64) -> Result<(), StoreError> {
        let check = RowCheck { key: HEAD_KEY.to_owned(), version };
        let head = RowWrite {
            key: HEAD_KEY.to_owned(),
            value: Some(json!(HeadValue { revision: record.revision })),
        };
        let value = self.change_value(record).await?;
        let change = RowWrite { key: change_key(record.revision), value: Some(value) };
        self.platform.transact(vec![check], vec![head, change]).await.map(drop)
    }

    /// Returns the row value of a change; a long change is written as an object first.
    async fn change_value(&self, record: &ChangeRecord) -> Result<Value, StoreError> {
        let text = serde_json::to_vec(record).map_err(malformed)?;
        if text.len() <= transaction::VALUE_BYTES_MAX {
            return Ok(json!(record));
        }
        // The name contains the writer's token, so that no writer overwrites the object of another
        // writer.
        let object = format!("change-{:020}-{}", record.revision.0, record.writer);
        self.platform.put_object(&object, Bytes::from(text)).await.map_err(as_not_applied)?;
        Ok(json!(ObjectValue { object }))
    }

    /// Finds out whether a write took effect after the store's answer was lost.
    ///
    /// The same write is retried; the check on the head row ensures that the write takes effect at
    /// most once. If the check fails, the token in the change row of the revision shows which
    /// writer committed the revision.
    async fn resolve_outcome(
        &self,
        config: &mut FleetConfig,
        record: ChangeRecord,
        version: u64,
    ) -> Result<ChangeRecord, ChangeError> {
        let mut backoff = RetryBackoff::default();
        for _ in 0..OUTCOME_TRIES_MAX {
            monoio::time::sleep(backoff.next_delay()).await;
            match self.write_change(&record, version).await {
                Ok(()) => {
                    let _ = config.apply(&record);
                    return Ok(record);
                }
                Err(StoreError::Conflict { .. }) => {}
                Err(_) => continue,
            }
            let row = match self.platform.read(&change_key(record.revision)).await {
                Ok(row) => row,
                Err(_) => continue,
            };
            let written_record = match &row {
                Some(row) => self.read_record(row).await.map(Some),
                None => Ok(None),
            };
            match written_record {
                Ok(written_record) => return outcome_by_row(config, record, written_record),
                Err(_) => continue,
            }
        }
        Err(ChangeError::Unsettled { writer: record.writer })
    }
}

fn outcome_by_row(
    config: &mut FleetConfig,
    record: ChangeRecord,
    written_record: Option<ChangeRecord>,
) -> Result<ChangeRecord, ChangeError> {
    match written_record {
        Some(written_record) if written_record.writer == record.writer => {
            let _ = config.apply(&record);
            Ok(record)
        }
        Some(_) => Err(ChangeError::Contended),
        None => Err(ChangeError::Unsettled { writer: record.writer }),
    }
}

/// Validates edits against a configuration and builds the record of the change.
pub fn plan_change(
    config: &FleetConfig,
    edits: &[ResourceEdit],
    author: &ChangeAuthor,
    writer: &str,
) -> Result<ChangeRecord, ChangeError> {
    let invalid_change = |source| ChangeError::Invalid { source };
    if edits.len() > CHANGE_EDITS_MAX {
        let error = basaltarch_core::errors::bad_value("changes", edits.len(), "up to 20000");
        return Err(invalid_change(error));
    }
    let mut changes = Vec::new();
    let mut edited = HashSet::new();
    for edit in edits {
        if !edited.insert((edit.kind, edit.name.as_str())) {
            let path = resources::resource_path(edit.kind, &edit.name);
            let error = basaltarch_core::errors::bad_value(
                path,
                "two edits",
                "one edit of a resource per change",
            );
            return Err(invalid_change(error));
        }
        check_guard(config, edit)?;
        if let Some(change) = plan_edit(config, edit).map_err(invalid_change)? {
            changes.push(change);
        }
    }
    let record = ChangeRecord {
        revision: config.revision().next(),
        actor: author.actor.clone(),
        at_ms: units::wall_millis(),
        from: author.from.clone(),
        writer: writer.to_owned(),
        changes,
    };
    let mut changed_config = config.clone();
    changed_config.apply(&record).map_err(invalid_change)?;
    changed_config.check_change(&record).map_err(invalid_change)?;
    Ok(record)
}

fn plan_edit(
    config: &FleetConfig,
    edit: &ResourceEdit,
) -> Result<Option<ResourceChange>, ResourceError> {
    let before = config.get(edit.kind, &edit.name).map(|stored| stored.value.to_json());
    let after = match &edit.value {
        Some(value) => Some(ResourceValue::try_new(edit.kind, &edit.name, value)?.to_json()),
        None => None,
    };
    if before == after {
        return Ok(None);
    }
    Ok(Some(ResourceChange {
        kind: edit.kind.name().to_owned(),
        name: edit.name.clone(),
        before,
        after,
    }))
}

fn check_guard(config: &FleetConfig, edit: &ResourceEdit) -> Result<(), ChangeError> {
    let stored = config.get(edit.kind, &edit.name);
    let in_force = stored.as_ref().map_or(FleetRevision(0), |stored| stored.revision);
    let expected = match edit.guard {
        ChangeGuard::Any => return Ok(()),
        ChangeGuard::Absent => FleetRevision(0),
        ChangeGuard::At(revision) => revision,
    };
    if in_force == expected {
        return Ok(());
    }
    Err(ChangeError::GuardFailed {
        path: resources::resource_path(edit.kind, &edit.name),
        expected: expected.0,
        in_force: in_force.0,
        value: stored.map(|stored| stored.value.to_json()),
    })
}

fn change_key(revision: FleetRevision) -> String {
    // Twenty digits hold any `u64`, so that the keys of changes sort in the order of revisions.
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// Returns a random token that identifies the writer of one change or claim.
pub fn fresh_token() -> String {
    format!("{:032x}", rand::random::<u128>())
}

fn parse_row_value<T: serde::de::DeserializeOwned>(value: &Value) -> Result<T, StoreError> {
    T::deserialize(value).map_err(malformed)
}

/// Returns the object name of one part of a snapshot; a snapshot may be too long for a single
/// object.
fn part_name(object: &str, part: u32) -> String {
    format!("{object}-{part}")
}

/// Converts an error of a call that precedes the transaction: even if the answer to that call was
/// lost, the change certainly did not take effect.
fn as_not_applied(error: StoreError) -> StoreError {
    match error {
        StoreError::AnswerLost { message } => StoreError::Unreachable { message },
        other => other,
    }
}
