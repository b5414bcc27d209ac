// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Limits over many ingresses: what callers within a limit wait for, and what one that sends many times its
//! usual gets through.

use std::collections::VecDeque;
use std::time::Duration;

use basaltarch_decide::grants::{GrantQuestion, LimitHome, LimitTolerance};
use basaltarch_decide::limits::{AloneTerms, LimitLedger, LimitVerdict, GRANT_LIFE};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time after which the home hears of what was let in ahead: longer than a frame takes.
const PAID_AFTER: Duration = Duration::from_millis(50);
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: LimitTolerance = LimitTolerance { window: WINDOW, over: 0.1, extra: 20.0 };
const EXACT: LimitTolerance = LimitTolerance { window: WINDOW, over: 0.0, extra: 0.0 };

/// One organisation whose callers send through many ingresses.
struct LimitPlay {
    rate: f64,
    burst: f64,
    tolerance: LimitTolerance,
    home: LimitHome,
    ledgers: Vec<LimitLedger>,
    unpaid: VecDeque<(Duration, usize, f64)>,
    let_in: Vec<Duration>,
    waited: usize,
    refused: usize,
}

impl LimitPlay {
    fn new(rate: f64, burst: f64, ingresses: usize, tolerance: LimitTolerance) -> Self {
        Self {
            rate,
            burst,
            tolerance,
            home: LimitHome::new(rate, burst, Duration::ZERO),
            ledgers: vec![LimitLedger::new(Duration::ZERO); ingresses],
            unpaid: VecDeque::new(),
            let_in: Vec::new(),
            waited: 0,
            refused: 0,
        }
    }

    fn ask(&mut self, ingress: usize, wanted: f64, spent: f64, now: Duration) {
        let asker = format!("host-{ingress}");
        let question = GrantQuestion { asker: &asker, wanted, spent };
        let answer = self.home.answer(self.rate, self.burst, &self.tolerance, &question, now);
        self.ledgers[ingress].note_home(answer.ahead, answer.share, now);
        if wanted > 0.0 {
            let wait = Duration::from_secs_f64(1.0 / self.rate).min(GRANT_LIFE);
            self.ledgers[ingress].note_grant(answer.granted, wait, now);
        }
    }

    fn request(&mut self, ingress: usize, now: Duration) {
        while self.unpaid.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, payer, spent) = self.unpaid.pop_front().expect("there is one");
            self.ask(payer, 0.0, spent, now);
        }
        for _ in 0..2 {
            match self.ledgers[ingress].admit(now) {
                LimitVerdict::Pass => return self.let_in.push(now),
                LimitVerdict::PassAhead => {
                    let spent = self.ledgers[ingress].take_spent();
                    self.unpaid.push_back((now + PAID_AFTER, ingress, spent));
                    return self.let_in.push(now);
                }
                LimitVerdict::Refuse(_) => break,
                LimitVerdict::Ask(wanted) => {
                    self.waited += 1;
                    let spent = self.ledgers[ingress].take_spent();
                    self.ask(ingress, wanted, spent, now);
                }
            }
        }
        self.refused += 1;
    }

    /// Lets callers at the first `askers` ingresses send at this rate together.
    fn send(&mut self, rate: f64, askers: usize, from_s: f64, to_s: f64, rng: &mut ChaCha8Rng) {
        let mut at = from_s;
        while at < to_s {
            let ingress = rng.random_range(0..askers);
            self.request(ingress, Duration::from_secs_f64(at));
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
        }
    }

    /// Returns the most requests that were let in in one window.
    fn most(&self) -> usize {
        let first = |end: &Duration| self.let_in.partition_point(|at| *at + WINDOW <= *end);
        let counts = self.let_in.iter().enumerate().map(|(index, end)| index + 1 - first(end));
        counts.max().unwrap_or(0)
    }
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(5.0, 5 ; "a small one")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_within_a_limit_nearly_nobody_waits_and_nobody_is_refused(rate: f64, askers: usize) {
    let mut shares = Vec::new();
    for tolerance in [EXACT, TOLERANCE] {
        let mut play = LimitPlay::new(rate, rate, askers, tolerance);
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        play.send(rate / 1.6, askers, 3.0, 63.0, &mut rng);
        let all = (play.let_in.len() + play.refused) as f64;
        shares.push((play.waited as f64 / all, play.refused as f64 / all));
    }
    let [(exact_waited, _), (waited, refused)] = shares[..] else { panic!("{shares:?}") };
    assert!(waited < exact_waited / 2.0, "{waited} and {exact_waited} waited");
    assert!(refused < 0.005, "{refused} refused");
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(22.0, 93 ; "a usual one at every ingress")]
#[test_case(5.0, 40 ; "a small one at many ingresses")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_who_sends_many_times_the_usual_is_held_to_what_is_tolerated(rate: f64, askers: usize) {
    for seed in 0..20 {
        let mut play = LimitPlay::new(rate, rate, askers, TOLERANCE);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        play.send(rate / 1.6, askers, 3.0, 8.0, &mut rng);
        play.send(rate / 1.6 * 10.0, askers, 8.0, 16.0, &mut rng);
        play.send(rate / 1.6, askers, 16.0, 24.0, &mut rng);
        let most = (rate * 5.0 + rate) * 1.1 + 20.0;
        assert!(play.most() as f64 <= most, "{} of at most {most}", play.most());
        let fair = rate * 8.0;
        let got = play.let_in.iter().filter(|at| (8..16).contains(&at.as_secs())).count();
        assert!(got as f64 >= fair * 0.9, "{got} of {fair} that the limit allows");
    }
}

