// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Connections and listeners.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use basaltarch_decide::eviction::ConnectionStage;
use basaltarch_events::process;
use futures_util::{select_biased, FutureExt};
use monoio::io::{AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use crate::errors::{self, HttpError};
use crate::fault::ConnectionFault;
use crate::reader::{ByteReader, HEAD_READ_BYTES};
use crate::table::{ConnectionEntry, ConnectionTable};
use crate::writer::ByteWriter;

/// Delay between a failed accept, for instance for lack of file descriptors, and the next accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of requests of a connection after which others get their turn, if they were served within
/// [`TURN_TIME`].
const TURN_REQUESTS: u32 = 16;
/// Time for [`TURN_REQUESTS`] of a connection that others need not wait for.
const TURN_TIME: Duration = Duration::from_millis(16);
/// Time for which a connection pauses: the granularity of the runtime's timers.
const PAUSE: Duration = Duration::from_millis(1);
/// Shortest time between two log lines about connections that were refused or evicted.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// `StreamWriter` is the write half of an [`HttpStream`].
pub type StreamWriter = ByteWriter<OwnedWriteHalf<TcpStream>>;

/// `HttpStream` is a connection split into its read and write halves.
#[derive(Debug)]
pub struct HttpStream {
    /// The read half.
    pub reader: ByteReader<OwnedReadHalf<TcpStream>>,
    /// The write half.
    pub writer: StreamWriter,
}

impl HttpStream {
    /// Splits a connection into its halves.
    pub fn new(stream: TcpStream) -> Self {
        // With Nagle's algorithm, small messages would wait for the peer's acknowledgement.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let fault = ConnectionFault::default();
        let writer = ByteWriter::new(write, fault.clone());
        Self { reader: ByteReader::new(read, fault), writer }
    }

    /// Connects to `address` within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, HttpError> {
        match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(Ok(stream)) => Ok(Self::new(stream)),
            Ok(Err(source)) => Err(errors::broken(source)),
            Err(_) => Err(HttpError::TimedOut { what: "a connection" }),
        }
    }
}

/// Maximum number of bytes discarded from an unread message after an early response, so that the
/// peer can read that response.
const LINGER_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Number of discarded bytes after which other connections get their turn.
const LINGER_TURN_BYTES: usize = 256 * 1024;
/// Maximum time spent on discarding input.
const LINGER_TIME_MAX: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keep-alive probes after which the system drops a connection.
const KEEPALIVE_PROBES: u32 = 2;

impl HttpStream {
    /// Shuts down the write half and discards what the peer still sends. Closing a connection with
    /// unread bytes resets it, and the peer might lose the response (RFC 9112 section 9.6).
    pub async fn linger(&mut self) {
        // If the shutdown fails, the connection is already broken and the response can't be read.
        let _ = self.writer.shutdown().await;
        let reader = &mut self.reader;
        let mut discarded_bytes = reader.buffer.len();
        reader.buffer.clear();
        reader.release();
        let reading = async {
            let mut turn_end = LINGER_TURN_BYTES;
            while discarded_bytes < LINGER_BYTES_MAX {
                reader.buffer.clear();
                match reader.fill(HEAD_READ_BYTES).await {
                    Ok(count) if count > 0 => discarded_bytes += count,
                    _ => return,
                }
                if discarded_bytes >= turn_end {
                    turn_end = discarded_bytes + LINGER_TURN_BYTES;
                    pause().await;
                }
            }
        };
        let _ = monoio::time::timeout(LINGER_TIME_MAX, reading).await;
    }

    /// Lingers as [`Self::linger`] does, unless the connection is to make room for another.
    pub async fn linger_unless_evicted(&mut self, entry: &ConnectionEntry) {
        entry.enter(ConnectionStage::Lingering);
        let mut lingering = std::pin::pin!(self.linger().fuse());
        let mut evicted = std::pin::pin!(entry.evicted().fuse());
        select_biased! {
            () = lingering => {}
            () = evicted => {}
        }
    }

