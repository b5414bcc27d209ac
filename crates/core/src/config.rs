// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The configuration of the fleet at one revision, built from accepted changes.

use std::rc::Rc;

use fnv::FnvBuildHasher;
use imbl::shared_ptr::DefaultSharedPtr;
use imbl::{GenericHashMap, OrdMap};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::errors::{self, ResourceError};
use crate::resources::{
    self, BackendServer, LimitRule, LimitScope, ResourceKind, ResourceValue, RouteRule,
    ServiceSpec, ALL_KINDS,
};
use crate::routes::RouteTable;
use crate::units::FleetRevision;

/// `SharedMap` is a map whose copies share what they have in common: a copy costs nothing, a change
/// a few entries. Readers keep the version that they began with.
pub type SharedMap<K, V> = GenericHashMap<K, V, FnvBuildHasher, DefaultSharedPtr>;

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
    pub server: Rc<BackendServer>,
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
    pub rule: Rc<RouteRule>,
}

/// `FleetConfig` is the configuration of the whole fleet at one revision.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    revision: FleetRevision,
    kinds: [OrdMap<Rc<str>, Rc<StoredResource>>; ALL_KINDS.len()],
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
        self.kinds[kind as usize].get(name).map(|stored| &**stored)
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.kinds.iter().map(OrdMap::len).sum()
    }

    /// Says whether there is no resource at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Lists the resources of one kind in the order of their names.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = (&Rc<str>, &StoredResource)> {
        self.kinds[kind as usize].iter().map(|(name, stored)| (name, &**stored))
    }

    fn all(&self) -> impl Iterator<Item = (ResourceKind, &Rc<str>, &StoredResource)> {
        ALL_KINDS
            .into_iter()
            .flat_map(|kind| self.list(kind).map(move |(name, stored)| (kind, name, stored)))
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
            parsed.push((kind, Rc::from(change.name.as_str()), value));
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
        name: Rc<str>,
        value: Option<ResourceValue>,
        revision: FleetRevision,
    ) {
        let resources = &mut self.kinds[kind as usize];
        match value {
            Some(value) => {
                resources.insert(name, Rc::new(StoredResource { revision, value }));
            }
            None => {
                resources.remove(&name);
            }
        }
    }

    /// Checks that every reference of every resource has its target.
    pub fn check_references(&self) -> Result<(), ResourceError> {
        self.all().try_for_each(|(kind, name, stored)| self.check_one(kind, name, &stored.value))
    }

    /// Checks the references that a change touches. Call it on the configuration that the change
    /// leads to. Deleting a resource that others may name looks at all of those.
    pub fn check_change(&self, record: &ChangeRecord) -> Result<(), ResourceError> {
        for change in &record.changes {
            let kind = ResourceKind::parse(&change.kind)?;
            match self.get(kind, &change.name) {
                Some(stored) => self.check_one(kind, &change.name, &stored.value)?,
                None if kind == ResourceKind::BackendServer || kind == ResourceKind::Limit => {}
                None => return self.check_references(),
            }
        }
        Ok(())
    }

    fn check_one(
        &self,
        kind: ResourceKind,
        name: &str,
        value: &ResourceValue,
    ) -> Result<(), ResourceError> {
        for (field, target_kind, target) in value.references() {
            if self.get(target_kind, target).is_none() {
                let path = format!("{}.{field}", resources::resource_path(kind, name));
                let missing = resources::resource_path(target_kind, target);
                return Err(errors::dangling(path, missing));
            }
        }
        Ok(())
    }

    /// Writes the configuration as a snapshot.
    pub fn to_snapshot(&self) -> FleetSnapshot {
        let resources = self
            .all()
            .map(|(kind, name, stored)| {
                let value = stored.value.to_json();
                (kind.name().to_owned(), name.to_string(), stored.revision, value)
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
            config.put(kind, Rc::from(name.as_str()), Some(value), *revision);
        }
        config.revision = snapshot.revision;
        config.check_references()?;
        Ok(config)
    }
}

/// `ActiveConfig` is a configuration laid out for the request path. A copy shares everything.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfig {
    /// Revision in force.
    pub revision: FleetRevision,
    /// Services by name.
    pub services: SharedMap<Rc<str>, Rc<ServiceEntry>>,
    /// Routes by host and path.
    pub routes: RouteTable,
    organisations: OrdMap<Rc<str>, Rc<StoredResource>>,
    limits: [SharedMap<Rc<str>, Vec<Rc<LimitEntry>>>; LIMIT_SCOPES],
    limit_names: SharedMap<Rc<str>, Rc<LimitEntry>>,
}

/// Number of things that limits count by.
const LIMIT_SCOPES: usize = 3;

/// `LimitEntry` is a limit in force.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitEntry {
    /// Name of the limit.
    pub name: Rc<str>,
    /// Its resource.
    pub rule: LimitRule,
}

impl ActiveConfig {
    /// Lays out `config` for the request path.
    pub fn build(config: &FleetConfig) -> Self {
        let mut active = Self { revision: config.revision(), ..Self::default() };
        // The order of the kinds puts services before what belongs to them.
        for (_, name, stored) in config.all() {
            active.insert(name, &stored.value);
        }
        active.share_organisations(config);
        active
    }

