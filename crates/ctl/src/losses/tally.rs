// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Counts the losses and prints them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde_json::{json, Value};

use crate::losses::beliefs::ServerBelief;
use crate::losses::cause::{self, LossCause};
use crate::losses::record::RequestRecord;
use crate::losses::{self, LogGathering};
use crate::tables;

/// Servers that are listed at the most, those with the most losses.
const SERVERS_SHOWN: usize = 20;

/// `RouteTally` counts the requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTally {
    /// Requests that an ingress took in.
    pub asked: u64,
    /// Those with a good answer.
    pub served: u64,
    /// Those of them whose answer came after the route's objective.
    pub late: u64,
    /// Those that were lost, by cause.
    pub lost: BTreeMap<LossCause, u64>,
}

/// `CauseTally` is what the requests lost for one cause have in common.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CauseTally {
    /// Requests.
    pub count: u64,
    /// Time for which each was held, in milliseconds, in rising order.
    pub held_ms: Vec<u64>,
    /// Attempts of all of them.
    pub attempts: u64,
    /// What was believed of the server that decided, when the work was sent or refused.
    pub beliefs: BTreeMap<ServerBelief, u64>,
}

/// `LossTally` counts what became of all requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LossTally {
    /// Callers' requests by route.
    pub routes: BTreeMap<String, RouteTally>,
    /// Calls that the work of other requests made, by route.
    pub calls: BTreeMap<String, RouteTally>,
    /// Callers' lost requests by cause.
    pub causes: BTreeMap<LossCause, CauseTally>,
    /// Callers' lost requests by the server that decided.
    pub servers: BTreeMap<String, u64>,
    /// Callers' lost requests by the second in which they came, from the first line on.
    pub seconds: BTreeMap<u64, u64>,
    /// Lines that could not be read.
    pub unreadable: usize,
    /// Lines of requests beyond those that are kept.
    pub passed_over: usize,
    /// Requests that the hosts left out of their logs.
    pub not_logged: u64,
}

/// Counts what was gathered.
pub fn of(gathering: &LogGathering) -> LossTally {
    let mut tally = LossTally {
        unreadable: gathering.unreadable,
        passed_over: gathering.passed_over,
        not_logged: gathering.not_logged,
        ..LossTally::default()
    };
    let begin = gathering.requests.values().filter_map(|record| record.first);
    let begin = begin.fold(f64::INFINITY, f64::min);
    for (id, record) in &gathering.requests {
        let is_call =
            losses::parent_of(id).is_some_and(|parent| gathering.requests.contains_key(parent));
        let calls = calls_of(gathering, id);
        let cause = cause::of(gathering, record, &calls);
        let routes = if is_call { &mut tally.calls } else { &mut tally.routes };
        routes.entry(record.route.clone()).or_default().note(record, cause.as_ref());
        if let (false, Some(cause)) = (is_call, cause) {
            tally.note_lost(gathering, record, cause, begin);
        }
    }
    for cause in tally.causes.values_mut() {
        cause.held_ms.sort_unstable();
    }
    tally
}

/// Returns the calls whose ids continue that of a request.
fn calls_of<'a>(gathering: &'a LogGathering, id: &str) -> Vec<&'a RequestRecord> {
    let start = format!("{id}.");
    let following = gathering.requests.range(start.clone()..);
    following.take_while(|(id, _)| id.starts_with(&start)).map(|(_, record)| record).collect()
}

impl RouteTally {
    fn note(&mut self, record: &RequestRecord, cause: Option<&LossCause>) {
        self.asked += 1;
        self.served += u64::from(record.is_served());
        self.late += u64::from(record.is_late());
        if let Some(cause) = cause {
            *self.lost.entry(cause.clone()).or_default() += 1;
        }
    }
}

impl LossTally {
    fn note_lost(
        &mut self,
        gathering: &LogGathering,
        record: &RequestRecord,
        cause: LossCause,
        begin: f64,
    ) {
        let tally = self.causes.entry(cause).or_default();
        tally.count += 1;
        tally.attempts += record.attempts;
        tally.held_ms.extend(record.held_ms);
        let server = record.last_server();
        let at = record.works.last().and_then(|work| work.started).or(record.first);
        if let (Some(at), false) = (at, server.is_empty()) {
            *tally.beliefs.entry(gathering.beliefs.at(server, at)).or_default() += 1;
            *self.servers.entry(server.to_owned()).or_default() += 1;
        }
        if let Some(first) = record.first {
            *self.seconds.entry((first - begin).max(0.0) as u64).or_default() += 1;
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
                "beliefs": tally.beliefs.iter().map(|(belief, count)| {
                    (belief.name().to_owned(), json!(count))
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
        let rows = servers.into_iter().take(SERVERS_SHOWN);
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
        for (count, what) in left_out.into_iter().filter(|(count, _)| *count > 0) {
            println!("\n{count} {what}");
        }
    }

    fn print_causes(&self) {
        let mut causes: Vec<_> = self.causes.iter().collect();
        causes.sort_by_key(|(_, tally)| Reverse(tally.count));
        let row = |(cause, tally): (&LossCause, &CauseTally)| {
            let beliefs = tally.beliefs.iter();
            let beliefs: Vec<_> =
                beliefs.map(|(belief, count)| format!("{} {count}", belief.name())).collect();
            vec![
                tally.count.to_string(),
                cause.to_string(),
                quantile(&tally.held_ms, 0.5).to_string(),
                quantile(&tally.held_ms, 0.99).to_string(),
                format!("{:.1}", tally.attempts as f64 / tally.count as f64),
                beliefs.join(", "),
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

/// Returns the value below which this share of rising values lies; 0 without any.
fn quantile(values: &[u64], share: f64) -> u64 {
    let last = values.len().saturating_sub(1);
    values.get((last as f64 * share).round() as usize).copied().unwrap_or(0)
}
