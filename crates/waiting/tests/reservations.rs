// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Model check of the reservations of one request, over the set that the ingress uses.
//!
//! Two hosts with one slot each. Offers, the request, cancellations and refusals may be delayed in
//! any order, a host may withdraw an offer, stop or be cut off, and the ingress may give up. The
//! request starts at most once, and no slot stays taken by an offer.

use std::collections::{HashSet, VecDeque};

use basaltarch_waiting::reservations::{HeldReservation, ReservationPlan, ReservationSet};

const HOSTS: usize = 2;

/// `HostReservation` is the state of the reservation at one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum HostReservation {
    /// None was requested from the host, or it is over.
    None,
    /// The reservation waits for a slot.
    Waiting,
    /// The slot is taken and was offered to the request.
    Offered,
    /// The request has started.
    Started,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum HostMessage {
    Reserve,
    Request,
    Cancel,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum IngressMessage {
    Offer,
    Refusal,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    /// The reservations held; none once the request was sent or given up.
    set: Option<ReservationSet<()>>,
    hosts: [HostReservation; HOSTS],
    is_up: [bool; HOSTS],
    to_host: [VecDeque<HostMessage>; HOSTS],
    to_ingress: [VecDeque<IngressMessage>; HOSTS],
    started: usize,
}

impl ModelState {
    fn new() -> Self {
        let plan = ReservationPlan { tries: HOSTS, ..ReservationPlan::default() };
        Self {
            set: Some(ReservationSet::new(plan)),
            hosts: [HostReservation::None; HOSTS],
            is_up: [true; HOSTS],
            to_host: Default::default(),
            to_ingress: Default::default(),
            started: 0,
        }
    }

    /// Cancels all reservations that are left in a set.
    fn cancel_all(&mut self, set: &ReservationSet<()>) {
        for index in set.indexes() {
            self.to_host[index].push_back(HostMessage::Cancel);
        }
    }

    /// Lists every state that may follow.
    fn successors(&self, drops_late: bool) -> Vec<ModelState> {
        let mut states = Vec::new();
        let mut add = |change: &dyn Fn(&mut ModelState)| {
            let mut state = self.clone();
            change(&mut state);
            states.push(state);
        };
        if let Some(set) = &self.set {
            if set.missing() > 0 {
                add(&|state| {
                    let index = state.set.as_ref().map_or(0, ReservationSet::tries);
                    let set = state.set.as_mut().expect("a set");
                    set.push(HeldReservation { index, handle: () });
                    state.to_host[index].push_back(HostMessage::Reserve);
                });
            }
            add(&|state| {
                let set = state.set.take().expect("a set");
                state.cancel_all(&set);
            });
        }
        for host in 0..HOSTS {
            if !self.to_host[host].is_empty() {
                add(&|state| state.deliver_to_host(host, drops_late));
            }
            if !self.to_ingress[host].is_empty() {
                add(&|state| state.deliver_to_ingress(host));
            }
            match self.hosts[host] {
                HostReservation::Waiting => add(&|state| {
                    state.hosts[host] = HostReservation::Offered;
                    state.to_ingress[host].push_back(IngressMessage::Offer);
                }),
                // The request didn't arrive in time.
                HostReservation::Offered => add(&|state| {
                    state.hosts[host] = HostReservation::None;
                    state.to_ingress[host].push_back(IngressMessage::Refusal);
                }),
                HostReservation::None | HostReservation::Started => {}
            }
            if self.is_up[host] {
                // The host stops: the ingress sees its link close.
                add(&|state| {
                    state.is_up[host] = false;
                    state.hosts[host] = HostReservation::None;
                    state.to_host[host].clear();
                    state.to_ingress[host] = VecDeque::from([IngressMessage::Refusal]);
                });
            }
        }
        states
    }

    fn deliver_to_host(&mut self, host: usize, drops_late: bool) {
        let message = self.to_host[host].pop_front().expect("a message");
        match (message, self.hosts[host]) {
            _ if !self.is_up[host] => {}
            (HostMessage::Reserve, _) => self.hosts[host] = HostReservation::Waiting,
            (HostMessage::Request, HostReservation::Offered) => {
                self.hosts[host] = HostReservation::Started;
                self.started += 1;
            }
            // A host drops a request whose reservation is over; without that check it would start
            // it.
            (HostMessage::Request, _) if !drops_late => self.started += 1,
            (HostMessage::Cancel, HostReservation::Waiting | HostReservation::Offered) => {
                self.hosts[host] = HostReservation::None;
            }
            (HostMessage::Request | HostMessage::Cancel, _) => {}
        }
    }

    fn deliver_to_ingress(&mut self, host: usize) {
        let message = self.to_ingress[host].pop_front().expect("a message");
        let Some(mut set) = self.set.take() else { return };
        let reservation = set.take(host);
        match message {
            IngressMessage::Offer if reservation.is_some() => {
                self.to_host[host].push_back(HostMessage::Request);
                self.cancel_all(&set);
            }
            _ => self.set = Some(set),
        }
    }
}

/// Explores all reachable states; returns how often the request started at the most, and the number
/// of states.
fn explore(drops_late: bool) -> (usize, usize) {
    let mut seen = HashSet::from([ModelState::new()]);
    let mut pending = vec![ModelState::new()];
    let mut started_max = 0;
    while let Some(state) = pending.pop() {
        started_max = started_max.max(state.started);
        let successors = state.successors(drops_late);
        if successors.is_empty() {
            assert!(
                !state.hosts.contains(&HostReservation::Offered),
                "a slot stays taken by an offer: {state:?}"
            );
        }
        for state in successors {
            if seen.insert(state.clone()) {
                pending.push(state);
            }
        }
    }
    (started_max, seen.len())
}

#[test]
fn verify_a_request_starts_at_most_once_and_no_slot_stays_taken() {
    let (started, states) = explore(true);
    assert_eq!(started, 1);
    assert!(states > 500, "only {states} states were reached");
}

#[test]
fn verify_the_model_detects_a_request_that_starts_after_its_reservation_ended() {
    // The ingress has received the refusal and may try elsewhere, and the delayed request starts as
    // well.
    let started_after_refusal = {
        let mut state = ModelState::new();
        state.hosts[0] = HostReservation::None;
        state.to_host[0].push_back(HostMessage::Request);
        state.deliver_to_host(0, false);
        state.started
    };
    assert_eq!(started_after_refusal, 1);
    let mut state = ModelState::new();
    state.to_host[0].push_back(HostMessage::Request);
    state.deliver_to_host(0, true);
    assert_eq!(state.started, 0, "a request whose reservation is over doesn't start");
}

#[test]
fn verify_reservations_are_requested_as_planned() {
    let plan = ReservationPlan { initial: 2, max_held: 3, tries: 4, ..ReservationPlan::default() };
    let mut set = ReservationSet::new(plan);
    assert_eq!(set.missing(), 2);
    (0..2).for_each(|index| set.push(HeldReservation { index, handle: () }));
    assert_eq!(set.missing(), 0);
    set.widen();
    set.widen();
    assert_eq!(set.missing(), 1, "never more than the maximum");
    set.push(HeldReservation { index: 2, handle: () });
    assert!(set.take(0).is_some());
    assert!(set.take(0).is_none(), "a reservation ends once");
    assert_eq!(set.missing(), 1);
    set.push(HeldReservation { index: 3, handle: () });
    assert!(set.take(1).is_some());
    assert_eq!(set.missing(), 0, "no host is left to ask");
}
