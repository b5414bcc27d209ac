// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Holds what the ingress knows of each service that it sends requests to: the load and health of
//! the service's upstreams, the baselines of its routes and its retry budget.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use basaltarch_base::metrics;
use basaltarch_base::peers::PeerPath;
use basaltarch_core::config::{ActiveConfig, EvacuatedDomains};
use basaltarch_core::resources::ServerState;
use basaltarch_core::routes::RouteEntry;
use basaltarch_core::services::{PackedService, ServiceEntry, UpstreamEntry};
use basaltarch_decide::adaptive_timeout::SlowRequests;
use basaltarch_decide::balance::reservations::ReservationRequest;
use basaltarch_decide::balance::{ChoiceRequest, LoadView, ServiceView, UpstreamChoice};
use basaltarch_decide::baseline::{RecentAnswers, RouteBaseline};
use basaltarch_decide::budget::{BudgetTerms, FleetExtra, RetryBudget};
use basaltarch_decide::distance::ByteMean;
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::poison::{CountedFailures, PoisonTable, RequestHash};
use basaltarch_decide::probing::ProbeYield;
use basaltarch_decide::server_rate::KnownRate;
use basaltarch_decide::split::WeightedSplit;
use basaltarch_peer::protocol::LoadReport;
use fnv::FnvHashMap;

use crate::notices::NoticeTable;
use crate::state::DaemonState;
use crate::wire::{self, HostLoad};

/// Time for which a report that an upstream is draining counts without being renewed.
const DRAIN_REPORT_TTL: Duration = Duration::from_secs(30);

/// Share of the configured retry budget that daemons use. The remaining share allows for retries
/// that are counted too early or not at all. A retry reaches a server a little after the retry is
/// counted, possibly in another window. A server also receives retries that it then refuses
/// unexpectedly, and no daemon charges these retries to the budget.
const RETRY_BUDGET_FRACTION: f64 = 0.7;
/// Maximum number of routes with a weighted split whose state is kept. Beyond this number the
/// states of all routes are dropped, so that the states of removed routes do not accumulate.
const SPLITS_MAX: usize = 4096;

/// `ServiceState` is what the ingress knows of one service.
pub struct ServiceState {
    /// The service as configured.
    pub entry: ServiceEntry,
    packed: Rc<PackedService>,
    paths: Vec<Rc<PeerPath>>,
    draining_until: Vec<Cell<Duration>>,
    /// Incarnation of each upstream's daemon that last reported that it is shutting down.
    handing_over: Vec<Cell<Option<i64>>>,
    /// Whether each upstream is leaving for good.
    leaving: Vec<Cell<bool>>,
    /// Count of the leaving servers in `notices` for which `leaving` was last updated.
    leaving_seen: Cell<u64>,
    notices: Rc<NoticeTable>,
    evacuated: RefCell<EvacuatedUpstreams>,
    view: RefCell<ServiceView>,
    /// Slow requests that each upstream last reported, with the time of the report.
    slow_requests: RefCell<Vec<(SlowRequests, Duration)>>,
    baselines: RefCell<FnvHashMap<Rc<str>, RouteBaseline>>,
    /// Mean size of a request and its response, by route.
    mean_bytes: RefCell<FnvHashMap<Rc<str>, ByteMean>>,
    recent_answers: RefCell<RecentAnswers>,
    budget: Rc<RefCell<RetryBudget>>,
    poison: Rc<RefCell<PoisonTable<Rc<str>>>>,
    violations: Cell<u64>,
    probe_yield: Cell<ProbeYield>,
    used_at: Cell<Duration>,
}

/// `EvacuatedUpstreams` says which upstreams of a service are in an evacuated failure domain.
struct EvacuatedUpstreams {
    domains: EvacuatedDomains,
    /// Whether each upstream is in one of the domains.
    flags: Vec<bool>,
}

impl EvacuatedUpstreams {
    fn new(entry: &ServiceEntry, domains: &EvacuatedDomains) -> Self {
        let is_evacuated =
            |upstream: &UpstreamEntry| domains.contains(&*upstream.server.failure_domain);
        let flags = entry.upstreams.iter().map(is_evacuated).collect();
        Self { domains: domains.clone(), flags }
    }
}

