// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Discrete-event simulation of the fleet of the crash bench, in virtual time.

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

/// Length of a run in virtual time.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Number of copies of each bad request that arrive per second in the whole fleet. Callers that
/// retried at once after a crash caused this pattern in a real incident.
const BAD_REQUESTS_PER_SECOND: f64 = 2.0;
/// Popular requests per second for each daemon.
const POPULAR_REQUESTS_PER_SECOND: f64 = 8.0;
/// Lone requests per second for each daemon.
const LONE_REQUESTS_PER_SECOND: f64 = 4.0;
/// Crashes per second in the whole fleet that no request causes.
const OTHER_CRASHES_PER_SECOND: f64 = 0.5;
/// Time of the run at which a rack loses power, so that a tenth of the servers crash at once.
const RACK_CRASH_AT: Duration = Duration::from_secs(20);
/// Mean service time of a request that does not crash its server.
const GOOD_SERVICE_TIME: Duration = Duration::from_millis(200);
/// Mean time that a bad request runs before the server crashes.
const BAD_SERVICE_TIME: Duration = Duration::from_millis(60);
/// Time from the crash of a server until the server is up again.
const RESTART_TIME: Duration = Duration::from_secs(3);
/// Shortest and longest delay of a notice between two daemons, in milliseconds, when both daemons
/// are busy and have a tenth of a core each.
const NOTICE_DELAY_MS: [f64; 2] = [2.0, 40.0];
/// Share of notices that are lost because links break.
const NOTICE_LOSS_SHARE: f64 = 0.02;
/// Time between heartbeats of a daemon.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);
/// Number of daemons to which a daemon sends each heartbeat.
const HEARTBEAT_PEERS: usize = 4;
/// Maximum number of dispatches of one request.
const DISPATCHES_MAX: u32 = 3;

/// `RequestKind` is how often a request arrives and whether the request crashes the server that
/// runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RequestKind {
    /// Arrives in many copies, each of which crashes the server that runs the copy; the number
    /// identifies the bad request.
    Bad(usize),
    /// Arrives in many copies that crash no server.
    Popular,
    /// Arrives once and crashes no server; the number identifies the lone request.
    Lone(u64),
}

/// `SentRequest` is a request with the daemon at which it arrived and the number of its dispatches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentRequest {
    kind: RequestKind,
    /// Index of the daemon at which the request arrived.
    ingress: usize,
    dispatches: u32,
}

/// `ServerRun` is one execution of a request at a server.
#[derive(Debug, Clone)]
struct ServerRun {
    /// Identifies the run among all runs, for the event of its end.
    number: u64,
    request: SentRequest,
    /// Crashes of the request that were known when the run started.
    tally: CrashTally,
}

/// `CrashServer` is a server with the requests that run on the server.
#[derive(Debug, Default)]
struct CrashServer {
    runs: Vec<ServerRun>,
    /// Time of the run from which the server is up.
    up_at: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrival(RequestKind),
    OtherCrash,
    RackCrash,
    Heartbeat(usize),
    Notice { from: usize, to: usize, notice_index: usize },
    RunEnd { server: usize, number: u64 },
}

/// `RefusalTimes` holds when the daemons learned that a bad request is to be refused.
#[derive(Debug, Clone, Copy, Default)]
struct RefusalTimes {
    /// Time of the run at which the first daemon learned to refuse the request.
    first: Option<Duration>,
    /// Time of the run at which the last daemon learned to refuse the request.
    last: Option<Duration>,
}

/// `CrashWorld` is the state of the simulated fleet.
pub struct CrashWorld {
    plan: CrashPlan,
    rng: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, WorldEvent)>>,
    sequence: u64,
    daemons: Vec<SuspectTable>,
    servers: Vec<CrashServer>,
    /// All notices that were sent; [`WorldEvent::Notice`] refers to a notice by its index in the
    /// list.
    sent_notices: Vec<SuspectNotice>,
    /// Number of server crashes that bad requests caused.
    bad_crashes: u64,
    /// Number of all server crashes.
    crashes: u64,
    /// For each bad request, when the first and the last daemon learned to refuse the request.
    refusal_times: Vec<RefusalTimes>,
    result: CrashResult,
}

/// Returns a fingerprint that is the same for all copies of a request and differs between requests.
fn fingerprint(kind: RequestKind) -> RequestFingerprint {
    let number = match kind {
        RequestKind::Popular => 1,
        RequestKind::Bad(number) => 2 + number as u64,
        RequestKind::Lone(number) => 1000 + number,
    };
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestFingerprint::from_bytes(&bytes)
        .unwrap_or_else(|| unreachable!("the bytes have the length of a fingerprint"))
}

