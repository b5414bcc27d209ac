// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How fresh the configuration of this daemon is: who last said that there is nothing later, and as of when.

use std::cell::RefCell;
use std::time::Duration;

use basaltarch_base::signal::RisingSignal;
use basaltarch_core::units::FleetRevision;
use basaltarch_decide::freshness::{ConfigFreshness, FreshWord, WordSource};
use basaltarch_peer::protocol::HeartbeatNote;

use crate::state::DaemonState;

/// `FreshnessRole` is what this daemon knows of its configuration's age.
#[derive(Default)]
pub struct FreshnessRole {
    known: RefCell<ConfigFreshness>,
    /// Raised with each word.
    heard: RisingSignal,
}

impl FreshnessRole {
    /// Returns what is known.
    pub fn known(&self) -> ConfigFreshness {
        *self.known.borrow()
    }

    /// Takes in the word of the store, as of a moment.
    pub fn note_store(&self, as_of: Duration) {
        self.note(FreshWord { as_of, source: WordSource::Store });
    }

    /// Takes in that the store has a later configuration that can't be put in force here.
    pub fn note_outdated(&self) {
        self.known.borrow_mut().note_outdated();
    }

    /// Takes in that a later configuration came in force.
    pub fn note_in_force(&self) {
        self.known.borrow_mut().note_in_force();
    }

    fn note(&self, word: FreshWord) {
        self.known.borrow_mut().note_word(word);
        self.heard.raise();
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
    let word = FreshWord { as_of: asked.saturating_sub(age), source: WordSource::Peer };
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
