// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The fleet of a run: the simulated store, and on each host a daemon and a backend server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_core::incarnation::ServerIncarnation;
use basaltarch_http::client::HttpClient;
use basaltarch_platform::registration::{self, ServerHeartbeat};
use basaltarch_platform::rows::StoreCall;
use basaltarch_standin::platform::FAULTS_PATH;
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::Value;
use snafu::ResultExt;

use crate::errors::{CallSnafu, ListenSnafu, SoakError};
use crate::operator::SERVICES;
use crate::process::{self, ProgramCall, SoakProcess};
use crate::proxy::FaultProxy;

const DOMAINS: [&str; 4] = ["gasabo", "kicukiro", "nyarugenge", "remera"];
/// One in this many hosts has a backend server of the second service.
const SECOND_SERVICE_EVERY: usize = 4;
/// Interval of the heartbeats of a backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Time-out of a heartbeat, and of a call that sets faults of the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of a backend server, the number of requests that it runs concurrently.
const SLOTS: u32 = 4;
/// Median service time of a request, in milliseconds.
const SERVICE_MS: &str = "10";
/// Interval of the heartbeats of a daemon to its peers, in milliseconds, as on the prepared
/// platform.
const DAEMON_HEARTBEAT_MS: &str = "4000";
/// Shortest drain of a daemon, in milliseconds, as on the prepared platform.
const DRAIN_MIN_MS: &str = "2600";
/// Time from the stop signal until a daemon ends itself, in milliseconds, as on the prepared
/// platform.
const KILL_AFTER_MS: &str = "6000";

/// Returns the index in [`SERVICES`] of the service of a host's backend server.
pub fn service_of(host: usize) -> usize {
    usize::from(host % SECOND_SERVICE_EVERY == SECOND_SERVICE_EVERY - 1)
}

/// `FleetOptions` are the settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Number of hosts, each with a daemon and a backend server.
    pub hosts: usize,
    /// Folder with the programs.
    pub programs: PathBuf,
    /// Folder for the logs.
    pub folder: PathBuf,
    /// Key that the daemons share. It must differ from that of any concurrent run, as ports are
    /// reused.
    pub key: String,
}

/// `SoakHost` is a host: its processes, and the proxies that inject faults into their connections.
pub struct SoakHost {
    /// Name of the host.
    pub name: String,
    /// Index in [`SERVICES`] of the service of its backend server.
    pub service: usize,
    /// Proxy between its daemon and the store.
    pub store: FaultProxy,
    /// Proxy through which peers connect to its daemon.
    pub peers: FaultProxy,
    domain: &'static str,
    upstream: String,
    daemon: RefCell<Rc<SoakProcess>>,
    backend: SoakProcess,
    backend_address: SocketAddr,
    callers: Cell<Option<SocketAddr>>,
    registration: Cell<Option<SocketAddr>>,
    daemon_incarnation: Cell<u64>,
}

impl SoakHost {
    /// Returns the daemon's address for callers, unless the daemon is down.
    pub fn callers(&self) -> Option<SocketAddr> {
        self.callers.get()
    }

    /// Returns the incarnation of the daemon: how often it was started.
    pub fn daemon_incarnation(&self) -> u64 {
        self.daemon_incarnation.get()
    }

    /// Returns the address of the backend server.
    pub fn backend_address(&self) -> SocketAddr {
        self.backend_address
    }

    /// Calls `read` with the daemon's process.
    pub fn with_daemon<T>(&self, read: impl FnOnce(&SoakProcess) -> T) -> T {
        read(&self.daemon.borrow())
    }

    async fn read_addresses(&self) -> Result<(), SoakError> {
        let daemon = self.daemon.borrow().clone();
        let line = daemon.wait_listening().await?;
        self.peers.forward_to(process::address_in(&line, "peers")?);
        self.registration.set(Some(process::address_in(&line, "registration")?));
        self.callers.set(Some(process::address_in(&line, "callers")?));
        self.daemon_incarnation.set(self.daemon_incarnation.get() + 1);
        Ok(())
    }
}

/// `SoakFleet` is the fleet of a run.
pub struct SoakFleet {
    /// Address of the store, bypassing all proxies.
    pub platform: SocketAddr,
    /// The hosts.
    pub hosts: Vec<Rc<SoakHost>>,
    options: FleetOptions,
    store: SoakProcess,
}

impl SoakFleet {
    /// Starts the store, without any hosts.
    pub async fn start(options: FleetOptions) -> Result<Self, SoakError> {
        let call = standin_call(&options, &["platform"]);
        let store = SoakProcess::start(&call, "store", &options.folder)?;
        let platform = process::address_in(&store.wait_listening().await?, "address")?;
        Ok(Self { platform, hosts: Vec::new(), options, store })
    }

    /// Starts the processes of all hosts, and the heartbeats of the backend servers.
    pub async fn start_hosts(&mut self) -> Result<(), SoakError> {
        for number in 0..self.options.hosts {
            let host = Rc::new(self.start_host(number).await?);
            monoio::spawn(send_heartbeats(host.clone()));
            self.hosts.push(host);
        }
        Ok(())
    }

