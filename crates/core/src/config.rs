// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The configuration of the fleet at one revision, built from accepted changes.

use std::collections::BTreeSet;
use std::rc::Rc;

use fnv::{FnvBuildHasher, FnvHashMap, FnvHashSet};
use imbl::shared_ptr::DefaultSharedPtr;
use imbl::GenericHashMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::blocks::{BlockBuilder, ResourceBlocks};
use crate::errors::{self, ResourceError};
use crate::organisations::KeyTable;
use crate::resources::{
    self, LimitRule, LimitScope, ResourceKind, ResourceValue, ServiceSpec, ALL_KINDS,
};
use crate::routes::RouteTable;
use crate::services::{self, PackedService, ServiceEntry, UpstreamEntry};
use crate::slices::{self, WorkSlices};
use crate::units::FleetRevision;

/// `SharedMap` is a persistent map whose versions share structure: copying the map takes constant
/// time, and a change copies only a few entries. Readers keep the version that they started with.
pub type SharedMap<K, V> = GenericHashMap<K, V, FnvBuildHasher, DefaultSharedPtr>;

/// `EvacuatedDomains` is the set of evacuated failure domains. A layout shares the set with the
/// layout that it was copied from until the set changes.
pub type EvacuatedDomains = Rc<BTreeSet<Rc<str>>>;

/// `ResourceChange` is the effect of a change on one resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceChange {
    /// Name of the resource's kind.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Value before the change, absent when the resource is new.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// Value after the change, absent when the resource is deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

/// `ChangeRecord` is one accepted change. The record is both the update of the configuration and
/// the audit record, so that neither can exist without the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Revision that this change creates.
    pub revision: FleetRevision,
    /// Name of the operator who made the change.
    pub actor: String,
    /// Time of acceptance, in milliseconds since 1970 UTC, by the clock of the daemon that accepted
    /// the change.
    pub at_ms: u64,
    /// Address from which the operator's request came.
    pub from: String,
    /// Token of the daemon that wrote the change to the store. By its token, a writer that lost the
    /// store's response finds out whether the change was accepted.
    pub writer: String,
    /// Effects on the resources.
    pub changes: Vec<ResourceChange>,
}

/// `StoredResource` is a resource with the revision that last changed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Revision of the last change to the resource; also the resource's entity tag.
    pub revision: FleetRevision,
    /// Value of the resource.
    pub value: ResourceValue,
}

/// `FleetConfig` is the configuration of the whole fleet at one revision.
#[derive(Debug, Clone, Default)]
pub struct FleetConfig {
    revision: FleetRevision,
    kinds: [ResourceBlocks; ALL_KINDS.len()],
    /// Organisations by their API keys.
    keys: KeyTable,
}

/// `SnapshotResource` is one resource in a snapshot: the name of its kind, its own name, the
/// revision that last changed it, and its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SnapshotResource(pub String, pub String, pub FleetRevision, pub Value);

impl FleetConfig {
    /// Returns the revision.
    pub fn revision(&self) -> FleetRevision {
        self.revision
    }

    /// Returns the resource with this name.
    pub fn get(&self, kind: ResourceKind, name: &str) -> Option<StoredResource> {
        self.kinds[kind as usize].get(name)
    }

    /// Returns whether there is a resource with this name.
    pub fn contains(&self, kind: ResourceKind, name: &str) -> bool {
        self.kinds[kind as usize].contains(name)
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.kinds.iter().map(ResourceBlocks::len).sum()
    }

