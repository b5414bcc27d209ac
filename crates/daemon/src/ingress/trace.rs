// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Traces requests at the ingress: logs or buffers the steps of each request.
//!
//! Up to a configured number of requests a second are logged in full: each line is written when its
//! step happens, at the ingress and at the hosts that run the request. For the other requests, the
//! steps are buffered, a few dozen bytes each, and written only if the request fails, within a
//! separate rate limit for failures.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::outcome::FailureOutcome;
use basaltarch_decide::balance::UpstreamChoice;
use basaltarch_decide::limits::TokenBucket;
use basaltarch_events::process;
use basaltarch_events::requests::{
    AnswerCut, AttemptEnded, CallerGone, RequestAnswered, RequestFailed, RequestGivenUp,
    RequestReceived, RequestRejected, SlotAwaited, UpstreamChosen,
};
use basaltarch_events::servers::RefusedTried;
use basaltarch_http::errors::HttpError;
use basaltarch_peer::protocol::LoadReport;
use basaltarch_telemetry::logs;

use crate::ingress::failure::CallerFailure;
use crate::ingress::request::CallerRequest;
use crate::state::DaemonState;
use crate::wire;

/// Time between log lines that report how many requests and lines were not logged.
const LOSS_REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// Largest number of buffered steps of one request: enough for all its attempts and declines.
const STEPS_MAX: usize = 32;

/// `LogBudget` limits how many requests are logged.
pub struct LogBudget {
    requests: RefCell<TokenBucket>,
    failures: RefCell<TokenBucket>,
    skipped: Cell<u64>,
    skipped_failures: Cell<u64>,
}

impl LogBudget {
    /// Builds a budget of `requests` a second that are logged from their start, and `failures` a
    /// second that are logged only because the requests fail.
    pub fn new(requests: u32, failures: u32) -> Self {
        let bucket = |rate: u32| {
            let rate = f64::from(rate);
            RefCell::new(TokenBucket::new(rate, rate, Duration::ZERO))
        };
        Self {
            requests: bucket(requests),
            failures: bucket(failures),
            skipped: Cell::new(0),
            skipped_failures: Cell::new(0),
        }
    }

    /// Changes the rate of requests logged from their start, and the rate of logged failures, both
    /// in requests a second.
    pub fn set(&self, requests: u32, failures: u32, now: Duration) {
        let (requests, failures) = (f64::from(requests), f64::from(failures));
        self.requests.borrow_mut().set_rate(requests, requests, now);
        self.failures.borrow_mut().set_rate(failures, failures, now);
    }

    /// Returns whether a new request is logged from its start; otherwise counts the request as
    /// skipped.
    fn takes_request(&self, now: Duration) -> bool {
        let is_within_limit = self.requests.borrow_mut().take(now);
        if !is_within_limit {
            self.skipped.set(self.skipped.get() + 1);
            metrics::REQUESTS_NOT_LOGGED.add_one();
        }
        is_within_limit
    }

    /// Returns whether a failed request that was not logged from its start is logged now; otherwise
    /// counts the failure as skipped.
    pub fn takes_failure(&self, now: Duration) -> bool {
        let is_within_limit = self.failures.borrow_mut().take(now);
        if !is_within_limit {
            self.skipped_failures.set(self.skipped_failures.get() + 1);
            metrics::FAILURES_NOT_LOGGED.add_one();
        }
        is_within_limit
    }

    /// Returns how many requests, and how many failures among them, were not logged since the last
    /// call of this function.
    pub fn take_skipped(&self) -> SkippedRequests {
        SkippedRequests { all: self.skipped.take(), failed: self.skipped_failures.take() }
    }
}

/// `SkippedRequests` counts requests that were not logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SkippedRequests {
    /// Requests that were not logged from their start.
    pub all: u64,
    /// Failed requests that were not logged at all.
    pub failed: u64,
}

