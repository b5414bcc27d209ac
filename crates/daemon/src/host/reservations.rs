// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Serves reservations for the slots of this host. Each reservation belongs to a request that waits
//! at its ingress.
//!
//! When a slot is free or about to become free, the host offers the slot to the ingress. The
//! ingress either dispatches the request or loses the reservation. Before the dispatch, the host
//! holds no part of the request that could be sent to the backend server. However the reservation
//! ends before the dispatch, the request has therefore not run.

use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason};
use basaltarch_peer::protocol::DispatchHead;
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};

use crate::host::exchange::{self, HostAttempt};

/// Time for which a slot offer waits for its dispatch: several round trips between failure domains,
/// plus a pause of a busy daemon. An offer to an ingress that was killed, or whose path is cut in
/// one direction, delays the next offer by this time.
const OFFER_TIMEOUT: Duration = Duration::from_millis(150);

impl HostAttempt<'_> {
    /// Says whether the exchange only asks for a reservation.
    pub fn is_reservation(&self) -> bool {
        self.head.reserved == Some(true)
    }

    /// Waits for a slot, offers the slot to the ingress and runs the request that the ingress
    /// dispatches in reply.
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