    /// Returns whether there is no resource at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Lists the resources of one kind in the order of their names.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = (Rc<str>, StoredResource)> + '_ {
        self.kinds[kind as usize].iter()
    }

    /// Applies a change if it creates the next revision, and ignores the change otherwise.
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
        // Old keys are removed before any is added, as one change may move a key from one
        // organisation to another.
        for (kind, name, _) in &parsed {
            self.remove_keys(*kind, name);
        }
        for (kind, name, value) in parsed {
            if let Some(ResourceValue::Organisation(spec)) = &value {
                self.keys.insert_all(name, spec);
            }
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

    /// Removes the keys of the organisation with this name; does nothing if `kind` is another kind.
    fn remove_keys(&mut self, kind: ResourceKind, name: &str) {
        if kind != ResourceKind::Organisation {
            return;
        }
        if let Some(ResourceValue::Organisation(spec)) =
            self.get(kind, name).map(|stored| stored.value)
        {
            spec.keys.iter().for_each(|digest| self.keys.remove(digest));
        }
    }

    /// Checks that no other organisation owns a key of the organisation `name`; accepts resources
    /// of other kinds.
    fn check_keys(&self, name: &str, value: &ResourceValue) -> Result<(), ResourceError> {
        let ResourceValue::Organisation(spec) = value else { return Ok(()) };
        let is_own = |digest| self.keys.find(digest).is_some_and(|owner| *owner.name == *name);
        match spec.keys.iter().find(|digest| !is_own(digest)) {
            Some(digest) => {
                let path = resources::resource_path(ResourceKind::Organisation, name);
                let key = digest.public_part();
                Err(errors::bad_value(format!("{path}.keys"), key, "keys of no other organisation"))
            }
            None => Ok(()),
        }
    }

    /// Checks that every reference of every resource has a target, and that no two organisations
    /// own the same key.
    pub fn check_references(&self) -> Result<(), ResourceError> {
        slices::poll_to_completion(self.check_references_in_slices(&slices::no_pause))
    }

    async fn check_references_in_slices(
        &self,
        pause: &impl AsyncFn(),
    ) -> Result<(), ResourceError> {
        // Many resources refer to few services and failure domains, so the names of the services
        // and failure domains are unpacked only once.
        let names = |kind| self.kinds[kind as usize].names().collect::<FnvHashSet<Rc<str>>>();
        let services = names(ResourceKind::Service);
        let domains = names(ResourceKind::FailureDomain);
        let exists = |kind, name: &str| match kind {
            ResourceKind::Service => services.contains(name),
            ResourceKind::FailureDomain => domains.contains(name),
            _ => self.contains(kind, name),
        };
        let mut slices = WorkSlices::new(pause);
        for (kind, name, stored) in self.all() {
            check_references_of(kind, &name, &stored.value, exists)?;
            self.check_keys(&name, &stored.value)?;
            slices.step().await;
        }
        Ok(())
    }

    /// Checks the references and keys that a change affects. Must be called on the configuration
    /// that results from the change. For a deleted resource, all resources of the kinds that may
    /// refer to it are scanned.
    pub fn check_change(&self, record: &ChangeRecord) -> Result<(), ResourceError> {
        for change in &record.changes {
            let kind = ResourceKind::parse(&change.kind)?;
            let exists = |kind, name: &str| self.contains(kind, name);
            match self.get(kind, &change.name) {
                Some(stored) => {
                    check_references_of(kind, &change.name, &stored.value, exists)?;
                    self.check_keys(&change.name, &stored.value)?;
                }
                None => self.check_unreferenced(kind, &change.name)?,
            }
        }
        Ok(())
    }

    /// Checks that no resource refers to the deleted resource.
    fn check_unreferenced(
        &self,
        deleted: ResourceKind,
        deleted_name: &str,
    ) -> Result<(), ResourceError> {
        let exists = |kind, name: &str| (kind, name) != (deleted, deleted_name);
        for kind in deleted.referrers() {
            for (name, stored) in self.list(*kind) {
                check_references_of(*kind, &name, &stored.value, exists)?;
            }
        }
        Ok(())
    }

    /// Lists every resource in the order of kinds and names.
    pub fn all(&self) -> impl Iterator<Item = (ResourceKind, Rc<str>, StoredResource)> + '_ {
        ALL_KINDS
            .into_iter()
            .flat_map(|kind| self.list(kind).map(move |(name, stored)| (kind, name, stored)))
    }
}

/// `ConfigBuilder` builds a configuration from a stream of resources.
#[derive(Debug, Default)]
pub struct ConfigBuilder {
    kinds: [BlockBuilder; ALL_KINDS.len()],
    keys: KeyTable,
}

impl ConfigBuilder {
    /// Validates a resource by the checks that a change of this resource alone must pass, and adds
    /// the resource.
    pub fn push(&mut self, resource: &SnapshotResource) -> Result<(), ResourceError> {
        let SnapshotResource(kind, name, revision, value) = resource;
        let kind = ResourceKind::parse(kind)?;
        let value = ResourceValue::try_new(kind, name, value)?;
        if let ResourceValue::Organisation(spec) = &value {
            self.keys.insert_all(name, spec);
        }
        self.kinds[kind as usize].push(name, &StoredResource { revision: *revision, value });
        Ok(())
    }

    /// Checks all references and keys and returns the configuration at this revision.
    pub fn finish(self, revision: FleetRevision) -> Result<FleetConfig, ResourceError> {
        slices::poll_to_completion(self.finish_in_slices(revision, &slices::no_pause))
    }

