// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Checks the observations of callers and the operator for violated guarantees about the
//! configuration.
//!
//! The operator's documents are numbered by steps. A response is consistent with some steps: a 404
//! with those that lack its route, a success with those that send the route to the service that
//! answered.

use std::time::Duration;

use crate::operator::{self, RequestedRoute};

/// Time for which a host and the store must have been free of faults before time bounds are
/// checked.
pub const UNDISTURBED_MIN: Duration = Duration::from_secs(3);
/// Time from the acknowledgement of a document until it must be in force at every undisturbed host.
pub const IN_FORCE_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time for which a daemon's responses may still follow an older document after one of them has
/// shown that a newer document is in force.
pub const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// `SeenAnswer` is what a response shows about the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenAnswer {
    /// The configuration has no such route.
    Missing,
    /// A backend server of this service answered.
    ServedBy(usize),
    /// Nothing: the request failed, or was refused without being run.
    Inconclusive,
}

/// `CallerSample` is one request and its outcome.
#[derive(Debug, Clone)]
pub struct CallerSample {
    /// Index of the host whose daemon got the request.
    pub host: usize,
    /// Incarnation of that daemon.
    pub incarnation: u64,
    /// Id of the request.
    pub id: String,
    /// Time of the run at which it was sent.
    pub sent_at: Duration,
    /// Time of the run at which its response was complete.
    pub answered_at: Duration,
    /// Route that was requested.
    pub route: RequestedRoute,
    /// What the response shows.
    pub answer: SeenAnswer,
}

/// `StepTimes` holds when a step's document was sent to the store, and acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct StepTimes {
    /// Time of the run at which it was sent.
    pub sent_at: Duration,
    /// Time of the run at which the store acknowledged it, if it has.
    pub acked_at: Option<Duration>,
}

/// `GuaranteeViolation` is a violated guarantee about the configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum GuaranteeViolation {
    /// An undisturbed host answered as only an outdated document allows.
    Late {
        /// Time from the acknowledgement of the first document that forbids the response until the
        /// request was sent.
        delay: Duration,
    },
    /// A response is consistent only with documents that are older than one which the same daemon
    /// has already shown to be in force.
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
    from: Duration,
    /// `None` while the fault lasts.
    until: Option<Duration>,
}

/// `FaultHandle` identifies an ongoing fault, to record its end.
#[derive(Debug, Clone)]
pub struct FaultHandle {
    hosts: Vec<usize>,
    store: bool,
    from: Duration,
}

impl FaultHistory {
    /// Builds the empty history of this many hosts.
    pub fn new(hosts: usize) -> Self {
        Self { hosts: vec![Vec::new(); hosts], store: Vec::new() }
    }

    /// Records that a fault of these hosts, and of the store if `store` is set, begins.
    pub fn begin_fault(&mut self, hosts: &[usize], store: bool, now: Duration) -> FaultHandle {
        let span = FaultSpan { from: now, until: None };
        hosts.iter().for_each(|host| self.hosts[*host].push(span));
        if store {
            self.store.push(span);
        }
        FaultHandle { hosts: hosts.to_vec(), store, from: now }
    }

    /// Records that a fault has ended.
    pub fn end_fault(&mut self, handle: &FaultHandle, now: Duration) {
        let close = |spans: &mut Vec<FaultSpan>| {
            let is_open = |span: &&mut FaultSpan| span.until.is_none() && span.from == handle.from;
            if let Some(span) = spans.iter_mut().find(is_open) {
                span.until = Some(now);
            }
        };
        handle.hosts.iter().for_each(|host| close(&mut self.hosts[*host]));
        if handle.store {
            close(&mut self.store);
        }
    }

    /// Returns whether a host and the store were free of faults from [`UNDISTURBED_MIN`] before
    /// `from` until `to`.
    pub fn is_undisturbed(&self, host: usize, from: Duration, to: Duration) -> bool {
        let since = from.saturating_sub(UNDISTURBED_MIN);
        let overlaps =
            |span: &FaultSpan| span.from <= to && span.until.is_none_or(|until| until >= since);
        !self.hosts[host].iter().chain(&self.store).any(overlaps)
    }
}

/// `ShownStep` is the latest step that a daemon has shown to be in force.
#[derive(Debug, Clone, Copy, Default)]
struct ShownStep {
    incarnation: u64,
    step: usize,
    /// Time of the run at which it was shown.
    at: Duration,
    /// Step that was shown before this one. Responses may still follow it until [`ROLLBACK_SLACK`]
    /// after `at`.
    previous_step: usize,
}

/// `ConfigChecker` checks samples in the order of their responses.
#[derive(Debug)]
pub struct ConfigChecker {
    shown: Vec<ShownStep>,
}

impl ConfigChecker {
    /// Builds the checker of this many hosts.
    pub fn new(hosts: usize) -> Self {
        Self { shown: vec![ShownStep::default(); hosts] }
    }

    /// Records a sample and returns the guarantee that it violates, if any.
    pub fn check(
        &mut self,
        sample: &CallerSample,
        steps: &[StepTimes],
        history: &FaultHistory,
    ) -> Option<GuaranteeViolation> {
        if sample.answer == SeenAnswer::Inconclusive {
            return None;
        }
        let newest = steps.iter().rposition(|step| step.sent_at <= sample.answered_at)?;
        let is_consistent =
            |step: &usize| operator::document_allows(*step, sample.route, sample.answer);
        let required = required_step(sample, steps);
        if !(required..=newest).any(|step| is_consistent(&step)) {
            let is_undisturbed =
                history.is_undisturbed(sample.host, sample.sent_at, sample.answered_at);
            if is_undisturbed {
                return Some(late_violation(sample, steps));
            }
        }
        let shown = &mut self.shown[sample.host];
        if shown.incarnation != sample.incarnation {
            *shown = ShownStep { incarnation: sample.incarnation, ..ShownStep::default() };
        }
        let is_past_slack = sample.sent_at > shown.at + ROLLBACK_SLACK;
        let oldest_allowed = if is_past_slack { shown.step } else { shown.previous_step };
        let Some(step) = (oldest_allowed..=newest).find(is_consistent) else {
            return Some(GuaranteeViolation::RolledBack);
        };
        if step > shown.step {
            *shown =
                ShownStep { step, at: sample.answered_at, previous_step: shown.step, ..*shown };
        }
        None
    }
}

/// Returns the latest step that must be in force when a sample was sent.
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
    let allowed = |step: &usize| operator::document_allows(*step, sample.route, sample.answer);
    let first_forbidding = (0..=required).rfind(allowed).map_or(0, |step| step + 1);
    let acked_at = steps[first_forbidding].acked_at.unwrap_or(sample.sent_at);
    GuaranteeViolation::Late { delay: sample.sent_at.saturating_sub(acked_at) }
}
