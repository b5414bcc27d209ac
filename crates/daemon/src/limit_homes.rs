// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Who counts a limit for the whole fleet, and this daemon's answers as the home or the deputy of limits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::units;
use basaltarch_decide::grants::{LimitOwner, TokenGrant, TokenRequest};
use basaltarch_decide::limits::{self, GRANT_LIFE};
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, GrantReply, GrantRequest};
use fnv::FnvHashMap;
use thrift::OrderedFloat;

use crate::limits as ingress_limits;
use crate::links;
use crate::state::DaemonState;

/// Time after the first start of a host's daemon in which it is the first home of a limit: a fleet that starts
/// must not refuse.
const HOME_SETTLE: Duration = Duration::from_secs(3);
/// Time for which a look at who is there counts: homes move when a daemon leaves or has been silent for seconds.
const LIVE_FOR: Duration = Duration::from_millis(200);

/// Age from which a daemon may count limits, if there are daemons of that age: who is new is known to some sooner
/// than to others, and two homes at once would grant a limit twice.
const HOME_AGE: Duration = Duration::from_secs(15);

/// `LimitPlaces` is who counts a limit.
#[derive(Debug, Clone, Default)]
pub struct LimitPlaces {
    /// Host that counts it.
    pub home: Option<Rc<str>>,
    /// Host that counts it for those who can't reach the home.
    pub deputy: Option<Rc<str>>,
    /// Number of the look at the members that it goes by.
    look: u64,
}

/// `LiveLook` is who was there when it was looked last; to look for each request would cost more than the request.
#[derive(Default)]
struct LiveLook {
    hosts: Vec<String>,
    number: u64,
    looked_at: Duration,
    changed_at: Duration,
}

/// `LimitHomes` holds the limits that this daemon counts.
#[derive(Default)]
pub struct LimitHomes {
    homes: RefCell<FnvHashMap<String, LimitOwner>>,
    deputies: RefCell<FnvHashMap<String, LimitOwner>>,
    /// Who counts the limits that this daemon was asked for.
    asked: RefCell<FnvHashMap<String, LimitPlaces>>,
    live: RefCell<LiveLook>,
}

impl LimitHomes {
    /// Brings up to date who counts a limit.
    pub fn update(&self, state: &DaemonState, limit: &str, places: &mut LimitPlaces) {
        self.look(state);
        let live = self.live.borrow();
        if places.look == live.number {
            return;
        }
        let hosts = || live.hosts.iter().map(String::as_str);
        let home = limits::owner_of(limit, hosts());
        let deputy = home.and_then(|home| limits::backup_of(limit, home, hosts()));
        places.home = home.map(Rc::from);
        places.deputy = deputy.map(Rc::from);
        places.look = live.number;
    }

    /// Returns the number of daemons that are there.
    pub fn daemons(&self, state: &DaemonState) -> usize {
        self.look(state);
        self.live.borrow().hosts.len()
    }

    /// Looks who is there, unless that was done a moment ago.
    fn look(&self, state: &DaemonState) {
        let now = state.now();
        let mut live = self.live.borrow_mut();
        if live.number > 0 && now.saturating_sub(live.looked_at) < LIVE_FOR {
            return;
        }
        live.looked_at = now;
        let hosts = old_hosts(state);
        if live.number == 0 || hosts != live.hosts {
            // Who was there before the first look is not known: it counts from this daemon's start.
            live.changed_at = if live.number == 0 { Duration::ZERO } else { now };
            live.number += 1;
            live.hosts = hosts;
        }
    }

    /// Returns who counts a limit that this daemon was asked for.
    pub fn places(&self, state: &DaemonState, limit: &str) -> LimitPlaces {
        let mut asked = self.asked.borrow_mut();
        let places = match asked.get_mut(limit) {
            Some(places) => places,
            None => asked.entry(limit.to_owned()).or_default(),
        };
        self.update(state, limit, places);
        places.clone()
    }

    /// Says whether this daemon is the home of a limit, as it sees the fleet.
    fn is_home(&self, state: &DaemonState, limit: &str) -> bool {
        self.places(state, limit).home.as_deref() == Some(&*state.options.host)
    }

