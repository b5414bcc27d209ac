// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Troubles from outside, drawn from a seed: in series, and overlapping.

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

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TroubleKind {
    /// Connections of some hosts to the store fall silent for good.
    SilentStore,
    /// Half of all connections, to the store and between daemons, fall silent for good.
    SilentHalf,
    /// All of them do.
    SilentAll,
    /// A host's path to the store is held, in one direction or both.
    HeldStore,
    /// The paths to a host's daemon are held, in one direction or both.
    HeldPeers,
    /// A daemon stands still.
    Paused,
    /// A daemon is killed and started again.
    Killed,
    /// A daemon is asked to stop and started again.
    Stopped,
    /// The store refuses or drops calls.
    StoreOut,
    /// The store takes long to answer.
    StoreSlow,
    /// The store forgets its history.
    Forgotten,
    /// Other work takes the processor.
    Starved,
}

/// Every kind, with its name on the command line.
pub const KINDS: [(TroubleKind, &str); 12] = [
    (TroubleKind::SilentStore, "silent-store"),
    (TroubleKind::SilentHalf, "silent-half"),
    (TroubleKind::SilentAll, "silent-all"),
    (TroubleKind::HeldStore, "held-store"),
    (TroubleKind::HeldPeers, "held-peers"),
    (TroubleKind::Paused, "paused"),
    (TroubleKind::Killed, "killed"),
    (TroubleKind::Stopped, "stopped"),
    (TroubleKind::StoreOut, "store-out"),
    (TroubleKind::StoreSlow, "store-slow"),
    (TroubleKind::Forgotten, "forgotten"),
    (TroubleKind::Starved, "starved"),
];

/// Shortest and longest pause between the beginnings of two troubles, in milliseconds. Troubles that overlap
/// come from those that last longer than the pause.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 500..=7000;
/// How long a trouble lasts, in milliseconds.
const LENGTH_MS: std::ops::RangeInclusive<u64> = 300..=6000;
/// Threads that take the processor.
const BUSY_THREADS: usize = 4;

/// Returns the kind of this name.
pub fn kind_of(name: &str) -> Option<TroubleKind> {
    KINDS.iter().find(|(_, known)| *known == name).map(|(kind, _)| *kind)
}

/// `TroublePlan` is one trouble as drawn.
#[derive(Debug, Clone)]
struct TroublePlan {
    kind: TroubleKind,
    hosts: Vec<usize>,
    hold: ProxyHold,
    length: Duration,
    /// Faults of the store.
    store: Value,
    seed: u64,
}

/// Troubles the fleet for ever.
pub async fn run(state: Rc<SoakState>, kinds: Vec<TroubleKind>, mut rng: ChaCha8Rng) {
    loop {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        monoio::time::sleep(pause).await;
        let Some(kind) = kinds.choose(&mut rng) else { return };
        let plan = draw(*kind, state.fleet.hosts.len(), &mut rng);
        let state = state.clone();
        monoio::spawn(async move { apply(&state, &plan).await });
    }
}

fn draw(kind: TroubleKind, hosts: usize, rng: &mut ChaCha8Rng) -> TroublePlan {
    let count = match kind {
        TroubleKind::SilentHalf | TroubleKind::SilentAll => hosts,
        TroubleKind::SilentStore => (hosts / 3).max(1),
        TroubleKind::HeldStore | TroubleKind::HeldPeers => (hosts / 6).max(1),
        TroubleKind::Paused | TroubleKind::Killed | TroubleKind::Stopped => (hosts / 12).max(1),
        _ => 0,
    };
    let holds = [(true, true), (true, false), (false, true)];
    let (forward, back) = *holds.choose(rng).unwrap_or(&(true, true));
    let store = match kind {
        TroubleKind::StoreOut => {
            let outages = [json!({"busy": true}), json!({"down": true}), json!({"many": true})];
            outages.choose(rng).cloned().unwrap_or_default()
        }
        TroubleKind::StoreSlow => json!({"delay_ms": rng.random_range(50..400)}),
        TroubleKind::Forgotten => json!({"forget_history": true}),
        _ => Value::Null,
    };
    TroublePlan {
        kind,
        hosts: (0..hosts).sample(rng, count),
        hold: ProxyHold { forward, back },
        length: Duration::from_millis(rng.random_range(LENGTH_MS)),
        store,
        seed: rng.random(),
    }
}

