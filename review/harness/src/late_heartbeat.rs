//! An upstream that has left, a daemon that starts again, and a heartbeat of the upstream that comes
//! late: the acknowledgement of the leaving must still bind the daemon.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{self, ClientRequest};
use crate::fleet::Workplace;
use crate::message::MessageHead;
use crate::scene::{CaseScene, RoutePlan, HOST, SERVICE};
use crate::upstream::UpstreamAct;
use crate::{result_of, CaseResult};

/// Machines of the deployment.
const MACHINES: usize = 3;
/// Machine whose upstream leaves.
const LEAVING: usize = 1;
/// Work of a request.
const WORK: Duration = Duration::from_millis(20);
/// Bound on the time from the acknowledgement to the last request (`drainS`).
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a disruption until the machines are in touch (`contactS`).
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    let plans = [RoutePlan { prefix: "/lohu930/", kind: "safe", attempts: 2 }];
    let is_forbidden = Arc::new(AtomicBool::new(false));
    let arrived = Arc::new(AtomicUsize::new(0));
    let (forbidden, seen, record) = (is_forbidden.clone(), arrived.clone(), place.record.clone());
    let decide = move |index: usize, head: &MessageHead| {
        if index == LEAVING && forbidden.load(Ordering::SeqCst) {
            seen.fetch_add(1, Ordering::SeqCst);
            let id = head.field("request-id").unwrap_or_default();
            record.line(format!("BROKEN {id} reaches the upstream that has left"));
        }
        UpstreamAct::Run(WORK)
    };
    let mut scene = CaseScene::start(place, &[SERVICE; MACHINES], &plans, decide)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = scene
        .daemons
        .iter()
        .enumerate()
        .filter(|(machine, _)| *machine != LEAVING)
        .flat_map(|(machine, daemon)| [(machine, daemon), (machine + 10, daemon)])
        .map(|(machine, daemon)| {
            let (outbound, record, ledger) =
                (daemon.outbound, place.record.clone(), scene.ledger.clone());
            let is_over = is_over.clone();
            thread::spawn(move || {
                let (mut sent, mut answered) = (0, 0);
                while !is_over.load(Ordering::SeqCst) {
                    sent += 1;
                    let seed = (machine * 10_000 + sent) as u64;
                    let id = format!("{:016x}", seed.wrapping_mul(0x9c41_d07b_e2a3_5f69));
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
                    answered += usize::from(client::send(outbound, &record, &request) == 200);
                    thread::sleep(Duration::from_millis(5));
                }
                (sent, answered)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let leaving = scene.upstreams[LEAVING].clone();
    let record = &place.record;
    let late_sequence = leaving.last_sequence();
    let status = leaving.deregister()?;
    record.line(format!("{} deregisters and gets {status}", leaving.id()));
    if status != 200 {
        return Err(io::Error::other(format!("the deregistration got {status}")));
    }
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        scene.daemons[LEAVING].kill();
        thread::sleep(Duration::from_millis(300));
        scene.daemons[LEAVING].run()?;
        thread::sleep(Duration::from_millis(700));
        let status = leaving.send_heartbeat(late_sequence)?;
        record.line(format!(
            "the heartbeat {late_sequence} of {} comes late and gets {status}",
            leaving.id()
        ));
    }
    thread::sleep(DRAIN_TIME.max(CONTACT_TIME) + Duration::from_millis(500));
    is_forbidden.store(true, Ordering::SeqCst);
    record.line(format!("from here on nothing may reach {}", leaving.id()));
    thread::sleep(Duration::from_secs(6));
    is_forbidden.store(false, Ordering::SeqCst);
    is_over.store(true, Ordering::SeqCst);
    let counts = clients.into_iter().map(|client| client.join().unwrap_or((0, 0)));
    let (sent, answered) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    if answered * 2 < sent {
        return Err(io::Error::other(format!("only {answered} of {sent} requests were served")));
    }
    let late = arrived.load(Ordering::SeqCst);
    if late > 0 {
        let text = format!("{late} requests reached {} after it had left", leaving.id());
        scene.ledger.note_broken(record, text);
    }
    Ok(result_of(&scene, format!("{sent} requests sent, {answered} answered with 200")))
}
