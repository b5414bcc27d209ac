// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The fleet of a run: the simulated store, and on each host a daemon and a backend server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation::ServerIncarnation;
use basaltarch_core::units;
use basaltarch_http::client::HttpClient;
use basaltarch_platform::registration::{self, ServerHeartbeat};
use basaltarch_platform::rows::StoreCall;
use basaltarch_standin::backend::FAULTS_PATH as BACKEND_FAULTS_PATH;
use basaltarch_standin::platform::FAULTS_PATH;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde_json::Value;
use snafu::ResultExt;

use crate::errors::{CallSnafu, ListenSnafu, SoakError};
use crate::mix::RequestMix;
use crate::operator::SERVICES;
use crate::process::{self, ProgramCall, SoakProcess};
use crate::proxy::FaultProxy;

/// Names of the failure domains, which are assigned to the hosts round-robin.
const FAILURE_DOMAINS: [&str; 4] = ["gasabo", "kicukiro", "nyarugenge", "remera"];
/// Number of hosts of which one has a backend server of the second service; the backend servers of
/// the other hosts belong to the first service.
const SECOND_SERVICE_EVERY: usize = 4;
/// Interval of the heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time-out of a heartbeat, and of a call that sets faults of the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of a backend server: the number of requests that the server runs concurrently.
const SERVER_SLOTS: u32 = 4;
/// Median service time of a request, in milliseconds.
const SERVICE_TIME_MS: &str = "10";
/// Interval of the heartbeats of a daemon to its peers, in milliseconds, as on the prepared
/// platform.
const DAEMON_HEARTBEAT_MS: &str = "4000";
/// Shortest drain of a daemon, in milliseconds, as on the prepared platform.
const DRAIN_MIN_MS: &str = "2600";
/// Time from the stop signal until a daemon ends itself, in milliseconds, as on the prepared
/// platform.
const KILL_AFTER_MS: &str = "6000";

/// Path of the request that crashes a backend server.
pub const CRASH_PATH: &str = "/crash";

/// Returns the index in [`SERVICES`] of the service of a host's backend server.
pub fn service_index_of(host: usize) -> usize {
    usize::from(host % SECOND_SERVICE_EVERY == SECOND_SERVICE_EVERY - 1)
}

/// `FleetOptions` are the settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Number of hosts, each of which has a daemon and a backend server.
    pub hosts: usize,
    /// Folder that holds the programs `basaltarchd` and `basaltarch-standin`.
    pub programs: PathBuf,
    /// Folder into which the processes write their logs.
    pub folder: PathBuf,
    /// Key that the daemons share. The key must differ from the key of any concurrent run, as the
    /// operating system reuses ports, and a daemon might else link to a daemon of another run.
    pub key: String,
    /// Mix of requests, from which the slots of the backend servers and the way of waiting are taken.
    pub mix: Option<Rc<RequestMix>>,
}

/// `SoakHost` is a host: its processes, and the proxies that inject faults into their connections.
pub struct SoakHost {
    /// Name of the host.
    pub name: String,
    /// Index in [`SERVICES`] of the service of the host's backend server.
    pub service_index: usize,
    /// Proxy between the host's daemon and the store.
    pub store_proxy: FaultProxy,
    /// Proxy through which peers connect to the host's daemon.
    pub peer_proxy: FaultProxy,
    /// Proxy between the host's daemon and its backend server.
    pub server_proxy: FaultProxy,
    domain: &'static str,
    upstream: String,
    daemon: RefCell<Rc<SoakProcess>>,
    backend: SoakProcess,
    backend_address: SocketAddr,
    /// Slots that the server's heartbeats tell.
    slots: u32,
    caller_address: Cell<Option<SocketAddr>>,
    registration_address: Cell<Option<SocketAddr>>,
    daemon_incarnation: Cell<u64>,
    /// Unix time in milliseconds at which the backend server started, as its heartbeats tell.
    server_started_at: Cell<u64>,
    /// Sequence number of the server's last heartbeat.
    sequence: Cell<u64>,
    /// Whether the server sends no heartbeats by itself, because it is leaving.
    is_leaving: Cell<bool>,
    /// Faults of the backend server that are in force, each with its number.
    server_faults: RefCell<Vec<(u64, Value)>>,
    next_fault: Cell<u64>,
}

