// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Whether a backend server is proven well enough for work that must not be repeated.
//!
//! The load is a service whose servers begin to hang by turns: work that is sent there is lost to its caller, and what
//! can't be repeated is lost for good. The first sign is that nothing ends any more, long before any piece of work is
//! late by itself. How long nothing may end follows from how much runs and how long it usually takes.

use std::time::Duration;

/// Usual times between two ends after which a server on which work runs is not proven any more: of sound ones, one in
/// seven is as quiet.
const QUIET_GAPS: f64 = 2.0;

/// `ProofTerms` is what is known of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProofTerms {
    /// Pieces of work that run there.
    pub running: u32,
    /// Time since work last ended well there, if any did.
    pub quiet: Option<Duration>,
    /// Time that the work which runs there usually takes, if known.
    pub usual: Option<Duration>,
}

impl ProofTerms {
    /// Says whether work that must not be repeated should go elsewhere for now, if it can. A server on which nothing
    /// runs is not unproven: one piece of work finds out, and no server stands idle for want of proof.
    pub fn is_unproven(&self) -> bool {
        let (Some(usual), true) = (self.usual, self.running > 0) else { return false };
        let gap = usual.as_secs_f64() / f64::from(self.running);
        self.quiet.is_none_or(|quiet| quiet.as_secs_f64() > QUIET_GAPS * gap)
    }
}
