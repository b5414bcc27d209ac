// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The commands that call the resource API.

use std::fs;
use std::time::{Duration, Instant};

use basaltarch_core::resources::{ResourceKind, ALL_KINDS};
use http::{header, HeaderName, Method};
use serde_json::{json, Value};

use crate::api::AdminApi;
use crate::errors::CommandError;
use crate::tables;

/// Interval at which `apply` with `wait` queries the status of all daemons, until every live daemon
/// has the new revision in force.
const REVISION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// `OutputForm` is how results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputForm {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Reads a file of resources: a JSON object that maps each kind to an object, which maps names to
/// values.
fn read_changes(path: &str) -> Result<Vec<Value>, CommandError> {
    let file_error = |message: String| CommandError::BadFile { path: path.to_owned(), message };
    let text = fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
    let value: Value =
        serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))?;
    let kinds = value
        .as_object()
        .ok_or_else(|| file_error("expected a JSON object of resource kinds".to_owned()))?;
    for kind in kinds.keys() {
        ResourceKind::parse(kind).map_err(|error| file_error(error.to_string()))?;
    }
    let mut changes = Vec::new();
    for kind in ALL_KINDS {
        let resources = match kinds.get(kind.name()) {
            Some(resources) => resources,
            None => continue,
        };
        let resources = resources.as_object().ok_or_else(|| {
            file_error(format!("{}: expected a JSON object of resource names", kind.name()))
        })?;
        for (name, value) in resources {
            changes.push(json!({"kind": kind.name(), "name": name, "value": value}));
        }
    }
    Ok(changes)
}

/// Applies a file of resources in one transaction. With `wait`, the command returns once all live
/// daemons have the new revision in force, and fails if this takes longer than `wait`.
pub async fn apply(
    api: &AdminApi,
    path: &str,
    wait: Option<Duration>,
    form: OutputForm,
) -> Result<(), CommandError> {
    let body = json!({ "changes": read_changes(path)? });
    let reply = api.call(Method::POST, "/v1/apply", Some(&body), None).await?;
    let revision = reply["revision"].as_u64().unwrap_or(0);
    if let Some(limit) = wait {
        wait_in_force(api, revision, limit).await?;
    }
    match form {
        OutputForm::Json => {
            println!("{}", json!({"revision": revision, "changed": reply["changed"]}))
        }
        OutputForm::Table => {
            let state = if wait.is_some() { "in force on all live daemons" } else { "accepted" };
            println!("revision {revision}: {} resources changed, {state}", reply["changed"]);
        }
    }
    Ok(())
}

async fn wait_in_force(api: &AdminApi, revision: u64, limit: Duration) -> Result<(), CommandError> {
    let start = Instant::now();
    loop {
        let status = api.get("/v1/status").await?;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let lagging: Vec<String> = members
            .iter()
            .filter(|member| member["state"] == "live")
            .filter(|member| member["revision"].as_u64().unwrap_or(0) < revision)
            .map(|member| tables::cell_text(&member["host"]))
            .collect();
        if lagging.is_empty() {
            return Ok(());
        }
        if start.elapsed() > limit {
            let hosts = lagging.join(", ");
            return Err(CommandError::Lagging { revision, hosts });
        }
        monoio::time::sleep(REVISION_POLL_INTERVAL).await;
    }
}

/// Shows which resources an `apply` of the file would change, and how.
pub async fn diff(api: &AdminApi, path: &str, form: OutputForm) -> Result<(), CommandError> {
    let body = json!({"changes": read_changes(path)?, "dry_run": true});
    let reply = api.call(Method::POST, "/v1/apply", Some(&body), None).await?;
    if form == OutputForm::Json {
        println!("{}", reply["changes"]);
        return Ok(());
    }
    let changes = reply["changes"].as_array().cloned().unwrap_or_default();
    for change in &changes {
        println!("{}/{}", tables::cell_text(&change["kind"]), tables::cell_text(&change["name"]));
        print_difference(&change["before"], &change["after"]);
    }
    println!("{} resources would change", changes.len());
    Ok(())
}

fn print_difference(before: &Value, after: &Value) {
    let empty = serde_json::Map::new();
    let old = before.as_object().unwrap_or(&empty);
    let new = after.as_object().unwrap_or(&empty);
    for (field, value) in old {
        if new.get(field) != Some(value) {
            println!("  - {field}: {value}");
        }
    }
    for (field, value) in new {
        if old.get(field) != Some(value) {
            println!("  + {field}: {value}");
        }
    }
}