    /// Checks all references and keys in time slices and returns the configuration.
    pub async fn finish_in_slices(
        self,
        revision: FleetRevision,
        pause: &impl AsyncFn(),
    ) -> Result<FleetConfig, ResourceError> {
        let kinds = self.kinds.map(BlockBuilder::finish);
        let config = FleetConfig { revision, kinds, keys: self.keys };
        config.check_references_in_slices(pause).await?;
        Ok(config)
    }
}

/// Checks that every target that a resource refers to exists according to the predicate `exists`.
fn check_references_of(
    kind: ResourceKind,
    name: &str,
    value: &ResourceValue,
    exists: impl Fn(ResourceKind, &str) -> bool,
) -> Result<(), ResourceError> {
    for (field, target_kind, target) in value.references() {
        if !exists(target_kind, target) {
            let path = format!("{}.{field}", resources::resource_path(kind, name));
            let missing = resources::resource_path(target_kind, target);
            return Err(errors::dangling(path, missing));
        }
    }
    Ok(())
}

/// Packs all services with their upstreams. The upstreams of each service are packed in the order
/// of their names, as the configuration lists backend servers in this order.
async fn pack_services(
    config: &FleetConfig,
    pause: &impl AsyncFn(),
) -> SharedMap<Rc<str>, Rc<PackedService>> {
    let mut slices = WorkSlices::new(pause);
    let mut packed_upstreams: FnvHashMap<String, Vec<u8>> = FnvHashMap::default();
    for (name, stored) in config.list(ResourceKind::BackendServer) {
        if let ResourceValue::BackendServer(server) = &stored.value {
            let packed = services::pack_upstream(&name, server);
            match packed_upstreams.get_mut(&server.service) {
                Some(upstreams) => upstreams.extend(packed),
                None => drop(packed_upstreams.insert(server.service.clone(), packed)),
            }
        }
        slices.step().await;
    }
    let mut packed_services = SharedMap::default();
    for (name, stored) in config.list(ResourceKind::Service) {
        if let ResourceValue::Service(spec) = &stored.value {
            let upstreams = packed_upstreams.remove(&*name).unwrap_or_default();
            packed_services.insert(name, Rc::new(PackedService::with_upstreams(spec, &upstreams)));
        }
        slices.step().await;
    }
    packed_services
}

/// `ActiveConfig` is a configuration laid out for lookups on the request path. Copies of an
/// `ActiveConfig` share all data.
#[derive(Debug, Clone, Default)]
pub struct ActiveConfig {
    /// Revision in force.
    pub revision: FleetRevision,
    /// Services by name.
    pub services: SharedMap<Rc<str>, Rc<PackedService>>,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Organisations by their API keys.
    pub keys: KeyTable,
    /// Failure domains whose backend servers get no new requests.
    pub evacuated: EvacuatedDomains,
    organisations: ResourceBlocks,
    limits: [SharedMap<Rc<str>, Vec<Rc<LimitEntry>>>; LIMIT_SCOPES],
    limit_names: SharedMap<Rc<str>, Rc<LimitEntry>>,
}

/// Number of variants of [`LimitScope`].
const LIMIT_SCOPES: usize = 3;

/// `LimitEntry` is a limit in force.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitEntry {
    /// Name of the limit.
    pub name: Rc<str>,
    /// Rule that the resource of the limit declares.
    pub rule: LimitRule,
}

impl ActiveConfig {
    /// Lays out `config` for the request path.
    pub fn build(config: &FleetConfig) -> Self {
        slices::poll_to_completion(Self::build_in_slices(config, &slices::no_pause))
    }

    /// Lays out `config` in time slices.
    pub async fn build_in_slices(config: &FleetConfig, pause: &impl AsyncFn()) -> Self {
        let mut active = Self { revision: config.revision(), ..Self::default() };
        for kind in [ResourceKind::FailureDomain, ResourceKind::Limit] {
            for (name, stored) in config.list(kind) {
                active.insert(&name, &stored.value);
            }
        }
        active.services = pack_services(config, pause).await;
        let routes = config.list(ResourceKind::Route);
        let routes = routes.filter_map(|(name, stored)| Some((name, stored.value.into_route()?)));
        active.routes = RouteTable::build_in_slices(routes, pause).await;
        active.share_organisations(config);
        active
    }

    /// Changes the service with this name by `change`. Returns the name of the service, or `None`
    /// if there is no such service.
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

    /// Copies the organisations and their keys in the packed form in which `config` keeps them. The
    /// copies share all data with `config`.
    fn share_organisations(&mut self, config: &FleetConfig) {
        self.organisations = config.kinds[ResourceKind::Organisation as usize].clone();
        self.keys = config.keys.clone();
    }

    /// Returns whether there is an organisation of this name.
    pub fn has_organisation(&self, name: &str) -> bool {
        self.organisations.contains(name)
    }

