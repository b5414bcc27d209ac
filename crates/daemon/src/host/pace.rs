// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Waits for the caller of a request that holds a slot, and gives the request up if the caller stands
//! still while others need the slot.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::{select_biased, FutureExt};

use crate::host::fault::AttemptFault;
use crate::host::watch::AttemptWatch;

/// Time between two checks whether others need the slot of a caller that is waited for.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `HeldUpCount` counts the requests in slots of one backend server that wait for their callers.
#[derive(Debug, Default)]
pub struct HeldUpCount(Rc<Cell<u32>>);

/// `HeldUpGuard` counts one request that waits for its caller.
struct HeldUpGuard(Rc<Cell<u32>>);

impl HeldUpCount {
    /// Returns the number of requests that wait for their callers.
    pub fn get(&self) -> u32 {
        self.0.get()
    }

    fn count(&self) -> HeldUpGuard {
        self.0.set(self.0.get() + 1);
        HeldUpGuard(self.0.clone())
    }
}

impl Drop for HeldUpGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until the caller has `moved` bytes of the request or its answer; `moved_bytes` tells how
/// many.
///
/// # Errors
///
/// Returns [`AttemptFault::CallerStalled`] if the caller stands still while others need the slot.
pub async fn await_caller<T>(
    watch: &AttemptWatch<'_>,
    moved: impl Future<Output = T>,
    moved_bytes: impl Fn(&T) -> usize,
) -> Result<T, AttemptFault> {
    let progress = watch.progress;
    let mut moving = std::pin::pin!(moved);
    if let Some(result) = moving.as_mut().now_or_never() {
        progress.note_moved(moved_bytes(&result), Duration::ZERO);
        return Ok(result);
    }
    watch.note_caller_wait();
    let began = Instant::now();
    let _held_up = watch.attempt.upstream.held_up.count();
    let mut moving = moving.fuse();
    let mut stalled = std::pin::pin!(wait_until_stalled(watch, began).fuse());
    select_biased! {
        result = moving => {
            progress.note_moved(moved_bytes(&result), began.elapsed());
            Ok(result)
        }
        () = stalled => Err(AttemptFault::CallerStalled),
    }
}

async fn wait_until_stalled(watch: &AttemptWatch<'_>, began: Instant) {
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        let demand = watch.attempt.upstream.slot_demand();
        if watch.progress.pace.get().is_stalled(began.elapsed(), &demand) {
            return;
        }
    }
}
