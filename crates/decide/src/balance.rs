// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Chooses the upstream of each request at an ingress.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::floor::{self, CapacityEntry, FloorPlan};
use crate::health::{self, HealthReport};

pub mod places;

/// Time over which a report of load loses most of its worth: it was made that many requests ago.
const REPORT_LIFE: Duration = Duration::from_secs(1);
/// Load, in shares of the slots, from which upstreams in other failure domains are asked too.
const LOCAL_LOAD_MAX: f64 = 0.95;
/// Load, in shares of the slots, up to which work waits at a sound upstream rather than go to one that
/// is doubted, where it may hang: two rounds of work wait there.
const WAIT_LOAD_MAX: f64 = 3.0;
/// Share of an upstream's queue from which it counts as full for repeatable work: the last places are
/// taken before work that is sent now gets there.
const QUEUE_SHARE_MAX: f64 = 0.9;
/// What a hop to another failure domain weighs, as a share of a service time; 3 ms there and back.
const REMOTE_WEIGHT: f64 = 1.1;
/// Load that is assumed of an upstream that has not reported lately, in shares of its slots.
const UNKNOWN_LOAD: f64 = 0.3;
/// Least ratio of an upstream's time to its siblings' that counts: errors are quicker than work
/// and must not draw traffic.
const QUICK_MIN: f64 = 0.8;
/// Largest such ratio, so that a slow but healthy upstream still gets its share.
const SLOW_MAX: f64 = 5.0;
/// Upstreams compared for one choice (M. Mitzenmacher, "The power of two choices", 2001).
const CHOICES: usize = 2;
/// Factor on the cost of a suspect: it must be this many times less loaded than another to be chosen
/// before it, so it gets what the others have no room for.
const SUSPECT_FACTOR: f64 = 10.0;
/// Time for which a report that an upstream is doubted is worth acting on.
const DOUBT_LIFE: Duration = Duration::from_secs(5);
/// Time for which a report makes an upstream a suspect; then it is asked again.
const SUSPECT_LIFE: Duration = Duration::from_millis(1500);
/// Age from which a report's sickness says nothing of a shared change.
const SICKNESS_LIFE: Duration = Duration::from_secs(30);
/// Time after which a sick upstream that has said nothing since is asked again.
const SICK_REPORT_LIFE: Duration = Duration::from_secs(90);

/// One choice in this many may go to an upstream that the ingress has not heard of lately, so that it
/// can compare the upstreams it prefers with others: in a small service its own failure domain holds
/// fewer than a baseline needs.
const EXPLORE_EVERY: u32 = 10;
/// Fresh reports that are enough to compare with.
const EXPLORE_WANTED: usize = 4;
/// Age from which a report is worth renewing in this way.
const EXPLORE_AGE: Duration = Duration::from_secs(2);

