// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The daemon's metrics.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::outcome::{
    FailureOutcome, NotRunReason, UnknownReason, NOT_RUN_REASONS, UNKNOWN_REASONS,
};
use basaltarch_decide::detector::EVIDENCE_KINDS;
use basaltarch_telemetry::metrics::{
    CounterCell, GaugeCell, HistogramCell, MetricEntry, MetricSource,
};
use fnv::FnvHashSet;

/// Requests received from callers.
pub static REQUESTS: CounterCell = CounterCell::new();
/// Complete responses forwarded to callers.
pub static COMPLETE: CounterCell = CounterCell::new();
/// Requests refused as not run, by reason.
pub static NOT_RUN: [CounterCell; NOT_RUN_REASONS.len()] =
    [const { CounterCell::new() }; NOT_RUN_REASONS.len()];
/// Requests with unknown outcome, by reason.
pub static UNKNOWN: [CounterCell; UNKNOWN_REASONS.len()] =
    [const { CounterCell::new() }; UNKNOWN_REASONS.len()];
/// Dispatches to upstreams.
pub static DISPATCHES: CounterCell = CounterCell::new();
/// Dispatches after the first of a request.
pub static RETRIES: CounterCell = CounterCell::new();
/// Retries that the retry budget did not allow.
pub static RETRIES_DENIED: CounterCell = CounterCell::new();
/// Resumes of the host from a suspend.
pub static RESUMES: CounterCell = CounterCell::new();
/// Distinct requests that are refused because they crash backend servers.
pub static REQUESTS_REFUSED: GaugeCell = GaugeCell::new();
/// Dispatches of requests that recently failed at several upstreams, whose failures are not
/// attributed to any upstream.
pub static POISON_EXEMPTED: CounterCell = CounterCell::new();
/// Requests sent to backend servers.
pub static HOST_ATTEMPTS: CounterCell = CounterCell::new();
/// Responses that belong to another request or to none, on a connection in use.
pub static SURPLUS_ANSWERS: CounterCell = CounterCell::new();
/// Responses with a part of a refusal that did not count as one.
pub static REFUSALS_NOT_BELIEVED: CounterCell = CounterCell::new();
/// Requests refused by the host role.
pub static HOST_REFUSED: CounterCell = CounterCell::new();
/// Ejections of upstreams, by the kind of evidence.
pub static EJECTIONS: [CounterCell; EVIDENCE_KINDS.len()] =
    [const { CounterCell::new() }; EVIDENCE_KINDS.len()];
