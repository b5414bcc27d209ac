// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Publishes this host's row in the platform's store, and keeps the rows of all hosts of the fleet.
//!
//! A daemon writes its own row when the content of the row changes, and never as a heartbeat. All
//! daemons read the rows once and follow the table's feed. A row names the incarnation of the
//! daemon that wrote the row, and a later incarnation replaces the row. Rows do not expire, so that
//! an outage of the store removes no host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::incarnation::{self, ServerIncarnation};
use basaltarch_core::resources::{BackendServer, ServerState};
use basaltarch_core::services::UpstreamEntry;
use basaltarch_decide::limits;
use basaltarch_events::{fleet, process};
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_platform::rows::{RowValue, RowsPage, StoredRow};
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::RetryBackoff;
use basaltarch_store::transaction::{RowCheck, RowWrite};
use serde::{de, Deserialize, Serialize};
use serde_json::{json, Value};

use crate::document;
use crate::registration;
use crate::rows;
use crate::state::DaemonState;
use crate::suspects::{self, RefusedRecord};

/// Name of the store's table with one row for each host.
pub const HOSTS_TABLE: &str = "hosts";
/// Longest pause after consecutive failed calls to the store: changes that were made during an
/// outage of the store must be known within about two seconds of the end of the outage.
pub const FAILED_CALL_PAUSE_MAX: Duration = Duration::from_millis(2000);
/// Time for which a starting daemon waits for the backend server on its host to register, before
/// the daemon writes its row without a backend server. The time is a little longer than the usual
/// time between two heartbeats of a backend server.
const FIRST_SERVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which this daemon's record is sent to the peers if the store has not accepted it. A
/// write takes 250 ms at a slow store, and a daemon that gives up waiting during its shutdown ends
/// 300 ms later.
const NOTIFY_AFTER: Duration = Duration::from_millis(200);
/// Shortest time between two checks for rows of hosts whose daemon no longer sends heartbeats.
const SWEEP_INTERVAL: Duration = Duration::from_secs(20);
/// Longest time between two checks, as a multiple of [`SWEEP_INTERVAL`]. The time is random, so
/// that not all daemons check at once.
const SWEEP_JITTER_FACTOR: f64 = 1.5;

/// `HostRecord` is what a host's daemon publishes about itself and the backend servers on its host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host. A row that holds the record of another host is not valid.
    #[serde(default)]
    pub host: String,
    /// Incarnation of the daemon; a later start has a higher number.
    pub incarnation: i64,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which the daemon accepts links.
    pub peer_address: String,
    /// Address of the daemon's admin API.
    pub admin_address: String,
    /// Number of changes of the servers in this incarnation. Of two records of one incarnation, the
    /// record with more changes is later.
    #[serde(default)]
    pub changes: u64,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Backend servers that registered with the daemon.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerRecord>,
    /// Refused requests whose last crash was on this host.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<RefusedRecord>,
}

/// `ServerRecord` is one backend server that registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of this incarnation of the backend server.
    pub name: String,
    /// Service that the backend server is an upstream of.
    pub service: String,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Number of requests that the backend server handles at once.
    pub slots: u32,
    /// Whether the backend server is leaving.
    pub draining: bool,
}

/// `RelayedRecord` is a host's record that a peer relays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// Name of the host.
    pub host: String,
    /// Record of the host.
    pub record: HostRecord,
}

impl HostRecord {
    /// Returns the sort key of a host's records: the incarnation, then the changes. The later of
    /// two records has the greater key.
    pub fn sort_key(&self) -> (i64, u64) {
        (self.incarnation, self.changes)
    }

    /// Says whether the record lists a backend server of this name that is not draining.
    pub fn is_in_use(&self, name: &str) -> bool {
        self.servers.iter().any(|server| server.name == name && !server.draining)
    }

    fn services(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().map(|server| server.service.as_str())
    }
}

