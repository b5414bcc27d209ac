// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Ledger rows of at-most-once requests are removed once they expire, and never before: a row
//! removed too early would let a request run twice. The tests pass the time of the monotonic clock
//! as an argument.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_http::client::HttpClient;
use basaltarch_http::connection;
use basaltarch_standin::platform::{self, HostGroup, PlatformStandin};
use basaltarch_store::ledger::{self, ClaimOutcome, OnceKey, OnceLedger};
use basaltarch_store::platform::PlatformClient;
use basaltarch_store::retention::{EpochWatch, OnceRetention, EPOCH_TIME};
use basaltarch_telemetry::runtime;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::{json, Value};
use test_case::test_case;

const KEEP_EPOCHS: u64 = 3;
const PARTITION_COUNT: u32 = 256;

/// A simulated platform, and the ledger and retention of one daemon that uses this platform.
struct TestStore {
    address: SocketAddr,
    ledger: Rc<OnceLedger>,
    retention: OnceRetention,
}

impl TestStore {
    async fn start() -> Self {
        let listener = connection::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
        let address = listener.local_addr().expect("address");
        monoio::spawn(platform::serve(
            listener,
            Rc::new(PlatformStandin::default()),
            HostGroup::First,
        ));
        Self::connect_to(address)
    }

    fn connect_to(address: SocketAddr) -> Self {
        let platform = Rc::new(PlatformClient::new(address, 1e6, 1e6));
        let ledger = OnceLedger::new(platform.clone());
        let retention = OnceRetention::new(platform, ledger.clone(), KEEP_EPOCHS);
        Self { address, ledger, retention }
    }

    async fn set_faults(&self, faults: Value) {
        let client = HttpClient::new(self.address, Duration::from_secs(5));
        let body = Bytes::from(faults.to_string());
        client
            .call(Method::PUT, platform::FAULTS_PATH, HeaderMap::new(), body)
            .await
            .expect("faults");
    }

    /// Runs a round `epochs` whole epochs after the start of the clock; returns the current epoch,
    /// or `None` if the round failed.
    async fn epoch_at(&self, epochs: u32) -> Option<u64> {
        self.retention.run_round(EPOCH_TIME * epochs).await.ok().map(|report| report.epoch)
    }

    /// Sweeps all partitions and returns the number of rows removed.
    async fn sweep_all(&self, epoch: u64) -> u64 {
        let mut removed = 0;
        for partition in 0..PARTITION_COUNT {
            removed += self.retention.sweep(partition, epoch).await.expect("sweep").removed;
        }
        removed
    }

    async fn claim(&self, key: &str) -> ClaimOutcome {
        self.ledger.claim(&once_key(key)).await
    }
}

