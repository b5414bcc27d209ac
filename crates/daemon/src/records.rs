// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The records of the hosts: what each daemon publishes about its host.

use std::collections::BTreeMap;
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;

use basaltarch_core::departures::DepartedServers;
use basaltarch_core::incarnation::{self, ServerIncarnation};
use basaltarch_core::resources::{BackendServer, ServerState};
use basaltarch_core::services::UpstreamEntry;
use basaltarch_events::fleet;
use basaltarch_fleet::host_index::{HostFacts, HostIndex};
use serde::{de, Deserialize, Serialize};
use serde_json::Value;

use crate::suspects::RefusedRecord;

/// `HostRecord` is what a host's daemon publishes about itself and the backend servers on its host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host. A row that holds the record of another host is not valid.
    #[serde(default)]
    pub host: String,
    /// Incarnation of the daemon; a later start has a higher number.
    pub incarnation: i64,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which the daemon accepts links.
    pub peer_address: String,
    /// Address of the daemon's admin API.
    pub admin_address: String,
    /// Number of changes of the servers in this incarnation. Of two records of one incarnation, the
    /// record with more changes is later.
    #[serde(default)]
    pub changes: u64,
    /// Whether the daemon is leaving.
    pub leaving: bool,
    /// Backend servers that registered with the daemon.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerRecord>,
    /// Upstreams of this host that get no new requests any more, of this and of earlier incarnations
    /// of the daemon.
    #[serde(default, skip_serializing_if = "DepartedServers::is_empty")]
    pub departed: DepartedServers,
    /// Refused requests whose last crash was on this host.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<RefusedRecord>,
}

/// `ServerRecord` is one backend server that registered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of this incarnation of the backend server.
    pub name: String,
    /// Service that the backend server is an upstream of.
    pub service: String,
    /// Address that the backend server listens on.
    pub address: SocketAddr,
    /// Number of requests that the backend server handles at once.
    pub slots: u32,
    /// Whether the backend server is leaving.
    pub draining: bool,
}

/// `RelayedRecord` is a host's record that a peer relays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// Name of the host.
    pub host: String,
    /// Record of the host.
    pub record: HostRecord,
}

impl HostRecord {
    /// Returns the sort key of a host's records: the incarnation, then the changes. The later of
    /// two records has the greater key.
    pub fn sort_key(&self) -> (i64, u64) {
        (self.incarnation, self.changes)
    }

    /// Says whether the record lists a backend server of this name that is not draining.
    pub fn is_in_use(&self, name: &str) -> bool {
        self.servers.iter().any(|server| server.name == name && !server.draining)
    }

    /// Lists the upstreams that are leaving or have left.
    pub fn departures(&self) -> impl Iterator<Item = &str> {
        let draining = self.servers.iter().filter(|server| server.draining);
        self.departed.iter().chain(draining.map(|server| server.name.as_str()))
    }

    /// Lists the services of the backend servers.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.servers.iter().map(|server| server.service.as_str())
    }
}

impl ServerRecord {
    /// Returns the backend server as an upstream of its service.
    fn upstream(&self, host: &str, record: &HostRecord, connections: u32) -> UpstreamEntry {
        let state = if self.draining { ServerState::Draining } else { ServerState::Active };
        UpstreamEntry {
            name: Rc::from(self.name.as_str()),
            server: Rc::new(BackendServer {
                service: self.service.clone(),
                host: host.to_owned(),
                address: self.address,
                slots: self.slots,
                connections,
                failure_domain: record.failure_domain.clone(),
                state,
            }),
        }
    }
}

/// `RecordTable` holds the latest known record of each host. A change of a record takes the same
/// work whatever the number of hosts.
#[derive(Debug, Default)]
pub struct RecordTable {
    records: BTreeMap<String, HostRecord>,
    index: HostIndex,
    /// Number of hosts with a daemon that is not leaving.
    staying: usize,
}

impl RecordTable {
    /// Returns the record of a host.
    pub fn get(&self, host: &str) -> Option<&HostRecord> {
        self.records.get(host)
    }

