// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Services of the configuration in force, kept packed in memory until they are used.

use std::rc::Rc;

use crate::packing;
use crate::resources::{BackendServer, ServiceSpec};

/// `UpstreamEntry` is one upstream of a service in force.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Name of the backend server.
    pub name: Rc<str>,
    /// Resource of the backend server.
    pub server: Rc<BackendServer>,
}

/// `ServiceEntry` is a service in force with its upstreams in the order of their names.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Rc<str>,
    /// Resource of the service.
    pub spec: ServiceSpec,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamEntry>,
}

/// `PackedService` is a service in force in the compact form in which it is kept while no request
/// uses it. Equal services pack to equal bytes, so two services can be compared without unpacking.
#[derive(Debug, Clone, PartialEq)]
pub struct PackedService {
    spec: ServiceSpec,
    upstreams: Rc<[u8]>,
}

impl PackedService {
    /// Packs a service.
    pub fn new(entry: &ServiceEntry) -> Self {
        let pack = |upstream: &UpstreamEntry| pack_upstream(&upstream.name, &upstream.server);
        let bytes: Vec<u8> = entry.upstreams.iter().flat_map(pack).collect();
        Self::with_upstreams(&entry.spec, &bytes)
    }

    /// Builds a packed service from `upstreams`: the concatenated results of [`pack_upstream`], in
    /// the order of the upstreams' names.
    pub fn with_upstreams(spec: &ServiceSpec, upstreams: &[u8]) -> Self {
        Self { spec: spec.clone(), upstreams: packing::compress(upstreams) }
    }

    /// Unpacks the service. The packed form does not contain the name of the service, so the caller
    /// passes the name.
    pub fn unpack(&self, name: &Rc<str>) -> ServiceEntry {
        let bytes = packing::decompress(&self.upstreams);
        let packed: Vec<(&str, BackendServer)> = packing::unpack_all(&bytes);
        let upstreams = packed
            .into_iter()
            .map(|(name, server)| UpstreamEntry { name: Rc::from(name), server: Rc::new(server) });
        let upstreams = upstreams.collect();
        ServiceEntry { name: name.clone(), spec: self.spec.clone(), upstreams }
    }
}

/// Packs one upstream of a service.
pub fn pack_upstream(name: &str, server: &BackendServer) -> Vec<u8> {
    packing::pack(&(name, server))
}

impl ServiceEntry {
    /// Adds or replaces an upstream.
    pub fn put_upstream(&mut self, upstream: UpstreamEntry) {
        match self.upstreams.binary_search_by(|existing| existing.name.cmp(&upstream.name)) {
            Ok(index) => self.upstreams[index] = upstream,
            Err(index) => self.upstreams.insert(index, upstream),
        }
    }
}
