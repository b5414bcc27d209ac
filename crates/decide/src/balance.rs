// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Load balancing: an ingress chooses the upstream of each request.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::floor::{self, CapacityEntry, FloorPlan};
use crate::health::{self, HealthReport};
use crate::server_rate::{KnownRate, RateReport};

pub mod reservations;

/// Time constant with which a load report decays towards the assumed load, and the age up to which
/// the report counts as fresh: within this time, many requests start and end at an upstream.
const LOAD_REPORT_LIFE: Duration = Duration::from_secs(1);
/// Load, as a share of the slots, from which upstreams in other failure domains are considered too.
const LOCAL_LOAD_MAX: f64 = 0.95;
/// Load, as a share of the slots, up to which a request queues at an upstream that is not a
/// suspect. Above this load, the request may go to an upstream whose circuit breaker is open, and
/// may hang. At a load of 3, two service rounds are queued.
const QUEUE_LOAD_MAX: f64 = 3.0;
/// Share of an upstream's queue from which the queue counts as full for repeatable requests:
/// requests of other ingresses take the last places before a request that is sent now arrives.
const QUEUE_SHARE_MAX: f64 = 0.9;
/// Factor on the cost of an upstream in another failure domain, as the round trip between failure
/// domains takes 3 ms.
const REMOTE_COST_FACTOR: f64 = 1.1;
/// Load that is assumed of an upstream without a recent report, as a share of its slots.
const ASSUMED_LOAD: f64 = 0.3;
/// Service time that is assumed of an upstream that has reported none.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Lower bound of the slots that a rate limit keeps busy, so that a load can be compared with them.
const USABLE_SLOTS_MIN: f64 = 0.02;
/// Lower bound of the ratio of an upstream's service time to that of its siblings: an upstream
/// sends errors sooner than real answers, and its errors must not attract traffic.
const TIME_RATIO_MIN: f64 = 0.8;
/// Upper bound of the ratio of service times, so that a slow but healthy upstream still gets
/// requests.
const TIME_RATIO_MAX: f64 = 5.0;
/// Upstreams drawn and compared for one choice (M. Mitzenmacher, "The power of two choices", 2001).
const DRAWN_UPSTREAMS: usize = 2;
/// Factor on the cost of a suspect: a suspect is preferred to another upstream only if the other
/// one is this many times as loaded. So a suspect gets only requests that the others have no room
/// for.
const SUSPECT_COST_FACTOR: f64 = 10.0;
/// Age up to which a report of an open circuit breaker is acted on.
const OPEN_BREAKER_REPORT_LIFE: Duration = Duration::from_secs(5);
/// Age up to which a report, or an attempt that outlasted its hedging delay, makes an upstream a
/// suspect. An upstream whose evidence is older is tried again.
const SUSPECT_LIFE: Duration = Duration::from_millis(1500);
/// Age from which a report is left out of the median anomaly score, which shows changes that all
/// upstreams share.
const SCORE_REPORT_LIFE: Duration = Duration::from_secs(30);
/// Age up to which an upstream counts as ejected by its last report. An upstream that has sent no
/// newer report by that age is tried again.
const EJECTION_REPORT_LIFE: Duration = Duration::from_secs(90);

/// One choice in this many may go to an upstream without a recent report, so that the ingress can
/// compare its preferred upstreams with others: in a small service, the failure domain of the
/// ingress holds fewer upstreams than a baseline needs.
const EXPLORE_EVERY: u32 = 10;
/// Fresh reports that are enough for a comparison.
const FRESH_REPORTS_WANTED: usize = 4;
/// Age from which a report is worth renewing by exploration.
const EXPLORE_REPORT_AGE: Duration = Duration::from_secs(2);

/// `LoadView` is what an ingress knows of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Slots of the upstream.
    pub slots: u32,
    /// Whether the upstream is in the failure domain of the ingress.
    pub is_local: bool,
    /// Whether the upstream's daemon can be reached.
    pub reachable: bool,
    /// Whether the link to the upstream's daemon is up again after a cut, but no probe has been
    /// answered since.
    pub proving: bool,
    /// Whether the upstream is draining, by the configuration or by what its daemon or host
    /// reported.
    pub draining: bool,
    /// Requests of this ingress that are in flight at the upstream.
    pub own_in_flight: u32,
    /// Requests in the slots and the queue of the upstream, by the last report.
    pub load: u32,
    /// Health of the upstream in the last report.
    pub health: Option<HealthReport>,
    /// When the last report arrived.
    pub reported_at: Duration,
    /// When the hedging delay of an attempt at the upstream last ran out without an answer.
    pub hedge_due_at: Option<Duration>,
    /// Rate limit of the upstream, by the last report that said anything about it.
    pub rate: KnownRate,
    /// When the rate limit allows the next request, by that report.
    pub turn_at: Duration,
}

