// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings as flags, environment variables and the settings file give them.

use std::fs;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;

/// `RawOptions` are the settings as given by flags; environment variables fill the gaps.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RawOptions {
    /// Name of the host.
    pub host: Option<String>,
    /// Failure domain of the host.
    pub failure_domain: Option<String>,
    /// Address for callers.
    pub callers: Option<String>,
    /// Address for other daemons.
    pub peers: Option<String>,
    /// Address for operators.
    pub admin: Option<String>,
    /// Addresses of some other daemons, separated by commas.
    pub seeds: Option<String>,
    /// Address of the platform.
    pub platform: Option<String>,
    /// Key shared by all daemons.
    pub fleet_key: Option<String>,
    /// Token of operators.
    pub admin_token: Option<String>,
    /// Level of logs.
    pub log: Option<String>,
    /// Requests a second that are logged from start to end.
    pub log_requests: Option<String>,
    /// Other requests a second that are logged since they failed.
    pub log_failures: Option<String>,
    /// Longest drain in milliseconds.
    pub drain_ms: Option<String>,
    /// Connections of callers.
    pub connections: Option<String>,
    /// Connections of one caller's address.
    pub connections_each: Option<String>,
    /// File descriptors that the platform lets the daemon have.
    pub descriptors: Option<String>,
    /// Memory that the platform lets the daemon have, in MB.
    pub memory_mb: Option<String>,
    /// Largest head of a request in bytes.
    pub head_bytes: Option<String>,
    /// Longest time for the head of a request in milliseconds.
    pub head_ms: Option<String>,
    /// Longest idle time of a caller's connection in milliseconds.
    pub idle_ms: Option<String>,
    /// Largest body of a request in bytes.
    pub body_bytes: Option<String>,
    /// Longest wait for the next piece of a body in milliseconds.
    pub body_idle_ms: Option<String>,
    /// Address at which other daemons reach this one.
    pub advertise_peers: Option<String>,
    /// Address at which operators reach this daemon.
    pub advertise_admin: Option<String>,
    /// Reads of the platform a second over the whole fleet.
    pub store_reads: Option<String>,
    /// Writes to the platform a second by this daemon.
    pub store_writes: Option<String>,
    /// Hours for which rows of once-only work are kept at least.
    pub once_keep_hours: Option<String>,
    /// Time after which a service that nobody asks for is forgotten, in milliseconds.
    pub service_idle_ms: Option<String>,
    /// Path of the settings file.
    pub config: Option<String>,
    /// Where the configuration comes from.
    pub source: Option<String>,
    /// Address at which the platform asks whether the daemon is ready.
    pub ready: Option<String>,
    /// Address at which the backend servers of this host register.
    pub registration: Option<String>,
    /// Service that runs on this host, told to backend servers of callers from here.
    pub own_service: Option<String>,
    /// Whether the seeds are reached at this daemon's peer port instead of the ports given.
    pub seeds_at_peer_port: Option<String>,
    /// Floor of services that declare none.
    pub floor: Option<String>,
    /// Which error services that say nothing would rather have.
    pub prefer: Option<String>,
    /// Requests that may wait before each backend server of services that say nothing.
    pub queue: Option<String>,
    /// Share of requests that may be repeated, for services that say nothing.
    pub retry_share: Option<String>,
    /// Repeats of a service over the whole fleet in one window beyond that share.
    pub retry_extra: Option<String>,
    /// Length of that window in milliseconds.
    pub retry_window_ms: Option<String>,
    /// Share of a limit by which requests beyond it are tolerated.
    pub limit_over: Option<String>,
    /// Requests beyond that share which are tolerated in one window.
    pub limit_extra: Option<String>,
    /// Length of that window in milliseconds.
    pub limit_window_ms: Option<String>,
    /// Time from the first signal to stop to the platform's kill, in milliseconds.
    pub kill_after_ms: Option<String>,
    /// Shortest drain in milliseconds.
    pub drain_min_ms: Option<String>,
    /// Time between heartbeats to the neighbours in milliseconds.
    pub heartbeat_ms: Option<String>,
    /// Whether backend servers are not told where a request came from.
    pub hide_callers: Option<String>,
    /// Whether work that must not be repeated wants proof that a backend server is well.
    pub prove_once_only: Option<String>,
    /// Where work waits that finds no free slot.
    pub waiting: Option<String>,
    /// Time that work waits near by rather than send a megabyte to another failure domain, in milliseconds.
    pub far_megabyte_ms: Option<String>,
}

