// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The contract with the platform's store, tested against a simulated store: conditional writes,
//! scans, the change feed, and outages. A client that misjudges whether a write took effect would
//! lose a change or apply a change twice.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::config::FleetConfig;
use basaltarch_core::resources::ResourceKind;
use basaltarch_http::client::HttpClient;
use basaltarch_http::connection;
use basaltarch_standin::platform::{self, HostGroup, PlatformStandin};
use basaltarch_store::changes::{ChangeAuthor, ChangeGuard, ChangeStore, ResourceEdit};
use basaltarch_store::errors::StoreError;
use basaltarch_store::platform::{FeedReply, PlatformClient, TablePosition, FEED_WAIT};
use basaltarch_store::transaction::{RowCheck, RowWrite, VALUE_BYTES_MAX};
use basaltarch_telemetry::runtime;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{json, Value};
use test_case::test_case;

struct TestStore {
    address: SocketAddr,
    client: PlatformClient,
    /// Client in the second host group. A partial outage affects the hosts of this group only.
    second_group_client: PlatformClient,
}

impl TestStore {
    fn start() -> Self {
        let bind = || connection::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let (first, second) = (bind(), bind());
        let address = first.local_addr().expect("address");
        let second_address = second.local_addr().expect("address");
        let standin = Rc::new(PlatformStandin::default());
        monoio::spawn(platform::serve(first, standin.clone(), HostGroup::First));
        monoio::spawn(platform::serve(second, standin, HostGroup::Second));
        let client = PlatformClient::new(address, 1e6, 1e6);
        Self { address, client, second_group_client: PlatformClient::new(second_address, 1e6, 1e6) }
    }

    async fn set_faults(&self, faults: Value) {
        let client = HttpClient::new(self.address, Duration::from_secs(10));
        let body = Bytes::from(faults.to_string());
        let call = client.call(Method::PUT, platform::FAULTS_PATH, HeaderMap::new(), body);
        assert_eq!(call.await.expect("faults").status, 204);
    }

