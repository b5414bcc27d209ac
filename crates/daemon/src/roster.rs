// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Who is there: one row for each host in the platform's store.
//!
//! A daemon writes its own row when something about it changes, and never to say that it lives. All
//! daemons read the rows once and follow their feed. A row names the start of the daemon that wrote
//! it; a later start replaces it. Rows do not lapse, so an outage of the store takes nothing away.

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
use basaltarch_store::platform::RetryPause;
use basaltarch_store::wire::{RowCheck, RowWrite};
use serde::{de, Deserialize, Serialize};
use serde_json::{json, Value};

use crate::document;
use crate::registration;
use crate::rows;
use crate::state::DaemonState;
use crate::suspects::{self, RefusedRecord};

/// Table of the rows.
pub const HOSTS_TABLE: &str = "hosts";
/// Longest pause after failed calls in a row: what changed during an outage must be known within
/// about two seconds of its end.
pub const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(2000);
/// Time that a starting daemon waits for the backend server beside it before it writes its row
/// without one: a little longer than the usual time between two heartbeats.
const FIRST_WRITE_WAIT: Duration = Duration::from_secs(2);
/// Time after which the peers are told what the store has not taken: a slow store takes 250 ms for a write
/// (trials of stops), and a stop that gives up waits 300 ms more.
const TELL_AFTER: Duration = Duration::from_millis(200);
/// Time between looks for rows of hosts that are gone.
const SWEEP_EVERY: Duration = Duration::from_secs(20);
/// Longest pause of such looks in multiples, so that not all daemons look at once.
const SWEEP_SPREAD: f64 = 1.5;

/// `HostRecord` is what a host's daemon says of itself and of the backend servers beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host: a copy of the record under another name is none of that host's.
    #[serde(default)]
    pub host: String,
    /// Number of the daemon's start; a later start has a higher one.
    pub incarnation: i64,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which the daemon takes links.
    pub peer_address: String,
    /// Address of its administration.
    pub admin_address: String,
    /// Number of the changes of the servers in this start: of two records, that with more counts.
    #[serde(default)]
    pub changes: u64,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Backend servers that registered with the daemon.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerRecord>,
    /// Requests that are refused and whose last crash was seen here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<RefusedRecord>,
}

/// `ServerRecord` is one backend server that registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of this incarnation of the backend server.
    pub name: String,
    /// Service that it is an upstream of.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// `ToldRecord` is a host's record as a peer tells of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ToldRecord {
    /// Name of the host.
    pub host: String,
    /// Its record.
    pub record: HostRecord,
}

impl HostRecord {
    /// Returns what tells the later of two records of a host: its start, then its changes.
    pub fn order(&self) -> (i64, u64) {
        (self.incarnation, self.changes)
    }

    /// Says whether a backend server of this name is told of as in use.
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

/// `HostRoster` holds the rows of all hosts, this one included.
#[derive(Debug, Default)]
pub struct HostRoster {
    records: RefCell<BTreeMap<String, HostRecord>>,
    own_servers: RefCell<Vec<ServerRecord>>,
    own_changes: Cell<u64>,
    own_version: Cell<u64>,
    /// The own row as the store holds it, unless that is not known.
    written: RefCell<Option<HostRecord>>,
    /// Whether a backend server left and the own row may not tell it yet.
    has_unwritten: Cell<bool>,
    changed: RisingSignal,
    /// Whether the store or a peer told of an earlier start of this host's daemon.
    started_before: Cell<bool>,
    /// Hosts that were replaced at their address and whose rows are still there.
    stale: RefCell<Vec<String>>,
}

impl HostRoster {
    /// Calls `read` with each host's record.
    pub fn for_each(&self, mut read: impl FnMut(&str, &HostRecord)) {
        for (host, record) in self.records.borrow().iter() {
            read(host, record);
        }
    }

    /// Returns the number of hosts whose daemons are there and not leaving.
    pub fn daemons(&self) -> usize {
        self.records.borrow().values().filter(|record| !record.leaving).count().max(1)
    }

    /// Returns the backend servers that registered here.
    pub fn own_servers(&self) -> Vec<ServerRecord> {
        self.own_servers.borrow().clone()
    }

    /// Returns what the store last held about a host.
    pub fn record(&self, host: &str) -> Option<HostRecord> {
        self.records.borrow().get(host).cloned()
    }

