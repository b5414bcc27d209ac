// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Finds the route of a request by host, path and method.

use std::rc::Rc;

use fnv::FnvHashMap;

use crate::config::{RouteEntry, SharedMap};
use crate::resources::RouteRule;

/// Routes of one host by path prefix.
type PathRoutes = FnvHashMap<Box<str>, Vec<Rc<RouteEntry>>>;

/// `RouteTable` finds the route with the longest path prefix.
///
/// A look-up costs one hash look-up for each segment of the path, whatever the number of routes.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: SharedMap<Rc<str>, Rc<PathRoutes>>,
    len: usize,
}

/// `RouteMatch` is the result of a look-up.
#[derive(Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// The route.
    Found(&'a Rc<RouteEntry>),
    /// Routes match the path, but none the method; the methods that would match.
    WrongMethod(Vec<&'a str>),
    /// Nothing matches.
    Missing,
}

impl RouteTable {
    /// Adds a route.
    pub fn insert(&mut self, entry: Rc<RouteEntry>) {
        let host: Rc<str> = Rc::from(entry.rule.host.as_str());
        let paths = self.hosts.entry(host).or_default();
        let prefix = trim_prefix(&entry.rule.path_prefix);
        Rc::make_mut(paths).entry(prefix.into()).or_default().push(entry);
        self.len += 1;
    }

    /// Removes the route with this name, which has this rule.
    pub fn remove(&mut self, name: &str, rule: &RouteRule) {
        let mut paths = match self.hosts.get(rule.host.as_str()) {
            Some(paths) => paths.clone(),
            None => return,
        };
        let routes = Rc::make_mut(&mut paths);
        let prefix = trim_prefix(&rule.path_prefix);
        if let Some(entries) = routes.get_mut(prefix) {
            let before = entries.len();
            entries.retain(|entry| &*entry.name != name);
            self.len -= before - entries.len();
            if entries.is_empty() {
                routes.remove(prefix);
            }
        }
        if routes.is_empty() {
            self.hosts.remove(rule.host.as_str());
        } else {
            self.hosts.insert(Rc::from(rule.host.as_str()), paths);
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
    pub fn find(&self, host: &str, path: &str, method: &str) -> RouteMatch<'_> {
        let paths = match self.hosts.get(host) {
            Some(paths) => paths,
            None => return RouteMatch::Missing,
        };
        let mut allowed = Vec::new();
        let mut prefix = trim_prefix(path);
        loop {
            for entry in paths.get(prefix).into_iter().flatten() {
                if accepts(&entry.rule.methods, method) {
                    return RouteMatch::Found(entry);
                }
                allowed.extend(entry.rule.methods.iter().map(String::as_str));
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

fn accepts(methods: &[String], method: &str) -> bool {
    methods.is_empty() || methods.iter().any(|each| each == method)
}
