// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The suites, and the bounds that gate CI.

use crate::decisions::rules::RULES;
use crate::decisions::scenario::{CASES, DEPLOYMENTS, LOADS};
use crate::decisions::suite::SuitePlan;

/// Returns the whole suite: every case, severity, load and deployment.
pub fn whole_suite(seeds: u64) -> SuitePlan {
    SuitePlan {
        cases: (0..CASES.len()).collect(),
        severities: (0..5).collect(),
        loads: LOADS.to_vec(),
        deployments: DEPLOYMENTS.to_vec(),
        rules: RULES.to_vec(),
        seeds: (1..=seeds).collect(),
    }
}
