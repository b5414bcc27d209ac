// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The settings of the daemon, checked at start.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use basaltarch_core::errors::SettingError;
use basaltarch_core::resources::{PreferChoice, QUEUE_MAX};
use basaltarch_core::settings;
use basaltarch_http::body::BodyLimits;
use basaltarch_http::fields::ExchangeFields;
use basaltarch_http::head::HeadLimits;
use basaltarch_peer::handshake::KEY_BYTES_MIN;
use basaltarch_platform::headers;
use basaltarch_telemetry::logs;

/// Allowed addresses, for error messages.
const ADDRESS_ALLOWED: &str = "an IP address with port, such as 127.0.0.1:8080";
/// Time between the end of the longest drain and the platform's kill: answers that were just written
/// still leave the host.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// One descriptor in this many may be a caller's connection; the others are for links to peers,
/// connections to backend servers, and files.
const CALLER_DESCRIPTORS_PART: u64 = 2;
/// One byte of memory in this many may be held for callers' connections.
const CALLER_MEMORY_PART: u64 = 2;
/// Bytes of a caller's connection with a request under way: 11.3 KiB and 21.2 KiB
/// (scripts/measure-memory, docs/MEASUREMENTS.md).
const CALLER_BYTES: u64 = 33 * 1024;
/// Longest drain: beyond it no platform waits for a host.
const DRAIN_MS_MAX: u64 = 3_600_000;

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
    /// Time from the first signal to stop to the platform's kill, in milliseconds.
    pub kill_after_ms: Option<String>,
    /// Shortest drain in milliseconds.
    pub drain_min_ms: Option<String>,
    /// Time between heartbeats to the neighbours in milliseconds.
    pub heartbeat_ms: Option<String>,
    /// Whether backend servers are not told where a request came from.
    pub hide_callers: Option<String>,
}

/// `DaemonOptions` are the checked settings.
#[derive(Debug, Clone)]
pub struct DaemonOptions {
    /// The settings as flags gave them, to read the file again.
    pub given: RawOptions,
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
    /// Requests a second that are logged from start to end.
    pub log_requests: u32,
    /// Other requests a second that are logged since they failed.
    pub log_failures: u32,
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
    /// Where the configuration comes from.
    pub source: ConfigSource,
    /// Address at which the platform asks whether the daemon is ready, if it does.
    pub ready: Option<SocketAddr>,
    /// Address at which the backend servers of this host register, if they do.
    pub registration: Option<SocketAddr>,
    /// Service that runs on this host, if it is known beforehand.
    pub own_service: Option<String>,
    /// What holds for services that declare nothing else.
    pub defaults: ServiceDefaults,
    /// Shortest drain.
    pub drain_min: Duration,
    /// Time between heartbeats to the neighbours.
    pub heartbeat: Duration,
    /// Whether backend servers are told where a request came from.
    pub forwarded: bool,
}

/// `ConfigSource` says where the configuration comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// Operators declare resources through the daemons' API.
    Resources,
    /// The operator writes one document into the platform's store, and backend servers register
    /// themselves with the daemon beside them.
    Document,
}

/// `ServiceDefaults` is what holds for services that declare nothing else.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceDefaults {
    /// Share of the slots that ejection never goes below.
    pub floor: f64,
    /// Which error a service would rather have.
    pub prefer: PreferChoice,
    /// Requests that may wait before each backend server.
    pub queue: u32,
    /// Share of requests that may be repeated.
    pub retry_share: f64,
    /// Repeats over the whole fleet in one window beyond that share.
    pub retry_extra: u32,
    /// Length of that window.
    pub retry_window: Duration,
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
            _ => return None,
        })
    }
}

