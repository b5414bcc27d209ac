// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Configuration: the resource API, concurrent changes by operators, the audit trail.

mod common;

use std::thread;

use basaltarch_core::organisations::KeyDigest;
use common::fleet::SHOP_KEY;
use common::operator::{
    check_audit_trail, put_organisation, start_fleet_with_daemons, ANY_REVISION,
};
use common::{client, eventually};
use serde_json::{json, Value};

#[test]
fn verify_each_invalid_change_is_refused_with_its_status_and_cause() {
    let fleet = start_fleet_with_daemons(1);
    let daemon = &fleet.daemons[0];
    let put_resource =
        |path: &str, value: Value| daemon.call("PUT", path, &[ANY_REVISION], &value.to_string());
    let server = daemon.get("/v1/backend-servers/server-1");
    let server_with_field = |field: &str, value: Value| {
        let mut server = server.clone();
        server[field] = value;
        server
    };
    let cases: Vec<(&str, client::Reply, u16, &str)> = vec![
        (
            "floor above one",
            put_resource("/v1/services/s", json!({"floor": 1.5})),
            422,
            "services/s.floor: 1.5",
        ),
        (
            "unknown field",
            put_resource("/v1/services/s", json!({"flor": 0.5})),
            422,
            "unknown field `flor`",
        ),
        (
            "unknown preference",
            put_resource("/v1/services/s", json!({"prefer": "luck"})),
            422,
            "luck",
        ),
        ("bad name", put_resource("/v1/services/UPPER", json!({})), 422, "services/UPPER"),
        (
            "no slots",
            put_resource("/v1/backend-servers/server-1", server_with_field("slots", json!(0))),
            422,
            "slots",
        ),
        (
            "no address",
            put_resource(
                "/v1/backend-servers/server-1",
                server_with_field("address", json!("here")),
            ),
            422,
            "address",
        ),
        (
            "unknown service",
            put_resource(
                "/v1/backend-servers/server-1",
                server_with_field("service", json!("gone")),
            ),
            422,
            "services/gone",
        ),
        (
            "unknown failure domain",
            put_resource(
                "/v1/backend-servers/server-1",
                server_with_field("failure_domain", json!("gone")),
            ),
            422,
            "failure-domains/gone",
        ),
        (
            "bad prefix",
            put_resource(
                "/v1/routes/r",
                json!({"host": "h", "path_prefix": "x", "service": "solver-app"}),
            ),
            422,
            "path_prefix",
        ),
        (
            "bad method",
            put_resource(
                "/v1/routes/r",
                json!({"host": "h", "path_prefix": "/", "service": "solver-app", "methods": ["get"]}),
            ),
            422,
            "methods",
        ),
        (
            "zero rate",
            put_resource(
                "/v1/limits/l",
                json!({"scope": "service", "target": "solver-app", "rate": 0, "burst": 1}),
            ),
            422,
            "rate",
        ),
        (
            "limit on an unknown route",
            put_resource(
                "/v1/limits/l",
                json!({"scope": "route", "target": "gone", "rate": 1, "burst": 1}),
            ),
            422,
            "routes/gone",
        ),
        ("not JSON", daemon.call("PUT", "/v1/services/s", &[ANY_REVISION], "{"), 400, "body"),
        ("unknown kind", put_resource("/v1/serviecs/s", json!({})), 404, "serviecs"),
        ("no precondition", daemon.call("PUT", "/v1/services/s", &[], "{}"), 428, "If-Match"),
        (
            "malformed precondition",
            daemon.call("PUT", "/v1/services/s", &[("If-Match", "\"new\"")], "{}"),
            400,
            "If-Match",
        ),
        (
            "creation of an existing resource",
            daemon.call("PUT", "/v1/services/solver-app", &[("If-None-Match", "*")], "{}"),
            412,
            "revision 1",
        ),
        (
            "precondition on another revision",
            daemon.call("PUT", "/v1/services/solver-app", &[("If-Match", "\"7\"")], "{}"),
            412,
            "not at 7",
        ),
        (
            "deletion of a service in use",
            daemon.call("DELETE", "/v1/services/solver-app", &[ANY_REVISION], ""),
            422,
            "services/solver-app",
        ),
        (
            "wrong method",
            daemon.call("POST", "/v1/services/solver-app", &[ANY_REVISION], ""),
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
    for (case, reply, status, expected_text) in cases {
        assert_eq!(reply.status, status, "{case}: {}", reply.text());
        assert!(reply.text().contains(expected_text), "{case}: {}", reply.text());
    }
    assert_eq!(daemon.revision(), 1, "no refused change makes a revision");
}

#[test]
fn verify_a_transaction_is_all_or_nothing() {
    let fleet = start_fleet_with_daemons(1);
    let daemon = &fleet.daemons[0];
    let body = json!({"changes": [
        {"kind": "organisations", "name": "good", "value": {"title": "good"}},
        {"kind": "services", "name": "bad", "value": {"floor": 7}},
    ]});
    assert_eq!(daemon.call("POST", "/v1/apply", &[], &body.to_string()).status, 422);
    assert_eq!(daemon.call("GET", "/v1/organisations/good", &[], "").status, 404);
    assert_eq!(daemon.revision(), 1);
    let unchanged = json!({"changes": [
        {"kind": "organisations", "name": "khlung-shop",
         "value": {"title": "Khlung", "keys": [KeyDigest::of(SHOP_KEY)]}},
    ]});
    let reply = daemon.call("POST", "/v1/apply", &[], &unchanged.to_string());
    assert_eq!(reply.json()["changed"], json!(0));
    assert_eq!(daemon.revision(), 1, "a transaction without a change makes no revision");
}

#[test]
fn verify_concurrent_operators_get_one_success_and_clear_conflicts() {
    let fleet = start_fleet_with_daemons(2);
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
        let accepted_replies: Vec<_> = replies.iter().filter(|reply| reply.status == 200).collect();
        assert_eq!(accepted_replies.len(), 1, "{replies:?}");
        let revision = accepted_replies[0].json()["revision"].as_u64().expect("revision");
        for reply in replies.iter().filter(|reply| reply.status != 200) {
            assert_eq!(reply.status, 412, "{}", reply.text());
            assert_eq!(reply.json()["in_force"]["revision"], json!(revision));
        }
        fleet.wait_revision(revision);
    }
}

#[test]
fn verify_concurrent_changes_at_any_revision_are_all_kept() {
    let fleet = start_fleet_with_daemons(3);
    thread::scope(|scope| {
        for number in 0..24 {
            let daemon = &fleet.daemons[number % 3];
            scope.spawn(move || {
                let name = format!("org-{number}");
                eventually("the change is accepted", || {
                    let reply = put_organisation(daemon, &name, "t", ANY_REVISION);
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
    check_audit_trail(&fleet, 25);
}

#[test]
fn verify_the_audit_trail_can_be_filtered() {
    let fleet = start_fleet_with_daemons(1);
    let daemon = &fleet.daemons[0];
    let request_headers = |actor: &'static str| [("Basaltarch-Actor", actor), ANY_REVISION];
    for (actor, name) in [("somsri", "a"), ("uwase", "b"), ("somsri", "c")] {
        let path = format!("/v1/organisations/{name}");
        let reply = daemon.call("PUT", &path, &request_headers(actor), "{\"title\": \"t\"}");
        assert_eq!(reply.status, 200);
    }
    let record_count = |query: &str| {
        daemon.get(&format!("/v1/audit?{query}"))["records"].as_array().expect("records").len()
    };
    assert_eq!(record_count("actor=somsri"), 2);
    assert_eq!(record_count("kind=organisations&name=b"), 1);
    assert_eq!(record_count("after=2"), 2);
    assert_eq!(record_count("since_ms=9999999999999"), 0);
    let records = daemon.get("/v1/audit?name=a")["records"].clone();
    let change = &records[0]["changes"][0];
    let expected_value = json!({"title": "t", "keys": [], "criticality": null});
    assert_eq!((&change["before"], &change["after"]), (&Value::Null, &expected_value));
    assert!(records[0]["from"].as_str().expect("from").starts_with("127.0.0.1:"));
}
