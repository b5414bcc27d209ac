// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The health of the backend servers in the view of their hosts, and their load, at any moment.

use std::collections::BTreeMap;

use crate::lines::LogLine;

/// Largest number of health changes (16 bytes each) that are kept for one backend server, and
/// largest number of load reports (24 bytes each).
const ENTRIES_PER_SERVER_MAX: usize = 100_000;
/// Age in seconds from which a load report no longer shows the present load of a server: at the
/// users' request rates, a service is called several times a second.
const LOAD_REPORT_AGE_MAX_S: f64 = 1.0;

/// `ServerHealth` is the state of a backend server in the view of its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerHealth {
    /// The server is in service.
    Healthy,
    /// The server's circuit breaker is open: it declines requests that another server of the
    /// service can take.
    BreakerOpen,
    /// The server is ejected, that is, out of service.
    Ejected,
}

impl ServerHealth {
    /// Returns the name that is printed in tables and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "trusted",
            Self::BreakerOpen => "doubted",
            Self::Ejected => "ejected",
        }
    }
}

/// `ServerLoad` is how many slots of a backend server were in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ServerLoad {
    in_flight: u64,
    slots: u64,
}

#[derive(Debug, Clone, Default)]
struct ServerHistory {
    service: String,
    /// Changes of the health, each with its time as [`LogLine::seconds`].
    health: Vec<(f64, ServerHealth)>,
    /// Load reports, each with its time as [`LogLine::seconds`].
    loads: Vec<(f64, ServerLoad)>,
}

/// `ServerHistories` is the history of the health and load of every backend server.
#[derive(Debug, Clone, Default)]
pub struct ServerHistories {
    servers: BTreeMap<String, ServerHistory>,
}

impl ServerHistories {
    /// Adds the health change or load report in a line, if the line is about a backend server.
    pub fn add_line(&mut self, line: &LogLine) {
        let (name, at) = (line.text("upstream"), line.seconds());
        let at = match at {
            Some(at) if !name.is_empty() => at,
            _ => return,
        };
        let health = match line.text("message") {
            "upstream ejected" => Some(ServerHealth::Ejected),
            "upstream doubted" => Some(ServerHealth::BreakerOpen),
            "upstream trusted again" | "upstream returned" => Some(ServerHealth::Healthy),
            _ => None,
        };
        let load = match (line.number("in_flight"), line.number("slots")) {
            (Some(in_flight), Some(slots)) => Some(ServerLoad { in_flight, slots }),
            _ => None,
        };
        if health.is_none() && load.is_none() {
            return;
        }
        let history = self.servers.entry(name.to_owned()).or_default();
        if !line.text("service").is_empty() {
            line.text("service").clone_into(&mut history.service);
        }
        if let Some(health) = health.filter(|_| history.health.len() < ENTRIES_PER_SERVER_MAX) {
            history.health.push((at, health));
        }
        if let Some(load) = load.filter(|_| history.loads.len() < ENTRIES_PER_SERVER_MAX) {
            history.loads.push((at, load));
        }
    }

    /// Sorts the health changes and load reports of each server by time. The lines of several
    /// files are not added in the order of their times.
    pub fn sort(&mut self) {
        for history in self.servers.values_mut() {
            history.health.sort_by(|left, right| left.0.total_cmp(&right.0));
            history.loads.sort_by(|left, right| left.0.total_cmp(&right.0));
        }
    }

    /// Returns the health of a server at a moment. A server without an earlier health change in the
    /// logs counts as healthy.
    pub fn health_at(&self, server: &str, at: f64) -> ServerHealth {
        let history = self.servers.get(server);
        let latest = history.and_then(|history| latest_entry_at(&history.health, at));
        latest.map_or(ServerHealth::Healthy, |(_, health)| health)
    }

    /// Returns whether a healthy server of a service had a free slot at a moment.
    pub fn has_free_slot(&self, service: &str, at: f64) -> bool {
        let service_histories =
            self.servers.iter().filter(|(_, history)| history.service == service);
        service_histories.into_iter().any(|(name, history)| {
            let load = latest_entry_at(&history.loads, at)
                .filter(|(reported_at, _)| at - reported_at < LOAD_REPORT_AGE_MAX_S);
            let is_free = load.is_some_and(|(_, load)| load.in_flight < load.slots);
            is_free && self.health_at(name, at) == ServerHealth::Healthy
        })
    }
}

/// Returns the last of the entries, which are sorted by time, that is not later than `at`.
fn latest_entry_at<T: Copy>(entries: &[(f64, T)], at: f64) -> Option<(f64, T)> {
    let earlier_count = entries.partition_point(|(entry_at, _)| *entry_at <= at);
    earlier_count.checked_sub(1).map(|index| entries[index])
}