impl LoadView {
    /// Builds the view of an upstream that has not reported yet.
    pub fn new(slots: u32, is_local: bool) -> Self {
        Self {
            slots,
            is_local,
            reachable: true,
            proving: false,
            draining: false,
            own_in_flight: 0,
            load: 0,
            health: None,
            reported_at: Duration::ZERO,
            hedge_due_at: None,
            rate: KnownRate::Unknown,
            turn_at: Duration::ZERO,
        }
    }

    /// Returns the anomaly score of an upstream that recently reported its ejection, 0 for others.
    fn ejected_score(&self, now: Duration) -> f64 {
        let fresh = now.saturating_sub(self.reported_at) < EJECTION_REPORT_LIFE;
        let ejected = self.health.filter(|health| fresh && health.ejected);
        ejected.map_or(0.0, |health| health.sickness.max(1.0))
    }

    /// Returns the typical service time of the upstream, or [`ASSUMED_SERVICE_TIME`] if none is
    /// reported.
    fn service_time(&self) -> Duration {
        let health = self.health.filter(|health| health.samples > 0);
        health.map_or(ASSUMED_SERVICE_TIME, |health| {
            Duration::from_micros(health.median_ln.exp() as u64)
        })
    }

    /// Returns the number of requests that the upstream can run at once: its slots, or fewer if its
    /// rate limit does not keep all slots busy.
    pub fn usable_slots(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let busy_slots =
            self.rate.per_second().map(|rate| rate * self.service_time().as_secs_f64());
        busy_slots.map_or(slots, |busy_slots| busy_slots.clamp(USABLE_SLOTS_MIN, slots))
    }

    /// Says whether the rate limit of the upstream allows a request.
    fn has_turn(&self, now: Duration) -> bool {
        now >= self.turn_at
    }

    /// Returns the load that stands for the wait until the rate limit allows a request: all slots,
    /// plus the wait in service rounds; zero if the limit allows a request.
    fn turn_load(&self, now: Duration) -> f64 {
        let wait = self.turn_at.saturating_sub(now);
        if wait.is_zero() {
            return 0.0;
        }
        1.0 + wait.as_secs_f64() / self.service_time().as_secs_f64().max(f64::EPSILON)
    }

    /// Estimates the share of the slots in use at `now`.
    fn load_share(&self, now: Duration) -> f64 {
        let slots = self.usable_slots();
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = (-age / LOAD_REPORT_LIFE.as_secs_f64()).exp();
        let reported = f64::from(self.load) / slots;
        let estimate = if self.health.is_some() {
            reported * weight + ASSUMED_LOAD * (1.0 - weight)
        } else {
            ASSUMED_LOAD
        };
        estimate.max(f64::from(self.own_in_flight) / slots).max(self.turn_load(now))
    }

    /// Returns how many service rounds a new request would wait for by the last report: those for
    /// which it waits for a slot, if the report is fresh, or for its turn under the rate limit.
    pub fn queued_rounds(&self, now: Duration) -> f64 {
        let fresh = now.saturating_sub(self.reported_at) < LOAD_REPORT_LIFE;
        let slot_rounds = if fresh { f64::from(self.load) / self.usable_slots() } else { 0.0 };
        slot_rounds + self.turn_load(now)
    }

    /// Returns the upstream's median service time as a multiple of the service's median.
    fn time_ratio(&self, median_ln: f64) -> f64 {
        match &self.health {
            Some(health) if health.samples > 0 => (health.median_ln - median_ln).exp(),
            _ => 1.0,
        }
    }

    fn cost(&self, terms: &ChoiceTerms, median_ln: f64) -> f64 {
        let suspect_factor = if self.is_suspect(terms) { SUSPECT_COST_FACTOR } else { 1.0 };
        self.load_cost(terms.now, median_ln) * suspect_factor
    }