impl ServerRecord {
    /// Returns the backend server as an upstream of its service.
    fn upstream(&self, host: &str, record: &HostRecord, connections: u32) -> UpstreamEntry {
        let state = if self.draining { ServerState::Draining } else { ServerState::Active };
        UpstreamEntry {
            name: Rc::from(self.name.as_str()),
            server: Rc::new(BackendServer {
                service: self.service.clone(),
                host: host.to_owned(),
                address: self.address,
                slots: self.slots,
                connections,
                failure_domain: record.failure_domain.clone(),
                state,
            }),
        }
    }
}

/// `HostRoster` holds the rows of all hosts, including the host of this daemon.
#[derive(Debug, Default)]
pub struct HostRoster {
    records: RefCell<BTreeMap<String, HostRecord>>,
    own_servers: RefCell<Vec<ServerRecord>>,
    own_changes: Cell<u64>,
    own_version: Cell<u64>,
    /// This daemon's own row as the store holds it, `None` if the stored row is not known.
    stored_record: RefCell<Option<HostRecord>>,
    /// Whether a backend server left while this daemon's row in the store may still list the
    /// server.
    has_unwritten: Cell<bool>,
    changed: RisingSignal,
    /// Whether the store or a peer reported an earlier incarnation of this host's daemon.
    had_earlier_start: Cell<bool>,
    /// Hosts whose daemon was replaced at its address and whose rows still exist.
    replaced_hosts: RefCell<Vec<String>>,
}

impl HostRoster {
    /// Calls `read` with each host's record.
    pub fn for_each(&self, mut read: impl FnMut(&str, &HostRecord)) {
        for (host, record) in self.records.borrow().iter() {
            read(host, record);
        }
    }

    /// Returns the number of hosts with a daemon that is not leaving, at least 1.
    pub fn daemons(&self) -> usize {
        self.records.borrow().values().filter(|record| !record.leaving).count().max(1)
    }

    /// Returns the backend servers that registered with this daemon.
    pub fn own_servers(&self) -> Vec<ServerRecord> {
        self.own_servers.borrow().clone()
    }

    /// Returns the latest known record of a host.
    pub fn record(&self, host: &str) -> Option<HostRecord> {
        self.records.borrow().get(host).cloned()
    }

    /// Returns the other hosts whose daemon has the same peer address as `record` and an earlier
    /// start: the daemon of `host` replaced their daemons at that address.
    fn replaced_by(&self, host: &str, record: &HostRecord) -> Vec<String> {
        let records = self.records.borrow();
        let replaced = records.iter().filter(|(other, known)| {
            *other != host
                && known.peer_address == record.peer_address
                && known.incarnation < record.incarnation
        });
        replaced.map(|(other, _)| other.clone()).collect()
    }

    /// Says whether the daemon of another host has the same peer address as `record` and a later
    /// start, and so replaced the daemon of `host`.
    fn is_replaced(&self, host: &str, record: &HostRecord) -> bool {
        let records = self.records.borrow();
        let mut others = records.iter().filter(|(other, _)| *other != host);
        others.any(|(_, known)| {
            known.peer_address == record.peer_address && known.incarnation > record.incarnation
        })
    }

    /// Returns the upstreams of a service in the order of their names.
    pub fn upstreams(&self, service: &str, connections: u32) -> Vec<UpstreamEntry> {
        let mut upstreams = Vec::new();
        for (host, record) in self.records.borrow().iter() {
            let servers = record.servers.iter().filter(|server| server.service == service);
            upstreams.extend(servers.map(|server| server.upstream(host, record, connections)));
        }
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        // If two hosts list the same server, the entry with the later start of the server is used.
        // The other host refuses requests for the server as for an unknown upstream.
        upstreams.dedup_by(|right, left| {
            let is_same = incarnation::server_of(&left.name) == incarnation::server_of(&right.name);
            if is_same && server_started_at(left) < server_started_at(right) {
                mem::swap(left, right);
            }
            is_same
        });
        upstreams
    }

    /// Says whether the departure of a backend server of this host was acknowledged while the row
    /// in the store may still list the server as in use.
    pub fn has_unwritten_servers(&self) -> bool {
        self.has_unwritten.get()
    }

