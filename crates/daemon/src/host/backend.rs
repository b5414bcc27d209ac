// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Connections to one backend server, and the HTTP exchange over one of them.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basaltarch_http::client;
use basaltarch_http::connection::HttpStream;
use basaltarch_http::errors::HttpError;

/// Longest time for a connection to a backend server of the same host (the brief's cost is 1 ms).
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time of a look whether anything listens: a host answers its own processes within a
/// millisecond, and the ingress waits for the outcome.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after which a connection that could be made is looked at: a process that ends closes its sockets one
/// after the other, and the one that it listens on need not be the first.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(2);

/// Longest rest after which a connection is used again: servers close idle ones after ten seconds and
/// more, and a request that meets such a close is lost if it must not be repeated.
const REST_MAX: Duration = Duration::from_secs(5);
/// Time before the end of the rest that a server names in which a connection is not used: its seconds
/// are whole, and a request takes time to arrive.
const REST_MARGIN: Duration = Duration::from_millis(1200);

/// `BackendPool` keeps connections to one backend server.
pub struct BackendPool {
    address: Cell<SocketAddr>,
    most: Cell<usize>,
    open: Cell<usize>,
    idle: RefCell<Vec<RestingStream>>,
}

/// `RestingStream` is a kept connection with the time until which it can be trusted.
struct RestingStream {
    stream: HttpStream,
    good_until: Instant,
}

impl BackendPool {
    /// Builds a pool of at most `most` connections.
    pub fn new(address: SocketAddr, most: usize) -> Self {
        Self {
            address: Cell::new(address),
            most: Cell::new(most),
            open: Cell::new(0),
            idle: RefCell::default(),
        }
    }

    /// Takes a changed address or bound over.
    pub fn configure(&self, address: SocketAddr, most: usize) {
        if self.address.replace(address) != address {
            self.clear();
        }
        self.most.set(most);
    }

    /// Closes the connections at rest.
    pub fn clear(&self) {
        let closed = self.idle.borrow_mut().drain(..).count();
        self.open.set(self.open.get() - closed);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Says whether nothing listens at the address. A connection that can be made is kept for the next
    /// request, in place of one that broke.
    pub async fn is_refused(&self) -> bool {
        if self.open.get() >= self.most.get() {
            return false;
        }
        self.open.set(self.open.get() + 1);
        let mut pooled = PooledStream { pool: self, address: self.address.get(), stream: None };
        match HttpStream::connect(pooled.address, CHECK_TIMEOUT).await {
            Ok(mut stream) => {
                monoio::time::sleep(LOOK_AGAIN_AFTER).await;
                if client::is_quiet(&mut stream) {
                    pooled.stream = Some(stream);
                    pooled.give_back(None);
                    return false;
                }
                is_refusal(HttpStream::connect(pooled.address, CHECK_TIMEOUT).await)
            }
            refused => is_refusal(refused),
        }
    }

    /// Takes a kept connection that is still good, or makes one.
    pub async fn take(&self) -> Result<PooledStream<'_>, HttpError> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            let RestingStream { mut stream, good_until } = match kept {
                Some(resting) => resting,
                None => break,
            };
            if Instant::now() < good_until && client::is_quiet(&mut stream) {
                return Ok(PooledStream {
                    pool: self,
                    address: self.address.get(),
                    stream: Some(stream),
                });
            }
            self.open.set(self.open.get() - 1);
        }
        if self.open.get() >= self.most.get() {
            return Err(HttpError::TimedOut { what: "a free connection" });
        }
        // Counted before it is made, so that the bound holds while several are being made.
        self.open.set(self.open.get() + 1);
        let mut pooled = PooledStream { pool: self, address: self.address.get(), stream: None };
        pooled.stream = Some(HttpStream::connect(pooled.address, CONNECT_TIMEOUT).await?);
        Ok(pooled)
    }
}

fn is_refusal(connected: Result<HttpStream, HttpError>) -> bool {
    match connected {
        Err(HttpError::Broken { source }) => source.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// `PooledStream` is a connection in use; unless given back, it is closed.
pub struct PooledStream<'a> {
    pool: &'a BackendPool,
    address: SocketAddr,
    stream: Option<HttpStream>,
}

impl PooledStream<'_> {
    /// Returns the connection.
    pub fn stream(&mut self) -> &mut HttpStream {
        self.stream.as_mut().unwrap_or_else(|| unreachable!("set until given back"))
    }

    /// Gives the connection back after a clean exchange; `rest` is how long the server says it keeps
    /// it open.
    pub fn give_back(mut self, rest: Option<Duration>) {
        let pool = self.pool;
        if pool.address.get() != self.address {
            return;
        }
        if let Some(mut stream) = self.stream.take() {
            stream.reader.release();
            let trusted = rest.map_or(REST_MAX, |rest| rest.saturating_sub(REST_MARGIN));
            let good_until = Instant::now() + trusted.min(REST_MAX);
            pool.idle.borrow_mut().push(RestingStream { stream, good_until });
            pool.open.set(pool.open.get() + 1);
        }
    }
}

impl Drop for PooledStream<'_> {
    fn drop(&mut self) {
        // A connection that was given back was counted once more there.
        self.pool.open.set(self.pool.open.get() - 1);
    }
}
