//! Clients that leave while their answer is on its way.

use std::io;
use std::time::Duration;

use crate::cases::{self, Fleet, Route, Verdict};
use crate::client::{Ended, Request};
use crate::record::Record;
use crate::upstream::{AnswerStyle, RunKind};

const SERVICE: &str = "solver-app";
const WORK_MS: u64 = 1400;
/// Clients leave after half of the objective of 0.8 s.
const LEAVES_AFTER: Duration = Duration::from_millis(400);
/// Time after a client has left by which its upstream must not be at work any more.
const LEFT: Duration = Duration::from_millis(500);
const REQUESTS: usize = 100;
/// One client in five leaves.
const LEAVING_OF: usize = 5;
const GAP: Duration = Duration::from_millis(120);
/// "More than a few".
const FEW: usize = 5;

pub fn run(record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    let routes = [Route {
        name: "r-fetch",
        prefix: "/fetch/",
        kind: "safe",
        timeout_s: 2.5,
        objective_s: 0.8,
        service: SERVICE,
    }];
    let document = cases::config(7, &routes, &[SERVICE]);
    let mut specs: Vec<_> = (0..5).map(|index| cases::spec(index, SERVICE, 4, WORK_MS)).collect();
    for spec in &mut specs {
        spec.style = AnswerStyle::EarlyHead { bytes: 800 };
    }
    let mut fleet = Fleet::start(record, &document, specs)?;
    fleet.await_served("/fetch/warm")?;
    let requests = (0..REQUESTS).map(|number| {
        let daemon = number % fleet.daemons.len();
        let leaves = with_trouble && number % LEAVING_OF == 2;
        let request = Request {
            leaves_after: leaves.then_some(LEAVES_AFTER),
            ..cases::get(&format!("g{number}"), "/fetch/2f", 4000)
        };
        (daemon, fleet.callers(daemon), request)
    });
    let outcomes = cases::send_all(record, GAP, requests.collect());
    std::thread::sleep(Duration::from_secs(2));
    fleet.check_running()?;
    fleet.keep_logs();
    let events = fleet.runs.all();
    let (mut lasting, mut working) = (0, 0);
    for outcome in outcomes.iter().filter(|outcome| outcome.end == Ended::Left) {
        let limit = outcome.ended + LEFT;
        let of_request = || events.iter().filter(|event| event.request == outcome.id);
        let began = of_request().find(|event| event.kind == RunKind::Began);
        let Some(began) = began else { continue };
        if began.at + Duration::from_millis(WORK_MS) <= limit {
            continue;
        }
        lasting += 1;
        let ended = of_request().find(|event| {
            matches!(event.kind, RunKind::Ended | RunKind::Dropped | RunKind::TimedOut)
        });
        if ended.is_none_or(|event| event.at > limit) {
            working += 1;
            record.note_at(
                limit,
                format!("GONE: {} still at work at {}", outcome.id, began.upstream),
            );
        }
    }
    let summary = format!(
        "{lasting} clients left requests that would have lasted; upstreams still worked on {working} \
         of these half a second later"
    );
    Ok(match working > FEW && working * 4 > lasting {
        true => Verdict::Broken(summary),
        false => Verdict::Held(summary),
    })
}
