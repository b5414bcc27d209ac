// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs the crash bench, which is deterministic, in CI. Guards against changes of the decision code
//! by which a bad request crashes more servers, or more innocent requests are refused.

use basaltarch_bench::crashes;

#[test]
fn verify_bad_requests_crash_few_servers_and_innocent_ones_are_served() {
    // Runs the two smaller fleet sizes. The largest fleet size is run by hand.
    let plans = crashes::plans(true).into_iter().filter(|plan| plan.daemons <= 100);
    let results: Vec<_> = plans.map(|plan| (plan, crashes::run(plan))).collect();
    if let Err(error) = crashes::check(&results) {
        panic!("{error}");
    }
}
