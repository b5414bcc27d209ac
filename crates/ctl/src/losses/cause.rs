// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Why a request was lost.

use std::fmt;

use crate::losses::record::{RequestEnd, RequestRecord};
use crate::losses::LogGathering;

/// Status with which a backend server says that the time it was given is over.
const TIMED_OUT: u64 = 504;

/// `LossCause` is why a caller got no good answer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Refused before an upstream was chosen.
    Rejected(String),
    /// No upstream took it.
    Refused {
        /// Reason that the caller was told.
        reason: String,
        /// Whether a trusted server had a free slot then.
        free: bool,
    },
    /// A backend server held it until its time was over.
    Hung {
        /// Whether the work made a call.
        called: bool,
    },
    /// A call that its work made was lost, for this reason.
    CallLost(Box<LossCause>),
    /// The backend server answered with an error of its own.
    ServerError,
    /// The connection to the backend server or to its host broke.
    Broken(String),
    /// The caller went away before an answer.
    CallerGone,
    /// The answer broke off on its way to the caller.
    CutShort,
    /// The logs tell of no end.
    NothingSeen,
}

impl fmt::Display for LossCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rejected(reason) => write!(formatter, "rejected ({reason})"),
            Self::Refused { reason, free: true } => {
                write!(formatter, "refused ({reason}), a trusted server was free")
            }
            Self::Refused { reason, free: false } => write!(formatter, "refused ({reason})"),
            Self::Hung { called: true } => formatter.write_str("hung after a call"),
            Self::Hung { called: false } => formatter.write_str("hung without a call"),
            Self::CallLost(cause) => write!(formatter, "a call was lost: {cause}"),
            Self::ServerError => formatter.write_str("server error"),
            Self::Broken(reason) => write!(formatter, "broken ({reason})"),
            Self::CallerGone => formatter.write_str("caller gone"),
            Self::CutShort => formatter.write_str("answer cut short"),
            Self::NothingSeen => formatter.write_str("nothing seen"),
        }
    }
}

/// Returns why a request was lost; none if it was served. `calls` are those that its work made.
pub fn of(
    gathering: &LogGathering,
    record: &RequestRecord,
    calls: &[&RequestRecord],
) -> Option<LossCause> {
    let cause = match &record.end {
        Some(RequestEnd::Answered { status, .. }) if *status < 500 => return None,
        Some(RequestEnd::Answered { status, .. }) => of_error(gathering, *status, calls),
        Some(RequestEnd::Rejected { status, .. }) if *status < 500 => return None,
        Some(RequestEnd::Rejected { reason, .. }) => LossCause::Rejected(reason.clone()),
        Some(RequestEnd::Failed { not_run: true, reason }) => {
            let end = record.first.unwrap_or(0.0) + record.held_ms.unwrap_or(0) as f64 / 1000.0;
            let free = gathering.beliefs.has_free(&record.service, end);
            LossCause::Refused { reason: reason.clone(), free }
        }
        Some(RequestEnd::Failed { reason, .. }) if reason == "timed-out" => {
            of_late(gathering, calls)
        }
        Some(RequestEnd::Failed { reason, .. }) => LossCause::Broken(reason.clone()),
        Some(RequestEnd::CallerGone) => LossCause::CallerGone,
        Some(RequestEnd::CutShort) => LossCause::CutShort,
        None => LossCause::NothingSeen,
    };
    Some(cause)
}

/// Returns the cause of a server's own error.
fn of_error(gathering: &LogGathering, status: u64, calls: &[&RequestRecord]) -> LossCause {
    match lost_call(gathering, calls) {
        Some(cause) => cause,
        None if status == TIMED_OUT => LossCause::Hung { called: !calls.is_empty() },
        None => LossCause::ServerError,
    }
}

fn of_late(gathering: &LogGathering, calls: &[&RequestRecord]) -> LossCause {
    lost_call(gathering, calls).unwrap_or(LossCause::Hung { called: !calls.is_empty() })
}

/// Returns the loss of the first call that was lost. A caller that is gone is the work itself, which
/// ended with its time, so that the call was waited for in vain.
fn lost_call(gathering: &LogGathering, calls: &[&RequestRecord]) -> Option<LossCause> {
    let causes = calls.iter().filter_map(|call| of(gathering, call, &[]));
    let cause = causes.min()?;
    let cause = match cause {
        LossCause::CallerGone => LossCause::Hung { called: false },
        other => other,
    };
    Some(LossCause::CallLost(Box::new(cause)))
}
