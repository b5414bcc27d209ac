// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Distributes through the fleet which requests crash the backend servers that run them.
//!
//! The daemon on a server's host observes the crash and notifies all linked daemons. Among these is
//! the ingress of the request, which gets the notice before the failure of its attempt. A daemon
//! that receives a new notice forwards the notice to a few other daemons. Heartbeats carry a
//! digest, so that a daemon that was unreachable, suspended or not running receives the notices
//! that it missed from the first daemon with which it exchanges heartbeats. Refused requests are
//! also recorded in the row of the host on which the server crashed, so that they are known even
//! after every daemon ended at once.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::fingerprint::RequestFingerprint;
use basaltarch_decide::limits;
use basaltarch_decide::suspects::{CopyVerdict, CrashTally, SuspectNotice, SuspectTable};
use basaltarch_events::servers::{RequestCleared, RequestSuspected};
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, SuspectNews};
use serde::{Deserialize, Serialize};

use crate::membership;
use crate::roster;
use crate::state::DaemonState;
use crate::wire;

/// Time between two evictions of old entries.
const EVICTION_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of refused requests in a host's row, as every daemon that starts reads each row.
const ROW_RECORDS_MAX: usize = 16;

/// `SuspectRegistry` is what this daemon knows of requests that crash backend servers.
#[derive(Default)]
pub struct SuspectRegistry {
    table: RefCell<SuspectTable>,
    /// Requests that last crashed a backend server on this host. The row of the host records the
    /// refused ones among these requests.
    crashed_on_host: RefCell<Vec<RequestFingerprint>>,
    digest: Cell<u64>,
}

/// `RefusedRecord` is a refused request in a host's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRecord {
    /// Fingerprint of the request, as text.
    pub fingerprint: String,
    /// Round of the request's crash tally; a successful run of the request starts a new round.
    pub round: u32,
    /// Number of backend server crashes that count against the request in this round.
    pub crashes: u32,
    /// The backend server that crashed last while it ran the request.
    pub upstream: String,
}

impl SuspectRegistry {
    /// Says whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Returns the crashes that count against a request.
    pub fn tally(&self, fingerprint: &RequestFingerprint) -> CrashTally {
        self.table.borrow().tally(fingerprint)
    }

    /// Returns a notice for each suspected request, the requests with the most crashes first.
    pub fn notices(&self, now: Duration) -> Vec<SuspectNotice> {
        let mut notices = self.table.borrow().notices(now);
        notices.sort_by_key(|notice| (u32::MAX - notice.tally.crashes, notice.seen_ago));
        notices
    }

    /// Returns the digest of the suspected requests, for heartbeats, or `None` if no request is
    /// suspected.
    pub fn digest(&self) -> Option<i64> {
        Some(self.digest.get() as i64).filter(|digest| *digest != 0)
    }

    fn note_changed(&self, now: Duration) {
        let table = self.table.borrow();
        self.digest.set(table.digest(now));
        metrics::REQUESTS_REFUSED.set(table.refused() as i64);
    }

    /// Returns the records for this daemon's row: refused requests whose last crash was on this
    /// host.
    pub fn own_records(&self, now: Duration) -> Vec<RefusedRecord> {
        let crashed_on_host = self.crashed_on_host.borrow();
        let notices = self.notices(now).into_iter();
        let own_notices = notices
            .filter(|notice| {
                notice.tally.is_refused() && crashed_on_host.contains(&notice.fingerprint)
            })
            .take(ROW_RECORDS_MAX);
        own_notices
            .map(|notice| RefusedRecord {
                fingerprint: notice.fingerprint.to_string(),
                round: notice.tally.round,
                crashes: notice.tally.crashes,
                upstream: notice.upstream.to_string(),
            })
            .collect()
    }
}

/// Says whether a copy of a request is served normally, run as a trial, or refused.
pub fn judge_copy(state: &DaemonState, fingerprint: &RequestFingerprint) -> CopyVerdict {
    let makes_trials = || {
        let live = state.members.live_hosts(state);
        let key = fingerprint.to_string();
        limits::owner_of(&key, live.iter().map(String::as_str)) == Some(&*state.options.host)
    };
    state.suspects.table.borrow_mut().judge(fingerprint, makes_trials, state.now())
}

/// Records that a backend server of this host crashed while it ran a request. `before` is the
/// request's crash tally when that attempt began.
pub fn note_crash(
    state: &Rc<DaemonState>,
    fingerprint: RequestFingerprint,
    before: CrashTally,
    upstream: &str,
) {
    let now = state.now();
    let new_tally =
        state.suspects.table.borrow_mut().note_crash(fingerprint, before, upstream, now);
    let tally = match new_tally {
        Some(tally) => tally,
        None => return,
    };
    let notice = SuspectNotice {
        fingerprint,
        tally,
        seen_ago: Duration::ZERO,
        upstream: Rc::from(upstream),
    };
    log_suspected(&notice, &state.options.host);
    state.suspects.note_changed(now);
    notify_some(state, &notice, notice.notify_count(before));
    if tally.is_refused() {
        add_to_own_row(state, fingerprint);
    }
}

/// Records that a request succeeded at a backend server of this host.
pub fn note_success(state: &Rc<DaemonState>, fingerprint: &RequestFingerprint) {
    clear_request(state, fingerprint, "succeeded at a backend server of this host");
}

/// Admits a request again because an operator lifted its refusal. Says whether any crashes counted
/// against the request.
pub fn lift_refusal(state: &Rc<DaemonState>, fingerprint: &RequestFingerprint) -> bool {
    clear_request(state, fingerprint, "lifted by an operator")
}

