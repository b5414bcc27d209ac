// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The health of one upstream as the daemon beside it sees it.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::resources::PreferChoice;
use fnv::FnvHashMap;

use crate::caution::{FailureCaution, FailureSort};
use crate::detector::{EvidenceKind, SicknessDetector};
use crate::evidence::{self, ServiceBaseline, WorkEvidence, OVERDUE_DEVIATIONS};
use crate::hang::{HangWatch, UsualTime};
use crate::recovery::{RecoveryPlan, TrialVerdict, RAMP};
use crate::track::{LatencyTrack, RateTrack, RecentPeak};

/// Threshold for `detection`: a healthy upstream is ejected at most once in e^9 (8,000) requests
/// of the worst case that the bound covers; measured rates are far lower (docs/MEASUREMENTS.md).
pub const THRESHOLD_DETECTION: f64 = 9.0;
/// Threshold for `precision`: at most once in e^14 (1.2 million) requests.
pub const THRESHOLD_PRECISION: f64 = 14.0;
/// Time for which an upstream must stand out, for `detection`.
const CONFIRM_DETECTION: Duration = Duration::from_millis(200);
/// Time for which an upstream must stand out, for `precision`.
const CONFIRM_PRECISION: Duration = Duration::from_millis(800);
/// Overdue times that a cold upstream is given for one request: 2.5 of them are 11 times the usual
/// service time at the decision bench's spread, whose slowest start is 6 times as slow; an ingress
/// gives an attempt up after 3.
const COLD_PATIENCE: f64 = 2.5;
/// Routes of one upstream whose service times are followed one by one; later ones share.
const ROUTES_MAX: usize = 64;
/// Name under which the routes beyond [`ROUTES_MAX`] are followed.
const OTHER_ROUTES: &str = "";
/// Answers of a route from which its usual time is known without siblings.
const USUAL_SAMPLES_MIN: u32 = 8;
/// Answers that the report of a sibling stands for at the least.
const SIBLING_ANSWERS: u32 = 4;
/// What an upstream must have beyond the median sickness of its siblings, as a multiple of it: what
/// all have is not one server's fault.
const SIBLING_WEIGHT: f64 = 3.0;

/// Returns the threshold behind a choice.
pub fn threshold_of(prefer: PreferChoice) -> f64 {
    match prefer {
        PreferChoice::Detection => THRESHOLD_DETECTION,
        PreferChoice::Precision => THRESHOLD_PRECISION,
    }
}

/// Returns the sickness from which an upstream stands out from siblings of this median sickness.
pub fn sickness_bound(siblings: f64) -> f64 {
    1.0 + SIBLING_WEIGHT * siblings
}

/// Returns the time for which an upstream must stand out before it is ejected.
///
/// In it, the answers of the siblings arrive that tell a shared change from one server's fault: the
/// usual service time, and the way to the ingress and back with the next dispatch.
fn confirm_time(prefer: PreferChoice) -> Duration {
    match prefer {
        PreferChoice::Detection => CONFIRM_DETECTION,
        PreferChoice::Precision => CONFIRM_PRECISION,
    }
}

/// `RouteTrack` follows one route on one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct RouteTrack {
    latency: LatencyTrack,
    overdue: RateTrack,
    baseline: ServiceBaseline,
}

/// `AdmitVerdict` says whether an upstream takes a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitVerdict {
    /// It does.
    Admit,
    /// It does, as a trial.
    Trial,
    /// It is thought sick and another can do the work.
    Refuse,
}

/// `DispatchTerms` is what matters of a dispatch to the health of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct DispatchTerms<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Whether the ingress can send the work elsewhere within the floor.
    pub refusable: bool,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Whether the ingress can ask another upstream if this one is doubted. That takes no capacity
    /// out of service: the last upstream asked takes the work.
    pub passable: bool,
    /// What the ingress knows of the siblings.
    pub baseline: ServiceBaseline,
}

/// `HealthReport` is what an upstream's daemon tells about its health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthReport {
    /// Sickness in thresholds.
    pub sickness: f64,
    /// Whether the upstream is ejected: it is out unless the floor needs it.
    pub ejected: bool,
    /// Logarithm of the median service time of the route asked for, in µs.
    pub median_ln: f64,
    /// Spread of that logarithm.
    pub spread: f64,
    /// Share of failures.
    pub failure_rate: f64,
    /// Share of overdue requests of the route asked for.
    pub overdue_rate: f64,
    /// Requests of the route that the figures stand on.
    pub samples: u32,
    /// Share of its full work that the upstream should get.
    pub ramp: f64,
    /// Time until a trial may start; zero when the upstream serves.
    pub trial_in: Duration,
    /// Whether work that must not be repeated should go elsewhere until repeatable work succeeds.
    pub doubtful: bool,
}

