// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Malformed rows and heartbeats from a writer other than the daemons and backend servers of the
//! fleet add no upstream. All other rows and heartbeats stay valid.

mod common;

use basaltarch_daemon::records;
use basaltarch_daemon::roster::HOSTS_TABLE;
use basaltarch_platform::rows;
use common::client;
use common::eventually;
use common::registered::{RegisteredFleet, SERVICE};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{json, Value};
use test_case::test_case;

/// Returns the record of a host in the store.
fn read_host_record(fleet: &RegisteredFleet, host: &str) -> Option<Value> {
    let path = format!("{}?table={HOSTS_TABLE}&part=", rows::READ_PATH);
    let page: Value = client::call(fleet.platform.address, "GET", &path, &[], "").json();
    let row = page["rows"].as_array()?.iter().find(|row| row["key"] == host)?;
    serde_json::from_slice(&rows::decode_value(row["value"].as_str()?).ok()?).ok()
}

/// Returns the record of a host with one server. Nothing listens at the addresses of the host.
fn build_foreign_record(server: &Value) -> Value {
    json!({"incarnation": i64::MAX, "failure_domain": "bkk-a", "peer_address": "127.0.0.1:1",
        "admin_address": "127.0.0.1:1", "leaving": false, "servers": [server]})
}

/// Returns the entry of a server in the record of a host. Nothing listens at the server's address.
fn build_foreign_server() -> Value {
    json!({"name": "i-foreign", "service": SERVICE, "address": "127.0.0.1:1", "slots": 4,
        "draining": false})
}

fn without_field(field: &str, mut value: Value) -> Value {
    value.as_object_mut().expect("an object").remove(field);
    value
}

fn with_field(field: &str, field_value: Value, mut value: Value) -> Value {
    value[field] = field_value;
    value
}

#[test_case("PUT", "not JSON".to_owned() ; "bytes that can't be read")]
#[test_case("PATCH", "%%%".to_owned() ; "a value that can't be decoded")]
#[test_case("PUT", json!([1, 2]).to_string() ; "another type")]
#[test_case("PUT", without_field("incarnation", build_foreign_record(&build_foreign_server())).to_string() ; "no incarnation")]
#[test_case("PUT", with_field("leaving", json!("no"), build_foreign_record(&build_foreign_server())).to_string() ; "a flag of another type")]
#[test_case("PUT", build_foreign_record(&without_field("slots", build_foreign_server())).to_string() ; "a server without slots")]
#[test_case("PUT", build_foreign_record(&with_field("address", json!(7), build_foreign_server())).to_string() ; "a server whose address has another type")]
#[test_case("PUT", build_foreign_record(&with_field("service", json!("nowhere"), build_foreign_server())).to_string() ; "an unknown service")]
fn verify_a_row_of_another_writer_names_no_upstream(method: &str, value: String) {
    let fleet = RegisteredFleet::start(2);
    fleet.platform.change_row(method, HOSTS_TABLE, "zz-foreign", &value);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    // A row that is written after the malformed row is still read.
    assert_eq!(fleet.send_newcomer_heartbeat(1, "i-later").status, 200);
    eventually("the other daemon knows of the later server", || {
        fleet.daemons[0].get("/v1/backend-servers").to_string().contains("i-later")
    });
    let servers = fleet.daemons[0].get("/v1/backend-servers").to_string();
    assert!(!servers.contains("i-foreign"), "{servers}");
}

#[test]
fn verify_a_copied_record_under_another_name_does_not_replace_its_host() {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    let mut copy = read_host_record(&fleet, "host-b").expect("a record");
    copy["incarnation"] = json!(i64::MAX);
    fleet.platform.change_row("PUT", HOSTS_TABLE, "aa-copy", &copy.to_string());
    eventually("the copied record is ignored", || {
        fleet.daemons[0].log_text().contains("it is the record of host-b")
    });
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
}