/// Evicts services without recent requests, for ever. The state of a service takes about 400 bytes
/// for each upstream, and is rebuilt from the first responses.
pub async fn evict_idle(state: Rc<DaemonState>) {
    let idle_max = state.options.service_idle;
    loop {
        monoio::time::sleep(idle_max / 4).await;
        state.services.evict_idle(state.now().saturating_sub(idle_max));
    }
}

/// `ServiceTable` is the state of each service that the ingress has sent requests to.
#[derive(Default)]
pub struct ServiceTable {
    services: RefCell<FnvHashMap<Rc<str>, Rc<ServiceState>>>,
    splits: RefCell<FnvHashMap<Rc<str>, WeightedSplit>>,
}

impl ServiceTable {
    /// Returns the state of a service, built or rebuilt if the configuration of the service
    /// changed.
    pub fn get(
        &self,
        state: &DaemonState,
        active: &ActiveConfig,
        name: &str,
    ) -> Option<Rc<ServiceState>> {
        let service = self.peek(state, active, name)?;
        service.used_at.set(state.now());
        let mut services = self.services.borrow_mut();
        let known = services.get(name);
        if known.is_none_or(|known| !Rc::ptr_eq(known, &service)) {
            services.insert(service.entry.name.clone(), service.clone());
            metrics::SERVICES.set(services.len() as i64);
        }
        Some(service)
    }

    /// Returns the state of a service as [`Self::get`] does, but does not store a new state.
    pub fn peek(
        &self,
        state: &DaemonState,
        active: &ActiveConfig,
        name: &str,
    ) -> Option<Rc<ServiceState>> {
        let (name, packed) = active.services.get_key_value(name)?;
        let known = self.services.borrow().get(name).cloned();
        if let Some(known) = &known {
            if Rc::ptr_eq(&known.packed, packed) {
                return Some(known.clone());
            }
        }
        let entry = packed.unpack(name);
        let evacuated = EvacuatedUpstreams::new(&entry, &active.evacuated);
        let known = known.as_deref();
        Some(Rc::new(ServiceState::new(state, entry, packed.clone(), evacuated, known)))
    }

    /// Applies the evacuated failure domains of a configuration to the services in use.
    pub fn note_evacuated(&self, active: &ActiveConfig) {
        self.for_each(|service| {
            let mut evacuated = service.evacuated.borrow_mut();
            if !Rc::ptr_eq(&evacuated.domains, &active.evacuated) {
                *evacuated = EvacuatedUpstreams::new(&service.entry, &active.evacuated);
            }
        });
    }

    /// Returns the service that a request of a route goes to. A route with a weighted split yields
    /// its services in proportion to their weights.
    pub fn choose_service<'a>(&self, route: &'a RouteEntry) -> &'a str {
        let split = &route.rule.split;
        if split.is_empty() {
            return &route.rule.service;
        }
        let weights: Vec<u32> = split.iter().map(|share| share.weight).collect();
        let mut splits = self.splits.borrow_mut();
        if splits.len() >= SPLITS_MAX {
            // Dropping the state of a split shifts the share of a service by less than one request.
            splits.clear();
        }
        let state = splits.entry(route.name.clone()).or_default();
        &split[state.choose(&weights, &mut rand::rng())].service
    }

    /// Calls `read` with each service that has state.
    pub fn for_each(&self, mut read: impl FnMut(&ServiceState)) {
        for service in self.services.borrow().values() {
            read(service);
        }
    }

    /// Removes services that are no longer configured.
    pub fn forget_removed(&self, active: &ActiveConfig) {
        let mut services = self.services.borrow_mut();
        services.retain(|name, _| active.services.contains_key(name));
        metrics::SERVICES.set(services.len() as i64);
    }

    /// Evicts services that have had no request since `before` and have none in flight.
    fn evict_idle(&self, before: Duration) {
        let mut services = self.services.borrow_mut();
        services
            .retain(|_, service| service.used_at.get() >= before || Rc::strong_count(service) > 1);
        metrics::SERVICES.set(services.len() as i64);
    }
}