impl CrashWorld {
    /// Builds the initial state of a fleet.
    pub fn new(plan: CrashPlan) -> Self {
        let mut world = Self {
            plan,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            daemons: vec![SuspectTable::default(); plan.daemons],
            servers: (0..plan.daemons).map(|_| CrashServer::default()).collect(),
            sent_notices: Vec::new(),
            bad_crashes: 0,
            crashes: 0,
            refusal_times: vec![RefusalTimes::default(); plan.bad_requests],
            result: CrashResult::default(),
        };
        (0..plan.bad_requests).for_each(|number| world.push_arrival(RequestKind::Bad(number)));
        world.push_arrival(RequestKind::Popular);
        world.push_arrival(RequestKind::Lone(0));
        world.schedule(Duration::ZERO, WorldEvent::OtherCrash);
        world.schedule(RACK_CRASH_AT, WorldEvent::RackCrash);
        (0..plan.daemons).for_each(|daemon| {
            let first = HEARTBEAT_INTERVAL.mul_f64(world.rng.random());
            world.schedule(first, WorldEvent::Heartbeat(daemon));
        });
        world
    }

    /// Processes events in order of time until the run ends.
    pub fn run(mut self) -> CrashResult {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > RUN_TIME {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        let times = self.refusal_times.iter().filter(|_| self.plan.shares_notices);
        let refusal_delays = times.filter_map(|times| {
            let last = times.last.unwrap_or(RUN_TIME);
            Some(last.saturating_sub(times.first?))
        });
        self.result.refusal_delay = refusal_delays.max().unwrap_or_default();
        self.result.crashes_per_bad_request =
            self.bad_crashes as f64 / self.plan.bad_requests as f64;
        self.result.notices_per_crash = self.sent_notices.len() as f64 / self.crashes.max(1) as f64;
        self.result
    }

    /// Schedules an event for the time that is `after` later than the current virtual time.
    fn schedule(&mut self, after: Duration, event: WorldEvent) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    /// Samples the time between two events that occur independently at a mean rate.
    fn sample_gap(&mut self, per_second: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / per_second)
    }

