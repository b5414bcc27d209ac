// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Sends one attempt at a request to the daemon beside the chosen upstream.

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
use bytes::Bytes;

use crate::host;
use crate::ingress::attempt::RequestAttempts;
use crate::ingress::waiting;
use crate::links;
use crate::services::SentGuard;
use crate::wire;

/// Dispatches of one request at the most: the first and two more.
pub const DISPATCHES_MAX: usize = 3;
/// Bytes of a body from which it is worth a way there and back to send it only when it is wanted.
const WITHHELD_BYTES_MIN: usize = 256;

/// `LiveExchange` is an exchange whose answer is being passed on.
pub struct LiveExchange {
    /// The exchange.
    pub exchange: OutboundExchange,
    /// Start of the body, if it goes out only once the host's daemon has started the work.
    pub withheld: Option<Bytes>,
    /// Path to another daemon that it runs over, if it may be given up when that is cut.
    pub path: Option<Rc<PeerPath>>,
    /// How long it is waited for before another attempt is made.
    pub hedge: Option<Duration>,
    /// Whether a failure counts as evidence against the upstream.
    pub counts: bool,
    /// Counts the request at the upstream.
    pub sent: SentGuard,
}

/// `DispatchEnd` is what became of a dispatch.
pub enum DispatchEnd {
    /// It was sent.
    Sent(LiveExchange),
    /// The upstream's daemon can't be reached; nothing was sent.
    Unreachable,
    /// The caller went away before it was sent.
    CallerGone,
}

