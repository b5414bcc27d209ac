// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Keeps the state of one backend server of this host: its slots, health and connections.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_base::metrics;
use basaltarch_core::incarnation;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::{BackendServer, ServerState, ServiceSpec};
use basaltarch_core::services::{ServiceEntry, UpstreamEntry};
use basaltarch_decide::adaptive_timeout::AdaptiveTimeout;
use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::cold_start::ColdStart;
use basaltarch_decide::evidence::RequestEvidence;
use basaltarch_decide::health::{
    AdmitVerdict, DispatchTerms, HealthChange, UpstreamHealth, WatchEnd,
};
use basaltarch_decide::pace::SlotDemand;
use basaltarch_decide::server_rate::{RateResponse, RateStatement};
use basaltarch_events::servers;
use basaltarch_http::errors::HttpError;
use basaltarch_peer::protocol::LoadReport;
use basaltarch_waiting::slots::SlotQueue;

use crate::host::backend::{BackendPool, PooledStream};
use crate::host::pace::HeldUpCount;
use crate::state::DaemonState;
use crate::wire::{self, HostLoad};

/// Time after which a backend server's drain notice expires, unless another notice renews it.
const DRAIN_NOTICE_TTL: Duration = Duration::from_secs(30);
/// Origin of a rate limit in logs: a response of the backend server.
const RATE_TOLD_BY_SERVER: &str = "server";
/// Origin of a rate limit in logs: an ingress that had passed on a response with the limit.
const RATE_TOLD_BY_INGRESS: &str = "ingress";

/// `HostUpstream` is the state of one backend server of this host.
pub struct HostUpstream {
    /// Name of the backend server.
    pub name: Rc<str>,
    /// Service of which the backend server is an upstream.
    pub service: Rc<str>,
    /// Resource of the backend server.
    pub server: RefCell<Rc<BackendServer>>,
    /// Slots of the backend server.
    pub slots: Rc<SlotQueue>,
    /// Health of the backend server.
    pub health: RefCell<UpstreamHealth>,
    /// Connections to the backend server.
    pub pool: BackendPool,
    /// Adaptive timeout of the backend server's requests.
    pub adaptive_timeout: RefCell<AdaptiveTimeout>,
    /// Requests in slots that wait for their callers.
    pub held_up: HeldUpCount,
    draining_until: Cell<Duration>,
    cold_start: RefCell<ColdStart>,
    /// Whether the failure domain of the backend server is evacuated.
    evacuated: Cell<bool>,
    /// Whether the backend server is no longer served.
    released: Cell<bool>,
    unreachable: Cell<bool>,
    last_success_at: Cell<Duration>,
    /// Rate limit in the last response, if that can't be read.
    unreadable_rate: RefCell<Option<String>>,
}

impl HostUpstream {
    /// Builds the state of a backend server. The share of requests that a `cold` server gets ramps
    /// up slowly.
    pub fn new(
        upstream: &UpstreamEntry,
        service: &ServiceEntry,
        clock: DaemonClock,
        cold: bool,
    ) -> Self {
        let now = clock.now();
        let server = &upstream.server;
        let mut cold_start = ColdStart::default();
        cold_start.set_rate(service.spec.cold_rate);
        Self {
            name: upstream.name.clone(),
            service: service.name.clone(),
            server: RefCell::new(server.clone()),
            slots: Rc::new(SlotQueue::new(server.slots, service.spec.queue, clock)),
            health: RefCell::new(UpstreamHealth::new(service.spec.prefer, now, cold)),
            pool: BackendPool::new(server.address, server.connections as usize),
            adaptive_timeout: RefCell::default(),
            held_up: HeldUpCount::default(),
            draining_until: Cell::new(Duration::ZERO),
            cold_start: RefCell::new(cold_start),
            evacuated: Cell::new(false),
            released: Cell::new(false),
            unreachable: Cell::new(false),
            last_success_at: Cell::new(Duration::ZERO),
            unreadable_rate: RefCell::default(),
        }
    }

    /// Says how much the slots are needed.
    pub fn slot_demand(&self) -> SlotDemand {
        SlotDemand {
            is_wanted: self.slots.is_wanted(),
            slots: self.slots.slots(),
            held_up: self.held_up.get(),
        }
    }

    /// Returns the name by which the backend server calls itself, which all its incarnations share.
    pub fn server_name(&self) -> &str {
        incarnation::server_of(&self.name)
    }

    /// Applies a change of the backend server's resource or of its service's settings.
    pub fn configure(&self, server: &Rc<BackendServer>, spec: &ServiceSpec) {
        self.slots.configure(server.slots, spec.queue);
        self.health.borrow_mut().set_prefer(spec.prefer);
        self.cold_start.borrow_mut().set_rate(spec.cold_rate);
        self.pool.configure(server.address, server.connections as usize);
        *self.server.borrow_mut() = server.clone();
        if server.state == ServerState::Draining {
            self.slots.refuse_all(NotRunReason::Draining);
        }
    }

