// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Plays the same days with two builds in turn and compares them in pairs.
//!
//! Days differ far more from each other than builds do, so a difference is only seen between two
//! plays of the same day and seed. [`plays`] runs the users' bench, [`verdict`] compares.

pub mod plays;
pub mod verdict;
