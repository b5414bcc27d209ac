//! Starts the project's own programs as separate processes on loopback addresses, with the command
//! and the settings of the deploy folder, and ends all of them.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::message;
use crate::record::CaseRecord;

/// Longest wait for a process to listen or to become ready.
const START_PATIENCE: Duration = Duration::from_secs(15);
/// Longest wait for an answer to the operator or to a heartbeat.
pub const CALL_PATIENCE: Duration = Duration::from_secs(1);

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..32_000;

/// Returns an address on a port that is free now; no two calls return the same one.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let ports = PORTS.end - PORTS.start;
    // Cases that are played side by side begin at different ports.
    let first = (std::process::id().wrapping_mul(7919) % u32::from(ports)) as u16;
    for _ in 0..ports {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start
            + (u32::from(first) + u32::from(number)).rem_euclid(u32::from(ports)) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// `Workplace` is where the programs, the settings and the logs of a case lie.
#[derive(Clone)]
pub struct Workplace {
    /// Root of the repository.
    pub root: PathBuf,
    /// Temporary folder of the case.
    pub folder: PathBuf,
    /// Record of the case.
    pub record: CaseRecord,
}

impl Workplace {
    /// Notes a process, so that the script ends it if the case itself is ended.
    fn note_process(&self, process: u32) -> io::Result<()> {
        let path = self.folder.join("processes");
        let mut file = OpenOptions::new().create(true).append(true).open(path)?;
        writeln!(file, "{process}")
    }

    fn start(
        &self,
        name: &str,
        program: &str,
        prepare: impl FnOnce(&mut Command),
    ) -> io::Result<Child> {
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let mut command = Command::new(self.root.join("target/release").join(program));
        command.current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        prepare(&mut command);
        let child = command.spawn()?;
        self.note_process(child.id())?;
        self.record.line(format!("start {name} ({program}, process {})", child.id()));
        Ok(child)
    }
}

/// Waits until an address accepts connections.
fn await_listening(address: SocketAddr) -> io::Result<()> {
    let end = Instant::now() + START_PATIENCE;
    while Instant::now() < end {
        if TcpStream::connect_timeout(&address, Duration::from_millis(200)).is_ok() {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, format!("nothing listens at {address}")))
}

/// `StoreProcess` is the project's stand-in of the platform's store.
pub struct StoreProcess {
    child: Child,
    /// Address of the store.
    pub address: SocketAddr,
}

impl StoreProcess {
    /// Starts the store.
    pub fn start(place: &Workplace) -> io::Result<Self> {
        let address = free_address()?;
        let child = place.start("store", "basaltarch-standin", |command| {
            command.args(["platform", "--listen", &address.to_string()]);
        })?;
        let store = Self { child, address };
        await_listening(address)?;
        Ok(store)
    }

    /// Writes the operator's configuration; the answer acknowledges it.
    pub fn put_config(&self, config: &str) -> io::Result<()> {
        self.control("/control/rows/op/config", config)
    }

    /// Sets the faults of the store, `{}` for none.
    pub fn set_faults(&self, faults: &str) -> io::Result<()> {
        self.control("/control/faults", faults)
    }

    /// Writes the operator's request to evacuate a zone; the answer acknowledges it.
    pub fn evacuate(&self, zone: &str) -> io::Result<()> {
        self.control(&format!("/control/rows/op/evacuate/{zone}"), "{}")
    }

    /// Takes the operator's request to evacuate a zone away.
    pub fn take_back(&self, zone: &str) -> io::Result<()> {
        self.control_by("DELETE", &format!("/control/rows/op/evacuate/{zone}"), "")
    }

    /// Takes the copy from which the store comes back in a drill.
    pub fn take_copy(&self) -> io::Result<()> {
        self.control("/control/copy", "")
    }

    /// Brings the store back from its copy; its era rises by one.
    pub fn come_back_from_copy(&self) -> io::Result<()> {
        self.control_by("DELETE", "/control/copy", "")
    }

    fn control(&self, path: &str, body: &str) -> io::Result<()> {
        self.control_by("PUT", path, body)
    }

    fn control_by(&self, method: &str, path: &str, body: &str) -> io::Result<()> {
        let (status, text) = message::call(self.address, method, path, body, CALL_PATIENCE)?;
        if (200..300).contains(&status) {
            return Ok(());
        }
        Err(io::Error::other(format!("the store answers {status} to {path}: {text}")))
    }
}

impl Drop for StoreProcess {
    fn drop(&mut self) {
        end_child(&mut self.child);
    }
}

fn end_child(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// `MachinePlan` says what stands on one machine.
#[derive(Debug, Clone)]
pub struct MachinePlan {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Service of the upstream on the machine.
    pub service: String,
}

/// `DaemonProcess` is a daemon on its machine.
pub struct DaemonProcess {
    child: Option<Child>,
    place: Workplace,
    plan: MachinePlan,
    settings: PathBuf,
    starts: u32,
    /// Where clients on the machine send requests.
    pub outbound: SocketAddr,
    /// Where the upstream on the machine sends heartbeats.
    pub control: SocketAddr,
    /// Where the platform asks whether the daemon is ready.
    pub ready: SocketAddr,
}

impl DaemonProcess {
    /// Fills the template of the deploy folder and starts the daemon.
    pub fn start(place: &Workplace, plan: &MachinePlan, store: SocketAddr) -> io::Result<Self> {
        let (outbound, inbound) = (free_address()?, free_address()?);
        let (ready, control, admin) = (free_address()?, free_address()?, free_address()?);
        let values = [
            ("nodeName", plan.name.clone()),
            ("zone", plan.zone.clone()),
            ("service", plan.service.clone()),
            ("ip", "127.0.0.1".to_owned()),
            ("listen.outbound", outbound.to_string()),
            ("listen.inbound", inbound.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("portRange.0", admin.port().to_string()),
            ("platform.address", store.to_string()),
            ("seeds", String::new()),
            ("bounds.graceS", "6".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("limits.memoryMb", "260".to_owned()),
            ("bounds.floorShare", "0.7".to_owned()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetExtraRetries", "56".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
        ];
        let template = fs::read_to_string(place.root.join("deploy/basaltarchd.conf"))?;
        let settings = place.folder.join(format!("{}.conf", plan.name));
        fs::write(&settings, fill_template(&template, &values)?)?;
        let mut daemon = Self {
            child: None,
            place: place.clone(),
            plan: plan.clone(),
            settings,
            starts: 0,
            outbound,
            control,
            ready,
        };
        daemon.run()?;
        Ok(daemon)
    }

    /// Starts the process with the settings that are in place.
    pub fn run(&mut self) -> io::Result<()> {
        self.starts += 1;
        let name = format!("{}-{}", self.plan.name, self.starts);
        let settings = self.settings.clone();
        let child = self.place.start(&name, "basaltarchd", |command| {
            command.env_clear();
            for variable in ["PATH", "HOME", "LANG"] {
                if let Some(value) = std::env::var_os(variable) {
                    command.env(variable, value);
                }
            }
            command.env("BASALTARCH_CONFIG", settings);
        })?;
        self.child = Some(child);
        await_listening(self.control)
    }

    /// Kills the process, as a kill of the platform does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.place.record.line(format!("kill {} (process {})", self.plan.name, child.id()));
            end_child(&mut child);
        }
    }

    /// Waits until the daemon says that it is ready.
    pub fn await_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START_PATIENCE;
        while Instant::now() < end {
            let answer = message::call(self.ready, "GET", "/basaltarch/ready", "", CALL_PATIENCE);
            if matches!(answer, Ok((200, _))) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let name = &self.plan.name;
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{name} doesn't become ready")))
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            end_child(&mut child);
        }
    }
}

/// Fills the gaps of the template; the sections for tenants, which this deployment hasn't, go.
fn fill_template(template: &str, values: &[(&str, String)]) -> io::Result<String> {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = text[start..].find("}}").map(|end| start + end);
        let name = name_end.map(|end| text[start + 3..end].to_owned()).unwrap_or_default();
        let close = format!("{{{{/{name}}}}}");
        let end = text.find(&close).ok_or_else(|| io::Error::other("an open section"))?;
        text.replace_range(start..end + close.len(), "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    match text.contains("{{") {
        true => {
            Err(io::Error::other("a gap of deploy/basaltarchd.conf that the case doesn't fill"))
        }
        false => Ok(text),
    }
}

/// Finds the root of the repository from the folder of a case.
pub fn root_of(case_folder: &Path) -> io::Result<PathBuf> {
    fs::canonicalize(case_folder.join("../.."))
}
