// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Where a request waits when the local servers are full. Guards against large transfers between
//! failure domains, and against reservations at servers that fail or hang.

use std::time::Duration;

use basaltarch_decide::balance::reservations::ReservationRequest;
use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::distance::ByteMean;
use basaltarch_decide::health::HealthReport;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const NOW: Duration = Duration::from_millis(10);
const USUAL: Duration = Duration::from_millis(400);
/// Waiting time that is preferred to sending a megabyte to another failure domain.
const WAIT_PER_MEGABYTE: Duration = Duration::from_secs(10);
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

/// Builds the view of two local servers with load `local` and four remote ones with load `remote`.
fn service(local: u32, remote: u32) -> ServiceView {
    let views = (0..6).map(|index| LoadView::new(SLOTS, index < 2)).collect();
    let mut view = ServiceView::new(0.5, views);
    view.note_median(report(false).median_ln);
    for index in 0..6 {
        let load = if index < 2 { local } else { remote };
        view.note_report(index, load, report(false), NOW);
    }
    view
}

fn mean(bytes: u64) -> ByteMean {
    let mut mean = ByteMean::default();
    mean.note(bytes);
    mean
}

// 100 kB are worth a second of waiting, two and a half service rounds.
#[test_case(100_000, 10, ChoiceGround::Waiting ; "a download waits for a local server")]
#[test_case(100_000, 40, ChoiceGround::Sound ; "but not for longer than its bytes are worth")]
#[test_case(500, 10, ChoiceGround::Sound ; "a lookup goes to a remote server")]
fn verify_large_transfers_stay_local_and_small_ones_go_to_remote_servers(
    bytes: u64,
    local: u32,
    ground: ChoiceGround,
) {
    let mut view = service(local, 1);
    let local_wait_rounds = mean(bytes).rounds(WAIT_PER_MEGABYTE, Some(USUAL));
    let request = ChoiceRequest { local_wait_rounds, ..ChoiceRequest::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..100 {
        let choice = view.choose(NOW, &request, &mut rng).expect("an upstream");
        let is_local = choice.index < 2;
        assert_eq!((choice.ground, is_local), (ground, ground == ChoiceGround::Waiting));
    }
}

#[test]
fn verify_sizes_cost_nothing_unless_a_megabyte_has_a_price() {
    assert_eq!(mean(100_000).rounds(Duration::ZERO, Some(USUAL)), 0.0);
    assert_eq!(
        ByteMean::default().rounds(WAIT_PER_MEGABYTE, Some(USUAL)),
        0.0,
        "no size is known of the route"
    );
    assert_eq!(mean(100_000).rounds(WAIT_PER_MEGABYTE, None), 0.0, "no usual time is known");
}

#[test]
fn verify_the_mean_size_follows_recent_transfers() {
    let mut sizes = mean(100_000);
    (0..60).for_each(|_| sizes.note(1000));
    assert!(sizes.rounds(WAIT_PER_MEGABYTE, Some(USUAL)) < 0.1, "{sizes:?}");
}

/// Counts the reservations that are drawn at each upstream.
fn count_drawn_reservations(view: &mut ServiceView, repeatable: bool) -> Vec<usize> {
    let request = ReservationRequest { count: 2, repeatable, local_wait_rounds: 0.0 };
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut counts = vec![0; view.upstreams().len()];
    for _ in 0..600 {
        let reservations = view.draw_reservations(NOW, &request, |_| true, &mut rng);
        assert_eq!(reservations.len(), 2);
        assert_ne!(reservations[0], reservations[1], "two reservations at one host count as one");
        reservations.into_iter().for_each(|index| counts[index] += 1);
    }
    counts
}

#[test]
fn verify_reservations_are_local_until_remote_servers_are_less_loaded() {
    let counts = count_drawn_reservations(&mut service(12, 12), true);
    assert_eq!(counts[2..].iter().sum::<usize>(), 0, "{counts:?}");
    let counts = count_drawn_reservations(&mut service(24, 12), true);
    assert_eq!(counts[..2].iter().sum::<usize>(), 0, "{counts:?}");
    // The reservations are spread over all remote servers, however old the load reports are.
    assert!(counts[2..].iter().all(|count| *count > 200), "{counts:?}");
}

#[test_case(8, false ; "non-repeatable request")]
#[test_case(8, true ; "repeatable request")]
#[test_case(40, false ; "non-repeatable request that waits for many rounds")]
#[test_case(40, true ; "repeatable request that waits for many rounds")]
fn verify_no_reservation_goes_to_an_open_breaker_while_a_healthy_server_fits(
    load: u32,
    repeatable: bool,
) {
    let mut view = service(load, load);
    view.note_report(0, 0, report(true), NOW);
    assert_eq!(
        count_drawn_reservations(&mut view, repeatable)[0],
        0,
        "no reservation goes to the idle suspect"
    );
    for index in 1..6 {
        view.note_report(index, load, report(true), NOW);
    }
    assert!(
        count_drawn_reservations(&mut view, repeatable)[0] > 0,
        "reservations go to a suspect if there are only suspects"
    );
}
