// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Connections and listeners.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltarch_events::process;
use futures_util::FutureExt;
use monoio::io::{AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use crate::errors::{self, HttpError};
use crate::reader::{ByteReader, HEAD_READ_BYTES};

/// Pause after the system refused to accept, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// `HttpStream` is a connection with its two halves.
#[derive(Debug)]
pub struct HttpStream {
    /// The half that is read.
    pub reader: ByteReader<OwnedReadHalf<TcpStream>>,
    /// The half that is written.
    pub writer: OwnedWriteHalf<TcpStream>,
}

impl HttpStream {
    /// Builds the halves of a connection.
    pub fn new(stream: TcpStream) -> Self {
        // Without this, small messages wait for the other side's acknowledgement.
        let _ = stream.set_nodelay(true);
        let (read, writer) = stream.into_split();
        Self { reader: ByteReader::new(read), writer }
    }

    /// Connects to `address` for no longer than `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, HttpError> {
        match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => Ok(Self::new(stream)),
            Ok(Err(source)) => Err(errors::broken(source)),
            Err(_) => Err(HttpError::TimedOut { what: "a connection" }),
        }
    }
}

/// Bytes of an unread message that are read past after a refusal, so that the other side can read it.
const LINGER_BYTES: usize = 256 * 1024;
/// Longest time of reading past.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Probes without an answer after which the system gives a connection up.
const PROBES_MAX: u32 = 2;

impl HttpStream {
    /// Ends the writing half and reads past what the other side still sends: closing with unread bytes
    /// resets the connection, and the other side might lose the answer (RFC 9112 section 9.6).
    pub async fn linger(&mut self) {
        // A connection that is broken already has nobody left to read.
        let _ = self.writer.shutdown().await;
        let reader = &mut self.reader;
        let reading = async {
            let mut read = reader.buffer.len();
            while read < LINGER_BYTES {
                reader.buffer.clear();
                match reader.fill(HEAD_READ_BYTES).await {
                    Ok(count) if count > 0 => read += count,
                    _ => return,
                }
            }
        };
        let _ = monoio::time::timeout(LINGER_TIME, reading).await;
    }

    /// Connects as [`Self::connect`] does, and lets the system find out that the other side is gone:
    /// it asks after `silence`, and gives the connection up after [`PROBES_MAX`] probes unanswered.
    pub async fn connect_watched(
        address: SocketAddr,
        limit: Duration,
        silence: Duration,
    ) -> Result<Self, HttpError> {
        let stream = match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(result) => result.map_err(errors::broken)?,
            Err(_) => return Err(HttpError::TimedOut { what: "a connection" }),
        };
        let watched = stream.set_tcp_keepalive(Some(silence), Some(silence), Some(PROBES_MAX));
        watched.map_err(errors::broken)?;
        Ok(Self::new(stream))
    }
}

/// Listens on `address`; port 0 lets the system choose.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // Sharing a port between processes would hide that it is taken.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// `ConnectionCount` counts the open connections of a listener.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    /// Returns the number of open connections.
    pub fn get(&self) -> usize {
        self.0.get()
    }
}

/// Accepts connections for ever and runs `serve` on each in a task of its own.
///
/// Connections over `most` are closed at once. A panic in a task ends that connection alone.
pub async fn accept_all<F, Fut>(
    listener: TcpListener,
    most: usize,
    count: ConnectionCount,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                process::AcceptFailed { error: &error.to_string() }.log();
                monoio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if count.get() >= most {
            let address = &address.to_string();
            process::ConnectionRefused { address, allowed: most as u64 }.log();
            continue;
        }
        count.0.set(count.get() + 1);
        let open = count.clone();
        let task = serve(stream, address);
        monoio::spawn(async move {
            guard("connection", task).await;
            open.0.set(open.get() - 1);
        });
    }
}

/// Runs `task` and logs a panic in place of passing it on.
pub async fn guard(what: &'static str, task: impl Future<Output = ()>) {
    let caught = std::panic::AssertUnwindSafe(task).catch_unwind().await;
    if caught.is_err() {
        process::TaskPanicked { what }.log();
    }
}
