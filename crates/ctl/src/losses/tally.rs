// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Counts the lost requests and prints the counts.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::losses::cause::{self, LossCause};
use crate::losses::record::RequestRecord;
use crate::losses::server_health::ServerHealth;
use crate::losses::{self, ParsedLogs};
use crate::tables;

/// Maximum number of servers that are printed, those with the most lost requests first.
const SERVERS_SHOWN_MAX: usize = 20;

/// `RouteTally` counts the requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTally {
    /// Number of requests that an ingress received.
    pub asked: u64,
    /// Number of the requests that got a successful response.
    pub served: u64,
    /// Number of the served requests whose response missed the route's latency objective.
    pub late: u64,
    /// Number of the requests that were lost, by cause.
    pub lost: BTreeMap<LossCause, u64>,
}

/// `CauseTally` sums up the requests that were lost for one cause.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CauseTally {
    /// Number of requests lost for the cause.
    pub count: u64,
    /// Time from receipt to end of each request, in milliseconds, in ascending order.
    pub held_ms: Vec<u64>,
    /// Total number of attempts of all requests lost for the cause.
    pub attempts: u64,
    /// Number of requests by the health of the server that determined how the request ended. The
    /// health is that at the time when the request was last sent to a server. For a request that
    /// was never sent, the health is that at the time of the first line about the request.
    pub health: BTreeMap<ServerHealth, u64>,
}

/// `LossTally` counts how all requests ended.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LossTally {
    /// Callers' requests by route.
    pub routes: BTreeMap<String, RouteTally>,
    /// Nested calls, which backend servers sent while they served other requests, by route.
    pub calls: BTreeMap<String, RouteTally>,
    /// Callers' lost requests by cause.
    pub causes: BTreeMap<LossCause, CauseTally>,
    /// Callers' lost requests by the server that determined how they ended.
    pub servers: BTreeMap<String, u64>,
    /// Callers' lost requests by the second of their first line, counted from the first line of the
    /// logs.
    pub seconds: BTreeMap<u64, u64>,
    /// Number of lines that contain no complete JSON object.
    pub unreadable: usize,
    /// Number of lines that were skipped because they are about requests beyond
    /// [`losses::REQUESTS_MAX`].
    pub passed_over: usize,
    /// Number of requests that the hosts did not log, as the hosts report.
    pub not_logged: u64,
}

/// Counts the requests of the parsed logs.
pub fn count_losses(logs: &ParsedLogs) -> LossTally {
    let mut tally = LossTally {
        unreadable: logs.unreadable,
        passed_over: logs.passed_over,
        not_logged: logs.not_logged,
        ..LossTally::default()
    };
    let log_start = logs.requests.values().filter_map(|record| record.first_line_at);
    let log_start = log_start.fold(f64::INFINITY, f64::min);
    for (id, record) in &logs.requests {
        let is_call =
            losses::parent_of(id).is_some_and(|parent| logs.requests.contains_key(parent));
        let calls = nested_calls_of(logs, id);
        let cause = cause::determine_cause(logs, record, &calls);
        let routes = if is_call { &mut tally.calls } else { &mut tally.routes };
        routes.entry(record.route.clone()).or_default().add_request(record, cause.as_ref());
        if let (false, Some(cause)) = (is_call, cause) {
            tally.add_lost(logs, record, cause, log_start);
        }
    }
    for cause in tally.causes.values_mut() {
        cause.held_ms.sort_unstable();
    }
    tally
}

/// Returns the nested calls of a request. The id of a nested call begins with the id of the request
/// and a dot.
fn nested_calls_of<'a>(logs: &'a ParsedLogs, id: &str) -> Vec<&'a RequestRecord> {
    let prefix = format!("{id}.");
    let records_from_prefix = logs.requests.range(prefix.clone()..);
    records_from_prefix
        .take_while(|(id, _)| id.starts_with(&prefix))
        .map(|(_, record)| record)
        .collect()
}

impl RouteTally {
    fn add_request(&mut self, record: &RequestRecord, cause: Option<&LossCause>) {
        self.asked += 1;
        self.served += u64::from(record.is_served());
        self.late += u64::from(record.is_late());
        if let Some(cause) = cause {
            *self.lost.entry(cause.clone()).or_default() += 1;
        }
    }
}

impl LossTally {
    fn add_lost(
        &mut self,
        logs: &ParsedLogs,
        record: &RequestRecord,
        cause: LossCause,
        log_start: f64,
    ) {
        let tally = self.causes.entry(cause).or_default();
        tally.count += 1;
        tally.attempts += record.attempts;
        tally.held_ms.extend(record.held_ms);
        let server = record.last_server();
        let at =
            record.dispatched.last().and_then(|attempt| attempt.started).or(record.first_line_at);
        if let (Some(at), false) = (at, server.is_empty()) {
            *tally.health.entry(logs.histories.health_at(server, at)).or_default() += 1;
            *self.servers.entry(server.to_owned()).or_default() += 1;
        }
        if let Some(first) = record.first_line_at {
            *self.seconds.entry((first - log_start).max(0.0) as u64).or_default() += 1;
        }
    }