    /// Takes the organisations over as they are kept; a copy of the map shares all of it.
    fn share_organisations(&mut self, config: &FleetConfig) {
        self.organisations = config.kinds[ResourceKind::Organisation as usize].clone();
    }

    /// Says whether there is an organisation of this name.
    pub fn has_organisation(&self, name: &str) -> bool {
        self.organisations.contains_key(name)
    }

    /// Says whether there are no limits.
    pub fn has_no_limits(&self) -> bool {
        self.limit_names.is_empty()
    }

    /// Returns the limits that count something.
    pub fn limits_of(&self, scope: LimitScope, target: &str) -> &[Rc<LimitEntry>] {
        self.limits[scope as usize].get(target).map_or(&[], Vec::as_slice)
    }

    /// Returns the limit with this name.
    pub fn limit(&self, name: &str) -> Option<&Rc<LimitEntry>> {
        self.limit_names.get(name)
    }

    /// Brings the layout from `before` to `after`, which `record` leads to, at the cost of what
    /// changed. Returns the services that were touched.
    pub fn update(
        &mut self,
        before: &FleetConfig,
        after: &FleetConfig,
        record: &ChangeRecord,
    ) -> Vec<Rc<str>> {
        let mut touched = Vec::new();
        let changed =
            |config: &FleetConfig, first: bool, each: &mut dyn FnMut(&str, &ResourceValue)| {
                for change in &record.changes {
                    let kind = match ResourceKind::parse(&change.kind) {
                        Ok(kind) if (kind == ResourceKind::Service) == first => kind,
                        _ => continue,
                    };
                    if let Some(stored) = config.get(kind, &change.name) {
                        each(&change.name, &stored.value);
                    }
                }
            };
        // What belongs to services goes before them and comes after them.
        changed(before, false, &mut |name, value| self.remove(name, value, &mut touched));
        changed(before, true, &mut |name, value| {
            if after.get(ResourceKind::Service, name).is_none() {
                self.remove(name, value, &mut touched);
            }
        });
        for services in [true, false] {
            changed(after, services, &mut |name, value| {
                touched.extend(self.insert(&Rc::from(name), value));
            });
        }
        self.share_organisations(after);
        self.revision = after.revision();
        touched.sort();
        touched.dedup();
        touched
    }

    /// Adds or replaces a resource; returns the service that it touches.
    fn insert(&mut self, name: &Rc<str>, value: &ResourceValue) -> Option<Rc<str>> {
        match value {
            ResourceValue::FailureDomain(_) | ResourceValue::Organisation(_) => None,
            ResourceValue::Service(spec) => {
                let known = self.services.get(name);
                let upstreams = known.map(|entry| entry.upstreams.clone()).unwrap_or_default();
                let entry = ServiceEntry { name: name.clone(), spec: spec.clone(), upstreams };
                self.services.insert(name.clone(), Rc::new(entry));
                Some(name.clone())
            }
            ResourceValue::BackendServer(server) => self.insert_server(name, server),
            ResourceValue::Route(rule) => {
                let entry = RouteEntry { name: name.clone(), rule: rule.clone() };
                self.routes.insert(Rc::new(entry));
                None
            }
            ResourceValue::Limit(rule) => {
                let entry = Rc::new(LimitEntry { name: name.clone(), rule: rule.clone() });
                let target = Rc::from(rule.target.as_str());
                let limits = &mut self.limits[rule.scope as usize];
                limits.entry(target).or_default().push(entry.clone());
                self.limit_names.insert(name.clone(), entry);
                None
            }
        }
    }

    fn insert_server(&mut self, name: &Rc<str>, server: &Rc<BackendServer>) -> Option<Rc<str>> {
        let entry = self.services.get_mut(server.service.as_str())?;
        let upstreams = &mut Rc::make_mut(entry).upstreams;
        let upstream = UpstreamEntry { name: name.clone(), server: server.clone() };
        match upstreams.binary_search_by(|known| known.name.cmp(name)) {
            Ok(index) => upstreams[index] = upstream,
            Err(index) => upstreams.insert(index, upstream),
        }
        Some(entry.name.clone())
    }

    fn remove(&mut self, name: &str, value: &ResourceValue, touched: &mut Vec<Rc<str>>) {
        match value {
            ResourceValue::FailureDomain(_) | ResourceValue::Organisation(_) => {}
            ResourceValue::Service(_) => {
                touched.extend(self.services.remove(name).map(|entry| entry.name.clone()));
            }
            ResourceValue::BackendServer(server) => {
                if let Some(entry) = self.services.get(server.service.as_str()) {
                    let mut entry = entry.clone();
                    let service = entry.name.clone();
                    let changed = Rc::make_mut(&mut entry);
                    changed.upstreams.retain(|upstream| &*upstream.name != name);
                    self.services.insert(service.clone(), entry);
                    touched.push(service);
                }
            }
            ResourceValue::Route(rule) => self.routes.remove(name, rule),
            ResourceValue::Limit(rule) => {
                self.limit_names.remove(name);
                let limits = &mut self.limits[rule.scope as usize];
                if let Some(entries) = limits.get_mut(rule.target.as_str()) {
                    entries.retain(|entry| &*entry.name != name);
                }
            }
        }
    }
}
