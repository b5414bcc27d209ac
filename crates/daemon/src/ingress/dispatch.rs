// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Dispatches one attempt at a request to the daemon of the chosen upstream.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_core::outcome::{FailureOutcome, NotRunReason};
use basaltarch_decide::balance::{ChoiceGround, UpstreamChoice};
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::hang::UsualTime;
use basaltarch_decide::hedge;
use basaltarch_http::connection::HttpStream;
use basaltarch_options::WaitingMode;
use basaltarch_peer::errors::LinkError;
use basaltarch_peer::link::{DialledLink, OutboundExchange};
use basaltarch_peer::protocol::{BaselineNote, DispatchHead};

use crate::host;
use crate::ingress::attempt::RequestAttempts;
use crate::ingress::body::{BodyStart, BodyUpload};
use crate::ingress::waiting;
use crate::links;
use crate::services::SentGuard;
use crate::wire;

/// Largest number of dispatches of one request: the first dispatch and two more.
pub const DISPATCHES_MAX: usize = 3;
/// Size in bytes above which a body may be withheld until the host has started the request. For a
/// shorter body, withholding is not worth the extra round trip.
const WITHHELD_BYTES_MIN: usize = 256;
/// Size in bytes above which a body is withheld from any dispatch to another host.
const WITHHELD_BYTES_MAX: usize = 16 * 1024;

/// `LiveExchange` is the exchange of an attempt that was dispatched.
pub struct LiveExchange {
    /// The exchange.
    pub exchange: OutboundExchange,
    /// What is still to be sent of the body.
    pub upload: BodyUpload,
    /// Path to the host's daemon, if the attempt may be hedged when that path is cut.
    pub path: Option<Rc<PeerPath>>,
    /// Time after which the attempt is hedged, if the attempt may be hedged.
    pub hedging_delay: Option<Duration>,
    /// Whether a failure of the attempt counts as evidence against the upstream.
    pub is_evidence: bool,
    /// Counts the request as in flight at the upstream.
    pub sent_guard: SentGuard,
}

impl LiveExchange {
    /// Marks the exchange as finished: nothing more is sent to its host, not even a cancel.
    pub fn finish(&mut self) {
        self.exchange.finish();
        self.upload.end();
    }
}

/// `DispatchEnd` is the result of a dispatch.
pub enum DispatchEnd {
    /// The dispatch was sent.
    Sent(LiveExchange),
    /// The upstream's daemon can't be reached; nothing was sent.
    Unreachable,
    /// The caller disconnected before the dispatch was sent.
    CallerGone,
}

