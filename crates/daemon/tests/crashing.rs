// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Requests that crash every server that runs them must be refused by the whole fleet.
//!
//! Guards against a fault in which one bad request, sent repeatedly, crashed 25 servers of a
//! service of 15 within half a minute, while over a tenth of all requests failed. Each daemon
//! retried a copy at up to three servers, and each crash also failed the other requests on the
//! crashed server. A daemon's record of the request was not shared with other daemons and applied
//! only to retries. The record was dropped whenever the servers of the service changed, which each
//! crash causes. 40 copies sent to six daemons crashed 37 servers.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use basaltarch_ctl::explain;
use basaltarch_daemon::roster::HOSTS_TABLE;
use common::{client, eventually, FleetPlan, TestBackend, TestDaemon, TestFleet};
use serde_json::json;

/// Path of the bad request.
const BAD_PATH: &str = "/puzzle/bad";
/// Number of copies of the bad request that are sent.
const COPY_COUNT: usize = 40;
/// Maximum number of crashes that the bad request may cause: three before the request is known to
/// crash servers, and three by copies that were sent before every daemon was notified.
const CRASHES_MAX: u64 = 6;
/// Time in milliseconds that a crashed server needs to restart.
const RESTART_MS: u64 = 300;

/// Maximum number of popular requests that one caller sends, so that a failing test ends.
const REQUESTS_PER_CALLER_MAX: u64 = 100_000;

/// Starts a fleet whose servers crash when they run the bad request.
fn start_fragile_fleet(daemons: usize, backends: usize) -> TestFleet {
    let service = json!({"floor": 0.5, "prefer": "detection", "retry_budget": 0.5});
    let fleet = TestFleet::start(&FleetPlan {
        daemons,
        backends,
        service_ms: 5,
        service,
        ..FleetPlan::default()
    });
    for backend in &fleet.backends {
        backend.set_faults(
            json!({"crash_path": BAD_PATH, "crash_after_ms": 20, "down_ms": RESTART_MS}),
        );
    }
    fleet
}

/// Waits until a server is up and returns how often the server has crashed.
fn wait_crash_count(backend: &TestBackend) -> u64 {
    let mut crash_count = None;
    eventually("the server is up", || {
        let reply = client::try_call(backend.address, "GET", "/__control/runs", &[], "");
        crash_count = reply.and_then(|reply| reply.json()["crashes"].as_u64());
        crash_count.is_some()
    });
    crash_count.expect("a count")
}

fn count_total_crashes(fleet: &TestFleet) -> u64 {
    fleet.backends.iter().map(wait_crash_count).sum()
}

#[test]
fn verify_a_request_that_crashes_servers_is_known_to_the_whole_fleet() {
    let fleet = start_fragile_fleet(6, 9);
    for number in 0..COPY_COUNT {
        let id = format!("copy-{number}");
        let reply = fleet.request(number % 6, "GET", BAD_PATH, &[("x-request-id", &id)], "");
        assert_ne!(reply.status, 200, "no server can answer the bad request");
        // Each copy is sent while a server is up, as a copy can't crash a server that is down.
        eventually("a server is up", || {
            fleet.request(number % 6, "GET", "/puzzle/good", &[], "").status == 200
        });
    }
    let crashed = count_total_crashes(&fleet);
    assert!(crashed <= CRASHES_MAX, "{COPY_COUNT} copies crashed {crashed} servers");
    for daemon in 0..6 {
        let reply = fleet.request(daemon, "GET", BAD_PATH, &[], "");
        let refusal = (reply.status, reply.outcome(), reply.reason());
        let expected_refusal =
            (503, Some("not-run".to_owned()), Some("crashes-servers".to_owned()));
        assert_eq!(refusal, expected_refusal, "refused as not run by every daemon");
    }
    assert_eq!(count_total_crashes(&fleet), crashed, "the bad request has not run again");
    fleet.check_invariants();
}

#[test]
fn verify_a_crash_is_distinguished_from_a_broken_connection() {
    let fleet = start_fragile_fleet(1, 1);
    let read_log = || fleet.daemons[0].log_text();
    fleet.request(0, "GET", BAD_PATH, &[("x-request-id", "crashes")], "");
    let has_logged_break = |id: &str, crashed: bool| {
        let expected_parts = [format!("\"request\":\"{id}\""), format!("\"crashed\":{crashed}")];
        let is_break = |line: &&str| line.contains("work broke");
        read_log()
            .lines()
            .filter(is_break)
            .any(|line| expected_parts.iter().all(|part| line.contains(part)))
    };
    eventually("the crash is logged", || has_logged_break("crashes", true));
    assert!(read_log().contains("backend server crashed"));
    wait_crash_count(&fleet.backends[0]);
    fleet.backends[0].set_faults(json!({"break_at": "after-run"}));
    eventually("the broken connection is logged", || {
        fleet.request(0, "GET", "/plain/x", &[("x-request-id", "breaks")], "");
        has_logged_break("breaks", false)
    });
    assert!(!has_logged_break("breaks", true), "a server that still listens has not crashed");
}