fn once_key(key: &str) -> OnceKey {
    OnceKey {
        service: "contest-desk".to_owned(),
        organisation: "khlung-shop".to_owned(),
        key: key.to_owned(),
        digest: ledger::digest([key.as_bytes()].into_iter()),
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    runtime::run(test).expect("runtime");
}

#[test]
fn verify_an_epoch_is_over_only_after_it_was_seen_for_its_whole_duration() {
    let minutes = |count: u64| Duration::from_secs(60 * count);
    let mut watch = EpochWatch::default();
    assert!(!watch.is_over(minutes(500)), "no epoch is known");
    watch.record_epoch(7, minutes(50));
    assert!(!watch.is_over(minutes(109)));
    assert!(watch.is_over(minutes(110)));
    watch.record_epoch(8, minutes(100));
    assert!(
        !watch.is_over(minutes(159)),
        "the new epoch lasts an hour from when it was first seen"
    );
    watch.record_epoch(7, minutes(158));
    assert_eq!(watch.current(minutes(159)), 8, "a stale answer changes nothing");
    assert_eq!(watch.current(minutes(161)), 0, "an epoch that was last read long ago may be over");
}

#[test]
fn verify_rows_are_kept_for_whole_epochs_and_then_removed() {
    run(async {
        let store = TestStore::start().await;
        assert_eq!(store.epoch_at(0).await, Some(1));
        for number in 0..30 {
            let outcome = store.claim(&format!("early-{number}")).await;
            assert!(matches!(outcome, ClaimOutcome::Granted(_)));
        }
        let mut epoch = 1;
        for hour in 1..=KEEP_EPOCHS as u32 {
            epoch = store.epoch_at(hour).await.expect("epoch");
            assert_eq!(epoch, 1 + u64::from(hour));
            store.claim(&format!("later-{hour}")).await;
            assert_eq!(store.sweep_all(epoch).await, 0, "epoch {epoch}");
            assert_eq!(store.claim("early-3").await, ClaimOutcome::Started, "not expired yet");
        }
        assert_eq!(store.epoch_at(KEEP_EPOCHS as u32 + 1).await, Some(epoch + 1));
        // Each call of `epoch_at` sweeps one partition. The last call may have removed some of the
        // 30 rows already.
        assert!(store.sweep_all(epoch + 1).await > 20);
        assert!(matches!(store.claim("early-3").await, ClaimOutcome::Granted(_)), "expired");
        assert_eq!(store.claim("later-1").await, ClaimOutcome::Started, "newer rows remain");
        assert_eq!(store.sweep_all(epoch + 1).await, 0, "the new row remains");
    });
}

#[test]
fn verify_retention_of_rows_without_an_epoch_starts_when_a_sweep_finds_them() {
    run(async {
        let store = TestStore::start().await;
        store.claim("undated").await;
        let partition =
            u32::from_str_radix(&once_key("undated").row_key()[5..7], 16).expect("partition");
        let report = store.retention.sweep(partition, 40).await.expect("sweep");
        assert_eq!((report.dated, report.removed), (1, 0));
        assert_eq!(store.sweep_all(40 + KEEP_EPOCHS).await, 0);
        assert_eq!(store.claim("undated").await, ClaimOutcome::Started);
        assert_eq!(store.sweep_all(41 + KEEP_EPOCHS).await, 1);
    });
}

#[test_case(json!({"down": true}) ; "down")]
#[test_case(json!({"lose_writes": 1}) ; "a write lost")]
#[test_case(json!({"lose_write_answers": 1}) ; "the answer of a write lost")]
fn verify_a_failing_store_never_shortens_an_epoch(faults: Value) {
    run(async {
        let store = TestStore::start().await;
        assert_eq!(store.epoch_at(0).await, Some(1));
        store.claim("kept").await;
        store.set_faults(faults).await;
        assert_eq!(store.epoch_at(1).await, None, "the round fails");
        store.set_faults(json!({})).await;
        // Whether or not the failed write took effect, the epoch advances by one.
        assert_eq!(store.epoch_at(1).await, Some(2));
        assert_eq!(store.epoch_at(1).await, Some(2));
        assert_eq!(store.epoch_at(2).await, Some(3));
        assert_eq!(store.sweep_all(3).await, 0);
        assert_eq!(store.claim("kept").await, ClaimOutcome::Started);
    });
}

#[test]
fn verify_several_daemons_advance_an_epoch_once_and_new_daemons_never() {
    run(async {
        let store = TestStore::start().await;
        let other_daemons: Vec<TestStore> =
            (0..5).map(|_| TestStore::connect_to(store.address)).collect();
        assert_eq!(store.epoch_at(0).await, Some(1));
        for other_daemon in &other_daemons {
            assert_eq!(other_daemon.epoch_at(0).await, Some(1));
        }
        assert_eq!(store.epoch_at(1).await, Some(2));
        for other_daemon in &other_daemons {
            assert_eq!(
                other_daemon.epoch_at(1).await,
                Some(2),
                "the hour was spent in epoch 1, not in epoch 2"
            );
        }
        // The monotonic clock of a new daemon may be high, but the daemon has not read the epoch
        // before.
        let new_daemon = TestStore::connect_to(store.address);
        assert_eq!(new_daemon.epoch_at(900).await, Some(2));
    });
}

#[test]
fn verify_a_stale_answer_never_takes_an_epoch_back() {
    run(async {
        let store = TestStore::start().await;
        let lagging_daemon = TestStore::connect_to(store.address);
        assert_eq!(store.epoch_at(0).await, Some(1));
        assert_eq!(lagging_daemon.epoch_at(0).await, Some(1));
        let stale_read_faults = json!({"reads_from_past_ms": 3_600_000});
        store.set_faults(stale_read_faults.clone()).await;
        store.set_faults(json!({})).await;
        assert_eq!(store.epoch_at(1).await, Some(2));
        assert_eq!(store.epoch_at(2).await, Some(3));
        store.set_faults(stale_read_faults).await;
        // The lagging daemon reads epoch 1 from a stale answer. This daemon has seen epoch 1 for
        // hours, and tries to write epoch 2.
        assert_eq!(lagging_daemon.epoch_at(3).await, Some(1));
        store.set_faults(json!({})).await;
        let new_daemon = TestStore::connect_to(store.address);
        assert_eq!(new_daemon.epoch_at(0).await, Some(3));
    });
}

#[test]
fn verify_rows_written_after_a_long_outage_of_the_store_carry_no_epoch() {
    run(async {
        let store = TestStore::start().await;
        assert_eq!(store.epoch_at(0).await, Some(1));
        store.set_faults(json!({"down": true})).await;
        assert_eq!(store.epoch_at(5).await, None);
        store.set_faults(json!({})).await;
        store.claim("after the outage").await;
        let key = once_key("after the outage").row_key();
        let platform = PlatformClient::new(store.address, 1e6, 1e6);
        let row = platform.read(&key).await.expect("read");
        assert_eq!(row.expect("row").value["epoch"], json!(0), "the last known epoch may be over");
    });
}
