// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks the health of backend servers on this host, each time on a connection of its own.
//!
//! A reply names the server that made it, so a check also shows which server listens at an address.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation;
use basaltarch_events::servers;
use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_platform::headers;
use basaltarch_platform::registration::ServerHeartbeat;
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{HeaderMap, Method};

use crate::records::ServerRecord;
use crate::registration::{self, GoneCause};
use crate::state::DaemonState;

/// Timeout of a health check, which may wait for a slot of the server. A server whose check fails
/// is soon registered by its next heartbeat.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for the name of the listener at an address. The heartbeat that asks for it must be
/// acknowledged within a second.
const LISTENER_NAME_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size in bytes of the body of a reply to a health check, of which only the head is used.
const HEALTH_REPLY_BYTES_MAX: u64 = 64 * 1024;
/// Minimum time between two checks of which server listens at the address of one server.
const LISTENER_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of servers whose last check is remembered; a host has few backend servers.
const LISTENER_CHECKS_MAX: usize = 64;

/// `ListenerChecks` holds when the listener at the address of each upstream was last checked.
#[derive(Debug, Default)]
pub struct ListenerChecks {
    last_by_upstream: RefCell<FnvHashMap<String, Duration>>,
}

impl ListenerChecks {
    /// Says whether the listener at the address of an upstream may be checked now, and records that
    /// it is.
    fn starts_check(&self, upstream: &str, now: Duration) -> bool {
        let mut last_by_upstream = self.last_by_upstream.borrow_mut();
        let last_check = last_by_upstream.get(upstream);
        if last_check.is_some_and(|last| now < *last + LISTENER_CHECK_INTERVAL) {
            return false;
        }
        if last_by_upstream.len() >= LISTENER_CHECKS_MAX {
            last_by_upstream.clear();
        }
        last_by_upstream.insert(upstream.to_owned(), now);
        true
    }
}

/// Checks which server listens at the address of a backend server, after a response said that it is
/// another one. A server is gone only if the listener answers the check under another name: a single
/// response ends no server.
pub fn check_listener(state: &Rc<DaemonState>, upstream: &str) {
    let servers = state.roster.own_servers();
    let Some(server) = servers.into_iter().find(|server| server.name == upstream) else { return };
    if !state.listener_checks.starts_check(upstream, state.now()) {
        return;
    }
    let state = state.clone();
    monoio::spawn(async move {
        let Some(reply) = check_health(&state, &server).await else { return };
        let asked = incarnation::server_of(&server.name);
        let listener = headers::answering_server(&reply.headers);
        servers::ListenerChecked { upstream: &server.name, listener: listener.unwrap_or("") }.log();
        if listener.is_some_and(|listener| listener != asked) {
            registration::note_ended(&state, &server.name, GoneCause::Misdirected);
        }
    });
}

/// Says whether the sender of a heartbeat has replaced another registered server at its address.
///
/// If the listener does not name itself in time, the other server counts as replaced once it is
/// silent.
pub async fn has_replaced(
    state: &Rc<DaemonState>,
    other: &ServerRecord,
    heartbeat: &ServerHeartbeat,
) -> bool {
    let naming =
        monoio::time::timeout(LISTENER_NAME_TIMEOUT, name_listener(state, other, heartbeat));
    match naming.await.ok().flatten() {
        Some(listener) => listener == heartbeat.incarnation.server,
        None => state.registrations.is_silent(&other.name, state.now()),
    }
}

/// Asks the listener at the address of two servers for its name, by the health check of the service
/// of each.
async fn name_listener(
    state: &Rc<DaemonState>,
    other: &ServerRecord,
    heartbeat: &ServerHeartbeat,
) -> Option<String> {
    let newer_service = Some(&heartbeat.service).filter(|service| **service != other.service);
    for service in std::iter::once(&other.service).chain(newer_service) {
        let asked = ServerRecord { service: service.clone(), ..other.clone() };
        let reply = check_health(state, &asked).await;
        let name = reply.as_ref().and_then(|reply| headers::answering_server(&reply.headers));
        if let Some(name) = name {
            servers::ListenerChecked { upstream: &other.name, listener: name }.log();
            return Some(name.to_owned());
        }
    }
    None
}

/// Checks the health of the server at the recorded address. Returns `None` if the server does not
/// reply.
pub async fn check_health(state: &Rc<DaemonState>, server: &ServerRecord) -> Option<ClientReply> {
    let path = health_path(state, &server.service).await?;
    let client = HttpClient::new(server.address, HEALTH_CHECK_TIMEOUT);
    let client = client.reply_bytes_max(HEALTH_REPLY_BYTES_MAX);
    let reply = client.call(Method::GET, &path, HeaderMap::new(), Bytes::new()).await;
    if let Err(error) = &reply {
        let error = &error.to_string();
        servers::ServerSilent { upstream: &server.name, error }.log();
    }
    reply.ok()
}

/// Waits until a document is in force, and returns the path of a service's health check.
async fn health_path(state: &Rc<DaemonState>, service: &str) -> Option<String> {
    let mut seen = state.config.changed().get();
    while state.document.get().is_none() {
        seen = state.config.changed().above(seen).await;
    }
    let document = state.document.get()?;
    let declaration = document.services.iter().find(|declaration| declaration.name == service)?;
    Some(declaration.health_path.clone())
}
