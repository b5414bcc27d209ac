// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Events that concern one request of a caller. Each event carries the id of the request.
//!
//! `at_ms` is the time since the ingress received the request. A request that is not logged from
//! its start is logged only if it fails: all lines of the request are written together at its end,
//! and the `at_ms` of each line says when the step happened.

use crate::catalogue::log_events;

log_events! {
    /// The ingress received a request and matched its route.
    "request received" INFO RequestReceived<'a> {
        /// Id of the request.
        request: &'a str,
        /// Its method.
        method: &'a str,
        /// Hash that its copies share and no other request has.
        fingerprint: &'a str,
        /// Route that it matched.
        route: &'a str,
        /// Service that it goes to.
        service: &'a str,
        /// Time left until its deadline.
        deadline_ms: u64,
        /// Latency objective, within which its answer is worth most, if the route declares one.
        objective_ms: Option<u64>,
        /// Revision of the configuration that this is based on.
        revision: u64,
    }

    /// The daemon exits while a request still waits for its answer, and reports this to its caller.
    "request given up" WARN RequestGivenUp<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Time from the stop signal to the arrival of the request; zero if the request arrived
        /// earlier.
        came_ms: u64,
    }

    /// The ingress refused a request before it chose an upstream.
    "request rejected" INFO RequestRejected<'a> {
        /// Id of the request; empty if its head could not be read.
        request: &'a str,
        /// Reason, as reported to the caller.
        reason: &'a str,
        /// Status that the caller gets.
        status: u64,
        /// Explanation of the reason, for people.
        cause: &'a str,
        /// Revision of the configuration that this is based on.
        revision: u64,
        /// Time for which that revision had been in force.
        in_force_ms: u64,
        /// Age of the last confirmation that it is the newest; absent if there was none.
        fresh_ms: Option<u64>,
        /// Source of that confirmation.
        fresh_from: Option<&'a str>,
    }

    /// The ingress chose an upstream for an attempt.
    "upstream chosen" INFO UpstreamChosen<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Upstream that was chosen.
        upstream: &'a str,
        /// Host of the upstream.
        host: &'a str,
        /// Why it was eligible: trial, explore, near, sound, waiting, idle, any or proving.
        ground: &'a str,
        /// Its cost, from load, time, distance and suspicion; the lowest wins.
        cost: f64,
        /// Upstream that it was compared with, if there was another.
        rival: Option<&'a str>,
        /// Cost of that upstream.
        rival_cost: Option<f64>,
        /// Upstreams that were eligible on the same ground.
        eligible: u64,
        /// Age of the load report that its cost is based on; absent if it has not reported.
        report_age_ms: Option<u64>,
        /// Whether it may refuse the request, since others have capacity within the floor.
        refusable: bool,
        /// Whether it may decline the request if it is doubted or full, so that another upstream is
        /// tried.
        passable: bool,
    }

    /// A request found no free slot, and waited at its ingress with reservations at several hosts.
    "slot awaited" INFO SlotAwaited<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Number of the attempt that the slot was for.
        attempt: u64,
        /// Time that the request waited.
        waited_ms: u64,
        /// Hosts that were asked for a reservation.
        places: u64,
        /// How the wait ended: called-in (a host offered a slot), or the reason why no host did.
        end: &'a str,
    }

    /// An attempt ended, and what the ingress does next.
    "attempt ended" INFO AttemptEnded<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Upstream that the request was sent to.
        upstream: &'a str,
        /// How it ended: answered, late (a slow attempt, which runs on beside another),
        /// caller-gone, or the reason of a failure.
        outcome: &'a str,
        /// Status of the answer, if there was one.
        status: Option<u64>,
        /// Time since the attempt began.
        took_ms: u64,
        /// Requests in the upstream's slots by its load report.
        in_flight: Option<u64>,
        /// Requests that are queued for the upstream by its load report.
        queued: Option<u64>,
        /// Anomaly score of the upstream by its load report; it is ejected from 1 upwards.
        sickness: Option<f64>,
        /// What follows: answer, repeat (a retry out of the retry budget), elsewhere (another
        /// upstream, free of the retry budget) or end.
        next: &'a str,
    }

    /// The caller received the whole answer of a backend server.
    "request answered" INFO RequestAnswered<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Status of the answer.
        status: u64,
        /// Attempts that were made.
        attempts: u64,
        /// Whether it came after the route's objective.
        late: bool,
    }

    /// The caller received no answer of a backend server.
    "request failed" INFO RequestFailed<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Service of the request.
        service: &'a str,
        /// Outcome that is reported to the caller: not-run or unknown.
        outcome: &'a str,
        /// Reason that is reported to the caller.
        reason: &'a str,
        /// Status that the caller gets.
        status: u64,
        /// Time that was left until its deadline.
        left_ms: u64,
        /// Time after which the caller is asked to retry, if it is.
        retry_after_ms: Option<u64>,
        /// Backend servers at which copies of it failed, as far as this daemon remembers.
        failed_servers: u64,
        /// Attempts that were made.
        attempts: u64,
        /// Revision of the configuration in force.
        revision: u64,
    }

    /// The caller went away; the request is cancelled.
    "caller gone" INFO CallerGone<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Attempts that were made.
        attempts: u64,
    }

    /// The connection to the caller was ended before its answer was complete.
    "answer cut short" INFO AnswerCut<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was received.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// The host's daemon sent a request to the backend server.
    "work started" INFO WorkStarted<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Time that the request waited for a slot.
        waited_ms: u64,
        /// Service that the server is an upstream of.
        service: &'a str,
        /// Slots in use, this one included.
        in_flight: u64,
        /// Slots in total.
        slots: u64,
        /// Requests that are still queued.
        queued: u64,
        /// Whether it is a trial of a server that is out of service.
        trial: bool,
        /// Anomaly score of the server; it is ejected from 1 upwards.
        sickness: f64,
        /// Time that is left for the request.
        left_ms: u64,
        /// Time for which the connection to the server had been idle; absent for a new connection.
        idle_ms: Option<u64>,
        /// Bytes of its body that came with its dispatch.
        body_bytes: u64,
        /// Whether these bytes are the whole body.
        body_whole: bool,
        /// Length of the body, as its caller declared it; absent if the caller declared none.
        declared_bytes: Option<u64>,
    }

    /// The host's daemon refused a request; nothing of it was sent to the backend server.
    "work refused" INFO WorkRefused<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Reason of the refusal.
        reason: &'a str,
        /// Service that the server is an upstream of.
        service: &'a str,
        /// Slots in use.
        in_flight: u64,
        /// Slots in total.
        slots: u64,
        /// Requests that are queued.
        queued: u64,
        /// Anomaly score of the server; it is ejected from 1 upwards.
        sickness: f64,
        /// Time that was left for the request.
        left_ms: u64,
        /// Whether the server is ejected.
        ejected: bool,
        /// Time until the next trial of the server may start; zero if one may start now, or if the
        /// server is in service.
        trial_in_ms: u64,
    }

    /// The backend server answered a request.
    "work ended" INFO WorkEnded<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Service that the server is an upstream of.
        service: &'a str,
        /// Time since the request was sent.
        took_ms: u64,
        /// Slots that are still in use.
        in_flight: u64,
        /// Slots in total.
        slots: u64,
        /// Whether it took far longer than is typical.
        overdue: bool,
        /// How far the request was sent: unsent, partial, whole or broken.
        sent: &'a str,
        /// Whether the connection is kept for another request.
        kept: bool,
    }

    /// A response seems to say that the backend server did not run the request.
    "work refused by server" INFO ServerRefused<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Status of the response.
        status: u64,
        /// Whether the response has a shed notice.
        noticed: bool,
        /// Id of the response: same as that of the request, missing, or unused if the deployment has
        /// no ids.
        id: &'a str,
        /// Server that made the response, by its own word: asked, other or unnamed.
        server: &'a str,
        /// Whether the request counts as not run; otherwise the response counts as malformed.
        believed: bool,
        /// Time since the request was sent.
        took_ms: u64,
        /// How far the request was sent: unsent, partial, whole or broken.
        sent: &'a str,
        /// Time for which the connection to the server had been idle; absent for a new connection.
        idle_ms: Option<u64>,
    }

    /// A request was sent to the backend server, and no usable answer was received.
    "work broke" INFO WorkBroke<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Whether the request may run more than once.
        repeatable: bool,
        /// How it failed: cancelled, timed-out, connection-broken, bad-answer or ingress-gone.
        fault: &'a str,
        /// Time since the server's last successful response.
        trusted_ms: u64,
        /// Time since the request was sent.
        took_ms: u64,
        /// Hash that its copies share and no other request has.
        fingerprint: &'a str,
        /// Whether the server crashed: nothing listens at its address, and it had not announced
        /// that it leaves.
        crashed: bool,
        /// How far the request was sent: unsent, partial, whole or broken.
        sent: &'a str,
    }

    /// An answer that belongs to another request or to none arrived where the answer to this one was
    /// expected; it was dropped.
    "surplus answer dropped" INFO SurplusDropped<'a> {
        /// Id of the request whose answer is awaited.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Status of the answer that was dropped.
        status: u64,
        /// Id of the answer that was dropped: other than that of the request, or missing.
        id: &'a str,
    }
}
