// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Publishes this host's row in the platform's store, and keeps the rows of all hosts of the fleet.
//!
//! A daemon writes its own row when the content of the row changes, and never as a heartbeat. All
//! daemons read the rows once and follow the table's feed. A row names the incarnation of the
//! daemon that wrote the row, and a later incarnation replaces the row. Rows do not expire, so that
//! an outage of the store removes no host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::departures::DepartedServers;
use basaltarch_core::services::UpstreamEntry;
use basaltarch_decide::limits;
use basaltarch_events::{fleet, process};
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_platform::rows::{RowValue, RowsPage, StoredRow};
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::RetryBackoff;
use basaltarch_store::transaction::{RowCheck, RowWrite};
use fnv::FnvHashMap;
use serde::Deserialize;
use serde_json::json;

use crate::document;
use crate::links;
use crate::membership;
use crate::records::{self, HostRecord, RecordTable, RelayedRecord, ServerRecord};
use crate::registration;
use crate::rows;
use crate::state::DaemonState;
use crate::suspects;

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

/// `ChangeHolder` is who holds a change of this daemon's record besides this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeHolder {
    /// The platform's store.
    Store,
    /// Another daemon.
    Peer,
}

impl ChangeHolder {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// `HostRoster` holds the rows of all hosts, including the host of this daemon.
#[derive(Debug, Default)]
pub struct HostRoster {
    records: RefCell<RecordTable>,
    own_servers: RefCell<Vec<ServerRecord>>,
    own_changes: Cell<u64>,
    own_version: Cell<u64>,
    /// This daemon's own row as the store holds it, `None` if the stored row is not known.
    stored_record: RefCell<Option<HostRecord>>,
    /// Whether a backend server left while this daemon's row in the store may still list the
    /// server.
    has_unwritten: Cell<bool>,
    changed: RisingSignal,
    /// Number of changes of this daemon's record that the store holds.
    changes_stored: Cell<u64>,
    /// Number of changes of this daemon's record that another daemon holds.
    changes_confirmed: Cell<u64>,
    /// Raised when either number rises.
    held: RisingSignal,
    /// Whether the store or a peer reported an earlier incarnation of this host's daemon.
    had_earlier_start: Cell<bool>,
    /// Hosts whose daemon was replaced at its address and whose rows still exist.
    replaced_hosts: RefCell<Vec<String>>,
    /// Earlier records of other hosts that list a departure which the latest record of the host does
    /// not list. The host's daemon is told of them.
    untold_records: RefCell<FnvHashMap<String, HostRecord>>,
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
        self.records.borrow().daemons()
    }

    /// Returns the backend servers that registered with this daemon.
    pub fn own_servers(&self) -> Vec<ServerRecord> {
        self.own_servers.borrow().clone()
    }

    /// Returns the latest known record of a host.
    pub fn record(&self, host: &str) -> Option<HostRecord> {
        self.records.borrow().get(host).cloned()
    }

    /// Returns the upstreams of a service in the order of their names.
    pub fn upstreams(&self, service: &str, connections: u32) -> Vec<UpstreamEntry> {
        self.records.borrow().upstreams(service, connections)
    }

    /// Says whether the departure of a backend server of this host was acknowledged while the row
    /// in the store may still list the server as in use.
    pub fn has_unwritten_servers(&self) -> bool {
        self.has_unwritten.get()
    }

    /// Says whether this daemon's row in the store is known to list the backend servers that are
    /// registered now.
    fn is_row_current(&self, departed: &DepartedServers) -> bool {
        let stored_record = self.stored_record.borrow();
        stored_record.as_ref().is_some_and(|record| {
            record.servers == *self.own_servers.borrow() && record.departed == *departed
        })
    }

    /// Says whether this daemon's row in the store is known to list these departures.
    fn is_stored(&self, departed: &DepartedServers) -> bool {
        let stored_record = self.stored_record.borrow();
        stored_record.as_ref().is_some_and(|record| record.departed.covers(departed))
    }

