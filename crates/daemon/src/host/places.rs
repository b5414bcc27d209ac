// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Work that holds a place before the slots here, while it waits at its ingress.
//!
//! Once it is its turn, when a slot is free or about to be, the work is called in. It comes then or never. Until then
//! there is nothing here that could be sent to the backend server, so that whatever ends a place, the work has not run.

use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason};
use basaltarch_peer::protocol::DispatchHead;
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};

use crate::host::exchange::{self, HostWork};

/// Time for which work that was called in is waited for: several ways there and back between failure domains,
/// with a pause of a busy daemon. A call to an ingress that was killed or is cut off one way keeps the next one back for
/// as long.
const CALL_WAIT: Duration = Duration::from_millis(150);

impl HostWork<'_> {
    /// Says whether only a place is asked for.
    pub fn is_place(&self) -> bool {
        self.head.reserved == Some(true)
    }

    /// Waits for a slot, calls the work in and runs it.
    pub async fn run_called_in(
        &self,
        body: &EventPipe,
        answer: &EventSink,
    ) -> Result<(), FailureOutcome> {
        if !self.may_start() {
            return Err(FailureOutcome::NotRun(NotRunReason::Draining));
        }
        if self.upstream.is_down() {
            return Err(FailureOutcome::NotRun(NotRunReason::Sick));
        }
        let waiting = self.upstream.slots.await_offer(self.slot_request());
        let turn = exchange::unless_cancelled(body, waiting).await;
        let turn = turn.map_err(FailureOutcome::NotRun)?;
        body.call_in();
        let head = self.called_in(body).await.map_err(FailureOutcome::NotRun)?;
        // The window opens anew once the backend server takes the body.
        body.shut_window();
        let work = self.called_in_with(&head);
        let starting = exchange::unless_cancelled(body, turn.start(work.slot_request()));
        let slot = starting.await.map_err(FailureOutcome::NotRun)?;
        work.work(slot, body, answer, None).await
    }

    /// Waits for the work, which a place was held for.
    async fn called_in(&self, body: &EventPipe) -> Result<DispatchHead, NotRunReason> {
        match monoio::time::timeout(CALL_WAIT, body.next()).await {
            Ok(StreamEvent::Begin(head)) => Ok(*head),
            // It was called in elsewhere, or its caller left.
            Ok(_) => Err(NotRunReason::CallerGone),
            Err(_) => {
                metrics::CALLS_UNANSWERED.add_one();
                Err(NotRunReason::QueueFull)
            }
        }
    }
}