impl RequestAttempts<'_> {
    /// Counts a dispatch.
    pub fn note_dispatch(&mut self) {
        self.dispatches += 1;
        metrics::DISPATCHES.add_one();
        if self.dispatches > 1 {
            metrics::RETRIES.add_one();
        }
    }

    /// Dispatches to the chosen upstream.
    pub async fn dispatch(
        &mut self,
        stream: &mut HttpStream,
        choice: UpstreamChoice,
        body_is_done: bool,
    ) -> DispatchEnd {
        self.note_dispatch();
        let service = &self.request.service;
        let path = service.path(choice.index).clone();
        let sent = service.count_sent(choice.index);
        // Making a link takes time off the deadline, so the head is written after it.
        let link = match waiting::unless_gone(stream, self.link(&path)).await {
            // While it was made the daemon may have given up: nothing is begun any more then.
            Some(Ok(Some(_))) if self.state.stop.giving_up.is_raised() => {
                return DispatchEnd::Unreachable;
            }
            Some(Ok(link)) => link,
            Some(Err(_)) => return self.note_unreachable(choice.index),
            None => return DispatchEnd::CallerGone,
        };
        let route = &self.request.route.name;
        let baseline = service.baseline(route, choice.index, self.state.now());
        let mut head = self.head(choice, body_is_done, &baseline);
        let withheld = self.withholds_body(choice.index, &head);
        if withheld || !self.request.has_whole_body() {
            head.fingerprint = Some(self.request.fingerprint(self.state).bytes().to_vec());
        }
        if withheld {
            head.body = Vec::new();
            head.last = false;
        }
        let counts = !head.after_failure;
        let exchange = match link {
            None => host::dispatch_local(self.state, head),
            Some(link) => match link.dispatch(head) {
                Ok(exchange) => exchange,
                Err(_) => return self.note_unreachable(choice.index),
            },
        };
        let queued = service.queued_rounds(choice.index, self.state.now());
        let hedge = self.hedge(&baseline, queued);
        let withheld = withheld.then(|| self.request.prefix.clone());
        let path = self.path_to_leave(path, body_is_done);
        DispatchEnd::Sent(LiveExchange { exchange, withheld, path, hedge, counts, sent })
    }

    /// Returns the link to an upstream's daemon, making it if need be; none is needed to this one.
    pub async fn link(&self, path: &Rc<PeerPath>) -> Result<Option<Rc<DialledLink>>, LinkError> {
        if path.is_self {
            return Ok(None);
        }
        path.note_used(self.state.now());
        links::link_to(self.state, path).await.map(Some)
    }

    /// Says whether the body waits until the work has started: bytes between failure domains are dear,
    /// and a dispatch that may be refused would carry them for nothing.
    pub fn withholds_body(&self, index: usize, head: &DispatchHead) -> bool {
        let is_local = self.request.service.with_view(|view| view.is_local(index));
        let may_be_refused = head.passable || head.refusable;
        !is_local && may_be_refused && head.body.len() > WITHHELD_BYTES_MIN
    }

    /// Takes in that the daemon beside an upstream can't be reached.
    pub fn note_unreachable(&mut self, index: usize) -> DispatchEnd {
        self.excluded.push(index);
        self.last = FailureOutcome::NotRun(NotRunReason::PeerUnreachable);
        DispatchEnd::Unreachable
    }

    /// Builds the head by which the request goes to an upstream.
    pub fn head(
        &self,
        choice: UpstreamChoice,
        body_is_done: bool,
        baseline: &ServiceBaseline,
    ) -> DispatchHead {
        let request = self.request;
        let entry = &request.service.entry;
        DispatchHead {
            service_name: entry.name.to_string(),
            upstream: entry.upstreams[choice.index].name.to_string(),
            route: request.route.name.to_string(),
            method: request.method.as_str().to_owned(),
            target: request.target.clone(),
            field_lines: request.field_lines.clone(),
            deadline_ms: self.left().as_millis().min(i32::MAX as u128) as i32,
            refusable: choice.refusable,
            work_class: wire::class_number(request.class()),
            work_mode: wire::mode_number(self.dispatch_mode()),
            attempt: self.request.trail.attempts.get() as i8,
            content_length: request.framing.wire_length(),
            body: request.prefix.to_vec(),
            last: body_is_done,
            baseline: self.baseline_note(choice.index, baseline),
            once_key: request.once_key.clone(),
            organisation: request.caller.organisation.as_deref().map(str::to_owned),
            revision: self.state.config.revision().0 as i64,
            after_failure: self.spares_failure(),
            passable: choice.ground != ChoiceGround::Waiting && self.is_passable(),
            objective_ms: self.objective_left().as_millis().min(i32::MAX as u128) as i32,
            logged: Some(self.request.trail.is_logged),
            repeated: self.arrivals > 0,
            fingerprint: None,
            tally: self.request.tally(self.state).map(wire::tally_note),
            reserved: None,
            called: self.is_call(),
        }
    }

    /// Says whether the request is a call of work that runs here, for hosts that let such calls go first.
    fn is_call(&self) -> Option<bool> {
        let is_told = self.state.live().waiting == WaitingMode::Places;
        is_told.then(|| self.state.host.calls.caller_of(&self.request.trail.id).is_some())
    }

    /// Writes what is known of the service for the host's daemon. What its upstreams saw of long work bounds the time
    /// of work there, so that it is told only where work waits for the slots that get free.
    fn baseline_note(&self, index: usize, baseline: &ServiceBaseline) -> Option<BaselineNote> {
        if self.state.live().waiting == WaitingMode::Places {
            let slow_requests = self.request.service.siblings_work(index, self.state.now());
            return Some(wire::baseline_with(baseline, &slow_requests));
        }
        (baseline.upstreams > 0).then(|| wire::baseline_note(baseline))
    }

    /// Says whether another attempt may follow the one that was just dispatched.
    pub fn may_follow(&self) -> bool {
        // That attempt will be an arrival itself.
        let most = self.request.route.rule.attempts as usize;
        let arrivals_left = most == 0 || self.arrivals + 1 < most;
        let may = self.is_repeatable() && self.dispatches < DISPATCHES_MAX && arrivals_left;
        may && !self.state.is_stopping()
    }

    /// Returns the path of an attempt if it is given up when the path is cut.
    pub fn path_to_leave(&self, path: Rc<PeerPath>, body_is_done: bool) -> Option<Rc<PeerPath>> {
        let may_leave = self.may_follow() && body_is_done && !path.is_self;
        may_leave.then_some(path)
    }

    /// Returns how long an attempt is waited for before another is made, if another may be.
    /// Rounds of work that are `queued` before it are not the upstream's fault.
    pub fn hedge(&self, baseline: &ServiceBaseline, queued: f64) -> Option<Duration> {
        if !self.may_follow() {
            return None;
        }
        let left = Some(self.objective_left()).filter(|left| !left.is_zero());
        let usual = baseline.usual_time().or(left.map(UsualTime::of_objective))?;
        Some(hedge::due_after(&usual, left) + usual.at(0.0).mul_f64(queued))
    }
}
