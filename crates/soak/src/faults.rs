// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Fault injection from outside the processes. Kinds, hosts and durations of the faults are drawn
//! from a seed. Faults follow each other and may overlap.

use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use futures_util::future;
use nix::sys::signal::Signal;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};

use crate::fleet::{SoakHost, CRASH_PATH};
use crate::leavings;
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
    /// The store delays its responses by 50 to 400 ms.
    StoreSlow,
    /// The store discards its history of changes.
    Forgotten,
    /// The backend servers of some hosts leave, and come back as new incarnations.
    Leaving,
    /// Data between a daemon and its backend server is held back, in one direction or both.
    HeldServers,
    /// The backend servers of some hosts crash, and start again at their address as new incarnations.
    Restarted,
    /// Daemons are told with SIGHUP to reload their settings.
    Reloaded,
    /// All backend servers are slow, and more callers than slots send requests.
    Overloaded,
    /// Backend servers of some hosts spoil responses, or fail requests.
    Garbled,
    /// Connections of some hosts are reset.
    Reset,
    /// Backend servers of some hosts crash and start again by turns.
    Flapping,
    /// Spinning threads of the soak compete with the processes of the fleet for the processor.
    Starved,
}

/// Every kind of fault, with its name on the command line.
pub const KINDS: [(FaultKind, &str); 20] = [
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
    (FaultKind::Leaving, "leaving"),
    (FaultKind::HeldServers, "held-servers"),
    (FaultKind::Restarted, "restarted"),
    (FaultKind::Reloaded, "reloaded"),
    (FaultKind::Overloaded, "overloaded"),
    (FaultKind::Garbled, "garbled"),
    (FaultKind::Reset, "reset"),
    (FaultKind::Flapping, "flapping"),
    (FaultKind::Starved, "starved"),
];

/// Shortest pause between the beginnings of two faults. A fault that lasts longer than the pause
/// overlaps with the next fault.
const FAULT_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Shortest and longest duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: std::ops::RangeInclusive<u64> = 300..=6000;
/// Longest time for which a backend server that crashed is down.
const SERVER_DOWN_MAX: Duration = Duration::from_secs(2);
/// Factor by which service times grow while the fleet is overloaded.
const OVERLOAD_FACTOR: f64 = 40.0;
/// Factor by which service times grow while a fleet with a mix of requests is overloaded.
const MIX_OVERLOAD_FACTOR: f64 = 3.0;
/// Share of the connections that are reset.
const RESET_SHARE: f64 = 0.5;
/// Number of crashes of a backend server that goes down and up by turns.
const FLAPS: usize = 4;
/// Number of threads that spin in order to starve the processes of the fleet.
const BUSY_THREADS: usize = 4;

/// Returns the kind of fault with this name on the command line, if there is such a kind.
pub fn kind_of(name: &str) -> Option<FaultKind> {
    KINDS.iter().find(|(_, known)| *known == name).map(|(kind, _)| *kind)
}

/// `FaultPlan` is one fault with its randomly drawn parameters.
#[derive(Debug, Clone)]
struct FaultPlan {
    kind: FaultKind,
    /// Indices of the affected hosts.
    hosts: Vec<usize>,
    hold: ProxyHold,
    length: Duration,
    /// Body of the call that sets the faults of the store; null for other kinds of faults.
    store_faults: Value,
    seed: u64,
}

/// Injects faults into the fleet for ever, with pauses of up to `pause_max` between their
/// beginnings; returns at once if `kinds` is empty.
pub async fn run(
    state: Rc<SoakState>,
    kinds: Vec<FaultKind>,
    pause_max: Duration,
    mut rng: ChaCha8Rng,
) {
    loop {
        let pause = rng.random_range(FAULT_PAUSE_MIN..=pause_max.max(FAULT_PAUSE_MIN));
        monoio::time::sleep(pause).await;
        let Some(kind) = kinds.choose(&mut rng) else { return };
        let plan = draw_plan(*kind, state.fleet.hosts.len(), &mut rng);
        let state = state.clone();
        monoio::spawn(async move { apply_fault(&state, &plan).await });
    }
}

fn draw_plan(kind: FaultKind, fleet_size: usize, rng: &mut ChaCha8Rng) -> FaultPlan {
    let host_count = match kind {
        FaultKind::SilentHalf | FaultKind::SilentAll => fleet_size,
        FaultKind::SilentStore | FaultKind::Reloaded | FaultKind::Reset => (fleet_size / 3).max(1),
        FaultKind::Garbled => (fleet_size / 2).max(1),
        FaultKind::HeldStore
        | FaultKind::HeldPeers
        | FaultKind::HeldServers
        | FaultKind::Restarted
        | FaultKind::Flapping
        | FaultKind::Leaving => (fleet_size / 6).max(1),
        FaultKind::Paused | FaultKind::Killed | FaultKind::Stopped => (fleet_size / 12).max(1),
        _ => 0,
    };
    let holds = [(true, true), (true, false), (false, true)];
    let (forward, back) = *holds.choose(rng).unwrap_or(&(true, true));
    let store_faults = match kind {
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
        hosts: (0..fleet_size).sample(rng, host_count),
        hold: ProxyHold { forward, back },
        length: Duration::from_millis(rng.random_range(FAULT_LENGTH_MS)),
        store_faults,
        seed: rng.random(),
    }
}

