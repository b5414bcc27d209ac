// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The fleet of the crash bench in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::mem;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::fingerprint::{RequestFingerprint, FINGERPRINT_BYTES};
use basaltarch_decide::suspects::{CopyVerdict, CrashTally, SuspectNotice, SuspectTable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::crashes::{CrashPlan, CrashResult};

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(40);
/// Copies of each bad request a second: callers that repeat at once, as seen in the incident.
const BAD_A_SECOND: f64 = 2.0;
/// Popular requests a second for each daemon.
const POPULAR_A_SECOND: f64 = 8.0;
/// Requests that come once, a second for each daemon.
const LONE_A_SECOND: f64 = 4.0;
/// Crashes for other reasons a second in the whole fleet.
const OTHER_A_SECOND: f64 = 0.5;
/// When a rack loses power: a tenth of the servers end at the same moment.
const RACK_AT: Duration = Duration::from_secs(20);
/// Time that a good request runs.
const GOOD_RUN: Duration = Duration::from_millis(200);
/// Time that a bad request runs before its server crashes.
const BAD_RUN: Duration = Duration::from_millis(60);
/// Time until a server that crashed is back.
const DOWN: Duration = Duration::from_secs(3);
/// Time of a word on its way between two busy daemons with a tenth of a core, in milliseconds.
const WORD_MS: [f64; 2] = [2.0, 40.0];
/// Share of words that are lost, as links break.
const LOST: f64 = 0.02;
/// Time between heartbeats of a daemon, and the daemons that each goes to.
const HEARTBEAT: Duration = Duration::from_secs(4);
const NEIGHBOURS: usize = 4;
/// Dispatches of one request at the most.
const DISPATCHES_MAX: u32 = 3;

/// `RequestKind` is what a request does to the server that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKind {
    Bad(usize),
    Popular,
    /// Comes once, under a number of its own.
    Lone(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentRequest {
    kind: RequestKind,
    ingress: usize,
    dispatches: u32,
}

/// `ServerRun` is a run of a request at a server.
#[derive(Debug, Clone)]
struct ServerRun {
    number: u64,
    request: SentRequest,
    tally: CrashTally,
}

#[derive(Debug, Default)]
struct CrashServer {
    runs: Vec<ServerRun>,
    up_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrival(RequestKind),
    OtherCrash,
    RackCrash,
    Heartbeat(usize),
    Word { from: usize, to: usize, word: usize },
    RunEnd { server: usize, number: u64 },
}

#[derive(Debug, Clone, Copy, Default)]
struct RefusedTimes {
    first: Option<Duration>,
    last: Option<Duration>,
}

/// `CrashWorld` is the fleet.
pub struct CrashWorld {
    plan: CrashPlan,
    rng: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, WorldEvent)>>,
    numbers: u64,
    daemons: Vec<SuspectTable>,
    servers: Vec<CrashServer>,
    /// Words on their way.
    notices: Vec<SuspectNotice>,
    /// Crashes by bad request.
    crashed: u64,
    crashes: u64,
    /// When each bad request was refused first, and when the last daemon knew.
    refused: Vec<RefusedTimes>,
    result: CrashResult,
}

fn fingerprint(kind: RequestKind) -> RequestFingerprint {
    let number = match kind {
        RequestKind::Popular => 1,
        RequestKind::Bad(number) => 2 + number as u64,
        RequestKind::Lone(number) => 1000 + number,
    };
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestFingerprint::from_bytes(&bytes).unwrap_or_else(|| unreachable!("of the right length"))
}

impl CrashWorld {
    /// Builds a fleet in which nothing has happened.
    pub fn new(plan: CrashPlan) -> Self {
        let mut world = Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            numbers: 0,
            daemons: vec![SuspectTable::default(); plan.daemons],
            servers: (0..plan.daemons).map(|_| CrashServer::default()).collect(),
            notices: Vec::new(),
            crashed: 0,
            crashes: 0,
            refused: vec![RefusedTimes::default(); plan.bad],
            result: CrashResult::default(),
        };
        (0..plan.bad).for_each(|number| world.next_arrival(RequestKind::Bad(number)));
        world.next_arrival(RequestKind::Popular);
        world.next_arrival(RequestKind::Lone(0));
        world.push(Duration::ZERO, WorldEvent::OtherCrash);
        world.push(RACK_AT, WorldEvent::RackCrash);
        (0..plan.daemons).for_each(|daemon| {
            let first = HEARTBEAT.mul_f64(world.rng.random());
            world.push(first, WorldEvent::Heartbeat(daemon));
        });
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> CrashResult {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > LENGTH {
                break;
            }
            self.now = at;
            self.take(event);
        }
        let times = self.refused.iter().filter(|_| self.plan.shared);
        let known = times.filter_map(|times| {
            let last = times.last.unwrap_or(LENGTH);
            Some(last.saturating_sub(times.first?))
        });
        self.result.known_after = known.max().unwrap_or_default();
        self.result.crashed_each = self.crashed as f64 / self.plan.bad as f64;
        self.result.words_each = self.notices.len() as f64 / self.crashes.max(1) as f64;
        self.result
    }

    fn push(&mut self, after: Duration, event: WorldEvent) {
        self.numbers += 1;
        self.events.push(Reverse((self.now + after, self.numbers, event)));
    }

    fn after(&mut self, a_second: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / a_second)
    }

    fn next_arrival(&mut self, kind: RequestKind) {
        let daemons = self.plan.daemons as f64;
        let after = match kind {
            RequestKind::Bad(_) => self.after(BAD_A_SECOND),
            RequestKind::Popular => self.after(POPULAR_A_SECOND * daemons),
            RequestKind::Lone(_) => self.after(LONE_A_SECOND * daemons),
        };
        self.push(after, WorldEvent::Arrival(kind));
    }

    fn take(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrival(kind) => {
                let ingress = self.rng.random_range(0..self.plan.daemons);
                self.count(kind);
                self.dispatch(SentRequest { kind, ingress, dispatches: 0 });
                match kind {
                    RequestKind::Lone(number) => self.next_arrival(RequestKind::Lone(number + 1)),
                    other => self.next_arrival(other),
                }
            }
            WorldEvent::OtherCrash => {
                let server = self.rng.random_range(0..self.plan.daemons);
                self.crash(server);
                let after = self.after(OTHER_A_SECOND);
                self.push(after, WorldEvent::OtherCrash);
            }
            WorldEvent::RackCrash => (0..self.plan.daemons / 10).for_each(|each| self.crash(each)),
            WorldEvent::Heartbeat(daemon) => self.beat(daemon),
            WorldEvent::Word { from, to, word } => self.hear(from, to, word),
            WorldEvent::RunEnd { server, number } => self.end_run(server, number),
        }
    }

    fn count(&mut self, kind: RequestKind) {
        match kind {
            RequestKind::Bad(_) => {}
            RequestKind::Popular => self.result.popular += 1,
            RequestKind::Lone(_) => self.result.lone += 1,
        }
    }

    /// Lets the ingress judge a request and send it to a server that is up.
    fn dispatch(&mut self, request: SentRequest) {
        let fingerprint = fingerprint(request.kind);
        let table = &mut self.daemons[request.ingress];
        if self.plan.shared {
            let verdict = table.judge(&fingerprint, || false, self.now);
            if verdict != CopyVerdict::Serve {
                return self.refuse(request.kind);
            }
        }
        let told = table.tally(&fingerprint);
        let up = (0..self.plan.daemons).filter(|each| self.servers[*each].up_at <= self.now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        let known = self.daemons[server].tally(&fingerprint);
        if self.plan.shared && known.is_refused() && known > told {
            return self.refuse(request.kind);
        }
        let dispatches = request.dispatches + 1;
        let number = self.numbers;
        let run = ServerRun {
            number,
            request: SentRequest { dispatches, ..request },
            tally: known.max(told),
        };
        self.servers[server].runs.push(run);
        let took = if matches!(request.kind, RequestKind::Bad(_)) { BAD_RUN } else { GOOD_RUN };
        let took = took.mul_f64(self.rng.random_range(0.5..1.5));
        self.push(took, WorldEvent::RunEnd { server, number });
    }

    fn refuse(&mut self, kind: RequestKind) {
        match kind {
            RequestKind::Bad(_) => {}
            RequestKind::Popular => self.result.popular_refused += 1,
            RequestKind::Lone(_) => self.result.lone_refused += 1,
        }
    }

    fn end_run(&mut self, server: usize, number: u64) {
        let runs = &mut self.servers[server].runs;
        let index = match runs.iter().position(|run| run.number == number) {
            Some(index) => index,
            None => return,
        };
        if let RequestKind::Bad(_) = runs[index].request.kind {
            self.crashed += 1;
            return self.crash(server);
        }
        let run = runs.remove(index);
        let fingerprint = fingerprint(run.request.kind);
        let before = self.daemons[server].tally(&fingerprint);
        if let Some(tally) = self.daemons[server].note_success(&fingerprint, self.now) {
            let upstream = Rc::from("");
            let word = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
            self.tell(server, &word, word.notify_count(before));
        }
    }

    /// Ends a server with all that runs there; what may be repeated is.
    fn crash(&mut self, server: usize) {
        if self.servers[server].up_at > self.now {
            return;
        }
        self.crashes += 1;
        self.servers[server].up_at = self.now + DOWN;
        let runs = mem::take(&mut self.servers[server].runs);
        for run in &runs {
            self.note_crash(server, run);
        }
        for ServerRun { request, .. } in runs {
            let tally = self.daemons[request.ingress].tally(&fingerprint(request.kind));
            if request.dispatches < DISPATCHES_MAX && tally.allows_retry() {
                self.dispatch(request);
            }
        }
    }

    fn note_crash(&mut self, server: usize, run: &ServerRun) {
        let fingerprint = fingerprint(run.request.kind);
        let risen = self.daemons[server].note_crash(fingerprint, run.tally, "server", self.now);
        let tally = match risen {
            Some(tally) => tally,
            None => return,
        };
        if let (RequestKind::Bad(number), true) = (run.request.kind, tally.is_refused()) {
            self.refused[number].first.get_or_insert(self.now);
        }
        let upstream = Rc::from("server");
        let word = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
        self.tell(server, &word, word.notify_count(run.tally));
        if self.plan.shared {
            // The ingress hears of it before the end of its attempt.
            self.apply_notice(run.request.ingress, &word);
        }
    }

    fn send(&mut self, from: usize, to: usize, word: &SuspectNotice) {
        if !self.plan.shared || self.rng.random_bool(LOST) {
            return;
        }
        let after = self.rng.random_range(WORD_MS[0]..WORD_MS[1]);
        self.notices.push(word.clone());
        let event = WorldEvent::Word { from, to, word: self.notices.len() - 1 };
        self.push(Duration::from_secs_f64(after / 1000.0), event);
    }

    fn hear(&mut self, from: usize, daemon: usize, word: usize) {
        let word = self.notices[word].clone();
        if let Some(answer) = self.daemons[daemon].answer(&word, self.now) {
            self.send(daemon, from, &answer);
        }
        if !self.apply_notice(daemon, &word) {
            return;
        }
        self.tell(daemon, &word, word.forward_count());
    }

    fn tell(&mut self, from: usize, word: &SuspectNotice, most: usize) {
        if most >= self.plan.daemons {
            (0..self.plan.daemons)
                .filter(|to| *to != from)
                .for_each(|to| self.send(from, to, word));
            return;
        }
        for _ in 0..most {
            let to = self.rng.random_range(0..self.plan.daemons);
            self.send(from, to, word);
        }
    }

    /// Takes a word in, and notes when the last daemon knows that a bad request is refused.
    fn apply_notice(&mut self, daemon: usize, word: &SuspectNotice) -> bool {
        let is_new = self.daemons[daemon].apply_notice(word, self.now);
        let bad = (0..self.plan.bad)
            .find(|number| fingerprint(RequestKind::Bad(*number)) == word.fingerprint);
        if let Some(number) = bad.filter(|_| is_new && word.tally.is_refused()) {
            let mut tallies = self.daemons.iter().map(|table| table.tally(&word.fingerprint));
            if tallies.all(CrashTally::is_refused) {
                self.refused[number].last.get_or_insert(self.now);
            }
        }
        is_new
    }

    fn beat(&mut self, daemon: usize) {
        for _ in 0..NEIGHBOURS {
            let to = self.rng.random_range(0..self.plan.daemons);
            if self.daemons[to].digest(self.now) != self.daemons[daemon].digest(self.now) {
                let (one, other) =
                    (self.daemons[daemon].notices(self.now), self.daemons[to].notices(self.now));
                one.iter().for_each(|word| self.send(daemon, to, word));
                other.iter().for_each(|word| self.send(to, daemon, word));
            }
        }
        self.push(HEARTBEAT, WorldEvent::Heartbeat(daemon));
    }
}
