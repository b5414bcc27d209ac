// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The slots of one backend server and the queue of requests that wait for them.
//!
//! Slots are counted exactly. A request that can't be served in time is refused at once rather than
//! near its deadline. A request waits in one of two ways. Either the request was sent to this
//! daemon and is queued, so that the request is lost if this daemon fails. Or the request stays at
//! its ingress and holds reservations at this and other daemons, so that the failure of one of them
//! costs the request nothing.
//!
//! While the backend server names a rate limit, a request also waits for its turn under that limit.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;
use basaltarch_decide::order::{self, QueuedRequest};
use basaltarch_decide::progress::ProgressTerms;
use basaltarch_decide::server_rate::{KnownRate, RateReport, RateResponse, ServerRate};

/// Share of the time until its deadline for which a queued request may wait for a slot. A request
/// that has waited for longer seldom completes in time, and a caller that is refused at this moment
/// can still try elsewhere.
const WAIT_SHARE_MAX: f64 = 0.45;
/// Maximum number of reservations held at once for each slot. A request holds several reservations
/// and uses one, so that the maximum corresponds to the time that callers usually wait. Each
/// reservation costs the daemon about two kilobytes.
const RESERVATIONS_PER_SLOT: u32 = 8;
/// Number of slots that are offered to reservations although they are not free yet. The request
/// arrives while the next slot becomes free. Without such an offer, the slot would stay idle for a
/// round trip.
const OFFERS_BEYOND_FREE: u32 = 1;
/// Weight of a reservation in the length of the queue, where a queued request counts as one:
/// some of the requests that hold a reservation at this daemon are served elsewhere.
const RESERVATION_WEIGHT: f64 = 0.5;
/// Time after a request was refused for want of a slot for which the slots count as wanted.
const WANTED_TIME: Duration = Duration::from_secs(1);
/// Shortest time between two checks whether a waiting request has its turn under the rate limit.
const TURN_CHECK_MIN: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitState {
    Waiting,
    Granted,
    Refused(NotRunReason),
}

/// `WaitKind` says in which way a request waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WaitKind {
    /// The request was sent to this daemon and is queued.
    Queued,
    /// The request is still at the ingress, holds a reservation at this daemon, and may hold
    /// reservations at other daemons.
    Reservation,
    /// The request was sent to this daemon after its reservation had been offered a slot.
    Offered,
}

struct QueueWaiter {
    kind: WaitKind,
    request: SlotRequest,
    state: Cell<WaitState>,
    waker: RefCell<Option<Waker>>,
}

impl QueueWaiter {
    fn end_wait(&self, state: WaitState) {
        self.state.set(state);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// `SlotQueue` assigns the slots of one backend server to requests.
pub struct SlotQueue {
    clock: DaemonClock,
    slots: Cell<u32>,
    used: Cell<u32>,
    /// Number of offers whose request has no slot yet.
    offered: Cell<u32>,
    /// Number of slots in use by requests whose bodies still arrive.
    uploads: Cell<u32>,
    /// When a request was last refused for want of a slot.
    refused_at: Cell<Option<Duration>>,
    /// When a nested call last had to wait.
    call_queued_at: Cell<Option<Duration>>,
    /// When a request last completed successfully.
    completed_at: Cell<Option<Duration>>,
    limit: Cell<u32>,
    waiting: RefCell<Vec<Rc<QueueWaiter>>>,
    /// Number of slots that were given to waiting requests.
    grant_count: Cell<u32>,
    rate: RefCell<ServerRate>,
    /// Whether a task waits for the next turn under the rate limit.
    is_turn_awaited: Cell<bool>,
}

/// `SlotRequest` asks for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Properties of the request that decide the order in which waiting requests are served.
    pub scheduling: QueuedRequest,
    /// Whether the ingress can send the request elsewhere without taking the service below its
    /// capacity floor.
    pub refusable: bool,
    /// Whether the ingress can ask another upstream.
    pub passable: bool,
    /// Whether the request is not repeatable and should, if possible, go to a server that recently
    /// completed a request.
    pub needs_recent_progress: bool,
    /// Whether the body of the request still arrives from its caller.
    pub is_upload_open: bool,
}

impl SlotRequest {
    /// Returns what a full queue keeps: the requests of the greatest rank.
    fn rank(&self) -> (WorkClass, bool) {
        (self.scheduling.class, !self.is_upload_open)
    }
}

impl SlotQueue {
    /// Builds a queue of at most `limit` requests for `slots` slots.
    pub fn new(slots: u32, limit: u32, clock: DaemonClock) -> Self {
        Self {
            clock,
            slots: Cell::new(slots),
            used: Cell::new(0),
            offered: Cell::new(0),
            uploads: Cell::new(0),
            refused_at: Cell::new(None),
            call_queued_at: Cell::new(None),
            completed_at: Cell::new(None),
            limit: Cell::new(limit),
            waiting: RefCell::default(),
            grant_count: Cell::new(0),
            rate: RefCell::default(),
            is_turn_awaited: Cell::new(false),
        }
    }

