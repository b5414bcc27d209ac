// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Runs the programs as child processes, which are signalled and killed by their process ids.

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
    /// Environment variables, in addition to those of the soak.
    pub variables: Vec<(&'static str, String)>,
}

/// `SoakProcess` is a process that logs JSON lines into a file; it is killed when dropped.
pub struct SoakProcess {
    /// Name of the process and of its log.
    pub name: String,
    log: PathBuf,
    /// Size of the log, in bytes, when this process was started.
    log_from: usize,
    child: RefCell<Child>,
}

impl SoakProcess {
    /// Starts a process that appends to the log of its name in `folder`.
    pub fn start(call: &ProgramCall, name: &str, folder: &Path) -> Result<Self, SoakError> {
        let log = log_path(folder, name);
        let path = || ProgramSnafu { path: &log };
        let file = File::options().create(true).append(true).open(&log).with_context(|_| path())?;
        let log_from = file.metadata().with_context(|_| path())?.len() as usize;
        let errors = file.try_clone().with_context(|_| path())?;
        let child = Command::new(&call.program)
            .args(&call.arguments)
            .envs(call.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .context(ProgramSnafu { path: &call.program })?;
        Ok(Self { name: name.to_owned(), log, log_from, child: RefCell::new(child) })
    }

    /// Waits for the line of the log that holds the addresses on which the process listens.
    pub async fn wait_listening(&self) -> Result<Value, SoakError> {
        let begun = Instant::now();
        while begun.elapsed() < PROCESS_TIMEOUT {
            let bytes = fs::read(&self.log).unwrap_or_default();
            let text = String::from_utf8_lossy(bytes.get(self.log_from..).unwrap_or_default());
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

    /// Waits until the process ends by itself; kills it after the time-out.
    pub async fn wait_ended(&self) {
        let begun = Instant::now();
        while self.is_running() && begun.elapsed() < PROCESS_TIMEOUT {
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

/// Reads one of the addresses on which a process listens from the line of the log that holds them.
pub fn address_in(line: &Value, field: &'static str) -> Result<SocketAddr, SoakError> {
    let address = line[field].as_str().and_then(|text| text.parse().ok());
    address.ok_or(SoakError::NotReady { name: line.to_string(), what: field })
}
