// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What a run found, as text.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::judge::IN_FORCE_MAX;

/// `RunReport` is what a run found.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Requests whose answer says something of the configuration.
    pub words: u64,
    /// Documents that were acknowledged.
    pub steps: usize,
    /// Time from each acknowledgement until the document was in force at each host in touch, sorted.
    pub in_force: Vec<Duration>,
    /// How many findings there were.
    pub found: u64,
    /// The first of them.
    pub finds: Vec<String>,
}

impl RunReport {
    /// Returns how many times a document was in force at a host in touch later than it had to be.
    pub fn late_count(&self) -> usize {
        self.in_force.iter().filter(|took| **took > IN_FORCE_MAX).count()
    }
}

impl Display for RunReport {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Self { seed, requests, words, steps, in_force, found, .. } = self;
        let at = |share: f64| {
            let index =
                ((in_force.len() as f64 * share) as usize).min(in_force.len().saturating_sub(1));
            in_force.get(index).map_or(0.0, Duration::as_secs_f64)
        };
        let late = self.late_count();
        writeln!(out, "seed {seed}: {requests} requests, {words} with a word, {steps} documents")?;
        let (half, most, last) = (at(0.5), at(0.99), at(1.0));
        let count = in_force.len();
        writeln!(
            out,
            "  in force at hosts in touch: {count} times, median {half:.2} s, 99 in 100 within \
             {most:.2} s, longest {last:.2} s, {late} later than {} s",
            IN_FORCE_MAX.as_secs()
        )?;
        writeln!(out, "  findings: {found}")?;
        self.finds.iter().try_for_each(|find| writeln!(out, "    {find}"))
    }
}
