// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Distributes the rows of the hosts to every daemon.
//!
//! Each change of a row completes every call that waits for changes at the store. If all daemons
//! waited at the store, the calls would grow with the square of the number of daemons. Therefore
//! two daemons of each failure domain, the readers, follow the feed and relay its changes. The
//! other daemons subscribe to the readers and renew the subscription each second. A daemon that
//! receives nothing from any reader for a while reads the store itself. All daemons of a failure
//! domain choose the same two readers by rendezvous hashing over the members they know. If two
//! daemons choose different readers for a moment, the only cost is additional calls.
//!
//! A reader sends one part of the changes at a time, and the subscriber asks for the next. What a
//! reader queues for its subscribers is therefore bounded by the size of a part, whatever the size
//! of the table. Only the first reader sends changes as they arrive. The second reader answers
//! requests, so that most changes are sent to a daemon once.
//!
//! In a large fleet, the readers relay the configuration as well: they report the revision in force
//! to their subscribers, and a subscriber pulls a later document from the reader. A subscriber names
//! its own revision with each request, so that a lost report is repeated within a second.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::mem;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::units;
use basaltarch_decide::limits;
use basaltarch_events::fleet;
use basaltarch_fleet::row_log::{RowLog, RowState};
use basaltarch_peer::errors::LinkError;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote, RowNote, RowsNews, RowsRequest};
use basaltarch_peer::row_list;
use basaltarch_platform::rows::{RowValue, RowsPage, StoredRow};
use basaltarch_store::platform::FEED_WAIT;

use crate::feed::{FeedPlan, FeedReader, FeedUpdate};
use crate::links;
use crate::membership;
use crate::records::{self, RelayedRecord};
use crate::roster::{self, FAILED_CALL_PAUSE_MAX, HOSTS_TABLE};
use crate::state::DaemonState;

/// How the feed of the table of hosts is followed. Changes in quick succession, as when a fleet
/// starts, are read in one call. The pause before that call delays no request: a daemon refuses
/// requests that the backend server on its own host must not get.
const HOSTS_FEED_PLAN: FeedPlan = FeedPlan {
    table: HOSTS_TABLE,
    batch_pause: Duration::from_millis(700),
    failure_pause_max: FAILED_CALL_PAUSE_MAX,
    // Two daemons read the store for all daemons of a failure domain. The calls of the two must
    // therefore end soon on a black-holed connection.
    wait_max: FEED_WAIT,
};
/// Number of daemons that may wait at the store for a change of the configuration. In a larger
/// fleet, a change would complete the calls of all daemons and move the document out of the store
/// once for each, so only the readers wait and relay the configuration as well.
const DIRECT_FOLLOWERS_MAX: usize = 256;
/// Number of daemons of a failure domain that follow the feed. There are two because a daemon may
/// be unreachable for a while before the other daemons detect this.
const READERS_PER_DOMAIN: usize = 2;
/// The key of the rendezvous hashing by which the readers are chosen.
const READERS_KEY: &str = "rows of hosts";
/// Time between two requests for changes to a reader. Each request renews the subscription.
const SUBSCRIPTION_RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a message after which a reader is avoided, and after which a daemon that has
/// received nothing from any reader reads the store. The time allows for two lost requests. It is
/// not longer because a new backend server should get requests within four seconds.
const READER_UNRESPONSIVE_AFTER: Duration = Duration::from_millis(2500);
/// Pause after the first read of a table without another host. When a fleet starts for the first
/// time, most rows are written within this time, and a daemon that knows no other host takes itself
/// for a reader.
const FIRST_ROWS_PAUSE: Duration = Duration::from_millis(1500);
/// Time for which an unresponsive reader is not chosen. Later, the reader may have recovered.
const READER_AVOID_TIME: Duration = Duration::from_secs(20);
/// Number of bytes of rows from which a message holds no further row. A small host sends a message
/// of this size to each daemon of a large failure domain within a few seconds.
const PART_BYTES: usize = 32 * units::KIB;
/// Maximum number of packed parts that are kept for other subscribers with the same version: more
/// than the parts of the whole table of a large fleet.
const PACKED_PARTS_MAX: usize = 64;
/// Number of bytes queued for a subscriber from which no change is sent to it as it arrives. The
/// subscriber asks for the changes with its next request.
const SUBSCRIBER_QUEUE_MAX: u64 = 64 * 1024;
/// Version of a message that carries a relayed record. A daemon sends a relayed record directly to
/// its peers, bypassing the store. All versions of the table are higher than this number.
const RELAYED_VERSION: i64 = 0;
/// Time for which a reader sends changes to another daemon after that daemon's last request.
const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3500);