#[test]
fn verify_a_request_that_is_given_back_counts_towards_nothing() {
    let now = Duration::from_secs(1);
    let mut ledger = LimitLedger::new(now);
    ledger.note_grant(1.0, GRANT_LIFE, now);
    assert_eq!(ledger.admit(now), LimitVerdict::Pass);
    ledger.give_back(now);
    assert_eq!(ledger.admit(now), LimitVerdict::Pass);
    assert!(matches!(ledger.admit(now), LimitVerdict::Ask(_)));
}

#[test]
fn verify_what_was_let_in_ahead_is_paid_even_if_the_home_was_away() {
    let now = Duration::from_secs(9);
    let mut ledger = LimitLedger::new(now);
    ledger.note_home(2, 1.0, now);
    assert_eq!(ledger.admit(now), LimitVerdict::PassAhead);
    let spent = ledger.take_spent();
    ledger.note_unpaid(spent);
    ledger.go_alone(AloneTerms { rate: 1.0, burst: 1.0, daemons: 10, since: None }, now);
    ledger.note_home(0, 1.0, now);
    assert_eq!(ledger.take_spent(), 1.0);
    let mut home = LimitHome::new(1.0, 4.0, Duration::ZERO);
    let question = GrantQuestion { asker: "host-1", wanted: 10.0, spent: 3.0 };
    let answer = home.answer(1.0, 4.0, &EXACT, &question, now);
    assert_eq!((answer.granted, answer.ahead), (1.0, 0));
}

/// Ingresses that can't reach the home, and its deputy who counts for them.
struct CutPart {
    deputy: LimitHome,
    ledgers: Vec<LimitLedger>,
    rate: f64,
    burst: f64,
    daemons: usize,
    let_in: Vec<Duration>,
    refused: usize,
}

impl CutPart {
    /// Takes ingresses of a play over, whose home they can't reach from now on.
    fn new(play: &LimitPlay, ledgers: Vec<LimitLedger>, daemons: usize, now: Duration) -> Self {
        let (rate, burst) = (play.rate, play.burst);
        let deputy = LimitHome::following(rate, burst, now);
        Self { deputy, ledgers, rate, burst, daemons, let_in: Vec::new(), refused: 0 }
    }

    fn request(&mut self, ingress: usize, now: Duration) {
        let ledger = &mut self.ledgers[ingress];
        let claim = ledger.note_home_lost(self.rate, self.daemons);
        for _ in 0..2 {
            match ledger.admit(now) {
                LimitVerdict::Pass | LimitVerdict::PassAhead => return self.let_in.push(now),
                LimitVerdict::Refuse(_) => break,
                LimitVerdict::Ask(wanted) => {
                    let asker = format!("host-{ingress}");
                    let question = GrantQuestion { asker: &asker, wanted, spent: 0.0 };
                    let (rate, burst) = (self.rate, self.burst);
                    let answer = self.deputy.answer_as_deputy(rate, burst, claim, &question, now);
                    let wait = Duration::from_secs_f64(1.0 / rate).min(GRANT_LIFE);
                    ledger.note_deputy();
                    ledger.note_grant(answer.granted, wait, now);
                }
            }
        }
        self.refused += 1;
    }
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_callers_are_served_on_while_the_home_is_away(rate: f64, askers: usize) {
    let mut play = LimitPlay::new(rate, rate, askers, TOLERANCE);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    play.send(rate / 1.6, askers, 3.0, 20.0, &mut rng);
    let ledgers = play.ledgers.clone();
    let mut cut = CutPart::new(&play, ledgers, 93, Duration::from_secs(20));
    let mut at = 20.0;
    while at < 32.0 {
        cut.request(rng.random_range(0..askers), Duration::from_secs_f64(at));
        at += -(1.0 - rng.random::<f64>()).ln() / (rate / 1.6);
    }
    let refused = cut.refused as f64 / (cut.refused + cut.let_in.len()) as f64;
    assert!(refused < 0.03, "{refused} refused");
}

#[test_case(22.0, 18 ; "a usual organisation")]
#[test_case(183.0, 93 ; "a large one at every ingress")]
fn verify_the_sum_holds_where_a_third_loses_the_home_as_a_caller_sends_many_times_its_usual(
    rate: f64,
    askers: usize,
) {
    for seed in 0..20 {
        let mut play = LimitPlay::new(rate, rate, askers, TOLERANCE);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        play.send(rate / 1.6, askers, 3.0, 20.0, &mut rng);
        let ledgers = play.ledgers.clone();
        let mut cut = CutPart::new(&play, ledgers, 93, Duration::from_secs(20));
        let mut at = 20.0;
        while at < 32.0 {
            let ingress = rng.random_range(0..askers);
            let now = Duration::from_secs_f64(at);
            if ingress < askers / 3 {
                cut.request(ingress, now)
            } else {
                play.request(ingress, now)
            }
            at += -(1.0 - rng.random::<f64>()).ln() / (rate / 1.6 * 10.0);
        }
        play.let_in.extend(&cut.let_in);
        play.let_in.sort();
        let most = (rate * 5.0 + rate) * 1.1 + 20.0;
        assert!(play.most() as f64 <= most, "{} of at most {most}", play.most());
    }
}
