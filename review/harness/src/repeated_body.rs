//! Long bodies, while one upstream fails or turns away a part of its requests: each run must get the
//! body that the client sent.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{self, ClientRequest};
use crate::fleet::Workplace;
use crate::message::MessageHead;
use crate::scene::{CaseScene, RoutePlan, HOST, SERVICE};
use crate::upstream::UpstreamAct;
use crate::{result_of, CaseResult};

/// Machines of the deployment: one gray upstream of seven keeps to the share of `srv_grey`, 0.15.
const MACHINES: usize = 7;
/// Requests of each client.
const REQUESTS: usize = 24;
/// Work of a request.
const WORK: Duration = Duration::from_millis(60);
/// The gray upstream fails two of five requests (`srv_grey`, x 0.4).
const GRAY_EVERY: (usize, usize) = (2, 5);

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    let routes = [
        RoutePlan { prefix: "/pufi791/", kind: "unsafe", attempts: 2 },
        RoutePlan { prefix: "/lohu930/", kind: "safe", attempts: 2 },
    ];
    let seen = Arc::new(AtomicUsize::new(0));
    let decide = move |index: usize, head: &MessageHead| {
        let is_gray = has_trouble && index == 1;
        if !is_gray || seen.fetch_add(1, Ordering::SeqCst) % GRAY_EVERY.1 >= GRAY_EVERY.0 {
            return UpstreamAct::Run(WORK);
        }
        // A gray upstream says that it is full to requests that may not be repeated, and fails the
        // others.
        match head.second_word().starts_with("/pufi791/") {
            true => UpstreamAct::Shed,
            false => UpstreamAct::Fail,
        }
    };
    let scene = CaseScene::start(place, &[SERVICE; MACHINES], &routes, decide)?;
    let clients = scene.daemons.iter().enumerate().map(|(machine, daemon)| {
        let (outbound, record, ledger) =
            (daemon.outbound, place.record.clone(), scene.ledger.clone());
        thread::spawn(move || {
            let mut answered = 0;
            for number in 0..REQUESTS {
                let seed = (machine * 1000 + number + 1) as u64;
                let id = format!("{:016x}", seed.wrapping_mul(0x9c41_d07b_e2a3_5f69));
                let is_safe = number % 2 == 1;
                let length = [90_000, 150_000, 220_000][number % 3];
                let body = client::build_body(seed, length);
                ledger.note_sent(&id, &body);
                let request = ClientRequest {
                    method: if is_safe { "PUT" } else { "POST" },
                    host: HOST,
                    path: if is_safe { "/lohu930/2f" } else { "/pufi791/2f" },
                    id: &id,
                    deadline_ms: 4000,
                    body: &body,
                    chunked: number % 4 >= 2,
                    pause: Duration::from_millis(2),
                    piece_bytes: 32 * 1024,
                };
                let status = client::send(outbound, &record, &request);
                answered += usize::from(status == 200);
                thread::sleep(Duration::from_millis(40));
            }
            answered
        })
    });
    let clients: Vec<_> = clients.collect();
    let answered: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    let troubled = scene.ledger.troubled.load(Ordering::SeqCst);
    let runs = scene.ledger.runs.load(Ordering::SeqCst);
    let sent = MACHINES * REQUESTS;
    if answered * 2 < sent || has_trouble && troubled == 0 {
        return Err(io::Error::other(format!(
            "only {answered} of {sent} requests were served, {troubled} were troubled"
        )));
    }
    let summary = format!(
        "{sent} requests sent, {answered} answered with 200, {runs} runs, {troubled} failed or \
         turned away by the gray upstream"
    );
    Ok(result_of(&scene, summary))
}
