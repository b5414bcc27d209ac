// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Registers the backend servers on this host, and answers whether the daemon is ready.
//!
//! An acknowledged report of a backend server is in force at this daemon. As only this daemon sends
//! requests to the backend servers of its host, no other daemon has to be asked.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation::{self, ServerIncarnation};
use basaltarch_decide::server_incarnation::{
    IncarnationClaim, IncarnationTracker, IncarnationVerdict,
};
use basaltarch_events::servers;
use basaltarch_http::client::HttpClient;
use basaltarch_http::server::{self, ServerLimits, ServerReply, ServerRequest};
use basaltarch_platform::headers;
use basaltarch_platform::registration::{self, ServerCall, ServerHeartbeat};
use bytes::Bytes;
use fnv::FnvHashMap;
use http::{HeaderMap, Method, StatusCode};
use monoio::net::TcpListener;

use crate::admin;
use crate::records::{HostRecord, ServerRecord};
use crate::roster;
use crate::state::DaemonState;

/// Maximum number of connections to one listener: of the backend servers of this host, or of the
/// platform for the readiness check.
const CONNECTIONS_MAX: usize = 64;
/// Largest heartbeat, in bytes.
const BODY_BYTES_MAX: u64 = 16 * 1024;
/// Timeout of a health check, which may wait for a slot of the server. A server whose check fails
/// is soon registered by its next heartbeat.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1500);
/// Name of a heartbeat in logs.
const HEARTBEAT_CALL: &str = "heartbeat";
/// Name of a deregistration in logs.
const DEREGISTRATION_CALL: &str = "deregistration";
/// Maximum number of ended incarnations of backend servers that are remembered, to recognise
/// heartbeats that arrive after the end of their incarnation.
const ENDED_UPSTREAMS_MAX: usize = 64;
/// Maximum number of backend servers whose incarnations are tracked. A host has few backend
/// servers, so a client that reports more names than this is no backend server of the host.
const TRACKERS_MAX: usize = 256;

/// `RegistrationTable` is what this daemon knows of the backend servers on its host, apart from the
/// published record of the host. All fields but `trackers` are keyed by the name of the upstream,
/// which is specific to one incarnation.
#[derive(Debug, Default)]
pub struct RegistrationTable {
    /// Incarnations of each backend server, by the server's own name.
    trackers: RefCell<FnvHashMap<String, IncarnationTracker>>,
    sequences: RefCell<FnvHashMap<String, u64>>,
    cold_until: RefCell<FnvHashMap<String, Duration>>,
    /// Upstreams whose incarnation has ended, oldest first.
    ended_upstreams: RefCell<VecDeque<String>>,
    /// Latest known record of an earlier incarnation of the daemon.
    recovered: RefCell<Option<HostRecord>>,
}

impl RegistrationTable {
    /// Returns for how long an upstream stays cold, by its last report.
    pub fn cold_for(&self, upstream: &str, now: Duration) -> Duration {
        let until = self.cold_until.borrow().get(upstream).copied();
        until.unwrap_or_default().saturating_sub(now)
    }

    /// Classifies a heartbeat, and records the heartbeat's incarnation and sequence number.
    fn classify_heartbeat(&self, heartbeat: &ServerHeartbeat, now: Duration) -> IncarnationVerdict {
        let ServerIncarnation { server, born } = &heartbeat.incarnation;
        let claim = IncarnationClaim { born: *born, sequence: heartbeat.sequence };
        let mut trackers = self.trackers.borrow_mut();
        if trackers.len() >= TRACKERS_MAX && !trackers.contains_key(server) {
            trackers.clear();
        }
        let verdict = trackers.entry(server.clone()).or_default().judge(claim, now);
        if verdict == IncarnationVerdict::Current && !self.is_newer(heartbeat) {
            return IncarnationVerdict::Late;
        }
        verdict
    }

    /// Says whether a heartbeat is no earlier than the other heartbeats of its incarnation, and
    /// records its sequence number.
    fn is_newer(&self, heartbeat: &ServerHeartbeat) -> bool {
        let upstream = heartbeat.incarnation.upstream();
        if self.ended_upstreams.borrow().contains(&upstream) {
            return false;
        }
        let mut sequences = self.sequences.borrow_mut();
        let last_sequence = sequences.entry(upstream).or_default();
        let is_later = heartbeat.sequence >= *last_sequence;
        *last_sequence = heartbeat.sequence.max(*last_sequence);
        is_later
    }

