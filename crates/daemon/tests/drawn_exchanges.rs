// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Exchanges drawn from a seed: bodies of all sizes and framings on kept connections, to servers
//! that answer, refuse, cut, close or fall silent at any byte. Checked from outside: a server gets
//! what one caller sent, a caller's complete answer is what one server sent for that request, and
//! "not run" is true.
//!
//! `BASALTARCH_EXCHANGES` is the number of requests, `BASALTARCH_SEED` the seed.

mod common;

use std::collections::HashMap;
use std::env;
use std::fmt::Write as _;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use common::client::{self, Reply};
use common::scripted::{AfterExchange, ScriptedExchange, ScriptedServer};
use common::{FleetPlan, TestFleet};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::json;

/// Requests of a run without `BASALTARCH_EXCHANGES`.
const EXCHANGES: usize = 600;
/// Seed of a run without `BASALTARCH_SEED`.
const SEED: u64 = 20_261_204;
/// Callers that send at the same time, half of them to each daemon.
const CALLERS: usize = 6;
/// Scripted servers, half of them beside each daemon.
const SERVERS: usize = 4;
/// Largest length of a request's body, in bytes.
const REQUEST_BYTES_MAX: usize = 400_000;
/// Largest length of an answer's body, in bytes.
const ANSWER_BYTES_MAX: usize = 300_000;
/// Largest length of an answer that may be sent twice, in bytes, so that both go out at once.
const TWICE_BYTES_MAX: usize = 4000;

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerFraming {
    Length,
    Chunked,
    Trailers,
    Unframed,
}

/// Status and notice of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerKind {
    Success,
    Failure,
    Rejection,
    Shed,
}

/// What a server does with one request.
#[derive(Debug, Clone)]
struct ServerAct {
    /// Bytes of the body that are read before anything is answered; all if the body is shorter.
    read_first: usize,
    kind: AnswerKind,
    framing: AnswerFraming,
    /// Length of the answer's body.
    length: usize,
    /// Whether an interim answer comes first.
    interim: bool,
    /// Bytes of the answer, its head included, after which the connection closes.
    cut_at: Option<usize>,
    /// Whether the answer is sent a second time.
    twice: bool,
    /// Whether the rest of the body is read after the answer; else the connection closes.
    reads_on: bool,
    /// Whether nothing is answered.
    silent: bool,
}

/// One request of a caller, and what the servers do with its attempts in turn.
#[derive(Debug, Clone)]
struct RequestPlan {
    length: usize,
    chunked: bool,
    piece: usize,
    repeatable: bool,
    /// Whether the caller sends its whole body before it reads the answer.
    reads_late: bool,
    acts: Vec<ServerAct>,
}

fn any_length(max: usize) -> impl Strategy<Value = usize> {
    let around_kept = 64 * 1024 - 2..64 * 1024 + 3_usize;
    prop_oneof![0..2_000_usize, around_kept, 60_000..100_000_usize, 0..max]
}

prop_compose! {
    fn any_act()(
        read_first in prop_oneof![Just(0), Just(usize::MAX), 0..REQUEST_BYTES_MAX],
        kind in prop_oneof![
            5 => Just(AnswerKind::Success),
            2 => Just(AnswerKind::Failure),
            1 => Just(AnswerKind::Rejection),
            2 => Just(AnswerKind::Shed),
        ],
        framing in prop_oneof![
            Just(AnswerFraming::Length),
            Just(AnswerFraming::Chunked),
            Just(AnswerFraming::Trailers),
            Just(AnswerFraming::Unframed),
        ],
        length in any_length(ANSWER_BYTES_MAX),
        interim in proptest::bool::weighted(0.1),
        cut_at in proptest::option::weighted(0.25, 0..ANSWER_BYTES_MAX),
        twice in proptest::bool::weighted(0.1),
        reads_on in proptest::bool::weighted(0.8),
        silent in proptest::bool::weighted(0.02),
    ) -> ServerAct {
        ServerAct { read_first, kind, framing, length, interim, cut_at, twice, reads_on, silent }
    }
}

prop_compose! {
    fn any_request()(
        length in any_length(REQUEST_BYTES_MAX),
        chunked in any::<bool>(),
        piece in prop_oneof![100..20_000_usize, Just(usize::MAX)],
        repeatable in any::<bool>(),
        reads_late in proptest::bool::weighted(0.2),
        acts in proptest::collection::vec(any_act(), 1..3),
    ) -> RequestPlan {
        RequestPlan { length, chunked, piece, repeatable, reads_late, acts }
    }
}