    /// Says whether this daemon's row in the store is known to list the backend servers that are
    /// registered now.
    fn is_row_current(&self) -> bool {
        let stored_record = self.stored_record.borrow();
        stored_record.as_ref().is_some_and(|record| record.servers == *self.own_servers.borrow())
    }

    /// Records which row of this daemon the store holds, `None` if the stored row is not known.
    fn note_written(&self, record: Option<HostRecord>) {
        *self.stored_record.borrow_mut() = record;
        if self.is_row_current() {
            self.has_unwritten.set(false);
        }
    }

    /// Says whether an earlier incarnation of this host's daemon is known.
    pub fn had_earlier_start(&self) -> bool {
        self.had_earlier_start.get()
    }

    /// Signals that this daemon's own record may have changed.
    pub fn signal_change(&self) {
        self.changed.raise();
    }
}

/// Returns when the backend server of an upstream started, if that is known.
fn server_started_at(upstream: &UpstreamEntry) -> Option<u64> {
    ServerIncarnation::of_upstream(&upstream.name).born
}

/// Returns this daemon's own record.
fn own_record(state: &DaemonState) -> HostRecord {
    HostRecord {
        host: state.options.host.clone(),
        incarnation: state.identity.incarnation,
        failure_domain: state.options.failure_domain.clone(),
        peer_address: state.options.peer_address().to_string(),
        admin_address: state.options.admin_address().to_string(),
        changes: state.roster.own_changes.get(),
        leaving: state.stop.is_handing_over(),
        servers: state.roster.own_servers(),
        refused: state.suspects.own_records(state.now()),
    }
}

/// Schedules a write of this daemon's row if its list of refused requests has changed.
pub fn refresh_refused(state: &Rc<DaemonState>) {
    let refused = state.suspects.own_records(state.now());
    let known = state.roster.record(&state.options.host);
    if known.is_some_and(|record| record.refused != refused) {
        state.roster.signal_change();
    }
}

/// Sets the backend servers that are registered with this daemon. On return, the new list is in
/// force at this daemon; the other daemons read the list from the store.
pub fn set_own_servers(state: &Rc<DaemonState>, servers: Vec<ServerRecord>) {
    if *state.roster.own_servers.borrow() == servers {
        return;
    }
    let before = state.roster.own_servers.replace(servers);
    state.roster.own_changes.set(state.roster.own_changes.get() + 1);
    let record = own_record(state);
    let is_draining = record.servers.iter().any(|server| server.draining);
    if is_draining || !before.iter().all(|server| record.is_in_use(&server.name)) {
        note_departure(state);
    }
    update_record(state, &state.options.host, Some(record));
    document::put_host_in_force(state);
    state.roster.signal_change();
}

/// Records that a backend server of this host has left. The departure is acknowledged to the server
/// before the store has the changed row, so the peers are notified if the store does not accept the
/// row within [`NOTIFY_AFTER`].
pub fn note_departure(state: &Rc<DaemonState>) {
    if state.roster.is_row_current() {
        return;
    }
    state.roster.has_unwritten.set(true);
    let state = state.clone();
    monoio::spawn(async move {
        monoio::time::sleep(NOTIFY_AFTER).await;
        if state.roster.has_unwritten_servers() {
            notify_peers(&state);
        }
    });
}

/// Sends this daemon's record, which the store has not accepted, to the linked daemons.
fn notify_peers(state: &DaemonState) {
    let relayed = RelayedRecord { host: state.options.host.clone(), record: own_record(state) };
    for link in state.members.sample_accepted(usize::MAX) {
        rows::send_relayed(link.sender(), &relayed);
    }
    for link in state.peers.linked().iter().filter_map(|path| path.link()) {
        rows::send_relayed(link.sender(), &relayed);
    }
}

