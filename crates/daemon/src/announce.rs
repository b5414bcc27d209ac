// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Announces the revision in force here to the neighbours, until each is known to have it.
//!
//! An announcement may be lost without an error, as a connection can be black-holed. It is
//! therefore repeated along a new link to a neighbour that does not reply. It is also repeated to a
//! neighbour that replies with an earlier revision, since its request for the changes may be lost
//! as well. Without the repeats, a daemon whose connections were black-holed would answer from the
//! previous document until its call to the store is over.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;

use crate::links;
use crate::membership::{self, HeartbeatContent};
use crate::state::DaemonState;

/// Time after which the revision is announced again to a neighbour that is not known to have it: a
/// reply takes a few milliseconds, and 200 ms more if a packet is lost; a change must be in force
/// everywhere within two seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of announcements to one neighbour: they are repeated for the two seconds that a
/// change may take to be in force everywhere. After that, only the regular heartbeats report the
/// revision.
const ANNOUNCEMENTS_MAX: usize = 5;

/// Announces the revision in force to each neighbour, in a task for each.
pub fn announce_revision(state: &Rc<DaemonState>) {
    let revision = state.config.revision();
    for host in state.members.neighbours(state) {
        let state = state.clone();
        monoio::spawn(async move { announce(&state, &host, revision).await });
    }
}

async fn announce(state: &Rc<DaemonState>, host: &str, revision: FleetRevision) {
    let path = state.peers.path(host);
    for count in 0..ANNOUNCEMENTS_MAX {
        let announced_at = state.now();
        membership::send_heartbeat(state, host, HeartbeatContent::Own).await;
        monoio::time::sleep(CONFIRM_TIMEOUT).await;
        let is_superseded = state.config.revision() > revision;
        if is_superseded || state.members.revision_of(host) >= revision {
            return;
        }
        prepare_retry(state, &path, announced_at, count).await;
    }
}

/// Logs that an announcement is repeated. Dials a new link to a neighbour from which nothing has
/// been received since `announced_at`.
async fn prepare_retry(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
    announced_at: Duration,
    count: usize,
) {
    let now = state.now();
    let silence = path.time_since_frame(now);
    let is_unresponsive = silence >= now.saturating_sub(announced_at);
    metrics::REVISION_REANNOUNCED.add_one();
    fleet::ToldAgain {
        host: &path.host,
        revision: state.config.revision().0,
        told: count as u64 + 1,
        silent_ms: silence.as_millis() as u64,
    }
    .log();
    if is_unresponsive {
        links::renew(state, path).await;
    }
}
