// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients that don't behave, at each address of a daemon, beside ordinary callers: no
//! daemon ends, each stays within its memory, and ordinary callers are served.
//!
//! `BASALTARCH_CROWD=large` plays crowds of up to 4,000 clients against daemons with 160 MB.

mod common;

use std::env;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use basaltarch_core::resources::WorkMode;
use basaltarch_platform::registration;
use common::client;
use common::crowd::{self, Crowd, CrowdScript, MemoryWatch, OrdinaryFare};
use common::eventually;
use common::registered::{self, RegisteredFleet, HOST};
use test_case::test_case;

/// Number of daemons; the crowd attacks the first.
const DAEMONS: usize = 3;
/// Time of a run at a server in milliseconds.
const SERVICE_MS: u64 = 10;
/// Largest body that the document allows, in bytes.
const BODY_BYTES_MAX: u64 = 64 << 20;
/// Ordinary callers at the attacked daemon, and as many at a neighbour.
const ORDINARY_CALLERS: usize = 4;
/// Requests of each ordinary caller.
const ORDINARY_REQUESTS: usize = 35;
/// Share of ordinary requests that is served at the attacked daemon at least.
const SERVED_AT_ATTACKED_MIN: f64 = 0.95;
/// Share of ordinary requests that is served at a neighbour at least.
const SERVED_AT_NEIGHBOUR_MIN: f64 = 0.99;
/// Readiness checks during a play, and the time between two.
const READY_CHECKS: usize = 14;
const READY_PACE: Duration = Duration::from_millis(150);

/// One play at a time: each may use its whole memory and many connections.
static PLAYING: Mutex<()> = Mutex::new(());

/// The size of the crowds and of the daemons that they attack.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CrowdSize {
    memory_mb: u64,
    connections: usize,
    is_large: bool,
}

impl CrowdSize {
    fn chosen() -> Self {
        match env::var("BASALTARCH_CROWD").as_deref() {
            Ok("large") => Self { memory_mb: 160, connections: 4100, is_large: true },
            _ => Self { memory_mb: 64, connections: 400, is_large: false },
        }
    }

    fn clients(&self, small: usize, large: usize) -> usize {
        if self.is_large {
            large
        } else {
            small
        }
    }
}

/// Address of a daemon at which a crowd plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Door {
    Callers,
    Admin,
    Ready,
    Registration,
    Peers,
}

fn lock_play() -> MutexGuard<'static, ()> {
    PLAYING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_fleet(size: CrowdSize) -> RegisteredFleet {
    let (memory, connections) = (size.memory_mb.to_string(), size.connections.to_string());
    let flags = [
        ("memory-mb", memory.as_str()),
        ("descriptors", "4100"),
        ("connections", connections.as_str()),
        ("connections-each", "4100"),
        // As deployed: a line for each request of a crowd would be most of its cost.
        ("log-requests", "20"),
    ];
    let fleet = RegisteredFleet::start_with(DAEMONS, SERVICE_MS, &flags);
    let mut document = registered::document(2);
    document.limits.body_bytes = BODY_BYTES_MAX;
    document.routes.push(registered::route("r-bytes", "/bytes/", WorkMode::Repeatable));
    fleet.put_in_force(&document);
    for daemon in 0..DAEMONS {
        fleet.wait_served(daemon, &[0, 1, 2]);
    }
    fleet
}

fn address_of(fleet: &RegisteredFleet, door: Door) -> SocketAddr {
    let daemon = &fleet.daemons[0];
    match door {
        Door::Callers => daemon.callers,
        Door::Admin => daemon.admin,
        Door::Ready => daemon.ready.expect("ready"),
        Door::Registration => daemon.registration.expect("registration"),
        Door::Peers => daemon.peers,
    }
}

