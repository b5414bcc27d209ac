// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The reservations that one request holds for slots of several backend servers.
//!
//! The first host with a free slot offers it to the request, which goes there and releases its
//! other reservations. A reservation that was offered a slot is no longer in the set, so that the
//! request is not sent for it twice.

use std::future::poll_fn;
use std::task::{Context, Poll};
use std::time::Duration;

/// `ReservationPlan` sets how many reservations a request holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReservationPlan {
    /// Reservations held from the start. With two, the better host is chosen only once one of them
    /// has a free slot.
    pub initial: usize,
    /// Maximum number of reservations held at once.
    pub max_held: usize,
    /// Maximum number of hosts that are asked for a reservation.
    pub tries: usize,
    /// Time after which a request without an offer adds one reservation, as the hosts that hold its
    /// other reservations may hang.
    pub widen_every: Duration,
}

impl Default for ReservationPlan {
    fn default() -> Self {
        Self { initial: 2, max_held: 3, tries: 8, widen_every: Duration::from_millis(500) }
    }
}

/// `ReservationReply` is the answer of a host to a reservation. `R` is the type of the reason for a
/// refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationReply<R> {
    /// The host offers a slot: a free one, or the next that becomes free.
    SlotOffered,
    /// The host refused or ended the reservation.
    Refused(R),
}

/// `HeldReservation` is a reservation for a slot of one backend server; dropping its handle `P`
/// releases it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeldReservation<P> {
    /// Position of the backend server among the upstreams of its service.
    pub index: usize,
    /// Handle whose drop releases the reservation.
    pub handle: P,
}

/// `ReservationSet` is the set of reservations of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReservationSet<P> {
    plan: ReservationPlan,
    held: Vec<HeldReservation<P>>,
    wanted: usize,
    tries_left: usize,
}

impl<P> ReservationSet<P> {
    /// Builds an empty set.
    pub fn new(plan: ReservationPlan) -> Self {
        Self { plan, held: Vec::new(), wanted: plan.initial, tries_left: plan.tries }
    }

    /// Returns the number of further reservations for which hosts should be asked now.
    pub fn missing(&self) -> usize {
        self.wanted.saturating_sub(self.held.len()).min(self.tries_left)
    }

    /// Says whether the set holds no reservation.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the number of hosts that were asked for a reservation.
    pub fn tries(&self) -> usize {
        self.plan.tries - self.tries_left
    }

    /// Lists the positions of the backend servers with which reservations are held.
    pub fn indexes(&self) -> impl Iterator<Item = usize> + '_ {
        self.held.iter().map(|reservation| reservation.index)
    }

    /// Adds a reservation for which a host was just asked.
    pub fn push(&mut self, reservation: HeldReservation<P>) {
        self.tries_left = self.tries_left.saturating_sub(1);
        self.held.push(reservation);
    }

    /// Lets all hosts be asked again, as none of them holds a reservation.
    pub fn renew_tries(&mut self) {
        self.tries_left = self.plan.tries;
    }

    /// Raises the number of reservations by one, as no host has offered a slot for a while.
    pub fn widen(&mut self) {
        self.wanted = (self.wanted + 1).min(self.plan.max_held);
    }

    /// Removes the reservation at one position from the set, after an offer or a refusal.
    pub fn take(&mut self, index: usize) -> Option<HeldReservation<P>> {
        let position = self.held.iter().position(|reservation| reservation.index == index)?;
        Some(self.held.swap_remove(position))
    }

    /// Waits for the next reply of a host, which `poll` returns, and removes its reservation from
    /// the set.
    pub async fn next<R>(
        &mut self,
        mut poll: impl FnMut(&P, &mut Context<'_>) -> Poll<ReservationReply<R>>,
    ) -> (HeldReservation<P>, ReservationReply<R>) {
        poll_fn(|context| {
            for position in 0..self.held.len() {
                if let Poll::Ready(reply) = poll(&self.held[position].handle, context) {
                    return Poll::Ready((self.held.swap_remove(position), reply));
                }
            }
            Poll::Pending
        })
        .await
    }
}
