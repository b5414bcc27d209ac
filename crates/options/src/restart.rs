// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings that take effect only after a restart.

use std::net::SocketAddr;

use crate::DaemonOptions;

impl DaemonOptions {
    /// Returns the settings in which `next` differs and that can't change while the daemon runs. An
    /// address with port 0 was bound to a port chosen by the system and does not differ.
    pub fn fixed_differences(&self, next: &Self) -> Vec<&'static str> {
        let address_changed = |own: SocketAddr, next: SocketAddr| next.port() != 0 && own != next;
        let option_changed = |own: Option<SocketAddr>, next: Option<SocketAddr>| match (own, next) {
            (Some(own), Some(next)) => address_changed(own, next),
            (own, next) => own.is_some() != next.is_some(),
        };
        let checks = [
            ("host", self.host != next.host),
            ("failure-domain", self.failure_domain != next.failure_domain),
            ("source", self.source != next.source),
            ("platform", self.platform != next.platform),
            ("fleet-key", self.fleet_key != next.fleet_key),
            ("admin-token", self.admin_token != next.admin_token),
            ("callers", address_changed(self.callers, next.callers)),
            ("peers", address_changed(self.peers, next.peers)),
            ("admin", address_changed(self.admin, next.admin)),
            ("ready", option_changed(self.ready, next.ready)),
            ("registration", option_changed(self.registration, next.registration)),
        ];
        checks.iter().filter(|(_, differs)| *differs).map(|(name, _)| *name).collect()
    }

    /// Replaces the configured addresses by the addresses of `bound`, which are in use.
    pub fn keep_bound_addresses(&mut self, bound: &Self) {
        self.callers = bound.callers;
        self.peers = bound.peers;
        self.admin = bound.admin;
        self.ready = bound.ready;
        self.registration = bound.registration;
    }
}
