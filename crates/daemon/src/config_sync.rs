// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Keeps the configuration in sync: bounded polling of the store, and gossip of changes between
//! peers.
//!
//! Revisions only increase. A daemon that learns of changes forwards the changes to its neighbours.
//! Heartbeats carry revisions, so that a daemon that missed a change pulls the change. If both
//! forwarding and heartbeats fail, polling still finds the change.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::config::{ActiveConfig, ChangeRecord, FleetConfig};
use basaltarch_core::snapshot;
use basaltarch_core::units::{self, FleetRevision};
use basaltarch_decide::neighbours::NEIGHBOURS;
use basaltarch_events::{fleet, process};
use basaltarch_options::ConfigSource;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{ChangeNews, ChangePull, FrameBody};
use basaltarch_store::changes;
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::RetryBackoff;

use crate::document;
use crate::parts::SnapshotPart;
use crate::state::DaemonState;

/// Shortest time between polls of the store.
const POLL_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Size in bytes of one part of a snapshot, or of the records in one frame.
const PART_BYTES: usize = 64 * units::KIB;
/// Maximum number of bytes queued on a link while a snapshot is sent.
const SNAPSHOT_BUFFER_MAX: u64 = 1024 * 1024;
/// Time between checks whether the receiver of a snapshot has read enough bytes to be sent the next
/// part.
const SNAPSHOT_SEND_PAUSE: Duration = Duration::from_millis(5);

/// Pause between two slices of a long task. The pause is at least as long as a slice, so that
/// requests get half of the thread's time. Timers have no finer resolution than this pause.
const YIELD_PAUSE: Duration = Duration::from_millis(1);

