// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! How many non-repeatable requests a server that begins to hang is given before it counts as a
//! server without recent progress.
//!
//! Requests sent to a hanging server are lost to their callers, and non-repeatable requests can't
//! be retried at another server.

use std::time::Duration;

use basaltarch_decide::progress::ProgressTerms;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use test_case::test_case;

const USUAL: Duration = Duration::from_millis(500);

fn terms(running: u32, since_success_ms: Option<u64>) -> ProgressTerms {
    ProgressTerms {
        running,
        quiet: since_success_ms.map(Duration::from_millis),
        usual: Some(USUAL),
    }
}

#[test_case(terms(0, None), false ; "nothing runs and nothing is known: one request finds out")]
#[test_case(terms(1, None), true ; "a first request is finding out")]
#[test_case(terms(4, Some(100)), false ; "a request completed a moment ago")]
#[test_case(terms(4, Some(500)), true ; "four run and none completes")]
#[test_case(terms(1, Some(500)), false ; "one runs and is not late")]
#[test_case(ProgressTerms { usual: None, ..terms(4, Some(500)) }, false
            ; "the usual time is not known")]
fn verify_a_server_shows_progress_while_its_requests_keep_completing(
    terms: ProgressTerms,
    unproven: bool,
) {
    assert_eq!(terms.is_unproven(), unproven);
}

/// `ServerSimulation` counts what became of the requests that were offered to one simulated server.
struct ServerSimulation {
    admitted: usize,
    hung: usize,
    declined: usize,
}

/// Simulates a server of eight slots that gets eight non-repeatable requests a second for ten
/// seconds. If `hangs` is true, three of four requests hang from the sixth second on.
fn simulate(hangs: bool, checks_progress: bool) -> ServerSimulation {
    const STEP: Duration = Duration::from_millis(5);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let times = LogNormal::new(USUAL.as_secs_f64().ln(), 0.3).expect("a distribution");
    let mut running: Vec<Option<Duration>> = Vec::new();
    let mut last_completion = None;
    let mut simulation = ServerSimulation { admitted: 0, hung: 0, declined: 0 };
    for step in 0..2000 {
        let now = STEP * step;
        let before = running.len();
        running.retain(|completes_at| completes_at.is_none_or(|at| at > now));
        if running.len() < before {
            last_completion = Some(now);
        }
        if !rng.random_bool(8.0 * STEP.as_secs_f64()) {
            continue;
        }
        let quiet = last_completion.map(|at| now.saturating_sub(at));
        let terms = ProgressTerms { running: running.len() as u32, quiet, usual: Some(USUAL) };
        if running.len() == 8 || checks_progress && terms.is_unproven() {
            simulation.declined += 1;
            continue;
        }
        let is_hung = hangs && now > Duration::from_secs(5) && rng.random_bool(0.75);
        let completes_at = now + Duration::from_secs_f64(times.sample(&mut rng));
        running.push((!is_hung).then_some(completes_at));
        simulation.admitted += 1;
        simulation.hung += usize::from(is_hung);
    }
    simulation
}

#[test]
fn verify_a_hanging_server_is_given_few_non_repeatable_requests() {
    let (with, without) = (simulate(true, true), simulate(true, false));
    assert_eq!(
        without.hung, 8,
        "without the check, the server is given requests until all its slots hang"
    );
    assert!(with.hung <= 5, "{} hung", with.hung);
}

#[test]
fn verify_a_healthy_server_seldom_declines() {
    let healthy = simulate(false, true);
    let share = healthy.declined as f64 / (healthy.admitted + healthy.declined) as f64;
    assert!(share < 0.25, "{share} declined");
}
