// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of the core crate and constructors for them.

use snafu::Snafu;

/// `ResourceError` is the reason why a resource, or a set of resources, is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ResourceError {
    /// A field holds a value that is not allowed.
    #[snafu(display("{path}: {value} is not allowed; allowed: {allowed}"))]
    BadValue {
        /// Path of the field, such as `services/solver-app.floor`.
        path: String,
        /// The value as given.
        value: String,
        /// What would be accepted.
        allowed: String,
    },
    /// The body can't be read as this kind of resource.
    #[snafu(display("{path}: {message}"))]
    Malformed {
        /// Path of the resource.
        path: String,
        /// What the parser reported.
        message: String,
    },
    /// A resource refers to another resource that does not exist.
    #[snafu(display("{path}: refers to {target}, which does not exist"))]
    Dangling {
        /// Path of the field that holds the reference.
        path: String,
        /// Path of the missing resource.
        target: String,
    },
    /// The kind of resource is unknown.
    #[snafu(display("kind {kind} is unknown; allowed: {allowed}"))]
    UnknownKind {
        /// The kind as given.
        kind: String,
        /// Names of all known kinds.
        allowed: String,
    },
}

/// Builds a [`ResourceError::BadValue`].
pub fn bad_value(path: impl Into<String>, value: impl ToString, allowed: &str) -> ResourceError {
    ResourceError::BadValue {
        path: path.into(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}

/// Builds a [`ResourceError::Malformed`].
pub fn malformed(path: impl Into<String>, message: impl ToString) -> ResourceError {
    ResourceError::Malformed { path: path.into(), message: message.to_string() }
}

/// Builds a [`ResourceError::Dangling`].
pub fn dangling(path: impl Into<String>, target: impl Into<String>) -> ResourceError {
    ResourceError::Dangling { path: path.into(), target: target.into() }
}

/// `SettingError` says which setting is wrong, which value was given, and which values are allowed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SettingError {
    /// A setting that has no default was not given.
    #[snafu(display("--{flag} is required (or the environment variable {variable})"))]
    Missing {
        /// Name of the flag without dashes.
        flag: String,
        /// Name of the environment variable.
        variable: String,
    },
    /// A line of the settings file is not a setting.
    #[snafu(display("line {number} of the settings file is not \"flag = value\": {line:?}"))]
    BadLine {
        /// Number of the line, from 1.
        number: usize,
        /// Text of the line.
        line: String,
    },
    /// The settings file names a flag that does not exist.
    #[snafu(display("the settings file sets {flag:?}, which is not a known flag"))]
    Unknown {
        /// Name of the flag as given.
        flag: String,
    },
    /// The settings file can't be read.
    #[snafu(display("cannot read the settings file {path}: {message}"))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        message: String,
    },
    /// A setting holds a value that is not allowed.
    #[snafu(display("--{flag} (or {variable}): {value:?} is not allowed; allowed: {allowed}"))]
    Invalid {
        /// Name of the flag without dashes.
        flag: String,
        /// Name of the environment variable.
        variable: String,
        /// The value as given.
        value: String,
        /// What would be accepted.
        allowed: String,
    },
}