    /// Stops serving the backend server for good. Requests that wait for a slot of this server are
    /// refused, so that the requests can be sent to other upstreams.
    pub fn release(&self) {
        self.released.set(true);
        self.slots.refuse_all(NotRunReason::Draining);
    }

    /// Records whether a response of the backend server carried a drain notice.
    pub fn note_drain_notice(&self, draining: bool, now: Duration) {
        let until = if draining { now + DRAIN_NOTICE_TTL } else { Duration::ZERO };
        self.draining_until.set(until);
    }

    /// Records what the response to a request that was sent at `sent_at` says about the server's
    /// rate limit; the error is the text of a limit that can't be read.
    pub fn note_rate(&self, statement: Result<RateStatement, String>, sent_at: Duration) {
        let text = statement.as_ref().err().cloned();
        if let Some(text) = text.as_deref().filter(|_| *self.unreadable_rate.borrow() != text) {
            servers::RateUnreadable { upstream: &self.name, text }.log();
        }
        *self.unreadable_rate.borrow_mut() = text;
        let statement = statement.unwrap_or(RateStatement::Silent);
        if self.slots.note_rate(&RateResponse { statement, sent_at }) {
            self.log_rate(RATE_TOLD_BY_SERVER);
        }
    }

    /// Records the rate limit that an ingress has heard of. After a restart of this daemon, the
    /// server may have named the limit before.
    pub fn note_reported_rate(&self, per_second: f64) {
        if self.slots.note_reported_rate(per_second) {
            self.log_rate(RATE_TOLD_BY_INGRESS);
        }
    }

    fn log_rate(&self, told_by: &str) {
        let (upstream, service) = (&*self.name, &*self.service);
        match self.slots.rate().per_second() {
            Some(per_second) => {
                servers::RateLimited { upstream, service, per_second, told_by }.log();
            }
            None => servers::RateUnlimited { upstream, service }.log(),
        }
    }

