//! Runs one case of the second independent review: `review-harness-2 CASE FOLDER
//! with|without`, from the root of the repository; the last word says whether the disruption is played. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod client;
mod fleet;
mod frozen;
mod http;
mod late_heartbeat;
mod left;
mod record;
mod restored;
mod reused_address;
mod twice;
mod upstream;

use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::path::Path;
use std::process::{self, ExitCode};
use std::thread;
use std::time::Duration;

use cases::Verdict;
use record::Record;

/// Longest time that a case runs.
const RUN_TIME_MAX: Duration = Duration::from_secs(110);

fn play(case: &str, record: &Record, with_trouble: bool) -> io::Result<Verdict> {
    match case {
        "twice" => twice::run(record, with_trouble),
        "frozen" => frozen::run(record, with_trouble),
        "late-heartbeat" => late_heartbeat::run(record, with_trouble),
        "reused-address" => reused_address::run(record, with_trouble),
        "restored" => restored::run(record, with_trouble),
        "left" => left::run(record, with_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Ends the run when its time is over. The processes that were started end with this one.
fn end_in_time(record: &Record, folder: &str) {
    let record = record.clone();
    let path = Path::new(folder).join("record.txt");
    thread::spawn(move || {
        thread::sleep(RUN_TIME_MAX);
        let line = "the case couldn't run: its time is over";
        record.note(line);
        println!("{line}");
        let _ = record.write(&path);
        process::exit(2);
    });
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, disruption] = arguments.as_slice() else {
        eprintln!("usage: review-harness-2 CASE FOLDER with|without");
        return ExitCode::from(2);
    };
    let with_trouble = match disruption.as_str() {
        "with" => true,
        "without" => false,
        _ => {
            eprintln!("the disruption is played `with` or `without`");
            return ExitCode::from(2);
        }
    };
    let record = Record::new();
    record.note(format!("case {case}, {} trouble", if with_trouble { "with" } else { "without" }));
    end_in_time(&record, folder);
    let played = panic::catch_unwind(AssertUnwindSafe(|| play(case, &record, with_trouble)));
    let result = played.unwrap_or_else(|_| Err(io::Error::other("the harness failed")));
    let (line, code) = match result {
        Ok(Verdict::Held(summary)) => (format!("the rule held: {summary}"), 0),
        Ok(Verdict::Broken(summary)) => (format!("the rule was broken: {summary}"), 1),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.note(&line);
    println!("{line}");
    if let Err(error) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt can't be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