    /// Returns the incarnation that a deregistration ends: the incarnation that the call names, or
    /// else the current incarnation of the server.
    fn departing_incarnation(&self, incarnation: ServerIncarnation) -> ServerIncarnation {
        let trackers = self.trackers.borrow();
        let known = trackers.get(&incarnation.server).and_then(IncarnationTracker::current);
        ServerIncarnation { born: incarnation.born.or(known), ..incarnation }
    }

    fn note_ended(&self, upstream: &str) {
        let incarnation = ServerIncarnation::of_upstream(upstream);
        let mut trackers = self.trackers.borrow_mut();
        if let (Some(tracker), Some(born)) =
            (trackers.get_mut(&incarnation.server), incarnation.born)
        {
            tracker.note_end(born);
        }
        self.sequences.borrow_mut().remove(upstream);
        self.cold_until.borrow_mut().remove(upstream);
        let mut ended_upstreams = self.ended_upstreams.borrow_mut();
        if !ended_upstreams.iter().any(|known| known == upstream) {
            ended_upstreams.push_back(upstream.to_owned());
        }
        if ended_upstreams.len() > ENDED_UPSTREAMS_MAX {
            ended_upstreams.pop_front();
        }
    }
}

/// Accepts connections of backend servers for ever.
pub async fn accept(state: Rc<DaemonState>, listener: TcpListener) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let state = state.clone();
        async move { answer_server(&state, &request) }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

fn answer_server(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    // An acknowledged change must also reach the next incarnation of this daemon, through the
    // store. As this daemon no longer waits for writes to the store, it refuses the call, and the
    // backend server retries.
    if state.stop.is_over(state.now()) {
        return admin::problem(StatusCode::SERVICE_UNAVAILABLE, "the daemon is shutting down");
    }
    let uri = &request.head.uri;
    let call =
        registration::read_call(&request.head.method, uri.path(), uri.query(), &request.body);
    match call {
        Ok(Some(ServerCall::Heartbeat(heartbeat))) => {
            if let Some(problem) = find_mismatch(state, &heartbeat) {
                let from = &request.from.to_string();
                servers::ServerCallRefused { error: problem, from }.log();
                return admin::problem(StatusCode::BAD_REQUEST, problem);
            }
            let upstream = heartbeat.incarnation.upstream();
            let registered = is_registered(state, &upstream);
            if note_heartbeat(state, &heartbeat) == IncarnationVerdict::Unnamed {
                return admin::problem(
                    StatusCode::BAD_REQUEST,
                    "the heartbeat lacks the start time of the server",
                );
            }
            if heartbeat.draining {
                log_acknowledged(&upstream, HEARTBEAT_CALL, registered);
            }
        }
        Ok(Some(ServerCall::Deregister(incarnation))) => {
            let upstream = state.registrations.departing_incarnation(incarnation).upstream();
            let registered = is_registered(state, &upstream);
            note_ended(state, &upstream);
            log_acknowledged(&upstream, DEREGISTRATION_CALL, registered);
        }
        Ok(None) => return admin::problem(StatusCode::NOT_FOUND, "no such call"),
        Err(error) => {
            let from = &request.from.to_string();
            servers::ServerCallRefused { error: &error.to_string(), from }.log();
            return admin::problem(StatusCode::BAD_REQUEST, error);
        }
    }
    let body = Bytes::from_static(registration::acknowledgement());
    ServerReply::whole(StatusCode::OK, "application/json", body)
}

/// Says whether a backend server is registered under the name of an upstream.
fn is_registered(state: &DaemonState, upstream: &str) -> bool {
    state.roster.own_servers().iter().any(|server| server.name == upstream)
}

fn log_acknowledged(upstream: &str, call: &str, registered: bool) {
    servers::LeavingAcknowledged { upstream, call, registered }.log();
}

/// Returns why a heartbeat is refused, if its sender may not be a backend server of this host. A
/// heartbeat is refused if its service or address differs from those registered for the same
/// incarnation, or if its incarnation is not registered and its service is not configured.
fn find_mismatch(state: &DaemonState, heartbeat: &ServerHeartbeat) -> Option<&'static str> {
    let name = heartbeat.incarnation.upstream();
    let servers = state.roster.own_servers();
    if let Some(known) = servers.iter().find(|server| server.name == name) {
        let is_same = known.service == heartbeat.service && known.address == heartbeat.address;
        // A server that does not report its incarnation may have restarted under its name.
        let may_differ = heartbeat.incarnation.born.is_none();
        return (!is_same && !may_differ)
            .then_some("the service or the address differs from the registered one");
    }
    let document = state.document.get()?;
    let is_configured =
        document.services.iter().any(|declaration| declaration.name == heartbeat.service);
    (!is_configured).then_some("the service is not in the configuration")
}

