// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks the observations of callers and the operator for violated guarantees about the
//! configuration.
//!
//! The operator writes one document in each step. A 404 is consistent with each step whose document
//! lacks the requested route. A successful response is consistent with each step whose document
//! sends the route to the service that answered.

use std::time::Duration;

use crate::operator::{self, RequestedRoute};

/// Time for which a host and the store must have been free of faults before the response of the
/// host's daemon is checked against [`IN_FORCE_DELAY_MAX`].
pub const UNDISTURBED_MIN: Duration = Duration::from_secs(3);
/// Time from the acknowledgement of a document until the document must be in force at every
/// undisturbed host.
pub const IN_FORCE_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time for which a daemon's responses may still follow an older document after a response of the
/// daemon has shown that a newer document is in force.
pub const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// `SeenAnswer` is what a response shows about the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenAnswer {
    /// The configuration has no such route.
    Missing,
    /// A backend server of this service answered.
    ServedBy(usize),
    /// The response shows nothing, as the request failed or was refused without being run.
    Inconclusive,
}

/// `CallerSample` is one request and its outcome.
#[derive(Debug, Clone)]
pub struct CallerSample {
    /// Index of the host whose daemon got the request.
    pub host: usize,
    /// Incarnation of the daemon that got the request.
    pub incarnation: u64,
    /// Id of the request.
    pub id: String,
    /// Time of the run at which the request was sent.
    pub sent_at: Duration,
    /// Time of the run at which the response was complete.
    pub answered_at: Duration,
    /// Route that was requested.
    pub route: RequestedRoute,
    /// What the response shows.
    pub answer: SeenAnswer,
}

/// `StepTimes` holds when a step's document was sent to the store, and acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct StepTimes {
    /// Time of the run at which the document was sent.
    pub sent_at: Duration,
    /// Time of the run at which the store acknowledged the document; `None` without an
    /// acknowledgement.
    pub acked_at: Option<Duration>,
}

/// `GuaranteeViolation` is a violated guarantee about the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum GuaranteeViolation {
    /// The response of an undisturbed host is consistent only with documents that must no longer be
    /// in force.
    Late {
        /// Time from the acknowledgement of the first document that forbids the response until the
        /// request was sent.
        delay: Duration,
    },
    /// The response is consistent only with documents that are older than a document which an
    /// earlier response of the same daemon showed to be in force.
    RolledBack,
}

/// `FaultHistory` records when each host, and the store, was disturbed by a fault.
#[derive(Debug, Default)]
pub struct FaultHistory {
    hosts: Vec<Vec<FaultSpan>>,
    store: Vec<FaultSpan>,
}

#[derive(Debug, Clone, Copy)]
struct FaultSpan {
    /// Time of the run at which the fault began.
    from: Duration,
    /// Time of the run at which the fault ended; `None` while the fault lasts.
    until: Option<Duration>,
}

/// `FaultHandle` identifies an ongoing fault, so that the end of the fault can be recorded.
#[derive(Debug, Clone)]
pub struct FaultHandle {
    hosts: Vec<usize>,
    includes_store: bool,
    from: Duration,
}

impl FaultHistory {
    /// Builds the empty history of `host_count` hosts.
    pub fn new(host_count: usize) -> Self {
        Self { hosts: vec![Vec::new(); host_count], store: Vec::new() }
    }

    /// Records that a fault of `hosts`, and of the store if `includes_store` is set, begins.
    pub fn begin_fault(
        &mut self,
        hosts: &[usize],
        includes_store: bool,
        now: Duration,
    ) -> FaultHandle {
        let span = FaultSpan { from: now, until: None };
        hosts.iter().for_each(|host| self.hosts[*host].push(span));
        if includes_store {
            self.store.push(span);
        }
        FaultHandle { hosts: hosts.to_vec(), includes_store, from: now }
    }

    /// Records that the fault of `handle` has ended.
    pub fn end_fault(&mut self, handle: &FaultHandle, now: Duration) {
        let close_span = |spans: &mut Vec<FaultSpan>| {
            let is_open = |span: &&mut FaultSpan| span.until.is_none() && span.from == handle.from;
            if let Some(span) = spans.iter_mut().find(is_open) {
                span.until = Some(now);
            }
        };
        handle.hosts.iter().for_each(|host| close_span(&mut self.hosts[*host]));
        if handle.includes_store {
            close_span(&mut self.store);
        }
    }

