//! Starts the project's programs as processes on loopback: the stand-in of the store, and daemons
//! with the settings of the deploy template.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const START_TIME_MAX: Duration = Duration::from_secs(15);
const CALL_TIME_MAX: Duration = Duration::from_secs(2);
const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, third: u64, fourth: u64, fifth: u64) -> i32;
}

/// Where a case keeps its files; removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> io::Result<Self> {
        let name = format!("review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process that ends with its owner.
pub struct Process {
    child: Child,
    pub name: String,
    pub log: PathBuf,
}

impl Process {
    fn start(command: &mut Command, name: &str, folder: &Path) -> io::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log)?;
        // Processes are started from the main thread alone, so they end if this program is killed.
        let end_with_parent =
            || match unsafe { prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64, 0, 0, 0) } {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            };
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.stdin(Stdio::null()).stdout(file.try_clone()?).stderr(file).spawn()?;
        Ok(Self { child, name: name.to_owned(), log })
    }

    fn signal(&self, number: i32) {
        // The process was started here and has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id() as i32, number) };
    }

    pub fn freeze(&self, record: &Record) {
        record.note(format!("stop {}", self.name));
        self.signal(SIGSTOP);
    }

    pub fn resume(&self, record: &Record) {
        self.signal(SIGCONT);
        record.note(format!("continue {}", self.name));
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a loopback address of this run alone. Connections leave from 127.0.0.1, so none of them
/// takes a port of this address before the process that it is meant for listens there.
fn loopback() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 77, (id / 250 % 250 + 1) as u8, (id % 250 + 1) as u8)
}

/// Finds free ports: the listeners are closed together, so that the ports differ.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((loopback(), 0))).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

/// The stand-in of the platform's store.
pub struct Store {
    _process: Process,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr, folder: &Path) -> io::Result<Self> {
        let mut command = Command::new("target/release/basaltarch-standin");
        command.args(["platform", "--listen", &address.to_string()]).env_clear();
        let process = Process::start(&mut command, "store", folder)?;
        let store = Self { _process: process, address };
        let until = Instant::now() + START_TIME_MAX;
        while store.control("GET", "/control/counters", b"").is_err() {
            if Instant::now() > until {
                return Err(io::Error::other("the store did not start"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(store)
    }

    fn control(&self, method: &str, path: &str, body: &[u8]) -> io::Result<http::Head> {
        http::call(self.address, method, path, &[], body, CALL_TIME_MAX)
    }

    /// Writes the operator's configuration; its answer is the acknowledgement.
    pub fn put_config(&self, document: &str) -> io::Result<()> {
        match self.control("PUT", "/control/rows/op/config", document.as_bytes())?.status() {
            200 => Ok(()),
            status => Err(io::Error::other(format!("the store answered {status}"))),
        }
    }
}

impl Store {
    fn act(&self, method: &str, path: &str) -> io::Result<()> {
        self.control(method, path, b"").map(drop)
    }

    /// Takes the copy from which [`Self::restore_copy`] restores the rows.
    pub fn take_copy(&self) -> io::Result<()> {
        self.act("PUT", "/control/copy")
    }

    /// Restores the rows from the copy; the next era begins.
    pub fn restore_copy(&self) -> io::Result<()> {
        self.act("DELETE", "/control/copy")
    }

    /// Returns the row of a host as the store answers it.
    pub fn row(&self, host: &str) -> io::Result<String> {
        let target = format!("/basaltarch/rows-get?table=hosts&part=&from={host}&limit=1");
        let body = http::body_of(self.address, &target, CALL_TIME_MAX)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}

/// A daemon and its addresses.
pub struct Daemon {
    pub process: Process,
    pub addresses: Vec<SocketAddr>,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
}

/// What the platform fills into the settings of one machine.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub service: &'a str,
}

/// Bounds and limits of a small deployment.
const FILLED: [(&str, &str); 7] = [
    ("bounds.graceS", "6"),
    ("bounds.floorShare", "0.7"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetExtraRetries", "56"),
    ("bounds.budgetWindowS", "10"),
    ("limits.maxFds", "4100"),
    ("limits.memoryMb", "260"),
];

/// Removes the sections of the template whose field is not given.
fn remove_sections(mut text: String) -> String {
    while let Some(start) = text.find("{{#") {
        let Some(name_end) = text[start..].find("}}") else { break };
        let name = text[start + 3..start + name_end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let Some(end) = text.find(&close) else { break };
        text.replace_range(start..end + close.len(), "");
    }
    text
}

fn settings(machine: &Machine, addresses: &[SocketAddr], store: SocketAddr) -> io::Result<String> {
    let mut text = remove_sections(fs::read_to_string("deploy/basaltarchd.conf")?);
    let own = [
        ("nodeName", machine.name.to_owned()),
        ("zone", machine.zone.to_owned()),
        ("service", machine.service.to_owned()),
        ("listen.outbound", addresses[0].to_string()),
        ("listen.inbound", addresses[1].to_string()),
        ("listen.ready", addresses[2].to_string()),
        ("listen.control", addresses[3].to_string()),
        ("ip", addresses[4].ip().to_string()),
        ("portRange.0", addresses[4].port().to_string()),
        ("platform.address", store.to_string()),
        ("seeds", String::new()),
    ];
    let filled = FILLED.iter().map(|(name, value)| (*name, (*value).to_owned()));
    for (name, value) in own.into_iter().chain(filled) {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    match text.contains("{{") {
        true => Err(io::Error::other("the template has a field that is not filled")),
        false => Ok(text),
    }
}

impl Daemon {
    /// Number of addresses at which a daemon listens.
    pub const ADDRESSES: usize = 5;

    /// Starts a daemon with the command of the deploy file, at [`Self::ADDRESSES`] addresses.
    pub fn start(
        machine: &Machine,
        addresses: &[SocketAddr],
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let path = folder.join(format!("{}.conf", machine.name));
        fs::write(&path, settings(machine, addresses, store)?)?;
        let mut command = Command::new("target/release/basaltarchd");
        command.env_clear().env("BASALTARCH_CONFIG", &path);
        let process = Process::start(&mut command, machine.name, folder)?;
        Ok(Self {
            process,
            addresses: addresses.to_vec(),
            callers: addresses[0],
            ready: addresses[2],
            control: addresses[3],
        })
    }

    fn is_ready(&self) -> bool {
        let reply = http::call(self.ready, "GET", "/basaltarch/ready", &[], b"", CALL_TIME_MAX);
        reply.is_ok_and(|reply| reply.status() == 200)
    }

    pub fn await_ready(&self) -> io::Result<()> {
        let until = Instant::now() + START_TIME_MAX;
        while !self.is_ready() {
            if Instant::now() > until {
                let log = fs::read_to_string(&self.process.log).unwrap_or_default();
                let last = log.lines().last().unwrap_or("no line in its log");
                let message = format!("{} is not ready: {last}", self.process.name);
                return Err(io::Error::other(message));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}
