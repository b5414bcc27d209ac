// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of the benches.

use basaltarch_core::errors::SettingError;
use basaltarch_http::errors::HttpError;
use basaltarch_telemetry::errors::StartError;
use snafu::Snafu;

/// `BenchError` is the reason why a measurement could not be made or failed its check.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BenchError {
    /// A setting is invalid.
    #[snafu(display("{source}"))]
    Setting {
        /// The setting and why it is invalid.
        source: SettingError,
    },
    /// The runtime could not be started.
    #[snafu(display("{source}"))]
    Start {
        /// Error of the runtime.
        source: StartError,
    },
    /// A call to a process failed.
    #[snafu(display("{what}: {source}"))]
    Call {
        /// Process that was called, with its address.
        what: String,
        /// Error of the call.
        source: HttpError,
    },
    /// A file can't be written or read.
    #[snafu(display("{path}: {message}"))]
    File {
        /// Path of the file.
        path: String,
        /// Error of the operation on the file.
        message: String,
    },
    /// A result is outside its bound.
    #[snafu(display("{message}"))]
    Bound {
        /// The result and its bound.
        message: String,
    },
}
