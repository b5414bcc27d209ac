// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits of the ingress: admits requests with the tokens that the owner of a limit grants.
//! `limit_owners` is the owner's side.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_base::signal::RisingSignal;
use basaltarch_core::config::{ActiveConfig, LimitEntry};
use basaltarch_core::resources::{LimitRule, LimitScope};
use basaltarch_decide::fleet_start::FleetStart;
use basaltarch_decide::grants::{TokenGrant, TokenRequest};
use basaltarch_decide::limits::{LimitVerdict, LocalLimiter, StandaloneTerms, GRANT_LIFE};
use basaltarch_decide::path::PathState;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, GrantReply, GrantRequest};
use fnv::FnvHashMap;
use local_sync::oneshot;
use thrift::OrderedFloat;

use crate::limit_owners::{self, OwnedLimits, OwnerAssignment};
use crate::links;
use crate::state::DaemonState;

/// Longest wait for the owner's grant on an established link. Two round trips between failure
/// domains take 6 ms. An owner that does not answer within this timeout is treated as unreachable.
/// The timeout does not include the time to establish the link, which is longer right after a
/// start.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which an ingress that can't reach the owner of a limit sends the owner no requests for
/// tokens.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// `LimitState` is what this ingress knows of one limit.
struct LimitState {
    limiter: LocalLimiter,
    /// Raised when the token request in progress has ended, `None` if no token request is in
    /// progress.
    pending_request: Option<Rc<RisingSignal>>,
    /// Time from which the owner is asked again, while neither the owner nor its backup can be
    /// reached.
    retry_owner_at: Duration,
    /// Time until which the owner is not asked again, because the owner could not be reached.
    owner_lost_until: Option<Duration>,
    /// The daemons that count the limit.
    assignment: OwnerAssignment,
}

/// `RateLimiter` is both sides of rate limiting in this daemon: the ingress, which admits requests,
/// and the owner, which grants tokens.
#[derive(Default)]
pub struct RateLimiter {
    states: RefCell<FnvHashMap<Rc<str>, LimitState>>,
    /// Limits that this daemon counts for the fleet.
    pub owned: OwnedLimits,
    pending_replies: RefCell<FnvHashMap<i64, oneshot::Sender<TokenGrant>>>,
    sequence: Cell<i64>,
}

/// `LimitSubject` is what decides which limits a request counts towards.
#[derive(Debug, Clone, Copy)]
pub struct LimitSubject<'a> {
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Route of the request.
    pub route: &'a str,
    /// Service of the route.
    pub service: &'a str,
}

/// Admits a request, or returns the refusal, which says after what time the caller may retry.
pub async fn admit(
    state: &Rc<DaemonState>,
    active: &ActiveConfig,
    subject: LimitSubject<'_>,
) -> Result<(), LimitRefusal> {
    if active.has_no_limits() {
        return Ok(());
    }
    for entry in subject.limits(active) {
        admit_by_limit(state, entry).await.inspect_err(|_| metrics::LIMITED.add_one())?;
    }
    Ok(())
}

/// Returns the tokens of a request that was admitted and then refused for another reason.
pub fn return_tokens(state: &DaemonState, active: &ActiveConfig, subject: LimitSubject<'_>) {
    if active.has_no_limits() {
        return;
    }
    let now = state.now();
    let mut states = state.limits.states.borrow_mut();
    for entry in subject.limits(active) {
        if let Some(limit_state) = states.get_mut(&entry.name) {
            limit_state.limiter.return_token(now);
        }
    }
}

impl<'a> LimitSubject<'a> {
    /// Lists the limits that a request counts towards.
    fn limits(self, active: &'a ActiveConfig) -> impl Iterator<Item = &'a Rc<LimitEntry>> {
        let organisation = self.organisation.map(|name| (LimitScope::Organisation, name));
        let scoped_targets = [(LimitScope::Service, self.service), (LimitScope::Route, self.route)];
        scoped_targets
            .into_iter()
            .chain(organisation)
            .flat_map(|(scope, target)| active.limits_of(scope, target))
    }
}

/// `LimitRefusal` is the answer to a request over a limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Time after which the caller may retry.
    pub wait: Duration,
    /// Message that names the limit and the daemon that counts it.
    pub message: String,
}

