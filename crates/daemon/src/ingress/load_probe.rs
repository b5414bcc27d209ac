// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Probes the load of a request's candidate upstreams at their daemons, before the request is sent.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_decide::probing::{self, ProbedLoad};
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, LoadAnswer, LoadQuestion, LoadReport};
use fnv::FnvHashMap;
use futures_util::future;
use local_sync::oneshot;

use crate::ingress::request::CallerRequest;
use crate::state::DaemonState;

/// `PendingProbes` holds the load probes that have no answer yet.
#[derive(Default)]
pub struct PendingProbes {
    reply_senders: RefCell<FnvHashMap<i64, oneshot::Sender<Option<LoadReport>>>>,
    sequence: Cell<i64>,
}

impl PendingProbes {
    /// Delivers an answer to the probe with the same sequence number.
    pub fn take(&self, answer: LoadAnswer) {
        if let Some(reply_sender) = self.reply_senders.borrow_mut().remove(&answer.sequence) {
            let _ = reply_sender.send(answer.report);
        }
    }
}

/// `ProbedUpstream` is an upstream whose load was probed.
pub struct ProbedUpstream {
    /// Position of the upstream in its service.
    pub index: usize,
    /// Load report of its daemon; `None` if the daemon did not answer in time or does not know the
    /// upstream.
    pub report: Option<LoadReport>,
    slots: u32,
}

impl ProbedUpstream {
    /// Returns the load of the upstream, if its daemon reported a load.
    pub fn load(&self) -> Option<ProbedLoad> {
        let report = self.report.as_ref()?;
        Some(ProbedLoad {
            in_flight: report.in_flight.max(0) as u32,
            queued: report.queued.max(0) as u32,
            slots: self.slots,
            doubtful: report.doubtful,
            draining: report.draining,
            ejected: report.ejected,
        })
    }

    /// Says whether the daemon of the upstream would decline a request, or reported no load.
    pub fn declines(&self) -> bool {
        self.load().is_none_or(|load| load.declines())
    }
}

/// Returns the best of the upstreams whose daemons reported their load.
pub fn best_of(probed: &[ProbedUpstream]) -> Option<&ProbedUpstream> {
    let answered_probes = || probed.iter().filter(|each| each.report.is_some());
    let loads: Vec<ProbedLoad> = answered_probes().filter_map(ProbedUpstream::load).collect();
    probing::best(&loads).and_then(|position| answered_probes().nth(position))
}

/// Probes several upstreams of a request's service concurrently. Upstreams of this host are left
/// out, and so are upstreams whose daemon is not linked or does not support probes.
pub async fn probe_all(
    state: &Rc<DaemonState>,
    request: &CallerRequest,
    indexes: &[usize],
) -> Vec<ProbedUpstream> {
    let probes = indexes.iter().map(|index| probe_upstream(state, request, *index));
    future::join_all(probes).await.into_iter().flatten().collect()
}

async fn probe_upstream(
    state: &Rc<DaemonState>,
    request: &CallerRequest,
    index: usize,
) -> Option<ProbedUpstream> {
    let path = request.service.path(index).clone();
    let link = path.link().filter(|link| !path.is_self && link.peer.answers_looks)?;
    metrics::LOAD_PROBES.add_one();
    let began = state.now();
    path.note_used(began);
    let sequence = state.pending_probes.sequence.get() + 1;
    state.pending_probes.sequence.set(sequence);
    let (sender, receiver) = oneshot::channel();
    state.pending_probes.reply_senders.borrow_mut().insert(sequence, sender);
    let _probe_guard = ProbeGuard { state, sequence };
    let upstream = &request.service.entry.upstreams[index];
    let question = LoadQuestion {
        upstream: upstream.name.to_string(),
        route: request.route.name.to_string(),
        sequence,
    };
    link.sender().send(NO_EXCHANGE, FrameBody::LoadQuestion(question)).ok()?;
    let wait = probing::probe_timeout(path.round_trip());
    let answer = monoio::time::timeout(wait, receiver).await;
    let report = note_answer(&path, answer.ok().map(Result::ok), state.now() - began);
    Some(ProbedUpstream { index, report, slots: upstream.server.slots })
}

/// Records at the path the round-trip time of an answered probe, or that the answer did not arrive
/// in time. Returns the report in the answer.
fn note_answer(
    path: &PeerPath,
    answer: Option<Option<Option<LoadReport>>>,
    answer_time: Duration,
) -> Option<LoadReport> {
    match answer {
        Some(answer) => {
            path.note_round_trip(answer_time);
            answer.flatten()
        }
        None => {
            metrics::LOAD_PROBES_UNANSWERED.add_one();
            path.request_probe();
            None
        }
    }
}

/// Removes a probe whose answer is no longer awaited.
struct ProbeGuard<'a> {
    state: &'a DaemonState,
    sequence: i64,
}

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.state.pending_probes.reply_senders.borrow_mut().remove(&self.sequence);
    }
}

/// Answers an ingress that probes the load of an upstream of this host.
pub fn answer_question(state: &DaemonState, sender: &FrameSender, question: &LoadQuestion) {
    let upstream = state.host.get(&question.upstream);
    let report = upstream.map(|upstream| upstream.report(state, &question.route, None));
    let answer = LoadAnswer { sequence: question.sequence, report };
    let _ = sender.send(NO_EXCHANGE, FrameBody::LoadAnswer(answer));
}
