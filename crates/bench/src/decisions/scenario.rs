// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Deployments, loads and faults of the decision bench.

use std::time::Duration;

/// `ServiceDeployment` is a simulated service. Its size is one that the project's requirements
/// state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceDeployment {
    /// Name of the service.
    pub name: &'static str,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Failure domains that the upstreams are spread over.
    pub domains: usize,
    /// Floor of the service: the share of its slots that ejections must leave in service.
    pub floor: f64,
}

/// The services whose sizes the project's requirements state.
pub const DEPLOYMENTS: [ServiceDeployment; 4] = [
    ServiceDeployment { name: "solver-app", upstreams: 15, slots: 4, domains: 3, floor: 0.7 },
    ServiceDeployment { name: "contest-desk", upstreams: 6, slots: 4, domains: 3, floor: 0.6 },
    ServiceDeployment { name: "reader-desk", upstreams: 25, slots: 3, domains: 4, floor: 0.8 },
    ServiceDeployment { name: "billing-core", upstreams: 8, slots: 3, domains: 4, floor: 0.75 },
];

/// `LoadLevel` is a mean utilisation of the slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadLevel {
    /// Name of the load.
    pub name: &'static str,
    /// Mean share of all slots that are in use.
    pub share: f64,
}

/// Loads of the bench: at night, by day and in the morning peak.
pub const LOADS: [LoadLevel; 3] = [
    LoadLevel { name: "low", share: 0.08 },
    LoadLevel { name: "normal", share: 0.3 },
    LoadLevel { name: "morning", share: 0.6 },
];

/// `FaultScript` is the behaviour that is injected into upstreams while the fault lasts. The value
/// of a variant is the share, factor or time that the comment of the variant calls "this".
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultScript {
    /// No upstream is faulty.
    Healthy,
    /// This share of requests fails after an ordinary service time.
    Errors(f64),
    /// This share of the requests of one route fails; requests of the other three routes succeed.
    RouteErrors(f64),
    /// This share of requests fails in a fiftieth of the ordinary service time.
    QuickErrors(f64),
    /// This share of responses is truncated.
    Truncated(f64),
    /// All requests take this many times the ordinary service time.
    Slow(f64),
    /// This share of requests takes ten times the ordinary service time.
    Tail(f64),
    /// This share of requests never gets a response.
    Stuck(f64),
    /// Half of the requests fail in every other period of this many milliseconds.
    Flapping(u64),
    /// One upstream starts cold: it is slower by this factor at first, and reaches full speed after
    /// 10 s.
    ColdStart(f64),
    /// One upstream starts cold, and never responds to this share of requests.
    ColdStuck(f64),
    /// All requests take this many times the ordinary service time on all upstreams.
    AllSlow(f64),
    /// This share of requests fails on all upstreams.
    AllErrors(f64),
    /// This share of requests is poison: a poison request fails at whichever upstream runs it.
    Poison(f64),
    /// Half of the requests fail although the health endpoint of the faulty upstream reports no
    /// failure, while the health endpoints of this share of the healthy upstreams report a failure.
    LyingHealth(f64),
    /// Half of the requests fail, and the load endpoint leaves out this share of the load.
    LyingLoad(f64),
    /// This share of requests fails, and each upstream gets one request in ten seconds.
    LowTraffic(f64),
    /// All requests take this many times as long as without the fault. A fifth of the requests are
    /// of a route whose requests take twenty times as long as those of the other routes.
    MixedSlow(f64),
    /// No upstream is faulty. The routes are those of [`Self::MixedSlow`]; the value is not used.
    MixedHealthy(f64),
    /// No upstream is faulty; this share of service times is in the heavy tail, and load comes in
    /// bursts.
    Bursts(f64),
}

/// `FaultCase` is one kind of fault, at five severities.
#[derive(Debug, Clone, Copy)]
pub struct FaultCase {
    /// Name of the case.
    pub name: &'static str,
    /// Returns the script of a severity from 0 to 4.
    pub script: fn(usize) -> FaultScript,
    /// Whether exactly one upstream is faulty, rather than none or all.
    pub one_is_faulty: bool,
}

