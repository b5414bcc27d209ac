// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How the rows of hosts reach every daemon.
//!
//! Each change of a row wakes whoever waits for one, so that with each daemon waiting at the store its
//! calls grow with the square of the fleet. Two daemons of each failure domain follow the feed and pass
//! on what it brings; the others ask them for it, again each second. A daemon that hears nothing for a
//! while reads the store itself. All find the same two by rendezvous hashing over the members they
//! know; that two differ for a moment costs calls only.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_decide::limits;
use basaltarch_events::fleet;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, RowNote, RowsNews, RowsRequest};
use basaltarch_platform::rows::{RowValue, RowsPage, StoredRow};
use basaltarch_store::platform::FEED_WAIT;

use crate::feed::{FeedNews, FeedPlan, FeedReader};
use crate::links;
use crate::roster::{self, ToldRecord, FAILURE_PAUSE_MAX, HOSTS_TABLE};
use crate::state::DaemonState;

/// How the feed is followed. What changes at the same time, as when a fleet starts, is read in one
/// call: nobody waits for it, since a host refuses what its server must not get.
const FEED: FeedPlan = FeedPlan {
    table: HOSTS_TABLE,
    between: Duration::from_millis(700),
    failure_max: FAILURE_PAUSE_MAX,
    // Two daemons of a failure domain read for all others, so that a call of theirs which fell silent ends soon.
    wait_max: FEED_WAIT,
};
/// Daemons of a failure domain that follow the feed: one may be cut off without being known to be.
const READERS: usize = 2;
/// What their hosts are chosen by.
const READERS_KEY: &str = "rows of hosts";
/// Time between requests for news.
const RENEW_EVERY: Duration = Duration::from_secs(1);
/// Silence after which a reader is left, and after which a daemon without any reads the store: two
/// requests may be lost, and a new backend server should get work within four seconds.
const SILENCE_MAX: Duration = Duration::from_millis(2500);
/// Time for which a reader that was silent is not chosen again: after it, it may have come back.
const LEFT_FOR: Duration = Duration::from_secs(20);
/// Rows that were removed which are remembered: as many as hosts that go in an hour of a large fleet.
const REMOVED_MAX: usize = 512;
/// Version of news that a daemon tells past the store; the table's versions begin above it.
const TOLD_VERSION: i64 = 0;
/// Time for which news is passed on after a request.
const SUBSCRIBED_FOR: Duration = Duration::from_millis(3500);

/// `RowsShare` is this daemon's part in reading the rows and passing them on.
#[derive(Default)]
pub struct RowsShare {
    /// Version of the table that is known here.
    version: Cell<u64>,
    /// Whether the store answered this daemon's last call for the rows.
    is_reading: Cell<bool>,
    /// When a reader was last heard of.
    news_at: Cell<Option<Duration>>,
    /// Raised when changes did not come here that no reader knows any more.
    gap: RisingSignal,
    /// Every row with the version at which it last changed, for daemons that are behind.
    notes: RefCell<BTreeMap<String, RowNote>>,
    /// Version up to which rows that were removed are forgotten.
    forgotten_to: Cell<i64>,
    readers: RefCell<Vec<RowsReader>>,
    subscribers: RefCell<Vec<RowsSubscriber>>,
}

/// `RowsReader` is a daemon that was asked for news.
struct RowsReader {
    host: String,
    /// When it was last heard of, or first asked.
    heard_at: Duration,
    /// Until when it is not asked, as it was silent.
    left_until: Duration,
}

/// `RowsSubscriber` is a daemon that news is passed on to.
struct RowsSubscriber {
    host: String,
    sender: FrameSender,
    until: Duration,
}

impl RowsShare {
    /// Says whether the rows of all hosts were read, here or by those who pass them on.
    pub fn is_known(&self) -> bool {
        self.version.get() > 0
    }

    /// Says whether a reader was heard of lately.
    fn hears_news(&self, now: Duration) -> bool {
        self.news_at.get().is_some_and(|at| now.saturating_sub(at) <= SILENCE_MAX)
    }

    fn is_left(&self, host: &str, now: Duration) -> bool {
        let readers = self.readers.borrow();
        readers.iter().any(|reader| reader.host == host && reader.left_until > now)
    }

    /// Takes in that a daemon is asked; says whether it has been silent for too long.
    fn note_asked(&self, host: &str, now: Duration) {
        let mut readers = self.readers.borrow_mut();
        match readers.iter_mut().find(|reader| reader.host == host) {
            None => {
                let host = host.to_owned();
                readers.push(RowsReader { host, heard_at: now, left_until: Duration::ZERO });
            }
            Some(reader) if reader.left_until > Duration::ZERO => {
                reader.left_until = Duration::ZERO;
                reader.heard_at = now;
            }
            Some(reader) if now.saturating_sub(reader.heard_at) > SILENCE_MAX => {
                reader.left_until = now + LEFT_FOR;
            }
            Some(_) => {}
        }
    }

