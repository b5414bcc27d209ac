// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Identifies callers: finds the organisation that holds the API key of a request.
//!
//! The key itself is not passed on. Hosts, backend servers and logs get the organisation's name and
//! the public part of the key's digest.

use std::rc::Rc;

use basaltarch_core::config::ActiveConfig;
use basaltarch_core::organisations::KeyDigest;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;
use http::{HeaderMap, HeaderName};

use crate::ingress::failure::CallerFailure;

/// `CallerIdentity` is the identity of a request's caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Name of the caller's organisation, if the organisation is known.
    pub organisation: Option<Rc<str>>,
    /// Class of the organisation's requests, if the organisation overrides the class of the route.
    pub class: Option<WorkClass>,
    /// The key that identified the organisation; `None` for nested calls made by requests that run
    /// on this host.
    key: Option<KeyDigest>,
}

/// `GivenKey` is the API key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GivenKey {
    /// No key.
    Missing,
    /// More than one key. No key of such a request is used.
    Several,
    /// One key.
    One(KeyDigest),
}

impl GivenKey {
    /// Reads the key from the header field `name` of a request.
    pub fn of(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some(value), None) => Self::One(KeyDigest::of(value.as_bytes())),
            (Some(_), Some(_)) => Self::Several,
        }
    }

    /// Returns the message for a caller whose request is refused for its key.
    fn refusal_message(&self) -> String {
        match self {
            Self::Missing => "the route requires an API key, but the request has none".to_owned(),
            Self::Several => "the request has more than one API key".to_owned(),
            Self::One(digest) => format!("the API key {} is not known", digest.public_part()),
        }
    }
}

/// Finds the organisation that owns the given key. A route that needs no key is served without a
/// key and with any key, known or not.
pub fn identify(
    active: &ActiveConfig,
    given: &GivenKey,
    needs_key: bool,
) -> Result<CallerIdentity, CallerFailure> {
    let owner = match given {
        GivenKey::One(digest) => active.keys.find(digest).map(|owner| (*digest, owner)),
        GivenKey::Missing | GivenKey::Several => None,
    };
    match owner {
        Some((digest, owner)) => Ok(CallerIdentity {
            organisation: Some(owner.name),
            class: owner.class,
            key: Some(digest),
        }),
        None if needs_key => Err(unknown_key(given.refusal_message())),
        None => Ok(CallerIdentity::default()),
    }
}

impl CallerIdentity {
    /// Builds the identity of a nested call made by a request of an organisation.
    pub fn of_call(organisation: Option<Rc<str>>) -> Self {
        Self { organisation, ..Self::default() }
    }

    /// Returns the organisation against whose limit the request counts. Nested calls count against
    /// no limit, because the parent request was counted.
    pub fn limited_organisation(&self) -> Option<&str> {
        self.organisation.as_deref().filter(|_| self.key.is_some())
    }

    /// Says whether the caller's key still belongs to the same organisation: a request whose key
    /// was revoked while the request waited is not started any more.
    pub fn is_key_valid(&self, active: &ActiveConfig) -> bool {
        let Some(digest) = &self.key else { return true };
        let owner = active.keys.find(digest);
        owner.is_some_and(|owner| Some(owner.name) == self.organisation)
    }

    /// Builds the refusal of a request whose key was revoked.
    pub fn revoked_key_failure(&self) -> CallerFailure {
        let key = self.key.as_ref().map(KeyDigest::public_part).unwrap_or_default();
        unknown_key(format!("the API key {key} was revoked"))
    }
}

fn unknown_key(message: String) -> CallerFailure {
    CallerFailure { message, ..CallerFailure::not_run(NotRunReason::KeyUnknown) }
}
