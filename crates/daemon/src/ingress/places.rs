// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Lets a request that finds no free slot wait here, with places before the slots of several hosts.
//!
//! The request is sent once a host calls it in; until then it has not run, whatever becomes of the hosts.

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
use crate::ingress::dispatch::LiveExchange;
use crate::ingress::failure::CallerFailure;
use crate::ingress::trail::{self, TrailStep};
use crate::ingress::waiting;
use crate::links;

/// Share of the time left that a request may wait for a slot: a caller that is refused after it has time to turn
/// elsewhere or to come back.
const WAIT_SHARE_MAX: f64 = 0.6;
/// Links that are waited for before a request without a place goes out whole.
const LINKS_MAX: usize = 2;
/// Hosts that say that the work can't be done in time there, after which no other is asked.
const HOPELESS_MAX: usize = 2;

/// `SlotEnd` is how the wait for a slot ended.
pub enum SlotEnd {
    /// A host called the request in, and it was sent there.
    SlotOffered(UpstreamChoice, LiveExchange),
    /// No place can be held; the request may still go out whole.
    NoPlace,
    /// Nobody called it in.
    Failed(CallerFailure),
    /// The caller went away.
    CallerGone,
}

/// `WaitStep` is the next thing that happens while a request waits.
enum WaitStep {
    Word(HeldReservation<OutboundExchange>, ReservationReply<ExchangeFailure>),
    Widen,
    GiveUp(NotRunReason),
    CallerGone,
}

