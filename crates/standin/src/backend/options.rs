// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings of a simulated backend server.

use std::time::Duration;

use basaltarch_http::fields::ExchangeFields;

/// `BackendOptions` are the settings of a simulated backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendOptions {
    /// Median service time.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of the service time. Service times are log-normal.
    pub spread: f64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of requests that run at once; `None` for no limit. A server with a limit refuses what
    /// finds its queue full, and gives up what outlasts its deadline.
    pub slots: Option<usize>,
    /// Number of requests that may wait for a slot.
    pub queue: usize,
    /// Value of the `x-served-by` header field. The name is also the incarnation to which daemons
    /// may address requests.
    pub name: String,
    /// Names of the header fields that the server reads and sends.
    pub fields: ExchangeFields,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            service_time: Duration::ZERO,
            spread: 0.3,
            seed: 1,
            slots: None,
            queue: 0,
            name: "backend".to_owned(),
            fields: ExchangeFields::default(),
        }
    }
}