/// `RowsRelay` is this daemon's part in reading the rows of the hosts and relaying their changes.
#[derive(Default)]
pub struct RowsRelay {
    /// Version of the table of hosts up to which this daemon has applied the changes.
    version: Cell<u64>,
    /// Whether the store answered this daemon's last call for the rows.
    is_reading: Cell<bool>,
    /// When a reader last sent changes.
    changes_received_at: Cell<Option<Duration>>,
    /// When this daemon first read the whole table.
    first_read_at: Cell<Option<Duration>>,
    /// Raised when this daemon missed changes that a reader no longer holds. This daemon must then
    /// read the whole table.
    changes_missed: RisingSignal,
    /// Raised when the pending call to the store may be on a black-holed connection.
    stale_call: RisingSignal,
    /// Every row with the version of its last change, to be sent to daemons with an earlier version
    /// of the table.
    log: RefCell<RowLog>,
    /// Packed parts of the changes up to the current version, by the version that they follow.
    packed_parts: RefCell<BTreeMap<u64, RowsNews>>,
    readers: RefCell<Vec<RowsReader>>,
    subscribers: RefCell<Vec<RowsSubscriber>>,
}

/// `RowsReader` is a daemon that changes were requested from.
struct RowsReader {
    host: String,
    /// When the reader last sent changes, or was first asked for changes.
    last_message_at: Duration,
    /// Time until which the reader is not chosen because it was unresponsive.
    avoided_until: Duration,
    /// Whether the reader sends this daemon changes only in answer to a request.
    on_request_only: bool,
}

/// `RowsSubscriber` is a daemon that changes are sent to.
struct RowsSubscriber {
    host: String,
    sender: FrameSender,
    takes_packed: bool,
    on_request_only: bool,
    expires_at: Duration,
}

impl RowsRelay {
    /// Says whether rows of hosts were read, by this daemon or by a reader.
    pub fn has_read_rows(&self) -> bool {
        self.version.get() > 0
    }

    /// Says whether the whole table was read, even if it was empty and the store had never been
    /// written to.
    pub fn has_read_table(&self) -> bool {
        self.first_read_at.get().is_some() || self.has_read_rows()
    }

    /// Says whether a reader has sent changes recently.
    fn has_recent_changes(&self, now: Duration) -> bool {
        self.changes_received_at
            .get()
            .is_some_and(|at| now.saturating_sub(at) <= READER_UNRESPONSIVE_AFTER)
    }

    /// Says whether this daemon has read the whole table for the first time a moment ago, so that
    /// no reader can have sent changes yet.
    fn has_just_started(&self, now: Duration) -> bool {
        self.first_read_at
            .get()
            .is_some_and(|at| now.saturating_sub(at) <= READER_UNRESPONSIVE_AFTER)
    }

    fn is_avoided(&self, host: &str, now: Duration) -> bool {
        let readers = self.readers.borrow();
        readers.iter().any(|reader| reader.host == host && reader.avoided_until > now)
    }

    /// Records that a reader is asked for changes, and avoids a reader that has been unresponsive
    /// for longer than [`READER_UNRESPONSIVE_AFTER`].
    fn note_request(&self, host: &str, on_request_only: bool, now: Duration) {
        let mut readers = self.readers.borrow_mut();
        let mut known = readers.iter_mut().find(|reader| reader.host == host);
        if let Some(reader) = &mut known {
            reader.on_request_only = on_request_only;
        }
        match known {
            None => {
                let host = host.to_owned();
                readers.push(RowsReader {
                    host,
                    last_message_at: now,
                    avoided_until: Duration::ZERO,
                    on_request_only,
                });
            }
            Some(reader) if reader.avoided_until > Duration::ZERO => {
                reader.avoided_until = Duration::ZERO;
                reader.last_message_at = now;
            }
            Some(reader)
                if now.saturating_sub(reader.last_message_at) > READER_UNRESPONSIVE_AFTER =>
            {
                reader.avoided_until = now + READER_AVOID_TIME;
            }
            Some(_) => {}
        }
    }

