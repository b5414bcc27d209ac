// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The decision bench: how soon each ejection rule stops sending requests to a faulty upstream, and
//! how often the rule ejects a healthy upstream.
//!
//! The bench simulates the upstreams of one service in virtual time with seeded random numbers, and
//! runs the decision code of the daemon (`basaltarch-decide`) and plain rules in common use over
//! the upstreams. No network, platform or process is involved, and every run gives the same
//! figures.

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