/// Asks a daemon whether it is ready, again and again; returns how often it was.
fn count_ready(address: SocketAddr) -> usize {
    let is_ready = || {
        client::try_call(address, "GET", registration::READY_PATH, &[], "")
            .is_some_and(|reply| reply.status == 200)
    };
    let checks = (0..READY_CHECKS).map(|_| {
        thread::sleep(READY_PACE);
        is_ready()
    });
    checks.filter(|ready| *ready).count()
}

/// Plays a crowd beside ordinary callers and checks what must hold.
fn play(name: &str, door: Door, clients: usize, script: CrowdScript) {
    play_all(name, vec![(door, clients, script)]);
}

/// Plays several crowds at once beside ordinary callers and checks what must hold.
fn play_all(name: &str, scripts: Vec<(Door, usize, CrowdScript)>) {
    let _playing = lock_play();
    let size = CrowdSize::chosen();
    let mut fleet = start_fleet(size);
    let processes = fleet.daemons.iter().map(|daemon| daemon.process_id()).collect();
    let watch = MemoryWatch::start(processes, size.memory_mb);
    let clients: usize = scripts.iter().map(|(_, clients, _)| clients).sum();
    let start = |(door, clients, script)| Crowd::start(address_of(&fleet, door), clients, script);
    let crowds: Vec<Crowd> = scripts.into_iter().map(start).collect();
    crowds.iter().for_each(Crowd::wait_playing);
    let ready_address = address_of(&fleet, Door::Ready);
    let asking = thread::spawn(move || count_ready(ready_address));
    let addresses = [fleet.daemons[0].callers, fleet.daemons[1].callers];
    let fares = crowd::play_ordinary(&addresses, ORDINARY_CALLERS, ORDINARY_REQUESTS);
    let ready_count = asking.join().expect("readiness checks");
    let closed: usize = crowds.iter().map(Crowd::closed_count).sum();
    crowds.into_iter().for_each(Crowd::stop);
    let memory = watch.stop();
    let peaks: Vec<u64> = memory.iter().map(|memory| memory.peak_kib / 1024).collect();
    let described: Vec<String> = fares.iter().map(describe).collect();
    let seen = format!(
        "{name}: peaks {peaks:?} of {} MB; attacked {}; neighbour {}; ready {ready_count} of \
         {READY_CHECKS}; {closed} connections closed of {clients} clients",
        size.memory_mb, described[0], described[1]
    );
    eprintln!("{seen}");
    assert!(memory.iter().all(|memory| !memory.was_ended), "{seen}");
    assert!(fleet.daemons.iter_mut().all(|daemon| daemon.is_running()), "{seen}");
    assert!(fares[0].served_share() >= SERVED_AT_ATTACKED_MIN, "{seen}");
    assert!(fares[1].served_share() >= SERVED_AT_NEIGHBOUR_MIN, "{seen}");
    assert_eq!(ready_count, READY_CHECKS, "{seen}");
    for daemon in &fleet.daemons {
        assert!(!daemon.log_text().contains("panicked"), "{seen}: panic on {}", daemon.host);
    }
    eventually("all is served once the crowd is gone", || {
        fleet.request(0, "POST", "/unsafe/x", "after").status == 200
    });
}

fn describe(fare: &OrdinaryFare) -> String {
    let mut reasons = fare.unserved.clone();
    reasons.sort();
    reasons.dedup();
    format!(
        "{} of {} served, p50 {:?}, p99 {:?}, else {reasons:?}",
        fare.served,
        fare.sent,
        fare.time_of(0.5),
        fare.time_of(0.99)
    )
}

/// Builds the head of a caller's request with more field lines.
fn head(method: &str, path: &str, lines: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{lines}\r\n").into_bytes()
}

/// Builds a head with a body of `announced` bytes, and the first `sent` bytes of that body.
fn body_start(path: &str, announced: u64, sent: usize) -> Vec<u8> {
    let mut bytes = head("POST", path, &format!("Content-Length: {announced}\r\n"));
    bytes.resize(bytes.len() + sent, b'b');
    bytes
}