/// An answer as a server meant it.
#[derive(Debug, Clone)]
struct MeantAnswer {
    status: u16,
    body: Vec<u8>,
    /// Whether its end could be told from a cut, so that a caller may see it as complete.
    is_whole: bool,
}

/// What was sent, and what the servers did with it.
#[derive(Default)]
struct ExchangeLedger {
    bodies: Mutex<HashMap<String, Vec<u8>>>,
    plans: Mutex<HashMap<String, Vec<ServerAct>>>,
    answers: Mutex<HashMap<String, Vec<MeantAnswer>>>,
    /// Attempts that reached a server, less those that it shed.
    runs: Mutex<HashMap<String, usize>>,
    faults: Mutex<Vec<String>>,
}

impl ExchangeLedger {
    fn note_fault(&self, fault: String) {
        self.faults.lock().expect("faults").push(fault);
    }

    /// Returns the act for the next attempt at a request; attempts beyond its acts succeed.
    fn next_act(&self, id: &str) -> Option<ServerAct> {
        let mut plans = self.plans.lock().expect("plans");
        let acts = plans.get_mut(id)?;
        if acts.len() > 1 {
            return Some(acts.remove(0));
        }
        let act = acts[0].clone();
        acts[0] = ServerAct {
            read_first: usize::MAX,
            kind: AnswerKind::Success,
            cut_at: None,
            silent: false,
            ..act.clone()
        };
        Some(act)
    }

    fn note_started(&self, id: &str) {
        *self.runs.lock().expect("runs").entry(id.to_owned()).or_default() += 1;
    }

    fn note_shed(&self, id: &str) {
        *self.runs.lock().expect("runs").entry(id.to_owned()).or_default() -= 1;
    }

    fn note_answer(&self, id: &str, answer: MeantAnswer) {
        self.answers.lock().expect("answers").entry(id.to_owned()).or_default().push(answer);
    }

    /// Checks that the body that arrived is the start of the body that was sent, or the whole.
    fn check_body(&self, exchange: &ScriptedExchange<'_>) {
        let (id, seen) = (&exchange.seen.id, &exchange.seen);
        let bodies = self.bodies.lock().expect("bodies");
        let Some(body) = bodies.get(id) else {
            return self.note_fault(format!("nobody sent {:?}", seen.line));
        };
        if !body.starts_with(&seen.body) {
            self.note_fault(format!("{id}: {} bytes, other than sent", seen.body.len()));
        } else if seen.is_whole && body.len() != seen.body.len() {
            self.note_fault(format!(
                "{id}: {} of {} bytes as a whole",
                seen.body.len(),
                body.len()
            ));
        }
    }
}

/// Plays the server's side of an exchange.
fn play(ledger: &ExchangeLedger, exchange: &mut ScriptedExchange<'_>) -> AfterExchange {
    let Some(act) = ledger.next_act(&exchange.seen.id) else {
        ledger.note_fault(format!("nobody sent {:?}", exchange.seen.line));
        return AfterExchange::Close;
    };
    ledger.note_started(&exchange.seen.id);
    let arrived = exchange.read_up_to(act.read_first);
    ledger.check_body(exchange);
    if !arrived {
        return AfterExchange::Close;
    }
    if act.silent {
        exchange.await_end();
        return AfterExchange::Close;
    }
    let answered = answer(ledger, exchange, &act);
    if !answered || act.framing == AnswerFraming::Unframed || !act.reads_on {
        return AfterExchange::Close;
    }
    let is_whole = exchange.read_body();
    ledger.check_body(exchange);
    if is_whole {
        AfterExchange::Keep
    } else {
        AfterExchange::Close
    }
}

