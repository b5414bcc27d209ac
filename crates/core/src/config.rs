// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The configuration of the fleet at one revision, built from accepted changes.

use std::collections::BTreeMap;
use std::rc::Rc;

use fnv::FnvHashMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::errors::{self, ResourceError};
use crate::resources::{
    self, BackendServer, LimitRule, LimitScope, OrganisationSpec, ResourceKind, ResourceValue,
    RouteRule, ServiceSpec,
};
use crate::routes::RouteTable;
use crate::units::FleetRevision;

/// `ResourceChange` is what a change does to one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceChange {
    /// Name of the kind.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Value before, absent when the resource is new.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value after, absent when the resource is deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// `ChangeRecord` is one accepted change: it is both the step of the configuration and its audit
/// record, so that neither can exist without the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Revision that this change makes.
    pub revision: FleetRevision,
    /// Who made it.
    pub actor: String,
    /// When, in milliseconds since 1970 UTC, by the accepting daemon's clock.
    pub at_ms: u64,
    /// Address that the request came from.
    pub from: String,
    /// Token of the writer, by which a lost answer is settled.
    pub writer: String,
    /// What changed.
    pub changes: Vec<ResourceChange>,
}

/// `StoredResource` is a resource with the revision that last changed it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResource {
    /// Revision of the last change; the resource's entity tag.
    pub revision: FleetRevision,
    /// The value.
    pub value: ResourceValue,
}

/// `UpstreamEntry` is one upstream of a service in force.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Name of the backend server.
    pub name: Rc<str>,
    /// Its resource.
    pub server: BackendServer,
}

/// `ServiceEntry` is a service in force with its upstreams in the order of their names.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Rc<str>,
    /// Its resource.
    pub spec: ServiceSpec,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// `RouteEntry` is a route in force.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: Rc<str>,
    /// Its resource.
    pub rule: RouteRule,
}

/// `FleetConfig` is the configuration of the whole fleet at one revision.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    revision: FleetRevision,
    resources: BTreeMap<(ResourceKind, String), StoredResource>,
}

/// `FleetSnapshot` is a configuration as it is kept and passed between daemons.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSnapshot {
    /// Revision of the snapshot.
    pub revision: FleetRevision,
    /// Every resource: kind, name, revision, value.
    pub resources: Vec<(String, String, FleetRevision, Value)>,
}

impl FleetConfig {
    /// Returns the revision.
    pub fn revision(&self) -> FleetRevision {
        self.revision
    }

    /// Returns the resource with this name.
    pub fn get(&self, kind: ResourceKind, name: &str) -> Option<&StoredResource> {
        self.resources.get(&(kind, name.to_owned()))
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.resources.len()
    }

    /// Says whether there is no resource at all.
    pub fn is_empty(&self) -> bool {
        self.resources.is_empty()
    }

    /// Lists the resources of one kind in the order of their names.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = (&str, &StoredResource)> {
        self.resources
            .range((kind, String::new())..)
            .take_while(move |((each, _), _)| *each == kind)
            .map(|((_, name), stored)| (name.as_str(), stored))
    }

    /// Applies the change that makes the next revision; any other revision is refused unchanged.
    ///
    /// Returns whether the change was applied.
    pub fn apply(&mut self, record: &ChangeRecord) -> Result<bool, ResourceError> {
        if record.revision != self.revision.next() {
            return Ok(false);
        }
        let mut parsed = Vec::with_capacity(record.changes.len());
        for change in &record.changes {
            let kind = ResourceKind::parse(&change.kind)?;
            let value = match &change.after {
                Some(after) => Some(ResourceValue::try_new(kind, &change.name, after)?),
                None => None,
            };
            parsed.push((kind, change.name.clone(), value));
        }
        for (kind, name, value) in parsed {
            self.put(kind, name, value, record.revision);
        }
        self.revision = record.revision;
        Ok(true)
    }

    fn put(
        &mut self,
        kind: ResourceKind,
        name: String,
        value: Option<ResourceValue>,
        revision: FleetRevision,
    ) {
        match value {
            Some(value) => {
                let stored = StoredResource { revision, value };
                self.resources.insert((kind, name), stored);
            }
            None => {
                self.resources.remove(&(kind, name));
            }
        }
    }

    /// Checks that every reference of every resource that `changes` touch has its target, and that
    /// nothing still in use is deleted. Call it on the configuration that the changes lead to.
    pub fn check_references(&self) -> Result<(), ResourceError> {
        for ((kind, name), stored) in &self.resources {
            for (field, target_kind, target) in stored.value.references() {
                if self.get(target_kind, target).is_none() {
                    let path = format!("{}.{field}", resources::resource_path(*kind, name));
                    let missing = resources::resource_path(target_kind, target);
                    return Err(errors::dangling(path, missing));
                }
            }
        }
        Ok(())
    }

    /// Writes the configuration as a snapshot.
    pub fn to_snapshot(&self) -> FleetSnapshot {
        let resources = self
            .resources
            .iter()
            .map(|((kind, name), stored)| {
                let value = stored.value.to_json();
                (kind.name().to_owned(), name.clone(), stored.revision, value)
            })
            .collect();
        FleetSnapshot { revision: self.revision, resources }
    }

    /// Reads a snapshot, with every check that a change goes through.
    pub fn from_snapshot(snapshot: &FleetSnapshot) -> Result<Self, ResourceError> {
        let mut config = Self::default();
        for (kind, name, revision, value) in &snapshot.resources {
            let kind = ResourceKind::parse(kind)?;
            let value = ResourceValue::try_new(kind, name, value)?;
            config.put(kind, name.clone(), Some(value), *revision);
        }
        config.revision = snapshot.revision;
        config.check_references()?;
        Ok(config)
    }
}

