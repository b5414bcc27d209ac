// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The results of a run, and the text that is printed for them.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use crate::checker::IN_FORCE_DELAY_MAX;

/// `RunReport` holds the results of a run.
#[derive(Debug, Clone, Default)]
pub struct RunReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that callers sent.
    pub requests: u64,
    /// Number of requests whose response shows something about the configuration.
    pub conclusive_count: u64,
    /// Number of non-repeatable requests that were reported as not run.
    pub refused_count: usize,
    /// Number of documents that the operator wrote.
    pub document_count: usize,
    /// Times from the acknowledgement of each document until the document was in force at each
    /// undisturbed host, sorted.
    pub in_force_delays: Vec<Duration>,
    /// Number of leavings of backend servers that were acknowledged and watched.
    pub leaving_count: usize,
    /// Number of findings.
    pub finding_count: u64,
    /// Texts of the first findings, each with the time of the run.
    pub findings: Vec<String>,
}

impl RunReport {
    /// Returns how many of the times in `in_force_delays` exceed [`IN_FORCE_DELAY_MAX`].
    pub fn late_count(&self) -> usize {
        self.in_force_delays.iter().filter(|delay| **delay > IN_FORCE_DELAY_MAX).count()
    }
}

impl Display for RunReport {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            seed,
            requests,
            conclusive_count,
            refused_count,
            document_count,
            in_force_delays,
            leaving_count,
            finding_count,
            ..
        } = self;
        let quantile = |share: f64| {
            let index = ((in_force_delays.len() as f64 * share) as usize)
                .min(in_force_delays.len().saturating_sub(1));
            in_force_delays.get(index).map_or(0.0, Duration::as_secs_f64)
        };
        let late_count = self.late_count();
        writeln!(
            out,
            "seed {seed}: {requests} requests, {conclusive_count} conclusive, {refused_count} refused, \
             {document_count} documents"
        )?;
        let (median, p99, longest) = (quantile(0.5), quantile(0.99), quantile(1.0));
        let delay_count = in_force_delays.len();
        writeln!(
            out,
            "  in force at undisturbed hosts: {delay_count} times, median {median:.2} s, 99 in 100 \
             within {p99:.2} s, longest {longest:.2} s, {late_count} later than {} s",
            IN_FORCE_DELAY_MAX.as_secs()
        )?;
        writeln!(out, "  acknowledged leavings: {leaving_count}")?;
        writeln!(out, "  findings: {finding_count}")?;
        self.findings.iter().try_for_each(|finding| writeln!(out, "    {finding}"))
    }
}
