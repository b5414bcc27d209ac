// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors that end a run or one of its steps.

use std::io;
use std::path::PathBuf;

use basaltarch_core::errors::SettingError;
use basaltarch_http::errors::HttpError;
use basaltarch_telemetry::errors::StartError;
use snafu::Snafu;

/// `SoakError` is the reason why a run, or one of its steps, failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SoakError {
    /// A setting is invalid.
    #[snafu(display("{source}"))]
    Setting {
        /// The invalid setting.
        source: SettingError,
    },
    /// The runtime did not start.
    #[snafu(display("{source}"))]
    Start {
        /// Error of the runtime.
        source: StartError,
    },
    /// A program can't be started, or its log can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    Program {
        /// Path of the program or of its log.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file with a mix of requests can't be read, or holds none.
    #[snafu(display("{}: {source}", path.display()))]
    MixFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system, or of the file's content.
        source: io::Error,
    },
    /// A fault proxy can't listen.
    #[snafu(display("fault proxy can't listen on 127.0.0.1: {source}"))]
    Listen {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A process did not log that it listens, or an address is missing from the logged line.
    #[snafu(display("{name} is not ready: {what} missing from its log"))]
    NotReady {
        /// Name of the process, or the line of its log that lacks an address.
        name: String,
        /// Line or field that is missing.
        what: &'static str,
    },
    /// A call to a process failed.
    #[snafu(display("{what}: {source}"))]
    Call {
        /// Purpose of the call.
        what: &'static str,
        /// Error of the exchange.
        source: HttpError,
    },
    /// A process refused a call.
    #[snafu(display("{what}: refused with status {status}"))]
    Refused {
        /// Purpose of the call.
        what: &'static str,
        /// Status of the response.
        status: u16,
    },
}
