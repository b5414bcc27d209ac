//! A small deployment on loopback: a store, machines with a daemon and an upstream each, and the
//! operator's configuration.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, DaemonProcess, MachinePlan, StoreProcess, Workplace};
use crate::message::MessageHead;
use crate::record::CaseRecord;
use crate::upstream::{BodyLedger, UpstreamAct, UpstreamStandin};

/// Service of the routes.
pub const SERVICE: &str = "huvo11a";
/// Another service, which has no route.
pub const OTHER_SERVICE: &str = "wuno96b";
/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Zones of the machines, in turn.
pub const ZONES: [&str; 3] = ["bkk-a", "bkk-b", "bkk-c"];
/// Time in which the daemons learn of one another and of all upstreams.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// `RoutePlan` is a route of the operator's configuration.
pub struct RoutePlan {
    /// Prefix of the paths.
    pub prefix: &'static str,
    /// `safe` or `unsafe`.
    pub kind: &'static str,
    /// Number of upstreams that one client attempt may go to.
    pub attempts: u32,
}

/// `CaseScene` is the running deployment; it ends its processes when it is dropped.
pub struct CaseScene {
    /// Place of the case.
    pub place: Workplace,
    /// The platform's store.
    pub store: StoreProcess,
    /// The daemons, one for each machine.
    pub daemons: Vec<DaemonProcess>,
    /// The upstreams, one for each machine.
    pub upstreams: Vec<UpstreamStandin>,
    /// What was sent and run.
    pub ledger: Arc<BodyLedger>,
}

/// Prepares the record and the temporary folder of a case.
pub fn prepare(case_folder: &Path, temporary: PathBuf) -> io::Result<Workplace> {
    let record = CaseRecord::create(&case_folder.join("record.txt"))?;
    let root = fleet::root_of(case_folder)?;
    Ok(Workplace { root, folder: temporary, record })
}

/// Writes a configuration with these routes, all of them to [`SERVICE`].
pub fn config_text(routes: &[RoutePlan]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, route)| {
            let RoutePlan { prefix, kind, attempts } = route;
            format!(
                "[\"r-{number}\",\"{HOST}\",\"{prefix}\",\"{kind}\",2.5,0.8,1,\"{SERVICE}\",\
                 {attempts},null]"
            )
        })
        .collect();
    format!(
        "{{\"version\":7,\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"routeType\",\
         \"timeoutS\",\"targetLatencyS\",\"priority\",\"service\",\"retryAttempts\",\
         \"weightedClusters\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\"healthPath\",\
         \"maxConnections\",\"protocol\",\"tls\"],\"rows\":[[\"{SERVICE}\",\"/health\",330,\"h1\",\
         false],[\"{OTHER_SERVICE}\",\"/health\",330,\"h1\",false]]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeoutS\":3,\"idleTimeoutS\":15}}}}",
        rows.join(",")
    )
}

impl CaseScene {
    /// Starts a deployment with one machine for each of `services`, which name the services of their
    /// upstreams. `decide` says what each upstream, counted from 0, does with a request.
    pub fn start(
        place: &Workplace,
        services: &[&str],
        routes: &[RoutePlan],
        decide: impl Fn(usize, &MessageHead) -> UpstreamAct + Clone + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let store = StoreProcess::start(place)?;
        store.put_config(&config_text(routes))?;
        let ledger = Arc::new(BodyLedger::default());
        let mut scene = Self {
            place: place.clone(),
            store,
            daemons: Vec::new(),
            upstreams: Vec::new(),
            ledger,
        };
        for (index, service) in services.iter().enumerate() {
            scene.add_machine(index, service, decide.clone())?;
        }
        for daemon in &scene.daemons {
            daemon.await_ready()?;
        }
        thread::sleep(SETTLE_TIME);
        Ok(scene)
    }

    fn add_machine(
        &mut self,
        index: usize,
        service: &str,
        decide: impl Fn(usize, &MessageHead) -> UpstreamAct + Send + Sync + 'static,
    ) -> io::Result<()> {
        let zone = ZONES[index % ZONES.len()];
        let plan = MachinePlan {
            name: format!("sidecar-{zone}-{}", index / ZONES.len() + 1),
            zone: zone.to_owned(),
            service: service.to_owned(),
        };
        let daemon = DaemonProcess::start(&self.place, &plan, self.store.address)?;
        daemon.await_ready()?;
        let id = format!("i-{:08x}", 0x7f3a_91c0 + index);
        let upstream = UpstreamStandin::start(
            &id,
            (service, zone, daemon.control),
            &self.place.record,
            &self.ledger,
            move |head| decide(index, head),
        )?;
        self.place.record.line(format!("upstream {id} stands on {}", plan.name));
        self.daemons.push(daemon);
        self.upstreams.push(upstream);
        Ok(())
    }
}
