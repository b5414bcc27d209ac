// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The end of a stand-in that crashes: its listener closes, then all its connections, as when the system ends
//! a process.

use std::cell::{Cell, RefCell};
use std::future;
use std::task::{Poll, Waker};

/// `CrashSignal` tells the tasks of a stand-in that it crashed.
#[derive(Debug, Default)]
pub struct CrashSignal {
    crashes: Cell<u64>,
    waiting: RefCell<Vec<Waker>>,
}

impl CrashSignal {
    /// Returns how often the stand-in has crashed.
    pub fn count(&self) -> u64 {
        self.crashes.get()
    }

    /// Ends everything that waits for a crash.
    pub fn raise(&self) {
        self.crashes.set(self.crashes.get() + 1);
        self.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Waits for the first crash after `seen`.
    pub async fn after(&self, seen: u64) {
        future::poll_fn(|context| {
            if self.crashes.get() > seen {
                return Poll::Ready(());
            }
            let mut waiting = self.waiting.borrow_mut();
            if !waiting.iter().any(|known| known.will_wake(context.waker())) {
                waiting.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await
    }
}
