// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Configuration: the resource API, operators at the same moment, watches, the audit trail, the
//! store's faults, spread and recovery.

mod common;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::thread;

use common::forwarder::Forwarder;
use common::{client, eventually, FleetPlan, TestDaemon, TestFleet};
use serde_json::{json, Value};
use test_case::test_case;

fn fleet_of(daemons: usize) -> TestFleet {
    TestFleet::start(&FleetPlan { daemons, backends: 2, ..FleetPlan::default() })
}

fn put_organisation(
    daemon: &TestDaemon,
    name: &str,
    title: &str,
    guard: (&str, &str),
) -> client::Reply {
    let path = format!("/v1/organisations/{name}");
    daemon.call("PUT", &path, &[guard], &json!({"title": title}).to_string())
}

const ANY: (&str, &str) = ("If-Match", "*");

#[test]
fn verify_each_bad_change_has_its_answer() {
    let fleet = fleet_of(1);
    let daemon = &fleet.daemons[0];
    let put = |path: &str, value: Value| daemon.call("PUT", path, &[ANY], &value.to_string());
    let server = daemon.get("/v1/backend-servers/server-1");
    let changed = |field: &str, value: Value| {
        let mut server = server.clone();
        server[field] = value;
        server
    };
    let table: Vec<(&str, client::Reply, u16, &str)> = vec![
        (
            "floor above one",
            put("/v1/services/s", json!({"floor": 1.5})),
            422,
            "services/s.floor: 1.5",
        ),
        ("unknown field", put("/v1/services/s", json!({"flor": 0.5})), 422, "unknown field `flor`"),
        ("unknown preference", put("/v1/services/s", json!({"prefer": "luck"})), 422, "luck"),
        ("bad name", put("/v1/services/UPPER", json!({})), 422, "services/UPPER"),
        ("no slots", put("/v1/backend-servers/server-1", changed("slots", json!(0))), 422, "slots"),
        (
            "no address",
            put("/v1/backend-servers/server-1", changed("address", json!("here"))),
            422,
            "address",
        ),
        (
            "dangling service",
            put("/v1/backend-servers/server-1", changed("service", json!("gone"))),
            422,
            "services/gone",
        ),
        (
            "dangling domain",
            put("/v1/backend-servers/server-1", changed("failure_domain", json!("gone"))),
            422,
            "failure-domains/gone",
        ),
        (
            "bad prefix",
            put("/v1/routes/r", json!({"host": "h", "path_prefix": "x", "service": "solver-app"})),
            422,
            "path_prefix",
        ),
        (
            "bad method",
            put(
                "/v1/routes/r",
                json!({"host": "h", "path_prefix": "/", "service": "solver-app", "methods": ["get"]}),
            ),
            422,
            "methods",
        ),
        (
            "zero rate",
            put(
                "/v1/limits/l",
                json!({"scope": "service", "target": "solver-app", "rate": 0, "burst": 1}),
            ),
            422,
            "rate",
        ),
        (
            "limit on nothing",
            put("/v1/limits/l", json!({"scope": "route", "target": "gone", "rate": 1, "burst": 1})),
            422,
            "routes/gone",
        ),
        ("not JSON", daemon.call("PUT", "/v1/services/s", &[ANY], "{"), 400, "body"),
        ("unknown kind", put("/v1/serviecs/s", json!({})), 404, "serviecs"),
        ("no guard", daemon.call("PUT", "/v1/services/s", &[], "{}"), 428, "If-Match"),
        (
            "bad guard",
            daemon.call("PUT", "/v1/services/s", &[("If-Match", "\"new\"")], "{}"),
            400,
            "If-Match",
        ),
        (
            "new but there",
            daemon.call("PUT", "/v1/services/solver-app", &[("If-None-Match", "*")], "{}"),
            412,
            "revision 1",
        ),
        (
            "old guard",
            daemon.call("PUT", "/v1/services/solver-app", &[("If-Match", "\"7\"")], "{}"),
            412,
            "not at 7",
        ),
        (
            "delete in use",
            daemon.call("DELETE", "/v1/services/solver-app", &[ANY], ""),
            422,
            "services/solver-app",
        ),
        (
            "wrong method",
            daemon.call("POST", "/v1/services/solver-app", &[ANY], ""),
            405,
            "GET, PUT, DELETE",
        ),
        ("no token", client::call(daemon.admin, "GET", "/v1/status", &[], ""), 401, "token"),
        (
            "wrong token",
            client::call(daemon.admin, "GET", "/v1/status", &[("Authorization", "Bearer x")], ""),
            401,
            "token",
        ),
        (
            "apply with unknown field",
            daemon.call("POST", "/v1/apply", &[], "{\"chnges\": []}"),
            422,
            "chnges",
        ),
    ];
    for (case, reply, status, part) in table {
        assert_eq!(reply.status, status, "{case}: {}", reply.text());
        assert!(reply.text().contains(part), "{case}: {}", reply.text());
    }
    assert_eq!(daemon.revision(), 1, "nothing was changed");
}

