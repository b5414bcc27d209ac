// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A monotonic counter whose increments wake waiting tasks.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

use fnv::FnvHashMap;

/// `RisingSignal` is a counter that wakes every task waiting for it to rise.
#[derive(Debug, Default)]
pub struct RisingSignal {
    count: Cell<u64>,
    next_waiter_id: Cell<u64>,
    waiters: RefCell<FnvHashMap<u64, Waker>>,
}

/// `WaiterGuard` deregisters a waiting task when the future of the task completes or is dropped.
struct WaiterGuard<'a> {
    signal: &'a RisingSignal,
    id: u64,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.signal.waiters.borrow_mut().remove(&self.id);
    }
}

impl RisingSignal {
    /// Returns how often the signal has been raised.
    pub fn get(&self) -> u64 {
        self.count.get()
    }

    /// Increments the count and wakes all waiters.
    pub fn raise(&self) {
        self.count.set(self.count.get() + 1);
        let waiters = std::mem::take(&mut *self.waiters.borrow_mut());
        for waker in waiters.into_values() {
            waker.wake();
        }
    }

    /// Waits until the count exceeds `seen`, and returns the new count.
    pub async fn above(&self, seen: u64) -> u64 {
        let id = self.next_waiter_id.get();
        self.next_waiter_id.set(id + 1);
        let guard = WaiterGuard { signal: self, id };
        poll_fn(|context| {
            if guard.signal.count.get() > seen {
                return Poll::Ready(guard.signal.count.get());
            }
            let waker = context.waker().clone();
            guard.signal.waiters.borrow_mut().insert(id, waker);
            Poll::Pending
        })
        .await
    }

    /// Waits until the signal has been raised at least once.
    pub async fn raised(&self) {
        self.above(0).await;
    }

    /// Returns whether the signal has been raised at least once.
    pub fn is_raised(&self) -> bool {
        self.count.get() > 0
    }
}
