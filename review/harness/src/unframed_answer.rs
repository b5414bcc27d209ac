//! Answers without a length, which end with their connection: one that is reset on the way must not
//! look complete to the client.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
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
/// Long requests that are sent.
const REQUESTS: usize = 9;
/// Length of the bodies, which a client takes 1.6 s to send.
const LONG_BYTES: usize = 1_600_000;
/// Time from the start of an answer to the reset of its connection.
const RESET_AFTER: Duration = Duration::from_millis(1400);

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    let routes = [RoutePlan { prefix: "/pufi791/", kind: "unsafe", attempts: 2 }];
    let decide = move |_: usize, _: &MessageHead| match has_trouble {
        true => UpstreamAct::AnswerUnframedAndReset(RESET_AFTER),
        false => UpstreamAct::AnswerUnframed,
    };
    let scene = CaseScene::start(place, &[SERVICE; MACHINES], &routes, decide)?;
    let mut whole = 0;
    for number in 0..REQUESTS {
        let outbound = scene.daemons[number % MACHINES].outbound;
        whole += usize::from(send(outbound, &place.record, &scene.ledger, number));
    }
    let troubled = scene.ledger.troubled.load(Ordering::SeqCst);
    if has_trouble && troubled == 0 || !has_trouble && whole < REQUESTS {
        return Err(io::Error::other(format!("{whole} of {REQUESTS} whole, {troubled} reset")));
    }
    let summary = format!(
        "{REQUESTS} requests sent, {troubled} answers reset on the way, {whole} whole answers"
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