    /// Says whether this daemon asks a reader to send changes only in answer to a request.
    fn wants_on_request_only(&self, host: &str) -> bool {
        let readers = self.readers.borrow();
        readers.iter().any(|reader| reader.host == host && reader.on_request_only)
    }

    /// Records that a daemon sent changes. Says whether the sender is a reader that this daemon
    /// asked for changes.
    fn note_sender(&self, host: &str, now: Duration) -> bool {
        let mut readers = self.readers.borrow_mut();
        let reader = readers.iter_mut().find(|reader| reader.host == host);
        if let Some(reader) = reader {
            reader.last_message_at = now;
            reader.avoided_until = Duration::ZERO;
            self.changes_received_at.set(Some(now));
            return true;
        }
        false
    }

    /// Stores rows, and sets the version up to which this daemon has applied all changes.
    fn store_rows(&self, rows: &[StoredRow], version: u64) {
        let mut log = self.log.borrow_mut();
        rows.iter().filter_map(row_state).for_each(|row| log.put(row));
        self.set_version(version);
    }

    /// Stores the whole table. A stored row that is missing from the table is recorded as removed
    /// at the version of the table.
    fn store_table(&self, page: &RowsPage) {
        let listed: HashSet<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
        self.log.borrow_mut().remove_unlisted(&listed, page.version);
        self.store_rows(&page.rows, page.version);
    }

    fn set_version(&self, version: u64) {
        self.version.set(version);
        self.packed_parts.borrow_mut().clear();
    }

    /// Returns the first changes after the version `after` of the table.
    fn news_after(&self, after: u64) -> RowsNews {
        let version = self.version.get();
        let log = self.log.borrow();
        if log.has_forgotten(after) {
            let rows = Vec::new();
            return build_news(after.min(version), version, rows, true);
        }
        let part = log.part_after(after, PART_BYTES);
        let rows = part.rows.into_iter().map(row_note).collect();
        let up_to = part.up_to.unwrap_or(version);
        let news = build_news(after.min(version), up_to, rows, false);
        RowsNews { more: part.up_to.map(|_| true), ..news }
    }

    /// Returns the first changes after the version `after` of the table, in packed form. A part is
    /// packed once for all subscribers with the same version.
    fn packed_news_after(&self, after: u64) -> RowsNews {
        if let Some(news) = self.packed_parts.borrow().get(&after) {
            return news.clone();
        }
        let mut news = self.news_after(after);
        if news.rows.is_empty() {
            return news;
        }
        match row_list::pack(mem::take(&mut news.rows)) {
            Ok(packed) => news.packed = Some(packed),
            // Rows that can't be packed are sent as they are.
            Err(_) => return self.news_after(after),
        }
        let mut parts = self.packed_parts.borrow_mut();
        if parts.len() >= PACKED_PARTS_MAX {
            parts.clear();
        }
        parts.insert(after, news.clone());
        news
    }

    /// Sends the first changes after the version `after` to a subscriber.
    fn send_news(&self, subscriber: &RowsSubscriber, after: u64) -> Result<u64, LinkError> {
        let news = match subscriber.takes_packed {
            true => self.packed_news_after(after),
            false => self.news_after(after),
        };
        subscriber.sender.send(NO_EXCHANGE, FrameBody::RowsNews(news))
    }

    /// Sends the changes after the version `after` to the subscribers that take changes as they
    /// arrive.
    fn forward_changes(&self, after: u64, now: Duration) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|subscriber| {
            let is_behind = subscriber.sender.bytes_waiting() > SUBSCRIBER_QUEUE_MAX;
            // A subscriber that can't be sent to is dropped: a daemon that still runs subscribes
            // again over its new link.
            subscriber.expires_at > now
                && (subscriber.on_request_only
                    || is_behind
                    || self.send_news(subscriber, after).is_ok())
        });
    }
}

