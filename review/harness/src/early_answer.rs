//! Long bodies at upstreams that answer before they have read them, and read on.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::{self, ClientRequest};
use crate::fleet::Workplace;
use crate::message::MessageHead;
use crate::record::CaseRecord;
use crate::scene::{CaseScene, RoutePlan, HOST, OTHER_SERVICE, SERVICE};
use crate::upstream::{BodyLedger, UpstreamAct};
use crate::{result_of, CaseResult};

/// Clients, all of them on the machine without an upstream of the service.
const CLIENTS: usize = 6;
/// Long requests that each client sends.
const REQUESTS: usize = 20;
/// Length of the bodies.
const LONG_BYTES: usize = 250_000;

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    let routes = [RoutePlan { prefix: "/pufi791/", kind: "unsafe", attempts: 2 }];
    let decide = move |_: usize, _: &MessageHead| match has_trouble {
        true => UpstreamAct::AnswerEarly,
        false => UpstreamAct::Run(Duration::from_millis(60)),
    };
    let scene = CaseScene::start(place, &[OTHER_SERVICE, SERVICE, SERVICE], &routes, decide)?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (outbound, record, ledger) =
                (scene.daemons[0].outbound, place.record.clone(), scene.ledger.clone());
            thread::spawn(move || {
                (0..REQUESTS)
                    .filter(|number| send(outbound, &record, &ledger, client * 1000 + number + 1))
                    .count()
            })
        })
        .collect();
    let answered: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let sent = CLIENTS * REQUESTS;
    let troubled = scene.ledger.troubled.load(Ordering::SeqCst);
    if answered * 2 < sent || has_trouble && troubled == 0 {
        return Err(io::Error::other(format!("only {answered} of {sent} requests were served")));
    }
    let summary =
        format!("{sent} requests sent, {answered} answered with 200, {troubled} answered early");
    Ok(result_of(&scene, summary))
}

fn send(outbound: SocketAddr, record: &CaseRecord, ledger: &BodyLedger, number: usize) -> bool {
    let seed = number as u64;
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
        chunked: false,
        pause: Duration::from_millis(2),
        piece_bytes: 20_000,
    };
    client::send(outbound, record, &request) == 200
}