    /// Says whether an earlier incarnation of this host's daemon is known.
    pub fn had_earlier_start(&self) -> bool {
        self.had_earlier_start.get()
    }

    /// Returns the earliest incarnation of a daemon among the records; `None` if there is no record.
    pub fn first_incarnation(&self) -> Option<i64> {
        self.records.borrow().iter().map(|(_, record)| record.incarnation).min()
    }

    /// Returns who holds a change of this daemon's record besides this daemon.
    fn holder_of(&self, changes: u64) -> Option<ChangeHolder> {
        if self.changes_stored.get() >= changes {
            return Some(ChangeHolder::Store);
        }
        (self.changes_confirmed.get() >= changes).then_some(ChangeHolder::Peer)
    }

    /// Records that another daemon holds a record of this daemon.
    fn note_confirmed(&self, record: &HostRecord) {
        self.changes_confirmed.set(self.changes_confirmed.get().max(record.changes));
        self.held.raise();
    }

    /// Signals that this daemon's own record may have changed.
    pub fn signal_change(&self) {
        self.changed.raise();
    }
}

/// Records which row of this daemon the store holds, `None` if the stored row is not known.
fn note_written(state: &DaemonState, record: Option<HostRecord>) {
    let own = record.as_ref().filter(|record| record.incarnation == state.identity.incarnation);
    if let Some(record) = own {
        state.roster.changes_stored.set(state.roster.changes_stored.get().max(record.changes));
        state.roster.held.raise();
    }
    *state.roster.stored_record.borrow_mut() = record;
    if state.roster.is_row_current(&state.departures.list()) {
        state.roster.has_unwritten.set(false);
    }
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
        departed: state.departures.list(),
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
    state.roster.own_servers.replace(servers);
    refresh_own_record(state);
}

/// Puts the registered and the departed backend servers of this host in force and schedules a write
/// of the row, if either has changed.
pub fn refresh_own_record(state: &Rc<DaemonState>) {
    let known = state.roster.record(&state.options.host);
    let mut record = own_record(state);
    let is_unchanged = match &known {
        Some(known) => known.servers == record.servers && known.departed == record.departed,
        None => record.servers.is_empty() && record.departed.is_empty(),
    };
    if is_unchanged {
        return;
    }
    state.roster.own_changes.set(state.roster.own_changes.get() + 1);
    record.changes = state.roster.own_changes.get();
    let servers_before = known.iter().flat_map(|known| &known.servers);
    let has_lost_server = !servers_before.into_iter().all(|server| record.is_in_use(&server.name));
    let departed_before = known.as_ref().map(|known| known.departed.clone()).unwrap_or_default();
    let has_departure = !departed_before.covers(&record.departed);
    if has_lost_server || has_departure && !state.roster.is_stored(&record.departed) {
        note_departure(state);
    }
    update_records(state, [(state.options.host.clone(), Some(record))]);
    document::put_host_in_force(state);
    state.roster.signal_change();
}

/// Records that a backend server of this host has left. The neighbours are told at once, since they
/// are asked first by the next incarnation of this daemon; all linked daemons are told if the store
/// does not accept the row within [`NOTIFY_AFTER`].
fn note_departure(state: &Rc<DaemonState>) {
    if state.roster.is_row_current(&state.departures.list()) {
        return;
    }
    state.roster.has_unwritten.set(true);
    for host in state.members.neighbours(state) {
        notify_neighbour(state, host);
    }
    let state = state.clone();
    monoio::spawn(async move {
        monoio::time::sleep(NOTIFY_AFTER).await;
        if state.roster.has_unwritten_servers() {
            notify_peers(&state);
        }
    });
}

