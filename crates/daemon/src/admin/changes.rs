// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Handles operators' changes, each of one resource or of many resources in one transaction.

use std::rc::Rc;

use basaltarch_base::metrics;
use basaltarch_core::config::{ChangeRecord, FleetConfig};
use basaltarch_core::errors::ResourceError;
use basaltarch_core::resources::ResourceKind;
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;
use basaltarch_http::fields;
use basaltarch_http::server::{ServerReply, ServerRequest};
use basaltarch_store::changes::{self, ChangeAuthor, ChangeGuard, ResourceEdit};
use basaltarch_store::errors::ChangeError;
use http::{header, HeaderName, StatusCode};
use serde::Deserialize;
use serde_json::{json, Value};

use crate::admin;
use crate::config_sync;
use crate::state::DaemonState;

/// Header field that names the operator.
const ACTOR_FIELD: HeaderName = HeaderName::from_static("basaltarch-actor");

/// `ApplyRequest` is a transaction that changes many resources.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyRequest {
    changes: Vec<ApplyEntry>,
    #[serde(default)]
    dry_run: bool,
}

/// `ApplyEntry` is the change of one resource in a transaction.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ApplyEntry {
    kind: String,
    name: String,
    value: Option<Value>,
    /// Revision that the resource must have. The value 0 requires that the resource does not exist.
    /// An absent value requires nothing.
    at: Option<u64>,
}

/// Creates or replaces one resource.
pub async fn put(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    kind: ResourceKind,
    name: &str,
) -> ServerReply {
    let value: Value = match serde_json::from_slice(&request.body) {
        Ok(value) => value,
        Err(error) => return admin::problem(StatusCode::BAD_REQUEST, format!("body: {error}")),
    };
    edit_one(state, request, kind, name, Some(value)).await
}

/// Deletes one resource.
pub async fn delete(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    kind: ResourceKind,
    name: &str,
) -> ServerReply {
    edit_one(state, request, kind, name, None).await
}

async fn edit_one(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    kind: ResourceKind,
    name: &str,
    value: Option<Value>,
) -> ServerReply {
    let guard = match read_guard(request) {
        Ok(guard) => guard,
        Err(reply) => return *reply,
    };
    let edit = ResourceEdit { kind, name: name.to_owned(), value, guard };
    match commit(state, request, &[edit]).await {
        Ok(record) => {
            let body = json!({"revision": record.revision, "changed": record.changes.len()});
            let reply = ServerReply::json(StatusCode::OK, &body);
            reply.with_field(header::ETAG, &format!("\"{}\"", record.revision))
        }
        Err(error) => error_reply(&error),
    }
}

/// Reads the precondition of a change: `If-Match: "REVISION"`, `If-Match: *` or `If-None-Match: *`.
fn read_guard(request: &ServerRequest) -> Result<ChangeGuard, Box<ServerReply>> {
    let headers = &request.head.headers;
    if fields::single(headers, &header::IF_NONE_MATCH) == Some("*") {
        return Ok(ChangeGuard::Absent);
    }
    let value = match fields::single(headers, &header::IF_MATCH) {
        Some(value) => value,
        None => {
            let message = "one precondition is required: If-Match: \"REVISION\" (from the \
                           resource's ETag), If-Match: * to replace or delete any revision, or \
                           If-None-Match: * to create the resource";
            let reply = admin::problem(StatusCode::PRECONDITION_REQUIRED, message);
            return Err(Box::new(reply));
        }
    };
    if value == "*" {
        return Ok(ChangeGuard::Any);
    }
    match value.trim_matches('"').parse() {
        Ok(revision) => Ok(ChangeGuard::At(FleetRevision(revision))),
        Err(_) => {
            let message = format!("If-Match: {value} is not an ETag of this API");
            Err(Box::new(admin::problem(StatusCode::BAD_REQUEST, message)))
        }
    }
}

