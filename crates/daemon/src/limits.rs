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
use basaltarch_core::resources::LimitScope;
use basaltarch_decide::limits::{self, LimitLedger, LimitVerdict, TokenBucket, GRANT_LIFE};
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
/// Time for which this daemon must have been up before it grants a burst as a home: before, another
/// home may just have granted it.
const HOME_SETTLE: Duration = Duration::from_secs(3);

struct LimitState {
    ledger: LimitLedger,
    asking: Option<Rc<RisingSignal>>,
    ask_again_at: Duration,
}

/// `LimitRole` is both sides of this daemon's part in the limits.
#[derive(Default)]
pub struct LimitRole {
    ledgers: RefCell<FnvHashMap<Rc<str>, LimitState>>,
    buckets: RefCell<FnvHashMap<String, TokenBucket>>,
    waiting: RefCell<FnvHashMap<i64, oneshot::Sender<f64>>>,
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
) -> Result<(), Duration> {
    if active.has_no_limits() {
        return Ok(());
    }
    let mut keys = vec![(LimitScope::Service, subject.service), (LimitScope::Route, subject.route)];
    keys.extend(subject.organisation.map(|name| (LimitScope::Organisation, name)));
    for (scope, target) in keys {
        for entry in active.limits_of(scope, target) {
            admit_one(state, entry).await.inspect_err(|_| metrics::LIMITED.add_one())?;
        }
    }
    Ok(())
}

async fn admit_one(state: &Rc<DaemonState>, entry: &LimitEntry) -> Result<(), Duration> {
    // Others that wait for the same grant may use it up first, so ask a few times.
    for _ in 0..3 {
        match state.limits.check(entry, state.now()) {
            LimitVerdict::Pass => return Ok(()),
            LimitVerdict::Refuse(wait) => return Err(wait),
            LimitVerdict::Ask(wanted) => ask(state, entry, wanted).await,
        }
    }
    Err(Duration::from_secs_f64((1.0 / entry.rule.rate).min(60.0)))
}

impl LimitRole {
    fn check(&self, entry: &LimitEntry, now: Duration) -> LimitVerdict {
        let mut ledgers = self.ledgers.borrow_mut();
        let known = ledgers.entry(entry.name.clone()).or_insert_with(|| LimitState {
            ledger: LimitLedger::new(now),
            asking: None,
            ask_again_at: Duration::ZERO,
        });
        let alone_is_over = known.ledger.is_alone() && now >= known.ask_again_at;
        if alone_is_over && known.asking.is_none() {
            return LimitVerdict::Ask(1.0);
        }
        known.ledger.admit(now)
    }

    /// Takes the home's reply in.
    pub fn take_reply(&self, reply: &GrantReply) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&reply.sequence) {
            let _ = waiting.send(reply.granted.0);
        }
    }

    /// Grants tokens as the home of a limit.
    fn grant(&self, state: &DaemonState, limit: &str, wanted: f64) -> f64 {
        let active = state.config.active();
        let rule = match active.limit(limit) {
            Some(entry) => &entry.rule,
            None => return 0.0,
        };
        let now = state.now();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.entry(limit.to_owned()).or_insert_with(|| {
            if now < HOME_SETTLE {
                TokenBucket::new(rule.rate, rule.burst, now)
            } else {
                TokenBucket::empty(rule.rate, rule.burst, now)
            }
        });
        bucket.set_rate(rule.rate, rule.burst, now);
        bucket.take_up_to(wanted.clamp(0.0, rule.burst), now)
    }
}

/// Asks the home for tokens; requests that come meanwhile wait for the same answer.
async fn ask(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    let running = state.limits.ledgers.borrow().get(&entry.name).and_then(|l| l.asking.clone());
    if let Some(signal) = running {
        signal.raised().await;
        return;
    }
    let signal = Rc::new(RisingSignal::default());
    set_asking(state, entry, Some(signal.clone()));
    let state = state.clone();
    let entry = entry.clone();
    let done = signal.clone();
    // A task of its own, so that a caller that goes away does not leave the others waiting.
    monoio::spawn(async move {
        let granted = ask_home(&state, &entry, wanted).await;
        note_answer(&state, &entry, granted);
        set_asking(&state, &entry, None);
        done.raise();
    });
    signal.raised().await;
}

fn set_asking(state: &DaemonState, entry: &LimitEntry, asking: Option<Rc<RisingSignal>>) {
    if let Some(known) = state.limits.ledgers.borrow_mut().get_mut(&entry.name) {
        known.asking = asking;
    }
}

fn note_answer(state: &DaemonState, entry: &LimitEntry, granted: Option<f64>) {
    let now = state.now();
    let daemons = state.members.live_hosts(state).len();
    let mut ledgers = state.limits.ledgers.borrow_mut();
    let known = match ledgers.get_mut(&entry.name) {
        Some(known) => known,
        None => return,
    };
    match granted {
        Some(granted) => {
            let wait = Duration::from_secs_f64(1.0 / entry.rule.rate).min(GRANT_LIFE);
            known.ledger.note_grant(granted, wait, now);
        }
        None => {
            known.ledger.go_alone(entry.rule.rate, entry.rule.burst, daemons, now);
            known.ask_again_at = now + ALONE_FOR;
        }
    }
}

/// Returns the tokens granted, or nothing when the home can't be reached.
async fn ask_home(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) -> Option<f64> {
    metrics::GRANTS_ASKED.add_one();
    let hosts = state.members.live_hosts(state);
    let home = limits::home_of(&entry.name, hosts.iter().map(String::as_str))?;
    if home == state.options.host {
        return Some(state.limits.grant(state, &entry.name, wanted));
    }
    let path = state.peers.path(home);
    path.note_used(state.now());
    let ask = ask_peer(state, &path, &entry.name, wanted);
    monoio::time::timeout(GRANT_WAIT, ask).await.ok().flatten()
}

async fn ask_peer(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
    limit: &str,
    wanted: f64,
) -> Option<f64> {
    let link = links::link_to(state, path).await.ok()?;
    let sequence = state.limits.sequence.get() + 1;
    state.limits.sequence.set(sequence);
    let (sender, receiver) = oneshot::channel();
    state.limits.waiting.borrow_mut().insert(sequence, sender);
    let _guard = WaitingGuard { state, sequence };
    let request = GrantRequest { limit: limit.to_owned(), wanted: OrderedFloat(wanted), sequence };
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
pub fn answer_request(state: &Rc<DaemonState>, sender: &FrameSender, request: &GrantRequest) {
    let granted = state.limits.grant(state, &request.limit, request.wanted.0);
    let reply = GrantReply {
        sequence: request.sequence,
        granted: OrderedFloat(granted),
        valid_ms: GRANT_LIFE.as_millis() as i32,
    };
    let _ = sender.send(NO_EXCHANGE, FrameBody::GrantReply(reply));
}
