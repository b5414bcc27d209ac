// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What the ends of a request's attempts say about the request and about upstreams.

use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{AnswerHead, FrameBody, LoadReport, WithdrawNote};

use crate::ingress::attempt::RequestAttempts;
use crate::ingress::dispatch::LiveExchange;

impl RequestAttempts<'_> {
    /// Says whether the request lately failed wherever it went.
    pub fn is_hopeless(&self) -> bool {
        let request = self.request;
        request.service.forbids_retry(request.method.as_str(), &request.target, self.state.now())
    }

    /// Says whether a failure of the request is no evidence: it failed elsewhere, now or lately.
    pub fn spares_failure(&self) -> bool {
        let request = self.request;
        self.failed_at.is_some()
            || request.service.spares_failure(
                request.method.as_str(),
                &request.target,
                self.state.now(),
            )
    }

    /// Takes in the size of the request and its answer.
    pub fn note_bytes(&self, head: &AnswerHead) {
        let request = self.request;
        let answer = head.content_length.max(head.body.len() as i64) as u64;
        let bytes = request.prefix.len() as u64 + answer;
        request.service.note_bytes(&request.route.name, bytes);
    }

    /// Takes in what the daemon beside an upstream reports.
    pub fn note_report(&self, index: usize, report: &LoadReport, failed: Option<bool>) {
        let route = &self.request.route.name;
        let now = self.state.now();
        self.request.service.note_report(index, route, report, failed, now);
    }

    /// Takes in how the request ended at an upstream, to find out whether it fails wherever it goes.
    pub fn note_end(&self, index: usize, live: &LiveExchange, failed: bool) {
        let request = self.request;
        let method = request.method.as_str();
        let now = self.state.now();
        if !failed {
            request.service.note_success(method, &request.target, now);
            return;
        }
        let target = &request.target;
        let counted = request.service.note_failure(method, target, index, live.counts, now);
        let upstreams = &request.service.entry.upstreams;
        for failures in counted {
            // One that has gone since has nothing to take back.
            let index = upstreams.iter().position(|each| each.name == failures.upstream);
            for index in index.into_iter().cycle().take(failures.count as usize) {
                self.withdraw_at(index);
            }
        }
    }

    /// Takes the first failure back: the same request failed on a second upstream, so the request
    /// is at fault rather than the servers.
    pub fn withdraw(&self) {
        let index = match self.failed_at {
            Some(index) => index,
            None => return,
        };
        self.withdraw_at(index);
        let request = self.request;
        request.service.note_withdrawn(request.method.as_str(), &request.target, index);
    }

    /// Takes a failure at an upstream back.
    pub fn withdraw_at(&self, index: usize) {
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