    /// Returns the hosts whose daemon had the address before that of `record`, which started later.
    fn replaced_by(&self, host: &str, record: &HostRecord) -> Vec<String> {
        let records = self.records.borrow();
        let replaced = records.iter().filter(|(other, known)| {
            *other != host
                && known.peer_address == record.peer_address
                && known.incarnation < record.incarnation
        });
        replaced.map(|(other, _)| other.clone()).collect()
    }

    /// Says whether a record is that of a host that another has replaced at its address.
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
        // A name that two hosts claim belongs to one of them, that of the later start; a request that
        // goes to the other is refused there as unknown.
        upstreams.dedup_by(|right, left| {
            let is_same = incarnation::server_of(&left.name) == incarnation::server_of(&right.name);
            if is_same && started(left) < started(right) {
                mem::swap(left, right);
            }
            is_same
        });
        upstreams
    }

    /// Says whether a backend server here has left by its acknowledged word, and the row in the store
    /// may still tell of it as in use.
    pub fn has_unwritten_servers(&self) -> bool {
        self.has_unwritten.get()
    }

    /// Says whether the own row is known to tell of the backend servers as they are.
    fn tells_servers(&self) -> bool {
        let written = self.written.borrow();
        written.as_ref().is_some_and(|record| record.servers == *self.own_servers.borrow())
    }

    /// Takes in what the store holds as the own row, `None` if that is not known.
    fn note_written(&self, record: Option<HostRecord>) {
        *self.written.borrow_mut() = record;
        if self.tells_servers() {
            self.has_unwritten.set(false);
        }
    }

    /// Says whether an earlier start of this host's daemon was told of.
    pub fn started_before(&self) -> bool {
        self.started_before.get()
    }

    /// Says that this daemon's own record may have changed.
    pub fn touch(&self) {
        self.changed.raise();
    }
}

/// Returns when the backend server behind an upstream started, if that is known.
fn started(upstream: &UpstreamEntry) -> Option<u64> {
    ServerIncarnation::of_upstream(&upstream.name).born
}

/// Returns what this daemon says of itself.
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

/// Lets the own row tell the refused requests as they are known now.
pub fn refresh_refused(state: &Rc<DaemonState>) {
    let refused = state.suspects.own_records(state.now());
    let known = state.roster.record(&state.options.host);
    if known.is_some_and(|record| record.refused != refused) {
        state.roster.touch();
    }
}

/// Takes in which backend servers are registered here. They are in force in this daemon when this
/// returns; the others hear of them through the store.
pub fn set_own_servers(state: &Rc<DaemonState>, servers: Vec<ServerRecord>) {
    if *state.roster.own_servers.borrow() == servers {
        return;
    }
    let before = state.roster.own_servers.replace(servers);
    state.roster.own_changes.set(state.roster.own_changes.get() + 1);
    let record = own_record(state);
    let is_draining = record.servers.iter().any(|server| server.draining);
    if is_draining || !before.iter().all(|server| record.is_in_use(&server.name)) {
        note_left(state);
    }
    put_record(state, &state.options.host, Some(record));
    document::put_host_in_force(state);
    state.roster.touch();
}

/// Takes in that a backend server here has left, by a word that is acknowledged.
pub fn note_left(state: &Rc<DaemonState>) {
    if state.roster.tells_servers() {
        return;
    }
    state.roster.has_unwritten.set(true);
    let state = state.clone();
    monoio::spawn(async move {
        monoio::time::sleep(TELL_AFTER).await;
        if state.roster.has_unwritten_servers() {
            tell_peers(&state);
        }
    });
}

/// Tells the daemons that are linked the own record, which the store doesn't take.
fn tell_peers(state: &DaemonState) {
    let told = ToldRecord { host: state.options.host.clone(), record: own_record(state) };
    for link in state.members.some_accepted(usize::MAX) {
        rows::send_told(link.sender(), &told);
    }
    for link in state.peers.linked().iter().filter_map(|path| path.link()) {
        rows::send_told(link.sender(), &told);
    }
}

/// Tells a daemon what is known of its earlier start, while nothing is known of this one.
pub fn tell_past(state: &DaemonState, sender: &FrameSender, peer: &PeerIdentity) {
    let records = state.roster.records.borrow();
    let known = records.get(&peer.host);
    if let Some(record) = known.filter(|known| known.incarnation < peer.incarnation) {
        let told = ToldRecord { host: peer.host.clone(), record: record.clone() };
        rows::send_told(sender, &told);
    }
}