    /// Returns whether a host and the store were free of faults from [`UNDISTURBED_MIN`] before
    /// `from` until `to`.
    pub fn is_undisturbed(&self, host: usize, from: Duration, to: Duration) -> bool {
        let undisturbed_since = from.saturating_sub(UNDISTURBED_MIN);
        let overlaps = |span: &FaultSpan| {
            span.from <= to && span.until.is_none_or(|until| until >= undisturbed_since)
        };
        !self.hosts[host].iter().chain(&self.store).any(overlaps)
    }
}

/// `ShownStep` is the latest step that a daemon has shown to be in force.
#[derive(Debug, Clone, Copy, Default)]
struct ShownStep {
    incarnation: u64,
    step: usize,
    /// Time of the run at which the response that showed the step was complete.
    at: Duration,
    /// Step that the daemon showed before `step`. Responses may still follow the previous step
    /// until [`ROLLBACK_SLACK`] after `at`.
    previous_step: usize,
}

/// `ConfigChecker` checks samples for violated guarantees, in the order in which their responses
/// were complete.
#[derive(Debug)]
pub struct ConfigChecker {
    /// Latest shown step of each daemon, by index of the host.
    shown_steps: Vec<ShownStep>,
}

impl ConfigChecker {
    /// Builds the checker of `host_count` hosts.
    pub fn new(host_count: usize) -> Self {
        Self { shown_steps: vec![ShownStep::default(); host_count] }
    }

    /// Records a sample, and returns the guarantee that the sample violates, if any.
    pub fn check(
        &mut self,
        sample: &CallerSample,
        steps: &[StepTimes],
        history: &FaultHistory,
    ) -> Option<GuaranteeViolation> {
        if sample.answer == SeenAnswer::Inconclusive {
            return None;
        }
        let newest_step = steps.iter().rposition(|step| step.sent_at <= sample.answered_at)?;
        let is_consistent =
            |step: &usize| operator::document_allows(*step, sample.route, sample.answer);
        let required = required_step(sample, steps);
        if !(required..=newest_step).any(|step| is_consistent(&step)) {
            let is_undisturbed =
                history.is_undisturbed(sample.host, sample.sent_at, sample.answered_at);
            if is_undisturbed {
                return Some(late_violation(sample, steps));
            }
        }
        let shown_step = &mut self.shown_steps[sample.host];
        if shown_step.incarnation != sample.incarnation {
            *shown_step = ShownStep { incarnation: sample.incarnation, ..ShownStep::default() };
        }
        let is_past_slack = sample.sent_at > shown_step.at + ROLLBACK_SLACK;
        let oldest_allowed = if is_past_slack { shown_step.step } else { shown_step.previous_step };
        let Some(step) = (oldest_allowed..=newest_step).find(is_consistent) else {
            return Some(GuaranteeViolation::RolledBack);
        };
        if step > shown_step.step {
            *shown_step = ShownStep {
                step,
                at: sample.answered_at,
                previous_step: shown_step.step,
                ..*shown_step
            };
        }
        None
    }
}

/// Returns the latest step whose document must be in force when the request of a sample is sent.
fn required_step(sample: &CallerSample, steps: &[StepTimes]) -> usize {
    let is_required = |step: &StepTimes| {
        step.acked_at.is_some_and(|acked_at| acked_at + IN_FORCE_DELAY_MAX < sample.sent_at)
    };
    steps.iter().rposition(is_required).unwrap_or(0)
}

/// Returns the violation of a sample whose response follows an outdated document, with the time
/// from the acknowledgement of the document that forbade the response until the request was sent.
fn late_violation(sample: &CallerSample, steps: &[StepTimes]) -> GuaranteeViolation {
    let required = required_step(sample, steps);
    let is_allowed = |step: &usize| operator::document_allows(*step, sample.route, sample.answer);
    let first_forbidding_step = (0..=required).rfind(is_allowed).map_or(0, |step| step + 1);
    let acked_at = steps[first_forbidding_step].acked_at.unwrap_or(sample.sent_at);
    GuaranteeViolation::Late { delay: sample.sent_at.saturating_sub(acked_at) }
}