/// Reports periodically how many requests and lines were not logged; never returns.
pub async fn report_losses(state: Rc<DaemonState>) {
    loop {
        monoio::time::sleep(LOSS_REPORT_INTERVAL).await;
        let skipped = state.log_budget.take_skipped();
        if skipped.all > 0 || skipped.failed > 0 {
            process::RequestsSkipped { requests: skipped.all, failed: skipped.failed }.log();
        }
        let lines = logs::dropped_lines().saturating_sub(metrics::LINES_DROPPED.get());
        if lines > 0 {
            metrics::LINES_DROPPED.add(lines);
            process::LinesDropped { lines }.log();
        }
    }
}

/// `RequestTrace` is the trace of one request.
pub struct RequestTrace {
    /// Id of the request.
    pub id: String,
    /// Whether the log line of each step is written when the step happens.
    pub is_logged: bool,
    /// Number of attempts that were made, including declined attempts.
    pub attempts: Cell<u64>,
    began: Duration,
    steps: RefCell<Vec<TimedStep>>,
}

/// `TimedStep` is a step and the time at which the step happened, since the daemon's start.
#[derive(Debug, Clone, Copy)]
struct TimedStep {
    at: Duration,
    step: TraceStep,
}

/// `TraceStep` is one step in the trace of a request.
#[derive(Debug, Clone, Copy)]
pub enum TraceStep {
    /// An upstream was chosen for an attempt.
    Chosen {
        /// Number of the attempt.
        attempt: usize,
        /// The choice.
        choice: UpstreamChoice,
        /// Whether the upstream's daemon may decline the request.
        passable: bool,
    },
    /// The request waited at this ingress for a slot.
    Awaited {
        /// Number of the attempt that the slot was for.
        attempt: usize,
        /// Start of the wait, as time since the daemon's start.
        began: Duration,
        /// Number of hosts that were asked for a reservation.
        hosts_asked: usize,
        /// Why no host offered a slot, if none did.
        failure: Option<FailureOutcome>,
    },
    /// An attempt ended.
    Ended {
        /// Number of the attempt.
        attempt: usize,
        /// Position of the upstream in its service.
        index: usize,
        /// How the attempt ended.
        end: StepEnd,
        /// Start of the attempt, as time since the daemon's start.
        began: Duration,
        /// Load that the upstream's daemon reported with the end of the attempt.
        load: Option<StepLoad>,
        /// What follows the attempt.
        next: NextStep,
    },
}

/// `StepEnd` is how an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepEnd {
    /// The attempt ended with the head of an answer of this status.
    Answered(u16),
    /// The attempt is slow. The attempt continues, and a hedge is sent beside the attempt.
    Hedged,
    /// The attempt ended without an answer.
    Failed(FailureOutcome),
    /// The caller disconnected.
    CallerGone,
}

/// `StepLoad` is the part of a load report that helps to explain the choice of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct StepLoad {
    in_flight: u64,
    queued: u64,
    sickness: f64,
}

impl StepLoad {
    /// Extracts the logged part of a load report.
    pub fn of(report: &LoadReport) -> Self {
        Self {
            in_flight: report.in_flight.max(0) as u64,
            queued: report.queued.max(0) as u64,
            sickness: wire::load_and_health(report).1.sickness,
        }
    }
}

/// `NextStep` is what follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The answer goes to the caller.
    Answer,
    /// Another attempt is made and charged to the retry budget.
    Retry,
    /// Another upstream is tried without a charge to the retry budget.
    Elsewhere,
    /// No further attempt is made.
    End,
}

impl StepEnd {
    /// Returns the outcome and the status of the attempt, in the form in which both are logged.
    fn logged_outcome(self) -> (&'static str, Option<u64>) {
        match self {
            Self::Answered(status) => ("answered", Some(status.into())),
            Self::Hedged => ("late", None),
            Self::Failed(outcome) => (outcome.reason(), None),
            Self::CallerGone => ("caller-gone", None),
        }
    }
}

impl NextStep {
    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Retry => "repeat",
            Self::Elsewhere => "elsewhere",
            Self::End => "end",
        }
    }
}