/// Handles a heartbeat, and returns the classification of the heartbeat.
fn note_heartbeat(state: &Rc<DaemonState>, heartbeat: &ServerHeartbeat) -> IncarnationVerdict {
    let verdict = state.registrations.classify_heartbeat(heartbeat, state.now());
    match verdict {
        IncarnationVerdict::Current => {}
        IncarnationVerdict::Replaces => drop(state.registrations.is_newer(heartbeat)),
        IncarnationVerdict::Late | IncarnationVerdict::Unnamed => {
            let (upstream, sequence) = (&heartbeat.incarnation.upstream(), heartbeat.sequence);
            let draining = heartbeat.draining;
            servers::HeartbeatLate { upstream, sequence, draining }.log();
            return verdict;
        }
    }
    register_server(state, heartbeat);
    verdict
}

/// Records for how long a backend server says that it stays cold.
fn note_cold(state: &DaemonState, name: &str, cold_for: Duration) {
    let now = state.now();
    let mut cold_times = state.registrations.cold_until.borrow_mut();
    match cold_for.is_zero() {
        true => cold_times.remove(name),
        false => cold_times.insert(name.to_owned(), now + cold_for),
    };
    if let Some(upstream) = state.host.get(name) {
        upstream.note_cold(cold_for, now);
    }
}

/// Puts in force what a heartbeat reports.
fn register_server(state: &Rc<DaemonState>, heartbeat: &ServerHeartbeat) {
    let name = heartbeat.incarnation.upstream();
    note_cold(state, &name, heartbeat.cold_for);
    let mut servers = state.roster.own_servers();
    let known = servers.iter().find(|server| server.name == name);
    let record = ServerRecord {
        name: name.clone(),
        service: heartbeat.service.clone(),
        address: heartbeat.address,
        slots: heartbeat.slots,
        // A backend server that announced that it is leaving does not come back in the same
        // incarnation.
        draining: heartbeat.draining
            || known.is_some_and(|known| known.draining)
            || state.notices.is_leaving(&name),
    };
    if record.draining {
        state.notices.note_leaving(&name, state.now());
    }
    if known == Some(&record) {
        return;
    }
    servers::ServerRegistered {
        upstream: &record.name,
        service: &record.service,
        address: &record.address.to_string(),
        slots: record.slots.into(),
        draining: record.draining,
        sequence: heartbeat.sequence,
    }
    .log();
    // A server with the address or the name of another server replaces that server for good. A
    // delayed heartbeat of the replaced server does not register the server again.
    let is_replaced = |other: &ServerRecord| {
        let same_server = incarnation::server_of(&other.name) == heartbeat.incarnation.server;
        other.name != record.name && (same_server || other.address == record.address)
    };
    for other in servers.iter().filter(|server| is_replaced(server)) {
        state.registrations.note_ended(&other.name);
        servers::ServerGone { upstream: &other.name }.log();
    }
    servers.retain(|server| server.name != record.name && !is_replaced(server));
    servers.push(record);
    servers.sort_by(|left, right| left.name.cmp(&right.name));
    roster::set_own_servers(state, servers);
}

/// Records that a backend server is leaving for good, by what it said in a response or by an earlier
/// record of this host. The row of the host says so to all daemons, and to the next incarnation of
/// this one.
pub fn note_leaving(state: &Rc<DaemonState>, name: &str) {
    if !state.notices.note_leaving(name, state.now()) {
        return;
    }
    servers::ServerLeaving { upstream: name }.log();
    let mut servers = state.roster.own_servers();
    for server in servers.iter_mut().filter(|server| server.name == name) {
        server.draining = true;
    }
    roster::set_own_servers(state, servers);
}

/// Records that an incarnation of a backend server has ended, because the server deregistered or
/// another server answers at its address.
pub fn note_ended(state: &Rc<DaemonState>, name: &str) {
    state.registrations.note_ended(name);
    let mut servers = state.roster.own_servers();
    let count_before = servers.len();
    servers.retain(|server| server.name != name);
    if servers.len() < count_before {
        servers::ServerGone { upstream: name }.log();
        roster::set_own_servers(state, servers);
    }
    // The row may list a server that has not registered with this incarnation of the daemon.
    roster::note_departure(state);
}

