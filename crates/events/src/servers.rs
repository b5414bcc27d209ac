// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Events that change a daemon's view of the backend servers on its own host.

use crate::catalogue::log_events;

log_events! {
    /// A backend server registered, or what it reports of itself changed.
    "backend server registered" INFO ServerRegistered<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Its address.
        address: &'a str,
        /// Requests that it serves at once.
        slots: u64,
        /// Whether it accepts no new requests.
        draining: bool,
        /// Sequence number of its heartbeat.
        sequence: u64,
    }

    /// A heartbeat that arrived after a later one was ignored.
    "late heartbeat passed over" INFO HeartbeatLate<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Sequence number of the heartbeat.
        sequence: u64,
        /// Whether the heartbeat says that the backend server is draining.
        draining: bool,
    }

    /// A backend server's report that it is leaving is acknowledged.
    "leaving acknowledged" INFO LeavingAcknowledged<'a> {
        /// Name of the backend server, as the report is understood.
        upstream: &'a str,
        /// Call that reports it: heartbeat or deregistration.
        call: &'a str,
        /// Whether the backend server was registered under this name.
        registered: bool,
        /// Who else holds the leaving: the store, or a peer.
        held_by: &'a str,
        /// Time from the report to the acknowledgement.
        waited_ms: u64,
    }

    /// A backend server's report that it is leaving is in force, but not acknowledged, as neither
    /// the store nor another daemon holds it.
    "leaving not held" WARN LeavingNotHeld<'a> {
        /// Name of the backend server, as the report is understood.
        upstream: &'a str,
        /// Call that reports it: heartbeat or deregistration.
        call: &'a str,
        /// Time for which the daemon waited for either.
        waited_ms: u64,
    }

    /// A call of a backend server to the daemon was refused, as it is invalid.
    "server call refused" WARN ServerCallRefused<'a> {
        /// What is wrong.
        error: &'a str,
        /// Where it came from.
        from: &'a str,
    }

    /// A backend server named in a response how many requests per second it takes from all hosts
    /// together, or the limit that it names changed.
    "server rate limited" INFO RateLimited<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Requests per second that it takes.
        per_second: f64,
        /// Who told of the limit: the server itself, or an ingress that had heard of it.
        told_by: &'a str,
    }

    /// A backend server no longer names a rate limit.
    "server rate unlimited" INFO RateUnlimited<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
    }

    /// The rate limit that a backend server names can't be read. The limit in force stays.
    "server rate unreadable" WARN RateUnreadable<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Text that it sent as its limit.
        text: &'a str,
    }

    /// A backend server is known to leave for good, and gets no new requests under its name.
    "server leaving" INFO ServerLeaving<'a> {
        /// Name of the backend server.
        upstream: &'a str,
    }

    /// A backend server is gone: it announced this, or another server answers in its place.
    "backend server gone" INFO ServerGone<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// What showed it: deregistered, replaced by a heartbeat of another server, unlisted in a
        /// later record of this host, or misdirected by the server's response and its health check.
        cause: &'a str,
    }

    /// A response said that another server listens at the address of a backend server, and the
    /// listener was checked.
    "server listener checked" INFO ListenerChecked<'a> {
        /// Name of the backend server that was asked.
        upstream: &'a str,
        /// Name under which the listener answered; empty if it gave none.
        listener: &'a str,
    }

    /// A backend server crashed while it served requests: its connections broke, nothing listens at
    /// its address, and it had not announced that it leaves.
    "backend server crashed" WARN ServerCrashed<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// Slots that were in use.
        in_flight: u64,
    }

    /// The suspicion against a request that ran at backend servers when they crashed has risen.
    "request suspected" WARN RequestSuspected<'a> {
        /// Hash that its copies share and no other request has.
        fingerprint: &'a str,
        /// Crashes in a chain, each during a run that was started after the previous crash was
        /// known.
        crashes: u64,
        /// Whether every copy is refused from now on.
        refused: bool,
        /// Backend server that crashed last while it ran the request.
        upstream: &'a str,
        /// Host of the daemon that reported it.
        from: &'a str,
    }

    /// A request that ran at backend servers when they crashed one after the other is no longer
    /// suspected.
    "request cleared" INFO RequestCleared<'a> {
        /// Hash that its copies share and no other request has.
        fingerprint: &'a str,
        /// Why: succeeded at a backend server of this host, lifted by an operator, or reported by
        /// another daemon.
        cause: &'a str,
        /// Host of the daemon that reported it.
        from: &'a str,
    }

    /// A copy of a request that is refused in the whole fleet is admitted, to find out whether it
    /// still crashes backend servers.
    "refused request tried" WARN RefusedTried<'a> {
        /// Id of the request.
        request: &'a str,
        /// Hash that its copies share and no other request has.
        fingerprint: &'a str,
    }

    /// A backend server that was registered before the daemon's restart does not answer.
    "backend server silent" INFO ServerSilent<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// A backend server that was registered before the daemon's restart answers and is in use
    /// again.
    "backend server recovered" INFO ServerRecovered<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Incarnation of the daemon whose record lists the backend server.
        incarnation: i64,
        /// Number of changes of the record in that incarnation.
        changes: u64,
    }

    /// A backend server that could not be connected to accepts connections again: it was restarted.
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
        /// Strongest evidence against it.
        evidence: &'a str,
        /// Its anomaly score; ejected from 1 upwards.
        sickness: f64,
        /// Time since the first evidence.
        after_ms: u64,
    }

    /// A failure opened the circuit breaker of a backend server, which is doubted now: it declines
    /// requests while others can take them.
    "upstream doubted" INFO UpstreamBreakerOpened<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Service that it is an upstream of.
        service: &'a str,
        /// What opened it: broken, error-answers, timed-out or hanging.
        cause: &'a str,
    }

    /// A doubted backend server gave enough successful responses, which closed its circuit breaker.
    "upstream trusted again" INFO UpstreamBreakerClosed<'a> {
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
        /// Time for which it was ejected.
        out_ms: u64,
    }

    /// A failure no longer counts against a backend server, as its request failed at other servers
    /// too.
    "failure withdrawn" INFO FailureWithdrawn<'a> {
        /// Name of the backend server.
        upstream: &'a str,
        /// Route of the request.
        route: &'a str,
    }
}