/// Sends a daemon the record of its previous incarnation, if no record of its current incarnation
/// is known to this daemon.
pub fn send_previous_record(state: &DaemonState, sender: &FrameSender, peer: &PeerIdentity) {
    let records = state.roster.records.borrow();
    let known = records.get(&peer.host);
    if let Some(record) = known.filter(|known| known.incarnation < peer.incarnation) {
        let relayed = RelayedRecord { host: peer.host.clone(), record: record.clone() };
        rows::send_relayed(sender, &relayed);
    }
}

/// Updates a host's record, or removes it. A record that is earlier than the latest known record of
/// the host is ignored.
fn update_record(state: &Rc<DaemonState>, host: &str, record: Option<HostRecord>) {
    let known = state.roster.record(host);
    if known == record {
        return;
    }
    if record.as_ref().is_some_and(|record| state.roster.is_replaced(host, record)) {
        return;
    }
    if let Some(record) = &record {
        let known_incarnation = known.as_ref().map_or(0, |known| known.incarnation);
        let latest = known_incarnation.max(state.members.incarnation(host));
        if record.incarnation < latest {
            let incarnation = record.incarnation;
            fleet::EarlierStart { host, incarnation, latest }.log();
            return;
        }
        // The known record is later than `record`. Either the host's daemon sent the known record
        // directly, or the known record is this daemon's own and changed while `record` was being
        // written.
        if known.as_ref().is_some_and(|known| known.sort_key() > record.sort_key()) {
            return;
        }
    }
    if let Some(record) = &record {
        for replaced in state.roster.replaced_by(host, record) {
            fleet::HostReplaced { host: &replaced, by: host }.log();
            update_record(state, &replaced, None);
            state.roster.replaced_hosts.borrow_mut().push(replaced);
        }
    }
    let mut touched_services: Vec<String> = Vec::new();
    for each in known.iter().chain(&record) {
        touched_services.extend(each.services().map(str::to_owned));
    }
    touched_services.sort();
    touched_services.dedup();
    log_record(host, record.as_ref());
    let mut records = state.roster.records.borrow_mut();
    match &record {
        Some(record) => drop(records.insert(host.to_owned(), record.clone())),
        None => drop(records.remove(host)),
    }
    drop(records);
    match &record {
        Some(record) => state.members.note_record(state, host, record),
        None => state.members.note_removed(host),
    }
    document::put_services_in_force(state, &touched_services);
}

/// Logs the new record of a host, or that the host has no record any more.
fn log_record(host: &str, record: Option<&HostRecord>) {
    let record = match record {
        Some(record) => record,
        None => return fleet::HostGone { host }.log(),
    };
    let describe = |server: &ServerRecord| {
        let leaving = if server.draining { " (draining)" } else { "" };
        format!("{}{leaving}", server.name)
    };
    let servers: Vec<String> = record.servers.iter().map(describe).collect();
    fleet::HostAdopted {
        host,
        incarnation: record.incarnation,
        servers: &servers.join(", "),
        leaving: record.leaving,
    }
    .log();
}

/// Applies each record that a peer relayed and that is later than the known record of its host.
pub fn apply_relayed(state: &Rc<DaemonState>, relayed: Vec<RelayedRecord>) {
    for RelayedRecord { host, record } in relayed {
        suspects::apply_records(state, &host, &record.refused);
        if host == state.options.host {
            recover_own_servers(state, &record);
            continue;
        }
        let known = state.roster.record(&host);
        if known.is_none_or(|known| known.sort_key() < record.sort_key()) {
            update_record(state, &host, Some(record));
        }
    }
}

/// Applies the whole table: adopts its rows, and removes the hosts that have no row in the table.
pub fn apply_table(state: &Rc<DaemonState>, page: &RowsPage) {
    for row in &page.rows {
        apply_row(state, row);
    }
    let is_gone = |host: &String| !page.rows.iter().any(|row| row.key == *host);
    let hosts: Vec<String> = state.roster.records.borrow().keys().cloned().collect();
    for host in hosts.into_iter().filter(is_gone) {
        apply_removal(state, &host);
    }
    state.roster.signal_change();
}