/// Shares of affected requests, by severity.
const AFFECTED_SHARES: [f64; 5] = [0.15, 0.3, 0.5, 0.75, 1.0];
/// Factors on the service time, by severity.
const SLOWNESS_FACTORS: [f64; 5] = [2.0, 3.0, 4.0, 6.0, 10.0];

/// Every case of the bench.
pub const CASES: [FaultCase; 20] = [
    FaultCase {
        name: "errors",
        script: |s| FaultScript::Errors(AFFECTED_SHARES[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "one route fails",
        script: |s| FaultScript::RouteErrors([0.3, 0.5, 0.7, 0.85, 1.0][s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "quick errors",
        script: |s| FaultScript::QuickErrors(AFFECTED_SHARES[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "truncated",
        script: |s| FaultScript::Truncated(AFFECTED_SHARES[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "slow",
        script: |s| FaultScript::Slow(SLOWNESS_FACTORS[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "slow tail",
        script: |s| FaultScript::Tail([0.1, 0.2, 0.3, 0.4, 0.6][s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "stuck",
        script: |s| FaultScript::Stuck(AFFECTED_SHARES[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "flapping",
        script: |s| FaultScript::Flapping([250, 500, 1000, 2000, 4000][s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "health endpoint lies",
        script: |s| FaultScript::LyingHealth([0.1, 0.2, 0.4, 0.7, 1.0][s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "load endpoint lies",
        script: |s| FaultScript::LyingLoad([0.2, 0.4, 0.6, 0.8, 1.0][s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "stuck from its start",
        script: |s| FaultScript::ColdStuck(AFFECTED_SHARES[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "low traffic",
        script: |s| FaultScript::LowTraffic([0.5, 0.65, 0.8, 0.9, 1.0][s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "mixed routes, slow",
        script: |s| FaultScript::MixedSlow(SLOWNESS_FACTORS[s]),
        one_is_faulty: true,
    },
    FaultCase {
        name: "cold start",
        script: |s| FaultScript::ColdStart([1.5, 2.0, 3.0, 4.0, 6.0][s]),
        one_is_faulty: false,
    },
    FaultCase {
        name: "load spike on all",
        script: |s| FaultScript::AllSlow([1.3, 1.6, 2.0, 3.0, 5.0][s]),
        one_is_faulty: false,
    },
    FaultCase {
        name: "shared dependency",
        script: |s| FaultScript::AllErrors([0.1, 0.2, 0.4, 0.7, 1.0][s]),
        one_is_faulty: false,
    },
    FaultCase {
        name: "poison requests",
        script: |s| FaultScript::Poison([0.01, 0.02, 0.05, 0.1, 0.2][s]),
        one_is_faulty: false,
    },
    FaultCase {
        name: "mixed routes, healthy",
        script: |s| FaultScript::MixedHealthy([1.0, 1.0, 1.0, 1.0, 1.0][s]),
        one_is_faulty: false,
    },
    FaultCase { name: "healthy", script: |_| FaultScript::Healthy, one_is_faulty: false },
    FaultCase {
        name: "heavy tail and bursts",
        script: |s| FaultScript::Bursts([0.005, 0.01, 0.02, 0.03, 0.05][s]),
        one_is_faulty: false,
    },
];

/// Minimum time before the fault, in which the rules learn typical latencies and failure rates.
pub const WARM_UP: Duration = Duration::from_secs(15);
/// Time that the fault lasts.
pub const FAULT_TIME: Duration = Duration::from_secs(45);
/// Time after the fault, in which an ejected upstream may return.
pub const AFTER_FAULT_TIME: Duration = Duration::from_secs(60);
/// Factor on the lengths of the phases of a run in the low-traffic case, so that enough requests
/// arrive in each phase.
pub const LOW_TRAFFIC_STRETCH: u32 = 40;
/// Time between requests to one upstream in the low-traffic case.
pub const LOW_TRAFFIC_GAP: Duration = Duration::from_secs(10);

/// Median service time of an ordinary request.
pub const SERVICE_TIME_MEDIAN: Duration = Duration::from_millis(40);
/// Standard deviation of the natural logarithm of service times.
pub const SERVICE_TIME_LN_DEVIATION: f64 = 0.5;
/// Share of requests that fail at a healthy upstream.
pub const USUAL_FAILURE_SHARE: f64 = 0.001;
/// Share of requests that are stragglers at a healthy upstream. A straggler takes
/// [`STRAGGLER_FACTOR`] times as long as an ordinary request.
pub const USUAL_STRAGGLER_SHARE: f64 = 0.002;
/// Factor on the service time of a straggler.
pub const STRAGGLER_FACTOR: f64 = 10.0;
/// Factor on the service time of the slow route of the mixed cases.
pub const SLOW_ROUTE_FACTOR: f64 = 20.0;
/// Share of requests that take the slow route in the mixed cases.
pub const SLOW_ROUTE_SHARE: f64 = 0.2;
/// Share of requests that are safe to retry.
pub const REPEATABLE_SHARE: f64 = 0.7;
/// Time-out of a request at its ingress and its upstream.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// One-way network delay between failure domains, as the project's requirements state.
pub const REMOTE_DELAY: Duration = Duration::from_micros(1500);
/// One-way network delay within a failure domain, as the project's requirements state.
pub const LOCAL_DELAY: Duration = Duration::from_micros(200);
/// Number of ingresses, through which requests arrive.
pub const INGRESS_COUNT: usize = 4;
/// Maximum number of requests in the queue of each upstream.
pub const QUEUE_LENGTH_MAX: usize = 16;

/// `ScenarioPlan` is the deployment, load and fault of one run.
#[derive(Debug, Clone, Copy)]
pub struct ScenarioPlan {
    /// Simulated service of the run.
    pub deployment: ServiceDeployment,
    /// Load on the service.
    pub load: LoadLevel,
    /// Fault that is injected.
    pub script: FaultScript,
    /// Whether exactly one upstream is faulty.
    pub one_is_faulty: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl ScenarioPlan {
    /// Returns the factor on the lengths of the phases of the run.
    fn time_stretch(&self) -> u32 {
        match self.script {
            FaultScript::LowTraffic(_) => LOW_TRAFFIC_STRETCH,
            _ => 1,
        }
    }

    /// Returns the virtual time at which the fault begins.
    pub fn fault_begin(&self) -> Duration {
        // Plain rules evaluate at fixed intervals. The offset, which depends on the seed, keeps the
        // start of the fault from always coinciding with an evaluation.
        let offset = Duration::from_millis(self.seed.wrapping_mul(7919) % 10_000);
        (WARM_UP + offset) * self.time_stretch()
    }

    /// Returns the virtual time at which the fault ends.
    pub fn fault_end(&self) -> Duration {
        self.fault_begin() + FAULT_TIME * self.time_stretch()
    }

    /// Returns whether the fault is active at the virtual time `now`.
    pub fn is_in_fault(&self, now: Duration) -> bool {
        (self.fault_begin()..self.fault_end()).contains(&now)
    }

    /// Returns the virtual time at which the run ends.
    pub fn end(&self) -> Duration {
        self.fault_end() + AFTER_FAULT_TIME * self.time_stretch()
    }

    /// Returns whether the load mixes requests of a slow route with requests of fast routes.
    pub fn is_mixed(&self) -> bool {
        matches!(self.script, FaultScript::MixedSlow(_) | FaultScript::MixedHealthy(_))
    }

    /// Returns the mean time between requests to the whole service.
    pub fn mean_gap(&self) -> Duration {
        let upstreams = self.deployment.upstreams as u32;
        if let FaultScript::LowTraffic(_) = self.script {
            return LOW_TRAFFIC_GAP / upstreams;
        }
        let slots = f64::from(self.deployment.slots * upstreams);
        let mut mean =
            SERVICE_TIME_MEDIAN.as_secs_f64() * (SERVICE_TIME_LN_DEVIATION.powi(2) / 2.0).exp();
        if self.is_mixed() {
            mean *= 1.0 - SLOW_ROUTE_SHARE + SLOW_ROUTE_SHARE * SLOW_ROUTE_FACTOR;
        }
        Duration::from_secs_f64(mean / (slots * self.load.share))
    }
}