    /// Lists the records by host.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &HostRecord)> {
        self.records.iter().map(|(host, record)| (host.as_str(), record))
    }

    /// Returns the number of hosts with a daemon that is not leaving, at least 1.
    pub fn daemons(&self) -> usize {
        self.staying.max(1)
    }

    /// Stores the record of a host, or removes it.
    pub fn set(&mut self, host: &str, record: Option<HostRecord>) {
        if let Some(known) = self.records.remove(host) {
            self.index.remove(&facts(host, &known, &services(&known)));
            self.staying -= usize::from(!known.leaving);
        }
        if let Some(record) = record {
            self.index.insert(&facts(host, &record, &services(&record)));
            self.staying += usize::from(!record.leaving);
            self.records.insert(host.to_owned(), record);
        }
    }

    /// Returns the other hosts whose daemon has the same peer address as `record` and an earlier
    /// start: the daemon of `host` replaced their daemons at that address.
    pub fn replaced_by(&self, host: &str, record: &HostRecord) -> Vec<String> {
        let others = self.others_at(host, record);
        let replaced = others.filter(|(_, known)| known.incarnation < record.incarnation);
        replaced.map(|(other, _)| other.to_owned()).collect()
    }

    /// Says whether the daemon of another host has the same peer address as `record` and a later
    /// start, and so replaced the daemon of `host`.
    pub fn is_replaced(&self, host: &str, record: &HostRecord) -> bool {
        let mut others = self.others_at(host, record);
        others.any(|(_, known)| known.incarnation > record.incarnation)
    }

    /// Returns the upstreams of a service in the order of their names.
    pub fn upstreams(&self, service: &str, connections: u32) -> Vec<UpstreamEntry> {
        let mut upstreams = Vec::new();
        for host in self.index.hosts_of(service) {
            let Some(record) = self.records.get(host) else { continue };
            let servers = record.servers.iter().filter(|server| server.service == service);
            upstreams.extend(servers.map(|server| server.upstream(host, record, connections)));
        }
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        // If two hosts list the same server, the entry with the later start of the server is used.
        // The other host refuses requests for the server as for an unknown upstream.
        upstreams.dedup_by(|right, left| {
            let is_same = incarnation::server_of(&left.name) == incarnation::server_of(&right.name);
            if is_same && server_started_at(left) < server_started_at(right) {
                mem::swap(left, right);
            }
            is_same
        });
        upstreams
    }

    /// Lists the other hosts whose daemon has the same peer address as `record`.
    fn others_at<'a>(
        &'a self,
        host: &'a str,
        record: &'a HostRecord,
    ) -> impl Iterator<Item = (&'a str, &'a HostRecord)> {
        let others = self.index.hosts_at(&record.peer_address).filter(move |other| *other != host);
        others.filter_map(|other| Some((other, self.records.get(other)?)))
    }
}

fn services(record: &HostRecord) -> Vec<&str> {
    record.services().collect()
}

fn facts<'a>(host: &'a str, record: &'a HostRecord, services: &'a [&'a str]) -> HostFacts<'a> {
    HostFacts { host, address: &record.peer_address, services }
}

/// Returns when the backend server of an upstream started, if that is known.
fn server_started_at(upstream: &UpstreamEntry) -> Option<u64> {
    ServerIncarnation::of_upstream(&upstream.name).born
}

/// Reads the record in the row of a host. Backend servers that can't be read are left out.
pub fn read_record(host: &str, bytes: &[u8]) -> Result<HostRecord, serde_json::Error> {
    let mut value: Value = serde_json::from_slice(bytes)?;
    let servers = take_list(&mut value, "servers");
    let refused = take_list(&mut value, "refused");
    let departed = take_list(&mut value, "departed");
    let mut record = HostRecord::deserialize(value)?;
    if !record.host.is_empty() && record.host != host {
        return Err(de::Error::custom(format_args!("it is the record of {}", record.host)));
    }
    let refused = refused.into_iter();
    record.refused = refused.filter_map(|each| RefusedRecord::deserialize(each).ok()).collect();
    record.departed = departed.iter().filter_map(Value::as_str).collect();
    let listed_count = servers.len();
    record.servers = servers.into_iter().filter_map(readable_server).collect();
    let servers = (listed_count - record.servers.len()) as u64;
    if servers > 0 {
        fleet::ServersUnreadable { host, servers }.log();
    }
    Ok(record)
}

/// Removes a list from a record. A value that is not a list counts as an empty list.
fn take_list(record: &mut Value, name: &str) -> Vec<Value> {
    match record.as_object_mut().and_then(|fields| fields.remove(name)) {
        Some(Value::Array(list)) => list,
        _ => Vec::new(),
    }
}

fn readable_server(value: Value) -> Option<ServerRecord> {
    let server = ServerRecord::deserialize(value).ok()?;
    (!server.name.is_empty() && server.slots > 0).then_some(server)
}