/// `ActiveConfig` is a configuration laid out for the request path.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// Revision in force.
    pub revision: FleetRevision,
    /// Services by name.
    pub services: FnvHashMap<Rc<str>, Rc<ServiceEntry>>,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Limits by what they count.
    pub limits: FnvHashMap<(u8, Rc<str>), Vec<LimitEntry>>,
    /// Organisations by name.
    pub organisations: FnvHashMap<Rc<str>, OrganisationSpec>,
}

/// `LimitEntry` is a limit in force.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitEntry {
    /// Name of the limit.
    pub name: Rc<str>,
    /// Its resource.
    pub rule: LimitRule,
}

/// Returns the number that stands for a scope in [`ActiveConfig::limits`].
pub fn scope_number(scope: LimitScope) -> u8 {
    scope as u8
}

impl ActiveConfig {
    /// Lays out `config` for the request path.
    pub fn build(config: &FleetConfig) -> Self {
        let mut active = Self { revision: config.revision(), ..Self::default() };
        active.services = build_services(config);
        for (name, stored) in config.list(ResourceKind::Route) {
            if let ResourceValue::Route(rule) = &stored.value {
                let name = Rc::from(name);
                let rule = rule.clone();
                active.routes.insert(Rc::new(RouteEntry { name, rule }));
            }
        }
        for (name, stored) in config.list(ResourceKind::Limit) {
            if let ResourceValue::Limit(rule) = &stored.value {
                let key = (scope_number(rule.scope), Rc::from(rule.target.as_str()));
                let name = Rc::from(name);
                let rule = rule.clone();
                let entries = active.limits.entry(key).or_default();
                entries.push(LimitEntry { name, rule });
            }
        }
        for (name, stored) in config.list(ResourceKind::Organisation) {
            if let ResourceValue::Organisation(spec) = &stored.value {
                active.organisations.insert(Rc::from(name), spec.clone());
            }
        }
        active
    }
}

fn build_services(config: &FleetConfig) -> FnvHashMap<Rc<str>, Rc<ServiceEntry>> {
    let mut upstreams: FnvHashMap<&str, Vec<UpstreamEntry>> = FnvHashMap::default();
    for (name, stored) in config.list(ResourceKind::BackendServer) {
        if let ResourceValue::BackendServer(server) = &stored.value {
            let entry = UpstreamEntry { name: Rc::from(name), server: server.clone() };
            upstreams.entry(&server.service).or_default().push(entry);
        }
    }
    let mut services = FnvHashMap::default();
    for (name, stored) in config.list(ResourceKind::Service) {
        if let ResourceValue::Service(spec) = &stored.value {
            let name: Rc<str> = Rc::from(name);
            let entry = ServiceEntry {
                name: name.clone(),
                spec: spec.clone(),
                upstreams: upstreams.remove(&*name).unwrap_or_default(),
            };
            services.insert(name, Rc::new(entry));
        }
    }
    services
}