/// Builds a head of almost 16,384 bytes with fields of four bytes, and more field lines.
fn many_fields(method: &str, lines: &str) -> Vec<u8> {
    head(method, "/safe/x", &format!("{}{lines}", "a:\r\n".repeat(4000)))
}

fn opening(opening: Vec<u8>) -> CrowdScript {
    CrowdScript { opening, ..CrowdScript::default() }
}

#[test_case("/unsafe/x" ; "at a route")]
#[test_case("/nowhere/x" ; "at a path without a route")]
fn verify_a_crowd_of_bodies_that_stop_half_way(path: &str) {
    let clients = CrowdSize::chosen().clients(600, 1500);
    play("half bodies", Door::Callers, clients, opening(body_start(path, 256 << 10, 128 << 10)));
}

#[test]
fn verify_a_crowd_of_whole_bodies_at_once() {
    let clients = CrowdSize::chosen().clients(300, 1500);
    let mut script = opening(body_start("/unsafe/x", 1 << 20, 1 << 20));
    script.reopens = 2;
    play("whole bodies", Door::Callers, clients, script);
}

#[test_case(Door::Callers, "/unsafe/x" ; "at a route")]
#[test_case(Door::Callers, "/nowhere/x" ; "at a path without a route")]
#[test_case(Door::Ready, "/basaltarch/ready" ; "at the readiness address")]
fn verify_a_crowd_of_chunks_of_one_byte(door: Door, path: &str) {
    let clients = CrowdSize::chosen().clients(100, 300);
    let mut script = opening(head("POST", path, "Transfer-Encoding: chunked\r\n"));
    script.repeated = b"1\r\nb\r\n".repeat(1000);
    script.repeats = 400;
    play("chunks of one byte", door, clients, script);
}

/// Builds the script of a body of lawful length that goes on at 500 bytes a second.
fn long_body() -> CrowdScript {
    CrowdScript {
        opening: body_start("/unsafe/x", 1 << 20, 70_000),
        repeated: vec![b'b'; 100],
        repeats: 1000,
        pace: Duration::from_millis(200),
        reopens: 100,
        ..CrowdScript::default()
    }
}

#[test]
fn verify_a_crowd_of_long_bodies_that_hold_slots() {
    let clients = CrowdSize::chosen().clients(24, 60);
    play("long bodies", Door::Callers, clients, long_body());
}

#[test]
fn verify_crowds_of_several_kinds_at_once() {
    let size = CrowdSize::chosen();
    let half_bodies = opening(body_start("/unsafe/x", 256 << 10, 128 << 10));
    let unread_answers = opening(head("GET", "/bytes/1000000", "").repeat(50));
    let slow_bodies = CrowdScript { pace: Duration::from_millis(100), ..long_body() };
    let silent = CrowdScript { reopens: 3, ..CrowdScript::default() };
    let scripts = vec![
        (Door::Callers, size.clients(150, 500), half_bodies),
        (Door::Callers, size.clients(30, 100), unread_answers),
        (Door::Callers, size.clients(24, 60), slow_bodies),
        (Door::Callers, size.clients(300, 1500), silent.clone()),
        (Door::Ready, size.clients(100, 200), silent),
    ];
    play_all("several kinds", scripts);
}

#[test_case(0 ; "nothing")]
#[test_case(20 ; "two thousand bytes a second")]
fn verify_a_crowd_that_reads_no_answer(read_bytes: usize) {
    let clients = CrowdSize::chosen().clients(100, 300);
    let ahead = head("GET", "/bytes/1000000", "").repeat(50);
    let script = CrowdScript { read_bytes, ..opening(ahead) };
    play("unread answers", Door::Callers, clients, script);
}