    /// Returns the cost by load, service time and distance alone, without the factor for suspects.
    fn load_cost(&self, now: Duration, median_ln: f64) -> f64 {
        let busy = self.load_share(now) + 1.0 / self.usable_slots();
        let health = match &self.health {
            Some(health) => health,
            None => return busy,
        };
        let time = self.time_ratio(median_ln).clamp(TIME_RATIO_MIN, TIME_RATIO_MAX);
        let distance = if self.is_local { 1.0 } else { REMOTE_COST_FACTOR };
        busy * time * distance / self.ramp(now, health)
    }

    /// Says whether the upstream is a suspect, for one of three reasons:
    ///
    /// - by a recent report, the anomaly score of the upstream is at the threshold or above: the
    ///   upstream is ejected only after it has stood out for a while;
    /// - by a recent report, the circuit breaker of the upstream is open;
    /// - an attempt at the upstream outlasted its hedging delay, and no report of the upstream has
    ///   arrived after that.
    ///
    /// Until the daemon of a suspect has decided whether to eject the suspect, callers and the
    /// retry budget are spared its failures. A suspect stays in service, so that no capacity is
    /// lost.
    fn is_suspect(&self, terms: &ChoiceTerms) -> bool {
        let ChoiceTerms { now, suspect_threshold: threshold, repeatable } = *terms;
        let is_unresponsive = self
            .hedge_due_at
            .is_some_and(|at| at >= self.reported_at && now.saturating_sub(at) < SUSPECT_LIFE);
        let is_recent = now.saturating_sub(self.reported_at) < SUSPECT_LIFE;
        let looks_unhealthy = |health: HealthReport| {
            // Once a trial is due, a repeatable request tests whether the upstream works again.
            let is_trial_due = repeatable && now >= self.reported_at + health.trial_in;
            health.sickness >= threshold || health.doubtful && !is_trial_due
        };
        is_unresponsive || is_recent && self.health.is_some_and(looks_unhealthy)
    }

    fn ramp(&self, now: Duration, health: &HealthReport) -> f64 {
        // The ramp advances between reports.
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        (health.ramp + age / crate::recovery::RAMP_TIME.as_secs_f64()).min(1.0)
    }
}

/// `ChoiceRequest` holds what the choice of an upstream needs to know about a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceRequest<'a> {
    /// Upstreams that must not be chosen: the request was already sent to them, or their daemons
    /// declined the request because the circuit breakers are open.
    pub excluded: &'a [usize],
    /// Upstreams that just declined the request as full: they are chosen only to queue the request.
    pub full: &'a [usize],
    /// Whether the request is repeatable, so that it may be the trial of an upstream that is
    /// ejected or whose circuit breaker is open.
    pub repeatable: bool,
    /// Whether the upstream must not refuse the request for its ejection.
    pub must_take: bool,
    /// Whether the chosen upstream will not be able to decline the request. If so, an upstream that
    /// just declined the request as full, and is no suspect, is preferred to an upstream of which
    /// nothing is known.
    pub is_last: bool,
    /// Service rounds for which the request waits in the failure domain of the ingress rather than
    /// send its bytes to another domain.
    pub local_wait_rounds: f64,
}

impl ChoiceRequest<'_> {
    fn is_first_attempt(&self) -> bool {
        !self.must_take && self.excluded.is_empty() && self.full.is_empty()
    }

    fn may_choose(&self, index: usize) -> bool {
        !self.excluded.contains(&index) && !self.full.contains(&index)
    }
}

/// `ChoiceTerms` holds the inputs of one choice that do not depend on the upstream.
#[derive(Debug, Clone, Copy)]
struct ChoiceTerms {
    now: Duration,
    suspect_threshold: f64,
    /// Whether the request may run more than once.
    repeatable: bool,
}

/// `ChoiceGround` is the criterion by which an upstream was eligible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceGround {
    /// The upstream is ejected or its circuit breaker is open, and a repeatable request tests
    /// whether it works again.
    Trial,
    /// Too few upstreams have reported recently for a comparison, and the chosen upstream has not
    /// reported either.
    Explore,
    /// The upstream is in the failure domain of the ingress, not a suspect and not loaded.
    Near,
    /// The upstream is not a suspect and has a free slot.
    Sound,
    /// The upstream is not a suspect, and the request queues at the upstream, as all upstreams that
    /// are no suspects are full.
    Waiting,
    /// The upstream is a suspect, but has idle slots, and all other upstreams would refuse the
    /// request.
    Idle,
    /// The upstream is in service, and no upstream meets a better criterion.
    Any,
    /// No upstream is in service, and the link to the chosen one is up again after a cut.
    Proving,
}

