// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Errors of the platform's store.

use basaltarch_core::errors::ResourceError;
use snafu::Snafu;

use crate::transaction::TableRow;

/// `StoreError` says why a call to the store failed and whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The call certainly did not take effect.
    #[snafu(display("the platform can't be reached: {message}"))]
    Unreachable {
        /// Error of the attempt to connect.
        message: String,
    },
    /// The answer to the call was lost, so the call may have taken effect.
    #[snafu(display("the platform's answer was lost: {message}"))]
    AnswerLost {
        /// Error that ended the call.
        message: String,
    },
    /// The platform rejected the call, for instance by rate limiting.
    #[snafu(display("the platform refused the call with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// At least one row did not have the version that the transaction requires.
    #[snafu(display("{} rows do not have the expected versions", rows.len()))]
    Conflict {
        /// Current contents of the rows that did not have the required version.
        rows: Vec<TableRow>,
    },
    /// The answer could not be parsed.
    #[snafu(display("the platform's answer can't be read: {message}"))]
    Malformed {
        /// What the parser reported.
        message: String,
    },
    /// The call exceeds this process's own rate limit and was not made.
    #[snafu(display("this process's rate limit on calls to the platform is exhausted"))]
    OverBudget,
}

impl StoreError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_happened(&self) -> bool {
        matches!(self, Self::AnswerLost { .. } | Self::Malformed { .. })
    }
}

/// Builds a [`StoreError::Malformed`].
pub fn malformed(message: impl ToString) -> StoreError {
    StoreError::Malformed { message: message.to_string() }
}

/// `ChangeError` says why a change of the configuration was not accepted.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(visibility(pub))]
pub enum ChangeError {
    /// The change is not valid.
    #[snafu(display("{source}"))]
    Invalid {
        /// Reason why the change is not valid.
        source: ResourceError,
    },
    /// A guard does not match the revision of the resource in force.
    #[snafu(display("{path} is at revision {in_force}, not at {expected}"))]
    GuardFailed {
        /// Path of the resource.
        path: String,
        /// Revision that the operator expected; 0 if the operator expected no such resource.
        expected: u64,
        /// Revision of the resource in force; 0 if the resource does not exist.
        in_force: u64,
        /// Value of the resource in force, as JSON.
        value: Option<serde_json::Value>,
    },
    /// Every attempt conflicted with a concurrent change of the configuration.
    #[snafu(display(
        "every attempt conflicted with a concurrent change of the configuration; try again"
    ))]
    Contended,
    /// The platform failed before the change took effect.
    #[snafu(display("{source}"))]
    Store {
        /// Error of the call to the platform.
        source: StoreError,
    },
    /// The store's answer was lost, and reading the store did not show whether the change took
    /// effect.
    #[snafu(display(
        "unknown whether the change was accepted; look for writer {writer} in the audit trail"
    ))]
    Unsettled {
        /// Token of the writer in the audit trail.
        writer: String,
    },
}
