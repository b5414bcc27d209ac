// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decision logic of the fleet (balancing, ejection, circuit breaking, retries, rate limits),
//! without I/O.
//!
//! The daemon and the decision bench run the same code: time is passed in as the duration since an
//! arbitrary start, randomness as a generator. Nothing here blocks, sends or receives.

pub mod allowance;
pub mod balance;
pub mod baseline;
pub mod budget;
pub mod caution;
pub mod detector;
pub mod distance;
pub mod evidence;
pub mod floor;
pub mod freshness;
pub mod grants;
pub mod hang;
pub mod health;
pub mod limits;
pub mod look;
pub mod neighbours;
pub mod order;
pub mod path;
pub mod patience;
pub mod poison;
pub mod proof;
pub mod recovery;
pub mod split;
pub mod start;
pub mod stop;
pub mod suspects;
pub mod track;
