// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Slots of one backend server, and who waits before them.
//!
//! Slots are counted exactly. Whoever can't be served in time is refused at once rather than near the deadline.
//! Work waits here in one of two ways: whole, so that it is lost with this daemon, or by a place that it holds here
//! and at other hosts, which costs the others nothing.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;
use basaltarch_decide::order::{self, WaitingWork};
use basaltarch_decide::proof::ProofTerms;

/// Share of the time left that whole work may wait for a slot: what has waited for longer is seldom done in
/// time, and its caller can still turn elsewhere.
const WAIT_SHARE_MAX: f64 = 0.45;
/// Places for each slot that can be held at once. Work holds several and takes one, so that this is as much as
/// callers usually wait for; each costs the daemon about two kilobytes.
const PLACES_PER_SLOT: u32 = 8;
/// Work that is called in ahead of the slots that are free: it comes while the next slot gets free, which would stand
/// idle for a way there and back otherwise.
const CALLED_AHEAD: u32 = 1;
/// Part of a place that counts as work before others: the rest of the work that holds it goes elsewhere.
const PLACE_WEIGHT: f64 = 0.5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitState {
    Waiting,
    Granted,
    Refused(NotRunReason),
}

/// `WaitKind` says what waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitKind {
    /// Work that was sent here to wait.
    Whole,
    /// A place; its work is still at its ingress, and may hold places elsewhere too.
    Place,
    /// Work that came when it was called in.
    CalledIn,
}

struct QueueWaiter {
    kind: WaitKind,
    request: SlotRequest,
    state: Cell<WaitState>,
    waker: RefCell<Option<Waker>>,
}

impl QueueWaiter {
    fn settle(&self, state: WaitState) {
        self.state.set(state);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// `SlotQueue` gives out the slots of one backend server.
pub struct SlotQueue {
    clock: DaemonClock,
    slots: Cell<u32>,
    used: Cell<u32>,
    /// Work that was called in and has no slot yet.
    called: Cell<u32>,
    /// When a call of running work last had to wait.
    call_waited_at: Cell<Option<Duration>>,
    /// When work last ended well.
    ended_at: Cell<Option<Duration>>,
    limit: Cell<u32>,
    waiting: RefCell<Vec<Rc<QueueWaiter>>>,
    /// Slots that were given to work that had waited.
    turn: Cell<u32>,
}

/// `SlotRequest` asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// What the order of those who wait goes by.
    pub work: WaitingWork,
    /// Whether the ingress can send the work elsewhere within the floor.
    pub refusable: bool,
    /// Whether the ingress can ask another upstream.
    pub passable: bool,
    /// Whether the work must not be repeated and goes, while it can, where work ended lately.
    pub wants_proof: bool,
}

impl SlotQueue {
    /// Builds a queue of at most `limit` before `slots`.
    pub fn new(slots: u32, limit: u32, clock: DaemonClock) -> Self {
        Self {
            clock,
            slots: Cell::new(slots),
            used: Cell::new(0),
            called: Cell::new(0),
            call_waited_at: Cell::new(None),
            ended_at: Cell::new(None),
            limit: Cell::new(limit),
            waiting: RefCell::default(),
            turn: Cell::new(0),
        }
    }

    /// Changes the numbers; slots in use stay so until they are given back.
    pub fn configure(&self, slots: u32, limit: u32) {
        self.slots.set(slots);
        self.limit.set(limit);
        self.hand_on();
    }

    /// Takes in that work ended well.
    pub fn note_end(&self) {
        self.ended_at.set(Some(self.clock.now()));
    }

    /// Says whether a request should go elsewhere for now, as nothing shows that the backend server doesn't hang.
    fn lacks_proof(&self, request: &SlotRequest, now: Duration) -> bool {
        let terms = ProofTerms {
            running: self.used.get() + self.called.get(),
            quiet: self.ended_at.get().map(|at| now.saturating_sub(at)),
            usual: request.work.usual,
        };
        request.wants_proof && terms.is_unproven()
    }

