// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides whether a daemon may answer from its configuration as one who is certain.
//!
//! A refusal that goes by the configuration ("there is no such route") holds for good, and is wrong if a later
//! configuration is in force elsewhere. A daemon knows as of when it last had word that nothing later was
//! accepted; it is certain for a moment from then. The load that this answers is requests for what a daemon
//! doesn't know: one that was cut off from news and doesn't know what was just added, and callers who ask for
//! what never was, as many as they like.

use std::time::Duration;

/// Age of the last word up to which a daemon is certain. A configuration must be in force within two seconds of
/// its acceptance; half of that leaves as much for the request itself, and bounds what unknown routes cost to
/// one question a second.
pub const CERTAIN_FOR: Duration = Duration::from_secs(1);

/// `WordSource` is who said that nothing later was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WordSource {
    /// The platform's store.
    Store,
    /// Another daemon, of what it knew.
    Peer,
}

impl WordSource {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// `FreshWord` is the word that nothing later than the configuration in force was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshWord {
    /// As of when.
    pub as_of: Duration,
    /// Who said so.
    pub source: WordSource,
}

/// `ConfigFreshness` follows how old the last word is.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigFreshness {
    word: Option<FreshWord>,
    /// A later configuration is known that can't be put in force.
    outdated: bool,
}

impl ConfigFreshness {
    /// Takes in word that nothing later was accepted as of a moment. It goes on to hold for whatever
    /// later configuration comes in force; an older word than the one that is known changes nothing.
    pub fn note_word(&mut self, word: FreshWord) {
        if !self.outdated && self.word.is_none_or(|known| word.as_of > known.as_of) {
            self.word = Some(word);
        }
    }

    /// Takes in that there is a later configuration which can't be put in force here: nobody's word makes
    /// this daemon certain until a later one is.
    pub fn note_outdated(&mut self) {
        self.outdated = true;
        self.word = None;
    }

    /// Takes in that the latest configuration can be put in force after all, or another came after it.
    pub fn note_readable(&mut self) {
        self.outdated = false;
    }

    /// Says whether a later configuration is known that can't be put in force.
    pub fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Returns the last word, if there was any.
    pub fn word(&self) -> Option<FreshWord> {
        self.word
    }

    /// Returns the age of the last word, if there was any.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.word.map(|word| now.saturating_sub(word.as_of))
    }

    /// Says whether a refusal that goes by the configuration would be right.
    pub fn is_certain(&self, now: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= CERTAIN_FOR)
    }
}