#[test_case("/safe/x", 150, 3000 ; "at a route")]
#[test_case("/nowhere/x", 500, 20_000 ; "at a path without a route")]
fn verify_a_crowd_of_requests_sent_ahead(path: &str, clients: usize, requests: usize) {
    let clients = CrowdSize::chosen().clients(clients, clients * 3);
    let mut script = opening(Vec::new());
    script.repeated = head("GET", path, "");
    script.repeats = requests;
    play("requests ahead", Door::Callers, clients, script);
}

#[test_case(Door::Ready, "/basaltarch/ready" ; "readiness")]
#[test_case(Door::Admin, "/metrics" ; "metrics")]
fn verify_a_crowd_of_requests_sent_ahead_at_another_door(door: Door, path: &str) {
    let mut script = opening(Vec::new());
    script.repeated = head("GET", path, "");
    script.repeats = 200;
    play("requests ahead at another door", door, CrowdSize::chosen().clients(50, 200), script);
}

#[test]
fn verify_a_crowd_of_silent_connections() {
    let clients = CrowdSize::chosen().clients(600, 4000);
    let script = CrowdScript { reopens: 3, ..CrowdScript::default() };
    play("silent connections", Door::Callers, clients, script);
}

#[test]
fn verify_a_crowd_of_slow_heads() {
    let clients = CrowdSize::chosen().clients(600, 4000);
    let mut script = opening(format!("GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\n").into_bytes());
    script.repeated = b"x-field: 1\r\n".to_vec();
    script.repeats = 1000;
    script.pace = Duration::from_millis(100);
    script.reopens = 3;
    play("slow heads", Door::Callers, clients, script);
}

#[test]
fn verify_a_crowd_of_slow_bodies() {
    let clients = CrowdSize::chosen().clients(600, 4000);
    let mut script = opening(body_start("/unsafe/x", 60_000, 10));
    script.repeated = vec![b'b'; 10];
    script.repeats = 1000;
    script.pace = Duration::from_millis(100);
    script.reopens = 3;
    play("slow bodies", Door::Callers, clients, script);
}

#[test]
fn verify_a_crowd_of_bodies_far_over_the_limit() {
    let mut script = opening(body_start("/unsafe/x", 1_000_000_000_000, 0));
    script.repeated = vec![b'b'; 64 << 10];
    script.repeats = 2000;
    script.reopens = 20;
    play("endless bodies", Door::Callers, 20, script);
}

#[test]
fn verify_a_crowd_of_heads_of_many_fields() {
    let clients = CrowdSize::chosen().clients(50, 400);
    let script = CrowdScript { repeated: many_fields("GET", ""), repeats: 100, ..opening(vec![]) };
    play("many fields", Door::Callers, clients, script);
}

#[test]
fn verify_a_crowd_of_heads_of_many_fields_before_slow_bodies() {
    let clients = CrowdSize::chosen().clients(300, 1500);
    let mut script = opening(many_fields("POST", "Content-Length: 60000\r\n"));
    script.repeated = vec![b'b'; 10];
    script.repeats = 1000;
    script.pace = Duration::from_millis(100);
    play("many fields and slow bodies", Door::Callers, clients, script);
}

#[test_case(Door::Ready ; "readiness")]
#[test_case(Door::Registration ; "registration")]
#[test_case(Door::Admin ; "admin")]
#[test_case(Door::Peers ; "peers")]
fn verify_a_silent_crowd_at_another_door(door: Door) {
    play("silent at another door", door, 600, CrowdScript::default());
}

#[test_case(Door::Ready ; "readiness")]
#[test_case(Door::Registration ; "registration")]
#[test_case(Door::Admin ; "admin")]
fn verify_a_crowd_of_half_bodies_at_another_door(door: Door) {
    let clients = CrowdSize::chosen().clients(30, 100);
    let mut script = opening(body_start("/v1/apply", 16 << 20, 0));
    script.repeated = vec![b'b'; 64 << 10];
    script.repeats = 15 * 16;
    play("half bodies at another door", door, clients, script);
}
