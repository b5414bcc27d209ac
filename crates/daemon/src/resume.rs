// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Handles the resume of a suspended host.
//!
//! Time limits are measured by a clock that also runs during a suspend, so deadlines, grants,
//! budgets and the reports of other daemons have expired without further action. This module does
//! the rest: a path is not considered usable before a frame is received on that path, a response
//! time that spans the suspend is not counted against a server, and the peers are informed.

use std::rc::Rc;

use basaltarch_base::metrics;
use basaltarch_events::process::HostWoke;

use crate::membership::{self, HeartbeatContent};
use crate::state::DaemonState;

/// Handles each resume of the host, for ever.
pub async fn watch(state: Rc<DaemonState>) {
    let mut seen = 0;
    loop {
        seen = state.clock.resumed().above(seen).await;
        handle_resume(&state);
    }
}

fn handle_resume(state: &Rc<DaemonState>) {
    let slept_ms = state.clock.last_suspend().as_millis() as u64;
    HostWoke { slept_ms, in_flight: state.stop.in_flight() as u64 }.log();
    metrics::RESUMES.add_one();
    let now = state.now();
    for path in state.peers.linked() {
        path.note_resumed(now);
    }
    for upstream in state.host.all() {
        upstream.note_resumed();
    }
    // The replies report which revision is in force now, and carry the digest of the suspects.
    membership::send_heartbeats(state, HeartbeatContent::Own);
}
