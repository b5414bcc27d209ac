// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Adopts the operator's document, where this document is the source of the configuration.
//!
//! A document is adopted as a whole, and only if its version is higher than that of the document in
//! force. The upstreams of a service are the registered backend servers, which the rows of the
//! hosts list.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::configuration::TouchedServices;
use basaltarch_base::metrics;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::config::{ActiveConfig, ConfigBuilder, FleetConfig, SnapshotResource};
use basaltarch_core::resources::{
    LimitRule, LimitScope, OrganisationSpec, ResourceKind, ServiceSpec,
};
use basaltarch_core::routes::RouteTable;
use basaltarch_core::services::{PackedService, ServiceEntry};
use basaltarch_core::units::FleetRevision;
use basaltarch_events::fleet;
use basaltarch_options::ServiceDefaults;
use basaltarch_peer::errors::LinkError;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::packed;
use basaltarch_peer::protocol::{ChangePull, FrameBody};
use basaltarch_platform::document::{self, ConfigDocument, ServiceDeclaration};
use basaltarch_platform::organisations::OrganisationDeclaration;
use basaltarch_platform::rows::{RowValue, RowsPage, StoredRow, DOCUMENT_KEY, OPERATOR_TABLE};
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::{FeedReply, TablePosition};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::evacuations;
use crate::feed::{FeedPlan, FeedReader, FeedUpdate};
use crate::records::RelayedRecord;
use crate::roster;
use crate::rows;
use crate::state::DaemonState;

/// Longest wait of a long poll of the operator's table. The wait is long because every daemon polls
/// this table, and the store charges for each call whether or not the table changed. The store
/// itself waits no longer than 30 s.
const OPERATOR_FEED_WAIT_MAX: Duration = Duration::from_secs(28);
/// How the operator's table is followed. A failed call costs as much as a successful one. After an
/// outage, the first daemon that reads a change announces the change to the other daemons, so that
/// retries every 1.5 s are enough.
const DOCUMENT_FEED_PLAN: FeedPlan = FeedPlan {
    table: OPERATOR_TABLE,
    batch_pause: Duration::ZERO,
    failure_pause_max: Duration::from_millis(1500),
    wait_max: OPERATOR_FEED_WAIT_MAX,
};
/// Time for which a daemon waits for the store to deliver a document that a peer already has,
/// before the daemon pulls the document from the peer. The store delivers a change within
/// milliseconds, and a whole document is large.
const STORE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a daemon waits for a document that it pulls from a peer before it may ask another
/// peer: a document of some hundred kilobytes takes a few tens of milliseconds within a region.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two checks whether the configuration is still relayed to this daemon.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Largest document accepted from a peer, in bytes.
const DOCUMENT_BYTES_MAX: usize = 64 << 20;
/// Name of the store in logs, as the source of a document; a document from a peer is logged with
/// the name of the peer's host.
const STORE_NAME: &str = "store";

/// `DocumentCell` holds the document in force, if there is one.
#[derive(Debug, Default)]
pub struct DocumentCell {
    held_document: RefCell<Option<Rc<ConfigDocument>>>,
    is_pulling: Cell<bool>,
    /// Position up to which the operator's table was read, `None` before the first read.
    position: Cell<Option<TablePosition>>,
    /// Raised when a peer has a later document that the pending call to the store has not returned,
    /// or when the call may be on a black-holed connection.
    stale_call: RisingSignal,
    /// The packed form of a document for peers, with the revision of the document.
    packed: RefCell<Option<(FleetRevision, Rc<[u8]>)>>,
}

impl DocumentCell {
    /// Returns the document in force.
    pub fn get(&self) -> Option<Rc<ConfigDocument>> {
        self.held_document.borrow().clone()
    }
}

/// `FleetSnapshot` is what a daemon sends a peer that can't reach the store. The document is sent
/// as it was read, with the digests of keys instead of the keys.
#[derive(Debug, Serialize, Deserialize)]
struct FleetSnapshot<D> {
    document: D,
    hosts: Vec<RelayedRecord>,
}

/// Makes the pending call for the operator's table be abandoned and made anew.
pub fn renew_call(state: &DaemonState) {
    state.document.stale_call.raise();
}