impl RequestAttempts<'_> {
    /// Says whether the request waits for a slot rather than go out whole: all trusted upstreams are full, or one
    /// just said that it is. Once none has a place for it, it goes out whole to what is left. What keeps a row in
    /// the ledger is sent whole, as its row comes before its slot.
    pub fn waits(&self, choice: &UpstreamChoice) -> bool {
        let is_set = self.state.live().waiting == WaitingMode::Places;
        let is_full = matches!(choice.ground, ChoiceGround::Waiting | ChoiceGround::Any);
        let may_wait = !self.has_waited && self.request.once_key.is_none();
        is_set && may_wait && (is_full || !self.full.is_empty())
    }

    /// Waits until a host calls the request in, and sends it there.
    pub async fn wait_for_slot(&mut self, stream: &mut HttpStream, body_is_done: bool) -> SlotEnd {
        let began = self.state.now();
        let mut book = ReservationSet::new(ReservationPlan::default());
        metrics::WAITING.add(1);
        let end = self.hold_places(&mut book, stream, body_is_done).await;
        metrics::WAITING.add(-1);
        let failure = match &end {
            SlotEnd::SlotOffered(..) => {
                metrics::CALLED_IN.add_one();
                None
            }
            SlotEnd::NoPlace => {
                self.has_waited = true;
                Some(self.last)
            }
            SlotEnd::Failed(failure) => Some(failure.outcome),
            SlotEnd::CallerGone => Some(FailureOutcome::NotRun(NotRunReason::CallerGone)),
        };
        if failure.is_some() {
            metrics::NOT_CALLED_IN.add_one();
        }
        let result = failure.map_or("called-in", |_| "refused");
        let waited = self.state.now().saturating_sub(began);
        metrics::PLACE_WAIT_SECONDS.record_as(waited, [("result", result)]);
        let attempt = self.request.trail.attempts.get() as usize + 1;
        let places = book.tries();
        trail::note(
            self.state,
            self.request,
            TrailStep::Awaited { attempt, began, places, failure },
        );
        end
    }

    async fn hold_places(
        &mut self,
        book: &mut ReservationSet<OutboundExchange>,
        stream: &mut HttpStream,
        body_is_done: bool,
    ) -> SlotEnd {
        let now = self.state.now();
        let until = *self.wait_until.get_or_insert(now + self.left().mul_f64(WAIT_SHARE_MAX));
        let mut hopeless = 0;
        let mut links = 0;
        let mut full = Vec::new();
        let mut doubted = Vec::new();
        loop {
            let unlinked = self.ask_for_places(book, &[&full[..], &doubted].concat());
            if book.is_empty() {
                // Right after a start nobody is linked yet.
                let Some(index) = unlinked.filter(|_| links < LINKS_MAX) else {
                    // Nor would they take it whole.
                    self.excluded.append(&mut full);
                    return SlotEnd::NoPlace;
                };
                links += 1;
                if !self.make_link(stream, index).await {
                    return SlotEnd::CallerGone;
                }
                continue;
            }
            match self.next_step(book, stream, until).await {
                WaitStep::Widen => book.widen(),
                WaitStep::CallerGone => return SlotEnd::CallerGone,
                WaitStep::GiveUp(reason) => {
                    return SlotEnd::Failed(CallerFailure::not_run(reason));
                }
                WaitStep::Word(place, ReservationReply::SlotOffered) => {
                    return self.send_called_in(place, body_is_done);
                }
                WaitStep::Word(place, ReservationReply::Refused(failure)) => {
                    let index = place.index;
                    let reason = self.note_refused(place, &failure);
                    match reason {
                        // Should it be called in and come for nothing, there may be room by then.
                        NotRunReason::QueueFull | NotRunReason::Unproven => full.push(index),
                        // Whole work still goes there when nothing else is left.
                        NotRunReason::Sick => doubted.push(index),
                        _ => self.excluded.push(index),
                    }
                    hopeless += usize::from(reason == NotRunReason::DeadlinePassed);
                    if hopeless >= HOPELESS_MAX || reason == NotRunReason::CrashesServers {
                        return SlotEnd::Failed(CallerFailure::not_run(reason));
                    }
                }
            }
        }
    }

    /// Makes the link to the daemon beside an upstream; says whether the caller is still there.
    async fn make_link(&mut self, stream: &mut HttpStream, index: usize) -> bool {
        let path = self.request.service.path(index).clone();
        let linked = waiting::unless_gone(stream, self.link(&path)).await;
        if matches!(linked, Some(Err(_))) {
            self.note_unreachable(index);
        }
        linked.is_some()
    }

    /// Asks for as many places as are missing, at hosts that are linked and not `full`: the others are linked meanwhile.
    /// Returns an upstream that was drawn and is not linked, if there is one.
    fn ask_for_places(
        &mut self,
        book: &mut ReservationSet<OutboundExchange>,
        full: &[usize],
    ) -> Option<usize> {
        let held: Vec<usize> = book.indexes().collect();
        let missing = book.missing();
        let mut unlinked = None;
        if missing == 0 {
            return None;
        }
        let left_out = [&held[..], &self.excluded, full].concat();
        let fits = |index: usize| !left_out.contains(&index);
        let service = self.request.service.clone();
        let request = ReservationRequest {
            count: missing,
            repeatable: self.is_repeatable(),
            local_wait_rounds: self.local_wait_rounds(),
        };
        for index in service.draw_reservations(self.state.now(), &request, fits) {
            match self.place_link(index) {
                PlaceLink::Own => {
                    let head = self.place_head(index);
                    let handle = host::dispatch_local(self.state, head);
                    book.push(HeldReservation { index, handle });
                }
                PlaceLink::Linked(link) => {
                    let Ok(handle) = link.dispatch(self.place_head(index)) else { continue };
                    book.push(HeldReservation { index, handle });
                }
                PlaceLink::Unable => continue,
                PlaceLink::Missing => {
                    unlinked = Some(index);
                    continue;
                }
            }
            metrics::PLACES.add_one();
        }
        unlinked
    }

    /// Returns the way by which a place is asked for; a link that is missing is made for the next who asks.
    fn place_link(&self, index: usize) -> PlaceLink {
        let path = self.request.service.path(index).clone();
        if path.is_self {
            return PlaceLink::Own;
        }
        path.note_used(self.state.now());
        match path.link() {
            Some(link) if link.peer.takes_reservations => PlaceLink::Linked(link),
            Some(_) => PlaceLink::Unable,
            None => {
                let state = self.state.clone();
                monoio::spawn(async move {
                    // One that can't be made shows as such at the next choice.
                    let _ = links::link_to(&state, &path).await;
                });
                PlaceLink::Missing
            }
        }
    }

    /// Builds the head by which a place is asked for. What only the work needs comes with it: most places are given
    /// up, and bytes between failure domains are dear.
    fn place_head(&self, index: usize) -> DispatchHead {
        let now = self.state.now();
        let choice = self.request.service.with_view(|view| view.offered_choice(index, now));
        let attempt = self.request.trail.attempts.get() as i8 + 1;
        DispatchHead {
            method: String::new(),
            target: String::new(),
            field_lines: Vec::new(),
            body: Vec::new(),
            last: false,
            baseline: None,
            fingerprint: None,
            organisation: None,
            reserved: Some(true),
            refusable: true,
            passable: true,
            attempt,
            ..self.head(choice, false, &ServiceBaseline::default())
        }
    }

    async fn next_step(
        &self,
        book: &mut ReservationSet<OutboundExchange>,
        stream: &mut HttpStream,
        until: Duration,
    ) -> WaitStep {
        let left = until.saturating_sub(self.state.now());
        let mut word = std::pin::pin!(book.next(poll_place).fuse());
        let mut over = std::pin::pin!(monoio::time::sleep(left).fuse());
        let mut slept = std::pin::pin!(self.state.clock.passed(self.request.deadline).fuse());
        let widen_every = ReservationPlan::default().widen_every;
        let mut widen = std::pin::pin!(monoio::time::sleep(widen_every).fuse());
        let mut stopping = std::pin::pin!(self.state.stop.giving_up.raised().fuse());
        let mut watching = std::pin::pin!(waiting::caller_gone(stream).fuse());
        select_biased! {
            (place, word) = word => WaitStep::Word(place, word),
            () = stopping => WaitStep::GiveUp(NotRunReason::Draining),
            () = over => WaitStep::GiveUp(NotRunReason::QueueFull),
            () = slept => WaitStep::GiveUp(NotRunReason::DeadlinePassed),
            () = widen => WaitStep::Widen,
            () = watching => WaitStep::CallerGone,
        }
    }

    /// Takes in that a host has no place for the request any more, and returns why.
    fn note_refused(
        &mut self,
        mut place: HeldReservation<OutboundExchange>,
        failure: &ExchangeFailure,
    ) -> NotRunReason {
        place.handle.finish();
        if let Some(report) = &failure.report {
            self.note_report(place.index, report, None);
        }
        let reason = match FailureOutcome::from_wire(failure.outcome) {
            FailureOutcome::NotRun(reason) => reason,
            // The work was never sent there, whatever became of the host.
            FailureOutcome::Unknown(_) => NotRunReason::PeerUnreachable,
        };
        self.last = FailureOutcome::NotRun(reason);
        reason
    }

    /// Sends the request to the host that called it in, unless it may not be sent any more.
    fn send_called_in(
        &mut self,
        place: HeldReservation<OutboundExchange>,
        body_is_done: bool,
    ) -> SlotEnd {
        if !self.is_taken() {
            return SlotEnd::Failed(CallerFailure::not_run(NotRunReason::Draining));
        }
        if let Err(failure) = self.refuse_taken_away().and_then(|()| self.refuse_suspect()) {
            return SlotEnd::Failed(failure);
        }
        let HeldReservation { index, handle: exchange } = place;
        self.note_dispatch();
        let now = self.state.now();
        let service = &self.request.service;
        let baseline = service.baseline(&self.request.route.name, index, now);
        let path = service.path(index).clone();
        let choice = service.with_view(|view| view.offered_choice(index, now));
        let head = self.head(choice, body_is_done, &baseline);
        if exchange.begin(head).is_err() {
            // Its link ended in this moment, before anything was sent.
            self.excluded.push(index);
            return SlotEnd::Failed(CallerFailure::not_run(NotRunReason::PeerUnreachable));
        }
        let live = LiveExchange {
            exchange,
            withheld: None,
            path: self.path_to_leave(path, body_is_done),
            hedge: self.hedge(&baseline, 0.0),
            counts: !self.spares_failure(),
            sent: service.count_sent(index),
        };
        SlotEnd::SlotOffered(choice, live)
    }
}

/// `PlaceLink` is the way by which a place is asked for.
enum PlaceLink {
    Own,
    Linked(Rc<DialledLink>),
    Missing,
    /// The daemon there is of a version that takes no places.
    Unable,
}

/// Polls for the word of the host of a place.
fn poll_place(
    exchange: &OutboundExchange,
    context: &mut Context<'_>,
) -> Poll<ReservationReply<ExchangeFailure>> {
    if let Poll::Ready(event) = exchange.answer.poll_next(context) {
        return Poll::Ready(ReservationReply::Refused(match event {
            StreamEvent::Failed(failure) => failure,
            _ => lost_place(),
        }));
    }
    exchange.body.poll_ready(context).map(|ready| match ready {
        Ok(()) => ReservationReply::SlotOffered,
        Err(_) => ReservationReply::Refused(lost_place()),
    })
}

/// Builds the refusal of a place whose host said nothing that can be understood.
fn lost_place() -> ExchangeFailure {
    let outcome = FailureOutcome::NotRun(NotRunReason::PeerUnreachable);
    ExchangeFailure { outcome: outcome.wire_number(), retry_after_ms: 0, report: None }
}
