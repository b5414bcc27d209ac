// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings of the daemon, checked at start.
//!
//! `raw` takes them as flags and the settings file give them, `check` makes of these what the daemon
//! runs with, and `restart` tells what can't change while it runs. `values` reads one value of each
//! form, `bounds` works out what depends on what the platform lets the daemon have. `source` and
//! `defaults` are what the configuration starts from, `waiting` says where work waits.

mod bounds;
mod check;
mod defaults;
mod raw;
mod restart;
mod source;
mod values;
mod waiting;

pub use check::DaemonOptions;
pub use defaults::ServiceDefaults;
pub use raw::RawOptions;
pub use source::ConfigSource;
pub use waiting::WaitingMode;