    /// Says whether work may get a slot now, or be called in.
    fn may_start(&self, kind: WaitKind, request: &SlotRequest, now: Duration) -> bool {
        let work = &request.work;
        let waited_at = self.call_waited_at.get();
        let calls_wait = waited_at.is_some_and(|at| now.saturating_sub(at) < order::KEEP_TIME);
        let open = order::open_slots(self.slots.get(), work.is_call, calls_wait);
        let taken = self.used.get() + self.called.get();
        match kind {
            WaitKind::CalledIn => !self.is_full(),
            WaitKind::Whole => taken < open,
            WaitKind::Place => taken < open + CALLED_AHEAD && !self.lacks_proof(request, now),
        }
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Returns the number of slots in use.
    pub fn used(&self) -> u32 {
        self.used.get()
    }

    /// Says whether no slot is free.
    pub fn is_full(&self) -> bool {
        self.used.get() >= self.slots.get()
    }

    /// Returns the number of requests that wait; of places, as many as are likely to be called in.
    pub fn queued(&self) -> u32 {
        let waiting = self.waiting.borrow();
        weight_of(waiting.iter()).ceil() as u32
    }

    /// Says whether whole work of this class would be let into a slot or the queue.
    pub fn has_room(&self, class: WorkClass) -> bool {
        let waiting = self.waiting.borrow();
        let mut whole = waiting.iter().filter(|waiter| waiter.kind == WaitKind::Whole);
        self.used.get() < self.slots.get()
            || whole.clone().count() < self.limit.get() as usize
            || whole.any(|waiter| waiter.request.work.class < class)
    }

    /// Takes a slot, waiting for one if the queue has room.
    pub async fn acquire(self: &Rc<Self>, request: SlotRequest) -> Result<SlotGuard, NotRunReason> {
        if request.passable && self.lacks_proof(&request, self.clock.now()) {
            return Err(NotRunReason::Unproven);
        }
        if !self.is_free_for(WaitKind::Whole, &request) {
            if request.passable {
                // Another may have a free slot, and who waits here is not seen by those that become free.
                return Err(NotRunReason::QueueFull);
            }
            self.wait(WaitKind::Whole, request).await?;
        } else {
            self.take(WaitKind::Whole);
        }
        Ok(SlotGuard::new(self))
    }

    /// Waits with a place until the work may be called in.
    pub async fn wait_turn(
        self: &Rc<Self>,
        request: SlotRequest,
    ) -> Result<TurnGuard, NotRunReason> {
        if self.is_free_for(WaitKind::Place, &request) {
            self.take(WaitKind::Place);
        } else {
            self.wait(WaitKind::Place, request).await?;
        }
        Ok(TurnGuard { queue: self.clone() })
    }

    fn is_free_for(&self, kind: WaitKind, request: &SlotRequest) -> bool {
        self.waiting.borrow().is_empty() && self.may_start(kind, request, self.clock.now())
    }

    /// Counts what a waiter of this kind waits for as taken.
    fn take(&self, kind: WaitKind) {
        let count = if kind == WaitKind::Place { &self.called } else { &self.used };
        count.set(count.get() + 1);
    }

    /// Waits until it is the turn of a request.
    async fn wait(
        self: &Rc<Self>,
        kind: WaitKind,
        request: SlotRequest,
    ) -> Result<(), NotRunReason> {
        if kind != WaitKind::CalledIn {
            self.check_time(kind, &request, self.clock.now())?;
        }
        let waiter = self.enqueue(kind, &request)?;
        let guard = WaitGuard { queue: self, waiter: &waiter };
        let result = poll_fn(|context| {
            match waiter.state.get() {
                WaitState::Granted => return Poll::Ready(Ok(())),
                WaitState::Refused(reason) => return Poll::Ready(Err(reason)),
                WaitState::Waiting => {}
            }
            *waiter.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        });
        let longest = self.longest_wait(kind, &request);
        let result = match monoio::time::timeout(longest, result).await {
            Ok(result) => result,
            Err(_) => Err(NotRunReason::DeadlinePassed),
        };
        result?;
        // From here on what was granted is given back by a guard of its own.
        std::mem::forget(guard);
        Ok(())
    }

    /// Returns how long a request may wait. Whoever holds a place turns elsewhere by itself, and gives it up.
    fn longest_wait(&self, kind: WaitKind, request: &SlotRequest) -> Duration {
        let left = request.work.deadline.saturating_sub(self.clock.now());
        match kind {
            WaitKind::Whole => left.mul_f64(WAIT_SHARE_MAX),
            _ => left.saturating_sub(request.work.usual.unwrap_or_default()),
        }
    }

    /// Refuses at once what would only get its slot after its deadline.
    fn check_time(
        &self,
        kind: WaitKind,
        request: &SlotRequest,
        now: Duration,
    ) -> Result<(), NotRunReason> {
        let work = &request.work;
        if work.deadline <= now {
            return Err(NotRunReason::DeadlinePassed);
        }
        let usual = match work.usual {
            Some(usual) => usual,
            None => return Ok(()),
        };
        let waiting = self.waiting.borrow();
        let is_before = |waiter: &&Rc<QueueWaiter>| waiter.request.work.urgency() >= work.urgency();
        let before = weight_of(waiting.iter().filter(is_before));
        let start = order::start_after(before, self.slots.get(), usual, now);
        if start > work.deadline {
            return Err(NotRunReason::DeadlinePassed);
        }
        // Elsewhere it may be in time; and where it is late anyway, it must not make others late.
        let late = !work.is_in_time(start);
        let passes_on = request.passable && kind == WaitKind::Whole;
        if late && (passes_on || !order::keeps_late(before, self.slots.get())) {
            return Err(NotRunReason::QueueFull);
        }
        Ok(())
    }

    fn enqueue(
        &self,
        kind: WaitKind,
        request: &SlotRequest,
    ) -> Result<Rc<QueueWaiter>, NotRunReason> {
        let mut waiting = self.waiting.borrow_mut();
        let limit = match kind {
            WaitKind::Whole => self.limit.get(),
            WaitKind::Place => self.slots.get().max(1) * PLACES_PER_SLOT,
            WaitKind::CalledIn => u32::MAX,
        };
        let alike = |waiter: &Rc<QueueWaiter>| waiter.kind == kind;
        if waiting.iter().filter(|waiter| alike(waiter)).count() >= limit as usize {
            let lowest = waiting
                .iter()
                .enumerate()
                .rev()
                .filter(|(_, waiter)| alike(waiter))
                .min_by_key(|(_, waiter)| waiter.request.work.class)
                .map(|(index, waiter)| (index, waiter.request.work.class));
            match lowest {
                Some((index, class)) if class < request.work.class => {
                    let evicted = waiting.remove(index);
                    evicted.settle(WaitState::Refused(NotRunReason::QueueFull));
                }
                _ => return Err(NotRunReason::QueueFull),
            }
        }
        if request.work.is_call {
            self.call_waited_at.set(Some(self.clock.now()));
        }
        let waiter = Rc::new(QueueWaiter {
            kind,
            request: *request,
            state: Cell::new(WaitState::Waiting),
            waker: RefCell::default(),
        });
        waiting.push(waiter.clone());
        Ok(waiter)
    }

    /// Refuses all who wait and can be served elsewhere, when the backend server is thought sick.
    pub fn refuse_waiting(&self) {
        self.refuse_where(NotRunReason::Sick, |waiter| waiter.request.refusable);
    }

    /// Refuses all who wait and can ask another upstream, when the backend server is doubted.
    pub fn pass_waiting(&self) {
        let is_refused = |waiter: &QueueWaiter| match waiter.kind {
            WaitKind::Whole | WaitKind::Place => waiter.request.passable,
            WaitKind::CalledIn => true,
        };
        self.refuse_where(NotRunReason::Sick, is_refused);
    }

    /// Refuses all who wait with a place, or were called in and have no slot yet: they lose nothing by it.
    pub fn refuse_places(&self, reason: NotRunReason) {
        self.refuse_where(reason, |waiter| waiter.kind != WaitKind::Whole);
    }

    /// Refuses all who wait and have a deadline that is too late for a daemon that stops, and all places: who
    /// holds one loses nothing by going elsewhere.
    pub fn refuse_late(&self, is_late: impl Fn(Duration) -> bool) {
        let is_refused = |waiter: &QueueWaiter| {
            waiter.kind == WaitKind::Place || is_late(waiter.request.work.deadline)
        };
        self.refuse_where(NotRunReason::Draining, is_refused);
    }

    /// Refuses all who can't be done by their deadline any more.
    pub fn refuse_dead(&self) {
        let now = self.clock.now();
        let is_refused = |waiter: &QueueWaiter| !waiter.request.work.can_end(now);
        self.refuse_where(NotRunReason::DeadlinePassed, is_refused);
    }

    fn refuse_where(&self, reason: NotRunReason, is_refused: impl Fn(&QueueWaiter) -> bool) {
        self.waiting.borrow_mut().retain(|waiter| {
            let refused = is_refused(waiter);
            if refused {
                waiter.settle(WaitState::Refused(reason));
            }
            !refused
        });
    }

    /// Refuses all who wait.
    pub fn refuse_all(&self, reason: NotRunReason) {
        for waiter in self.waiting.borrow_mut().drain(..) {
            waiter.settle(WaitState::Refused(reason));
        }
    }

    fn give_back(&self) {
        self.used.set(self.used.get() - 1);
        self.hand_on();
    }

    fn end_turn(&self) {
        self.called.set(self.called.get() - 1);
        self.hand_on();
    }

    /// Hands free slots, and turns ahead of them, to those who wait, in the order of [`order::first`].
    fn hand_on(&self) {
        let now = self.clock.now();
        while let Some(waiter) = self.take_first(now) {
            self.take(waiter.kind);
            waiter.settle(WaitState::Granted);
        }
    }

    fn take_first(&self, now: Duration) -> Option<Rc<QueueWaiter>> {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waiter| self.may_be_next(waiter, now)) {
            return None;
        }
        refuse_hopeless(&mut waiting, self.slots.get(), now);
        // Work that was called in has had its turn.
        let is_called = |waiter: &&Rc<QueueWaiter>| waiter.kind == WaitKind::CalledIn;
        if let Some(position) = waiting.iter().position(|waiter| is_called(&waiter)) {
            if !self.is_full() {
                return Some(waiting.remove(position));
            }
        }
        // Without places the class alone decides, then who came first.
        let turn = match waiting.iter().any(|waiter| waiter.kind == WaitKind::Place) {
            true => self.turn.replace(self.turn.get().wrapping_add(1)),
            false => 0,
        };
        let next = waiting.iter().enumerate().filter(|(_, each)| self.may_be_next(each, now));
        let positions: Vec<usize> = next.clone().map(|(position, _)| position).collect();
        let first = order::first(next.map(|(_, waiter)| waiter.request.work), turn, now)?;
        Some(waiting.remove(positions[first]))
    }

