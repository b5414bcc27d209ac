// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Rate limits of the whole fleet: many ingresses, a killed owner of the limit, restarts, and
//! refusals.

mod common;

use std::time::Instant;

use basaltarch_decide::fleet_start::START_WINDOW;
use common::{eventually, FleetPlan, TestFleet};
use serde_json::json;
use test_case::test_case;

/// Starts a fleet with a limit of `rate` requests a second and of `burst` requests at once for one
/// organisation.
fn start_limited_fleet(daemons: usize, rate: f64, burst: f64) -> TestFleet {
    TestFleet::start(&FleetPlan {
        daemons,
        backends: daemons,
        limits: json!({"shop": {"scope": "organisation", "target": "khlung-shop",
                                "rate": rate, "burst": burst}}),
        ..FleetPlan::default()
    })
}

fn send_request(fleet: &TestFleet, daemon: usize) -> common::client::Reply {
    fleet.request(daemon, "GET", "/puzzle", &[("Basaltarch-Key", "khlung-key")], "")
}

#[test]
fn verify_requests_over_the_limit_are_refused_with_retry_after() {
    let fleet = start_limited_fleet(2, 0.5, 4.0);
    let replies: Vec<_> = (0..20).map(|number| send_request(&fleet, number % 2)).collect();
    let served_count = replies.iter().filter(|reply| reply.status == 200).count();
    assert!((1..=6).contains(&served_count), "{served_count} of 20 with a burst of 4");
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        assert_eq!((reply.status, reply.reason().as_deref()), (429, Some("limited")));
        assert_eq!(reply.outcome().as_deref(), Some("not-run"));
        assert!(reply.header("retry-after").is_some());
    }
    // Callers outside this organisation are not subject to its limit.
    assert_eq!(fleet.request(0, "GET", "/puzzle", &[], "").status, 200);
}

#[test]
fn verify_the_rate_holds_over_many_ingresses() {
    let fleet = start_limited_fleet(4, 40.0, 10.0);
    let start = Instant::now();
    let mut served_count = 0;
    // The number of requests is fixed. On a slow machine the requests take more time, and the limit
    // allows more requests in that time.
    for number in 0..2000 {
        served_count += u32::from(send_request(&fleet, number % 4).status == 200);
    }
    let served_max = 10.0 + 40.0 * start.elapsed().as_secs_f64();
    assert!(
        f64::from(served_count) <= served_max * 1.1,
        "{served_count} requests served, at most {served_max} allowed"
    );
    assert!(served_count > 0);
}

#[test]
fn verify_the_rate_holds_after_the_owner_of_the_limit_is_killed() {
    let mut fleet = start_limited_fleet(3, 20.0, 10.0);
    // Any daemon may own the limit. With two of three daemons killed, the last daemon must still
    // enforce the limit.
    fleet.daemons[1].kill();
    fleet.daemons[2].kill();
    eventually("the limit is still served", || send_request(&fleet, 0).status == 200);
    let start = Instant::now();
    let mut served_count = 0;
    for _ in 0..1500 {
        served_count += u32::from(send_request(&fleet, 0).status == 200);
    }
    let served_max = 10.0 + 20.0 * start.elapsed().as_secs_f64();
    assert!(
        f64::from(served_count) <= served_max * 1.1,
        "{served_count} requests served, at most {served_max} allowed"
    );
}

#[test_case(1 ; "once")]
#[test_case(2 ; "twice")]
fn verify_a_kill_of_all_daemons_grants_no_second_burst(kills: usize) {
    let (rate, burst) = (0.5, 40.0);
    let mut fleet = start_limited_fleet(3, rate, burst);
    let start = Instant::now();
    let count_served = |fleet: &TestFleet| {
        (0..60).filter(|number| send_request(fleet, number % 3).status == 200).count()
    };
    let mut served_count = count_served(&fleet);
    assert!(
        served_count as f64 >= burst / 2.0,
        "a fleet that starts for the first time served only {served_count} requests of its burst"
    );
    for _ in 0..kills {
        fleet.restart_all(&[]);
        served_count += count_served(&fleet);
    }
    let served_max = burst + rate * start.elapsed().as_secs_f64();
    assert!(
        served_count as f64 <= served_max * 1.1,
        "{served_count} requests served, at most {served_max} allowed"
    );
}

/// Guards against a daemon that read an empty store and therefore took itself for restarted.
#[test]
fn verify_a_fleet_that_starts_on_an_empty_store_grants_its_burst() {
    let burst = 40.0;
    // A daemon with an address for registrations writes its row late, so that it reads the table of
    // hosts before anything was written.
    let fleet = TestFleet::start(&FleetPlan {
        daemons: 1,
        backends: 1,
        daemon_flags: vec![("registration", "127.0.0.1:0")],
        limits: json!({"shop": {"scope": "organisation", "target": "khlung-shop",
                                "rate": 0.01, "burst": burst}}),
        ..FleetPlan::default()
    });
    let served_count = (0..40).filter(|_| send_request(&fleet, 0).status == 200).count();
    assert!(served_count as f64 >= burst / 2.0, "{served_count} of a burst of {burst}");
}

/// Guards against a fleet that forgot within seconds of its first start that no tokens were granted.
#[test]
fn verify_a_burst_is_granted_long_after_the_start_of_a_fleet() {
    let burst = 40.0;
    let start = Instant::now();
    let fleet = start_limited_fleet(1, 0.01, burst);
    eventually("the start is long ago", || start.elapsed() > START_WINDOW * 2);
    let served_count = (0..40).filter(|_| send_request(&fleet, 0).status == 200).count();
    assert!(served_count as f64 >= burst / 2.0, "{served_count} of a burst of {burst}");
}

#[test]
fn verify_a_restarted_fleet_serves_callers_below_the_rate() {
    // The rate is so high that callers stay far below it on any machine.
    let mut fleet = start_limited_fleet(3, 20_000.0, 40.0);
    assert_eq!(send_request(&fleet, 0).status, 200);
    fleet.restart_all(&[]);
    let refused_count =
        (0..20).filter(|number| send_request(&fleet, number % 3).status == 429).count();
    assert_eq!(refused_count, 0, "refusals of 20 requests, which the rate allows in 1 ms");
}
