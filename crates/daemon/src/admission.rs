// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Holds back the backend servers of this host until the daemon, which has just started, has heard
//! which of them left during its earlier incarnations.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::signal::RisingSignal;
use basaltarch_decide::admission::WordFacts;
use basaltarch_peer::errors::LinkError;

use crate::links;
use crate::membership::{self, HeartbeatContent};
use crate::registration;
use crate::state::DaemonState;

/// Time between two checks of what was heard, if nothing new is heard meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// `ServerAdmission` says whether the backend servers of this host may be used.
#[derive(Debug, Default)]
pub struct ServerAdmission {
    opened: RisingSignal,
    /// Raised when the rows were read or a peer answered.
    heard: RisingSignal,
    /// Peers that have answered a heartbeat of this incarnation of the daemon, or have nothing to
    /// tell. A peer sends what it holds of an earlier incarnation before it answers.
    answered: RefCell<BTreeSet<String>>,
}

impl ServerAdmission {
    /// Says whether the backend servers of this host may be used.
    pub fn is_open(&self) -> bool {
        self.opened.is_raised()
    }

    /// Waits until the backend servers of this host may be used.
    pub async fn opened(&self) {
        self.opened.raised().await;
    }

    /// Records that the rows of the hosts were read.
    pub fn note_rows_read(&self) {
        if !self.is_open() {
            self.heard.raise();
        }
    }

    /// Records that a peer answered a heartbeat, or has nothing to tell.
    pub fn note_answer(&self, host: &str) {
        if !self.is_open() && self.answered.borrow_mut().insert(host.to_owned()) {
            self.heard.raise();
        }
    }
}

/// Asks the neighbours, and admits the backend servers of this host once enough was heard.
pub async fn run(state: Rc<DaemonState>) {
    let mut asked = BTreeSet::new();
    let mut member_count = 0;
    let mut first_word_at = None;
    loop {
        let seen = state.admission.heard.get();
        if state.members.count() > member_count {
            member_count = state.members.count();
            ask_neighbours(&state, &mut asked);
        }
        let facts = word_facts(&state, &asked, &mut first_word_at);
        if facts.may_use_servers() {
            break;
        }
        let _ = monoio::time::timeout(CHECK_INTERVAL, state.admission.heard.above(seen)).await;
    }
    state.admission.opened.raise();
    registration::apply_deferred(&state).await;
}

/// Asks each neighbour that has not been asked, in a task of its own.
fn ask_neighbours(state: &Rc<DaemonState>, asked: &mut BTreeSet<String>) {
    for host in state.members.neighbours(state) {
        if asked.insert(host.clone()) {
            let state = state.clone();
            monoio::spawn(async move { ask_neighbour(&state, &host).await });
        }
    }
}

/// Sends a neighbour a heartbeat. A neighbour that refuses the link is not running, and so has
/// nothing to tell: when many daemons start at once, none waits for the others.
async fn ask_neighbour(state: &Rc<DaemonState>, host: &str) {
    let path = state.peers.path(host);
    match links::link_to(state, &path).await {
        Ok(_) => membership::send_heartbeat(state, host, HeartbeatContent::Own).await,
        Err(LinkError::TimedOut) => {}
        Err(_) => state.admission.note_answer(host),
    }
}

fn word_facts(
    state: &DaemonState,
    asked: &BTreeSet<String>,
    first_word_at: &mut Option<Duration>,
) -> WordFacts {
    let now = state.now();
    let answered = state.admission.answered.borrow();
    let has_read_row = state.rows.has_read_table();
    if first_word_at.is_none() && (has_read_row || !answered.is_empty()) {
        *first_word_at = Some(now);
    }
    WordFacts {
        has_read_row,
        asked: asked.len(),
        answered: asked.intersection(&answered).count(),
        since_first_word: first_word_at.map(|at| now.saturating_sub(at)),
    }
}
