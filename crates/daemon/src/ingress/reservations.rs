// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Lets a request that finds no free slot wait at its ingress, with reservations for the slots of
//! several hosts.
//!
//! The request is sent only to a host that has offered a slot for the request. While the request
//! waits for an offer, it has certainly not run, even if hosts that hold one of its reservations
//! fail.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason};
use basaltarch_decide::balance::reservations::ReservationRequest;
use basaltarch_decide::balance::{ChoiceGround, UpstreamChoice};
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_http::connection::HttpStream;
use basaltarch_options::WaitingMode;
use basaltarch_peer::link::{DialledLink, OutboundExchange};
use basaltarch_peer::protocol::{DispatchHead, ExchangeFailure};
use basaltarch_peer::stream::StreamEvent;
use basaltarch_waiting::reservations::{
    HeldReservation, ReservationPlan, ReservationReply, ReservationSet,
};
use futures_util::{select_biased, FutureExt};

use crate::host;
use crate::ingress::attempt::RequestAttempts;
use crate::ingress::body::{BodyStart, BodyUpload};
use crate::ingress::dispatch::{self, LiveExchange};
use crate::ingress::failure::CallerFailure;
use crate::ingress::trace::{self, TraceStep};
use crate::ingress::waiting;
use crate::links;

/// Share of the time until the deadline that a request may wait for a slot. A caller that is
/// refused at the end of the wait still has time to retry, at this ingress or at another ingress.
const WAIT_SHARE_MAX: f64 = 0.6;
/// Number of links that a request without any reservation tries to establish, one after the other,
/// before the request is dispatched without a reservation.
const LINKS_MAX: usize = 2;
/// Number of refusals, by hosts that can't run the request within its deadline, after which no
/// further host is asked for a reservation.
const DEADLINE_REFUSALS_MAX: usize = 2;

/// Time that a request without a reservation waits before it asks the hosts again that were full: a
/// small part of a typical service time, within which few of their slots become free.
const FULL_HOSTS_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a request must have held reservations to count as admitted to wait: hosts that
/// refuse a reservation do so within a round trip.
const RESERVATION_HELD_MIN: Duration = Duration::from_millis(50);

/// `SlotEnd` is how the wait for a slot ended.
pub enum SlotEnd {
    /// A host offered a slot, and the request was sent to that host.
    Sent(UpstreamChoice, LiveExchange),
    /// No host accepts a reservation; the request may still be dispatched without a reservation.
    NoReservation,
    /// No host offered a slot.
    Failed(CallerFailure),
    /// The caller disconnected.
    CallerGone,
}

/// `WaitStep` is the next event while a request waits.
enum WaitStep {
    /// A host offered a slot, or refused or ended its reservation.
    Reply(HeldReservation<OutboundExchange>, ReservationReply<ExchangeFailure>),
    /// No host has offered a slot for a while, so the request holds one more reservation from now
    /// on.
    Widen,
    /// The request may not wait any longer.
    GiveUp(NotRunReason),
    /// The caller disconnected.
    CallerGone,
}

