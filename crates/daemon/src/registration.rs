// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Takes the word of the backend servers beside this daemon, and answers whether the daemon is ready.
//!
//! An acknowledgement means that what was said is in force here. As only this daemon sends work to
//! the backend servers of its host, nobody else has to be asked.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

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
use crate::roster::{self, HostRecord, ServerRecord};
use crate::state::DaemonState;

/// Connections of backend servers of this host, and of the platform.
const CONNECTIONS_MAX: usize = 64;
/// Largest heartbeat.
const BODY_BYTES_MAX: u64 = 16 * 1024;
/// Longest time for an answer about health: it waits for a slot, and a heartbeat comes soon.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Names of backend servers that deregistered, kept to know their late heartbeats.
const GONE_MAX: usize = 64;

/// `RegistrationTable` is what this daemon knows of the backend servers beside it, apart from what it
/// tells the others.
#[derive(Debug, Default)]
pub struct RegistrationTable {
    sequences: RefCell<FnvHashMap<String, u64>>,
    cold_until: RefCell<FnvHashMap<String, Duration>>,
    gone: RefCell<VecDeque<String>>,
    /// Latest known record of an earlier start.
    recovered: RefCell<Option<HostRecord>>,
}

impl RegistrationTable {
    /// Says whether a backend server is still slow from its start.
    pub fn is_cold(&self, name: &str, now: Duration) -> bool {
        self.cold_until.borrow().get(name).is_some_and(|until| *until > now)
    }

    /// Says whether a heartbeat is later than those before it, and notes it.
    fn is_news(&self, heartbeat: &ServerHeartbeat) -> bool {
        if self.gone.borrow().contains(&heartbeat.server) {
            return false;
        }
        let mut sequences = self.sequences.borrow_mut();
        let last = sequences.entry(heartbeat.server.clone()).or_default();
        let news = heartbeat.sequence >= *last;
        *last = heartbeat.sequence.max(*last);
        news
    }

    fn note_gone(&self, name: &str) {
        self.sequences.borrow_mut().remove(name);
        self.cold_until.borrow_mut().remove(name);
        let mut gone = self.gone.borrow_mut();
        if !gone.iter().any(|known| known == name) {
            gone.push_back(name.to_owned());
        }
        if gone.len() > GONE_MAX {
            gone.pop_front();
        }
    }
}

/// Takes connections of backend servers for ever.
pub async fn accept(state: Rc<DaemonState>, listener: TcpListener) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let state = state.clone();
        async move { answer_server(&state, &request) }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