    /// Reports the rate limit in force, and the time until it allows a request that goes behind all
    /// waiting requests.
    pub fn rate_report(&self) -> RateReport {
        let rate = self.rate.borrow();
        let queue_length = queue_length(self.waiting.borrow().iter());
        let turn_in = rate.wait_behind(queue_length, self.clock.now());
        RateReport { known: rate.known(), turn_in }
    }

    /// Records what a response of the backend server says about its rate limit, and says whether the
    /// limit changed.
    pub fn note_rate(&self, response: &RateResponse) -> bool {
        let is_change = self.rate.borrow_mut().note_response(response, self.clock.now());
        self.grant_free_slots();
        is_change
    }

    /// Records the rate limit that an ingress has heard of, and says whether the limit changed.
    pub fn note_reported_rate(&self, per_second: f64) -> bool {
        self.rate.borrow_mut().note_report(per_second, self.clock.now())
    }

    /// Returns the rate limit in force.
    pub fn rate(&self) -> KnownRate {
        self.rate.borrow().known()
    }

    /// Returns the time until the rate limit allows the next request; zero if it allows one now.
    pub fn turn_in(&self) -> Duration {
        self.rate.borrow().next_in(self.clock.now())
    }

    /// Changes the number of slots and the limit of the queue; slots in use stay in use until they
    /// are released.
    pub fn configure(&self, slots: u32, limit: u32) {
        self.slots.set(slots);
        self.limit.set(limit);
        self.grant_free_slots();
    }

    /// Records that a request completed successfully.
    pub fn note_end(&self) {
        self.completed_at.set(Some(self.clock.now()));
    }

    /// Says whether a request should go to another server for now, as no recent completion shows
    /// that this backend server doesn't hang.
    fn lacks_recent_progress(&self, request: &SlotRequest, now: Duration) -> bool {
        let terms = ProgressTerms {
            running: self.used.get() + self.offered.get(),
            quiet: self.completed_at.get().map(|at| now.saturating_sub(at)),
            usual: request.scheduling.usual,
        };
        request.needs_recent_progress && terms.is_unproven()
    }

