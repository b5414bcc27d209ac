// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What basaltarch keeps in the platform's store.
//!
//! [`platform`] is the one client of the store: rows, their feed, and objects, by the calls of the
//! crate `basaltarch-platform`. On it stand [`changes`], the accepted configuration, [`ledger`], the
//! rows of once-only work, and [`retention`], which removes old ones.
//! Nothing else in the fleet talks to the store.

pub mod changes;
pub mod errors;
pub mod ledger;
pub mod platform;
pub mod retention;
pub mod wire;
