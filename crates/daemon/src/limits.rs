// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits: admits requests from what the home of a limit grants; `limit_homes` is the other side.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::config::{ActiveConfig, LimitEntry};
use basaltarch_core::resources::{LimitRule, LimitScope};
use basaltarch_decide::grants::{TokenGrant, TokenRequest};
use basaltarch_decide::limits::{LimitVerdict, LocalLimiter, StandaloneTerms, GRANT_LIFE};
use basaltarch_decide::path::PathState;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, GrantReply, GrantRequest};
use fnv::FnvHashMap;
use local_sync::oneshot;
use thrift::OrderedFloat;

use crate::limit_homes::{self, FleetStart, LimitHomes, LimitPlaces};
use crate::links;
use crate::state::DaemonState;

/// Longest wait for the home's grant along a link that is there: two round trips between failure domains are 6 ms; a
/// home that takes this long is treated as cut off. Right after a start links take longer than that to be made.
const GRANT_WAIT: Duration = Duration::from_millis(100);
/// Time for which an ingress keeps to its share before it asks the home again.
const ALONE_FOR: Duration = Duration::from_secs(2);

/// `LimitState` is what this ingress knows of one limit.
struct LimitState {
    ledger: LocalLimiter,
    asking: Option<Rc<RisingSignal>>,
    ask_again_at: Duration,
    /// Until when the home, which could not be reached, is not asked again.
    home_lost_until: Option<Duration>,
    /// Who counts the limit.
    places: LimitPlaces,
}

/// `LimitRole` is both sides of this daemon's part in the limits.
#[derive(Default)]
pub struct LimitRole {
    ledgers: RefCell<FnvHashMap<Rc<str>, LimitState>>,
    /// Limits that this daemon counts for the fleet.
    pub homes: LimitHomes,
    waiting: RefCell<FnvHashMap<i64, oneshot::Sender<TokenGrant>>>,
    sequence: Cell<i64>,
}

/// `LimitSubject` is what a request counts towards.
#[derive(Debug, Clone, Copy)]
pub struct LimitSubject<'a> {
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Route of the request.
    pub route: &'a str,
    /// Service of the route.
    pub service: &'a str,
}

/// Admits a request, or says when the caller may come back.
pub async fn admit(
    state: &Rc<DaemonState>,
    active: &ActiveConfig,
    subject: LimitSubject<'_>,
) -> Result<(), LimitRefusal> {
    if active.has_no_limits() {
        return Ok(());
    }
    for entry in subject.limits(active) {
        admit_one(state, entry).await.inspect_err(|_| metrics::LIMITED.add_one())?;
    }
    Ok(())
}

/// Takes back a request that was admitted and then refused for another reason.
pub fn give_back(state: &DaemonState, active: &ActiveConfig, subject: LimitSubject<'_>) {
    if active.has_no_limits() {
        return;
    }
    let now = state.now();
    let mut ledgers = state.limits.ledgers.borrow_mut();
    for entry in subject.limits(active) {
        if let Some(known) = ledgers.get_mut(&entry.name) {
            known.ledger.give_back(now);
        }
    }
}

impl<'a> LimitSubject<'a> {
    /// Lists the limits that a request counts towards.
    fn limits(self, active: &'a ActiveConfig) -> impl Iterator<Item = &'a Rc<LimitEntry>> {
        let organisation = self.organisation.map(|name| (LimitScope::Organisation, name));
        let keys = [(LimitScope::Service, self.service), (LimitScope::Route, self.route)];
        keys.into_iter()
            .chain(organisation)
            .flat_map(|(scope, target)| active.limits_of(scope, target))
    }
}

/// `LimitRefusal` is what is told of a request over a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Time after which to come back.
    pub wait: Duration,
    /// Which limit, and by whose count.
    pub message: String,
}

impl LimitRefusal {
    fn new(state: &DaemonState, entry: &LimitEntry, wait: Duration) -> Self {
        let ledgers = state.limits.ledgers.borrow();
        let known = ledgers.get(&entry.name);
        let is_standalone = known.is_some_and(|known| known.ledger.is_standalone());
        let home = known.and_then(|known| known.places.home.as_deref()).unwrap_or("nobody");
        let count = if is_standalone { "this daemon alone, without" } else { "all daemons at" };
        let LimitRule { rate, burst, .. } = &entry.rule;
        let name = &entry.name;
        let message =
            format!("limit {name} of {rate} a second, burst {burst}; counted by {count} {home}");
        Self { wait, message }
    }
}

