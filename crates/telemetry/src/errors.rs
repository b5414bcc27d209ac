// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors that occur while a process starts.

use std::io;

use snafu::Snafu;

/// `StartError` says why the runtime, signals or metrics of a process could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StartError {
    /// The runtime could not be built.
    #[snafu(display("the runtime can't be built: {source}"))]
    Runtime {
        /// What the operating system reported.
        source: io::Error,
    },
    /// The process can't subscribe to signals.
    #[snafu(display("signals can't be received: {source}"))]
    Signals {
        /// What the operating system reported.
        source: io::Error,
    },
    /// The metrics can't be set up.
    #[snafu(display("the metrics can't be set up: {message}"))]
    Metrics {
        /// What the metrics library reported.
        message: String,
    },
}
