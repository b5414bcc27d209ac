// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Handles the frames between daemons that belong to no caller's request, such as heartbeats.

use std::rc::Rc;

use basaltarch_base::peers::PeerPath;
use basaltarch_core::units::FleetRevision;
use basaltarch_decide::freshness::PASSED_ON_FOR;
use basaltarch_events::fleet;
use basaltarch_peer::frames::{self, FrameSender};
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote};

use crate::config_sync;
use crate::evacuations;
use crate::freshness;
use crate::ingress::load_probe;
use crate::limit_owners;
use crate::membership;
use crate::roster;
use crate::rows;
use crate::state::DaemonState;
use crate::suspects;

/// Handles a frame from `peer`; `path` is set on links that this daemon dialled.
pub fn handle_frame(
    state: &Rc<DaemonState>,
    path: Option<&Rc<PeerPath>>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    body: FrameBody,
) {
    match body {
        FrameBody::Heartbeat(note) => handle_heartbeat(state, path, sender, peer, note),
        FrameBody::Pull(pull) => config_sync::answer_pull(state, sender, pull),
        FrameBody::News(news) => config_sync::handle_news(state, peer, news),
        FrameBody::GrantRequest(request) => {
            limit_owners::answer_request(state, sender, &peer.host, &request);
        }
        FrameBody::GrantReply(reply) => state.limits.handle_reply(&reply),
        FrameBody::LoadQuestion(question) => load_probe::answer_question(state, sender, &question),
        FrameBody::LoadAnswer(answer) => state.pending_probes.take(answer),
        FrameBody::Withdraw(note) => state.host.withdraw_failure(&note.upstream, &note.route),
        FrameBody::RowsRequest(request) => rows::answer_request(state, sender, peer, &request),
        FrameBody::RowsNews(news) => rows::handle_news(state, sender, peer, news),
        FrameBody::SuspectNews(news) => suspects::handle_news(state, sender, peer, &news),
        other => {
            let frame = frames::frame_name(&other);
            fleet::UnexpectedFrame { host: &peer.host, frame }.log();
        }
    }
}

fn handle_heartbeat(
    state: &Rc<DaemonState>,
    path: Option<&Rc<PeerPath>>,
    sender: &FrameSender,
    peer: &PeerIdentity,
    note: HeartbeatNote,
) {
    let now = state.now();
    if let Some(path) = path {
        path.note_answer(now);
    }
    let revision = FleetRevision(note.revision.max(0) as u64);
    state.members.note_heartbeat(state, peer, revision);
    state.members.note_entries(state, &note.members);
    // The peer's previous records are sent before the reply: with the reply, the peer has heard what
    // this daemon holds of them.
    roster::send_previous_records(state, sender, peer);
    if note.reply {
        freshness::note_answer(state, &note);
        state.admission.note_answer(&peer.host);
    }
    // Evacuations are applied before the configuration is pulled, so that a starting daemon sends
    // no request to an evacuated failure domain.
    evacuations::handle_notes(state, note.evacuations.as_deref().unwrap_or_default());
    config_sync::note_peer_revision(state, sender, revision);
    suspects::handle_digest(state, sender, note.suspects);
    if note.reply {
        return;
    }
    if note.wants_word != Some(true) {
        answer_heartbeat(state, sender, &note);
        return;
    }
    let (state, sender) = (state.clone(), sender.clone());
    monoio::spawn(async move {
        // A confirmation that is about to expire is renewed, or it would have expired when the reply
        // arrives. The reply reports the last known confirmation, even if none is recent after the
        // check.
        freshness::is_certain_for(&state, PASSED_ON_FOR).await;
        answer_heartbeat(&state, &sender, &note);
    });
}

fn answer_heartbeat(state: &DaemonState, sender: &FrameSender, note: &HeartbeatNote) {
    let reply = membership::heartbeat_reply(state, note);
    // A send error is ignored: a link that ended needs no reply.
    let _ = sender.send(NO_EXCHANGE, FrameBody::Heartbeat(reply));
}
