// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A request that crashes one server after the other is refused in the whole fleet, until the
//! request completes successfully at any server. Guards against a request that crashes the whole
//! fleet, and against the refusal of requests that only ran while a server crashed.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::fingerprint::{RequestFingerprint, FINGERPRINT_BYTES};
use basaltarch_decide::suspects::{
    CopyVerdict, CrashTally, SuspectNotice, SuspectTable, REFUSED_CRASHES, SUSPECTS_MAX,
    SUSPECT_LIFE, TRIAL_EVERY,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Duration = Duration::from_secs(1000);

fn request(number: usize) -> RequestFingerprint {
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes[..8].copy_from_slice(&(number as u64).to_be_bytes());
    RequestFingerprint::from_bytes(&bytes).expect("a fingerprint")
}

fn notice(number: usize, round: u32, crashes: u32) -> SuspectNotice {
    SuspectNotice {
        fingerprint: request(number),
        tally: CrashTally { round, crashes },
        seen_ago: Duration::ZERO,
        upstream: Rc::from("server-1"),
    }
}

/// Records that a request crashed `times` servers one after the other.
fn record_crashes(table: &mut SuspectTable, number: usize, times: u32, now: Duration) {
    for _ in 0..times {
        let before = table.tally(&request(number));
        assert!(table.note_crash(request(number), before, "server-1", now).is_some());
    }
}

fn judge(
    table: &mut SuspectTable,
    number: usize,
    makes_trials: bool,
    now: Duration,
) -> CopyVerdict {
    table.judge(&request(number), || makes_trials, now)
}

#[test]
fn verify_a_chain_of_crashes_refuses_a_request_until_it_succeeds() {
    let mut table = SuspectTable::default();
    record_crashes(&mut table, 1, REFUSED_CRASHES - 1, NOW);
    assert!(!table.tally(&request(1)).allows_retry());
    assert_eq!(judge(&mut table, 1, true, NOW), CopyVerdict::Serve);
    record_crashes(&mut table, 1, 1, NOW);
    let refused = CopyVerdict::Refuse { retry_after: TRIAL_EVERY };
    assert_eq!(judge(&mut table, 1, true, NOW), refused);
    assert_eq!(judge(&mut table, 2, true, NOW), CopyVerdict::Serve);
    // A copy that was running when the request became refused completes successfully.
    assert!(table.note_success(&request(1), NOW).is_some());
    assert_eq!(judge(&mut table, 1, true, NOW), CopyVerdict::Serve);
    assert!(table.tally(&request(1)).allows_retry());
    assert_eq!(table.note_success(&request(1), NOW), None, "the suspicion was already cleared");
}

#[test]
fn verify_servers_that_crash_at_once_count_as_one_crash() {
    let mut table = SuspectTable::default();
    let before = table.tally(&request(1));
    let new_crashes = (0..50).filter(|_| table.note_crash(request(1), before, "s", NOW).is_some());
    assert_eq!(new_crashes.count(), 1, "all runs began before any crash was known");
    assert_eq!(table.tally(&request(1)).crashes, 1);
}

#[test]
fn verify_a_run_that_began_before_another_succeeded_does_not_count() {
    let mut table = SuspectTable::default();
    record_crashes(&mut table, 1, 2, NOW);
    let before = table.tally(&request(1));
    table.note_success(&request(1), NOW);
    assert_eq!(table.note_crash(request(1), before, "server-1", NOW), None);
    assert_eq!(table.tally(&request(1)).crashes, 0);
}

#[test]
fn verify_one_daemon_makes_periodic_trials_of_a_refused_request() {
    let mut table = SuspectTable::default();
    record_crashes(&mut table, 1, REFUSED_CRASHES, NOW);
    let due = NOW + TRIAL_EVERY;
    let refused = CopyVerdict::Refuse { retry_after: Duration::ZERO };
    assert_eq!(judge(&mut table, 1, false, due), refused, "another daemon makes the trials");
    assert_eq!(judge(&mut table, 1, true, due), CopyVerdict::Trial);
    assert_ne!(judge(&mut table, 1, true, due), CopyVerdict::Trial);
    // The request crashed a server again, in a trial of another daemon.
    assert!(table.apply_notice(&notice(1, 0, REFUSED_CRASHES + 1), due + TRIAL_EVERY));
    assert_ne!(judge(&mut table, 1, true, due + TRIAL_EVERY), CopyVerdict::Trial);
}

#[test]
fn verify_a_request_that_keeps_arriving_is_not_forgotten() {
    let mut table = SuspectTable::default();
    record_crashes(&mut table, 1, REFUSED_CRASHES, NOW);
    let later = NOW + SUSPECT_LIFE * 3 / 4;
    assert_ne!(judge(&mut table, 1, false, later), CopyVerdict::Serve);
    table.forget_old(NOW + SUSPECT_LIFE);
    assert!(!table.is_empty(), "a copy arrived since");
    let notices = table.notices(NOW + SUSPECT_LIFE);
    table.forget_old(later + SUSPECT_LIFE);
    assert!(table.is_empty());
    // At another daemon, the age of the record is counted from the time when the copy was seen, not
    // from the time when the notice arrived.
    let mut other = SuspectTable::default();
    assert!(other.apply_notice(&notices[0], NOW + SUSPECT_LIFE));
    other.forget_old(later + SUSPECT_LIFE);
    assert!(other.is_empty());
}

#[test]
fn verify_many_other_suspects_do_not_evict_a_refused_one() {
    let mut table = SuspectTable::default();
    record_crashes(&mut table, 0, REFUSED_CRASHES, NOW);
    for number in 1..5 * SUSPECTS_MAX {
        record_crashes(&mut table, number, 1, NOW + Duration::from_millis(number as u64));
    }
    assert_eq!(table.notices(NOW).len(), SUSPECTS_MAX);
    assert_eq!(table.refused(), 1);
    assert_eq!(table.tally(&request(5 * SUSPECTS_MAX - 1)).crashes, 1, "the latest is kept");
}

#[test]
fn verify_an_expired_notice_is_ignored() {
    let mut table = SuspectTable::default();
    let old = SuspectNotice { seen_ago: SUSPECT_LIFE, ..notice(1, 0, 3) };
    assert!(!table.apply_notice(&old, NOW));
    assert!(table.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Daemons that receive the same notices in any order, some notices twice, hold the same table.
    #[test]
    fn verify_daemons_that_notify_each_other_converge(
        notices in prop::collection::vec((0_usize..6, 0_u32..4, 0_u32..6), 1..40),
        offset in 0_usize..40,
    ) {
        let (mut left, mut right) = (SuspectTable::default(), SuspectTable::default());
        for (number, round, crashes) in &notices {
            left.apply_notice(&notice(*number, *round, *crashes), NOW);
        }
        let start = offset % notices.len();
        for (number, round, crashes) in notices[start..].iter().chain(&notices) {
            right.apply_notice(&notice(*number, *round, *crashes), NOW);
        }
        prop_assert_eq!(left.digest(NOW), right.digest(NOW));
        for number in 0..6 {
            prop_assert_eq!(left.tally(&request(number)), right.tally(&request(number)));
        }
        for notice in left.notices(NOW) {
            prop_assert!(!right.apply_notice(&notice, NOW));
        }
    }
}
