// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! This daemon's view of the fleet's membership: which daemons are live, suspect or leaving.
//!
//! The view is seeded by the rows of the hosts and kept up to date by gossip, in heartbeats between
//! a few peers. The views of two daemons may always differ, so no guarantee of the fleet depends on
//! these views. If reports name different incarnations of a daemon, the report of the later
//! incarnation is used.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_core::units::FleetRevision;
use basaltarch_decide::neighbours;
use basaltarch_events::fleet;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::handshake::PeerIdentity;
use basaltarch_peer::link::AcceptedLink;
use basaltarch_peer::protocol::{FrameBody, HeartbeatNote, MemberEntry};
use rand::seq::IteratorRandom;

use crate::evacuations;
use crate::freshness;
use crate::links;
use crate::records::HostRecord;
use crate::state::DaemonState;

/// Time between attempts to contact the seeds while no other daemon is known.
const SEED_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of members in one heartbeat. With this maximum, 64 entries a second are
/// exchanged, so that each member's entry is renewed within the suspect time.
const HEARTBEAT_ENTRIES_MAX: usize = 8;
/// Number of heartbeat intervals without a heartbeat after which a member of a small fleet is
/// suspect.
const SUSPECT_HEARTBEATS: u32 = 12;
/// Number of members whose entries one round of heartbeats renews. For each such number of members
/// in the fleet, the suspect time grows by one heartbeat interval.
const MEMBERS_RENEWED_EACH_ROUND: usize = 40;
/// Number of suspect times after which a member without a row is removed.
const FORGET_FACTOR: u32 = 10;
/// Number of a live member's state in the peer protocol.
const STATE_LIVE: i8 = 0;
/// Number of a leaving member's state in the peer protocol.
const STATE_LEAVING: i8 = 1;

/// `MemberState` is the assumed state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The member's latest known heartbeat is recent.
    Live,
    /// The member's latest known heartbeat is older than the suspect time.
    Suspect,
    /// The member announced that it is leaving.
    Leaving,
}

impl MemberState {
    /// Returns the name of the state in the operators' tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
        }
    }
}

/// `MemberView` is what is known of one member.
#[derive(Debug, Clone, PartialEq)]
pub struct MemberView {
    /// Failure domain of the member's host.
    pub failure_domain: String,
    /// Address at which the member accepts links.
    pub peer_address: String,
    /// Address of the member's admin API.
    pub admin_address: String,
    /// Number of the member's incarnation; a later start has a higher number.
    pub incarnation: i64,
    /// Time of the member's latest known heartbeat, which this daemon received directly or another
    /// member reported.
    pub last_heartbeat_at: Duration,
    /// Whether the member announced, in this incarnation, that it is leaving.
    pub leaving: bool,
    /// Whether the member has a row in the platform's store.
    pub listed: bool,
    /// Latest revision of the configuration that the member is known to have in force.
    pub revision: FleetRevision,
}

/// `MemberTable` is this daemon's view of the fleet's membership.
#[derive(Default)]
pub struct MemberTable {
    members: RefCell<BTreeMap<String, MemberView>>,
    accepted: RefCell<Vec<Weak<AcceptedLink>>>,
    round: Cell<u64>,
}

/// Returns the time without a heartbeat after which a member is suspect, in a fleet of `members`
/// members.
pub fn suspect_after(heartbeat: Duration, members: usize) -> Duration {
    heartbeat * (SUSPECT_HEARTBEATS + (members / MEMBERS_RENEWED_EACH_ROUND) as u32)
}

impl MemberTable {
    /// Returns the assumed state of a member.
    pub fn state_of(&self, state: &DaemonState, view: &MemberView) -> MemberState {
        let heartbeat_age = state.now().saturating_sub(view.last_heartbeat_at);
        let members = self.members.borrow().len();
        if view.leaving {
            MemberState::Leaving
        } else if heartbeat_age > suspect_after(state.options.heartbeat, members) {
            MemberState::Suspect
        } else {
            MemberState::Live
        }
    }

