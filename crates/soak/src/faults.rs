// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Fault injection from outside the processes, drawn from a seed: faults follow each other and may
//! overlap.

use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use crate::proxy::ProxyHold;
use crate::run::SoakState;

/// `FaultKind` is a kind of injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Connections of some hosts to the store are black-holed permanently.
    SilentStore,
    /// Half of all connections, to the store and between daemons, are black-holed permanently.
    SilentHalf,
    /// All connections, to the store and between daemons, are black-holed permanently.
    SilentAll,
    /// Data between a host and the store is held back, in one direction or both.
    HeldStore,
    /// Data between a host's daemon and its peers is held back, in one direction or both.
    HeldPeers,
    /// A daemon is suspended with SIGSTOP.
    Paused,
    /// A daemon is killed and restarted.
    Killed,
    /// A daemon is stopped with SIGTERM and restarted.
    Stopped,
    /// The store refuses calls or drops their connections.
    StoreOut,
    /// The store answers late.
    StoreSlow,
    /// The store discards its history of changes.
    Forgotten,
    /// Other threads compete for the processor.
    Starved,
}

/// Every kind, with its name on the command line.
pub const KINDS: [(FaultKind, &str); 12] = [
    (FaultKind::SilentStore, "silent-store"),
    (FaultKind::SilentHalf, "silent-half"),
    (FaultKind::SilentAll, "silent-all"),
    (FaultKind::HeldStore, "held-store"),
    (FaultKind::HeldPeers, "held-peers"),
    (FaultKind::Paused, "paused"),
    (FaultKind::Killed, "killed"),
    (FaultKind::Stopped, "stopped"),
    (FaultKind::StoreOut, "store-out"),
    (FaultKind::StoreSlow, "store-slow"),
    (FaultKind::Forgotten, "forgotten"),
    (FaultKind::Starved, "starved"),
];

/// Shortest and longest pause between the beginnings of two faults, in milliseconds. Faults that
/// last longer than the pause overlap with the next one.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 500..=7000;
/// Shortest and longest duration of a fault, in milliseconds.
const LENGTH_MS: std::ops::RangeInclusive<u64> = 300..=6000;
/// Threads that spin to starve the processes.
const BUSY_THREADS: usize = 4;

/// Returns the kind of this name, if there is one.
pub fn kind_of(name: &str) -> Option<FaultKind> {
    KINDS.iter().find(|(_, known)| *known == name).map(|(kind, _)| *kind)
}

/// `FaultPlan` is one fault with its parameters, as drawn.
#[derive(Debug, Clone)]
struct FaultPlan {
    kind: FaultKind,
    hosts: Vec<usize>,
    hold: ProxyHold,
    length: Duration,
    /// Faults to set at the store.
    store: Value,
    seed: u64,
}

/// Injects faults into the fleet for ever.
pub async fn run(state: Rc<SoakState>, kinds: Vec<FaultKind>, mut rng: ChaCha8Rng) {
    loop {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        monoio::time::sleep(pause).await;
        let Some(kind) = kinds.choose(&mut rng) else { return };
        let plan = draw(*kind, state.fleet.hosts.len(), &mut rng);
        let state = state.clone();
        monoio::spawn(async move { apply(&state, &plan).await });
    }
}

fn draw(kind: FaultKind, hosts: usize, rng: &mut ChaCha8Rng) -> FaultPlan {
    let count = match kind {
        FaultKind::SilentHalf | FaultKind::SilentAll => hosts,
        FaultKind::SilentStore => (hosts / 3).max(1),
        FaultKind::HeldStore | FaultKind::HeldPeers => (hosts / 6).max(1),
        FaultKind::Paused | FaultKind::Killed | FaultKind::Stopped => (hosts / 12).max(1),
        _ => 0,
    };
    let holds = [(true, true), (true, false), (false, true)];
    let (forward, back) = *holds.choose(rng).unwrap_or(&(true, true));
    let store = match kind {
        FaultKind::StoreOut => {
            let outages = [json!({"busy": true}), json!({"down": true}), json!({"many": true})];
            outages.choose(rng).cloned().unwrap_or_default()
        }
        FaultKind::StoreSlow => json!({"delay_ms": rng.random_range(50..400)}),
        FaultKind::Forgotten => json!({"forget_history": true}),
        _ => Value::Null,
    };
    FaultPlan {
        kind,
        hosts: (0..hosts).sample(rng, count),
        hold: ProxyHold { forward, back },
        length: Duration::from_millis(rng.random_range(LENGTH_MS)),
        store,
        seed: rng.random(),
    }
}

