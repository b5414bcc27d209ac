// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The decisions of an ingress: load balancing, path health, retry budgets, traffic splits,
//! baselines and rate limits. Guards against requests that are sent to upstreams which are
//! overloaded, faulty or unreachable, although others could serve them.

use std::time::Duration;

use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::baseline::{RecentAnswers, RouteBaseline};
use basaltarch_decide::budget::{BudgetTerms, FleetExtra, RetryBudget};
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::health::HealthReport;
use basaltarch_decide::limits::{self, LimitVerdict, LocalLimiter, TokenBucket};
use basaltarch_decide::path::{PathHealth, PathState, PROBE_AFTER, SILENCE_MAX};
use basaltarch_decide::split::WeightedSplit;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn healthy(median_ms: f64) -> HealthReport {
    HealthReport {
        sickness: 0.0,
        ejected: false,
        median_ln: (median_ms * 1000.0).ln(),
        spread: 0.4,
        failure_rate: 0.0,
        overdue_rate: 0.0,
        samples: 50,
        ramp: 1.0,
        trial_in: Duration::ZERO,
        doubtful: false,
    }
}

/// Chooses `count` times with constant load and returns how often each upstream was chosen.
fn choice_counts(view: &mut ServiceView, count: usize) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut choice_counts = vec![0; view.upstreams().len()];
    for _ in 0..count {
        let choice = view
            .choose(
                millis(10),
                &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() },
                &mut rng,
            )
            .expect("an upstream");
        choice_counts[choice.index] += 1;
    }
    choice_counts
}

#[test]
fn verify_the_local_failure_domain_is_preferred_until_it_is_loaded() {
    let views = (0..6).map(|index| LoadView::new(4, index < 2)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..6 {
        view.note_report(index, 0, healthy(20.0), millis(0));
    }
    assert_eq!(choice_counts(&mut view, 300)[2..].iter().sum::<usize>(), 0);
    for index in 0..2 {
        view.note_report(index, 4, healthy(20.0), millis(10));
    }
    assert!(choice_counts(&mut view, 300)[2..].iter().sum::<usize>() > 250);
}

/// Chooses an upstream every 100 ms for 40 s, and returns how often each upstream was chosen. The
/// upstreams for which `answers` holds answer at once, the others never.
fn answered_choice_counts(view: &mut ServiceView, answers: impl Fn(usize) -> bool) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut choice_counts = vec![0; view.upstreams().len()];
    for step in 0..400 {
        let now = millis(10_000 + step * 100);
        let choice = view
            .choose(now, &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() }, &mut rng)
            .expect("an upstream");
        choice_counts[choice.index] += 1;
        view.note_sent(choice.index);
        if answers(choice.index) {
            view.note_ended(choice.index);
            view.note_report(choice.index, 0, healthy(20.0), now);
        }
    }
    choice_counts
}

#[test]
fn verify_an_ingress_learns_of_upstreams_beyond_its_own_failure_domain() {
    let views = (0..8).map(|index| LoadView::new(4, index < 2)).collect();
    let mut view = ServiceView::new(0.5, views);
    let choice_counts = answered_choice_counts(&mut view, |_| true);
    assert!(choice_counts[2..].iter().all(|count| *count > 0), "{choice_counts:?}");
    let remote = choice_counts[2..].iter().sum::<usize>();
    assert!(remote <= 40, "{remote} of 400, where one request in ten is the maximum");
}