/// Applies the changes of many resources in one transaction, or only plans the changes for a dry
/// run.
pub async fn apply(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    let transaction: ApplyRequest = match serde_json::from_slice(&request.body) {
        Ok(transaction) => transaction,
        Err(error) => {
            return admin::problem(StatusCode::UNPROCESSABLE_ENTITY, format!("body: {error}"))
        }
    };
    let mut edits = Vec::with_capacity(transaction.changes.len());
    for entry in transaction.changes {
        match edit_of(entry) {
            Ok(edit) => edits.push(edit),
            Err(error) => return error_reply(&ChangeError::Invalid { source: error }),
        }
    }
    let result = if transaction.dry_run {
        plan_edits(state, request, &edits)
    } else {
        commit(state, request, &edits).await
    };
    match result {
        Ok(record) => {
            let body = json!({
                "revision": record.revision,
                "changed": record.changes.len(),
                "changes": if transaction.dry_run { json!(record.changes) } else { Value::Null },
            });
            ServerReply::json(StatusCode::OK, &body)
        }
        Err(error) => error_reply(&error),
    }
}

fn edit_of(entry: ApplyEntry) -> Result<ResourceEdit, ResourceError> {
    let guard = match entry.at {
        None => ChangeGuard::Any,
        Some(0) => ChangeGuard::Absent,
        Some(revision) => ChangeGuard::At(FleetRevision(revision)),
    };
    Ok(ResourceEdit {
        kind: ResourceKind::parse(&entry.kind)?,
        name: entry.name,
        value: entry.value,
        guard,
    })
}

/// Returns the author of a change: the operator that the request names, and the address that the
/// request came from.
pub fn author(request: &ServerRequest) -> ChangeAuthor {
    let actor = fields::single(&request.head.headers, &ACTOR_FIELD).unwrap_or("operator");
    ChangeAuthor { actor: actor.to_owned(), from: request.from.to_string() }
}

fn plan_edits(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    edits: &[ResourceEdit],
) -> Result<ChangeRecord, ChangeError> {
    let author = author(request);
    state.config.with_fleet(|fleet| changes::plan_change(fleet, edits, &author, ""))
}

/// Commits a change to the store and puts the change in force at this daemon at once.
async fn commit(
    state: &Rc<DaemonState>,
    request: &ServerRequest,
    edits: &[ResourceEdit],
) -> Result<ChangeRecord, ChangeError> {
    let author = author(request);
    let mut config = state.config.with_fleet(FleetConfig::clone);
    let result = state.changes.commit(&mut config, edits, &author).await;
    if let Err(ChangeError::Store { .. }) = &result {
        metrics::STORE_FAILURES.add_one();
    }
    let record = result?;
    let has_gap = record.revision > state.config.revision().next();
    if has_gap {
        // Other daemons committed changes after the revision in force at this daemon. The changes
        // of other daemons are read and applied first.
        if let Ok(missing) = state.changes.changes_after(state.config.revision()).await {
            state.config.apply(&missing, state.now());
        }
    }
    let committed = [record];
    if state.config.apply(&committed, state.now()) > 0 {
        config_sync::forward_changes(state, &committed);
    }
    let [record] = committed;
    if record.revision.0.is_multiple_of(changes::CHANGES_PER_SNAPSHOT) {
        monoio::spawn(write_snapshot(state.clone()));
    }
    fleet::ChangeAccepted {
        revision: record.revision.0,
        actor: &record.actor,
        changes: record.changes.len() as u64,
    }
    .log();
    Ok(record)
}

/// Writes the configuration in force as a snapshot, for daemons that join later. Without a
/// snapshot, daemons only start more slowly, since every change has a row of its own.
async fn write_snapshot(state: Rc<DaemonState>) {
    let config = state.config.with_fleet(FleetConfig::clone);
    let pause = async || config_sync::yield_to_requests(&state).await;
    match state.changes.put_snapshot(&config, &pause).await {
        Ok(()) => fleet::SnapshotKept { revision: config.revision().0 }.log(),
        Err(error) => fleet::SnapshotNotKept { error: &error.to_string() }.log(),
    }
}

fn error_reply(error: &ChangeError) -> ServerReply {
    let status = match error {
        ChangeError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ChangeError::GuardFailed { .. } => StatusCode::PRECONDITION_FAILED,
        ChangeError::Contended => StatusCode::CONFLICT,
        ChangeError::Store { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ChangeError::Unsettled { .. } => StatusCode::GATEWAY_TIMEOUT,
    };
    let mut body = json!({ "error": error.to_string() });
    match error {
        ChangeError::GuardFailed { in_force, value, .. } => {
            body["in_force"] = json!({"revision": in_force, "value": value});
        }
        ChangeError::Unsettled { writer } => body["writer"] = json!(writer),
        _ => {}
    }
    ServerReply::json(status, &body)
}
