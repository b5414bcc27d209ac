//! Answers that have begun when the daemon beside their upstream stands still.

use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::{self, Fleet, Route, Verdict};
use crate::client::{self, Ended, Outcome};
use crate::record::Record;
use crate::upstream::AnswerStyle;

const ARCHIVE: &str = "contest-desk";
const OTHER: &str = "solver-app";
const MACHINES: usize = 10;
/// The daemon that stands still, one of ten machines.
const FROZEN: usize = 0;
const FREEZE: Duration = Duration::from_millis(3500);
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after the route's time-out by which a final answer must have come.
const HELD: Duration = Duration::from_millis(500);
const EPISODES: usize = 3;
/// Requests of an episode: one for each slot of the upstream.
const AT_ONCE: usize = 4;
/// Unanswered requests from which the rule is broken.
const UNANSWERED_MIN: usize = 8;
const DEADLINE_MS: u64 = 4000;

pub fn run(record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    let routes = [
        Route {
            name: "r-sheet",
            prefix: "/sheet/",
            kind: "safe",
            timeout_s: ROUTE_TIMEOUT.as_secs_f64(),
            objective_s: 0.8,
            service: ARCHIVE,
        },
        Route {
            name: "r-fetch",
            prefix: "/fetch/",
            kind: "safe",
            timeout_s: 2.0,
            objective_s: 0.8,
            service: OTHER,
        },
    ];
    let document = cases::config(7, &routes, &[ARCHIVE, OTHER]);
    let mut specs = vec![cases::spec(FROZEN, ARCHIVE, AT_ONCE, 400)];
    specs[0].style = AnswerStyle::Pieces { count: 16, bytes: 256 * 1024 };
    specs.extend((1..MACHINES).map(|index| cases::spec(index, OTHER, 4, 100)));
    let mut fleet = Fleet::start(record, &document, specs)?;
    fleet.await_served("/sheet/warm")?;
    fleet.await_served("/fetch/warm")?;
    let mut outcomes = Vec::new();
    for episode in 0..EPISODES {
        // The machines that hold the requests have gone without trouble for more than contactS.
        thread::sleep(cases::CONTACT + Duration::from_secs(2));
        outcomes.extend(play(&fleet, episode, with_trouble));
    }
    fleet.check_running()?;
    fleet.keep_logs();
    let took = |outcome: &Outcome| outcome.ended.saturating_sub(outcome.sent);
    let past = |limit: Duration| outcomes.iter().filter(|each| took(each) > limit).count();
    let (outlasted, unanswered) = (past(ROUTE_TIMEOUT), past(ROUTE_TIMEOUT + HELD));
    for outcome in outcomes.iter().filter(|each| took(each) > ROUTE_TIMEOUT + HELD) {
        record.note(format!(
            "CONFIG: {} at daemon {} had no final answer for {:.3} s",
            outcome.id,
            outcome.daemon,
            took(outcome).as_secs_f64()
        ));
    }
    let answered = outcomes.iter().filter(|each| each.end == Ended::Answered(200)).count();
    let summary = format!(
        "{} requests sent, {answered} answered with 200, {outlasted} outlasted the time-out, \
         {unanswered} had no final answer half a second later",
        outcomes.len()
    );
    // Both forms of the rule: eight or more and over a quarter, and more than half.
    Ok(match unanswered >= UNANSWERED_MIN && unanswered * 2 > outlasted {
        true => Verdict::Broken(summary),
        false => Verdict::Held(summary),
    })
}

/// Sends a request to the upstream beside the daemon that stands still from each of some other
/// daemons, and stops that daemon once all answers have begun.
fn play(fleet: &Fleet, episode: usize, with_trouble: bool) -> Vec<Outcome> {
    let record = &fleet.record;
    let (sender, begun) = mpsc::channel();
    let threads: Vec<_> = (0..AT_ONCE)
        .map(|number| {
            let daemon = 1 + number;
            let request = cases::get(&format!("s{episode}-{number}"), "/sheet/2f", DEADLINE_MS);
            let (address, record, sender) = (fleet.callers(daemon), record.clone(), sender.clone());
            thread::spawn(move || {
                client::run(&record, daemon, address, &request, move || {
                    let _ = sender.send(());
                })
            })
        })
        .collect();
    for _ in 0..AT_ONCE {
        let _ = begun.recv_timeout(Duration::from_secs(1));
    }
    if with_trouble {
        let process = &fleet.daemons[FROZEN].process;
        process.freeze(record);
        let until = Instant::now() + FREEZE;
        // The other machines serve their callers all the while.
        let mut number = 0;
        while Instant::now() < until {
            let daemon = 1 + number % (MACHINES - 1);
            let request = cases::get(&format!("o{episode}-{number}"), "/fetch/2f", 2000);
            client::run(record, daemon, fleet.callers(daemon), &request, || {});
            number += 1;
        }
        process.resume(record);
    }
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}