async fn admit_one(state: &Rc<DaemonState>, entry: &LimitEntry) -> Result<(), LimitRefusal> {
    // Others that wait for the same grant may use it up first, so ask a few times.
    for _ in 0..3 {
        if state.limits.tries_again(entry, state.now()) {
            start_asking(state, entry, 0.0);
        }
        match state.limits.check(entry, state.now()) {
            LimitVerdict::Pass => return Ok(()),
            LimitVerdict::PassAhead => {
                start_asking(state, entry, 0.0);
                return Ok(());
            }
            LimitVerdict::Refuse(wait) => return Err(LimitRefusal::new(state, entry, wait)),
            LimitVerdict::Ask(wanted) => ask(state, entry, wanted).await,
        }
    }
    let wait = Duration::from_secs_f64((1.0 / entry.rule.rate).min(60.0));
    Err(LimitRefusal::new(state, entry, wait))
}

impl LimitRole {
    fn check(&self, entry: &LimitEntry, now: Duration) -> LimitVerdict {
        let mut ledgers = self.ledgers.borrow_mut();
        let known = ledgers.entry(entry.name.clone()).or_insert_with(|| LimitState {
            ledger: LocalLimiter::new(now),
            asking: None,
            ask_again_at: Duration::ZERO,
            home_lost_until: None,
            places: LimitPlaces::default(),
        });
        known.ledger.admit(now)
    }

    /// Calls `change` with what is known of a limit, if it was asked for.
    fn with_state<T>(
        &self,
        entry: &LimitEntry,
        change: impl FnOnce(&mut LimitState) -> T,
    ) -> Option<T> {
        self.ledgers.borrow_mut().get_mut(&entry.name).map(change)
    }

    /// Says whether the home, which could not be reached, is to be tried again.
    fn tries_again(&self, entry: &LimitEntry, now: Duration) -> bool {
        let ledgers = self.ledgers.borrow();
        ledgers.get(&entry.name).is_some_and(|known| {
            known.ledger.is_standalone() && known.asking.is_none() && now >= known.ask_again_at
        })
    }

    /// Returns who counts a limit.
    fn places(&self, state: &DaemonState, entry: &LimitEntry) -> Option<LimitPlaces> {
        let mut ledgers = self.ledgers.borrow_mut();
        let known = ledgers.get_mut(&entry.name)?;
        self.homes.update(state, &entry.name, &mut known.places);
        Some(known.places.clone())
    }

    /// Takes the home's reply in.
    pub fn take_reply(&self, reply: &GrantReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.sequence) {
            let ahead = reply.ahead.unwrap_or(0).max(0) as u32;
            let share = reply.share.map_or(0.0, |share| share.0);
            let _ = waiting.send(TokenGrant { granted: reply.granted.0, share, ahead });
        }
    }
}

/// Asks the home for tokens; requests that come meanwhile wait for the same answer.
async fn ask(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    start_asking(state, entry, wanted).raised().await;
}

/// Asks the home for tokens and pays for what was let in ahead, unless a question runs; returns what is raised
/// with the answer.
fn start_asking(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) -> Rc<RisingSignal> {
    let running = state.limits.ledgers.borrow().get(&entry.name).and_then(|l| l.asking.clone());
    if let Some(signal) = running {
        return signal;
    }
    let signal = Rc::new(RisingSignal::default());
    set_asking(state, entry, Some(signal.clone()));
    let state = state.clone();
    let entry = entry.clone();
    let done = signal.clone();
    // A task of its own, so that a caller that goes away does not leave the others waiting.
    monoio::spawn(async move {
        ask_somebody(&state, &entry, wanted).await;
        set_asking(&state, &entry, None);
        done.raise();
    });
    signal
}

fn set_asking(state: &DaemonState, entry: &LimitEntry, asking: Option<Rc<RisingSignal>>) {
    state.limits.with_state(entry, |known| known.asking = asking);
}

/// Asks the home, or its deputy for as long as the home can't be reached; without both, keeps to its own claim.
async fn ask_somebody(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    let is_lost = state.limits.with_state(entry, |known| known.home_lost_until).flatten();
    match is_lost {
        Some(until) if state.now() < until => {}
        // The request that waits is not held up by a home that may still be away.
        Some(_) => {
            let (state, entry) = (state.clone(), entry.clone());
            monoio::spawn(async move { ask_home(&state, &entry, 0.0).await });
        }
        None if ask_home(state, entry, wanted).await => return,
        None => {}
    }
    ask_deputy(state, entry, wanted).await;
}

/// Asks the home and pays for what was let in ahead; says whether it answered.
async fn ask_home(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) -> bool {
    let spent = state.limits.with_state(entry, |known| known.ledger.take_spent()).unwrap_or(0.0);
    let home = state.limits.places(state, entry).and_then(|places| places.home);
    let terms = GrantTerms { wanted, spent, claim: None };
    let answer = match home {
        Some(home) => ask_at(state, &home, entry, terms).await,
        None => None,
    };
    let now = state.now();
    state.limits.with_state(entry, |known| match &answer {
        Some(answer) => {
            known.home_lost_until = None;
            known.ledger.note_owner(answer.ahead, answer.share, now);
            note_grant(known, entry, wanted, answer, now);
        }
        None => {
            known.home_lost_until = Some(now + ALONE_FOR);
            known.ledger.note_unpaid(spent);
        }
    });
    answer.is_some()
}

