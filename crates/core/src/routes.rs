// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds the route of a request by host, path and method.

use std::rc::Rc;

use fnv::FnvHashMap;
use serde::{Deserialize, Serialize};

use crate::config::SharedMap;
use crate::packing;
use crate::resources::{RouteRule, ServiceShare, WorkClass, WorkMode};
use crate::slices::{self, WorkSlices};

/// `RouteEntry` is a route in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Rc<str>,
    /// Resource of the route.
    pub rule: Rc<RouteRule>,
}

/// `RouteTable` finds the route with the longest matching path prefix.
///
/// A lookup costs one hash lookup for the host and one binary search among the host's routes for
/// each segment of the path.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: SharedMap<Rc<str>, Rc<HostRoutes>>,
    len: usize,
}

/// `RouteMatch` is the result of a lookup.
#[derive(Debug, PartialEq)]
pub enum RouteMatch {
    /// The matching route.
    Found(Rc<RouteEntry>),
    /// Routes match the path but not the method; holds the methods that these routes accept.
    WrongMethod(Vec<String>),
    /// No route matches.
    Missing,
}

/// The packed form of one route: all fields of the route's resource except the host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RouteRecord<'a> {
    prefix: &'a str,
    name: &'a str,
    service: &'a str,
    #[serde(borrow)]
    methods: Vec<&'a str>,
    timeout_ms: u64,
    mode: WorkMode,
    criticality: WorkClass,
    split: Vec<(&'a str, u32)>,
    attempts: u32,
    objective_ms: u32,
    needs_key: bool,
}

impl<'a> RouteRecord<'a> {
    fn new(name: &'a str, rule: &'a RouteRule) -> Self {
        Self {
            prefix: &rule.path_prefix,
            name,
            service: &rule.service,
            methods: rule.methods.iter().map(String::as_str).collect(),
            timeout_ms: rule.timeout_ms,
            mode: rule.mode,
            criticality: rule.criticality,
            split: rule.split.iter().map(|share| (share.service.as_str(), share.weight)).collect(),
            attempts: rule.attempts,
            objective_ms: rule.objective_ms,
            needs_key: rule.needs_key,
        }
    }

    /// Orders the routes of one host by prefix without a closing slash, the longer prefix first
    /// where two differ in that slash alone.
    fn sort_key(&self) -> (&'a str, bool, &'a str) {
        (trim_trailing_slash(self.prefix), !self.prefix.ends_with('/'), self.name)
    }

    fn entry(&self, host: &str) -> Rc<RouteEntry> {
        let rule = RouteRule {
            host: host.to_owned(),
            path_prefix: self.prefix.to_owned(),
            methods: self.methods.iter().map(|method| method.to_string()).collect(),
            service: self.service.to_owned(),
            timeout_ms: self.timeout_ms,
            mode: self.mode,
            criticality: self.criticality,
            split: self.split.iter().map(|share| service_share(*share)).collect(),
            attempts: self.attempts,
            objective_ms: self.objective_ms,
            needs_key: self.needs_key,
        };
        Rc::new(RouteEntry { name: Rc::from(self.name), rule: Rc::new(rule) })
    }
}

/// `HostRoutes` is the packed set of routes of one host, ordered by prefix and name.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    /// Offset of each record in `records`.
    offsets: Box<[u32]>,
    records: Box<[u8]>,
}

impl HostRoutes {
    /// Packs the routes of one host.
    fn new(mut records: Vec<RouteRecord>) -> Self {
        records.sort_by_key(RouteRecord::sort_key);
        let mut offsets = Vec::with_capacity(records.len());
        let mut bytes = Vec::new();
        for record in &records {
            offsets.push(bytes.len() as u32);
            bytes.extend(packing::pack(record));
        }
        Self { offsets: offsets.into(), records: bytes.into() }
    }

