// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How fresh the configuration of this daemon is: who last said that there is nothing later, and as of when; and
//! the question whether it is the newest, before a request is refused by it.
//!
//! One question at a time serves all requests that wait, so that callers who ask for what never was cost a
//! question a second, however many they are. It goes to the two daemons of the failure domain that read the store
//! for the others, and to the store itself only where neither has word. While nobody answers, requests are refused
//! as not run at once.

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

use crate::document;
use crate::membership;
use crate::rows;
use crate::spread;
use crate::state::DaemonState;

/// Longest wait for word: the store answers within a few milliseconds when it is well, a peer in as many, and who
/// asks for a route that was just added is served well within the time of most requests.
const WORD_WAIT: Duration = Duration::from_millis(300);
/// Time for which those who ask the store for the failure domain are waited for: the store answers them within a
/// few milliseconds, and a request that asks for what isn't there waits as long.
const READER_WAIT: Duration = Duration::from_millis(100);
/// Time after a question without word for which the next is not asked: who waits then is refused at once.
const ASK_PAUSE: Duration = Duration::from_millis(500);
/// Peers that are asked beside the store: one may be silent, and one may know no more.
const ASKED_PEERS: usize = 3;

/// `FreshnessRole` is what this daemon knows of its configuration's age.
#[derive(Default)]
pub struct FreshnessRole {
    known: RefCell<ConfigFreshness>,
    /// Raised with each word, and when a question is over.
    heard: RisingSignal,
    asking: Cell<bool>,
    /// Until when no question is asked, as nobody answered the last.
    pause_until: Cell<Duration>,
}

impl FreshnessRole {
    /// Returns what is known.
    pub fn known(&self) -> ConfigFreshness {
        *self.known.borrow()
    }

    /// Takes in the word of the store, as of a moment.
    pub fn note_store(&self, as_of: Duration) {
        self.note(FreshConfirmation { as_of, source: ConfirmationSource::Store });
    }

    /// Takes in that the store has a later configuration that can't be put in force here.
    pub fn note_outdated(&self) {
        self.known.borrow_mut().note_outdated();
    }

    /// Takes in that the latest configuration can be put in force after all, or another came after it.
    pub fn note_readable(&self) {
        self.known.borrow_mut().note_readable();
    }

    fn note(&self, word: FreshConfirmation) {
        self.known.borrow_mut().note_confirmation(word);
        self.heard.raise();
    }
}

/// Says whether the configuration in force is known to be the newest, or was a moment ago; asks if need be. A
/// later configuration may come in force meanwhile.
pub async fn is_certain(state: &Rc<DaemonState>) -> bool {
    let role = &state.freshness;
    let give_up_at = state.now() + WORD_WAIT;
    while !role.known().is_certain(state.now()) {
        let seen = role.heard.get();
        let left = give_up_at.saturating_sub(state.now());
        if left.is_zero() || !(role.asking.get() || start_asking(state)) {
            return false;
        }
        let _ = monoio::time::timeout(left, role.heard.above(seen)).await;
    }
    true
}

/// Starts a question in a task of its own, unless the last was in vain a moment ago.
fn start_asking(state: &Rc<DaemonState>) -> bool {
    let role = &state.freshness;
    if state.now() < role.pause_until.get() {
        return false;
    }
    role.asking.set(true);
    metrics::CONFIG_QUESTIONS.add_one();
    let state = state.clone();
    monoio::spawn(async move { ask(&state).await });
    true
}

async fn ask(state: &Rc<DaemonState>) {
    if !ask_readers(state).await {
        ask_around(state).await;
    }
    if !state.freshness.known().is_certain(state.now()) {
        state.freshness.pause_until.set(state.now() + ASK_PAUSE);
    }
    state.freshness.asking.set(false);
    state.freshness.heard.raise();
}

/// Asks those who read the store for the failure domain, and says whether their word came: the calls to the store
/// then grow with the failure domains and not with the daemons.
async fn ask_readers(state: &Rc<DaemonState>) -> bool {
    let readers = rows::readers(state);
    if readers.contains(&state.options.host) {
        return false;
    }
    let mut question = membership::question(state, Vec::new());
    question.wants_word = Some(true);
    for host in &readers {
        // One that is not linked is not waited for; the other may be.
        if let Some(link) = state.peers.path(host).link() {
            let _ = link.sender().send(NO_EXCHANGE, FrameBody::Heartbeat(question.clone()));
        }
    }
    let until = state.now() + READER_WAIT;
    loop {
        let now = state.now();
        let seen = state.freshness.heard.get();
        if state.freshness.known().is_certain(now) || now >= until {
            return state.freshness.known().is_certain(now);
        }
        let _ = monoio::time::timeout(until - now, state.freshness.heard.above(seen)).await;
    }
}

/// Asks the store and some peers.
async fn ask_around(state: &Rc<DaemonState>) {
    ask_peers(state);
    metrics::STORE_QUESTIONS.add_one();
    let answer = monoio::time::timeout(WORD_WAIT, ask_store(state)).await;
    if let Ok(Err(error)) = answer {
        let error = &error.to_string();
        process::StoreFailed { call: "ask for the newest configuration", error }.log();
    }
}

/// Asks some peers; their answers come with those to heartbeats.
fn ask_peers(state: &DaemonState) {
    for sender in membership::some_senders(state, ASKED_PEERS) {
        let question = membership::question(state, Vec::new());
        // A link that ended answers nothing.
        let _ = sender.send(NO_EXCHANGE, FrameBody::Heartbeat(question));
    }
}

async fn ask_store(state: &Rc<DaemonState>) -> Result<(), StoreError> {
    match state.options.source {
        ConfigSource::Document => document::ask_store(state).await,
        ConfigSource::Resources => spread::poll_once(state).await,
    }
}

/// Takes in what a peer's answer to a question of this daemon says. The answer was made after the question was
/// asked, so that what the peer knew is no older than that and the age it tells; a question of another start of
/// this daemon would count from another clock, and ends with its link.
pub fn note_answer(state: &DaemonState, answer: &HeartbeatNote) {
    let (Some(asked), Some(age)) = (millis(answer.asked_ms), millis(answer.fresh_ms)) else {
        return;
    };
    let theirs = FleetRevision(answer.revision.max(0) as u64);
    if asked > state.now() || theirs > state.config.revision() || !state.config.is_loaded() {
        return;
    }
    let word =
        FreshConfirmation { as_of: asked.saturating_sub(age), source: ConfirmationSource::Peer };
    state.freshness.note(word);
}

/// Returns the age of the last word as peers are told it.
pub fn told_age(state: &DaemonState) -> Option<i64> {
    let age = state.freshness.known().age(state.now())?;
    // Rounded up: what is told must not be fresher than what is known.
    Some(age.as_millis() as i64 + 1)
}

fn millis(told: Option<i64>) -> Option<Duration> {
    told.map(|millis| Duration::from_millis(millis.max(0) as u64))
}
