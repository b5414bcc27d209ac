// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The health of one upstream, as seen by the daemon of its host.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::resources::EjectionPreference;
use fnv::FnvHashMap;

use crate::breaker::{BreakerCause, FailureBreaker, FailureKind};
use crate::detector::{AnomalyDetector, EvidenceKind};
use crate::estimates::{DecayingPeak, LatencyEstimate, RateEstimate};
use crate::evidence::{self, RequestEvidence, ServiceBaseline, OVERDUE_DEVIATIONS};
use crate::hang::{HangDetector, UsualTime};
use crate::recovery::{RecoveryPlan, TrialVerdict, RAMP_TIME};

/// Ejection threshold of services that prefer `detection`: a healthy upstream is ejected at most
/// once in e^9 (8,000) requests in the worst case, and measured rates are far lower.
pub const THRESHOLD_DETECTION: f64 = 9.0;
/// Ejection threshold of services that prefer `precision`: a healthy upstream is ejected at most
/// once in e^14 (1.2 million) requests.
pub const THRESHOLD_PRECISION: f64 = 14.0;
/// Time for which an upstream must stand out before ejection in services that prefer `detection`.
const CONFIRM_TIME_DETECTION: Duration = Duration::from_millis(200);
/// Time for which an upstream must stand out before ejection in services that prefer `precision`.
const CONFIRM_TIME_PRECISION: Duration = Duration::from_millis(800);
/// Factor on the overdue time of a request at a cold upstream. In the decision bench, 2.5 overdue
/// times are 11 times the typical service time, and the slowest cold start is 6 times as slow as
/// usual. An ingress gives up an attempt after 3 overdue times.
const COLD_OVERDUE_FACTOR: f64 = 2.5;
/// Routes of one upstream whose service times are estimated separately; all later routes share one
/// estimate.
const ROUTES_MAX: usize = 64;
/// Key of the estimate that the routes beyond [`ROUTES_MAX`] share.
const OTHER_ROUTES_KEY: &str = "";
/// Answers of a route from which its typical service time counts as known without siblings.
const USUAL_TIME_SAMPLES_MIN: u32 = 8;
/// Number of answers by which the report of one sibling is weighted.
const ANSWERS_PER_SIBLING_REPORT: u32 = 4;
/// Multiple of the siblings' median anomaly score that is added to the bound of an upstream's own
/// score: an anomaly that all upstreams share is not the fault of one server.
const SIBLING_SCORE_WEIGHT: f64 = 3.0;

/// Returns the ejection threshold of a service with this preference.
pub fn threshold_of(prefer: EjectionPreference) -> f64 {
    match prefer {
        EjectionPreference::Detection => THRESHOLD_DETECTION,
        EjectionPreference::Precision => THRESHOLD_PRECISION,
    }
}

/// Returns the anomaly score from which an upstream stands out from siblings with this median
/// score.
pub fn score_bound(siblings: f64) -> f64 {
    1.0 + SIBLING_SCORE_WEIGHT * siblings
}

/// Returns the time for which an upstream must stand out before it is ejected.
///
/// The answers of the siblings, which distinguish a change that all servers share from the fault of
/// one server, must arrive within this time. The time therefore covers the typical service time,
/// the trip of the answers to the ingress, and the trip back with the next dispatch.
fn confirm_time(prefer: EjectionPreference) -> Duration {
    match prefer {
        EjectionPreference::Detection => CONFIRM_TIME_DETECTION,
        EjectionPreference::Precision => CONFIRM_TIME_PRECISION,
    }
}

/// `RouteStats` holds the estimates of one route at one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct RouteStats {
    latency: LatencyEstimate,
    overdue: RateEstimate,
    baseline: ServiceBaseline,
}

/// `AdmitVerdict` says whether an upstream accepts a dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitVerdict {
    /// The dispatch is accepted.
    Admit,
    /// The dispatch is accepted as a trial of an ejected upstream.
    Trial,
    /// The upstream is ejected or its circuit breaker is open, and another upstream can serve the
    /// request.
    Refuse,
}

/// `DispatchTerms` is what the health of an upstream needs to know about a dispatch.
#[derive(Debug, Clone, Copy)]
pub struct DispatchTerms<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Whether the ingress can send the request to another upstream without taking the service
    /// below its floor.
    pub refusable: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the ingress can try another upstream if this upstream's circuit breaker is open.
    /// An upstream that declines such a request takes no capacity out of service, as the last
    /// upstream that is tried accepts the request.
    pub passable: bool,
    /// Baseline of the upstream's siblings, as known to the ingress.
    pub baseline: ServiceBaseline,
}

