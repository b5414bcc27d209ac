// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Remembers requests that fail wherever they go.
//!
//! A failure that follows a request from one upstream to another speaks against the request. The
//! ingress that saw it marks later dispatches of the same request, so that their failures are no
//! evidence, also where no repeat can show it: the budget is empty or the work can't be repeated.
//! What counted before it knew is taken back.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use fnv::FnvHasher;

/// Requests remembered for one service: poison is rare, and what falls out is learnt again from two
/// failures.
pub const MARKS_MAX: usize = 32;
/// Different upstreams at which a request must have failed before its failures are no evidence; a
/// second one is also what withdraws the first failure of a repeated request.
const NO_EVIDENCE_UPSTREAMS: usize = 2;
/// Different upstreams from which on repeating the request only spends the budget: two that are
/// sick at once are seen in practice, a third makes the request the likelier cause.
const NO_REPEAT_UPSTREAMS: usize = 3;
/// Time after its last failure for which a request is remembered; a caller that repeats a poison
/// request by itself does so within seconds.
pub const MARK_LIFE: Duration = Duration::from_secs(10);

/// `RequestMark` tells requests for the same thing from others: a hash of method and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestMark(u64);

impl RequestMark {
    /// Returns the mark of a request.
    pub fn of(method: &str, target: &str) -> Self {
        let mut hasher = FnvHasher::default();
        method.hash(&mut hasher);
        target.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// `CountedFailures` is how many failures of a request stand as evidence against an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedFailures<U> {
    /// The upstream.
    pub upstream: U,
    /// Failures to take back.
    pub count: u32,
}

#[derive(Debug, Clone)]
struct FailedMark<U> {
    mark: RequestMark,
    failures: Vec<CountedFailures<U>>,
    at: Duration,
}

impl<U: Clone + PartialEq> FailedMark<U> {
    fn add(&mut self, upstream: U, counted: bool, now: Duration) {
        self.at = now;
        let count = u32::from(counted);
        let known = self.failures.iter().position(|each| each.upstream == upstream);
        if let Some(index) = known {
            self.failures[index].count += count;
        } else if counted || self.failures.len() < NO_REPEAT_UPSTREAMS {
            self.failures.push(CountedFailures { upstream, count });
        }
    }

    /// Takes out what stands as evidence, once the request is known to fail wherever it goes.
    fn take_counted(&mut self) -> Vec<CountedFailures<U>> {
        if self.failures.len() < NO_EVIDENCE_UPSTREAMS {
            return Vec::new();
        }
        let counted = self.failures.iter().filter(|each| each.count > 0).cloned().collect();
        self.failures.iter_mut().for_each(|each| each.count = 0);
        self.failures.truncate(NO_REPEAT_UPSTREAMS);
        counted
    }
}

/// `PoisonMemory` remembers the requests to one service that lately failed, until one succeeds. It names
/// upstreams in a way that holds when others come and go, as they do while servers fail.
#[derive(Debug, Clone)]
pub struct PoisonMemory<U> {
    marks: Vec<FailedMark<U>>,
}

impl<U> Default for PoisonMemory<U> {
    fn default() -> Self {
        Self { marks: Vec::new() }
    }
}

impl<U: Clone + PartialEq> PoisonMemory<U> {
    /// Says whether nothing is remembered, so that no mark need be worked out.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Forgets what expired, so that nothing is worked out for requests long after the last failure.
    pub fn forget_old(&mut self, now: Duration) {
        self.marks.retain(|each| now.saturating_sub(each.at) < MARK_LIFE);
    }

    /// Returns the number of requests remembered, at most [`MARKS_MAX`].
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Takes in that a request failed at an upstream, and whether that `counted` as evidence there;
    /// returns what must be taken back, now that the request is known to fail wherever it goes.
    pub fn note_failure(
        &mut self,
        mark: RequestMark,
        upstream: U,
        counted: bool,
        now: Duration,
    ) -> Vec<CountedFailures<U>> {
        self.forget_old(now);
        if let Some(known) = self.marks.iter_mut().find(|each| each.mark == mark) {
            known.add(upstream, counted, now);
            return known.take_counted();
        }
        if self.marks.len() >= MARKS_MAX {
            self.forget_weakest();
        }
        let failures = vec![CountedFailures { upstream, count: u32::from(counted) }];
        self.marks.push(FailedMark { mark, failures, at: now });
        Vec::new()
    }

    /// Takes in that one failure at an upstream was taken back already.
    pub fn note_withdrawn(&mut self, mark: RequestMark, upstream: &U) {
        let known = self.marks.iter_mut().filter(|each| each.mark == mark);
        let failures = known.flat_map(|each| each.failures.iter_mut());
        for failure in failures.filter(|failure| failure.upstream == *upstream) {
            failure.count = failure.count.saturating_sub(1);
        }
    }

    /// Forgets the mark with the fewest upstreams, the oldest of them.
    fn forget_weakest(&mut self) {
        let marks = self.marks.iter().enumerate();
        let weakest = marks.min_by_key(|(_, each)| (each.failures.len(), each.at));
        if let Some((index, _)) = weakest {
            self.marks.swap_remove(index);
        }
    }

    /// Takes in that a request succeeded: the failures before were not its own.
    pub fn note_success(&mut self, mark: RequestMark) {
        self.marks.retain(|each| each.mark != mark);
    }

    /// Says whether a failure of the request is no evidence against an upstream.
    pub fn spares(&self, mark: RequestMark, now: Duration) -> bool {
        self.failed_at(mark, now) >= NO_EVIDENCE_UPSTREAMS
    }

    /// Says whether repeating the request would only spend the budget of repeats.
    pub fn forbids_repeat(&self, mark: RequestMark, now: Duration) -> bool {
        self.failed_at(mark, now) >= NO_REPEAT_UPSTREAMS
    }

    /// Returns the number of upstreams at which the request lately failed.
    pub fn failed_at(&self, mark: RequestMark, now: Duration) -> usize {
        let known = self.marks.iter().find(|each| each.mark == mark);
        known
            .filter(|each| now.saturating_sub(each.at) < MARK_LIFE)
            .map_or(0, |each| each.failures.len())
    }
}