impl ServiceState {
    fn new(
        state: &DaemonState,
        entry: ServiceEntry,
        packed: Rc<PackedService>,
        evacuated: EvacuatedUpstreams,
        known: Option<&ServiceState>,
    ) -> Self {
        let own_domain = &state.options.failure_domain;
        let views = entry
            .upstreams
            .iter()
            .map(|upstream| {
                let is_local = upstream.server.failure_domain == *own_domain;
                let new_view = LoadView::new(upstream.server.slots, is_local);
                let rate = state.notices.rate(&upstream.name).map(KnownRate::PerSecond);
                let new_view = LoadView { rate: rate.unwrap_or_default(), ..new_view };
                carried_over_view(known, &upstream.name, new_view)
            })
            .collect();
        let is_leaving =
            |upstream: &UpstreamEntry| Cell::new(state.notices.is_leaving(&upstream.name));
        let hosts = entry.upstreams.iter().map(|upstream| upstream.server.host.as_str());
        Self {
            paths: hosts.map(|host| state.peers.path(host)).collect(),
            probe_yield: Cell::default(),
            draining_until: entry.upstreams.iter().map(|_| Cell::default()).collect(),
            handing_over: entry.upstreams.iter().map(|_| Cell::default()).collect(),
            leaving: entry.upstreams.iter().map(is_leaving).collect(),
            leaving_seen: Cell::new(state.notices.leaving_count()),
            notices: state.notices.clone(),
            evacuated: RefCell::new(evacuated),
            view: RefCell::new(
                ServiceView::new(entry.spec.floor, views).with_queue(entry.spec.queue),
            ),
            slow_requests: RefCell::new(vec![Default::default(); entry.upstreams.len()]),
            baselines: RefCell::default(),
            mean_bytes: RefCell::default(),
            recent_answers: RefCell::default(),
            budget: carried_over_budget(state, &entry, known),
            poison: known.map(|known| known.poison.clone()).unwrap_or_default(),
            violations: Cell::new(0),
            used_at: Cell::new(state.now()),
            entry,
            packed,
        }
    }

    /// Returns the network path to the daemon on an upstream's host.
    pub fn path(&self, index: usize) -> &Rc<PeerPath> {
        &self.paths[index]
    }

    /// Updates the view of the upstream on this host while the upstream is ejected or its circuit
    /// breaker is open. This daemon knows without a response when the next trial is due. Other
    /// daemons learn the time of the trial from reports, which are rare for an ejected upstream.
    pub fn refresh_own(&self, state: &DaemonState, route: &Rc<str>) {
        let Some(index) = self.paths.iter().position(|path| path.is_self) else { return };
        let Some(upstream) = state.host.get(&self.entry.upstreams[index].name) else { return };
        let is_ejected_or_breaker_open = upstream.health.borrow().is_ejected_or_breaker_open();
        let was_out_of_service = self.with_view(|view| view.is_ejected_or_breaker_open(index));
        if is_ejected_or_breaker_open || was_out_of_service {
            let report = upstream.report(state, route, None);
            self.note_report(index, route, &report, None, state.now());
        }
    }

    /// Says whether load probes are sent to upstreams before the next request is dispatched.
    pub fn should_probe(&self) -> bool {
        let mut probe_yield = self.probe_yield.get();
        let should_probe = probe_yield.should_probe();
        self.probe_yield.set(probe_yield);
        should_probe
    }

    /// Records whether a load probe found an upstream that would admit the request.
    pub fn note_probe(&self, found: bool) {
        let mut probe_yield = self.probe_yield.get();
        probe_yield.note(found);
        self.probe_yield.set(probe_yield);
    }

    /// Chooses an upstream for a request.
    pub fn choose(&self, now: Duration, request: &ChoiceRequest<'_>) -> Option<UpstreamChoice> {
        self.refresh(now);
        let mut view = self.view.borrow_mut();
        let choice = view.choose(now, request, &mut rand::rng());
        let violations = view.violations();
        metrics::FLOOR_VIOLATIONS.add(violations - self.violations.replace(violations));
        choice
    }

    /// Draws the upstreams at which to reserve a slot, among the upstreams that `fits` accepts.
    pub fn draw_reservations(
        &self,
        now: Duration,
        request: &ReservationRequest,
        fits: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        self.refresh(now);
        self.view.borrow_mut().draw_reservations(now, request, fits, &mut rand::rng())
    }

    /// Returns how many service rounds a new request would wait at an upstream, by the upstream's
    /// last report. In one service round, an upstream serves as many requests as it has slots.
    pub fn queued_rounds(&self, index: usize, now: Duration) -> f64 {
        let view = self.view.borrow();
        view.upstreams().get(index).map_or(0.0, |upstream| upstream.queued_rounds(now))
    }

