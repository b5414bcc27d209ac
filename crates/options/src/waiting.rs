// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads the setting that says where requests that find no free slot are queued.

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;

/// `WaitingMode` says where requests that find no free slot are queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitingMode {
    /// In the queue of one host; the requests in the queue are lost if the host fails.
    OneHost,
    /// At the ingress, with reservations in the queues of several hosts.
    Reservations,
}

/// Reads where requests are queued. The default is the queue of one host.
pub fn read(given: Option<String>) -> Result<WaitingMode, SettingError> {
    let allowed = "one-host or places";
    let name = settings::checked("waiting", given, "one-host".to_owned(), allowed, |name| {
        matches!(name.as_str(), "one-host" | "places")
    })?;
    Ok(if name == "places" { WaitingMode::Reservations } else { WaitingMode::OneHost })
}