/// Shows all resources of a kind or, with `name`, one resource of the kind.
pub async fn get(
    api: &AdminApi,
    kind: &str,
    name: Option<&str>,
    form: OutputForm,
) -> Result<(), CommandError> {
    if let Some(name) = name {
        let value = api.get(&format!("/v1/{kind}/{name}")).await?;
        println!("{value:#}");
        return Ok(());
    }
    let reply = api.get(&format!("/v1/{kind}")).await?;
    if form == OutputForm::Json {
        println!("{reply}");
        return Ok(());
    }
    let resources = reply["resources"].as_array().cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> = resources
        .iter()
        .map(|resource| tables::cell_texts(resource, &["name", "revision", "value"]))
        .collect();
    tables::print(&["NAME", "REVISION", "VALUE"], &rows);
    Ok(())
}

/// Deletes a resource. With `expected_revision`, the resource is deleted only if it has that
/// revision.
pub async fn delete(
    api: &AdminApi,
    kind: &str,
    name: &str,
    expected_revision: Option<u64>,
) -> Result<(), CommandError> {
    let target = format!("/v1/{kind}/{name}");
    let precondition = precondition_of(expected_revision);
    let reply = api.call(Method::DELETE, &target, None, Some(precondition)).await?;
    println!("revision {}: deleted", reply["revision"]);
    Ok(())
}

fn precondition_of(expected_revision: Option<u64>) -> (HeaderName, String) {
    let value = expected_revision.map_or("*".to_owned(), |revision| format!("\"{revision}\""));
    (header::IF_MATCH, value)
}

/// Prints the accepted changes after revision `after` as they arrive, until the daemon ends the
/// watch.
pub async fn watch(api: &AdminApi, kind: Option<&str>, after: u64) -> Result<(), CommandError> {
    let target = match kind {
        Some(kind) => format!("/v1/{kind}?watch={after}"),
        None => format!("/v1/watch?after={after}"),
    };
    api.watch(&target, |line| println!("{line}")).await
}

/// `AuditQuery` selects records of the audit trail.
#[derive(Debug, Default)]
pub struct AuditQuery {
    /// Kind of a changed resource.
    pub kind: Option<String>,
    /// Name of a changed resource.
    pub name: Option<String>,
    /// Who made the change.
    pub actor: Option<String>,
    /// Earliest time in milliseconds since 1970.
    pub since_ms: Option<u64>,
    /// Latest time in milliseconds since 1970.
    pub until_ms: Option<u64>,
}

/// Shows the audit trail.
pub async fn audit(
    api: &AdminApi,
    query: &AuditQuery,
    form: OutputForm,
) -> Result<(), CommandError> {
    let mut target = "/v1/audit?after=0".to_owned();
    let mut add_parameter = |name: &str, value: Option<String>| {
        if let Some(value) = value {
            target.push_str(&format!("&{name}={value}"));
        }
    };
    add_parameter("kind", query.kind.clone());
    add_parameter("name", query.name.clone());
    add_parameter("actor", query.actor.clone());
    add_parameter("since_ms", query.since_ms.map(|millis| millis.to_string()));
    add_parameter("until_ms", query.until_ms.map(|millis| millis.to_string()));
    let reply = api.get(&target).await?;
    if form == OutputForm::Json {
        println!("{reply}");
        return Ok(());
    }
    let mut rows = Vec::new();
    for record in reply["records"].as_array().into_iter().flatten() {
        for change in record["changes"].as_array().into_iter().flatten() {
            let mut row = tables::cell_texts(record, &["revision", "at", "actor", "from"]);
            let action = match (change["before"].is_null(), change["after"].is_null()) {
                (true, _) => "made",
                (_, true) => "deleted",
                _ => "changed",
            };
            row.push(action.to_owned());
            let (kind, name) =
                (tables::cell_text(&change["kind"]), tables::cell_text(&change["name"]));
            row.push(format!("{kind}/{name}"));
            rows.push(row);
        }
    }
    tables::print(&["REVISION", "AT", "ACTOR", "FROM", "WHAT", "RESOURCE"], &rows);
    if reply["source"] != "store" {
        println!("source: {}", tables::cell_text(&reply["source"]));
    }
    Ok(())
}