    /// Updates which upstreams are reachable and which are draining.
    pub fn refresh(&self, now: Duration) {
        self.refresh_leaving();
        let mut view = self.view.borrow_mut();
        let evacuated = self.evacuated.borrow();
        for (index, upstream) in self.entry.upstreams.iter().enumerate() {
            let path = &self.paths[index];
            let is_declared_draining = upstream.server.state == ServerState::Draining;
            let is_reported_draining = self.draining_until[index].get() > now;
            view.note_reachable(index, path.is_usable(now), path.is_proving(now));
            view.note_draining(
                index,
                is_declared_draining
                    || is_reported_draining
                    || self.is_handing_over(index)
                    || self.leaving[index].get()
                    || path.is_leaving()
                    || evacuated.flags[index],
            );
        }
    }

    /// Updates which upstreams are leaving for good. Such a server may be known by other means than
    /// a response, such as an old record of its host.
    fn refresh_leaving(&self) {
        let count = self.notices.leaving_count();
        if self.leaving_seen.replace(count) == count {
            return;
        }
        for (leaving, upstream) in self.leaving.iter().zip(&self.entry.upstreams) {
            leaving.set(self.notices.is_leaving(&upstream.name));
        }
    }

    /// Records a report of an upstream. `failed` says whether the request failed, and is `None` if
    /// the request did not run.
    pub fn note_report(
        &self,
        index: usize,
        route: &Rc<str>,
        report: &LoadReport,
        failed: Option<bool>,
        now: Duration,
    ) {
        let (load, health) = wire::load_and_health(report);
        self.note_notices(index, report, &load, now);
        let expires_at = if load.draining { now + DRAIN_REPORT_TTL } else { Duration::ZERO };
        self.draining_until[index].set(expires_at);
        let incarnation = self.daemon_incarnation(index).filter(|_| load.handing_over);
        self.handing_over[index].set(incarnation);
        self.slow_requests.borrow_mut()[index] = (load.slow_requests, now);
        let mut baselines = self.baselines.borrow_mut();
        if !baselines.contains_key(route) {
            baselines.insert(route.clone(), RouteBaseline::default());
        }
        let mut view = self.view.borrow_mut();
        if let Some(baseline) = baselines.get_mut(route) {
            if let Some(failed) = failed {
                let service_time = load.took.filter(|_| !failed);
                let current = baseline.current();
                let mut recent_answers = self.recent_answers.borrow_mut();
                recent_answers.note(index as u32, failed, service_time, &current, now);
            }
            baseline.note(index as u32, &health);
            view.note_median(baseline.current().median_ln);
        }
        view.note_report(index, load.in_flight + load.queued, health, now);
        view.note_rate(index, &load.rate, now);
    }

    /// Returns the incarnation of the daemon on an upstream's host, if the daemon is linked; of this
    /// daemon itself, whose incarnation never changes, any number.
    fn daemon_incarnation(&self, index: usize) -> Option<i64> {
        let path = &self.paths[index];
        if path.is_self {
            return Some(0);
        }
        path.link().map(|link| link.peer.incarnation)
    }

    /// Says whether the daemon on an upstream's host reported that it is shutting down. The report
    /// does not hold for the next incarnation of the daemon.
    fn is_handing_over(&self, index: usize) -> bool {
        let reported = self.handing_over[index].get();
        reported.is_some() && reported == self.daemon_incarnation(index)
    }

    /// Records what a backend server said of itself, as its daemon reports. The server may be the
    /// successor of the upstream that was asked for.
    fn note_notices(&self, index: usize, report: &LoadReport, load: &HostLoad, now: Duration) {
        let upstreams = &self.entry.upstreams;
        let name = report.successor.as_deref().unwrap_or(&upstreams[index].name);
        self.notices.note_rate(name, load.rate.known, now);
        if load.leaving {
            self.notices.note_leaving(name, now);
        }
    }

    /// Records that an attempt at an upstream takes longer than the attempt's hedging delay.
    pub fn note_hedge_due(&self, index: usize, now: Duration) {
        self.paths[index].request_probe();
        self.view.borrow_mut().note_hedge_due(index, now);
    }

