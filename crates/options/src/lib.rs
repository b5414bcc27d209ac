// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings of the daemon, validated at start.
//!
//! `raw` holds the settings as given by flags and the settings file, `check` validates them into
//! the options that the daemon runs with, and `restart` lists the settings that can't change while
//! it runs. `values` parses values by form, and `bounds` derives limits from the resources that the
//! platform grants the daemon. `source` says where the configuration comes from, `defaults` holds
//! the defaults for services, and `waiting` says where requests are queued.

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
