// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Decision logic of the fleet (balancing, ejection, circuit breaking, retries, rate limits),
//! without I/O.
//!
//! The daemon and the decision bench run the same code: time is passed in as the duration since an
//! arbitrary start, randomness as a generator. Nothing here blocks, sends or receives.

pub mod adaptive_timeout;
pub mod admission;
pub mod balance;
pub mod baseline;
pub mod breaker;
pub mod budget;
pub mod cold_start;
pub mod detector;
pub mod distance;
pub mod estimates;
pub mod evacuation;
pub mod eviction;
pub mod evidence;
pub mod fleet_start;
pub mod floor;
pub mod freshness;
pub mod grants;
pub mod hang;
pub mod health;
pub mod hedge;
pub mod limits;
pub mod neighbours;
pub mod order;
pub mod pace;
pub mod path;
pub mod pause;
pub mod poison;
pub mod polling;
pub mod probing;
pub mod progress;
pub mod recovery;
pub mod server_incarnation;
pub mod server_rate;
pub mod split;
pub mod stop;
pub mod suspects;
