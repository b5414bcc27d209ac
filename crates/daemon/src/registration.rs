// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Registers the backend servers on this host by what they report.
//!
//! A report is in force at this daemon at once. As only this daemon sends requests to the backend
//! servers of its host, no other daemon has to be asked.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation::{self, ServerIncarnation};
use basaltarch_decide::server_incarnation::{
    IncarnationClaim, IncarnationTracker, IncarnationVerdict,
};
use basaltarch_events::servers;
use basaltarch_platform::headers;
use basaltarch_platform::registration::ServerHeartbeat;
use fnv::FnvHashMap;
use http::StatusCode;

use crate::health_checks;
use crate::records::{HostRecord, ServerRecord};
use crate::roster;
use crate::state::DaemonState;

/// Maximum number of backend servers whose incarnations are tracked. A host has few backend
/// servers, so a client that reports more names than this is no backend server of the host.
const TRACKERS_MAX: usize = 256;

/// Time without a heartbeat after which a backend server counts as silent: twice the time between
/// two heartbeats, and one more for a heartbeat that is lost.
const SILENT_AFTER: Duration = Duration::from_millis(4500);

/// `GoneCause` is what showed that a backend server is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GoneCause {
    /// The server deregistered.
    Deregistered,
    /// Another server sent a heartbeat with its address or its name.
    Replaced,
    /// A later record of this host does not list the server.
    Unlisted,
    /// A response said that another server listens at the address, and the server that listens there
    /// answered a health check under another name.
    Misdirected,
}

impl GoneCause {
    /// Returns the name of the cause in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deregistered => "deregistered",
            Self::Replaced => "replaced",
            Self::Unlisted => "unlisted",
            Self::Misdirected => "misdirected",
        }
    }
}

/// `RegistrationTable` is what this daemon knows of the backend servers on its host, apart from the
/// published record of the host. All fields but `trackers` are keyed by the name of the upstream,
/// which is specific to one incarnation.
#[derive(Debug, Default)]
pub struct RegistrationTable {
    /// Incarnations of each backend server, by the server's own name.
    trackers: RefCell<FnvHashMap<String, IncarnationTracker>>,
    sequences: RefCell<FnvHashMap<String, u64>>,
    /// When the last heartbeat that was put in force arrived.
    heard_at: RefCell<FnvHashMap<String, Duration>>,
    cold_until: RefCell<FnvHashMap<String, Duration>>,
    /// Latest known record of an earlier incarnation of the daemon.
    recovered: RefCell<Option<HostRecord>>,
    /// Last heartbeat of each upstream that arrived before the servers of this host were admitted.
    deferred: RefCell<BTreeMap<String, ServerHeartbeat>>,
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
        let mut sequences = self.sequences.borrow_mut();
        let last_sequence = sequences.entry(heartbeat.incarnation.upstream()).or_default();
        let is_later = heartbeat.sequence >= *last_sequence;
        *last_sequence = heartbeat.sequence.max(*last_sequence);
        is_later
    }

    /// Returns the current incarnation of a server that told its start in a heartbeat.
    fn current_incarnation(&self, server: &str) -> Option<ServerIncarnation> {
        let trackers = self.trackers.borrow();
        let born = trackers.get(server).and_then(IncarnationTracker::current)?;
        Some(ServerIncarnation { server: server.to_owned(), born: Some(born) })
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
        self.heard_at.borrow_mut().remove(upstream);
        self.cold_until.borrow_mut().remove(upstream);
    }

    /// Says whether an upstream has sent no heartbeat for longer than one that runs does.
    pub fn is_silent(&self, upstream: &str, now: Duration) -> bool {
        let heard_at = self.heard_at.borrow().get(upstream).copied();
        heard_at.is_none_or(|heard_at| now.saturating_sub(heard_at) >= SILENT_AFTER)
    }

    /// Says whether the current incarnation of a server told its start in a heartbeat.
    pub fn tells_start(&self, server: &str) -> bool {
        self.current_incarnation(server).is_some()
    }

    /// Keeps a heartbeat until the servers of this host are admitted.
    pub fn defer(&self, heartbeat: &ServerHeartbeat) {
        let mut deferred = self.deferred.borrow_mut();
        let upstream = heartbeat.incarnation.upstream();
        let known = deferred.get(&upstream).map(|known| known.sequence);
        let is_first = known.is_none() && deferred.len() < TRACKERS_MAX;
        if is_first || known.is_some_and(|sequence| sequence <= heartbeat.sequence) {
            deferred.insert(upstream, heartbeat.clone());
        }
    }
}

