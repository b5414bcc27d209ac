// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Header fields whose values the daemon reads.

use basaltarch_http::fields::{self, RATE_LIMIT};
use http::{HeaderMap, HeaderValue};
use test_case::test_case;

#[test_case(&[] => Ok(None) ; "no field")]
#[test_case(&["1"] => Ok(Some(1.0)) ; "a whole number")]
#[test_case(&["3.1"] => Ok(Some(3.1)) ; "a fraction")]
#[test_case(&[" 0.25 "] => Ok(Some(0.25)) ; "blanks around it")]
#[test_case(&["0"] => Ok(Some(0.0)) ; "zero")]
#[test_case(&[""] => Err("".to_owned()) ; "an empty field")]
#[test_case(&["."] => Err(".".to_owned()) ; "no digit")]
#[test_case(&["ten"] => Err("ten".to_owned()) ; "a word")]
#[test_case(&["-1"] => Err("-1".to_owned()) ; "below zero")]
#[test_case(&["NaN"] => Err("NaN".to_owned()) ; "not a number")]
#[test_case(&["inf"] => Err("inf".to_owned()) ; "infinity")]
#[test_case(&["1e3"] => Err("1e3".to_owned()) ; "an exponent")]
#[test_case(&["1, 2"] => Err("1, 2".to_owned()) ; "a list")]
#[test_case(&["1", "2"] => Err("1".to_owned()) ; "two fields")]
#[test_case(&["\u{b9}"] => Err("\u{b9}".to_owned()) ; "a digit that is not ASCII")]
fn verify_a_rate_limit_is_one_decimal_number(values: &[&str]) -> Result<Option<f64>, String> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RATE_LIMIT, HeaderValue::from_bytes(value.as_bytes()).expect("a value"));
    }
    fields::rate_limit(&headers, &RATE_LIMIT)
}

#[test]
fn verify_a_rate_limit_of_too_many_digits_is_unreadable() {
    let mut headers = HeaderMap::new();
    let digits = "9".repeat(400);
    headers.append(RATE_LIMIT, HeaderValue::from_str(&digits).expect("a value"));
    assert_eq!(fields::rate_limit(&headers, &RATE_LIMIT), Err(digits));
}