#[test]
fn verify_a_transaction_is_all_or_nothing() {
    let fleet = fleet_of(1);
    let daemon = &fleet.daemons[0];
    let body = json!({"changes": [
        {"kind": "organisations", "name": "good", "value": {"title": "good"}},
        {"kind": "services", "name": "bad", "value": {"floor": 7}},
    ]});
    assert_eq!(daemon.call("POST", "/v1/apply", &[], &body.to_string()).status, 422);
    assert_eq!(daemon.call("GET", "/v1/organisations/good", &[], "").status, 404);
    assert_eq!(daemon.revision(), 1);
    let same = json!({"changes": [
        {"kind": "organisations", "name": "khlung-shop", "value": {"title": "Khlung"}},
    ]});
    let reply = daemon.call("POST", "/v1/apply", &[], &same.to_string());
    assert_eq!(reply.json()["changed"], json!(0));
    assert_eq!(daemon.revision(), 1, "what changes nothing makes no revision");
}

#[test]
fn verify_operators_at_the_same_moment_get_one_success_and_clear_conflicts() {
    let fleet = fleet_of(2);
    for round in 0..5 {
        let etag = fleet.daemons[0]
            .call("GET", "/v1/organisations/khlung-shop", &[], "")
            .header("etag")
            .expect("etag");
        let replies: Vec<client::Reply> = thread::scope(|scope| {
            let threads: Vec<_> = (0..8)
                .map(|number| {
                    let daemon = &fleet.daemons[number % 2];
                    let etag = &etag;
                    scope.spawn(move || {
                        let title = format!("round {round} by {number}");
                        put_organisation(daemon, "khlung-shop", &title, ("If-Match", etag))
                    })
                })
                .collect();
            threads.into_iter().map(|thread| thread.join().expect("join")).collect()
        });
        let good: Vec<_> = replies.iter().filter(|reply| reply.status == 200).collect();
        assert_eq!(good.len(), 1, "{replies:?}");
        let revision = good[0].json()["revision"].as_u64().expect("revision");
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_eq!(reply.status, 412, "{}", reply.text());
            assert_eq!(reply.json()["in_force"]["revision"], json!(revision));
        }
        fleet.wait_revision(revision);
    }
}

#[test]
fn verify_unguarded_changes_of_many_operators_lose_none() {
    let fleet = fleet_of(3);
    thread::scope(|scope| {
        for number in 0..24 {
            let daemon = &fleet.daemons[number % 3];
            scope.spawn(move || {
                let name = format!("org-{number}");
                eventually("the change is accepted", || {
                    let reply = put_organisation(daemon, &name, "t", ANY);
                    assert!(matches!(reply.status, 200 | 409 | 503), "{}", reply.text());
                    reply.status == 200
                });
            });
        }
    });
    fleet.wait_revision(25);
    for daemon in &fleet.daemons {
        for number in 0..24 {
            let path = format!("/v1/organisations/org-{number}");
            assert_eq!(daemon.call("GET", &path, &[], "").status, 200);
        }
    }
    check_audit(&fleet, 25);
}

