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

/// Requests taken from callers.
pub static REQUESTS: CounterCell = CounterCell::new();
/// Complete answers passed on to callers.
pub static COMPLETE: CounterCell = CounterCell::new();
/// Refusals by reason.
pub static NOT_RUN: [CounterCell; NOT_RUN_REASONS.len()] =
    [const { CounterCell::new() }; NOT_RUN_REASONS.len()];
/// Unknown outcomes by reason.
pub static UNKNOWN: [CounterCell; UNKNOWN_REASONS.len()] =
    [const { CounterCell::new() }; UNKNOWN_REASONS.len()];
/// Dispatches to upstreams.
pub static DISPATCHES: CounterCell = CounterCell::new();
/// Dispatches after the first of a request.
pub static RETRIES: CounterCell = CounterCell::new();
/// Repeats that the budget did not allow.
pub static RETRIES_DENIED: CounterCell = CounterCell::new();
/// Times that the host woke from a suspension.
pub static WAKES: CounterCell = CounterCell::new();
/// Requests that are refused as they crash backend servers.
pub static REQUESTS_REFUSED: GaugeCell = GaugeCell::new();
/// Dispatches of requests that lately failed at several upstreams.
pub static POISON_SPARED: CounterCell = CounterCell::new();
/// Work sent to backend servers.
pub static WORKED: CounterCell = CounterCell::new();
/// Answers to earlier requests that came late on a connection in use.
pub static SURPLUS_ANSWERS: CounterCell = CounterCell::new();
/// Work refused by the host role.
pub static HOST_REFUSED: CounterCell = CounterCell::new();
/// Ejections by reason.
pub static EJECTIONS: [CounterCell; EVIDENCE_KINDS.len()] =
    [const { CounterCell::new() }; EVIDENCE_KINDS.len()];
/// Times that an upstream was doubted after a failure.
pub static DOUBTS: CounterCell = CounterCell::new();
/// Returns of ejected upstreams.
pub static RETURNS: CounterCell = CounterCell::new();
/// Times from the first sign of a sickness to the ejection, in seconds.
pub static DETECTION: HistogramCell = HistogramCell::new();
/// Decisions that left less than the floor; must stay 0.
pub static FLOOR_VIOLATIONS: CounterCell = CounterCell::new();
/// Rows of once-only work that were refused as already started.
pub static ONCE_REPEATS: CounterCell = CounterCell::new();
/// Rows of once-only work removed as old.
pub static ONCE_REMOVED: CounterCell = CounterCell::new();
/// Requests refused by limits.
pub static LIMITED: CounterCell = CounterCell::new();
/// Grants asked from homes of limits.
pub static GRANTS_ASKED: CounterCell = CounterCell::new();
/// Looks at upstreams before work was sent.
pub static LOOKS: CounterCell = CounterCell::new();
/// Looks that were not answered in time.
pub static LOOKS_SILENT: CounterCell = CounterCell::new();
/// Places that waiting work asked for before slots of backend servers.
pub static PLACES: CounterCell = CounterCell::new();
/// Waiting work that a host called in.
pub static CALLED_IN: CounterCell = CounterCell::new();
/// Waiting work that nobody called in.
pub static NOT_CALLED_IN: CounterCell = CounterCell::new();
/// Times that work did not come when it was called in.
pub static CALLS_UNANSWERED: CounterCell = CounterCell::new();
/// Work that waits at this ingress.
pub static WAITING: GaugeCell = GaugeCell::new();
/// Times that work waited at its ingress.
pub static PLACE_WAIT_SECONDS: HistogramCell = HistogramCell::new();
/// Revision in force.
pub static REVISION: GaugeCell = GaugeCell::new();
/// Older revisions that were refused.
pub static OLD_REVISIONS: CounterCell = CounterCell::new();
/// Times that a neighbour was told of the revision again.
pub static TOLD_AGAIN: CounterCell = CounterCell::new();
/// Questions whether the configuration is the newest.
pub static CONFIG_QUESTIONS: CounterCell = CounterCell::new();
/// Those of them that this daemon asked the store.
pub static STORE_QUESTIONS: CounterCell = CounterCell::new();
/// Rows of the store that could not be read.
pub static ROWS_UNREADABLE: CounterCell = CounterCell::new();
/// Live members known.
pub static MEMBERS: GaugeCell = GaugeCell::new();
/// Services that this ingress has learnt of from requests.
pub static SERVICES: GaugeCell = GaugeCell::new();
/// Open links to peers.
pub static LINKS: GaugeCell = GaugeCell::new();
/// Bytes sent to peers.
pub static PEER_BYTES_SENT: CounterCell = CounterCell::new();
/// Bytes received from peers.
pub static PEER_BYTES_RECEIVED: CounterCell = CounterCell::new();
/// Calls to the platform that failed.
pub static STORE_FAILURES: CounterCell = CounterCell::new();
/// Requests in flight from callers.
pub static IN_FLIGHT: GaugeCell = GaugeCell::new();
/// Callers' connections.
pub static CALLER_CONNECTIONS: GaugeCell = GaugeCell::new();

