// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! One backend server of this host, as its daemon knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::clock::DaemonClock;
use basaltarch_base::metrics;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::{BackendServer, ServerState, ServiceSpec};
use basaltarch_core::services::{ServiceEntry, UpstreamEntry};
use basaltarch_decide::adaptive_timeout::AdaptiveTimeout;
use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::evidence::RequestEvidence;
use basaltarch_decide::health::{
    AdmitVerdict, DispatchTerms, HealthChange, UpstreamHealth, WatchEnd,
};
use basaltarch_events::servers;
use basaltarch_peer::protocol::LoadReport;
use basaltarch_waiting::slots::SlotQueue;

use crate::host::backend::BackendPool;
use crate::state::DaemonState;
use crate::wire::{self, HostLoad};

/// Time for which a backend server's word that it is leaving counts without being renewed.
const DRAIN_WORD_LIFE: Duration = Duration::from_secs(30);

/// `HostUpstream` is one backend server of this host.
pub struct HostUpstream {
    /// Name of the backend server.
    pub name: Rc<str>,
    /// Service that it is an upstream of.
    pub service: Rc<str>,
    /// Its resource.
    pub server: RefCell<Rc<BackendServer>>,
    /// Its slots.
    pub slots: Rc<SlotQueue>,
    /// Its health.
    pub health: RefCell<UpstreamHealth>,
    /// Connections to it.
    pub pool: BackendPool,
    /// How long work may take at it.
    pub adaptive_timeout: RefCell<AdaptiveTimeout>,
    draining_until: Cell<Duration>,
    was_down: Cell<bool>,
    answered_at: Cell<Duration>,
}

impl HostUpstream {
    /// Builds a backend server; a `cold` one gets work slowly at first.
    pub fn new(
        upstream: &UpstreamEntry,
        service: &ServiceEntry,
        clock: DaemonClock,
        cold: bool,
    ) -> Self {
        let now = clock.now();
        let server = &upstream.server;
        Self {
            name: upstream.name.clone(),
            service: service.name.clone(),
            server: RefCell::new(server.clone()),
            slots: Rc::new(SlotQueue::new(server.slots, service.spec.queue, clock)),
            health: RefCell::new(UpstreamHealth::new(service.spec.prefer, now, cold)),
            pool: BackendPool::new(server.address, server.connections as usize),
            adaptive_timeout: RefCell::default(),
            draining_until: Cell::new(Duration::ZERO),
            was_down: Cell::new(false),
            answered_at: Cell::new(Duration::ZERO),
        }
    }

    /// Takes a changed resource over.
    pub fn configure(&self, server: &Rc<BackendServer>, spec: &ServiceSpec) {
        self.slots.configure(server.slots, spec.queue);
        self.health.borrow_mut().set_prefer(spec.prefer);
        self.pool.configure(server.address, server.connections as usize);
        *self.server.borrow_mut() = server.clone();
        if server.state == ServerState::Draining {
            self.slots.refuse_all(NotRunReason::Draining);
        }
    }

    /// Lets go of the backend server: who waits for it goes elsewhere.
    pub fn release(&self) {
        self.slots.refuse_all(NotRunReason::Draining);
    }

    /// Takes in whether the backend server says that it is leaving.
    pub fn note_drain_word(&self, draining: bool, now: Duration) {
        let until = if draining { now + DRAIN_WORD_LIFE } else { Duration::ZERO };
        self.draining_until.set(until);
    }

    /// Says whether the backend server could not be connected to when that was tried last. Its slots get free at once, so
    /// that it would call in all work that waits, one piece after the other.
    pub fn is_down(&self) -> bool {
        self.was_down.get()
    }

    /// Takes in whether the backend server could be connected to; one that could not and can again
    /// was started anew.
    pub fn note_connected(&self, connected: bool, now: Duration) {
        if !connected {
            self.slots.refuse_reservations(NotRunReason::Sick);
        }
        if self.was_down.replace(!connected) && connected {
            servers::ServerRestarted { upstream: &self.name }.log();
            self.health.borrow_mut().note_restart(now);
        }
    }

    /// Takes in that the backend server crashed; says whether that is new.
    pub fn note_crashed(&self) -> bool {
        self.slots.refuse_reservations(NotRunReason::Sick);
        !self.was_down.replace(true)
    }

