// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What a daemon does when its host wakes from a suspension.
//!
//! What holds for a time goes by a clock that ran on, so deadlines, grants, budgets and what was heard of
//! others have passed by themselves. Left to do is what no clock does: to take no path for one that works
//! before it is heard on, to hold nothing measured across the sleep against a server, and to tell the peers.

use std::rc::Rc;

use basaltarch_base::metrics;
use basaltarch_events::process::HostWoke;

use crate::membership::{self, BeatNews};
use crate::state::DaemonState;

/// Handles each waking of the host, for ever.
pub async fn watch(state: Rc<DaemonState>) {
    let mut seen = 0;
    loop {
        seen = state.clock.woke().above(seen).await;
        note_woke(&state);
    }
}

fn note_woke(state: &Rc<DaemonState>) {
    let slept_ms = state.clock.last_sleep().as_millis() as u64;
    HostWoke { slept_ms, in_flight: state.stop.in_flight() as u64 }.log();
    metrics::WAKES.add_one();
    let now = state.now();
    for path in state.peers.linked() {
        path.note_slept(now);
    }
    for upstream in state.host.all() {
        upstream.note_slept();
    }
    // Its answers tell what is in force now, and carry the digest of the suspects.
    membership::beat(state, BeatNews::Own);
}
