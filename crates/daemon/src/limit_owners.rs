// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Determines which daemon counts a limit for the whole fleet, and answers peers as the owner or
//! the backup owner of limits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::units;
use basaltarch_decide::fleet_start::{FleetStart, StartFacts};
use basaltarch_decide::grants::{LimitOwner, TokenGrant, TokenRequest};
use basaltarch_decide::limits::{self, GRANT_LIFE};
use basaltarch_events::fleet;
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, GrantReply, GrantRequest};
use fnv::FnvHashMap;
use thrift::OrderedFloat;

use crate::limits as ingress_limits;
use crate::links;
use crate::state::DaemonState;

/// Time for which the list of eligible hosts is kept. Owners change only when a daemon leaves or
/// has been unresponsive for seconds.
const ELIGIBLE_TTL: Duration = Duration::from_millis(200);

/// Minimum time since the start of a daemon that owns limits, if any daemon has run for this time.
/// Some daemons know a new daemon sooner than others do, and two owners at once would grant a limit
/// twice.
const OWNER_AGE_MIN: Duration = Duration::from_secs(15);

/// `OwnerAssignment` is the owner of a limit and its backup.
#[derive(Debug, Clone, Default)]
pub struct OwnerAssignment {
    /// Host whose daemon counts the limit.
    pub owner: Option<Rc<str>>,
    /// Host whose daemon counts the limit for ingresses that can't reach the owner.
    pub backup: Option<Rc<str>>,
    /// Generation of the eligible hosts among which the owners were chosen.
    generation: u64,
}

/// `EligibleHosts` is the cached list of hosts that may own limits. Building it for each request
/// would cost more than the request itself.
#[derive(Default)]
struct EligibleHosts {
    hosts: Vec<String>,
    generation: u64,
    refreshed_at: Duration,
    changed_at: Duration,
}

/// `OwnedLimits` holds the limits that this daemon counts.
#[derive(Default)]
pub struct OwnedLimits {
    owned: RefCell<FnvHashMap<String, LimitOwner>>,
    backed_up: RefCell<FnvHashMap<String, LimitOwner>>,
    /// Assignments of the limits that peers asked this daemon about.
    assignments: RefCell<FnvHashMap<String, OwnerAssignment>>,
    eligible: RefCell<EligibleHosts>,
}

impl OwnedLimits {
    /// Updates the assignment of a limit, if the eligible hosts have changed.
    pub fn update_assignment(
        &self,
        state: &DaemonState,
        limit: &str,
        assignment: &mut OwnerAssignment,
    ) {
        self.refresh_eligible(state);
        let eligible = self.eligible.borrow();
        if assignment.generation == eligible.generation {
            return;
        }
        let hosts = || eligible.hosts.iter().map(String::as_str);
        let owner = limits::owner_of(limit, hosts());
        let backup = owner.and_then(|owner| limits::backup_of(limit, owner, hosts()));
        assignment.owner = owner.map(Rc::from);
        assignment.backup = backup.map(Rc::from);
        assignment.generation = eligible.generation;
    }

    /// Returns the number of daemons that may own limits.
    pub fn daemons(&self, state: &DaemonState) -> usize {
        self.refresh_eligible(state);
        self.eligible.borrow().hosts.len()
    }

    /// Rebuilds the list of eligible hosts, unless it is recent.
    fn refresh_eligible(&self, state: &DaemonState) {
        let now = state.now();
        let mut eligible = self.eligible.borrow_mut();
        if eligible.generation > 0 && now.saturating_sub(eligible.refreshed_at) < ELIGIBLE_TTL {
            return;
        }
        eligible.refreshed_at = now;
        let hosts = eligible_hosts(state);
        if eligible.generation == 0 || hosts != eligible.hosts {
            // It is not known which hosts were eligible before the first list was built, so the
            // first list counts as unchanged since this daemon's start.
            eligible.changed_at = if eligible.generation == 0 { Duration::ZERO } else { now };
            eligible.generation += 1;
            eligible.hosts = hosts;
        }
    }

    /// Returns the assignment of a limit that a peer asked this daemon about.
    pub fn assignment(&self, state: &DaemonState, limit: &str) -> OwnerAssignment {
        let mut assignments = self.assignments.borrow_mut();
        let assignment = match assignments.get_mut(limit) {
            Some(assignment) => assignment,
            None => assignments.entry(limit.to_owned()).or_default(),
        };
        self.update_assignment(state, limit, assignment);
        assignment.clone()
    }

    /// Says whether this daemon owns a limit, by its own view of the fleet.
    fn is_owner(&self, state: &DaemonState, limit: &str) -> bool {
        self.assignment(state, limit).owner.as_deref() == Some(&*state.options.host)
    }