#[test_case("PUT", "not JSON" ; "bytes that can't be read")]
#[test_case("PATCH", "%%%" ; "a value that can't be decoded")]
#[test_case("PUT", "{}" ; "missing fields")]
fn verify_a_host_whose_row_was_overwritten_stays_and_rewrites_its_row(method: &str, value: &str) {
    let fleet = RegisteredFleet::start(2);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
    eventually("the row is in the store", || read_host_record(&fleet, "host-b").is_some());
    fleet.platform.change_row(method, HOSTS_TABLE, "host-b", value);
    eventually("the row is written again", || {
        let record = read_host_record(&fleet, "host-b");
        record.is_some_and(|record| record["servers"][0]["name"] == "i-2")
    });
    fleet.wait_served(0, &[0, 1]);
    assert!(!fleet.daemons[0].log_text().contains("\"host record gone\""));
}

#[test_case("service", json!("nowhere") ; "an unknown service")]
#[test_case("state", json!("asleep") ; "an unknown state")]
#[test_case("slots", json!("4") ; "slots of another type")]
#[test_case("address", json!(null) ; "no address")]
#[test_case("born", json!("7") ; "an incarnation of another type")]
fn verify_a_heartbeat_of_another_writer_names_no_upstream(field: &str, value: Value) {
    let fleet = RegisteredFleet::start(1);
    // Without a document, the daemon knows no service and refuses every request.
    eventually("the document is in force", || fleet.daemons[0].revision() == 1);
    let mut call = fleet.build_heartbeat(0, "i-foreign", SERVICE, false);
    let mut body: Value = serde_json::from_slice(&call.body).expect("a heartbeat");
    body[field] = value;
    call.body = body.to_string().into_bytes();
    let reply = fleet.call_daemon(0, &call);
    assert_eq!(reply.status, 400, "{}", reply.text());
    let reply = fleet.request(0, "GET", "/safe/x", "still");
    assert_eq!((reply.status, fleet.run_count("still")), (200, 1));
}

#[test]
fn verify_an_incarnation_keeps_its_service_and_its_address() {
    let fleet = RegisteredFleet::start(2);
    assert_eq!(fleet.send_heartbeat_as(0, "i-1#a", SERVICE, false).status, 200);
    assert_eq!(fleet.send_heartbeat_as(0, "i-1#a", "other-app", true).status, 400);
    let heartbeat_from_elsewhere =
        fleet.build_heartbeat_from(common::closed_address(), "i-1#a", SERVICE, false);
    assert_eq!(fleet.call_daemon(0, &heartbeat_from_elsewhere).status, 400);
    (0..2).for_each(|daemon| fleet.wait_served(daemon, &[0, 1]));
}

/// Generates server entries in which one field has an arbitrary value or is unknown.
fn any_server() -> impl Strategy<Value = Value> {
    let value = prop_oneof![
        Just(Value::Null),
        any::<i64>().prop_map(Value::from),
        any::<bool>().prop_map(Value::from),
        "[ -~]{0,12}".prop_map(Value::from),
    ];
    let field = prop_oneof!["name", "service", "address", "slots", "draining", "[a-z]{1,5}"];
    (field, value).prop_map(|(field, value)| with_field(&field, value, build_foreign_server()))
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(28), cases: 512, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_a_good_server_is_kept_beside_any_entry(entry in any_server(), is_entry_first in any::<bool>()) {
        let good_server = with_field("name", json!("i-good"), build_foreign_server());
        let mut record = build_foreign_record(&good_server);
        let servers = record["servers"].as_array_mut().expect("servers");
        servers.insert(usize::from(!is_entry_first), entry);
        let record = records::read_record("host", record.to_string().as_bytes()).expect("a record");
        prop_assert!(record.is_in_use("i-good"));
    }

    #[test]
    fn verify_corrupted_records_cause_no_panic(
        position in 0..200_usize, byte in any::<u8>(), random_bytes in proptest::collection::vec(any::<u8>(), 0..99),
    ) {
        let mut record = build_foreign_record(&build_foreign_server()).to_string().into_bytes();
        let position = position % record.len();
        record[position] = byte;
        let _ = records::read_record("host", &record);
        let _ = records::read_record("host", &random_bytes);
    }
}
