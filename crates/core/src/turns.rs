// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Long work in turns, so that the thread that does it serves requests in between.
//!
//! Reading the configuration of the two-year size takes seconds. What goes over all of it counts its
//! steps here and awaits a pause after each turn; who has nothing else to do gives [`no_pause`].

use std::future::Future;
use std::pin;
use std::task::{Context, Poll, Waker};

/// Resources worked on in one turn: reading one takes about 2 µs (docs/MEASUREMENTS.md), so a turn
/// takes about 1 ms of the 7.7 ms that a request may be delayed.
pub const TURN_RESOURCES: usize = 512;

/// `WorkTurns` counts the steps of long work.
#[derive(Debug)]
pub struct WorkTurns<'a, P> {
    pause: &'a P,
    left: usize,
}

impl<'a, P: AsyncFn()> WorkTurns<'a, P> {
    /// Builds turns that end with `pause`.
    pub fn new(pause: &'a P) -> Self {
        Self { pause, left: TURN_RESOURCES }
    }

    /// Counts one step and pauses if the turn is over.
    pub async fn step(&mut self) {
        self.left -= 1;
        if self.left == 0 {
            self.left = TURN_RESOURCES;
            (self.pause)().await;
        }
    }
}

/// Does not pause.
pub async fn no_pause() {}

/// Does work whose pauses never wait.
pub fn at_once<T>(work: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    match pin::pin!(work).poll(&mut context) {
        Poll::Ready(value) => value,
        Poll::Pending => unreachable!("the work was given pauses that wait"),
    }
}