/// `HealthReport` is what an upstream's daemon reports about its health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthReport {
    /// Anomaly score in multiples of the ejection threshold.
    pub sickness: f64,
    /// Whether the upstream is ejected: an ejected upstream gets only trials, and requests that
    /// must be served there to keep to the floor.
    pub ejected: bool,
    /// Natural logarithm of the median service time of the requested route, in µs.
    pub median_ln: f64,
    /// Standard deviation of the natural logarithm of the service time.
    pub spread: f64,
    /// Share of the upstream's requests that failed.
    pub failure_rate: f64,
    /// Share of overdue requests of the requested route.
    pub overdue_rate: f64,
    /// Requests of the route that the figures are based on.
    pub samples: u32,
    /// Share of its full load that the upstream should get during the slow start, 0.1 to 1.
    pub ramp: f64,
    /// Time until a trial may start; zero when the upstream is in service and its circuit breaker
    /// is closed.
    pub trial_in: Duration,
    /// Whether the circuit breaker is open: non-repeatable requests should go to other upstreams
    /// until repeatable ones succeed at this one.
    pub doubtful: bool,
}

/// `HealthChange` is a change of an upstream's state, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HealthChange {
    /// The upstream was ejected.
    Ejected {
        /// Evidence that led to the ejection.
        reason: EvidenceKind,
        /// Anomaly score at the moment of the ejection.
        sickness: f64,
        /// Time from the first evidence of the anomaly to the ejection.
        after: Duration,
    },
    /// The upstream is in service again.
    Returned {
        /// How long the upstream was ejected.
        out: Duration,
    },
    /// The circuit breaker opened.
    BreakerOpened {
        /// What opened the circuit breaker.
        cause: BreakerCause,
    },
    /// The circuit breaker closed.
    BreakerClosed {
        /// How long the circuit breaker was open.
        after: Duration,
    },
}

/// `WatchEnd` says how hang detection ended for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// The request was answered, or made a nested call.
    Progressed,
    /// The request was given up before it was overdue.
    GivenUp,
    /// The request ended without an answer, or was given up after it was recorded as overdue.
    Recorded,
}

/// `UpstreamHealth` is the health of one upstream.
#[derive(Debug, Clone)]
pub struct UpstreamHealth {
    detector: AnomalyDetector,
    recovery: RecoveryPlan,
    failures: RateEstimate,
    routes: FnvHashMap<Rc<str>, RouteStats>,
    sibling_score: f64,
    peak_failure_rate: DecayingPeak,
    anomalous_since: Option<Duration>,
    reason: Option<EvidenceKind>,
    cold_until: Duration,
    stands_out_since: Option<Duration>,
    confirm_for: Duration,
    breaker: FailureBreaker,
    hang: HangDetector,
}

impl UpstreamHealth {
    /// Builds the health of an upstream that is in service from `now`; the load of a `cold`
    /// upstream rises slowly.
    pub fn new(prefer: EjectionPreference, now: Duration, cold: bool) -> Self {
        Self {
            detector: AnomalyDetector::new(threshold_of(prefer)),
            recovery: RecoveryPlan::new(now, cold),
            failures: RateEstimate::default(),
            routes: FnvHashMap::default(),
            sibling_score: 0.0,
            peak_failure_rate: DecayingPeak::default(),
            anomalous_since: None,
            reason: None,
            cold_until: if cold { now + RAMP_TIME } else { Duration::ZERO },
            stands_out_since: None,
            confirm_for: confirm_time(prefer),
            breaker: FailureBreaker::default(),
            hang: HangDetector::default(),
        }
    }

    /// Sets the ejection threshold directly, instead of by an [`EjectionPreference`].
    pub fn set_threshold(&mut self, threshold: f64) {
        self.detector.set_threshold(threshold);
    }

    /// Records that the backend server restarted: its load rises slowly, and until it has risen,
    /// slow answers are not evidence against the server.
    pub fn note_restart(&mut self, now: Duration) {
        self.recovery.ramp_from(now);
        self.cold_until = now + RAMP_TIME;
    }

    /// Changes whether the service prefers detection or precision.
    pub fn set_prefer(&mut self, prefer: EjectionPreference) {
        self.detector.set_threshold(threshold_of(prefer));
        self.confirm_for = confirm_time(prefer);
    }