/// Shows which revision each daemon has in force.
pub async fn status(api: &AdminApi, form: OutputForm) -> Result<(), CommandError> {
    let reply = api.get("/v1/status").await?;
    if form == OutputForm::Json {
        println!("{reply}");
        return Ok(());
    }
    let fields = ["host", "failure_domain", "state", "revision", "heard_ms_ago", "admin_address"];
    let members = reply["members"].as_array().cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> =
        members.iter().map(|member| tables::cell_texts(member, &fields)).collect();
    tables::print(&["HOST", "DOMAIN", "STATE", "REVISION", "HEARD MS AGO", "ADMIN"], &rows);
    let evacuated = reply["evacuated"].as_array().into_iter().flatten();
    for domain in evacuated {
        println!("evacuated: {}", tables::cell_text(domain));
    }
    Ok(())
}

/// Shows the health of upstreams.
pub async fn health(
    api: &AdminApi,
    service: Option<&str>,
    form: OutputForm,
) -> Result<(), CommandError> {
    let target = match service {
        Some(service) => format!("/v1/health?service={service}"),
        None => "/v1/health".to_owned(),
    };
    let mut reply = api.get(&target).await?;
    merge_host_views(api, &target, &mut reply).await?;
    if form == OutputForm::Json {
        println!("{reply}");
        return Ok(());
    }
    let mut rows = Vec::new();
    for service in reply["services"].as_array().into_iter().flatten() {
        for upstream in service["upstreams"].as_array().into_iter().flatten() {
            let mut row = tables::cell_texts(service, &["service"]);
            row.extend(tables::cell_texts(upstream, &["upstream", "host", "state"]));
            let fields = ["ejected", "score", "evidence", "since_ms_ago", "in_flight", "queued"];
            row.extend(tables::cell_texts(&upstream["here"], &fields));
            rows.push(row);
        }
    }
    let header = [
        "SERVICE",
        "UPSTREAM",
        "HOST",
        "SEEN AS",
        "EJECTED",
        "SCORE",
        "EVIDENCE",
        "SINCE MS AGO",
        "IN FLIGHT",
        "QUEUED",
    ];
    tables::print(&header, &rows);
    Ok(())
}

/// Queries each live daemon for its view of the backend servers on its own host, and merges the
/// views into the reply.
async fn merge_host_views(
    api: &AdminApi,
    target: &str,
    reply: &mut Value,
) -> Result<(), CommandError> {
    for (_, view) in query_live(api, target).await? {
        merge_host_view(reply, &view);
    }
    Ok(())
}

/// Queries each daemon whose membership state is not `suspect`; daemons that do not answer are left
/// out.
async fn query_live(api: &AdminApi, target: &str) -> Result<Vec<(String, Value)>, CommandError> {
    let status = api.get("/v1/status").await?;
    let mut replies = Vec::new();
    for member in status["members"].as_array().into_iter().flatten() {
        let address = member["admin_address"].as_str().and_then(|text| text.parse().ok());
        let address = match address {
            Some(address) if member["state"] != "suspect" => address,
            _ => continue,
        };
        if let Ok(reply) = api.with_address(address).get(target).await {
            replies.push((tables::cell_text(&member["host"]), reply));
        }
    }
    Ok(replies)
}

/// Shows how callers' requests ended, at each live daemon since its start.
pub async fn outcomes(api: &AdminApi, form: OutputForm) -> Result<(), CommandError> {
    let replies = query_live(api, "/v1/status").await?;
    if form == OutputForm::Json {
        let outcomes_by_host: serde_json::Map<String, Value> =
            replies.into_iter().map(|(host, reply)| (host, reply["outcomes"].clone())).collect();
        println!("{}", Value::Object(outcomes_by_host));
        return Ok(());
    }
    let mut rows = Vec::new();
    for (host, reply) in &replies {
        let outcomes = &reply["outcomes"];
        let mut add_row = |outcome: &str, reason: &str, count: &Value| {
            let row = [host.as_str(), outcome, reason, &tables::cell_text(count)];
            rows.push(row.map(str::to_owned).to_vec());
        };
        add_row("complete", "-", &outcomes["complete"]);
        for outcome in ["not_run", "unknown"] {
            for (reason, count) in outcomes[outcome].as_object().into_iter().flatten() {
                add_row(&outcome.replace('_', "-"), reason, count);
            }
        }
        add_row("(retries)", "-", &outcomes["retries"]);
        add_row("(retries denied)", "-", &outcomes["retries_denied"]);
    }
    tables::print(&["HOST", "OUTCOME", "REASON", "COUNT"], &rows);
    Ok(())
}

