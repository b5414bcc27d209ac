// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The health of the network path to a peer, apart from the health of the upstreams behind it.

use std::time::Duration;

/// Time without any frame on a link with open exchanges after which the peer is probed. The typical
/// service time is as long, so that an answer often makes the probe unnecessary.
pub const PROBE_AFTER: Duration = Duration::from_millis(150);
/// Time in round trips for which a reply is awaited before a probe is sent, if that is longer than
/// [`PROBE_AFTER`].
const REPLY_ROUNDS: u32 = 2;
/// Time without any frame after a probe from which a path counts as cut while its round trip is not
/// known: four times the round trip between far regions (0.3 s). A cut of either direction stops
/// the frames that this daemon receives, and makes the path useless.
pub const SILENCE_MAX: Duration = Duration::from_millis(1200);
/// Lower bound of the time without any frame after a probe from which a path with a known round
/// trip counts as cut: a host that gets its share of a processor in slices of tenths of a second
/// sends nothing for as long, and a lost packet is retransmitted after 200 ms.
pub const SILENCE_MIN: Duration = Duration::from_millis(350);
/// Time without any frame after a probe, in round trips, from which a path counts as cut.
const SILENCE_ROUNDS: u32 = 4;
/// Maximum number of consecutive answers that are required before a flapping path is used again.
const ANSWERS_NEEDED_MAX: u32 = 32;
/// Time without a cut after which the previous cuts of a path are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// `PathState` says whether a path can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// The peer answers.
    Up,
    /// The peer does not answer.
    Cut,
    /// The peer answers again, but the path was cut recently, and the peer has answered too few
    /// probes since the cut.
    Proving,
}

/// `PathHealth` is the health of the path to one peer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathHealth {
    received_at: Duration,
    probed_at: Option<Duration>,
    probe_answers: u32,
    probe_answers_needed: u32,
    up_since: Duration,
    was_cut: bool,
    /// Whether a probe was requested and no frame has arrived since.
    is_probe_requested: bool,
    /// Since when a reply has been awaited; `None` once a frame has arrived.
    reply_awaited_since: Option<Duration>,
    /// Longest of the recent round trips, if one was measured.
    round_trip: Option<Duration>,
}

impl PathHealth {
    /// Builds the health of a path that was just opened.
    pub fn new(now: Duration) -> Self {
        Self {
            received_at: now,
            probed_at: None,
            probe_answers: 0,
            probe_answers_needed: 0,
            up_since: now,
            was_cut: false,
            is_probe_requested: false,
            reply_awaited_since: None,
            round_trip: None,
        }
    }

    /// Says whether the peer should be probed now, and records the probe if so; `in_use` says
    /// whether the link has open exchanges.
    pub fn probe(&mut self, now: Duration, in_use: bool) -> bool {
        let has_no_recent_frame = now.saturating_sub(self.received_at) >= PROBE_AFTER;
        let is_wanted = in_use || self.is_probe_requested;
        let should_probe =
            self.was_cut || is_wanted && has_no_recent_frame || self.is_reply_overdue(now);
        if should_probe && self.probed_at.is_none() {
            self.probed_at = Some(now);
            return true;
        }
        // A path that is cut is probed again, since the first probe may be lost.
        should_probe && self.is_cut(now)
    }

    /// Makes a probe due even if the link has no open exchanges by [`PROBE_AFTER`].
    pub fn request_probe(&mut self) {
        self.is_probe_requested = true;
    }

    /// Records that the peer was sent a message that it replies to. A probe is due if no frame
    /// arrives in the time that a reply takes.
    pub fn await_reply(&mut self, now: Duration) {
        self.reply_awaited_since.get_or_insert(now);
    }

    fn is_reply_overdue(&self, now: Duration) -> bool {
        let rounds = self.round_trip.unwrap_or_default() * REPLY_ROUNDS;
        let reply_time = rounds.max(PROBE_AFTER);
        self.reply_awaited_since.is_some_and(|since| now.saturating_sub(since) >= reply_time)
    }

    /// Records that a frame arrived from the peer.
    pub fn note_frame(&mut self, now: Duration) {
        self.expire_path(now);
        self.is_probe_requested = false;
        self.reply_awaited_since = None;
        self.received_at = now;
        self.probed_at = None;
    }

    /// Records a round trip to the peer.
    pub fn note_round_trip(&mut self, took: Duration) {
        // A longer round trip raises the value at once, shorter ones lower it gradually.
        let longest_recent = self.round_trip.unwrap_or(took);
        self.round_trip = Some(took.max(longest_recent - longest_recent / 8));
    }

    /// Returns the longest of the recent round trips, if one was measured.
    pub fn round_trip(&self) -> Option<Duration> {
        self.round_trip
    }

    /// Records that the peer answered a probe.
    pub fn note_answer(&mut self, now: Duration) {
        if let Some(probed_at) = self.probed_at {
            self.note_round_trip(now.saturating_sub(probed_at));
        }
        self.note_frame(now);
        if !self.was_cut {
            return;
        }
        self.probe_answers += 1;
        if self.probe_answers >= self.probe_answers_needed {
            self.was_cut = false;
            self.up_since = now;
        }
    }

    /// Records that this daemon's host was suspended. The path is not known to work until the peer
    /// answers, and the answer to a probe from before the suspension measures no round trip.
    pub fn note_resumed(&mut self, now: Duration) {
        self.probed_at = None;
        self.note_cut(now);
    }

    /// Records that the link broke or could not be opened.
    pub fn note_broken(&mut self, now: Duration) {
        self.note_cut(now);
    }

    fn is_cut(&self, now: Duration) -> bool {
        self.probed_at.is_some_and(|probed_at| now.saturating_sub(probed_at) > self.silence_max())
    }

    /// Returns the time without any frame after a probe from which the path counts as cut.
    fn silence_max(&self) -> Duration {
        match self.round_trip {
            Some(round_trip) => (round_trip * SILENCE_ROUNDS).clamp(SILENCE_MIN, SILENCE_MAX),
            None => SILENCE_MAX,
        }
    }

    fn expire_path(&mut self, now: Duration) {
        if self.is_cut(now) {
            self.note_cut(now);
        }
    }

    fn note_cut(&mut self, now: Duration) {
        if !self.was_cut {
            let is_forgotten = now.saturating_sub(self.up_since) > FORGET_AFTER;
            self.probe_answers_needed = if is_forgotten || self.probe_answers_needed == 0 {
                1
            } else {
                (self.probe_answers_needed * 2).min(ANSWERS_NEEDED_MAX)
            };
        }
        self.was_cut = true;
        self.probe_answers = 0;
    }

    /// Returns the time since the last frame from the peer.
    pub fn time_since_frame(&self, now: Duration) -> Duration {
        now.saturating_sub(self.received_at)
    }

    /// Returns the state of the path at `now`.
    pub fn state(&mut self, now: Duration) -> PathState {
        self.expire_path(now);
        if self.is_cut(now) {
            PathState::Cut
        } else if self.was_cut {
            PathState::Proving
        } else {
            PathState::Up
        }
    }
}
