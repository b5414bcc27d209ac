//! Runs one case of the second independent review: `review-harness-2 CASE FOLDER`, from the root of
//! the repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

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

use std::path::Path;
use std::process::ExitCode;

use cases::Verdict;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-harness-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.note(format!("case {case}, {} trouble", if with_trouble { "with" } else { "without" }));
    let result = match case.as_str() {
        "twice" => twice::run(&record, with_trouble),
        "frozen" => frozen::run(&record, with_trouble),
        "late-heartbeat" => late_heartbeat::run(&record, with_trouble),
        "reused-address" => reused_address::run(&record, with_trouble),
        "restored" => restored::run(&record, with_trouble),
        "left" => left::run(&record, with_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
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