    /// Returns whether there are no limits.
    pub fn has_no_limits(&self) -> bool {
        self.limit_names.is_empty()
    }

    /// Returns the limits that count the requests of the organisation, route or service `target`.
    pub fn limits_of(&self, scope: LimitScope, target: &str) -> &[Rc<LimitEntry>] {
        self.limits[scope as usize].get(target).map_or(&[], Vec::as_slice)
    }

    /// Returns the limit with this name.
    pub fn limit(&self, name: &str) -> Option<&Rc<LimitEntry>> {
        self.limit_names.get(name)
    }

    /// Updates the layout by the change `record`, at a cost proportional to the change. `before`
    /// and `after` are the configurations before and after the change. Returns the names of the
    /// affected services.
    pub fn update(
        &mut self,
        before: &FleetConfig,
        after: &FleetConfig,
        record: &ChangeRecord,
    ) -> Vec<Rc<str>> {
        let mut affected_services = Vec::new();
        let visit_changed =
            |config: &FleetConfig,
             is_service: bool,
             visit: &mut dyn FnMut(&str, &ResourceValue)| {
                for change in &record.changes {
                    let kind = match ResourceKind::parse(&change.kind) {
                        Ok(kind) if (kind == ResourceKind::Service) == is_service => kind,
                        _ => continue,
                    };
                    if let Some(stored) = config.get(kind, &change.name) {
                        visit(&change.name, &stored.value);
                    }
                }
            };
        // Resources that belong to a service are removed before the service and added after it.
        visit_changed(before, false, &mut |name, value| {
            self.remove(name, value, &mut affected_services)
        });
        visit_changed(before, true, &mut |name, value| {
            if after.get(ResourceKind::Service, name).is_none() {
                self.remove(name, value, &mut affected_services);
            }
        });
        for is_service in [true, false] {
            visit_changed(after, is_service, &mut |name, value| {
                affected_services.extend(self.insert(&Rc::from(name), value));
            });
        }
        self.share_organisations(after);
        self.revision = after.revision();
        affected_services.sort();
        affected_services.dedup();
        affected_services
    }

    /// Adds or replaces a resource; returns the name of the affected service, if there is one.
    fn insert(&mut self, name: &Rc<str>, value: &ResourceValue) -> Option<Rc<str>> {
        match value {
            ResourceValue::Organisation(_) => None,
            ResourceValue::FailureDomain(domain) => {
                if domain.evacuated {
                    Rc::make_mut(&mut self.evacuated).insert(name.clone());
                }
                None
            }
            ResourceValue::Service(spec) => {
                self.insert_service(name, spec);
                Some(name.clone())
            }
            ResourceValue::BackendServer(server) => {
                let upstream = UpstreamEntry { name: name.clone(), server: server.clone() };
                self.change_service(&server.service, |entry| entry.put_upstream(upstream))
            }
            ResourceValue::Route(rule) => {
                self.routes.insert(name, rule);
                None
            }
            ResourceValue::Limit(rule) => {
                self.insert_limit(name, rule.clone());
                None
            }
        }
    }

    /// Adds a limit; a limit with the same name must have been removed before.
    pub fn insert_limit(&mut self, name: &Rc<str>, rule: LimitRule) {
        let target = Rc::from(rule.target.as_str());
        let limits = &mut self.limits[rule.scope as usize];
        let entry = Rc::new(LimitEntry { name: name.clone(), rule });
        limits.entry(target).or_default().push(entry.clone());
        self.limit_names.insert(name.clone(), entry);
    }

    /// Adds a service without upstreams, or replaces the settings of a service and keeps its
    /// upstreams.
    fn insert_service(&mut self, name: &Rc<str>, spec: &ServiceSpec) {
        let existing = self.service(name);
        let upstreams = existing.map(|entry| entry.upstreams).unwrap_or_default();
        let entry = ServiceEntry { name: name.clone(), spec: spec.clone(), upstreams };
        self.services.insert(name.clone(), Rc::new(PackedService::new(&entry)));
    }

    fn remove(&mut self, name: &str, value: &ResourceValue, affected_services: &mut Vec<Rc<str>>) {
        match value {
            ResourceValue::Organisation(_) => {}
            ResourceValue::FailureDomain(domain) => {
                if domain.evacuated {
                    Rc::make_mut(&mut self.evacuated).remove(name);
                }
            }
            ResourceValue::Service(_) => {
                if self.services.remove(name).is_some() {
                    affected_services.push(Rc::from(name));
                }
            }
            ResourceValue::BackendServer(server) => {
                affected_services.extend(self.change_service(&server.service, |entry| {
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
