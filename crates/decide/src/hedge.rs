// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Hedge delay: when a hedged attempt at a repeatable request is made beside one that is late.
//!
//! A server that hangs would hold its caller until the deadline. The sooner the hedged attempt is
//! made, the more often it is in time, and the more often it was not needed: the criterion is
//! whether it can still end within the objective. The workload is that of servers that accept
//! requests and do not answer.

use std::time::Duration;

use crate::hang::UsualTime;

/// Deviations above the typical service time after which the hedged attempt is made at the
/// earliest: a sixth of sound requests run longer, which is what a budget of a fifth pays for.
const DELAY_MIN: f64 = 1.0;
/// Deviations above the typical service time after which it is made at the latest: sound requests
/// run longer once in 44 times.
const DELAY_MAX: f64 = 2.0;
/// Deviations above the typical service time that should be left for it within the objective: two
/// of three attempts end in that.
const REMAINING_MIN: f64 = 0.5;

/// Returns how long an attempt may run before a hedged one is made beside it, where `left` remains
/// of the objective, if there is one.
pub fn due_after(usual: &UsualTime, left: Option<Duration>) -> Duration {
    let latest = usual.at(DELAY_MAX);
    let left = match left {
        Some(left) => left,
        None => return latest,
    };
    let in_time = left.saturating_sub(usual.at(REMAINING_MIN));
    in_time.clamp(usual.at(DELAY_MIN), latest)
}
