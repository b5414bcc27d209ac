// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Receives signals as bytes on a socket pair, which the runtime awaits like any other input.

use std::os::unix::net::UnixStream as StdUnixStream;

use monoio::io::AsyncReadRent;
use monoio::net::UnixStream;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::low_level::pipe;

use crate::errors::StartError;

/// `SignalStream` is a stream of received signals.
pub struct SignalStream {
    receiver: UnixStream,
}

impl SignalStream {
    /// Subscribes to SIGTERM, by which a platform stops a process. Must be called within the
    /// runtime.
    pub fn stops() -> Result<Self, StartError> {
        Self::new(&[SIGTERM])
    }

    /// Subscribes to SIGINT, which an interactive user sends.
    pub fn interrupts() -> Result<Self, StartError> {
        Self::new(&[SIGINT])
    }

    /// Subscribes to SIGHUP, which asks a process to reload its settings.
    pub fn reloads() -> Result<Self, StartError> {
        Self::new(&[SIGHUP])
    }

    fn new(signals: &[i32]) -> Result<Self, StartError> {
        let signals_error = |source| StartError::Signals { source };
        let (receiver, sender) = StdUnixStream::pair().map_err(signals_error)?;
        receiver.set_nonblocking(true).map_err(signals_error)?;
        for signal in signals {
            let writer = sender.try_clone().map_err(signals_error)?;
            pipe::register(*signal, writer).map_err(signals_error)?;
        }
        let receiver = UnixStream::from_std(receiver).map_err(signals_error)?;
        Ok(Self { receiver })
    }

    /// Waits for the next of the subscribed signals.
    pub async fn next(&mut self) {
        let (_, _) = self.receiver.read(vec![0; 1]).await;
    }
}
