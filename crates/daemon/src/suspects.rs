// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How the whole fleet knows of requests that crash the backend servers that run them.
//!
//! The daemon beside a server sees it crash and tells all daemons that it has a link to, the ingress of the
//! request among them, before that one hears that its work broke. Who hears something new passes it on to a
//! few others. Heartbeats carry a digest, so that a daemon that was cut off, frozen or not there catches up
//! with the first it hears of. What is refused also stands in the row of the host that saw the crash, for
//! the case that every daemon ends at once.

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

/// Time between looks for what is forgotten.
const FORGET_EVERY: Duration = Duration::from_secs(30);
/// Refused requests that a host's row tells of: a row is read by every daemon that starts.
const RECORDED_MAX: usize = 16;

/// `SuspectRole` is this daemon's part in what the fleet knows of such requests.
#[derive(Default)]
pub struct SuspectRole {
    table: RefCell<SuspectTable>,
    /// Requests whose last crash was seen here and that the own row tells of.
    seen_here: RefCell<Vec<RequestFingerprint>>,
    digest: Cell<u64>,
}

/// `RefusedRecord` is a refused request as a host's row tells of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRecord {
    /// The request, as text.
    pub fingerprint: String,
    /// Round of its tally.
    pub round: u32,
    /// Crashes of its tally.
    pub crashes: u32,
    /// The backend server that crashed under it last.
    pub upstream: String,
}

impl SuspectRole {
    /// Says whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Returns what counts against a request.
    pub fn tally(&self, fingerprint: &RequestFingerprint) -> CrashTally {
        self.table.borrow().tally(fingerprint)
    }

    /// Returns all that is known, the gravest first.
    pub fn notices(&self, now: Duration) -> Vec<SuspectNotice> {
        let mut notices = self.table.borrow().notices(now);
        notices.sort_by_key(|word| (u32::MAX - word.tally.crashes, word.seen_ago));
        notices
    }

    /// Returns the digest of what is known, for heartbeats; none if nothing is.
    pub fn digest(&self) -> Option<i64> {
        Some(self.digest.get() as i64).filter(|digest| *digest != 0)
    }

    fn note_changed(&self, now: Duration) {
        let table = self.table.borrow();
        self.digest.set(table.digest(now));
        metrics::REQUESTS_REFUSED.set(table.refused() as i64);
    }

    /// Returns what the own row tells: refused requests whose last crash was seen here.
    pub fn own_records(&self, now: Duration) -> Vec<RefusedRecord> {
        let seen_here = self.seen_here.borrow();
        let notices = self.notices(now).into_iter();
        let own = notices
            .filter(|word| word.tally.is_refused() && seen_here.contains(&word.fingerprint))
            .take(RECORDED_MAX);
        own.map(|word| RefusedRecord {
            fingerprint: word.fingerprint.to_string(),
            round: word.tally.round,
            crashes: word.tally.crashes,
            upstream: word.upstream.to_string(),
        })
        .collect()
    }
}

/// Says what becomes of a copy of a request that came to this daemon.
pub fn judge(state: &DaemonState, fingerprint: &RequestFingerprint) -> CopyVerdict {
    let is_home = || {
        let live = state.members.live_hosts(state);
        let key = fingerprint.to_string();
        limits::owner_of(&key, live.iter().map(String::as_str)) == Some(&*state.options.host)
    };
    state.suspects.table.borrow_mut().judge(fingerprint, is_home, state.now())
}

/// Takes in that a backend server of this host crashed under a run of a request, against which `before`
/// counted when the run began.
pub fn note_crash(
    state: &Rc<DaemonState>,
    fingerprint: RequestFingerprint,
    before: CrashTally,
    upstream: &str,
) {
    let now = state.now();
    let risen = state.suspects.table.borrow_mut().note_crash(fingerprint, before, upstream, now);
    let tally = match risen {
        Some(tally) => tally,
        None => return,
    };
    let word = SuspectNotice {
        fingerprint,
        tally,
        seen_ago: Duration::ZERO,
        upstream: Rc::from(upstream),
    };
    tell_suspected(&word, &state.options.host);
    state.suspects.note_changed(now);
    tell(state, &word, word.notify_count(before));
    if tally.is_refused() {
        remember(state, fingerprint);
    }
}

/// Takes in that a request ran well at a backend server of this host.
pub fn note_success(state: &Rc<DaemonState>, fingerprint: &RequestFingerprint) {
    clear(state, fingerprint, "a good run here");
}

/// Lets a request in again by an operator's word; says whether anything counted against it.
pub fn lift(state: &Rc<DaemonState>, fingerprint: &RequestFingerprint) -> bool {
    clear(state, fingerprint, "an operator's word")
}

