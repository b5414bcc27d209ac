// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of the soak: why a run could not be made.

use std::io;
use std::path::PathBuf;

use basaltarch_core::errors::SettingError;
use basaltarch_http::errors::HttpError;
use basaltarch_telemetry::errors::StartError;
use snafu::Snafu;

/// `SoakError` says why a run could not be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SoakError {
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
    /// A program can't be started, or its log can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    Program {
        /// Path of the program or of its log.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A proxy can't listen.
    #[snafu(display("a proxy can't listen: {source}"))]
    Listen {
        /// What the system reported.
        source: io::Error,
    },
    /// A process did not do what was waited for.
    #[snafu(display("{name} did not come up: {what}"))]
    Silent {
        /// Name of the process.
        name: String,
        /// What was waited for.
        what: &'static str,
    },
    /// A process can't be talked to.
    #[snafu(display("{what}: {source}"))]
    Call {
        /// What was called.
        what: &'static str,
        /// What failed.
        source: HttpError,
    },
    /// A process refused what the soak asked of it.
    #[snafu(display("{what} was refused with status {status}"))]
    Refused {
        /// What was called.
        what: &'static str,
        /// Status of the answer.
        status: u16,
    },
}