impl SoakHost {
    /// Returns the daemon's address for callers, or `None` if the daemon is down.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.caller_address.get()
    }

    /// Returns the incarnation of the daemon: how often the daemon was started.
    pub fn daemon_incarnation(&self) -> u64 {
        self.daemon_incarnation.get()
    }

    /// Returns the address of the backend server.
    pub fn backend_address(&self) -> SocketAddr {
        self.backend_address
    }

    /// Makes the backend server stop its heartbeats because it is leaving; returns false if it is
    /// leaving already.
    pub fn begin_leaving(&self) -> bool {
        !self.is_leaving.replace(true)
    }

    /// Makes the backend server a new incarnation, which sends heartbeats.
    pub fn start_server_again(&self) {
        self.server_started_at.set(units::wall_millis());
        self.sequence.set(0);
        self.is_leaving.set(false);
    }

    /// Returns the current incarnation of the backend server.
    pub fn server_incarnation(&self) -> ServerIncarnation {
        let born = Some(self.server_started_at.get());
        ServerIncarnation { server: self.upstream.clone(), born }
    }

    /// Builds the next heartbeat of the backend server.
    pub fn build_heartbeat(&self, draining: bool) -> StoreCall {
        self.sequence.set(self.sequence.get() + 1);
        registration::heartbeat(&ServerHeartbeat {
            incarnation: self.server_incarnation(),
            service: SERVICES[self.service_index].to_owned(),
            address: self.server_proxy.address,
            failure_domain: self.domain.to_owned(),
            slots: self.slots,
            draining,
            cold_for: Duration::ZERO,
            sequence: self.sequence.get(),
        })
    }

    /// Sends a call of the backend server to the host's daemon, and returns the status of the
    /// response, if there is one in time.
    pub async fn call_daemon(&self, call: &StoreCall) -> Option<StatusCode> {
        let client = HttpClient::new(self.registration_address.get()?, CALL_TIMEOUT);
        let body = Bytes::from(call.body.clone());
        let calling = client.call(call.method.clone(), &call.target, HeaderMap::new(), body);
        calling.await.ok().map(|reply| reply.status)
    }

    /// Adds faults of the backend server to those in force, and returns their number.
    pub async fn add_server_faults(&self, faults: &Value) -> Result<u64, SoakError> {
        let number = self.next_fault.get();
        self.next_fault.set(number + 1);
        self.server_faults.borrow_mut().push((number, faults.clone()));
        self.put_server_faults().await?;
        Ok(number)
    }

    /// Ends the faults of the backend server that have this number.
    pub async fn end_server_faults(&self, number: u64) -> Result<(), SoakError> {
        self.server_faults.borrow_mut().retain(|(other, _)| *other != number);
        self.put_server_faults().await
    }

    async fn put_server_faults(&self) -> Result<(), SoakError> {
        let mut merged = serde_json::Map::new();
        for (_, faults) in &*self.server_faults.borrow() {
            merged.extend(faults.as_object().cloned().unwrap_or_default());
        }
        let what = "setting faults of a backend server";
        put_faults(self.backend_address, BACKEND_FAULTS_PATH, &Value::Object(merged), what).await
    }

    /// Makes the backend server crash, by a request to it that is never answered.
    pub async fn crash_server(&self) {
        let client = HttpClient::new(self.backend_address, CALL_TIMEOUT);
        let _ = client.call(Method::GET, CRASH_PATH, HeaderMap::new(), Bytes::new()).await;
    }

    /// Calls `read` with the daemon's process.
    pub fn with_daemon<T>(&self, read: impl FnOnce(&SoakProcess) -> T) -> T {
        read(&self.daemon.borrow())
    }

    async fn read_addresses(&self) -> Result<(), SoakError> {
        let daemon = self.daemon.borrow().clone();
        let line = daemon.wait_listening().await?;
        self.peer_proxy.forward_to(process::read_address(&line, "peers")?);
        self.registration_address.set(Some(process::read_address(&line, "registration")?));
        self.caller_address.set(Some(process::read_address(&line, "callers")?));
        self.daemon_incarnation.set(self.daemon_incarnation.get() + 1);
        Ok(())
    }
}