fn clear(state: &Rc<DaemonState>, fingerprint: &RequestFingerprint, cause: &str) -> bool {
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
    let word = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
    tell(state, &word, word.notify_count(before));
    roster::refresh_refused(state);
    true
}

/// Keeps a request that is refused in the own row.
fn remember(state: &Rc<DaemonState>, fingerprint: RequestFingerprint) {
    let mut seen_here = state.suspects.seen_here.borrow_mut();
    if !seen_here.contains(&fingerprint) {
        seen_here.push(fingerprint);
    }
    drop(seen_here);
    roster::refresh_refused(state);
}

/// Logs what is new here of a request, against which `before` counted. What another daemon told is logged
/// only if it has copies refused or let in: the daemon that saw a crash logs every suspect of it.
fn tell_heard(word: &SuspectNotice, before: CrashTally, from: &str) {
    if word.tally.is_refused() {
        tell_suspected(word, from);
    } else if before.is_refused() {
        let fingerprint = &word.fingerprint.to_string();
        RequestCleared { fingerprint, cause: "another daemon's word", from }.log();
    }
}

fn tell_suspected(word: &SuspectNotice, from: &str) {
    RequestSuspected {
        fingerprint: &word.fingerprint.to_string(),
        crashes: word.tally.crashes.into(),
        refused: word.tally.is_refused(),
        upstream: &word.upstream,
        from,
    }
    .log();
}

/// Tells some of the daemons that are linked.
fn tell(state: &DaemonState, word: &SuspectNotice, links: usize) {
    for sender in membership::some_senders(state, links) {
        send(&sender, std::slice::from_ref(word));
    }
}

fn send(sender: &FrameSender, notices: &[SuspectNotice]) {
    let suspects = notices.iter().map(wire::suspect_note).collect();
    // A link that ends is made anew, and the first heartbeat on it shows what is missing.
    let _ = sender.send(NO_EXCHANGE, FrameBody::SuspectNews(SuspectNews { suspects }));
}

/// Takes in what another daemon tells, and passes on what is new here. It hears what it has missed.
pub fn take_news(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    news: &SuspectNews,
) {
    let notices: Vec<SuspectNotice> = news.suspects.iter().filter_map(wire::suspect_word).collect();
    for word in note_words(state, &notices, &peer.host) {
        tell(state, &word, word.forward_count());
    }
    let (table, now) = (state.suspects.table.borrow(), state.now());
    let answers: Vec<SuspectNotice> =
        notices.iter().filter_map(|word| table.answer(word, now)).collect();
    drop(table);
    if !answers.is_empty() {
        send(sender, &answers);
    }
}

/// Takes in what the row of a host tells.
pub fn take_records(state: &Rc<DaemonState>, host: &str, records: &[RefusedRecord]) {
    let word = |record: &RefusedRecord| {
        Some(SuspectNotice {
            fingerprint: RequestFingerprint::parse(&record.fingerprint)?,
            tally: CrashTally { round: record.round, crashes: record.crashes },
            seen_ago: Duration::ZERO,
            upstream: Rc::from(record.upstream.as_str()),
        })
    };
    let notices: Vec<SuspectNotice> = records.iter().filter_map(word).collect();
    note_words(state, &notices, host);
    // What an earlier start of this daemon saw stays in its row.
    if host == state.options.host {
        notices.iter().for_each(|word| remember(state, word.fingerprint));
    }
}

/// Takes words in and returns those that are new here.
fn note_words(
    state: &Rc<DaemonState>,
    notices: &[SuspectNotice],
    from: &str,
) -> Vec<SuspectNotice> {
    let now = state.now();
    let mut table = state.suspects.table.borrow_mut();
    let mut fresh = Vec::new();
    for word in notices {
        let before = table.tally(&word.fingerprint);
        if table.apply_notice(word, now) {
            tell_heard(word, before, from);
            fresh.push(word.clone());
        }
    }
    drop(table);
    if !fresh.is_empty() {
        state.suspects.note_changed(now);
        roster::refresh_refused(state);
    }
    fresh
}

/// Takes in the digest of what a peer knows: it hears all that is known here if it knows something else.
pub fn note_peer_digest(state: &DaemonState, sender: &FrameSender, digest: Option<i64>) {
    if state.suspects.digest() != digest && !state.suspects.is_empty() {
        send(sender, &state.suspects.notices(state.now()));
    }
}

/// Forgets for ever what nobody has asked for in a while.
pub async fn forget(state: Rc<DaemonState>) {
    loop {
        monoio::time::sleep(FORGET_EVERY).await;
        let now = state.now();
        state.suspects.table.borrow_mut().forget_old(now);
        state.suspects.note_changed(now);
        roster::refresh_refused(&state);
    }
}
