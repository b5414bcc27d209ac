// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The configuration of the fleet at one revision, built from accepted changes.

use std::rc::Rc;

use fnv::{FnvBuildHasher, FnvHashMap, FnvHashSet};
use imbl::shared_ptr::DefaultSharedPtr;
use imbl::GenericHashMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::blocks::ResourceBlocks;
use crate::errors::{self, ResourceError};
use crate::resources::{
    self, LimitRule, LimitScope, ResourceKind, ResourceValue, ServiceSpec, ALL_KINDS,
};
use crate::routes::{RouteEntry, RouteTable};
use crate::services::{PackedService, ServiceEntry, UpstreamEntry};
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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Revision of the last change; the resource's entity tag.
    pub revision: FleetRevision,
    /// The value.
    pub value: ResourceValue,
}

/// `FleetConfig` is the configuration of the whole fleet at one revision.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    revision: FleetRevision,
    kinds: [ResourceBlocks; ALL_KINDS.len()],
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
    pub fn get(&self, kind: ResourceKind, name: &str) -> Option<StoredResource> {
        self.kinds[kind as usize].get(name)
    }

    /// Says whether there is a resource with this name.
    pub fn contains(&self, kind: ResourceKind, name: &str) -> bool {
        self.kinds[kind as usize].contains(name)
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.kinds.iter().map(ResourceBlocks::len).sum()
    }

    /// Says whether there is no resource at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Lists the resources of one kind in the order of their names.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = (Rc<str>, StoredResource)> + '_ {
        self.kinds[kind as usize].iter()
    }

    fn all(&self) -> impl Iterator<Item = (ResourceKind, Rc<str>, StoredResource)> + '_ {
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
            parsed.push((kind, change.name.as_str(), value));
        }
        for (kind, name, value) in parsed {
            let resources = &mut self.kinds[kind as usize];
            match value {
                Some(value) => {
                    resources.insert(name, &StoredResource { revision: record.revision, value });
                }
                None => resources.remove(name),
            }
        }
        self.revision = record.revision;
        Ok(true)
    }

    /// Checks that every reference of every resource has its target.
    pub fn check_references(&self) -> Result<(), ResourceError> {
        // Many resources name few services and failure domains, so their names are unpacked once.
        let names = |kind| self.kinds[kind as usize].names().collect::<FnvHashSet<Rc<str>>>();
        let services = names(ResourceKind::Service);
        let domains = names(ResourceKind::FailureDomain);
        let has = |kind, name: &str| match kind {
            ResourceKind::Service => services.contains(name),
            ResourceKind::FailureDomain => domains.contains(name),
            _ => self.contains(kind, name),
        };
        self.all().try_for_each(|(kind, name, stored)| check_one(kind, &name, &stored.value, has))
    }

    /// Checks the references that a change touches. Call it on the configuration that the change
    /// leads to. Deleting a resource looks at all of the kinds that may name it.
    pub fn check_change(&self, record: &ChangeRecord) -> Result<(), ResourceError> {
        for change in &record.changes {
            let kind = ResourceKind::parse(&change.kind)?;
            let has = |kind, name: &str| self.contains(kind, name);
            match self.get(kind, &change.name) {
                Some(stored) => check_one(kind, &change.name, &stored.value, has)?,
                None => self.check_unused(kind, &change.name)?,
            }
        }
        Ok(())
    }

    /// Checks that nothing names a resource that is not there.
    fn check_unused(&self, gone: ResourceKind, gone_name: &str) -> Result<(), ResourceError> {
        let has = |kind, name: &str| (kind, name) != (gone, gone_name);
        for kind in gone.referrers() {
            for (name, stored) in self.list(*kind) {
                check_one(*kind, &name, &stored.value, has)?;
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
        let mut kinds: [Vec<(Rc<str>, StoredResource)>; ALL_KINDS.len()] = Default::default();
        for (kind, name, revision, value) in &snapshot.resources {
            let kind = ResourceKind::parse(kind)?;
            let value = ResourceValue::try_new(kind, name, value)?;
            let stored = StoredResource { revision: *revision, value };
            kinds[kind as usize].push((Rc::from(name.as_str()), stored));
        }
        let kinds = kinds.map(|resources| ResourceBlocks::build(resources.into_iter()));
        let config = Self { revision: snapshot.revision, kinds };
        config.check_references()?;
        Ok(config)
    }
}

/// Checks that what a resource names is there, as `has` says.
fn check_one(
    kind: ResourceKind,
    name: &str,
    value: &ResourceValue,
    has: impl Fn(ResourceKind, &str) -> bool,
) -> Result<(), ResourceError> {
    for (field, target_kind, target) in value.references() {
        if !has(target_kind, target) {
            let path = format!("{}.{field}", resources::resource_path(kind, name));
            let missing = resources::resource_path(target_kind, target);
            return Err(errors::dangling(path, missing));
        }
    }
    Ok(())
}

/// `ActiveConfig` is a configuration laid out for the request path. A copy shares everything.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfig {
    /// Revision in force.
    pub revision: FleetRevision,
    /// Services by name.
    pub services: SharedMap<Rc<str>, Rc<PackedService>>,
    /// Routes by host and path.
    pub routes: RouteTable,
    organisations: ResourceBlocks,
    limits: [SharedMap<Rc<str>, Vec<Rc<LimitEntry>>>; LIMIT_SCOPES],
    limit_names: SharedMap<Rc<str>, Rc<LimitEntry>>,
}