async fn apply(state: &Rc<SoakState>, plan: &TroublePlan) {
    state.tell(&format!("trouble {:?} hosts {:?} for {:?}", plan.kind, plan.hosts, plan.length));
    match plan.kind {
        TroubleKind::SilentStore => silence(state, plan, 1.0, false),
        TroubleKind::SilentHalf => silence(state, plan, 0.5, true),
        TroubleKind::SilentAll => silence(state, plan, 1.0, true),
        TroubleKind::HeldStore | TroubleKind::HeldPeers => hold(state, plan).await,
        TroubleKind::Paused => pause(state, plan).await,
        TroubleKind::Killed | TroubleKind::Stopped => restart(state, plan).await,
        TroubleKind::StoreOut | TroubleKind::StoreSlow => trouble_store(state, plan).await,
        TroubleKind::Forgotten => forget_history(state, plan).await,
        TroubleKind::Starved => starve(state, plan).await,
    }
}

/// Silences open connections. It counts as a break of the connections of every host, also of those at the
/// other ends.
fn silence(state: &SoakState, plan: &TroublePlan, share: f64, peers: bool) {
    let mark = state.begin(&state.all_hosts(), false);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    for number in &plan.hosts {
        let host = &state.fleet.hosts[*number];
        host.store.silence(|| rng.random_bool(share));
        if peers {
            host.peers.silence(|| rng.random_bool(share));
        }
    }
    state.end(&mark);
}

async fn hold(state: &SoakState, plan: &TroublePlan) {
    let is_store = plan.kind == TroubleKind::HeldStore;
    // A link that is held troubles whoever is at its other end.
    let troubled = if is_store { plan.hosts.clone() } else { state.all_hosts() };
    let mark = state.begin(&troubled, false);
    let set = |hold| {
        for number in &plan.hosts {
            let host = &state.fleet.hosts[*number];
            let proxy = if is_store { &host.store } else { &host.peers };
            proxy.hold(hold);
        }
    };
    set(plan.hold);
    monoio::time::sleep(plan.length).await;
    set(ProxyHold::default());
    state.end(&mark);
}

async fn pause(state: &SoakState, plan: &TroublePlan) {
    let mark = state.begin(&plan.hosts, false);
    let signal = |signal| {
        let hosts = plan.hosts.iter().map(|number| &state.fleet.hosts[*number]);
        hosts.for_each(|host| host.with_daemon(|daemon| daemon.signal(signal)));
    };
    signal(Signal::SIGSTOP);
    monoio::time::sleep(plan.length).await;
    signal(Signal::SIGCONT);
    state.end(&mark);
}

async fn restart(state: &SoakState, plan: &TroublePlan) {
    let mark = state.begin(&plan.hosts, false);
    for number in &plan.hosts {
        let host = &state.fleet.hosts[*number];
        // Two troubles may ask for the same daemon's restart.
        if !state.take_restart(*number) {
            continue;
        }
        if plan.kind == TroubleKind::Stopped {
            host.with_daemon(|daemon| daemon.signal(Signal::SIGTERM));
            let left = async || {
                while host.with_daemon(|daemon| daemon.is_running()) {
                    monoio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            let _ = monoio::time::timeout(Duration::from_secs(10), left()).await;
        }
        state.fleet.kill(host);
        monoio::time::sleep(plan.length.min(Duration::from_secs(2))).await;
        if let Err(error) = state.fleet.restart(host).await {
            state.find(format!("{} does not start again: {error}", host.name));
        }
        state.free_restart(*number);
    }
    state.end(&mark);
}

async fn trouble_store(state: &SoakState, plan: &TroublePlan) {
    let mark = state.begin(&[], true);
    state.set_store(&plan.store).await;
    monoio::time::sleep(plan.length).await;
    state.set_store(&json!({})).await;
    state.end(&mark);
}

async fn forget_history(state: &SoakState, plan: &TroublePlan) {
    let mark = state.begin(&[], true);
    state.set_store(&plan.store).await;
    state.end(&mark);
}

/// Takes the processor with threads of the soak, for a bounded time.
async fn starve(state: &SoakState, plan: &TroublePlan) {
    let mark = state.begin(&state.all_hosts(), false);
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
    state.end(&mark);
}
