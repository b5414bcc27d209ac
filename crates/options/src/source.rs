// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Reads the setting that says where the configuration comes from.

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;

/// `ConfigSource` says where the configuration comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// Operators declare resources through the daemons' API.
    Resources,
    /// The operator writes one document into the platform's store, and backend servers register
    /// themselves with the daemon on their host.
    Document,
}

/// Reads where the configuration comes from. The default is the daemons' API.
pub fn read(given: Option<String>) -> Result<ConfigSource, SettingError> {
    let allowed = "resources or document";
    let name = settings::checked("source", given, "resources".to_owned(), allowed, |name| {
        matches!(name.as_str(), "resources" | "document")
    })?;
    Ok(if name == "document" { ConfigSource::Document } else { ConfigSource::Resources })
}
