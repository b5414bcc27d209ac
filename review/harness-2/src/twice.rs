//! Requests of an unsafe route whose path is that of a safe route but for its last slash, while
//! upstreams run requests whose answers are lost.

use std::io;
use std::time::Duration;

use crate::cases::{self, Fleet, Route, Verdict};
use crate::client::Request;
use crate::record::Record;
use crate::upstream::RunKind;

const SERVICE: &str = "solver-app";
/// Upstreams that lose answers: a share of 0.5 of four.
const LOSING: [usize; 2] = [0, 1];
/// One answer in ten is lost, a share of 0.1.
const LOST_OF: u64 = 10;
const REQUESTS: usize = 480;
const GAP: Duration = Duration::from_millis(11);

pub fn run(record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    let route = |name, prefix, kind| Route {
        name,
        prefix,
        kind,
        timeout_s: 2.5,
        objective_s: 0.8,
        service: SERVICE,
    };
    let routes = [route("r-renew", "/renew/", "unsafe"), route("r-card", "/renew/card/", "safe")];
    let document = cases::config(7, &routes, &[SERVICE]);
    let specs = (0..4).map(|index| cases::spec(index, SERVICE, 4, 50)).collect();
    let mut fleet = Fleet::start(record, &document, specs)?;
    fleet.await_served("/renew/card/x")?;
    if with_trouble {
        for index in LOSING {
            fleet.upstreams[index].lose_answers(LOST_OF);
        }
        record.note("the answers of one in ten requests of two upstreams are lost from now on");
    }
    // By the pages, of the prefixes only /renew/ begins either path.
    let targets = ["/renew/card", "/renew/card", "/renew/card", "/renew/2f"];
    let requests = (0..REQUESTS).map(|number| {
        let daemon = number % fleet.daemons.len();
        let request = Request {
            method: "POST",
            body: b"card=4711".to_vec(),
            ..cases::get(&format!("q{number}"), targets[(number / 4) % targets.len()], 5000)
        };
        (daemon, fleet.callers(daemon), request)
    });
    let outcomes = cases::send_all(record, GAP, requests.collect());
    fleet.check_running()?;
    fleet.keep_logs();
    let events = fleet.runs.all();
    let lost = events.iter().filter(|event| event.kind == RunKind::AnswerLost).count();
    let begun = fleet.runs.begun();
    let mut twice: Vec<_> = begun
        .iter()
        .filter(|(id, runs)| id.starts_with('q') && runs.len() > 1)
        .map(|(id, runs)| {
            let upstreams: Vec<&str> = runs.iter().map(|run| run.upstream.as_str()).collect();
            format!("{id} ran at {}", upstreams.join(" and at "))
        })
        .collect();
    twice.sort();
    for line in &twice {
        record.note(format!("TWICE: {line}"));
    }
    let summary = format!(
        "{} unsafe requests sent, {lost} answers lost, {} ran more than once",
        outcomes.len(),
        twice.len()
    );
    Ok(match twice.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(summary),
    })
}
