// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The slots and the queue of a simulated backend server. A server without a limit runs every
//! request at once.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

use basaltarch_http::connection::HttpStream;
use futures_util::{select_biased, FutureExt};

/// `SlotRefusal` is why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRefusal {
    /// All slots are taken, and the queue is full.
    Full,
    /// The deadline of the request passed in the queue.
    DeadlinePassed,
    /// The client closed the connection.
    Disconnected,
}

/// `ServerSlots` counts the requests that run, and queues those that wait.
#[derive(Debug)]
pub struct ServerSlots {
    free: Cell<usize>,
    queue_max: usize,
    waiting: RefCell<VecDeque<Rc<SlotWaiter>>>,
}

#[derive(Debug, Default)]
struct SlotWaiter {
    is_granted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// `SlotGuard` holds one slot until it is dropped.
pub struct SlotGuard(Rc<ServerSlots>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}

impl ServerSlots {
    /// Builds the slots of a server that runs up to `count` requests at once and queues up to
    /// `queue_max` more.
    pub fn new(count: usize, queue_max: usize) -> Rc<Self> {
        Rc::new(Self { free: Cell::new(count), queue_max, waiting: RefCell::default() })
    }

    /// Takes a slot, or waits for one until `time_left` has passed.
    ///
    /// # Errors
    ///
    /// Returns why the request gets no slot.
    pub async fn take(
        self: &Rc<Self>,
        stream: &mut HttpStream,
        time_left: Duration,
    ) -> Result<SlotGuard, SlotRefusal> {
        if let Some(count) = self.free.get().checked_sub(1) {
            self.free.set(count);
            return Ok(SlotGuard(self.clone()));
        }
        if self.waiting.borrow().len() >= self.queue_max {
            return Err(SlotRefusal::Full);
        }
        let place = QueuePlace::new(self);
        let mut granted = std::pin::pin!(place.waiter.granted().fuse());
        let mut passed = std::pin::pin!(monoio::time::sleep(time_left).fuse());
        let mut disconnected = std::pin::pin!(stream.reader.fill(1).fuse());
        select_biased! {
            () = granted => Ok(place.take_slot()),
            () = passed => Err(SlotRefusal::DeadlinePassed),
            _ = disconnected => Err(SlotRefusal::Disconnected),
        }
    }

    /// Passes a slot on to the request that has waited longest.
    fn release(&self) {
        let first = self.waiting.borrow_mut().pop_front();
        match first {
            Some(waiter) => waiter.grant(),
            None => self.free.set(self.free.get() + 1),
        }
    }
}

/// `QueuePlace` is the place of one request in the queue. A place that is dropped leaves the queue,
/// and passes on a slot that it was granted and did not take.
struct QueuePlace<'a> {
    slots: &'a Rc<ServerSlots>,
    waiter: Rc<SlotWaiter>,
}

impl<'a> QueuePlace<'a> {
    fn new(slots: &'a Rc<ServerSlots>) -> Self {
        let waiter = Rc::<SlotWaiter>::default();
        slots.waiting.borrow_mut().push_back(waiter.clone());
        Self { slots, waiter }
    }

    fn take_slot(&self) -> SlotGuard {
        self.waiter.is_granted.set(false);
        SlotGuard(self.slots.clone())
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.slots.waiting.borrow_mut().retain(|other| !Rc::ptr_eq(other, &self.waiter));
        if self.waiter.is_granted.get() {
            self.slots.release();
        }
    }
}

impl SlotWaiter {
    fn grant(&self) {
        self.is_granted.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    async fn granted(&self) {
        poll_fn(|context| {
            if self.is_granted.get() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}
