// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Says from what callers and the operator saw whether a promise about the configuration was broken.
//!
//! The operator's documents are numbered by steps. An answer speaks for some steps: a 404 for those without its
//! route, a success for those that send the route to the service that answered.

use std::time::Duration;

use crate::operator::{self, AskedRoute};

/// Time for which a host must have been left alone to be held to bounds of time.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Time from an acknowledgement until the document must be in force everywhere.
pub const IN_FORCE_MAX: Duration = Duration::from_secs(2);
/// Time for which an older document may still answer after a daemon has shown a newer one.
pub const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// `SeenAnswer` is what an answer says of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenAnswer {
    /// There is no such route.
    Missing,
    /// A backend server of this service answered.
    ServedBy(usize),
    /// Nothing: it failed, or was refused as not run.
    NoWord,
}

/// `CallerSample` is one request and what became of it.
#[derive(Debug, Clone)]
pub struct CallerSample {
    /// Number of the host whose daemon was asked.
    pub host: usize,
    /// Which start of the daemon that was.
    pub start: u64,
    /// Id of the request.
    pub id: String,
    /// When it was sent.
    pub sent_at: Duration,
    /// When its answer was there.
    pub answered_at: Duration,
    /// What was asked for.
    pub route: AskedRoute,
    /// What the answer says.
    pub answer: SeenAnswer,
}

/// `StepTimes` tells when a step's document was sent to the store, and acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct StepTimes {
    /// When it was sent.
    pub sent_at: Duration,
    /// When the store acknowledged it, if it has.
    pub acked_at: Option<Duration>,
}

/// `BrokenPromise` is a finding of the soak.
#[derive(Debug, Clone, PartialEq)]
pub enum BrokenPromise {
    /// A host in touch answered as only an older document allows.
    Late {
        /// Time from the acknowledgement of the first document that forbids it to the request.
        after: Duration,
    },
    /// A daemon answered as only a document allows that is older than one it has shown.
    WentBack,
}

/// `TouchRecord` keeps when each host, and the store, was troubled.
#[derive(Debug, Default)]
pub struct TouchRecord {
    hosts: Vec<Vec<TroubleSpan>>,
    store: Vec<TroubleSpan>,
}

#[derive(Debug, Clone, Copy)]
struct TroubleSpan {
    from: Duration,
    /// None while it lasts.
    until: Option<Duration>,
}

/// `TroubleMark` names a trouble that lasts, to end it.
#[derive(Debug, Clone)]
pub struct TroubleMark {
    hosts: Vec<usize>,
    store: bool,
    from: Duration,
}

impl TouchRecord {
    /// Builds the record of so many hosts that were not troubled yet.
    pub fn new(hosts: usize) -> Self {
        Self { hosts: vec![Vec::new(); hosts], store: Vec::new() }
    }

    /// Notes that a trouble of these hosts, and of the store if it is said so, begins.
    pub fn begin(&mut self, hosts: &[usize], store: bool, now: Duration) -> TroubleMark {
        let span = TroubleSpan { from: now, until: None };
        hosts.iter().for_each(|host| self.hosts[*host].push(span));
        if store {
            self.store.push(span);
        }
        TroubleMark { hosts: hosts.to_vec(), store, from: now }
    }

    /// Notes that a trouble has ended.
    pub fn end(&mut self, mark: &TroubleMark, now: Duration) {
        let close = |spans: &mut Vec<TroubleSpan>| {
            let open = |span: &&mut TroubleSpan| span.until.is_none() && span.from == mark.from;
            if let Some(span) = spans.iter_mut().find(open) {
                span.until = Some(now);
            }
        };
        mark.hosts.iter().for_each(|host| close(&mut self.hosts[*host]));
        if mark.store {
            close(&mut self.store);
        }
    }

    /// Says whether a host and the store were left alone from [`CONTACT`] before `from` until `to`.
    pub fn in_touch(&self, host: usize, from: Duration, to: Duration) -> bool {
        let since = from.saturating_sub(CONTACT);
        let overlaps =
            |span: &TroubleSpan| span.from <= to && span.until.is_none_or(|until| until >= since);
        !self.hosts[host].iter().chain(&self.store).any(overlaps)
    }
}

/// `ShownStep` is the latest step that a daemon has shown to be in force.
#[derive(Debug, Clone, Copy, Default)]
struct ShownStep {
    start: u64,
    step: usize,
    /// When it was shown.
    at: Duration,
    /// What was shown before it, which may answer for a moment longer.
    before: usize,
}

/// `ConfigJudge` judges samples in the order of their answers.
#[derive(Debug)]
pub struct ConfigJudge {
    shown: Vec<ShownStep>,
}

impl ConfigJudge {
    /// Builds the judge of so many hosts.
    pub fn new(hosts: usize) -> Self {
        Self { shown: vec![ShownStep::default(); hosts] }
    }

    /// Takes a sample in and returns the promise that it breaks, if it does.
    pub fn take(
        &mut self,
        sample: &CallerSample,
        steps: &[StepTimes],
        touch: &TouchRecord,
    ) -> Option<BrokenPromise> {
        if sample.answer == SeenAnswer::NoWord {
            return None;
        }
        let newest = steps.iter().rposition(|step| step.sent_at <= sample.answered_at)?;
        let speaks_for = |step: &usize| operator::allows(*step, sample.route, sample.answer);
        let binding = binding_step(sample, steps);
        if !(binding..=newest).any(|step| speaks_for(&step)) {
            let in_touch = touch.in_touch(sample.host, sample.sent_at, sample.answered_at);
            if in_touch {
                return Some(late(sample, steps));
            }
        }
        let shown = &mut self.shown[sample.host];
        if shown.start != sample.start {
            *shown = ShownStep { start: sample.start, ..ShownStep::default() };
        }
        let settled = sample.sent_at > shown.at + ROLLBACK_SLACK;
        let least = if settled { shown.step } else { shown.before };
        let Some(step) = (least..=newest).find(speaks_for) else {
            return Some(BrokenPromise::WentBack);
        };
        if step > shown.step {
            *shown = ShownStep { step, at: sample.answered_at, before: shown.step, ..*shown };
        }
        None
    }
}

/// Returns the latest step that must be in force when a sample was sent.
fn binding_step(sample: &CallerSample, steps: &[StepTimes]) -> usize {
    let binds = |step: &StepTimes| {
        step.acked_at.is_some_and(|acked_at| acked_at + IN_FORCE_MAX < sample.sent_at)
    };
    steps.iter().rposition(binds).unwrap_or(0)
}

/// Finds since when the answer of a sample was no longer allowed.
fn late(sample: &CallerSample, steps: &[StepTimes]) -> BrokenPromise {
    let binding = binding_step(sample, steps);
    let allowed = |step: &usize| operator::allows(*step, sample.route, sample.answer);
    let first_against = (0..=binding).rfind(allowed).map_or(0, |step| step + 1);
    let acked_at = steps[first_against].acked_at.unwrap_or(sample.sent_at);
    BrokenPromise::Late { after: sample.sent_at.saturating_sub(acked_at) }
}
