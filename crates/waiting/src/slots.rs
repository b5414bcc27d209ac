// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Slots of one backend server, and the short queue before them.
//!
//! Slots are counted exactly. Who waits is ordered by class of work, then by arrival. Whoever can't
//! be served in time is refused at once rather than near the deadline.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;

/// Share of the time left that work may wait for a slot: what has waited for longer is seldom done in
/// time, and its caller can still turn elsewhere.
const WAIT_SHARE_MAX: f64 = 0.45;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitState {
    Waiting,
    Granted,
    Refused(NotRunReason),
}

struct QueueWaiter {
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
    limit: Cell<u32>,
    waiting: RefCell<Vec<Rc<QueueWaiter>>>,
}

/// `SlotRequest` asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Class of the work.
    pub class: WorkClass,
    /// Whether the ingress can send the work elsewhere within the floor.
    pub refusable: bool,
    /// Time by which the work must be done.
    pub deadline: Duration,
    /// Time that one request usually takes, if known.
    pub usual: Option<Duration>,
    /// Time by which an answer is worth most, if one was declared.
    pub objective: Option<Duration>,
    /// Whether the ingress can ask another upstream.
    pub passable: bool,
}

impl SlotRequest {
    /// Says whether work that starts at `start` is usually done by its objective.
    fn is_in_time(&self, start: Duration) -> bool {
        match (self.objective, self.usual) {
            (Some(objective), Some(usual)) => start + usual <= objective,
            _ => true,
        }
    }

    /// Says whether work that starts at `start` is usually done by its deadline.
    fn can_end(&self, start: Duration) -> bool {
        start + self.usual.unwrap_or_default() <= self.deadline
    }
}

impl SlotQueue {
    /// Builds a queue of at most `limit` before `slots`.
    pub fn new(slots: u32, limit: u32, clock: DaemonClock) -> Self {
        Self {
            clock,
            slots: Cell::new(slots),
            used: Cell::new(0),
            limit: Cell::new(limit),
            waiting: RefCell::default(),
        }
    }

    /// Changes the numbers; slots in use stay so until they are given back.
    pub fn configure(&self, slots: u32, limit: u32) {
        self.slots.set(slots);
        self.limit.set(limit);
        self.hand_on();
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

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> u32 {
        self.waiting.borrow().len() as u32
    }

    /// Says whether a request of this class would be let into a slot or the queue.
    pub fn has_room(&self, class: WorkClass) -> bool {
        let waiting = self.waiting.borrow();
        self.used.get() < self.slots.get()
            || waiting.len() < self.limit.get() as usize
            || waiting.iter().any(|waiter| waiter.request.class < class)
    }

    /// Takes a slot, waiting for one if the queue has room.
    pub async fn acquire(self: &Rc<Self>, request: SlotRequest) -> Result<SlotGuard, NotRunReason> {
        if self.used.get() < self.slots.get() && self.waiting.borrow().is_empty() {
            self.used.set(self.used.get() + 1);
            return Ok(SlotGuard::new(self));
        }
        if request.passable {
            // Another may have a free slot, and who waits here is not seen by those that become free.
            return Err(NotRunReason::QueueFull);
        }
        self.check_time(&request, self.clock.now())?;
        let waiter = self.enqueue(&request)?;
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
        let wait = request.deadline.saturating_sub(self.clock.now()).mul_f64(WAIT_SHARE_MAX);
        let result = match monoio::time::timeout(wait, result).await {
            Ok(result) => result,
            Err(_) => Err(NotRunReason::DeadlinePassed),
        };
        result?;
        // From here on the slot is given back by its own guard.
        std::mem::forget(guard);
        Ok(SlotGuard::new(self))
    }

    /// Refuses at once what would only get its slot after its deadline.
    fn check_time(&self, request: &SlotRequest, now: Duration) -> Result<(), NotRunReason> {
        let left = request.deadline.saturating_sub(now);
        if left.is_zero() {
            return Err(NotRunReason::DeadlinePassed);
        }
        let usual = match request.usual {
            Some(usual) => usual,
            None => return Ok(()),
        };
        let waiting = self.waiting.borrow();
        let is_before = |waiter: &&Rc<QueueWaiter>| waiter.request.class >= request.class;
        let before = waiting.iter().filter(is_before).count();
        let rounds = (before as f64 + 1.0) / f64::from(self.slots.get().max(1));
        let start = now + usual.mul_f64(rounds);
        if start > request.deadline {
            return Err(NotRunReason::DeadlinePassed);
        }
        // Elsewhere it may be in time; and where it is late anyway, it must not make others late.
        let late = !request.is_in_time(start);
        if late && (request.passable || before >= self.slots.get() as usize) {
            return Err(NotRunReason::QueueFull);
        }
        Ok(())
    }

    fn enqueue(&self, request: &SlotRequest) -> Result<Rc<QueueWaiter>, NotRunReason> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= self.limit.get() as usize {
            let lowest = waiting
                .iter()
                .enumerate()
                .rev()
                .min_by_key(|(_, waiter)| waiter.request.class)
                .map(|(index, waiter)| (index, waiter.request.class));
            match lowest {
                Some((index, class)) if class < request.class => {
                    let evicted = waiting.remove(index);
                    evicted.settle(WaitState::Refused(NotRunReason::QueueFull));
                }
                _ => return Err(NotRunReason::QueueFull),
            }
        }
        let waiter = Rc::new(QueueWaiter {
            request: *request,
            state: Cell::new(WaitState::Waiting),
            waker: RefCell::default(),
        });
        waiting.push(waiter.clone());
        Ok(waiter)
    }

