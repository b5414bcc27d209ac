//! Answers without a length, which end with their connection: one that is reset on the way must not
//! look complete to the client.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{self, ClientRequest};
use crate::fleet::Workplace;
use crate::message::MessageHead;
use crate::record::CaseRecord;
use crate::scene::{CaseScene, RoutePlan, HOST, SERVICE};
use crate::upstream::{BodyLedger, UpstreamAct, UNFRAMED_BYTES};
use crate::{result_of, CaseResult};

/// Machines of the deployment.
const MACHINES: usize = 3;
/// Machine whose upstream breaks answers off: a share of 0.33, where the site's days have up to 0.6.
const BREAKING: usize = 0;
/// Long requests that are sent, all of them from that machine.
const REQUESTS: usize = 4;
/// Pause between the short requests that are sent meanwhile on that machine, so that the answers
/// broken off are at most a tenth of the upstream's answers, twice the site's largest dose (0.05).
const SHORT_PAUSE: Duration = Duration::from_millis(5);
/// Largest share of the upstream's answers that may be broken off.
const BROKEN_SHARE_MAX: f64 = 0.1;
/// Length of the bodies, which a client takes 1.6 s to send.
const LONG_BYTES: usize = 1_600_000;
/// Work of a short request.
const WORK: Duration = Duration::from_millis(10);
/// Time from the start of an answer to the reset of its connection.
const RESET_AFTER: Duration = Duration::from_millis(1400);

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    let routes = [
        RoutePlan { prefix: "/pufi791/", kind: "unsafe", attempts: 2 },
        RoutePlan { prefix: "/lohu930/", kind: "safe", attempts: 2 },
    ];
    let answered = Arc::new(AtomicUsize::new(0));
    let counted = answered.clone();
    let decide = move |index: usize, head: &MessageHead| {
        if index == BREAKING {
            counted.fetch_add(1, Ordering::SeqCst);
        }
        match head.second_word().starts_with("/pufi791/") {
            true if has_trouble && index == BREAKING => {
                UpstreamAct::AnswerUnframedAndReset(RESET_AFTER)
            }
            true => UpstreamAct::AnswerUnframed,
            false => UpstreamAct::Run(WORK),
        }
    };
    let scene = CaseScene::start(place, &[SERVICE; MACHINES], &routes, decide)?;
    let outbound = scene.daemons[BREAKING].outbound;
    let is_over = Arc::new(AtomicBool::new(false));
    let (over, record, ledger) = (is_over.clone(), place.record.clone(), scene.ledger.clone());
    let short_client = thread::spawn(move || {
        for number in (1_000..).take_while(|_| !over.load(Ordering::SeqCst)) {
            send_short(outbound, &record, &ledger, number);
            thread::sleep(SHORT_PAUSE);
        }
    });
    let numbers = 0..REQUESTS;
    let is_whole = |number: &usize| send(outbound, &place.record, &scene.ledger, *number);
    let whole = numbers.filter(is_whole).count();
    is_over.store(true, Ordering::SeqCst);
    let _ = short_client.join();
    let troubled = scene.ledger.troubled.load(Ordering::SeqCst);
    let answered = answered.load(Ordering::SeqCst);
    if troubled as f64 > answered as f64 * BROKEN_SHARE_MAX {
        let text = format!("{troubled} of {answered} answers were broken off, more than allowed");
        return Err(io::Error::other(text));
    }
    if has_trouble && troubled == 0 || !has_trouble && whole < REQUESTS {
        return Err(io::Error::other(format!("{whole} of {REQUESTS} whole, {troubled} reset")));
    }
    let summary = format!(
        "{REQUESTS} long requests sent, {whole} whole answers to them; {troubled} of the upstream's \
         {answered} answers reset on the way"
    );
    Ok(result_of(&scene, summary))
}

/// Sends a request; says whether its answer is whole.
fn send(outbound: SocketAddr, record: &CaseRecord, ledger: &BodyLedger, number: usize) -> bool {
    let seed = (number + 1) as u64;
    let id = format!("{:016x}", seed.wrapping_mul(0x9c41_d07b_e2a3_5f69));
    let body = client::build_body(seed, LONG_BYTES);
    ledger.note_sent(&id, &body);
    let request = ClientRequest {
        method: "POST",
        host: HOST,
        path: "/pufi791/2f",
        id: &id,
        deadline_ms: 4000,
        body: &body,
        chunked: number % 2 == 1,
        // The client sends its request before it reads the answer.
        pause: Duration::from_millis(16),
        piece_bytes: 16_000,
    };
    let (status, length) = client::send_and_count(outbound, record, &request);
    if status == 200 && length != UNFRAMED_BYTES {
        let text = format!(
            "the client of {id} gets a complete 200 of {length} bytes, its upstream's answer has \
             {UNFRAMED_BYTES} and was reset on the way"
        );
        ledger.note_broken(record, text);
    }
    status == 200 && length == UNFRAMED_BYTES
}

/// Sends a short request.
fn send_short(outbound: SocketAddr, record: &CaseRecord, ledger: &BodyLedger, number: usize) {
    let id = format!("{:016x}", ((number + 1) as u64).wrapping_mul(0x9c41_d07b_e2a3_5f69));
    ledger.note_sent(&id, &[]);
    let request = ClientRequest {
        method: "GET",
        host: HOST,
        path: "/lohu930/2f",
        id: &id,
        deadline_ms: 2500,
        body: &[],
        chunked: false,
        pause: Duration::ZERO,
        piece_bytes: 1,
    };
    client::send(outbound, record, &request);
}