/// Returns the daemons of this daemon's failure domain that should read the rows from the store.
pub fn readers(state: &DaemonState) -> Vec<String> {
    let now = state.now();
    let mut local_hosts = state.members.live_in_domain(state);
    local_hosts.retain(|host| !state.rows.is_avoided(host, now));
    let mut readers = Vec::new();
    while readers.len() < READERS_PER_DOMAIN {
        let next_reader = limits::owner_of(READERS_KEY, local_hosts.iter().map(String::as_str));
        let next_reader = match next_reader {
            Some(host) => host.to_owned(),
            None => break,
        };
        local_hosts.retain(|host| *host != next_reader);
        readers.push(next_reader);
    }
    readers
}

/// Says whether a reader relays the configuration to this daemon, so that this daemon need not read
/// it from the store.
pub fn is_relayed(state: &DaemonState) -> bool {
    state.members.count() > DIRECT_FOLLOWERS_MAX
        && state.rows.has_recent_changes(state.now())
        && !readers(state).contains(&state.options.host)
}

/// Reports the revision in force and the evacuations to the subscribers, which pull what they lack.
pub fn announce_configuration(state: &DaemonState) {
    let subscribers = state.rows.subscribers.borrow();
    if subscribers.is_empty() {
        return;
    }
    let note = configuration_note(state);
    for subscriber in subscribers.iter().filter(|subscriber| subscriber.takes_packed) {
        // A send error is ignored: a subscriber whose link ended renews its subscription.
        let _ = subscriber.sender.send(NO_EXCHANGE, FrameBody::Heartbeat(note.clone()));
    }
}

/// Builds a heartbeat that reports the configuration in force and asks for no reply.
fn configuration_note(state: &DaemonState) -> HeartbeatNote {
    let request = membership::heartbeat_request(state, vec![membership::own_entry(state)]);
    HeartbeatNote { reply: true, asked_ms: None, ..request }
}

/// Makes the pending call for the rows be abandoned and made anew.
pub fn renew_call(state: &DaemonState) {
    state.rows.stale_call.raise();
}

/// Keeps the rows up to date for ever, with changes from the store or from the readers.
pub async fn follow(state: Rc<DaemonState>) {
    let mut reader = FeedReader::new(HOSTS_FEED_PLAN);
    loop {
        let is_reader = readers(&state).contains(&state.options.host);
        let now = state.now();
        let is_informed = state.rows.has_recent_changes(now) || state.rows.has_just_started(now);
        if state.rows.has_read_rows() && !is_reader && is_informed {
            state.rows.is_reading.set(false);
            await_changes(&state, &mut reader).await;
        } else {
            read_store(&state, &mut reader).await;
        }
    }
}

/// Reads the store once, and relays the changes that the store returns.
async fn read_store(state: &Rc<DaemonState>, reader: &mut FeedReader) {
    if state.rows.has_read_rows() && !state.rows.is_reading.get() {
        reader.skip_to(state.rows.version.get());
    }
    metrics::ROWS_CALLS.add_one();
    let stale_call = &state.rows.stale_call;
    let Some(news) = reader.next_unless_stale(state, stale_call).await else { return };
    match news {
        FeedUpdate::Whole(page) => {
            state.rows.is_reading.set(true);
            adopt_table(state, &page);
            let is_first = state.rows.first_read_at.get().is_none();
            if is_first {
                state.rows.first_read_at.set(Some(state.now()));
                state.admission.note_rows_read();
            }
            if is_first && state.members.is_empty() {
                monoio::time::sleep(FIRST_ROWS_PAUSE).await;
            }
        }
        FeedUpdate::Changes(page) => {
            state.rows.is_reading.set(true);
            let before = state.rows.version.get();
            roster::apply_rows(state, &page.rows);
            state.rows.store_rows(&page.rows, before.max(page.version));
            if !page.rows.is_empty() {
                state.rows.forward_changes(before, state.now());
                reader.pause_after_changes().await;
            }
        }
        FeedUpdate::Failed => state.rows.is_reading.set(false),
    }
}

