// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The events that the daemon logs.
//!
//! Every line of the log is one event of this crate: the message of the line is the name of the
//! event, and the fields of the line are those of the event's type. So names, fields and units are
//! defined in one place. docs/REFERENCE.md lists all events, and a test compares the list with this
//! crate. Fields whose names end in `_ms` are times in milliseconds.

#![forbid(unsafe_code)]

pub mod catalogue;
pub mod fleet;
pub mod process;
pub mod requests;
pub mod servers;

pub use catalogue::{entries, EventEntry, FieldEntry};
