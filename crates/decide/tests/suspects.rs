// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A chain of crashes refuses a request in the whole fleet; a good run anywhere takes that back.

use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::fingerprint::{RequestFingerprint, FINGERPRINT_BYTES};
use basaltarch_decide::suspects::{
    CopyVerdict, CrashTally, SuspectTable, SuspectWord, REFUSED_CRASHES, SUSPECTS_MAX,
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

fn word(number: usize, round: u32, crashes: u32) -> SuspectWord {
    SuspectWord {
        fingerprint: request(number),
        tally: CrashTally { round, crashes },
        seen_ago: Duration::ZERO,
        upstream: Rc::from("server-1"),
    }
}

/// Lets a request crash one server after the other.
fn crash(table: &mut SuspectTable, number: usize, times: u32, now: Duration) {
    for _ in 0..times {
        let before = table.tally(&request(number));
        assert!(table.note_crash(request(number), before, "server-1", now).is_some());
    }
}

fn judge(table: &mut SuspectTable, number: usize, is_home: bool, now: Duration) -> CopyVerdict {
    table.judge(&request(number), || is_home, now)
}

#[test]
fn verify_a_chain_of_crashes_refuses_a_request_until_it_runs_well() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, REFUSED_CRASHES - 1, NOW);
    assert!(!table.tally(&request(1)).allows_repeat());
    assert_eq!(judge(&mut table, 1, true, NOW), CopyVerdict::Serve);
    crash(&mut table, 1, 1, NOW);
    let refused = CopyVerdict::Refuse { retry_after: TRIAL_EVERY };
    assert_eq!(judge(&mut table, 1, true, NOW), refused);
    assert_eq!(judge(&mut table, 2, true, NOW), CopyVerdict::Serve);
    // One that was under way when the request was refused.
    assert!(table.note_success(&request(1), NOW).is_some());
    assert_eq!(judge(&mut table, 1, true, NOW), CopyVerdict::Serve);
    assert!(table.tally(&request(1)).allows_repeat());
    assert_eq!(table.note_success(&request(1), NOW), None, "nothing is left to take back");
}

#[test]
fn verify_servers_that_crash_together_are_one_crash() {
    let mut table = SuspectTable::default();
    let before = table.tally(&request(1));
    let risen = (0..50).filter(|_| table.note_crash(request(1), before, "s", NOW).is_some());
    assert_eq!(risen.count(), 1, "their runs began before any was known");
    assert_eq!(table.tally(&request(1)).crashes, 1);
}

#[test]
fn verify_a_run_that_began_before_a_good_one_ended_says_nothing() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, 2, NOW);
    let before = table.tally(&request(1));
    table.note_success(&request(1), NOW);
    assert_eq!(table.note_crash(request(1), before, "server-1", NOW), None);
    assert_eq!(table.tally(&request(1)).crashes, 0);
}

#[test]
fn verify_one_daemon_tries_a_refused_request_once_in_a_while() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, REFUSED_CRASHES, NOW);
    let due = NOW + TRIAL_EVERY;
    let refused = CopyVerdict::Refuse { retry_after: Duration::ZERO };
    assert_eq!(judge(&mut table, 1, false, due), refused, "another daemon makes the trials");
    assert_eq!(judge(&mut table, 1, true, due), CopyVerdict::Trial);
    assert_ne!(judge(&mut table, 1, true, due), CopyVerdict::Trial);
    // It crashed a server again, in a trial at another daemon.
    assert!(table.note_word(&word(1, 0, REFUSED_CRASHES + 1), due + TRIAL_EVERY));
    assert_ne!(judge(&mut table, 1, true, due + TRIAL_EVERY), CopyVerdict::Trial);
}

#[test]
fn verify_a_request_that_keeps_coming_is_not_forgotten() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, REFUSED_CRASHES, NOW);
    let later = NOW + SUSPECT_LIFE * 3 / 4;
    assert_ne!(judge(&mut table, 1, false, later), CopyVerdict::Serve);
    table.forget_old(NOW + SUSPECT_LIFE);
    assert!(!table.is_empty(), "a copy came since");
    let words = table.words(NOW + SUSPECT_LIFE);
    table.forget_old(later + SUSPECT_LIFE);
    assert!(table.is_empty());
    // Another daemon counts on from when the copy was seen, not from when it heard of it.
    let mut other = SuspectTable::default();
    assert!(other.note_word(&words[0], NOW + SUSPECT_LIFE));
    other.forget_old(later + SUSPECT_LIFE);
    assert!(other.is_empty());
}

#[test]
fn verify_many_different_bad_requests_push_no_refused_one_out() {
    let mut table = SuspectTable::default();
    crash(&mut table, 0, REFUSED_CRASHES, NOW);
    for number in 1..5 * SUSPECTS_MAX {
        crash(&mut table, number, 1, NOW + Duration::from_millis(number as u64));
    }
    assert_eq!(table.words(NOW).len(), SUSPECTS_MAX);
    assert_eq!(table.refused(), 1);
    assert_eq!(table.tally(&request(5 * SUSPECTS_MAX - 1)).crashes, 1, "the latest stays");
}

#[test]
fn verify_what_a_daemon_tells_too_late_is_no_news() {
    let mut table = SuspectTable::default();
    let old = SuspectWord { seen_ago: SUSPECT_LIFE, ..word(1, 0, 3) };
    assert!(!table.note_word(&old, NOW));
    assert!(table.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// Daemons that hear the same words in any order, some of them twice, remember the same.
    #[test]
    fn verify_daemons_that_tell_each_other_agree(
        words in prop::collection::vec((0_usize..6, 0_u32..4, 0_u32..6), 1..40),
        turn in 0_usize..40,
    ) {
        let (mut left, mut right) = (SuspectTable::default(), SuspectTable::default());
        for (number, round, crashes) in &words {
            left.note_word(&word(*number, *round, *crashes), NOW);
        }
        let start = turn % words.len();
        for (number, round, crashes) in words[start..].iter().chain(&words) {
            right.note_word(&word(*number, *round, *crashes), NOW);
        }
        prop_assert_eq!(left.digest(NOW), right.digest(NOW));
        for number in 0..6 {
            prop_assert_eq!(left.tally(&request(number)), right.tally(&request(number)));
        }
        for word in left.words(NOW) {
            prop_assert!(!right.note_word(&word, NOW));
        }
    }
}