/// Returns the number of distinct requests that a daemon refuses because the requests crash
/// servers.
fn refused_request_count(daemon: &TestDaemon) -> f64 {
    daemon.metric_sum("requests_refused")
}

/// Sends copies of the bad request to the first daemon until a copy is refused, and waits until
/// every daemon refuses the request.
fn wait_until_refused(fleet: &TestFleet) {
    eventually("the request is refused", || {
        let reply = fleet.request(0, "GET", BAD_PATH, &[], "");
        reply.reason().as_deref() == Some("crashes-servers")
    });
    for daemon in &fleet.daemons {
        eventually("every daemon refuses the request", || refused_request_count(daemon) == 1.0);
    }
}

#[test]
fn verify_the_logs_show_why_a_copy_is_refused() {
    let fleet = start_fragile_fleet(3, 6);
    wait_until_refused(&fleet);
    fleet.request(1, "GET", BAD_PATH, &[("x-request-id", "refused-copy")], "");
    let files: Vec<String> = fleet.daemons.iter().map(TestDaemon::log_file).collect();
    let gather_history = || explain::gather("refused-copy", &files).expect("logs");
    let count_events = |event: &str| {
        let lines = gather_history().lines;
        lines.iter().filter(|line| line.text("message") == event).count()
    };
    eventually("the crashes of other copies are found", || count_events("request suspected") >= 3);
    eventually("the end of the refused copy is found", || count_events("request failed") == 1);
    assert_eq!(count_events("work started"), 0);
    let end = explain::conclusion("refused-copy", &gather_history());
    assert!(end.contains("not-run (crashes-servers) with status 503 after 0 attempts"), "{end}");
}

#[test]
fn verify_popular_requests_beside_the_bad_one_are_never_refused() {
    let fleet = start_fragile_fleet(3, 9);
    let stop = AtomicBool::new(false);
    let (mut good_count, mut wrongly_refused) = (0, 0);
    thread::scope(|scope| {
        let send_popular_requests = |daemon: usize| {
            let (fleet, stop) = (&fleet, &stop);
            move || {
                let (mut good_count, mut wrongly_refused) = (0, 0);
                while !stop.load(Ordering::SeqCst)
                    && good_count + wrongly_refused < REQUESTS_PER_CALLER_MAX
                {
                    let reply = fleet.request(daemon, "GET", "/puzzle/popular", &[], "");
                    good_count += u64::from(reply.status == 200);
                    wrongly_refused +=
                        u64::from(reply.reason().as_deref() == Some("crashes-servers"));
                }
                (good_count, wrongly_refused)
            }
        };
        let callers: Vec<_> =
            (0..6).map(|number| scope.spawn(send_popular_requests(number % 3))).collect();
        // Servers crash one by one, each by a request that is not sent again.
        for number in 0..15 {
            let backend = &fleet.backends[number % 9];
            wait_crash_count(backend);
            let single_use_path = format!("/puzzle/lone-{number}");
            backend.set_faults(
                json!({"crash_path": single_use_path, "crash_after_ms": 20, "down_ms": 50}),
            );
            fleet.request(number % 3, "GET", &single_use_path, &[], "");
            // The result is ignored, as the server crashes without a reply.
            let _ = client::try_call(backend.address, "GET", &single_use_path, &[], "");
        }
        stop.store(true, Ordering::SeqCst);
        for caller in callers {
            let (served, refused) = caller.join().expect("join");
            good_count += served;
            wrongly_refused += refused;
        }
    });
    assert!(
        count_total_crashes(&fleet) >= 15,
        "servers crashed while they ran the popular request"
    );
    assert!(good_count > 100, "{good_count} popular requests were served");
    assert_eq!(wrongly_refused, 0, "popular requests were refused");
    let has_good_runs = |daemon: &TestDaemon| {
        let list = daemon.get("/v1/suspects");
        let mut suspects = list["suspects"].as_array().into_iter().flatten();
        suspects.any(|suspect| suspect["good_runs"].as_u64() > Some(0))
    };
    assert!(
        fleet.daemons.iter().any(has_good_runs),
        "the popular request was suspected and has been cleared by good runs"
    );
    fleet.check_invariants();
}

