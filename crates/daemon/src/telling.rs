// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Tells the neighbours which revision is in force here, until each is known to have it.
//!
//! A word may be lost without a trace: a link can fall silent without a break. So whoever doesn't answer is told
//! again along a new link, and whoever answers that it is behind is told again, as what it then asks for may be
//! lost as well. Of 24 hosts whose connections all fell silent, daemons that had word of nothing
//! for 5.6 s answered from the document before; see the tests of daemons that are behind.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;

use crate::links;
use crate::membership::{self, BeatNews};
use crate::state::DaemonState;

/// Time after which a neighbour that is not known to have the revision is told again: an answer takes a few
/// milliseconds, and 200 ms more where a packet is lost; a change must be in force everywhere in two seconds.
const TELL_AGAIN: Duration = Duration::from_millis(400);
/// Most times that one neighbour is told: for as long as a change may take; heartbeats go on after that.
const TELLINGS_MAX: usize = 5;

/// Tells each neighbour, in tasks of their own.
pub fn tell_neighbours(state: &Rc<DaemonState>) {
    let revision = state.config.revision();
    for host in state.members.neighbours(state) {
        let state = state.clone();
        monoio::spawn(async move { tell(&state, &host, revision).await });
    }
}

async fn tell(state: &Rc<DaemonState>, host: &str, revision: FleetRevision) {
    let path = state.peers.path(host);
    for count in 0..TELLINGS_MAX {
        let told_at = state.now();
        membership::beat_one(state, host, BeatNews::Own).await;
        monoio::time::sleep(TELL_AGAIN).await;
        let is_over = state.config.revision() > revision;
        if is_over || state.members.revision_of(host) >= revision {
            return;
        }
        tell_again(state, &path, told_at, count).await;
    }
}

/// Makes a new link to a daemon that was not heard of since it was told.
async fn tell_again(state: &Rc<DaemonState>, path: &Rc<PeerPath>, told_at: Duration, count: usize) {
    let now = state.now();
    let silent = path.silent_for(now);
    let is_silent = silent >= now.saturating_sub(told_at);
    metrics::TOLD_AGAIN.add_one();
    fleet::ToldAgain {
        host: &path.host,
        revision: state.config.revision().0,
        told: count as u64 + 1,
        silent_ms: silent.as_millis() as u64,
    }
    .log();
    if is_silent {
        links::renew(state, path).await;
    }
}
