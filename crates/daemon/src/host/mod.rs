// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The host role: the only process that sends work to the backend servers of its host.
//!
//! Slots are counted here and nowhere else; refusals made here are provable, since the work would
//! have started here.

pub mod admission;
pub mod backend;
pub mod exchange;
pub mod upstream;

use std::cell::RefCell;
use std::rc::Rc;

use basaltarch_core::config::ActiveConfig;
use basaltarch_peer::link::{AcceptedLink, InboundExchange, OutboundExchange};
use basaltarch_peer::protocol::DispatchHead;
use basaltarch_peer::stream::{EventPipe, EventSink, StreamEvent};
use fnv::FnvHashMap;

use crate::host::upstream::HostUpstream;
use crate::state::DaemonState;

/// `HostRole` holds the backend servers of this host.
#[derive(Default)]
pub struct HostRole {
    upstreams: RefCell<FnvHashMap<Rc<str>, Rc<HostUpstream>>>,
}

impl HostRole {
    /// Returns a backend server of this host.
    pub fn get(&self, name: &str) -> Option<Rc<HostUpstream>> {
        self.upstreams.borrow().get(name).cloned()
    }

    /// Returns all backend servers of this host in the order of their names.
    pub fn all(&self) -> Vec<Rc<HostUpstream>> {
        let mut all: Vec<_> = self.upstreams.borrow().values().cloned().collect();
        all.sort_by(|left, right| left.name.cmp(&right.name));
        all
    }

    /// Brings the backend servers in line with a configuration; what was learnt is kept.
    pub fn configure(&self, state: &DaemonState, active: &ActiveConfig) {
        let mut upstreams = self.upstreams.borrow_mut();
        let mut next = FnvHashMap::default();
        // At the first configuration nobody is cold: the daemon was replaced, not the servers.
        let cold = !upstreams.is_empty();
        for service in active.services.values() {
            for upstream in &service.upstreams {
                if upstream.server.host != state.options.host {
                    continue;
                }
                let known = upstreams.remove(&upstream.name);
                let same = known.filter(|known| known.service == service.name);
                let entry = match same {
                    Some(known) => {
                        known.configure(&upstream.server, &service.spec);
                        known
                    }
                    None => Rc::new(HostUpstream::new(upstream, service, state.now(), cold)),
                };
                next.insert(upstream.name.clone(), entry);
            }
        }
        *upstreams = next;
    }

    /// Takes back a failure that followed its request to another upstream.
    pub fn withdraw_failure(&self, upstream: &str, route: &str) {
        if let Some(upstream) = self.get(upstream) {
            upstream.health.borrow_mut().withdraw_failure(route);
        }
    }
}

/// Serves an exchange that came over a link.
pub async fn serve_remote(
    state: Rc<DaemonState>,
    link: Rc<AcceptedLink>,
    inbound: InboundExchange,
) {
    let exchange = inbound.exchange;
    let serving = exchange::serve(&state, inbound.head, &inbound.body, &inbound.answer);
    basaltarch_http::connection::guard("exchange", serving).await;
    link.forget(exchange);
}

/// Starts an exchange with a backend server of this very host, by the same code.
pub fn dispatch_local(state: &Rc<DaemonState>, head: DispatchHead) -> OutboundExchange {
    let body = Rc::new(EventPipe::default());
    body.shut_window();
    let answer = Rc::new(EventPipe::default());
    let task_state = state.clone();
    let task_body = body.clone();
    let sink = EventSink::Local(answer.clone());
    monoio::spawn(async move {
        let serving = exchange::serve(&task_state, head, &task_body, &sink);
        basaltarch_http::connection::guard("exchange", serving).await;
        task_body.close();
    });
    let cancel_body = body.clone();
    let cancel = Box::new(move || {
        // An exchange that is over has nobody left to cancel.
        let _ = cancel_body.push(StreamEvent::Cancelled);
    });
    OutboundExchange::new(EventSink::Local(body), answer, cancel)
}