#[test]
fn verify_a_daemon_that_starts_later_refuses_the_bad_request() {
    let mut fleet = start_fragile_fleet(3, 6);
    wait_until_refused(&fleet);
    let crashed = count_total_crashes(&fleet);
    let platform = fleet.platform.address;
    let later_daemon = TestDaemon::start(platform, "host-late", "bkk-b", &[]);
    eventually("the daemon that started later refuses the request", || {
        later_daemon.is_ready() && refused_request_count(&later_daemon) == 1.0
    });
    fleet.daemons.push(later_daemon);
    let reply = fleet.request(3, "GET", BAD_PATH, &[], "");
    assert_eq!(reply.reason().as_deref(), Some("crashes-servers"));
    assert_eq!(count_total_crashes(&fleet), crashed);
}

#[test]
fn verify_a_daemon_that_starts_later_learns_of_suspects() {
    let mut fleet = start_fragile_fleet(2, 4);
    let knows_suspect = |daemon: &TestDaemon| {
        let list = daemon.get("/v1/suspects");
        list["suspects"].as_array().is_some_and(|suspects| !suspects.is_empty())
    };
    eventually("the request is suspected", || {
        fleet.request(0, "GET", BAD_PATH, &[], "");
        knows_suspect(&fleet.daemons[0])
    });
    assert_eq!(
        refused_request_count(&fleet.daemons[0]),
        0.0,
        "the request is suspected but not refused, so no row holds it"
    );
    let later_daemon = TestDaemon::start(fleet.platform.address, "host-late", "bkk-b", &[]);
    eventually("the daemon that started later learns of the request from a heartbeat", || {
        knows_suspect(&later_daemon)
    });
    fleet.daemons.push(later_daemon);
}

#[test]
fn verify_the_bad_request_stays_refused_after_all_daemons_are_killed() {
    let mut fleet = start_fragile_fleet(3, 6);
    wait_until_refused(&fleet);
    let is_refusal_stored =
        || fleet.platform.read_rows(HOSTS_TABLE).iter().any(|row| row["refused"].is_array());
    eventually("a row holds the refused request", is_refusal_stored);
    let crashed = count_total_crashes(&fleet);
    fleet.daemons.iter_mut().for_each(TestDaemon::kill);
    fleet.daemons = ["host-a", "host-b", "host-c"]
        .iter()
        .zip(["bkk-a", "bkk-b", "bkk-c"])
        .map(|(host, domain)| TestDaemon::start(fleet.platform.address, host, domain, &[]))
        .collect();
    for daemon in &fleet.daemons {
        eventually("every new daemon refuses the request", || refused_request_count(daemon) == 1.0);
    }
    fleet.wait_members();
    let reply = fleet.request(1, "GET", BAD_PATH, &[], "");
    assert_eq!(reply.reason().as_deref(), Some("crashes-servers"));
    assert_eq!(count_total_crashes(&fleet), crashed);
}

#[test]
fn verify_an_operator_lists_a_refused_request_and_admits_it_again() {
    let fleet = start_fragile_fleet(3, 6);
    wait_until_refused(&fleet);
    for backend in &fleet.backends {
        wait_crash_count(backend);
        backend.set_faults(json!({}));
    }
    let list = fleet.daemons[1].get("/v1/suspects");
    let first_suspect = &list["suspects"][0];
    assert_eq!(first_suspect["refused"], true, "{list}");
    let fingerprint = first_suspect["fingerprint"].as_str().expect("fingerprint");
    let path = format!("/v1/suspects/{fingerprint}");
    let actor = ("basaltarch-actor", "somsak");
    assert_eq!(fleet.daemons[2].call("DELETE", &path, &[actor], "").status, 200);
    assert_eq!(fleet.daemons[2].call("DELETE", &path, &[actor], "").status, 404);
    assert_eq!(fleet.daemons[2].call("DELETE", "/v1/suspects/x", &[], "").status, 400);
    eventually("the log names the operator", || {
        let log = fleet.daemons[2].log_text();
        let mut lines = log.lines().filter(|line| line.contains("request lifted"));
        lines.any(|line| line.contains("somsak") && line.contains(fingerprint))
    });
    for daemon in 0..3 {
        eventually("the request is served again", || {
            fleet.request(daemon, "GET", BAD_PATH, &[], "").status == 200
        });
    }
}