/// `LoadView` is what an ingress knows of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadView {
    /// Slots of the upstream.
    pub slots: u32,
    /// Whether it is in the ingress's own failure domain.
    pub is_local: bool,
    /// Whether its daemon can be reached.
    pub reachable: bool,
    /// Whether its daemon is linked again after a cut and has not yet answered a question since.
    pub proving: bool,
    /// Whether it is leaving, by anybody's word.
    pub draining: bool,
    /// Requests of this ingress that it works on.
    pub own: u32,
    /// Requests in its slots and queue at the last report.
    pub load: u32,
    /// Last report of its health.
    pub health: Option<HealthReport>,
    /// When that report came.
    pub reported_at: Duration,
    /// When an attempt there was last found late.
    pub late_at: Option<Duration>,
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
            own: 0,
            load: 0,
            health: None,
            reported_at: Duration::ZERO,
            late_at: None,
        }
    }

    /// Returns the sickness of an upstream that lately said it is ejected, 0 for others.
    fn ejected_sickness(&self, now: Duration) -> f64 {
        let fresh = now.saturating_sub(self.reported_at) < SICK_REPORT_LIFE;
        let ejected = self.health.filter(|health| fresh && health.ejected);
        ejected.map_or(0.0, |health| health.sickness.max(1.0))
    }

    /// Estimates the share of the slots in use at `now`.
    fn load_share(&self, now: Duration) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let worth = (-age / REPORT_LIFE.as_secs_f64()).exp();
        let known = f64::from(self.load) / slots;
        let estimate = if self.health.is_some() {
            known * worth + UNKNOWN_LOAD * (1.0 - worth)
        } else {
            UNKNOWN_LOAD
        };
        estimate.max(f64::from(self.own) / slots)
    }

    /// Returns how many rounds of work there are before new work, by the last report if it is fresh.
    pub fn queued_rounds(&self, now: Duration) -> f64 {
        let fresh = now.saturating_sub(self.reported_at) < REPORT_LIFE;
        if !fresh {
            return 0.0;
        }
        f64::from(self.load) / f64::from(self.slots.max(1))
    }

    /// Returns the time that it takes for its work as a multiple of the usual.
    fn time_ratio(&self, median_ln: f64) -> f64 {
        match &self.health {
            Some(health) if health.samples > 0 => (health.median_ln - median_ln).exp(),
            _ => 1.0,
        }
    }

    fn cost(&self, terms: &ChoiceTerms, median_ln: f64) -> f64 {
        let suspicion = if self.is_suspect(terms) { SUSPECT_FACTOR } else { 1.0 };
        self.load_cost(terms.now, median_ln) * suspicion
    }

    /// Returns the cost from load, time and distance alone.
    fn load_cost(&self, now: Duration, median_ln: f64) -> f64 {
        let busy = self.load_share(now) + 1.0 / f64::from(self.slots.max(1));
        let health = match &self.health {
            Some(health) => health,
            None => return busy,
        };
        let time = self.time_ratio(median_ln).clamp(QUICK_MIN, SLOW_MAX);
        let distance = if self.is_local { 1.0 } else { REMOTE_WEIGHT };
        busy * time * distance / self.ramp(now, health)
    }

    /// Says whether the upstream is a suspect: lately it had this sickness, but was not ejected, since
    /// it must stand out for a while first, or an attempt there was late and nothing heard since.
    ///
    /// Passing a suspect over spares callers, and the budget of repeats, what it would get until its
    /// daemon is sure. It takes no capacity out of service.
    fn is_suspect(&self, terms: &ChoiceTerms) -> bool {
        let ChoiceTerms { now, suspect_from: from, repeatable } = *terms;
        let silent = self
            .late_at
            .is_some_and(|at| at >= self.reported_at && now.saturating_sub(at) < SUSPECT_LIFE);
        let fresh = now.saturating_sub(self.reported_at) < SUSPECT_LIFE;
        let sick = |health: HealthReport| {
            // Once it is time, repeatable work finds out whether a doubted upstream works.
            let due = repeatable && now >= self.reported_at + health.trial_in;
            health.sickness >= from || health.doubtful && !due
        };
        silent || fresh && self.health.is_some_and(sick)
    }

    fn ramp(&self, now: Duration, health: &HealthReport) -> f64 {
        // A ramp goes on between reports.
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        (health.ramp + age / crate::recovery::RAMP.as_secs_f64()).min(1.0)
    }
}

/// `ChoiceRequest` asks for the upstream of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceRequest<'a> {
    /// Upstreams that must not be chosen: the request was there, or they doubt themselves.
    pub excluded: &'a [usize],
    /// Upstreams that just said that they are full: chosen only to wait there.
    pub full: &'a [usize],
    /// Whether the work may go to an avoided upstream whose trial is due.
    pub repeatable: bool,
    /// Whether the work goes out not refusable.
    pub must_take: bool,
    /// Whether the upstream can't pass the work on any more: one that just said that it is full, and is
    /// not doubted, is better than one of which nothing is known.
    pub is_last: bool,
    /// Rounds of work for which the request waits in its own failure domain rather than send its bytes across.
    pub near_rounds: f64,
}

impl ChoiceRequest<'_> {
    fn is_first(&self) -> bool {
        !self.must_take && self.excluded.is_empty() && self.full.is_empty()
    }

    fn may_ask(&self, index: usize) -> bool {
        !self.excluded.contains(&index) && !self.full.contains(&index)
    }
}

/// `ChoiceTerms` is what one choice goes by.
#[derive(Debug, Clone, Copy)]
struct ChoiceTerms {
    now: Duration,
    /// Sickness from which an upstream is a suspect.
    suspect_from: f64,
    /// Whether the work may run more than once.
    repeatable: bool,
}