impl ChoiceGround {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Explore => "explore",
            Self::Near => "near",
            Self::Sound => "sound",
            Self::Waiting => "waiting",
            Self::Idle => "idle",
            Self::Any => "any",
            Self::Proving => "proving",
        }
    }
}

/// `RivalUpstream` is the upstream that the chosen upstream was compared with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RivalUpstream {
    /// Position of the upstream.
    pub index: usize,
    /// Cost of the upstream, which is not lower than that of the chosen one.
    pub cost: f64,
}

/// `UpstreamChoice` is the upstream chosen for a request, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamChoice {
    /// Position of the upstream.
    pub index: usize,
    /// Whether the upstream may refuse the request, since other upstreams can serve the request
    /// within the floor.
    pub refusable: bool,
    /// Why the upstream was eligible.
    pub ground: ChoiceGround,
    /// Cost of the upstream by load, service time, distance and whether it is a suspect.
    pub cost: f64,
    /// The upstream that the chosen one was compared with, if two different ones were drawn.
    pub rival: Option<RivalUpstream>,
    /// Number of upstreams that met the criterion `ground`.
    pub eligible: usize,
    /// Age of the report behind the cost, if there is one.
    pub report_age: Option<Duration>,
}

/// `DrawnUpstream` is the upstream of least cost among the upstreams that were drawn.
#[derive(Debug, Clone, Copy)]
struct DrawnUpstream {
    index: usize,
    cost: f64,
    rival: Option<RivalUpstream>,
    eligible: usize,
}

/// `ServiceView` is what an ingress knows of one service.
#[derive(Debug, Clone)]
pub struct ServiceView {
    floor: f64,
    /// Requests that may queue for the slots of an upstream.
    queue: u32,
    upstreams: Vec<LoadView>,
    plan: FloorPlan,
    median_ln: f64,
    is_plan_stale: bool,
    planned_at: Duration,
    violations: u64,
    choices: u32,
    /// Buffer for the positions of eligible upstreams, reused so that a choice allocates nothing.
    candidates: Vec<usize>,
    /// Buffer for the values of a median, reused so that computing the median allocates nothing.
    values: Vec<f64>,
}

/// Age from which the plan is recomputed even without new reports, as old reports expire.
const FLOOR_PLAN_LIFE: Duration = Duration::from_secs(1);

impl ServiceView {
    /// Builds the view of a service; the upstreams are sorted by name.
    pub fn new(floor: f64, upstreams: Vec<LoadView>) -> Self {
        Self {
            floor,
            queue: u32::MAX,
            upstreams,
            plan: FloorPlan::default(),
            median_ln: 0.0,
            is_plan_stale: true,
            planned_at: Duration::ZERO,
            violations: 0,
            choices: 0,
            candidates: Vec::new(),
            values: Vec::new(),
        }
    }

    /// Sets how many requests may queue for the slots of an upstream; unbounded by default.
    pub fn with_queue(self, queue: u32) -> Self {
        Self { queue, ..self }
    }

    /// Returns the number of upstreams that are not in `excluded`, are in service and whose rate limit
    /// allows a request.
    pub fn count_others(&self, excluded: &[usize], now: Duration) -> usize {
        let others = (0..self.upstreams.len()).filter(|index| !excluded.contains(index));
        let may_serve =
            |index: usize| self.in_service(index) && self.upstreams[index].has_turn(now);
        others.filter(|index| may_serve(*index)).count()
    }

    /// Says whether an upstream is in the failure domain of the ingress.
    pub fn is_local(&self, index: usize) -> bool {
        self.upstreams.get(index).is_some_and(|view| view.is_local)
    }

    /// Says whether an upstream last reported that it is ejected.
    pub fn is_ejected(&self, index: usize) -> bool {
        let health = self.upstreams.get(index).and_then(|view| view.health);
        health.is_some_and(|health| health.ejected)
    }

