// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Balancing, path health, budgets and limits.

use std::time::Duration;

use basaltarch_decide::balance::{ChoiceGround, ChoiceRequest, LoadView, ServiceView};
use basaltarch_decide::baseline::{RecentAnswers, RouteBaseline};
use basaltarch_decide::budget::{BudgetTerms, RetryBudget};
use basaltarch_decide::evidence::ServiceBaseline;
use basaltarch_decide::health::HealthReport;
use basaltarch_decide::limits::{self, LimitLedger, LimitVerdict, TokenBucket};
use basaltarch_decide::path::{PathHealth, PathState, ASK_AFTER, SILENCE_MAX};
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

/// Chooses `count` times without load changing and tells how often each upstream was chosen.
fn shares(view: &mut ServiceView, count: usize) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut shares = vec![0; view.upstreams().len()];
    for _ in 0..count {
        let choice = view
            .choose(
                millis(10),
                &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() },
                &mut rng,
            )
            .expect("an upstream");
        shares[choice.index] += 1;
    }
    shares
}

#[test]
fn verify_the_own_failure_domain_comes_first_until_it_is_loaded() {
    let views = (0..6).map(|index| LoadView::new(4, index < 2)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..6 {
        view.note_report(index, 0, healthy(20.0), millis(0));
    }
    assert_eq!(shares(&mut view, 300)[2..].iter().sum::<usize>(), 0);
    for index in 0..2 {
        view.note_report(index, 4, healthy(20.0), millis(10));
    }
    assert!(shares(&mut view, 300)[2..].iter().sum::<usize>() > 250);
}

/// Chooses over 40 s and answers each choice at once; tells how often each upstream was chosen.
fn answered_shares(view: &mut ServiceView, answers: impl Fn(usize) -> bool) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut shares = vec![0; view.upstreams().len()];
    for step in 0..400 {
        let now = millis(10_000 + step * 100);
        let choice = view
            .choose(now, &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() }, &mut rng)
            .expect("an upstream");
        shares[choice.index] += 1;
        view.note_sent(choice.index);
        if answers(choice.index) {
            view.note_over(choice.index);
            view.note_report(choice.index, 0, healthy(20.0), now);
        }
    }
    shares
}

#[test]
fn verify_an_ingress_hears_of_upstreams_beyond_its_own_failure_domain() {
    let views = (0..8).map(|index| LoadView::new(4, index < 2)).collect();
    let mut view = ServiceView::new(0.5, views);
    let shares = answered_shares(&mut view, |_| true);
    assert!(shares[2..].iter().all(|count| *count > 0), "{shares:?}");
    let far = shares[2..].iter().sum::<usize>();
    assert!(far <= 40, "{far} of 400: one request in ten at the most");
}

