// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds out who asks: the organisation that holds the caller's API key.
//!
//! The key ends here. What goes on to hosts, backend servers and logs is the organisation's name and the public
//! part of the key's digest.

use std::rc::Rc;

use basaltarch_core::config::ActiveConfig;
use basaltarch_core::organisations::KeyDigest;
use basaltarch_core::outcome::NotRunReason;
use basaltarch_core::resources::WorkClass;
use http::{HeaderMap, HeaderName};

use crate::ingress::failure::CallerFailure;

/// `CallerIdentity` is who asks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Name of the organisation, if it is known.
    pub organisation: Option<Rc<str>>,
    /// Class of its work, if it goes before that of the route.
    pub class: Option<WorkClass>,
    /// The key by which it is known; none for calls of work that runs here.
    key: Option<KeyDigest>,
}

/// `GivenKey` is what a request holds in the place of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GivenKey {
    /// Nothing.
    Missing,
    /// More than one key, so that none of them counts.
    Several,
    /// One key.
    One(KeyDigest),
}

impl GivenKey {
    /// Reads the key of a request.
    pub fn of(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some(value), None) => Self::One(KeyDigest::of(value.as_bytes())),
            (Some(_), Some(_)) => Self::Several,
        }
    }

    /// Returns what a refusal tells of it.
    fn told(&self) -> String {
        match self {
            Self::Missing => "the route asks for an API key".to_owned(),
            Self::Several => "more than one API key".to_owned(),
            Self::One(digest) => format!("the API key {} is not known", digest.public_part()),
        }
    }
}

/// Finds the owner of a key. A route that asks for none is served whatever key is given.
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
        None if needs_key => Err(unknown(given.told())),
        None => Ok(CallerIdentity::default()),
    }
}

impl CallerIdentity {
    /// Builds the identity of a call that work of an organisation makes.
    pub fn of_call(organisation: Option<Rc<str>>) -> Self {
        Self { organisation, ..Self::default() }
    }

    /// Returns the organisation towards whose limit the request counts. Calls count towards none: the work that
    /// makes them was counted.
    pub fn counted(&self) -> Option<&str> {
        self.organisation.as_deref().filter(|_| self.key.is_some())
    }

    /// Says whether the caller's key still belongs to the same organisation: one that was taken away while the
    /// request waited lets nothing begin any more.
    pub fn still_holds(&self, active: &ActiveConfig) -> bool {
        let Some(digest) = &self.key else { return true };
        let owner = active.keys.find(digest);
        owner.is_some_and(|owner| Some(owner.name) == self.organisation)
    }

    /// Builds the refusal of a request whose key was taken away.
    pub fn taken_away(&self) -> CallerFailure {
        let key = self.key.as_ref().map(KeyDigest::public_part).unwrap_or_default();
        unknown(format!("the API key {key} was taken away"))
    }
}

fn unknown(message: String) -> CallerFailure {
    CallerFailure { message, ..CallerFailure::not_run(NotRunReason::KeyUnknown) }
}
