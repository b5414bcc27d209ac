// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Parses setting values by form: numbers, times, shares, names, addresses, keys.

use std::net::SocketAddr;
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;
use basaltarch_peer::handshake::KEY_BYTES_MIN;
use basaltarch_telemetry::logs;

/// Description of an allowed address, for error messages.
pub const ADDRESS_ALLOWED: &str = "an IP address with port, such as 127.0.0.1:8080";

/// Reads a share, from 0 to 1.
pub fn read_share(name: &str, given: Option<String>, default: f64) -> Result<f64, SettingError> {
    settings::checked(name, given, default, "0 to 1", |value| (0.0..=1.0).contains(value))
}

/// Reads a ratio, which may exceed 1.
pub fn read_ratio(name: &str, given: Option<String>, default: f64) -> Result<f64, SettingError> {
    settings::checked(name, given, default, "0 to 10", |value| (0.0..=10.0).contains(value))
}

/// Reads a boolean setting, which is off by default.
pub fn read_flag(name: &str, given: Option<String>) -> Result<bool, SettingError> {
    settings::checked(name, given, false, "true or false", |_| true)
}

/// Reads an optional address.
pub fn read_advertised(
    flag: &str,
    given: Option<String>,
) -> Result<Option<SocketAddr>, SettingError> {
    settings::optional(flag, given, ADDRESS_ALLOWED)
}

/// Reads addresses of other daemons.
pub fn read_seeds(given: Option<String>) -> Result<Vec<SocketAddr>, SettingError> {
    let allowed = "IP addresses with ports, separated by commas";
    let list: Option<String> = settings::optional("seeds", given, allowed)?;
    let list = list.unwrap_or_default();
    let parts = list.split(',').filter(|part| !part.is_empty());
    parts.map(|part| settings::required("seeds", Some(part.trim().to_owned()), allowed)).collect()
}

/// Reads a name by which other daemons identify this daemon, such as the name of its host.
pub fn read_name(flag: &str, given: Option<String>) -> Result<String, SettingError> {
    let allowed = "1 to 128 of a-z, 0-9, '-', '.', '_'";
    let name: String = settings::required(flag, given, allowed)?;
    settings::checked(flag, Some(name), String::new(), allowed, |name: &String| {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte);
        (1..=128).contains(&name.len()) && name.bytes().all(is_allowed)
    })
}

/// Reads the key shared by all daemons. An error message about the key shows only its length.
pub fn read_fleet_key(given: Option<String>) -> Result<Vec<u8>, SettingError> {
    let allowed = "at least 16 characters";
    let key: String = settings::required("fleet-key", given, allowed)?;
    if key.len() >= KEY_BYTES_MIN {
        return Ok(key.into_bytes());
    }
    // The key itself must not appear in logs.
    Err(SettingError::Invalid {
        flag: "fleet-key".to_owned(),
        variable: settings::variable_of("fleet-key"),
        value: format!("({} characters)", key.len()),
        allowed: allowed.to_owned(),
    })
}

/// Reads the log level, for all modules or per module.
pub fn read_log_level(given: Option<String>) -> Result<String, SettingError> {
    let allowed = "error, warn, info, debug, trace, or a list by module";
    settings::checked("log", given, "info".to_owned(), allowed, |level: &String| {
        logs::is_valid(level)
    })
}

/// Reads a number from `min` to `max`.
pub fn read_count(
    flag: &str,
    given: Option<String>,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, SettingError> {
    let allowed = format!("{min} to {max}");
    settings::checked(flag, given, default, &allowed, |value| (min..=max).contains(value))
}

/// Reads an amount from `min` to `max`. The platform may scale the amount, so it can have a
/// fraction. The amount is rounded down, so that the daemon never exceeds what it is granted.
pub fn read_amount(
    flag: &str,
    given: Option<String>,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, SettingError> {
    let allowed = format!("{min} to {max}");
    let (min_value, max_value) = (min as f64, max as f64);
    let value = settings::checked(flag, given, default as f64, &allowed, |value: &f64| {
        (min_value..=max_value).contains(&value.floor())
    });
    value.map(|value| value as u64)
}

/// Reads a time of `min` to `max` milliseconds.
pub fn read_time(
    flag: &str,
    given: Option<String>,
    default: u64,
    min: u64,
    max: u64,
) -> Result<Duration, SettingError> {
    let allowed = format!("{min} to {max} ms, or a number of seconds with the suffix s");
    let given: Option<String> = settings::optional(flag, given, &allowed)?;
    let given = given.map(|text| seconds_as_millis(&text).unwrap_or(text));
    let value =
        settings::checked(flag, given, default, &allowed, |value| (min..=max).contains(value));
    value.map(Duration::from_millis)
}

/// Reads a time of 1 to `max` milliseconds.
pub fn read_millis(
    flag: &str,
    given: Option<String>,
    default: u64,
    max: u64,
) -> Result<Duration, SettingError> {
    read_time(flag, given, default, 1, max)
}

/// Converts `2.5s` to `2500`; returns `None` for a text of another form.
fn seconds_as_millis(text: &str) -> Option<String> {
    let seconds: f64 = text.strip_suffix('s')?.parse().ok()?;
    Some(format!("{}", (seconds * 1000.0).round()))
}