/// `ChoiceGround` says why an upstream was eligible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceGround {
    /// It is out of service, and repeatable work may try whether it works again.
    Trial,
    /// Too little was heard lately to compare upstreams, and of this one nothing.
    Explore,
    /// It is in the ingress's own failure domain, not suspect and not loaded.
    Near,
    /// It is not suspect and has room.
    Sound,
    /// It is not suspect, and as all such are full, the work waits there.
    Waiting,
    /// It has idle slots, though it is a suspect; the sound ones would refuse the work.
    Idle,
    /// It is in service; none is better.
    Any,
    /// None is in service; the way to this one was cut and is linked again.
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

/// `RivalUpstream` is the upstream that a chosen one was compared with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RivalUpstream {
    /// Position of the upstream.
    pub index: usize,
    /// Its cost, which was no less.
    pub cost: f64,
}

/// `UpstreamChoice` is the upstream chosen for a request, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamChoice {
    /// Position of the upstream.
    pub index: usize,
    /// Whether the upstream may refuse, since others can do the work within the floor.
    pub refusable: bool,
    /// Why it was eligible.
    pub ground: ChoiceGround,
    /// Its cost: load, time, distance and suspicion.
    pub cost: f64,
    /// The upstream that it was compared with, if another was drawn.
    pub rival: Option<RivalUpstream>,
    /// Upstreams that were eligible on the same ground.
    pub eligible: usize,
    /// Age of the report that the cost is from, if it has reported.
    pub report_age: Option<Duration>,
}

/// `DrawnUpstream` is the best of a few upstreams that were drawn.
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
    /// Requests that may wait before the slots of an upstream.
    queue: u32,
    upstreams: Vec<LoadView>,
    plan: FloorPlan,
    median_ln: f64,
    stale: bool,
    planned_at: Duration,
    violations: u64,
    choices: u32,
    /// Room for the positions that fit a choice, kept so that a choice allocates nothing.
    fits: Vec<usize>,
    /// Room for the values of a median, kept for the same reason.
    values: Vec<f64>,
}

/// Time after which the plan is made anew even if nothing was heard, as old reports expire.
const PLAN_LIFE: Duration = Duration::from_secs(1);

impl ServiceView {
    /// Builds the view of a service whose upstreams stand in the order of their names.
    pub fn new(floor: f64, upstreams: Vec<LoadView>) -> Self {
        Self {
            floor,
            queue: u32::MAX,
            upstreams,
            plan: FloorPlan::default(),
            median_ln: 0.0,
            stale: true,
            planned_at: Duration::ZERO,
            violations: 0,
            choices: 0,
            fits: Vec::new(),
            values: Vec::new(),
        }
    }

    /// Sets how many requests may wait before the slots of an upstream; by default any number.
    pub fn with_queue(self, queue: u32) -> Self {
        Self { queue, ..self }
    }

    /// Returns the number of upstreams in service that are not in `excluded`.
    pub fn count_others(&self, excluded: &[usize]) -> usize {
        let others = (0..self.upstreams.len()).filter(|index| !excluded.contains(index));
        others.filter(|index| self.in_service(*index)).count()
    }

    /// Says whether an upstream is in the ingress's own failure domain.
    pub fn is_local(&self, index: usize) -> bool {
        self.upstreams.get(index).is_some_and(|view| view.is_local)
    }