#[test]
fn verify_an_ingress_with_enough_local_siblings_to_compare_stays_in_its_failure_domain() {
    let views = (0..8).map(|index| LoadView::new(4, index < 5)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..8 {
        view.note_report(index, 0, healthy(20.0), millis(9_900));
    }
    let choice_counts = answered_choice_counts(&mut view, |_| true);
    assert!(choice_counts[5..].iter().sum::<usize>() <= 2, "{choice_counts:?}");
}

#[test]
fn verify_no_request_explores_an_unresponsive_or_draining_upstream() {
    let views = (0..8).map(|index| LoadView::new(4, index < 2)).collect();
    let mut view = ServiceView::new(0.2, views);
    view.note_draining(3, true);
    view.note_reachable(4, false, false);
    let choice_counts = answered_choice_counts(&mut view, |index| index != 5);
    assert_eq!((choice_counts[3], choice_counts[4]), (0, 0), "{choice_counts:?}");
    assert_eq!(
        choice_counts[5], 1,
        "an upstream with an unanswered request gets no other: {choice_counts:?}"
    );
}

#[test]
fn verify_an_upstream_whose_link_just_returned_is_the_last_choice() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut view = ServiceView::new(0.5, vec![LoadView::new(4, true); 3]);
    view.note_reachable(1, false, true);
    view.note_reachable(2, false, false);
    let mut choose = |excluded: &[usize]| {
        let choice = view.choose(
            millis(10),
            &ChoiceRequest { excluded, repeatable: true, ..ChoiceRequest::default() },
            &mut rng,
        );
        choice.map(|choice| (choice.index, choice.ground))
    };
    assert!((0..50).all(|_| choose(&[]) == Some((0, ChoiceGround::Near))));
    assert!((0..50).all(|_| choose(&[0]) == Some((1, ChoiceGround::Proving))));
    assert_eq!(choose(&[0, 1]), None, "the path to the third is cut");
}

#[test]
fn verify_the_next_repeatable_request_is_the_trial_when_one_is_due_at_an_open_breaker() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut view = ServiceView::new(0.7, vec![LoadView::new(4, true); 30]);
    for index in 0..30 {
        let doubtful = index == 17;
        let health = HealthReport { doubtful, trial_in: millis(200), ..healthy(20.0) };
        view.note_report(index, 0, health, millis(5));
    }
    let mut choose = |at: u64, repeatable: bool| {
        view.choose(millis(at), &ChoiceRequest { repeatable, ..ChoiceRequest::default() }, &mut rng)
            .expect("an upstream")
            .index
    };
    assert!((0..100).all(|_| choose(100, true) != 17), "no trial is due yet");
    assert_eq!(choose(210, true), 17, "the next repeatable request is the trial");
    assert!((0..100).all(|_| choose(210, false) != 17), "non-repeatable requests are no trials");
}

#[test]
fn verify_fast_errors_attract_no_traffic() {
    let views = (0..5).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    view.note_median((20_000_f64).ln());
    for index in 0..5 {
        view.note_report(index, 1, healthy(if index == 0 { 0.2 } else { 20.0 }), millis(10));
    }
    let choice_counts = choice_counts(&mut view, 1000);
    assert!(
        choice_counts[0] < 420,
        "{choice_counts:?}: at most a fifth, doubled by the choice of two"
    );
}

#[test]
fn verify_slow_but_healthy_upstreams_are_not_starved() {
    let views = (0..5).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    view.note_median((20_000_f64).ln());
    for index in 0..5 {
        let median = if index == 0 { 30.0 } else { 20.0 };
        // All upstreams have the same load, and the requests of the slow one run for longer.
        view.note_report(index, 1, healthy(median), millis(10));
    }
    assert!(choice_counts(&mut view, 1000)[0] > 20);
}

#[test]
fn verify_a_suspect_is_skipped_while_others_have_free_slots_and_tried_again_soon() {
    let views = (0..4).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..4 {
        let sickness = if index == 0 { 1.2 } else { 0.0 };
        view.note_report(index, 1, HealthReport { sickness, ..healthy(20.0) }, millis(10));
    }
    let chosen = choice_counts(&mut view, 300)[0];
    assert!(chosen < 40, "{chosen}: a suspect is skipped before its daemon has ejected it");
    assert!(view.plan().avoided.iter().all(|avoided| !avoided), "it stays in service");
    for index in 1..4 {
        view.note_report(index, 40, healthy(20.0), millis(10));
    }
    assert!(
        choice_counts(&mut view, 300)[0] > 20,
        "the suspect gets requests while the other upstreams have no free slots"
    );
    for index in 1..4 {
        view.note_report(index, 1, healthy(20.0), millis(10));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let later = millis(10_000);
    let choices = (0..100).filter(|_| {
        let choice = view
            .choose(
                later,
                &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() },
                &mut rng,
            )
            .expect("an upstream");
        choice.index == 0
    });
    assert!(choices.count() > 10, "an old report makes no suspect");
}

