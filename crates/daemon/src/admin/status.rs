// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reports the status of the fleet and the health of upstreams, as known to this daemon.

use std::rc::Rc;

use basaltarch_base::metrics;
use basaltarch_core::outcome::{NOT_RUN_REASONS, UNKNOWN_REASONS};
use basaltarch_core::units;
use basaltarch_decide::balance::LoadView;
use basaltarch_http::server::ServerReply;
use basaltarch_telemetry::metrics::CounterCell;
use http::StatusCode;
use serde_json::{json, Map, Value};

use crate::host::upstream::HostUpstream;
use crate::services::ServiceState;
use crate::state::DaemonState;

/// Reports the state of each daemon and the revision that the daemon has in force.
pub fn report_fleet(state: &Rc<DaemonState>) -> ServerReply {
    let now = state.now();
    let mut members = vec![own_status(state)];
    state.members.for_each(|host, view| {
        members.push(json!({
            "host": host,
            "failure_domain": view.failure_domain,
            "state": state.members.state_of(state, view).name(),
            "incarnation": view.incarnation,
            "revision": view.revision,
            "heard_ms_ago": now.saturating_sub(view.last_heartbeat_at).as_millis() as u64,
            "peer_address": view.peer_address,
            "admin_address": view.admin_address,
        }));
    });
    let active = state.config.active();
    let evacuated: Vec<&str> = active.evacuated.iter().map(|domain| &**domain).collect();
    let body = json!({
        "host": state.options.host,
        "revision": state.config.revision(),
        "loaded": state.config.is_loaded(),
        "in_flight": state.stop.in_flight(),
        "floor_violations": metrics::FLOOR_VIOLATIONS.get(),
        "outcomes": count_outcomes(),
        "evacuated": evacuated,
        "members": members,
    });
    ServerReply::json(StatusCode::OK, &body)
}

/// Reports how many requests of this daemon's callers had each outcome, since the daemon's start.
fn count_outcomes() -> Value {
    let not_run = NOT_RUN_REASONS.iter().map(|reason| reason.name()).zip(&metrics::NOT_RUN);
    let unknown = UNKNOWN_REASONS.iter().map(|reason| reason.name()).zip(&metrics::UNKNOWN);
    let nonzero_counts = |cells: Vec<(&str, &CounterCell)>| -> Map<String, Value> {
        let nonzero = cells.into_iter().filter(|(_, cell)| cell.get() > 0);
        nonzero.map(|(name, cell)| (name.to_owned(), json!(cell.get()))).collect()
    };
    json!({
        "requests": metrics::REQUESTS.get(),
        "complete": metrics::COMPLETE.get(),
        "not_run": nonzero_counts(not_run.collect()),
        "unknown": nonzero_counts(unknown.collect()),
        "retries": metrics::RETRIES.get(),
        "retries_denied": metrics::RETRIES_DENIED.get(),
    })
}

fn own_status(state: &DaemonState) -> Value {
    let now = state.now();
    let in_force_for = now.saturating_sub(state.config.since()).as_millis() as u64;
    json!({
        "host": state.options.host,
        "failure_domain": state.options.failure_domain,
        "state": if state.is_stopping() { "leaving" } else { "live" },
        "incarnation": state.identity.incarnation,
        "revision": state.config.revision(),
        "in_force_since": units::format_utc(units::wall_millis().saturating_sub(in_force_for)),
        "heard_ms_ago": 0,
        "peer_address": state.options.peer_address().to_string(),
        "admin_address": state.options.admin_address().to_string(),
    })
}

/// Reports the health of the upstreams of a service, or of all services known to this daemon.
pub fn health(state: &Rc<DaemonState>, service: Option<&str>) -> ServerReply {
    let active = state.config.active();
    let mut names: Vec<String> = match service {
        Some(name) => vec![name.to_owned()],
        None => active.services.keys().map(|name| name.to_string()).collect(),
    };
    names.sort();
    let mut services = Vec::new();
    for name in &names {
        match state.services.peek(state, &active, name) {
            Some(service) => services.push(service_health(state, &service)),
            None => {
                return super::problem(StatusCode::NOT_FOUND, format!("no service {name}"));
            }
        }
    }
    let body = json!({"seen_from": state.options.host, "services": services});
    ServerReply::json(StatusCode::OK, &body)
}

fn service_health(state: &DaemonState, service: &ServiceState) -> Value {
    service.refresh(state.now());
    let views: Vec<LoadView> = service.with_view(|view| view.upstreams().to_vec());
    let (avoided, in_service, floor) = service.with_view(|view| {
        let plan = view.plan();
        (plan.avoided.clone(), plan.in_service, plan.floor)
    });
    let upstreams: Vec<Value> = service
        .entry
        .upstreams
        .iter()
        .enumerate()
        .map(|(index, upstream)| {
            let view = &views[index];
            let mut value = reported_health(state, view, avoided.get(index).copied());
            value["upstream"] = json!(&*upstream.name);
            value["host"] = json!(upstream.server.host);
            value["failure_domain"] = json!(upstream.server.failure_domain);
            if let Some(local_upstream) = state.host.get(&upstream.name) {
                value["here"] = own_health(state, &local_upstream);
            }
            value
        })
        .collect();
    json!({
        "service": &*service.entry.name,
        "floor_slots": floor,
        "in_service_slots": in_service,
        "upstreams": upstreams,
    })
}

fn reported_health(state: &DaemonState, view: &LoadView, avoided: Option<bool>) -> Value {
    let now = state.now();
    let sickness = view.health.map(|health| health.sickness);
    let ejected = view.health.map(|health| health.ejected);
    let state_name = match (view.reachable, view.draining, avoided, ejected) {
        (false, ..) => "unreachable",
        (_, true, ..) => "draining",
        (.., Some(true), _) => "avoided",
        (.., Some(true)) => "sick, kept by the floor",
        (.., None) => "not heard of",
        _ => "in service",
    };
    let report_age_ms =
        view.health.map(|_| now.saturating_sub(view.reported_at).as_millis() as u64);
    json!({
        "state": state_name,
        "score": sickness,
        "load": view.load,
        "slots": view.slots,
        "reported_ms_ago": report_age_ms,
        "median_ms": view.health.map(|health| health.median_ln.exp() / 1000.0),
        "failure_rate": view.health.map(|health| health.failure_rate),
    })
}

/// Returns the health of an upstream of this host, in more detail than other daemons know.
fn own_health(state: &DaemonState, local_upstream: &HostUpstream) -> Value {
    let now = state.now();
    let health = local_upstream.health.borrow();
    let recovery = health.recovery();
    json!({
        "ejected": health.is_ejected(),
        "score": health.report("", now).sickness,
        "since_ms_ago": now.saturating_sub(recovery.since()).as_millis() as u64,
        "evidence": health.reason().map(|reason| reason.name()),
        "ejections": recovery.ejections(),
        "trial_in_ms": recovery.trial_in(now).map(|wait| wait.as_millis() as u64),
        "share": recovery.ramp(now),
        "in_flight": local_upstream.slots.used(),
        "queued": local_upstream.slots.queued(),
        "connections": local_upstream.pool.open(),
    })
}
