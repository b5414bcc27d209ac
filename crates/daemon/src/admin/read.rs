// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads resources and the audit trail.

use std::rc::Rc;

use basaltarch_core::config::{ChangeRecord, FleetConfig};
use basaltarch_core::resources::ResourceKind;
use basaltarch_core::units::{self, FleetRevision};
use basaltarch_http::server::{ServerReply, ServerRequest};
use basaltarch_options::ConfigSource;
use http::{header, StatusCode};
use serde_json::{json, Value};

use crate::admin;
use crate::document;
use crate::state::DaemonState;

/// Maximum number of change records in one reply of the audit trail.
const AUDIT_RECORDS_MAX: usize = 1000;

/// Calls `read` with the resources in force: the declared resources, or the resources derived from
/// the operator's document and the backend servers' registrations.
fn with_resources<T>(state: &DaemonState, read: impl FnOnce(&FleetConfig) -> T) -> T {
    match state.options.source {
        ConfigSource::Resources => state.config.with_fleet(read),
        ConfigSource::Document => read(&document::resources(state)),
    }
}

/// Lists the resources of a kind.
pub fn list(state: &Rc<DaemonState>, kind: ResourceKind) -> ServerReply {
    let body = with_resources(state, |fleet| {
        let resources: Vec<Value> = fleet
            .list(kind)
            .map(|(name, stored)| {
                json!({"name": &*name, "revision": stored.revision, "value": stored.value.to_json()})
            })
            .collect();
        json!({"revision": fleet.revision(), "kind": kind.name(), "resources": resources})
    });
    ServerReply::json(StatusCode::OK, &body)
}

/// Reads one resource; the reply carries its revision as the `ETag`.
pub fn read_one(state: &Rc<DaemonState>, kind: ResourceKind, name: &str) -> ServerReply {
    with_resources(state, |fleet| match fleet.get(kind, name) {
        Some(stored) => {
            let reply = ServerReply::json(StatusCode::OK, &stored.value.to_json());
            reply.with_field(header::ETAG, &format!("\"{}\"", stored.revision))
        }
        None => admin::problem(StatusCode::NOT_FOUND, "there is no such resource"),
    })
}

/// Reads the audit trail from the store, or from the records cached at this daemon if the store
/// does not answer.
pub async fn read_audit_trail(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    let filter = match AuditFilter::try_new(request) {
        Ok(filter) => filter,
        Err(message) => return admin::problem(StatusCode::UNPROCESSABLE_ENTITY, message),
    };
    let mut selected = Vec::new();
    let mut after = filter.after;
    let mut store_answered = true;
    while selected.len() < AUDIT_RECORDS_MAX {
        let records = match state.changes.changes_after(after).await {
            Ok(records) => records,
            Err(_) => {
                store_answered = false;
                cached_records(state, after)
            }
        };
        let last = match records.last() {
            Some(last) => last.revision,
            None => break,
        };
        let matching = records.into_iter().filter_map(|record| filter.select(record));
        selected.extend(matching.map(|record| audit_json(&record)));
        after = last;
        if !store_answered {
            break;
        }
    }
    selected.truncate(AUDIT_RECORDS_MAX);
    let source = if store_answered { "store" } else { "kept here; the store did not answer" };
    ServerReply::json(StatusCode::OK, &json!({"records": selected, "source": source}))
}

/// Returns the change records that follow the revision `after` and are cached at this daemon.
fn cached_records(state: &DaemonState, after: FleetRevision) -> Vec<ChangeRecord> {
    let records = state.config.records_after(after).unwrap_or_default();
    records.iter().map(|record| (**record).clone()).collect()
}

/// Returns a record in the form that operators read.
pub fn audit_json(record: &ChangeRecord) -> Value {
    json!({
        "revision": record.revision,
        "at": units::format_utc(record.at_ms),
        "at_ms": record.at_ms,
        "actor": record.actor,
        "from": record.from,
        "writer": record.writer,
        "changes": record.changes,
    })
}

struct AuditFilter {
    after: FleetRevision,
    kind: Option<String>,
    name: Option<String>,
    actor: Option<String>,
    since_ms: u64,
    until_ms: u64,
}

impl AuditFilter {
    fn try_new(request: &ServerRequest) -> Result<Self, String> {
        let number = |name: &str, default: u64| match request.query(name) {
            Some(text) => text.parse().map_err(|_| format!("{name}: must be a number")),
            None => Ok(default),
        };
        let text = |name: &str| request.query(name).map(str::to_owned);
        Ok(Self {
            after: FleetRevision(number("after", 0)?),
            kind: text("kind"),
            name: text("name"),
            actor: text("actor"),
            since_ms: number("since_ms", 0)?,
            until_ms: number("until_ms", u64::MAX)?,
        })
    }

    /// Returns a record with only the changes that match the filter; `None` if nothing matches.
    fn select(&self, mut record: ChangeRecord) -> Option<ChangeRecord> {
        let matches = |expected: &Option<String>, value: &str| {
            expected.as_deref().is_none_or(|expected| expected == value)
        };
        record.changes.retain(|change| {
            matches(&self.kind, &change.kind) && matches(&self.name, &change.name)
        });
        let is_selected = matches(&self.actor, &record.actor)
            && (self.since_ms..=self.until_ms).contains(&record.at_ms);
        (is_selected && !record.changes.is_empty()).then_some(record)
    }
}