#[test]
fn verify_an_upstream_whose_attempt_outlasts_its_hedging_delay_is_skipped_until_it_reports() {
    let views = (0..4).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..4 {
        view.note_report(index, 1, healthy(20.0), millis(5));
    }
    view.note_hedge_due(0, millis(8));
    assert!(choice_counts(&mut view, 300)[0] < 40, "no report arrives");
    assert!(view.plan().avoided.iter().all(|avoided| !avoided), "it stays in service");
    view.note_report(0, 1, healthy(20.0), millis(9));
    assert!(choice_counts(&mut view, 300)[0] > 40, "the upstream has answered another request");
}

#[test]
fn verify_an_upstream_that_just_returned_is_not_overloaded() {
    let views = (0..5).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..5 {
        let ramp = if index == 0 { 0.1 } else { 1.0 };
        let load = if index == 0 { 0 } else { 2 };
        view.note_report(index, load, HealthReport { ramp, ..healthy(20.0) }, millis(10));
    }
    let choice_counts = choice_counts(&mut view, 1000);
    assert!(choice_counts[0] < 100, "{choice_counts:?}");
}

#[test]
fn verify_own_requests_count_before_the_first_report() {
    let views = (0..2).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for _ in 0..4 {
        view.note_sent(0);
    }
    let choice_counts = choice_counts(&mut view, 1000);
    assert!(choice_counts[0] < 300, "{choice_counts:?}");
}

#[test]
fn verify_a_path_is_cut_when_probes_stay_unanswered() {
    let mut path = PathHealth::new(Duration::ZERO);
    assert!(!path.probe(millis(100), true), "a frame arrived a moment ago");
    assert!(!path.probe(PROBE_AFTER, false), "the path is not in use");
    assert!(path.probe(PROBE_AFTER, true));
    assert_eq!(path.state(PROBE_AFTER + SILENCE_MAX), PathState::Up);
    let late = PROBE_AFTER + SILENCE_MAX + millis(1);
    assert_eq!(path.state(late), PathState::Cut);
    path.note_frame(late + millis(10));
    assert_eq!(path.state(late + millis(10)), PathState::Proving, "a delayed frame is not enough");
    path.note_answer(late + millis(20));
    assert_eq!(path.state(late + millis(20)), PathState::Up);
}

#[test]
fn verify_a_flapping_path_needs_more_answers_each_time() {
    let mut path = PathHealth::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut answers_needed = Vec::new();
    for _ in 0..4 {
        path.note_broken(now);
        let mut answers = 0;
        while path.state(now) != PathState::Up {
            now += millis(250);
            path.note_answer(now);
            answers += 1;
        }
        answers_needed.push(answers);
    }
    assert_eq!(answers_needed, [1, 2, 4, 8]);
}

#[test]
fn verify_the_budget_allows_a_share_of_the_requests() {
    const WINDOW: Duration = Duration::from_secs(10);
    let terms = BudgetTerms { share: 0.1, extra: 3.0, window: WINDOW };
    let mut budget = RetryBudget::new(terms);
    // A hundred requests a second arrive after an hour without requests. The budget must not grow
    // during that hour.
    let times = (0..10_000).map(|number| Duration::from_millis(3_600_000 + number * 10));
    let mut retries: Vec<Duration> = Vec::new();
    for now in times {
        budget.note_request(now);
        if budget.take(now) {
            retries.push(now);
        }
        let in_window = retries.iter().filter(|at| now.saturating_sub(**at) < WINDOW).count();
        let requests = (now.as_millis() as usize - 3_600_000) / 10 + 1;
        let allowed = requests.min(1000) / 10 + 3;
        assert!(in_window <= allowed, "{in_window} of {allowed} at {now:?}");
    }
    // Most of the retries that the budget allows can be made.
    assert!(retries.len() > 850, "{}", retries.len());
    let mut empty_budget = RetryBudget::new(BudgetTerms { share: 0.0, extra: 0.0, window: WINDOW });
    empty_budget.note_request(Duration::ZERO);
    assert!(!empty_budget.take(Duration::ZERO));
}

