// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! When another attempt at repeatable work is made beside one that is late.
//!
//! A server that hangs would hold its caller until the deadline. The sooner another attempt is made,
//! the more often it is in time, and the more often it was not needed: what decides is whether it can
//! still end within the objective. The load is that of servers that take work and do not answer.

use std::time::Duration;

use crate::hang::UsualTime;

/// Deviations above the usual time after which another attempt is made at the earliest: a sixth of
/// sound work lasts longer, which is what a budget of a fifth pays for.
const PATIENCE_MIN: f64 = 1.0;
/// Deviations above the usual time after which it is made at the latest: sound work lasts longer once
/// in 44 times.
const PATIENCE_MAX: f64 = 2.0;
/// Deviations above the usual time that should be left for it within the objective: two of three
/// attempts end in that.
const PATIENCE_LEFT: f64 = 0.5;

/// Returns how long an attempt is waited for before another is made beside it, where `left` remains of
/// the objective, if there is one.
pub fn of(usual: &UsualTime, left: Option<Duration>) -> Duration {
    let latest = usual.at(PATIENCE_MAX);
    let left = match left {
        Some(left) => left,
        None => return latest,
    };
    let in_time = left.saturating_sub(usual.at(PATIENCE_LEFT));
    in_time.clamp(usual.at(PATIENCE_MIN), latest)
}
