//! A leaving that was acknowledged, a store that comes back from a copy of before it, and daemons that
//! are all killed at once after that.

use std::io;
use std::thread;
use std::time::Duration;

use crate::cases::{self, Fleet, Route, Verdict};
use crate::client;
use crate::fleet::Machine;
use crate::record::Record;
use crate::upstream::RunKind;

const SERVICE: &str = "solver-app";
const MACHINES: usize = 6;
const LEAVING: usize = 0;
const SETTLED: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(2);
/// Time from the return of the store to the kill, in which daemons write what it lost again.
const RETURNED: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(700);
/// How late the last heartbeat of before the leaving arrives.
const DELAY: Duration = Duration::from_millis(8500);
const REQUESTS: usize = 400;
const GAP: Duration = Duration::from_millis(15);

pub fn run(record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    let routes = [Route {
        name: "r-fetch",
        prefix: "/fetch/",
        kind: "safe",
        timeout_s: 2.0,
        objective_s: 0.8,
        service: SERVICE,
    }];
    let document = cases::config(7, &routes, &[SERVICE]);
    let specs: Vec<_> = (0..MACHINES).map(|index| cases::spec(index, SERVICE, 4, 60)).collect();
    let mut fleet = Fleet::start(record, &document, specs.clone())?;
    fleet.await_served("/fetch/warm")?;
    // By then each upstream has sent a second heartbeat, should the first have come too early, and the
    // row of its host is written.
    thread::sleep(SETTLED);
    if with_trouble {
        fleet.store().take_copy()?;
        record.note("the store is copied");
    }
    thread::sleep(Duration::from_secs(1));
    let control = fleet.daemons[LEAVING].control;
    fleet.upstreams[LEAVING].send_late_heartbeat(control, DELAY);
    let status = fleet.upstreams[LEAVING].deregister(control)?;
    let acknowledged = record.now();
    record.note(format!("the deregistration is answered {status}"));
    if status != 200 {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    thread::sleep(Duration::from_millis(500));
    if with_trouble {
        fleet.store().restore_copy()?;
        fleet.store().put_config(&document)?;
        record.note("the store comes back from the copy, and the operator writes again");
    }
    thread::sleep(RETURNED);
    record.note(format!("row of the host: {}", fleet.store().row("sidecar-0")?));
    // The kill comes right after work was accepted.
    let accepted = cases::get("accepted", "/fetch/2f", 4000);
    client::run(record, 1, fleet.callers(1), &accepted, || {});
    record.note("all daemons are killed");
    for daemon in &mut fleet.daemons {
        daemon.process.kill();
    }
    thread::sleep(DOWN);
    for index in 0..MACHINES {
        let name = format!("sidecar-{index}");
        let zone = specs[index].zone.clone();
        let machine = Machine { name: &name, zone: &zone, service: SERVICE };
        fleet.replace_daemon(index, &machine)?;
    }
    for daemon in &fleet.daemons {
        daemon.await_ready()?;
    }
    let ready = record.now();
    // Machines are in touch again contactS after their start.
    thread::sleep(cases::CONTACT);
    let requests = (0..REQUESTS).map(|number| {
        let daemon = number % MACHINES;
        (daemon, fleet.callers(daemon), cases::get(&format!("d{number}"), "/fetch/2f", 4000))
    });
    cases::send_all(record, GAP, requests.collect());
    fleet.check_running()?;
    fleet.keep_logs();
    let bound = (acknowledged + DRAIN).max(ready + cases::CONTACT);
    let id = &specs[LEAVING].id;
    let late = fleet.runs.all();
    let late: Vec<_> = late
        .iter()
        .filter(|run| run.kind == RunKind::Began && run.upstream == *id && run.at > bound)
        .collect();
    for run in &late {
        record.note_at(run.at, format!("DRAIN: {} ran at {id}", run.request));
    }
    let summary = format!(
        "{} of {REQUESTS} requests reached the upstream later than drainS after its leaving was \
         acknowledged",
        late.len()
    );
    Ok(match late.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(summary),
    })
}
