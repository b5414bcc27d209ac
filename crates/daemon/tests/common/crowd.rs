// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Crowds of clients that don't behave, ordinary callers beside them, and a watch over the memory of
//! the daemons.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use basaltarch_platform::headers;

use super::client;
use super::eventually;
use super::registered::HOST;

/// Time between two rounds in which each client of a crowd sends what it may.
const ROUND: Duration = Duration::from_millis(10);
/// Bytes that a client sends in one round at the most, so that no client starves the others.
const ROUND_BYTES: usize = 256 * 1024;
/// Time between two looks at the memory of a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for which an ordinary caller waits for the connection and for the answer.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of an ordinary request in milliseconds.
const ORDINARY_DEADLINE_MS: &str = "3000";
/// Time between two requests of one ordinary caller.
const ORDINARY_PACE: Duration = Duration::from_millis(60);

/// What each client of a crowd does on its connection.
#[derive(Debug, Clone, Default)]
pub struct CrowdScript {
    /// Bytes that a client sends first, as fast as they are taken.
    pub opening: Vec<u8>,
    /// Bytes that a client sends next, again and again.
    pub repeated: Vec<u8>,
    /// How often `repeated` is sent at the most.
    pub repeats: usize,
    /// Time between two sends of `repeated`; zero: as fast as they are taken.
    pub pace: Duration,
    /// How often a client connects again after its connection was closed.
    pub reopens: usize,
    /// Bytes of answers that a client reads in each round at the most.
    pub read_bytes: usize,
}

/// One client of a crowd.
struct CrowdClient {
    stream: Option<TcpStream>,
    sent_bytes: usize,
    opened: Instant,
    reopens_left: usize,
}

/// How far a crowd has got.
#[derive(Debug, Default)]
struct CrowdProgress {
    rounds: AtomicUsize,
    closed: AtomicUsize,
    received: Mutex<Vec<u8>>,
}

/// A crowd that plays in a thread until it is stopped.
pub struct Crowd {
    player: JoinHandle<()>,
    is_over: Arc<AtomicBool>,
    progress: Arc<CrowdProgress>,
}

impl Crowd {
    /// Starts `clients` clients that follow `script` at an address.
    pub fn start(address: SocketAddr, clients: usize, script: CrowdScript) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let progress = Arc::new(CrowdProgress::default());
        let (ending, noted) = (is_over.clone(), progress.clone());
        let player = thread::spawn(move || {
            let new_client = |_| CrowdClient::open(address, script.reopens);
            let mut crowd: Vec<CrowdClient> = (0..clients).map(new_client).collect();
            while !ending.load(Ordering::SeqCst) {
                for client in &mut crowd {
                    client.play_round(address, &script, &noted);
                }
                noted.rounds.fetch_add(1, Ordering::SeqCst);
                thread::sleep(ROUND);
            }
        });
        Self { player, is_over, progress }
    }

    /// Waits until each client has connected and had some turns to send.
    pub fn wait_playing(&self) {
        eventually("the crowd plays", || self.progress.rounds.load(Ordering::SeqCst) > 20);
    }

    /// Returns how many connections of the crowd were closed so far.
    pub fn closed_count(&self) -> usize {
        self.progress.closed.load(Ordering::SeqCst)
    }

    /// Ends the crowd: all its connections are closed.
    pub fn stop(self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.player.join().expect("the crowd");
    }
}

impl CrowdClient {
    fn open(address: SocketAddr, reopens_left: usize) -> Self {
        let stream = TcpStream::connect(address).ok();
        if let Some(stream) = &stream {
            stream.set_nonblocking(true).expect("nonblocking");
        }
        Self { stream, sent_bytes: 0, opened: Instant::now(), reopens_left }
    }

    fn play_round(&mut self, address: SocketAddr, script: &CrowdScript, noted: &CrowdProgress) {
        if self.stream.is_some() && !self.send_due(script) {
            self.stream = None;
            noted.closed.fetch_add(1, Ordering::SeqCst);
        }
        if self.stream.is_none() && self.reopens_left > 0 {
            *self = Self::open(address, self.reopens_left - 1);
        }
    }