    /// Says whether the backend server takes no new work, by its resource or its own word.
    pub fn is_draining(&self, now: Duration) -> bool {
        self.server.borrow().state == ServerState::Draining || self.draining_until.get() > now
    }

    /// Returns the time since the backend server last answered well.
    pub fn trusted_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.answered_at.get())
    }

    /// Says whether the backend server takes a dispatch.
    pub fn admit(&self, terms: &DispatchTerms<'_>, now: Duration) -> AdmitVerdict {
        let (verdict, change) = self.health.borrow_mut().admit(terms, now);
        self.tell(change);
        verdict
    }

    /// Takes the end of a request in.
    pub fn note(&self, route: &str, work: &WorkNote, now: Duration) {
        let mut health = self.health.borrow_mut();
        let change = if work.is_trial {
            health.note_trial(route, work.evidence, now)
        } else {
            health.note(route, work.evidence, work.was_overdue, now)
        };
        if matches!(work.evidence, RequestEvidence::Answered(_)) {
            self.answered_at.set(now);
            self.slots.note_end();
        }
        let breaker = match (work.failure, work.evidence) {
            (None, RequestEvidence::Neutral) => None,
            (failure, _) => health.note_end(failure, work.started, now),
        };
        drop(health);
        self.tell(change);
        self.tell(breaker);
    }

    /// Takes in that a running request is overdue.
    pub fn note_overdue(&self, route: &str, now: Duration) {
        let change = self.health.borrow_mut().note_overdue(route, now);
        self.tell(change);
    }

    /// Takes in that the host slept: running work is no sign of a hang, connections kept at rest may be long
    /// closed, and who waits too long for a slot hears so now.
    pub fn note_slept(&self) {
        self.health.borrow_mut().forget_running();
        self.pool.clear();
        self.slots.refuse_expired();
    }

    /// Looks at the running work, whether it lasts too long.
    pub fn check_running(&self, now: Duration) {
        let change = self.health.borrow_mut().check_running(now);
        self.tell(change);
    }

    /// Takes in that watched work ended.
    pub fn end_request(&self, number: u64, end: WatchEnd, now: Duration) {
        let change = self.health.borrow_mut().end_request(number, end, now);
        self.tell(change);
    }

    fn tell(&self, change: Option<HealthChange>) {
        let (upstream, service) = (&*self.name, &*self.service);
        match change {
            None => {}
            Some(HealthChange::Ejected { reason, sickness, after }) => {
                metrics::EJECTIONS[reason as usize].add_one();
                self.slots.refuse_refusable();
                metrics::DETECTION.record(after);
                let (evidence, after_ms) = (reason.name(), after.as_millis() as u64);
                servers::UpstreamEjected { upstream, service, evidence, sickness, after_ms }.log();
            }
            Some(HealthChange::Doubted) => {
                metrics::DOUBTS.add_one();
                self.slots.refuse_passable();
                servers::UpstreamDoubted { upstream, service }.log();
            }
            Some(HealthChange::Trusted { after }) => {
                let after_ms = after.as_millis() as u64;
                servers::UpstreamTrusted { upstream, service, after_ms }.log();
            }
            Some(HealthChange::Returned { out }) => {
                metrics::RETURNS.add_one();
                let out_ms = out.as_millis() as u64;
                servers::UpstreamReturned { upstream, service, out_ms }.log();
            }
        }
    }

    /// Returns the report for a dispatch of `route`, with the time that its answer took.
    pub fn report(&self, state: &DaemonState, route: &str, took: Option<Duration>) -> LoadReport {
        let now = state.now();
        let load = HostLoad {
            in_flight: self.slots.used(),
            queued: self.slots.queued(),
            draining: self.is_draining(now) || state.stop.is_handing_over(),
            revision: state.config.revision().0,
            took,
            slow_requests: self.adaptive_timeout.borrow().slow_requests(now),
        };
        wire::report_note(load, &self.health.borrow().report(route, now))
    }
}

/// `WorkNote` is what one request said about its upstream.
#[derive(Debug, Clone, Copy)]
pub struct WorkNote {
    /// The evidence.
    pub evidence: RequestEvidence,
    /// Whether the request was noted as overdue while it ran.
    pub was_overdue: bool,
    /// Whether the request was a trial.
    pub is_trial: bool,
    /// When the work came to the host.
    pub started: Duration,
    /// How the request failed, if the backend server failed it.
    pub failure: Option<FailureKind>,
}