/// Sends this daemon's record to a neighbour in a task of its own, since a link may have to be
/// established.
fn notify_neighbour(state: &Rc<DaemonState>, host: String) {
    let state = state.clone();
    monoio::spawn(async move {
        let path = state.peers.path(&host);
        if let Ok(link) = links::link_to(&state, &path).await {
            rows::send_relayed(link.sender(), &own_relayed_record(&state));
        }
    });
}

fn own_relayed_record(state: &DaemonState) -> RelayedRecord {
    RelayedRecord { host: state.options.host.clone(), record: own_record(state) }
}

/// Waits until the store or another daemon holds this daemon's record as it is now, and returns who.
/// Returns `None` after `longest`.
pub async fn await_held(state: &Rc<DaemonState>, longest: Duration) -> Option<ChangeHolder> {
    let roster = &state.roster;
    let changes = roster.own_changes.get();
    let held = async {
        loop {
            let seen = roster.held.get();
            if let Some(holder) = roster.holder_of(changes) {
                return holder;
            }
            roster.held.above(seen).await;
        }
    };
    monoio::time::timeout(longest, held).await.ok()
}

/// Sends this daemon's record, which the store has not accepted, to the linked daemons.
fn notify_peers(state: &DaemonState) {
    let relayed = own_relayed_record(state);
    for link in state.members.sample_accepted(usize::MAX) {
        rows::send_relayed(link.sender(), &relayed);
    }
    for link in state.peers.linked().iter().filter_map(|path| path.link()) {
        rows::send_relayed(link.sender(), &relayed);
    }
}

/// Sends a daemon the records of its previous incarnations that it may lack: the latest, if no record
/// of its current incarnation is known to this daemon, and one that lists a departure which its
/// current record does not list.
pub fn send_previous_records(state: &DaemonState, sender: &FrameSender, peer: &PeerIdentity) {
    let records = state.roster.records.borrow();
    let untold_records = state.roster.untold_records.borrow();
    let known = [records.get(&peer.host), untold_records.get(&peer.host)];
    for record in known.into_iter().flatten() {
        if record.incarnation < peer.incarnation {
            let relayed = RelayedRecord { host: peer.host.clone(), record: record.clone() };
            rows::send_relayed(sender, &relayed);
        }
    }
}

/// Updates the records of hosts, or removes them, and puts the touched services in force once. When
/// a fleet starts, many records change at once, and the list of a service's upstreams grows with
/// the fleet.
fn update_records(
    state: &Rc<DaemonState>,
    records: impl IntoIterator<Item = (String, Option<HostRecord>)>,
) {
    let mut touched = BTreeSet::new();
    for (host, record) in records {
        update_record(state, &host, record, &mut touched);
    }
    let touched: Vec<String> = touched.into_iter().collect();
    document::put_services_in_force(state, &touched);
}

/// Updates a host's record, or removes it, and adds the services of its backend servers to
/// `touched`. A record that is earlier than the latest known record of the host is ignored.
fn update_record(
    state: &Rc<DaemonState>,
    host: &str,
    record: Option<HostRecord>,
    touched: &mut BTreeSet<String>,
) {
    let known = state.roster.record(host);
    if known == record {
        return;
    }
    if let Some(record) = &record {
        learn_departures(state, record);
        if state.roster.records.borrow().is_replaced(host, record) {
            return;
        }
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
        let replaced_hosts = state.roster.records.borrow().replaced_by(host, record);
        for replaced in replaced_hosts {
            fleet::HostReplaced { host: &replaced, by: host }.log();
            update_record(state, &replaced, None, touched);
            state.roster.replaced_hosts.borrow_mut().push(replaced);
        }
    }
    note_untold(state, host, known.as_ref(), record.as_ref());
    for each in known.iter().chain(&record) {
        touched.extend(each.services().map(str::to_owned));
    }
    log_record(host, record.as_ref());
    match &record {
        Some(record) => state.members.note_record(state, host, record),
        None => state.members.note_removed(host),
    }
    state.roster.records.borrow_mut().set(host, record);
}