    /// Refuses all who wait and can be served elsewhere, when the backend server is thought sick.
    pub fn refuse_waiting(&self) {
        self.refuse_where(NotRunReason::Sick, |request| request.refusable);
    }

    /// Refuses all who wait and can ask another upstream, when the backend server is doubted.
    pub fn pass_waiting(&self) {
        self.refuse_where(NotRunReason::Sick, |request| request.passable);
    }

    /// Refuses all who wait and have a deadline that is too late for a daemon that stops.
    pub fn refuse_late(&self, is_late: impl Fn(Duration) -> bool) {
        self.refuse_where(NotRunReason::Draining, |request| is_late(request.deadline));
    }

    /// Refuses all who can't be done by their deadline any more.
    pub fn refuse_dead(&self) {
        let now = self.clock.now();
        self.refuse_where(NotRunReason::DeadlinePassed, |request| !request.can_end(now));
    }

    fn refuse_where(&self, reason: NotRunReason, is_refused: impl Fn(&SlotRequest) -> bool) {
        self.waiting.borrow_mut().retain(|waiter| {
            let refused = is_refused(&waiter.request);
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

    /// Hands free slots to those who wait: the highest class first, of a class those who are in time,
    /// of those the first to come. Who can't be done by its deadline any more is refused, and so is who
    /// is late while others wait that are in time: it would make them late as well.
    fn hand_on(&self) {
        let now = self.clock.now();
        while self.used.get() < self.slots.get() {
            let waiter = match self.take_best(now) {
                Some(waiter) => waiter,
                None => return,
            };
            self.used.set(self.used.get() + 1);
            waiter.settle(WaitState::Granted);
        }
    }

    fn take_best(&self, now: Duration) -> Option<Rc<QueueWaiter>> {
        let mut waiting = self.waiting.borrow_mut();
        let some_in_time = waiting.iter().any(|waiter| waiter.request.is_in_time(now));
        waiting.retain(|waiter| {
            let hopeless = !waiter.request.can_end(now);
            let late = some_in_time && !waiter.request.is_in_time(now);
            if hopeless {
                waiter.settle(WaitState::Refused(NotRunReason::DeadlinePassed));
            } else if late {
                waiter.settle(WaitState::Refused(NotRunReason::QueueFull));
            }
            !hopeless && !late
        });
        // `max_by_key` gives the last of several, so the order is turned round.
        let waiters = waiting.iter().enumerate().rev();
        let best = waiters.max_by_key(|(_, waiter)| waiter.request.class);
        let index = best.map(|(index, _)| index)?;
        Some(waiting.remove(index))
    }
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
        // A slot that was granted but not yet seen would be lost.
        if self.waiter.state.get() == WaitState::Granted {
            self.queue.give_back();
        }
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
