// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Where work waits when the servers near by are full, and what distance costs it.

use std::time::Duration;

use basaltarch_decide::balance::places::PlaceRequest;
use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::distance::ByteMean;
use basaltarch_decide::health::HealthReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Duration = Duration::from_millis(10);
const USUAL: Duration = Duration::from_millis(400);
/// Time that a megabyte to another failure domain is worth.
const WORTH: Duration = Duration::from_secs(10);
const SLOTS: u32 = 8;

fn report(doubtful: bool) -> HealthReport {
    HealthReport {
        sickness: 0.0,
        ejected: false,
        median_ln: (USUAL.as_micros() as f64).ln(),
        spread: 0.4,
        failure_rate: 0.0,
        overdue_rate: 0.0,
        samples: 50,
        ramp: 1.0,
        trial_in: Duration::from_secs(1),
        doubtful,
    }
}

/// Two servers near by and four far ones, with this load.
fn service(near: u32, far: u32) -> ServiceView {
    let views = (0..6).map(|index| LoadView::new(SLOTS, index < 2)).collect();
    let mut view = ServiceView::new(0.5, views);
    view.note_median(report(false).median_ln);
    for index in 0..6 {
        let load = if index < 2 { near } else { far };
        view.note_report(index, load, report(false), NOW);
    }
    view
}

fn mean(bytes: u64) -> ByteMean {
    let mut mean = ByteMean::default();
    mean.note(bytes);
    mean
}

// 100 kB are worth a second, two and a half rounds of work.
#[test_case(100_000, 10, ChoiceGround::Waiting ; "a download waits near by")]
#[test_case(100_000, 40, ChoiceGround::Sound ; "but not for longer than its bytes are worth")]
#[test_case(500, 10, ChoiceGround::Sound ; "a lookup makes room")]
fn verify_the_heavy_stays_near_and_the_light_goes_far(bytes: u64, near: u32, ground: ChoiceGround) {
    let mut view = service(near, 1);
    let near_rounds = mean(bytes).rounds(WORTH, Some(USUAL));
    let request = ChoiceRequest { near_rounds, ..ChoiceRequest::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..100 {
        let choice = view.choose(NOW, &request, &mut rng).expect("an upstream");
        let is_near = choice.index < 2;
        assert_eq!((choice.ground, is_near), (ground, ground == ChoiceGround::Waiting));
    }
}

#[test]
fn verify_nothing_waits_for_bytes_unless_they_are_given_a_worth() {
    assert_eq!(mean(100_000).rounds(Duration::ZERO, Some(USUAL)), 0.0);
    assert_eq!(
        ByteMean::default().rounds(WORTH, Some(USUAL)),
        0.0,
        "nothing is known of the route"
    );
    assert_eq!(mean(100_000).rounds(WORTH, None), 0.0, "nor of its time");
}

#[test]
fn verify_sizes_follow_what_callers_ask_for() {
    let mut sizes = mean(100_000);
    (0..60).for_each(|_| sizes.note(1000));
    assert!(sizes.rounds(WORTH, Some(USUAL)) < 0.1, "{sizes:?}");
}

/// Counts the places that are drawn at each upstream.
fn drawn(view: &mut ServiceView, repeatable: bool) -> Vec<usize> {
    let request = PlaceRequest { count: 2, repeatable, near_rounds: 0.0 };
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut counts = vec![0; view.upstreams().len()];
    for _ in 0..600 {
        let places = view.draw_places(NOW, &request, |_| true, &mut rng);
        assert_eq!(places.len(), 2);
        assert_ne!(places[0], places[1], "two places at one host are worth one");
        places.into_iter().for_each(|index| counts[index] += 1);
    }
    counts
}

#[test]
fn verify_places_are_near_by_until_others_have_less_to_do() {
    let counts = drawn(&mut service(12, 12), true);
    assert_eq!(counts[2..].iter().sum::<usize>(), 0, "{counts:?}");
    let counts = drawn(&mut service(24, 12), true);
    assert_eq!(counts[..2].iter().sum::<usize>(), 0, "{counts:?}");
    // However old the reports are, no host gets all of them.
    assert!(counts[2..].iter().all(|count| *count > 200), "{counts:?}");
}

#[test_case(8, false ; "once-only work")]
#[test_case(8, true ; "work that can be repeated")]
#[test_case(40, false ; "once-only work that waits for many rounds")]
#[test_case(40, true ; "work that can be repeated and waits for many rounds")]
fn verify_nobody_waits_at_a_suspect_while_a_trusted_server_fits(load: u32, repeatable: bool) {
    let mut view = service(load, load);
    view.note_report(0, 0, report(true), NOW);
    assert_eq!(drawn(&mut view, repeatable)[0], 0, "idle as it is");
    for index in 1..6 {
        view.note_report(index, load, report(true), NOW);
    }
    assert!(drawn(&mut view, repeatable)[0] > 0, "there is no other");
}
