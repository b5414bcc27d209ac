// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What hosts believed of their backend servers, and how busy these were, at any moment.

use std::collections::BTreeMap;

use crate::lines::LogLine;

/// Changes that are kept of one backend server at the most, 16 bytes each.
const CHANGES_MAX: usize = 100_000;
/// Age from which a line about a server's slots says nothing about now, in seconds: a service of the
/// users' rates is asked several times in that.
const LOAD_LIFE_S: f64 = 1.0;

/// `ServerBelief` is what a host believes of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerBelief {
    /// It works.
    Trusted,
    /// It passes work on while others can take it.
    Doubted,
    /// It is out of service.
    Ejected,
}

impl ServerBelief {
    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trusted => "trusted",
            Self::Doubted => "doubted",
            Self::Ejected => "ejected",
        }
    }
}

/// `ServerLoad` is how busy a backend server was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerLoad {
    in_flight: u64,
    slots: u64,
}

#[derive(Debug, Clone, Default)]
struct ServerHistory {
    service: String,
    beliefs: Vec<(f64, ServerBelief)>,
    loads: Vec<(f64, ServerLoad)>,
}

/// `ServerBeliefs` is the history of every backend server.
#[derive(Debug, Clone, Default)]
pub struct ServerBeliefs {
    servers: BTreeMap<String, ServerHistory>,
}

impl ServerBeliefs {
    /// Takes a line in, if it tells of a backend server.
    pub fn note(&mut self, line: &LogLine) {
        let (name, at) = (line.text("upstream"), line.seconds());
        let at = match at {
            Some(at) if !name.is_empty() => at,
            _ => return,
        };
        let belief = match line.text("message") {
            "upstream ejected" => Some(ServerBelief::Ejected),
            "upstream doubted" => Some(ServerBelief::Doubted),
            "upstream trusted again" | "upstream returned" => Some(ServerBelief::Trusted),
            _ => None,
        };
        let load = match (line.number("in_flight"), line.number("slots")) {
            (Some(in_flight), Some(slots)) => Some(ServerLoad { in_flight, slots }),
            _ => None,
        };
        if belief.is_none() && load.is_none() {
            return;
        }
        let history = self.servers.entry(name.to_owned()).or_default();
        if !line.text("service").is_empty() {
            line.text("service").clone_into(&mut history.service);
        }
        if let Some(belief) = belief.filter(|_| history.beliefs.len() < CHANGES_MAX) {
            history.beliefs.push((at, belief));
        }
        if let Some(load) = load.filter(|_| history.loads.len() < CHANGES_MAX) {
            history.loads.push((at, load));
        }
    }

    /// Puts what was read in order of time; lines of several files come in any order.
    pub fn sort(&mut self) {
        for history in self.servers.values_mut() {
            history.beliefs.sort_by(|left, right| left.0.total_cmp(&right.0));
            history.loads.sort_by(|left, right| left.0.total_cmp(&right.0));
        }
    }

    /// Returns what was believed of a server at a moment.
    pub fn at(&self, server: &str, at: f64) -> ServerBelief {
        let history = self.servers.get(server);
        let before = history.and_then(|history| last_before(&history.beliefs, at));
        before.map_or(ServerBelief::Trusted, |(_, belief)| belief)
    }

    /// Says whether a trusted server of a service had a free slot at a moment.
    pub fn has_free(&self, service: &str, at: f64) -> bool {
        let of_service = self.servers.iter().filter(|(_, history)| history.service == service);
        of_service.into_iter().any(|(name, history)| {
            let load = last_before(&history.loads, at).filter(|(seen, _)| at - seen < LOAD_LIFE_S);
            let is_free = load.is_some_and(|(_, load)| load.in_flight < load.slots);
            is_free && self.at(name, at) == ServerBelief::Trusted
        })
    }
}

/// Returns the last entry not later than `at`.
fn last_before<T: Copy>(entries: &[(f64, T)], at: f64) -> Option<(f64, T)> {
    let after = entries.partition_point(|(seen, _)| *seen <= at);
    after.checked_sub(1).map(|index| entries[index])
}