impl RawOptions {
    /// Takes the settings file in: it fills what neither a flag nor an environment variable gives.
    pub fn with_file(mut self) -> Result<Self, SettingError> {
        let path = match self.file()? {
            Some(path) => path,
            None => return Ok(self),
        };
        let unreadable = |error: std::io::Error| SettingError::Unreadable {
            path: path.clone(),
            message: error.to_string(),
        };
        let text = fs::read_to_string(&path).map_err(unreadable)?;
        for line in settings::read_lines(&text)? {
            let place = match self.place(&line.flag) {
                Some(place) => place,
                None => return Err(SettingError::Unknown { flag: line.flag }),
            };
            if place.is_none() && !settings::is_in_environment(&line.flag) {
                *place = Some(line.value);
            }
        }
        Ok(self)
    }

    /// Returns the path of the settings file, if there is one.
    pub fn file(&self) -> Result<Option<String>, SettingError> {
        settings::optional("config", self.config.clone(), "a path")
    }

    /// Returns the place of a flag.
    fn place(&mut self, flag: &str) -> Option<&mut Option<String>> {
        Some(match flag {
            "host" => &mut self.host,
            "failure-domain" => &mut self.failure_domain,
            "callers" => &mut self.callers,
            "peers" => &mut self.peers,
            "admin" => &mut self.admin,
            "advertise-peers" => &mut self.advertise_peers,
            "advertise-admin" => &mut self.advertise_admin,
            "seeds" => &mut self.seeds,
            "platform" => &mut self.platform,
            "fleet-key" => &mut self.fleet_key,
            "admin-token" => &mut self.admin_token,
            "log" => &mut self.log,
            "log-requests" => &mut self.log_requests,
            "log-failures" => &mut self.log_failures,
            "drain-ms" => &mut self.drain_ms,
            "kill-after-ms" => &mut self.kill_after_ms,
            "heartbeat-ms" => &mut self.heartbeat_ms,
            "hide-callers" => &mut self.hide_callers,
            "drain-min-ms" => &mut self.drain_min_ms,
            "connections" => &mut self.connections,
            "connections-each" => &mut self.connections_each,
            "descriptors" => &mut self.descriptors,
            "memory-mb" => &mut self.memory_mb,
            "head-bytes" => &mut self.head_bytes,
            "head-ms" => &mut self.head_ms,
            "idle-ms" => &mut self.idle_ms,
            "body-bytes" => &mut self.body_bytes,
            "body-idle-ms" => &mut self.body_idle_ms,
            "store-reads" => &mut self.store_reads,
            "store-writes" => &mut self.store_writes,
            "once-keep-hours" => &mut self.once_keep_hours,
            "service-idle-ms" => &mut self.service_idle_ms,
            "source" => &mut self.source,
            "ready" => &mut self.ready,
            "registration" => &mut self.registration,
            "own-service" => &mut self.own_service,
            "seeds-at-peer-port" => &mut self.seeds_at_peer_port,
            "floor" => &mut self.floor,
            "prefer" => &mut self.prefer,
            "queue" => &mut self.queue,
            "retry-share" => &mut self.retry_share,
            "retry-extra" => &mut self.retry_extra,
            "retry-window-ms" => &mut self.retry_window_ms,
            "limit-over" => &mut self.limit_over,
            "limit-extra" => &mut self.limit_extra,
            "limit-window-ms" => &mut self.limit_window_ms,
            "prove-once-only" => &mut self.prove_once_only,
            "waiting" => &mut self.waiting,
            "far-megabyte-ms" => &mut self.far_megabyte_ms,
            _ => return None,
        })
    }
}
