//! What the cases share: a fleet on loopback with an upstream beside each daemon, and the
//! operator's configuration.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Ended, Outcome, Request};
use crate::fleet::{self, Daemon, Folder, Machine, Store};
use crate::record::Record;
use crate::upstream::{Runs, Spec, Upstream};

/// Bounds of the small deployments.
pub const CONTACT: Duration = Duration::from_secs(3);
pub const HOST: &str = "ficu95.example";
const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];
const SERVED_TIME_MAX: Duration = Duration::from_secs(20);

/// Whether the rule held.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// A route of the operator's configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub objective_s: f64,
    pub service: &'static str,
}

/// Writes a configuration in the form of the pages.
pub fn config(version: u64, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, timeout_s, objective_s, service } = route;
            format!(
                "[\"{name}\",\"{HOST}\",\"{prefix}\",\"{kind}\",{timeout_s},{objective_s},1,\
                 \"{service}\",2,null]"
            )
        })
        .collect();
    let services: Vec<String> =
        services.iter().map(|name| format!("[\"{name}\",\"/health\",330,\"h1\",false]")).collect();
    format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\
         \"routeType\",\"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"retryAttempts\",\
         \"weightedClusters\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"healthPath\",\
         \"maxConnections\",\"protocol\",\"tls\"],\"rows\":[{}]}},\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
         \"idleTimeoutS\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A running fleet. The processes end with it.
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub upstreams: Vec<Upstream>,
    store: Store,
    pub runs: Runs,
    pub record: Record,
    folder: Folder,
}

impl Fleet {
    /// Starts a daemon beside an upstream of each of these specifications.
    pub fn start(record: &Record, document: &str, specs: Vec<Spec>) -> io::Result<Self> {
        let folder = Folder::create()?;
        let each = Daemon::ADDRESSES + 1;
        let addresses = fleet::free_addresses(1 + specs.len() * each)?;
        let store = Store::start(addresses[0], &folder.0)?;
        store.put_config(document)?;
        record.note("the store acknowledges the first configuration");
        let runs = Runs::new(record);
        let mut daemons = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let name = format!("sidecar-{index}");
            let machine = Machine { name: &name, zone: &spec.zone, service: &spec.service };
            let own = &addresses[1 + index * each..][..Daemon::ADDRESSES];
            daemons.push(Daemon::start(&machine, own, store.address, &folder.0)?);
        }
        let mut upstreams = Vec::new();
        for (index, (spec, daemon)) in specs.into_iter().zip(&daemons).enumerate() {
            let upstream = Upstream::start(spec, addresses[(index + 1) * each], &runs)?;
            upstream.send_heartbeats(daemon.control, Duration::ZERO);
            upstreams.push(upstream);
        }
        for daemon in &daemons {
            daemon.await_ready()?;
        }
        record.note("all daemons are ready");
        Ok(Self { daemons, upstreams, store, runs, record: record.clone(), folder })
    }

    /// Starts the daemon of another machine in place of the daemon with this index, whose process has
    /// ended, at its addresses.
    pub fn replace_daemon(&mut self, index: usize, machine: &Machine) -> io::Result<()> {
        let addresses = self.daemons[index].addresses.clone();
        self.record.note(format!("machine {} starts at the addresses of {index}", machine.name));
        let daemon = Daemon::start(machine, &addresses, self.store.address, &self.folder.0)?;
        self.daemons[index] = daemon;
        Ok(())
    }

    /// Returns the store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Waits until a request to each daemon is served.
    pub fn await_served(&self, target: &str) -> io::Result<()> {
        let until = Instant::now() + SERVED_TIME_MAX;
        for (index, daemon) in self.daemons.iter().enumerate() {
            let mut number = 0;
            loop {
                number += 1;
                let request = get(&format!("warm-{index}-{number}"), target, 3000);
                let outcome = client::run(&self.record, index, daemon.callers, &request, || {});
                if outcome.end == Ended::Answered(200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("the fleet does not serve requests"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    pub fn callers(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].callers
    }

    /// Says whether all daemons still run.
    pub fn check_running(&mut self) -> io::Result<()> {
        for daemon in &mut self.daemons {
            if !daemon.process.is_running() {
                let message = format!("{} has ended", daemon.process.name);
                return Err(io::Error::other(message));
            }
        }
        Ok(())
    }

    /// Keeps the logs of the daemons in a folder, to look at a case by hand.
    pub fn keep_logs(&self) {
        let Some(folder) = std::env::var_os("REVIEW_LOGS") else { return };
        for daemon in &self.daemons {
            let path = Path::new(&folder).join(format!("{}.log", daemon.process.name));
            let _ = std::fs::copy(&daemon.process.log, path);
        }
    }
}

/// Builds a GET request.
pub fn get(id: &str, target: &str, deadline_ms: u64) -> Request {
    Request {
        id: id.to_owned(),
        method: "GET",
        host: HOST.to_owned(),
        target: target.to_owned(),
        body: Vec::new(),
        deadline: Duration::from_millis(deadline_ms),
        leaves_after: None,
    }
}

/// Builds the specification of the upstream with this index.
pub fn spec(index: usize, service: &str, slots: usize, work_ms: u64) -> Spec {
    Spec {
        id: format!("i-{index}-a"),
        service: service.to_owned(),
        zone: ZONES[index % ZONES.len()].to_owned(),
        slots,
        work: Duration::from_millis(work_ms),
        style: crate::upstream::AnswerStyle::AtEnd,
    }
}

/// Sends requests, each in a thread of its own, `gap` apart, until all are sent, and returns their
/// outcomes once all have ended.
pub fn send_all(
    record: &Record,
    gap: Duration,
    requests: Vec<(usize, SocketAddr, Request)>,
) -> Vec<Outcome> {
    let began = Instant::now();
    let mut threads = Vec::new();
    for (number, (daemon, address, request)) in requests.into_iter().enumerate() {
        let due = began + gap * number as u32;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let record = record.clone();
        threads.push(thread::spawn(move || client::run(&record, daemon, address, &request, || {})));
    }
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}