    async fn put(&self, key: &str, version: u64, value: Value) -> Result<u64, StoreError> {
        let check = RowCheck { key: key.to_owned(), version };
        let write = RowWrite { key: key.to_owned(), value: Some(value) };
        self.client.transact(vec![check], vec![write]).await
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    runtime::run(test).expect("runtime");
}

#[test]
fn verify_conditions_admit_one_writer_and_return_the_current_row_to_the_other() {
    run(async {
        let store = TestStore::start();
        let first = store.put("t/k", 0, json!(1)).await.expect("the row is new");
        let refused = store.put("t/k", 0, json!(2)).await.expect_err("the row exists already");
        let StoreError::Conflict { rows } = refused else { panic!("{refused}") };
        assert_eq!((rows[0].key.as_str(), rows[0].version), ("t/k", first));
        assert_eq!(rows[0].value, json!(1));
        let second = store.put("t/k", first, json!(2)).await.expect("the expected version");
        assert!(second > first);
        let removal = RowWrite { key: "t/k".to_owned(), value: None };
        store.client.transact(Vec::new(), vec![removal]).await.expect("removed");
        assert_eq!(store.client.read("t/k").await.expect("read"), None);
        store.put("t/k", 0, json!(3)).await.expect("new again");
    });
}

#[test]
fn verify_scans_page_by_prefix_and_tables_are_read_whole() {
    run(async {
        let store = TestStore::start();
        for number in 0..60 {
            let writes = (0..10).map(|each| RowWrite {
                key: format!("t/a{:03}", number * 10 + each),
                value: Some(json!(each)),
            });
            store.client.transact(Vec::new(), writes.collect()).await.expect("written");
        }
        store.put("t/b", 0, json!(0)).await.expect("written");
        store.put("u/a000", 0, json!(0)).await.expect("written");
        let page = store.client.scan("t/a", "", 7).await.expect("scan");
        assert_eq!(page.len(), 7);
        let next = store.client.scan("t/a", &page[6].key, 2).await.expect("scan");
        assert_eq!(next[0].key, "t/a007");
        let end = store.client.scan("t/a", "t/a598", 7).await.expect("scan");
        assert_eq!(end.len(), 1, "rows of another prefix or table are not returned");
        let (table_page, _) = store.client.read_table("t").await.expect("table");
        assert_eq!(table_page.rows.len(), 601, "more than one page");
        assert!(table_page.rows.is_sorted_by(|left, right| left.key < right.key));
    });
}

#[test]
fn verify_the_feed_returns_changes_in_order_and_reports_lost_history() {
    run(async {
        let store = TestStore::start();
        store.put("t/a", 0, json!(1)).await.expect("written");
        let (_, start) = store.client.read_table("t").await.expect("table");
        store.put("u/x", 0, json!(1)).await.expect("another table");
        let follow = store.client.follow("t", start, FEED_WAIT);
        let write = async {
            monoio::time::sleep(Duration::from_millis(20)).await;
            store.put("t/b", 0, json!(2)).await.expect("written")
        };
        let (reply, version) = futures_util::future::join(follow, write).await;
        let FeedReply::Changes(page, position) = reply.expect("feed") else { panic!("forgotten") };
        let keys: Vec<&str> = page.rows.iter().map(|row| row.key.as_str()).collect();
        assert_eq!((keys, page.version), (vec!["b"], version));
        store.set_faults(json!({"forget_history": true})).await;
        let reply = store.client.follow("t", position, FEED_WAIT).await.expect("feed");
        assert_eq!(reply, FeedReply::Forgotten);
        let (page, _) = store.client.read_table("t").await.expect("table");
        assert_eq!(page.rows.len(), 2, "only the history is lost");
        assert!(page.version > version, "the feed continues from here");
    });
}

#[test_case(Some(0), 1, true ; "the same era continues")]
#[test_case(None, 1, true ; "no era was known before")]
#[test_case(Some(1), 0, false ; "the position is of another era")]
fn verify_a_position_is_valid_in_its_own_era_only(
    era: Option<u64>,
    rows: usize,
    is_continued: bool,
) {
    run(async {
        let store = TestStore::start();
        store.put("t/a", 0, json!(1)).await.expect("written");
        let position = TablePosition { era, version: 0 };
        let reply = store.client.changes_now("t", position).await.expect("feed");
        let row_count = match reply {
            FeedReply::Changes(page, next) => {
                assert_eq!(next, TablePosition { era: Some(0), version: page.version });
                Some(page.rows.len())
            }
            FeedReply::Forgotten => None,
        };
        assert_eq!(row_count, is_continued.then_some(rows));
    });
}

#[test_case(json!({"down": true}), true ; "connections are dropped")]
#[test_case(json!({"busy": true}), false ; "calls are refused")]
#[test_case(json!({"silent": true}), true ; "calls are not answered")]
#[test_case(json!({"calls_per_second_max": 1}), false ; "over the rate limit")]
#[test_case(json!({"lose_write_answers": 1}), true ; "the answer is lost")]
#[test_case(json!({"lose_writes": 1}), true ; "the write is lost")]
#[test_case(json!({"late_writes": 1, "late_by_ms": 50}), true ; "the write takes effect late")]
fn verify_each_outage_reports_whether_a_write_may_have_happened(
    faults: Value,
    may_have_happened: bool,
) {
    run(async {
        let store = TestStore::start();
        store.set_faults(faults).await;
        let _ = store.client.read("t/none").await;
        let error = store.put("t/k", 0, json!(1)).await.expect_err("an outage");
        assert_eq!(error.may_have_happened(), may_have_happened, "{error}");
        store.set_faults(json!({})).await;
        // Repeating the same write shows the outcome: the write takes effect at most once.
        let repeated = store.put("t/k", 0, json!(1)).await;
        assert!(matches!(repeated, Ok(_) | Err(StoreError::Conflict { .. })), "{repeated:?}");
        let again = store.put("t/k", 0, json!(1)).await;
        assert!(matches!(again, Err(StoreError::Conflict { .. })), "{again:?}");
    });
}

#[test_case(json!({"down": true}) ; "connections are dropped")]
#[test_case(json!({"busy": true}) ; "calls are refused")]
#[test_case(json!({"many": true}) ; "calls are refused as too many")]
#[test_case(json!({"silent": true}) ; "calls are not answered")]
fn verify_an_outage_for_some_hosts_leaves_the_others_served(mut faults: Value) {
    run(async {
        let store = TestStore::start();
        faults["second_group_only"] = json!(true);
        store.set_faults(faults).await;
        let version = store.put("t/k", 0, json!(1)).await.expect("the first group is served");
        store.second_group_client.read("t/k").await.expect_err("the second group is not");
        store
            .second_group_client
            .follow("t", TablePosition::default(), FEED_WAIT)
            .await
            .expect_err("nor is its feed");
        store.set_faults(json!({})).await;
        let row =
            store.second_group_client.read("t/k").await.expect("read").expect("the row exists");
        assert_eq!(row.version, version);
    });
}

#[test]
fn verify_calls_over_the_rate_limit_of_the_client_are_not_made() {
    run(async {
        let store = TestStore::start();
        let client = PlatformClient::new(store.address, 2.0, 1.0);
        let write = || vec![RowWrite { key: "t/k".to_owned(), value: Some(json!(1)) }];
        client.transact(Vec::new(), write()).await.expect("within the limit");
        let refused = client.transact(Vec::new(), write()).await;
        assert_eq!(refused, Err(StoreError::OverBudget));
    });
}

#[test]
fn verify_changes_too_long_for_a_row_and_snapshots_of_several_parts_are_read_back_whole() {
    run(async {
        let store = TestStore::start();
        let client = Rc::new(PlatformClient::new(store.address, 1e6, 1e6));
        let changes = ChangeStore::new(client);
        let title = "x".repeat(2000);
        let edits: Vec<ResourceEdit> = (0..3000)
            .map(|number| ResourceEdit {
                kind: ResourceKind::Organisation,
                name: format!("org-{number:04}"),
                value: Some(json!({"title": format!("{number}{title}")})),
                guard: ChangeGuard::Any,
            })
            .collect();
        let author = ChangeAuthor { actor: "a".to_owned(), from: "f".to_owned() };
        let mut config = FleetConfig::default();
        let record = changes.commit(&mut config, &edits, &author).await.expect("accepted");
        let length = serde_json::to_vec(&record).expect("record").len();
        assert!(length > VALUE_BYTES_MAX, "{length}");
        let mut read = FleetConfig::default();
        changes.catch_up(&mut read).await.expect("read");
        assert_eq!((read.revision(), read.len()), (config.revision(), 3000));
        let no_pause = async || ();
        changes.put_snapshot(&config, &no_pause).await.expect("snapshot");
        let snapshot = changes.snapshot(&no_pause).await.expect("read").expect("a snapshot");
        assert_eq!((snapshot.revision(), snapshot.len()), (config.revision(), 3000));
    });
}
