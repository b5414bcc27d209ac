// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Servers that begin to hang, and how much work that can't be repeated they are given before nobody trusts them.

use std::time::Duration;

use basaltarch_decide::proof::ProofTerms;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use test_case::test_case;

const USUAL: Duration = Duration::from_millis(500);

fn terms(running: u32, quiet_ms: Option<u64>) -> ProofTerms {
    ProofTerms { running, quiet: quiet_ms.map(Duration::from_millis), usual: Some(USUAL) }
}

#[test_case(terms(0, None), false ; "nothing runs and nobody knows: one piece finds out")]
#[test_case(terms(1, None), true ; "a first piece is finding out")]
#[test_case(terms(4, Some(100)), false ; "work ended a moment ago")]
#[test_case(terms(4, Some(500)), true ; "four run and nothing ends")]
#[test_case(terms(1, Some(500)), false ; "one runs and is not late")]
#[test_case(ProofTerms { usual: None, ..terms(4, Some(500)) }, false ; "what is usual is not known")]
fn verify_a_server_is_proven_for_as_long_as_its_ends_say(terms: ProofTerms, unproven: bool) {
    assert_eq!(terms.is_unproven(), unproven);
}

/// `ServerPlay` is what became of the work that was offered to one server for a while.
struct ServerPlay {
    taken: usize,
    hung: usize,
    passed_on: usize,
}

/// Plays a server of eight slots that gets eight pieces of once-only work a second; from five seconds on it hangs with
/// three of four pieces, for five seconds.
fn play(hangs: bool, proven: bool) -> ServerPlay {
    const STEP: Duration = Duration::from_millis(5);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let times = LogNormal::new(USUAL.as_secs_f64().ln(), 0.3).expect("a distribution");
    let mut running: Vec<Option<Duration>> = Vec::new();
    let mut ended_at = None;
    let mut end = ServerPlay { taken: 0, hung: 0, passed_on: 0 };
    for step in 0..2000 {
        let now = STEP * step;
        let before = running.len();
        running.retain(|ends| ends.is_none_or(|at| at > now));
        if running.len() < before {
            ended_at = Some(now);
        }
        if !rng.random_bool(8.0 * STEP.as_secs_f64()) {
            continue;
        }
        let quiet = ended_at.map(|at| now.saturating_sub(at));
        let terms = ProofTerms { running: running.len() as u32, quiet, usual: Some(USUAL) };
        if running.len() == 8 || proven && terms.is_unproven() {
            end.passed_on += 1;
            continue;
        }
        let is_hung = hangs && now > Duration::from_secs(5) && rng.random_bool(0.75);
        let ends = now + Duration::from_secs_f64(times.sample(&mut rng));
        running.push((!is_hung).then_some(ends));
        end.taken += 1;
        end.hung += usize::from(is_hung);
    }
    end
}

#[test]
fn verify_a_server_that_hangs_is_given_little_once_only_work() {
    let (with, without) = (play(true, true), play(true, false));
    assert_eq!(without.hung, 8, "it takes work until all its slots hang");
    assert!(with.hung <= 5, "{} hung", with.hung);
}

#[test]
fn verify_a_sound_server_is_seldom_passed_by() {
    let sound = play(false, true);
    let share = sound.passed_on as f64 / (sound.taken + sound.passed_on) as f64;
    assert!(share < 0.25, "{share} passed on");
}