    /// Calls `read` with each member.
    pub fn for_each(&self, mut read: impl FnMut(&str, &MemberView)) {
        for (host, view) in self.members.borrow().iter() {
            read(host, view);
        }
    }

    /// Returns the hosts whose daemons are live, including this daemon's unless it is leaving.
    pub fn live_hosts(&self, state: &DaemonState) -> Vec<String> {
        self.live_where(state, |_| true)
    }

    /// Returns the live hosts of this daemon's failure domain, including its own unless it is
    /// leaving.
    pub fn live_in_domain(&self, state: &DaemonState) -> Vec<String> {
        self.live_where(state, |view| view.failure_domain == state.options.failure_domain)
    }

    /// Returns the live hosts that `is_wanted` accepts, and this daemon's host unless it is leaving.
    fn live_where(
        &self,
        state: &DaemonState,
        is_wanted: impl Fn(&MemberView) -> bool,
    ) -> Vec<String> {
        let members = self.members.borrow();
        let is_live = |view: &MemberView| self.state_of(state, view) == MemberState::Live;
        let wanted = members.iter().filter(|(_, view)| is_wanted(view) && is_live(view));
        let mut hosts: Vec<String> = wanted.map(|(host, _)| host.clone()).collect();
        if !state.stop.is_handing_over() && !members.contains_key(&state.options.host) {
            hosts.push(state.options.host.clone());
        }
        hosts
    }

    /// Removes members without a row that have sent no heartbeat for long, and counts the live
    /// members for the metrics. Runs once a round of heartbeats rather than for each change of a
    /// row, as the work grows with the number of members.
    fn forget_expired(&self, state: &DaemonState) {
        let now = state.now();
        let mut members = self.members.borrow_mut();
        let forget_after = suspect_after(state.options.heartbeat, members.len()) * FORGET_FACTOR;
        let heartbeat_age = |view: &MemberView| now.saturating_sub(view.last_heartbeat_at);
        members.retain(|_, view| view.listed || heartbeat_age(view) < forget_after);
        drop(members);
        metrics::MEMBERS.set(self.live_hosts(state).len() as i64);
    }

    /// Returns the number of other members, at least 1.
    pub fn count(&self) -> usize {
        self.members.borrow().len().max(1)
    }

