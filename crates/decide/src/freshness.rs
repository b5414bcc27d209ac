// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decides whether a daemon is certain enough of its configuration to refuse a request by it.
//!
//! A refusal by the configuration ("there is no such route") is final, and is wrong if a later
//! configuration is in force elsewhere. A daemon receives confirmations that no configuration later
//! than its own has been accepted, and is certain of its configuration for [`CERTAIN_FOR`] after
//! each. The workload is requests for routes that a daemon doesn't know. Some arrive at a daemon
//! that was cut off from updates and misses a route that was just added. Others, in any number, are
//! for routes that never existed.

use std::time::Duration;

/// Age of the last confirmation up to which a daemon is certain. A configuration must be in force
/// within two seconds of its acceptance. Half of this time leaves the other half for the request
/// itself, and bounds the cost of unknown routes to one query a second.
pub const CERTAIN_FOR: Duration = Duration::from_secs(1);

/// Time for which a confirmation must stay valid when a daemon passes it on. The daemon that asked
/// uses the confirmation after a round trip, and confirmations near their end would have to be
/// asked for again with each request.
pub const PASSED_ON_FOR: Duration = Duration::from_millis(500);

/// `ConfirmationSource` says who confirmed that no later configuration was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// The platform's store.
    Store,
    /// Another daemon, which passed on its own last confirmation.
    Peer,
}

impl ConfirmationSource {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// `FreshConfirmation` confirms that no configuration later than the one in force was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshConfirmation {
    /// Moment up to which no configuration later than the one in force had been accepted.
    pub valid_at: Duration,
    /// Who sent the confirmation.
    pub source: ConfirmationSource,
}

/// `ConfigFreshness` keeps the last confirmation and its age.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigFreshness {
    confirmation: Option<FreshConfirmation>,
    /// Whether a later configuration is known that can't be put in force.
    outdated: bool,
}

impl ConfigFreshness {
    /// Records a confirmation. The confirmation stays valid when a later configuration comes into
    /// force. A confirmation that is older than the recorded one changes nothing.
    pub fn note_confirmation(&mut self, confirmation: FreshConfirmation) {
        if !self.outdated
            && self.confirmation.is_none_or(|known| confirmation.valid_at > known.valid_at)
        {
            self.confirmation = Some(confirmation);
        }
    }

    /// Records that a later configuration was accepted which this daemon can't put in force: no
    /// confirmation makes the daemon certain until a later configuration is in force.
    pub fn note_outdated(&mut self) {
        self.outdated = true;
        self.confirmation = None;
    }

    /// Records that the latest configuration can be put in force after all, or that a still later
    /// one was accepted.
    pub fn note_readable(&mut self) {
        self.outdated = false;
    }

    /// Says whether a later configuration is known that can't be put in force.
    pub fn is_outdated(&self) -> bool {
        self.outdated
    }

    /// Returns the last confirmation, if there was any.
    pub fn confirmation(&self) -> Option<FreshConfirmation> {
        self.confirmation
    }

    /// Returns the age of the last confirmation, if there was any.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmation.map(|confirmation| now.saturating_sub(confirmation.valid_at))
    }

    /// Says whether the last confirmation is recent enough to refuse a request by the
    /// configuration.
    pub fn is_certain(&self, now: Duration) -> bool {
        self.is_certain_for(now, Duration::ZERO)
    }

    /// Says whether the daemon will still be certain after `remaining` without a later
    /// confirmation.
    pub fn is_certain_for(&self, now: Duration, remaining: Duration) -> bool {
        self.age(now).is_some_and(|age| age + remaining <= CERTAIN_FOR)
    }
}