fn adopt_table(state: &Rc<DaemonState>, page: &RowsPage) {
    roster::apply_table(state, page);
    state.rows.store_table(page);
}

/// Waits for up to [`SUBSCRIPTION_RENEW_INTERVAL`], and reads the whole table if relayed changes
/// were missed.
async fn await_changes(state: &Rc<DaemonState>, reader: &mut FeedReader) {
    let seen = state.rows.changes_missed.get();
    let waiting = state.rows.changes_missed.above(seen);
    if monoio::time::timeout(SUBSCRIPTION_RENEW_INTERVAL, waiting).await.is_err() {
        return;
    }
    metrics::ROWS_CALLS.add_one();
    // If the store does not answer, the next message of a reader raises `changes_missed` again.
    if let Ok(FeedUpdate::Whole(page)) = reader.read_whole(state).await {
        adopt_table(state, &page);
    }
}

/// Asks the readers of this daemon's failure domain for changes, for ever. The first reader also
/// sends changes as they arrive. If this daemon is itself a reader and gets no answer from the
/// store, it asks the other reader.
pub async fn renew_subscriptions(state: Rc<DaemonState>) {
    loop {
        monoio::time::sleep(SUBSCRIPTION_RENEW_INTERVAL).await;
        let mut readers = readers(&state);
        let is_reader = readers.contains(&state.options.host);
        if is_reader && state.rows.is_reading.get() || state.stop.is_handing_over() {
            continue;
        }
        readers.retain(|host| *host != state.options.host);
        for (index, host) in readers.iter().enumerate() {
            let on_request_only = index > 0;
            state.rows.note_request(host, on_request_only, state.now());
            subscribe(&state, host);
        }
    }
}

/// Sends a reader a request for changes. If no link can be established, the reader counts as
/// unresponsive after a while.
fn subscribe(state: &Rc<DaemonState>, host: &str) {
    let path = state.peers.path(host);
    let on_request_only = state.rows.wants_on_request_only(host);
    let state = state.clone();
    monoio::spawn(async move {
        let build_request = |state: &DaemonState| {
            let evacuation = state.evacuations.version();
            FrameBody::RowsRequest(RowsRequest {
                version: state.rows.version.get() as i64,
                takes_packed: Some(true),
                on_request_only: Some(on_request_only),
                revision: Some(state.config.revision().0 as i64),
                evacuation: Some(evacuation.version as i64),
                evacuation_era: Some(evacuation.era as i64),
            })
        };
        links::send_request(&state, &path, build_request).await;
    });
}

/// Answers a request with the changes after the requester's version, and adds the requester to the
/// subscribers, if this daemon reads the store.
pub fn answer_request(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    request: &RowsRequest,
) {
    if !state.rows.is_reading.get() || state.stop.is_handing_over() {
        return;
    }
    let subscriber = RowsSubscriber {
        host: peer.host.clone(),
        sender: sender.clone(),
        takes_packed: request.takes_packed == Some(true),
        on_request_only: request.on_request_only == Some(true),
        expires_at: state.now() + SUBSCRIPTION_TTL,
    };
    if has_older_revision(state, request) || has_older_evacuation(state, request) {
        let _ = sender.send(NO_EXCHANGE, FrameBody::Heartbeat(configuration_note(state)));
    }
    // A send error is ignored: a peer whose link has ended needs no answer.
    let _ = state.rows.send_news(&subscriber, request.version.max(0) as u64);
    let mut subscribers = state.rows.subscribers.borrow_mut();
    subscribers.retain(|known| known.host != peer.host);
    subscribers.push(subscriber);
}

fn has_older_revision(state: &DaemonState, request: &RowsRequest) -> bool {
    request.revision.is_some_and(|known| known < state.config.revision().0 as i64)
}

fn has_older_evacuation(state: &DaemonState, request: &RowsRequest) -> bool {
    let era = request.evacuation_era.map(|era| era.max(0) as u64);
    request.evacuation.is_some_and(|version| {
        let known = state.evacuations.version_in(era, version.max(0) as u64);
        known < state.evacuations.version()
    })
}

