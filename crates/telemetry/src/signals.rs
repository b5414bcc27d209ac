// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Signals as bytes on a local pipe, which the runtime waits for as for any other input.

use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::errors::StartError;

/// `SignalStream` gives signals of the system one after another.
pub struct SignalStream {
    receiver: UnixStream,
}

impl SignalStream {
    /// Starts to receive the signal by which a platform asks a process to stop; call it within the runtime.
    pub fn stops() -> Result<Self, StartError> {
        Self::new(&[SIGTERM])
    }

    /// Starts to receive the signal of a person at a terminal.
    pub fn interrupts() -> Result<Self, StartError> {
        Self::new(&[SIGINT])
    }

    /// Starts to receive the signal that asks a process to read its settings again.
    pub fn reloads() -> Result<Self, StartError> {
        Self::new(&[SIGHUP])
    }

    fn new(wanted: &[i32]) -> Result<Self, StartError> {
        let signals = |source| StartError::Signals { source };
        let (receiver, sender) = StdUnixStream::pair().map_err(signals)?;
        receiver.set_nonblocking(true).map_err(signals)?;
        for signal in wanted {
            let end = sender.try_clone().map_err(signals)?;
            pipe::register(*signal, end).map_err(signals)?;
        }
        let receiver = UnixStream::from_std(receiver).map_err(signals)?;
        Ok(Self { receiver })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        let (_, _) = self.receiver.read(vec![0; 1]).await;
    }
}