fn clear_request(state: &Rc<DaemonState>, fingerprint: &RequestFingerprint, cause: &str) -> bool {
    let now = state.now();
    let before = state.suspects.tally(fingerprint);
    let cleared = state.suspects.table.borrow_mut().note_success(fingerprint, now);
    let tally = match cleared {
        Some(tally) => tally,
        None => return false,
    };
    if !before.allows_retry() {
        let from = &state.options.host;
        RequestCleared { fingerprint: &fingerprint.to_string(), cause, from }.log();
    }
    state.suspects.note_changed(now);
    let (fingerprint, upstream) = (*fingerprint, Rc::from(""));
    let notice = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
    notify_some(state, &notice, notice.notify_count(before));
    roster::refresh_refused(state);
    true
}

/// Adds a refused request to this daemon's row.
fn add_to_own_row(state: &Rc<DaemonState>, fingerprint: RequestFingerprint) {
    let mut crashed_on_host = state.suspects.crashed_on_host.borrow_mut();
    if !crashed_on_host.contains(&fingerprint) {
        crashed_on_host.push(fingerprint);
    }
    drop(crashed_on_host);
    roster::refresh_refused(state);
}

/// Logs another daemon's notice of a request; `before` is the request's crash tally before the
/// notice. A notice is logged only if copies of the request are now refused, or admitted again,
/// because the daemon on whose host a server crashed logs all suspects of that crash.
fn log_received(notice: &SuspectNotice, before: CrashTally, from: &str) {
    if notice.tally.is_refused() {
        log_suspected(notice, from);
    } else if before.is_refused() {
        let fingerprint = &notice.fingerprint.to_string();
        RequestCleared { fingerprint, cause: "reported by another daemon", from }.log();
    }
}

fn log_suspected(notice: &SuspectNotice, from: &str) {
    RequestSuspected {
        fingerprint: &notice.fingerprint.to_string(),
        crashes: notice.tally.crashes.into(),
        refused: notice.tally.is_refused(),
        upstream: &notice.upstream,
        from,
    }
    .log();
}

/// Sends a notice to up to `count_max` of the linked daemons.
fn notify_some(state: &DaemonState, notice: &SuspectNotice, count_max: usize) {
    for sender in membership::sample_senders(state, count_max) {
        send_notices(&sender, std::slice::from_ref(notice));
    }
}

fn send_notices(sender: &FrameSender, notices: &[SuspectNotice]) {
    let suspects = notices.iter().map(wire::suspect_note).collect();
    // Notices that are lost with a broken link are sent again: the digest in the first heartbeat on
    // the next link shows that they are missing.
    let _ = sender.send(NO_EXCHANGE, FrameBody::SuspectNews(SuspectNews { suspects }));
}

/// Records the notices of another daemon, and forwards the notices that are new to this daemon. If
/// the sender has not learnt of a successful run of a request, the newer notice is sent back.
pub fn handle_news(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    news: &SuspectNews,
) {
    let notices: Vec<SuspectNotice> =
        news.suspects.iter().filter_map(wire::suspect_notice).collect();
    for notice in record_notices(state, &notices, &peer.host) {
        notify_some(state, &notice, notice.forward_count());
    }
    let (table, now) = (state.suspects.table.borrow(), state.now());
    let answers: Vec<SuspectNotice> =
        notices.iter().filter_map(|notice| table.answer(notice, now)).collect();
    drop(table);
    if !answers.is_empty() {
        send_notices(sender, &answers);
    }
}

/// Records the refused requests in the row of a host.
pub fn apply_records(state: &Rc<DaemonState>, host: &str, records: &[RefusedRecord]) {
    let notice = |record: &RefusedRecord| {
        Some(SuspectNotice {
            fingerprint: RequestFingerprint::parse(&record.fingerprint)?,
            tally: CrashTally { round: record.round, crashes: record.crashes },
            seen_ago: Duration::ZERO,
            upstream: Rc::from(record.upstream.as_str()),
        })
    };
    let notices: Vec<SuspectNotice> = records.iter().filter_map(notice).collect();
    record_notices(state, &notices, host);
    // Crashes that an earlier incarnation of this daemon recorded stay in this daemon's row.
    if host == state.options.host {
        notices.iter().for_each(|notice| add_to_own_row(state, notice.fingerprint));
    }
}

/// Records notices, and returns the notices that are new to this daemon.
fn record_notices(
    state: &Rc<DaemonState>,
    notices: &[SuspectNotice],
    from: &str,
) -> Vec<SuspectNotice> {
    let now = state.now();
    let mut table = state.suspects.table.borrow_mut();
    let mut added = Vec::new();
    for notice in notices {
        let before = table.tally(&notice.fingerprint);
        if table.apply_notice(notice, now) {
            log_received(notice, before, from);
            added.push(notice.clone());
        }
    }
    drop(table);
    if !added.is_empty() {
        state.suspects.note_changed(now);
        roster::refresh_refused(state);
    }
    added
}

/// Compares the digest of a peer with that of this daemon, and sends the peer all notices if the
/// digests differ.
pub fn handle_digest(state: &DaemonState, sender: &FrameSender, digest: Option<i64>) {
    if state.suspects.digest() != digest && !state.suspects.is_empty() {
        send_notices(sender, &state.suspects.notices(state.now()));
    }
}

/// Runs for ever: evicts requests that have not been seen for a while.
pub async fn evict_old(state: Rc<DaemonState>) {
    loop {
        monoio::time::sleep(EVICTION_INTERVAL).await;
        let now = state.now();
        state.suspects.table.borrow_mut().forget_old(now);
        state.suspects.note_changed(now);
        roster::refresh_refused(&state);
    }
}