/// `SoakFleet` is the fleet of a run.
pub struct SoakFleet {
    /// Address of the store itself, for calls that bypass the proxies.
    pub store_address: SocketAddr,
    /// Hosts of the fleet, by index.
    pub hosts: Vec<Rc<SoakHost>>,
    options: FleetOptions,
    store: SoakProcess,
}

impl SoakFleet {
    /// Starts the store of a fleet that has no hosts yet.
    pub async fn start(options: FleetOptions) -> Result<Self, SoakError> {
        let call = build_standin_call(&options, &["platform"]);
        let store = SoakProcess::start(&call, "store", &options.folder)?;
        let store_address = process::read_address(&store.wait_listening().await?, "address")?;
        Ok(Self { store_address, hosts: Vec::new(), options, store })
    }

    /// Starts the processes of all hosts, and the heartbeats of the backend servers.
    pub async fn start_hosts(&mut self) -> Result<(), SoakError> {
        for host_index in 0..self.options.hosts {
            let host = Rc::new(self.start_host(host_index).await?);
            monoio::spawn(send_heartbeats(host.clone()));
            self.hosts.push(host);
        }
        Ok(())
    }

    async fn start_host(&self, host_index: usize) -> Result<SoakHost, SoakError> {
        let store_proxy = FaultProxy::start().context(ListenSnafu)?;
        store_proxy.forward_to(self.store_address);
        let peer_proxy = FaultProxy::start().context(ListenSnafu)?;
        let name = format!("host-{host_index}");
        let upstream = format!("i-{host_index}");
        let folder = &self.options.folder;
        let arguments = ["backend", "--name", &upstream, "--service-ms", SERVICE_TIME_MS];
        let mut call = build_standin_call(&self.options, &arguments);
        call.arguments.push("--prepared".to_owned());
        if let Some(mix) = &self.options.mix {
            let limits = ["--slots", &mix.slots.to_string(), "--queue", &mix.queue.to_string()];
            call.arguments.extend(limits.map(str::to_owned));
        }
        let backend = SoakProcess::start(&call, &upstream, folder)?;
        let backend_address = process::read_address(&backend.wait_listening().await?, "address")?;
        let server_proxy = FaultProxy::start().context(ListenSnafu)?;
        server_proxy.forward_to(backend_address);
        let domain = FAILURE_DOMAINS[host_index % FAILURE_DOMAINS.len()];
        let service_index = service_index_of(host_index);
        let call = self.build_daemon_call(&name, domain, service_index, &store_proxy, &peer_proxy);
        let daemon = RefCell::new(Rc::new(SoakProcess::start(&call, &name, folder)?));
        let host = SoakHost {
            name,
            service_index,
            store_proxy,
            peer_proxy,
            server_proxy,
            domain,
            upstream,
            daemon,
            backend,
            backend_address,
            slots: self.options.mix.as_ref().map_or(SERVER_SLOTS, |mix| mix.slots),
            caller_address: Cell::default(),
            registration_address: Cell::default(),
            daemon_incarnation: Cell::default(),
            server_started_at: Cell::new(units::wall_millis()),
            sequence: Cell::default(),
            is_leaving: Cell::default(),
            server_faults: RefCell::default(),
            next_fault: Cell::default(),
        };
        host.read_addresses().await?;
        Ok(host)
    }