/// `HealthChange` is an ejection or a return, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthChange {
    /// The upstream was ejected.
    Ejected {
        /// What it was ejected for.
        reason: EvidenceKind,
        /// Sickness at that moment.
        sickness: f64,
        /// Time since the first evidence of this sickness.
        after: Duration,
    },
    /// The upstream came back.
    Returned {
        /// How long it was out.
        out: Duration,
    },
    /// The upstream is doubted after a failure.
    Doubted,
    /// The upstream is no longer doubted.
    Trusted {
        /// How long it was doubted.
        after: Duration,
    },
}

/// `WatchEnd` is how the watch over a piece of work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// The work was answered, or made a call.
    Lives,
    /// It was given up before it was overdue.
    GivenUp,
    /// It ended without an answer, or was given up after it was noted as overdue.
    Noted,
}

/// `UpstreamHealth` is the health of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamHealth {
    detector: SicknessDetector,
    recovery: RecoveryPlan,
    failures: RateTrack,
    routes: FnvHashMap<Rc<str>, RouteTrack>,
    siblings: f64,
    usual_failures: RecentPeak,
    rising_since: Option<Duration>,
    reason: Option<EvidenceKind>,
    cold_until: Duration,
    suspect_since: Option<Duration>,
    confirm: Duration,
    caution: FailureCaution,
    hang: HangWatch,
}

impl UpstreamHealth {
    /// Builds the health of an upstream from `now` on; a `cold` one gets work slowly at first.
    pub fn new(prefer: PreferChoice, now: Duration, cold: bool) -> Self {
        Self {
            detector: SicknessDetector::new(threshold_of(prefer)),
            recovery: RecoveryPlan::new(now, cold),
            failures: RateTrack::default(),
            routes: FnvHashMap::default(),
            siblings: 0.0,
            usual_failures: RecentPeak::default(),
            rising_since: None,
            reason: None,
            cold_until: if cold { now + RAMP } else { Duration::ZERO },
            suspect_since: None,
            confirm: confirm_time(prefer),
            caution: FailureCaution::default(),
            hang: HangWatch::default(),
        }
    }

    /// Sets the threshold itself, in place of one of the two choices.
    pub fn set_threshold(&mut self, threshold: f64) {
        self.detector.set_threshold(threshold);
    }

    /// Notes that the backend server was started anew: it gets work slowly at first, and being
    /// slow meanwhile does not speak against it.
    pub fn note_restart(&mut self, now: Duration) {
        self.recovery.ramp_from(now);
        self.cold_until = now + RAMP;
    }

    /// Changes which error the service would rather have.
    pub fn set_prefer(&mut self, prefer: PreferChoice) {
        self.detector.set_threshold(threshold_of(prefer));
        self.confirm = confirm_time(prefer);
    }

    /// Says whether the upstream is doubted.
    pub fn is_doubtful(&self) -> bool {
        self.caution.is_doubtful()
    }

    /// Says whether the upstream is out of service or doubted.
    pub fn is_out(&self) -> bool {
        self.is_doubtful() || self.recovery.is_ejected()
    }

    /// Says whether the upstream takes a dispatch.
    pub fn admit(
        &mut self,
        terms: &DispatchTerms<'_>,
        now: Duration,
    ) -> (AdmitVerdict, Option<HealthChange>) {
        self.learn_baseline(terms, now);
        // The dispatch brought fresh word of the siblings.
        let change = self.judge(now);
        (self.admit_verdict(terms, now), change)
    }

    fn admit_verdict(&mut self, terms: &DispatchTerms<'_>, now: Duration) -> AdmitVerdict {
        if !self.recovery.is_ejected() {
            let admitted = self.caution.admit(terms.repeatable, now) || !terms.passable;
            return if admitted { AdmitVerdict::Admit } else { AdmitVerdict::Refuse };
        }
        if self.recovery.start_trial(now, terms.repeatable) {
            return AdmitVerdict::Trial;
        }
        if terms.refusable {
            AdmitVerdict::Refuse
        } else {
            AdmitVerdict::Admit
        }
    }