/// Circuit breakers of upstreams that a failure opened.
pub static BREAKER_OPENINGS: CounterCell = CounterCell::new();
/// Returns of ejected upstreams to service.
pub static RETURNS: CounterCell = CounterCell::new();
/// Times from the first evidence against an upstream to its ejection, in seconds.
pub static DETECTION: HistogramCell = HistogramCell::new();
/// Decisions that left fewer slots in service than the floor; must stay 0.
pub static FLOOR_VIOLATIONS: CounterCell = CounterCell::new();
/// Attempts at at-most-once requests that were already started.
pub static ONCE_DUPLICATES: CounterCell = CounterCell::new();
/// Rows of at-most-once requests removed after their retention time.
pub static ONCE_REMOVED: CounterCell = CounterCell::new();
/// Requests refused by rate limits.
pub static LIMITED: CounterCell = CounterCell::new();
/// Grants of tokens requested from the owners of rate limits.
pub static GRANTS_REQUESTED: CounterCell = CounterCell::new();
/// Load probes of upstreams before a dispatch.
pub static LOAD_PROBES: CounterCell = CounterCell::new();
/// Load probes that were not answered in time.
pub static LOAD_PROBES_UNANSWERED: CounterCell = CounterCell::new();
/// Reservations made in the queues of backend servers.
pub static RESERVATIONS: CounterCell = CounterCell::new();
/// Waiting requests that were offered a slot.
pub static SLOTS_OFFERED: CounterCell = CounterCell::new();
/// Waiting requests that ended without a slot offer.
pub static SLOTS_NOT_OFFERED: CounterCell = CounterCell::new();
/// Slot offers to which no request was sent in time.
pub static OFFERS_UNANSWERED: CounterCell = CounterCell::new();
/// Requests that wait at this ingress for a slot offer.
pub static WAITING_REQUESTS: GaugeCell = GaugeCell::new();
/// Times for which requests waited at their ingress for a slot offer.
pub static RESERVATION_WAIT_SECONDS: HistogramCell = HistogramCell::new();
/// Revision of the configuration in force.
pub static REVISION: GaugeCell = GaugeCell::new();
/// Revisions that were rejected because they were not later than the revision in force.
pub static OLD_REVISIONS: CounterCell = CounterCell::new();
/// Repeated announcements of the revision to a neighbour.
pub static REVISION_REANNOUNCED: CounterCell = CounterCell::new();
/// Checks whether the configuration in force is the newest.
pub static FRESHNESS_CHECKS: CounterCell = CounterCell::new();
/// Checks at the store whether the configuration in force is the newest.
pub static STORE_FRESHNESS_CHECKS: CounterCell = CounterCell::new();
/// Rows of the store that could not be read.
pub static ROWS_UNREADABLE: CounterCell = CounterCell::new();
/// Live daemons that this daemon knows.
pub static MEMBERS: GaugeCell = GaugeCell::new();
/// Services for which this ingress holds state from requests.
pub static SERVICES: GaugeCell = GaugeCell::new();
/// Open links to peers.
pub static LINKS: GaugeCell = GaugeCell::new();
/// Bytes sent to peers.
pub static PEER_BYTES_SENT: CounterCell = CounterCell::new();
/// Bytes received from peers.
pub static PEER_BYTES_RECEIVED: CounterCell = CounterCell::new();
/// Calls to the platform that failed.
pub static STORE_FAILURES: CounterCell = CounterCell::new();
/// Requests of callers that are in flight.
pub static IN_FLIGHT: GaugeCell = GaugeCell::new();
/// Open connections of callers.
pub static CALLER_CONNECTIONS: GaugeCell = GaugeCell::new();
/// Connections of callers that were closed to make room for others.
pub static CALLERS_EVICTED: GaugeCell = GaugeCell::new();
/// Bytes that are held for clients beyond those reckoned for each connection.
pub static CLIENT_BYTES: GaugeCell = GaugeCell::new();

/// Requests that were not logged from their start, because of the rate limit in the settings.
pub static REQUESTS_NOT_LOGGED: CounterCell = CounterCell::new();
/// Failed requests that were not logged, because of the separate rate limit for failures.
pub static FAILURES_NOT_LOGGED: CounterCell = CounterCell::new();
/// Log lines that were dropped because the queue to the log writer was full.
pub static LINES_DROPPED: CounterCell = CounterCell::new();

/// Times from the receipt of a request to its end, by route, service and outcome.
pub static REQUEST_SECONDS: HistogramCell = HistogramCell::new();
/// Times for which requests waited for a slot of a backend server, at the host of the server.
pub static SLOT_WAIT_SECONDS: HistogramCell = HistogramCell::new();
/// Times from sending a request to a backend server until the end of the attempt, by result.
pub static ATTEMPT_SECONDS: HistogramCell = HistogramCell::new();
/// Backend servers of this host by state.
pub static UPSTREAMS: [GaugeCell; UPSTREAM_STATES.len()] =
    [const { GaugeCell::new() }; UPSTREAM_STATES.len()];