    fn may_be_next(&self, waiter: &QueueWaiter, now: Duration) -> bool {
        self.may_start(waiter.kind, &waiter.request, now)
    }
}

/// Refuses who can't be done by its deadline any more; whole work that is late while others wait that are in time, as
/// it would make them late too; and late work with a place that would wait too long behind them.
fn refuse_hopeless(waiting: &mut Vec<Rc<QueueWaiter>>, slots: u32, now: Duration) {
    let is_in_time = |waiter: &&Rc<QueueWaiter>| waiter.request.work.is_in_time(now);
    let in_time = weight_of(waiting.iter().filter(is_in_time));
    let keeps_late = order::keeps_late(in_time, slots);
    waiting.retain(|waiter| {
        let work = &waiter.request.work;
        let hopeless = !work.can_end(now);
        let is_kept = match waiter.kind {
            WaitKind::Whole => in_time == 0.0,
            WaitKind::Place => keeps_late || work.is_call,
            WaitKind::CalledIn => true,
        };
        let late = !is_kept && !work.is_in_time(now);
        if hopeless {
            waiter.settle(WaitState::Refused(NotRunReason::DeadlinePassed));
        } else if late {
            waiter.settle(WaitState::Refused(NotRunReason::QueueFull));
        }
        !hopeless && !late
    });
}

/// Returns how much work waits, with places as the part of them that is likely to be called in.
fn weight_of<'a>(waiting: impl Iterator<Item = &'a Rc<QueueWaiter>>) -> f64 {
    let weight = |waiter: &Rc<QueueWaiter>| match waiter.kind {
        WaitKind::Place => PLACE_WEIGHT,
        WaitKind::Whole | WaitKind::CalledIn => 1.0,
    };
    waiting.map(weight).sum()
}

