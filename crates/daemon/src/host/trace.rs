// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Writes the log lines of one attempt at the host role.
//!
//! The ingress decides whether a request is logged from its start. The host logs the attempts at a
//! request that is logged from its start. An attempt that failed at the backend server is logged in
//! any case, within the limit on logged failures.

use std::time::Duration;

use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkMode;
use basaltarch_decide::health::HealthReport;
use basaltarch_events::requests::{
    ServerRefused, SurplusDropped, WorkBroke, WorkEnded, WorkRefused, WorkStarted,
};
use basaltarch_http::fields;
use basaltarch_peer::protocol::DispatchHead;
use http::response;

use crate::host::exchange::HostAttempt;
use crate::host::fault::AttemptFault;
use crate::host::progress::AttemptProgress;
use crate::host::verify::{ResponseBinding, ResponseOrigin};
use crate::state::DaemonState;
use crate::wire;

/// Returns the id of the request, as the ingress logs it.
pub fn request_id(state: &DaemonState, head: &DispatchHead) -> String {
    let default_name = fields::REQUEST_ID;
    let name = state.fields.request.as_ref().unwrap_or(&default_name);
    let id = wire::field_value(&head.field_lines, name.as_str());
    id.map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default()
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

impl HostAttempt<'_> {
    fn is_logged(&self) -> bool {
        self.head.logged == Some(true)
    }

    fn attempt_number(&self) -> u64 {
        self.head.attempt.max(0) as u64
    }

    fn health_report(&self) -> HealthReport {
        self.upstream.health.borrow().report(&self.head.route, self.state.now())
    }

    /// Logs that the request is sent to the backend server after it `waited`, over a connection that
    /// had been idle for `idle_time`, or over a new connection.
    pub fn log_started(&self, waited: Duration, idle_time: Option<Duration>) {
        if !self.is_logged() {
            return;
        }
        WorkStarted {
            request: &request_id(self.state, self.head),
            upstream: &self.upstream.name,
            attempt: self.attempt_number(),
            waited_ms: millis(waited),
            service: &self.upstream.service,
            in_flight: self.upstream.slots.used().into(),
            slots: self.upstream.slots.slots().into(),
            queued: self.upstream.slots.queued().into(),
            trial: self.is_trial(),
            sickness: self.health_report().sickness,
            left_ms: millis(self.time_left()),
            idle_ms: idle_time.map(millis),
            body_bytes: self.head.body.len() as u64,
            body_whole: self.head.last,
            declared_bytes: u64::try_from(self.head.content_length).ok(),
        }
        .log();
    }

    /// Logs that the request is refused and that no part of the request was sent to the backend
    /// server.
    pub fn log_refused(&self, reason: NotRunReason) {
        if !self.is_logged() {
            return;
        }
        let health_report = self.health_report();
        WorkRefused {
            request: &request_id(self.state, self.head),
            upstream: &self.upstream.name,
            attempt: self.attempt_number(),
            reason: reason.name(),
            service: &self.upstream.service,
            in_flight: self.upstream.slots.used().into(),
            slots: self.upstream.slots.slots().into(),
            queued: self.upstream.slots.queued().into(),
            sickness: health_report.sickness,
            left_ms: millis(self.time_left()),
            ejected: health_report.ejected,
            trial_in_ms: millis(health_report.trial_in),
        }
        .log();
    }

    /// Logs that the backend server responded, and whether the connection is `kept`.
    pub fn log_ended(&self, progress: &AttemptProgress, kept: bool) {
        if !self.is_logged() {
            return;
        }
        WorkEnded {
            request: &request_id(self.state, self.head),
            upstream: &self.upstream.name,
            attempt: self.attempt_number(),
            service: &self.upstream.service,
            took_ms: millis(progress.elapsed()),
            in_flight: self.upstream.slots.used().into(),
            slots: self.upstream.slots.slots().into(),
            overdue: progress.was_overdue.get(),
            sent: progress.exchange.request().name(),
            kept,
        }
        .log();
    }

    /// Logs that no usable response arrived from the backend server.
    pub fn log_failed(&self, fault: AttemptFault, crashed: bool, progress: &AttemptProgress) {
        if !self.is_logged() && !self.state.log_budget.takes_failure(self.state.now()) {
            return;
        }
        WorkBroke {
            request: &request_id(self.state, self.head),
            upstream: &self.upstream.name,
            route: &self.head.route,
            attempt: self.attempt_number(),
            repeatable: wire::mode_from_number(self.head.work_mode) == WorkMode::Repeatable,
            fault: fault.name(),
            trusted_ms: millis(self.upstream.since_last_success(self.state.now())),
            took_ms: millis(progress.elapsed()),
            fingerprint: &self.fingerprint().to_string(),
            crashed,
            sent: progress.exchange.request().name(),
        }
        .log();
    }

    /// Logs that a response says that the backend server did not run the request, and whether that is
    /// `believed`.
    pub fn log_server_refused(
        &self,
        head: &response::Parts,
        origin: ResponseOrigin,
        believed: bool,
        progress: &AttemptProgress,
    ) {
        if !self.is_logged() && !self.state.log_budget.takes_failure(self.state.now()) {
            return;
        }
        let field_names = &self.state.fields;
        let id = match &field_names.request {
            None => "unused",
            Some(_) => origin.binding.name(),
        };
        ServerRefused {
            request: &request_id(self.state, self.head),
            upstream: &self.upstream.name,
            attempt: self.attempt_number(),
            status: head.status.as_u16().into(),
            noticed: fields::has_notice(&head.headers, &field_names.shed),
            id,
            server: origin.server.name(),
            believed,
            took_ms: millis(progress.elapsed()),
            sent: progress.exchange.request().name(),
            idle_ms: progress.idle_time.map(millis),
        }
        .log();
    }

    /// Logs that a response that belongs to another request or to none was discarded.
    pub fn log_surplus_response(&self, status: u16, binding: ResponseBinding) {
        if !self.is_logged() && !self.state.log_budget.takes_failure(self.state.now()) {
            return;
        }
        SurplusDropped {
            request: &request_id(self.state, self.head),
            upstream: &self.upstream.name,
            status: status.into(),
            id: binding.name(),
        }
        .log();
    }
}
