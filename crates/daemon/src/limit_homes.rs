// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Who counts a limit for the whole fleet, and this daemon's answers as the home or the deputy of limits.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_decide::grants::{GrantAnswer, GrantQuestion, LimitHome};
use basaltarch_decide::limits::{self, GRANT_LIFE};
use basaltarch_peer::frames::FrameSender;
use basaltarch_peer::link::NO_EXCHANGE;
use basaltarch_peer::protocol::{FrameBody, GrantReply, GrantRequest};
use fnv::FnvHashMap;
use thrift::OrderedFloat;

use crate::state::DaemonState;

/// Time after the start in which a daemon is the first home of a limit: a fleet that starts must not refuse.
const HOME_SETTLE: Duration = Duration::from_secs(3);
/// Time for which a look at who is there counts: homes move when a daemon leaves or has been silent for seconds.
const LIVE_FOR: Duration = Duration::from_millis(200);

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
    homes: RefCell<FnvHashMap<String, LimitHome>>,
    deputies: RefCell<FnvHashMap<String, LimitHome>>,
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
        let home = limits::home_of(limit, hosts());
        let deputy = home.and_then(|home| limits::deputy_of(limit, home, hosts()));
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
        let hosts = state.members.live_hosts(state);
        if live.number == 0 || hosts != live.hosts {
            // Who was there before the first look is not known: it counts from this daemon's start.
            live.changed_at = if live.number == 0 { Duration::ZERO } else { now };
            live.number += 1;
            live.hosts = hosts;
        }
    }

    /// Answers as the home of a limit, or as its deputy for who claims a part.
    pub fn answer(
        &self,
        state: &DaemonState,
        limit: &str,
        claim: Option<f64>,
        question: &GrantQuestion<'_>,
    ) -> GrantAnswer {
        let active = state.config.active();
        let Some(entry) = active.limit(limit) else {
            return GrantAnswer { granted: 0.0, share: 0.0, ahead: 0 };
        };
        let (rate, burst) = (entry.rule.rate, entry.rule.burst);
        let now = state.now();
        if let Some(claim) = claim {
            let mut deputies = self.deputies.borrow_mut();
            let deputy = deputies
                .entry(limit.to_owned())
                .or_insert_with(|| LimitHome::following(rate, burst, now));
            return deputy.answer_as_deputy(rate, burst, claim, question, now);
        }
        self.look(state);
        let since = self.live.borrow().changed_at;
        let mut homes = self.homes.borrow_mut();
        let home = homes.entry(limit.to_owned()).or_insert_with(|| match now < HOME_SETTLE {
            true => LimitHome::new(rate, burst, now),
            false => LimitHome::following(rate, burst, since),
        });
        home.answer(rate, burst, &state.live().limit_tolerance, question, now)
    }
}

/// Answers a peer that asks this daemon as the home or the deputy of a limit.
pub fn answer_request(
    state: &DaemonState,
    sender: &FrameSender,
    asker: &str,
    request: &GrantRequest,
) {
    let spent = request.spent.map_or(0.0, |spent| spent.0);
    let question = GrantQuestion { asker, wanted: request.wanted.0, spent };
    let claim = request.claim.map(|claim| claim.0);
    let answer = state.limits.homes.answer(state, &request.limit, claim, &question);
    let reply = GrantReply {
        sequence: request.sequence,
        granted: OrderedFloat(answer.granted),
        valid_ms: GRANT_LIFE.as_millis() as i32,
        ahead: (answer.ahead > 0).then_some(answer.ahead as i32),
        share: Some(OrderedFloat(answer.share)),
    };
    let _ = sender.send(NO_EXCHANGE, FrameBody::GrantReply(reply));
}
