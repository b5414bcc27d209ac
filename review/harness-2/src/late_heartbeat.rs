//! Upstreams that go down and up by turns, and heartbeats that arrive after their senders crashed.

use std::collections::HashSet;
use std::io;
use std::thread;
use std::time::Duration;

use crate::cases::{self, Fleet, Route, Verdict};
use crate::client::{Ended, Outcome};
use crate::record::Record;
use crate::upstream::{RunEvent, RunKind, Spec, Upstream};

const SERVICE: &str = "contest-desk";
const UPSTREAMS: usize = 6;
/// The other service of the deployment, and its upstreams.
const OTHER: &str = "solver-app";
const OTHERS: usize = 15;
const SLOTS: usize = 4;
const WORK_MS: u64 = 200;
/// Upstreams that flap, one after the other: each time one of all 21.
const FLAPPING: [usize; 2] = [0, 1];
/// Half of the period with which an upstream goes down and up.
const HALF_PERIOD: Duration = Duration::from_millis(700);
/// How late the heartbeats of the second incarnation arrive.
const DELAY: Duration = Duration::from_millis(2400);
const FLOOR_SHARE: f64 = 0.7;
const WINDOW: Duration = Duration::from_secs(2);
/// Requests that are measured, and the time between two: 100 a second for 12 s.
const REQUESTS: usize = 1200;
const GAP: Duration = Duration::from_millis(10);

pub fn run(record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    let routes = [Route {
        name: "r-hint",
        prefix: "/hint/",
        kind: "safe",
        timeout_s: 1.2,
        objective_s: 0.4,
        service: SERVICE,
    }];
    let document = cases::config(7, &routes, &[SERVICE, OTHER]);
    let service_of = |index| if index < UPSTREAMS { SERVICE } else { OTHER };
    let specs: Vec<Spec> = (0..UPSTREAMS + OTHERS)
        .map(|index| cases::spec(index, service_of(index), SLOTS, WORK_MS))
        .collect();
    let mut fleet = Fleet::start(record, &document, specs.clone())?;
    fleet.await_served("/hint/warm")?;
    thread::sleep(Duration::from_secs(2));
    let mut live: Vec<String> = specs[..UPSTREAMS].iter().map(|spec| spec.id.clone()).collect();
    if with_trouble {
        for index in FLAPPING {
            live[index] = flap(&mut fleet, index, &specs[index])?;
            thread::sleep(Duration::from_secs(3));
        }
    }
    // From twice contactS after the last trouble on, all upstreams are sound.
    thread::sleep(cases::CONTACT * 2);
    let began = record.now();
    let requests = (0..REQUESTS).map(|number| {
        let daemon = number % fleet.daemons.len();
        let request = cases::get(&format!("h{number}"), "/hint/2f", 1500);
        (daemon, fleet.callers(daemon), request)
    });
    let outcomes = cases::send_all(record, GAP, requests.collect());
    fleet.check_running()?;
    fleet.keep_logs();
    let until = began + GAP * REQUESTS as u32;
    Ok(judge(record, &fleet.runs.all(), &outcomes, &live, (began, until)))
}

/// Takes an upstream down and up twice. The heartbeats of the incarnation in between arrive after it
/// has crashed and the next one has registered. Returns the id of the last incarnation.
fn flap(fleet: &mut Fleet, index: usize, spec: &Spec) -> io::Result<String> {
    let control = fleet.daemons[index].control;
    let address = fleet.upstreams[index].address;
    let start = |letter: &str, fleet: &Fleet| {
        let id = format!("i-{index}-{letter}");
        Upstream::start(Spec { id, ..spec.clone() }, address, &fleet.runs)
    };
    fleet.upstreams[index].crash();
    thread::sleep(HALF_PERIOD);
    let between = start("b", fleet)?;
    between.send_heartbeats(control, DELAY);
    thread::sleep(HALF_PERIOD);
    between.crash();
    thread::sleep(HALF_PERIOD);
    let last = start("c", fleet)?;
    last.send_heartbeats(control, Duration::ZERO);
    fleet.upstreams[index] = last;
    Ok(format!("i-{index}-c"))
}

/// Looks for a window in which requests reach some of the sound upstreams, but a share of them below
/// the floor, while more than a tenth and under half of the requests are not served.
fn judge(
    record: &Record,
    events: &[RunEvent],
    outcomes: &[Outcome],
    live: &[String],
    (began, until): (Duration, Duration),
) -> Verdict {
    let mut broken = 0;
    let mut windows = 0;
    let mut start = began;
    while start + WINDOW <= until {
        let end = start + WINDOW;
        let is_inside = |at: Duration| at >= start && at < end;
        let reached: HashSet<&str> = events
            .iter()
            .filter(|event| event.kind == RunKind::Arrived && is_inside(event.at))
            .map(|event| event.upstream.as_str())
            .filter(|upstream| live.iter().any(|known| known == upstream))
            .collect();
        let sent: Vec<_> = outcomes.iter().filter(|outcome| is_inside(outcome.sent)).collect();
        let unserved =
            sent.iter().filter(|outcome| outcome.end != Ended::Answered(200)).count() as f64;
        let unserved_share = unserved / sent.len().max(1) as f64;
        let reached_share = reached.len() as f64 / live.len() as f64;
        let is_broken = reached_share > 0.0
            && reached_share < FLOOR_SHARE
            && unserved_share > 0.1
            && unserved_share < 0.5;
        record.note_at(
            end,
            format!(
                "window of 2 s: {} of {} sound upstreams reached, {:.0} of {} requests not \
                 served{}",
                reached.len(),
                live.len(),
                unserved,
                sent.len(),
                if is_broken { "; FLOOR broken" } else { "" }
            ),
        );
        windows += 1;
        broken += usize::from(is_broken);
        start += WINDOW / 4;
    }
    let worked: HashSet<&str> = events
        .iter()
        .filter(|event| event.kind == RunKind::Began && event.at >= began)
        .map(|event| event.upstream.as_str())
        .collect();
    let never: Vec<&String> = live.iter().filter(|id| !worked.contains(id.as_str())).collect();
    let unserved = outcomes.iter().filter(|each| each.end != Ended::Answered(200)).count();
    let summary = format!(
        "FLOOR broken in {broken} of {windows} windows; {unserved} of {} requests not served; sound \
         upstreams that ran nothing: {never:?}",
        outcomes.len()
    );
    match broken {
        0 => Verdict::Held(summary),
        _ => Verdict::Broken(summary),
    }
}
