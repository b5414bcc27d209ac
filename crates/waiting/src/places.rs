// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The places that one piece of work holds before the slots of several backend servers.
//!
//! The first host whose slot is free calls the work in. It goes there, and gives its other places up. Work that
//! has been called in is no longer in the book, so that nothing is called in twice.

use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;

/// `PlacePlan` says how many places work holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PlacePlan {
    /// Places held from the start: with two, the choice of the better host is made when its slot is free.
    pub at_first: usize,
    /// Places held at the most.
    pub most: usize,
    /// Hosts that are asked for a place at the most.
    pub tries: usize,
    /// Time after which work that nobody called in holds one place more: hosts that hold it may hang.
    pub widen_every: Duration,
}

impl Default for PlacePlan {
    fn default() -> Self {
        Self { at_first: 2, most: 3, tries: 8, widen_every: Duration::from_millis(500) }
    }
}

/// `PlaceWord` is what the host of a place says, with its reason `R` for a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceWord<R> {
    /// The work may come: a slot is free, or the next that gets free is the work's.
    CalledIn,
    /// The place is gone.
    Refused(R),
}

/// `HeldPlace` is a place before the slots of one backend server; dropping its handle `P` gives it up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeldPlace<P> {
    /// Position of the backend server among the upstreams of its service.
    pub index: usize,
    /// What holds the place.
    pub handle: P,
}

/// `PlaceBook` lists the places of one piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PlaceBook<P> {
    plan: PlacePlan,
    held: Vec<HeldPlace<P>>,
    wanted: usize,
    tries_left: usize,
}

impl<P> PlaceBook<P> {
    /// Builds an empty book.
    pub fn new(plan: PlacePlan) -> Self {
        Self { plan, held: Vec::new(), wanted: plan.at_first, tries_left: plan.tries }
    }

    /// Returns the number of places to ask for now.
    pub fn missing(&self) -> usize {
        self.wanted.saturating_sub(self.held.len()).min(self.tries_left)
    }

    /// Says whether no place is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the number of hosts that were asked for a place.
    pub fn tries(&self) -> usize {
        self.plan.tries - self.tries_left
    }

    /// Lists the positions at which places are held.
    pub fn indexes(&self) -> impl Iterator<Item = usize> + '_ {
        self.held.iter().map(|place| place.index)
    }

    /// Takes in that a host was asked for a place.
    pub fn push(&mut self, place: HeldPlace<P>) {
        self.tries_left = self.tries_left.saturating_sub(1);
        self.held.push(place);
    }

    /// Takes in that nobody called the work in for a while.
    pub fn widen(&mut self) {
        self.wanted = (self.wanted + 1).min(self.plan.most);
    }

    /// Takes the place out of the book that one position holds, called in or refused.
    pub fn take(&mut self, index: usize) -> Option<HeldPlace<P>> {
        let position = self.held.iter().position(|place| place.index == index)?;
        Some(self.held.swap_remove(position))
    }

    /// Waits for the next word of a host that `poll` brings, and takes its place out of the book.
    pub async fn next<R>(
        &mut self,
        mut poll: impl FnMut(&P, &mut Context<'_>) -> Poll<PlaceWord<R>>,
    ) -> (HeldPlace<P>, PlaceWord<R>) {
        poll_fn(|context| {
            for position in 0..self.held.len() {
                if let Poll::Ready(word) = poll(&self.held[position].handle, context) {
                    return Poll::Ready((self.held.swap_remove(position), word));
                }
            }
            Poll::Pending
        })
        .await
    }
}
