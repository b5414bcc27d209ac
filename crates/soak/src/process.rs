// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs the programs of the fleet as child processes, which are signalled and killed by their
//! process ids.

use std::cell::RefCell;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use snafu::ResultExt;

use crate::errors::{ProgramSnafu, SoakError};

/// Longest wait for a process to log that it listens, or to end.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the log or the state of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// `ProgramCall` is a program with its arguments and environment variables.
#[derive(Debug, Clone, Default)]
pub struct ProgramCall {
    /// Path of the program.
    pub program: PathBuf,
    /// Command-line arguments.
    pub arguments: Vec<String>,
    /// Environment variables that are set in addition to those of the soak process.
    pub variables: Vec<(&'static str, String)>,
}

/// `SoakProcess` is a child process that logs JSON lines into a file. Dropping the value kills the
/// process.
pub struct SoakProcess {
    /// Name of the process and of its log.
    pub name: String,
    log: PathBuf,
    /// Size of the log, in bytes, when this process was started. The log may hold lines of earlier
    /// processes of the same name.
    log_start_bytes: usize,
    child: RefCell<Child>,
}

impl SoakProcess {
    /// Starts a process, whose output is appended to the log called `name` in `folder`.
    pub fn start(call: &ProgramCall, name: &str, folder: &Path) -> Result<Self, SoakError> {
        let log = log_path(folder, name);
        let log_context = || ProgramSnafu { path: &log };
        let file =
            File::options().create(true).append(true).open(&log).with_context(|_| log_context())?;
        let log_start_bytes = file.metadata().with_context(|_| log_context())?.len() as usize;
        let error_output = file.try_clone().with_context(|_| log_context())?;
        let child = Command::new(&call.program)
            .args(&call.arguments)
            .envs(call.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(error_output)
            .spawn()
            .context(ProgramSnafu { path: &call.program })?;
        Ok(Self { name: name.to_owned(), log, log_start_bytes, child: RefCell::new(child) })
    }

    /// Waits for the line of the log that holds the addresses on which the process listens, and
    /// returns that line.
    pub async fn wait_listening(&self) -> Result<Value, SoakError> {
        let waiting_since = Instant::now();
        while waiting_since.elapsed() < PROCESS_TIMEOUT {
            let bytes = fs::read(&self.log).unwrap_or_default();
            let text =
                String::from_utf8_lossy(bytes.get(self.log_start_bytes..).unwrap_or_default());
            let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
            if let Some(line) = lines.into_iter().find(|line| line["message"] == "listening") {
                return Ok(line);
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Err(SoakError::NotReady { name: self.name.clone(), what: "line `listening`" })
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&self, signal: Signal) {
        if self.is_running() {
            let id = Pid::from_raw(self.child.borrow().id() as i32);
            let _ = signal::kill(id, signal);
        }
    }

    /// Returns whether the process is still running.
    pub fn is_running(&self) -> bool {
        matches!(self.child.borrow_mut().try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        let mut child = self.child.borrow_mut();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Waits until the process ends by itself, or kills the process after `PROCESS_TIMEOUT`.
    pub async fn wait_ended(&self) {
        let waiting_since = Instant::now();
        while self.is_running() && waiting_since.elapsed() < PROCESS_TIMEOUT {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        self.kill();
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of the log of a process.
pub fn log_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.log"))
}

/// Reads the address on which a process listens from a field of a line of its log.
pub fn read_address(line: &Value, field: &'static str) -> Result<SocketAddr, SoakError> {
    let address = line[field].as_str().and_then(|text| text.parse().ok());
    address.ok_or(SoakError::NotReady { name: line.to_string(), what: field })
}
