// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The crash bench gates CI; it is deterministic.

use basaltarch_bench::crashes;

#[test]
fn verify_bad_requests_crash_few_servers_and_innocent_ones_are_served() {
    // The two smaller fleet sizes; the largest is run by hand.
    let plans = crashes::plans(true).into_iter().filter(|plan| plan.daemons <= 100);
    let results: Vec<_> = plans.map(|plan| (plan, crashes::run(plan))).collect();
    if let Err(error) = crashes::check(&results) {
        panic!("{error}");
    }
}