/// Reads the document and follows its changes for ever. A daemon of a large fleet to which a reader
/// relays the configuration does not call the store.
pub async fn follow(state: Rc<DaemonState>) {
    let mut reader = FeedReader::new(DOCUMENT_FEED_PLAN);
    loop {
        if rows::is_relayed(&state) {
            monoio::time::sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        metrics::DOCUMENT_CALLS.add_one();
        let stale_call = &state.document.stale_call;
        let Some(news) = reader.next_unless_stale(&state, stale_call).await else { continue };
        let era = reader.position().and_then(|position| position.era);
        let answer = match news {
            FeedUpdate::Whole(page) => OperatorAnswer { page, is_whole: true, era },
            FeedUpdate::Changes(page) => OperatorAnswer { page, is_whole: false, era },
            FeedUpdate::Failed => continue,
        };
        state.document.position.set(reader.position());
        apply_answer(&state, &answer, reader.complete_until());
    }
}

/// `OperatorAnswer` is an answer of the store to a read of the operator's table.
struct OperatorAnswer {
    page: RowsPage,
    /// Whether the answer holds the whole table, and not only changes.
    is_whole: bool,
    /// Era of the store in which the table was read, if the store reported one.
    era: Option<u64>,
}

/// Applies an answer of the store, which includes all changes up to the time `complete_until`.
fn apply_answer(state: &Rc<DaemonState>, answer: &OperatorAnswer, complete_until: Duration) {
    let OperatorAnswer { page, is_whole, era } = answer;
    match is_whole {
        true => evacuations::apply_table(state, page, *era),
        false => evacuations::apply_changes(state, page, *era),
    }
    let outcomes: Vec<_> = page.rows.iter().filter_map(|row| apply_row(state, row)).collect();
    // A stale answer does not confirm that the document in force is the newest.
    if outcomes.last() != Some(&DocumentOutcome::Outdated) {
        state.freshness.note_store(complete_until);
    }
}

/// Queries the store for a later document, and adopts it.
pub async fn query_store(state: &Rc<DaemonState>) -> Result<(), StoreError> {
    let asked_at = state.now();
    // A document that could not be read may be readable now. The feed reports each change only
    // once, so the whole table is read.
    let is_outdated = state.freshness.known().is_outdated();
    let position = state.document.position.get().filter(|_| !is_outdated);
    let changes = match position {
        Some(position) => state.platform.changes_now(OPERATOR_TABLE, position).await?,
        None => FeedReply::Forgotten,
    };
    let answer = match changes {
        FeedReply::Changes(page, position) => {
            OperatorAnswer { page, is_whole: false, era: position.era }
        }
        FeedReply::Forgotten => {
            let (page, position) = state.platform.read_table(OPERATOR_TABLE).await?;
            OperatorAnswer { page, is_whole: true, era: position.era }
        }
    };
    apply_answer(state, &answer, asked_at);
    Ok(())
}

/// `DocumentOutcome` is what became of a received document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DocumentOutcome {
    /// The document has been put in force, or was already in force.
    InForce,
    /// The document is older than the document in force, and was ignored.
    Outdated,
    /// The document can't be read.
    Unreadable,
}

fn apply_row(state: &Rc<DaemonState>, row: &StoredRow) -> Option<DocumentOutcome> {
    if row.key != DOCUMENT_KEY {
        return None;
    }
    match &row.value {
        RowValue::Unreadable(_) => {
            state.freshness.note_outdated();
            Some(DocumentOutcome::Unreadable)
        }
        value => Some(read_document(state, value.bytes()?)),
    }
}

/// Reads the document that the store holds, and adopts a document that is later than the one in
/// force.
fn read_document(state: &Rc<DaemonState>, bytes: &[u8]) -> DocumentOutcome {
    match document::read(bytes) {
        Ok(document) => {
            state.freshness.note_readable();
            adopt_document(state, document, STORE_NAME)
        }
        Err(error) => {
            let in_force = state.config.revision().0;
            fleet::ConfigUnreadable { error: &error.to_string(), from: STORE_NAME, in_force }.log();
            state.freshness.note_outdated();
            DocumentOutcome::Unreadable
        }
    }
}

/// Adopts a document that is later than the document in force.
fn adopt_document(
    state: &Rc<DaemonState>,
    document: ConfigDocument,
    from: &str,
) -> DocumentOutcome {
    let revision = FleetRevision(document.version);
    if state.config.is_loaded() && revision <= state.config.revision() {
        return skip_document(state, revision, from);
    }
    let confirmation_age = state.freshness.known().age(state.now());
    let fresh_ms = confirmation_age.map(|age| age.as_millis() as u64);
    fleet::DocumentTaken { revision: revision.0, from, fresh_ms }.log();
    state.freshness.note_readable();
    let next_layout = build_layout(state, &document);
    *state.document.held_document.borrow_mut() = Some(Rc::new(document));
    state.config.replace_layout(next_layout, TouchedServices::All, state.now());
    put_host_in_force(state);
    DocumentOutcome::InForce
}

