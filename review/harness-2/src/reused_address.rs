//! A machine that goes with its upstream, another of another service at its addresses, and a
//! heartbeat of the first upstream that arrives late.

use std::io;
use std::thread;
use std::time::Duration;

use crate::cases::{self, Fleet, Route, Verdict};
use crate::fleet::Machine;
use crate::record::Record;
use crate::upstream::{RunKind, Spec, Upstream};

const SOLVER: &str = "solver-app";
const CONTEST: &str = "contest-desk";
/// Machines with an upstream of either service.
const OF_EACH: usize = 4;
/// The machine that goes: one of four of its service.
const REPLACED: usize = 0;
/// Time after which the addresses of an upstream that has ended are used again.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// Time from the start of the drain to the end of the upstream, as no heartbeat is acknowledged.
const ENDS_AFTER: Duration = Duration::from_secs(3);
/// How late the heartbeats of the draining upstream arrive.
const DELAY: Duration = Duration::from_secs(7);
/// Time from the start of the other machine to the first of the requests that are looked at.
const SETTLED: Duration = Duration::from_millis(4500);
const REQUESTS: usize = 1200;
const GAP: Duration = Duration::from_millis(5);

pub fn run(record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "safe",
        timeout_s: 2.0,
        objective_s: 0.8,
        service,
    };
    let routes = [route("r-fetch", "/fetch/", SOLVER), route("r-hint", "/hint/", CONTEST)];
    let document = cases::config(7, &routes, &[SOLVER, CONTEST]);
    let service_of = |index: usize| if index < OF_EACH { SOLVER } else { CONTEST };
    let specs: Vec<Spec> =
        (0..2 * OF_EACH).map(|index| cases::spec(index, service_of(index), 4, 60)).collect();
    let mut fleet = Fleet::start(record, &document, specs.clone())?;
    fleet.await_served("/fetch/warm")?;
    fleet.await_served("/hint/warm")?;
    let mut services: Vec<&str> = (0..2 * OF_EACH).map(service_of).collect();
    if with_trouble {
        fleet.upstreams[REPLACED].drain(DELAY);
        thread::sleep(ENDS_AFTER);
        fleet.upstreams[REPLACED].crash();
        record.note("machine sidecar-0 goes");
        fleet.daemons[REPLACED].process.kill();
        thread::sleep(REUSE_AFTER);
        let zone = specs[REPLACED].zone.clone();
        let machine = Machine { name: "sidecar-new", zone: &zone, service: CONTEST };
        fleet.replace_daemon(REPLACED, &machine)?;
        fleet.daemons[REPLACED].await_ready()?;
        let spec = Spec {
            id: "i-new-a".to_owned(),
            service: CONTEST.to_owned(),
            ..specs[REPLACED].clone()
        };
        let address = fleet.upstreams[REPLACED].address;
        let upstream = Upstream::start(spec, address, &fleet.runs)?;
        upstream.send_heartbeats(fleet.daemons[REPLACED].control, Duration::ZERO);
        fleet.upstreams[REPLACED] = upstream;
        services[REPLACED] = CONTEST;
    }
    thread::sleep(SETTLED);
    // A quarter of the requests begins on the machine in question.
    let daemon_of = |number: usize| if number % 4 == 0 { REPLACED } else { number % (2 * OF_EACH) };
    let requests = (0..REQUESTS).map(|number| {
        let daemon = daemon_of(number);
        let target = if number % 3 == 0 { "/fetch/2f" } else { "/hint/2f" };
        (daemon, fleet.callers(daemon), cases::get(&format!("u{number}"), target, 4000))
    });
    cases::send_all(record, GAP, requests.collect());
    fleet.check_running()?;
    fleet.keep_logs();
    let mut wrong = 0;
    let mut runs = 0;
    for event in fleet.runs.all().iter().filter(|event| event.kind == RunKind::Began) {
        let number = event.request.strip_prefix('u').and_then(|text| text.parse().ok());
        let Some(daemon) = number.map(daemon_of) else { continue };
        runs += 1;
        if event.caller.as_deref() != Some(services[daemon]) {
            wrong += 1;
            record.note_at(
                event.at,
                format!(
                    "UNASKED: {} began on a machine of {}, and ran at {} with Caller-Service {:?}",
                    event.request, services[daemon], event.upstream, event.caller
                ),
            );
        }
    }
    let ran_new = fleet.runs.all().iter().any(|event| {
        event.upstream == "i-new-a"
            && event.kind == RunKind::Began
            && event.at > record.now() - Duration::from_secs(2)
    });
    let summary = format!(
        "{runs} runs, {wrong} with the Caller-Service of another service than that of the machine \
         where the request began{}",
        if with_trouble && !ran_new { "; the live upstream gets no requests any more" } else { "" }
    );
    Ok(match wrong {
        0 => Verdict::Held(summary),
        _ => Verdict::Broken(summary),
    })
}