/// Slots of the backend servers of this host.
pub static SLOTS: GaugeCell = GaugeCell::new();
/// Slots in use at the backend servers of this host.
pub static SLOTS_USED: GaugeCell = GaugeCell::new();
/// Requests that wait for a slot of the backend servers of this host.
pub static QUEUED: GaugeCell = GaugeCell::new();
/// Age of the configuration in force, in seconds.
pub static REVISION_AGE: GaugeCell = GaugeCell::new();
/// Lowest number of slots in service above the floor, of the services in use.
pub static FLOOR_SPARE: GaugeCell = GaugeCell::new();
/// Lowest number of retries left in the retry budget, of the services in use.
pub static RETRIES_LEFT: GaugeCell = GaugeCell::new();
/// Calls to the platform by result.
pub static STORE_CALLS: [GaugeCell; STORE_RESULTS.len()] =
    [const { GaugeCell::new() }; STORE_RESULTS.len()];
/// Names of the states of backend servers.
pub const UPSTREAM_STATES: [&str; 4] = ["in-service", "doubted", "ejected", "draining"];
/// Names of the results of calls to the platform.
pub const STORE_RESULTS: [&str; 3] = ["answered", "refused", "no-answer"];
/// Maximum number of routes with labels of their own; requests of all other routes are counted as
/// `other`.
const ROUTES_LABELLED_MAX: usize = 64;
/// Label of the routes beyond [`ROUTES_LABELLED_MAX`] and of their services.
const OTHER_LABEL: &str = "other";

/// `RouteLabels` bounds the number of routes that have labels of their own.
#[derive(Debug, Default)]
pub struct RouteLabels {
    routes: RefCell<FnvHashSet<Rc<str>>>,
}

impl RouteLabels {
    /// Records the time from the receipt of a request to its end.
    pub fn record(&self, route: &Rc<str>, service: &str, outcome: &str, duration: Duration) {
        let (route, service) =
            if self.has_label(route) { (&**route, service) } else { (OTHER_LABEL, OTHER_LABEL) };
        let labels = [("route", route), ("service", service), ("outcome", outcome)];
        REQUEST_SECONDS.record_as(duration, labels);
    }

    /// Returns whether a route has a label of its own: the first [`ROUTES_LABELLED_MAX`] routes get
    /// a label.
    fn has_label(&self, route: &Rc<str>) -> bool {
        let mut routes = self.routes.borrow_mut();
        if routes.contains(route) {
            return true;
        }
        let has_room = routes.len() < ROUTES_LABELLED_MAX;
        has_room && routes.insert(route.clone())
    }
}

/// Calls to the store for the rows of hosts.
pub static ROWS_CALLS: CounterCell = CounterCell::new();
/// Calls to the store that wait for a later document.
pub static DOCUMENT_CALLS: CounterCell = CounterCell::new();

/// Counts a failure outcome that was sent to a caller.
pub fn count_failure(outcome: FailureOutcome) {
    match outcome {
        FailureOutcome::NotRun(reason) => NOT_RUN[not_run_index(reason)].add_one(),
        FailureOutcome::Unknown(reason) => UNKNOWN[unknown_index(reason)].add_one(),
    }
}

fn not_run_index(reason: NotRunReason) -> usize {
    NOT_RUN_REASONS.iter().position(|listed| *listed == reason).unwrap_or(0)
}

fn unknown_index(reason: UnknownReason) -> usize {
    UNKNOWN_REASONS.iter().position(|listed| *listed == reason).unwrap_or(0)
}

fn counter(name: &'static str, help: &'static str, cell: &'static CounterCell) -> MetricEntry {
    MetricEntry { name, help, label: None, source: MetricSource::Counter(cell) }
}

fn histogram(name: &'static str, help: &'static str, cell: &'static HistogramCell) -> MetricEntry {
    MetricEntry { name, help, label: None, source: MetricSource::Histogram(cell) }
}

fn gauge(name: &'static str, help: &'static str, cell: &'static GaugeCell) -> MetricEntry {
    MetricEntry { name, help, label: None, source: MetricSource::Gauge(cell) }
}