/// Requests that were not logged from their start, as the settings allow no more.
pub static REQUESTS_NOT_LOGGED: CounterCell = CounterCell::new();
/// Failed requests that were not logged even so.
pub static FAILURES_NOT_LOGGED: CounterCell = CounterCell::new();
/// Lines of the log that were dropped.
pub static LINES_DROPPED: CounterCell = CounterCell::new();

/// Times from taking a request in until its end, by route, service and outcome.
pub static REQUEST_SECONDS: HistogramCell = HistogramCell::new();
/// Times that work waited for a slot.
pub static WAIT_SECONDS: HistogramCell = HistogramCell::new();
/// Times from sending work to a backend server until its end.
pub static WORK_SECONDS: HistogramCell = HistogramCell::new();
/// Backend servers of this host by state.
pub static UPSTREAMS: [GaugeCell; UPSTREAM_STATES.len()] =
    [const { GaugeCell::new() }; UPSTREAM_STATES.len()];
/// Slots of the backend servers of this host.
pub static SLOTS: GaugeCell = GaugeCell::new();
/// Slots in use.
pub static SLOTS_USED: GaugeCell = GaugeCell::new();
/// Requests that wait for a slot.
pub static QUEUED: GaugeCell = GaugeCell::new();
/// Age of the configuration in force, in seconds.
pub static REVISION_AGE: GaugeCell = GaugeCell::new();
/// Least slots over the floor of any service in use.
pub static FLOOR_SPARE: GaugeCell = GaugeCell::new();
/// Least repeats left in the budget of any service in use.
pub static RETRIES_LEFT: GaugeCell = GaugeCell::new();
/// Calls to the platform by result.
pub static STORE_CALLS: [GaugeCell; STORE_RESULTS.len()] =
    [const { GaugeCell::new() }; STORE_RESULTS.len()];
/// Names of the states of backend servers.
pub const UPSTREAM_STATES: [&str; 4] = ["in-service", "doubted", "ejected", "draining"];
/// Names of the results of calls to the platform.
pub const STORE_RESULTS: [&str; 3] = ["answered", "refused", "no-answer"];
/// Routes that have labels of their own; requests of all others are counted as `other`.
const ROUTES_LABELLED_MAX: usize = 64;
/// Label of routes and services beyond that.
const OTHER_LABEL: &str = "other";

/// `RouteLabels` bounds the routes that have labels of their own.
#[derive(Debug, Default)]
pub struct RouteLabels {
    routes: RefCell<FnvHashSet<Rc<str>>>,
}

impl RouteLabels {
    /// Takes in how long a request took until its end.
    pub fn record(&self, route: &Rc<str>, service: &str, outcome: &str, took: Duration) {
        let (route, service) =
            if self.has(route) { (&**route, service) } else { (OTHER_LABEL, OTHER_LABEL) };
        let labels = [("route", route), ("service", service), ("outcome", outcome)];
        REQUEST_SECONDS.record_as(took, labels);
    }

