// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The outcomes of exchanges that produced no complete response. All layers of the fleet use these
//! types.

use std::fmt;

/// `NotRunReason` is the reason why a request ran on no backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// No route matches the request.
    NoRoute,
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// The daemon's configuration would refuse the request, but the daemon can't confirm at the
    /// moment that this configuration is the newest.
    ConfigurationUnsure,
    /// The organisation, route or service is over its rate limit.
    Limited,
    /// Every slot is taken and the queue is full.
    QueueFull,
    /// The deadline passed before the request was started.
    DeadlinePassed,
    /// The backend server is draining, or its daemon is shutting down.
    Draining,
    /// The upstream is ejected or its circuit breaker is open, and another upstream can serve the
    /// request; or the backend server crashed or can't be connected to.
    Unhealthy,
    /// The backend server could not be connected to.
    ConnectFailed,
    /// The backend server itself refused the request.
    Shed,
    /// The daemon that received the dispatch does not serve this upstream.
    UnknownUpstream,
    /// The daemon on the upstream's host could not be reached.
    PeerUnreachable,
    /// The ledger of at-most-once requests could not be written.
    LedgerUnavailable,
    /// No upstream of the service can take the request.
    NoUpstream,
    /// The caller disconnected before the request was started.
    CallerGone,
    /// The request itself is invalid.
    BadRequest,
    /// The idempotency key was already used for another request.
    KeyReused,
    /// The request crashes the backend servers that run it.
    CrashesServers,
    /// The route requires an API key, and the caller sent none or an unknown one.
    KeyUnknown,
    /// The backend server has completed no request recently, so that it may hang, and this request
    /// is non-repeatable.
    Unproven,
    /// The daemon holds as much for its callers as its memory allows.
    MemoryFull,
}

/// Every reason, in the order of the wire numbers.
pub const NOT_RUN_REASONS: [NotRunReason; 21] = [
    NotRunReason::NoRoute,
    NotRunReason::NoConfiguration,
    NotRunReason::Limited,
    NotRunReason::QueueFull,
    NotRunReason::DeadlinePassed,
    NotRunReason::Draining,
    NotRunReason::Unhealthy,
    NotRunReason::ConnectFailed,
    NotRunReason::Shed,
    NotRunReason::UnknownUpstream,
    NotRunReason::PeerUnreachable,
    NotRunReason::LedgerUnavailable,
    NotRunReason::NoUpstream,
    NotRunReason::CallerGone,
    NotRunReason::BadRequest,
    NotRunReason::KeyReused,
    NotRunReason::CrashesServers,
    NotRunReason::ConfigurationUnsure,
    NotRunReason::KeyUnknown,
    NotRunReason::Unproven,
    NotRunReason::MemoryFull,
];

impl NotRunReason {
    /// Returns the name used in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoConfiguration => "no-configuration",
            Self::Limited => "limited",
            Self::QueueFull => "queue-full",
            Self::DeadlinePassed => "deadline-passed",
            Self::Draining => "draining",
            Self::Unhealthy => "sick",
            Self::ConnectFailed => "connect-failed",
            Self::Shed => "shed",
            Self::UnknownUpstream => "unknown-upstream",
            Self::PeerUnreachable => "peer-unreachable",
            Self::LedgerUnavailable => "ledger-unavailable",
            Self::NoUpstream => "no-upstream",
            Self::CallerGone => "caller-gone",
            Self::BadRequest => "bad-request",
            Self::KeyReused => "key-reused",
            Self::CrashesServers => "crashes-servers",
            Self::ConfigurationUnsure => "configuration-unsure",
            Self::KeyUnknown => "key-unknown",
            Self::Unproven => "unproven",
            Self::MemoryFull => "memory-full",
        }
    }
}

/// `UnknownReason` is the reason why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection to the backend server broke after the daemon had begun to send the request.
    BackendBroken,
    /// The backend server's response was truncated or malformed.
    AnswerBroken,
    /// The deadline passed while the backend server was processing the request.
    TimedOut,
    /// The link to the daemon on the upstream's host broke.
    PeerLost,
    /// The caller disconnected while the request ran.
    CallerGone,
    /// The same at-most-once request was already started, and the response was not kept.
    AlreadyStarted,
    /// The daemon that accepted the request stopped before the response arrived.
    DaemonStopped,
    /// The caller stopped sending its body or reading its answer while others waited for the slot.
    CallerStalled,
    /// The body of the request turned out to be malformed or too large while the request ran.
    BodyUnreadable,
}

/// Every reason, in the order of the wire numbers.
pub const UNKNOWN_REASONS: [UnknownReason; 9] = [
    UnknownReason::BackendBroken,
    UnknownReason::AnswerBroken,
    UnknownReason::TimedOut,
    UnknownReason::PeerLost,
    UnknownReason::CallerGone,
    UnknownReason::AlreadyStarted,
    UnknownReason::DaemonStopped,
    UnknownReason::CallerStalled,
    UnknownReason::BodyUnreadable,
];

impl UnknownReason {
    /// Returns the name used in headers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BackendBroken => "backend-broken",
            Self::AnswerBroken => "answer-broken",
            Self::TimedOut => "timed-out",
            Self::PeerLost => "peer-lost",
            Self::CallerGone => "caller-gone",
            Self::AlreadyStarted => "already-started",
            Self::DaemonStopped => "daemon-stopped",
            Self::CallerStalled => "caller-stalled",
            Self::BodyUnreadable => "body-unreadable",
        }
    }
}

/// `FailureOutcome` is the outcome of an exchange that produced no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureOutcome {
    /// The request is known to have run on no backend server.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// Wire number of the first [`UnknownReason`].
const UNKNOWN_WIRE_BASE: i16 = 100;

impl FailureOutcome {
    /// Returns the value of the `Basaltarch-Outcome` header.
    pub fn header_value(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the name of the reason.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.name(),
            Self::Unknown(reason) => reason.name(),
        }
    }

    /// Returns the number that encodes the outcome in messages between daemons.
    pub fn wire_number(self) -> i16 {
        match self {
            Self::NotRun(reason) => position(&NOT_RUN_REASONS, reason),
            Self::Unknown(reason) => UNKNOWN_WIRE_BASE + position(&UNKNOWN_REASONS, reason),
        }
    }

    /// Decodes a wire number. A number that only a later version knows decodes as an unknown
    /// outcome. This is safe, as an unknown outcome does not claim that the request did not run.
    pub fn from_wire(number: i16) -> Self {
        let not_run = usize::try_from(number).ok().and_then(|index| NOT_RUN_REASONS.get(index));
        if let Some(reason) = not_run {
            return Self::NotRun(*reason);
        }
        let index = usize::try_from(number.saturating_sub(UNKNOWN_WIRE_BASE)).ok();
        let reason = index.and_then(|index| UNKNOWN_REASONS.get(index));
        Self::Unknown(reason.copied().unwrap_or(UnknownReason::PeerLost))
    }
}

fn position<T: PartialEq>(reasons: &[T], wanted: T) -> i16 {
    reasons.iter().position(|reason| *reason == wanted).unwrap_or(0) as i16
}

impl fmt::Display for FailureOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({})", self.header_value(), self.reason())
    }
}