// Guards against extra retries that a fleet makes twice within a window because its daemons restart.
#[test_case(true, 0, 2.0 ; "first start")]
#[test_case(false, 0, 0.0 ; "started again")]
#[test_case(false, 9_999, 0.0 ; "within the window")]
#[test_case(false, 10_000, 2.0 ; "after the window")]
fn verify_a_daemon_that_starts_again_has_no_extra_retries_for_a_window(
    is_first_start: bool,
    age_ms: u64,
    expected: f64,
) {
    let extra = FleetExtra { retries: 40.0, daemons: 20, age: millis(age_ms), is_first_start };
    assert_eq!(extra.part(millis(10_000)), expected);
}

#[test]
fn verify_a_split_gives_each_part_its_share_and_ingresses_start_at_different_points() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let weights = [90, 0, 10];
    let mut counts = [0; 3];
    for _ in 0..200 {
        let mut split = WeightedSplit::default();
        let mut own_counts = [0_i32; 3];
        for _ in 0..15 {
            own_counts[split.choose(&weights, &mut rng)] += 1;
        }
        assert!((own_counts[0] - 13).abs() <= 2, "{own_counts:?}");
        for (count, own_counts) in counts.iter_mut().zip(own_counts) {
            *count += own_counts;
        }
    }
    assert_eq!(counts[1], 0, "a part without weight gets nothing");
    assert!((2640..=2760).contains(&counts[0]), "{counts:?}");
}

#[test]
fn verify_the_baseline_is_robust_against_one_faulty_sibling() {
    let mut baseline = RouteBaseline::default();
    for index in 0..9 {
        baseline.note(index, &healthy(20.0));
    }
    baseline.note(9, &HealthReport { failure_rate: 1.0, ..healthy(2000.0) });
    let current = baseline.current();
    assert!((current.median_ln - (20_000_f64).ln()).abs() < 1e-9);
    assert_eq!(current.failure_rate, 0.0);
    assert!(current.is_usable());
}

#[test]
fn verify_failures_of_many_siblings_count_as_shared_and_those_of_one_do_not() {
    let base_baseline = ServiceBaseline { upstreams: 10, ..ServiceBaseline::default() };
    let adjusted = |failing: u32| {
        let mut recent = RecentAnswers::default();
        for number in 0..30 {
            let upstream = number % 10;
            recent.note(
                upstream,
                upstream < failing,
                None,
                &base_baseline,
                millis(u64::from(number)),
            );
        }
        let mut baseline = base_baseline;
        recent.adjust(9, &mut baseline, millis(100));
        baseline.failure_rate
    };
    assert_eq!(adjusted(1), 0.0);
    assert!(adjusted(5) > 0.4);
}

#[test]
fn verify_a_latency_shift_of_all_siblings_counts_as_shared_at_once() {
    let base_baseline =
        ServiceBaseline { median_ln: 10.0, upstreams: 6, ..ServiceBaseline::default() };
    let usual = Duration::from_micros(10_f64.exp() as u64);
    let shift = |late: u32| {
        let mut recent = RecentAnswers::default();
        for number in 0..40 {
            let took = if number >= 40 - late { usual * 8 } else { usual };
            recent.note(
                1 + number % 5,
                false,
                Some(took),
                &base_baseline,
                millis(u64::from(number)),
            );
        }
        let mut baseline = base_baseline;
        recent.adjust(0, &mut baseline, millis(100));
        baseline.median_ln - base_baseline.median_ln
    };
    assert_eq!(shift(0), 0.0);
    assert_eq!(shift(3), 0.0, "a few slow answers shift nothing");
    assert!((shift(4) - 8_f64.ln()).abs() < 0.01);
    assert!((shift(20) - 8_f64.ln()).abs() < 0.01);
}

