// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What a daemon knows of all hosts of the fleet, without input or output.
//!
//! The work for one change must not grow with the number of hosts, since the number of changes does
//! as well. [`row_log`] holds the rows of all hosts by the version of their last change, so that a
//! daemon that relays rows finds the next ones to send. [`host_index`] finds hosts by what their
//! rows say of them.

pub mod host_index;
pub mod row_log;
