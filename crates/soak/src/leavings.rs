// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Backend servers that leave, and come back as a new incarnation. Checks that an acknowledged
//! leaving binds, and that the next incarnation is used.
//!
//! The simulated servers stay healthy while they leave, and heartbeats that they sent before arrive
//! late.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation::ServerIncarnation;
use basaltarch_http::client::HttpClient;
use basaltarch_platform::registration;
use basaltarch_platform::rows::StoreCall;
use basaltarch_standin::backend::{BackendRuns, RUNS_PATH};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::faults;
use crate::fleet::SoakHost;
use crate::run::SoakState;

/// Time after the acknowledgement of a leaving from which no request may reach the server.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Shortest and longest time for which a server that has left is watched, in milliseconds.
const WATCH_TIME_MS: std::ops::RangeInclusive<u64> = 2000..=8000;
/// Pause before a report of a leaving that was not acknowledged is repeated.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Number of times that a leaving is reported at most.
const REPORTS_MAX: usize = 12;
/// Longest pause between two late heartbeats, in milliseconds.
const LATE_PAUSE_MS: u64 = 1500;
/// Share of the leavings after whose acknowledgement the daemon is killed at once.
const KILLED_SHARE: f64 = 0.6;
/// Time within which a new incarnation of a server must get a request. It is longer than any fault,
/// and the daemon's restart after it.
const USED_AGAIN_MAX: Duration = Duration::from_secs(20);
/// Interval at which a returned server is asked whether it got a request.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call for the counters of a server.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Lets the backend server of a host leave and come back, with random numbers from `seed`.
pub async fn run(state: Rc<SoakState>, host_index: usize, seed: u64) {
    let host = state.fleet.hosts[host_index].clone();
    if !host.begin_leaving() {
        return;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let late_heartbeat = host.build_heartbeat(false);
    let call = draw_report(&host, &mut rng);
    let is_acknowledged = report_leaving(&host, &call).await;
    state.print_event(&format!("{} leaves, acknowledged: {is_acknowledged}", host.name));
    if is_acknowledged {
        if rng.random_bool(KILLED_SHARE) {
            let pause = Duration::from_millis(rng.random_range(0..1000));
            monoio::spawn(faults::kill_daemon(state.clone(), host_index, pause));
        }
        monoio::time::sleep(DRAIN_TIME).await;
        await_released(&host).await;
        check_unused(&state, &host, &late_heartbeat, &mut rng).await;
    }
    host.start_server_again();
    check_used_again(&state, &host).await;
}

/// Draws how a server reports that it is leaving.
fn draw_report(host: &SoakHost, rng: &mut ChaCha8Rng) -> StoreCall {
    let incarnation = host.server_incarnation();
    match rng.random_range(0..3) {
        0 => host.build_heartbeat(true),
        1 => registration::deregister(&incarnation),
        _ => registration::deregister(&ServerIncarnation { born: None, ..incarnation }),
    }
}

/// Reports a leaving until it is acknowledged, up to [`REPORTS_MAX`] times.
async fn report_leaving(host: &SoakHost, call: &StoreCall) -> bool {
    for _ in 0..REPORTS_MAX {
        if host.call_daemon(call).await == Some(StatusCode::OK) {
            return true;
        }
        monoio::time::sleep(REPORT_PAUSE).await;
    }
    false
}

/// Waits until no data to the server is held back: what was sent before the leaving arrives late
/// then, which is no fault of the daemon.
async fn await_released(host: &SoakHost) {
    while host.server_proxy.is_held() {
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    monoio::time::sleep(POLL_INTERVAL).await;
}

/// Watches a server that has left, while heartbeats of before arrive late.
async fn check_unused(
    state: &SoakState,
    host: &SoakHost,
    late_heartbeat: &StoreCall,
    rng: &mut ChaCha8Rng,
) {
    let Some(before) = received_count(host).await else { return };
    let end = state.now() + Duration::from_millis(rng.random_range(WATCH_TIME_MS));
    while state.now() < end {
        let pause = Duration::from_millis(rng.random_range(0..LATE_PAUSE_MS));
        monoio::time::sleep(pause).await;
        let _ = host.call_daemon(late_heartbeat).await;
    }
    let Some(after) = received_count(host).await else { return };
    state.note_leaving();
    if after > before {
        let count = after - before;
        let incarnation = host.server_incarnation();
        state.add_finding(format!(
            "{count} requests reached {incarnation} more than {DRAIN_TIME:?} after its leaving was \
             acknowledged"
        ));
    }
}

/// Checks that a server that has come back gets a request.
async fn check_used_again(state: &SoakState, host: &SoakHost) {
    let Some(before) = received_count(host).await else { return };
    let incarnation = host.server_incarnation();
    let end = state.now() + USED_AGAIN_MAX;
    while state.now() < end {
        monoio::time::sleep(POLL_INTERVAL).await;
        let is_used = received_count(host).await.is_none_or(|count| count > before);
        if is_used || host.server_incarnation() != incarnation {
            return;
        }
    }
    state.add_finding(format!("no request reached {incarnation} in {USED_AGAIN_MAX:?}"));
}

/// Returns the number of requests that a server has received, `None` if it does not tell.
async fn received_count(host: &SoakHost) -> Option<u64> {
    let client = HttpClient::new(host.backend_address(), COUNTERS_TIMEOUT);
    let call = client.call(Method::GET, RUNS_PATH, HeaderMap::new(), Bytes::new());
    let runs: BackendRuns = serde_json::from_slice(&call.await.ok()?.body).ok()?;
    Some(runs.received)
}