/// Takes a waiter out of the queue when it stops waiting.
struct WaitGuard<'a> {
    queue: &'a Rc<SlotQueue>,
    waiter: &'a Rc<QueueWaiter>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.queue.waiting.borrow_mut();
        waiting.retain(|waiter| !Rc::ptr_eq(waiter, self.waiter));
        drop(waiting);
        // What was granted but not yet seen would be lost.
        if self.waiter.state.get() == WaitState::Granted {
            match self.waiter.kind {
                WaitKind::Place => self.queue.end_turn(),
                WaitKind::Whole | WaitKind::CalledIn => self.queue.give_back(),
            }
        }
    }
}

/// `TurnGuard` is the turn of work that holds a place: it may come now.
pub struct TurnGuard {
    queue: Rc<SlotQueue>,
}

impl TurnGuard {
    /// Takes a slot for the work, which came; a slot that gets free goes to it before all others.
    pub async fn start(self, request: SlotRequest) -> Result<SlotGuard, NotRunReason> {
        if self.queue.is_full() {
            self.queue.wait(WaitKind::CalledIn, request).await?;
        } else {
            self.queue.take(WaitKind::CalledIn);
        }
        Ok(SlotGuard::new(&self.queue))
    }
}

impl Drop for TurnGuard {
    fn drop(&mut self) {
        self.queue.end_turn();
    }
}

/// `SlotGuard` is a slot in use.
pub struct SlotGuard {
    queue: Rc<SlotQueue>,
}

impl SlotGuard {
    fn new(queue: &Rc<SlotQueue>) -> Self {
        Self { queue: queue.clone() }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.give_back();
    }
}