/// Says whether a backend server is registered under the name of an upstream.
pub fn is_registered(state: &DaemonState, upstream: &str) -> bool {
    state.roster.own_servers().iter().any(|server| server.name == upstream)
}

/// Returns the upstreams that stand for a server by all that this daemon knows, whatever their
/// start: those that are registered, and those that are recovered or wait for admission.
pub fn known_upstreams(state: &DaemonState, server: &str) -> BTreeSet<String> {
    let table = &state.registrations;
    let mut names: BTreeSet<String> =
        state.roster.own_servers().into_iter().map(|server| server.name).collect();
    let recovered = table.recovered.borrow();
    let recovered = recovered.iter().flat_map(|record| &record.servers);
    names.extend(recovered.map(|server| server.name.clone()));
    names.extend(table.deferred.borrow().keys().cloned());
    names.retain(|name| incarnation::server_of(name) == server);
    let current = table.current_incarnation(server);
    names.extend(current.map(|incarnation| incarnation.upstream()));
    names
}

/// Handles a heartbeat, and returns the classification of the heartbeat.
///
/// A heartbeat that would replace another registered server at its address may be late: its sender
/// may have ended, and the other server may listen there. The listener is therefore asked for its
/// name first.
pub async fn take_heartbeat(
    state: &Rc<DaemonState>,
    heartbeat: &ServerHeartbeat,
) -> IncarnationVerdict {
    if let Some(other) = find_displaced(state, heartbeat) {
        if !health_checks::has_replaced(state, &other, heartbeat).await {
            log_late(heartbeat);
            return IncarnationVerdict::Late;
        }
    }
    note_heartbeat(state, heartbeat)
}

/// Returns the registered server of another name at the address of a heartbeat that would register
/// its sender.
fn find_displaced(state: &DaemonState, heartbeat: &ServerHeartbeat) -> Option<ServerRecord> {
    let incarnation = &heartbeat.incarnation;
    if is_registered(state, &incarnation.upstream()) || has_departed(state, incarnation) {
        return None;
    }
    let servers = state.roster.own_servers();
    servers.into_iter().find(|other| {
        let is_other = incarnation::server_of(&other.name) != incarnation.server;
        is_other && other.address == heartbeat.address
    })
}

fn log_late(heartbeat: &ServerHeartbeat) {
    let (upstream, sequence) = (&heartbeat.incarnation.upstream(), heartbeat.sequence);
    let draining = heartbeat.draining;
    servers::HeartbeatLate { upstream, sequence, draining }.log();
}

/// Handles a heartbeat whose sender is known to listen at its address, or is the only server there.
fn note_heartbeat(state: &Rc<DaemonState>, heartbeat: &ServerHeartbeat) -> IncarnationVerdict {
    let verdict = match find_departure(state, &heartbeat.incarnation) {
        Some(verdict) => verdict,
        None => state.registrations.classify_heartbeat(heartbeat, state.now()),
    };
    match verdict {
        IncarnationVerdict::Current => {}
        IncarnationVerdict::Replaces => drop(state.registrations.is_newer(heartbeat)),
        IncarnationVerdict::Late | IncarnationVerdict::Unnamed => {
            log_late(heartbeat);
            return verdict;
        }
    }
    register_server(state, heartbeat);
    verdict
}

/// Returns the classification of a heartbeat of a server that has left, `None` if it has not left or
/// is still registered.
fn find_departure(
    state: &DaemonState,
    incarnation: &ServerIncarnation,
) -> Option<IncarnationVerdict> {
    if is_registered(state, &incarnation.upstream()) {
        return None;
    }
    let ServerIncarnation { server, born } = incarnation;
    let tells_start = state.registrations.tells_start(server) || state.departures.has_named(server);
    if born.is_none() && tells_start {
        return Some(IncarnationVerdict::Unnamed);
    }
    has_departed(state, incarnation).then_some(IncarnationVerdict::Late)
}

/// Says whether an incarnation of a backend server gets no new requests any more.
pub fn has_departed(state: &DaemonState, incarnation: &ServerIncarnation) -> bool {
    state.departures.contains(incarnation) || state.notices.is_leaving(&incarnation.upstream())
}

/// Handles the heartbeats that arrived before the servers of this host were admitted.
pub async fn apply_deferred(state: &Rc<DaemonState>) {
    let deferred = state.registrations.deferred.take();
    for heartbeat in deferred.values() {
        take_heartbeat(state, heartbeat).await;
    }
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
    state.registrations.heard_at.borrow_mut().insert(name.clone(), state.now());
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
        note_departed(state, &name);
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
        note_departed(state, &other.name);
        servers::ServerGone { upstream: &other.name, cause: GoneCause::Replaced.name() }.log();
    }
    servers.retain(|server| server.name != record.name && !is_replaced(server));
    servers.push(record);
    servers.sort_by(|left, right| left.name.cmp(&right.name));
    roster::set_own_servers(state, servers);
}

