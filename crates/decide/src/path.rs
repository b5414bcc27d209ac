// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The health of the path to a peer, apart from the health of what is behind it.

use std::time::Duration;

/// Silence on a link with open exchanges after which the peer is asked for a sign of life: usual work
/// takes as long, so that an answer often comes first.
pub const ASK_AFTER: Duration = Duration::from_millis(150);
/// Time without any frame after asking from which a path is thought cut while its round trip is not
/// known: four times the round trip between far regions (0.3 s). A cut one way and a cut the other
/// way look alike from here, and either makes the path useless.
pub const SILENCE_MAX: Duration = Duration::from_millis(1200);
/// The same for a path whose round trip is known, at the least: a host that gets its share of a
/// processor in tenths of a second is silent for as long, and a lost packet is sent again after 200 ms.
pub const SILENCE_MIN: Duration = Duration::from_millis(350);
/// Round trips of silence from which a path is thought cut.
const SILENCE_ROUNDS: u32 = 4;
/// Most answers in a row that a path which flapped must give before it is trusted again.
const ANSWERS_NEEDED_MAX: u32 = 32;
/// Good time after which a path's former cuts are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// `PathState` says whether a path can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// The peer answers.
    Up,
    /// The peer does not answer.
    Cut,
    /// The peer answers again, but the path was cut a short while ago.
    Proving,
}

/// `PathHealth` follows the path to one peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathHealth {
    heard_at: Duration,
    asked_at: Option<Duration>,
    answers: u32,
    answers_needed: u32,
    up_since: Duration,
    was_cut: bool,
    /// Whether an attempt over the path was late and nothing was heard since.
    was_late: bool,
    /// Longest round trip of the last few, if one was measured.
    round_trip: Option<Duration>,
}

impl PathHealth {
    /// Builds the health of a path that was just opened.
    pub fn new(now: Duration) -> Self {
        Self {
            heard_at: now,
            asked_at: None,
            answers: 0,
            answers_needed: 0,
            up_since: now,
            was_cut: false,
            was_late: false,
            round_trip: None,
        }
    }

    /// Says whether the peer should be asked for a sign of life, and notes that it is.
    pub fn ask(&mut self, now: Duration, in_use: bool) -> bool {
        let silent = now.saturating_sub(self.heard_at) >= ASK_AFTER;
        let wanted = self.was_cut || ((in_use || self.was_late) && silent);
        if wanted && self.asked_at.is_none() {
            self.asked_at = Some(now);
            return true;
        }
        // A path that is cut is asked again, since the first question may be lost for good.
        wanted && self.is_cut(now)
    }

    /// Takes in that an attempt over the path was late. Such an attempt may be over long before a
    /// question would be asked, as the one beside it was answered.
    pub fn note_late(&mut self) {
        self.was_late = true;
    }

    /// Takes in that a frame came from the peer.
    pub fn note_heard(&mut self, now: Duration) {
        self.refresh(now);
        self.was_late = false;
        self.heard_at = now;
        self.asked_at = None;
    }

    /// Takes in how long the peer took to answer.
    pub fn note_round_trip(&mut self, took: Duration) {
        // A longer one counts at once, shorter ones little by little.
        let known = self.round_trip.unwrap_or(took);
        self.round_trip = Some(took.max(known - known / 8));
    }

    /// Returns the longest round trip of the last few, if one was measured.
    pub fn round_trip(&self) -> Option<Duration> {
        self.round_trip
    }

    /// Takes in that the peer answered a question.
    pub fn note_answer(&mut self, now: Duration) {
        if let Some(asked_at) = self.asked_at {
            self.note_round_trip(now.saturating_sub(asked_at));
        }
        self.note_heard(now);
        if !self.was_cut {
            return;
        }
        self.answers += 1;
        if self.answers >= self.answers_needed {
            self.was_cut = false;
            self.up_since = now;
        }
    }

    /// Takes in that the host slept: until the peer answers, the path is not known to work, and a question
    /// from before the sleep measures nothing.
    pub fn note_slept(&mut self, now: Duration) {
        self.asked_at = None;
        self.note_cut(now);
    }

    /// Takes in that the link broke or could not be made.
    pub fn note_broken(&mut self, now: Duration) {
        self.note_cut(now);
    }

    fn is_cut(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|asked_at| now.saturating_sub(asked_at) > self.silence_max())
    }

    /// Returns the silence after asking from which the path is thought cut.
    fn silence_max(&self) -> Duration {
        match self.round_trip {
            Some(round_trip) => (round_trip * SILENCE_ROUNDS).clamp(SILENCE_MIN, SILENCE_MAX),
            None => SILENCE_MAX,
        }
    }

    fn refresh(&mut self, now: Duration) {
        if self.is_cut(now) {
            self.note_cut(now);
        }
    }

    fn note_cut(&mut self, now: Duration) {
        if !self.was_cut {
            let forgotten = now.saturating_sub(self.up_since) > FORGET_AFTER;
            self.answers_needed = if forgotten || self.answers_needed == 0 {
                1
            } else {
                (self.answers_needed * 2).min(ANSWERS_NEEDED_MAX)
            };
        }
        self.was_cut = true;
        self.answers = 0;
    }

    /// Returns the time since a frame came from the peer.
    pub fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard_at)
    }

    /// Returns the state of the path at `now`.
    pub fn state(&mut self, now: Duration) -> PathState {
        self.refresh(now);
        if self.is_cut(now) {
            PathState::Cut
        } else if self.was_cut {
            PathState::Proving
        } else {
            PathState::Up
        }
    }
}