fn answer_server(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    // What is acknowledged binds the next start too, and nobody would wait until that can know of it.
    // The backend server calls again.
    if state.stop.is_over(state.now()) {
        return admin::problem(StatusCode::SERVICE_UNAVAILABLE, "the daemon ends");
    }
    let uri = &request.head.uri;
    let call =
        registration::read_call(&request.head.method, uri.path(), uri.query(), &request.body);
    match call {
        Ok(Some(ServerCall::Heartbeat(heartbeat))) => note_heartbeat(state, &heartbeat),
        Ok(Some(ServerCall::Deregister(name))) => note_gone(state, &name),
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

fn note_heartbeat(state: &Rc<DaemonState>, heartbeat: &ServerHeartbeat) {
    if !state.registrations.is_news(heartbeat) {
        let (upstream, sequence) = (&heartbeat.server, heartbeat.sequence);
        servers::HeartbeatLate { upstream, sequence }.log();
        return;
    }
    let cold_until = state.now() + heartbeat.cold_for;
    if !heartbeat.cold_for.is_zero() {
        let mut cold = state.registrations.cold_until.borrow_mut();
        cold.insert(heartbeat.server.clone(), cold_until);
    }
    let mut servers = state.roster.own_servers();
    let known = servers.iter().find(|server| server.name == heartbeat.server);
    let record = ServerRecord {
        name: heartbeat.server.clone(),
        service: heartbeat.service.clone(),
        address: heartbeat.address,
        slots: heartbeat.slots,
        // A backend server that said it is leaving does not come back in the same incarnation.
        draining: heartbeat.draining || known.is_some_and(|known| known.draining),
    };
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
    // One that now listens on the address of another has taken its place, for good: a heartbeat of the
    // other may have been held up on its way and come only now.
    for other in servers.iter().filter(|server| server.name != record.name) {
        if other.address == record.address {
            state.registrations.note_gone(&other.name);
            servers::ServerGone { upstream: &other.name }.log();
        }
    }
    servers.retain(|server| server.name != record.name && server.address != record.address);
    servers.push(record);
    servers.sort_by(|left, right| left.name.cmp(&right.name));
    roster::set_own_servers(state, servers);
}

/// Takes in that a backend server is gone, by its own word or as another answers in its place.
pub fn note_gone(state: &Rc<DaemonState>, name: &str) {
    state.registrations.note_gone(name);
    let mut servers = state.roster.own_servers();
    let before = servers.len();
    servers.retain(|server| server.name != name);
    if servers.len() < before {
        servers::ServerGone { upstream: name }.log();
        roster::set_own_servers(state, servers);
    }
    // The row may tell of one that this start has not heard of.
    roster::note_left(state);
}

/// Takes in what an earlier start of this daemon told of the backend servers beside it. Each that
/// still answers by its name is in use again before its next heartbeat.
pub fn recover(state: &Rc<DaemonState>, record: &HostRecord) {
    let known = state.registrations.recovered.borrow().as_ref().map(HostRecord::order);
    if known >= Some(record.order()) {
        return;
    }
    *state.registrations.recovered.borrow_mut() = Some(record.clone());
    give_up_left(state, record);
    for server in record.servers.iter().filter(|server| !server.draining) {
        let state = state.clone();
        let server = server.clone();
        monoio::spawn(async move {
            if answers_as(&state, &server).await {
                take_back(&state, server);
            }
        });
    }
}

/// Gives up backend servers that an earlier record told of, which left by this later one; one that has
/// sent a heartbeat since is there by its own word.
fn give_up_left(state: &Rc<DaemonState>, record: &HostRecord) {
    let mut servers = state.roster.own_servers();
    let before = servers.len();
    servers.retain(|server| {
        let is_heard = state.registrations.sequences.borrow().contains_key(&server.name);
        let stays = is_heard || record.is_in_use(&server.name);
        if !stays {
            servers::ServerGone { upstream: &server.name }.log();
        }
        stays
    });
    if servers.len() < before {
        roster::set_own_servers(state, servers);
    }
}

/// Asks a backend server for its health; says whether it is well and still has its name.
async fn answers_as(state: &Rc<DaemonState>, server: &ServerRecord) -> bool {
    let path = match health_path(state, &server.service).await {
        Some(path) => path,
        None => return false,
    };
    let client = HttpClient::new(server.address, PROBE_TIMEOUT);
    let reply = client.call(Method::GET, &path, HeaderMap::new(), Bytes::new()).await;
    match reply {
        Ok(reply) => {
            let same = headers::answering_server(&reply.headers) == Some(server.name.as_str());
            reply.status == StatusCode::OK && same
        }
        Err(error) => {
            let error = &error.to_string();
            servers::ServerSilent { upstream: &server.name, error }.log();
            false
        }
    }
}

/// Returns the path of a service's health, once there is a document.
async fn health_path(state: &Rc<DaemonState>, service: &str) -> Option<String> {
    let mut seen = state.config.changed().get();
    while state.document.get().is_none() {
        seen = state.config.changed().above(seen).await;
    }
    let document = state.document.get()?;
    let note = document.services.iter().find(|note| note.name == service)?;
    Some(note.health_path.clone())
}

fn take_back(state: &Rc<DaemonState>, server: ServerRecord) {
    let mut servers = state.roster.own_servers();
    // Its own word, which may have come meanwhile, counts more.
    let told =
        servers.iter().any(|known| known.name == server.name || known.address == server.address);
    if told || state.registrations.gone.borrow().contains(&server.name) {
        return;
    }
    // A later record of the earlier start may have come meanwhile as well.
    let recovered = state.registrations.recovered.borrow();
    if !recovered.as_ref().is_some_and(|record| record.is_in_use(&server.name)) {
        return;
    }
    drop(recovered);
    servers::ServerRecovered { upstream: &server.name }.log();
    servers.push(server);
    servers.sort_by(|left, right| left.name.cmp(&right.name));
    roster::set_own_servers(state, servers);
}

/// Answers for ever whether the daemon is ready.
pub async fn accept_ready(state: Rc<DaemonState>, listener: TcpListener) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let state = state.clone();
        async move { answer_ready(&state, &request) }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

fn answer_ready(state: &DaemonState, request: &ServerRequest) -> ServerReply {
    if registration::is_ready_question(&request.head.method, request.path()) {
        return admin::ready(state);
    }
    admin::problem(StatusCode::NOT_FOUND, "no such call")
}
