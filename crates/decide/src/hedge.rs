// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Hedging delay: how long an attempt at a repeatable request runs before it is hedged.
//!
//! A server that hangs would hold its caller until the deadline. The sooner the hedge is sent, the
//! more often it is in time, and the more often it was not needed. So it is sent as late as it can
//! still end within the objective. The workload is servers that accept requests and don't answer.

use std::time::Duration;

use crate::hang::UsualTime;

/// Deviations above the usual time after which another attempt is made at the earliest: a sixth of
/// healthy requests run longer, which is what a budget of a fifth pays for.
const DELAY_MIN: f64 = 1.0;
/// Deviations above the usual time after which another attempt is made at the latest: healthy
/// requests run longer once in 44 times.
const DELAY_MAX: f64 = 2.0;
/// Deviations above the usual time that should remain for the other attempt within the objective:
/// two of three attempts end in that time.
const REMAINING_MIN: f64 = 0.5;

/// Returns how long an attempt may run before another is made beside it; `until_objective` is the
/// time that remains until the objective, if there is one.
pub fn due_after(usual: &UsualTime, until_objective: Option<Duration>) -> Duration {
    let latest = usual.at(DELAY_MAX);
    let until_objective = match until_objective {
        Some(until_objective) => until_objective,
        None => return latest,
    };
    let in_time = until_objective.saturating_sub(usual.at(REMAINING_MIN));
    in_time.clamp(usual.at(DELAY_MIN), latest)
}