    /// Says whether an upstream last reported that it is ejected or that its circuit breaker is
    /// open.
    pub fn is_ejected_or_breaker_open(&self, index: usize) -> bool {
        let health = self.upstreams.get(index).and_then(|view| view.health);
        health.is_some_and(|health| health.ejected || health.doubtful)
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> &[LoadView] {
        &self.upstreams
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> &FloorPlan {
        &self.plan
    }

    /// Returns how often a plan violated the floor. The count must stay 0.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Records a report of an upstream.
    pub fn note_report(&mut self, index: usize, load: u32, health: HealthReport, now: Duration) {
        let view = match self.upstreams.get_mut(index) {
            Some(view) => view,
            None => return,
        };
        let was_ejected = view.health.is_some_and(|health| health.ejected);
        self.is_plan_stale |= was_ejected || health.ejected;
        view.load = load;
        view.health = Some(health);
        view.reported_at = now;
    }

    /// Records the rate limit of an upstream. A daemon that was restarted and has heard nothing of
    /// the limit does not end it.
    pub fn note_rate(&mut self, index: usize, report: &RateReport, now: Duration) {
        let view = match self.upstreams.get_mut(index) {
            Some(view) if report.known != KnownRate::Unknown => view,
            _ => return,
        };
        self.is_plan_stale |= view.rate.per_second() != report.known.per_second();
        view.rate = report.known;
        view.turn_at = now + report.turn_in;
    }

    /// Returns the rate limit of an upstream.
    pub fn rate(&self, index: usize) -> KnownRate {
        self.upstreams.get(index).map_or(KnownRate::Unknown, |view| view.rate)
    }

    /// Records whether an upstream is draining.
    pub fn note_draining(&mut self, index: usize, draining: bool) {
        if let Some(view) = self.upstreams.get_mut(index) {
            self.is_plan_stale |= view.draining != draining;
            view.draining = draining;
        }
    }

    /// Records whether an upstream's daemon is reachable; `proving` says whether the link to an
    /// unreachable daemon is up again.
    pub fn note_reachable(&mut self, index: usize, reachable: bool, proving: bool) {
        if let Some(view) = self.upstreams.get_mut(index) {
            self.is_plan_stale |= view.reachable != reachable;
            view.reachable = reachable;
            view.proving = proving && !reachable;
        }
    }

    /// Records that a request was sent to an upstream.
    pub fn note_sent(&mut self, index: usize) {
        if let Some(view) = self.upstreams.get_mut(index) {
            view.own_in_flight += 1;
        }
    }

    /// Records that an attempt at an upstream outlasted its hedging delay.
    pub fn note_hedge_due(&mut self, index: usize, now: Duration) {
        if let Some(view) = self.upstreams.get_mut(index) {
            view.hedge_due_at = Some(now);
        }
    }

    /// Records that a request to an upstream has ended.
    pub fn note_ended(&mut self, index: usize) {
        if let Some(view) = self.upstreams.get_mut(index) {
            view.own_in_flight = view.own_in_flight.saturating_sub(1);
        }
    }

    /// Returns the median anomaly score of the upstreams with a recent report.
    pub fn median_score(&self, now: Duration) -> f64 {
        self.median_score_in(now, &mut Vec::new())
    }

    /// Computes the median anomaly score with `values` as the buffer.
    fn median_score_in(&self, now: Duration, values: &mut Vec<f64>) -> f64 {
        values.clear();
        let recent = |view: &&LoadView| now.saturating_sub(view.reported_at) < SCORE_REPORT_LIFE;
        let reported = self.upstreams.iter().filter(recent);
        values.extend(reported.filter_map(|view| view.health.map(|health| health.sickness)));
        if values.is_empty() {
            return 0.0;
        }
        let middle = (values.len() - 1) / 2;
        let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Records the median service time over the upstreams, as the natural logarithm of µs.
    pub fn note_median(&mut self, median_ln: f64) {
        self.median_ln = median_ln;
    }

    fn refresh(&mut self, now: Duration) {
        if !self.is_plan_stale && now.saturating_sub(self.planned_at) < FLOOR_PLAN_LIFE {
            return;
        }
        let entries: Vec<CapacityEntry> = self
            .upstreams
            .iter()
            .map(|view| CapacityEntry {
                slots: view.slots,
                usable: view.usable_slots() as u32,
                available: view.reachable && !view.draining,
                score: view.ejected_score(now),
            })
            .collect();
        self.plan = floor::plan(self.floor, &entries);
        self.violations += u64::from(!self.plan.holds());
        self.is_plan_stale = false;
        self.planned_at = now;
    }

    /// Chooses the upstream of a request.
    pub fn choose(
        &mut self,
        now: Duration,
        request: &ChoiceRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<UpstreamChoice> {
        let ChoiceRequest { repeatable, must_take, .. } = *request;
        self.refresh(now);
        if request.is_first_attempt() {
            if let Some(index) = self.due_ejected_trial(now, repeatable) {
                let choice = self.choice_of(index, ChoiceGround::Trial, now);
                return Some(UpstreamChoice { refusable: true, ..choice });
            }
        }
        if repeatable && request.is_first_attempt() {
            if let Some(index) = self.due_breaker_trial(now) {
                return Some(self.choice_of(index, ChoiceGround::Trial, now));
            }
        }
        let terms = ChoiceTerms { now, suspect_threshold: self.suspect_threshold(now), repeatable };
        if request.is_first_attempt() {
            if let Some(index) = self.explore(&terms, rng) {
                return Some(self.choice_of(index, ChoiceGround::Explore, now));
            }
        }
        let mut candidates = std::mem::take(&mut self.candidates);
        let best = self.best(&terms, rng, &mut candidates, request);
        self.candidates = candidates;
        let (ground, drawn) = best?;
        let choice = self.choice_of(drawn.index, ground, now);
        Some(UpstreamChoice {
            refusable: choice.refusable && !must_take,
            cost: drawn.cost,
            rival: drawn.rival,
            eligible: drawn.eligible,
            ..choice
        })
    }

    /// Builds the choice of an upstream without a comparison.
    fn choice_of(&self, index: usize, ground: ChoiceGround, now: Duration) -> UpstreamChoice {
        let view = &self.upstreams[index];
        UpstreamChoice {
            index,
            refusable: self.plan.allows_removal(view.usable_slots() as u32),
            ground,
            cost: view.load_share(now),
            rival: None,
            eligible: 1,
            report_age: view.health.map(|_| now.saturating_sub(view.reported_at)),
        }
    }

    /// Chooses the best upstream by the first of these criteria that any upstream meets:
    ///
    /// - the upstream just declined the request as full, can't decline the request again, and is
    ///   not a suspect;
    /// - the upstream is in the failure domain of the ingress, not a suspect and not loaded;
    /// - the upstream is in the failure domain of the ingress and not a suspect, and the request
    ///   queues for no more service rounds than the request's bytes are worth;
    /// - the upstream is not a suspect and has a free slot;
    /// - the upstream is not a suspect, and the request queues: a request is served sooner behind
    ///   others at a healthy upstream than at one that hangs;
    /// - the upstream is a suspect with idle slots, and the request is repeatable and would be
    ///   refused by all other upstreams;
    /// - the upstream is in service;
    /// - the link to the upstream's daemon is up again after a cut.
    fn best(
        &self,
        terms: &ChoiceTerms,
        rng: &mut impl Rng,
        candidates: &mut Vec<usize>,
        request: &ChoiceRequest<'_>,
    ) -> Option<(ChoiceGround, DrawnUpstream)> {
        let load = |view: &LoadView| view.load_share(terms.now);
        let has_room = |view: &LoadView| !terms.repeatable || self.has_queue_room(view, terms.now);
        let may_send = |index: usize| self.in_service(index) && request.may_choose(index);
        let is_eligible =
            |index: usize, view: &LoadView| may_send(index) && !view.is_suspect(terms);
        let is_known_full = |index: usize, view: &LoadView| {
            let is_known = request.is_last
                && request.full.contains(&index)
                && !request.excluded.contains(&index);
            is_known && self.in_service(index) && !view.is_suspect(terms) && has_room(view)
        };
        if let Some(drawn) = self.draw(terms, rng, candidates, is_known_full) {
            return Some((ChoiceGround::Waiting, drawn));
        }
        let is_near = |index: usize, view: &LoadView| {
            view.is_local && is_eligible(index, view) && load(view) < LOCAL_LOAD_MAX
        };
        if let Some(drawn) = self.draw(terms, rng, candidates, is_near) {
            return Some((ChoiceGround::Near, drawn));
        }
        let is_local_queue = |index: usize, view: &LoadView| {
            let is_healthy = view.is_local && !view.is_suspect(terms) && has_room(view);
            let in_service = self.in_service(index) && !request.excluded.contains(&index);
            is_healthy && in_service && load(view) < 1.0 + request.local_wait_rounds
        };
        let waits_locally = request.local_wait_rounds > 0.0;
        if let Some(drawn) =
            waits_locally.then(|| self.draw(terms, rng, candidates, is_local_queue)).flatten()
        {
            return Some((ChoiceGround::Waiting, drawn));
        }
        let has_free_slot =
            |index: usize, view: &LoadView| is_eligible(index, view) && load(view) < 1.0;
        if let Some(drawn) = self.draw(terms, rng, candidates, has_free_slot) {
            return Some((ChoiceGround::Sound, drawn));
        }
        let is_healthy_in_service = |index: usize, view: &LoadView| {
            let in_service = self.in_service(index) && !request.excluded.contains(&index);
            in_service && !view.is_suspect(terms) && has_room(view)
        };
        let may_queue = |index: usize, view: &LoadView| {
            is_healthy_in_service(index, view) && load(view) < QUEUE_LOAD_MAX
        };
        if let Some(drawn) = self.draw(terms, rng, candidates, may_queue) {
            return Some((ChoiceGround::Waiting, drawn));
        }
        let views = || self.upstreams.iter().enumerate();
        let is_refused =
            terms.repeatable && !views().any(|(index, view)| is_healthy_in_service(index, view));
        let has_idle_slot =
            |index: usize, view: &LoadView| is_refused && may_send(index) && load(view) < 1.0;
        if let Some(drawn) = self.draw(terms, rng, candidates, has_idle_slot) {
            return Some((ChoiceGround::Idle, drawn));
        }
        let is_in_service = |index: usize, _: &LoadView| {
            self.in_service(index) && !request.excluded.contains(&index)
        };
        // A request that waits for its turn under a rate limit is served later than one that waits
        // for a slot.
        let has_turn =
            |index: usize, view: &LoadView| is_in_service(index, view) && view.has_turn(terms.now);
        if let Some(drawn) = self.draw(terms, rng, candidates, has_turn) {
            return Some((ChoiceGround::Any, drawn));
        }
        if let Some(drawn) = self.draw(terms, rng, candidates, is_in_service) {
            return Some((ChoiceGround::Any, drawn));
        }
        let is_proving = |index: usize, view: &LoadView| {
            view.proving
                && !view.draining
                && !self.plan.avoided[index]
                && !request.excluded.contains(&index)
        };
        let drawn = self.draw(terms, rng, candidates, is_proving)?;
        Some((ChoiceGround::Proving, drawn))
    }

    /// Says whether a request would find room in an upstream's queue. A refused request is lost for
    /// certain, so a repeatable one goes to a suspect with idle slots, which serves a part of its
    /// requests, rather than to an upstream without room.
    fn has_queue_room(&self, view: &LoadView, now: Duration) -> bool {
        let queue_rounds = f64::from(self.queue) / f64::from(view.slots.max(1));
        view.load_share(now) < 1.0 + QUEUE_SHARE_MAX * queue_rounds
    }

    fn in_service(&self, index: usize) -> bool {
        let view = &self.upstreams[index];
        view.reachable && !view.draining && !self.plan.avoided[index]
    }

    /// Draws, in a fraction of the choices, an upstream whose last report is old, so that the
    /// answer of the upstream brings a new report.
    fn explore(&mut self, terms: &ChoiceTerms, rng: &mut impl Rng) -> Option<usize> {
        let now = terms.now;
        self.choices = self.choices.wrapping_add(1);
        if !self.choices.is_multiple_of(EXPLORE_EVERY) || self.upstreams.is_empty() {
            return None;
        }
        let is_fresh = |view: &&LoadView| now.saturating_sub(view.reported_at) < EXPLORE_REPORT_AGE;
        if self.upstreams.iter().filter(is_fresh).count() >= FRESH_REPORTS_WANTED {
            return None;
        }
        let drawn = (0..DRAWN_UPSTREAMS).map(|_| rng.random_range(0..self.upstreams.len()));
        let oldest = drawn.min_by_key(|index| self.upstreams[*index].reported_at)?;
        let view = &self.upstreams[oldest];
        // An upstream with an unanswered request has received requests. Its report is old because
        // the answer is missing, so another request would bring no report either.
        let is_old =
            view.own_in_flight == 0 && now.saturating_sub(view.reported_at) >= EXPLORE_REPORT_AGE;
        let is_ramping = view.health.is_some_and(|health| view.ramp(now, &health) < 1.0);
        let is_candidate =
            self.in_service(oldest) && !is_ramping && !view.is_suspect(terms) && view.has_turn(now);
        (is_old && is_candidate).then_some(oldest)
    }

    /// Finds an upstream in the failure domain of the ingress whose circuit breaker is open and
    /// whose trial is due. An upstream that works again must not wait long for a trial, or too
    /// few upstreams of a service would get requests.
    fn due_breaker_trial(&self, now: Duration) -> Option<usize> {
        self.oldest_report(|index, view| {
            let age = now.saturating_sub(view.reported_at);
            let is_due = |health: HealthReport| health.doubtful && age >= health.trial_in;
            let is_free = view.own_in_flight == 0 && view.has_turn(now);
            let fits = view.is_local && is_free && age < OPEN_BREAKER_REPORT_LIFE;
            fits && self.in_service(index) && view.health.is_some_and(is_due)
        })
    }

    fn due_ejected_trial(&self, now: Duration, repeatable: bool) -> Option<usize> {
        if !repeatable || self.plan.avoided.iter().all(|avoided| !avoided) {
            return None;
        }
        self.oldest_report(|index, view| {
            let trial_in = view.health.map_or(Duration::ZERO, |health| health.trial_in);
            self.plan.avoided[index]
                && view.own_in_flight == 0
                && view.has_turn(now)
                && now >= view.reported_at + trial_in
        })
    }

    /// Finds the eligible upstream whose last report is the oldest. After an inconclusive trial,
    /// the next trial of the same upstream is due at once, and must not delay those of other
    /// upstreams.
    fn oldest_report(&self, is_eligible: impl Fn(usize, &LoadView) -> bool) -> Option<usize> {
        let views = self.upstreams.iter().enumerate();
        let eligible = views.filter(|(index, view)| is_eligible(*index, view));
        eligible.min_by_key(|(_, view)| view.reported_at).map(|(index, _)| index)
    }

    /// Returns the anomaly score from which an upstream stands out from its siblings. The
    /// upstream's daemon uses the same bound.
    fn suspect_threshold(&mut self, now: Duration) -> f64 {
        let is_anomalous =
            |view: &LoadView| view.health.is_some_and(|health| health.sickness >= 1.0);
        if !self.upstreams.iter().any(is_anomalous) {
            return f64::INFINITY;
        }
        let mut values = std::mem::take(&mut self.values);
        let median = self.median_score_in(now, &mut values);
        self.values = values;
        health::score_bound(median)
    }

    /// Draws a few of the eligible upstreams and returns the one of least cost.
    fn draw(
        &self,
        terms: &ChoiceTerms,
        rng: &mut impl Rng,
        candidates: &mut Vec<usize>,
        eligible: impl Fn(usize, &LoadView) -> bool,
    ) -> Option<DrawnUpstream> {
        candidates.clear();
        let views = self.upstreams.iter().enumerate();
        candidates
            .extend(views.filter(|(index, view)| eligible(*index, view)).map(|(index, _)| index));
        if candidates.is_empty() {
            return None;
        }
        let mut best: Option<DrawnUpstream> = None;
        for _ in 0..DRAWN_UPSTREAMS {
            let index = candidates[rng.random_range(0..candidates.len())];
            let cost = self.upstreams[index].cost(terms, self.median_ln);
            let eligible = candidates.len();
            best = Some(match best {
                None => DrawnUpstream { index, cost, rival: None, eligible },
                Some(least) if index == least.index => least,
                Some(least) if cost < least.cost => {
                    let rival = Some(RivalUpstream { index: least.index, cost: least.cost });
                    DrawnUpstream { index, cost, rival, eligible }
                }
                Some(least) => {
                    DrawnUpstream { rival: Some(RivalUpstream { index, cost }), ..least }
                }
            });
        }
        best
    }
}