/// Polls the store for ever, no more often than this daemon's share of the store reads that the
/// whole fleet may make.
pub async fn poll(state: Rc<DaemonState>) {
    let mut backoff = RetryBackoff::default();
    loop {
        let result = poll_once(&state).await;
        let wait = match result {
            Ok(()) => {
                backoff.reset();
                poll_period(&state)
            }
            Err(error) => {
                metrics::STORE_FAILURES.add_one();
                process::StoreFailed { call: "read changes", error: &error.to_string() }.log();
                backoff.next_delay().max(Duration::from_millis(200))
            }
        };
        monoio::time::sleep(wait.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

fn poll_period(state: &DaemonState) -> Duration {
    let period_s = state.members.count() as f64 / state.options.store_reads;
    Duration::from_secs_f64(period_s).max(POLL_INTERVAL_MIN)
}

/// Reads the newest revision from the store, and the changes that this daemon lacks.
pub async fn poll_once(state: &Rc<DaemonState>) -> Result<(), StoreError> {
    let asked_at = state.now();
    let (revision, _) = state.changes.head().await?;
    if revision > state.config.revision() {
        catch_up(state, revision).await?;
    } else if revision < state.config.revision() {
        // The answer was stale. The store had accepted the later configuration that is in force at
        // this daemon, so the later configuration stays in force.
        metrics::OLD_REVISIONS.add_one();
    }
    state.config.mark_loaded();
    // A stale answer does not confirm that this daemon's configuration is the newest.
    if state.config.revision() == revision {
        state.freshness.note_store(asked_at);
    }
    Ok(())
}

/// Reads the missing changes from the store. If many are missing, a snapshot is read first.
async fn catch_up(state: &Rc<DaemonState>, revision: FleetRevision) -> Result<(), StoreError> {
    let missing = revision.0 - state.config.revision().0;
    if missing > changes::CHANGES_PER_SNAPSHOT {
        adopt_from_store(state).await?;
    }
    loop {
        let before = state.config.revision();
        let records = state.changes.changes_after(before).await?;
        if state.config.apply(&records, state.now()) == 0 {
            return Ok(());
        }
        forward_changes(state, &records);
    }
}

/// Lets requests be served between two slices of a long task. Before a configuration is loaded, no
/// requests can be served, so there is no pause.
pub async fn yield_to_requests(state: &DaemonState) {
    if state.config.is_loaded() {
        monoio::time::sleep(YIELD_PAUSE).await;
    }
}

async fn adopt_from_store(state: &Rc<DaemonState>) -> Result<(), StoreError> {
    let _read_guard = match SnapshotReadGuard::take(state) {
        Some(guard) => guard,
        None => return Ok(()),
    };
    let pause = async || yield_to_requests(state).await;
    if let Some(config) = state.changes.snapshot(&pause).await? {
        adopt_config(state, config).await;
    }
    Ok(())
}

/// `SnapshotReadGuard` is held while a snapshot is read. Only one snapshot is read at a time, which
/// bounds the memory.
struct SnapshotReadGuard {
    state: Rc<DaemonState>,
}

impl SnapshotReadGuard {
    fn take(state: &Rc<DaemonState>) -> Option<Self> {
        let taken = state.snapshots.is_reading.replace(true);
        (!taken).then(|| Self { state: state.clone() })
    }
}

impl Drop for SnapshotReadGuard {
    fn drop(&mut self) {
        self.state.snapshots.is_reading.set(false);
    }
}

/// Builds the layout of a whole configuration in slices, and adopts it if it is later than the
/// configuration that is in force when the layout is complete.
async fn adopt_config(state: &Rc<DaemonState>, config: FleetConfig) {
    let layout =
        ActiveConfig::build_in_slices(&config, &async || yield_to_requests(state).await).await;
    state.config.adopt(config, layout, state.now());
}

/// Forwards changes that are new to this daemon to its neighbours and to some of the daemons that
/// dialled it.
pub fn forward_changes(state: &Rc<DaemonState>, records: &[ChangeRecord]) {
    let mut senders: Vec<FrameSender> = Vec::new();
    for host in state.members.neighbours(state) {
        if let Some(link) = state.peers.path(&host).link() {
            senders.push(link.sender().clone());
        }
    }
    let accepted = state.members.sample_accepted(NEIGHBOURS);
    senders.extend(accepted.iter().map(|link| link.sender().clone()));
    for sender in senders {
        send_records(state, &sender, records.iter());
    }
}

fn send_records<'a>(
    state: &DaemonState,
    sender: &FrameSender,
    records: impl Iterator<Item = &'a ChangeRecord>,
) {
    for record in records {
        let text = match serde_json::to_vec(record) {
            Ok(text) if text.len() <= 2 * PART_BYTES => text,
            // A change that is too large for a frame is read from the store by each daemon.
            _ => return,
        };
        let news = ChangeNews {
            revision: state.config.revision().0 as i64,
            records: vec![text],
            snapshot_part: None,
            last: true,
            telling: None,
            place: None,
            packed: None,
        };
        let _ = sender.send(NO_EXCHANGE, FrameBody::News(news));
    }
}

/// Compares the revision of a peer with that of this daemon: sends the changes that the peer lacks,
/// or asks the peer for the changes that this daemon lacks.
pub fn note_peer_revision(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer_revision: FleetRevision,
) {
    let own_revision = state.config.revision();
    if state.options.source == ConfigSource::Document {
        return document::note_peer_revision(state, sender, peer_revision);
    }
    if peer_revision < own_revision {
        if let Some(records) = state.config.records_after(peer_revision) {
            send_records(state, sender, records.iter().map(|record| &**record));
        }
    } else if peer_revision > own_revision && !state.snapshots.is_reading.get() {
        let pull = ChangePull { after: own_revision.0 as i64, document_only: None };
        let _ = sender.send(NO_EXCHANGE, FrameBody::Pull(pull));
    }
}

/// Answers a peer that pulls changes: with the changes, or with a snapshot if the changes are no
/// longer cached.
pub fn answer_pull(state: &Rc<DaemonState>, sender: &FrameSender, pull: ChangePull) {
    let after = FleetRevision(pull.after.max(0) as u64);
    if !state.config.is_loaded() {
        return;
    }
    if state.options.source == ConfigSource::Document {
        let packed = pull.document_only == Some(true);
        let snapshot = match packed {
            true => document::packed_document(state),
            false => document::snapshot(state).map(Rc::from),
        };
        let Some(bytes) = snapshot else { return };
        let state = state.clone();
        let sender = sender.clone();
        monoio::spawn(async move { send_parts(&state, &sender, &bytes, packed).await });
        return;
    }
    let records = state.config.records_after(after);
    let fits_frame = |record: &Rc<ChangeRecord>| {
        serde_json::to_vec(&**record).is_ok_and(|text| text.len() <= 2 * PART_BYTES)
    };
    match records {
        Some(records) if records.iter().all(fits_frame) => {
            send_records(state, sender, records.iter().map(|record| &**record));
        }
        _ => {
            let state = state.clone();
            let sender = sender.clone();
            monoio::spawn(async move { send_snapshot(&state, &sender).await });
        }
    }
}

async fn send_snapshot(state: &Rc<DaemonState>, sender: &FrameSender) {
    let config = state.config.with_fleet(FleetConfig::clone);
    let pause = async || yield_to_requests(state).await;
    let bytes = match snapshot::write(&config, &pause).await {
        Ok(bytes) => bytes,
        Err(_) => return,
    };
    send_parts(state, sender, &bytes, false).await;
}

/// Sends a snapshot in parts, no faster than the peer reads them.
async fn send_parts(state: &DaemonState, sender: &FrameSender, bytes: &[u8], packed: bool) {
    let revision = state.config.revision().0 as i64;
    let transfer = state.snapshots.next_transfer();
    let parts = bytes.chunks(PART_BYTES);
    let count = parts.len();
    for (index, part) in parts.enumerate() {
        while sender.bytes_waiting() > SNAPSHOT_BUFFER_MAX {
            monoio::time::sleep(SNAPSHOT_SEND_PAUSE).await;
        }
        let news = ChangeNews {
            revision,
            records: Vec::new(),
            snapshot_part: Some(part.to_vec()),
            last: index + 1 == count,
            telling: Some(transfer),
            place: Some(index as i32),
            packed: Some(packed),
        };
        if sender.send(NO_EXCHANGE, FrameBody::News(news)).is_err() {
            return;
        }
    }
}

/// Applies the changes, or the part of a snapshot, that a peer sent.
pub fn handle_news(state: &Rc<DaemonState>, peer: &PeerIdentity, news: ChangeNews) {
    if let Some(bytes) = news.snapshot_part {
        let (transfer, index) = (news.telling.unwrap_or(0), news.place.unwrap_or(0));
        let packed = news.packed == Some(true);
        let part = SnapshotPart { transfer, index, bytes, last: news.last, packed };
        return handle_part(state, peer, part);
    }
    let mut new_records = Vec::new();
    for text in &news.records {
        match serde_json::from_slice::<ChangeRecord>(text) {
            Ok(record) if record.revision > state.config.revision() => new_records.push(record),
            Ok(_) => {}
            Err(error) => {
                let (from, error) = (&*peer.host, &error.to_string());
                fleet::ChangeUnreadable { error, from, revision: 0 }.log();
            }
        }
    }
    if state.config.apply(&new_records, state.now()) > 0 {
        forward_changes(state, &new_records);
    }
}

fn handle_part(state: &Rc<DaemonState>, peer: &PeerIdentity, part: SnapshotPart) {
    let packed = part.packed;
    let bytes = match state.snapshots.add_part(&peer.host, part) {
        Some(bytes) => bytes,
        None => return,
    };
    if state.options.source == ConfigSource::Document {
        let unpacked = if packed { document::unpack(&bytes) } else { Ok(bytes) };
        return match unpacked {
            Ok(bytes) => document::adopt_snapshot(state, &peer.host, &bytes),
            Err(error) => {
                let (host, error) = (&*peer.host, &error.to_string());
                fleet::SnapshotUnreadable { host, error }.log();
            }
        };
    }
    let read_guard = match SnapshotReadGuard::take(state) {
        Some(guard) => guard,
        None => return,
    };
    let host = peer.host.clone();
    monoio::spawn(async move {
        let state = &read_guard.state;
        match snapshot::read(&bytes, &async || yield_to_requests(state).await).await {
            Ok(config) => adopt_config(state, config).await,
            Err(error) => {
                fleet::SnapshotUnreadable { host: &host, error: &error.to_string() }.log();
            }
        }
    });
}