impl RequestTrace {
    /// Starts the trace of a request that was just admitted.
    pub fn start(state: &DaemonState, id: String) -> Self {
        let now = state.now();
        let is_logged = state.log_budget.takes_request(now);
        let (attempts, steps) = (Cell::new(0), RefCell::default());
        Self { id, is_logged, attempts, began: now, steps }
    }

    fn at_ms(&self, at: Duration) -> u64 {
        millis(at.saturating_sub(self.began))
    }
}

/// Logs that a request was admitted.
pub fn log_received(state: &DaemonState, request: &CallerRequest) {
    if request.trace.is_logged {
        write_received(state, request);
    }
}

fn write_received(state: &DaemonState, request: &CallerRequest) {
    let trace = &request.trace;
    let millis_until = |at: Duration| millis(at.saturating_sub(trace.began));
    RequestReceived {
        request: &trace.id,
        method: request.method.as_str(),
        fingerprint: &request.fingerprint(state).to_string(),
        route: &request.route.name,
        service: &request.service.entry.name,
        deadline_ms: millis_until(request.deadline),
        objective_ms: request.objective.map(millis_until),
        revision: state.config.revision().0,
    }
    .log();
}

/// Logs a request that was refused before an upstream was chosen.
pub fn log_rejected(state: &DaemonState, id: &str, failure: &CallerFailure) {
    if !state.log_budget.takes_failure(state.now()) {
        return;
    }
    let now = state.now();
    let known = state.freshness.known();
    RequestRejected {
        request: id,
        reason: failure.outcome.reason(),
        status: failure.status.as_u16().into(),
        cause: &failure.message,
        revision: state.config.revision().0,
        in_force_ms: now.saturating_sub(state.config.since()).as_millis() as u64,
        fresh_ms: known.age(now).map(|age| age.as_millis() as u64),
        fresh_from: known.confirmation().map(|confirmation| confirmation.source.name()),
    }
    .log();
}

/// Logs a step of a request, or buffers the step if the request is not logged from its start.
pub fn note_step(state: &DaemonState, request: &CallerRequest, step: TraceStep) {
    let step = TimedStep { at: state.now(), step };
    if request.trace.is_logged {
        return write_step(request, &step);
    }
    let mut steps = request.trace.steps.borrow_mut();
    if steps.len() < STEPS_MAX {
        steps.push(step);
    }
}

fn write_step(request: &CallerRequest, timed: &TimedStep) {
    match timed.step {
        TraceStep::Chosen { attempt, choice, passable } => {
            write_chosen(request, timed.at, attempt, &choice, passable);
        }
        TraceStep::Awaited { attempt, began, hosts_asked, failure } => SlotAwaited {
            request: &request.trace.id,
            at_ms: request.trace.at_ms(timed.at),
            attempt: attempt as u64,
            waited_ms: millis(timed.at.saturating_sub(began)),
            places: hosts_asked as u64,
            end: failure.map_or("called-in", |outcome| outcome.reason()),
        }
        .log(),
        TraceStep::Ended { attempt, index, end, began, load, next } => {
            let (outcome, status) = end.logged_outcome();
            AttemptEnded {
                request: &request.trace.id,
                at_ms: request.trace.at_ms(timed.at),
                attempt: attempt as u64,
                upstream: &request.service.entry.upstreams[index].name,
                outcome,
                status,
                took_ms: millis(timed.at.saturating_sub(began)),
                in_flight: load.map(|load| load.in_flight),
                queued: load.map(|load| load.queued),
                sickness: load.map(|load| load.sickness),
                next: next.name(),
            }
            .log();
        }
    }
}

