// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds the route of a request by host, path and method.

use std::rc::Rc;

use fnv::FnvHashMap;
use serde::{Deserialize, Serialize};

use crate::config::SharedMap;
use crate::packing;
use crate::resources::{RouteRule, WorkClass, WorkMode};

/// Routes laid out at a time: the memory that laying out takes stays within a few MB.
const BUILD_CHUNK: usize = 16 * 1024;

/// `RouteEntry` is a route in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Rc<str>,
    /// Its resource.
    pub rule: Rc<RouteRule>,
}

/// `RouteTable` finds the route with the longest path prefix.
///
/// A look-up costs one hash look-up for the host and one binary search among the host's routes for
/// each segment of the path.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: SharedMap<Rc<str>, Rc<HostRoutes>>,
    len: usize,
}

/// `RouteMatch` is the result of a look-up.
#[derive(Debug, PartialEq)]
pub enum RouteMatch {
    /// The route.
    Found(Rc<RouteEntry>),
    /// Routes match the path, but none the method; the methods that would match.
    WrongMethod(Vec<String>),
    /// Nothing matches.
    Missing,
}

/// One route as it is packed: all of its resource but the host. Routes of one host mostly lead to
/// few services, which are named once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RouteRecord<'a> {
    prefix: &'a str,
    name: &'a str,
    service: u32,
    #[serde(borrow)]
    methods: Vec<&'a str>,
    timeout_ms: u64,
    mode: WorkMode,
    criticality: WorkClass,
}

/// `HostRoutes` is the routes of one host, packed, in the order of prefix and name.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    services: Box<[Rc<str>]>,
    /// Where each record begins.
    starts: Box<[u32]>,
    records: Box<[u8]>,
}

impl HostRoutes {
    /// Packs the routes of one host.
    fn new(mut entries: Vec<Rc<RouteEntry>>) -> Self {
        entries.sort_by(|left, right| order_of(left).cmp(&order_of(right)));
        let mut services: Vec<Rc<str>> = Vec::new();
        let mut numbers = FnvHashMap::default();
        let mut starts = Vec::with_capacity(entries.len());
        let mut records = Vec::new();
        for entry in &entries {
            let rule = &entry.rule;
            let service = *numbers.entry(rule.service.as_str()).or_insert_with(|| {
                services.push(Rc::from(rule.service.as_str()));
                services.len() as u32 - 1
            });
            let record = RouteRecord {
                prefix: &rule.path_prefix,
                name: &entry.name,
                service,
                methods: rule.methods.iter().map(String::as_str).collect(),
                timeout_ms: rule.timeout_ms,
                mode: rule.mode,
                criticality: rule.criticality,
            };
            starts.push(records.len() as u32);
            records.extend(packing::pack(&record));
        }
        Self { services: services.into(), starts: starts.into(), records: records.into() }
    }

    fn record(&self, index: usize) -> RouteRecord<'_> {
        packing::unpack(&self.records[self.starts[index] as usize..])
    }

    fn prefix(&self, index: usize) -> &str {
        let prefix: &str = packing::unpack(&self.records[self.starts[index] as usize..]);
        trim_prefix(prefix)
    }

    fn entry(&self, host: &str, record: &RouteRecord) -> Rc<RouteEntry> {
        let rule = RouteRule {
            host: host.to_owned(),
            path_prefix: record.prefix.to_owned(),
            methods: record.methods.iter().map(|method| method.to_string()).collect(),
            service: self.services[record.service as usize].to_string(),
            timeout_ms: record.timeout_ms,
            mode: record.mode,
            criticality: record.criticality,
        };
        Rc::new(RouteEntry { name: Rc::from(record.name), rule: Rc::new(rule) })
    }

    fn entries(&self, host: &str) -> Vec<Rc<RouteEntry>> {
        (0..self.starts.len()).map(|index| self.entry(host, &self.record(index))).collect()
    }

    /// Lists the routes with exactly this prefix.
    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = RouteRecord<'a>> {
        let first = self.first_with(prefix);
        (first..self.starts.len())
            .take_while(move |index| self.prefix(*index) == prefix)
            .map(|index| self.record(index))
    }

    fn first_with(&self, prefix: &str) -> usize {
        let (mut low, mut high) = (0, self.starts.len());
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

fn order_of(entry: &RouteEntry) -> (&str, &str) {
    (trim_prefix(&entry.rule.path_prefix), &entry.name)
}

impl RouteTable {
    /// Lays routes out.
    pub fn build(entries: impl Iterator<Item = Rc<RouteEntry>>) -> Self {
        let mut table = Self::default();
        let mut waiting: FnvHashMap<Rc<str>, Vec<Rc<RouteEntry>>> = FnvHashMap::default();
        let mut count = 0;
        for entry in entries {
            waiting.entry(Rc::from(entry.rule.host.as_str())).or_default().push(entry);
            count += 1;
            if count % BUILD_CHUNK == 0 {
                table.put_all(&mut waiting);
            }
        }
        table.put_all(&mut waiting);
        table
    }

    fn put_all(&mut self, waiting: &mut FnvHashMap<Rc<str>, Vec<Rc<RouteEntry>>>) {
        for (host, entries) in waiting.drain() {
            self.put(host, entries);
        }
    }

    /// Adds routes of one host.
    fn put(&mut self, host: Rc<str>, added: Vec<Rc<RouteEntry>>) {
        let mut entries = self.hosts.get(&host).map_or(Vec::new(), |known| known.entries(&host));
        self.len += added.len();
        entries.extend(added);
        self.hosts.insert(host, Rc::new(HostRoutes::new(entries)));
    }

    /// Adds a route.
    pub fn insert(&mut self, entry: Rc<RouteEntry>) {
        self.put(Rc::from(entry.rule.host.as_str()), vec![entry]);
    }

    /// Removes the route with this name, which has this rule.
    pub fn remove(&mut self, name: &str, rule: &RouteRule) {
        let host = rule.host.as_str();
        let mut entries = match self.hosts.get(host) {
            Some(known) => known.entries(host),
            None => return,
        };
        let before = entries.len();
        entries.retain(|entry| &*entry.name != name);
        self.len -= before - entries.len();
        if entries.is_empty() {
            self.hosts.remove(host);
        } else {
            self.hosts.insert(Rc::from(host), Rc::new(HostRoutes::new(entries)));
        }
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Says whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Finds the route of a request. `host` has no port; `path` has no query.
    pub fn find(&self, host: &str, path: &str, method: &str) -> RouteMatch {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => return RouteMatch::Missing,
        };
        let mut allowed = Vec::new();
        let mut prefix = trim_prefix(path);
        loop {
            for record in routes.with_prefix(prefix) {
                if accepts(&record.methods, method) {
                    return RouteMatch::Found(routes.entry(host, &record));
                }
                allowed.extend(record.methods.iter().map(|method| method.to_string()));
            }
            match prefix.rfind('/') {
                Some(cut) => prefix = &prefix[..cut],
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

fn trim_prefix(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}

fn accepts(methods: &[&str], method: &str) -> bool {
    methods.is_empty() || methods.contains(&method)
}