    /// Returns the tally as JSON.
    pub fn to_json(&self) -> Value {
        let causes = self.causes.iter().map(|(cause, tally)| {
            json!({
                "cause": cause.to_string(),
                "count": tally.count,
                "held_ms_p50": quantile(&tally.held_ms, 0.5),
                "held_ms_p99": quantile(&tally.held_ms, 0.99),
                "attempts": tally.attempts,
                "beliefs": tally.health.iter().map(|(health, count)| {
                    (health.name().to_owned(), json!(count))
                }).collect::<serde_json::Map<_, _>>(),
            })
        });
        json!({
            "causes": causes.collect::<Vec<_>>(),
            "routes": routes_json(&self.routes),
            "calls": routes_json(&self.calls),
            "servers": self.servers,
            "seconds": self.seconds.iter().map(|(second, count)| json!([second, count]))
                .collect::<Vec<_>>(),
            "unreadable_lines": self.unreadable,
            "passed_over_lines": self.passed_over,
            "requests_not_logged": self.not_logged,
        })
    }

    /// Prints the tally as tables.
    pub fn print(&self) {
        self.print_causes();
        for (title, routes) in
            [("REQUESTS OF ROUTE", &self.routes), ("CALLS OF ROUTE", &self.calls)]
        {
            println!();
            print_routes(title, routes);
        }
        println!();
        let mut servers: Vec<_> = self.servers.iter().collect();
        servers.sort_by_key(|(_, count)| Reverse(**count));
        let rows = servers.into_iter().take(SERVERS_SHOWN_MAX);
        let rows: Vec<_> =
            rows.map(|(name, count)| vec![name.clone(), count.to_string()]).collect();
        tables::print(&["SERVER", "LOST"], &rows);
        println!();
        let rows = self.seconds.iter();
        let rows: Vec<_> =
            rows.map(|(second, count)| vec![second.to_string(), count.to_string()]).collect();
        tables::print(&["SECOND", "LOST"], &rows);
        let left_out = [
            (self.unreadable as u64, "lines could not be read and were passed over"),
            (self.passed_over as u64, "lines of further requests were passed over"),
            (self.not_logged, "requests were left out of the logs by their hosts"),
        ];
        for (count, description) in left_out.into_iter().filter(|(count, _)| *count > 0) {
            println!("\n{count} {description}");
        }
    }

    fn print_causes(&self) {
        let mut causes: Vec<_> = self.causes.iter().collect();
        causes.sort_by_key(|(_, tally)| Reverse(tally.count));
        let row = |(cause, tally): (&LossCause, &CauseTally)| {
            let states = tally.health.iter();
            let states: Vec<_> =
                states.map(|(health, count)| format!("{} {count}", health.name())).collect();
            vec![
                tally.count.to_string(),
                cause.to_string(),
                quantile(&tally.held_ms, 0.5).to_string(),
                quantile(&tally.held_ms, 0.99).to_string(),
                format!("{:.1}", tally.attempts as f64 / tally.count as f64),
                states.join(", "),
            ]
        };
        let rows: Vec<_> = causes.into_iter().map(row).collect();
        let header = ["LOST", "CAUSE", "HELD P50 MS", "HELD P99 MS", "ATTEMPTS", "THE SERVER WAS"];
        tables::print(&header, &rows);
    }
}

fn routes_json(routes: &BTreeMap<String, RouteTally>) -> Value {
    let rows = routes.iter().map(|(route, tally)| {
        let lost = tally.lost.iter().map(|(cause, count)| (cause.to_string(), json!(count)));
        json!({
            "route": route,
            "asked": tally.asked,
            "served": tally.served,
            "late": tally.late,
            "lost": lost.collect::<serde_json::Map<_, _>>(),
        })
    });
    rows.collect()
}

fn print_routes(title: &str, routes: &BTreeMap<String, RouteTally>) {
    let mut rows = Vec::new();
    for (route, tally) in routes {
        let lost: u64 = tally.lost.values().sum();
        let mut causes: Vec<_> = tally.lost.iter().collect();
        causes.sort_by_key(|(_, count)| Reverse(**count));
        let causes: Vec<_> =
            causes.iter().map(|(cause, count)| format!("{count} {cause}")).collect();
        rows.push(vec![
            route.clone(),
            tally.asked.to_string(),
            tally.served.to_string(),
            tally.late.to_string(),
            lost.to_string(),
            causes.join("; "),
        ]);
    }
    tables::print(&[title, "ASKED", "SERVED", "LATE", "LOST", "CAUSES"], &rows);
}

/// Returns the quantile `share`, from 0 to 1, of values in ascending order; 0 if there are no
/// values.
fn quantile(values: &[u64], share: f64) -> u64 {
    let last_index = values.len().saturating_sub(1);
    values.get((last_index as f64 * share).round() as usize).copied().unwrap_or(0)
}