    /// Sends what is due; returns false once the connection is closed.
    fn send_due(&mut self, script: &CrowdScript) -> bool {
        let due_bytes = script.due_bytes(self.opened.elapsed());
        let round_end = due_bytes.min(self.sent_bytes + ROUND_BYTES);
        let stream = self.stream.as_mut().expect("an open connection");
        while self.sent_bytes < round_end {
            let piece = script.piece_at(self.sent_bytes, round_end);
            match stream.write(piece) {
                Ok(count) if count > 0 => self.sent_bytes += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        if script.read_bytes > 0 {
            let _ = stream.read(&mut vec![0; script.read_bytes]);
        }
        match stream.peek(&mut [0]) {
            Ok(count) => count > 0,
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }
}

impl CrowdScript {
    /// Returns how many bytes a client may have sent after this time.
    fn due_bytes(&self, elapsed: Duration) -> usize {
        let repeats = match self.pace.as_nanos() {
            0 => self.repeats,
            pace => self.repeats.min((elapsed.as_nanos() / pace) as usize),
        };
        self.opening.len() + self.repeated.len() * repeats
    }

    /// Returns the bytes from `position` to the end of their part, or to `end`.
    fn piece_at(&self, position: usize, end: usize) -> &[u8] {
        let length = end - position;
        let part = match position.checked_sub(self.opening.len()) {
            None => &self.opening[position..],
            Some(position) => &self.repeated[position % self.repeated.len()..],
        };
        &part[..part.len().min(length)]
    }
}

/// How ordinary requests fared at one daemon.
#[derive(Debug, Clone, Default)]
pub struct OrdinaryFare {
    pub sent: usize,
    pub served: usize,
    /// Times of the served requests, in the order of their length.
    pub times: Vec<Duration>,
    /// Status, or 0 for none, and reason of each request that was not served.
    pub unserved: Vec<(u16, String)>,
}

impl OrdinaryFare {
    /// Returns the share of requests that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    /// Returns the time within which a share of the served requests was answered.
    pub fn time_of(&self, share: f64) -> Duration {
        let index = (self.times.len() as f64 * share) as usize;
        self.times.get(index.min(self.times.len().saturating_sub(1))).copied().unwrap_or_default()
    }
}

/// Plays ordinary callers at each of the daemons, `requests` each, and returns how they fared. Half
/// of the callers keep their connections.
pub fn play_ordinary(daemons: &[SocketAddr], callers: usize, requests: usize) -> Vec<OrdinaryFare> {
    let players: Vec<Vec<JoinHandle<OrdinaryFare>>> = daemons
        .iter()
        .map(|daemon| {
            let daemon = *daemon;
            let play = |number| thread::spawn(move || play_caller(daemon, number, requests));
            (0..callers).map(play).collect()
        })
        .collect();
    players.into_iter().map(join_fares).collect()
}

fn join_fares(callers: Vec<JoinHandle<OrdinaryFare>>) -> OrdinaryFare {
    let mut sum = OrdinaryFare::default();
    for caller in callers {
        let fare = caller.join().expect("an ordinary caller");
        sum.sent += fare.sent;
        sum.served += fare.served;
        sum.times.extend(fare.times);
        sum.unserved.extend(fare.unserved);
    }
    sum.times.sort_unstable();
    sum
}

fn play_caller(daemon: SocketAddr, number: usize, requests: usize) -> OrdinaryFare {
    let keeps_connection = number.is_multiple_of(2);
    let mut fare = OrdinaryFare::default();
    let mut kept: Option<TcpStream> = None;
    for request in 0..requests {
        let began = Instant::now();
        let stream = kept.take().or_else(|| connect(daemon));
        let reply = stream.and_then(|mut stream| {
            let reply = send_ordinary(&mut stream, number, request)?;
            let closes = reply.header("connection").is_some_and(|value| value == "close");
            kept = (keeps_connection && reply.complete && !closes).then_some(stream);
            Some(reply)
        });
        fare.sent += 1;
        match reply {
            Some(reply) if reply.status == 200 && reply.complete => {
                fare.served += 1;
                fare.times.push(began.elapsed());
            }
            Some(reply) => {
                fare.unserved.push((reply.status, reply.reason().unwrap_or_default()));
            }
            None => fare.unserved.push((0, String::new())),
        }
        thread::sleep(ORDINARY_PACE.saturating_sub(began.elapsed()));
    }
    fare
}

fn connect(daemon: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&daemon, ORDINARY_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(ORDINARY_TIMEOUT)).ok()?;
    Some(stream)
}

fn send_ordinary(stream: &mut TcpStream, caller: usize, request: usize) -> Option<client::Reply> {
    let port = stream.local_addr().ok()?.port();
    let id = format!("ordinary-{port}-{caller}-{request}");
    let fields = [
        ("Host", HOST),
        (headers::names::REQUEST_ID, id.as_str()),
        (headers::names::DEADLINE, ORDINARY_DEADLINE_MS),
    ];
    let (method, path) =
        if request.is_multiple_of(2) { ("GET", "/safe/x") } else { ("POST", "/unsafe/x") };
    let body = if method == "POST" { "an ordinary body" } else { "" };
    stream.write_all(client::request_text(method, path, &fields, body).as_bytes()).ok()?;
    client::read_reply(stream, method)
}

/// The largest memory of a process, and whether the process was ended for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchedMemory {
    pub peak_kib: u64,
    pub was_ended: bool,
}

/// Watches the memory of processes, and ends a process that passes its limit.
pub struct MemoryWatch {
    watcher: JoinHandle<Vec<WatchedMemory>>,
    is_over: Arc<AtomicBool>,
}

impl MemoryWatch {
    /// Starts to watch these child processes of the test.
    pub fn start(processes: Vec<u32>, limit_mb: u64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let ending = is_over.clone();
        let watcher = thread::spawn(move || {
            let mut seen = vec![WatchedMemory::default(); processes.len()];
            while !ending.load(Ordering::SeqCst) {
                for (process, memory) in processes.iter().zip(&mut seen) {
                    look(*process, limit_mb * 1024, memory);
                }
                thread::sleep(LOOK_INTERVAL);
            }
            seen
        });
        Self { watcher, is_over }
    }

    /// Ends the watch and returns what it saw of each process.
    pub fn stop(self) -> Vec<WatchedMemory> {
        self.is_over.store(true, Ordering::SeqCst);
        self.watcher.join().expect("the watch")
    }
}

fn look(process: u32, limit_kib: u64, memory: &mut WatchedMemory) {
    memory.peak_kib = memory.peak_kib.max(read_resident_kib(process).unwrap_or(0));
    if memory.peak_kib > limit_kib && !memory.was_ended {
        memory.was_ended = true;
        let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
    }
}

/// Returns the resident memory of a process; `None` once the process has ended.
pub fn read_resident_kib(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