async fn apply_fault(state: &Rc<SoakState>, plan: &FaultPlan) {
    state.print_event(&format!(
        "fault {:?} of hosts {:?} for {:?}",
        plan.kind, plan.hosts, plan.length
    ));
    match plan.kind {
        FaultKind::SilentStore => black_hole(state, plan, 1.0, false),
        FaultKind::SilentHalf => black_hole(state, plan, 0.5, true),
        FaultKind::SilentAll => black_hole(state, plan, 1.0, true),
        FaultKind::HeldStore | FaultKind::HeldPeers | FaultKind::HeldServers => {
            hold_connections(state, plan).await;
        }
        FaultKind::Paused => pause_daemons(state, plan).await,
        FaultKind::Killed | FaultKind::Stopped => restart_daemons(state, plan).await,
        FaultKind::StoreOut | FaultKind::StoreSlow => disturb_store(state, plan).await,
        FaultKind::Forgotten => forget_history(state, plan).await,
        FaultKind::Leaving => leave(state, plan),
        FaultKind::Restarted => restart_servers(state, plan),
        FaultKind::Garbled => garble(state, plan),
        FaultKind::Reset => reset_connections(state, plan),
        FaultKind::Flapping => flap(state, plan),
        FaultKind::Reloaded => signal_daemons(state, plan, Signal::SIGHUP),
        FaultKind::Overloaded => overload(state, plan).await,
        FaultKind::Starved => starve_processes(state, plan).await,
    }
}

fn leave(state: &Rc<SoakState>, plan: &FaultPlan) {
    for host_index in &plan.hosts {
        let seed = plan.seed.wrapping_add(*host_index as u64);
        monoio::spawn(leavings::run(state.clone(), *host_index, seed));
    }
}

/// Black-holes a share of the open connections of the plan's hosts to the store and, with
/// `includes_peers`, of the connections to their daemons. The fault counts for every host, as each
/// host may be at the other end of a black-holed connection.
fn black_hole(state: &SoakState, plan: &FaultPlan, share: f64, includes_peers: bool) {
    let handle = state.begin_fault(&state.all_hosts(), false);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    for host_index in &plan.hosts {
        let host = &state.fleet.hosts[*host_index];
        host.store_proxy.black_hole(|| rng.random_bool(share));
        if includes_peers {
            host.peer_proxy.black_hole(|| rng.random_bool(share));
        }
    }
    state.end_fault(&handle);
}

async fn hold_connections(state: &SoakState, plan: &FaultPlan) {
    let is_store = plan.kind == FaultKind::HeldStore;
    let is_server = plan.kind == FaultKind::HeldServers;
    // If data on the links of a host is held back, every peer at the other end of a link is
    // affected.
    let affected = if is_store { plan.hosts.clone() } else { state.all_hosts() };
    let handle = state.begin_fault(&affected, false);
    let set_hold = |hold| {
        for host_index in &plan.hosts {
            let host = &state.fleet.hosts[*host_index];
            let proxy = match plan.kind {
                _ if is_store => &host.store_proxy,
                _ if is_server => &host.server_proxy,
                _ => &host.peer_proxy,
            };
            proxy.hold(hold);
        }
    };
    set_hold(plan.hold);
    monoio::time::sleep(plan.length).await;
    set_hold(ProxyHold::default());
    state.end_fault(&handle);
}

async fn pause_daemons(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin_fault(&plan.hosts, false);
    signal_daemons(state, plan, Signal::SIGSTOP);
    monoio::time::sleep(plan.length).await;
    signal_daemons(state, plan, Signal::SIGCONT);
    state.end_fault(&handle);
}

fn signal_daemons(state: &SoakState, plan: &FaultPlan, signal: Signal) {
    let hosts = plan.hosts.iter().map(|host_index| &state.fleet.hosts[*host_index]);
    hosts.for_each(|host| host.with_daemon(|daemon| daemon.signal(signal)));
}

fn restart_servers(state: &Rc<SoakState>, plan: &FaultPlan) {
    let down_time = plan.length.min(SERVER_DOWN_MAX);
    for host_index in &plan.hosts {
        monoio::spawn(restart_server(state.clone(), *host_index, down_time));
    }
}

fn flap(state: &Rc<SoakState>, plan: &FaultPlan) {
    let down_time = plan.length.min(SERVER_DOWN_MAX) / 2;
    for host_index in &plan.hosts {
        let (state, host_index) = (state.clone(), *host_index);
        monoio::spawn(async move {
            for _ in 0..FLAPS {
                restart_server(state.clone(), host_index, down_time).await;
                monoio::time::sleep(down_time).await;
            }
        });
    }
}

