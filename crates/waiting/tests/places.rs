// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Every order in which the messages about the places of one piece of work can come, over the book that runs.
//!
//! Two hosts with one slot each. Calls, the work, cancels and refusals may be late, a host may give a call up, end,
//! or be cut off; the ingress may give up. The work begins at most once, and no slot stays held.

use std::collections::{HashSet, VecDeque};

use basaltarch_waiting::places::{HeldPlace, PlaceBook, PlacePlan};

const HOSTS: usize = 2;

/// What a host thinks of the place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum HostPlace {
    /// It was never asked, or the place is over.
    None,
    /// The work waits.
    Waiting,
    /// The slot is held and the work was called in.
    Held,
    /// The work has begun.
    Begun,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum HostMessage {
    Ask,
    Work,
    Cancel,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum IngressMessage {
    Call,
    Refusal,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    /// The places held; none once the work was sent or given up.
    book: Option<PlaceBook<()>>,
    hosts: [HostPlace; HOSTS],
    is_up: [bool; HOSTS],
    to_host: [VecDeque<HostMessage>; HOSTS],
    to_ingress: [VecDeque<IngressMessage>; HOSTS],
    begun: usize,
}

impl World {
    fn new() -> Self {
        let plan = PlacePlan { tries: HOSTS, ..PlacePlan::default() };
        Self {
            book: Some(PlaceBook::new(plan)),
            hosts: [HostPlace::None; HOSTS],
            is_up: [true; HOSTS],
            to_host: Default::default(),
            to_ingress: Default::default(),
            begun: 0,
        }
    }

    /// Gives all places up that are left in a book.
    fn cancel_all(&mut self, book: &PlaceBook<()>) {
        for index in book.indexes() {
            self.to_host[index].push_back(HostMessage::Cancel);
        }
    }

    /// Lists every world that may follow.
    fn next(&self, guarded: bool) -> Vec<World> {
        let mut worlds = Vec::new();
        let mut add = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            worlds.push(world);
        };
        if let Some(book) = &self.book {
            if book.missing() > 0 {
                add(&|world| {
                    let index = world.book.as_ref().map_or(0, PlaceBook::tries);
                    let book = world.book.as_mut().expect("a book");
                    book.push(HeldPlace { index, handle: () });
                    world.to_host[index].push_back(HostMessage::Ask);
                });
            }
            add(&|world| {
                let book = world.book.take().expect("a book");
                world.cancel_all(&book);
            });
        }
        for host in 0..HOSTS {
            if !self.to_host[host].is_empty() {
                add(&|world| world.reach_host(host, guarded));
            }
            if !self.to_ingress[host].is_empty() {
                add(&|world| world.reach_ingress(host));
            }
            match self.hosts[host] {
                HostPlace::Waiting => add(&|world| {
                    world.hosts[host] = HostPlace::Held;
                    world.to_ingress[host].push_back(IngressMessage::Call);
                }),
                // The work didn't come in time.
                HostPlace::Held => add(&|world| {
                    world.hosts[host] = HostPlace::None;
                    world.to_ingress[host].push_back(IngressMessage::Refusal);
                }),
                HostPlace::None | HostPlace::Begun => {}
            }
            if self.is_up[host] {
                // The host ends: its link tells the ingress.
                add(&|world| {
                    world.is_up[host] = false;
                    world.hosts[host] = HostPlace::None;
                    world.to_host[host].clear();
                    world.to_ingress[host] = VecDeque::from([IngressMessage::Refusal]);
                });
            }
        }
        worlds
    }

    fn reach_host(&mut self, host: usize, guarded: bool) {
        let message = self.to_host[host].pop_front().expect("a message");
        match (message, self.hosts[host]) {
            _ if !self.is_up[host] => {}
            (HostMessage::Ask, _) => self.hosts[host] = HostPlace::Waiting,
            (HostMessage::Work, HostPlace::Held) => {
                self.hosts[host] = HostPlace::Begun;
                self.begun += 1;
            }
            // A host that has given the place up passes the work over; without that guard it would begin it.
            (HostMessage::Work, _) if !guarded => self.begun += 1,
            (HostMessage::Cancel, HostPlace::Waiting | HostPlace::Held) => {
                self.hosts[host] = HostPlace::None;
            }
            (HostMessage::Work | HostMessage::Cancel, _) => {}
        }
    }

    fn reach_ingress(&mut self, host: usize) {
        let message = self.to_ingress[host].pop_front().expect("a message");
        let Some(mut book) = self.book.take() else { return };
        let place = book.take(host);
        match message {
            IngressMessage::Call if place.is_some() => {
                self.to_host[host].push_back(HostMessage::Work);
                self.cancel_all(&book);
            }
            _ => self.book = Some(book),
        }
    }
}

/// Explores all worlds that can be reached; returns the most times that the work began, and the number of worlds.
fn explore(guarded: bool) -> (usize, usize) {
    let mut seen = HashSet::from([World::new()]);
    let mut open = vec![World::new()];
    let mut begun_most = 0;
    while let Some(world) = open.pop() {
        begun_most = begun_most.max(world.begun);
        let next = world.next(guarded);
        if next.is_empty() {
            assert!(!world.hosts.contains(&HostPlace::Held), "a slot stays held: {world:?}");
        }
        for world in next {
            if seen.insert(world.clone()) {
                open.push(world);
            }
        }
    }
    (begun_most, seen.len())
}

#[test]
fn verify_work_begins_at_most_once_and_no_slot_stays_held() {
    let (begun, worlds) = explore(true);
    assert_eq!(begun, 1);
    assert!(worlds > 500, "{worlds} worlds are few");
}

#[test]
fn verify_the_model_sees_work_that_begins_after_its_place_was_given_up() {
    // A refusal is told, so that the ingress may begin anew elsewhere, and the work that is late begins as well.
    let refused_and_begun = {
        let mut world = World::new();
        world.hosts[0] = HostPlace::None;
        world.to_host[0].push_back(HostMessage::Work);
        world.reach_host(0, false);
        world.begun
    };
    assert_eq!(refused_and_begun, 1);
    let mut world = World::new();
    world.to_host[0].push_back(HostMessage::Work);
    world.reach_host(0, true);
    assert_eq!(world.begun, 0, "what was given up doesn't begin");
}

#[test]
fn verify_places_are_asked_for_as_planned() {
    let plan = PlacePlan { at_first: 2, most: 3, tries: 4, ..PlacePlan::default() };
    let mut book = PlaceBook::new(plan);
    assert_eq!(book.missing(), 2);
    (0..2).for_each(|index| book.push(HeldPlace { index, handle: () }));
    assert_eq!(book.missing(), 0);
    book.widen();
    book.widen();
    assert_eq!(book.missing(), 1, "never more than the most");
    book.push(HeldPlace { index: 2, handle: () });
    assert!(book.take(0).is_some());
    assert!(book.take(0).is_none(), "a place ends once");
    assert_eq!(book.missing(), 1);
    book.push(HeldPlace { index: 3, handle: () });
    assert!(book.take(1).is_some());
    assert_eq!(book.missing(), 0, "no host is left to ask");
}