/// Sends the answer; returns whether the connection goes on after it.
fn answer(ledger: &ExchangeLedger, exchange: &mut ScriptedExchange<'_>, act: &ServerAct) -> bool {
    let (status, notice) = match act.kind {
        AnswerKind::Success => (200, ""),
        AnswerKind::Failure => (500, ""),
        AnswerKind::Rejection => (413, ""),
        AnswerKind::Shed => (503, "basaltarch-shed: 1\r\n"),
    };
    let id = exchange.seen.id.clone();
    let body = build_body(&format!("{id} {}", exchange.number), act.length);
    let bytes = build_answer(status, notice, act.framing, &body);
    let cut_at = act.cut_at.filter(|cut_at| *cut_at < bytes.len());
    // A body without a length that ends in order is complete, wherever it ends.
    let is_unframed = act.framing == AnswerFraming::Unframed;
    let is_reset = cut_at.is_some() && exchange.awaits_more();
    let cut_body = cut_at.and_then(|cut_at| cut_at.checked_sub(bytes.len() - body.len()));
    let answer = match (cut_at, cut_body) {
        (None, _) => MeantAnswer { status, body, is_whole: true },
        (Some(_), Some(end)) if is_unframed && !is_reset => {
            MeantAnswer { status, body: body[..end].to_vec(), is_whole: true }
        }
        (Some(_), _) => MeantAnswer { status, body, is_whole: false },
    };
    if act.kind == AnswerKind::Shed {
        ledger.note_shed(&id);
    }
    ledger.note_answer(&id, answer);
    if act.interim {
        exchange.write(b"HTTP/1.1 102 Processing\r\n\r\n");
    }
    if let Some(cut_at) = cut_at {
        exchange.write(&bytes[..cut_at]);
        if is_reset {
            exchange.await_unread_bytes();
        }
        return false;
    }
    // A copy that comes later could not be told from the answer to the next request.
    let is_sent_twice = act.twice && !is_unframed && bytes.len() <= TWICE_BYTES_MAX;
    exchange.write(&if is_sent_twice { bytes.repeat(2) } else { bytes })
}

/// Builds a body whose bytes depend on `key` and their position.
fn build_body(key: &str, length: usize) -> Vec<u8> {
    let seed = key.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    let byte = |index: usize| {
        let mixed = (seed ^ index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        b'a' + (mixed >> 40) as u8 % 26
    };
    (0..length).map(byte).collect()
}

fn build_answer(status: u16, notice: &str, framing: AnswerFraming, body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Drawn\r\n{notice}");
    match framing {
        AnswerFraming::Length => {
            write!(head, "Content-Length: {}\r\n", body.len()).expect("memory");
        }
        AnswerFraming::Chunked => head.push_str("Transfer-Encoding: chunked\r\n"),
        AnswerFraming::Trailers => {
            head.push_str("Transfer-Encoding: chunked\r\nTrailer: x-sum\r\n");
        }
        AnswerFraming::Unframed => {}
    }
    let mut bytes = format!("{head}\r\n").into_bytes();
    match framing {
        AnswerFraming::Length | AnswerFraming::Unframed => bytes.extend_from_slice(body),
        AnswerFraming::Chunked => put_chunks(&mut bytes, body, 7_000, ""),
        AnswerFraming::Trailers => put_chunks(&mut bytes, body, 50_000, "x-sum: 1\r\n"),
    }
    bytes
}

fn put_chunks(bytes: &mut Vec<u8>, body: &[u8], piece: usize, trailers: &str) {
    for chunk in body.chunks(piece) {
        write!(bytes, "{:x}\r\n", chunk.len()).expect("memory");
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    write!(bytes, "0\r\n{trailers}\r\n").expect("memory");
}

/// Sends the request and reads its answer; returns whether the connection can be used again.
fn send(
    stream: &mut TcpStream,
    id: &str,
    plan: &RequestPlan,
    body: &[u8],
) -> (Option<Reply>, bool) {
    let path = if plan.repeatable { "/puzzle" } else { "/plain" };
    let framing = match plan.chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", body.len()),
    };
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: solver.example\r\nx-request-id: {id}\r\n{framing}\r\n\r\n"
    )
    .into_bytes();
    match plan.chunked {
        true => put_chunks(&mut request, body, 9_000, ""),
        false => request.extend_from_slice(body),
    }
    let mut sending = stream.try_clone().expect("a second handle");
    let mut write = move || {
        let mut pieces = request.chunks(plan.piece);
        pieces.all(|piece| sending.write_all(piece).is_ok())
    };
    let (sent, reply) = match plan.reads_late {
        true => (write(), client::read_reply(stream, "POST")),
        false => thread::scope(|scope| {
            let writing = scope.spawn(write);
            let reply = client::read_reply(stream, "POST");
            if reply.as_ref().is_none_or(|reply| !reply.complete || closes(reply)) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            (writing.join().expect("the writer ends"), reply)
        }),
    };
    let is_kept = sent && reply.as_ref().is_some_and(|reply| reply.complete && !closes(reply));
    (reply, is_kept)
}