impl RequestAttempts<'_> {
    /// Says whether the request waits for a slot with reservations rather than being dispatched at
    /// once. The request waits if all healthy upstreams are full, or if an upstream has just
    /// declined the request because that upstream is full. Once no host accepts a reservation, the
    /// request is dispatched to one of the remaining upstreams. A request that needs a row in the
    /// ledger is dispatched at once, because that row is written before the request takes a slot.
    pub fn needs_reservation(&self, choice: &UpstreamChoice) -> bool {
        let uses_reservations = self.state.live().waiting == WaitingMode::Reservations;
        let has_no_free_slot = matches!(choice.ground, ChoiceGround::Waiting | ChoiceGround::Any);
        let may_wait = !self.is_unreservable && self.request.once_key.is_none();
        uses_reservations && may_wait && (has_no_free_slot || !self.full.is_empty())
    }

    /// Waits until a host offers a slot for the request, and sends the request to that host.
    pub async fn wait_for_slot(&mut self, stream: &mut HttpStream, body: &BodyStart) -> SlotEnd {
        let began = self.state.now();
        let mut set = ReservationSet::new(ReservationPlan::default());
        metrics::WAITING_REQUESTS.add(1);
        let end = self.hold_reservations(&mut set, stream, body).await;
        metrics::WAITING_REQUESTS.add(-1);
        let failure = match &end {
            SlotEnd::Sent(..) => {
                metrics::SLOTS_OFFERED.add_one();
                None
            }
            SlotEnd::NoReservation => {
                self.is_unreservable = true;
                Some(self.last_outcome)
            }
            SlotEnd::Failed(failure) => Some(failure.outcome),
            SlotEnd::CallerGone => Some(FailureOutcome::NotRun(NotRunReason::CallerGone)),
        };
        if failure.is_some() {
            metrics::SLOTS_NOT_OFFERED.add_one();
        }
        let result = failure.map_or("called-in", |_| "refused");
        let waited = self.state.now().saturating_sub(began);
        self.has_held_reservation |= matches!(end, SlotEnd::Sent(..));
        metrics::RESERVATION_WAIT_SECONDS.record_as(waited, [("result", result)]);
        let attempt = self.request.trace.attempts.get() as usize + 1;
        let hosts_asked = set.tries();
        trace::note_step(
            self.state,
            self.request,
            TraceStep::Awaited { attempt, began, hosts_asked, failure },
        );
        end
    }

    async fn hold_reservations(
        &mut self,
        set: &mut ReservationSet<OutboundExchange>,
        stream: &mut HttpStream,
        body: &BodyStart,
    ) -> SlotEnd {
        let now = self.state.now();
        let until = *self.wait_until.get_or_insert(now + self.time_left().mul_f64(WAIT_SHARE_MAX));
        let mut deadline_refusals = 0;
        let mut links_tried = 0;
        let mut held_since = None;
        let mut full = Vec::new();
        let mut unhealthy = Vec::new();
        loop {
            let unlinked_index = self.request_reservations(set, &[&full[..], &unhealthy].concat());
            if set.is_empty() {
                held_since = None;
                // Right after the daemon's start no host is linked yet.
                let Some(index) = unlinked_index.filter(|_| links_tried < LINKS_MAX) else {
                    // The request was admitted to wait, and lost its reservations because their
                    // hosts failed.
                    let may_ask_again = self.has_held_reservation && self.state.now() < until;
                    if may_ask_again && !full.is_empty() {
                        full.clear();
                        set.renew_tries();
                        match self.pause_for_full_hosts(set, stream).await {
                            None => continue,
                            Some(end) => return end,
                        }
                    }
                    // Hosts that refused a reservation because they are full would not queue the
                    // request itself either.
                    self.excluded.append(&mut full);
                    return SlotEnd::NoReservation;
                };
                links_tried += 1;
                if !self.establish_link(stream, index).await {
                    return SlotEnd::CallerGone;
                }
                continue;
            }
            let held_since = *held_since.get_or_insert(self.state.now());
            let step = self.next_step(set, stream, until).await;
            let held_for = self.state.now().saturating_sub(held_since);
            self.has_held_reservation |= held_for >= RESERVATION_HELD_MIN;
            match step {
                WaitStep::Widen => set.widen(),
                WaitStep::CallerGone => return SlotEnd::CallerGone,
                WaitStep::GiveUp(reason) => {
                    return SlotEnd::Failed(CallerFailure::not_run(reason));
                }
                WaitStep::Reply(reservation, ReservationReply::SlotOffered) => {
                    return self.send_offered(reservation, body);
                }
                WaitStep::Reply(reservation, ReservationReply::Refused(failure)) => {
                    let index = reservation.index;
                    let reason = self.note_refused(reservation, &failure);
                    match reason {
                        // A full host is not excluded: if another host offers a slot and the
                        // request fails at that other host, the full host may have room by that
                        // time.
                        NotRunReason::QueueFull | NotRunReason::Unproven => full.push(index),
                        // An unhealthy host is not excluded, because the request is still sent to
                        // an unhealthy host when no other upstream remains.
                        NotRunReason::Unhealthy => unhealthy.push(index),
                        _ => self.excluded.push(index),
                    }
                    deadline_refusals += usize::from(reason == NotRunReason::DeadlinePassed);
                    if deadline_refusals >= DEADLINE_REFUSALS_MAX
                        || reason == NotRunReason::CrashesServers
                    {
                        return SlotEnd::Failed(CallerFailure::not_run(reason));
                    }
                }
            }
        }
    }

    /// Waits until the hosts that were full may have room. Returns how the wait for a slot ended, if
    /// it did.
    async fn pause_for_full_hosts(
        &self,
        set: &mut ReservationSet<OutboundExchange>,
        stream: &mut HttpStream,
    ) -> Option<SlotEnd> {
        let pause_end = self.state.now() + FULL_HOSTS_PAUSE;
        match self.next_step(set, stream, pause_end).await {
            WaitStep::CallerGone => Some(SlotEnd::CallerGone),
            WaitStep::GiveUp(NotRunReason::QueueFull) => None,
            WaitStep::GiveUp(reason) => Some(SlotEnd::Failed(CallerFailure::not_run(reason))),
            WaitStep::Reply(..) | WaitStep::Widen => None,
        }
    }

    /// Establishes the link to the daemon of an upstream. Returns `false` if the caller
    /// disconnected before the link was established.
    async fn establish_link(&mut self, stream: &mut HttpStream, index: usize) -> bool {
        let path = self.request.service.path(index).clone();
        let linked = waiting::unless_caller_gone(stream, self.link(&path)).await;
        if matches!(linked, Some(Err(_))) {
            self.note_unreachable(index);
        }
        linked.is_some()
    }

    /// Requests the missing reservations, at linked hosts that are not in `full`. Links to drawn
    /// hosts that are not linked yet are established in the background. Returns the index of an
    /// upstream that was drawn but is not linked yet, if there is such an upstream.
    fn request_reservations(
        &mut self,
        set: &mut ReservationSet<OutboundExchange>,
        full: &[usize],
    ) -> Option<usize> {
        let held_indexes: Vec<usize> = set.indexes().collect();
        let missing = set.missing();
        let mut unlinked_index = None;
        if missing == 0 {
            return None;
        }
        let unavailable = [&held_indexes[..], &self.excluded, full].concat();
        let is_available = |index: usize| !unavailable.contains(&index);
        let service = self.request.service.clone();
        let request = ReservationRequest {
            count: missing,
            repeatable: self.is_repeatable(),
            local_wait_rounds: self.local_wait_rounds(),
        };
        for index in service.draw_reservations(self.state.now(), &request, is_available) {
            match self.reservation_link(index) {
                ReservationLink::Local => {
                    let head = self.reservation_head(index);
                    let handle = host::dispatch_local(self.state, head);
                    set.push(HeldReservation { index, handle });
                }
                ReservationLink::Linked(link) => {
                    let Ok(handle) = link.dispatch(self.reservation_head(index)) else { continue };
                    set.push(HeldReservation { index, handle });
                }
                ReservationLink::Unsupported => continue,
                ReservationLink::Missing => {
                    unlinked_index = Some(index);
                    continue;
                }
            }
            metrics::RESERVATIONS.add_one();
        }
        unlinked_index
    }

    /// Returns how a reservation is requested at an upstream. A missing link is established in the
    /// background, for later requests.
    fn reservation_link(&self, index: usize) -> ReservationLink {
        let path = self.request.service.path(index).clone();
        if path.is_self {
            return ReservationLink::Local;
        }
        path.note_used(self.state.now());
        match path.link() {
            Some(link) if link.peer.takes_reservations => ReservationLink::Linked(link),
            Some(_) => ReservationLink::Unsupported,
            None => {
                let state = self.state.clone();
                monoio::spawn(async move {
                    // An error is ignored: the next choice of an upstream takes into account that
                    // the link can't be established.
                    let _ = links::link_to(&state, &path).await;
                });
                ReservationLink::Missing
            }
        }
    }

    /// Builds the head that requests a reservation. The head leaves out what is needed only to run
    /// the request, because most reservations are released unused and traffic
    /// between failure domains is expensive.
    fn reservation_head(&self, index: usize) -> DispatchHead {
        let now = self.state.now();
        let choice = self.request.service.with_view(|view| view.offered_choice(index, now));
        let attempt = self.request.trace.attempts.get() as i8 + 1;
        DispatchHead {
            method: String::new(),
            target: String::new(),
            field_lines: Vec::new(),
            baseline: None,
            fingerprint: None,
            organisation: None,
            reserved: Some(true),
            refusable: true,
            passable: true,
            attempt,
            ..self.head(choice, &ServiceBaseline::default())
        }
    }

    async fn next_step(
        &self,
        set: &mut ReservationSet<OutboundExchange>,
        stream: &mut HttpStream,
        until: Duration,
    ) -> WaitStep {
        let time_left = until.saturating_sub(self.state.now());
        let mut reply = std::pin::pin!(set.next(poll_reservation).fuse());
        let mut wait_over = std::pin::pin!(monoio::time::sleep(time_left).fuse());
        let mut deadline_passed =
            std::pin::pin!(self.state.clock.passed_after_resume(self.request.deadline).fuse());
        let widen_every = ReservationPlan::default().widen_every;
        let mut widen = std::pin::pin!(monoio::time::sleep(widen_every).fuse());
        let mut stopping = std::pin::pin!(self.state.stop.giving_up.raised().fuse());
        let mut disconnected =
            std::pin::pin!(waiting::wait_until_caller_gone(&mut stream.reader).fuse());
        select_biased! {
            (reservation, reply) = reply => WaitStep::Reply(reservation, reply),
            () = stopping => WaitStep::GiveUp(NotRunReason::Draining),
            () = wait_over => WaitStep::GiveUp(NotRunReason::QueueFull),
            () = deadline_passed => WaitStep::GiveUp(NotRunReason::DeadlinePassed),
            () = widen => WaitStep::Widen,
            () = disconnected => WaitStep::CallerGone,
        }
    }

    /// Records that a host refused or ended a reservation, and returns the reason.
    fn note_refused(
        &mut self,
        mut reservation: HeldReservation<OutboundExchange>,
        failure: &ExchangeFailure,
    ) -> NotRunReason {
        reservation.handle.finish();
        if let Some(report) = &failure.report {
            self.note_report(reservation.index, report, None);
        }
        let reason = match FailureOutcome::from_wire(failure.outcome) {
            FailureOutcome::NotRun(reason) => reason,
            // The host held only a reservation, so the request has not run even if the host
            // failed.
            FailureOutcome::Unknown(_) => NotRunReason::PeerUnreachable,
        };
        self.last_outcome = FailureOutcome::NotRun(reason);
        reason
    }

    /// Sends the request to the host that offered a slot, if the request may still be sent. While
    /// the request waited, the daemon may have begun to shut down, the caller's key may have been
    /// revoked, or copies of the request may have crashed servers.
    fn send_offered(
        &mut self,
        reservation: HeldReservation<OutboundExchange>,
        body: &BodyStart,
    ) -> SlotEnd {
        if !self.may_dispatch() {
            return SlotEnd::Failed(CallerFailure::not_run(NotRunReason::Draining));
        }
        if let Err(failure) = self.refuse_revoked_key().and_then(|()| self.refuse_suspect()) {
            return SlotEnd::Failed(failure);
        }
        let HeldReservation { index, handle: exchange } = reservation;
        self.note_dispatch();
        let now = self.state.now();
        let service = &self.request.service;
        let baseline = service.baseline(&self.request.route.name, index, now);
        let path = service.path(index).clone();
        let choice = service.with_view(|view| view.offered_choice(index, now));
        let mut head = self.head(choice, &baseline);
        dispatch::put_body(&mut head, body);
        if exchange.begin(head).is_err() {
            // The link was lost after the slot was offered; the request was not sent.
            self.excluded.push(index);
            return SlotEnd::Failed(CallerFailure::not_run(NotRunReason::PeerUnreachable));
        }
        let live = LiveExchange {
            exchange,
            upload: BodyUpload::after_start(body),
            path: self.path_to_watch(path, body),
            hedging_delay: self.hedging_delay(&baseline, 0.0, body),
            is_evidence: !self.exempts_failure(),
            sent_guard: service.count_sent(index),
        };
        SlotEnd::Sent(choice, live)
    }
}

/// `ReservationLink` is how a reservation is requested at an upstream.
enum ReservationLink {
    Local,
    Linked(Rc<DialledLink>),
    Missing,
    /// The upstream's daemon runs a version without reservations.
    Unsupported,
}

/// Polls a reservation for the reply of its host.
fn poll_reservation(
    exchange: &OutboundExchange,
    context: &mut Context<'_>,
) -> Poll<ReservationReply<ExchangeFailure>> {
    if let Poll::Ready(event) = exchange.answer.poll_next(context) {
        return Poll::Ready(ReservationReply::Refused(match event {
            StreamEvent::Failed(failure) => failure,
            _ => lost_reservation(),
        }));
    }
    exchange.body.poll_ready(context).map(|ready| match ready {
        Ok(()) => ReservationReply::SlotOffered,
        Err(_) => ReservationReply::Refused(lost_reservation()),
    })
}

/// Builds the refusal of a reservation whose host sent no valid reply.
fn lost_reservation() -> ExchangeFailure {
    let outcome = FailureOutcome::NotRun(NotRunReason::PeerUnreachable);
    ExchangeFailure { outcome: outcome.wire_number(), retry_after_ms: 0, report: None }
}