impl LimitRefusal {
    fn new(state: &DaemonState, entry: &LimitEntry, wait: Duration) -> Self {
        let states = state.limits.states.borrow();
        let limit_state = states.get(&entry.name);
        let is_standalone =
            limit_state.is_some_and(|limit_state| limit_state.limiter.is_standalone());
        let owner = limit_state
            .and_then(|limit_state| limit_state.assignment.owner.as_deref())
            .unwrap_or("nobody");
        let count = if is_standalone { "this daemon alone, without" } else { "all daemons at" };
        let LimitRule { rate, burst, .. } = &entry.rule;
        let name = &entry.name;
        let message =
            format!("limit {name} of {rate} a second, burst {burst}; counted by {count} {owner}");
        Self { wait, message }
    }
}

async fn admit_by_limit(state: &Rc<DaemonState>, entry: &LimitEntry) -> Result<(), LimitRefusal> {
    // Other requests that wait for the same grant may use up its tokens first, so the owner is
    // asked up to three times.
    for _ in 0..3 {
        if state.limits.should_retry_owner(entry, state.now()) {
            start_token_request(state, entry, 0.0);
        }
        match state.limits.check_limit(entry, state.now()) {
            LimitVerdict::Pass => return Ok(()),
            LimitVerdict::PassAhead => {
                start_token_request(state, entry, 0.0);
                return Ok(());
            }
            LimitVerdict::Refuse(wait) => return Err(LimitRefusal::new(state, entry, wait)),
            LimitVerdict::Ask(wanted) => request_tokens(state, entry, wanted).await,
        }
    }
    let wait = Duration::from_secs_f64((1.0 / entry.rule.rate).min(60.0));
    Err(LimitRefusal::new(state, entry, wait))
}

impl RateLimiter {
    fn check_limit(&self, entry: &LimitEntry, now: Duration) -> LimitVerdict {
        let mut states = self.states.borrow_mut();
        let limit_state = states.entry(entry.name.clone()).or_insert_with(|| LimitState {
            limiter: LocalLimiter::new(now),
            pending_request: None,
            retry_owner_at: Duration::ZERO,
            owner_lost_until: None,
            assignment: OwnerAssignment::default(),
        });
        limit_state.limiter.admit(now)
    }

    /// Calls `change` with the state of a limit, if this ingress has a state for the limit.
    fn with_limit<T>(
        &self,
        entry: &LimitEntry,
        change: impl FnOnce(&mut LimitState) -> T,
    ) -> Option<T> {
        self.states.borrow_mut().get_mut(&entry.name).map(change)
    }

    /// Says whether the owner, which could not be reached, should be tried again.
    fn should_retry_owner(&self, entry: &LimitEntry, now: Duration) -> bool {
        let states = self.states.borrow();
        states.get(&entry.name).is_some_and(|limit_state| {
            limit_state.limiter.is_standalone()
                && limit_state.pending_request.is_none()
                && now >= limit_state.retry_owner_at
        })
    }

    /// Returns the daemons that count a limit.
    fn assignment(&self, state: &DaemonState, entry: &LimitEntry) -> Option<OwnerAssignment> {
        let mut states = self.states.borrow_mut();
        let limit_state = states.get_mut(&entry.name)?;
        self.owned.update_assignment(state, &entry.name, &mut limit_state.assignment);
        Some(limit_state.assignment.clone())
    }

    /// Passes a reply of the owner to the token request that the reply answers.
    pub fn handle_reply(&self, reply: &GrantReply) {
        if let Some(waiter) = self.pending_replies.borrow_mut().remove(&reply.sequence) {
            let ahead = reply.ahead.unwrap_or(0).max(0) as u32;
            let share = reply.share.map_or(0.0, |share| share.0);
            let _ = waiter.send(TokenGrant { granted: reply.granted.0, share, ahead });
        }
    }
}