    /// Says whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.members.borrow().is_empty()
    }

    /// Records an accepted link, so that frames can be sent along it.
    pub fn note_accepted(&self, link: &Rc<AcceptedLink>) {
        let mut accepted = self.accepted.borrow_mut();
        accepted.retain(|known| known.strong_count() > 0);
        accepted.push(Rc::downgrade(link));
    }

    /// Returns a random sample of the open accepted links.
    pub fn sample_accepted(&self, count_max: usize) -> Vec<Rc<AcceptedLink>> {
        let accepted = self.accepted.borrow();
        let open = accepted.iter().filter_map(Weak::upgrade);
        open.sample(&mut rand::rng(), count_max)
    }

    /// Returns the latest known incarnation of a host's daemon, 0 if none is known.
    pub fn incarnation(&self, host: &str) -> i64 {
        self.members.borrow().get(host).map_or(0, |view| view.incarnation)
    }

    /// Records the row of a host. A row counts as a heartbeat only if it is of a later incarnation
    /// than the known one.
    pub fn note_record(&self, state: &DaemonState, host: &str, record: &HostRecord) {
        if host == state.options.host {
            return;
        }
        let reported = MemberView {
            failure_domain: record.failure_domain.clone(),
            peer_address: record.peer_address.clone(),
            admin_address: record.admin_address.clone(),
            incarnation: record.incarnation,
            last_heartbeat_at: state.now(),
            leaving: record.leaving,
            listed: true,
            revision: FleetRevision(0),
        };
        let mut members = self.members.borrow_mut();
        match members.get_mut(host) {
            Some(view) => {
                let last_heartbeat_at = view.last_heartbeat_at;
                let is_later = reported.incarnation > view.incarnation;
                merge_view(view, reported);
                if !is_later {
                    view.last_heartbeat_at = last_heartbeat_at;
                }
            }
            None => drop(members.insert(host.to_owned(), reported)),
        }
        if let Some(view) = members.get(host) {
            update_path(state, host, view);
        }
    }

    /// Records that a host has no row any more. Reports of the host's heartbeats are still used.
    pub fn note_removed(&self, host: &str) {
        if let Some(view) = self.members.borrow_mut().get_mut(host) {
            view.listed = false;
        }
    }

    /// Returns the hosts with a row whose latest known heartbeat is so old that the row is due to
    /// be removed.
    pub fn expired_hosts(&self, state: &DaemonState) -> Vec<String> {
        let now = state.now();
        let members = self.members.borrow();
        let forget_after = suspect_after(state.options.heartbeat, members.len()) * FORGET_FACTOR;
        let gone = members.iter().filter(|(_, view)| {
            view.listed && now.saturating_sub(view.last_heartbeat_at) > forget_after
        });
        gone.map(|(host, _)| host.clone()).collect()
    }

    /// Records which daemon answered at the address of a seed.
    fn record_seed_peer(&self, state: &DaemonState, peer: PeerIdentity, address: SocketAddr) {
        if peer.host == state.options.host {
            return;
        }
        let view = MemberView {
            failure_domain: String::new(),
            peer_address: address.to_string(),
            admin_address: String::new(),
            // The incarnation in this view is one less than the actual incarnation. The daemon's
            // own entry, which follows in a heartbeat, thus replaces the view and fills in its
            // fields.
            incarnation: peer.incarnation.saturating_sub(1),
            last_heartbeat_at: state.now(),
            leaving: false,
            listed: false,
            revision: FleetRevision(0),
        };
        update_path(state, &peer.host, &view);
        self.members.borrow_mut().entry(peer.host).or_insert(view);
    }

    /// Records a heartbeat that a peer sent to this daemon directly.
    pub fn note_heartbeat(
        &self,
        state: &DaemonState,
        peer: &PeerIdentity,
        revision: FleetRevision,
    ) {
        let mut members = self.members.borrow_mut();
        if let Some(view) = members.get_mut(&peer.host) {
            if peer.incarnation >= view.incarnation {
                if peer.incarnation > view.incarnation {
                    view.leaving = false;
                }
                view.last_heartbeat_at = state.now();
                view.revision = view.revision.max(revision);
                update_path(state, &peer.host, view);
            }
        }
    }

    /// Records the entries of other members that a peer reports.
    pub fn note_entries(&self, state: &DaemonState, entries: &[MemberEntry]) {
        let now = state.now();
        let mut members = self.members.borrow_mut();
        for entry in entries {
            if entry.host == state.options.host {
                continue;
            }
            let age = Duration::from_millis(entry.age_ms.max(0) as u64);
            let last_heartbeat_at = now.saturating_sub(age);
            let reported = view_from_entry(entry, last_heartbeat_at);
            let view = members.entry(entry.host.clone()).or_insert_with(|| reported.clone());
            merge_view(view, reported);
            update_path(state, &entry.host, view);
        }
    }

    /// Returns the entries to send to a peer: this daemon's own entry, and a random sample of the
    /// other members' entries. Members in `reported` are left out, as the peer has just sent their
    /// entries.
    pub fn sample_entries(
        &self,
        state: &DaemonState,
        reported: &[MemberEntry],
    ) -> Vec<MemberEntry> {
        let now = state.now();
        let members = self.members.borrow();
        let other_members = members.iter().filter(|(host, view)| {
            view.incarnation > 0 && !reported.iter().any(|e| e.host == **host)
        });
        let mut entries = vec![own_entry(state)];
        let chosen = other_members.sample(&mut rand::rng(), HEARTBEAT_ENTRIES_MAX - 1);
        entries.extend(chosen.into_iter().map(|(host, view)| entry_from_view(host, view, now)));
        entries
    }

    /// Returns this daemon's neighbours for the next round of heartbeats, among the members that
    /// are not leaving.
    pub fn neighbours(&self, state: &DaemonState) -> Vec<String> {
        let round = self.round.get();
        self.round.set(round + 1);
        let members = self.members.borrow();
        let remaining = members.iter().filter(|(_, view)| !view.leaving);
        let hosts = remaining.map(|(host, _)| host.as_str()).collect();
        neighbours::choose(&state.options.host, hosts, round)
    }

    /// Returns the latest revision of the configuration that a member is known to have in force.
    pub fn revision_of(&self, host: &str) -> FleetRevision {
        self.members.borrow().get(host).map_or(FleetRevision(0), |view| view.revision)
    }
}