impl DaemonOptions {
    /// Reads and checks the settings; the settings file fills what flags and variables leave open.
    pub fn try_new(given: RawOptions) -> Result<Self, SettingError> {
        let raw = given.clone().with_file()?;
        let loopback = SocketAddr::from((IpAddr::from([127, 0, 0, 1]), 0));
        let address =
            |flag: &str, given| settings::checked(flag, given, loopback, ADDRESS_ALLOWED, |_| true);
        let source = source(raw.source)?;
        let peers = address("peers", raw.peers)?;
        let at_peer_port = flag("seeds-at-peer-port", raw.seeds_at_peer_port)?;
        let mut seeds = seeds(raw.seeds)?;
        if at_peer_port {
            seeds.iter_mut().for_each(|seed| seed.set_port(peers.port()));
        }
        Ok(Self {
            given,
            callers: address("callers", raw.callers)?,
            peers,
            admin: address("admin", raw.admin)?,
            advertise_peers: advertised("advertise-peers", raw.advertise_peers)?,
            advertise_admin: advertised("advertise-admin", raw.advertise_admin)?,
            seeds,
            host: name("host", raw.host)?,
            failure_domain: name("failure-domain", raw.failure_domain)?,
            platform: settings::required("platform", raw.platform, ADDRESS_ALLOWED)?,
            fleet_key: fleet_key(raw.fleet_key)?,
            admin_token: settings::required("admin-token", raw.admin_token, "a token")?,
            log: log_level(raw.log)?,
            log_requests: count("log-requests", raw.log_requests, 20, 0, 1_000_000)? as u32,
            log_failures: count("log-failures", raw.log_failures, 50, 0, 1_000_000)? as u32,
            drain: longest_drain(raw.drain_ms, raw.kill_after_ms)?,
            connections: caller_connections(raw.connections, raw.descriptors, raw.memory_mb)?,
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
            source,
            ready: settings::optional("ready", raw.ready, ADDRESS_ALLOWED)?,
            registration: settings::optional("registration", raw.registration, ADDRESS_ALLOWED)?,
            own_service: settings::optional("own-service", raw.own_service, "a name")?,
            defaults: ServiceDefaults {
                floor: share("floor", raw.floor, 0.7)?,
                prefer: prefer(raw.prefer)?,
                queue: count("queue", raw.queue, 16, 0, QUEUE_MAX.into())? as u32,
                retry_share: share("retry-share", raw.retry_share, 0.1)?,
                retry_extra: count("retry-extra", raw.retry_extra, 100, 0, 1_000_000)? as u32,
                retry_window: millis("retry-window-ms", raw.retry_window_ms, 10_000, 600_000)?,
            },
            heartbeat: millis("heartbeat-ms", raw.heartbeat_ms, 1000, 600_000)?,
            forwarded: !flag("hide-callers", raw.hide_callers)?,
            drain_min: millis("drain-min-ms", raw.drain_min_ms, 500, DRAIN_MS_MAX)?,
        })
    }

    /// Returns the names of the header fields that backend servers of this deployment know.
    pub fn exchange_fields(&self) -> ExchangeFields {
        match self.source {
            ConfigSource::Resources => ExchangeFields::default(),
            ConfigSource::Document => headers::exchange_fields(),
        }
    }

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

    /// Returns the address at which other daemons reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.peers)
    }

    /// Returns the address at which operators reach this daemon.
    pub fn admin_address(&self) -> SocketAddr {
        self.advertise_admin.unwrap_or(self.admin)
    }
}

/// Returns the bound of callers' connections: as given, and such that links to peers, connections to
/// backend servers and requests under way have room beside them.
fn caller_connections(
    given: Option<String>,
    descriptors: Option<String>,
    memory_mb: Option<String>,
) -> Result<usize, SettingError> {
    let wanted = count("connections", given, 10_000, 1, 1_000_000)?;
    let descriptors = count("descriptors", descriptors, 1 << 20, 256, 1 << 30)?;
    let memory = count("memory-mb", memory_mb, 1 << 20, 16, 1 << 30)? << 20;
    let by_descriptors = descriptors / CALLER_DESCRIPTORS_PART;
    let by_memory = memory / CALLER_MEMORY_PART / CALLER_BYTES;
    Ok(wanted.min(by_descriptors).min(by_memory) as usize)
}

/// Returns the longest drain: it must end before the platform kills the daemon.
fn longest_drain(
    drain: Option<String>,
    kill_after: Option<String>,
) -> Result<Duration, SettingError> {
    let drain = millis("drain-ms", drain, 30_000, DRAIN_MS_MAX)?;
    let kill_after = millis("kill-after-ms", kill_after, DRAIN_MS_MAX, DRAIN_MS_MAX)?;
    Ok(drain.min(kill_after.saturating_sub(KILL_MARGIN)))
}

fn source(given: Option<String>) -> Result<ConfigSource, SettingError> {
    let allowed = "resources or document";
    let name = settings::checked("source", given, "resources".to_owned(), allowed, |name| {
        matches!(name.as_str(), "resources" | "document")
    })?;
    Ok(if name == "document" { ConfigSource::Document } else { ConfigSource::Resources })
}

fn prefer(given: Option<String>) -> Result<PreferChoice, SettingError> {
    let allowed = "detection or precision";
    let name = settings::checked("prefer", given, "precision".to_owned(), allowed, |name| {
        matches!(name.as_str(), "detection" | "precision")
    })?;
    Ok(if name == "detection" { PreferChoice::Detection } else { PreferChoice::Precision })
}

fn share(name: &str, given: Option<String>, default: f64) -> Result<f64, SettingError> {
    settings::checked(name, given, default, "0 to 1", |value| (0.0..=1.0).contains(value))
}

fn flag(name: &str, given: Option<String>) -> Result<bool, SettingError> {
    settings::checked(name, given, false, "true or false", |_| true)
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
    let allowed = format!("1 to {most} ms, or a number of seconds with an s behind it");
    let given: Option<String> = settings::optional(flag, given, &allowed)?;
    let given = given.map(|text| seconds_as_millis(&text).unwrap_or(text));
    let value =
        settings::checked(flag, given, default, &allowed, |value| (1..=most).contains(value));
    value.map(Duration::from_millis)
}

/// Turns `2.5s` into `2500`; gives nothing for a text of another form.
fn seconds_as_millis(text: &str) -> Option<String> {
    let seconds: f64 = text.strip_suffix('s')?.parse().ok()?;
    Some(format!("{}", (seconds * 1000.0).round()))
}
