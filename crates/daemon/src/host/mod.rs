// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The host role: a daemon is the only process that sends requests to the backend servers of its
//! host.
//!
//! Slots are counted by this role and nowhere else. A refusal by this role proves that the request
//! did not run, since no other part of the daemon could have started the request.

pub mod backend;
pub mod calls;
pub mod exchange;
pub mod fault;
pub mod notices;
pub mod overdue;
pub mod pace;
pub mod progress;
pub mod relay;
pub mod reservations;
pub mod sending;
pub mod trace;
pub mod upstream;
pub mod verify;
pub mod watch;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use basaltarch_base::configuration::TouchedServices;
use basaltarch_core::config::ActiveConfig;
use basaltarch_core::services::{ServiceEntry, UpstreamEntry};
use basaltarch_events::servers;
use basaltarch_options::ConfigSource;
use basaltarch_peer::link::{AcceptedLink, InboundExchange, OutboundExchange};
use basaltarch_peer::protocol::DispatchHead;
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};
use fnv::FnvHashMap;

use crate::host::calls::CallTable;
use crate::host::upstream::HostUpstream;
use crate::state::DaemonState;

/// `HostRole` holds the backend servers of this host.
#[derive(Default)]
pub struct HostRole {
    upstreams: RefCell<FnvHashMap<Rc<str>, Rc<HostUpstream>>>,
    was_configured: Cell<bool>,
    /// Requests that run on this host, to which nested calls are attributed.
    pub calls: CallTable,
}

impl HostRole {
    /// Returns the backend server of this name if the server runs on this host.
    pub fn get(&self, name: &str) -> Option<Rc<HostUpstream>> {
        self.upstreams.borrow().get(name).cloned()
    }

    /// Returns the backend server of this name or, if the server is gone, the only server of the
    /// same service on this host. When many hosts restart at once, the names of their servers change
    /// sooner than the rows of all of them can be written, so ingresses still send requests under
    /// the earlier names.
    pub fn get_or_successor(&self, name: &str, service: &str) -> Option<Rc<HostUpstream>> {
        let upstreams = self.upstreams.borrow();
        if let Some(upstream) = upstreams.get(name) {
            return Some(upstream.clone());
        }
        let mut successors = upstreams.values().filter(|upstream| &*upstream.service == service);
        let successor = successors.next().cloned();
        successor.filter(|_| successors.next().is_none())
    }

    /// Returns all backend servers of this host in the order of their names.
    pub fn all(&self) -> Vec<Rc<HostUpstream>> {
        let mut all: Vec<_> = self.upstreams.borrow().values().cloned().collect();
        all.sort_by(|left, right| left.name.cmp(&right.name));
        all
    }

    /// Applies a configuration to the backend servers. Servers that remain on this host keep their
    /// health state.
    pub fn configure(&self, state: &DaemonState, active: &ActiveConfig, touched: &TouchedServices) {
        // No server counts as cold at the first configuration, because the daemon was restarted
        // while the servers kept running.
        let cold = self.was_configured.replace(true);
        match touched {
            TouchedServices::Some(names) => {
                for name in names {
                    self.configure_service(state, name, active.service(name).as_ref(), cold);
                }
            }
            TouchedServices::All => {
                self.upstreams.borrow_mut().retain(|_, upstream| {
                    let is_retained = active.services.contains_key(&upstream.service);
                    if !is_retained {
                        upstream.release();
                    }
                    is_retained
                });
                for (name, packed) in &active.services {
                    self.configure_service(state, name, Some(&packed.unpack(name)), cold);
                }
            }
        }
        for upstream in self.upstreams.borrow().values() {
            let is_evacuated = active.evacuated.contains(&*upstream.server.borrow().failure_domain);
            upstream.note_evacuated(is_evacuated);
        }
    }

    fn configure_service(
        &self,
        state: &DaemonState,
        name: &Rc<str>,
        service: Option<&ServiceEntry>,
        cold: bool,
    ) {
        let is_local = |upstream: &&UpstreamEntry| upstream.server.host == state.options.host;
        let local_upstreams: Vec<&UpstreamEntry> =
            service.iter().flat_map(|service| &service.upstreams).filter(is_local).collect();
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.retain(|known, upstream| {
            let is_retained =
                upstream.service != *name || local_upstreams.iter().any(|each| each.name == *known);
            if !is_retained {
                upstream.release();
            }
            is_retained
        });
        for (service, upstream) in
            service.into_iter().flat_map(|s| local_upstreams.iter().map(move |u| (s, u)))
        {
            match upstreams.get(&upstream.name) {
                Some(known) if known.service == *name => {
                    known.configure(&upstream.server, &service.spec);
                }
                _ => {
                    let cold_for = state.registrations.cold_for(&upstream.name, state.now());
                    let cold = match state.options.source {
                        ConfigSource::Resources => cold,
                        ConfigSource::Document => !cold_for.is_zero(),
                    };
                    let new_upstream =
                        HostUpstream::new(upstream, service, state.clock.clone(), cold);
                    new_upstream.note_cold(cold_for, state.now());
                    if let Some(rate) = state.notices.rate(&upstream.name) {
                        new_upstream.note_reported_rate(rate);
                    }
                    upstreams.insert(upstream.name.clone(), Rc::new(new_upstream));
                }
            }
        }
    }

    /// Withdraws a failure that was recorded for an upstream, after the same request also failed at
    /// another upstream.
    pub fn withdraw_failure(&self, upstream: &str, route: &str) {
        if let Some(upstream) = self.get(upstream) {
            upstream.health.borrow_mut().withdraw_failure(route);
            servers::FailureWithdrawn { upstream: &upstream.name, route }.log();
        }
    }
}

/// Serves an exchange that arrived over a peer link.
pub async fn serve_remote(
    state: Rc<DaemonState>,
    link: Rc<AcceptedLink>,
    inbound: InboundExchange,
) {
    let exchange = inbound.exchange;
    let serving = exchange::serve(&state, inbound.head, &inbound.body, &inbound.answer);
    basaltarch_http::connection::catch_panics("exchange", serving).await;
    link.forget(exchange);
}

/// Starts an exchange between the ingress of this daemon and a backend server of this host.
/// Exchanges over peer links are served by the same code.
pub fn dispatch_local(state: &Rc<DaemonState>, head: DispatchHead) -> OutboundExchange {
    let body = Rc::new(EventPipe::default());
    body.shut_window();
    let answer = Rc::new(EventPipe::default());
    let task_state = state.clone();
    let task_body = body.clone();
    let sink = EventSink::Local(answer.clone());
    monoio::spawn(async move {
        let serving = exchange::serve(&task_state, head, &task_body, &sink);
        basaltarch_http::connection::catch_panics("exchange", serving).await;
        task_body.close();
    });
    let cancel_body = body.clone();
    let cancel = Box::new(move || {
        // The push fails only if the exchange has ended. An ended exchange needs no cancel.
        let _ = cancel_body.push(StreamEvent::Cancelled);
    });
    OutboundExchange::new(EventSink::Local(body), answer, cancel)
}
