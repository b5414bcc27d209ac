// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits: admits requests from borrowed tokens, and grants tokens as the home of limits.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::config::{ActiveConfig, LimitEntry};
use basaltarch_core::resources::{LimitRule, LimitScope};
use basaltarch_decide::grants::{GrantAnswer, GrantQuestion, LimitHome};
use basaltarch_decide::limits::{self, LimitLedger, LimitVerdict, GRANT_LIFE};
use basaltarch_decide::path::PathState;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, GrantReply, GrantRequest};
use fnv::FnvHashMap;
use local_sync::oneshot;
use thrift::OrderedFloat;

use crate::links;
use crate::state::DaemonState;

/// Longest wait for the home's grant: two round trips between failure domains are 6 ms; a home that
/// takes this long is treated as cut off.
const GRANT_WAIT: Duration = Duration::from_millis(100);
/// Time for which an ingress keeps to its share before it asks the home again.
const ALONE_FOR: Duration = Duration::from_secs(2);
/// Time after the start in which a daemon is the first home of a limit: a fleet that starts must not refuse.
const HOME_SETTLE: Duration = Duration::from_secs(3);
/// Time for which a look at who is there counts: homes move when a daemon leaves or has been silent for seconds.
const LIVE_FOR: Duration = Duration::from_millis(200);

struct LimitState {
    ledger: LimitLedger,
    asking: Option<Rc<RisingSignal>>,
    ask_again_at: Duration,
    /// Home of the limit among the hosts as they were read last.
    home: Option<Rc<str>>,
    /// Number of that reading.
    home_read: u64,
}

/// `LiveReading` is who was there when it was looked at last; looking at each request would cost a large fleet
/// more than the request.
#[derive(Default)]
struct LiveReading {
    hosts: Vec<String>,
    number: u64,
    read_at: Duration,
    changed_at: Duration,
}

/// `LimitRole` is both sides of this daemon's part in the limits.
#[derive(Default)]
pub struct LimitRole {
    ledgers: RefCell<FnvHashMap<Rc<str>, LimitState>>,
    homes: RefCell<FnvHashMap<String, LimitHome>>,
    waiting: RefCell<FnvHashMap<i64, oneshot::Sender<GrantAnswer>>>,
    sequence: Cell<i64>,
    live: RefCell<LiveReading>,
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
        let is_alone = known.is_some_and(|known| known.ledger.is_alone());
        let home = known.and_then(|known| known.home.as_deref()).unwrap_or("nobody");
        let count = if is_alone { "this daemon alone, without" } else { "all daemons at" };
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
            ledger: LimitLedger::new(now),
            asking: None,
            ask_again_at: Duration::ZERO,
            home: None,
            home_read: 0,
        });
        known.ledger.admit(now)
    }

    /// Says whether the home, which could not be reached, is to be tried again.
    fn tries_again(&self, entry: &LimitEntry, now: Duration) -> bool {
        let ledgers = self.ledgers.borrow();
        ledgers.get(&entry.name).is_some_and(|known| {
            known.ledger.is_alone() && known.asking.is_none() && now >= known.ask_again_at
        })
    }

    /// Looks who is there, unless that was done a moment ago.
    fn read_live(&self, state: &DaemonState) {
        let now = state.now();
        let mut live = self.live.borrow_mut();
        if live.number > 0 && now.saturating_sub(live.read_at) < LIVE_FOR {
            return;
        }
        live.read_at = now;
        let hosts = state.members.live_hosts(state);
        if live.number == 0 || hosts != live.hosts {
            // Who was there before the first look is not known: it counts from this daemon's start.
            live.changed_at = if live.number == 0 { Duration::ZERO } else { now };
            live.number += 1;
            live.hosts = hosts;
        }
    }

    /// Returns the home of a limit.
    fn home(&self, state: &DaemonState, entry: &LimitEntry) -> Option<Rc<str>> {
        self.read_live(state);
        let live = self.live.borrow();
        let mut ledgers = self.ledgers.borrow_mut();
        let known = ledgers.get_mut(&entry.name)?;
        if known.home_read != live.number {
            let hosts = live.hosts.iter().map(String::as_str);
            known.home = limits::home_of(&entry.name, hosts).map(Rc::from);
            known.home_read = live.number;
        }
        known.home.clone()
    }

    /// Takes the home's reply in.
    pub fn take_reply(&self, reply: &GrantReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.sequence) {
            let ahead = reply.ahead.unwrap_or(0).max(0) as u32;
            let _ = waiting.send(GrantAnswer { granted: reply.granted.0, ahead });
        }
    }

    /// Answers as the home of a limit.
    fn answer(
        &self,
        state: &DaemonState,
        limit: &str,
        question: &GrantQuestion<'_>,
    ) -> GrantAnswer {
        let active = state.config.active();
        let rule = match active.limit(limit) {
            Some(entry) => &entry.rule,
            None => return GrantAnswer { granted: 0.0, ahead: 0 },
        };
        self.read_live(state);
        let since = self.live.borrow().changed_at;
        let now = state.now();
        let mut homes = self.homes.borrow_mut();
        let home = homes.entry(limit.to_owned()).or_insert_with(|| match now < HOME_SETTLE {
            true => LimitHome::new(rule.rate, rule.burst, now),
            false => LimitHome::following(rule.rate, rule.burst, since),
        });
        home.answer(rule.rate, rule.burst, &state.live().limit_tolerance, question, now)
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
        let spent = take_spent(&state, &entry);
        let answer = ask_home(&state, &entry, wanted, spent).await;
        note_answer(&state, &entry, answer, wanted, spent);
        set_asking(&state, &entry, None);
        done.raise();
    });
    signal
}

