// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings that only a restart changes.

use std::net::SocketAddr;

use crate::DaemonOptions;

impl DaemonOptions {
    /// Names the settings in which `next` differs and that can't change while the daemon runs. An
    /// address with port 0 was bound to some port and does not differ.
    pub fn differences(&self, next: &Self) -> Vec<&'static str> {
        let moved = |own: SocketAddr, next: SocketAddr| next.port() != 0 && own != next;
        let moved_if = |own: Option<SocketAddr>, next: Option<SocketAddr>| match (own, next) {
            (Some(own), Some(next)) => moved(own, next),
            (own, next) => own.is_some() != next.is_some(),
        };
        let checks = [
            ("host", self.host != next.host),
            ("failure-domain", self.failure_domain != next.failure_domain),
            ("source", self.source != next.source),
            ("platform", self.platform != next.platform),
            ("fleet-key", self.fleet_key != next.fleet_key),
            ("admin-token", self.admin_token != next.admin_token),
            ("callers", moved(self.callers, next.callers)),
            ("peers", moved(self.peers, next.peers)),
            ("admin", moved(self.admin, next.admin)),
            ("ready", moved_if(self.ready, next.ready)),
            ("registration", moved_if(self.registration, next.registration)),
        ];
        checks.iter().filter(|(_, differs)| *differs).map(|(name, _)| *name).collect()
    }

    /// Puts the addresses as bound in place of those asked for.
    pub fn keep_bound(&mut self, bound: &Self) {
        self.callers = bound.callers;
        self.peers = bound.peers;
        self.admin = bound.admin;
        self.ready = bound.ready;
        self.registration = bound.registration;
    }
}