    /// Returns the baseline of a route to send along with a dispatch to an upstream.
    pub fn baseline(&self, route: &str, index: usize, now: Duration) -> ServiceBaseline {
        let baselines = self.baselines.borrow();
        let mut baseline = match baselines.get(route) {
            Some(baseline) => baseline.current(),
            None => return ServiceBaseline::default(),
        };
        baseline.sickness = self.view.borrow().median_score(now);
        self.recent_answers.borrow().adjust(index as u32, &mut baseline, now);
        baseline
    }

    /// Records the size of a request and its response for the mean of the route.
    pub fn note_bytes(&self, route: &Rc<str>, bytes: u64) {
        self.mean_bytes.borrow_mut().entry(route.clone()).or_default().note(bytes);
    }

    /// Returns the longest time, in service rounds, that a request waits for an upstream in the
    /// ingress's failure domain. `worth` is the wait that is acceptable to avoid sending one
    /// megabyte to another failure domain.
    pub fn local_wait_rounds(&self, route: &str, worth: Duration) -> f64 {
        if worth.is_zero() {
            return 0.0;
        }
        let bytes = self.mean_bytes.borrow();
        let baselines = self.baselines.borrow();
        let usual = baselines.get(route).and_then(|baseline| baseline.current().usual_time());
        let usual = usual.map(|usual| usual.at(0.0));
        bytes.get(route).map_or(0.0, |mean| mean.rounds(worth, usual))
    }

    /// Returns the slow requests that the service's other upstreams reported, decayed to `now`.
    pub fn siblings_slow_requests(&self, index: usize, now: Duration) -> SlowRequests {
        let reports = self.slow_requests.borrow();
        let others = reports.iter().enumerate().filter(|(other, _)| *other != index);
        let aged_reports = others.map(|(_, (slow, at))| slow.decayed(now.saturating_sub(*at)));
        aged_reports.fold(SlowRequests::default(), |sum, slow| sum.with(&slow))
    }

    /// Counts a request as sent to an upstream for as long as the guard lives.
    pub fn count_sent(self: &Rc<Self>, index: usize) -> SentGuard {
        self.view.borrow_mut().note_sent(index);
        SentGuard { service: self.clone(), index }
    }

    /// Records a request, by which the retry budget grows by a share of one retry.
    pub fn note_request(&self, now: Duration) {
        self.budget.borrow_mut().note_request(now);
    }

    /// Records a request that counts as a retry, since it is a nested call of a request that is
    /// itself a retry.
    pub fn note_request_as_retry(&self, now: Duration) {
        self.budget.borrow_mut().note_retry(now);
    }

    /// Says whether the budget allows another retry.
    pub fn has_retry_budget(&self, state: &DaemonState) -> bool {
        let terms = budget_terms(state, &self.entry);
        let mut budget = self.budget.borrow_mut();
        budget.set_terms(terms);
        budget.has_room(state.now())
    }

    /// Returns the number of retries left in the budget.
    pub fn retries_left(&self, now: Duration) -> f64 {
        self.budget.borrow_mut().remaining(now)
    }

    /// Takes a retry from the budget, and says whether the budget allowed the retry.
    pub fn take_retry(&self, state: &DaemonState) -> bool {
        let terms = budget_terms(state, &self.entry);
        let mut budget = self.budget.borrow_mut();
        budget.set_terms(terms);
        let taken = budget.take(state.now());
        if !taken {
            metrics::RETRIES_DENIED.add_one();
        }
        taken
    }

    /// Records that a request succeeded, so that the request itself is not the cause of its earlier
    /// failures.
    pub fn note_success(&self, method: &str, target: &str, now: Duration) {
        let mut poison = self.poison.borrow_mut();
        poison.forget_old(now);
        if !poison.is_empty() {
            poison.note_success(RequestHash::of(method, target));
        }
    }

    /// Records that a request failed at an upstream, and whether that failure `counted` as evidence
    /// against the upstream. Returns the failures to withdraw if the request turns out to fail at
    /// every upstream.
    pub fn note_failure(
        &self,
        method: &str,
        target: &str,
        index: usize,
        counted: bool,
        now: Duration,
    ) -> Vec<CountedFailures<Rc<str>>> {
        let hash = RequestHash::of(method, target);
        let upstream = self.entry.upstreams[index].name.clone();
        self.poison.borrow_mut().note_failure(hash, upstream, counted, now)
    }