    /// Says whether a route has a label; the first routes that are asked for get one.
    fn has(&self, route: &Rc<str>) -> bool {
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

/// Counts a failure outcome told to a caller.
pub fn count_failure(outcome: FailureOutcome) {
    match outcome {
        FailureOutcome::NotRun(reason) => NOT_RUN[not_run_index(reason)].add_one(),
        FailureOutcome::Unknown(reason) => UNKNOWN[unknown_index(reason)].add_one(),
    }
}

fn not_run_index(reason: NotRunReason) -> usize {
    NOT_RUN_REASONS.iter().position(|each| *each == reason).unwrap_or(0)
}

fn unknown_index(reason: UnknownReason) -> usize {
    UNKNOWN_REASONS.iter().position(|each| *each == reason).unwrap_or(0)
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
        counter("requests", "Requests taken from callers.", &REQUESTS),
        counter("complete", "Complete answers passed on to callers.", &COMPLETE),
        counter("dispatches", "Dispatches to upstreams.", &DISPATCHES),
        counter("retries", "Dispatches after the first of a request.", &RETRIES),
        counter("retries_denied", "Repeats that the budget did not allow.", &RETRIES_DENIED),
        counter(
            "poison_spared",
            "Dispatches of requests that lately failed at several upstreams, whose failures count against none.",
            &POISON_SPARED,
        ),
        counter("worked", "Work sent to backend servers.", &WORKED),
        counter(
            "surplus_answers",
            "Answers to earlier requests that came late on a connection in use.",
            &SURPLUS_ANSWERS,
        ),
        counter("host_refused", "Work refused by the host role.", &HOST_REFUSED),
        counter("doubts", "Times that an upstream was doubted after a failure.", &DOUBTS),
        counter("returns", "Returns of ejected upstreams.", &RETURNS),
        histogram(
            "detection_seconds",
            "Times from the first sign of a sickness to the ejection.",
            &DETECTION,
        ),
        histogram(
            "request_seconds",
            "Times from taking a request in until its end, by route, service and outcome.",
            &REQUEST_SECONDS,
        ),
        histogram("slot_wait_seconds", "Times that work waited for a slot.", &WAIT_SECONDS),
        histogram(
            "work_seconds",
            "Times from sending work to a backend server until its end, by result.",
            &WORK_SECONDS,
        ),
        counter("floor_violations", "Decisions below the floor; must be 0.", &FLOOR_VIOLATIONS),
        counter("once_repeats", "Attempts at once-only work already started.", &ONCE_REPEATS),
        counter("once_removed", "Old rows of once-only work removed.", &ONCE_REMOVED),
        counter("limited", "Requests refused by limits.", &LIMITED),
        counter("grants_asked", "Grants asked from homes of limits.", &GRANTS_ASKED),
        counter("looks", "Looks at upstreams before work was sent.", &LOOKS),
        counter("looks_silent", "Looks that were not answered in time.", &LOOKS_SILENT),
        counter(
            "places",
            "Places that waiting work asked for before slots of backend servers.",
            &PLACES,
        ),
        counter("called_in", "Waiting work that a host called in.", &CALLED_IN),
        counter("not_called_in", "Waiting work that nobody called in.", &NOT_CALLED_IN),
        counter(
            "calls_unanswered",
            "Times that work did not come when it was called in.",
            &CALLS_UNANSWERED,
        ),
        gauge("waiting", "Work that waits at this ingress.", &WAITING),
        histogram(
            "place_wait_seconds",
            "Times that work waited at its ingress, by result.",
            &PLACE_WAIT_SECONDS,
        ),
        counter("old_revisions", "Older revisions that were refused.", &OLD_REVISIONS),
        counter("told_again", "Times that a neighbour was told of the revision again.", &TOLD_AGAIN),
        counter(
            "configuration_questions",
            "Questions whether the configuration is the newest.",
            &CONFIG_QUESTIONS,
        ),
        counter(
            "store_questions",
            "Questions to the store whether the configuration is the newest.",
            &STORE_QUESTIONS,
        ),
        counter("rows_unreadable", "Rows of the store that could not be read.", &ROWS_UNREADABLE),
        counter("peer_bytes_sent", "Bytes sent to peers.", &PEER_BYTES_SENT),
        counter("peer_bytes_received", "Bytes received from peers.", &PEER_BYTES_RECEIVED),
        counter("store_failures", "Calls to the platform that failed.", &STORE_FAILURES),
        counter(
            "requests_not_logged",
            "Requests that were not logged from their start, as the settings allow no more.",
            &REQUESTS_NOT_LOGGED,
        ),
        counter(
            "failures_not_logged",
            "Failed requests that were not logged even so.",
            &FAILURES_NOT_LOGGED,
        ),
        counter("log_lines_dropped", "Lines of the log that were dropped.", &LINES_DROPPED),
        counter("rows_calls", "Calls to the platform for the rows of hosts.", &ROWS_CALLS),
        gauge("revision", "Revision in force.", &REVISION),
        gauge("revision_age_seconds", "Age of the configuration in force.", &REVISION_AGE),
        gauge("slots", "Slots of the backend servers of this host.", &SLOTS),
        gauge("slots_used", "Slots in use.", &SLOTS_USED),
        gauge("queued", "Requests that wait for a slot.", &QUEUED),
        gauge(
            "floor_spare_slots",
            "Least slots in service over the floor, of the services in use.",
            &FLOOR_SPARE,
        ),
        gauge(
            "retries_left",
            "Least repeats left in the retry budget, of the services in use.",
            &RETRIES_LEFT,
        ),
        counter("wakes", "Times that the host woke from a suspension.", &WAKES),
        gauge(
            "requests_refused",
            "Different requests that are refused as they crash backend servers.",
            &REQUESTS_REFUSED,
        ),
        gauge("members", "Live members known.", &MEMBERS),
        gauge("services", "Services learnt of from requests.", &SERVICES),
        gauge("links", "Open links to peers.", &LINKS),
        gauge("in_flight", "Requests in flight from callers.", &IN_FLIGHT),
        gauge("caller_connections", "Callers' connections.", &CALLER_CONNECTIONS),
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