async fn apply(state: &Rc<SoakState>, plan: &FaultPlan) {
    state.print_event(&format!(
        "fault {:?} of hosts {:?} for {:?}",
        plan.kind, plan.hosts, plan.length
    ));
    match plan.kind {
        FaultKind::SilentStore => black_hole(state, plan, 1.0, false),
        FaultKind::SilentHalf => black_hole(state, plan, 0.5, true),
        FaultKind::SilentAll => black_hole(state, plan, 1.0, true),
        FaultKind::HeldStore | FaultKind::HeldPeers => hold(state, plan).await,
        FaultKind::Paused => pause(state, plan).await,
        FaultKind::Killed | FaultKind::Stopped => restart(state, plan).await,
        FaultKind::StoreOut | FaultKind::StoreSlow => disturb_store(state, plan).await,
        FaultKind::Forgotten => forget_history(state, plan).await,
        FaultKind::Starved => starve(state, plan).await,
    }
}

/// Black-holes open connections. This counts as a fault of every host, as each may be the other end
/// of such a connection.
fn black_hole(state: &SoakState, plan: &FaultPlan, share: f64, peers: bool) {
    let handle = state.begin(&state.all_hosts(), false);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    for number in &plan.hosts {
        let host = &state.fleet.hosts[*number];
        host.store.black_hole(|| rng.random_bool(share));
        if peers {
            host.peers.black_hole(|| rng.random_bool(share));
        }
    }
    state.end(&handle);
}

async fn hold(state: &SoakState, plan: &FaultPlan) {
    let is_store = plan.kind == FaultKind::HeldStore;
    // Holding the links of a host affects every peer at their other ends.
    let affected = if is_store { plan.hosts.clone() } else { state.all_hosts() };
    let handle = state.begin(&affected, false);
    let set_hold = |hold| {
        for number in &plan.hosts {
            let host = &state.fleet.hosts[*number];
            let proxy = if is_store { &host.store } else { &host.peers };
            proxy.hold(hold);
        }
    };
    set_hold(plan.hold);
    monoio::time::sleep(plan.length).await;
    set_hold(ProxyHold::default());
    state.end(&handle);
}

async fn pause(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin(&plan.hosts, false);
    let signal = |signal| {
        let hosts = plan.hosts.iter().map(|number| &state.fleet.hosts[*number]);
        hosts.for_each(|host| host.with_daemon(|daemon| daemon.signal(signal)));
    };
    signal(Signal::SIGSTOP);
    monoio::time::sleep(plan.length).await;
    signal(Signal::SIGCONT);
    state.end(&handle);
}

async fn restart(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin(&plan.hosts, false);
    for number in &plan.hosts {
        let host = &state.fleet.hosts[*number];
        // Overlapping faults may restart the same daemon.
        if !state.claim_restart(*number) {
            continue;
        }
        if plan.kind == FaultKind::Stopped {
            host.with_daemon(|daemon| daemon.signal(Signal::SIGTERM));
            let wait_for_exit = async || {
                while host.with_daemon(|daemon| daemon.is_running()) {
                    monoio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let _ = monoio::time::timeout(Duration::from_secs(10), wait_for_exit()).await;
        }
        state.fleet.kill(host);
        monoio::time::sleep(plan.length.min(Duration::from_secs(2))).await;
        if let Err(error) = state.fleet.restart(host).await {
            state.add_finding(format!("{} did not restart: {error}", host.name));
        }
        state.release_restart(*number);
    }
    state.end(&handle);
}

async fn disturb_store(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin(&[], true);
    state.apply_store_faults(&plan.store).await;
    monoio::time::sleep(plan.length).await;
    state.apply_store_faults(&json!({})).await;
    state.end(&handle);
}

async fn forget_history(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin(&[], true);
    state.apply_store_faults(&plan.store).await;
    state.end(&handle);
}

/// Occupies the processor with spinning threads for the length of the fault.
async fn starve(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin(&state.all_hosts(), false);
    let length = plan.length;
    for _ in 0..BUSY_THREADS {
        thread::spawn(move || {
            let began = Instant::now();
            while began.elapsed() < length {
                std::hint::spin_loop();
            }
        });
    }
    monoio::time::sleep(length).await;
    state.end(&handle);
}
