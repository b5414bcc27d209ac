// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Starts a daemon, runs its tasks, and shuts it down without cutting requests in flight.

use std::net::SocketAddr;
use std::rc::Rc;

use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_events::process;
use basaltarch_http::connection;
use basaltarch_options::{ConfigSource, DaemonOptions};
use basaltarch_telemetry::signals::SignalStream;
use monoio::net::TcpListener;

use crate::admin;
use crate::admission;
use crate::announce;
use crate::config_sync;
use crate::document;
use crate::errors::DaemonError;
use crate::ingress::caller;
use crate::ingress::trace;
use crate::links;
use crate::membership;
use crate::reload;
use crate::resume;
use crate::retention;
use crate::roster;
use crate::rows;
use crate::server_calls;
use crate::services;
use crate::state::DaemonState;
use crate::stop::{self, StopReport};
use crate::suspects;

/// Exit status of a stop that cut requests.
pub const EXIT_REQUESTS_CUT: i32 = 3;

/// `StopRequests` is where requests to stop a daemon come from.
pub enum StopRequests {
    /// Signals of the system. SIGTERM drains the daemon, even if the signal comes repeatedly.
    /// SIGINT drains a running daemon, and ends a daemon at once that is stopping already.
    Signals,
    /// The admin API and [`stop::StopState::asked`]. Signals of the system are not handled.
    Api,
}

struct DaemonListeners {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
    ready: Option<TcpListener>,
    registration: Option<TcpListener>,
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), DaemonError> {
    let bound = connection::bind(address);
    let listener = bound.map_err(|source| DaemonError::Listen { address, source })?;
    let address =
        listener.local_addr().map_err(|source| DaemonError::Listen { address, source })?;
    Ok((listener, address))
}

/// Listens on the address, if one is set, and replaces `address` by the address as bound.
fn listen_optional(address: &mut Option<SocketAddr>) -> Result<Option<TcpListener>, DaemonError> {
    match address {
        Some(wanted) => {
            let (listener, bound) = listen(*wanted)?;
            *address = Some(bound);
            Ok(Some(listener))
        }
        None => Ok(None),
    }
}

fn bind_all(options: &mut DaemonOptions) -> Result<DaemonListeners, DaemonError> {
    let (callers, address) = listen(options.callers)?;
    options.callers = address;
    let (peers, address) = listen(options.peers)?;
    options.peers = address;
    let (admin, address) = listen(options.admin)?;
    options.admin = address;
    let ready = listen_optional(&mut options.ready)?;
    let registration = listen_optional(&mut options.registration)?;
    Ok(DaemonListeners { callers, peers, admin, ready, registration })
}

/// Runs a daemon to its end. `on_start` is called with the daemon's state once the daemon listens.
pub async fn run(
    mut options: DaemonOptions,
    stops: StopRequests,
    on_start: impl FnOnce(&Rc<DaemonState>),
) -> Result<StopReport, DaemonError> {
    let start_error = |source| DaemonError::Start { source };
    basaltarch_telemetry::metrics::start(&metrics::entries()).map_err(start_error)?;
    let listeners = bind_all(&mut options)?;
    let state = DaemonState::try_new(options).map_err(|source| DaemonError::Clock { source })?;
    if let StopRequests::Signals = stops {
        let signals = SignalStream::stops().map_err(start_error)?;
        monoio::spawn(relay_signals(signals, state.clone(), |state| &state.stop.asked));
        let signals = SignalStream::interrupts().map_err(start_error)?;
        monoio::spawn(relay_signals(signals, state.clone(), |state| state.stop.interrupt_signal()));
        let signals = SignalStream::reloads().map_err(start_error)?;
        monoio::spawn(relay_signals(signals, state.clone(), |state| &state.reloading));
    }
    log_listening(&state);
    start_tasks(&state, listeners);
    monoio::spawn(reload::watch(state.clone()));
    on_start(&state);
    state.stop.asked.raised().await;
    Ok(stop::run(&state).await)
}

/// Logs the addresses as bound.
fn log_listening(state: &DaemonState) {
    let options = &state.options;
    let text = |address: Option<SocketAddr>| address.map(|address| address.to_string());
    process::DaemonListening {
        host: &options.host,
        callers: &options.callers.to_string(),
        peers: &options.peers.to_string(),
        admin: &options.admin.to_string(),
        ready: text(options.ready).as_deref(),
        registration: text(options.registration).as_deref(),
        incarnation: state.identity.incarnation,
        version: env!("CARGO_PKG_VERSION"),
    }
    .log();
}

/// Raises the signal that `choose_signal` returns for each signal of the system, for ever.
async fn relay_signals(
    mut signals: SignalStream,
    state: Rc<DaemonState>,
    choose_signal: fn(&DaemonState) -> &RisingSignal,
) {
    loop {
        signals.next().await;
        choose_signal(&state).raise();
    }
}

fn start_tasks(state: &Rc<DaemonState>, listeners: DaemonListeners) {
    monoio::spawn(caller::accept(state.clone(), listeners.callers));
    monoio::spawn(links::accept(state.clone(), listeners.peers));
    monoio::spawn(admin::accept(state.clone(), listeners.admin));
    if let Some(listener) = listeners.ready {
        monoio::spawn(server_calls::accept_ready(state.clone(), listener));
    }
    if let Some(listener) = listeners.registration {
        monoio::spawn(server_calls::accept(state.clone(), listener));
        monoio::spawn(admission::run(state.clone()));
    }
    monoio::spawn(links::watch(state.clone()));
    monoio::spawn(membership::run(state.clone()));
    monoio::spawn(membership::contact_seeds(state.clone()));
    monoio::spawn(rows::follow(state.clone()));
    monoio::spawn(rows::renew_subscriptions(state.clone()));
    monoio::spawn(roster::publish(state.clone()));
    monoio::spawn(roster::sweep(state.clone()));
    match state.options.source {
        ConfigSource::Resources => {
            monoio::spawn(config_sync::poll(state.clone()));
            monoio::spawn(retention::run(state.clone()));
        }
        ConfigSource::Document => {
            monoio::spawn(document::follow(state.clone()));
        }
    }
    monoio::spawn(trace::report_losses(state.clone()));
    monoio::spawn(services::evict_idle(state.clone()));
    monoio::spawn(suspects::evict_old(state.clone()));
    monoio::spawn(resume::watch(state.clone()));
    monoio::spawn(follow_configuration(state.clone()));
}

/// Applies each configuration that comes into force to the roles.
async fn follow_configuration(state: Rc<DaemonState>) {
    let mut seen = 0;
    let mut announced = None;
    loop {
        seen = state.config.changed().above(seen).await;
        let active = state.config.active();
        let touched = state.config.take_touched();
        state.host.configure(&state, &active, &touched);
        state.services.forget_removed(&active);
        state.services.note_evacuated(&active);
        // The revision is announced to the neighbours at once, so that the fleet's status is up to
        // date.
        if announced.replace(active.revision) != Some(active.revision) {
            announce::announce_revision(&state);
            rows::announce_configuration(&state);
        }
    }
}