fn take_spent(state: &DaemonState, entry: &LimitEntry) -> f64 {
    let mut ledgers = state.limits.ledgers.borrow_mut();
    ledgers.get_mut(&entry.name).map_or(0.0, |known| known.ledger.take_spent())
}

fn set_asking(state: &DaemonState, entry: &LimitEntry, asking: Option<Rc<RisingSignal>>) {
    if let Some(known) = state.limits.ledgers.borrow_mut().get_mut(&entry.name) {
        known.asking = asking;
    }
}

fn note_answer(
    state: &DaemonState,
    entry: &LimitEntry,
    answer: Option<GrantAnswer>,
    wanted: f64,
    spent: f64,
) {
    let now = state.now();
    let daemons = state.members.live_hosts(state).len();
    let mut ledgers = state.limits.ledgers.borrow_mut();
    let known = match ledgers.get_mut(&entry.name) {
        Some(known) => known,
        None => return,
    };
    match answer {
        Some(answer) => {
            known.ledger.note_ahead(answer.ahead, now);
            if wanted > 0.0 {
                let wait = Duration::from_secs_f64(1.0 / entry.rule.rate).min(GRANT_LIFE);
                known.ledger.note_grant(answer.granted, wait, now);
            }
        }
        None => {
            known.ledger.note_unpaid(spent);
            known.ledger.go_alone(entry.rule.rate, entry.rule.burst, daemons, now);
            known.ask_again_at = now + ALONE_FOR;
        }
    }
}

/// Returns the home's answer, or nothing when it can't be reached.
async fn ask_home(
    state: &Rc<DaemonState>,
    entry: &LimitEntry,
    wanted: f64,
    spent: f64,
) -> Option<GrantAnswer> {
    metrics::GRANTS_ASKED.add_one();
    let home = state.limits.home(state, entry)?;
    if *home == *state.options.host {
        let question = GrantQuestion { asker: &home, wanted, spent };
        return Some(state.limits.answer(state, &entry.name, &question));
    }
    let path = state.peers.path(&home);
    path.note_used(state.now());
    if path.link().is_some() && path.state(state.now()) == PathState::Cut {
        return None;
    }
    let request = GrantRequest {
        limit: entry.name.to_string(),
        wanted: OrderedFloat(wanted),
        sequence: 0,
        spent: (spent > 0.0).then_some(OrderedFloat(spent)),
    };
    let ask = ask_peer(state, &path, request);
    monoio::time::timeout(GRANT_WAIT, ask).await.ok().flatten()
}

async fn ask_peer(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
    request: GrantRequest,
) -> Option<GrantAnswer> {
    let link = links::link_to(state, path).await.ok()?;
    let sequence = state.limits.sequence.get() + 1;
    state.limits.sequence.set(sequence);
    let (sender, receiver) = oneshot::channel();
    state.limits.waiting.borrow_mut().insert(sequence, sender);
    let _guard = WaitingGuard { state, sequence };
    let request = GrantRequest { sequence, ..request };
    link.sender().send(NO_EXCHANGE, FrameBody::GrantRequest(request)).ok()?;
    receiver.await.ok()
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

/// Answers a peer that asks this daemon as the home of a limit.
pub fn answer_request(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    asker: &str,
    request: &GrantRequest,
) {
    let spent = request.spent.map_or(0.0, |spent| spent.0);
    let question = GrantQuestion { asker, wanted: request.wanted.0, spent };
    let answer = state.limits.answer(state, &request.limit, &question);
    let reply = GrantReply {
        sequence: request.sequence,
        granted: OrderedFloat(answer.granted),
        valid_ms: GRANT_LIFE.as_millis() as i32,
        ahead: (answer.ahead > 0).then_some(answer.ahead as i32),
    };
    let _ = sender.send(NO_EXCHANGE, FrameBody::GrantReply(reply));
}
