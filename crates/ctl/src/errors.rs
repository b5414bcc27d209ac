// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of the command line and the exit status of each.

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings::EXIT_BAD_SETTINGS;
use basaltarch_http::errors::HttpError;
use snafu::Snafu;

/// `CommandError` says why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CommandError {
    /// A setting is invalid.
    #[snafu(display("{source}"))]
    Setting {
        /// Why the setting is invalid.
        source: SettingError,
    },
    /// A file can't be used.
    #[snafu(display("{path}: {message}"))]
    BadFile {
        /// Path of the file.
        path: String,
        /// Why the file can't be used.
        message: String,
    },
    /// No line of the logs carries the id of the request.
    #[snafu(display("the given logs contain no line of request {request}"))]
    NotFound {
        /// Id of the request.
        request: String,
    },
    /// No complete response was received from the daemon.
    #[snafu(display("call to the daemon at {address} failed: {source}"))]
    Unreachable {
        /// Address of the daemon.
        address: String,
        /// Why the call failed.
        source: HttpError,
    },
    /// The daemon refused the call.
    #[snafu(display("{message}"))]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Reason that the daemon gave.
        message: String,
    },
    /// Some daemons did not put a revision in force within the time allowed.
    #[snafu(display("revision {revision} is not in force on: {hosts}"))]
    Lagging {
        /// Revision that the daemons should have in force.
        revision: u64,
        /// Hosts whose daemons have an earlier revision.
        hosts: String,
    },
}

impl CommandError {
    /// Returns the exit status: 1 failed, 2 invalid settings or file, 3 conflict with another
    /// change, 4 store unavailable or outcome unknown, 5 some daemons have an earlier revision.
    pub fn exit_status(&self) -> i32 {
        match self {
            Self::Setting { .. } | Self::BadFile { .. } => EXIT_BAD_SETTINGS,
            Self::Unreachable { .. } | Self::NotFound { .. } => 1,
            Self::Refused { status, .. } => match status {
                409 | 412 => 3,
                503 | 504 => 4,
                _ => 1,
            },
            Self::Lagging { .. } => 5,
        }
    }
}