/// Lets the backend server of a host crash, and start again at its address as a new incarnation,
/// unless it is leaving.
async fn restart_server(state: Rc<SoakState>, host_index: usize, down_time: Duration) {
    let host = state.fleet.hosts[host_index].clone();
    if !host.begin_leaving() {
        return;
    }
    let down_ms = down_time.as_millis() as u64;
    let faults = json!({"crash_path": CRASH_PATH, "down_ms": down_ms});
    let crashing = async {
        host.crash_server().await;
        monoio::time::sleep(down_time).await;
        host.start_server_again();
    };
    future::join(disturb_server(&state, &host, &faults, down_time), crashing).await;
}

/// Adds faults of a backend server for a while. A server that is down keeps its faults.
async fn disturb_server(state: &SoakState, host: &SoakHost, faults: &Value, length: Duration) {
    let number = match host.add_server_faults(faults).await {
        Ok(number) => number,
        Err(error) => return state.print_event(&format!("{}: {error}", host.name)),
    };
    monoio::time::sleep(length).await;
    if let Err(error) = host.end_server_faults(number).await {
        state.print_event(&format!("{}: {error}", host.name));
    }
}

/// Spoils a share of the responses of some backend servers, or fails a share of their requests.
fn garble(state: &Rc<SoakState>, plan: &FaultPlan) {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let garbles = [
        json!([
            "twice",
            "late",
            "unframed",
            "half-head",
            "half-body",
            "shed-late",
            "stray",
            "partial"
        ]),
        json!(["lost", "half-body"]),
        json!(["failed", "unread", "shed", "lost"]),
        json!(["late", "shed-late", "shed"]),
    ];
    let rates = [0.03, 0.05, 0.4];
    let faults = json!({
        "garble_rate": rates.choose(&mut rng),
        "garbles": garbles.choose(&mut rng),
    });
    for host_index in &plan.hosts {
        let host = state.fleet.hosts[*host_index].clone();
        let (state, faults, length) = (state.clone(), faults.clone(), plan.length);
        monoio::spawn(async move { disturb_server(&state, &host, &faults, length).await });
    }
}

/// Resets a share of the connections of some hosts: those to their servers, from their peers and to
/// the store.
fn reset_connections(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin_fault(&state.all_hosts(), false);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    for host_index in &plan.hosts {
        let host = &state.fleet.hosts[*host_index];
        for proxy in [&host.server_proxy, &host.peer_proxy, &host.store_proxy] {
            proxy.reset(|| rng.random_bool(RESET_SHARE));
        }
    }
    state.end_fault(&handle);
}

/// Makes all backend servers slow while more callers than slots send requests.
async fn overload(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin_fault(&state.all_hosts(), false);
    let slow_factor = if state.has_mix() { MIX_OVERLOAD_FACTOR } else { OVERLOAD_FACTOR };
    let faults = json!({"slow_rate": 1.0, "slow_factor": slow_factor});
    state.crowd.raise();
    let hosts = state.fleet.hosts.iter();
    let slowing = hosts.map(|host| disturb_server(state, host, &faults, plan.length));
    future::join_all(slowing).await;
    state.crowd.lower();
    state.end_fault(&handle);
}

async fn restart_daemons(state: &Rc<SoakState>, plan: &FaultPlan) {
    let handle = state.begin_fault(&plan.hosts, false);
    for host_index in &plan.hosts {
        let host = &state.fleet.hosts[*host_index];
        // An overlapping fault may already be restarting the same daemon.
        if !state.claim_restart(*host_index) {
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
        replace_daemon(state, *host_index, plan.length.min(Duration::from_secs(2))).await;
    }
    state.end_fault(&handle);
}

/// Kills the daemon of a host whose restart is claimed, and restarts it after a pause.
async fn replace_daemon(state: &SoakState, host_index: usize, pause: Duration) {
    let host = &state.fleet.hosts[host_index];
    state.fleet.kill_daemon(host);
    monoio::time::sleep(pause).await;
    if let Err(error) = state.fleet.restart_daemon(host).await {
        state.add_finding(format!("{} did not restart: {error}", host.name));
    }
    state.release_restart(host_index);
}

/// Kills the daemon of a host at once, and restarts it after a pause, unless another fault is
/// restarting it.
pub async fn kill_daemon(state: Rc<SoakState>, host_index: usize, pause: Duration) {
    if !state.claim_restart(host_index) {
        return;
    }
    let handle = state.begin_fault(&[host_index], false);
    replace_daemon(&state, host_index, pause).await;
    state.end_fault(&handle);
}

async fn disturb_store(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin_fault(&[], true);
    state.apply_store_faults(&plan.store_faults).await;
    monoio::time::sleep(plan.length).await;
    state.apply_store_faults(&json!({})).await;
    state.end_fault(&handle);
}

async fn forget_history(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin_fault(&[], true);
    state.apply_store_faults(&plan.store_faults).await;
    state.end_fault(&handle);
}

/// Occupies the processor with spinning threads for the length of the fault.
async fn starve_processes(state: &SoakState, plan: &FaultPlan) {
    let handle = state.begin_fault(&state.all_hosts(), false);
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
    state.end_fault(&handle);
}