/// Backend servers laid out at a time: the memory that laying out takes stays near 10 MB.
const BUILD_CHUNK: usize = 32 * 1024;

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
        for kind in [ResourceKind::Service, ResourceKind::Limit] {
            for (name, stored) in config.list(kind) {
                active.insert(&name, &stored.value);
            }
        }
        active.add_servers(config);
        let routes = config.list(ResourceKind::Route).filter_map(|(name, stored)| {
            let rule = stored.value.into_route()?;
            Some(Rc::new(RouteEntry { name, rule }))
        });
        active.routes = RouteTable::build(routes);
        active.share_organisations(config);
        active
    }

    /// Adds all backend servers, many at a time, since each addition packs its service anew.
    fn add_servers(&mut self, config: &FleetConfig) {
        let mut waiting: FnvHashMap<String, Vec<UpstreamEntry>> = FnvHashMap::default();
        for (count, (name, stored)) in config.list(ResourceKind::BackendServer).enumerate() {
            if let ResourceValue::BackendServer(server) = stored.value {
                let upstream = UpstreamEntry { name, server: server.clone() };
                waiting.entry(server.service.clone()).or_default().push(upstream);
            }
            if (count + 1) % BUILD_CHUNK == 0 {
                self.put_upstreams(&mut waiting);
            }
        }
        self.put_upstreams(&mut waiting);
    }

    fn put_upstreams(&mut self, waiting: &mut FnvHashMap<String, Vec<UpstreamEntry>>) {
        for (service, upstreams) in waiting.drain() {
            self.change_service(&service, |entry| entry.put_upstreams(upstreams));
        }
    }

    /// Changes a service, if there is one of this name, and returns its name.
    fn change_service(
        &mut self,
        name: &str,
        change: impl FnOnce(&mut ServiceEntry),
    ) -> Option<Rc<str>> {
        let (name, packed) = self.services.get_key_value(name)?;
        let name = name.clone();
        let mut entry = packed.unpack(&name);
        change(&mut entry);
        self.services.insert(name.clone(), Rc::new(PackedService::new(&entry)));
        Some(name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<ServiceEntry> {
        let (name, packed) = self.services.get_key_value(name)?;
        Some(packed.unpack(name))
    }

    /// Takes the organisations over as they are kept; a copy of the map shares all of it.
    fn share_organisations(&mut self, config: &FleetConfig) {
        self.organisations = config.kinds[ResourceKind::Organisation as usize].clone();
    }

    /// Says whether there is an organisation of this name.
    pub fn has_organisation(&self, name: &str) -> bool {
        self.organisations.contains(name)
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
                self.insert_service(name, spec);
                Some(name.clone())
            }
            ResourceValue::BackendServer(server) => {
                let upstream = UpstreamEntry { name: name.clone(), server: server.clone() };
                self.change_service(&server.service, |entry| entry.put_upstreams([upstream]))
            }
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

    fn insert_service(&mut self, name: &Rc<str>, spec: &ServiceSpec) {
        let known = self.service(name);
        let upstreams = known.map(|entry| entry.upstreams).unwrap_or_default();
        let entry = ServiceEntry { name: name.clone(), spec: spec.clone(), upstreams };
        self.services.insert(name.clone(), Rc::new(PackedService::new(&entry)));
    }

    fn remove(&mut self, name: &str, value: &ResourceValue, touched: &mut Vec<Rc<str>>) {
        match value {
            ResourceValue::FailureDomain(_) | ResourceValue::Organisation(_) => {}
            ResourceValue::Service(_) => {
                if self.services.remove(name).is_some() {
                    touched.push(Rc::from(name));
                }
            }
            ResourceValue::BackendServer(server) => {
                touched.extend(self.change_service(&server.service, |entry| {
                    entry.upstreams.retain(|upstream| &*upstream.name != name);
                }));
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
