//! Long bodies that an upstream turns away before it has read them: the upstream keeps the
//! connection and reads on, and must get the rest of the body or the end of the connection.

use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::{self, ClientRequest};
use crate::fleet::Workplace;
use crate::message::MessageHead;
use crate::scene::{CaseScene, RoutePlan, HOST, SERVICE};
use crate::upstream::UpstreamAct;
use crate::{result_of, CaseResult};

/// Machines of the deployment.
const MACHINES: usize = 2;
/// Long requests that are sent.
const LONG_REQUESTS: usize = 6;
/// Short requests that are sent meanwhile, on each machine.
const SHORT_REQUESTS: usize = 160;
/// Work of a request.
const WORK: Duration = Duration::from_millis(15);
/// Length from which a body counts as long here.
const LONG_BYTES: usize = 200_000;
/// Length of the bodies of short requests.
const SHORT_BYTES: usize = 300;
/// Time after which the upstream reads the rest of a body that it has turned away.
const READS_LATER: Duration = Duration::from_millis(100);

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    // A single attempt: what a second upstream gets is not the matter of this case.
    let routes = [RoutePlan { prefix: "/pufi791/", kind: "unsafe", attempts: 1 }];
    let decide = move |_: usize, head: &MessageHead| {
        let is_long = head.length().unwrap_or(0) >= LONG_BYTES;
        match has_trouble && is_long {
            true => UpstreamAct::ShedEarly(READS_LATER),
            false => UpstreamAct::Run(WORK),
        }
    };
    let scene = CaseScene::start(place, &[SERVICE; MACHINES], &routes, decide)?;
    let mut clients = Vec::new();
    for (machine, daemon) in scene.daemons.iter().enumerate() {
        let (outbound, record, ledger) =
            (daemon.outbound, place.record.clone(), scene.ledger.clone());
        clients.push(thread::spawn(move || {
            let mut answered = 0;
            for number in 0..SHORT_REQUESTS {
                let seed = (machine * 1000 + number + 1) as u64;
                let id = format!("{:016x}", seed.wrapping_mul(0x9c41_d07b_e2a3_5f69));
                let body = client::build_body(seed, SHORT_BYTES);
                ledger.note_sent(&id, &body);
                let request = ClientRequest {
                    method: "POST",
                    host: HOST,
                    path: "/pufi791/2f",
                    id: &id,
                    deadline_ms: 2500,
                    body: &body,
                    chunked: false,
                    pause: Duration::ZERO,
                    piece_bytes: SHORT_BYTES,
                };
                answered += usize::from(client::send(outbound, &record, &request) == 200);
                thread::sleep(Duration::from_millis(25));
            }
            answered
        }));
    }
    let (outbound, record, ledger) =
        (scene.daemons[0].outbound, place.record.clone(), scene.ledger.clone());
    let long_client = thread::spawn(move || {
        for number in 0..LONG_REQUESTS {
            thread::sleep(Duration::from_millis(300));
            let seed = (90_000 + number) as u64;
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
                // A client behind a slow link: the body takes 0.3 s.
                pause: Duration::from_millis(50),
                piece_bytes: 32 * 1024,
            };
            client::send(outbound, &record, &request);
        }
    });
    let _ = long_client.join();
    let answered: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let troubled = scene.ledger.troubled.load(Ordering::SeqCst);
    let sent = MACHINES * SHORT_REQUESTS;
    if answered * 2 < sent || has_trouble && troubled == 0 {
        return Err(io::Error::other(format!(
            "only {answered} of {sent} short requests were served, {troubled} long ones turned away"
        )));
    }
    let summary = format!(
        "{sent} short requests sent, {answered} answered with 200; {LONG_REQUESTS} long requests \
         sent, {troubled} turned away before their body was read"
    );
    Ok(result_of(&scene, summary))
}
