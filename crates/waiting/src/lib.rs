// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests that wait for a slot of a backend server.
//!
//! [`slots`] assigns the slots of one backend server to the requests that wait for them, in the
//! daemon on its host. [`reservations`] is the side of the ingress: a request that found no free
//! slot holds reservations with several backend servers, and goes to the first that offers it a
//! slot (late binding: K. Ousterhout and others, "Sparrow: Distributed, Low Latency Scheduling",
//! 2013, section 3.5). Until a slot is offered, the request has not been sent and can't have run,
//! so that the loss of a host costs the request one reservation and nothing else.
//!
//! Neither module depends on links, services or the daemon: callers pass in what is needed of them
//! as functions. The order of the waiting requests is decided in `basaltarch_decide::order`.

pub mod reservations;
pub mod slots;
