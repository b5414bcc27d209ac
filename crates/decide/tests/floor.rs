// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The capacity floor holds for any anomaly scores, losses of upstreams and changes of the
//! configuration. Guards against ejections that leave a service with too few slots.

use std::time::Duration;

use basaltarch_decide::balance::{ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::floor::{self, CapacityEntry};
use basaltarch_decide::health::HealthReport;
use basaltarch_decide::server_rate::{KnownRate, RateReport};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn report(sickness: f64, ejected: bool) -> HealthReport {
    HealthReport {
        sickness,
        ejected,
        median_ln: 10.0,
        spread: 0.5,
        failure_rate: 0.0,
        overdue_rate: 0.0,
        samples: 100,
        ramp: 1.0,
        trial_in: Duration::from_secs(3600),
        doubtful: false,
    }
}

#[test_case(0.7, 60, 42 ; "seven tenths")]
#[test_case(0.7, 10, 7 ; "no rounding up by a floating-point error")]
#[test_case(0.0, 60, 0 ; "no floor")]
#[test_case(1.0, 60, 60 ; "all")]
#[test_case(0.5, 3, 2 ; "rounded up")]
fn verify_floor_slots(share: f64, configured: u32, slots: u32) {
    assert_eq!(floor::floor_slots(share, configured), slots);
}

#[test]
fn verify_the_highest_scores_are_avoided_first_and_ties_go_by_position() {
    let entry = |score| CapacityEntry { slots: 4, usable: 4, available: true, score };
    let entries = [entry(1.5), entry(3.0), entry(1.5), entry(0.0), entry(0.2)];
    let plan = floor::plan(0.6, &entries);
    assert_eq!(plan.avoided, [true, true, false, false, false]);
    assert_eq!((plan.in_service, plan.floor), (12, 12));
}

#[test]
fn verify_upstreams_that_are_down_count_against_the_floor() {
    let anomalous = CapacityEntry { slots: 4, usable: 4, available: true, score: 2.0 };
    let down = CapacityEntry { available: false, ..anomalous };
    let healthy = CapacityEntry { score: 0.0, ..anomalous };
    let plan = floor::plan(0.5, &[anomalous, down, down, healthy]);
    assert_eq!(plan.avoided, [false; 4], "half is in service, which is the floor");
    let plan = floor::plan(0.5, &[anomalous, down, healthy, healthy]);
    assert_eq!(plan.avoided, [true, false, false, false]);
}

fn any_entry() -> impl Strategy<Value = CapacityEntry> {
    (1..8_u32, 0..8_u32, any::<bool>(), prop_oneof![Just(0.0), 0.0..5.0_f64]).prop_map(
        |(slots, usable, available, score)| CapacityEntry {
            slots,
            usable: usable.min(slots),
            available,
            score,
        },
    )
}

#[derive(Debug, Clone)]
enum ViewChange {
    Report(usize, f64, bool),
    Draining(usize, bool),
    Reachable(usize, bool),
    Rate(usize, KnownRate),
    Choose {
        excluded: Vec<usize>,
        full: Vec<usize>,
        repeatable: bool,
        must_take: bool,
        is_last: bool,
    },
    Wait(u64),
    /// A change of the configuration: of the floor, of the slots, and of the number of upstreams.
    Configure(f64, Vec<u32>),
}

fn any_request() -> impl Strategy<Value = ViewChange> {
    let indexes = || prop::collection::vec(0..30_usize, 0..3);
    (indexes(), indexes(), any::<bool>(), any::<bool>(), any::<bool>()).prop_map(
        |(excluded, full, repeatable, must_take, is_last)| ViewChange::Choose {
            excluded,
            full,
            repeatable,
            must_take,
            is_last,
        },
    )
}

fn any_change() -> impl Strategy<Value = ViewChange> {
    prop_oneof![
        (0..30_usize, 0.0..6.0_f64, any::<bool>())
            .prop_map(|(i, s, e)| ViewChange::Report(i, s, e)),
        (0..30_usize, any::<bool>()).prop_map(|(i, on)| ViewChange::Draining(i, on)),
        (0..30_usize, any::<bool>()).prop_map(|(i, on)| ViewChange::Reachable(i, on)),
        (
            0..30_usize,
            prop_oneof![Just(KnownRate::Unlimited), (0.0..50.0_f64).prop_map(KnownRate::PerSecond)]
        )
            .prop_map(|(i, rate)| ViewChange::Rate(i, rate)),
        any_request(),
        (0..100_000_u64).prop_map(ViewChange::Wait),
        (0.0..=1.0_f64, prop::collection::vec(1..6_u32, 1..25))
            .prop_map(|(floor, slots)| ViewChange::Configure(floor, slots)),
    ]
}

/// Runs `cases` cases from a fixed seed, so that every run tests the same cases.
fn fixed_seed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed(600))]

    #[test]
    fn verify_a_plan_never_avoids_below_the_floor(
        share in 0.0..=1.0_f64,
        entries in prop::collection::vec(any_entry(), 0..30),
    ) {
        let plan = floor::plan(share, &entries);
        prop_assert!(plan.holds());
        let in_service: u32 = entries
            .iter()
            .zip(&plan.avoided)
            .filter(|(entry, avoided)| entry.available && !**avoided)
            .map(|(entry, _)| entry.usable)
            .sum();
        prop_assert_eq!(in_service, plan.in_service);
        for (entry, avoided) in entries.iter().zip(&plan.avoided) {
            prop_assert!(!avoided || (entry.available && entry.score >= 1.0));
        }
    }

    #[test]
    fn verify_two_ingresses_with_the_same_reports_avoid_the_same_upstreams(
        share in 0.0..=1.0_f64,
        entries in prop::collection::vec(any_entry(), 0..30),
    ) {
        prop_assert_eq!(floor::plan(share, &entries), floor::plan(share, &entries));
    }

    #[test]
    fn verify_no_order_of_events_breaks_the_floor(
        share in 0.0..=1.0_f64,
        slots in prop::collection::vec(1..6_u32, 1..25),
        changes in prop::collection::vec(any_change(), 1..80),
    ) {
        let views = slots.iter().map(|slots| LoadView::new(*slots, true)).collect();
        let mut view = ServiceView::new(share, views);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut now = Duration::ZERO;
        for change in changes {
            match change {
                ViewChange::Report(index, sickness, ejected) => {
                    view.note_report(index, 1, report(sickness, ejected), now);
                }
                ViewChange::Draining(index, on) => view.note_draining(index, on),
                ViewChange::Reachable(index, on) => view.note_reachable(index, on, false),
                ViewChange::Rate(index, known) => {
                    let report = RateReport { known, turn_in: Duration::from_millis(300) };
                    view.note_rate(index, &report, now);
                }
                ViewChange::Wait(millis) => now += Duration::from_millis(millis),
                ViewChange::Configure(floor, slots) => view = configured(&view, floor, &slots),
                ViewChange::Choose { excluded, full, repeatable, must_take, is_last } => {
                    let choice = view.choose(
                        now,
                        &ChoiceRequest {
                            excluded: &excluded,
                            full: &full,
                            repeatable,
                            must_take,
                            is_last,
                            ..ChoiceRequest::default()
                        },
                        &mut rng,
                    );
                    prop_assert!(view.plan().holds());
                    if let Some(choice) = choice {
                        check_choice(&view, choice, &excluded, must_take)?;
                    }
                }
            }
            prop_assert_eq!(view.violations(), 0);
        }
    }
}

/// Builds the view under a changed configuration; upstreams that stay in the configuration keep
/// their state.
fn configured(old: &ServiceView, floor: f64, slots: &[u32]) -> ServiceView {
    let views = slots.iter().enumerate().map(|(index, slots)| match old.upstreams().get(index) {
        Some(known) => LoadView { slots: *slots, own_in_flight: 0, ..*known },
        None => LoadView::new(*slots, true),
    });
    ServiceView::new(floor, views.collect())
}

/// Checks that a dispatch is refusable only if the floor holds without the upstream, as a refusal
/// would otherwise take the capacity below the floor.
fn check_choice(
    view: &ServiceView,
    choice: basaltarch_decide::balance::UpstreamChoice,
    excluded: &[usize],
    must_take: bool,
) -> Result<(), TestCaseError> {
    let chosen = &view.upstreams()[choice.index];
    let avoided = view.plan().avoided[choice.index];
    prop_assert!(chosen.reachable && !chosen.draining);
    prop_assert!(!excluded.contains(&choice.index));
    prop_assert!(!(must_take && choice.refusable));
    if choice.refusable && !avoided {
        prop_assert!(view.plan().allows_removal(chosen.usable_slots() as u32));
    }
    Ok(())
}
