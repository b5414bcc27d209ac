// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Where work waits that finds no free slot.

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;

/// `WaitingMode` says where work waits that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitingMode {
    /// Whole, in the queue of one host, and is lost with it.
    OneHost,
    /// At its ingress, with places before the slots of several hosts.
    Places,
}

/// Reads where work waits; at one host when nothing is given.
pub fn read(given: Option<String>) -> Result<WaitingMode, SettingError> {
    let allowed = "one-host or places";
    let name = settings::checked("waiting", given, "one-host".to_owned(), allowed, |name| {
        matches!(name.as_str(), "one-host" | "places")
    })?;
    Ok(if name == "places" { WaitingMode::Places } else { WaitingMode::OneHost })
}
