// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! A daemon that has started uses the backend servers of its host once it has heard which have left.

use std::time::Duration;

use basaltarch_decide::admission::WordFacts;
use test_case::test_case;

fn facts(has_read_row: bool, asked: usize, answered: usize, waited_ms: u64) -> WordFacts {
    let since_first_word = Some(Duration::from_millis(waited_ms));
    WordFacts { has_read_row, asked, answered, since_first_word }
}

#[test_case(facts(true, 0, 0, 0), true ; "alone, with its row")]
#[test_case(facts(true, 4, 4, 0), true ; "row and all neighbours")]
#[test_case(facts(true, 4, 3, 99), false ; "a neighbour is missing")]
#[test_case(facts(true, 4, 1, 100), true ; "neighbours that do not answer")]
#[test_case(facts(true, 4, 0, 299), false ; "row alone")]
#[test_case(facts(true, 4, 0, 300), true ; "row alone, cut off from the neighbours")]
#[test_case(facts(false, 4, 4, 999), false ; "neighbours alone")]
#[test_case(facts(false, 4, 4, 1000), true ; "neighbours alone, cut off from the store")]
fn verify_servers_are_used_after_the_word_of_store_and_neighbours(facts: WordFacts, may_use: bool) {
    assert_eq!(facts.may_use_servers(), may_use);
}

#[test]
fn verify_servers_are_not_used_before_any_word() {
    let facts = WordFacts { has_read_row: false, asked: 0, answered: 0, since_first_word: None };
    assert!(!facts.may_use_servers());
}
