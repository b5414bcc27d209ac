// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How the fleet started, as far as one of its daemons knows: whether tokens of a limit may have
//! been granted before this daemon counted the limit.

use std::time::Duration;

/// Time within which the daemons of a fleet start together, and know each other.
pub const START_WINDOW: Duration = Duration::from_secs(3);

/// `FleetStart` says whether a daemon may have started together with all other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetStart {
    /// The fleet started for the first time, so that no tokens were granted before.
    First,
    /// The daemon started a moment ago, and not for the first time. If all daemons were killed at
    /// once, their earlier grants are no longer known, and a burst could be granted a second time.
    Restart,
    /// The daemon started longer ago, or joined a running fleet.
    Settled,
}

impl FleetStart {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Restart => "restart",
            Self::Settled => "settled",
        }
    }
}

/// `StartFacts` is what a daemon knows of its own start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartFacts {
    /// Time since the daemon's start.
    pub age: Duration,
    /// Whether the table of hosts was read.
    pub has_read_table: bool,
    /// Whether the store or a peer reported an earlier start of the daemon's host.
    pub had_earlier_start: bool,
    /// How much earlier than this daemon the first of the other known daemons started.
    pub others_lead: Duration,
}

impl StartFacts {
    /// Returns how the fleet started, as far as that matters for this daemon now.
    pub fn fleet_start(&self) -> FleetStart {
        if self.age >= START_WINDOW {
            return FleetStart::Settled;
        }
        match self.is_first_start() {
            true => FleetStart::First,
            false if self.joined_fleet() => FleetStart::Settled,
            false => FleetStart::Restart,
        }
    }

    /// Returns how the fleet started, for the owner of a limit that is asked for tokens for the
    /// first time now. The hosts that may own limits have been the same since the age
    /// `unchanged_since` of this daemon: if the fleet has not changed since its first start, no
    /// other daemon can have granted the tokens, however late the first request comes.
    pub fn owner_start(&self, unchanged_since: Duration) -> FleetStart {
        match self.is_first_start() && unchanged_since < START_WINDOW {
            true => FleetStart::First,
            false => self.fleet_start(),
        }
    }

    fn is_first_start(&self) -> bool {
        self.has_read_table && !self.had_earlier_start && !self.joined_fleet()
    }

    /// Says whether the other daemons ran long before this daemon started for the first time.
    fn joined_fleet(&self) -> bool {
        self.has_read_table && !self.had_earlier_start && self.others_lead > START_WINDOW
    }
}
