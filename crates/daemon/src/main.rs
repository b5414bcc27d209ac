// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! `basaltarchd`: the daemon beside each backend server host.

#![allow(missing_docs, reason = "the command-line macro makes items without doc comments")]

use std::process;

use basaltarch_core::settings::EXIT_BAD_SETTINGS;
use basaltarch_daemon::errors::DaemonError;
use basaltarch_daemon::run::{self, StopRequests, EXIT_CUT};
use basaltarch_daemon::stop::StopReport;
use basaltarch_options::{DaemonOptions, RawOptions};
use basaltarch_telemetry::{logs, runtime};

mod flags {
    xflags::xflags! {
        /// The daemon beside each backend server host. Each flag can also be given by the
        /// environment variable in brackets; the flag wins.
        cmd basaltarchd {
            /// Path of a settings file with lines `flag = value`, which fill what neither a flag nor a
            /// variable gives [BASALTARCH_CONFIG].
            optional --config path: String
            /// Where the configuration comes from: `resources`, declared through the daemons' API, or
            /// `document`, the operator's document in the platform's store [BASALTARCH_SOURCE],
            /// default resources.
            optional --source name: String
            /// Name of the host [BASALTARCH_HOST].
            optional --host name: String
            /// Failure domain of the host [BASALTARCH_FAILURE_DOMAIN].
            optional --failure-domain name: String
            /// Address for callers [BASALTARCH_CALLERS], default 127.0.0.1:0.
            optional --callers address: String
            /// Address for other daemons [BASALTARCH_PEERS], default 127.0.0.1:0.
            optional --peers address: String
            /// Address for operators [BASALTARCH_ADMIN], default 127.0.0.1:0.
            optional --admin address: String
            /// Address at which the platform asks whether the daemon is ready [BASALTARCH_READY].
            optional --ready address: String
            /// Address at which the backend servers of this host register [BASALTARCH_REGISTRATION].
            optional --registration address: String
            /// Service that runs on this host, told to backend servers of callers from here
            /// [BASALTARCH_OWN_SERVICE].
            optional --own-service name: String
            /// Address at which other daemons reach this one, if not the one it listens on
            /// [BASALTARCH_ADVERTISE_PEERS].
            optional --advertise-peers address: String
            /// Address at which operators reach this daemon, if not the one it listens on
            /// [BASALTARCH_ADVERTISE_ADMIN].
            optional --advertise-admin address: String
            /// Addresses of some other daemons, separated by commas, asked while the platform's store
            /// is away [BASALTARCH_SEEDS].
            optional --seeds addresses: String
            /// Whether the seeds are reached at this daemon's peer port instead of the ports given
            /// [BASALTARCH_SEEDS_AT_PEER_PORT], default false.
            optional --seeds-at-peer-port flag: String
            /// Address of the platform [BASALTARCH_PLATFORM].
            optional --platform address: String
            /// Key shared by all daemons, at least 16 characters [BASALTARCH_FLEET_KEY].
            optional --fleet-key key: String
            /// Token of operators [BASALTARCH_ADMIN_TOKEN].
            optional --admin-token token: String
            /// Level of logs [BASALTARCH_LOG], default info.
            optional --log level: String
            /// Requests a second that are logged from start to end [BASALTARCH_LOG_REQUESTS], default 20.
            optional --log-requests count: String
            /// Other requests a second that are logged since they failed [BASALTARCH_LOG_FAILURES],
            /// default 50.
            optional --log-failures count: String
            /// Longest drain in ms [BASALTARCH_DRAIN_MS], default 30000.
            optional --drain-ms ms: String
            /// Time in ms from the first signal to stop to the platform's kill; the drain ends before
            /// it [BASALTARCH_KILL_AFTER_MS], default 3600000.
            optional --kill-after-ms ms: String
            /// Shortest drain in ms, for callers that hear late that the daemon leaves
            /// [BASALTARCH_DRAIN_MIN_MS], default 500.
            optional --drain-min-ms ms: String
            /// Connections of callers at most [BASALTARCH_CONNECTIONS], default 10000.
            optional --connections count: String
            /// Connections of one caller's address at most [BASALTARCH_CONNECTIONS_EACH], default 2000.
            optional --connections-each count: String
            /// File descriptors that the platform lets the daemon have; callers' connections use half of
            /// them at most [BASALTARCH_DESCRIPTORS], default 1048576.
            optional --descriptors count: String
            /// Memory that the platform lets the daemon have, in MB; callers' connections use half of
            /// it at most [BASALTARCH_MEMORY_MB], default 1048576.
            optional --memory-mb megabytes: String
            /// Largest head of a request in bytes [BASALTARCH_HEAD_BYTES], default 16384.
            optional --head-bytes bytes: String
            /// Longest time for a head in ms [BASALTARCH_HEAD_MS], default 10000.
            optional --head-ms ms: String
            /// Longest idle time of a caller's connection in ms [BASALTARCH_IDLE_MS], default 75000.
            optional --idle-ms ms: String
            /// Largest body of a request in bytes [BASALTARCH_BODY_BYTES], default 4294967296.
            optional --body-bytes bytes: String
            /// Longest wait for a piece of a body in ms [BASALTARCH_BODY_IDLE_MS], default 30000.
            optional --body-idle-ms ms: String
            /// Reads of the platform a second over the fleet [BASALTARCH_STORE_READS], default 400.
            optional --store-reads count: String
            /// Writes to the platform a second by this daemon [BASALTARCH_STORE_WRITES], default 50.
            optional --store-writes count: String
            /// Hours for which a key of once-only work is remembered at least
            /// [BASALTARCH_ONCE_KEEP_HOURS], default 24.
            optional --once-keep-hours hours: String
            /// Time in ms after which what was learnt of a service that nobody asks for is
            /// forgotten [BASALTARCH_SERVICE_IDLE_MS], default 600000.
            optional --service-idle-ms ms: String
            /// Time between heartbeats to a few other daemons in ms [BASALTARCH_HEARTBEAT_MS], default
            /// 1000.
            optional --heartbeat-ms ms: String
            /// Whether backend servers are not told where a request came from
            /// [BASALTARCH_HIDE_CALLERS], default false.
            optional --hide-callers flag: String
            /// Share of a service's slots that ejection never goes below, where the configuration
            /// says nothing [BASALTARCH_FLOOR], default 0.7.
            optional --floor share: String
            /// Which error services would rather have where the configuration says nothing:
            /// `detection` or `precision` [BASALTARCH_PREFER], default precision.
            optional --prefer name: String
            /// Requests that may wait before each backend server where the configuration says
            /// nothing [BASALTARCH_QUEUE], default 16.
            optional --queue count: String
            /// Share of a service's requests that may be repeated where the configuration says
            /// nothing [BASALTARCH_RETRY_SHARE], default 0.1.
            optional --retry-share share: String
            /// Repeats of a service over the whole fleet in one window beyond that share
            /// [BASALTARCH_RETRY_EXTRA], default 100.
            optional --retry-extra count: String
            /// Length of that window in ms [BASALTARCH_RETRY_WINDOW_MS], default 10000.
            optional --retry-window-ms ms: String
            /// Share of a limit over the fleet by which requests beyond it are tolerated in a window
            /// [BASALTARCH_LIMIT_OVER], default 0.
            optional --limit-over share: String
            /// Requests beyond that share which are tolerated in a window [BASALTARCH_LIMIT_EXTRA],
            /// default 0.
            optional --limit-extra count: String
            /// Length of that window in ms [BASALTARCH_LIMIT_WINDOW_MS], default 1000.
            optional --limit-window-ms ms: String
            /// Whether work that must not be repeated goes elsewhere, if it can, from a backend server at which nothing
            /// ended for a while [BASALTARCH_PROVE_ONCE_ONLY], default false.
            optional --prove-once-only flag: String
            /// Where work waits that finds no free slot: `one-host`, whole and in the queue of one, or
            /// `places`, at the daemon that took it in and with places before the slots of several hosts
            /// [BASALTARCH_WAITING], default one-host.
            optional --waiting name: String
            /// Time that work waits in its own failure domain rather than send a megabyte to another, in ms
            /// [BASALTARCH_FAR_MEGABYTE_MS], default 0.
            optional --far-megabyte-ms ms: String
        }
    }
}

/// Exit status when the daemon could not start.
const EXIT_START: i32 = 1;

fn main() {
    let flags = flags::Basaltarchd::from_env_or_exit();
    match start(flags) {
        Ok(StopReport { cut: 0 }) => {}
        Ok(StopReport { cut }) => {
            eprintln!("basaltarchd: stopped with {cut} requests cut");
            process::exit(EXIT_CUT);
        }
        Err(error @ DaemonError::Setting { .. }) => {
            eprintln!("basaltarchd: {error}");
            process::exit(EXIT_BAD_SETTINGS);
        }
        Err(error) => {
            eprintln!("basaltarchd: {error}");
            process::exit(EXIT_START);
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
