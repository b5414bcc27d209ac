// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Events that concern one request of a caller. All of them carry its id.
//!
//! `at_ms` is the time since the ingress took the request in. Lines of a request that is not logged
//! from its start come together at its end, if it failed, with the times at which things happened.

use crate::catalogue::log_events;

log_events! {
    /// The ingress took a request in and found its route.
    "request received" INFO RequestReceived<'a> {
        /// Id of the request.
        request: &'a str,
        /// Its method.
        method: &'a str,
        /// What its copies share and no other request has.
        fingerprint: &'a str,
        /// Route that it matched.
        route: &'a str,
        /// Service that it goes to.
        service: &'a str,
        /// Time that is left for it.
        deadline_ms: u64,
        /// Time within which its answer is worth most, if the route declares one.
        objective_ms: Option<u64>,
        /// Revision of the configuration that decided this.
        revision: u64,
    }

    /// The daemon ends while a request still waits for its answer, and tells its caller so.
    "request given up" WARN RequestGivenUp<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Time between the moment at which the daemon was asked to stop and that at which it took the
        /// request in; zero if that was earlier.
        came_ms: u64,
    }

    /// The ingress refused a request before it chose an upstream.
    "request rejected" INFO RequestRejected<'a> {
        /// Id of the request; empty if its head could not be read.
        request: &'a str,
        /// Reason, as the caller is told.
        reason: &'a str,
        /// Status that the caller gets.
        status: u64,
        /// The same for people.
        cause: &'a str,
        /// Revision of the configuration that decided this.
        revision: u64,
        /// Time for which it had been in force.
        in_force_ms: u64,
        /// Age of the last word that it is the newest; absent if there was none.
        fresh_ms: Option<u64>,
        /// Who said so.
        fresh_from: Option<&'a str>,
    }

    /// The ingress chose an upstream for an attempt.
    "upstream chosen" INFO UpstreamChosen<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Upstream that was chosen.
        upstream: &'a str,
        /// Host of the upstream.
        host: &'a str,
        /// Why it was eligible: trial, explore, near, sound or any.
        ground: &'a str,
        /// Its cost, from load, time, distance and suspicion; the least wins.
        cost: f64,
        /// Upstream that it was compared with, if there was another.
        rival: Option<&'a str>,
        /// Cost of that upstream.
        rival_cost: Option<f64>,
        /// Upstreams that were eligible on the same ground.
        eligible: u64,
        /// Age of the report that its cost is from; none if it has not reported.
        report_age_ms: Option<u64>,
        /// Whether it may refuse, since others have room within the floor.
        refusable: bool,
        /// Whether it may pass the work on if it is doubted or full.
        passable: bool,
    }

    /// Work found no free slot, and waited at its ingress with places before the slots of several hosts.
    "slot awaited" INFO SlotAwaited<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Number of the attempt that the slot was for.
        attempt: u64,
        /// Time that it waited.
        waited_ms: u64,
        /// Hosts that were asked for a place.
        places: u64,
        /// How it ended: called-in, or the reason for which nobody called it in.
        end: &'a str,
    }

    /// An attempt ended, and what the ingress does next.
    "attempt ended" INFO AttemptEnded<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Upstream that was asked.
        upstream: &'a str,
        /// How it ended: answered, late (it runs on beside another), or the reason of a
        /// failure.
        outcome: &'a str,
        /// Status of the answer, if there was one.
        status: Option<u64>,
        /// Time since the attempt began.
        took_ms: u64,
        /// Requests in the upstream's slots by its report.
        in_flight: Option<u64>,
        /// Requests that wait before the upstream by its report.
        queued: Option<u64>,
        /// Sickness of the upstream by its report; ejected from 1 upwards.
        sickness: Option<f64>,
        /// What follows: answer, repeat, elsewhere (free of the retry budget) or end.
        next: &'a str,
    }

    /// The caller got the whole answer of a backend server.
    "request answered" INFO RequestAnswered<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
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

    /// The caller got no answer of a backend server.
    "request failed" INFO RequestFailed<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Service of the request.
        service: &'a str,
        /// Outcome that the caller is told: not-run or unknown.
        outcome: &'a str,
        /// Reason that the caller is told.
        reason: &'a str,
        /// Status that the caller gets.
        status: u64,
        /// Time that was left.
        left_ms: u64,
        /// Time after which the caller is asked to come back, if it is.
        retry_after_ms: Option<u64>,
        /// Servers at which this daemon remembers copies of it to have failed.
        failed_servers: u64,
        /// Attempts that were made.
        attempts: u64,
        /// Revision of the configuration in force.
        revision: u64,
    }

    /// The caller went away; the work is cancelled.
    "caller gone" INFO CallerGone<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// Attempts that were made.
        attempts: u64,
    }

    /// The connection to the caller was ended before its answer was whole.
    "answer cut short" INFO AnswerCut<'a> {
        /// Id of the request.
        request: &'a str,
        /// Time since the request was taken in.
        at_ms: u64,
        /// Route of the request.
        route: &'a str,
        /// What happened.
        error: &'a str,
    }

    /// The host role sent work to the backend server.
    "work started" INFO WorkStarted<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Time that it waited for a slot.
        waited_ms: u64,
        /// Service that the server is an upstream of.
        service: &'a str,
        /// Slots in use, this one included.
        in_flight: u64,
        /// Slots in all.
        slots: u64,
        /// Requests that still wait.
        queued: u64,
        /// Whether it tries out a server that is out of service.
        trial: bool,
        /// Sickness of the server; ejected from 1 upwards.
        sickness: f64,
        /// Time that is left for it.
        left_ms: u64,
    }

    /// The host role refused work; nothing of it was sent to the backend server.
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
        /// Slots in all.
        slots: u64,
        /// Requests that wait.
        queued: u64,
        /// Sickness of the server; ejected from 1 upwards.
        sickness: f64,
        /// Time that was left for it.
        left_ms: u64,
    }

    /// The backend server answered the work.
    "work ended" INFO WorkEnded<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Service that the server is an upstream of.
        service: &'a str,
        /// Time since the work was sent.
        took_ms: u64,
        /// Slots that are still in use.
        in_flight: u64,
        /// Slots in all.
        slots: u64,
        /// Whether it took far longer than usual.
        overdue: bool,
    }

    /// The work was sent to the backend server, and no usable answer came of it.
    "work broke" INFO WorkBroke<'a> {
        /// Id of the request.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Whether the work may run more than once.
        repeatable: bool,
        /// How it broke: cancelled, timed-out, connection-broken, bad-answer or ingress-gone.
        fault: &'a str,
        /// Time since the server last answered well.
        trusted_ms: u64,
        /// Time since the work was sent.
        took_ms: u64,
        /// What the copies of its request share and no other request has.
        fingerprint: &'a str,
        /// Whether the server crashed: nothing listens at its address, and it had not said that it leaves.
        crashed: bool,
    }

    /// An answer to an earlier request came where the answer to this one was due; it was dropped.
    "surplus answer dropped" INFO SurplusDropped<'a> {
        /// Id of the request whose answer is awaited.
        request: &'a str,
        /// The backend server.
        upstream: &'a str,
        /// Status of the answer that was dropped.
        status: u64,
    }
}
