// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Work at a full server gets the time that sound work needs, and slow servers are told from hanging ones.

use std::time::Duration;

use basaltarch_decide::allowance::{AllowanceTerms, LongWork, TimeAllowance};
use basaltarch_decide::hang::UsualTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use test_case::test_case;

const MEDIAN_MS: f64 = 300.0;
const SPREAD: f64 = 0.5;
const DEADLINE: Duration = Duration::from_secs(10);
const OBJECTIVE: Duration = Duration::from_millis(800);

fn terms() -> AllowanceTerms {
    AllowanceTerms {
        left: DEADLINE,
        objective_left: OBJECTIVE,
        usual: Some(UsualTime { median_ln: (MEDIAN_MS * 1000.0).ln(), spread: SPREAD }),
        full: true,
        siblings: LongWork::default(),
    }
}

// The usual time of 99 in 100 is 961 ms.
#[test_case(terms(), 961 ; "as long as nearly all sound work takes")]
#[test_case(AllowanceTerms { full: false, ..terms() }, 10_000 ; "all of its time where a slot is free")]
#[test_case(AllowanceTerms { usual: None, ..terms() }, 10_000 ; "all of its time where none is usual")]
#[test_case(AllowanceTerms { left: Duration::from_millis(500), ..terms() }, 500 ; "never more than is left")]
#[test_case(AllowanceTerms { objective_left: Duration::from_secs(3), ..terms() }, 3000 ; "its objective in any case")]
fn verify_the_time_that_work_is_given(terms: AllowanceTerms, wanted_ms: u64) {
    let mut allowance = TimeAllowance::default();
    (0..4).for_each(|_| allowance.note_passed(Duration::ZERO));
    let given = allowance.give(&terms, Duration::ZERO);
    assert_eq!(given.time.as_millis() as u64, wanted_ms);
}

/// A server of ten slots that is asked for more than it can do for a minute of its own time; work hangs
/// with this probability, and takes so many times as long as is usual. Returns how much work it did.
fn done(hangs: f64, times: f64, bounded: bool) -> u32 {
    const SLOTS: usize = 10;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let usual = LogNormal::new((MEDIAN_MS / 1000.0).ln(), SPREAD).expect("a distribution");
    let mut allowance = TimeAllowance::default();
    let mut free_at = [Duration::ZERO; SLOTS];
    let mut done = 0;
    loop {
        let slot = (0..SLOTS).min_by_key(|slot| free_at[*slot]).expect("a slot");
        let now = free_at[slot];
        if now >= Duration::from_secs(60) {
            return done;
        }
        let given = allowance.give(&AllowanceTerms { full: bounded, ..terms() }, now);
        let needs = Duration::from_secs_f64(times * usual.sample(&mut rng));
        let answered = !rng.random_bool(hangs) && needs <= given.time;
        let took = if answered { needs } else { given.time };
        let passed = took > given.late_after;
        if passed {
            allowance.note_passed(now + given.late_after);
        }
        if answered {
            allowance.note_answered(&given, took, passed, now + took);
            done += 1;
        }
        free_at[slot] = now + took;
    }
}

#[test]
fn verify_a_full_server_that_hangs_does_more_work() {
    // Measured: 524 and 1100 pieces of work in a minute.
    let (before, after) = (done(0.08, 1.0, false), done(0.08, 1.0, true));
    assert!(f64::from(after) > 1.5 * f64::from(before), "{before} and {after}");
}

#[test]
fn verify_a_full_server_that_became_slow_is_not_taken_for_one_that_hangs() {
    // Work takes six times as long as usual: with the bound alone next to none would end.
    let (all, bounded) = (done(0.0, 6.0, false), done(0.0, 6.0, true));
    assert!(f64::from(bounded) > 0.8 * f64::from(all), "{all} and {bounded}");
}
