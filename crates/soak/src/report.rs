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
    /// Number of requests whose response shows something about the configuration.
    pub conclusive: u64,
    /// Number of documents that the operator wrote.
    pub steps: usize,
    /// Times from the acknowledgement of each document until it was in force at each undisturbed
    /// host, sorted.
    pub in_force: Vec<Duration>,
    /// Number of findings.
    pub finding_count: u64,
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
        let Self { seed, requests, conclusive, steps, in_force, finding_count, .. } = self;
        let quantile = |share: f64| {
            let index =
                ((in_force.len() as f64 * share) as usize).min(in_force.len().saturating_sub(1));
            in_force.get(index).map_or(0.0, Duration::as_secs_f64)
        };
        let late_count = self.late_count();
        writeln!(
            out,
            "seed {seed}: {requests} requests, {conclusive} conclusive, {steps} documents"
        )?;
        let (median, p99, longest) = (quantile(0.5), quantile(0.99), quantile(1.0));
        let count = in_force.len();
        writeln!(
            out,
            "  in force at undisturbed hosts: {count} times, median {median:.2} s, 99 in 100 \
             within {p99:.2} s, longest {longest:.2} s, {late_count} later than {} s",
            IN_FORCE_MAX.as_secs()
        )?;
        writeln!(out, "  findings: {finding_count}")?;
        self.findings.iter().try_for_each(|finding| writeln!(out, "    {finding}"))
    }
}