/// Ignores a document that is no later than the document in force.
fn skip_document(state: &DaemonState, revision: FleetRevision, from: &str) -> DocumentOutcome {
    if revision == state.config.revision() {
        return DocumentOutcome::InForce;
    }
    metrics::OLD_REVISIONS.add_one();
    let in_force = state.config.revision().0;
    fleet::ConfigOlder { revision: revision.0, in_force, from }.log();
    DocumentOutcome::Outdated
}

fn build_layout(state: &DaemonState, document: &ConfigDocument) -> ActiveConfig {
    let routes = document.routes.iter().map(|route| {
        let name: Rc<str> = Rc::from(route.name.as_str());
        (name, Rc::new(route.rule.clone()))
    });
    let mut next_layout = ActiveConfig::default();
    next_layout.revision = FleetRevision(document.version);
    next_layout.evacuated = state.evacuations.evacuated();
    next_layout.routes = RouteTable::build(routes);
    for declaration in &document.services {
        let entry = service_entry(state, declaration);
        next_layout.services.insert(entry.name.clone(), Rc::new(PackedService::new(&entry)));
    }
    for declaration in document.organisations.iter().flatten() {
        add_organisation(&mut next_layout, declaration);
    }
    next_layout
}

fn add_organisation(next_layout: &mut ActiveConfig, declaration: &OrganisationDeclaration) {
    next_layout.keys.insert_all(&declaration.name, &organisation_spec(declaration));
    let Some(limit) = &declaration.limit else { return };
    let rule = LimitRule {
        scope: LimitScope::Organisation,
        target: declaration.name.clone(),
        rate: limit.rate,
        // A limit without a burst admits requests that come one at a time.
        burst: limit.burst.max(1.0),
    };
    next_layout.insert_limit(&Rc::from(declaration.name.as_str()), rule);
}

fn organisation_spec(declaration: &OrganisationDeclaration) -> OrganisationSpec {
    OrganisationSpec {
        title: String::new(),
        keys: declaration.keys.clone(),
        criticality: declaration.class,
    }
}

fn service_entry(state: &DaemonState, declaration: &ServiceDeclaration) -> ServiceEntry {
    ServiceEntry {
        name: Rc::from(declaration.name.as_str()),
        spec: service_spec(&state.live().defaults, declaration),
        upstreams: state.roster.upstreams(&declaration.name, declaration.connections),
    }
}

fn service_spec(defaults: &ServiceDefaults, declaration: &ServiceDeclaration) -> ServiceSpec {
    ServiceSpec {
        floor: defaults.floor,
        prefer: defaults.prefer,
        queue: defaults.queue,
        retry_budget: defaults.retry_share,
        cold_rate: declaration.cold_rate,
    }
}

/// Rebuilds services from the rows of the hosts.
pub fn put_services_in_force(state: &Rc<DaemonState>, names: &[String]) {
    let document = match state.document.get() {
        Some(document) => document,
        None => return,
    };
    let mut next_layout = ActiveConfig::clone(&state.config.active());
    let mut touched = Vec::new();
    for declaration in
        document.services.iter().filter(|declaration| names.contains(&declaration.name))
    {
        let entry = service_entry(state, declaration);
        touched.push(entry.name.clone());
        next_layout.services.insert(entry.name.clone(), Rc::new(PackedService::new(&entry)));
    }
    if !touched.is_empty() {
        let touched = TouchedServices::Some(touched);
        state.config.replace_layout(next_layout, touched, state.now());
    }
}

/// Applies the configuration to the host role at once, without waiting for the task that applies
/// changes: an acknowledgement to a backend server must be true when it is sent.
pub fn put_host_in_force(state: &Rc<DaemonState>) {
    let active = state.config.active();
    state.host.configure(state, &active, &TouchedServices::All);
}