#[test]
fn verify_an_ingress_that_has_enough_to_compare_with_stays_in_its_failure_domain() {
    let views = (0..8).map(|index| LoadView::new(4, index < 5)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..8 {
        view.note_report(index, 0, healthy(20.0), millis(9_900));
    }
    let shares = answered_shares(&mut view, |_| true);
    assert!(shares[5..].iter().sum::<usize>() <= 2, "{shares:?}");
}

#[test]
fn verify_no_request_goes_to_hear_of_a_silent_or_leaving_upstream() {
    let views = (0..8).map(|index| LoadView::new(4, index < 2)).collect();
    let mut view = ServiceView::new(0.2, views);
    view.note_draining(3, true);
    view.note_reachable(4, false, false);
    let shares = answered_shares(&mut view, |index| index != 5);
    assert_eq!((shares[3], shares[4]), (0, 0), "{shares:?}");
    assert_eq!(shares[5], 1, "one that owes an answer gets no more: {shares:?}");
}

#[test]
fn verify_an_upstream_that_is_just_linked_again_takes_what_nobody_else_can() {
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
    assert_eq!(choose(&[0, 1]), None, "the way to the third is cut");
}

#[test]
fn verify_repeatable_work_finds_out_at_once_when_a_doubted_upstream_is_due() {
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
    assert!((0..100).all(|_| choose(100, true) != 17), "it is not due yet");
    assert_eq!(choose(210, true), 17, "the next repeatable work finds out");
    assert!((0..100).all(|_| choose(210, false) != 17), "other work does not");
}

#[test]
fn verify_quick_errors_draw_no_traffic() {
    let views = (0..5).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    view.note_median((20_000_f64).ln());
    for index in 0..5 {
        view.note_report(index, 1, healthy(if index == 0 { 0.2 } else { 20.0 }), millis(10));
    }
    let shares = shares(&mut view, 1000);
    assert!(shares[0] < 420, "{shares:?}: a fifth, doubled by the better of two, and no more");
}

#[test]
fn verify_slow_but_healthy_upstreams_are_not_starved() {
    let views = (0..5).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    view.note_median((20_000_f64).ln());
    for index in 0..5 {
        let median = if index == 0 { 30.0 } else { 20.0 };
        // Under equal load the slow one has had its requests longer.
        view.note_report(index, 1, healthy(median), millis(10));
    }
    assert!(shares(&mut view, 1000)[0] > 20);
}

#[test]
fn verify_a_suspect_is_passed_over_while_others_have_room_and_asked_again_soon() {
    let views = (0..4).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..4 {
        let sickness = if index == 0 { 1.2 } else { 0.0 };
        view.note_report(index, 1, HealthReport { sickness, ..healthy(20.0) }, millis(10));
    }
    let passed_over = shares(&mut view, 300)[0];
    assert!(passed_over < 40, "{passed_over}: its daemon is not sure yet, callers need not wait");
    assert!(view.plan().avoided.iter().all(|avoided| !avoided), "it stays in service");
    for index in 1..4 {
        view.note_report(index, 40, healthy(20.0), millis(10));
    }
    assert!(shares(&mut view, 300)[0] > 20, "it takes what the others have no room for");
    for index in 1..4 {
        view.note_report(index, 1, healthy(20.0), millis(10));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let later = millis(10_000);
    let asked = (0..100).filter(|_| {
        let choice = view
            .choose(
                later,
                &ChoiceRequest { repeatable: true, ..ChoiceRequest::default() },
                &mut rng,
            )
            .expect("an upstream");
        choice.index == 0
    });
    assert!(asked.count() > 10, "an old suspicion is worth nothing");
}

#[test]
fn verify_one_whose_attempt_was_late_is_passed_over_until_it_is_heard_of() {
    let views = (0..4).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..4 {
        view.note_report(index, 1, healthy(20.0), millis(5));
    }
    view.note_late(0, millis(8));
    assert!(shares(&mut view, 300)[0] < 40, "it is silent");
    assert!(view.plan().avoided.iter().all(|avoided| !avoided), "it stays in service");
    view.note_report(0, 1, healthy(20.0), millis(9));
    assert!(shares(&mut view, 300)[0] > 40, "it answered another request meanwhile");
}

#[test]
fn verify_one_that_just_returned_is_not_overrun() {
    let views = (0..5).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for index in 0..5 {
        let ramp = if index == 0 { 0.1 } else { 1.0 };
        let load = if index == 0 { 0 } else { 2 };
        view.note_report(index, load, HealthReport { ramp, ..healthy(20.0) }, millis(10));
    }
    let shares = shares(&mut view, 1000);
    assert!(shares[0] < 100, "{shares:?}");
}

#[test]
fn verify_own_requests_count_before_any_report() {
    let views = (0..2).map(|_| LoadView::new(4, true)).collect();
    let mut view = ServiceView::new(0.5, views);
    for _ in 0..4 {
        view.note_sent(0);
    }
    let shares = shares(&mut view, 1000);
    assert!(shares[0] < 300, "{shares:?}");
}

#[test]
fn verify_a_path_is_cut_when_questions_stay_unanswered() {
    let mut path = PathHealth::new(Duration::ZERO);
    assert!(!path.ask(millis(100), true), "heard a moment ago");
    assert!(!path.ask(ASK_AFTER, false), "nobody uses it");
    assert!(path.ask(ASK_AFTER, true));
    assert_eq!(path.state(ASK_AFTER + SILENCE_MAX), PathState::Up);
    let late = ASK_AFTER + SILENCE_MAX + millis(1);
    assert_eq!(path.state(late), PathState::Cut);
    path.note_heard(late + millis(10));
    assert_eq!(path.state(late + millis(10)), PathState::Proving, "a late frame proves little");
    path.note_answer(late + millis(20));
    assert_eq!(path.state(late + millis(20)), PathState::Up);
}

#[test]
fn verify_a_flapping_path_must_prove_itself_longer() {
    let mut path = PathHealth::new(Duration::ZERO);
    let mut now = Duration::ZERO;
    let mut needed = Vec::new();
    for _ in 0..4 {
        path.note_broken(now);
        let mut answers = 0;
        while path.state(now) != PathState::Up {
            now += millis(250);
            path.note_answer(now);
            answers += 1;
        }
        needed.push(answers);
    }
    assert_eq!(needed, [1, 2, 4, 8]);
}

#[test]
fn verify_the_budget_allows_a_share_of_the_requests() {
    const WINDOW: Duration = Duration::from_secs(10);
    let terms = BudgetTerms { share: 0.1, extra: 3.0, window: WINDOW };
    let mut budget = RetryBudget::new(terms);
    // A hundred requests a second, after a quiet hour that must not save anything up.
    let times = (0..10_000).map(|number| Duration::from_millis(3_600_000 + number * 10));
    let mut repeats: Vec<Duration> = Vec::new();
    for now in times {
        budget.note_request(now);
        if budget.take(now) {
            repeats.push(now);
        }
        let in_window = repeats.iter().filter(|at| now.saturating_sub(**at) < WINDOW).count();
        let requests = (now.as_millis() as usize - 3_600_000) / 10 + 1;
        let allowed = requests.min(1000) / 10 + 3;
        assert!(in_window <= allowed, "{in_window} of {allowed} at {now:?}");
    }
    // Most of what is allowed can be used.
    assert!(repeats.len() > 850, "{}", repeats.len());
    let mut none = RetryBudget::new(BudgetTerms { share: 0.0, extra: 0.0, window: WINDOW });
    none.note_request(Duration::ZERO);
    assert!(!none.take(Duration::ZERO));
}

#[test]
fn verify_a_split_gives_each_part_its_share_and_many_ingresses_do_not_begin_alike() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let weights = [90, 0, 10];
    let mut counts = [0; 3];
    for _ in 0..200 {
        let mut split = WeightedSplit::default();
        let mut own = [0_i32; 3];
        for _ in 0..15 {
            own[split.choose(&weights, &mut rng)] += 1;
        }
        assert!((own[0] - 13).abs() <= 2, "{own:?}");
        for (count, own) in counts.iter_mut().zip(own) {
            *count += own;
        }
    }
    assert_eq!(counts[1], 0, "a part without weight gets nothing");
    assert!((2640..=2760).contains(&counts[0]), "{counts:?}");
}

#[test]
fn verify_the_baseline_is_the_siblings_and_one_sick_server_moves_it_not() {
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
fn verify_failures_of_many_others_count_as_shared_and_of_one_do_not() {
    let base = ServiceBaseline { upstreams: 10, ..ServiceBaseline::default() };
    let adjusted = |failing: u32| {
        let mut recent = RecentAnswers::default();
        for number in 0..30 {
            let upstream = number % 10;
            recent.note(upstream, upstream < failing, None, &base, millis(u64::from(number)));
        }
        let mut baseline = base;
        recent.adjust(9, &mut baseline, millis(100));
        baseline.failure_rate
    };
    assert_eq!(adjusted(1), 0.0);
    assert!(adjusted(5) > 0.4);
}

#[test]
fn verify_a_shift_of_the_last_answers_of_all_others_counts_as_shared_at_once() {
    let base = ServiceBaseline { median_ln: 10.0, upstreams: 6, ..ServiceBaseline::default() };
    let usual = Duration::from_micros(10_f64.exp() as u64);
    let shift = |late: u32| {
        let mut recent = RecentAnswers::default();
        for number in 0..40 {
            let took = if number >= 40 - late { usual * 8 } else { usual };
            recent.note(1 + number % 5, false, Some(took), &base, millis(u64::from(number)));
        }
        let mut baseline = base;
        recent.adjust(0, &mut baseline, millis(100));
        baseline.median_ln - base.median_ln
    };
    assert_eq!(shift(0), 0.0);
    assert_eq!(shift(3), 0.0, "a few stragglers move nothing");
    assert!((shift(4) - 8_f64.ln()).abs() < 0.01);
    assert!((shift(20) - 8_f64.ln()).abs() < 0.01);
}

#[test]
fn verify_every_daemon_finds_the_same_home_and_homes_are_spread() {
    let hosts: Vec<String> = (0..20).map(|number| format!("host-{number}")).collect();
    let mut counts = vec![0; hosts.len()];
    for limit in 0..2000 {
        let name = format!("limit-{limit}");
        let forward = limits::home_of(&name, hosts.iter().map(String::as_str));
        let back = limits::home_of(&name, hosts.iter().rev().map(String::as_str));
        assert_eq!(forward, back);
        let home = hosts.iter().position(|host| Some(host.as_str()) == forward).expect("home");
        counts[home] += 1;
    }
    assert!(counts.iter().all(|count| (50..=160).contains(count)), "{counts:?}");
}

/// Runs so many cases, the same ones each time.
fn fixed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Whatever the ingresses do, what they admit is bounded by what the home granted.
    #[test]
    fn verify_ingresses_never_use_more_than_was_granted(
        rate in 1.0..500.0_f64,
        burst in 1.0..200.0_f64,
        steps in prop::collection::vec((0..4_usize, 0..300_u64), 1..400),
    ) {
        let mut home = TokenBucket::new(rate, burst, Duration::ZERO);
        let mut ledgers = [LimitLedger::new(Duration::ZERO); 4];
        let mut now = Duration::ZERO;
        let mut passed = 0.0;
        for (ingress, wait) in steps {
            now += millis(wait);
            let ledger = &mut ledgers[ingress];
            if let LimitVerdict::Ask(wanted) = ledger.admit(now) {
                let granted = home.take_up_to(wanted, now);
                ledger.note_grant(granted, millis(10), now);
            } else if ledger.admit(now) == LimitVerdict::Pass {
                passed += 1.0;
            }
            prop_assert!(passed <= burst + rate * now.as_secs_f64() + 1.0);
        }
    }
}

/// Six upstreams of four slots in one failure domain, the first two doubted, the others with this load.
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

#[test_case(5, true ; "a little beyond the slots")]
#[test_case(9, true ; "one round waits")]
#[test_case(40, false ; "overrun")]
fn verify_work_waits_at_a_sound_upstream_rather_than_hang_unless_it_is_overrun(
    load: u32,
    waits: bool,
) {
    let mut view = busy_view(load);
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..100 {
        let choice = view.choose(millis(11), &ChoiceRequest::default(), &mut rng).expect("one");
        assert_eq!(choice.ground == ChoiceGround::Waiting, waits, "{choice:?}");
        assert!(!waits || choice.index >= 2, "{choice:?}");
    }
}

#[test]
fn verify_the_last_choice_is_one_that_is_known_to_be_sound_though_full() {
    let mut view = ServiceView::new(0.5, (0..6).map(|_| LoadView::new(4, true)).collect());
    view.note_report(3, 4, healthy(20.0), millis(10));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        let request = ChoiceRequest { full: &[3], is_last: true, ..ChoiceRequest::default() };
        let choice = view.choose(millis(11), &request, &mut rng).expect("one");
        assert_eq!((choice.index, choice.ground), (3, ChoiceGround::Waiting));
        let request = ChoiceRequest { full: &[3], ..ChoiceRequest::default() };
        let choice = view.choose(millis(11), &request, &mut rng).expect("one");
        assert_ne!(choice.index, 3, "others are asked first");
    }
}

