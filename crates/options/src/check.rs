// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Validates the settings and converts them to the options that the daemon runs with.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::resources::QUEUE_MAX;
use basaltarch_core::settings;
use basaltarch_decide::grants::LimitTolerance;
use basaltarch_http::body::BodyLimits;
use basaltarch_http::fields::ExchangeFields;
use basaltarch_http::head::HeadLimits;
use basaltarch_platform::headers;

use crate::{bounds, defaults, source, values, waiting};
use crate::{ConfigSource, RawOptions, ServiceDefaults, WaitingMode};

/// `DaemonOptions` is the set of validated settings.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// The settings as given by flags, kept for reloading the settings file.
    pub given: RawOptions,
    /// Name of the host; the backend servers declared on it belong to this daemon.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address at which other daemons reach this daemon, if it differs from `peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// Address at which operators reach this daemon, if it differs from `admin`.
    pub advertise_admin: Option<SocketAddr>,
    /// Addresses of some other daemons, used while the platform's list of hosts is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Key shared by all daemons.
    pub fleet_key: Vec<u8>,
    /// Token of operators.
    pub admin_token: String,
    /// Level of logs.
    pub log: String,
    /// Requests per second that are logged from start to end.
    pub log_requests: u32,
    /// Further requests per second that are logged because they failed.
    pub log_failures: u32,
    /// Longest drain.
    pub drain: Duration,
    /// Maximum number of callers' connections.
    pub connections: usize,
    /// Maximum number of connections from one caller's address.
    pub connections_each: usize,
    /// Maximum number of bytes that are held for clients beyond those reckoned for each connection.
    pub client_bytes: u64,
    /// Maximum number of links that other daemons dial.
    pub accepted_links: usize,
    /// Limits on the heads of requests.
    pub head: HeadLimits,
    /// Limits on the bodies of requests.
    pub body: BodyLimits,
    /// Reads from the platform per second over the whole fleet.
    pub store_reads: f64,
    /// Writes to the platform per second by this daemon.
    pub store_writes: f64,
    /// Minimum number of hours for which the rows of at-most-once requests are kept.
    pub once_keep_hours: u64,
    /// Time without requests after which the state of a service is dropped.
    pub service_idle: Duration,
    /// Where the configuration comes from.
    pub source: ConfigSource,
    /// Address of the readiness probe, if the platform probes the daemon.
    pub ready: Option<SocketAddr>,
    /// Address at which the backend servers of this host register, `None` without registration.
    pub registration: Option<SocketAddr>,
    /// Service that runs on this host, if it is known in advance.
    pub own_service: Option<String>,
    /// Defaults of the settings that a service does not declare.
    pub defaults: ServiceDefaults,
    /// Shortest drain.
    pub drain_min: Duration,
    /// How far the fleet may exceed a rate limit.
    pub limit_tolerance: LimitTolerance,
    /// Time between heartbeats to the neighbours.
    pub heartbeat: Duration,
    /// Whether backend servers are sent the origin of a request.
    pub forwarded: bool,
    /// Whether a non-repeatable request is sent only to a backend server with recent progress.
    pub prove_once_only: bool,
    /// Where requests that find no free slot are queued.
    pub waiting: WaitingMode,
    /// Time that a request waits in its own failure domain rather than cause a transfer of one
    /// megabyte to another failure domain.
    pub far_megabyte: Duration,
}

