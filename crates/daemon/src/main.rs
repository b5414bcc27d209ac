// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! `basaltarchd`: the proxy daemon that runs on each backend server host.

#![allow(missing_docs, reason = "the command-line macro makes items without doc comments")]

use std::process;

use basaltarch_core::settings::EXIT_BAD_SETTINGS;
use basaltarch_daemon::errors::DaemonError;
use basaltarch_daemon::run::{self, StopRequests, EXIT_REQUESTS_CUT};
use basaltarch_daemon::stop::StopReport;
use basaltarch_options::{DaemonOptions, RawOptions};
use basaltarch_telemetry::{logs, runtime};

mod flags {
    xflags::xflags! {
        /// The proxy daemon that runs on each backend server host. Each flag can also be given by
        /// the environment variable in brackets; the flag takes precedence.
        cmd basaltarchd {
            /// Path of a settings file with lines `flag = value`, used where neither a flag nor an
            /// environment variable is given [BASALTARCH_CONFIG].
            optional --config path: String
            /// Source of the configuration: `resources`, declared through the daemons' API, or
            /// `document`, the operator's document in the platform's store [BASALTARCH_SOURCE],
            /// default resources.
            optional --source name: String
            /// Name of the host [BASALTARCH_HOST].
            optional --host name: String
            /// Failure domain of the host [BASALTARCH_FAILURE_DOMAIN].
            optional --failure-domain name: String
            /// Address that callers connect to [BASALTARCH_CALLERS], default 127.0.0.1:0.
            optional --callers address: String
            /// Address that other daemons connect to [BASALTARCH_PEERS], default 127.0.0.1:0.
            optional --peers address: String
            /// Address of the operators' API [BASALTARCH_ADMIN], default 127.0.0.1:0.
            optional --admin address: String
            /// Address of the readiness check for the platform [BASALTARCH_READY].
            optional --ready address: String
            /// Address at which the backend servers of this host register
            /// [BASALTARCH_REGISTRATION].
            optional --registration address: String
            /// Service that runs on this host, reported to backend servers as the caller of
            /// requests that this daemon receives [BASALTARCH_OWN_SERVICE].
            optional --own-service name: String
            /// Address at which other daemons reach this one, if it differs from the one it listens
            /// on [BASALTARCH_ADVERTISE_PEERS].
            optional --advertise-peers address: String
            /// Address at which operators reach this daemon, if it differs from the one it listens
            /// on [BASALTARCH_ADVERTISE_ADMIN].
            optional --advertise-admin address: String
            /// Addresses of some other daemons, separated by commas, contacted while no other
            /// daemon is known, as when the platform's store is unavailable [BASALTARCH_SEEDS].
            optional --seeds addresses: String
            /// Whether the seeds are contacted at this daemon's peer port instead of the ports
            /// given [BASALTARCH_SEEDS_AT_PEER_PORT], default false.
            optional --seeds-at-peer-port flag: String
            /// Address of the platform [BASALTARCH_PLATFORM].
            optional --platform address: String
            /// Key shared by all daemons, at least 16 characters [BASALTARCH_FLEET_KEY].
            optional --fleet-key key: String
            /// Token of operators [BASALTARCH_ADMIN_TOKEN].
            optional --admin-token token: String
            /// Log level [BASALTARCH_LOG], default info.
            optional --log level: String
            /// Requests per second that are logged from start to end [BASALTARCH_LOG_REQUESTS],
            /// default 20.
            optional --log-requests count: String
            /// Further requests per second that are logged because they failed
            /// [BASALTARCH_LOG_FAILURES], default 50.
            optional --log-failures count: String
            /// Longest drain in ms [BASALTARCH_DRAIN_MS], default 30000.
            optional --drain-ms ms: String
            /// Time in ms from the first stop signal to the platform's kill; the drain ends before
            /// it [BASALTARCH_KILL_AFTER_MS], default 3600000.
            optional --kill-after-ms ms: String
            /// Shortest drain in ms, for callers that learn late that the daemon is leaving
            /// [BASALTARCH_DRAIN_MIN_MS], default 500.
            optional --drain-min-ms ms: String
            /// Maximum number of callers' connections [BASALTARCH_CONNECTIONS], default 10000.
            optional --connections count: String
            /// Maximum number of connections from one address of a caller
            /// [BASALTARCH_CONNECTIONS_EACH], default 2000.
            optional --connections-each count: String
            /// File descriptors that the platform allows the daemon; callers' connections use at
            /// most half of them [BASALTARCH_DESCRIPTORS], default 1048576.
            optional --descriptors count: String
            /// Memory that the platform allows the daemon, in MB; callers' connections use at most
            /// half of it [BASALTARCH_MEMORY_MB], default 1048576.
            optional --memory-mb megabytes: String
            /// Largest request head in bytes [BASALTARCH_HEAD_BYTES], default 16384.
            optional --head-bytes bytes: String
            /// Longest time to receive a request head in ms [BASALTARCH_HEAD_MS], default 10000.
            optional --head-ms ms: String
            /// Longest idle time of a caller's connection in ms [BASALTARCH_IDLE_MS], default
            /// 75000.
            optional --idle-ms ms: String
            /// Largest request body in bytes [BASALTARCH_BODY_BYTES], default 4294967296.
            optional --body-bytes bytes: String
            /// Longest wait for the next bytes of a body in ms [BASALTARCH_BODY_IDLE_MS], default
            /// 30000.
            optional --body-idle-ms ms: String
            /// Reads from the platform's store per second by the whole fleet
            /// [BASALTARCH_STORE_READS], default 400.
            optional --store-reads count: String
            /// Writes to the platform's store per second by this daemon [BASALTARCH_STORE_WRITES],
            /// default 50.
            optional --store-writes count: String
            /// Least number of hours for which the key of an at-most-once request is remembered
            /// [BASALTARCH_ONCE_KEEP_HOURS], default 24.
            optional --once-keep-hours hours: String
            /// Time in ms without requests after which the state of a service is evicted
            /// [BASALTARCH_SERVICE_IDLE_MS], default 600000.
            optional --service-idle-ms ms: String
            /// Time between heartbeats to a few other daemons in ms [BASALTARCH_HEARTBEAT_MS],
            /// default 1000.
            optional --heartbeat-ms ms: String
            /// Whether the addresses of callers are hidden from backend servers
            /// [BASALTARCH_HIDE_CALLERS], default false.
            optional --hide-callers flag: String
            /// Share of a service's slots that must stay in service when an upstream is ejected, if
            /// the configuration does not set it [BASALTARCH_FLOOR], default 0.7.
            optional --floor share: String
            /// What outlier ejection prefers if the configuration does not set it: `detection`,
            /// which may eject a healthy upstream, or `precision`, which may miss a faulty one
            /// [BASALTARCH_PREFER], default precision.
            optional --prefer name: String
            /// Requests that may queue at each backend server if the configuration does not set it
            /// [BASALTARCH_QUEUE], default 16.
            optional --queue count: String
            /// Share of a service's requests that may be retried if the configuration does not set
            /// it [BASALTARCH_RETRY_SHARE], default 0.1.
            optional --retry-share share: String
            /// Retries of a service by the whole fleet that are allowed in one window beyond that
            /// share [BASALTARCH_RETRY_EXTRA], default 100.
            optional --retry-extra count: String
            /// Length of that window in ms [BASALTARCH_RETRY_WINDOW_MS], default 10000.
            optional --retry-window-ms ms: String
            /// Share of a rate limit by which the fleet may exceed it in a window
            /// [BASALTARCH_LIMIT_OVER], default 0.
            optional --limit-over share: String
            /// Requests beyond that share that are tolerated in a window [BASALTARCH_LIMIT_EXTRA],
            /// default 0.
            optional --limit-extra count: String
            /// Length of that window in ms [BASALTARCH_LIMIT_WINDOW_MS], default 1000.
            optional --limit-window-ms ms: String
            /// Whether non-repeatable requests avoid, if possible, backend servers where no request
            /// has ended for a while [BASALTARCH_PROVE_ONCE_ONLY], default false.
            optional --prove-once-only flag: String
            /// Where requests wait that find no free slot: `one-host`, in the queue of one host, or
            /// `places`, at the daemon that received them, with reservations for slots of several
            /// hosts [BASALTARCH_WAITING], default one-host.
            optional --waiting name: String
            /// Time in ms that a request waits in its own failure domain to save sending a megabyte
            /// to another one [BASALTARCH_FAR_MEGABYTE_MS], default 0.
            optional --far-megabyte-ms ms: String
        }
    }
}

