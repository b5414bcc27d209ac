// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings of a stand-in backend server.

use std::time::Duration;

use basaltarch_http::fields::ExchangeFields;

/// `BackendOptions` are the settings of a stand-in backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendOptions {
    /// Median service time.
    pub service_time: Duration,
    /// Spread of the logarithm of the service time.
    pub spread: f64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Name in the `x-served-by` header, and of this incarnation where daemons ask for one.
    pub name: String,
    /// Names of the header fields that it knows.
    pub fields: ExchangeFields,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            service_time: Duration::ZERO,
            spread: 0.3,
            seed: 1,
            name: "backend".to_owned(),
            fields: ExchangeFields::default(),
        }
    }
}
