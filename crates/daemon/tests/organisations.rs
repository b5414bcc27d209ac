// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Organisations end to end. Callers are admitted by their API key, which can be revoked and is
//! exposed nowhere, and the backend server receives the name of the caller's organisation.

mod common;

use basaltarch_platform::document::{self, ConfigDocument};
use basaltarch_platform::headers::{self, names};
use basaltarch_platform::organisations::OrganisationDraft;
use common::client::{self, Reply};
use common::eventually;
use common::registered::{self, RegisteredFleet, HOST};
use test_case::test_case;

const SHOP_KEY: &str = "k3y0fsh0pthatn0b0dym4ysee";
const DESK_KEY: &str = "k3y0fd3skthatn0b0dym4ysee";
const SHOP: OrganisationDraft<'static> =
    OrganisationDraft { name: "shop", keys: &[SHOP_KEY], priority: None, rate: None, burst: None };
const DESK: OrganisationDraft<'static> =
    OrganisationDraft { name: "desk", keys: &[DESK_KEY], ..SHOP };

/// Builds a document in which every route except `/safe/` requires an API key.
fn build_keyed_document(version: u64) -> ConfigDocument {
    let mut document = registered::document(version);
    for route in &mut document.routes {
        route.rule.needs_key = route.name != "r-safe";
    }
    document
}

fn write_document(fleet: &RegisteredFleet, version: u64, organisations: &[OrganisationDraft]) {
    let bytes =
        document::write_with_organisations(&build_keyed_document(version), Some(organisations));
    fleet.write_text(&String::from_utf8(bytes).expect("text"));
    for daemon in &fleet.daemons {
        eventually("the document is in force", || daemon.revision() == version);
    }
}

/// Starts a fleet with the organisations [`SHOP`] and [`DESK`].
fn start_fleet(daemons: usize) -> RegisteredFleet {
    let fleet = RegisteredFleet::start(daemons);
    for daemon in 0..daemons {
        let all_servers: Vec<usize> = (0..daemons).collect();
        fleet.wait_served(daemon, &all_servers);
    }
    write_document(&fleet, 2, &[SHOP, DESK]);
    fleet
}

fn send_request(
    fleet: &RegisteredFleet,
    daemon: usize,
    path: &str,
    id: &str,
    extra_headers: &[(&str, &str)],
) -> Reply {
    let mut headers = vec![("Host", HOST), (names::REQUEST_ID, id), (names::DEADLINE, "3000")];
    headers.extend_from_slice(extra_headers);
    client::call(fleet.daemons[daemon].callers, "POST", path, &headers, "x")
}

#[test_case(&[] ; "no key")]
#[test_case(&[(names::API_KEY, "unknown")] ; "a key that never existed")]
#[test_case(&[(names::API_KEY, "")] ; "an empty key")]
#[test_case(&[(names::API_KEY, "k3y0fsh0pthatn0b0dym4yse")] ; "the start of a key")]
#[test_case(&[(names::API_KEY, SHOP_KEY), (names::API_KEY, DESK_KEY)] ; "two keys")]
#[test_case(&[(names::ORGANISATION, "shop")] ; "a name without a key")]
fn verify_a_caller_without_a_known_key_is_refused_and_nothing_runs(extra_headers: &[(&str, &str)]) {
    let fleet = start_fleet(1);
    let reply = send_request(&fleet, 0, "/unsafe/x", "stranger", extra_headers);
    assert_eq!((reply.status, reply.reason().as_deref()), (401, Some("key-unknown")));
    assert!(reply.header("www-authenticate").is_some());
    assert_eq!(fleet.run_count("stranger"), 0);
    assert_eq!(
        send_request(&fleet, 0, "/safe/x", "exempt", extra_headers).status,
        200,
        "the route requires no key"
    );
}

#[test]
fn verify_a_key_of_8_kb_and_one_that_is_no_text_are_unknown() {
    let fleet = start_fleet(1);
    let long_key = "k".repeat(8192);
    for (id, key) in [("long", long_key.as_str()), ("bytes", "sch\u{fc}ssel")] {
        assert_eq!(
            send_request(&fleet, 0, "/unsafe/x", id, &[(names::API_KEY, key)]).status,
            401,
            "{id}"
        );
        assert_eq!(fleet.run_count(id), 0);
    }
}

#[test]
fn verify_the_server_receives_the_organisation_and_the_key_is_never_exposed() {
    let fleet = start_fleet(3);
    for number in 0..30 {
        let (key, claimed_name) =
            if number % 2 == 0 { (SHOP_KEY, "desk") } else { (DESK_KEY, "shop") };
        let extra_headers = [(names::API_KEY, key), (names::ORGANISATION, claimed_name)];
        let id = format!("known-{number}");
        assert_eq!(send_request(&fleet, number % 3, "/unsafe/x", &id, &extra_headers).status, 200);
        let server =
            fleet.backends.iter().find(|backend| backend.run_count(&id) == 1).expect("ran");
        let head = server.run_counters()["last_head"].as_str().expect("head").to_owned();
        let name = if number % 2 == 0 { "shop" } else { "desk" };
        let field = format!("\"{}\": \"{name}\"", names::ORGANISATION);
        assert!(head.contains(&field), "{head}");
    }
    // An organisation that the caller claims is not forwarded on a route that requires no key.
    assert_eq!(
        send_request(&fleet, 0, "/safe/x", "open", &[(names::ORGANISATION, "shop")]).status,
        200
    );
    let keys: u64 =
        fleet.backends.iter().map(|b| b.run_counters()["keys"].as_u64().expect("keys")).sum();
    assert_eq!(keys, 0, "a key reached a backend server");
    let count_each = |backend: &common::TestBackend| {
        let runs = backend.run_counters();
        ["shop", "desk"].map(|name| runs["by_organisation"][name].as_u64().unwrap_or(0))
    };
    let run_counts = fleet
        .backends
        .iter()
        .map(count_each)
        .fold([0, 0], |sum, each| [sum[0] + each[0], sum[1] + each[1]]);
    assert_eq!(run_counts, [15, 15]);
    for daemon in &fleet.daemons {
        let exposed_texts = [
            daemon.log_text(),
            daemon.call("GET", "/metrics", &[], "").text(),
            daemon.get("/v1/organisations").to_string(),
            daemon.get("/v1/status").to_string(),
        ];
        for text in exposed_texts {
            for key in [SHOP_KEY, DESK_KEY] {
                assert!(!text.contains(key), "the daemon exposes a key");
            }
        }
    }
}