/// Exit status when the daemon could not start.
const EXIT_START_FAILED: i32 = 1;

fn main() {
    let flags = flags::Basaltarchd::from_env_or_exit();
    match start(flags) {
        Ok(StopReport { cut: 0 }) => {}
        Ok(StopReport { cut }) => {
            eprintln!("basaltarchd: stopped with {cut} requests cut");
            process::exit(EXIT_REQUESTS_CUT);
        }
        Err(error @ DaemonError::Setting { .. }) => {
            eprintln!("basaltarchd: {error}");
            process::exit(EXIT_BAD_SETTINGS);
        }
        Err(error) => {
            eprintln!("basaltarchd: {error}");
            process::exit(EXIT_START_FAILED);
        }
    }
}

fn start(flags: flags::Basaltarchd) -> Result<StopReport, DaemonError> {
    let raw = RawOptions {
        host: flags.host,
        failure_domain: flags.failure_domain,
        callers: flags.callers,
        peers: flags.peers,
        admin: flags.admin,
        advertise_peers: flags.advertise_peers,
        advertise_admin: flags.advertise_admin,
        seeds: flags.seeds,
        platform: flags.platform,
        fleet_key: flags.fleet_key,
        admin_token: flags.admin_token,
        log: flags.log,
        log_requests: flags.log_requests,
        log_failures: flags.log_failures,
        drain_ms: flags.drain_ms,
        connections: flags.connections,
        connections_each: flags.connections_each,
        descriptors: flags.descriptors,
        memory_mb: flags.memory_mb,
        head_bytes: flags.head_bytes,
        head_ms: flags.head_ms,
        idle_ms: flags.idle_ms,
        body_bytes: flags.body_bytes,
        body_idle_ms: flags.body_idle_ms,
        store_reads: flags.store_reads,
        store_writes: flags.store_writes,
        once_keep_hours: flags.once_keep_hours,
        service_idle_ms: flags.service_idle_ms,
        config: flags.config,
        source: flags.source,
        ready: flags.ready,
        registration: flags.registration,
        own_service: flags.own_service,
        seeds_at_peer_port: flags.seeds_at_peer_port,
        floor: flags.floor,
        prefer: flags.prefer,
        queue: flags.queue,
        retry_share: flags.retry_share,
        retry_extra: flags.retry_extra,
        retry_window_ms: flags.retry_window_ms,
        limit_over: flags.limit_over,
        limit_extra: flags.limit_extra,
        limit_window_ms: flags.limit_window_ms,
        drain_min_ms: flags.drain_min_ms,
        kill_after_ms: flags.kill_after_ms,
        heartbeat_ms: flags.heartbeat_ms,
        hide_callers: flags.hide_callers,
        prove_once_only: flags.prove_once_only,
        waiting: flags.waiting,
        far_megabyte_ms: flags.far_megabyte_ms,
    };
    let options = DaemonOptions::try_new(raw).map_err(|source| DaemonError::Setting { source })?;
    let _logs = logs::start(&options.log);
    let running = run::run(options, StopRequests::Signals, |_| {});
    runtime::run(running).map_err(|source| DaemonError::Start { source })?
}