    /// Takes a connection for the request of this id. While the backend server is ejected or its
    /// circuit breaker is open, the connection is a new one: an idle connection may have fallen
    /// silent, and a trial along it would say nothing about the server.
    pub async fn take_connection(&self, id: Option<&[u8]>) -> Result<PooledStream<'_>, HttpError> {
        let is_doubted = self.health.borrow().is_ejected_or_breaker_open();
        if is_doubted {
            return self.pool.connect().await;
        }
        self.pool.take(id).await
    }

    /// Says whether the last attempt to connect to the backend server failed, or the server has
    /// crashed since. An unreachable server gets no reservations: each slot would become free again
    /// at once, so that its slots would be offered to all waiting requests, one after the other.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable.get()
    }

    /// Records whether a connection to the backend server could be opened. A server that becomes
    /// reachable again was restarted.
    pub fn note_connected(&self, connected: bool, now: Duration) {
        if !connected {
            self.slots.refuse_reservations(NotRunReason::Unhealthy);
        }
        if self.unreachable.replace(!connected) && connected {
            servers::ServerRestarted { upstream: &self.name }.log();
            self.health.borrow_mut().note_restart(now);
        }
    }

    /// Records that the backend server crashed. Returns `false` if the server was already known to
    /// be unreachable.
    pub fn note_crashed(&self) -> bool {
        self.slots.refuse_reservations(NotRunReason::Unhealthy);
        !self.unreachable.replace(true)
    }

    /// Says whether the backend server is draining, by the state in its resource or a drain notice.
    pub fn is_draining(&self, now: Duration) -> bool {
        self.server.borrow().state == ServerState::Draining || self.draining_until.get() > now
    }

    /// Records for how long the backend server says that it stays cold. The load of a server that
    /// has become cold rises slowly.
    pub fn note_cold(&self, cold_for: Duration, now: Duration) {
        if self.cold_start.borrow_mut().note(cold_for, now) {
            self.health.borrow_mut().note_restart(now);
        }
    }

    /// Reserves the turn of a request at the backend server, and returns how long the request waits
    /// for its turn. Only a cold server makes requests wait.
    pub fn reserve_turn(&self, now: Duration) -> Duration {
        self.cold_start.borrow_mut().reserve(now)
    }

    /// Records whether the failure domain of the backend server is evacuated. Requests that wait
    /// for a slot at the start of an evacuation are refused, so that they can be sent to other
    /// upstreams.
    pub fn note_evacuated(&self, evacuated: bool) {
        if !self.evacuated.replace(evacuated) && evacuated {
            self.slots.refuse_all(NotRunReason::Draining);
        }
    }

    /// Says whether the backend server takes no new requests, because it is draining or gone, or its
    /// failure domain is evacuated.
    pub fn takes_no_requests(&self, now: Duration) -> bool {
        self.released.get() || self.evacuated.get() || self.is_draining(now)
    }

    /// Returns the time since the last successful response of the backend server.
    pub fn since_last_success(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_success_at.get())
    }

    /// Says whether the backend server admits a dispatch.
    pub fn admit(&self, terms: &DispatchTerms<'_>, now: Duration) -> AdmitVerdict {
        let (verdict, change) = self.health.borrow_mut().admit(terms, now);
        self.log_change(change);
        verdict
    }

    /// Records how an attempt ended.
    pub fn record_result(&self, route: &str, result: &AttemptResult, now: Duration) {
        let mut health = self.health.borrow_mut();
        let change = match result.trial_admitted_at {
            Some(admitted_at) => health.note_trial(route, result.evidence, admitted_at, now),
            None => health.note_evidence(route, result.evidence, result.was_overdue, now),
        };
        if matches!(result.evidence, RequestEvidence::Answered(_) | RequestEvidence::Untimed) {
            self.last_success_at.set(now);
            self.slots.note_end();
        }
        let breaker_change = match (result.failure, result.evidence) {
            (None, RequestEvidence::Neutral) => None,
            (failure, _) => health.note_end(failure, result.started, now),
        };
        drop(health);
        self.log_change(change);
        self.log_change(breaker_change);
    }

    /// Records that a running request is overdue, before the request has ended.
    pub fn note_overdue(&self, route: &str, now: Duration) {
        let change = self.health.borrow_mut().note_overdue(route, now);
        self.log_change(change);
    }

    /// Handles the resume of the host from a suspend. After a suspend, the age of running requests
    /// is no evidence of a hang. The server may have closed idle connections during the suspend.
    /// Waiting requests that can no longer meet their deadline are refused.
    pub fn note_resumed(&self) {
        self.health.borrow_mut().forget_running();
        self.pool.close_idle();
        self.slots.refuse_expired();
    }

    /// Checks whether the running requests take so long that the upstream seems to hang.
    pub fn detect_hang(&self, now: Duration) {
        let change = self.health.borrow_mut().check_running(now);
        self.log_change(change);
    }

    /// Records that a watched request ended.
    pub fn end_request(&self, number: u64, end: WatchEnd, now: Duration) {
        let change = self.health.borrow_mut().end_request(number, end, now);
        self.log_change(change);
    }

    fn log_change(&self, change: Option<HealthChange>) {
        let (upstream, service) = (&*self.name, &*self.service);
        match change {
            None => {}
            Some(HealthChange::Ejected { reason, sickness, after }) => {
                metrics::EJECTIONS[reason as usize].add_one();
                self.slots.refuse_refusable();
                self.pool.close_idle();
                metrics::DETECTION.record(after);
                let (evidence, after_ms) = (reason.name(), after.as_millis() as u64);
                servers::UpstreamEjected { upstream, service, evidence, sickness, after_ms }.log();
            }
            Some(HealthChange::BreakerOpened { cause }) => {
                metrics::BREAKER_OPENINGS.add_one();
                self.slots.refuse_passable();
                self.pool.close_idle();
                let cause = cause.name();
                servers::UpstreamBreakerOpened { upstream, service, cause }.log();
            }
            Some(HealthChange::BreakerClosed { after }) => {
                let after_ms = after.as_millis() as u64;
                servers::UpstreamBreakerClosed { upstream, service, after_ms }.log();
            }
            Some(HealthChange::Returned { out }) => {
                metrics::RETURNS.add_one();
                let out_ms = out.as_millis() as u64;
                servers::UpstreamReturned { upstream, service, out_ms }.log();
            }
        }
    }

    /// Returns the load report for a dispatch on `route`; `took` is the time until its response, if
    /// the dispatch has got a response.
    pub fn report(&self, state: &DaemonState, route: &str, took: Option<Duration>) -> LoadReport {
        let now = state.now();
        // An evacuation is not reported: an ingress regards a reported drain as in force for a
        // while, and would send no requests for this long after the evacuation has ended.
        let load = HostLoad {
            in_flight: self.slots.used(),
            queued: self.slots.queued(),
            draining: self.is_draining(now),
            handing_over: state.stop.is_handing_over(),
            revision: state.config.revision().0,
            took,
            slow_requests: self.adaptive_timeout.borrow().slow_requests(now),
            rate: self.slots.rate_report(),
            leaving: state.notices.is_leaving(&self.name),
        };
        wire::report_note(load, &self.health.borrow().report(route, now))
    }
}

/// `AttemptResult` is the result of one attempt, as evidence about its upstream.
#[derive(Debug, Clone, Copy)]
pub struct AttemptResult {
    /// Evidence that the attempt gives about its upstream.
    pub evidence: RequestEvidence,
    /// Whether the request was recorded as overdue while the server processed the request.
    pub was_overdue: bool,
    /// When the request was admitted as a trial, if it is one.
    pub trial_admitted_at: Option<Duration>,
    /// Time at which the request arrived at the host, since the daemon's start.
    pub started: Duration,
    /// How the backend server failed the request; `None` if the server did not fail the request.
    pub failure: Option<FailureKind>,
}