/// Adds an upstream to those that get no new requests, and says whether that is new.
fn note_departed(state: &DaemonState, name: &str) -> bool {
    let is_new = state.departures.note(name);
    state.notices.note_leaving(name, state.now()) || is_new
}

/// Records that a backend server is leaving for good, by what it said or by an earlier record of
/// this host. The row of the host says so to all daemons, and to the next incarnation of this one.
pub fn note_leaving(state: &Rc<DaemonState>, name: &str) {
    if !note_departed(state, name) {
        return;
    }
    servers::ServerLeaving { upstream: name }.log();
    let mut servers = state.roster.own_servers();
    for server in servers.iter_mut().filter(|server| server.name == name) {
        server.draining = true;
    }
    roster::set_own_servers(state, servers);
}

/// Learns which backend servers of this host are leaving or have left by a record of an earlier
/// incarnation of the daemon.
fn learn_departures(state: &Rc<DaemonState>, record: &HostRecord) {
    let mut servers = state.roster.own_servers();
    for name in state.departures.departed_in(record) {
        state.notices.note_leaving(&name, state.now());
        if state.departures.note_earlier(&name) {
            servers::ServerLeaving { upstream: &name }.log();
        }
        for server in servers.iter_mut().filter(|server| server.name == name) {
            server.draining = true;
        }
    }
    roster::set_own_servers(state, servers);
}

/// Records that an incarnation of a backend server has ended, because the server deregistered or
/// another server listens at its address.
pub fn note_ended(state: &Rc<DaemonState>, name: &str, cause: GoneCause) {
    state.registrations.note_ended(name);
    note_departed(state, name);
    let mut servers = state.roster.own_servers();
    let count_before = servers.len();
    servers.retain(|server| server.name != name);
    if servers.len() < count_before {
        servers::ServerGone { upstream: name, cause: cause.name() }.log();
    }
    // The row may list a server that has not registered with this incarnation of the daemon.
    roster::set_own_servers(state, servers);
}

/// Recovers the backend servers that an earlier incarnation of this daemon published. Each server
/// that still answers with its name is in use again before its next heartbeat.
pub fn recover_servers(state: &Rc<DaemonState>, record: &HostRecord) {
    // A departure holds whatever the order in which records arrive.
    learn_departures(state, record);
    let known = state.registrations.recovered.borrow().as_ref().map(HostRecord::sort_key);
    if known >= Some(record.sort_key()) {
        return;
    }
    *state.registrations.recovered.borrow_mut() = Some(record.clone());
    remove_unlisted(state, record);
    for server in record.servers.iter().filter(|server| !server.draining) {
        let state = state.clone();
        let server = server.clone();
        monoio::spawn(async move {
            if answers_under_name(&state, &server).await {
                state.admission.opened().await;
                restore_server(&state, server);
            }
        });
    }
}

/// Removes backend servers that an earlier record listed and `record` does not list as in use. A
/// server that has sent this incarnation of the daemon a heartbeat stays.
fn remove_unlisted(state: &Rc<DaemonState>, record: &HostRecord) {
    let mut servers = state.roster.own_servers();
    let count_before = servers.len();
    servers.retain(|server| {
        let has_sent_heartbeat = state.registrations.sequences.borrow().contains_key(&server.name);
        let is_kept = has_sent_heartbeat || record.is_in_use(&server.name);
        if !is_kept {
            let cause = GoneCause::Unlisted.name();
            servers::ServerGone { upstream: &server.name, cause }.log();
        }
        is_kept
    });
    if servers.len() < count_before {
        roster::set_own_servers(state, servers);
    }
}

/// Says whether the server at the recorded address is healthy and answers with the recorded name.
async fn answers_under_name(state: &Rc<DaemonState>, server: &ServerRecord) -> bool {
    let Some(reply) = health_checks::check_health(state, server).await else { return false };
    let name = incarnation::server_of(&server.name);
    let is_same = headers::answering_server(&reply.headers) == Some(name);
    if is_same {
        note_cold(state, &server.name, headers::cold_for(&reply.headers));
    }
    reply.status == StatusCode::OK && is_same
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
    if is_known || has_departed(state, &ServerIncarnation::of_upstream(&server.name)) {
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