    /// Records that a failure at an upstream was withdrawn because a retry failed as well.
    pub fn note_withdrawn(&self, method: &str, target: &str, index: usize) {
        let hash = RequestHash::of(method, target);
        self.poison.borrow_mut().note_withdrawn(hash, &self.entry.upstreams[index].name);
    }

    /// Says whether a failure of this request counts as no evidence against an upstream.
    pub fn exempts_failure(&self, method: &str, target: &str, now: Duration) -> bool {
        let poison = self.poison.borrow();
        let is_exempt =
            !poison.is_empty() && poison.is_poison(RequestHash::of(method, target), now);
        if is_exempt {
            metrics::POISON_EXEMPTED.add_one();
        }
        is_exempt
    }

    /// Returns the number of servers at which this request is known to have failed.
    pub fn failed_servers(&self, method: &str, target: &str, now: Duration) -> usize {
        let poison = self.poison.borrow();
        match poison.is_empty() {
            true => 0,
            false => poison.failed_at(RequestHash::of(method, target), now),
        }
    }

    /// Says whether a retry of this request would only use up the retry budget.
    pub fn forbids_retry(&self, method: &str, target: &str, now: Duration) -> bool {
        let poison = self.poison.borrow();
        !poison.is_empty() && poison.forbids_retry(RequestHash::of(method, target), now)
    }

    /// Calls `read` with the load balancer's view of the upstreams.
    pub fn with_view<T>(&self, read: impl FnOnce(&ServiceView) -> T) -> T {
        read(&self.view.borrow())
    }
}

/// Returns the retry budget of a service. A service that is rebuilt keeps its budget, so that its
/// earlier retries still count.
fn carried_over_budget(
    state: &DaemonState,
    entry: &ServiceEntry,
    known: Option<&ServiceState>,
) -> Rc<RefCell<RetryBudget>> {
    match known {
        Some(known) => known.budget.clone(),
        None => Rc::new(RefCell::new(RetryBudget::new(budget_terms(state, entry)))),
    }
}

/// Returns the retry budget of this daemon. The retries that the whole fleet may make beyond the
/// share of requests are divided by the number of daemons.
fn budget_terms(state: &DaemonState, entry: &ServiceEntry) -> BudgetTerms {
    let live = state.live();
    let defaults = &live.defaults;
    let share = entry.spec.retry_budget;
    let window = defaults.retry_window;
    let fleet_extra = FleetExtra {
        retries: f64::from(defaults.retry_extra),
        daemons: state.roster.daemons().max(state.members.count()),
        age: state.now(),
        is_first_start: state.rows.has_read_table() && !state.roster.had_earlier_start(),
    };
    let extra = if share > 0.0 { fleet_extra.part(window) } else { 0.0 };
    BudgetTerms {
        share: share * RETRY_BUDGET_FRACTION,
        extra: extra * RETRY_BUDGET_FRACTION,
        window,
    }
}

/// Returns the view of an upstream in a rebuilt service: the view in `known`, the previous state of
/// the service, with the new slots and locality, or `new_view` if the upstream is new.
fn carried_over_view(known: Option<&ServiceState>, name: &str, new_view: LoadView) -> LoadView {
    let known = match known {
        Some(known) => known,
        None => return new_view,
    };
    // Upstreams are in the order of their names.
    let index = known.entry.upstreams.binary_search_by(|upstream| (*upstream.name).cmp(name)).ok();
    let view = known.view.borrow();
    match index.and_then(|index| view.upstreams().get(index)) {
        Some(previous_view) => LoadView {
            slots: new_view.slots,
            is_local: new_view.is_local,
            own_in_flight: 0,
            ..*previous_view
        },
        None => new_view,
    }
}

/// `SentGuard` counts a request as sent to an upstream until the guard is dropped.
pub struct SentGuard {
    service: Rc<ServiceState>,
    index: usize,
}

impl SentGuard {
    /// Says whether an upstream other than the one that the request was sent to could start the
    /// request now, as far as its rate limit is known.
    pub fn has_alternative(&self, now: Duration) -> bool {
        self.service.with_view(|view| view.count_others(&[self.index], now) > 0)
    }
}

impl Drop for SentGuard {
    fn drop(&mut self) {
        self.service.view.borrow_mut().note_ended(self.index);
    }
}
