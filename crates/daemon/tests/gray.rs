// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Gray failures end to end: daemons as processes, load from callers, and servers that fail
//! partially.

mod common;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::{client, eventually, FleetPlan, TestFleet};
use serde_json::{json, Value};
use test_case::test_case;

/// Number of pauses of a daemon.
const PAUSES: usize = 20;
/// Time for which a daemon is paused: many times the service time of a server.
const PAUSE: Duration = Duration::from_millis(150);

/// Callers that send requests one after another until [`Load::end`] is called.
struct Load {
    stop: Arc<AtomicBool>,
    good_count: Arc<AtomicU64>,
    bad_count: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &TestFleet, callers: usize, path: &'static str) -> Self {
        let (stop, good_count, bad_count) =
            (Arc::<AtomicBool>::default(), Arc::default(), Arc::default());
        let threads = (0..callers)
            .map(|number| {
                let address = fleet.daemons[number % fleet.daemons.len()].callers;
                let (stop, good_count, bad_count) =
                    (stop.clone(), Arc::clone(&good_count), Arc::clone(&bad_count));
                thread::spawn(move || {
                    while !stop.load(Ordering::SeqCst) {
                        let headers = [("Host", "solver.example")];
                        let reply = client::try_call(address, "GET", path, &headers, "");
                        let is_good = reply.is_some_and(|reply| reply.status == 200);
                        let count: &AtomicU64 = if is_good { &good_count } else { &bad_count };
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                })
            })
            .collect();
        Self { stop, good_count, bad_count, threads }
    }

    fn good_count(&self) -> u64 {
        self.good_count.load(Ordering::SeqCst)
    }

    fn bad_count(&self) -> u64 {
        self.bad_count.load(Ordering::SeqCst)
    }

    /// Stops the load. Returns the numbers of good replies, whose status is 200, and of bad
    /// replies.
    fn end(self) -> (u64, u64) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("join");
        }
        (self.good_count.load(Ordering::SeqCst), self.bad_count.load(Ordering::SeqCst))
    }
}

/// Starts nine servers of a service that prefers precision: false ejections are avoided even if
/// some faulty servers are not ejected.
fn start_precision_fleet() -> TestFleet {
    TestFleet::start(&FleetPlan {
        daemons: 3,
        backends: 9,
        service_ms: 10,
        service: json!({"floor": 0.5, "prefer": "precision", "retry_budget": 0.3}),
        ..FleetPlan::default()
    })
}

/// Returns the health of an upstream as reported by the daemon beside the upstream.
fn health_at_own_daemon(fleet: &TestFleet, upstream: &str) -> Value {
    for daemon in &fleet.daemons {
        let health = daemon.get("/v1/health?service=solver-app");
        for each in health["services"][0]["upstreams"].as_array().expect("upstreams") {
            if each["upstream"] == upstream && !each["here"].is_null() {
                return each["here"].clone();
            }
        }
    }
    panic!("no daemon reports the health of {upstream}");
}

fn is_ejected(fleet: &TestFleet, upstream: &str) -> bool {
    health_at_own_daemon(fleet, upstream)["ejected"] == json!(true)
}

#[test_case(json!({"error_rate": 0.6}), "failing" ; "errors")]
#[test_case(json!({"error_rate": 0.8, "quick_errors": true}), "failing" ; "quick errors")]
#[test_case(json!({"slow_rate": 1.0, "slow_factor": 8.0}), "" ; "slow")]
#[test_case(json!({"stuck": true}), "" ; "stuck")]
#[test_case(json!({"break_at": "in-answer-body"}), "failing" ; "truncated")]
fn verify_a_gray_server_is_ejected_and_returns_when_healthy(fault: Value, evidence: &str) {
    let fleet = start_precision_fleet();
    let load = Load::start(&fleet, 12, "/puzzle");
    eventually("the fleet is warmed up", || load.good_count() > 600);
    let bad_count_before = load.bad_count();
    fleet.backends[4].set_faults(fault);
    eventually("the server is ejected", || is_ejected(&fleet, "server-5"));
    let health_report = health_at_own_daemon(&fleet, "server-5");
    assert!(
        health_report["evidence"].as_str().expect("evidence").contains(evidence),
        "{health_report}"
    );
    for daemon in &fleet.daemons {
        let log = daemon.log_text();
        let ejections = log.lines().filter(|line| line.contains("upstream ejected")).count();
        let expected_ejections = log
            .lines()
            .filter(|line| line.contains("upstream ejected") && line.contains("server-5"));
        assert_eq!(ejections, expected_ejections.count(), "no healthy server is ejected:\n{log}");
    }
    let ejection_count: f64 =
        fleet.daemons.iter().map(|d| d.metric_sum("detection_seconds_count")).sum();
    assert!(ejection_count >= 1.0, "the ejection is counted in the histogram");
    let good_count_before = load.good_count();
    eventually("callers are still served", || load.good_count() > good_count_before + 300);
    assert_eq!(load.bad_count(), bad_count_before, "no caller sees a repeatable request fail");
    fleet.backends[4].set_faults(json!({}));
    eventually("the server is no longer ejected", || !is_ejected(&fleet, "server-5"));
    let count_before = fleet.backends[4].total_runs();
    eventually("the server receives requests again", || {
        fleet.backends[4].total_runs() > count_before + 20
    });
    load.end();
    fleet.check_invariants();
}

