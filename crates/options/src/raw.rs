// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings as given by flags, environment variables and the settings file.

use std::fs;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;

/// `RawOptions` is the set of settings as given by flags, before environment variables and the
/// settings file fill the gaps.
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
    /// Requests per second that are logged from start to end.
    pub log_requests: Option<String>,
    /// Further requests per second that are logged because they failed.
    pub log_failures: Option<String>,
    /// Longest drain in milliseconds.
    pub drain_ms: Option<String>,
    /// Maximum number of callers' connections.
    pub connections: Option<String>,
    /// Maximum number of connections from one caller's address.
    pub connections_each: Option<String>,
    /// File descriptors that the platform grants the daemon.
    pub descriptors: Option<String>,
    /// Memory that the platform grants the daemon, in MB.
    pub memory_mb: Option<String>,
    /// Maximum size of a request's head in bytes.
    pub head_bytes: Option<String>,
    /// Maximum time from the first byte of a request's head to its end, in milliseconds.
    pub head_ms: Option<String>,
    /// Maximum idle time of a caller's connection in milliseconds.
    pub idle_ms: Option<String>,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: Option<String>,
    /// Maximum wait for the next piece of a body in milliseconds.
    pub body_idle_ms: Option<String>,
    /// Address at which other daemons reach this daemon.
    pub advertise_peers: Option<String>,
    /// Address at which operators reach this daemon.
    pub advertise_admin: Option<String>,
    /// Reads from the platform per second over the whole fleet.
    pub store_reads: Option<String>,
    /// Writes to the platform per second by this daemon.
    pub store_writes: Option<String>,
    /// Minimum number of hours for which the rows of at-most-once requests are kept.
    pub once_keep_hours: Option<String>,
    /// Time without requests after which the state of a service is dropped, in milliseconds.
    pub service_idle_ms: Option<String>,
    /// Path of the settings file.
    pub config: Option<String>,
    /// Where the configuration comes from.
    pub source: Option<String>,
    /// Address of the readiness probe of the platform.
    pub ready: Option<String>,
    /// Address at which the backend servers of this host register.
    pub registration: Option<String>,
    /// Service that runs on this host, sent to backend servers as the caller's service.
    pub own_service: Option<String>,
    /// Whether the seeds are contacted at this daemon's peer port instead of the ports given.
    pub seeds_at_peer_port: Option<String>,
    /// Default floor: the share of the slots that ejection must leave in service.
    pub floor: Option<String>,
    /// Default preference between detection and precision.
    pub prefer: Option<String>,
    /// Default number of requests that may be queued for each backend server.
    pub queue: Option<String>,
    /// Default share of requests that may be retried.
    pub retry_share: Option<String>,
    /// Default number of retries beyond `retry_share`, per service over the whole fleet in one
    /// window.
    pub retry_extra: Option<String>,
    /// Length of the window of `retry_extra` in milliseconds.
    pub retry_window_ms: Option<String>,
    /// Share of a rate limit by which the fleet may exceed the limit.
    pub limit_over: Option<String>,
    /// Requests beyond `limit_over` that are admitted in one window.
    pub limit_extra: Option<String>,
    /// Length of the window of `limit_extra` in milliseconds.
    pub limit_window_ms: Option<String>,
    /// Time from the first stop signal to the platform's kill, in milliseconds.
    pub kill_after_ms: Option<String>,
    /// Shortest drain in milliseconds.
    pub drain_min_ms: Option<String>,
    /// Time between heartbeats to the neighbours in milliseconds.
    pub heartbeat_ms: Option<String>,
    /// Whether the origin of a request is hidden from backend servers.
    pub hide_callers: Option<String>,
    /// Whether a non-repeatable request is sent only to a backend server with recent progress.
    pub prove_once_only: Option<String>,
    /// Where requests that find no free slot are queued.
    pub waiting: Option<String>,
    /// Time that a request waits in its own failure domain rather than cause a transfer of one
    /// megabyte to another failure domain, in milliseconds.
    pub far_megabyte_ms: Option<String>,
}

impl RawOptions {
    /// Applies the settings file: sets each setting that neither a flag nor an environment variable
    /// gives.
    pub fn with_file(mut self) -> Result<Self, SettingError> {
        let path = match self.file()? {
            Some(path) => path,
            None => return Ok(self),
        };
        let unreadable_error = |error: std::io::Error| SettingError::Unreadable {
            path: path.clone(),
            message: error.to_string(),
        };
        let text = fs::read_to_string(&path).map_err(unreadable_error)?;
        for line in settings::read_lines(&text)? {
            let field = match self.field(&line.flag) {
                Some(field) => field,
                None => return Err(SettingError::Unknown { flag: line.flag }),
            };
            if field.is_none() && !settings::is_in_environment(&line.flag) {
                *field = Some(line.value);
            }
        }
        Ok(self)
    }

    /// Returns the path of the settings file, if there is one.
    pub fn file(&self) -> Result<Option<String>, SettingError> {
        settings::optional("config", self.config.clone(), "a path")
    }

    /// Returns the field that holds the value of a flag.
    fn field(&mut self, flag: &str) -> Option<&mut Option<String>> {
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
