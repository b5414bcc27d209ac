// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Adaptive timeouts: a request at a full server gets the time that a healthy request needs, and
//! slow servers are distinguished from hanging ones. Guards against hanging requests that hold the
//! slots of a full server, and against time-outs of requests that would be answered.

use std::time::Duration;

use basaltarch_decide::adaptive_timeout::{AdaptiveTimeout, SlowRequests, TimeoutTerms};
use basaltarch_decide::hang::UsualTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use test_case::test_case;

const MEDIAN_MS: f64 = 300.0;
const SPREAD: f64 = 0.5;
const DEADLINE: Duration = Duration::from_secs(10);
const OBJECTIVE: Duration = Duration::from_millis(800);

fn terms() -> TimeoutTerms {
    TimeoutTerms {
        left: DEADLINE,
        objective_left: OBJECTIVE,
        usual: Some(UsualTime { median_ln: (MEDIAN_MS * 1000.0).ln(), spread: SPREAD }),
        full: true,
        siblings: SlowRequests::default(),
    }
}

// 99 in 100 requests usually take at most 961 ms.
#[test_case(terms(), 961 ; "the time of nearly all healthy requests")]
#[test_case(TimeoutTerms { full: false, ..terms() }, 10_000
            ; "all the time left where a slot is free")]
#[test_case(TimeoutTerms { usual: None, ..terms() }, 10_000
            ; "all the time left without a known usual time")]
#[test_case(TimeoutTerms { left: Duration::from_millis(500), ..terms() }, 500
            ; "never more than the time left")]
#[test_case(TimeoutTerms { objective_left: Duration::from_secs(3), ..terms() }, 3000
            ; "at least until the objective")]
fn verify_the_timeout_of_a_request(terms: TimeoutTerms, expected_ms: u64) {
    let mut adaptive_timeout = AdaptiveTimeout::default();
    (0..4).for_each(|_| adaptive_timeout.note_overrun(Duration::ZERO));
    let timeout = adaptive_timeout.timeout_for(&terms, Duration::ZERO);
    assert_eq!(timeout.time.as_millis() as u64, expected_ms);
}

/// Simulates an overloaded server of ten slots for a minute of simulated time. A request hangs with
/// probability `hangs` and otherwise takes `slowdown` times its typical service time. Returns the
/// number of requests that completed.
fn count_completed(hangs: f64, slowdown: f64, is_adaptive: bool) -> u32 {
    const SLOTS: usize = 10;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let usual = LogNormal::new((MEDIAN_MS / 1000.0).ln(), SPREAD).expect("a distribution");
    let mut adaptive_timeout = AdaptiveTimeout::default();
    let mut free_at = [Duration::ZERO; SLOTS];
    let mut completed = 0;
    loop {
        let slot = (0..SLOTS).min_by_key(|slot| free_at[*slot]).expect("a slot");
        let now = free_at[slot];
        if now >= Duration::from_secs(60) {
            return completed;
        }
        let timeout =
            adaptive_timeout.timeout_for(&TimeoutTerms { full: is_adaptive, ..terms() }, now);
        let needed_time = Duration::from_secs_f64(slowdown * usual.sample(&mut rng));
        let answered = !rng.random_bool(hangs) && needed_time <= timeout.time;
        let running_time = if answered { needed_time } else { timeout.time };
        let is_overrun = running_time > timeout.late_after;
        if is_overrun {
            adaptive_timeout.note_overrun(now + timeout.late_after);
        }
        if answered {
            adaptive_timeout.note_answered(&timeout, running_time, is_overrun, now + running_time);
            completed += 1;
        }
        free_at[slot] = now + running_time;
    }
}

#[test]
fn verify_adaptive_timeouts_raise_the_throughput_of_a_full_server_that_hangs() {
    // 659 requests complete in a minute with the fixed timeout, and 1161 with the adaptive one.
    let (fixed, adaptive) = (count_completed(0.08, 1.0, false), count_completed(0.08, 1.0, true));
    assert!(f64::from(adaptive) > 1.5 * f64::from(fixed), "{fixed} and {adaptive}");
}

#[test]
fn verify_a_full_server_that_became_slow_does_not_count_as_hanging() {
    // Requests take six times as long as usual. With a timeout for requests of the usual time, next
    // to none would complete.
    let (fixed, adaptive) = (count_completed(0.0, 6.0, false), count_completed(0.0, 6.0, true));
    assert!(f64::from(adaptive) > 0.8 * f64::from(fixed), "{fixed} and {adaptive}");
}
