// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The operator's document as the source of the configuration.
//!
//! The document is taken over whole, and only if its version is higher than the one in force. The
//! upstreams of its services are those that registered, by the rows of the hosts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::configuration::TouchedServices;
use basaltarch_base::metrics;
use basaltarch_core::config::{ActiveConfig, ConfigBuilder, FleetConfig, SnapshotResource};
use basaltarch_core::resources::{ResourceKind, ServiceSpec};
use basaltarch_core::routes::RouteTable;
use basaltarch_core::services::{PackedService, ServiceEntry};
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;
use basaltarch_options::ServiceDefaults;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{ChangePull, FrameBody};
use basaltarch_platform::document::{self, ConfigDocument, ServiceNote};
use basaltarch_platform::rows::{StoredRow, DOCUMENT_KEY, OPERATOR_TABLE};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::feed::{FeedNews, FeedPlan, FeedReader};
use crate::roster::{self, ToldRecord};
use crate::state::DaemonState;

/// How the operator's rows are followed. Refused calls cost as much as others, and the first of many
/// daemons that hears of a change after an outage tells the others, so that 1.5 s are soon enough.
const FEED: FeedPlan = FeedPlan {
    table: OPERATOR_TABLE,
    between: Duration::ZERO,
    failure_max: Duration::from_millis(1500),
};
/// Time for which a daemon waits for the store to tell of a document that a peer already has: the
/// feed brings it in milliseconds, and a whole document is large.
const BEHIND_MAX: Duration = Duration::from_millis(250);

/// `HeldDocument` is the document in force.
#[derive(Debug, Clone)]
pub struct HeldDocument {
    /// The document.
    pub document: Rc<ConfigDocument>,
    /// Its bytes, for peers.
    bytes: Rc<[u8]>,
}

/// `DocumentCell` holds the document in force, if there is one.
#[derive(Debug, Default)]
pub struct DocumentCell {
    held: RefCell<Option<HeldDocument>>,
    pulling: Cell<bool>,
}

impl DocumentCell {
    /// Returns the document in force.
    pub fn get(&self) -> Option<Rc<ConfigDocument>> {
        self.held.borrow().as_ref().map(|held| held.document.clone())
    }
}

/// `FleetSnapshot` is what a daemon tells a peer that can't reach the store.
#[derive(Debug, Serialize, Deserialize)]
struct FleetSnapshot {
    document: String,
    hosts: Vec<ToldRecord>,
}

/// Reads the document and follows its changes for ever.
pub async fn follow(state: Rc<DaemonState>) {
    let mut reader = FeedReader::new(FEED);
    loop {
        let news = reader.next(&state).await;
        let (FeedNews::Whole(page) | FeedNews::Changes(page)) = news else { continue };
        page.rows.iter().for_each(|row| take_row(&state, row));
        state.freshness.note_store(reader.as_of());
    }
}

fn take_row(state: &Rc<DaemonState>, row: &StoredRow) {
    match row.value.bytes() {
        Some(value) if row.key == DOCUMENT_KEY => take_document(state, value, "store"),
        _ => {}
    }
}

/// Takes a document over if it can be read and is later than the one in force.
fn take_document(state: &Rc<DaemonState>, bytes: &[u8], from: &str) {
    let document = match document::read(bytes) {
        Ok(document) => document,
        Err(error) => {
            let in_force = state.config.revision().0;
            fleet::ConfigUnreadable { error: &error.to_string(), from, in_force }.log();
            state.freshness.note_outdated();
            return;
        }
    };
    let revision = FleetRevision(document.version);
    if state.config.is_loaded() && revision <= state.config.revision() {
        if revision < state.config.revision() {
            metrics::OLD_REVISIONS.add_one();
            let in_force = state.config.revision().0;
            fleet::ConfigOlder { revision: revision.0, in_force, from }.log();
        }
        return;
    }
    let fresh = state.freshness.known().age(state.now());
    let fresh_ms = fresh.map(|age| age.as_millis() as u64);
    fleet::DocumentTaken { revision: revision.0, from, fresh_ms }.log();
    state.freshness.note_in_force();
    let next = lay_out(state, &document);
    let held = HeldDocument { document: Rc::new(document), bytes: Rc::from(bytes) };
    *state.document.held.borrow_mut() = Some(held);
    state.config.replace_layout(next, TouchedServices::All, state.now());
    put_host_in_force(state);
}

fn lay_out(state: &DaemonState, document: &ConfigDocument) -> ActiveConfig {
    let routes = document.routes.iter().map(|route| {
        let name: Rc<str> = Rc::from(route.name.as_str());
        (name, Rc::new(route.rule.clone()))
    });
    let mut next = ActiveConfig::default();
    next.revision = FleetRevision(document.version);
    next.routes = RouteTable::build(routes);
    for note in &document.services {
        let entry = service_entry(state, note);
        next.services.insert(entry.name.clone(), Rc::new(PackedService::new(&entry)));
    }
    next
}