/// Applies changes that a peer sent, unless this daemon has applied the same changes already or
/// lacks earlier changes. Asks the peer for the next changes if more follow.
pub fn handle_news(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    news: RowsNews,
) {
    if news.version == RELAYED_VERSION && !news.rows.is_empty() {
        return handle_relayed(state, sender, peer, &news.rows);
    }
    if !state.rows.note_sender(&peer.host, state.now()) {
        return;
    }
    let known = state.rows.version.get();
    let (after, version) = (news.after.max(0) as u64, news.version.max(0) as u64);
    if version <= known {
        return;
    }
    if news.forgotten {
        return state.rows.changes_missed.raise();
    }
    if after > known {
        return subscribe(state, &peer.host);
    }
    let has_more = news.more == Some(true);
    let rows = match news.packed {
        None => news.rows,
        Some(packed) => match row_list::unpack(&packed) {
            Ok(rows) => rows,
            Err(error) => {
                let (host, error) = (&*peer.host, &error.to_string());
                return fleet::HostUnreadable { host, error }.log();
            }
        },
    };
    let rows: Vec<StoredRow> = rows.into_iter().map(stored_row).collect();
    roster::apply_rows(state, &rows);
    state.rows.store_rows(&rows, version);
    if has_more {
        subscribe(state, &peer.host);
    }
}

/// Applies records that a peer relayed, and confirms the peer's own.
fn handle_relayed(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    rows: &[RowNote],
) {
    let relayed: Vec<_> = rows.iter().filter_map(|note| relayed_record(peer, note)).collect();
    let own_record = relayed.iter().find(|relayed| relayed.host == peer.host).cloned();
    roster::apply_relayed(state, relayed);
    if let Some(relayed) = own_record {
        roster::confirm_record(state, sender, &relayed);
    }
}

/// Sends a peer a host's record directly, bypassing the store. A daemon of a release without
/// relayed records ignores the message, as the message's version is lower than any version of the
/// table.
pub fn send_relayed(sender: &FrameSender, relayed: &RelayedRecord) {
    // The record holds texts and numbers only, so that its serialization can't fail.
    let value = serde_json::to_vec(&relayed.record).ok();
    let row = RowNote { key: relayed.host.clone(), value, version: RELAYED_VERSION };
    let version = RELAYED_VERSION as u64;
    let news = build_news(version, version, vec![row], false);
    // A send error is ignored: a peer whose link has ended reads the store later, or gets the
    // record from other daemons.
    let _ = sender.send(NO_EXCHANGE, FrameBody::RowsNews(news));
}

fn relayed_record(peer: &PeerIdentity, note: &RowNote) -> Option<RelayedRecord> {
    match records::read_record(&note.key, note.value.as_deref()?) {
        Ok(record) => Some(RelayedRecord { host: note.key.clone(), record }),
        Err(error) => {
            let (host, error) = (&*peer.host, &error.to_string());
            fleet::HostUnreadable { host, error }.log();
            None
        }
    }
}

fn build_news(after: u64, version: u64, rows: Vec<RowNote>, forgotten: bool) -> RowsNews {
    let (after, version) = (after as i64, version as i64);
    RowsNews { after, version, rows, forgotten, packed: None, more: None }
}

/// Returns the state of a row for the log, `None` if the row can't be read.
fn row_state(row: &StoredRow) -> Option<RowState> {
    let value = match &row.value {
        RowValue::Bytes(bytes) => Some(Rc::from(bytes.as_slice())),
        RowValue::Gone => None,
        RowValue::Unreadable(_) => return None,
    };
    Some(RowState { key: Rc::from(row.key.as_str()), value, version: row.version })
}

fn row_note(row: &RowState) -> RowNote {
    let value = row.value.as_ref().map(|value| value.to_vec());
    RowNote { key: row.key.to_string(), value, version: row.version as i64 }
}

fn stored_row(note: RowNote) -> StoredRow {
    StoredRow {
        table: HOSTS_TABLE.to_owned(),
        part: String::new(),
        key: note.key,
        value: note.value.map_or(RowValue::Gone, RowValue::Bytes),
        version: note.version.max(0) as u64,
    }
}
