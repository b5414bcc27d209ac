// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How an attempt fails after its request was sent, and what the fault says about the request and
//! about the server.

use basaltarch_core::outcome::{FailureOutcome, UnknownReason};
use basaltarch_decide::breaker::FailureKind;
use basaltarch_decide::evidence::RequestEvidence;

use crate::host::verify::ServerRefusal;

/// `AttemptFault` says how an attempt failed after the request was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// The ingress cancelled the attempt.
    Cancelled,
    /// The deadline passed before the response head arrived.
    TimedOut,
    /// The connection broke before the response head arrived.
    Broken,
    /// The response was malformed or truncated.
    BadAnswer,
    /// The response to the request says that the request did not run.
    Refused(ServerRefusal),
    /// The ingress no longer reads the response.
    SinkGone,
    /// The caller doesn't send its body or read the response.
    CallerStalled,
}

impl AttemptFault {
    /// Returns the name of the fault in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::TimedOut => "timed-out",
            Self::Broken => "connection-broken",
            Self::BadAnswer => "bad-answer",
            Self::Refused(_) => "refused",
            Self::SinkGone => "ingress-gone",
            Self::CallerStalled => "caller-stalled",
        }
    }

    /// Returns the outcome that is reported to the ingress.
    pub fn outcome(self) -> FailureOutcome {
        match self {
            Self::Cancelled | Self::SinkGone => FailureOutcome::Unknown(UnknownReason::CallerGone),
            Self::CallerStalled => FailureOutcome::Unknown(UnknownReason::CallerStalled),
            Self::TimedOut => FailureOutcome::Unknown(UnknownReason::TimedOut),
            Self::Broken => FailureOutcome::Unknown(UnknownReason::BackendBroken),
            Self::BadAnswer => FailureOutcome::Unknown(UnknownReason::AnswerBroken),
            Self::Refused(refusal) => FailureOutcome::NotRun(refusal.reason()),
        }
    }

    /// Says whether the connection to the server broke, or the response was malformed or truncated.
    pub fn is_connection_failure(self) -> bool {
        matches!(self, Self::Broken | Self::BadAnswer)
    }

    /// Returns how the server failed, or `None` if the fault is not the server's.
    pub fn failure(self) -> Option<FailureKind> {
        match self {
            Self::Broken | Self::BadAnswer => Some(FailureKind::Broken),
            Self::TimedOut => Some(FailureKind::TimedOut),
            _ => None,
        }
    }

    /// Returns the evidence that the fault gives about the server.
    pub fn evidence(self, was_overdue: bool) -> RequestEvidence {
        match self {
            Self::Broken | Self::BadAnswer => RequestEvidence::Failed,
            // A timeout only bounds the service time from below (a censored observation). A timeout
            // is therefore evidence only if the request was overdue.
            Self::TimedOut if was_overdue => RequestEvidence::Failed,
            _ => RequestEvidence::Neutral,
        }
    }
}