/// Recovers the backend servers that an earlier incarnation of this daemon published. Each server
/// that still answers with its name is in use again before its next heartbeat.
pub fn recover_servers(state: &Rc<DaemonState>, record: &HostRecord) {
    let known = state.registrations.recovered.borrow().as_ref().map(HostRecord::sort_key);
    if known >= Some(record.sort_key()) {
        return;
    }
    *state.registrations.recovered.borrow_mut() = Some(record.clone());
    remove_departed(state, record);
    for server in record.servers.iter().filter(|server| server.draining) {
        note_leaving(state, &server.name);
    }
    for server in record.servers.iter().filter(|server| !server.draining) {
        let state = state.clone();
        let server = server.clone();
        monoio::spawn(async move {
            if answers_under_name(&state, &server).await {
                restore_server(&state, server);
            }
        });
    }
}

/// Removes backend servers that an earlier record listed and `record` does not list as in use. A
/// server that has sent this incarnation of the daemon a heartbeat stays.
fn remove_departed(state: &Rc<DaemonState>, record: &HostRecord) {
    let mut servers = state.roster.own_servers();
    let count_before = servers.len();
    servers.retain(|server| {
        let has_sent_heartbeat = state.registrations.sequences.borrow().contains_key(&server.name);
        let is_kept = has_sent_heartbeat || record.is_in_use(&server.name);
        if !is_kept {
            servers::ServerGone { upstream: &server.name }.log();
        }
        is_kept
    });
    if servers.len() < count_before {
        roster::set_own_servers(state, servers);
    }
}

/// Checks the health of a backend server. Says whether the server at the recorded address is
/// healthy and answers with the recorded name.
async fn answers_under_name(state: &Rc<DaemonState>, server: &ServerRecord) -> bool {
    let path = match health_path(state, &server.service).await {
        Some(path) => path,
        None => return false,
    };
    let client = HttpClient::new(server.address, HEALTH_CHECK_TIMEOUT);
    let reply = client.call(Method::GET, &path, HeaderMap::new(), Bytes::new()).await;
    match reply {
        Ok(reply) => {
            let name = incarnation::server_of(&server.name);
            let is_same = headers::answering_server(&reply.headers) == Some(name);
            if is_same {
                note_cold(state, &server.name, headers::cold_for(&reply.headers));
            }
            reply.status == StatusCode::OK && is_same
        }
        Err(error) => {
            let error = &error.to_string();
            servers::ServerSilent { upstream: &server.name, error }.log();
            false
        }
    }
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

/// Registers a recovered backend server. A server is not registered if the server itself or its
/// replacement is registered already, if the server has left, or if the latest recovered record
/// does not list the server as in use.
fn restore_server(state: &Rc<DaemonState>, server: ServerRecord) {
    let mut servers = state.roster.own_servers();
    // If a heartbeat of the server or of its replacement has arrived since recovery started, that
    // registration is kept instead of the recovered record.
    let own_name = incarnation::server_of(&server.name);
    let is_known = servers.iter().any(|known| {
        incarnation::server_of(&known.name) == own_name || known.address == server.address
    });
    if is_known || state.registrations.ended_upstreams.borrow().contains(&server.name) {
        return;
    }
    // A later record of the daemon's earlier incarnation may no longer list the server as in use.
    let recovered = state.registrations.recovered.borrow().clone();
    let Some(record) = recovered.filter(|record| record.is_in_use(&server.name)) else { return };
    let (upstream, HostRecord { incarnation, changes, .. }) = (&server.name, record);
    servers::ServerRecovered { upstream, incarnation, changes }.log();
    servers.push(server);
    servers.sort_by(|left, right| left.name.cmp(&right.name));
    roster::set_own_servers(state, servers);
}

/// Serves the readiness check for ever.
pub async fn accept_ready(state: Rc<DaemonState>, listener: TcpListener) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let state = state.clone();
        async move { answer_ready(&state, &request) }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

fn answer_ready(state: &DaemonState, request: &ServerRequest) -> ServerReply {
    if registration::is_readiness_probe(&request.head.method, request.path()) {
        return admin::ready(state);
    }
    admin::problem(StatusCode::NOT_FOUND, "no such call")
}
