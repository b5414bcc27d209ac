// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Pools the connections to one backend server, and checks whether the server still accepts
//! connections.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basaltarch_http::client;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;

/// Timeout for connecting to a backend server of the same host. A connection is expected to take 1
/// ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a check whether a process listens at an address of this host. The check normally
/// takes less than a millisecond, and the ingress waits for its result.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a new connection is checked again. A process that exits closes its sockets one
/// after the other, and the listening socket is not necessarily the first to be closed.
const RECHECK_AFTER: Duration = Duration::from_millis(2);

/// Longest idle time after which a connection is reused. Servers close idle connections after ten
/// seconds or more, and a non-repeatable request that is sent while the server closes the
/// connection is lost.
const IDLE_TIME_MAX: Duration = Duration::from_secs(5);
/// Margin by which a connection is retired before the keep-alive timeout that the server announced:
/// the timeout is in whole seconds, and a request takes time to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1200);

/// Number of requests that may be sent again of which a connection keeps the ids. Few connections
/// carry as many, as most requests succeed.
const RETRYABLE_IDS_MAX: usize = 16;

/// `BackendPool` keeps the open connections to one backend server and limits their number.
pub struct BackendPool {
    address: Cell<SocketAddr>,
    connections_max: Cell<usize>,
    open: Cell<usize>,
    idle: RefCell<Vec<IdleStream>>,
}

/// `IdleStream` is an idle connection, with the time since which the connection has been idle and
/// the time until which the connection may be reused.
struct IdleStream {
    stream: HttpStream,
    idle_since: Instant,
    usable_until: Instant,
    retryable_ids: RetryableIds,
}

/// `RetryableIds` are the ids of the requests that a connection carried and that may be sent again,
/// because the server refused or failed them.
///
/// A second copy of a response may still arrive. If its request were sent again along the same
/// connection, the id would not tell the copy from the response to the later attempt.
#[derive(Debug, Default)]
struct RetryableIds(Vec<Box<[u8]>>);

impl RetryableIds {
    fn contains(&self, id: &[u8]) -> bool {
        self.0.iter().any(|known| **known == *id)
    }

    fn is_full(&self) -> bool {
        self.0.len() >= RETRYABLE_IDS_MAX
    }
}

impl BackendPool {
    /// Builds a pool of at most `connections_max` connections.
    pub fn new(address: SocketAddr, connections_max: usize) -> Self {
        Self {
            address: Cell::new(address),
            connections_max: Cell::new(connections_max),
            open: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Applies a changed address or limit.
    pub fn configure(&self, address: SocketAddr, connections_max: usize) {
        if self.address.replace(address) != address {
            self.close_idle();
        }
        self.connections_max.set(connections_max);
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        let closed_count = self.idle.borrow_mut().drain(..).count();
        self.open.set(self.open.get() - closed_count);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Says whether the address refuses connections, which shows that no process listens at the
    /// address. A connection that could be opened is kept for the next request, in place of the
    /// connection that broke.
    pub async fn is_refused(&self) -> bool {
        if self.open.get() >= self.connections_max.get() {
            return false;
        }
        self.open.set(self.open.get() + 1);
        let mut pooled_stream = self.unopened();
        match HttpStream::connect(pooled_stream.address, CHECK_TIMEOUT).await {
            Ok(mut stream) => {
                monoio::time::sleep(RECHECK_AFTER).await;
                if client::is_reusable(&mut stream) {
                    pooled_stream.stream = Some(stream);
                    pooled_stream.give_back(None);
                    return false;
                }
                is_refusal(HttpStream::connect(pooled_stream.address, CHECK_TIMEOUT).await)
            }
            refused => is_refusal(refused),
        }
    }

    /// Builds a pooled connection that has yet to be opened.
    fn unopened(&self) -> PooledStream<'_> {
        PooledStream {
            pool: self,
            address: self.address.get(),
            stream: None,
            idle_time: None,
            retryable_ids: RetryableIds::default(),
        }
    }

    /// Takes an idle connection that is still usable and did not carry the request of this id
    /// before, or opens a new connection.
    pub async fn take(&self, id: Option<&[u8]>) -> Result<PooledStream<'_>, HttpError> {
        match self.take_idle(id) {
            Some(pooled_stream) => Ok(pooled_stream),
            None => self.connect().await,
        }
    }

    /// Takes the idle connection that was used last, if there is one that is still usable and did
    /// not carry the request of this id before.
    fn take_idle(&self, id: Option<&[u8]>) -> Option<PooledStream<'_>> {
        loop {
            let IdleStream { mut stream, idle_since, usable_until, retryable_ids } =
                self.pop_idle(id)?;
            let now = Instant::now();
            if now < usable_until && client::is_reusable(&mut stream) {
                return Some(PooledStream {
                    pool: self,
                    address: self.address.get(),
                    stream: Some(stream),
                    idle_time: Some(now - idle_since),
                    retryable_ids,
                });
            }
            self.open.set(self.open.get() - 1);
        }
    }