fn view_from_entry(entry: &MemberEntry, last_heartbeat_at: Duration) -> MemberView {
    MemberView {
        failure_domain: entry.failure_domain.clone(),
        peer_address: entry.peer_address.clone(),
        admin_address: entry.admin_address.clone(),
        incarnation: entry.incarnation,
        last_heartbeat_at,
        leaving: entry.state == STATE_LEAVING,
        listed: false,
        revision: FleetRevision(entry.revision.max(0) as u64),
    }
}

/// Merges a reported view into the known view. A later incarnation replaces the known view. Within
/// one incarnation, the later heartbeat and revision are kept, and a daemon that is leaving stays
/// marked as leaving.
fn merge_view(view: &mut MemberView, reported: MemberView) {
    if reported.incarnation < view.incarnation {
        return;
    }
    if reported.incarnation > view.incarnation {
        let listed = view.listed || reported.listed;
        *view = reported;
        view.listed = listed;
        return;
    }
    view.leaving |= reported.leaving;
    view.listed |= reported.listed;
    view.last_heartbeat_at = view.last_heartbeat_at.max(reported.last_heartbeat_at);
    view.revision = view.revision.max(reported.revision);
}

fn update_path(state: &DaemonState, host: &str, view: &MemberView) {
    let path = state.peers.path(host);
    if let Ok(address) = view.peer_address.parse() {
        path.note_address(address);
    }
    path.note_leaving(view.leaving);
}

fn entry_from_view(host: &str, view: &MemberView, now: Duration) -> MemberEntry {
    MemberEntry {
        host: host.to_owned(),
        failure_domain: view.failure_domain.clone(),
        peer_address: view.peer_address.clone(),
        admin_address: view.admin_address.clone(),
        incarnation: view.incarnation,
        state: if view.leaving { STATE_LEAVING } else { STATE_LIVE },
        age_ms: now.saturating_sub(view.last_heartbeat_at).as_millis() as i64,
        revision: view.revision.0 as i64,
    }
}

/// Returns this daemon's own entry.
pub fn own_entry(state: &DaemonState) -> MemberEntry {
    MemberEntry {
        host: state.options.host.clone(),
        failure_domain: state.options.failure_domain.clone(),
        peer_address: state.options.peer_address().to_string(),
        admin_address: state.options.admin_address().to_string(),
        incarnation: state.identity.incarnation,
        state: if state.stop.is_handing_over() { STATE_LEAVING } else { STATE_LIVE },
        age_ms: 0,
        revision: state.config.revision().0 as i64,
    }
}

/// Builds a heartbeat that reports members and asks for a reply.
pub fn heartbeat_request(state: &DaemonState, members: Vec<MemberEntry>) -> HeartbeatNote {
    HeartbeatNote {
        reply: false,
        revision: state.config.revision().0 as i64,
        members,
        suspects: state.suspects.digest(),
        asked_ms: Some(state.now().as_millis() as i64),
        fresh_ms: freshness::reported_age(state),
        wants_word: None,
        evacuations: evacuations::notes(state),
    }
}

/// Builds the reply to a heartbeat.
pub fn heartbeat_reply(state: &DaemonState, request: &HeartbeatNote) -> HeartbeatNote {
    HeartbeatNote {
        reply: true,
        asked_ms: request.asked_ms,
        ..heartbeat_request(state, vec![own_entry(state)])
    }
}