    fn push_arrival(&mut self, kind: RequestKind) {
        let daemons = self.plan.daemons as f64;
        let after = match kind {
            RequestKind::Bad(_) => self.sample_gap(BAD_REQUESTS_PER_SECOND),
            RequestKind::Popular => self.sample_gap(POPULAR_REQUESTS_PER_SECOND * daemons),
            RequestKind::Lone(_) => self.sample_gap(LONE_REQUESTS_PER_SECOND * daemons),
        };
        self.schedule(after, WorldEvent::Arrival(kind));
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrival(kind) => {
                let ingress = self.rng.random_range(0..self.plan.daemons);
                self.count_arrival(kind);
                self.dispatch(SentRequest { kind, ingress, dispatches: 0 });
                match kind {
                    RequestKind::Lone(number) => self.push_arrival(RequestKind::Lone(number + 1)),
                    other => self.push_arrival(other),
                }
            }
            WorldEvent::OtherCrash => {
                let server = self.rng.random_range(0..self.plan.daemons);
                self.crash_server(server);
                let after = self.sample_gap(OTHER_CRASHES_PER_SECOND);
                self.schedule(after, WorldEvent::OtherCrash);
            }
            WorldEvent::RackCrash => {
                (0..self.plan.daemons / 10).for_each(|each| self.crash_server(each))
            }
            WorldEvent::Heartbeat(daemon) => self.send_heartbeat(daemon),
            WorldEvent::Notice { from, to, notice_index } => {
                self.receive_notice(from, to, notice_index)
            }
            WorldEvent::RunEnd { server, number } => self.end_run(server, number),
        }
    }

    fn count_arrival(&mut self, kind: RequestKind) {
        match kind {
            RequestKind::Bad(_) => {}
            RequestKind::Popular => self.result.popular += 1,
            RequestKind::Lone(_) => self.result.lone += 1,
        }
    }

    /// Lets the ingress refuse a request, or sends the request to a random server that is up.
    fn dispatch(&mut self, request: SentRequest) {
        let fingerprint = fingerprint(request.kind);
        let table = &mut self.daemons[request.ingress];
        if self.plan.shares_notices {
            let verdict = table.judge(&fingerprint, || false, self.now);
            if verdict != CopyVerdict::Serve {
                return self.count_refusal(request.kind);
            }
        }
        let ingress_tally = table.tally(&fingerprint);
        let up_servers =
            (0..self.plan.daemons).filter(|each| self.servers[*each].up_at <= self.now);
        let up_servers: Vec<usize> = up_servers.collect();
        if up_servers.is_empty() {
            return;
        }
        let server = up_servers[self.rng.random_range(0..up_servers.len())];
        let server_tally = self.daemons[server].tally(&fingerprint);
        if self.plan.shares_notices && server_tally.is_refused() && server_tally > ingress_tally {
            return self.count_refusal(request.kind);
        }
        let dispatches = request.dispatches + 1;
        let number = self.sequence;
        let run = ServerRun {
            number,
            request: SentRequest { dispatches, ..request },
            tally: server_tally.max(ingress_tally),
        };
        self.servers[server].runs.push(run);
        let service_time = if matches!(request.kind, RequestKind::Bad(_)) {
            BAD_SERVICE_TIME
        } else {
            GOOD_SERVICE_TIME
        };
        let service_time = service_time.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(service_time, WorldEvent::RunEnd { server, number });
    }

    fn count_refusal(&mut self, kind: RequestKind) {
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
            self.bad_crashes += 1;
            return self.crash_server(server);
        }
        let run = runs.remove(index);
        let fingerprint = fingerprint(run.request.kind);
        let tally_before = self.daemons[server].tally(&fingerprint);
        if let Some(tally) = self.daemons[server].note_success(&fingerprint, self.now) {
            let upstream = Rc::from("");
            let notice = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
            self.notify_daemons(server, &notice, notice.notify_count(tally_before));
        }
    }

    /// Crashes a server, which ends all requests that run on the server. Those of the requests that
    /// may be retried are dispatched again.
    fn crash_server(&mut self, server: usize) {
        if self.servers[server].up_at > self.now {
            return;
        }
        self.crashes += 1;
        self.servers[server].up_at = self.now + RESTART_TIME;
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
        let raised_tally =
            self.daemons[server].note_crash(fingerprint, run.tally, "server", self.now);
        let tally = match raised_tally {
            Some(tally) => tally,
            None => return,
        };
        if let (RequestKind::Bad(number), true) = (run.request.kind, tally.is_refused()) {
            self.refusal_times[number].first.get_or_insert(self.now);
        }
        let upstream = Rc::from("server");
        let notice = SuspectNotice { fingerprint, tally, seen_ago: Duration::ZERO, upstream };
        self.notify_daemons(server, &notice, notice.notify_count(run.tally));
        if self.plan.shares_notices {
            // The ingress receives the notice before the failure of the attempt that crashed.
            self.record_notice(run.request.ingress, &notice);
        }
    }

    fn send_notice(&mut self, from: usize, to: usize, notice: &SuspectNotice) {
        if !self.plan.shares_notices || self.rng.random_bool(NOTICE_LOSS_SHARE) {
            return;
        }
        let after = self.rng.random_range(NOTICE_DELAY_MS[0]..NOTICE_DELAY_MS[1]);
        self.sent_notices.push(notice.clone());
        let event = WorldEvent::Notice { from, to, notice_index: self.sent_notices.len() - 1 };
        self.schedule(Duration::from_secs_f64(after / 1000.0), event);
    }

    fn receive_notice(&mut self, from: usize, daemon: usize, notice_index: usize) {
        let notice = self.sent_notices[notice_index].clone();
        if let Some(answer) = self.daemons[daemon].answer(&notice, self.now) {
            self.send_notice(daemon, from, &answer);
        }
        if !self.record_notice(daemon, &notice) {
            return;
        }
        self.notify_daemons(daemon, &notice, notice.forward_count());
    }

    fn notify_daemons(&mut self, from: usize, notice: &SuspectNotice, count: usize) {
        if count >= self.plan.daemons {
            (0..self.plan.daemons)
                .filter(|to| *to != from)
                .for_each(|to| self.send_notice(from, to, notice));
            return;
        }
        for _ in 0..count {
            let to = self.rng.random_range(0..self.plan.daemons);
            self.send_notice(from, to, notice);
        }
    }

    /// Records a notice at a daemon, and the time when all daemons know that a bad request is to be
    /// refused. Returns whether the notice was new to the daemon.
    fn record_notice(&mut self, daemon: usize, notice: &SuspectNotice) -> bool {
        let is_new = self.daemons[daemon].apply_notice(notice, self.now);
        let bad_number = (0..self.plan.bad_requests)
            .find(|number| fingerprint(RequestKind::Bad(*number)) == notice.fingerprint);
        if let Some(number) = bad_number.filter(|_| is_new && notice.tally.is_refused()) {
            let mut tallies = self.daemons.iter().map(|table| table.tally(&notice.fingerprint));
            if tallies.all(CrashTally::is_refused) {
                self.refusal_times[number].last.get_or_insert(self.now);
            }
        }
        is_new
    }

    /// Exchanges the notices of a daemon with random peers whose digest of the notices differs.
    fn send_heartbeat(&mut self, daemon: usize) {
        for _ in 0..HEARTBEAT_PEERS {
            let to = self.rng.random_range(0..self.plan.daemons);
            if self.daemons[to].digest(self.now) != self.daemons[daemon].digest(self.now) {
                let (daemon_notices, peer_notices) =
                    (self.daemons[daemon].notices(self.now), self.daemons[to].notices(self.now));
                daemon_notices.iter().for_each(|notice| self.send_notice(daemon, to, notice));
                peer_notices.iter().for_each(|notice| self.send_notice(to, daemon, notice));
            }
        }
        self.schedule(HEARTBEAT_INTERVAL, WorldEvent::Heartbeat(daemon));
    }
}
