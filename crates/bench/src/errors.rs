// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of the bench.

use basaltarch_core::errors::SettingError;
use basaltarch_http::errors::HttpError;
use basaltarch_telemetry::errors::StartError;
use snafu::Snafu;

/// `BenchError` says why a measurement could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BenchError {
    /// A setting is wrong.
    #[snafu(display("{source}"))]
    Setting {
        /// What is wrong.
        source: SettingError,
    },
    /// The runtime failed.
    #[snafu(display("{source}"))]
    Start {
        /// What failed.
        source: StartError,
    },
    /// A process can't be talked to.
    #[snafu(display("{what}: {source}"))]
    Call {
        /// What was called.
        what: String,
        /// What failed.
        source: HttpError,
    },
    /// A file can't be written or read.
    #[snafu(display("{path}: {message}"))]
    File {
        /// Path of the file.
        path: String,
        /// What failed.
        message: String,
    },
    /// A result is outside its bound.
    #[snafu(display("{message}"))]
    Bound {
        /// Which result, and its bound.
        message: String,
    },
}