#[test]
fn verify_every_daemon_finds_the_same_owner_and_owners_are_spread() {
    let hosts: Vec<String> = (0..20).map(|number| format!("host-{number}")).collect();
    let mut counts = vec![0; hosts.len()];
    for limit in 0..2000 {
        let name = format!("limit-{limit}");
        let owner_in_order = limits::owner_of(&name, hosts.iter().map(String::as_str));
        let owner_in_reverse_order =
            limits::owner_of(&name, hosts.iter().rev().map(String::as_str));
        assert_eq!(owner_in_order, owner_in_reverse_order);
        let owner =
            hosts.iter().position(|host| Some(host.as_str()) == owner_in_order).expect("an owner");
        counts[owner] += 1;
    }
    assert!(counts.iter().all(|count| (50..=160).contains(count)), "{counts:?}");
}

/// Runs `cases` cases from a fixed seed, so that every run tests the same cases.
fn fixed_seed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed(300))]

    /// For any sequence of requests, the ingresses admit no more requests than the owner granted.
    #[test]
    fn verify_ingresses_never_admit_more_than_was_granted(
        rate in 1.0..500.0_f64,
        burst in 1.0..200.0_f64,
        steps in prop::collection::vec((0..4_usize, 0..300_u64), 1..400),
    ) {
        let mut owner = TokenBucket::new(rate, burst, Duration::ZERO);
        let mut limiters = [LocalLimiter::new(Duration::ZERO); 4];
        let mut now = Duration::ZERO;
        let mut passed = 0.0;
        for (ingress, wait) in steps {
            now += millis(wait);
            let limiter = &mut limiters[ingress];
            if let LimitVerdict::Ask(wanted) = limiter.admit(now) {
                let granted = owner.take_up_to(wanted, now);
                limiter.note_grant(granted, millis(10), now);
            } else if limiter.admit(now) == LimitVerdict::Pass {
                passed += 1.0;
            }
            prop_assert!(passed <= burst + rate * now.as_secs_f64() + 1.0);
        }
    }
}

/// Builds the view of six upstreams of four slots in one failure domain: the circuit breakers of
/// the first two are open, and each of the others has `load` requests.
fn busy_view(load: u32) -> ServiceView {
    let views = (0..6).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..6 {
        let doubtful = index < 2;
        let health = HealthReport { doubtful, trial_in: millis(900), ..healthy(20.0) };
        view.note_report(index, if doubtful { 0 } else { load }, health, millis(10));
    }
    view
}

#[test_case(5, true ; "slightly more than the slots")]
#[test_case(9, true ; "one round waits")]
#[test_case(40, false ; "overloaded")]
fn verify_requests_wait_at_a_healthy_upstream_unless_it_is_overloaded(load: u32, waits: bool) {
    let mut view = busy_view(load);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..100 {
        let choice = view.choose(millis(11), &ChoiceRequest::default(), &mut rng).expect("one");
        assert_eq!(choice.ground == ChoiceGround::Waiting, waits, "{choice:?}");
        assert!(!waits || choice.index >= 2, "{choice:?}");
    }
}

#[test]
fn verify_the_last_choice_is_an_upstream_known_to_be_healthy_though_full() {
    let mut view = ServiceView::new(0.5, (0..6).map(|_| LoadView::new(4, true)).collect());
    view.note_report(3, 4, healthy(20.0), millis(10));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        let request = ChoiceRequest { full: &[3], is_last: true, ..ChoiceRequest::default() };
        let choice = view.choose(millis(11), &request, &mut rng).expect("one");
        assert_eq!((choice.index, choice.ground), (3, ChoiceGround::Waiting));
        let request = ChoiceRequest { full: &[3], ..ChoiceRequest::default() };
        let choice = view.choose(millis(11), &request, &mut rng).expect("one");
        assert_ne!(choice.index, 3, "others are tried first");
    }
}

// Guards against a request that is sent again to the server that refused it, because the server's
// host had declined it as full before.
#[test]
fn verify_an_upstream_that_got_the_request_is_not_chosen_again_as_full() {
    let mut view = ServiceView::new(0.5, (0..2).map(|_| LoadView::new(4, true)).collect());
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        let (excluded, full) = (&[1, 0][..], &[0][..]);
        let request = ChoiceRequest { excluded, full, is_last: true, ..ChoiceRequest::default() };
        assert!(view.choose(millis(11), &request, &mut rng).is_none());
    }
}

