// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings of the daemon, checked at start.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::settings;
use basaltarch_http::body::BodyLimits;
use basaltarch_http::head::HeadLimits;
use basaltarch_peer::handshake::KEY_BYTES_MIN;
use basaltarch_telemetry::logs;

/// Allowed addresses, for error messages.
const ADDRESS_ALLOWED: &str = "an IP address with port, such as 127.0.0.1:8080";
/// Longest drain: beyond it no platform waits for a host.
const DRAIN_MS_MAX: u64 = 3_600_000;

/// `RawOptions` are the settings as given by flags; environment variables fill the gaps.
#[derive(Debug, Clone, Default)]
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
    /// Longest drain in milliseconds.
    pub drain_ms: Option<String>,
    /// Connections of callers.
    pub connections: Option<String>,
    /// Connections of one caller's address.
    pub connections_each: Option<String>,
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
}

/// `DaemonOptions` are the checked settings.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// Name of the host; backend servers with this host are this daemon's.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address at which other daemons reach this one, if not the one it listens on.
    pub advertise_peers: Option<SocketAddr>,
    /// Address at which operators reach this daemon, if not the one it listens on.
    pub advertise_admin: Option<SocketAddr>,
    /// Addresses of some other daemons, asked while the platform's host list is away.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Key shared by all daemons.
    pub fleet_key: Vec<u8>,
    /// Token of operators.
    pub admin_token: String,
    /// Level of logs.
    pub log: String,
    /// Longest drain.
    pub drain: Duration,
    /// Most connections of callers.
    pub connections: usize,
    /// Most connections of one caller's address.
    pub connections_each: usize,
    /// Bounds of requests' heads.
    pub head: HeadLimits,
    /// Bounds of requests' bodies.
    pub body: BodyLimits,
    /// Reads of the platform a second over the whole fleet.
    pub store_reads: f64,
    /// Writes to the platform a second by this daemon.
    pub store_writes: f64,
    /// Hours for which rows of once-only work are kept at least.
    pub once_keep_hours: u64,
    /// Time after which a service that nobody asks for is forgotten.
    pub service_idle: Duration,
}

impl DaemonOptions {
    /// Reads and checks the settings.
    pub fn try_new(raw: RawOptions) -> Result<Self, SettingError> {
        let loopback = SocketAddr::from((IpAddr::from([127, 0, 0, 1]), 0));
        let address =
            |flag: &str, given| settings::checked(flag, given, loopback, ADDRESS_ALLOWED, |_| true);
        Ok(Self {
            callers: address("callers", raw.callers)?,
            peers: address("peers", raw.peers)?,
            admin: address("admin", raw.admin)?,
            advertise_peers: advertised("advertise-peers", raw.advertise_peers)?,
            advertise_admin: advertised("advertise-admin", raw.advertise_admin)?,
            seeds: seeds(raw.seeds)?,
            host: name("host", raw.host)?,
            failure_domain: name("failure-domain", raw.failure_domain)?,
            platform: settings::required("platform", raw.platform, ADDRESS_ALLOWED)?,
            fleet_key: fleet_key(raw.fleet_key)?,
            admin_token: settings::required("admin-token", raw.admin_token, "a token")?,
            log: log_level(raw.log)?,
            drain: millis("drain-ms", raw.drain_ms, 30_000, DRAIN_MS_MAX)?,
            connections: count("connections", raw.connections, 10_000, 1, 1_000_000)? as usize,
            connections_each: count("connections-each", raw.connections_each, 2000, 1, 1_000_000)?
                as usize,
            head: HeadLimits {
                bytes: count("head-bytes", raw.head_bytes, 16_384, 512, 32_768)? as usize,
                time: millis("head-ms", raw.head_ms, 10_000, 600_000)?,
                idle: millis("idle-ms", raw.idle_ms, 75_000, 3_600_000)?,
                ..HeadLimits::default()
            },
            body: BodyLimits {
                bytes: count("body-bytes", raw.body_bytes, 4 << 30, 0, 1 << 50)?,
                idle: millis("body-idle-ms", raw.body_idle_ms, 30_000, 600_000)?,
            },
            store_reads: count("store-reads", raw.store_reads, 400, 1, 100_000)? as f64,
            store_writes: count("store-writes", raw.store_writes, 50, 1, 100_000)? as f64,
            service_idle: millis("service-idle-ms", raw.service_idle_ms, 600_000, 86_400_000)?,
            once_keep_hours: count("once-keep-hours", raw.once_keep_hours, 24, 1, 8760)?,
        })
    }

    /// Returns the address at which other daemons reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.peers)
    }

    /// Returns the address at which operators reach this daemon.
    pub fn admin_address(&self) -> SocketAddr {
        self.advertise_admin.unwrap_or(self.admin)
    }
}

fn advertised(flag: &str, given: Option<String>) -> Result<Option<SocketAddr>, SettingError> {
    settings::optional(flag, given, ADDRESS_ALLOWED)
}

fn seeds(given: Option<String>) -> Result<Vec<SocketAddr>, SettingError> {
    let allowed = "IP addresses with ports, separated by commas";
    let list: Option<String> = settings::optional("seeds", given, allowed)?;
    let list = list.unwrap_or_default();
    let parts = list.split(',').filter(|part| !part.is_empty());
    parts.map(|part| settings::required("seeds", Some(part.trim().to_owned()), allowed)).collect()
}

fn name(flag: &str, given: Option<String>) -> Result<String, SettingError> {
    let allowed = "1 to 128 of a-z, 0-9, '-', '.', '_'";
    let name: String = settings::required(flag, given, allowed)?;
    settings::checked(flag, Some(name), String::new(), allowed, |name: &String| {
        let plain =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._".contains(&byte);
        (1..=128).contains(&name.len()) && name.bytes().all(plain)
    })
}

fn fleet_key(given: Option<String>) -> Result<Vec<u8>, SettingError> {
    let allowed = "at least 16 characters";
    let key: String = settings::required("fleet-key", given, allowed)?;
    if key.len() >= KEY_BYTES_MIN {
        return Ok(key.into_bytes());
    }
    // The key itself must not stand in logs.
    Err(SettingError::Invalid {
        flag: "fleet-key".to_owned(),
        variable: settings::variable_of("fleet-key"),
        value: format!("({} characters)", key.len()),
        allowed: allowed.to_owned(),
    })
}

fn log_level(given: Option<String>) -> Result<String, SettingError> {
    let allowed = "error, warn, info, debug, trace, or a list by module";
    settings::checked("log", given, "info".to_owned(), allowed, |level: &String| {
        logs::is_valid(level)
    })
}

fn count(
    flag: &str,
    given: Option<String>,
    default: u64,
    least: u64,
    most: u64,
) -> Result<u64, SettingError> {
    let allowed = format!("{least} to {most}");
    settings::checked(flag, given, default, &allowed, |value| (least..=most).contains(value))
}

fn millis(
    flag: &str,
    given: Option<String>,
    default: u64,
    most: u64,
) -> Result<Duration, SettingError> {
    count(flag, given, default, 1, most).map(Duration::from_millis)
}
