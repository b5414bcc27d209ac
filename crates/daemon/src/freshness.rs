// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Tracks by whom and when the configuration in force was last confirmed as the newest. Before a
//! request is refused because of the configuration, a confirmation is queried unless the last
//! confirmation is recent.
//!
//! One query at a time serves all waiting requests, so that callers who ask for unknown routes cost
//! one query a second, however many they are. The query goes to the two daemons of the failure
//! domain that read the store for its other daemons. The store itself is queried only if neither of
//! the two daemons confirms. For a while after a query without a confirmation, requests are refused
//! at once as not run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::units::FleetRevision;
use basaltarch_decide::freshness::{ConfigFreshness, ConfirmationSource, FreshConfirmation};
use basaltarch_events::process;
use basaltarch_options::ConfigSource;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote};
use basaltarch_store::errors::StoreError;

use crate::config_sync;
use crate::document;
use crate::links;
use crate::membership;
use crate::rows;
use crate::state::DaemonState;

/// Longest wait for a confirmation. A healthy store or peer answers within a few milliseconds. A
/// request for a route that was just added is still served well within the timeout of most
/// requests.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the answers of the daemons that read the store for the failure domain. These
/// daemons get the store's answer within a few milliseconds. A request for an unknown route waits
/// up to this time.
const READER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which no other query is made after a query without a confirmation. Requests that need a
/// confirmation within this time are refused at once.
const FAILED_QUERY_PAUSE: Duration = Duration::from_millis(500);
/// Number of peers that are queried along with the store. There are three because one peer may be
/// unresponsive, and another may not have the newest configuration.
const QUERIED_PEERS: usize = 3;

/// `FreshnessTracker` is how recently the configuration of this daemon was confirmed as the newest.
#[derive(Default)]
pub struct FreshnessTracker {
    known: RefCell<ConfigFreshness>,
    /// Raised at each confirmation, and at the end of a query.
    confirmed: RisingSignal,
    is_querying: Cell<bool>,
    /// Time until which no query is made, because the last query brought no confirmation.
    paused_until: Cell<Duration>,
}

impl FreshnessTracker {
    /// Returns how recently the configuration was confirmed.
    pub fn known(&self) -> ConfigFreshness {
        *self.known.borrow()
    }

    /// Records that the store confirmed the configuration as the newest at the time `valid_at`.
    pub fn note_store(&self, valid_at: Duration) {
        self.note(FreshConfirmation { valid_at, source: ConfirmationSource::Store });
    }

    /// Records that the store has a later configuration that this daemon can't put in force.
    pub fn note_outdated(&self) {
        self.known.borrow_mut().note_outdated();
    }

    /// Records that the configuration which [`Self::note_outdated`] reported can be put in force
    /// now, or that a later configuration has replaced it.
    pub fn note_readable(&self) {
        self.known.borrow_mut().note_readable();
    }

    fn note(&self, confirmation: FreshConfirmation) {
        self.known.borrow_mut().note_confirmation(confirmation);
        self.confirmed.raise();
    }
}

/// Says whether the configuration in force is confirmed as the newest, or was confirmed a moment
/// ago; makes a query if necessary. A later configuration may come into force before this returns.
pub async fn is_certain(state: &Rc<DaemonState>) -> bool {
    is_certain_for(state, Duration::ZERO).await
}

/// Says whether the configuration in force is confirmed as the newest for at least `remaining`;
/// makes a query if necessary.
pub async fn is_certain_for(state: &Rc<DaemonState>, remaining: Duration) -> bool {
    let tracker = &state.freshness;
    let give_up_at = state.now() + ANSWER_TIMEOUT;
    while !tracker.known().is_certain_for(state.now(), remaining) {
        let seen = tracker.confirmed.get();
        let time_left = give_up_at.saturating_sub(state.now());
        if time_left.is_zero() || !(tracker.is_querying.get() || start_query(state)) {
            return false;
        }
        let _ = monoio::time::timeout(time_left, tracker.confirmed.above(seen)).await;
    }
    true
}

/// Starts a query in a task of its own, unless the last query failed a moment ago. Says whether the
/// query was started.
fn start_query(state: &Rc<DaemonState>) -> bool {
    let tracker = &state.freshness;
    if state.now() < tracker.paused_until.get() {
        return false;
    }
    tracker.is_querying.set(true);
    metrics::FRESHNESS_CHECKS.add_one();
    let state = state.clone();
    monoio::spawn(async move { run_query(&state).await });
    true
}