#[test]
fn verify_false_health_and_load_reports_change_nothing() {
    let fleet = start_precision_fleet();
    // One server fails requests but answers health checks with 200 and reports no load.
    let server_faults = json!({"error_rate": 0.8, "health_status": 200, "claimed_load": 0});
    // Another server serves requests but answers health checks with 503 and reports full load.
    fleet.backends[0].set_faults(json!({"health_status": 503, "claimed_load": 1000}));
    let probe = client::call(fleet.backends[0].address, "GET", "/health", &[], "");
    assert_eq!(probe.status, 503);
    let load = Load::start(&fleet, 12, "/puzzle");
    eventually("the fleet is warmed up", || load.good_count() > 600);
    fleet.backends[4].set_faults(server_faults);
    eventually("the faulty server is ejected", || is_ejected(&fleet, "server-5"));
    let count_before = fleet.backends[0].total_runs();
    eventually("the healthy server receives requests", || {
        fleet.backends[0].total_runs() > count_before + 100
    });
    assert!(!is_ejected(&fleet, "server-1"));
    load.end();
    let probe_count = |backend: &common::TestBackend| backend.run_counters()["probes"].as_u64();
    assert_eq!(probe_count(&fleet.backends[0]), Some(1), "only the health check of this test");
    assert!(fleet.backends[1..].iter().all(|backend| probe_count(backend) == Some(0)));
    fleet.check_invariants();
}