    fn learn_baseline(&mut self, terms: &DispatchTerms<'_>, now: Duration) {
        if !terms.baseline.is_usable() {
            if terms.baseline.upstreams > 0 {
                self.route_mut(terms.route).baseline = terms.baseline;
            }
            return;
        }
        let mut baseline = terms.baseline;
        self.siblings = baseline.sickness;
        baseline.failure_rate = self.usual_failures.note(baseline.failure_rate, now);
        self.route_mut(terms.route).baseline = baseline;
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteTrack {
        let key = if self.routes.contains_key(route) || self.routes.len() < ROUTES_MAX {
            route
        } else {
            OTHER_ROUTES
        };
        if !self.routes.contains_key(key) {
            self.routes.insert(Rc::from(key), RouteTrack::default());
        }
        self.routes.get_mut(key).unwrap_or_else(|| unreachable!("inserted above"))
    }

    /// Returns the last usable baseline of a route.
    pub fn baseline(&self, route: &str) -> ServiceBaseline {
        let track = self.routes.get(route).or_else(|| self.routes.get(OTHER_ROUTES));
        track.map(|track| track.baseline).unwrap_or_default()
    }

    /// Returns the time after which a request of a route is overdue, if that can be said. A cold
    /// upstream is given longer.
    pub fn overdue_after(&self, route: &str, now: Duration) -> Option<Duration> {
        let baseline = self.baseline(route);
        let patience = if now < self.cold_until { COLD_PATIENCE } else { 1.0 };
        baseline.is_usable().then(|| baseline.overdue_after().mul_f64(patience))
    }

    /// Takes in that a running request is overdue.
    pub fn note_overdue(&mut self, route: &str, now: Duration) -> Option<HealthChange> {
        let baseline = self.baseline(route);
        self.route_mut(route).overdue.note(true);
        self.detector.note_overdue(&baseline);
        self.judge(now)
    }

    /// Takes the end of a request in.
    pub fn note(
        &mut self,
        route: &str,
        evidence: WorkEvidence,
        was_overdue: bool,
        now: Duration,
    ) -> Option<HealthChange> {
        let baseline = self.baseline(route);
        self.follow(route, evidence, was_overdue);
        if now < self.cold_until {
            self.detector.note_untimed(evidence, &baseline);
        } else {
            self.detector.note(evidence, was_overdue, &baseline);
        }
        self.judge(now)
    }

    fn follow(&mut self, route: &str, evidence: WorkEvidence, was_overdue: bool) {
        if evidence != WorkEvidence::Neutral {
            self.failures.note(evidence == WorkEvidence::Failed);
        }
        if let WorkEvidence::Answered(latency) = evidence {
            let track = self.route_mut(route);
            if !was_overdue {
                let late = track.baseline.is_usable() && latency > track.baseline.overdue_after();
                track.overdue.note(late);
            }
            track.latency.note(latency);
        }
    }

    /// Takes the end of a trial in.
    pub fn note_trial(
        &mut self,
        route: &str,
        evidence: WorkEvidence,
        now: Duration,
    ) -> Option<HealthChange> {
        let verdict = self.judge_trial(route, evidence);
        self.follow(route, evidence, false);
        let since = self.recovery.since();
        if !self.recovery.end_trial(now, verdict) {
            return None;
        }
        self.detector.reset();
        self.rising_since = None;
        self.reason = None;
        let out = now.saturating_sub(since);
        Some(HealthChange::Returned { out })
    }

    fn judge_trial(&self, route: &str, evidence: WorkEvidence) -> TrialVerdict {
        let latency = match evidence {
            WorkEvidence::Neutral => return TrialVerdict::Nothing,
            WorkEvidence::Failed => return TrialVerdict::Bad,
            WorkEvidence::Answered(latency) => latency,
        };
        let baseline = self.baseline(route);
        if !baseline.is_usable() {
            return TrialVerdict::Good;
        }
        // An upstream that was slow throughout must be near its siblings again, not only not late.
        let distance = evidence::log_micros(latency) - baseline.median_ln;
        if distance > (OVERDUE_DEVIATIONS / 2.0) * baseline.spread {
            TrialVerdict::Bad
        } else {
            TrialVerdict::Good
        }
    }

    /// Takes in how a piece of work ended, for the caution of the next ones.
    pub fn note_end(
        &mut self,
        failure: Option<FailureSort>,
        started: Duration,
        now: Duration,
    ) -> Option<HealthChange> {
        match failure {
            Some(sort) => {
                let doubted = self.caution.note_failure(sort, now);
                doubted.then_some(HealthChange::Doubted)
            }
            None => {
                let after = self.caution.note_success(started, now)?;
                self.hang.forget();
                Some(HealthChange::Trusted { after })
            }
        }
    }

    /// Returns the usual time of a route: that of the siblings, else what was seen here, else what its
    /// objective lets one assume.
    pub fn usual_time(&self, route: &str, objective: Option<Duration>) -> Option<UsualTime> {
        let track = self.routes.get(route).or_else(|| self.routes.get(OTHER_ROUTES));
        let track = track.copied().unwrap_or_default();
        if let Some(usual) = track.baseline.usual_time() {
            return Some(usual);
        }
        let latency = &track.latency;
        let own = UsualTime { median_ln: latency.centre(), spread: latency.spread() };
        let samples = latency.samples();
        let objective = match objective {
            Some(objective) => objective,
            None => return (samples >= USUAL_SAMPLES_MIN).then_some(own),
        };
        let siblings = track.baseline.upstreams;
        if samples == 0 && siblings == 0 {
            // What nobody has answered yet may be work that nobody can do.
            return None;
        }
        let seen = UsualTime { median_ln: track.baseline.median_ln, spread: track.baseline.spread };
        let assumed =
            UsualTime::of_objective(objective).corrected(&seen, siblings * SIBLING_ANSWERS);
        Some(assumed.corrected(&own, samples))
    }

    /// Takes in that work of this usual time was sent to the upstream; returns its number.
    pub fn start_work(&mut self, usual: UsualTime, now: Duration) -> u64 {
        self.hang.start(usual, now)
    }

    /// Takes in that work ended or made a call, or that it was given up.
    pub fn end_work(&mut self, number: u64, end: WatchEnd, now: Duration) -> Option<HealthChange> {
        let evidence = self.hang.end(number, end == WatchEnd::Lives, now);
        if end == WatchEnd::GivenUp && now >= self.cold_until {
            self.detector.note_given_up(evidence);
        }
        if let Some(change) = self.judge(now) {
            return Some(change);
        }
        if !self.caution.is_doubtful() {
            return self.look(now);
        }
        if end == WatchEnd::Lives {
            // What lasted long ended well.
            let after = self.hang.is_over(now).then(|| self.caution.retract(now)).flatten()?;
            return Some(HealthChange::Trusted { after });
        }
        if evidence > 0.0 {
            // Work that was to find out hung as well.
            self.caution.note_failure(FailureSort::Broken, now);
        }
        None
    }

    /// Forgets the running work: how long it runs says nothing, as the host slept meanwhile.
    pub fn forget_running(&mut self) {
        self.hang.forget();
    }

    /// Looks at the running work: an upstream whose work lasts too long is doubted.
    pub fn look(&mut self, now: Duration) -> Option<HealthChange> {
        if self.caution.is_doubtful() || now < self.cold_until || !self.hang.is_doubtful(now) {
            return None;
        }
        let doubted = self.caution.note_hang(now);
        doubted.then_some(HealthChange::Doubted)
    }

    /// Takes back a failure that followed the request to another upstream.
    pub fn withdraw_failure(&mut self, route: &str) {
        let baseline = self.baseline(route);
        self.detector.withdraw_failure(&baseline);
    }

    fn judge(&mut self, now: Duration) -> Option<HealthChange> {
        let sickness = self.detector.sickness();
        if sickness <= 0.0 {
            self.rising_since = None;
        } else if self.rising_since.is_none() {
            self.rising_since = Some(now);
        }
        if self.recovery.is_ejected() {
            return None;
        }
        if !self.stands_out(sickness) {
            self.suspect_since = None;
            return None;
        }
        let suspect_since = *self.suspect_since.get_or_insert(now);
        if now.saturating_sub(suspect_since) < self.confirm {
            return None;
        }
        self.suspect_since = None;
        let reason = self.detector.reason();
        self.reason = Some(reason);
        self.recovery.eject(now);
        let after = now.saturating_sub(self.rising_since.unwrap_or(now));
        Some(HealthChange::Ejected { reason, sickness, after })
    }

    fn stands_out(&self, sickness: f64) -> bool {
        sickness >= sickness_bound(self.siblings)
    }

    /// Says whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.recovery.is_ejected()
    }

    /// Returns where the upstream stands.
    pub fn recovery(&self) -> &RecoveryPlan {
        &self.recovery
    }

    /// Returns what the upstream was ejected for, or what speaks most against it.
    pub fn reason(&self) -> Option<EvidenceKind> {
        let rising = self.detector.sickness() > 0.0;
        self.reason.or_else(|| rising.then(|| self.detector.reason()))
    }

    /// Returns the report for a dispatch of `route`.
    pub fn report(&self, route: &str, now: Duration) -> HealthReport {
        let track = self.routes.get(route).or_else(|| self.routes.get(OTHER_ROUTES));
        let track = track.copied().unwrap_or_default();
        let sickness = self.detector.sickness();
        HealthReport {
            sickness,
            ejected: self.is_ejected(),
            median_ln: track.latency.centre(),
            spread: track.latency.spread(),
            failure_rate: self.failures.rate(),
            overdue_rate: track.overdue.rate(),
            samples: track.latency.samples(),
            ramp: self.recovery.ramp(now),
            trial_in: self.recovery.trial_in(now).unwrap_or(self.caution.trial_in(now)),
            doubtful: self.caution.is_doubtful(),
        }
    }
}
