// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Persistent data of basaltarch in the platform's store.
//!
//! [`platform`] is the client of the store: rows, their change feed, and objects. The client builds
//! on the calls of the crate `basaltarch-platform`. No other code of the fleet calls the store.
//! [`changes`] keeps the accepted configuration, [`ledger`] the rows of at-most-once requests, and
//! [`retention`] removes old rows of the ledger.

pub mod changes;
pub mod errors;
pub mod ledger;
pub mod platform;
pub mod retention;
pub mod transaction;