/// Shows the requests that ran at backend servers when they crashed, the most suspect first.
pub async fn suspects(api: &AdminApi, form: OutputForm) -> Result<(), CommandError> {
    let reply = api.get("/v1/suspects").await?;
    if form == OutputForm::Json {
        println!("{reply}");
        return Ok(());
    }
    let fields = ["fingerprint", "refused", "crashes", "good_runs", "upstream", "seen_ms_ago"];
    let row = |suspect: &Value| fields.map(|field| tables::cell_text(&suspect[field])).to_vec();
    let rows: Vec<Vec<String>> =
        reply["suspects"].as_array().into_iter().flatten().map(row).collect();
    let titles = ["FINGERPRINT", "REFUSED", "CRASHES", "GOOD RUNS", "LAST SERVER", "SEEN MS AGO"];
    tables::print(&titles, &rows);
    Ok(())
}

/// Makes the whole fleet admit a request again that is refused because it crashed backend servers.
pub async fn lift_refusal(api: &AdminApi, fingerprint: &str) -> Result<(), CommandError> {
    let reply =
        api.call(Method::DELETE, &format!("/v1/suspects/{fingerprint}"), None, None).await?;
    println!("lifted {}", tables::cell_text(&reply["lifted"]));
    Ok(())
}

/// Replaces the `here` entry of each upstream in the reply by the `here` entry of the same upstream
/// in a daemon's view, if the view has such an entry.
fn merge_host_view(reply: &mut Value, view: &Value) {
    let services = reply["services"].as_array_mut().into_iter().flatten();
    for (service, service_view) in services.zip(view["services"].as_array().into_iter().flatten()) {
        let upstreams = service["upstreams"].as_array_mut().into_iter().flatten();
        let upstream_views = service_view["upstreams"].as_array().into_iter().flatten();
        for (upstream, upstream_view) in upstreams.zip(upstream_views) {
            if !upstream_view["here"].is_null() && upstream["upstream"] == upstream_view["upstream"]
            {
                upstream["here"] = upstream_view["here"].clone();
            }
        }
    }
}

/// Drains the daemon that the client is connected to.
pub async fn drain_daemon(api: &AdminApi) -> Result<(), CommandError> {
    let reply = api.call(Method::POST, "/v1/drain", None, None).await?;
    println!("draining {}", tables::cell_text(&reply["draining"]));
    Ok(())
}

/// Sets a backend server to draining or, if `active`, back to active.
pub async fn drain_server(api: &AdminApi, name: &str, active: bool) -> Result<(), CommandError> {
    let state = if active { "active" } else { "draining" };
    let kind = ResourceKind::BackendServer;
    let revision = set_field(api, kind, name, "state", &json!(state)).await?;
    println!("revision {revision}: {name} is {state}");
    Ok(())
}

/// Evacuates a failure domain or, if `evacuated` is false, restores it.
pub async fn evacuate(api: &AdminApi, name: &str, evacuated: bool) -> Result<(), CommandError> {
    let kind = ResourceKind::FailureDomain;
    let revision = set_field(api, kind, name, "evacuated", &json!(evacuated)).await?;
    let state = if evacuated { "evacuated" } else { "restored" };
    println!("revision {revision}: {name} is {state}");
    Ok(())
}

/// Changes one field of a resource, unless the resource changes in the meantime, and returns the
/// new revision.
async fn set_field(
    api: &AdminApi,
    kind: ResourceKind,
    name: &str,
    field: &str,
    value: &Value,
) -> Result<Value, CommandError> {
    let kind = kind.name();
    let list = api.get(&format!("/v1/{kind}")).await?;
    let mut resources = list["resources"].as_array().into_iter().flatten();
    let current = resources.find(|resource| resource["name"] == name);
    let current = current.ok_or_else(|| CommandError::Refused {
        status: 404,
        message: format!("there is no resource {kind}/{name}"),
    })?;
    let mut resource = current["value"].clone();
    resource[field] = value.clone();
    let precondition = precondition_of(current["revision"].as_u64());
    let target = format!("/v1/{kind}/{name}");
    let reply = api.call(Method::PUT, &target, Some(&resource), Some(precondition)).await?;
    Ok(reply["revision"].clone())
}