    /// Takes in that a daemon was heard of; says whether it is one that was asked.
    fn note_heard(&self, host: &str, now: Duration) -> bool {
        let mut readers = self.readers.borrow_mut();
        let reader = readers.iter_mut().find(|reader| reader.host == host);
        if let Some(reader) = reader {
            reader.heard_at = now;
            reader.left_until = Duration::ZERO;
            self.news_at.set(Some(now));
            return true;
        }
        false
    }

    /// Keeps a row as it is now; one that was removed is remembered as such for a while.
    fn keep(&self, note: RowNote) {
        let mut notes = self.notes.borrow_mut();
        notes.insert(note.key.clone(), note);
        let removed = notes.values().filter(|note| note.value.is_none());
        if removed.clone().count() <= REMOVED_MAX {
            return;
        }
        let oldest = removed.min_by_key(|note| note.version).cloned();
        if let Some(oldest) = oldest {
            notes.remove(&oldest.key);
            self.forgotten_to.set(oldest.version.max(self.forgotten_to.get()));
        }
    }

    /// Keeps the whole table as of a version: what it lacks was removed by then.
    fn keep_whole(&self, page: &RowsPage) {
        let version = page.version as i64;
        let lacks = |note: &&RowNote| {
            note.value.is_some() && !page.rows.iter().any(|row| row.key == note.key)
        };
        let gone: Vec<RowNote> = self.notes.borrow().values().filter(lacks).cloned().collect();
        gone.into_iter().for_each(|note| self.keep(RowNote { value: None, version, ..note }));
        page.rows.iter().filter_map(row_note).for_each(|note| self.keep(note));
    }

    /// Returns what changed after a version.
    fn news_after(&self, after: i64) -> RowsNews {
        let version = self.version.get() as i64;
        let forgotten = after > 0 && after < self.forgotten_to.get();
        let notes = self.notes.borrow();
        let rows = notes.values().filter(|note| note.version > after && !forgotten);
        RowsNews { after: after.min(version), version, rows: rows.cloned().collect(), forgotten }
    }

    /// Sends news to all who asked for it lately.
    fn pass_on(&self, news: &RowsNews, now: Duration) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.retain(|subscriber| {
            let sending = || subscriber.sender.send(NO_EXCHANGE, FrameBody::RowsNews(news.clone()));
            // Who is gone, or links anew, asks again.
            subscriber.until > now && sending().is_ok()
        });
    }
}

/// Returns the daemons of the own failure domain that should read the rows from the store.
pub fn readers(state: &DaemonState) -> Vec<String> {
    let now = state.now();
    let mut near = state.members.live_near(state);
    near.retain(|host| !state.rows.is_left(host, now));
    let mut readers = Vec::new();
    while readers.len() < READERS {
        let next = limits::owner_of(READERS_KEY, near.iter().map(String::as_str));
        let next = match next {
            Some(host) => host.to_owned(),
            None => break,
        };
        near.retain(|host| *host != next);
        readers.push(next);
    }
    readers
}

/// Keeps the rows up to date for ever: from the store, or from those who read it.
pub async fn follow(state: Rc<DaemonState>) {
    let mut reader = FeedReader::new(FEED);
    loop {
        let is_reader = readers(&state).contains(&state.options.host);
        if state.rows.is_known() && !is_reader && state.rows.hears_news(state.now()) {
            state.rows.is_reading.set(false);
            wait_news(&state, &mut reader).await;
        } else {
            read_store(&state, &mut reader).await;
        }
    }
}

/// Reads the store once and passes on what it brings.
async fn read_store(state: &Rc<DaemonState>, reader: &mut FeedReader) {
    if state.rows.is_known() && !state.rows.is_reading.get() {
        reader.skip_to(state.rows.version.get());
    }
    metrics::ROWS_CALLS.add_one();
    match reader.next(state).await {
        FeedNews::Whole(page) => {
            state.rows.is_reading.set(true);
            take_whole(state, &page);
        }
        FeedNews::Changes(page) => {
            state.rows.is_reading.set(true);
            let news = news_of(state.rows.version.get(), &page);
            for row in &page.rows {
                roster::take_row(state, row);
                if let Some(note) = row_note(row) {
                    state.rows.keep(note);
                }
            }
            state.rows.version.set(state.rows.version.get().max(page.version));
            state.rows.pass_on(&news, state.now());
            if !page.rows.is_empty() {
                reader.rest().await;
            }
        }
        FeedNews::Nothing => state.rows.is_reading.set(false),
    }
}

fn take_whole(state: &Rc<DaemonState>, page: &RowsPage) {
    roster::take_table(state, page);
    state.rows.keep_whole(page);
    state.rows.version.set(page.version);
}