/// Returns the configuration in force as resources. The resources are built for each call, as only
/// operators request them.
pub fn resources(state: &DaemonState) -> FleetConfig {
    let revision = state.config.revision();
    let mut builder = ConfigBuilder::default();
    let mut push = |kind: ResourceKind, name: &str, value: Value| {
        let resource = SnapshotResource(kind.name().to_owned(), name.to_owned(), revision, value);
        // The resource API can't show resources whose names are invalid in it.
        if let Err(error) = builder.push(&resource) {
            fleet::ResourceNotShown { error: &error.to_string() }.log();
        }
    };
    let active = state.config.active();
    state.roster.for_each(|_, record| {
        let evacuated = active.evacuated.contains(&*record.failure_domain);
        let value = json!({"region": "", "evacuated": evacuated});
        push(ResourceKind::FailureDomain, &record.failure_domain, value);
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
    let document = state.document.get();
    let organisations = document.iter().filter_map(|document| document.organisations.as_ref());
    for declaration in organisations.flatten() {
        push(ResourceKind::Organisation, &declaration.name, json!(organisation_spec(declaration)));
        if let Some(entry) = active.limit(&declaration.name) {
            push(ResourceKind::Limit, &declaration.name, json!(entry.rule));
        }
    }
    builder.finish(revision).unwrap_or_else(|error| {
        fleet::ResourceNotShown { error: &error.to_string() }.log();
        FleetConfig::default()
    })
}

/// Pulls the document of a peer that has a later revision in force. A daemon without a document in
/// force, or to which a reader relays the configuration, pulls at once. Any other daemon pulls if
/// the store has not delivered the document within [`STORE_TIMEOUT`].
pub fn note_peer_revision(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    peer_revision: FleetRevision,
) {
    let is_behind = move |state: &DaemonState| peer_revision > state.config.revision();
    if !is_behind(state) || state.document.is_pulling.replace(true) {
        return;
    }
    let is_relayed = rows::is_relayed(state);
    let awaits_store = state.config.is_loaded() && !is_relayed;
    let wait = if awaits_store { STORE_TIMEOUT } else { Duration::ZERO };
    let state = state.clone();
    let sender = sender.clone();
    monoio::spawn(async move {
        monoio::time::sleep(wait).await;
        if is_behind(&state) {
            state.document.stale_call.raise();
            let seen = state.config.changed().get();
            let after = state.config.revision().0 as i64;
            let pull = ChangePull { after, document_only: Some(is_relayed) };
            // If the answer is lost, the document is pulled again: the peer announces its revision
            // until this daemon has it.
            let _ = sender.send(NO_EXCHANGE, FrameBody::Pull(pull));
            let _ = monoio::time::timeout(PULL_TIMEOUT, state.config.changed().above(seen)).await;
        }
        state.document.is_pulling.set(false);
    });
}

/// Returns the snapshot for a peer with an earlier revision, if a document is in force.
pub fn snapshot(state: &DaemonState) -> Option<Vec<u8>> {
    let document = state.document.get()?;
    let mut hosts = Vec::new();
    state.roster.for_each(|host, record| {
        hosts.push(RelayedRecord { host: host.to_owned(), record: record.clone() });
    });
    // The snapshot holds texts and numbers only, so that its serialization can't fail.
    serde_json::to_vec(&FleetSnapshot { document: &*document, hosts }).ok()
}

/// Returns the document in force in packed form, without the rows of hosts, if there is one. The
/// document is packed once for all peers that pull it.
pub fn packed_document(state: &DaemonState) -> Option<Rc<[u8]>> {
    let document = state.document.get()?;
    let revision = FleetRevision(document.version);
    let mut packed = state.document.packed.borrow_mut();
    if let Some((_, bytes)) = packed.as_ref().filter(|(known, _)| *known == revision) {
        return Some(bytes.clone());
    }
    let snapshot = FleetSnapshot { document: &*document, hosts: Vec::new() };
    let bytes: Rc<[u8]> = Rc::from(packed::pack(&serde_json::to_vec(&snapshot).ok()?));
    *packed = Some((revision, bytes.clone()));
    Some(bytes)
}

/// Unpacks a document that [`packed_document`] returned.
pub fn unpack(bytes: &[u8]) -> Result<Vec<u8>, LinkError> {
    packed::unpack(bytes, DOCUMENT_BYTES_MAX)
}

/// Adopts a snapshot that a peer sent.
pub fn adopt_snapshot(state: &Rc<DaemonState>, host: &str, bytes: &[u8]) {
    match serde_json::from_slice::<FleetSnapshot<ConfigDocument>>(bytes) {
        Ok(snapshot) => {
            roster::apply_relayed(state, snapshot.hosts);
            adopt_document(state, snapshot.document, host);
        }
        Err(error) => fleet::SnapshotUnreadable { host, error: &error.to_string() }.log(),
    }
}