/// Records which servers are leaving or have left by a record, however old the record is. A server
/// that leaves does not come back under its name, whatever its daemon publishes after a restart.
fn learn_departures(state: &DaemonState, record: &HostRecord) {
    for name in record.departures() {
        state.notices.note_leaving(name, state.now());
    }
}

/// Keeps the known record of a host that a later start replaces, for as long as the host's records
/// lack a departure that it lists, and sends it to the host's daemon.
fn note_untold(
    state: &DaemonState,
    host: &str,
    known: Option<&HostRecord>,
    record: Option<&HostRecord>,
) {
    let mut untold_records = state.roster.untold_records.borrow_mut();
    let Some(record) = record else { return drop(untold_records.remove(host)) };
    let is_told =
        |departed: &DepartedServers| record.departed.is_full() || record.departed.covers(departed);
    if untold_records.get(host).is_some_and(|untold| is_told(&untold.departed)) {
        untold_records.remove(host);
    }
    let replaced = known.filter(|known| known.incarnation < record.incarnation);
    let Some(replaced) = replaced.filter(|known| !is_told(&known.departed)) else { return };
    let mut untold = replaced.clone();
    if let Some(earlier) = untold_records.remove(host) {
        for name in earlier.departed.iter() {
            untold.departed.note_older(name);
        }
    }
    untold_records.insert(host.to_owned(), untold);
    drop(untold_records);
    for (sender, peer) in membership::links_to(state, host) {
        send_previous_records(state, &sender, &peer);
    }
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
    let mut later_records = Vec::new();
    for RelayedRecord { host, record } in relayed {
        suspects::apply_records(state, &host, &record.refused);
        if host == state.options.host {
            apply_own_record(state, &record);
            continue;
        }
        let known = state.roster.record(&host);
        if known.is_none_or(|known| known.sort_key() < record.sort_key()) {
            later_records.push((host, Some(record)));
        }
    }
    update_records(state, later_records);
}

/// Applies a record of this host that a peer holds: of an earlier incarnation of this daemon, or of
/// this one to confirm it.
fn apply_own_record(state: &Rc<DaemonState>, record: &HostRecord) {
    if record.incarnation == state.identity.incarnation {
        state.roster.note_confirmed(record);
    }
    recover_own_servers(state, record);
}

/// Sends a peer its own record back if this daemon holds it, or a later one.
pub fn confirm_record(state: &DaemonState, sender: &FrameSender, relayed: &RelayedRecord) {
    let RelayedRecord { host, record } = relayed;
    let held = state.roster.record(host).filter(|held| held.sort_key() >= record.sort_key());
    if let Some(record) = held {
        rows::send_relayed(sender, &RelayedRecord { host: host.clone(), record });
    }
}

/// Applies the whole table: adopts its rows, and removes the hosts that have no row in the table.
pub fn apply_table(state: &Rc<DaemonState>, page: &RowsPage) {
    // A store that was restored from a copy holds an earlier row of this daemon, with a lower
    // version than that of the last write.
    state.roster.own_version.set(0);
    apply_rows(state, &page.rows);
    let listed: BTreeSet<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
    let records = state.roster.records.borrow();
    let is_gone = |host: &&str| !listed.contains(host);
    let gone: Vec<String> =
        records.iter().map(|(host, _)| host).filter(is_gone).map(str::to_owned).collect();
    drop(records);
    let removals = gone.into_iter().filter_map(|host| record_of_removal(state, host));
    update_records(state, removals.collect::<Vec<_>>());
    state.roster.signal_change();
}

/// Applies rows, or their removals.
pub fn apply_rows(state: &Rc<DaemonState>, rows: &[StoredRow]) {
    let records: Vec<_> = rows.iter().filter_map(|row| record_of_row(state, row)).collect();
    update_records(state, records);
}