    /// Restarts the daemon of a host. The previous process of the daemon must have ended.
    pub async fn restart_daemon(&self, host: &SoakHost) -> Result<(), SoakError> {
        let call = self.build_daemon_call(
            &host.name,
            host.domain,
            host.service_index,
            &host.store_proxy,
            &host.peer_proxy,
        );
        let process = SoakProcess::start(&call, &host.name, &self.options.folder)?;
        drop(host.daemon.replace(Rc::new(process)));
        host.read_addresses().await
    }

    /// Returns the path of the log of a host's daemon.
    pub fn daemon_log_path(&self, host: &str) -> PathBuf {
        process::log_path(&self.options.folder, host)
    }

    /// Kills the daemon of a host.
    pub fn kill_daemon(&self, host: &SoakHost) {
        host.caller_address.set(None);
        host.daemon.borrow().kill();
    }

    /// Ends every process of the fleet.
    pub fn end_processes(&self) {
        for host in &self.hosts {
            self.kill_daemon(host);
            host.backend.kill();
        }
        self.store.kill();
    }

    /// Sets the faults of the store.
    pub async fn set_store_faults(&self, faults: &Value) -> Result<(), SoakError> {
        put_faults(self.store_address, FAULTS_PATH, faults, "setting faults of the store").await
    }

    fn build_daemon_call(
        &self,
        name: &str,
        domain: &str,
        service_index: usize,
        store_proxy: &FaultProxy,
        peer_proxy: &FaultProxy,
    ) -> ProgramCall {
        let pairs = [
            ("host", name),
            ("failure-domain", domain),
            ("source", "document"),
            ("platform", &store_proxy.address.to_string()),
            ("advertise-peers", &peer_proxy.address.to_string()),
            ("ready", "127.0.0.1:0"),
            ("registration", "127.0.0.1:0"),
            ("own-service", SERVICES[service_index]),
            ("heartbeat-ms", DAEMON_HEARTBEAT_MS),
            ("drain-min-ms", DRAIN_MIN_MS),
            ("kill-after-ms", KILL_AFTER_MS),
            ("prefer", "detection"),
            ("waiting", self.options.mix.as_ref().map_or("places", |mix| &mix.waiting)),
            ("prove-once-only", if self.options.mix.is_some() { "false" } else { "true" }),
            ("queue", "16"),
        ];
        let arguments =
            pairs.iter().flat_map(|(flag, value)| [format!("--{flag}"), (*value).into()]);
        ProgramCall {
            program: self.options.programs.join("basaltarchd"),
            arguments: arguments.collect(),
            variables: vec![
                ("BASALTARCH_FLEET_KEY", self.options.key.clone()),
                ("BASALTARCH_ADMIN_TOKEN", "a-token-for-soaks".to_owned()),
            ],
        }
    }
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        self.end_processes();
    }
}

/// Sets the faults of the simulated program at an address.
async fn put_faults(
    address: SocketAddr,
    path: &str,
    faults: &Value,
    what: &'static str,
) -> Result<(), SoakError> {
    let client = HttpClient::new(address, CALL_TIMEOUT);
    let body = Bytes::from(faults.to_string());
    let call = client.call(Method::PUT, path, HeaderMap::new(), body);
    let reply = call.await.context(CallSnafu { what })?;
    if !reply.status.is_success() {
        return Err(SoakError::Refused { what, status: reply.status.as_u16() });
    }
    Ok(())
}

fn build_standin_call(options: &FleetOptions, arguments: &[&str]) -> ProgramCall {
    ProgramCall {
        program: options.programs.join("basaltarch-standin"),
        arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
        variables: Vec::new(),
    }
}

/// Sends heartbeats on behalf of a host's backend server for ever, except while the server's
/// process is down or the server is leaving. A lost heartbeat is not retried, as the next one follows
/// after `HEARTBEAT_INTERVAL`.
async fn send_heartbeats(host: Rc<SoakHost>) {
    loop {
        if host.backend.is_running() && !host.is_leaving.get() {
            let call = host.build_heartbeat(false);
            let _ = host.call_daemon(&call).await;
        }
        monoio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