/// Applies one row, or its removal.
pub fn apply_row(state: &Rc<DaemonState>, row: &StoredRow) {
    let value = match &row.value {
        RowValue::Bytes(value) => value,
        RowValue::Gone => return apply_removal(state, &row.key),
        RowValue::Unreadable(_) => return note_unreadable(state, row),
    };
    let record = match read_record(&row.key, value) {
        Ok(record) => record,
        Err(error) => {
            fleet::HostUnreadable { host: &row.key, error: &error.to_string() }.log();
            note_unreadable(state, row);
            return;
        }
    };
    suspects::apply_records(state, &row.key, &record.refused);
    if row.key != state.options.host {
        return update_record(state, &row.key, Some(record));
    }
    // The row is outdated if the store has answered a later write of this daemon in the meantime.
    if row.version > state.roster.own_version.get() {
        state.roster.own_version.set(row.version);
        state.roster.note_written(Some(record.clone()));
    }
    recover_own_servers(state, &record);
    if record.incarnation > state.identity.incarnation {
        let own = state.identity.incarnation;
        fleet::LaterStart { incarnation: record.incarnation, own }.log();
    }
    state.roster.signal_change();
}

/// Handles a row that can't be read because a program other than a daemon wrote the row. The known
/// record of the host stays, since the daemon of that host will write the row again. If the row is
/// this daemon's own, a write is scheduled.
fn note_unreadable(state: &DaemonState, row: &StoredRow) {
    if row.key == state.options.host {
        state.roster.own_version.set(row.version);
        state.roster.note_written(None);
        state.roster.signal_change();
    }
}

/// Reads the record in the row of a host. Backend servers that can't be read are left out.
pub fn read_record(host: &str, bytes: &[u8]) -> Result<HostRecord, serde_json::Error> {
    let mut value: Value = serde_json::from_slice(bytes)?;
    let servers = take_list(&mut value, "servers");
    let refused = take_list(&mut value, "refused");
    let mut record = HostRecord::deserialize(value)?;
    if !record.host.is_empty() && record.host != host {
        return Err(de::Error::custom(format_args!("it is the record of {}", record.host)));
    }
    let refused = refused.into_iter();
    record.refused = refused.filter_map(|each| RefusedRecord::deserialize(each).ok()).collect();
    let listed_count = servers.len();
    record.servers = servers.into_iter().filter_map(readable_server).collect();
    let servers = (listed_count - record.servers.len()) as u64;
    if servers > 0 {
        fleet::ServersUnreadable { host, servers }.log();
    }
    Ok(record)
}

/// Removes a list from a record. A value that is not a list counts as an empty list.
fn take_list(record: &mut Value, name: &str) -> Vec<Value> {
    match record.as_object_mut().and_then(|fields| fields.remove(name)) {
        Some(Value::Array(list)) => list,
        _ => Vec::new(),
    }
}

fn readable_server(value: Value) -> Option<ServerRecord> {
    let server = ServerRecord::deserialize(value).ok()?;
    (!server.name.is_empty() && server.slots > 0).then_some(server)
}

/// Recovers the record that an earlier incarnation of this daemon published, from the store or a
/// peer.
fn recover_own_servers(state: &Rc<DaemonState>, record: &HostRecord) {
    if record.incarnation >= state.identity.incarnation {
        return;
    }
    state.roster.had_earlier_start.set(true);
    if state.options.registration.is_some() {
        registration::recover_servers(state, record);
    }
}

fn apply_removal(state: &Rc<DaemonState>, host: &str) {
    if host != state.options.host {
        return update_record(state, host, None);
    }
    // Other daemons considered this daemon's host gone and removed its row, so the row is written
    // again.
    state.roster.own_version.set(0);
    state.roster.note_written(None);
    state.roster.signal_change();
}