    async fn start_host(&self, number: usize) -> Result<SoakHost, SoakError> {
        let store = FaultProxy::start().context(ListenSnafu)?;
        store.forward_to(self.platform);
        let peers = FaultProxy::start().context(ListenSnafu)?;
        let name = format!("host-{number}");
        let upstream = format!("i-{number}");
        let folder = &self.options.folder;
        let arguments = ["backend", "--name", &upstream, "--service-ms", SERVICE_MS];
        let mut call = standin_call(&self.options, &arguments);
        call.arguments.push("--prepared".to_owned());
        let backend = SoakProcess::start(&call, &upstream, folder)?;
        let backend_address = process::address_in(&backend.wait_listening().await?, "address")?;
        let domain = DOMAINS[number % DOMAINS.len()];
        let service = service_of(number);
        let call = self.daemon_call(&name, domain, service, &store, &peers);
        let daemon = RefCell::new(Rc::new(SoakProcess::start(&call, &name, folder)?));
        let host = SoakHost {
            name,
            service,
            store,
            peers,
            domain,
            upstream,
            daemon,
            backend,
            backend_address,
            callers: Cell::default(),
            registration: Cell::default(),
            daemon_incarnation: Cell::default(),
        };
        host.read_addresses().await?;
        Ok(host)
    }

    /// Restarts the daemon of a host; its previous process must have ended.
    pub async fn restart(&self, host: &SoakHost) -> Result<(), SoakError> {
        let call =
            self.daemon_call(&host.name, host.domain, host.service, &host.store, &host.peers);
        let process = SoakProcess::start(&call, &host.name, &self.options.folder)?;
        drop(host.daemon.replace(Rc::new(process)));
        host.read_addresses().await
    }

    /// Returns the path of the log of a host's daemon.
    pub fn log_of(&self, host: &str) -> PathBuf {
        process::log_path(&self.options.folder, host)
    }

    /// Kills the daemon of a host.
    pub fn kill(&self, host: &SoakHost) {
        host.callers.set(None);
        host.daemon.borrow().kill();
    }

    /// Ends every process of the fleet.
    pub fn end(&self) {
        for host in &self.hosts {
            self.kill(host);
            host.backend.kill();
        }
        self.store.kill();
    }

    /// Sets the faults of the store.
    pub async fn set_store_faults(&self, faults: &Value) -> Result<(), SoakError> {
        let client = HttpClient::new(self.platform, CALL_TIMEOUT);
        let body = Bytes::from(faults.to_string());
        let what = "setting faults of the store";
        let call = client.call(Method::PUT, FAULTS_PATH, HeaderMap::new(), body);
        let reply = call.await.context(CallSnafu { what })?;
        if !reply.status.is_success() {
            return Err(SoakError::Refused { what, status: reply.status.as_u16() });
        }
        Ok(())
    }

    fn daemon_call(
        &self,
        name: &str,
        domain: &str,
        service: usize,
        store: &FaultProxy,
        peers: &FaultProxy,
    ) -> ProgramCall {
        let pairs = [
            ("host", name),
            ("failure-domain", domain),
            ("source", "document"),
            ("platform", &store.address.to_string()),
            ("advertise-peers", &peers.address.to_string()),
            ("ready", "127.0.0.1:0"),
            ("registration", "127.0.0.1:0"),
            ("own-service", SERVICES[service]),
            ("heartbeat-ms", DAEMON_HEARTBEAT_MS),
            ("drain-min-ms", DRAIN_MIN_MS),
            ("kill-after-ms", KILL_AFTER_MS),
            ("prefer", "detection"),
            ("waiting", "places"),
            ("prove-once-only", "true"),
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
        self.end();
    }
}

fn standin_call(options: &FleetOptions, arguments: &[&str]) -> ProgramCall {
    ProgramCall {
        program: options.programs.join("basaltarch-standin"),
        arguments: arguments.iter().map(|argument| (*argument).to_owned()).collect(),
        variables: Vec::new(),
    }
}

/// Sends heartbeats on behalf of a host's backend server for ever, except while the server's
/// process is down.
async fn send_heartbeats(host: Rc<SoakHost>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        if host.backend.is_running() {
            send_heartbeat(&host, sequence).await;
        }
        monoio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn send_heartbeat(host: &SoakHost, sequence: u64) {
    let Some(address) = host.registration.get() else { return };
    let StoreCall { method, target, body } = registration::heartbeat(&ServerHeartbeat {
        incarnation: ServerIncarnation::of_upstream(&host.upstream),
        service: SERVICES[host.service].to_owned(),
        address: host.backend_address,
        failure_domain: host.domain.to_owned(),
        slots: SLOTS,
        draining: false,
        cold_for: Duration::ZERO,
        sequence,
    });
    let client = HttpClient::new(address, CALL_TIMEOUT);
    // A lost heartbeat is not retried, as the next one follows.
    let _ = client.call(method, &target, HeaderMap::new(), body.into()).await;
}