    /// Says whether the circuit breaker is open.
    pub fn is_breaker_open(&self) -> bool {
        self.breaker.is_open()
    }

    /// Says whether the upstream is ejected or its circuit breaker is open.
    pub fn is_ejected_or_breaker_open(&self) -> bool {
        self.is_breaker_open() || self.recovery.is_ejected()
    }

    /// Says whether the upstream accepts a dispatch.
    pub fn admit(
        &mut self,
        terms: &DispatchTerms<'_>,
        now: Duration,
    ) -> (AdmitVerdict, Option<HealthChange>) {
        self.update_baseline(terms, now);
        // The dispatch carries a recent baseline of the siblings.
        let change = self.update_ejection(now);
        (self.admit_verdict(terms, now), change)
    }

    fn admit_verdict(&mut self, terms: &DispatchTerms<'_>, now: Duration) -> AdmitVerdict {
        if !self.recovery.is_ejected() {
            let admitted = self.breaker.admit(terms.repeatable, now) || !terms.passable;
            return if admitted { AdmitVerdict::Admit } else { AdmitVerdict::Refuse };
        }
        let overdue_after = self.trial_overdue_after(terms.route, now);
        if self.recovery.start_trial(now, terms.repeatable, overdue_after) {
            return AdmitVerdict::Trial;
        }
        if terms.refusable {
            AdmitVerdict::Refuse
        } else {
            AdmitVerdict::Admit
        }
    }