#[test]
fn verify_revoked_and_moved_keys_take_effect_with_the_document() {
    let fleet = start_fleet(2);
    // Header field names are case-insensitive.
    let name = names::API_KEY.to_uppercase();
    let key_header = |key| [(&*name, key)];
    assert_eq!(send_request(&fleet, 1, "/unsafe/x", "before", &key_header(SHOP_KEY)).status, 200);
    let desk_with_both_keys = OrganisationDraft { keys: &[DESK_KEY, SHOP_KEY], ..DESK };
    write_document(
        &fleet,
        3,
        &[OrganisationDraft { keys: &["an0ther"], ..SHOP }, desk_with_both_keys],
    );
    for daemon in 0..2 {
        let id = format!("moved-{daemon}");
        assert_eq!(
            send_request(&fleet, daemon, "/unsafe/x", &id, &key_header(SHOP_KEY)).status,
            200
        );
        let server =
            fleet.backends.iter().find(|backend| backend.run_count(&id) == 1).expect("ran");
        assert!(server.run_counters()["last_head"].to_string().contains("desk"));
    }
    write_document(&fleet, 4, &[SHOP]);
    for daemon in 0..2 {
        let id = format!("gone-{daemon}");
        assert_eq!(
            send_request(&fleet, daemon, "/unsafe/x", &id, &key_header(DESK_KEY)).status,
            401
        );
        assert_eq!(fleet.run_count(&id), 0);
        assert_eq!(
            send_request(&fleet, daemon, "/unsafe/x", "back", &key_header(SHOP_KEY)).status,
            200
        );
    }
}

#[test]
fn verify_a_nested_call_needs_no_key_and_belongs_to_the_same_organisation() {
    let fleet = start_fleet(1);
    let address = fleet.daemons[0].callers;
    let parent_thread = std::thread::spawn(move || {
        let headers = [
            ("Host", HOST),
            (names::REQUEST_ID, "parent"),
            (names::API_KEY, SHOP_KEY),
            ("x-work-ms", "1500"),
        ];
        client::call(address, "POST", "/unsafe/x", &headers, "x").status
    });
    eventually("the parent request runs", || fleet.run_count("parent") == 1);
    assert_eq!(send_request(&fleet, 0, "/unsafe/x", "parent.1", &[]).status, 200);
    let head = fleet.backends[0].run_counters()["last_head"].to_string();
    assert!(head.contains("shop"), "{head}");
    assert_eq!(parent_thread.join().expect("join"), 200);
    assert_eq!(
        send_request(&fleet, 0, "/unsafe/x", "parent.2", &[]).status,
        401,
        "the parent request has ended"
    );
}

#[test]
fn verify_nested_calls_count_towards_no_limit() {
    let fleet = start_fleet(1);
    let limited = OrganisationDraft { rate: Some(0.01), burst: Some(1.0), ..SHOP };
    write_document(&fleet, 3, &[limited]);
    let address = fleet.daemons[0].callers;
    let headers = [
        ("Host", HOST),
        (names::REQUEST_ID, "parent"),
        (names::API_KEY, SHOP_KEY),
        ("x-work-ms", "1500"),
    ];
    let send_parent = move || client::call(address, "POST", "/unsafe/x", &headers, "x").status;
    let parent_thread = std::thread::spawn(send_parent);
    eventually("the parent request runs", || fleet.run_count("parent") == 1);
    for number in 0..5 {
        let id = format!("parent.{number}");
        assert_eq!(send_request(&fleet, 0, "/unsafe/x", &id, &[]).status, 200);
    }
    assert_eq!(parent_thread.join().expect("join"), 200);
    let refused_reply = send_request(&fleet, 0, "/unsafe/x", "over", &[(names::API_KEY, SHOP_KEY)]);
    assert_eq!((refused_reply.status, refused_reply.reason().as_deref()), (429, Some("limited")));
    assert_eq!(fleet.run_count("over"), 0);
}

#[test]
fn verify_a_bad_table_of_organisations_changes_nothing_and_no_key_is_logged() {
    let fleet = start_fleet(1);
    let desk_with_shop_key = OrganisationDraft { keys: &[SHOP_KEY], ..DESK };
    let bytes = document::write_with_organisations(
        &build_keyed_document(9),
        Some(&[SHOP, desk_with_shop_key]),
    );
    fleet.write_text(&String::from_utf8(bytes).expect("text"));
    let daemon = &fleet.daemons[0];
    eventually("the bad document was read", || {
        daemon.log_text().contains("configuration unreadable")
    });
    assert_eq!(daemon.revision(), 2);
    let fields = headers::exchange_fields();
    let extra_headers = [(fields.api_key.as_str(), DESK_KEY)];
    assert_eq!(send_request(&fleet, 0, "/unsafe/x", "still", &extra_headers).status, 200);
    assert!(!daemon.log_text().contains(SHOP_KEY));
}