#[test]
fn verify_many_faulty_servers_never_take_the_service_below_its_floor() {
    let plan = FleetPlan {
        daemons: 3,
        backends: 6,
        service_ms: 5,
        service: json!({"floor": 0.67, "prefer": "detection"}),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(&plan);
    let load = Load::start(&fleet, 9, "/puzzle");
    eventually("the fleet is warmed up", || load.good_count() > 400);
    for backend in &fleet.backends[..4] {
        backend.set_faults(json!({"error_rate": 0.9}));
    }
    let ejected_count = || (1..=4).filter(|n| is_ejected(&fleet, &format!("server-{n}"))).count();
    eventually("several servers are ejected, or none is an outlier", || {
        ejected_count() >= 2 || load.good_count() > 6000
    });
    let sent_before = load.good_count() + load.bad_count();
    eventually("load continues", || load.good_count() + load.bad_count() > sent_before + 500);
    for daemon in &fleet.daemons {
        let health = daemon.get("/v1/health?service=solver-app");
        let service = &health["services"][0];
        let (in_service, floor) = (&service["in_service_slots"], &service["floor_slots"]);
        assert_eq!(floor, &json!(17), "0.67 of 24 slots, rounded up");
        assert!(in_service.as_u64() >= floor.as_u64(), "{service}");
    }
    load.end();
    fleet.check_invariants();
}

#[test]
fn verify_a_fault_shared_by_all_servers_ejects_none() {
    let fleet = start_precision_fleet();
    let load = Load::start(&fleet, 12, "/puzzle");
    eventually("the fleet is warmed up", || load.good_count() > 600);
    for backend in &fleet.backends {
        backend.set_faults(json!({"slow_rate": 1.0, "slow_factor": 3.0}));
    }
    let good_when_slow = load.good_count();
    eventually("the fleet is still serving", || load.good_count() > good_when_slow + 1500);
    let ejected_count = (1..=9).filter(|n| is_ejected(&fleet, &format!("server-{n}"))).count();
    assert!(ejected_count <= 1, "{ejected_count} servers were ejected for a fault of all servers");
    load.end();
    fleet.check_invariants();
}

#[test_case(0.1, 1 ; "with a retry budget")]
#[test_case(0.0, 3 ; "without a retry budget and with more callers")]
fn verify_poison_requests_eject_no_server(retry_budget: f64, callers: usize) {
    let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": retry_budget});
    let plan =
        FleetPlan { daemons: 3, backends: 9, service_ms: 5, service, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    for backend in &fleet.backends {
        backend.set_faults(json!({"error_rate": 1.0, "error_prefix": "/poison"}));
    }
    let load = Load::start(&fleet, 9, "/puzzle");
    let poison_load = Load::start(&fleet, callers, "/poison");
    eventually("enough requests of both kinds were sent", || {
        load.good_count() > 3000 && poison_load.bad_count() > 100
    });
    let ejected_count = (1..=9).filter(|n| is_ejected(&fleet, &format!("server-{n}"))).count();
    assert_eq!(ejected_count, 0);
    let exempted_count: f64 =
        fleet.daemons.iter().map(|daemon| daemon.metric_sum("poison_spared")).sum();
    assert!(exempted_count > 50.0, "{exempted_count} attempts were known to be poison requests");
    poison_load.end();
    let (_, bad_count) = load.end();
    assert_eq!(bad_count, 0);
    fleet.check_invariants();
}

/// Guards against servers that are ejected because the daemon beside them was paused.
#[test]
fn verify_a_paused_daemon_ejects_none_of_its_servers() {
    let service = json!({"floor": 0.5, "prefer": "detection"});
    let plan =
        FleetPlan { daemons: 3, backends: 9, service_ms: 10, service, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    let load = Load::start(&fleet, 30, "/puzzle");
    eventually("the fleet is warmed up", || load.good_count() > 600);
    let paused_daemon = &fleet.daemons[0];
    for _ in 0..PAUSES {
        let good_before = load.good_count();
        paused_daemon.signal("-STOP");
        let start = Instant::now();
        eventually("the pause lasts", || start.elapsed() >= PAUSE);
        paused_daemon.signal("-CONT");
        eventually("requests are served", || load.good_count() > good_before + 200);
    }
    load.end();
    let log = paused_daemon.log_text();
    let ejections: Vec<&str> = log.lines().filter(|l| l.contains("upstream ejected")).collect();
    assert!(ejections.is_empty(), "{ejections:#?}");
    fleet.check_invariants();
}

/// Guards against circuit breakers that poison requests open, so that sound servers decline others.
#[test]
fn verify_poison_requests_open_no_circuit_breaker() {
    const OPENED: &str = r#""message":"upstream doubted""#;
    const BY_ERRORS: &str = r#""cause":"error-answers""#;
    let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 0.0});
    let plan = FleetPlan { daemons: 1, backends: 6, service, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    for backend in &fleet.backends {
        backend.set_faults(json!({"error_rate": 1.0, "error_prefix": "/poison"}));
    }
    let exempted_count = || fleet.daemons[0].metric_sum("poison_spared");
    eventually("the request is known as a poison request", || {
        fleet.request(0, "GET", "/poison", &[], "");
        exempted_count() > 0.0
    });
    let count_openings = || {
        let log = fleet.daemons[0].log_text();
        log.lines().filter(|line| line.contains(OPENED) && line.contains(BY_ERRORS)).count()
    };
    let opening_count = count_openings();
    let exempted_max = exempted_count() + 100.0;
    eventually("many more poison requests were sent", || {
        fleet.request(0, "GET", "/poison", &[], "");
        exempted_count() > exempted_max
    });
    assert_eq!(count_openings(), opening_count, "circuit breakers opened by known poison requests");
}

/// Guards against a fault in which the record of poison requests was dropped whenever the servers
/// of their service changed, which happens when servers crash and restart. The next failure of a
/// poison request then counted against the server that ran the request.
#[test]
fn verify_poison_requests_are_remembered_when_the_service_changes() {
    let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 0.5});
    let plan = FleetPlan { daemons: 1, backends: 6, service, ..FleetPlan::default() };
    let fleet = TestFleet::start(&plan);
    for backend in &fleet.backends {
        backend.set_faults(json!({"error_rate": 1.0, "error_prefix": "/poison"}));
    }
    let exempted_count = || fleet.daemons[0].metric_sum("poison_spared");
    let send_request = || fleet.request(0, "GET", "/poison", &[], "");
    eventually("the request is known as a poison request", || {
        let count_before = exempted_count();
        send_request();
        exempted_count() > count_before
    });
    let mut changed_configuration = fleet.build_configuration(&plan);
    changed_configuration["services"]["solver-app"]["floor"] = json!(0.4);
    assert_eq!(fleet.apply(&changed_configuration).status, 200);
    fleet.wait_revision(2);
    let count_before = exempted_count();
    send_request();
    assert!(exempted_count() > count_before, "the request is still known as a poison request");
}
