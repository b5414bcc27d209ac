// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Defaults of the settings that a service does not declare.

use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::resources::EjectionPreference;
use basaltarch_core::settings;

/// `ServiceDefaults` is the set of defaults for what a service does not declare.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceDefaults {
    /// Share of the slots that ejection must leave in service.
    pub floor: f64,
    /// Whether ejection favours detection or precision.
    pub prefer: EjectionPreference,
    /// Requests that may be queued for each backend server.
    pub queue: u32,
    /// Share of requests that may be retried.
    pub retry_share: f64,
    /// Number of retries beyond `retry_share` that the whole fleet may make in one window.
    pub retry_extra: u32,
    /// Length of the window of `retry_extra`.
    pub retry_window: Duration,
}

/// Reads which of detection and precision is preferred; precision is the default.
pub fn read_preference(given: Option<String>) -> Result<EjectionPreference, SettingError> {
    let allowed = "detection or precision";
    let name = settings::checked("prefer", given, "precision".to_owned(), allowed, |name| {
        matches!(name.as_str(), "detection" | "precision")
    })?;
    Ok(if name == "detection" {
        EjectionPreference::Detection
    } else {
        EjectionPreference::Precision
    })
}