/// Contacts the seeds for as long as no other daemon is known.
pub async fn contact_seeds(state: Rc<DaemonState>) {
    loop {
        if state.members.is_empty() {
            for address in &state.live().seeds {
                match links::identify_peer(&state, *address).await {
                    Ok(peer) => state.members.record_seed_peer(&state, peer, *address),
                    Err(error) => {
                        let (address, error) = (&address.to_string(), &error.to_string());
                        fleet::SeedSilent { address, error }.log();
                    }
                }
            }
        }
        monoio::time::sleep(SEED_RETRY_INTERVAL).await;
    }
}

/// Sends heartbeats to the neighbours for ever, to each once in a heartbeat interval. The heartbeats
/// are spread over the interval, so that a daemon without requests notices soon that its connections
/// were black-holed.
pub async fn run(state: Rc<DaemonState>) {
    send_heartbeats(&state, HeartbeatContent::Members);
    loop {
        state.members.forget_expired(&state);
        let interval = state.options.heartbeat.mul_f64(rand::random_range(0.9..1.1));
        let neighbours = state.members.neighbours(&state);
        let pause = interval / neighbours.len().max(1) as u32;
        monoio::time::sleep(pause).await;
        for host in neighbours {
            spawn_heartbeat(&state, host, HeartbeatContent::Members);
            monoio::time::sleep(pause).await;
        }
    }
}

/// Sends a heartbeat to a host in a task of its own, since a link may have to be established.
fn spawn_heartbeat(state: &Rc<DaemonState>, host: String, content: HeartbeatContent) {
    let state = state.clone();
    monoio::spawn(async move { send_heartbeat(&state, &host, content).await });
}

/// `HeartbeatContent` is what a heartbeat reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatContent {
    /// Only this daemon's entry, for instance after its revision or state changed.
    Own,
    /// The entries of this daemon and of some other members.
    Members,
}

/// Sends a heartbeat to each neighbour now.
pub fn send_heartbeats(state: &Rc<DaemonState>, content: HeartbeatContent) {
    for host in state.members.neighbours(state) {
        spawn_heartbeat(state, host, content);
    }
}

/// Returns a random sample of the open links, whichever side dialled them.
pub fn sample_senders(state: &DaemonState, count_max: usize) -> Vec<FrameSender> {
    let accepted = state.members.sample_accepted(usize::MAX);
    let accepted = accepted.iter().map(|link| link.sender().clone());
    let linked = state.peers.linked();
    let dialled = linked.iter().filter_map(|path| path.link());
    let senders = accepted.chain(dialled.map(|link| link.sender().clone()));
    senders.sample(&mut rand::rng(), count_max)
}

/// Returns the open links to a host's daemon, whichever side dialled them.
pub fn links_to(state: &DaemonState, host: &str) -> Vec<(FrameSender, PeerIdentity)> {
    let accepted = state.members.sample_accepted(usize::MAX);
    let accepted = accepted.iter().map(|link| (link.sender().clone(), link.peer.clone()));
    let dialled = state.peers.path(host).link();
    let dialled = dialled.map(|link| (link.sender().clone(), link.peer.clone()));
    accepted.chain(dialled).filter(|(_, peer)| peer.host == host).collect()
}

/// Sends a heartbeat to one host.
pub async fn send_heartbeat(state: &Rc<DaemonState>, host: &str, content: HeartbeatContent) {
    let path = state.peers.path(host);
    if path.address().is_none() {
        return;
    }
    let build_heartbeat = |state: &DaemonState| {
        let members = match content {
            HeartbeatContent::Own => vec![own_entry(state)],
            HeartbeatContent::Members => state.members.sample_entries(state, &[]),
        };
        FrameBody::Heartbeat(heartbeat_request(state, members))
    };
    links::send_request(state, &path, build_heartbeat).await;
}