async fn ask_deputy(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    let rule = &entry.rule;
    let daemons = state.limits.homes.daemons(state);
    let claim =
        state.limits.with_state(entry, |known| known.ledger.note_owner_lost(rule.rate, daemons));
    let deputy = state.limits.places(state, entry).and_then(|places| places.deputy);
    let answer = match deputy {
        Some(deputy) => {
            let terms = GrantTerms { wanted, spent: 0.0, claim };
            ask_at(state, &deputy, entry, terms).await
        }
        None => None,
    };
    let now = state.now();
    state.limits.with_state(entry, |known| match &answer {
        // The home may have come back meanwhile.
        _ if known.home_lost_until.is_none() => {}
        Some(answer) => {
            known.ledger.note_backup();
            note_grant(known, entry, wanted, answer, now);
        }
        None => {
            // Only of a fleet that starts for the first time the whole part of the burst is known to be left.
            let is_first = limit_homes::fleet_start(state) == FleetStart::First;
            let since = (!is_first).then_some(Duration::ZERO);
            let terms = StandaloneTerms { rate: rule.rate, burst: rule.burst, daemons, since };
            known.ledger.start_standalone(terms, now);
            known.ask_again_at = now + ALONE_FOR;
        }
    });
}

/// Tells the home what was granted as its deputy: where only some can't reach it, the sum stays with one count. A
/// home that is away is told nothing, as the one that follows begins anew.
pub fn pay_home(state: &Rc<DaemonState>, limit: &str, granted: f64) {
    let active = state.config.active();
    let Some(entry) = active.limit(limit).cloned().filter(|_| granted > 0.0) else { return };
    let state = state.clone();
    monoio::spawn(async move {
        let home = state.limits.homes.places(&state, &entry.name).home;
        let terms = GrantTerms { wanted: 0.0, spent: granted, claim: None };
        if let Some(home) = home {
            ask_at(&state, &home, &entry, terms).await;
        }
    });
}

fn note_grant(
    known: &mut LimitState,
    entry: &LimitEntry,
    wanted: f64,
    answer: &TokenGrant,
    now: Duration,
) {
    if wanted > 0.0 {
        let wait = Duration::from_secs_f64(1.0 / entry.rule.rate).min(GRANT_LIFE);
        known.ledger.note_grant(answer.granted, wait, now);
    }
}

/// `GrantTerms` is what an ingress asks for.
#[derive(Debug, Clone, Copy)]
struct GrantTerms {
    wanted: f64,
    spent: f64,
    claim: Option<f64>,
}

/// Asks one daemon; returns nothing when it can't be reached.
async fn ask_at(
    state: &Rc<DaemonState>,
    host: &str,
    entry: &LimitEntry,
    terms: GrantTerms,
) -> Option<TokenGrant> {
    metrics::GRANTS_ASKED.add_one();
    let GrantTerms { wanted, spent, claim } = terms;
    if *host == *state.options.host {
        let question = TokenRequest { requester: host, wanted, spent };
        return state.limits.homes.answer(state, &entry.name, claim, &question);
    }
    let path = state.peers.path(host);
    path.note_used(state.now());
    if path.link().is_some() && path.state(state.now()) == PathState::Cut {
        return None;
    }
    let request = GrantRequest {
        limit: entry.name.to_string(),
        wanted: OrderedFloat(wanted),
        sequence: 0,
        spent: (spent > 0.0).then_some(OrderedFloat(spent)),
        claim: claim.map(OrderedFloat),
    };
    ask_peer(state, &path, request).await
}

async fn ask_peer(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
    request: GrantRequest,
) -> Option<TokenGrant> {
    let link = links::link_to(state, path).await.ok()?;
    let sequence = state.limits.sequence.get() + 1;
    state.limits.sequence.set(sequence);
    let (sender, receiver) = oneshot::channel();
    state.limits.waiting.borrow_mut().insert(sequence, sender);
    let _guard = WaitingGuard { state, sequence };
    let request = GrantRequest { sequence, ..request };
    link.sender().send(NO_EXCHANGE, FrameBody::GrantRequest(request)).ok()?;
    monoio::time::timeout(GRANT_WAIT, receiver).await.ok()?.ok()
}

/// Forgets a question whose asker no longer waits.
struct WaitingGuard<'a> {
    state: &'a DaemonState,
    sequence: i64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.state.limits.waiting.borrow_mut().remove(&self.sequence);
    }
}
