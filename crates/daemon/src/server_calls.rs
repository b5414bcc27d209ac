// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Answers the calls of the backend servers on this host, and the readiness check of the platform.
//!
//! A call that reports a leaving is acknowledged once the store or another daemon holds the leaving,
//! so that it also binds the next incarnation of this daemon.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation::ServerIncarnation;
use basaltarch_decide::server_incarnation::IncarnationVerdict;
use basaltarch_events::servers;
use basaltarch_http::server::{self, ServerLimits, ServerReply, ServerRequest};
use basaltarch_platform::registration::{self as calls, ServerCall, ServerHeartbeat};
use bytes::Bytes;
use http::StatusCode;
use monoio::net::TcpListener;
use snafu::Snafu;

use crate::admin;
use crate::registration::{self, GoneCause};
use crate::roster;
use crate::state::DaemonState;

/// Maximum number of connections to one listener: of the backend servers of this host, or of the
/// platform for the readiness check.
const CONNECTIONS_MAX: usize = 64;
/// Largest heartbeat, in bytes.
const BODY_BYTES_MAX: u64 = 16 * 1024;
/// Longest wait until a leaving is held outside this daemon. An acknowledgement must arrive within a
/// second.
const HELD_TIMEOUT: Duration = Duration::from_millis(700);
/// Name of a heartbeat in logs.
const HEARTBEAT_CALL: &str = "heartbeat";
/// Name of a deregistration in logs.
const DEREGISTRATION_CALL: &str = "deregistration";

/// `CallRefusal` says why a call of a backend server is not acknowledged.
#[derive(Debug, Snafu)]
enum CallRefusal {
    #[snafu(display("the service or the address differs from the registered one"))]
    OtherServer,
    #[snafu(display("the service is not in the configuration"))]
    UnknownService,
    #[snafu(display("the heartbeat lacks the start time of the server"))]
    Unnamed,
    #[snafu(display("another incarnation of the server is registered"))]
    OtherIncarnation,
    #[snafu(display("neither the store nor another daemon has taken the change"))]
    NotHeld,
}