/// Takes in a host's record, or that there is none; an earlier record is passed over.
fn put_record(state: &Rc<DaemonState>, host: &str, record: Option<HostRecord>) {
    let known = state.roster.record(host);
    if known == record {
        return;
    }
    if record.as_ref().is_some_and(|record| state.roster.is_replaced(host, record)) {
        return;
    }
    if let Some(record) = &record {
        let of_row = known.as_ref().map_or(0, |known| known.incarnation);
        let latest = of_row.max(state.members.incarnation(host));
        if record.incarnation < latest {
            let incarnation = record.incarnation;
            fleet::EarlierStart { host, incarnation, latest }.log();
            return;
        }
        // Its daemon told a later one past the store, or changed while this one was written.
        if known.as_ref().is_some_and(|known| known.order() > record.order()) {
            return;
        }
    }
    if let Some(record) = &record {
        for replaced in state.roster.replaced_by(host, record) {
            fleet::HostReplaced { host: &replaced, by: host }.log();
            put_record(state, &replaced, None);
            state.roster.stale.borrow_mut().push(replaced);
        }
    }
    let mut touched: Vec<String> = Vec::new();
    for each in known.iter().chain(&record) {
        touched.extend(each.services().map(str::to_owned));
    }
    touched.sort();
    touched.dedup();
    tell_record(host, record.as_ref());
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
    document::put_services_in_force(state, &touched);
}

/// Logs what is now known of a host.
fn tell_record(host: &str, record: Option<&HostRecord>) {
    let record = match record {
        Some(record) => record,
        None => return fleet::HostGone { host }.log(),
    };
    let word = |server: &ServerRecord| {
        let leaving = if server.draining { " (draining)" } else { "" };
        format!("{}{leaving}", server.name)
    };
    let servers: Vec<String> = record.servers.iter().map(word).collect();
    fleet::HostAdopted {
        host,
        incarnation: record.incarnation,
        servers: &servers.join(", "),
        leaving: record.leaving,
    }
    .log();
}

/// Takes in records that a peer told of, where they are later than what is known.
pub fn take_told(state: &Rc<DaemonState>, told: Vec<ToldRecord>) {
    for ToldRecord { host, record } in told {
        suspects::apply_records(state, &host, &record.refused);
        if host == state.options.host {
            recover_own(state, &record);
            continue;
        }
        let known = state.roster.record(&host);
        if known.is_none_or(|known| known.order() < record.order()) {
            put_record(state, &host, Some(record));
        }
    }
}

/// Takes the whole table in.
pub fn take_table(state: &Rc<DaemonState>, page: &RowsPage) {
    for row in &page.rows {
        take_row(state, row);
    }
    let gone = |host: &String| !page.rows.iter().any(|row| row.key == *host);
    let hosts: Vec<String> = state.roster.records.borrow().keys().cloned().collect();
    for host in hosts.into_iter().filter(gone) {
        take_removed(state, &host);
    }
    state.roster.touch();
}

/// Takes one row in, or that it was removed.
pub fn take_row(state: &Rc<DaemonState>, row: &StoredRow) {
    let value = match &row.value {
        RowValue::Bytes(value) => value,
        RowValue::Gone => return take_removed(state, &row.key),
        RowValue::Unreadable(_) => return note_foreign(state, row),
    };
    let record = match read_record(&row.key, value) {
        Ok(record) => record,
        Err(error) => {
            fleet::HostUnreadable { host: &row.key, error: &error.to_string() }.log();
            note_foreign(state, row);
            return;
        }
    };
    suspects::apply_records(state, &row.key, &record.refused);
    if row.key != state.options.host {
        return put_record(state, &row.key, Some(record));
    }
    // The answer to a later write may have come before this.
    if row.version > state.roster.own_version.get() {
        state.roster.own_version.set(row.version);
        state.roster.note_written(Some(record.clone()));
    }
    recover_own(state, &record);
    if record.incarnation > state.identity.incarnation {
        let own = state.identity.incarnation;
        fleet::LaterStart { incarnation: record.incarnation, own }.log();
    }
    state.roster.touch();
}

/// Takes in that another writer wrote a row that can't be read. What was known of its host holds, as its
/// daemon writes the row anew.
fn note_foreign(state: &DaemonState, row: &StoredRow) {
    if row.key == state.options.host {
        state.roster.own_version.set(row.version);
        state.roster.note_written(None);
        state.roster.touch();
    }
}

/// Reads the record in the row of a host. Backend servers in it that can't be read are left out.
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
    let told = servers.len();
    record.servers = servers.into_iter().filter_map(readable_server).collect();
    let servers = (told - record.servers.len()) as u64;
    if servers > 0 {
        fleet::ServersUnreadable { host, servers }.log();
    }
    Ok(record)
}

