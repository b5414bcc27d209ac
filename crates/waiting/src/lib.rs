// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Work that waits for a slot of a backend server.
//!
//! [`slots`] gives out the slots of one backend server to those who wait before them, at the daemon beside it.
//! [`places`] is the other side: work that found no free slot holds a place before the slots of several
//! backend servers, and goes to the first that calls it in (K. Ousterhout and others, "Sparrow: Distributed, Low
//! Latency Scheduling", 2013, section 3.5). Until then it has not been sent, so that it has not run, and the loss
//! of a host costs it a place and nothing else.
//!
//! Neither knows of links, services or the daemon: what they need of these comes as functions. The order among
//! those who wait is a decision of its own, `basaltarch_decide::order`.

pub mod places;
pub mod slots;