    /// Answers as the owner of a limit, or as the backup owner if the request carries a claim.
    /// Returns `None` if another daemon is the owner, because two owners would together grant twice
    /// the limit. A requester without an answer asks the backup owner.
    pub fn answer(
        &self,
        state: &DaemonState,
        limit: &str,
        claim: Option<f64>,
        token_request: &TokenRequest<'_>,
    ) -> Option<TokenGrant> {
        let active = state.config.active();
        let Some(entry) = active.limit(limit) else {
            return Some(TokenGrant { granted: 0.0, share: 0.0, ahead: 0 });
        };
        if claim.is_none() && !self.is_owner(state, limit) {
            return None;
        }
        let (rate, burst) = (entry.rule.rate, entry.rule.burst);
        let now = state.now();
        if let Some(claim) = claim {
            let mut backed_up = self.backed_up.borrow_mut();
            let backup = backed_up
                .entry(limit.to_owned())
                .or_insert_with(|| LimitOwner::with_predecessor(rate, burst, now));
            return Some(backup.answer_as_backup(rate, burst, claim, token_request, now));
        }
        let since = self.eligible.borrow().changed_at;
        let tolerance = state.live().limit_tolerance;
        let mut owned = self.owned.borrow_mut();
        let owner = owned.entry(limit.to_owned()).or_insert_with(|| {
            let facts = start_facts(state);
            let start = facts.owner_start(since);
            let mut owner = match start {
                FleetStart::First => LimitOwner::new(rate, burst, now),
                FleetStart::Restart => LimitOwner::after_restart(rate, burst, &tolerance, since),
                FleetStart::Settled => LimitOwner::with_predecessor(rate, burst, since),
            };
            self.log_owned(limit, &facts, start, owner.available(now));
            owner
        });
        Some(owner.answer(rate, burst, &tolerance, token_request, now))
    }

    /// Logs that this daemon begins to count a limit, and why it holds these tokens.
    fn log_owned(&self, limit: &str, facts: &StartFacts, start: FleetStart, tokens: f64) {
        fleet::LimitOwned {
            limit,
            start: start.name(),
            age_ms: facts.age.as_millis() as u64,
            rows_read: facts.has_read_table,
            earlier_start: facts.had_earlier_start,
            others_lead_ms: facts.others_lead.as_millis() as u64,
            eligible: self.eligible.borrow().hosts.len() as u64,
            tokens,
        }
        .log();
    }
}

/// Returns how the fleet started. The row of this daemon's host shows whether the daemon had started
/// before.
pub fn fleet_start(state: &DaemonState) -> FleetStart {
    start_facts(state).fleet_start()
}

fn start_facts(state: &DaemonState) -> StartFacts {
    let own_incarnation = state.identity.incarnation;
    let first_incarnation = state.roster.first_incarnation().unwrap_or(own_incarnation);
    let others_lead_ms = own_incarnation.saturating_sub(first_incarnation).max(0) as u64;
    StartFacts {
        age: state.now(),
        has_read_table: state.rows.has_read_table(),
        had_earlier_start: state.roster.had_earlier_start(),
        others_lead: Duration::from_millis(others_lead_ms),
    }
}

/// Returns the hosts whose daemons may own limits: the live and reachable daemons, and if any of
/// them started at least [`OWNER_AGE_MIN`] ago, only those.
///
/// A daemon that itself restarted a moment ago knows the start times of other daemons only from
/// their rows. If all daemons were killed at once, those rows describe earlier incarnations. A
/// daemon that restarted a moment ago therefore ignores start times.
fn eligible_hosts(state: &DaemonState) -> Vec<String> {
    let started_by = units::wall_millis() as i64 - OWNER_AGE_MIN.as_millis() as i64;
    let now = state.now();
    let own_host = &state.options.host;
    let mut hosts = state.members.live_hosts(state);
    hosts.retain(|host| host == own_host || !state.peers.path(host).is_lost(now));
    let is_old_enough = |host: &String| match host == own_host {
        true => state.identity.incarnation <= started_by,
        false => state.members.incarnation(host) <= started_by,
    };
    if hosts.iter().any(is_old_enough) && fleet_start(state) != FleetStart::Restart {
        hosts.retain(is_old_enough);
    }
    hosts
}

/// Checks whether the owner of a limit is reachable, after a peer asked this daemon as the owner:
/// the peer may already know that the actual owner is unreachable.
fn check_owner(state: &Rc<DaemonState>, limit: &str) {
    let Some(owner) = state.limits.owned.assignment(state, limit).owner else { return };
    let path = state.peers.path(&owner);
    if path.is_self || path.link().is_some() {
        return;
    }
    let state = state.clone();
    monoio::spawn(async move {
        // A link that can't be established is recorded as a failure of its path.
        let _ = links::link_to(&state, &path).await;
    });
}

/// Answers a peer that asks this daemon for tokens as the owner or the backup of a limit.
pub fn answer_request(
    state: &Rc<DaemonState>,
    sender: &FrameSender,
    requester: &str,
    request: &GrantRequest,
) {
    let spent = request.spent.map_or(0.0, |spent| spent.0);
    let token_request = TokenRequest { requester, wanted: request.wanted.0, spent };
    let claim = request.claim.map(|claim| claim.0);
    let Some(answer) = state.limits.owned.answer(state, &request.limit, claim, &token_request)
    else {
        return check_owner(state, &request.limit);
    };
    if claim.is_some() {
        ingress_limits::report_backup_grant(state, &request.limit, answer.granted);
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