/// Reads a row. Returns the record with which to update its host, `None` if this daemon keeps the
/// known record. A row of this daemon's own is applied at once.
fn record_of_row(state: &Rc<DaemonState>, row: &StoredRow) -> Option<(String, Option<HostRecord>)> {
    let value = match &row.value {
        RowValue::Bytes(value) => value,
        RowValue::Gone => return record_of_removal(state, row.key.clone()),
        RowValue::Unreadable(_) => {
            note_unreadable(state, row);
            return None;
        }
    };
    let record = match records::read_record(&row.key, value) {
        Ok(record) => record,
        Err(error) => {
            fleet::HostUnreadable { host: &row.key, error: &error.to_string() }.log();
            note_unreadable(state, row);
            return None;
        }
    };
    suspects::apply_records(state, &row.key, &record.refused);
    if row.key != state.options.host {
        return Some((row.key.clone(), Some(record)));
    }
    // The row is outdated if the store has answered a later write of this daemon in the meantime.
    if row.version > state.roster.own_version.get() {
        state.roster.own_version.set(row.version);
        note_written(state, Some(record.clone()));
    }
    recover_own_servers(state, &record);
    if record.incarnation > state.identity.incarnation {
        let own = state.identity.incarnation;
        fleet::LaterStart { incarnation: record.incarnation, own }.log();
    }
    state.roster.signal_change();
    None
}

/// Handles a row that can't be read because a program other than a daemon wrote the row. The known
/// record of the host stays, since the daemon of that host will write the row again. If the row is
/// this daemon's own, a write is scheduled.
fn note_unreadable(state: &DaemonState, row: &StoredRow) {
    if row.key == state.options.host {
        state.roster.own_version.set(row.version);
        note_written(state, None);
        state.roster.signal_change();
    }
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

/// Returns the update that removes the record of a host, `None` if the host is this daemon's own.
fn record_of_removal(
    state: &Rc<DaemonState>,
    host: String,
) -> Option<(String, Option<HostRecord>)> {
    if host != state.options.host {
        return Some((host, None));
    }
    // Other daemons considered this daemon's host gone and removed its row, so the row is written
    // again.
    state.roster.own_version.set(0);
    note_written(state, None);
    state.roster.signal_change();
    None
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

/// Waits until the backend servers of this host may be used and one has registered or left, up to
/// [`FIRST_SERVER_TIMEOUT`] for the latter.
async fn await_first_server(state: &Rc<DaemonState>) {
    if state.options.registration.is_none() {
        return;
    }
    // The row of an earlier incarnation may be all that holds a departure.
    state.admission.opened().await;
    let registered = async {
        let mut seen = 0;
        while state.roster.own_servers.borrow().is_empty() && !state.roster.has_unwritten.get() {
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
    note_written(state, None);
    match state.platform.transact(vec![check], vec![write]).await {
        Ok(version) => {
            state.roster.own_version.set(version);
            note_written(state, Some(record.clone()));
            update_records(state, [(state.options.host.clone(), Some(record.clone()))]);
            Ok(())
        }
        // The store holds another row, for example the row of an earlier incarnation. This stored
        // row is recorded, and the next attempt replaces it.
        Err(StoreError::Conflict { rows }) => {
            for row in rows {
                state.roster.own_version.set(row.version);
                let stored_record = HostRecord::deserialize(&row.value).ok();
                note_written(state, stored_record.clone());
                // A write of an earlier incarnation may take effect late.
                if let Some(record) = &stored_record {
                    recover_own_servers(state, record);
                }
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
        Ok(None) => return update_records(state, [(host.to_owned(), None)]),
        Err(_) => return,
    };
    let check = RowCheck { key: key.clone(), version: row.version };
    let write = RowWrite { key, value: None };
    match state.platform.transact(vec![check], vec![write]).await {
        Ok(_) => fleet::HostRemoved { host }.log(),
        Err(error) => fleet::HostStays { host, error: &error.to_string() }.log(),
    }
}
