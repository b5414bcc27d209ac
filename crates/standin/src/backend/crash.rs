// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Signals a simulated crash: the listener closes, then all connections close, as if the operating
//! system had ended the process of the server.

use std::cell::{Cell, RefCell};
use std::future;
use std::task::{Poll, Waker};

/// `CrashSignal` notifies the tasks of a simulated backend server of a crash.
#[derive(Debug, Default)]
pub struct CrashSignal {
    crash_count: Cell<u64>,
    waiting_tasks: RefCell<Vec<Waker>>,
}

impl CrashSignal {
    /// Returns how often the signal was raised.
    pub fn count(&self) -> u64 {
        self.crash_count.get()
    }

    /// Counts a crash and wakes all tasks that wait for a crash.
    pub fn raise(&self) {
        self.crash_count.set(self.crash_count.get() + 1);
        self.waiting_tasks.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits until more than `seen` crashes have been counted.
    pub async fn after(&self, seen: u64) {
        future::poll_fn(|context| {
            if self.crash_count.get() > seen {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting_tasks.borrow_mut();
            if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}