/// Takes a list out of a record; what is no list reads as an empty one.
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

/// Takes in what an earlier start of this daemon said, as the store or a peer tells of it.
fn recover_own(state: &Rc<DaemonState>, record: &HostRecord) {
    if record.incarnation >= state.identity.incarnation {
        return;
    }
    state.roster.started_before.set(true);
    if state.options.registration.is_some() {
        registration::recover(state, record);
    }
}

fn take_removed(state: &Rc<DaemonState>, host: &str) {
    if host != state.options.host {
        return put_record(state, host, None);
    }
    // Others took this daemon for gone; its row is written anew.
    state.roster.own_version.set(0);
    state.roster.note_written(None);
    state.roster.touch();
}

/// Writes this daemon's row whenever what it says has changed, for ever.
pub async fn publish(state: Rc<DaemonState>) {
    let mut pause = RetryPause::up_to(FAILURE_PAUSE_MAX);
    wait_first(&state).await;
    loop {
        let seen = state.roster.changed.get();
        let record = own_record(&state);
        if state.roster.written.borrow().as_ref() != Some(&record) {
            match write_row(&state, &record).await {
                Ok(()) => pause.reset(),
                Err(error) => {
                    metrics::STORE_FAILURES.add_one();
                    let error = &error.to_string();
                    process::StoreFailed { call: "write own row", error }.log();
                    monoio::time::sleep(pause.next_pause()).await;
                }
            }
            continue;
        }
        state.roster.changed.above(seen).await;
    }
}

/// Waits until a backend server registered, but not for long.
async fn wait_first(state: &Rc<DaemonState>) {
    if state.options.registration.is_none() {
        return;
    }
    let registered = async {
        let mut seen = 0;
        while state.roster.own_servers.borrow().is_empty() {
            seen = state.roster.changed.above(seen).await;
        }
    };
    // Without one the row tells of the daemon alone.
    let _ = monoio::time::timeout(FIRST_WRITE_WAIT, registered).await;
}

async fn write_row(state: &Rc<DaemonState>, record: &HostRecord) -> Result<(), StoreError> {
    let key = row_key(&state.options.host);
    let check = RowCheck { key: key.clone(), version: state.roster.own_version.get() };
    let write = RowWrite { key, value: Some(json!(record)) };
    // A call without an answer may have been done, or be done later: until one is answered nobody knows
    // what the row tells.
    state.roster.note_written(None);
    match state.platform.transact(vec![check], vec![write]).await {
        Ok(version) => {
            state.roster.own_version.set(version);
            state.roster.note_written(Some(record.clone()));
            put_record(state, &state.options.host, Some(record.clone()));
            Ok(())
        }
        // The row as it is tells whose it is: one of an earlier start is replaced by the next try.
        Err(StoreError::Conflict { rows }) => {
            for row in rows {
                state.roster.own_version.set(row.version);
                let written = HostRecord::deserialize(&row.value).ok();
                state.roster.note_written(written);
            }
            Ok(())
        }
        Err(error) => Err(error),
    }
}

fn row_key(host: &str) -> String {
    format!("{HOSTS_TABLE}/{host}")
}

/// Removes the rows of hosts that have been silent for long, for ever.
///
/// One daemon is responsible for each host, by rendezvous hashing over those that live. A row is
/// removed only while the store answers and if it was not written since, and a daemon that lives
/// writes its row again.
pub async fn sweep(state: Rc<DaemonState>) {
    loop {
        let pause = SWEEP_EVERY.mul_f64(rand::random_range(1.0..SWEEP_SPREAD));
        monoio::time::sleep(pause).await;
        let mut gone = state.members.silent_hosts(&state);
        gone.extend(state.roster.stale.borrow_mut().drain(..));
        for host in gone {
            let live = state.members.live_hosts(&state);
            let home = limits::home_of(&host, live.iter().map(String::as_str));
            if home == Some(state.options.host.as_str()) {
                remove_row(&state, &host).await;
            }
        }
    }
}

async fn remove_row(state: &Rc<DaemonState>, host: &str) {
    let key = row_key(host);
    let row = match state.platform.read(&key).await {
        Ok(Some(row)) => row,
        Ok(None) => return put_record(state, host, None),
        Err(_) => return,
    };
    let check = RowCheck { key: key.clone(), version: row.version };
    let write = RowWrite { key, value: None };
    match state.platform.transact(vec![check], vec![write]).await {
        Ok(_) => fleet::HostRemoved { host }.log(),
        Err(error) => fleet::HostStays { host, error: &error.to_string() }.log(),
    }
}
