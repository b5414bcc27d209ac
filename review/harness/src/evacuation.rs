//! An evacuation that the operator declares after a drill, in which the store came back from a copy
//! some seconds old: once it is acknowledged, the zone must get no requests.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{self, ClientRequest};
use crate::fleet::Workplace;
use crate::message::MessageHead;
use crate::scene::{self, CaseScene, RoutePlan, HOST, SERVICE, ZONES};
use crate::upstream::UpstreamAct;
use crate::{result_of, CaseResult};

/// Machines of the deployment, one in each zone.
const MACHINES: usize = 3;
/// Machine whose zone is evacuated.
const EVACUATED: usize = 1;
/// Work of a request.
const WORK: Duration = Duration::from_millis(20);
/// Bound on the time from the acknowledgement to the last request (`evacuateS`).
const EVACUATE_TIME: Duration = Duration::from_secs(5);
/// Time after a disruption until the machines are in touch (`contactS`).
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Plays the case.
pub fn play(place: &Workplace, has_trouble: bool) -> io::Result<CaseResult> {
    let plans = || [RoutePlan { prefix: "/lohu930/", kind: "safe", attempts: 2 }];
    let is_forbidden = Arc::new(AtomicBool::new(false));
    let arrived = Arc::new(AtomicUsize::new(0));
    let (forbidden, seen, record) = (is_forbidden.clone(), arrived.clone(), place.record.clone());
    let decide = move |index: usize, head: &MessageHead| {
        if index == EVACUATED && forbidden.load(Ordering::SeqCst) {
            seen.fetch_add(1, Ordering::SeqCst);
            let id = head.field("request-id").unwrap_or_default();
            record.line(format!("BROKEN {id} reaches the evacuated zone"));
        }
        UpstreamAct::Run(WORK)
    };
    let scene = CaseScene::start(place, &[SERVICE; MACHINES], &plans(), decide)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = scene
        .daemons
        .iter()
        .enumerate()
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
                    thread::sleep(Duration::from_millis(40));
                }
                (sent, answered)
            })
        })
        .collect();
    let (store, zone) = (&scene.store, ZONES[EVACUATED]);
    let record = &place.record;
    store.take_copy()?;
    record.line("the store's copy is taken");
    thread::sleep(Duration::from_secs(1));
    store.evacuate(zone)?;
    record.line(format!("the evacuation of {zone} is acknowledged"));
    thread::sleep(Duration::from_secs(2));
    store.take_back(zone)?;
    record.line(format!("the evacuation of {zone} is taken back"));
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        store.set_faults("{\"down\":true}")?;
        record.line("drill: the store goes away");
        thread::sleep(Duration::from_secs(1));
        store.come_back_from_copy()?;
        // The operator writes again what it had written; its request to evacuate is taken back.
        store.put_config(&scene::config_text(&plans()))?;
        store.set_faults("{}")?;
        record.line("drill: the store is back from the copy, the operator has written again");
    }
    thread::sleep(CONTACT_TIME + Duration::from_secs(2));
    store.evacuate(zone)?;
    record.line(format!("the second evacuation of {zone} is acknowledged"));
    thread::sleep(EVACUATE_TIME);
    is_forbidden.store(true, Ordering::SeqCst);
    record.line(format!("from here on nothing may reach {zone}"));
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
        let text = format!("{late} requests reached {zone} later than 5 s after its evacuation");
        scene.ledger.note_broken(record, text);
    }
    Ok(result_of(&scene, format!("{sent} requests sent, {answered} answered with 200")))
}
