// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of starting and running the daemon.

use std::io;
use std::net::SocketAddr;

use basaltarch_base::clock::ClockError;
use basaltarch_core::errors::SettingError;
use basaltarch_telemetry::errors::StartError;
use snafu::Snafu;

/// `DaemonError` says why the daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum DaemonError {
    /// A setting is wrong.
    #[snafu(display("{source}"))]
    Setting {
        /// What is wrong.
        source: SettingError,
    },
    /// The system has no suitable clock.
    #[snafu(display("{source}"))]
    Clock {
        /// What is wrong.
        source: ClockError,
    },
    /// The runtime, the signals or the metrics could not be set up.
    #[snafu(display("{source}"))]
    Start {
        /// What failed.
        source: StartError,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
}