/// Asks the owner for tokens. Requests that arrive before the owner's reply wait for the same
/// reply.
async fn request_tokens(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    start_token_request(state, entry, wanted).raised().await;
}

/// Asks the owner for tokens, and reports the tokens that were used before they were granted.
/// Does nothing if a token request is pending. Returns the signal that is raised once the token
/// request has ended.
fn start_token_request(
    state: &Rc<DaemonState>,
    entry: &LimitEntry,
    wanted: f64,
) -> Rc<RisingSignal> {
    let pending_signal =
        state.limits.states.borrow().get(&entry.name).and_then(|l| l.pending_request.clone());
    if let Some(signal) = pending_signal {
        return signal;
    }
    let signal = Rc::new(RisingSignal::default());
    set_pending_request(state, entry, Some(signal.clone()));
    let state = state.clone();
    let entry = entry.clone();
    let end_signal = signal.clone();
    // The token request runs in a task of its own. If the task were that of a caller's request and
    // the caller disconnected, the other requests would wait in vain.
    monoio::spawn(async move {
        request_from_any(&state, &entry, wanted).await;
        set_pending_request(&state, &entry, None);
        end_signal.raise();
    });
    signal
}

fn set_pending_request(
    state: &DaemonState,
    entry: &LimitEntry,
    pending_request: Option<Rc<RisingSignal>>,
) {
    state.limits.with_limit(entry, |limit_state| limit_state.pending_request = pending_request);
}

/// Asks the owner, or the backup owner for as long as the owner can't be reached. If neither can be
/// reached, the ingress admits only its own share of the limit.
async fn request_from_any(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    let lost_until =
        state.limits.with_limit(entry, |limit_state| limit_state.owner_lost_until).flatten();
    match lost_until {
        Some(until) if state.now() < until => {}
        // The owner is asked in a task of its own: the owner may still be unreachable, and the
        // requests that wait must not be delayed.
        Some(_) => {
            let (state, entry) = (state.clone(), entry.clone());
            monoio::spawn(async move { request_from_owner(&state, &entry, 0.0).await });
        }
        None if request_from_owner(state, entry, wanted).await => return,
        None => {}
    }
    request_from_backup(state, entry, wanted).await;
}

/// Asks the owner for tokens, and reports the tokens that were used before they were granted. Says
/// whether the owner replied.
async fn request_from_owner(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) -> bool {
    let spent = state
        .limits
        .with_limit(entry, |limit_state| limit_state.limiter.take_spent())
        .unwrap_or(0.0);
    let owner = state.limits.assignment(state, entry).and_then(|assignment| assignment.owner);
    let terms = GrantTerms { wanted, spent, claim: None };
    let grant = match owner {
        Some(owner) => request_from(state, &owner, entry, terms).await,
        None => None,
    };
    let now = state.now();
    state.limits.with_limit(entry, |limit_state| match &grant {
        Some(grant) => {
            limit_state.owner_lost_until = None;
            limit_state.limiter.note_owner(grant.ahead, grant.share, now);
            note_grant(limit_state, entry, wanted, grant, now);
        }
        None => {
            limit_state.owner_lost_until = Some(now + OWNER_RETRY_INTERVAL);
            limit_state.limiter.restore_spent(spent);
        }
    });
    grant.is_some()
}

