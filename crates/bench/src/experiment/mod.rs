// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Paired comparison of two builds over the same days.
//!
//! Results differ far more between days than between builds, so a difference between builds shows
//! only between two runs of the same day and seed. [`day_runs`] runs days with the users' bench,
//! and [`verdict`] compares the results.

pub mod day_runs;
pub mod verdict;