async fn run_query(state: &Rc<DaemonState>) {
    if !query_readers(state).await {
        query_store_and_peers(state).await;
    }
    if !state.freshness.known().is_certain(state.now()) {
        state.freshness.paused_until.set(state.now() + FAILED_QUERY_PAUSE);
    }
    state.freshness.is_querying.set(false);
    state.freshness.confirmed.raise();
}

/// Queries the daemons that read the store for the failure domain, and says whether any of them
/// confirmed the configuration. The number of calls to the store thus grows with the number of
/// failure domains, and not with the number of daemons.
async fn query_readers(state: &Rc<DaemonState>) -> bool {
    let readers = rows::readers(state);
    if readers.contains(&state.options.host) {
        return false;
    }
    for host in &readers {
        spawn_query(state, host);
    }
    let deadline = state.now() + READER_TIMEOUT;
    loop {
        let now = state.now();
        let seen = state.freshness.confirmed.get();
        if state.freshness.known().is_certain(now) || now >= deadline {
            return state.freshness.known().is_certain(now);
        }
        let _ = monoio::time::timeout(deadline - now, state.freshness.confirmed.above(seen)).await;
    }
}

/// Asks a reader for a confirmation, in a task of its own since a link may have to be established.
fn spawn_query(state: &Rc<DaemonState>, host: &str) {
    let path = state.peers.path(host);
    let state = state.clone();
    monoio::spawn(async move {
        let build_query = |state: &DaemonState| {
            let request = membership::heartbeat_request(state, Vec::new());
            FrameBody::Heartbeat(HeartbeatNote { wants_word: Some(true), ..request })
        };
        links::send_request(&state, &path, build_query).await;
    });
}

/// Queries the store and some peers.
async fn query_store_and_peers(state: &Rc<DaemonState>) {
    query_peers(state);
    metrics::STORE_FRESHNESS_CHECKS.add_one();
    let answer = monoio::time::timeout(ANSWER_TIMEOUT, query_store(state)).await;
    if let Ok(Err(error)) = answer {
        let error = &error.to_string();
        process::StoreFailed { call: "query the newest configuration", error }.log();
    }
}

/// Queries some peers. Their answers are replies to heartbeats.
fn query_peers(state: &DaemonState) {
    for sender in membership::sample_senders(state, QUERIED_PEERS) {
        let request = membership::heartbeat_request(state, Vec::new());
        // A send error is ignored: a link that ended brings no reply.
        let _ = sender.send(NO_EXCHANGE, FrameBody::Heartbeat(request));
    }
}

async fn query_store(state: &Rc<DaemonState>) -> Result<(), StoreError> {
    match state.options.source {
        ConfigSource::Document => document::query_store(state).await,
        ConfigSource::Resources => config_sync::poll_once(state).await,
    }
}

/// Records what a peer's reply to a heartbeat of this daemon confirms. The reply was sent after the
/// request, so that the peer's last confirmation is no older than the time of the request less the
/// age that the peer reports. The time in a request of an earlier incarnation of this daemon was
/// read from another clock, but the reply to such a request is lost with its link.
pub fn note_answer(state: &DaemonState, answer: &HeartbeatNote) {
    let (Some(asked_at), Some(age)) = (millis(answer.asked_ms), millis(answer.fresh_ms)) else {
        return;
    };
    let peer_revision = FleetRevision(answer.revision.max(0) as u64);
    if asked_at > state.now()
        || peer_revision > state.config.revision()
        || !state.config.is_loaded()
    {
        return;
    }
    let confirmation = FreshConfirmation {
        valid_at: asked_at.saturating_sub(age),
        source: ConfirmationSource::Peer,
    };
    state.freshness.note(confirmation);
}

/// Returns the age of the last confirmation in milliseconds, as it is reported to peers.
pub fn reported_age(state: &DaemonState) -> Option<i64> {
    let age = state.freshness.known().age(state.now())?;
    // Rounded up, as the reported age must not be less than the actual one.
    Some(age.as_millis() as i64 + 1)
}

fn millis(value: Option<i64>) -> Option<Duration> {
    value.map(|millis| Duration::from_millis(millis.max(0) as u64))
}