    /// Connects as [`Self::connect`] does, with TCP keep-alive: the system sends a probe after each
    /// `probe_interval` without data from the peer, and drops the connection after
    /// [`KEEPALIVE_PROBES`] unanswered probes.
    pub async fn connect_with_keepalive(
        address: SocketAddr,
        limit: Duration,
        probe_interval: Duration,
    ) -> Result<Self, HttpError> {
        let stream = match monoio::time::timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(result) => result.map_err(errors::broken)?,
            Err(_) => return Err(HttpError::TimedOut { what: "a connection" }),
        };
        let keepalive_result = stream.set_tcp_keepalive(
            Some(probe_interval),
            Some(probe_interval),
            Some(KEEPALIVE_PROBES),
        );
        keepalive_result.map_err(errors::broken)?;
        Ok(Self::new(stream))
    }
}

/// Listens on `address`; with port 0 the system chooses the port.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    // Sharing a port between processes would hide that the port is already in use.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts connections forever and runs `serve` on each in its own task.
///
/// While `table` has `max_connections`, each new connection evicts one that stands still; if none
/// does, the new connection is closed at once. A panic in a task ends only its own connection.
pub async fn accept_all<F, Fut>(
    listener: TcpListener,
    max_connections: usize,
    table: ConnectionTable,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr, Rc<ConnectionEntry>) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let mut refusals = RefusalLog::default();
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                process::AcceptFailed { error: &error.to_string() }.log();
                monoio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let has_room = table.make_room(max_connections).await;
        refusals.note(has_room, address, &table, max_connections);
        if !has_room {
            continue;
        }
        let guard = table.insert();
        let task = serve(stream, address, guard.entry());
        monoio::spawn(async move {
            catch_panics("connection", task).await;
            drop(guard);
        });
    }
}

/// `RefusalLog` logs the connections that a listener refused and evicted, at most once in
/// [`REFUSAL_LOG_INTERVAL`].
#[derive(Debug, Default)]
struct RefusalLog {
    refused: u64,
    evicted_before: u64,
    logged_at: Option<Instant>,
}

impl RefusalLog {
    /// Notes whether a connection was accepted.
    fn note(
        &mut self,
        was_accepted: bool,
        address: SocketAddr,
        table: &ConnectionTable,
        allowed: usize,
    ) {
        self.refused += u64::from(!was_accepted);
        let evicted = table.evicted_count() - self.evicted_before;
        let is_due = self.logged_at.is_none_or(|at| at.elapsed() >= REFUSAL_LOG_INTERVAL);
        if !is_due || self.refused + evicted == 0 {
            return;
        }
        let (address, refused) = (&address.to_string(), self.refused);
        process::ConnectionRefused { address, refused, evicted, allowed: allowed as u64 }.log();
        self.logged_at = Some(Instant::now());
        self.refused = 0;
        self.evicted_before = table.evicted_count();
    }
}

/// `ConnectionTurn` keeps a connection from being served without a pause for as long as its client
/// sends. The runtime looks at other connections and at timers only between two pauses of its tasks,
/// and a read of bytes that have arrived is no pause.
#[derive(Debug)]
pub struct ConnectionTurn {
    began: Instant,
    requests: u32,
}

impl Default for ConnectionTurn {
    fn default() -> Self {
        Self { began: Instant::now(), requests: 0 }
    }
}

impl ConnectionTurn {
    /// Notes that a request was served, and pauses if many were served just now.
    pub async fn end_request(&mut self) {
        self.requests += 1;
        if self.requests < TURN_REQUESTS {
            return;
        }
        if self.began.elapsed() < TURN_TIME {
            pause().await;
        }
        *self = Self::default();
    }
}

/// Lets all other connections and timers that are ready have their turn.
pub async fn pause() {
    monoio::time::sleep(PAUSE).await;
}

/// Runs `task`, and catches and logs a panic instead of propagating it.
pub async fn catch_panics(what: &'static str, task: impl Future<Output = ()>) {
    let panic_result = std::panic::AssertUnwindSafe(task).catch_unwind().await;
    if panic_result.is_err() {
        process::TaskPanicked { what }.log();
    }
}