#[test]
fn verify_calls_of_repeated_work_are_taken_off_the_budget() {
    let terms = BudgetTerms { share: 0.2, extra: 2.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::new(terms);
    (0..10).for_each(|_| budget.note_request(millis(1)));
    (0..4).for_each(|_| budget.note_repeat(millis(2)));
    assert!(!budget.take(millis(3)), "all four of the window are spent");
}

#[test]
fn verify_a_path_is_asked_for_a_sign_of_life_after_a_late_attempt() {
    let mut path = PathHealth::new(millis(0));
    assert!(!path.ask(millis(400), false), "an idle path is left alone");
    path.note_late();
    assert!(path.ask(millis(400), false));
    path.note_heard(millis(410));
    assert!(!path.ask(millis(900), false), "it was heard of since");
}

/// A service that is full: its sound upstreams have so many requests each in ten slots and a queue of 16, one
/// hangs and has idle slots. Returns how often work goes to that one.
fn to_idle_suspect(load: u32, repeatable: bool) -> usize {
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

// Calls that would be refused get a part of what a hanging server still does.
#[test_case(26, true, 200 ; "repeatable work that would be refused at the sound ones")]
#[test_case(20, true, 0 ; "repeatable work that can wait at a sound one")]
#[test_case(26, false, 0 ; "work that must not hang")]
fn verify_repeatable_work_uses_idle_suspects_before_it_is_refused(
    load: u32,
    repeatable: bool,
    wanted: usize,
) {
    assert_eq!(to_idle_suspect(load, repeatable), wanted);
}

#[test_case(true ; "out of service")]
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
            // The server refuses the trial, which says nothing of it: the next is due at once.
            view.note_report(index, 0, health, millis(at));
        }
    }
    assert!(tried.iter().all(|count| *count > 20), "{tried:?}");
}
