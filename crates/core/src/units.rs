// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Units and small value types.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Bytes in a kibibyte.
pub const KIB: usize = 1024;

/// `FleetRevision` is the number of an accepted configuration. Revisions increase by 1 with each
/// change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FleetRevision(pub u64);

/// `StoreVersion` is a version of the store's tables and the era in which the store assigned it. A
/// store that comes back from an older copy begins a new era, and assigns the versions after that
/// copy again, so versions are ordered by their era first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreVersion {
    /// Number of restores of the store from an older copy.
    pub era: u64,
    /// Version within the era.
    pub version: u64,
}

impl FleetRevision {
    /// Returns the revision that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FleetRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Returns the milliseconds since 1970-01-01 UTC by the host's clock.
pub fn wall_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map(|elapsed| elapsed.as_millis() as u64)
        .unwrap_or(0)
}

/// Formats milliseconds since 1970-01-01 UTC as an RFC 3339 time in UTC.
///
/// The conversion from days to a civil date follows the proleptic Gregorian calendar.
pub fn format_utc(millis: u64) -> String {
    let seconds = millis / 1000;
    let day = seconds / 86_400;
    let second_of_day = seconds % 86_400;
    let (year, month, day_of_month) = civil_date(day as i64);
    format!(
        "{year:04}-{month:02}-{day_of_month:02}T{:02}:{:02}:{:02}.{:03}Z",
        second_of_day / 3600,
        second_of_day / 60 % 60,
        second_of_day % 60,
        millis % 1000
    )
}

fn civil_date(days_since_1970: i64) -> (i64, i64, i64) {
    let mut year = 1970;
    let mut days_left = days_since_1970;
    loop {
        let length = if is_leap(year) { 366 } else { 365 };
        if days_left < length {
            break;
        }
        days_left -= length;
        year += 1;
    }
    let february = if is_leap(year) { 29 } else { 28 };
    let lengths = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while days_left >= lengths[month] {
        days_left -= lengths[month];
        month += 1;
    }
    (year, month as i64 + 1, days_left + 1)
}

fn is_leap(year: i64) -> bool {
    (year % 4 == 0 && year % 100 != 0) || year % 400 == 0
}