    fn record(&self, index: usize) -> RouteRecord<'_> {
        packing::unpack(&self.records[self.offsets[index] as usize..])
    }

    fn prefix(&self, index: usize) -> &str {
        // The prefix is the first field of a record, so that it can be unpacked alone.
        let prefix: &str = packing::unpack(&self.records[self.offsets[index] as usize..]);
        trim_trailing_slash(prefix)
    }

    /// Lists the routes with exactly this prefix, apart from a closing slash.
    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = RouteRecord<'a>> {
        let first = self.lower_bound(prefix);
        (first..self.offsets.len())
            .take_while(move |index| self.prefix(*index) == prefix)
            .map(|index| self.record(index))
    }

    /// Returns the index of the first route whose prefix is not less than `prefix`.
    fn lower_bound(&self, prefix: &str) -> usize {
        let (mut low, mut high) = (0, self.offsets.len());
        while low < high {
            let middle = (low + high) / 2;
            if self.prefix(middle) < prefix {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low
    }
}

impl RouteTable {
    /// Builds a table from routes.
    pub fn build(routes: impl Iterator<Item = (Rc<str>, Rc<RouteRule>)>) -> Self {
        slices::poll_to_completion(Self::build_in_slices(routes, &slices::no_pause))
    }

    /// Builds a table from routes in time slices. The routes of each host are collected in packed
    /// form before they are sorted.
    pub async fn build_in_slices(
        routes: impl Iterator<Item = (Rc<str>, Rc<RouteRule>)>,
        pause: &impl AsyncFn(),
    ) -> Self {
        let mut slices = WorkSlices::new(pause);
        let mut records_by_host: FnvHashMap<String, Vec<u8>> = FnvHashMap::default();
        let mut table = Self::default();
        for (name, rule) in routes {
            let record = packing::pack(&RouteRecord::new(&name, &rule));
            match records_by_host.get_mut(&rule.host) {
                Some(records) => records.extend(record),
                None => drop(records_by_host.insert(rule.host.clone(), record)),
            }
            table.len += 1;
            slices.step().await;
        }
        for (host, records) in records_by_host {
            let routes = HostRoutes::new(packing::unpack_all(&records));
            table.hosts.insert(Rc::from(host), Rc::new(routes));
            slices.step().await;
        }
        table
    }

    /// Adds a route.
    pub fn insert(&mut self, name: &str, rule: &RouteRule) {
        let host_routes = self.hosts.get(rule.host.as_str()).cloned();
        let mut records: Vec<RouteRecord> = host_routes
            .iter()
            .flat_map(|host_routes| packing::unpack_all(&host_routes.records))
            .collect();
        records.push(RouteRecord::new(name, rule));
        self.len += 1;
        let routes = Rc::new(HostRoutes::new(records));
        self.hosts.insert(Rc::from(rule.host.as_str()), routes);
    }

    /// Removes the route with this name and rule.
    pub fn remove(&mut self, name: &str, rule: &RouteRule) {
        let host = rule.host.as_str();
        let host_routes = match self.hosts.get(host) {
            Some(host_routes) => host_routes.clone(),
            None => return,
        };
        let mut records: Vec<RouteRecord> = packing::unpack_all(&host_routes.records);
        let len_before = records.len();
        records.retain(|record| record.name != name);
        self.len -= len_before - records.len();
        if records.is_empty() {
            self.hosts.remove(host);
        } else {
            self.hosts.insert(Rc::from(host), Rc::new(HostRoutes::new(records)));
        }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Finds the route of a request. `host` must have no port, and `path` no query.
    pub fn find(&self, host: &str, path: &str, method: &str) -> RouteMatch {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => return RouteMatch::Missing,
        };
        let mut allowed = Vec::new();
        let mut prefix = trim_trailing_slash(path);
        loop {
            for record in routes.with_prefix(prefix) {
                // A path that lacks the closing slash of a prefix is not below the prefix.
                if !path.starts_with(record.prefix) {
                    continue;
                }
                if accepts_method(&record.methods, method) {
                    return RouteMatch::Found(record.entry(host));
                }
                allowed.extend(record.methods.iter().map(|method| method.to_string()));
            }
            match prefix.rfind('/') {
                Some(slash) => prefix = &prefix[..slash],
                None => break,
            }
        }
        if allowed.is_empty() {
            RouteMatch::Missing
        } else {
            RouteMatch::WrongMethod(allowed)
        }
    }
}

fn service_share((service, weight): (&str, u32)) -> ServiceShare {
    ServiceShare { service: service.to_owned(), weight }
}

fn trim_trailing_slash(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}

fn accepts_method(methods: &[&str], method: &str) -> bool {
    methods.is_empty() || methods.contains(&method)
}