fn closes(reply: &Reply) -> bool {
    reply.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Checks an answer against what the servers meant.
fn check_reply(ledger: &ExchangeLedger, id: &str, reply: &Reply) {
    let answers = ledger.answers.lock().expect("answers");
    let meant = answers.get(id).map_or(&[][..], Vec::as_slice);
    if reply.outcome().as_deref() == Some("not-run") {
        let runs = ledger.runs.lock().expect("runs").get(id).copied().unwrap_or(0);
        if runs > 0 {
            ledger.note_fault(format!("{id}: not run ({:?}), but {runs} began", reply.reason()));
        }
        return;
    }
    if reply.outcome().is_some() || !reply.complete {
        return;
    }
    let is_meant = |answer: &MeantAnswer| {
        answer.is_whole && answer.status == reply.status && answer.body == reply.body
    };
    if !meant.iter().any(is_meant) {
        let lengths: Vec<_> = meant
            .iter()
            .map(|answer| (answer.status, answer.body.len(), answer.is_whole))
            .collect();
        let (status, length) = (reply.status, reply.body.len());
        ledger
            .note_fault(format!("{id}: a complete {status} of {length} bytes; meant {lengths:?}"));
    }
}

/// Sends drawn requests one after the other, on one connection while it lasts.
fn call_daemon(
    ledger: &ExchangeLedger,
    callers: SocketAddr,
    caller: usize,
    plans: Vec<RequestPlan>,
) {
    let mut kept: Option<TcpStream> = None;
    for (number, plan) in plans.into_iter().enumerate() {
        let id = format!("{caller}-{number}");
        let body = build_body(&id, plan.length);
        ledger.bodies.lock().expect("bodies").insert(id.clone(), body.clone());
        ledger.plans.lock().expect("plans").insert(id.clone(), plan.acts.clone());
        let mut stream = kept.take().unwrap_or_else(|| client::connect(callers));
        let (reply, is_kept) = send(&mut stream, &id, &plan, &body);
        if let Some(reply) = reply {
            check_reply(ledger, &id, &reply);
        }
        kept = is_kept.then_some(stream);
    }
}

fn start_fleet(ledger: &Arc<ExchangeLedger>) -> (TestFleet, Vec<ScriptedServer>) {
    let route = |path: &str, mode: &str| {
        json!({"host": "solver.example", "path_prefix": path, "service": "solver-app",
               "mode": mode, "timeout_ms": 3000})
    };
    let plan = FleetPlan {
        daemons: 2,
        backends: 0,
        slots: 8,
        routes: json!({"puzzle": route("/puzzle", "repeatable"), "plain": route("/plain", "plain")}),
        ..FleetPlan::default()
    };
    let start = |index: usize| {
        let ledger = ledger.clone();
        ScriptedServer::start(&format!("server-{}", index + 1), move |exchange| {
            play(&ledger, exchange)
        })
    };
    let servers: Vec<_> = (0..SERVERS).map(start).collect();
    let mut fleet = TestFleet::start_unconfigured(&plan);
    fleet.backends = servers.iter().map(|server| server.backend.clone()).collect();
    let reply = fleet.apply(&fleet.build_configuration(&plan));
    assert_eq!(reply.status, 200, "{}", reply.text());
    fleet.wait_revision(1);
    (fleet, servers)
}

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against messages that are cut, mixed or made up at any byte of an exchange.
#[test]
fn verify_drawn_exchanges_pass_whole_or_fail_openly() {
    let rng_seed = RngSeed::Fixed(setting("BASALTARCH_SEED", SEED));
    let config =
        ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new(config);
    let ledger = Arc::new(ExchangeLedger::default());
    let (fleet, _servers) = start_fleet(&ledger);
    let each = setting("BASALTARCH_EXCHANGES", EXCHANGES) / CALLERS;
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let plans = proptest::collection::vec(any_request(), each);
            let plans = plans.new_tree(&mut runner).expect("plans").current();
            let (ledger, callers) = (&ledger, fleet.daemons[caller % 2].callers);
            scope.spawn(move || call_daemon(ledger, callers, caller, plans));
        }
    });
    let answers = ledger.answers.lock().expect("answers");
    let faults = ledger.faults.lock().expect("faults");
    println!("{} of {} requests reached a server", answers.len(), each * CALLERS);
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    assert!(answers.len() * 2 > each * CALLERS, "only {} reached a server", answers.len());
    for daemon in &fleet.daemons {
        assert!(!daemon.log_text().contains("panicked"), "panic on {}", daemon.host);
    }
}
