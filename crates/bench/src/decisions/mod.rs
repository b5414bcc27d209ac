// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The decision bench: how soon each rule stops sending work to a sick upstream, and how often it
//! takes a healthy one out.
//!
//! It runs the decision code of the daemon (`basaltarch-decide`) beside plain rules in common use,
//! over scripted upstreams of one service in virtual time, with seeded random numbers. There is no
//! network, no platform and no process in it, and every run gives the same figures.

pub mod actors;
pub mod bounds;
pub mod chart;
pub mod faults;
pub mod hosts;
pub mod ingresses;
pub mod measure;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod suite;
pub mod world;
