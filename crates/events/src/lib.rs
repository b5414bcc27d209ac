// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The events that the daemon logs.
//!
//! Every line of the log is one event of this crate: its message is the event's name, and its
//! fields are those of the event's type. So names, fields and units are defined in one place;
//! docs/REFERENCE.md lists them, and a test compares the two. Times in fields are in milliseconds,
//! as their names say by `_ms`.

#![forbid(unsafe_code)]

pub mod catalogue;
pub mod fleet;
pub mod process;
pub mod requests;
pub mod servers;

pub use catalogue::{entries, EventEntry, FieldEntry};