/// Lists every metric of the daemon.
pub fn entries() -> Vec<MetricEntry> {
    let mut entries = vec![
        counter("requests", "Requests received from callers.", &REQUESTS),
        counter("complete", "Complete responses forwarded to callers.", &COMPLETE),
        counter("dispatches", "Dispatches to upstreams.", &DISPATCHES),
        counter("retries", "Dispatches after the first of a request.", &RETRIES),
        counter("retries_denied", "Retries that the retry budget did not allow.", &RETRIES_DENIED),
        counter(
            "poison_spared",
            "Dispatches that count against no upstream, as their requests failed at several.",
            &POISON_EXEMPTED,
        ),
        counter("worked", "Requests sent to backend servers.", &HOST_ATTEMPTS),
        counter(
            "surplus_answers",
            "Responses that belong to another request or to none, on a connection in use.",
            &SURPLUS_ANSWERS,
        ),
        counter(
            "refusals_not_believed",
            "Responses with a part of a refusal that did not count as one.",
            &REFUSALS_NOT_BELIEVED,
        ),
        counter("host_refused", "Requests refused by the host role.", &HOST_REFUSED),
        counter(
            "doubts",
            "Transitions of upstreams to doubted after a failure.",
            &BREAKER_OPENINGS,
        ),
        counter("returns", "Returns of ejected upstreams to service.", &RETURNS),
        histogram(
            "detection_seconds",
            "Times from the first sign of sickness to the ejection.",
            &DETECTION,
        ),
        histogram(
            "request_seconds",
            "Times from the receipt of a request to its end, by route, service and outcome.",
            &REQUEST_SECONDS,
        ),
        histogram(
            "slot_wait_seconds",
            "Times that requests waited for a slot.",
            &SLOT_WAIT_SECONDS,
        ),
        histogram(
            "work_seconds",
            "Times from sending a request to a backend server until its end, by result.",
            &ATTEMPT_SECONDS,
        ),
        counter(
            "floor_violations",
            "Decisions that left fewer slots than the floor; must be 0.",
            &FLOOR_VIOLATIONS,
        ),
        counter(
            "once_repeats",
            "Attempts at at-most-once requests already started.",
            &ONCE_DUPLICATES,
        ),
        counter("once_removed", "Expired rows of at-most-once requests removed.", &ONCE_REMOVED),
        counter("limited", "Requests refused by rate limits.", &LIMITED),
        counter("grants_asked", "Grants requested from owners of limits.", &GRANTS_REQUESTED),
        counter("looks", "Load probes of upstreams before a dispatch.", &LOAD_PROBES),
        counter(
            "looks_silent",
            "Load probes that were not answered in time.",
            &LOAD_PROBES_UNANSWERED,
        ),
        counter("places", "Reservations made in the queues of backend servers.", &RESERVATIONS),
        counter("called_in", "Waiting requests that were offered a slot.", &SLOTS_OFFERED),
        counter(
            "not_called_in",
            "Waiting requests that ended without a slot offer.",
            &SLOTS_NOT_OFFERED,
        ),
        counter(
            "calls_unanswered",
            "Slot offers to which no request was sent in time.",
            &OFFERS_UNANSWERED,
        ),
        gauge("waiting", "Requests that wait at this ingress for a slot offer.", &WAITING_REQUESTS),
        histogram(
            "place_wait_seconds",
            "Waiting times of requests at their ingress, by result.",
            &RESERVATION_WAIT_SECONDS,
        ),
        counter("old_revisions", "Older revisions that were rejected.", &OLD_REVISIONS),
        counter(
            "told_again",
            "Repeated announcements of the revision to a neighbour.",
            &REVISION_REANNOUNCED,
        ),
        counter(
            "configuration_questions",
            "Checks whether the configuration is the newest.",
            &FRESHNESS_CHECKS,
        ),
        counter(
            "store_questions",
            "Checks at the store whether the configuration is the newest.",
            &STORE_FRESHNESS_CHECKS,
        ),
        counter("rows_unreadable", "Rows of the store that could not be read.", &ROWS_UNREADABLE),
        counter("peer_bytes_sent", "Bytes sent to peers.", &PEER_BYTES_SENT),
        counter("peer_bytes_received", "Bytes received from peers.", &PEER_BYTES_RECEIVED),
        counter("store_failures", "Calls to the platform that failed.", &STORE_FAILURES),
        counter(
            "requests_not_logged",
            "Requests not logged from their start, because of the rate limit in the settings.",
            &REQUESTS_NOT_LOGGED,
        ),
        counter(
            "failures_not_logged",
            "Failed requests not logged, because of the separate rate limit for failures.",
            &FAILURES_NOT_LOGGED,
        ),
        counter("log_lines_dropped", "Log lines that were dropped.", &LINES_DROPPED),
        counter("rows_calls", "Calls to the platform for the rows of hosts.", &ROWS_CALLS),
        counter(
            "document_calls",
            "Calls to the platform that wait for a later document.",
            &DOCUMENT_CALLS,
        ),
        gauge("revision", "Revision in force.", &REVISION),
        gauge("revision_age_seconds", "Age of the configuration in force.", &REVISION_AGE),
        gauge("slots", "Slots of the backend servers of this host.", &SLOTS),
        gauge("slots_used", "Slots in use.", &SLOTS_USED),
        gauge("queued", "Requests that wait for a slot.", &QUEUED),
        gauge(
            "floor_spare_slots",
            "Lowest number of slots in service above the floor, of the services in use.",
            &FLOOR_SPARE,
        ),
        gauge(
            "retries_left",
            "Lowest number of retries left in the retry budget, of the services in use.",
            &RETRIES_LEFT,
        ),
        counter("wakes", "Resumes of the host from a suspend.", &RESUMES),
        gauge(
            "requests_refused",
            "Distinct requests that are refused because they crash backend servers.",
            &REQUESTS_REFUSED,
        ),
        gauge("members", "Known live members.", &MEMBERS),
        gauge("services", "Services for which this ingress holds state from requests.", &SERVICES),
        gauge("links", "Open links to peers.", &LINKS),
        gauge("in_flight", "Requests in flight from callers.", &IN_FLIGHT),
        gauge("caller_connections", "Callers' connections.", &CALLER_CONNECTIONS),
        gauge(
            "callers_evicted",
            "Callers' connections closed to make room for others, since the start.",
            &CALLERS_EVICTED,
        ),
        gauge(
            "client_bytes",
            "Bytes held for clients beyond those reckoned for each connection.",
            &CLIENT_BYTES,
        ),
    ];
    for (state, cell) in UPSTREAM_STATES.iter().zip(&UPSTREAMS) {
        entries.push(MetricEntry {
            label: Some(("state", state)),
            ..gauge("upstreams", "Backend servers of this host by state.", cell)
        });
    }
    for (result, cell) in STORE_RESULTS.iter().zip(&STORE_CALLS) {
        entries.push(MetricEntry {
            label: Some(("result", result)),
            ..gauge("store_calls", "Calls to the platform since the start, by result.", cell)
        });
    }
    for (reason, cell) in NOT_RUN_REASONS.iter().zip(&NOT_RUN) {
        entries.push(MetricEntry {
            label: Some(("reason", reason.name())),
            ..counter("not_run", "Requests refused as not run.", cell)
        });
    }
    for (reason, cell) in UNKNOWN_REASONS.iter().zip(&UNKNOWN) {
        entries.push(MetricEntry {
            label: Some(("reason", reason.name())),
            ..counter("unknown", "Requests with unknown outcome.", cell)
        });
    }
    for (kind, cell) in EVIDENCE_KINDS.iter().zip(&EJECTIONS) {
        entries.push(MetricEntry {
            label: Some(("evidence", kind.name())),
            ..counter("ejections", "Ejections of upstreams.", cell)
        });
    }
    entries
}