fn write_chosen(
    request: &CallerRequest,
    at: Duration,
    attempt: usize,
    choice: &UpstreamChoice,
    passable: bool,
) {
    let upstreams = &request.service.entry.upstreams;
    let chosen_upstream = &upstreams[choice.index];
    UpstreamChosen {
        request: &request.trace.id,
        at_ms: request.trace.at_ms(at),
        attempt: attempt as u64,
        upstream: &chosen_upstream.name,
        host: &chosen_upstream.server.host,
        ground: choice.ground.name(),
        cost: choice.cost,
        rival: choice.rival.map(|rival| &*upstreams[rival.index].name),
        rival_cost: choice.rival.map(|rival| rival.cost),
        eligible: choice.eligible as u64,
        report_age_ms: choice.report_age.map(millis),
        refusable: choice.refusable,
        passable,
    }
    .log();
}

/// Logs that the caller got a complete answer. If the answer is a server error, the buffered steps
/// are logged first.
pub fn log_answered(state: &DaemonState, request: &CallerRequest, status: u16) {
    let should_log = if wire::is_server_error(status) {
        write_buffered_steps(state, request)
    } else {
        request.trace.is_logged
    };
    if !should_log {
        return;
    }
    let now = state.now();
    RequestAnswered {
        request: &request.trace.id,
        at_ms: request.trace.at_ms(now),
        route: &request.route.name,
        status: status.into(),
        attempts: request.trace.attempts.get(),
        late: request.objective.is_some_and(|objective| now > objective),
    }
    .log();
}

/// Logs the buffered steps and that the caller got no answer from a backend server.
pub fn log_failed(state: &DaemonState, request: &CallerRequest, failure: &CallerFailure) {
    if !write_buffered_steps(state, request) {
        return;
    }
    let now = state.now();
    RequestFailed {
        request: &request.trace.id,
        at_ms: request.trace.at_ms(now),
        route: &request.route.name,
        service: &request.service.entry.name,
        outcome: failure.outcome.header_value(),
        reason: failure.outcome.reason(),
        status: failure.status.as_u16().into(),
        left_ms: millis(request.deadline.saturating_sub(now)),
        retry_after_ms: failure.retry_after.map(millis),
        failed_servers: request.failed_servers(now) as u64,
        attempts: request.trace.attempts.get(),
        revision: state.config.revision().0,
    }
    .log();
}

/// Logs that a request whose copies are refused fleet-wide is sent as a trial.
pub fn log_trial(state: &DaemonState, request: &CallerRequest) {
    let fingerprint = &request.fingerprint(state).to_string();
    RefusedTried { request: &request.trace.id, fingerprint }.log();
}

/// Logs that the daemon stops before the request was answered.
pub fn log_given_up(state: &DaemonState, request: &CallerRequest) {
    let trace = &request.trace;
    RequestGivenUp {
        request: &trace.id,
        at_ms: trace.at_ms(state.now()),
        route: &request.route.name,
        came_ms: state.stop.asked_at().map_or(0, |asked| millis(trace.began.saturating_sub(asked))),
    }
    .log();
}

/// Logs that the caller disconnected.
pub fn log_caller_gone(state: &DaemonState, request: &CallerRequest) {
    if !write_buffered_steps(state, request) {
        return;
    }
    CallerGone {
        request: &request.trace.id,
        at_ms: request.trace.at_ms(state.now()),
        route: &request.route.name,
        attempts: request.trace.attempts.get(),
    }
    .log();
}

/// Logs that the answer was cut short on its way to the caller.
pub fn log_cut(state: &DaemonState, request: &CallerRequest, error: &HttpError) {
    if !write_buffered_steps(state, request) {
        return;
    }
    AnswerCut {
        request: &request.trace.id,
        at_ms: request.trace.at_ms(state.now()),
        route: &request.route.name,
        error: &error.to_string(),
    }
    .log();
}

/// Writes the buffered steps of a request that did not succeed; returns whether the end of the
/// request is to be logged too.
fn write_buffered_steps(state: &DaemonState, request: &CallerRequest) -> bool {
    if request.trace.is_logged {
        return true;
    }
    if !state.log_budget.takes_failure(state.now()) {
        return false;
    }
    write_received(state, request);
    for step in request.trace.steps.borrow().iter() {
        write_step(request, step);
    }
    true
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
