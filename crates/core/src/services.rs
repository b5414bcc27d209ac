// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Services in force, packed until they are used.

use std::rc::Rc;

use crate::packing;
use crate::resources::{BackendServer, ServiceSpec};

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

/// `PackedService` is a service in force that is not used at the moment. Equal services are packed
/// alike, so that two can be compared as they are.
#[derive(Debug, Clone, PartialEq)]
pub struct PackedService {
    spec: ServiceSpec,
    upstreams: Rc<[u8]>,
}

impl PackedService {
    /// Packs a service.
    pub fn new(entry: &ServiceEntry) -> Self {
        let mut bytes = Vec::new();
        for upstream in &entry.upstreams {
            bytes.extend(packing::pack(&(&*upstream.name, &*upstream.server)));
        }
        Self { spec: entry.spec.clone(), upstreams: packing::compress(&bytes) }
    }

    /// Unpacks the service of this name.
    pub fn unpack(&self, name: &Rc<str>) -> ServiceEntry {
        let bytes = packing::expand(&self.upstreams);
        let mut rest = &bytes[..];
        let mut upstreams = Vec::new();
        while !rest.is_empty() {
            let (name, server): (&str, BackendServer) = packing::take(&mut rest);
            upstreams.push(UpstreamEntry { name: Rc::from(name), server: Rc::new(server) });
        }
        ServiceEntry { name: name.clone(), spec: self.spec.clone(), upstreams }
    }
}

impl ServiceEntry {
    /// Adds or replaces upstreams.
    pub fn put_upstreams(&mut self, added: impl IntoIterator<Item = UpstreamEntry>) {
        for upstream in added {
            match self.upstreams.binary_search_by(|known| known.name.cmp(&upstream.name)) {
                Ok(index) => self.upstreams[index] = upstream,
                Err(index) => self.upstreams.insert(index, upstream),
            }
        }
    }
}