/// Waits a while for news; reads the whole table if some did not come here.
async fn wait_news(state: &Rc<DaemonState>, reader: &mut FeedReader) {
    let seen = state.rows.gap.get();
    let waiting = state.rows.gap.above(seen);
    if monoio::time::timeout(RENEW_EVERY, waiting).await.is_err() {
        return;
    }
    metrics::ROWS_CALLS.add_one();
    // If the store does not answer, the next news shows the same gap.
    if let Ok(FeedNews::Whole(page)) = reader.read_whole(state).await {
        take_whole(state, &page);
    }
}

/// Asks the readers of the own failure domain for news, for ever. A reader that the store does not
/// answer asks the other one.
pub async fn renew(state: Rc<DaemonState>) {
    loop {
        monoio::time::sleep(RENEW_EVERY).await;
        let mut readers = readers(&state);
        let is_reader = readers.contains(&state.options.host);
        if is_reader && state.rows.is_reading.get() || state.stop.is_handing_over() {
            continue;
        }
        readers.retain(|host| *host != state.options.host);
        for host in readers {
            state.rows.note_asked(&host, state.now());
            ask(&state, &host);
        }
    }
}

/// Sends a request for news; a link that can't be made shows as silence.
fn ask(state: &Rc<DaemonState>, host: &str) {
    let path = state.peers.path(host);
    let state = state.clone();
    monoio::spawn(async move {
        path.note_used(state.now());
        if let Ok(link) = links::link_to(&state, &path).await {
            let request = RowsRequest { version: state.rows.version.get() as i64 };
            let _ = link.sender().send(NO_EXCHANGE, FrameBody::RowsRequest(request));
        }
    });
}

/// Answers a request for news with what changed since, if this daemon reads the store.
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
        until: state.now() + SUBSCRIBED_FOR,
    };
    let mut subscribers = state.rows.subscribers.borrow_mut();
    subscribers.retain(|known| known.host != peer.host);
    subscribers.push(subscriber);
    let news = state.rows.news_after(request.version);
    // Who is gone needs no answer.
    let _ = sender.send(NO_EXCHANGE, FrameBody::RowsNews(news));
}

/// Takes news in, unless it is older than what is known or something before it is missing.
pub fn take_news(state: &Rc<DaemonState>, peer: &PeerIdentity, news: RowsNews) {
    if news.version == TOLD_VERSION && !news.rows.is_empty() {
        let told = news.rows.iter().filter_map(|note| told_record(peer, note));
        return roster::take_told(state, told.collect());
    }
    if !state.rows.note_heard(&peer.host, state.now()) {
        return;
    }
    let known = state.rows.version.get() as i64;
    if news.version <= known {
        return;
    }
    if news.forgotten {
        return state.rows.gap.raise();
    }
    if news.after > known {
        return ask(state, &peer.host);
    }
    for note in news.rows {
        roster::take_row(state, &stored_row(&note));
        state.rows.keep(note);
    }
    state.rows.version.set(news.version as u64);
}

/// Tells a peer a host's record past the store. A daemon that doesn't know of this passes it over, as
/// older than all it knows.
pub fn send_told(sender: &FrameSender, told: &ToldRecord) {
    // Texts and numbers only; there is nothing that could not be written.
    let value = serde_json::to_vec(&told.record).ok();
    let row = RowNote { key: told.host.clone(), value, version: TOLD_VERSION };
    let news =
        RowsNews { after: TOLD_VERSION, version: TOLD_VERSION, rows: vec![row], forgotten: false };
    // Who is gone reads the store, or is told by others.
    let _ = sender.send(NO_EXCHANGE, FrameBody::RowsNews(news));
}

fn told_record(peer: &PeerIdentity, note: &RowNote) -> Option<ToldRecord> {
    match roster::read_record(&note.key, note.value.as_deref()?) {
        Ok(record) => Some(ToldRecord { host: note.key.clone(), record }),
        Err(error) => {
            let (host, error) = (&*peer.host, &error.to_string());
            fleet::HostUnreadable { host, error }.log();
            None
        }
    }
}

fn news_of(after: u64, page: &RowsPage) -> RowsNews {
    RowsNews {
        after: after as i64,
        version: page.version.max(after) as i64,
        rows: page.rows.iter().filter_map(row_note).collect(),
        forgotten: false,
    }
}

/// Builds the news of a row for peers; of one that can't be read there is none.
fn row_note(row: &StoredRow) -> Option<RowNote> {
    let value = match &row.value {
        RowValue::Bytes(bytes) => Some(bytes.clone()),
        RowValue::Gone => None,
        RowValue::Unreadable(_) => return None,
    };
    Some(RowNote { key: row.key.clone(), value, version: row.version as i64 })
}

fn stored_row(note: &RowNote) -> StoredRow {
    StoredRow {
        table: HOSTS_TABLE.to_owned(),
        part: String::new(),
        key: note.key.clone(),
        value: note.value.clone().map_or(RowValue::Gone, RowValue::Bytes),
        version: note.version as u64,
    }
}