    fn pop_idle(&self, id: Option<&[u8]>) -> Option<IdleStream> {
        let mut idle = self.idle.borrow_mut();
        let is_new_to = |idle: &IdleStream| id.is_none_or(|id| !idle.retryable_ids.contains(id));
        let index = idle.iter().rposition(is_new_to)?;
        Some(idle.remove(index))
    }

    /// Opens a new connection, even if there are idle connections.
    pub async fn connect(&self) -> Result<PooledStream<'_>, HttpError> {
        if self.open.get() >= self.connections_max.get() {
            self.close_idle();
        }
        if self.open.get() >= self.connections_max.get() {
            return Err(HttpError::TimedOut { what: "a free connection" });
        }
        // The connection is counted before it is opened, so that the limit holds while several
        // connections are being opened.
        self.open.set(self.open.get() + 1);
        let mut pooled_stream = self.unopened();
        pooled_stream.stream =
            Some(HttpStream::connect(pooled_stream.address, CONNECT_TIMEOUT).await?);
        Ok(pooled_stream)
    }
}

fn is_refusal(connected: Result<HttpStream, HttpError>) -> bool {
    match connected {
        Err(HttpError::Broken { source }) => source.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// `PooledStream` is a connection in use. A connection that is not given back is closed on drop.
pub struct PooledStream<'a> {
    pool: &'a BackendPool,
    address: SocketAddr,
    stream: Option<HttpStream>,
    idle_time: Option<Duration>,
    retryable_ids: RetryableIds,
}

impl PooledStream<'_> {
    /// Returns for how long the connection had been idle; `None` for a new connection.
    pub fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    /// Returns the HTTP stream of the connection.
    pub fn stream(&mut self) -> &mut HttpStream {
        self.stream.as_mut().unwrap_or_else(|| {
            unreachable!("the stream is taken only when the connection is given back")
        })
    }

    /// Notes that the connection carried the request of this id, which may be sent again.
    pub fn note_retryable(&mut self, id: &[u8]) {
        self.retryable_ids.0.push(id.into());
    }

    /// Returns the connection to the pool after a complete exchange; `keep_alive` is the keep-alive
    /// timeout that the server announced.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let pool = self.pool;
        if pool.address.get() != self.address || self.retryable_ids.is_full() {
            return;
        }
        if let Some(mut stream) = self.stream.take() {
            stream.reader.release();
            let reuse_time = keep_alive
                .map_or(IDLE_TIME_MAX, |timeout| timeout.saturating_sub(KEEP_ALIVE_MARGIN));
            let idle_since = Instant::now();
            let usable_until = idle_since + reuse_time.min(IDLE_TIME_MAX);
            let retryable_ids = std::mem::take(&mut self.retryable_ids);
            let idle_stream = IdleStream { stream, idle_since, usable_until, retryable_ids };
            pool.idle.borrow_mut().push(idle_stream);
            pool.open.set(pool.open.get() + 1);
        }
    }
}

impl Drop for PooledStream<'_> {
    fn drop(&mut self) {
        // `give_back` counts a returned connection a second time, so that a returned connection is
        // still counted once after this decrement.
        self.pool.open.set(self.pool.open.get() - 1);
    }
}
