// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads settings from flags, environment variables and lines of a settings file. A flag takes
//! precedence over its environment variable.

use std::env;
use std::str::FromStr;

use crate::errors::SettingError;

/// Prefix of every environment variable that basaltarch reads.
pub const VARIABLE_PREFIX: &str = "BASALTARCH_";

/// Exit status of a process whose settings are invalid, as in most command-line programs.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// Returns the environment variable that corresponds to `flag`.
pub fn variable_of(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// `SettingLine` is one line of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingLine {
    /// Name of the flag that the line sets, without dashes.
    pub flag: String,
    /// Value that the line gives the flag.
    pub value: String,
}

/// Parses a settings file: lines of `flag = value`. Empty lines, comments (lines that begin with
/// `#`) and lines without a value are skipped.
pub fn read_lines(text: &str) -> Result<Vec<SettingLine>, SettingError> {
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (flag, value) = match line.split_once('=') {
            Some((flag, value)) => (flag.trim(), value.trim()),
            None => return Err(SettingError::BadLine { number: index + 1, line: line.to_owned() }),
        };
        if !value.is_empty() {
            lines.push(SettingLine { flag: flag.to_owned(), value: value.to_owned() });
        }
    }
    Ok(lines)
}

/// Returns whether the environment variable that corresponds to `flag` is set.
pub fn is_in_environment(flag: &str) -> bool {
    env::var_os(variable_of(flag)).is_some()
}

/// Parses an optional setting from the value of its flag, or else from its environment variable;
/// `allowed` describes the allowed values in error messages.
pub fn optional<T: FromStr>(
    flag: &str,
    flag_value: Option<String>,
    allowed: &str,
) -> Result<Option<T>, SettingError> {
    let variable = variable_of(flag);
    let value = match flag_value.or_else(|| env::var(&variable).ok()) {
        Some(value) => value,
        None => return Ok(None),
    };
    match value.parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(_) => Err(SettingError::Invalid {
            flag: flag.to_owned(),
            variable,
            value,
            allowed: allowed.to_owned(),
        }),
    }
}

/// Parses a setting that has no default, and fails if the setting was not given.
pub fn required<T: FromStr>(
    flag: &str,
    flag_value: Option<String>,
    allowed: &str,
) -> Result<T, SettingError> {
    optional(flag, flag_value, allowed)?
        .ok_or_else(|| SettingError::Missing { flag: flag.to_owned(), variable: variable_of(flag) })
}

/// Parses a setting with a default, and fails unless `accept` holds for the value.
pub fn checked<T: FromStr + ToString>(
    flag: &str,
    flag_value: Option<String>,
    default: T,
    allowed: &str,
    accept: impl Fn(&T) -> bool,
) -> Result<T, SettingError> {
    let value = optional(flag, flag_value, allowed)?.unwrap_or(default);
    if accept(&value) {
        return Ok(value);
    }
    Err(SettingError::Invalid {
        flag: flag.to_owned(),
        variable: variable_of(flag),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    })
}