fn service_entry(state: &DaemonState, note: &ServiceNote) -> ServiceEntry {
    ServiceEntry {
        name: Rc::from(note.name.as_str()),
        spec: service_spec(&state.live().defaults),
        upstreams: state.roster.upstreams(&note.name, note.connections),
    }
}

fn service_spec(defaults: &ServiceDefaults) -> ServiceSpec {
    ServiceSpec {
        floor: defaults.floor,
        prefer: defaults.prefer,
        queue: defaults.queue,
        retry_budget: defaults.retry_share,
    }
}

/// Brings services in line with the rows of the hosts.
pub fn put_services_in_force(state: &Rc<DaemonState>, names: &[String]) {
    let document = match state.document.get() {
        Some(document) => document,
        None => return,
    };
    let mut next = ActiveConfig::clone(&state.config.active());
    let mut touched = Vec::new();
    for note in document.services.iter().filter(|note| names.contains(&note.name)) {
        let entry = service_entry(state, note);
        touched.push(entry.name.clone());
        next.services.insert(entry.name.clone(), Rc::new(PackedService::new(&entry)));
    }
    if !touched.is_empty() {
        let touched = TouchedServices::Some(touched);
        state.config.replace_layout(next, touched, state.now());
    }
}

/// Brings the host role in line at once, without waiting for the task that does so: an
/// acknowledgement to a backend server must be true when it is sent.
pub fn put_host_in_force(state: &Rc<DaemonState>) {
    let active = state.config.active();
    state.host.configure(state, &active, &TouchedServices::All);
}

/// Returns the configuration in force as resources. It is built for each call: only operators ask.
pub fn resources(state: &DaemonState) -> FleetConfig {
    let revision = state.config.revision();
    let mut builder = ConfigBuilder::default();
    let mut push = |kind: ResourceKind, name: &str, value: Value| {
        let resource = SnapshotResource(kind.name().to_owned(), name.to_owned(), revision, value);
        // Names that the resource API would not take can't be shown by it.
        if let Err(error) = builder.push(&resource) {
            fleet::ResourceNotShown { error: &error.to_string() }.log();
        }
    };
    let active = state.config.active();
    state.roster.for_each(|_, record| {
        push(ResourceKind::FailureDomain, &record.failure_domain, json!({"region": ""}));
    });
    for (name, packed) in &active.services {
        let entry = packed.unpack(name);
        push(ResourceKind::Service, name, json!(entry.spec));
        for upstream in &entry.upstreams {
            push(ResourceKind::BackendServer, &upstream.name, json!(&*upstream.server));
        }
    }
    for route in state.document.get().iter().flat_map(|document| &document.routes) {
        push(ResourceKind::Route, &route.name, json!(route.rule));
    }
    builder.finish(revision).unwrap_or_else(|error| {
        fleet::ResourceNotShown { error: &error.to_string() }.log();
        FleetConfig::default()
    })
}

/// Asks a peer that has a later revision in force for its document: at once when none is here, else
/// if the store has not told of it a little later.
pub fn note_peer_revision(state: &Rc<DaemonState>, sender: &FrameSender, theirs: FleetRevision) {
    let is_behind = move |state: &DaemonState| theirs > state.config.revision();
    if !is_behind(state) || state.document.pulling.replace(true) {
        return;
    }
    let wait = if state.config.is_loaded() { BEHIND_MAX } else { Duration::ZERO };
    let state = state.clone();
    let sender = sender.clone();
    monoio::spawn(async move {
        monoio::time::sleep(wait).await;
        state.document.pulling.set(false);
        if is_behind(&state) {
            let pull = ChangePull { after: state.config.revision().0 as i64 };
            // A link that ended is followed by another, whose heartbeat asks again.
            let _ = sender.send(NO_EXCHANGE, FrameBody::Pull(pull));
        }
    });
}

/// Returns what a peer that is behind is told, if there is a document.
pub fn snapshot(state: &DaemonState) -> Option<Vec<u8>> {
    let held = state.document.held.borrow().clone()?;
    let mut hosts = Vec::new();
    state.roster.for_each(|host, record| {
        hosts.push(ToldRecord { host: host.to_owned(), record: record.clone() });
    });
    let document = String::from_utf8_lossy(&held.bytes).into_owned();
    // Texts and numbers only; there is nothing that could not be written.
    serde_json::to_vec(&FleetSnapshot { document, hosts }).ok()
}

/// Takes in what a peer told.
pub fn take_snapshot(state: &Rc<DaemonState>, host: &str, bytes: &[u8]) {
    match serde_json::from_slice::<FleetSnapshot>(bytes) {
        Ok(snapshot) => {
            roster::take_told(state, snapshot.hosts);
            take_document(state, snapshot.document.as_bytes(), host);
        }
        Err(error) => fleet::SnapshotUnreadable { host, error: &error.to_string() }.log(),
    }
}