impl CallRefusal {
    fn status(&self) -> StatusCode {
        match self {
            Self::OtherServer | Self::UnknownService | Self::Unnamed => StatusCode::BAD_REQUEST,
            Self::OtherIncarnation | Self::NotHeld => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Accepts connections of backend servers for ever.
pub async fn accept(state: Rc<DaemonState>, listener: TcpListener) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let state = state.clone();
        async move { answer_server(&state, &request).await }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

async fn answer_server(state: &Rc<DaemonState>, request: &ServerRequest) -> ServerReply {
    // An acknowledged change must also reach the next incarnation of this daemon, through the
    // store. As this daemon no longer waits for writes to the store, it refuses the call, and the
    // backend server retries.
    if state.stop.is_over(state.now()) {
        return admin::problem(StatusCode::SERVICE_UNAVAILABLE, "the daemon is shutting down");
    }
    let uri = &request.head.uri;
    let call = calls::read_call(&request.head.method, uri.path(), uri.query(), &request.body);
    let from = &request.from.to_string();
    let result = match call {
        Ok(Some(ServerCall::Heartbeat(heartbeat))) => take_heartbeat(state, &heartbeat).await,
        Ok(Some(ServerCall::Deregister(incarnation))) => {
            take_deregistration(state, &incarnation).await
        }
        Ok(None) => return admin::problem(StatusCode::NOT_FOUND, "no such call"),
        Err(error) => {
            servers::ServerCallRefused { error: &error.to_string(), from }.log();
            return admin::problem(StatusCode::BAD_REQUEST, error);
        }
    };
    match result {
        Ok(()) => {
            let body = Bytes::from_static(calls::acknowledgement());
            ServerReply::whole(StatusCode::OK, "application/json", body)
        }
        Err(refusal) => {
            servers::ServerCallRefused { error: &refusal.to_string(), from }.log();
            admin::problem(refusal.status(), refusal)
        }
    }
}

async fn take_heartbeat(
    state: &Rc<DaemonState>,
    heartbeat: &ServerHeartbeat,
) -> Result<(), CallRefusal> {
    check_sender(state, heartbeat)?;
    if heartbeat.draining {
        return take_drain_notice(state, heartbeat).await;
    }
    if !state.admission.is_open() {
        // The heartbeat takes effect with the admission. It is acknowledged all the same if that
        // takes longer, since its server would call another daemon in vain.
        state.registrations.defer(heartbeat);
        let _ = monoio::time::timeout(HELD_TIMEOUT, state.admission.opened()).await;
        return Ok(());
    }
    match registration::take_heartbeat(state, heartbeat).await {
        IncarnationVerdict::Unnamed => Err(CallRefusal::Unnamed),
        _ => Ok(()),
    }
}

/// Refuses a heartbeat whose sender may not be a backend server of this host: its service or address
/// differs from those registered for the same incarnation, or its incarnation is not registered and
/// its service is not configured.
fn check_sender(state: &DaemonState, heartbeat: &ServerHeartbeat) -> Result<(), CallRefusal> {
    let name = heartbeat.incarnation.upstream();
    let servers = state.roster.own_servers();
    if let Some(known) = servers.iter().find(|server| server.name == name) {
        let is_same = known.service == heartbeat.service && known.address == heartbeat.address;
        // A server that does not report its incarnation may have restarted under its name.
        let may_differ = heartbeat.incarnation.born.is_none();
        return if is_same || may_differ { Ok(()) } else { Err(CallRefusal::OtherServer) };
    }
    let Some(document) = state.document.get() else { return Ok(()) };
    let mut services = document.services.iter();
    match services.any(|declaration| declaration.name == heartbeat.service) {
        true => Ok(()),
        false => Err(CallRefusal::UnknownService),
    }
}

/// Handles a heartbeat that says that its server is draining. A server that drains goes on to do so,
/// so that the heartbeat holds even if a later one has arrived before it.
async fn take_drain_notice(
    state: &Rc<DaemonState>,
    heartbeat: &ServerHeartbeat,
) -> Result<(), CallRefusal> {
    let incarnation = &heartbeat.incarnation;
    let lacks_start =
        incarnation.born.is_none() && !state.registrations.tells_start(&incarnation.server);
    let other_upstreams = other_upstreams(state, incarnation);
    if lacks_start && !other_upstreams.is_empty() {
        return bind(state, &other_upstreams, registration::note_leaving, HEARTBEAT_CALL).await;
    }
    let is_known = is_known(state, incarnation);
    match registration::take_heartbeat(state, heartbeat).await {
        IncarnationVerdict::Unnamed => return Err(CallRefusal::Unnamed),
        IncarnationVerdict::Late if !is_known => return Err(CallRefusal::OtherIncarnation),
        _ => {}
    }
    bind(state, &[incarnation.upstream()], registration::note_leaving, HEARTBEAT_CALL).await
}

/// Handles a deregistration. One that does not tell the start of its server ends every incarnation
/// that is known by then.
async fn take_deregistration(
    state: &Rc<DaemonState>,
    incarnation: &ServerIncarnation,
) -> Result<(), CallRefusal> {
    let other_upstreams = other_upstreams(state, incarnation);
    let mut upstreams = vec![incarnation.upstream()];
    if incarnation.born.is_none() {
        state.departures.note_unnamed(&incarnation.server);
        if !other_upstreams.is_empty() {
            upstreams = other_upstreams;
        }
    } else if !is_known(state, incarnation) && !other_upstreams.is_empty() {
        return Err(CallRefusal::OtherIncarnation);
    }
    let note_ended = |state: &Rc<DaemonState>, name: &str| {
        registration::note_ended(state, name, GoneCause::Deregistered);
    };
    bind(state, &upstreams, note_ended, DEREGISTRATION_CALL).await
}

/// Says whether an incarnation of a server is registered or has departed.
fn is_known(state: &DaemonState, incarnation: &ServerIncarnation) -> bool {
    registration::is_registered(state, &incarnation.upstream())
        || registration::has_departed(state, incarnation)
}

/// Returns the other known upstreams of an incarnation's server that have not departed.
fn other_upstreams(state: &DaemonState, incarnation: &ServerIncarnation) -> Vec<String> {
    let own_name = incarnation.upstream();
    let mut upstreams = registration::known_upstreams(state, &incarnation.server);
    upstreams.retain(|name| {
        let other = ServerIncarnation::of_upstream(name);
        *name != own_name && !registration::has_departed(state, &other)
    });
    upstreams.into_iter().collect()
}

/// Puts in force that upstreams get no new requests, and waits until the store or another daemon
/// holds that, so that it binds whatever happens to this daemon.
async fn bind(
    state: &Rc<DaemonState>,
    upstreams: &[String],
    note_departure: fn(&Rc<DaemonState>, &str),
    call: &str,
) -> Result<(), CallRefusal> {
    let servers = state.roster.own_servers();
    for upstream in upstreams {
        note_departure(state, upstream);
    }
    let began_at = state.now();
    let holder = roster::await_held(state, HELD_TIMEOUT).await;
    let waited_ms = state.now().saturating_sub(began_at).as_millis() as u64;
    for upstream in upstreams {
        let registered = servers.iter().any(|server| server.name == *upstream);
        match holder {
            Some(holder) => {
                let held_by = holder.name();
                servers::LeavingAcknowledged { upstream, call, registered, held_by, waited_ms }
                    .log();
            }
            None => servers::LeavingNotHeld { upstream, call, waited_ms }.log(),
        }
    }
    holder.map(|_| ()).ok_or(CallRefusal::NotHeld)
}

/// Serves the readiness check for ever.
pub async fn accept_ready(state: Rc<DaemonState>, listener: TcpListener) {
    let limits = ServerLimits::with_body_bytes(BODY_BYTES_MAX);
    let answer = move |request| {
        let state = state.clone();
        async move { answer_ready(&state, &request) }
    };
    server::serve_all(listener, CONNECTIONS_MAX, limits, answer).await;
}

fn answer_ready(state: &DaemonState, request: &ServerRequest) -> ServerReply {
    if calls::is_readiness_probe(&request.head.method, request.path()) {
        return admin::ready(state);
    }
    admin::problem(StatusCode::NOT_FOUND, "no such call")
}
