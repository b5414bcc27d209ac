// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings in deploy/ accept every value that the platform may fill in, and wrong values are
//! refused.

use std::fs;
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_decide::grants::LimitTolerance;
use basaltarch_options::{DaemonOptions, RawOptions};
use test_case::test_case;

/// Placeholders of the deployed settings, and typical values that the platform fills in.
const TYPICAL_VALUES: [(&str, &str); 17] = [
    ("nodeName", "host-1"),
    ("zone", "zone-1"),
    ("service", "shop"),
    ("ip", "10.0.0.1"),
    ("listen.outbound", "10.0.0.1:8147"),
    ("listen.inbound", "10.0.0.1:8146"),
    ("listen.ready", "10.0.0.1:8141"),
    ("listen.control", "10.0.0.1:8144"),
    ("portRange.0", "7380"),
    ("platform.address", "10.0.0.9:8142"),
    ("seeds", "10.0.0.2:8144,10.0.0.3:8144"),
    ("bounds.graceS", "6"),
    ("limits.maxFds", "4100"),
    ("limits.memoryMb", "260"),
    ("bounds.floorShare", "0.7"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetExtraRetries", "56"),
];

/// Placeholders that the platform fills in only where callers have organisations, and typical
/// values. The settings that use one of these placeholders form an optional section.
const OPTIONAL_VALUES: [(&str, &str); 3] =
    [("bounds.quotaWindowS", "5"), ("bounds.quotaOverage", "0.1"), ("bounds.quotaSlack", "20")];

/// Keeps the optional section of a placeholder if the placeholder is filled in, and removes the
/// section otherwise.
fn resolve_section(text: &str, placeholder: &str, is_filled: bool) -> String {
    let (open, close) = (format!("{{{{#{placeholder}}}}}"), format!("{{{{/{placeholder}}}}}"));
    let (before, rest) = text.split_once(&open).expect("the start of an optional section");
    let (section, after) = rest.split_once(&close).expect("the end of an optional section");
    format!("{before}{}{after}", if is_filled { section } else { "" })
}

/// Reads the deployed settings, with organisations, with this value for one placeholder and typical
/// values for the other placeholders.
fn read_options(placeholder: &str, value: &str) -> Result<DaemonOptions, SettingError> {
    read_options_with_sections(placeholder, value, true)
}

/// Reads the deployed settings as [`read_options`] does, with or without the sections for
/// organisations.
fn read_options_with_sections(
    placeholder: &str,
    value: &str,
    has_organisations: bool,
) -> Result<DaemonOptions, SettingError> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/basaltarchd.conf");
    let mut text = fs::read_to_string(path).expect("deployed settings");
    for (optional, _) in OPTIONAL_VALUES {
        text = resolve_section(&text, optional, has_organisations);
    }
    text = text.replace(&format!("{{{{{placeholder}}}}}"), value);
    for (placeholder, typical_value) in
        TYPICAL_VALUES.iter().chain(&OPTIONAL_VALUES).chain(&[("bounds.budgetWindowS", "10")])
    {
        text = text.replace(&format!("{{{{{placeholder}}}}}"), typical_value);
    }
    assert!(!text.contains("{{"), "a placeholder that this test does not fill:\n{text}");
    let placeholder = placeholder.replace('.', "-");
    let name =
        format!("deployed-{placeholder}-{}-{has_organisations}.conf", value.replace(':', "-"));
    let filled_path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&filled_path, text).expect("write");
    let options = DaemonOptions::try_new(RawOptions {
        config: Some(filled_path.clone()),
        ..RawOptions::default()
    });
    fs::remove_file(&filled_path).expect("remove");
    options
}

#[test_case("56", 56 ; "whole")]
#[test_case("25.2", 25 ; "with a fraction, which is dropped")]
#[test_case("25.99", 25 ; "with a fraction near one, which is dropped")]
#[test_case("0", 0 ; "none")]
#[test_case("0.4", 0 ; "less than one")]
#[test_case("630.0", 630 ; "whole with a point")]
#[test_case("1e3", 1000 ; "with an exponent")]
fn verify_a_bound_on_retries_is_accepted(value: &str, expected: u32) {
    let options = read_options("bounds.budgetExtraRetries", value).expect("settings");
    assert_eq!(options.defaults.retry_extra, expected);
}