impl DaemonOptions {
    /// Reads and validates the settings; the settings file fills what flags and environment
    /// variables leave open.
    pub fn try_new(given: RawOptions) -> Result<Self, SettingError> {
        let raw = given.clone().with_file()?;
        let loopback = SocketAddr::from((IpAddr::from([127, 0, 0, 1]), 0));
        let address = |flag: &str, given| {
            settings::checked(flag, given, loopback, values::ADDRESS_ALLOWED, |_| true)
        };
        let source = source::read(raw.source)?;
        let peers = address("peers", raw.peers)?;
        let uses_peer_port = values::read_flag("seeds-at-peer-port", raw.seeds_at_peer_port)?;
        let mut seeds = values::read_seeds(raw.seeds)?;
        if uses_peer_port {
            seeds.iter_mut().for_each(|seed| seed.set_port(peers.port()));
        }
        Ok(Self {
            given,
            callers: address("callers", raw.callers)?,
            peers,
            admin: address("admin", raw.admin)?,
            advertise_peers: values::read_advertised("advertise-peers", raw.advertise_peers)?,
            advertise_admin: values::read_advertised("advertise-admin", raw.advertise_admin)?,
            seeds,
            host: values::read_name("host", raw.host)?,
            failure_domain: values::read_name("failure-domain", raw.failure_domain)?,
            platform: settings::required("platform", raw.platform, values::ADDRESS_ALLOWED)?,
            fleet_key: values::read_fleet_key(raw.fleet_key)?,
            admin_token: settings::required("admin-token", raw.admin_token, "a token")?,
            log: values::read_log_level(raw.log)?,
            log_requests: values::read_count("log-requests", raw.log_requests, 20, 0, 1_000_000)?
                as u32,
            log_failures: values::read_count("log-failures", raw.log_failures, 50, 0, 1_000_000)?
                as u32,
            drain: bounds::longest_drain(raw.drain_ms, raw.kill_after_ms)?,
            client_bytes: bounds::client_bytes(raw.memory_mb.clone())?,
            accepted_links: bounds::accepted_links(raw.descriptors.clone())?,
            connections: bounds::caller_connections(
                raw.connections,
                raw.descriptors,
                raw.memory_mb,
            )?,
            connections_each: values::read_amount(
                "connections-each",
                raw.connections_each,
                2000,
                1,
                1_000_000,
            )? as usize,
            head: HeadLimits {
                bytes: values::read_count("head-bytes", raw.head_bytes, 16_384, 512, 32_768)?
                    as usize,
                time: values::read_millis("head-ms", raw.head_ms, 10_000, 600_000)?,
                idle: values::read_millis("idle-ms", raw.idle_ms, 75_000, 3_600_000)?,
            },
            body: BodyLimits {
                bytes: values::read_count("body-bytes", raw.body_bytes, 4 << 30, 0, 1 << 50)?,
                idle: values::read_millis("body-idle-ms", raw.body_idle_ms, 30_000, 600_000)?,
            },
            store_reads: values::read_count("store-reads", raw.store_reads, 400, 1, 100_000)?
                as f64,
            store_writes: values::read_count("store-writes", raw.store_writes, 50, 1, 100_000)?
                as f64,
            service_idle: values::read_millis(
                "service-idle-ms",
                raw.service_idle_ms,
                600_000,
                86_400_000,
            )?,
            once_keep_hours: values::read_count(
                "once-keep-hours",
                raw.once_keep_hours,
                24,
                1,
                8760,
            )?,
            source,
            ready: settings::optional("ready", raw.ready, values::ADDRESS_ALLOWED)?,
            registration: settings::optional(
                "registration",
                raw.registration,
                values::ADDRESS_ALLOWED,
            )?,
            own_service: settings::optional("own-service", raw.own_service, "a name")?,
            defaults: ServiceDefaults {
                floor: values::read_share("floor", raw.floor, 0.7)?,
                prefer: defaults::read_preference(raw.prefer)?,
                queue: values::read_count("queue", raw.queue, 16, 0, QUEUE_MAX.into())? as u32,
                retry_share: values::read_ratio("retry-share", raw.retry_share, 0.1)?,
                retry_extra: values::read_amount("retry-extra", raw.retry_extra, 100, 0, 1_000_000)?
                    as u32,
                retry_window: values::read_millis(
                    "retry-window-ms",
                    raw.retry_window_ms,
                    10_000,
                    86_400_000,
                )?,
            },
            limit_tolerance: LimitTolerance {
                window: values::read_millis("limit-window-ms", raw.limit_window_ms, 1000, 600_000)?,
                over: values::read_share("limit-over", raw.limit_over, 0.0)?,
                extra: values::read_amount("limit-extra", raw.limit_extra, 0, 0, 1_000_000)? as f64,
            },
            heartbeat: values::read_millis("heartbeat-ms", raw.heartbeat_ms, 1000, 600_000)?,
            forwarded: !values::read_flag("hide-callers", raw.hide_callers)?,
            prove_once_only: values::read_flag("prove-once-only", raw.prove_once_only)?,
            waiting: waiting::read(raw.waiting)?,
            far_megabyte: Duration::from_millis(values::read_count(
                "far-megabyte-ms",
                raw.far_megabyte_ms,
                0,
                0,
                600_000,
            )?),
            drain_min: values::read_millis(
                "drain-min-ms",
                raw.drain_min_ms,
                500,
                bounds::DRAIN_MS_MAX,
            )?,
        })
    }

    /// Returns the header fields that the backend servers of this deployment use.
    pub fn exchange_fields(&self) -> ExchangeFields {
        match self.source {
            ConfigSource::Resources => ExchangeFields::default(),
            ConfigSource::Document => headers::exchange_fields(),
        }
    }

    /// Returns the address at which other daemons reach this daemon.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.peers)
    }

    /// Returns the address at which operators reach this daemon.
    pub fn admin_address(&self) -> SocketAddr {
        self.advertise_admin.unwrap_or(self.admin)
    }
}
