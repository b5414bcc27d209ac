// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Records the results of a request's attempts, as evidence about the request and about upstreams.

use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{AnswerHead, FrameBody, LoadReport, WithdrawNote};

use crate::ingress::attempt::RequestAttempts;
use crate::ingress::dispatch::LiveExchange;

impl RequestAttempts<'_> {
    /// Says whether requests with the same method and target recently failed at every upstream to
    /// which they were sent.
    pub fn fails_everywhere(&self) -> bool {
        let request = self.request;
        request.service.forbids_retry(request.method.as_str(), &request.target, self.state.now())
    }

    /// Says whether a failure of the request is no evidence against its upstream, because the
    /// request failed at another upstream in an earlier attempt or recently.
    pub fn exempts_failure(&self) -> bool {
        let request = self.request;
        self.failed_at.is_some()
            || request.service.exempts_failure(
                request.method.as_str(),
                &request.target,
                self.state.now(),
            )
    }

    /// Records the size of the request and its answer.
    pub fn note_bytes(&self, head: &AnswerHead) {
        let request = self.request;
        let answer = head.content_length.max(head.body.len() as i64) as u64;
        let bytes = request.body_start.len() as u64 + answer;
        request.service.note_bytes(&request.route.name, bytes);
    }

    /// Records the load report of an upstream's daemon. If the request ran at the upstream,
    /// `failed` says whether the request failed.
    pub fn note_report(&self, index: usize, report: &LoadReport, failed: Option<bool>) {
        let route = &self.request.route.name;
        let now = self.state.now();
        self.request.service.note_report(index, route, report, failed, now);
    }

    /// Records how the request ended at an upstream, to detect requests that fail at every
    /// upstream.
    pub fn note_attempt_result(&self, index: usize, live: &LiveExchange, failed: bool) {
        let request = self.request;
        let method = request.method.as_str();
        let now = self.state.now();
        if !failed {
            request.service.note_success(method, &request.target, now);
            return;
        }
        let target = &request.target;
        let counted_failures =
            request.service.note_failure(method, target, index, live.is_evidence, now);
        let upstreams = &request.service.entry.upstreams;
        for failures in counted_failures {
            // An upstream that was removed since its failure has no failure to withdraw.
            let index = upstreams.iter().position(|each| each.name == failures.upstream);
            for index in index.into_iter().cycle().take(failures.count as usize) {
                self.withdraw_failure_at(index);
            }
        }
    }

    /// Withdraws the failure of the first attempt: the same request failed at a second upstream, so
    /// the request is at fault rather than the servers.
    pub fn withdraw_first_failure(&self) {
        let index = match self.failed_at {
            Some(index) => index,
            None => return,
        };
        self.withdraw_failure_at(index);
        let request = self.request;
        request.service.note_withdrawn(request.method.as_str(), &request.target, index);
    }

    /// Withdraws a failure of the request that was recorded at an upstream.
    pub fn withdraw_failure_at(&self, index: usize) {
        let upstream = &self.request.service.entry.upstreams[index].name;
        let path = self.request.service.path(index);
        if path.is_self {
            self.state.host.withdraw_failure(upstream, &self.request.route.name);
            return;
        }
        if let Some(link) = path.link() {
            let note = WithdrawNote {
                service_name: self.request.service.entry.name.to_string(),
                upstream: upstream.to_string(),
                route: self.request.route.name.to_string(),
            };
            let _ = link.sender().send(NO_EXCHANGE, FrameBody::Withdraw(note));
        }
    }
}