    /// Says whether an upstream last said that it is out of service or doubted.
    pub fn is_out(&self, index: usize) -> bool {
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

    /// Returns how often the floor was found broken; it must stay 0.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Takes a report in.
    pub fn note_report(&mut self, index: usize, load: u32, health: HealthReport, now: Duration) {
        let view = match self.upstreams.get_mut(index) {
            Some(view) => view,
            None => return,
        };
        let before = view.health.is_some_and(|health| health.ejected);
        self.stale |= before || health.ejected;
        view.load = load;
        view.health = Some(health);
        view.reported_at = now;
    }

    /// Takes in whether an upstream is leaving.
    pub fn note_draining(&mut self, index: usize, draining: bool) {
        if let Some(view) = self.upstreams.get_mut(index) {
            self.stale |= view.draining != draining;
            view.draining = draining;
        }
    }

    /// Takes in whether an upstream's daemon can be reached, and if not, whether it is linked again.
    pub fn note_reachable(&mut self, index: usize, reachable: bool, proving: bool) {
        if let Some(view) = self.upstreams.get_mut(index) {
            self.stale |= view.reachable != reachable;
            view.reachable = reachable;
            view.proving = proving && !reachable;
        }
    }

    /// Takes in that a request was sent to an upstream.
    pub fn note_sent(&mut self, index: usize) {
        if let Some(view) = self.upstreams.get_mut(index) {
            view.own += 1;
        }
    }

    /// Takes in that an attempt at an upstream is late.
    pub fn note_late(&mut self, index: usize, now: Duration) {
        if let Some(view) = self.upstreams.get_mut(index) {
            view.late_at = Some(now);
        }
    }

    /// Takes in that a request to an upstream is over.
    pub fn note_over(&mut self, index: usize) {
        if let Some(view) = self.upstreams.get_mut(index) {
            view.own = view.own.saturating_sub(1);
        }
    }

    /// Returns the median sickness of the upstreams that reported lately.
    pub fn sickness_median(&self, now: Duration) -> f64 {
        self.median_in(now, &mut Vec::new())
    }

    /// Works the median sickness out in the room that `values` has.
    fn median_in(&self, now: Duration, values: &mut Vec<f64>) -> f64 {
        values.clear();
        let recent = |view: &&LoadView| now.saturating_sub(view.reported_at) < SICKNESS_LIFE;
        let reported = self.upstreams.iter().filter(recent);
        values.extend(reported.filter_map(|view| view.health.map(|health| health.sickness)));
        if values.is_empty() {
            return 0.0;
        }
        let middle = (values.len() - 1) / 2;
        let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Takes in the median service time over the upstreams, as the logarithm of µs.
    pub fn note_median(&mut self, median_ln: f64) {
        self.median_ln = median_ln;
    }

    fn refresh(&mut self, now: Duration) {
        if !self.stale && now.saturating_sub(self.planned_at) < PLAN_LIFE {
            return;
        }
        let entries: Vec<CapacityEntry> = self
            .upstreams
            .iter()
            .map(|view| CapacityEntry {
                slots: view.slots,
                available: view.reachable && !view.draining,
                sickness: view.ejected_sickness(now),
            })
            .collect();
        self.plan = floor::plan(self.floor, &entries);
        self.violations += u64::from(!self.plan.holds());
        self.stale = false;
        self.planned_at = now;
    }

    /// Chooses an upstream.
    pub fn choose(
        &mut self,
        now: Duration,
        request: &ChoiceRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<UpstreamChoice> {
        let ChoiceRequest { repeatable, must_take, .. } = *request;
        self.refresh(now);
        if request.is_first() {
            if let Some(index) = self.due_trial(now, repeatable) {
                let choice = self.alone(index, ChoiceGround::Trial, now);
                return Some(UpstreamChoice { refusable: true, ..choice });
            }
        }
        if repeatable && request.is_first() {
            if let Some(index) = self.due_doubt(now) {
                return Some(self.alone(index, ChoiceGround::Trial, now));
            }
        }
        let terms = ChoiceTerms { now, suspect_from: self.suspect_from(now), repeatable };
        if request.is_first() {
            if let Some(index) = self.explore(&terms, rng) {
                return Some(self.alone(index, ChoiceGround::Explore, now));
            }
        }
        let mut fits = std::mem::take(&mut self.fits);
        let best = self.best(&terms, rng, &mut fits, request);
        self.fits = fits;
        let (ground, drawn) = best?;
        let choice = self.alone(drawn.index, ground, now);
        Some(UpstreamChoice {
            refusable: choice.refusable && !must_take,
            cost: drawn.cost,
            rival: drawn.rival,
            eligible: drawn.eligible,
            ..choice
        })
    }

    /// Builds the choice of an upstream that was compared with no other.
    fn alone(&self, index: usize, ground: ChoiceGround, now: Duration) -> UpstreamChoice {
        let view = &self.upstreams[index];
        UpstreamChoice {
            index,
            refusable: self.plan.can_spare(view.slots),
            ground,
            cost: view.load_share(now),
            rival: None,
            eligible: 1,
            report_age: view.health.map(|_| now.saturating_sub(view.reported_at)),
        }
    }

    /// Chooses the best upstream: one that is near, not a suspect and not loaded, if there is one; then
    /// one that is not a suspect and has room; then one that is no suspect, to wait there, as work
    /// behind that of a sound upstream is done sooner than work that hangs; for repeatable work that
    /// would be refused there, one that has idle slots though it is a suspect; then any, by its cost;
    /// and where there is none, one whose way was cut and is linked again.
    fn best(
        &self,
        terms: &ChoiceTerms,
        rng: &mut impl Rng,
        fits: &mut Vec<usize>,
        request: &ChoiceRequest<'_>,
    ) -> Option<(ChoiceGround, DrawnUpstream)> {
        let load = |view: &LoadView| view.load_share(terms.now);
        let takes = |view: &LoadView| !terms.repeatable || self.has_places(view, terms.now);
        let may = |index: usize| self.in_service(index) && request.may_ask(index);
        let sound = |index: usize, view: &LoadView| may(index) && !view.is_suspect(terms);
        let known = |index: usize, view: &LoadView| {
            let is_known = request.is_last && request.full.contains(&index);
            is_known && self.in_service(index) && !view.is_suspect(terms) && takes(view)
        };
        if let Some(drawn) = self.draw(terms, rng, fits, known) {
            return Some((ChoiceGround::Waiting, drawn));
        }
        let near = |index: usize, view: &LoadView| {
            view.is_local && sound(index, view) && load(view) < LOCAL_LOAD_MAX
        };
        if let Some(drawn) = self.draw(terms, rng, fits, near) {
            return Some((ChoiceGround::Near, drawn));
        }
        let near_waiting = |index: usize, view: &LoadView| {
            let is_trusted = view.is_local && !view.is_suspect(terms) && takes(view);
            let in_service = self.in_service(index) && !request.excluded.contains(&index);
            is_trusted && in_service && load(view) < 1.0 + request.near_rounds
        };
        let waits_near = request.near_rounds > 0.0;
        if let Some(drawn) = waits_near.then(|| self.draw(terms, rng, fits, near_waiting)).flatten()
        {
            return Some((ChoiceGround::Waiting, drawn));
        }
        let free = |index: usize, view: &LoadView| sound(index, view) && load(view) < 1.0;
        if let Some(drawn) = self.draw(terms, rng, fits, free) {
            return Some((ChoiceGround::Sound, drawn));
        }
        let trusted = |index: usize, view: &LoadView| {
            let in_service = self.in_service(index) && !request.excluded.contains(&index);
            in_service && !view.is_suspect(terms) && takes(view)
        };
        let waiting =
            |index: usize, view: &LoadView| trusted(index, view) && load(view) < WAIT_LOAD_MAX;
        if let Some(drawn) = self.draw(terms, rng, fits, waiting) {
            return Some((ChoiceGround::Waiting, drawn));
        }
        let views = || self.upstreams.iter().enumerate();
        let is_refused = terms.repeatable && !views().any(|(index, view)| trusted(index, view));
        let idle = |index: usize, view: &LoadView| is_refused && may(index) && load(view) < 1.0;
        if let Some(drawn) = self.draw(terms, rng, fits, idle) {
            return Some((ChoiceGround::Idle, drawn));
        }
        let any = |index: usize, _: &LoadView| {
            self.in_service(index) && !request.excluded.contains(&index)
        };
        if let Some(drawn) = self.draw(terms, rng, fits, any) {
            return Some((ChoiceGround::Any, drawn));
        }
        let proving = |index: usize, view: &LoadView| {
            view.proving
                && !view.draining
                && !self.plan.avoided[index]
                && !request.excluded.contains(&index)
        };
        let drawn = self.draw(terms, rng, fits, proving)?;
        Some((ChoiceGround::Proving, drawn))
    }

    /// Says whether work would find a place in an upstream's queue. What is refused is lost for certain,
    /// so that repeatable work goes to a suspect with idle slots, which does a part of what it gets, before
    /// it is sent where it finds none. On days of a full service whose servers hang by turns, with work
    /// bounded by [`crate::allowance`], it gains 0.024 of worth in the mean of ten plays.
    fn has_places(&self, view: &LoadView, now: Duration) -> bool {
        let places = f64::from(self.queue) / f64::from(view.slots.max(1));
        view.load_share(now) < 1.0 + QUEUE_SHARE_MAX * places
    }

    fn in_service(&self, index: usize) -> bool {
        let view = &self.upstreams[index];
        view.reachable && !view.draining && !self.plan.avoided[index]
    }

    /// Draws, for one choice in a few, an upstream whose last report is old.
    fn explore(&mut self, terms: &ChoiceTerms, rng: &mut impl Rng) -> Option<usize> {
        let now = terms.now;
        self.choices = self.choices.wrapping_add(1);
        if !self.choices.is_multiple_of(EXPLORE_EVERY) || self.upstreams.is_empty() {
            return None;
        }
        let is_fresh = |view: &&LoadView| now.saturating_sub(view.reported_at) < EXPLORE_AGE;
        if self.upstreams.iter().filter(is_fresh).count() >= EXPLORE_WANTED {
            return None;
        }
        let drawn = (0..CHOICES).map(|_| rng.random_range(0..self.upstreams.len()));
        let oldest = drawn.min_by_key(|index| self.upstreams[*index].reported_at)?;
        let view = &self.upstreams[oldest];
        // One that has not answered what it was sent is silent by itself.
        let is_old = view.own == 0 && now.saturating_sub(view.reported_at) >= EXPLORE_AGE;
        let ramps = view.health.is_some_and(|health| view.ramp(now, &health) < 1.0);
        let fits = self.in_service(oldest) && !ramps && !view.is_suspect(terms);
        (is_old && fits).then_some(oldest)
    }

    /// Finds a doubted upstream near by whose trial is due: a sound one must not wait for long until a
    /// request happens to find out, or too few of a service would get work.
    fn due_doubt(&self, now: Duration) -> Option<usize> {
        self.least_heard(|index, view| {
            let age = now.saturating_sub(view.reported_at);
            let is_due = |health: HealthReport| health.doubtful && age >= health.trial_in;
            let fits = view.is_local && view.own == 0 && age < DOUBT_LIFE;
            fits && self.in_service(index) && view.health.is_some_and(is_due)
        })
    }

    fn due_trial(&self, now: Duration, repeatable: bool) -> Option<usize> {
        if !repeatable || self.plan.avoided.iter().all(|avoided| !avoided) {
            return None;
        }
        self.least_heard(|index, view| {
            let trial_in = view.health.map_or(Duration::ZERO, |health| health.trial_in);
            self.plan.avoided[index] && view.own == 0 && now >= view.reported_at + trial_in
        })
    }

    /// Finds the upstream that was not heard of for longest, of those that fit: trials that say nothing leave a server
    /// due, and must not keep the others from theirs.
    fn least_heard(&self, fits: impl Fn(usize, &LoadView) -> bool) -> Option<usize> {
        let views = self.upstreams.iter().enumerate();
        let due = views.filter(|(index, view)| fits(*index, view));
        due.min_by_key(|(_, view)| view.reported_at).map(|(index, _)| index)
    }

    /// Returns the sickness from which an upstream stands out, as its daemon judges too.
    fn suspect_from(&mut self, now: Duration) -> f64 {
        let sick = |view: &LoadView| view.health.is_some_and(|health| health.sickness >= 1.0);
        if !self.upstreams.iter().any(sick) {
            return f64::INFINITY;
        }
        let mut values = std::mem::take(&mut self.values);
        let median = self.median_in(now, &mut values);
        self.values = values;
        health::sickness_bound(median)
    }

    /// Draws a few of the upstreams that are eligible and returns the one of the least cost.
    fn draw(
        &self,
        terms: &ChoiceTerms,
        rng: &mut impl Rng,
        fits: &mut Vec<usize>,
        eligible: impl Fn(usize, &LoadView) -> bool,
    ) -> Option<DrawnUpstream> {
        fits.clear();
        let views = self.upstreams.iter().enumerate();
        fits.extend(views.filter(|(index, view)| eligible(*index, view)).map(|(index, _)| index));
        if fits.is_empty() {
            return None;
        }
        let mut best: Option<DrawnUpstream> = None;
        for _ in 0..CHOICES {
            let index = fits[rng.random_range(0..fits.len())];
            let cost = self.upstreams[index].cost(terms, self.median_ln);
            let eligible = fits.len();
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