#[test]
fn verify_nested_calls_of_retried_requests_count_against_the_budget() {
    let terms = BudgetTerms { share: 0.2, extra: 2.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::new(terms);
    (0..10).for_each(|_| budget.note_request(millis(1)));
    (0..4).for_each(|_| budget.note_retry(millis(2)));
    assert!(!budget.take(millis(3)), "all four retries of the window are used");
}

#[test]
fn verify_a_path_is_probed_after_a_late_attempt() {
    let mut path = PathHealth::new(millis(0));
    assert!(!path.probe(millis(400), false), "an idle path is not probed");
    path.request_probe();
    assert!(path.probe(millis(400), false));
    path.note_frame(millis(410));
    assert!(!path.probe(millis(900), false), "a frame has arrived since");
}

#[test_case(20, 150 ; "near")]
#[test_case(300, 600 ; "in a distant region")]
fn verify_a_path_is_probed_where_a_reply_does_not_arrive(round_trip_ms: u64, probed_after_ms: u64) {
    let mut path = PathHealth::new(millis(0));
    path.note_round_trip(millis(round_trip_ms));
    path.await_reply(millis(5000));
    path.await_reply(millis(5100));
    assert!(!path.probe(millis(5000 + probed_after_ms - 1), false), "the reply may still arrive");
    assert!(path.probe(millis(5000 + probed_after_ms), false));
    path.note_frame(millis(5010 + probed_after_ms));
    assert!(!path.probe(millis(9000), false), "a frame has arrived since");
}

/// Chooses 200 times in a service of six upstreams with ten slots and a queue of 16 each. The five
/// healthy upstreams have `load` requests each, and the sixth hangs and has idle slots. Returns how
/// often the hanging upstream is chosen.
fn count_choices_of_idle_suspect(load: u32, repeatable: bool) -> usize {
    let mut view = ServiceView::new(0.5, vec![LoadView::new(10, true); 6]).with_queue(16);
    for index in 0..5 {
        view.note_report(index, load, healthy(20.0), millis(5));
    }
    let doubtful =
        HealthReport { doubtful: true, trial_in: Duration::from_secs(3), ..healthy(20.0) };
    view.note_report(5, 1, doubtful, millis(5));
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let request = ChoiceRequest { repeatable, ..ChoiceRequest::default() };
    let choose = |_| view.choose(millis(10), &request, &mut rng).expect("an upstream").index;
    (0..200).map(choose).filter(|index| *index == 5).count()
}

// A hanging server still completes some requests, so a request that all other servers would refuse
// is sent to the hanging one.
#[test_case(26, true, 200 ; "repeatable request that the healthy ones would refuse")]
#[test_case(20, true, 0 ; "repeatable request that can wait at a healthy one")]
#[test_case(26, false, 0 ; "non-repeatable request")]
fn verify_repeatable_requests_use_idle_suspects_before_they_are_refused(
    load: u32,
    repeatable: bool,
    wanted: usize,
) {
    assert_eq!(count_choices_of_idle_suspect(load, repeatable), wanted);
}

#[test_case(true ; "ejected")]
#[test_case(false ; "doubted")]
fn verify_trials_go_to_all_that_are_due_in_turn(ejected: bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut view = ServiceView::new(0.5, vec![LoadView::new(4, true); 30]);
    let sickness = if ejected { 3.0 } else { 0.0 };
    let health = HealthReport { sickness, ejected, doubtful: !ejected, ..healthy(20.0) };
    for index in 0..30 {
        let health = if index < 6 { health } else { healthy(20.0) };
        view.note_report(index, 0, health, millis(5));
    }
    let mut tried = [0; 6];
    for at in 10..310 {
        let request = ChoiceRequest { repeatable: true, ..ChoiceRequest::default() };
        let index = view.choose(millis(at), &request, &mut rng).expect("an upstream").index;
        if index < 6 {
            tried[index] += 1;
            // The server refuses the trial, which is no evidence of its health, so the next trial
            // is due at once.
            view.note_report(index, 0, health, millis(at));
        }
    }
    assert!(tried.iter().all(|count| *count > 20), "{tried:?}");
}