impl RequestAttempts<'_> {
    /// Counts a dispatch of the request. Each dispatch after the first counts as a retry.
    pub fn note_dispatch(&mut self) {
        self.dispatches += 1;
        metrics::DISPATCHES.add_one();
        if self.dispatches > 1 {
            metrics::RETRIES.add_one();
        }
    }

    /// Dispatches the request to the chosen upstream.
    pub async fn dispatch(
        &mut self,
        stream: &mut HttpStream,
        choice: UpstreamChoice,
        body: &BodyStart,
    ) -> DispatchEnd {
        self.note_dispatch();
        let service = &self.request.service;
        let path = service.path(choice.index).clone();
        let sent_guard = service.count_sent(choice.index);
        // Establishing a link takes time, so the head with the remaining time is built afterwards.
        let link = match waiting::unless_caller_gone(stream, self.link(&path)).await {
            // While the link was established, this daemon may have begun to give up requests
            // because it is shutting down. A daemon that gives up requests starts none.
            Some(Ok(Some(_))) if self.state.stop.giving_up.is_raised() => {
                return DispatchEnd::Unreachable;
            }
            Some(Ok(link)) => link,
            Some(Err(_)) => return self.note_unreachable(choice.index),
            None => return DispatchEnd::CallerGone,
        };
        let route = &self.request.route.name;
        let baseline = service.baseline(route, choice.index, self.state.now());
        let mut head = self.head(choice, &baseline);
        let withheld = self.withholds_body(choice.index, &head, body);
        if withheld || !self.request.has_whole_body() {
            head.fingerprint = Some(self.request.fingerprint(self.state).bytes().to_vec());
        }
        if !withheld {
            put_body(&mut head, body);
        }
        let is_evidence = !head.after_failure;
        let exchange = match link {
            None => host::dispatch_local(self.state, head),
            Some(link) => match link.dispatch(head) {
                Ok(exchange) => exchange,
                Err(_) => return self.note_unreachable(choice.index),
            },
        };
        let rounds_ahead = service.queued_rounds(choice.index, self.state.now());
        let hedging_delay = self.hedging_delay(&baseline, rounds_ahead, body);
        let upload = match withheld {
            true => BodyUpload::of_whole(body),
            false => BodyUpload::after_start(body),
        };
        let path = self.path_to_watch(path, body);
        DispatchEnd::Sent(LiveExchange {
            exchange,
            upload,
            path,
            hedging_delay,
            is_evidence,
            sent_guard,
        })
    }

    /// Returns the link to an upstream's daemon, and establishes the link if needed; `None` if the
    /// upstream is on this host.
    pub async fn link(&self, path: &Rc<PeerPath>) -> Result<Option<Rc<DialledLink>>, LinkError> {
        if path.is_self {
            return Ok(None);
        }
        path.note_used(self.state.now());
        links::link_to(self.state, path).await.map(Some)
    }

    /// Says whether the body is withheld until the request has started: traffic between failure
    /// domains is expensive, and a dispatch that may be refused would carry the body for nothing. A
    /// large body is withheld from any dispatch: it must not wait in the queue of the link, whose
    /// windows bound only bodies that the host has asked for.
    fn withholds_body(&self, index: usize, head: &DispatchHead, body: &BodyStart) -> bool {
        let is_local = self.request.service.with_view(|view| view.is_local(index));
        let may_be_refused = head.passable || head.refusable;
        let length = body.bytes().len();
        let is_large = length > WITHHELD_BYTES_MAX && head.once_key.is_none();
        !is_local && (is_large || may_be_refused && length > WITHHELD_BYTES_MIN)
    }

    /// Records that the daemon of an upstream can't be reached.
    pub fn note_unreachable(&mut self, index: usize) -> DispatchEnd {
        self.excluded.push(index);
        self.last_outcome = FailureOutcome::NotRun(NotRunReason::PeerUnreachable);
        DispatchEnd::Unreachable
    }

    /// Builds the head that dispatches the request to an upstream, without any of the body.
    pub fn head(&self, choice: UpstreamChoice, baseline: &ServiceBaseline) -> DispatchHead {
        let request = self.request;
        let entry = &request.service.entry;
        DispatchHead {
            service_name: entry.name.to_string(),
            upstream: entry.upstreams[choice.index].name.to_string(),
            route: request.route.name.to_string(),
            method: request.method.as_str().to_owned(),
            target: request.target.clone(),
            field_lines: request.field_lines.clone(),
            deadline_ms: self.time_left().as_millis().min(i32::MAX as u128) as i32,
            refusable: choice.refusable,
            work_class: wire::class_number(request.class()),
            work_mode: wire::mode_number(self.dispatch_mode()),
            attempt: self.request.trace.attempts.get() as i8,
            content_length: request.known_length(),
            body: Vec::new(),
            last: false,
            baseline: self.baseline_note(choice.index, baseline),
            once_key: request.once_key.clone(),
            organisation: request.caller.organisation.as_deref().map(str::to_owned),
            revision: self.state.config.revision().0 as i64,
            after_failure: self.exempts_failure(),
            passable: choice.ground != ChoiceGround::Waiting && self.is_passable(),
            objective_ms: self.objective_left().as_millis().min(i32::MAX as u128) as i32,
            logged: Some(self.request.trace.is_logged),
            repeated: self.server_attempts > 0,
            fingerprint: None,
            tally: self.request.tally(self.state).map(wire::tally_note),
            reserved: None,
            called: self.is_nested_call(),
            rate: request.service.with_view(|view| wire::rate_note(view.rate(choice.index))),
        }
    }

    /// Says whether the request is a nested call made by a request that runs on this host. Hosts
    /// give nested calls priority if requests wait for slots with reservations. If requests wait in
    /// queues at the hosts, the result is `None`, and the dispatch does not say whether the request
    /// is a nested call.
    fn is_nested_call(&self) -> Option<bool> {
        let uses_reservations = self.state.live().waiting == WaitingMode::Reservations;
        uses_reservations.then(|| self.state.host.calls.parent_of(&self.request.trace.id).is_some())
    }

    /// Builds the baseline of the service for the host's daemon. If requests wait for slots with
    /// reservations, the baseline includes the slow requests seen at the other upstreams. The slow
    /// requests bound the adaptive timeout at that host.
    fn baseline_note(&self, index: usize, baseline: &ServiceBaseline) -> Option<BaselineNote> {
        if self.state.live().waiting == WaitingMode::Reservations {
            let slow_requests =
                self.request.service.siblings_slow_requests(index, self.state.now());
            return Some(wire::baseline_note_with_slow(baseline, &slow_requests));
        }
        (baseline.upstreams > 0).then(|| wire::baseline_note(baseline))
    }

    /// Says whether the attempt that was just dispatched may be followed by a hedge.
    pub fn may_hedge(&self) -> bool {
        // The attempt that was just dispatched may also count as a server attempt.
        let attempts_max = self.request.route.rule.attempts as usize;
        let has_attempts_left = attempts_max == 0 || self.server_attempts + 1 < attempts_max;
        let is_allowed =
            self.is_repeatable() && self.dispatches < DISPATCHES_MAX && has_attempts_left;
        is_allowed && !self.state.is_stopping()
    }

    /// Returns the path of an attempt if the attempt may be hedged when the path is cut.
    pub fn path_to_watch(&self, path: Rc<PeerPath>, body: &BodyStart) -> Option<Rc<PeerPath>> {
        let is_watched = self.may_hedge() && body.is_whole() && !path.is_self;
        is_watched.then_some(path)
    }

    /// Returns the hedging delay of an attempt, if the attempt may be hedged: its hedge needs the
    /// whole body. `rounds_ahead` is the number of service rounds that the attempt waits in the
    /// queue of the upstream. That wait is not the upstream's fault, so the wait extends the delay.
    pub fn hedging_delay(
        &self,
        baseline: &ServiceBaseline,
        rounds_ahead: f64,
        body: &BodyStart,
    ) -> Option<Duration> {
        if !body.is_whole() || !self.may_hedge() {
            return None;
        }
        let time_left = Some(self.objective_left()).filter(|time_left| !time_left.is_zero());
        let usual = baseline.usual_time().or(time_left.map(UsualTime::of_objective))?;
        Some(hedge::due_after(&usual, time_left) + usual.at(0.0).mul_f64(rounds_ahead))
    }
}

/// Puts the start of the body into the head of its dispatch.
pub fn put_body(head: &mut DispatchHead, body: &BodyStart) {
    head.body = body.bytes().to_vec();
    head.last = body.is_whole();
}
