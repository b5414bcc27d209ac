// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Load probes: when upstreams are probed before a request is sent, and which of the probed
//! upstreams is chosen. Guards against probes that cost more time than they save.

use std::time::Duration;

use basaltarch_decide::probing::{self, ProbeYield, ProbedLoad, FRESH_FOR, PROBE_EVERY};
use test_case::test_case;

const IDLE: ProbedLoad = ProbedLoad {
    in_flight: 0,
    queued: 0,
    slots: 4,
    doubtful: false,
    draining: false,
    ejected: false,
};

#[test_case(&[ProbedLoad { in_flight: 3, ..IDLE }, ProbedLoad { in_flight: 1, ..IDLE }], 1
            ; "the less loaded")]
#[test_case(&[ProbedLoad { in_flight: 2, ..IDLE },
              ProbedLoad { in_flight: 3, slots: 8, ..IDLE }], 1
            ; "the less loaded for its slots")]
#[test_case(&[ProbedLoad { doubtful: true, ..IDLE }, ProbedLoad { in_flight: 3, ..IDLE }], 1
            ; "one that is not doubted")]
#[test_case(&[ProbedLoad { in_flight: 3, ..IDLE }, ProbedLoad { draining: true, ..IDLE }], 0
            ; "one that is not draining")]
#[test_case(&[ProbedLoad { in_flight: 4, ..IDLE },
              ProbedLoad { in_flight: 4, queued: 2, ..IDLE }], 0
            ; "of full ones the shorter queue")]
fn verify_the_better_upstream_is_chosen(loads: &[ProbedLoad], best: usize) {
    assert_eq!(probing::best(loads), Some(best));
}

#[test]
fn verify_no_upstream_is_best_where_none_answered() {
    assert_eq!(probing::best(&[]), None);
}

#[test]
fn verify_a_probe_is_worth_a_round_trip_that_is_short_for_the_time_left() {
    let time_left = Duration::from_millis(150);
    let report_age = Some(Duration::from_secs(1));
    assert!(probing::is_worthwhile(report_age, Some(Duration::from_millis(1)), time_left));
    assert!(probing::is_worthwhile(None, None, time_left), "nothing is known");
    assert!(
        !probing::is_worthwhile(report_age, Some(Duration::from_millis(40)), time_left),
        "a long round trip"
    );
    assert!(!probing::is_worthwhile(
        Some(FRESH_FOR / 2),
        Some(Duration::from_millis(1)),
        time_left
    ));
}

#[test]
fn verify_probes_stop_where_all_are_full_and_resume_with_free_slots() {
    let mut probe_yield = ProbeYield::default();
    let mut probed = 0;
    for _ in 0..1000 {
        if probe_yield.should_probe() {
            probed += 1;
            probe_yield.note(false);
        }
    }
    assert!(probed <= 1000 / PROBE_EVERY + 16, "{probed} probes for 1000 requests at full servers");
    let mut successes = 0;
    while !(probe_yield.should_probe() && probe_yield.should_probe()) {
        probe_yield.note(true);
        successes += 1;
        assert!(successes <= 64, "probes don't resume");
    }
}
