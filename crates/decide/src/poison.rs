// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Poison requests: those that fail at whichever upstream runs them.
//!
//! A request that fails at one upstream after another is probably the cause of its failures. The
//! ingress that saw the failures marks later dispatches of the same request, so that their failures
//! are not evidence against upstreams. Dispatches are also marked where no retry can show that the
//! request is the cause, as the retry budget is used up or the request is not repeatable. Failures
//! that counted before the request was known to be poison are withdrawn.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use fnv::FnvHasher;

/// Maximum number of requests remembered for one service: poison requests are rare, and a poison
/// request that is evicted is detected again from two failures.
pub const POISON_MAX: usize = 32;
/// Distinct upstreams at which a request must have failed before its failures are no evidence
/// against upstreams.
/// The failure of a retry at a second upstream therefore also withdraws the first failure.
const NO_EVIDENCE_UPSTREAMS: usize = 2;
/// Distinct upstreams at which a request must have failed before a retry only wastes the retry
/// budget. Two upstreams that fail at the same time are seen in practice. After a failure at a
/// third one, the request is the likelier cause.
const NO_RETRY_UPSTREAMS: usize = 3;
/// Time after its last failure for which a request is remembered; a caller that repeats a poison
/// request by itself does so within seconds.
pub const POISON_LIFE: Duration = Duration::from_secs(10);

/// `RequestHash` identifies requests for the same resource: a hash of method and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHash(u64);

impl RequestHash {
    /// Returns the hash of a request.
    pub fn of(method: &str, target: &str) -> Self {
        let mut hasher = FnvHasher::default();
        method.hash(&mut hasher);
        target.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// `CountedFailures` is how many failures of a request count as evidence against an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountedFailures<U> {
    /// The upstream.
    pub upstream: U,
    /// Failures to withdraw.
    pub count: u32,
}

#[derive(Debug, Clone)]
struct FailedRequest<U> {
    request: RequestHash,
    failures: Vec<CountedFailures<U>>,
    at: Duration,
}

impl<U: Clone + PartialEq> FailedRequest<U> {
    fn add(&mut self, upstream: U, counted: bool, now: Duration) {
        self.at = now;
        let count = u32::from(counted);
        let position = self.failures.iter().position(|each| each.upstream == upstream);
        if let Some(index) = position {
            self.failures[index].count += count;
        } else if counted || self.failures.len() < NO_RETRY_UPSTREAMS {
            self.failures.push(CountedFailures { upstream, count });
        }
    }

    /// Takes the failures that count as evidence, once the request is known to fail at any
    /// upstream.
    fn take_counted(&mut self) -> Vec<CountedFailures<U>> {
        if self.failures.len() < NO_EVIDENCE_UPSTREAMS {
            return Vec::new();
        }
        let counted = self.failures.iter().filter(|each| each.count > 0).cloned().collect();
        self.failures.iter_mut().for_each(|each| each.count = 0);
        self.failures.truncate(NO_RETRY_UPSTREAMS);
        counted
    }
}

/// `PoisonTable` remembers the requests to one service that recently failed; a request is forgotten
/// once a copy of it succeeds. `U` identifies an upstream and must stay valid when other upstreams
/// are added or removed, as happens while servers fail.
#[derive(Debug, Clone)]
pub struct PoisonTable<U> {
    requests: Vec<FailedRequest<U>>,
}

impl<U> Default for PoisonTable<U> {
    fn default() -> Self {
        Self { requests: Vec::new() }
    }
}

impl<U: Clone + PartialEq> PoisonTable<U> {
    /// Says whether the table is empty: if it is, callers need not compute the hash of a request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Drops the requests whose last failure is older than [`POISON_LIFE`], so that callers compute
    /// no hashes long after the last failure.
    pub fn forget_old(&mut self, now: Duration) {
        self.requests.retain(|each| now.saturating_sub(each.at) < POISON_LIFE);
    }

    /// Returns the number of requests remembered, at most [`POISON_MAX`].
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Records that a request failed at an upstream; `counted` says whether the failure counted as
    /// evidence against the upstream. Returns the failures to withdraw, if the request is now known
    /// to fail at any upstream.
    pub fn note_failure(
        &mut self,
        request: RequestHash,
        upstream: U,
        counted: bool,
        now: Duration,
    ) -> Vec<CountedFailures<U>> {
        self.forget_old(now);
        if let Some(known) = self.requests.iter_mut().find(|each| each.request == request) {
            known.add(upstream, counted, now);
            return known.take_counted();
        }
        if self.requests.len() >= POISON_MAX {
            self.evict_least_failed();
        }
        let failures = vec![CountedFailures { upstream, count: u32::from(counted) }];
        self.requests.push(FailedRequest { request, failures, at: now });
        Vec::new()
    }

    /// Records that one failure of the request at an upstream was already withdrawn.
    pub fn note_withdrawn(&mut self, request: RequestHash, upstream: &U) {
        let same_request = self.requests.iter_mut().filter(|each| each.request == request);
        let failures = same_request.flat_map(|each| each.failures.iter_mut());
        for failure in failures.filter(|failure| failure.upstream == *upstream) {
            failure.count = failure.count.saturating_sub(1);
        }
    }

    /// Evicts the request that failed at the fewest upstreams; of several such requests, the one
    /// whose last failure is the oldest.
    fn evict_least_failed(&mut self) {
        let requests = self.requests.iter().enumerate();
        let least_failed = requests.min_by_key(|(_, each)| (each.failures.len(), each.at));
        if let Some((index, _)) = least_failed {
            self.requests.swap_remove(index);
        }
    }

    /// Forgets the failures of a request that succeeded, as the request did not cause them.
    pub fn note_success(&mut self, request: RequestHash) {
        self.requests.retain(|each| each.request != request);
    }

    /// Says whether a failure of the request is no evidence against an upstream.
    pub fn is_poison(&self, request: RequestHash, now: Duration) -> bool {
        self.failed_at(request, now) >= NO_EVIDENCE_UPSTREAMS
    }

    /// Says whether a retry of the request would only waste the retry budget.
    pub fn forbids_retry(&self, request: RequestHash, now: Duration) -> bool {
        self.failed_at(request, now) >= NO_RETRY_UPSTREAMS
    }

    /// Returns the number of upstreams at which the request recently failed.
    pub fn failed_at(&self, request: RequestHash, now: Duration) -> usize {
        let record = self.requests.iter().find(|each| each.request == request);
        record
            .filter(|each| now.saturating_sub(each.at) < POISON_LIFE)
            .map_or(0, |each| each.failures.len())
    }
}
