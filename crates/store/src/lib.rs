// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The adapter to the platform, and what basaltarch keeps there.
//!
//! [`platform`] is the narrow client of the platform's table, object store and host list. On it
//! stand [`changes`], the accepted configuration, [`ledger`], the rows of once-only work, and
//! [`retention`], which removes old ones.
//! Nothing else in the fleet talks to the platform.

pub mod changes;
pub mod errors;
pub mod ledger;
pub mod platform;
pub mod retention;
pub mod wire;
