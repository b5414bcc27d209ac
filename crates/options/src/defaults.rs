// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! What holds for services that declare nothing else.

use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::resources::PreferChoice;
use basaltarch_core::settings;

/// `ServiceDefaults` is what holds for services that declare nothing else.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceDefaults {
    /// Share of the slots that ejection never goes below.
    pub floor: f64,
    /// Which error a service would rather have.
    pub prefer: PreferChoice,
    /// Requests that may wait before each backend server.
    pub queue: u32,
    /// Share of requests that may be repeated.
    pub retry_share: f64,
    /// Repeats over the whole fleet in one window beyond that share.
    pub retry_extra: u32,
    /// Length of that window.
    pub retry_window: Duration,
}

/// Reads which error services would rather have; precision when nothing is given.
pub fn prefer(given: Option<String>) -> Result<PreferChoice, SettingError> {
    let allowed = "detection or precision";
    let name = settings::checked("prefer", given, "precision".to_owned(), allowed, |name| {
        matches!(name.as_str(), "detection" | "precision")
    })?;
    Ok(if name == "detection" { PreferChoice::Detection } else { PreferChoice::Precision })
}
