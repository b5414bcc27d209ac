// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Cooperative time slicing of long computations, so that the thread that runs them serves requests
//! in between.
//!
//! Reading a configuration of the size expected in two years takes seconds. Code that iterates over
//! all resources counts its steps here and awaits a pause after each slice. Callers with nothing
//! else to serve pass [`no_pause`].

use std::future::Future;
use std::pin;
use std::task::{Context, Poll, Waker};

/// Number of resources processed in one slice. Reading one resource takes about 2 µs, so a slice
/// takes about 1 ms. A request that arrives during a slice waits for the end of the slice, and the
/// proxy may delay a request by 7.7 ms at most.
pub const SLICE_RESOURCES: usize = 512;

/// `WorkSlices` counts the steps of a long computation.
#[derive(Debug)]
pub struct WorkSlices<'a, P> {
    pause: &'a P,
    steps_left: usize,
}

impl<'a, P: AsyncFn()> WorkSlices<'a, P> {
    /// Builds a counter that awaits `pause` after each slice.
    pub fn new(pause: &'a P) -> Self {
        Self { pause, steps_left: SLICE_RESOURCES }
    }

    /// Counts one step and pauses if the slice is over.
    pub async fn step(&mut self) {
        self.steps_left -= 1;
        if self.steps_left == 0 {
            self.steps_left = SLICE_RESOURCES;
            (self.pause)().await;
        }
    }
}

/// Returns at once, for callers that need not yield.
pub async fn no_pause() {}

/// Runs a computation to completion in one poll; its pauses must never wait.
pub fn poll_to_completion<T>(computation: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    match pin::pin!(computation).poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => unreachable!("the pauses of this computation must not wait"),
    }
}