/// Checks that every revision has its record and each change is there once, in order.
fn check_audit(fleet: &TestFleet, revisions: u64) {
    for daemon in &fleet.daemons {
        let audit = daemon.get("/v1/audit?after=0");
        let records = audit["records"].as_array().expect("records").clone();
        let seen: Vec<u64> =
            records.iter().map(|record| record["revision"].as_u64().expect("revision")).collect();
        assert_eq!(seen, (1..=revisions).collect::<Vec<u64>>());
        let mut state: BTreeMap<String, Value> = BTreeMap::new();
        for record in &records {
            assert!(record["actor"].as_str().is_some_and(|actor| !actor.is_empty()));
            assert!(record["at"].as_str().is_some_and(|at| at.ends_with('Z')));
            for change in record["changes"].as_array().expect("changes") {
                let key = format!("{}/{}", change["kind"], change["name"]);
                let before = state.get(&key).cloned().unwrap_or(Value::Null);
                assert_eq!(before, change["before"], "{key} at {}", record["revision"]);
                state.insert(key, change["after"].clone());
            }
        }
    }
}

#[test_case(json!({"lose_write_answers": 1}) ; "answer lost")]
#[test_case(json!({"lose_write_answers": 2}) ; "two answers lost")]
#[test_case(json!({"lose_writes": 1}) ; "write lost")]
fn verify_a_change_whose_answer_is_lost_is_neither_doubled_nor_misreported(faults: Value) {
    let fleet = fleet_of(2);
    fleet.platform.faults(faults);
    let reply = put_organisation(&fleet.daemons[0], "lost", "t", ("If-None-Match", "*"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.json()["revision"], json!(2));
    fleet.wait_revision(2);
    assert_eq!(fleet.daemons[0].revision(), 2);
    check_audit(&fleet, 2);
}

#[test]
fn verify_with_the_store_down_changes_are_refused_and_traffic_flows() {
    let fleet = fleet_of(3);
    fleet.platform.faults(json!({"down": true}));
    let reply = put_organisation(&fleet.daemons[0], "x", "t", ANY);
    assert!(matches!(reply.status, 503 | 504), "{}", reply.text());
    for daemon in 0..3 {
        assert_eq!(fleet.request(daemon, "GET", "/puzzle", &[], "").status, 200);
    }
    assert_eq!(fleet.daemons[0].revision(), 1);
}

#[test]
fn verify_without_store_and_peers_a_daemon_waits_says_so_and_takes_no_traffic() {
    let mut fleet = fleet_of(1);
    fleet.platform.faults(json!({"down": true}));
    fleet.daemons.clear();
    let fresh = TestDaemon::start(fleet.platform.address, "host-a", "bkk-a", &[]);
    let ready = client::call(fresh.admin, "GET", "/readyz", &[], "");
    assert_eq!(ready.status, 503);
    assert!(ready.text().contains("waits for a configuration"));
    let reply = client::call(fresh.callers, "GET", "/", &[("Host", "solver.example")], "");
    assert_eq!((reply.status, reply.reason().as_deref()), (503, Some("no-configuration")));
    assert_eq!(reply.outcome().as_deref(), Some("not-run"));
    fleet.platform.faults(json!({}));
    eventually("it is in service once the store is back", || fresh.is_ready());
    assert_eq!(fresh.revision(), 1);
}

#[test]
fn verify_all_daemons_replaced_one_after_another_without_the_store_lose_nothing() {
    let mut fleet = fleet_of(3);
    assert_eq!(put_organisation(&fleet.daemons[0], "x", "t", ANY).status, 200);
    fleet.wait_revision(2);
    fleet.platform.faults(json!({"down": true}));
    for index in 0..3 {
        let old = fleet.daemons.remove(index);
        let (host, domain) = (old.host.clone(), old.domain.clone());
        drop(old);
        let seeds: Vec<String> = fleet.daemons.iter().map(|d| d.peers.to_string()).collect();
        let seeds = seeds.join(",");
        let flags = [("seeds", seeds.as_str())];
        let fresh = TestDaemon::start(fleet.platform.address, &host, &domain, &flags);
        eventually("it is in service from its peers", || fresh.is_ready());
        fleet.daemons.insert(index, fresh);
    }
    for daemon in &fleet.daemons {
        assert_eq!(daemon.revision(), 2);
        assert_eq!(daemon.call("GET", "/v1/organisations/x", &[], "").status, 200);
    }
}

#[test]
fn verify_a_replaced_daemon_learns_from_its_peers_while_the_store_is_down() {
    let mut fleet = fleet_of(3);
    let seeds = format!("{},{}", fleet.daemons[0].peers, fleet.daemons[1].peers);
    assert_eq!(put_organisation(&fleet.daemons[0], "x", "t", ANY).status, 200);
    fleet.wait_revision(2);
    fleet.platform.faults(json!({"down": true}));
    let old = fleet.daemons.pop().expect("daemon");
    let (host, domain) = (old.host.clone(), old.domain.clone());
    drop(old);
    let flags = [("seeds", seeds.as_str())];
    let fresh = TestDaemon::start(fleet.platform.address, &host, &domain, &flags);
    eventually("it is in service from its peers", || fresh.is_ready());
    assert_eq!(fresh.revision(), 2);
    let reply = client::call(fresh.callers, "GET", "/puzzle", &[("Host", "solver.example")], "");
    assert_eq!(reply.status, 200, "{}", reply.text());
}

#[test]
fn verify_answers_from_the_past_never_bring_an_older_revision_back() {
    let fleet = fleet_of(2);
    fleet.platform.faults(json!({"reads_from_past_ms": 1}));
    for number in 0..6 {
        let name = format!("org-{number}");
        eventually("accepted", || {
            put_organisation(&fleet.daemons[0], &name, "t", ANY).status == 200
        });
    }
    fleet.wait_revision(7);
    fleet.platform.faults(json!({"reads_from_past_ms": 3_600_000}));
    let mut lowest = [7, 7];
    let before = fleet.daemons[1].metric("old_revisions");
    eventually("answers from the past were seen and refused", || {
        for (index, daemon) in fleet.daemons.iter().enumerate() {
            lowest[index] = lowest[index].min(daemon.revision());
        }
        fleet.daemons[1].metric("old_revisions") > before
    });
    assert_eq!(lowest, [7, 7]);
    // Changes are still accepted: the check on the head refuses those made on an old view.
    eventually("accepted in the end", || {
        let reply = put_organisation(&fleet.daemons[0], "late", "t", ANY);
        assert!(matches!(reply.status, 200 | 409 | 503), "{}", reply.text());
        fleet.platform.faults(json!({}));
        reply.status == 200
    });
    fleet.wait_revision(8);
    check_audit(&fleet, 8);
}

#[test]
fn verify_a_paused_daemon_catches_up_and_falls_back_never() {
    let fleet = fleet_of(3);
    fleet.daemons[2].signal("-STOP");
    for number in 0..5 {
        let name = format!("org-{number}");
        eventually("accepted", || {
            put_organisation(&fleet.daemons[0], &name, "t", ANY).status == 200
        });
    }
    fleet.daemons[2].signal("-CONT");
    fleet.wait_revision(6);
    check_audit(&fleet, 6);
}

#[test]
fn verify_daemons_cut_off_from_the_store_hear_changes_from_their_peers() {
    let plan = FleetPlan { daemons: 2, backends: 2, ..FleetPlan::default() };
    let mut fleet = TestFleet::start(&plan);
    let seeds = format!("{},{}", fleet.daemons[0].peers, fleet.daemons[1].peers);
    // An address where nothing answers stands for the cut.
    let nowhere =
        std::net::TcpListener::bind("127.0.0.1:0").expect("bind").local_addr().expect("addr");
    let flags = [("seeds", seeds.as_str())];
    let cut = TestDaemon::start(nowhere, "host-c", "bkk-c", &flags);
    fleet.daemons.push(cut);
    eventually("it is ready", || fleet.daemons[2].is_ready());
    for number in 0..5 {
        let name = format!("org-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY).status, 200);
    }
    fleet.wait_revision(6);
}

#[test]
fn verify_half_of_the_fleet_cut_off_from_the_store_hears_changes_and_a_second_fault_loses_none() {
    use std::sync::atomic::Ordering;
    let mut fleet = fleet_of(2);
    let seeds = format!("{},{}", fleet.daemons[0].peers, fleet.daemons[1].peers);
    let store = Forwarder::start();
    store.forward_to(fleet.platform.address);
    for (host, domain) in [("host-c", "bkk-c"), ("host-d", "bkk-a")] {
        let daemon = TestDaemon::start(store.address, host, domain, &[("seeds", seeds.as_str())]);
        fleet.platform.list_host(host, domain, daemon.peers, daemon.admin, "live");
        fleet.daemons.push(daemon);
    }
    fleet.wait_members();
    store.cuts.forward.store(true, Ordering::SeqCst);
    store.cuts.back.store(true, Ordering::SeqCst);
    for number in 0..4 {
        let name = format!("cut-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY).status, 200);
    }
    fleet.wait_revision(5);
    // A second fault at the same time: answers of the store's writes are lost, and the daemon that
    // takes the changes dies.
    fleet.platform.faults(json!({"lose_write_answers": 1}));
    let reply = put_organisation(&fleet.daemons[1], "second", "t", ("If-None-Match", "*"));
    assert_eq!(reply.status, 200, "{}", reply.text());
    fleet.daemons.remove(1);
    fleet.wait_revision(6);
    // Whoever is cut off can accept nothing, and says so.
    let refused = put_organisation(&fleet.daemons[1], "third", "t", ANY);
    assert!(matches!(refused.status, 503 | 504), "{}", refused.text());
    store.cuts.forward.store(false, Ordering::SeqCst);
    store.cuts.back.store(false, Ordering::SeqCst);
    eventually("the cut-off half accepts changes again", || {
        let reply = put_organisation(&fleet.daemons[1], "fourth", "t", ANY);
        assert!(matches!(reply.status, 200 | 409 | 503 | 504), "{}", reply.text());
        reply.status == 200
    });
    let last = fleet.daemons[1].revision();
    fleet.wait_revision(last);
    check_audit(&fleet, last);
}

/// Reads JSON lines of a watch.
struct Watch {
    lines: std::io::Lines<BufReader<std::net::TcpStream>>,
}

impl Watch {
    fn start(daemon: &TestDaemon, path: &str) -> Self {
        let mut stream = client::connect(daemon.admin);
        let headers = [("Authorization", "Bearer operator-token")];
        let text = client::request_text("GET", path, &headers, "");
        stream.write_all(text.as_bytes()).expect("write");
        Self { lines: BufReader::new(stream).lines() }
    }

    fn next_change(&mut self) -> Value {
        loop {
            let line = self.lines.next().expect("a line").expect("a line");
            if let Ok(value) = serde_json::from_str::<Value>(&line) {
                if value["changes"].is_array() || value["error"].is_string() {
                    return value;
                }
            }
        }
    }
}

#[test]
fn verify_watches_miss_nothing_and_double_nothing_over_a_reconnect() {
    let fleet = fleet_of(2);
    let mut seen = Vec::new();
    let mut watch = Watch::start(&fleet.daemons[1], "/v1/watch?after=0");
    for number in 0..12 {
        let name = format!("org-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY).status, 200);
        if number % 4 == 3 {
            while seen.len() < number - 1 {
                seen.push(watch.next_change()["revision"].as_u64().expect("revision"));
            }
            let last = seen.last().expect("some");
            let other = &fleet.daemons[number % 2];
            eventually("the other daemon has it", || other.revision() >= *last);
            watch = Watch::start(other, &format!("/v1/watch?after={last}"));
        }
    }
    while seen.len() < 13 {
        seen.push(watch.next_change()["revision"].as_u64().expect("revision"));
    }
    assert_eq!(seen, (1..=13).collect::<Vec<u64>>());
    let mut routes = Watch::start(&fleet.daemons[0], "/v1/routes?watch=0");
    let first = routes.next_change();
    assert!(first["changes"].as_array().expect("changes").iter().all(|c| c["kind"] == "routes"));
}

#[test]
fn verify_a_watch_from_a_forgotten_revision_is_told_where_to_start_again() {
    let plan = FleetPlan {
        daemons: 1,
        backends: 1,
        daemon_flags: vec![("store-writes", "1000")],
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(&plan);
    for number in 0..303 {
        let name = format!("o-{number}");
        assert_eq!(put_organisation(&fleet.daemons[0], &name, "t", ANY).status, 200);
    }
    // A new daemon starts from a snapshot and knows only the changes since.
    eventually("a snapshot is kept", || fleet.daemons[0].log_text().contains("snapshot kept"));
    let fresh = TestDaemon::start(fleet.platform.address, "host-n", "bkk-b", &[]);
    fleet.daemons.push(fresh);
    eventually("it has all", || fleet.daemons[1].is_ready() && fleet.daemons[1].revision() == 304);
    let reply = fleet.daemons[1].call("GET", "/v1/watch?after=1", &[], "");
    assert_eq!(reply.status, 410, "{}", reply.text());
    assert_eq!(reply.json()["start_again_at"], json!(304));
    let bad = fleet.daemons[1].call("GET", "/v1/watch?after=x", &[], "");
    assert_eq!(bad.status, 422);
}

#[test]
fn verify_the_audit_trail_filters() {
    let fleet = fleet_of(1);
    let daemon = &fleet.daemons[0];
    let by = |actor: &'static str| [("Basaltarch-Actor", actor), ANY];
    for (actor, name) in [("somsri", "a"), ("uwase", "b"), ("somsri", "c")] {
        let path = format!("/v1/organisations/{name}");
        let reply = daemon.call("PUT", &path, &by(actor), "{\"title\": \"t\"}");
        assert_eq!(reply.status, 200);
    }
    let count = |query: &str| {
        daemon.get(&format!("/v1/audit?{query}"))["records"].as_array().expect("records").len()
    };
    assert_eq!(count("actor=somsri"), 2);
    assert_eq!(count("kind=organisations&name=b"), 1);
    assert_eq!(count("after=2"), 2);
    assert_eq!(count("since_ms=9999999999999"), 0);
    let records = daemon.get("/v1/audit?name=a")["records"].clone();
    let change = &records[0]["changes"][0];
    assert_eq!((&change["before"], &change["after"]), (&Value::Null, &json!({"title": "t"})));
    assert!(records[0]["from"].as_str().expect("from").starts_with("127.0.0.1:"));
}

#[test]
fn verify_a_lying_host_list_neither_resurrects_nor_buries() {
    let mut fleet = fleet_of(3);
    // The dead stay listed as live.
    fleet.daemons[2].kill();
    eventually("the dead daemon is suspect though listed", || {
        let status = fleet.daemons[0].get("/v1/status");
        let members = status["members"].as_array().expect("members").clone();
        members.iter().any(|m| m["host"] == "host-c" && m["state"] == "suspect")
    });
    // The living vanish from the list.
    let path = format!("{}host-b", basaltarch_standin::platform::HOSTS_CONTROL_PATH);
    client::call(fleet.platform.address, "DELETE", &path, &[], "");
    let polls = |fleet: &TestFleet| fleet.platform.counters()["reads"].as_u64().expect("reads");
    let before = polls(&fleet);
    eventually("the list was read some times", || polls(&fleet) > before + 12);
    let status = fleet.daemons[0].get("/v1/status");
    let members = status["members"].as_array().expect("members").clone();
    assert!(members.iter().any(|m| m["host"] == "host-b" && m["state"] == "live"), "{members:?}");
}