    /// Says whether a request may get a slot now, or a reservation may be offered a slot now.
    fn may_start(&self, kind: WaitKind, request: &SlotRequest, now: Duration) -> bool {
        let queued = &request.scheduling;
        let nested_call_queued_at = self.call_queued_at.get();
        let nested_calls_waited = nested_call_queued_at
            .is_some_and(|at| now.saturating_sub(at) < order::CALL_RESERVE_TIME);
        let slots_for_kind =
            order::open_slots(self.slots.get(), queued.is_call, nested_calls_waited);
        let taken_slots = self.used.get() + self.offered.get();
        let has_turn = self.rate.borrow().next_in(now).is_zero();
        let may_upload =
            !request.is_upload_open || self.uploads.get() < order::upload_slots(self.slots.get());
        match kind {
            // The offer has taken the turn of the request.
            WaitKind::Offered => !self.is_full(),
            WaitKind::Queued => has_turn && may_upload && taken_slots < slots_for_kind,
            WaitKind::Reservation => {
                has_turn
                    && may_upload
                    && taken_slots < slots_for_kind + OFFERS_BEYOND_FREE
                    && !self.lacks_recent_progress(request, now)
            }
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

    /// Returns the length of the queue: the number of waiting requests, with reservations weighted
    /// by the probability that they are used.
    pub fn queued(&self) -> u32 {
        let waiting = self.waiting.borrow();
        queue_length(waiting.iter()).ceil() as u32
    }

    /// Says whether the slots are needed by more requests than they serve.
    pub fn is_wanted(&self) -> bool {
        let since_refusal = self.refused_at.get().map(|at| self.clock.now().saturating_sub(at));
        let was_refused = since_refusal.is_some_and(|since| since < WANTED_TIME);
        was_refused || !self.waiting.borrow().is_empty()
    }

    fn note_refused(&self) {
        self.refused_at.set(Some(self.clock.now()));
    }

    /// Says whether a request would get a slot or be queued.
    pub fn has_room(&self, request: &SlotRequest) -> bool {
        let waiting = self.waiting.borrow();
        let mut queued_requests = waiting.iter().filter(|waiter| waiter.kind == WaitKind::Queued);
        let has_room = self.used.get() < self.slots.get()
            || queued_requests.clone().count() < self.limit.get() as usize
            || queued_requests.any(|waiter| waiter.request.rank() < request.rank());
        if !has_room {
            self.note_refused();
        }
        has_room
    }

    /// Acquires a slot. If no slot is free and the queue has room, waits for one.
    pub async fn acquire(self: &Rc<Self>, request: SlotRequest) -> Result<SlotGuard, NotRunReason> {
        if request.passable && self.lacks_recent_progress(&request, self.clock.now()) {
            return Err(NotRunReason::Unproven);
        }
        if !self.is_free_for(WaitKind::Queued, &request) {
            if request.passable {
                // Another server may have a free slot, and could not take the request any more once
                // the request is queued here.
                self.note_refused();
                return Err(NotRunReason::QueueFull);
            }
            self.wait(WaitKind::Queued, request).await?;
        } else {
            self.count_grant(WaitKind::Queued, &request);
        }
        Ok(SlotGuard::new(self, &request))
    }

    /// Holds a reservation until a slot is offered to it.
    pub async fn await_offer(
        self: &Rc<Self>,
        request: SlotRequest,
    ) -> Result<OfferGuard, NotRunReason> {
        if self.is_free_for(WaitKind::Reservation, &request) {
            self.count_grant(WaitKind::Reservation, &request);
        } else {
            self.wait(WaitKind::Reservation, request).await?;
        }
        Ok(OfferGuard { queue: self.clone(), is_used: false })
    }

    fn is_free_for(&self, kind: WaitKind, request: &SlotRequest) -> bool {
        let waits_for_uploads = |waiter: &Rc<QueueWaiter>| waiter.request.is_upload_open;
        let is_next = match request.is_upload_open {
            true => self.waiting.borrow().is_empty(),
            // A request goes past those that wait because too many bodies still arrive.
            false => self.waiting.borrow().iter().all(waits_for_uploads),
        };
        is_next && self.may_start(kind, request, self.clock.now())
    }

    /// Counts a slot as used, or as offered in the case of a reservation, and takes the turn of the
    /// request under the rate limit.
    fn count_grant(&self, kind: WaitKind, request: &SlotRequest) {
        let count = if kind == WaitKind::Reservation { &self.offered } else { &self.used };
        count.set(count.get() + 1);
        if kind != WaitKind::Reservation && request.is_upload_open {
            self.uploads.set(self.uploads.get() + 1);
        }
        if kind != WaitKind::Offered {
            self.rate.borrow_mut().take(self.clock.now());
        }
    }

    /// Gives the turn of a request that is not sent to the next request.
    fn put_back_turn(&self) {
        self.rate.borrow_mut().put_back(self.clock.now());
    }

    /// Starts a task that grants slots as the rate limit allows, for as long as requests wait.
    fn await_turns(self: &Rc<Self>) {
        if self.rate().per_second().is_none() || self.is_turn_awaited.replace(true) {
            return;
        }
        let queue = self.clone();
        monoio::spawn(async move {
            while !queue.waiting.borrow().is_empty() && queue.rate().per_second().is_some() {
                monoio::time::sleep(queue.turn_in().max(TURN_CHECK_MIN)).await;
                queue.grant_free_slots();
            }
            queue.is_turn_awaited.set(false);
        });
    }

    /// Waits until the request is granted a slot or, for a reservation, an offer.
    async fn wait(
        self: &Rc<Self>,
        kind: WaitKind,
        request: SlotRequest,
    ) -> Result<(), NotRunReason> {
        if kind != WaitKind::Offered {
            self.check_time(kind, &request, self.clock.now())?;
        }
        let waiter = self.enqueue(kind, &request)?;
        self.await_turns();
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
        let max_wait = self.longest_wait(kind, &request);
        let result = match monoio::time::timeout(max_wait, result).await {
            Ok(result) => result,
            Err(_) if !self.turn_in().is_zero() => Err(NotRunReason::QueueFull),
            Err(_) => Err(NotRunReason::DeadlinePassed),
        };
        result?;
        // From here on, a guard that the caller builds releases the granted slot or offer.
        std::mem::forget(guard);
        Ok(())
    }

    /// Returns how long a request may wait. A reservation may last until the request could no
    /// longer complete in time: its holder releases the reservation when the request is sent
    /// elsewhere.
    fn longest_wait(&self, kind: WaitKind, request: &SlotRequest) -> Duration {
        let time_left = request.scheduling.deadline.saturating_sub(self.clock.now());
        match kind {
            WaitKind::Queued => time_left.mul_f64(WAIT_SHARE_MAX),
            _ => time_left.saturating_sub(request.scheduling.usual.unwrap_or_default()),
        }
    }

    /// Refuses at once a request that would only get its slot after its deadline.
    fn check_time(
        &self,
        kind: WaitKind,
        request: &SlotRequest,
        now: Duration,
    ) -> Result<(), NotRunReason> {
        let queued = &request.scheduling;
        if queued.deadline <= now {
            return Err(NotRunReason::DeadlinePassed);
        }
        let waiting = self.waiting.borrow();
        let is_served_before =
            |waiter: &&Rc<QueueWaiter>| waiter.request.scheduling.urgency() >= queued.urgency();
        let queue_length_ahead = queue_length(waiting.iter().filter(is_served_before));
        // Servers without a rate limit may serve the request in time, so it is not the deadline that
        // refuses the request.
        let turn_in = self.rate.borrow().wait_behind(queue_length_ahead, now);
        let turn = now + turn_in;
        let may_be_late = kind == WaitKind::Reservation;
        let is_late = !queued.meets_deadline(turn) || !may_be_late && !queued.meets_objective(turn);
        if !turn_in.is_zero() && is_late {
            return Err(NotRunReason::QueueFull);
        }
        let usual = match queued.usual {
            Some(usual) => usual,
            None => return Ok(()),
        };
        let start = order::estimate_start(queue_length_ahead, self.slots.get(), usual, now);
        if start > queued.deadline {
            return Err(NotRunReason::DeadlinePassed);
        }
        // Another server may still serve the request within its objective. A request that misses
        // its objective everywhere must not make other requests miss theirs.
        let misses_objective = !queued.meets_objective(start);
        let declines = request.passable && kind == WaitKind::Queued;
        if misses_objective
            && (declines || !order::accepts_late(queue_length_ahead, self.slots.get()))
        {
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
            WaitKind::Queued => self.limit.get(),
            WaitKind::Reservation => self.slots.get().max(1) * RESERVATIONS_PER_SLOT,
            WaitKind::Offered => u32::MAX,
        };
        let is_same_kind = |waiter: &Rc<QueueWaiter>| waiter.kind == kind;
        if waiting.iter().filter(|waiter| is_same_kind(waiter)).count() >= limit as usize {
            let lowest = waiting
                .iter()
                .enumerate()
                .rev()
                .filter(|(_, waiter)| is_same_kind(waiter))
                .min_by_key(|(_, waiter)| waiter.request.rank())
                .map(|(index, waiter)| (index, waiter.request.rank()));
            self.note_refused();
            match lowest {
                Some((index, rank)) if rank < request.rank() => {
                    let evicted = waiting.remove(index);
                    evicted.end_wait(WaitState::Refused(NotRunReason::QueueFull));
                }
                _ => return Err(NotRunReason::QueueFull),
            }
        }
        if request.scheduling.is_call {
            self.call_queued_at.set(Some(self.clock.now()));
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

    /// Refuses all waiting requests that can be served elsewhere, when the backend server is
    /// ejected.
    pub fn refuse_refusable(&self) {
        self.refuse_where(NotRunReason::Unhealthy, |waiter| waiter.request.refusable);
    }

    /// Refuses all waiting requests that can try another upstream, when the circuit breaker of the
    /// backend server opens.
    pub fn refuse_passable(&self) {
        let is_refused = |waiter: &QueueWaiter| match waiter.kind {
            WaitKind::Queued | WaitKind::Reservation => waiter.request.passable,
            WaitKind::Offered => true,
        };
        self.refuse_where(NotRunReason::Unhealthy, is_refused);
    }

    /// Refuses all reservations, and all requests that arrived after an offer and have no slot yet.
    /// None of these requests has run, so that the requests lose nothing by going elsewhere.
    pub fn refuse_reservations(&self, reason: NotRunReason) {
        self.refuse_where(reason, |waiter| waiter.kind != WaitKind::Queued);
    }

    /// Refuses the waiting requests for whose deadline `is_late` holds, as this daemon may stop
    /// before the deadline, and all reservations, whose holders lose nothing by going elsewhere.
    pub fn refuse_late(&self, is_late: impl Fn(Duration) -> bool) {
        let is_refused = |waiter: &QueueWaiter| {
            waiter.kind == WaitKind::Reservation || is_late(waiter.request.scheduling.deadline)
        };
        self.refuse_where(NotRunReason::Draining, is_refused);
    }

    /// Refuses all waiting requests that can no longer complete by their deadline.
    pub fn refuse_expired(&self) {
        let now = self.clock.now();
        let is_refused = |waiter: &QueueWaiter| !waiter.request.scheduling.meets_deadline(now);
        self.refuse_where(NotRunReason::DeadlinePassed, is_refused);
    }

    fn refuse_where(&self, reason: NotRunReason, is_refused: impl Fn(&QueueWaiter) -> bool) {
        self.waiting.borrow_mut().retain(|waiter| {
            let refused = is_refused(waiter);
            if refused {
                waiter.end_wait(WaitState::Refused(reason));
            }
            !refused
        });
    }

    /// Refuses all waiting requests and reservations.
    pub fn refuse_all(&self, reason: NotRunReason) {
        for waiter in self.waiting.borrow_mut().drain(..) {
            waiter.end_wait(WaitState::Refused(reason));
        }
    }

    fn release_slot(&self, is_upload_open: bool) {
        self.used.set(self.used.get() - 1);
        if is_upload_open {
            self.uploads.set(self.uploads.get() - 1);
        }
        self.grant_free_slots();
    }

    fn end_offer(&self, is_used: bool) {
        if !is_used {
            self.put_back_turn();
        }
        self.offered.set(self.offered.get() - 1);
        self.grant_free_slots();
    }

    /// Gives free slots, and offers of the slots that become free next, to waiting requests in the
    /// order of [`order::first`].
    fn grant_free_slots(&self) {
        let now = self.clock.now();
        while let Some(waiter) = self.take_next_waiter(now) {
            self.count_grant(waiter.kind, &waiter.request);
            waiter.end_wait(WaitState::Granted);
        }
    }

    fn take_next_waiter(&self, now: Duration) -> Option<Rc<QueueWaiter>> {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|waiter| self.may_start_waiter(waiter, now)) {
            return None;
        }
        refuse_unservable(&mut waiting, self.slots.get(), now);
        // A request that arrived after an offer goes first, as it has already waited as a
        // reservation.
        let is_offered = |waiter: &&Rc<QueueWaiter>| waiter.kind == WaitKind::Offered;
        if let Some(position) = waiting.iter().position(|waiter| is_offered(&waiter)) {
            if !self.is_full() {
                return Some(waiting.remove(position));
            }
        }
        // Without reservations, only the class and then the order of arrival decide: no slot goes
        // to the request that has waited longest whatever its class.
        let grant_count = match waiting.iter().any(|waiter| waiter.kind == WaitKind::Reservation) {
            true => self.grant_count.replace(self.grant_count.get().wrapping_add(1)),
            false => 0,
        };
        let next = waiting.iter().enumerate().filter(|(_, each)| self.may_start_waiter(each, now));
        let positions: Vec<usize> = next.clone().map(|(position, _)| position).collect();
        let first =
            order::first(next.map(|(_, waiter)| waiter.request.scheduling), grant_count, now)?;
        Some(waiting.remove(positions[first]))
    }

    fn may_start_waiter(&self, waiter: &QueueWaiter, now: Duration) -> bool {
        self.may_start(waiter.kind, &waiter.request, now)
    }
}

/// Refuses three kinds of waiting requests:
///
/// - requests that can no longer complete by their deadline;
/// - queued requests that miss their objective while other waiting requests can still meet theirs,
///   as serving the late requests would make the other ones late too;
/// - requests that hold reservations, miss their objective, and would wait too long behind requests
///   that meet theirs.
fn refuse_unservable(waiting: &mut Vec<Rc<QueueWaiter>>, slots: u32, now: Duration) {
    let meets_objective =
        |waiter: &&Rc<QueueWaiter>| waiter.request.scheduling.meets_objective(now);
    let in_time = queue_length(waiting.iter().filter(meets_objective));
    let accepts_late = order::accepts_late(in_time, slots);
    waiting.retain(|waiter| {
        let queued = &waiter.request.scheduling;
        let is_expired = !queued.meets_deadline(now);
        let is_kept = match waiter.kind {
            WaitKind::Queued => in_time == 0.0,
            WaitKind::Reservation => accepts_late || queued.is_call,
            WaitKind::Offered => true,
        };
        let is_late = !is_kept && !queued.meets_objective(now);
        if is_expired {
            waiter.end_wait(WaitState::Refused(NotRunReason::DeadlinePassed));
        } else if is_late {
            waiter.end_wait(WaitState::Refused(NotRunReason::QueueFull));
        }
        !is_expired && !is_late
    });
}

/// Returns the number of waiting requests, with each reservation counted as
/// [`RESERVATION_WEIGHT`].
fn queue_length<'a>(waiting: impl Iterator<Item = &'a Rc<QueueWaiter>>) -> f64 {
    let weight = |waiter: &Rc<QueueWaiter>| match waiter.kind {
        WaitKind::Reservation => RESERVATION_WEIGHT,
        WaitKind::Queued | WaitKind::Offered => 1.0,
    };
    waiting.map(weight).sum()
}

/// `WaitGuard` removes a waiter from the queue when the wait ends or is cancelled.
struct WaitGuard<'a> {
    queue: &'a Rc<SlotQueue>,
    waiter: &'a Rc<QueueWaiter>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut waiting = self.queue.waiting.borrow_mut();
        waiting.retain(|waiter| !Rc::ptr_eq(waiter, self.waiter));
        drop(waiting);
        // A slot or offer that was granted to the waiter but not yet returned to the caller has no
        // guard of its own, so that it must be released by this one.
        if self.waiter.state.get() == WaitState::Granted {
            match self.waiter.kind {
                WaitKind::Reservation => self.queue.end_offer(false),
                WaitKind::Queued => {
                    self.queue.put_back_turn();
                    self.queue.release_slot(self.waiter.request.is_upload_open);
                }
                // The offer of the request takes its turn back.
                WaitKind::Offered => {
                    self.queue.release_slot(self.waiter.request.is_upload_open);
                }
            }
        }
    }
}

/// `OfferGuard` is the offer of a slot to a reservation. The request that holds the reservation may
/// be sent now.
pub struct OfferGuard {
    queue: Rc<SlotQueue>,
    /// Whether the request that the slot was offered to has acquired the slot.
    is_used: bool,
}

impl OfferGuard {
    /// Acquires the offered slot once the request has arrived. The request gets the next free slot
    /// before all other requests.
    pub async fn start(mut self, request: SlotRequest) -> Result<SlotGuard, NotRunReason> {
        if self.queue.is_full() {
            self.queue.wait(WaitKind::Offered, request).await?;
        } else {
            self.queue.count_grant(WaitKind::Offered, &request);
        }
        self.is_used = true;
        Ok(SlotGuard::new(&self.queue, &request))
    }
}

impl Drop for OfferGuard {
    fn drop(&mut self) {
        self.queue.end_offer(self.is_used);
    }
}

/// `SlotGuard` is a slot in use.
pub struct SlotGuard {
    queue: Rc<SlotQueue>,
    is_upload_open: Cell<bool>,
}

impl SlotGuard {
    fn new(queue: &Rc<SlotQueue>, request: &SlotRequest) -> Self {
        Self { queue: queue.clone(), is_upload_open: Cell::new(request.is_upload_open) }
    }

    /// Notes that the body of the request has arrived whole.
    pub fn note_uploaded(&self) {
        if self.is_upload_open.replace(false) {
            self.queue.uploads.set(self.queue.uploads.get() - 1);
            self.queue.grant_free_slots();
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.queue.release_slot(self.is_upload_open.get());
    }
}