    /// Answers as the home of a limit, or as its deputy for who claims a part; not at all where another is the
    /// home: what two homes grant would be twice the limit, and who asked turns to the deputy.
    pub fn answer(
        &self,
        state: &DaemonState,
        limit: &str,
        claim: Option<f64>,
        question: &TokenRequest<'_>,
    ) -> Option<TokenGrant> {
        let active = state.config.active();
        let Some(entry) = active.limit(limit) else {
            return Some(TokenGrant { granted: 0.0, share: 0.0, ahead: 0 });
        };
        if claim.is_none() && !self.is_home(state, limit) {
            return None;
        }
        let (rate, burst) = (entry.rule.rate, entry.rule.burst);
        let now = state.now();
        if let Some(claim) = claim {
            let mut deputies = self.deputies.borrow_mut();
            let deputy = deputies
                .entry(limit.to_owned())
                .or_insert_with(|| LimitOwner::following(rate, burst, now));
            return Some(deputy.answer_as_backup(rate, burst, claim, question, now));
        }
        let since = self.live.borrow().changed_at;
        let tolerance = state.live().limit_tolerance;
        let mut homes = self.homes.borrow_mut();
        let home = homes.entry(limit.to_owned()).or_insert_with(|| match fleet_start(state) {
            FleetStart::First => LimitOwner::new(rate, burst, now),
            FleetStart::Again => LimitOwner::restarted(rate, burst, &tolerance, since),
            FleetStart::Past => LimitOwner::following(rate, burst, since),
        });
        Some(home.answer(rate, burst, &tolerance, question, now))
    }
}

/// `FleetStart` says whether this daemon may have started together with all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetStart {
    /// A moment ago and for the first time, so that nobody was granted anything before.
    First,
    /// A moment ago, and not for the first time: where all daemons were killed at once, what they granted before is
    /// not known any more, and a whole burst would be a second one.
    Again,
    /// Longer ago.
    Past,
}

/// Says how the daemon started. A host whose daemon started before has a row that tells so.
pub fn fleet_start(state: &DaemonState) -> FleetStart {
    if state.now() >= HOME_SETTLE {
        return FleetStart::Past;
    }
    match state.rows.is_known() && !state.roster.started_before() {
        true => FleetStart::First,
        false => FleetStart::Again,
    }
}

/// Returns the hosts whose daemons may count limits: live ones that can be linked, and of these, where there are
/// any, those that started long enough ago.
///
/// A daemon that itself started again a moment ago knows of the others' starts by their rows alone. Where all were
/// killed at once, those rows tell of starts that are over, so that it doesn't go by them.
fn old_hosts(state: &DaemonState) -> Vec<String> {
    let started_by = units::wall_millis() as i64 - HOME_AGE.as_millis() as i64;
    let now = state.now();
    let own = &state.options.host;
    let mut hosts = state.members.live_hosts(state);
    hosts.retain(|host| host == own || !state.peers.path(host).is_lost(now));
    let is_old = |host: &String| match host == own {
        true => state.identity.incarnation <= started_by,
        false => state.members.incarnation(host) <= started_by,
    };
    if fleet_start(state) != FleetStart::Again && hosts.iter().any(is_old) {
        hosts.retain(is_old);
    }
    hosts
}

/// Finds out whether the home of a limit is there, after a peer took this daemon for it: the peer may know that the
/// other one is lost.
fn find_out(state: &Rc<DaemonState>, limit: &str) {
    let Some(home) = state.limits.homes.places(state, limit).home else { return };
    let path = state.peers.path(&home);
    if path.is_self || path.link().is_some() {
        return;
    }
    let state = state.clone();
    monoio::spawn(async move {
        // One that can't be made is counted on its path.
        let _ = links::link_to(&state, &path).await;
    });
}

/// Answers a peer that asks this daemon as the home or the deputy of a limit.
pub fn answer_request(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    requester: &str,
    request: &GrantRequest,
) {
    let spent = request.spent.map_or(0.0, |spent| spent.0);
    let question = TokenRequest { requester, wanted: request.wanted.0, spent };
    let claim = request.claim.map(|claim| claim.0);
    let Some(answer) = state.limits.homes.answer(state, &request.limit, claim, &question) else {
        return find_out(state, &request.limit);
    };
    if claim.is_some() {
        ingress_limits::pay_home(state, &request.limit, answer.granted);
    }
    let reply = GrantReply {
        sequence: request.sequence,
        granted: OrderedFloat(answer.granted),
        valid_ms: GRANT_LIFE.as_millis() as i32,
        ahead: (answer.ahead > 0).then_some(answer.ahead as i32),
        share: Some(OrderedFloat(answer.share)),
    };
    let _ = sender.send(NO_EXCHANGE, FrameBody::GrantReply(reply));
}
