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
    /// A setting is wrong.
    #[snafu(display("{source}"))]
    Setting {
        /// What is wrong.
        source: SettingError,
    },
    /// A file can't be used.
    #[snafu(display("{path}: {message}"))]
    BadFile {
        /// Path of the file.
        path: String,
        /// What is wrong.
        message: String,
    },
    /// No line of the logs names the request.
    #[snafu(display("no line of these logs names the request {request}"))]
    NotFound {
        /// Id of the request.
        request: String,
    },
    /// The daemon can't be talked to.
    #[snafu(display("the daemon at {address}: {source}"))]
    Unreachable {
        /// Address of the daemon.
        address: String,
        /// What failed.
        source: HttpError,
    },
    /// The daemon refused.
    #[snafu(display("{message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// What the daemon said.
        message: String,
    },
    /// Some daemons did not have the revision in time.
    #[snafu(display("revision {revision} is not in force on: {hosts}"))]
    Lagging {
        /// The revision.
        revision: u64,
        /// Hosts that lag.
        hosts: String,
    },
}

impl CommandError {
    /// Returns the exit status: 1 failed, 2 bad settings or file, 3 conflict with another change,
    /// 4 store away or outcome not known, 5 daemons lag.
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
