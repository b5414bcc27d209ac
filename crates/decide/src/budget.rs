// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The retry budget of a service, over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Slots that a window is divided into: the window that is counted is longer than the configured
/// one by a tenth at the most.
const WINDOW_SLOTS: u32 = 10;

/// `BudgetTerms` says how many retries a service may make in one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries allowed, as a share of the window's requests.
    pub share: f64,
    /// Retries allowed beyond `share`: this daemon's part of the extra retries of the fleet.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// `FleetExtra` says how many retries beyond the share of requests the whole fleet may make, and what
/// decides how many of them fall to one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetExtra {
    /// Extra retries of the fleet in one window.
    pub retries: f64,
    /// Number of daemons.
    pub daemons: usize,
    /// Time since the daemon's start.
    pub age: Duration,
    /// Whether the daemon is known to have started for the first time.
    pub is_first_start: bool,
}

impl FleetExtra {
    /// Returns the extra retries of the daemon in a window of this length. An earlier incarnation of
    /// the daemon may have used its part up just before its end, so a daemon that has started again
    /// gets none until a window has passed.
    pub fn part(&self, window: Duration) -> f64 {
        if !self.is_first_start && self.age < window {
            return 0.0;
        }
        self.retries / self.daemons.max(1) as f64
    }
}

/// `BudgetSlot` counts one slot of the window.
#[derive(Debug, Clone, Copy, PartialEq)]
struct BudgetSlot {
    number: u64,
    requests: u32,
    retries: u32,
}

/// `RetryBudget` allows a share of requests to be retried. In any window, the retries stay within
/// what its terms allow for the requests of the same window.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryBudget {
    terms: BudgetTerms,
    slots: VecDeque<BudgetSlot>,
}

impl RetryBudget {
    /// Builds a budget with these terms.
    pub fn new(terms: BudgetTerms) -> Self {
        Self { terms, slots: VecDeque::new() }
    }

    /// Changes the terms; retries already made still count.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Records that a request arrived.
    pub fn note_request(&mut self, now: Duration) {
        self.slot_mut(now).requests += 1;
    }

    /// Records a retry that was made without asking the budget: a nested call of a request that was
    /// itself retried.
    pub fn note_retry(&mut self, now: Duration) {
        self.slot_mut(now).retries += 1;
    }

    /// Says whether the budget allows a retry.
    pub fn has_room(&mut self, now: Duration) -> bool {
        self.remaining(now) >= 1.0
    }

    /// Returns the retries that may be made now.
    pub fn remaining(&mut self, now: Duration) -> f64 {
        self.slot_mut(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = self.slots.iter().map(|slot| slot.retries).sum();
        let allowed = self.terms.share * f64::from(requests) + self.terms.extra;
        allowed - f64::from(retries)
    }

    /// Takes one retry from the budget, if it allows one.
    pub fn take(&mut self, now: Duration) -> bool {
        let is_allowed = self.has_room(now);
        if is_allowed {
            self.slot_mut(now).retries += 1;
        }
        is_allowed
    }

    /// Returns the slot of `now`, and removes the slots that are older than the window.
    fn slot_mut(&mut self, now: Duration) -> &mut BudgetSlot {
        let slot_length = (self.terms.window / WINDOW_SLOTS).max(Duration::from_millis(1));
        let number = (now.as_nanos() / slot_length.as_nanos()) as u64;
        while self.slots.front().is_some_and(|slot| slot.number + u64::from(WINDOW_SLOTS) < number)
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(BudgetSlot { number, requests: 0, retries: 0 });
        }
        self.slots.back_mut().unwrap_or_else(|| unreachable!("pushed above"))
    }
}
