// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The results of a run, and their text form.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::checker::IN_FORCE_MAX;

/// `RunReport` holds the results of a run.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that callers sent.
    pub requests: u64,
    /// Number of requests whose response shows something of the configuration.
    pub conclusive: u64,
    /// Number of documents that the operator wrote.
    pub steps: usize,
    /// Times from the acknowledgement of each document until it was in force at each undisturbed
    /// host, sorted.
    pub in_force: Vec<Duration>,
    /// Number of findings.
    pub found: u64,
    /// Texts of the first findings.
    pub findings: Vec<String>,
}

impl RunReport {
    /// Returns how many times a document was in force at an undisturbed host later than
    /// [`IN_FORCE_MAX`].
    pub fn late_count(&self) -> usize {
        self.in_force.iter().filter(|took| **took > IN_FORCE_MAX).count()
    }
}

impl Display for RunReport {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Self { seed, requests, conclusive, steps, in_force, found, .. } = self;
        let at = |share: f64| {
            let index =
                ((in_force.len() as f64 * share) as usize).min(in_force.len().saturating_sub(1));
            in_force.get(index).map_or(0.0, Duration::as_secs_f64)
        };
        let late = self.late_count();
        writeln!(
            out,
            "seed {seed}: {requests} requests, {conclusive} with a word, {steps} documents"
        )?;
        let (half, most, last) = (at(0.5), at(0.99), at(1.0));
        let count = in_force.len();
        writeln!(
            out,
            "  in force at hosts in touch: {count} times, median {half:.2} s, 99 in 100 within \
             {most:.2} s, longest {last:.2} s, {late} later than {} s",
            IN_FORCE_MAX.as_secs()
        )?;
        writeln!(out, "  findings: {found}")?;
        self.findings.iter().try_for_each(|finding| writeln!(out, "    {finding}"))
    }
}