#[test_case("6", 5750 ; "whole")]
#[test_case("2.5", 2250 ; "with a fraction")]
#[test_case("0", 0 ; "no time at all")]
#[test_case("0.1", 0 ; "less than the reserved time")]
#[test_case("7200", 30_000 ; "longer than any drain")]
fn verify_the_time_until_a_kill_is_accepted(value: &str, expected_ms: u64) {
    let options = read_options("bounds.graceS", value).expect("settings");
    assert_eq!(options.drain, Duration::from_millis(expected_ms));
}

#[test]
fn verify_limit_tolerances_are_accepted_if_configured() {
    let tolerance = read_options("bounds.quotaSlack", "20").expect("settings").limit_tolerance;
    let expected = LimitTolerance { window: Duration::from_secs(5), over: 0.1, extra: 20.0 };
    assert_eq!(tolerance, expected);
    let options = read_options_with_sections("zone", "zone-1", false).expect("settings");
    let no_tolerance = LimitTolerance { window: Duration::from_secs(1), over: 0.0, extra: 0.0 };
    assert_eq!(options.limit_tolerance, no_tolerance, "nothing over a limit is tolerated");
}

#[test_case("10", 10_000 ; "whole")]
#[test_case("0.25", 250 ; "with a fraction")]
#[test_case("3600", 3_600_000 ; "an hour")]
fn verify_the_retry_window_is_accepted(value: &str, expected_ms: u64) {
    let options = read_options("bounds.budgetWindowS", value).expect("settings");
    assert_eq!(options.defaults.retry_window, Duration::from_millis(expected_ms));
}

#[test_case("bounds.retryBudgetRatio", "0" ; "no retries")]
#[test_case("bounds.retryBudgetRatio", "1" ; "a retry for each request")]
#[test_case("bounds.retryBudgetRatio", "1.5" ; "more retries than requests")]
#[test_case("bounds.floorShare", "0" ; "no floor")]
#[test_case("bounds.floorShare", "1" ; "the whole as floor")]
#[test_case("limits.maxFds", "4100.5" ; "descriptors with a fraction")]
#[test_case("limits.maxFds", "1000000" ; "many descriptors")]
#[test_case("limits.memoryMb", "160.7" ; "memory with a fraction")]
#[test_case("limits.memoryMb", "1048576" ; "a terabyte")]
#[test_case("bounds.quotaWindowS", "0.5" ; "a short window of limits")]
#[test_case("bounds.quotaOverage", "0" ; "nothing over a limit")]
#[test_case("bounds.quotaSlack", "3.03" ; "requests over a limit with a fraction")]
#[test_case("seeds", "" ; "no seeds")]
fn verify_values_that_the_platform_may_fill_in_are_accepted(placeholder: &str, value: &str) {
    read_options(placeholder, value).expect("settings");
}

#[test_case("bounds.budgetExtraRetries", "-1", "retry-extra" ; "negative retries")]
#[test_case("bounds.budgetExtraRetries", "many", "retry-extra" ; "retries that are no number")]
#[test_case("bounds.budgetExtraRetries", "NaN", "retry-extra" ; "retries that are NaN")]
#[test_case("bounds.budgetExtraRetries", "inf", "retry-extra" ; "infinite retries")]
#[test_case("bounds.budgetWindowS", "0", "retry-window-ms" ; "a window of zero")]
#[test_case("bounds.budgetWindowS", "-2", "retry-window-ms" ; "a negative window")]
#[test_case("bounds.quotaWindowS", "0", "limit-window-ms" ; "a window of limits of zero")]
#[test_case("bounds.quotaOverage", "-0.1", "limit-over" ; "a negative share of limits")]
#[test_case("bounds.quotaSlack", "-1", "limit-extra" ; "negative requests over a limit")]
#[test_case("bounds.graceS", "-1", "kill-after-ms" ; "a negative time")]
#[test_case("bounds.graceS", "soon", "kill-after-ms" ; "a time that is no number")]
#[test_case("bounds.floorShare", "1.2", "floor" ; "more than the whole")]
#[test_case("bounds.retryBudgetRatio", "-0.1", "retry-share" ; "a negative ratio")]
#[test_case("limits.memoryMb", "3", "memory-mb" ; "too little memory to run")]
#[test_case("limits.maxFds", "0", "descriptors" ; "no descriptors")]
fn verify_wrong_values_are_refused_with_the_name_of_the_setting(
    placeholder: &str,
    value: &str,
    flag: &str,
) {
    let error = read_options(placeholder, value).expect_err("refused").to_string();
    assert!(error.contains(&format!("--{flag}")) && error.contains("allowed:"), "{error}");
}
