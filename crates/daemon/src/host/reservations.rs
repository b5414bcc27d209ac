// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reservations for the slots of this host, held for requests that wait at their ingress.
//!
//! When a slot is free or about to become free, the host offers it to the ingress, which either
//! dispatches the request or loses the reservation. Before the dispatch, the host has nothing of
//! the request that it could send to the backend server. The request has therefore not run, however
//! the reservation ends.

use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason};
use basaltarch_peer::protocol::DispatchHead;
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};

use crate::host::exchange::{self, HostAttempt};

/// Time for which a slot offer waits for its dispatch: several round trips between failure domains,
/// plus a pause of a busy daemon. An offer to an ingress that was killed, or that is cut off in one
/// direction, delays the next offer by this time.
const OFFER_TIMEOUT: Duration = Duration::from_millis(150);

impl HostAttempt<'_> {
    /// Says whether the exchange only asks for a reservation.
    pub fn is_reservation(&self) -> bool {
        self.head.reserved == Some(true)
    }

    /// Waits for a slot, offers it to the ingress and runs the request that is dispatched for it.
    pub async fn run_reserved(
        &self,
        body: &EventPipe,
        answer: &EventSink,
    ) -> Result<(), FailureOutcome> {
        if !self.may_start() {
            return Err(FailureOutcome::NotRun(NotRunReason::Draining));
        }
        if self.upstream.is_unreachable() {
            return Err(FailureOutcome::NotRun(NotRunReason::Unhealthy));
        }
        let waiting = self.upstream.slots.await_offer(self.slot_request());
        let offer = exchange::unless_cancelled(body, waiting).await;
        let offer = offer.map_err(FailureOutcome::NotRun)?;
        body.offer_slot();
        let head = self.await_dispatch(body).await.map_err(FailureOutcome::NotRun)?;
        // The ingress may send no body until the backend server reads it, which opens the window
        // again.
        body.shut_window();
        let attempt = self.with_dispatch_head(&head);
        let starting = exchange::unless_cancelled(body, offer.start(attempt.slot_request()));
        let slot = starting.await.map_err(FailureOutcome::NotRun)?;
        attempt.forward(slot, body, answer, None).await
    }

    /// Waits for the dispatch of the request that holds the reservation.
    async fn await_dispatch(&self, body: &EventPipe) -> Result<DispatchHead, NotRunReason> {
        match monoio::time::timeout(OFFER_TIMEOUT, body.next()).await {
            Ok(StreamEvent::Begin(head)) => Ok(*head),
            // The ingress accepted the offer of another host, or the caller disconnected.
            Ok(_) => Err(NotRunReason::CallerGone),
            Err(_) => {
                metrics::OFFERS_UNANSWERED.add_one();
                Err(NotRunReason::QueueFull)
            }
        }
    }
}
