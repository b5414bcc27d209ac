// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Events that change what a daemon believes of the backend servers beside it.

use crate::catalogue::log_events;

log_events! {
    /// A backend server registered, or what it says of itself changed.
    "backend server registered" INFO ServerRegistered<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Its address.
        address: &'a str,
        /// Requests that it works on at once.
        slots: u64,
        /// Whether it takes no new work.
        draining: bool,
        /// Number of its heartbeat.
        sequence: u64,
    }

    /// A heartbeat that an earlier one has overtaken changed nothing.
    "late heartbeat passed over" INFO HeartbeatLate<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Number of the heartbeat.
        sequence: u64,
    }

    /// A call of a backend server could not be read.
    "server call refused" WARN ServerCallRefused<'a> {
        /// What is wrong.
        error: &'a str,
        /// Where it came from.
        from: &'a str,
    }

    /// A backend server is gone, by its own word or as another answers in its place.
    "backend server gone" INFO ServerGone<'a> {
        /// Name of the backend server.
        upstream: &'a str,
    }

    /// A backend server crashed while it worked: its connections broke, nothing listens at its address, and
    /// it had not said that it leaves.
    "backend server crashed" WARN ServerCrashed<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Slots that were in use.
        in_flight: u64,
    }

    /// What counts against a request that ran at backend servers when they crashed rose.
    "request suspected" WARN RequestSuspected<'a> {
        /// What its copies share and no other request has.
        fingerprint: &'a str,
        /// Crashes in a chain, each in a run that was begun after the one before was known.
        crashes: u64,
        /// Whether every copy is refused from now on.
        refused: bool,
        /// The backend server that crashed under it last.
        upstream: &'a str,
        /// Host of the daemon that told of it.
        from: &'a str,
    }

    /// Nothing counts any longer against a request that ran at backend servers when they crashed one after the
    /// other.
    "request cleared" INFO RequestCleared<'a> {
        /// What its copies share and no other request has.
        fingerprint: &'a str,
        /// Why: a good run here, an operator's word, or what another daemon told.
        cause: &'a str,
        /// Host of the daemon that told of it.
        from: &'a str,
    }

    /// A copy of a request that is refused everywhere is let through, to find out whether it still crashes
    /// backend servers.
    "refused request tried" WARN RefusedTried<'a> {
        /// Id of the request.
        request: &'a str,
        /// What its copies share and no other request has.
        fingerprint: &'a str,
    }

    /// A backend server of the daemon's last start does not answer.
    "backend server silent" INFO ServerSilent<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// A backend server of the daemon's last start answers and is in use again.
    "backend server recovered" INFO ServerRecovered<'a> {
        /// Name of the backend server.
        upstream: &'a str,
    }

    /// A backend server that could not be connected to can be again.
    "backend server started anew" INFO ServerRestarted<'a> {
        /// Name of the backend server.
        upstream: &'a str,
    }

    /// A backend server was taken out of service.
    "upstream ejected" WARN UpstreamEjected<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// What spoke most against it.
        evidence: &'a str,
        /// Its sickness.
        sickness: f64,
        /// Time since the first sign.
        after_ms: u64,
    }

    /// A failure made a backend server doubted: it passes work on while others can take it.
    "upstream doubted" INFO UpstreamDoubted<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
    }

    /// A doubted backend server answered well often enough.
    "upstream trusted again" INFO UpstreamTrusted<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Time for which it was doubted.
        after_ms: u64,
    }

    /// An ejected backend server is in service again.
    "upstream returned" INFO UpstreamReturned<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Time for which it was out.
        out_ms: u64,
    }

    /// A failure no longer counts against a backend server, as its request failed elsewhere too.
    "failure withdrawn" INFO FailureWithdrawn<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Route of the request.
        route: &'a str,
    }
}