async fn request_from_backup(state: &Rc<DaemonState>, entry: &LimitEntry, wanted: f64) {
    let rule = &entry.rule;
    let daemons = state.limits.owned.daemons(state);
    let claim = state
        .limits
        .with_limit(entry, |limit_state| limit_state.limiter.note_owner_lost(rule.rate, daemons));
    let backup = state.limits.assignment(state, entry).and_then(|assignment| assignment.backup);
    let grant = match backup {
        Some(backup) => {
            let terms = GrantTerms { wanted, spent: 0.0, claim };
            request_from(state, &backup, entry, terms).await
        }
        None => None,
    };
    let now = state.now();
    state.limits.with_limit(entry, |limit_state| match &grant {
        // The owner has become reachable again since the backup was asked.
        _ if limit_state.owner_lost_until.is_none() => {}
        Some(grant) => {
            limit_state.limiter.note_backup();
            note_grant(limit_state, entry, wanted, grant, now);
        }
        None => {
            // Only in a fleet that starts for the first time is this daemon's share of the burst
            // known to be unused.
            let is_first = limit_owners::fleet_start(state) == FleetStart::First;
            let since = (!is_first).then_some(Duration::ZERO);
            let terms = StandaloneTerms { rate: rule.rate, burst: rule.burst, daemons, since };
            limit_state.limiter.start_standalone(terms, now);
            limit_state.retry_owner_at = now + OWNER_RETRY_INTERVAL;
        }
    });
}

/// Reports to the owner the tokens that this daemon granted as the backup owner. If only some
/// daemons can't reach the owner, the owner's count thus covers the grants to all daemons. An owner
/// that has left the fleet is not notified, as its successor starts with a new count.
pub fn report_backup_grant(state: &Rc<DaemonState>, limit: &str, granted: f64) {
    let active = state.config.active();
    let Some(entry) = active.limit(limit).cloned().filter(|_| granted > 0.0) else { return };
    let state = state.clone();
    monoio::spawn(async move {
        let owner = state.limits.owned.assignment(&state, &entry.name).owner;
        let terms = GrantTerms { wanted: 0.0, spent: granted, claim: None };
        if let Some(owner) = owner {
            request_from(&state, &owner, &entry, terms).await;
        }
    });
}

fn note_grant(
    limit_state: &mut LimitState,
    entry: &LimitEntry,
    wanted: f64,
    grant: &TokenGrant,
    now: Duration,
) {
    if wanted > 0.0 {
        let wait = Duration::from_secs_f64(1.0 / entry.rule.rate).min(GRANT_LIFE);
        limit_state.limiter.note_grant(grant.granted, wait, now);
    }
}

/// `GrantTerms` is what a token request asks for and reports: the tokens wanted, the tokens used
/// before they were granted, and, for a backup owner, the claimed part of the limit.
#[derive(Debug, Clone, Copy)]
struct GrantTerms {
    wanted: f64,
    spent: f64,
    claim: Option<f64>,
}

/// Asks one daemon for tokens. Returns `None` if that daemon can't be reached or does not
/// answer.
async fn request_from(
    state: &Rc<DaemonState>,
    host: &str,
    entry: &LimitEntry,
    terms: GrantTerms,
) -> Option<TokenGrant> {
    metrics::GRANTS_REQUESTED.add_one();
    let GrantTerms { wanted, spent, claim } = terms;
    if *host == *state.options.host {
        let token_request = TokenRequest { requester: host, wanted, spent };
        return state.limits.owned.answer(state, &entry.name, claim, &token_request);
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
    request_from_peer(state, &path, request).await
}

async fn request_from_peer(
    state: &Rc<DaemonState>,
    path: &Rc<PeerPath>,
    request: GrantRequest,
) -> Option<TokenGrant> {
    let link = links::link_to(state, path).await.ok()?;
    let sequence = state.limits.sequence.get() + 1;
    state.limits.sequence.set(sequence);
    let (sender, receiver) = oneshot::channel();
    state.limits.pending_replies.borrow_mut().insert(sequence, sender);
    let _guard = PendingReplyGuard { state, sequence };
    let request = GrantRequest { sequence, ..request };
    link.sender().send(NO_EXCHANGE, FrameBody::GrantRequest(request)).ok()?;
    monoio::time::timeout(GRANT_TIMEOUT, receiver).await.ok()?.ok()
}

/// `PendingReplyGuard` removes a pending request for tokens whose requester no longer waits.
struct PendingReplyGuard<'a> {
    state: &'a DaemonState,
    sequence: i64,
}

impl Drop for PendingReplyGuard<'_> {
    fn drop(&mut self) {
        self.state.limits.pending_replies.borrow_mut().remove(&self.sequence);
    }
}