/// Writes this daemon's row whenever its record has changed, for ever.
pub async fn publish(state: Rc<DaemonState>) {
    let mut backoff = RetryBackoff::with_max_delay(FAILED_CALL_PAUSE_MAX);
    await_first_server(&state).await;
    loop {
        let seen = state.roster.changed.get();
        let record = own_record(&state);
        if state.roster.stored_record.borrow().as_ref() != Some(&record) {
            match write_own_row(&state, &record).await {
                Ok(()) => backoff.reset(),
                Err(error) => {
                    metrics::STORE_FAILURES.add_one();
                    let error = &error.to_string();
                    process::StoreFailed { call: "write own row", error }.log();
                    monoio::time::sleep(backoff.next_delay()).await;
                }
            }
            continue;
        }
        state.roster.changed.above(seen).await;
    }
}

/// Waits until a backend server has registered, up to [`FIRST_SERVER_TIMEOUT`].
async fn await_first_server(state: &Rc<DaemonState>) {
    if state.options.registration.is_none() {
        return;
    }
    let registered = async {
        let mut seen = 0;
        while state.roster.own_servers.borrow().is_empty() {
            seen = state.roster.changed.above(seen).await;
        }
    };
    // After the timeout, the row is written without a backend server and describes the daemon
    // alone.
    let _ = monoio::time::timeout(FIRST_SERVER_TIMEOUT, registered).await;
}

async fn write_own_row(state: &Rc<DaemonState>, record: &HostRecord) -> Result<(), StoreError> {
    let key = row_key(&state.options.host);
    let check = RowCheck { key: key.clone(), version: state.roster.own_version.get() };
    let write = RowWrite { key, value: Some(json!(record)) };
    // A write without an answer may have taken effect, or may take effect later. Until a later
    // write is answered, the content of the row is not known.
    state.roster.note_written(None);
    match state.platform.transact(vec![check], vec![write]).await {
        Ok(version) => {
            state.roster.own_version.set(version);
            state.roster.note_written(Some(record.clone()));
            update_record(state, &state.options.host, Some(record.clone()));
            Ok(())
        }
        // The store holds another row, for example the row of an earlier incarnation. This stored
        // row is recorded, and the next attempt replaces it.
        Err(StoreError::Conflict { rows }) => {
            for row in rows {
                state.roster.own_version.set(row.version);
                let stored_record = HostRecord::deserialize(&row.value).ok();
                state.roster.note_written(stored_record);
            }
            Ok(())
        }
        Err(error) => Err(error),
    }
}

fn row_key(host: &str) -> String {
    format!("{HOSTS_TABLE}/{host}")
}

/// Runs for ever: removes the rows of hosts whose latest known heartbeat is very old.
///
/// One daemon is responsible for each host, by rendezvous hashing over the live daemons. A row is
/// removed only while the store answers, and only if the row has not been written since this daemon
/// read it. A daemon that is alive writes its row again.
pub async fn sweep(state: Rc<DaemonState>) {
    loop {
        let pause = SWEEP_INTERVAL.mul_f64(rand::random_range(1.0..SWEEP_JITTER_FACTOR));
        monoio::time::sleep(pause).await;
        let mut gone = state.members.expired_hosts(&state);
        gone.extend(state.roster.replaced_hosts.borrow_mut().drain(..));
        for host in gone {
            let live = state.members.live_hosts(&state);
            let responsible = limits::owner_of(&host, live.iter().map(String::as_str));
            if responsible == Some(state.options.host.as_str()) {
                remove_row(&state, &host).await;
            }
        }
    }
}

async fn remove_row(state: &Rc<DaemonState>, host: &str) {
    let key = row_key(host);
    let row = match state.platform.read(&key).await {
        Ok(Some(row)) => row,
        Ok(None) => return update_record(state, host, None),
        Err(_) => return,
    };
    let check = RowCheck { key: key.clone(), version: row.version };
    let write = RowWrite { key, value: None };
    match state.platform.transact(vec![check], vec![write]).await {
        Ok(_) => fleet::HostRemoved { host }.log(),
        Err(error) => fleet::HostStays { host, error: &error.to_string() }.log(),
    }
}
