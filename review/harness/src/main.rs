//! `review-case NUMBER FOLDER TEMPORARY`: plays one case of the review.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment, it does the same without the disruption.

mod client;
mod early_answer;
mod early_refusal;
mod evacuation;
mod fleet;
mod late_heartbeat;
mod message;
mod record;
mod repeated_body;
mod scene;
mod unframed_answer;
mod upstream;

use std::env;
use std::io;
use std::path::PathBuf;
use std::process;

use scene::CaseScene;

/// Exit status if the rule was broken.
const EXIT_BROKEN: i32 = 1;
/// Exit status if the case couldn't run.
const EXIT_NOT_RUN: i32 = 2;

/// `CaseResult` is what a case found.
pub struct CaseResult {
    /// Descriptions of broken rules.
    pub broken: Vec<String>,
    /// What was done, for the last lines of the record.
    pub summary: String,
}

fn play() -> io::Result<CaseResult> {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder, temporary] = &arguments[..] else {
        return Err(io::Error::other("usage: review-case NAME FOLDER TEMPORARY"));
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let place = scene::prepare(&PathBuf::from(folder), PathBuf::from(temporary))?;
    let record = place.record.clone();
    record.line(format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let result = match case.as_str() {
        "repeated-body" => repeated_body::play(&place, has_trouble),
        "early-refusal" => early_refusal::play(&place, has_trouble),
        "evacuation" => evacuation::play(&place, has_trouble),
        "late-heartbeat" => late_heartbeat::play(&place, has_trouble),
        "unframed-answer" => unframed_answer::play(&place, has_trouble),
        "early-answer" => early_answer::play(&place, has_trouble),
        other => Err(io::Error::other(format!("no case {other}"))),
    };
    match &result {
        Ok(found) => {
            record.line(&found.summary);
            record.line(format!("the rule was broken {} times", found.broken.len()));
        }
        Err(error) => record.line(format!("the case couldn't run: {error}")),
    }
    result
}

/// Collects what the ledger of a scene found.
pub fn result_of(scene: &CaseScene, summary: String) -> CaseResult {
    let broken = scene.ledger.broken.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    CaseResult { broken: broken.clone(), summary }
}

fn main() {
    let status = match play() {
        Ok(result) => {
            println!("{}", result.summary);
            for text in result.broken.iter().take(5) {
                println!("broken: {text}");
            }
            println!("the rule was broken {} times", result.broken.len());
            if result.broken.is_empty() {
                0
            } else {
                EXIT_BROKEN
            }
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            EXIT_NOT_RUN
        }
    };
    process::exit(status);
}