    fn update_baseline(&mut self, terms: &DispatchTerms<'_>, now: Duration) {
        if !terms.baseline.is_usable() {
            if terms.baseline.upstreams > 0 {
                self.route_mut(terms.route).baseline = terms.baseline;
            }
            return;
        }
        let mut baseline = terms.baseline;
        self.sibling_score = baseline.sickness;
        baseline.failure_rate = self.peak_failure_rate.note(baseline.failure_rate, now);
        self.route_mut(terms.route).baseline = baseline;
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteStats {
        let key = if self.routes.contains_key(route) || self.routes.len() < ROUTES_MAX {
            route
        } else {
            OTHER_ROUTES_KEY
        };
        if !self.routes.contains_key(key) {
            self.routes.insert(Rc::from(key), RouteStats::default());
        }
        self.routes.get_mut(key).unwrap_or_else(|| unreachable!("inserted above"))
    }

    /// Returns the last baseline of a route that a dispatch carried.
    pub fn baseline(&self, route: &str) -> ServiceBaseline {
        let stats = self.routes.get(route).or_else(|| self.routes.get(OTHER_ROUTES_KEY));
        stats.map(|stats| stats.baseline).unwrap_or_default()
    }

    /// Returns the time after which a request of a route is overdue, if there is a usable baseline.
    /// A cold upstream is given a longer time.
    pub fn overdue_after(&self, route: &str, now: Duration) -> Option<Duration> {
        let baseline = self.baseline(route);
        let factor = if now < self.cold_until { COLD_OVERDUE_FACTOR } else { 1.0 };
        baseline.is_usable().then(|| baseline.overdue_after().mul_f64(factor))
    }

    /// Records that a running request is overdue.
    pub fn note_overdue(&mut self, route: &str, now: Duration) -> Option<HealthChange> {
        let baseline = self.baseline(route);
        self.route_mut(route).overdue.note(true);
        self.detector.note_overdue(&baseline);
        self.update_ejection(now)
    }

    /// Records the evidence that a request gives about the upstream by its end.
    pub fn note_evidence(
        &mut self,
        route: &str,
        evidence: RequestEvidence,
        was_overdue: bool,
        now: Duration,
    ) -> Option<HealthChange> {
        let baseline = self.baseline(route);
        self.update_estimates(route, evidence, was_overdue);
        if now < self.cold_until {
            self.detector.note_untimed(evidence, &baseline);
        } else {
            self.detector.note(evidence, was_overdue, &baseline);
        }
        self.update_ejection(now)
    }

    fn update_estimates(&mut self, route: &str, evidence: RequestEvidence, was_overdue: bool) {
        if evidence != RequestEvidence::Neutral {
            self.failures.note(evidence == RequestEvidence::Failed);
        }
        if let RequestEvidence::Answered(latency) = evidence {
            let stats = self.route_mut(route);
            if !was_overdue {
                let is_overdue =
                    stats.baseline.is_usable() && latency > stats.baseline.overdue_after();
                stats.overdue.note(is_overdue);
            }
            stats.latency.note(latency);
        }
    }

    /// Returns the time after which a trial of a route is overdue, if anything is known of its
    /// service time.
    fn trial_overdue_after(&self, route: &str, now: Duration) -> Option<Duration> {
        let overdue_after = self.overdue_after(route, now);
        let usual = || self.usual_time(route, None);
        overdue_after.or_else(|| usual().map(|usual| usual.at(OVERDUE_DEVIATIONS)))
    }

    /// Records the end of the trial that was admitted at `admitted_at`.
    pub fn note_trial(
        &mut self,
        route: &str,
        evidence: RequestEvidence,
        admitted_at: Duration,
        now: Duration,
    ) -> Option<HealthChange> {
        let verdict = self.judge_trial(route, evidence);
        self.update_estimates(route, evidence, false);
        let since = self.recovery.since();
        if !self.recovery.end_trial(admitted_at, now, verdict) {
            return None;
        }
        self.detector.reset();
        self.anomalous_since = None;
        self.reason = None;
        let out = now.saturating_sub(since);
        Some(HealthChange::Returned { out })
    }

    fn judge_trial(&self, route: &str, evidence: RequestEvidence) -> TrialVerdict {
        let latency = match evidence {
            RequestEvidence::Neutral | RequestEvidence::Untimed => {
                return TrialVerdict::Inconclusive;
            }
            RequestEvidence::Failed => return TrialVerdict::Failed,
            RequestEvidence::Answered(latency) => latency,
        };
        let baseline = self.baseline(route);
        if !baseline.is_usable() {
            return TrialVerdict::Passed;
        }
        // An upstream that was ejected as slow must be close to its siblings again, not only below
        // the overdue time.
        let distance = evidence::log_micros(latency) - baseline.median_ln;
        if distance > (OVERDUE_DEVIATIONS / 2.0) * baseline.spread {
            TrialVerdict::Failed
        } else {
            TrialVerdict::Passed
        }
    }

    /// Records in the circuit breaker whether and how a request failed.
    pub fn note_end(
        &mut self,
        failure: Option<FailureKind>,
        started: Duration,
        now: Duration,
    ) -> Option<HealthChange> {
        match failure {
            Some(kind) => {
                let opened = self.breaker.note_failure(kind, started, now);
                let cause = BreakerCause::Failure(kind);
                opened.then_some(HealthChange::BreakerOpened { cause })
            }
            None => {
                let after = self.breaker.note_success(started, now)?;
                self.hang.forget();
                Some(HealthChange::BreakerClosed { after })
            }
        }
    }

    /// Returns the typical service time of a route: that of the siblings, if the baseline of the
    /// siblings is usable. Otherwise the time assumed from the objective is corrected by the
    /// reports of the few siblings and by the answers of this upstream. Without an objective, the
    /// time observed at this upstream is returned, if there were enough answers.
    pub fn usual_time(&self, route: &str, objective: Option<Duration>) -> Option<UsualTime> {
        let stats = self.routes.get(route).or_else(|| self.routes.get(OTHER_ROUTES_KEY));
        let stats = stats.copied().unwrap_or_default();
        if let Some(usual) = stats.baseline.usual_time() {
            return Some(usual);
        }
        let latency = &stats.latency;
        let observed = UsualTime { median_ln: latency.centre(), spread: latency.spread() };
        let samples = latency.samples();
        let objective = match objective {
            Some(objective) => objective,
            None => return (samples >= USUAL_TIME_SAMPLES_MIN).then_some(observed),
        };
        let siblings = stats.baseline.upstreams;
        if samples == 0 && siblings == 0 {
            // A route that no server has answered yet may be one that none can serve.
            return None;
        }
        let sibling_usual =
            UsualTime { median_ln: stats.baseline.median_ln, spread: stats.baseline.spread };
        let assumed = UsualTime::of_objective(objective)
            .corrected(&sibling_usual, siblings * ANSWERS_PER_SIBLING_REPORT);
        Some(assumed.corrected(&observed, samples))
    }

    /// Records that a request with this typical service time was sent to the upstream; returns the
    /// number by which the end of the request is recorded.
    pub fn start_request(&mut self, usual: UsualTime, now: Duration) -> u64 {
        self.hang.skip_pause(now);
        self.hang.start(usual, now)
    }

    /// Records that a request ended, made a nested call or was given up.
    pub fn end_request(
        &mut self,
        number: u64,
        end: WatchEnd,
        now: Duration,
    ) -> Option<HealthChange> {
        self.hang.skip_pause(now);
        let started = self.hang.started(number).unwrap_or(now);
        let evidence = self.hang.end(number, end == WatchEnd::Progressed, now);
        if end == WatchEnd::GivenUp && now >= self.cold_until {
            self.detector.note_given_up(evidence);
        }
        if let Some(change) = self.update_ejection(now) {
            return Some(change);
        }
        if !self.breaker.is_open() {
            return self.check_running(now);
        }
        if end == WatchEnd::Progressed {
            // The slow requests that opened the breaker were answered.
            let after = self.hang.is_over(now).then(|| self.breaker.retract(now)).flatten()?;
            return Some(HealthChange::BreakerClosed { after });
        }
        if evidence > 0.0 {
            // The trial request hung as well.
            self.breaker.note_failure(FailureKind::Broken, started, now);
        }
        None
    }

    /// Forgets the running requests after the host was suspended: the age of the requests includes
    /// the suspension and is no evidence of a hang.
    pub fn forget_running(&mut self) {
        self.hang.forget();
    }

    /// Checks the running requests: if they take too long, the circuit breaker opens.
    pub fn check_running(&mut self, now: Duration) -> Option<HealthChange> {
        self.hang.skip_pause(now);
        self.hang.note_check(now);
        if self.breaker.is_open() || now < self.cold_until || !self.hang.is_hanging(now) {
            return None;
        }
        let opened = self.breaker.note_hang(now);
        opened.then_some(HealthChange::BreakerOpened { cause: BreakerCause::Hang })
    }

    /// Withdraws a failure, as the request failed at another upstream as well.
    pub fn withdraw_failure(&mut self, route: &str) {
        let baseline = self.baseline(route);
        self.detector.withdraw_failure(&baseline);
    }

    fn update_ejection(&mut self, now: Duration) -> Option<HealthChange> {
        let sickness = self.detector.score();
        if sickness <= 0.0 {
            self.anomalous_since = None;
        } else if self.anomalous_since.is_none() {
            self.anomalous_since = Some(now);
        }
        if self.recovery.is_ejected() {
            return None;
        }
        if !self.stands_out(sickness) {
            self.stands_out_since = None;
            return None;
        }
        let stands_out_since = *self.stands_out_since.get_or_insert(now);
        if now.saturating_sub(stands_out_since) < self.confirm_for {
            return None;
        }
        self.stands_out_since = None;
        let reason = self.detector.reason();
        self.reason = Some(reason);
        self.recovery.eject(now);
        let after = now.saturating_sub(self.anomalous_since.unwrap_or(now));
        Some(HealthChange::Ejected { reason, sickness, after })
    }

    fn stands_out(&self, score: f64) -> bool {
        score >= score_bound(self.sibling_score)
    }

    /// Says whether the upstream is ejected.
    pub fn is_ejected(&self) -> bool {
        self.recovery.is_ejected()
    }

    /// Returns the recovery state of the upstream.
    pub fn recovery(&self) -> &RecoveryPlan {
        &self.recovery
    }

    /// Returns the kind of evidence that led to the ejection, or else the kind of the strongest
    /// evidence against the upstream so far.
    pub fn reason(&self) -> Option<EvidenceKind> {
        let has_evidence = self.detector.score() > 0.0;
        self.reason.or_else(|| has_evidence.then(|| self.detector.reason()))
    }

    /// Returns the health report to an ingress that dispatched a request of `route`.
    pub fn report(&self, route: &str, now: Duration) -> HealthReport {
        let stats = self.routes.get(route).or_else(|| self.routes.get(OTHER_ROUTES_KEY));
        let stats = stats.copied().unwrap_or_default();
        let sickness = self.detector.score();
        HealthReport {
            sickness,
            ejected: self.is_ejected(),
            median_ln: stats.latency.centre(),
            spread: stats.latency.spread(),
            failure_rate: self.failures.rate(),
            overdue_rate: stats.overdue.rate(),
            samples: stats.latency.samples(),
            ramp: self.recovery.ramp(now),
            trial_in: self.recovery.trial_in(now).unwrap_or(self.breaker.trial_in(now)),
            doubtful: self.breaker.is_open(),
        }
    }
}
