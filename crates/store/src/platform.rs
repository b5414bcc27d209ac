// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The client of the platform's table, object store and host list.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basaltarch_http::client::{ClientReply, HttpClient};
use basaltarch_http::errors::HttpError;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::errors::StoreError;
use crate::wire::{
    self, ConflictReply, HostList, ReadRequest, RowCheck, RowWrite, RowsReply, ScanRequest,
    TableRow, TransactReply, TransactRequest,
};

/// Longest time of one call; the platform answers in a few milliseconds when it is well.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// First pause after a failed call.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls in a row.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// `CallBudget` bounds the calls of one process a second.
#[derive(Debug)]
struct CallBudget {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
}

impl CallBudget {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate.max(1.0), filled_at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let elapsed = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// `PlatformClient` talks to the platform. Every call is bounded in time and number.
#[derive(Debug)]
pub struct PlatformClient {
    client: HttpClient,
    reads: RefCell<CallBudget>,
    writes: RefCell<CallBudget>,
}

impl PlatformClient {
    /// Builds a client that makes at most so many reads and writes a second.
    pub fn new(address: SocketAddr, reads: f64, writes: f64) -> Self {
        Self {
            client: HttpClient::new(address, CALL_TIMEOUT),
            reads: RefCell::new(CallBudget::new(reads)),
            writes: RefCell::new(CallBudget::new(writes)),
        }
    }

    /// Runs a transaction and returns its number.
    pub async fn transact(
        &self,
        checks: Vec<RowCheck>,
        writes: Vec<RowWrite>,
    ) -> Result<u64, StoreError> {
        if !self.writes.borrow_mut().take() {
            return Err(StoreError::OverBudget);
        }
        let request = TransactRequest { checks, writes };
        let reply = self.post(wire::TRANSACT_PATH, &request).await?;
        if reply.status == StatusCode::CONFLICT {
            let conflict: ConflictReply = parse(&reply)?;
            return Err(StoreError::Conflict { rows: conflict.conflicts });
        }
        let reply: TransactReply = parse(&accepted(reply)?)?;
        Ok(reply.version)
    }

    /// Reads the rows with these keys; rows that do not exist are left out.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<TableRow>, StoreError> {
        self.take_read()?;
        let reply = self.post(wire::READ_PATH, &ReadRequest { keys }).await?;
        let reply: RowsReply = parse(&accepted(reply)?)?;
        Ok(reply.rows)
    }

    /// Reads rows of a prefix in the order of their keys.
    pub async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, StoreError> {
        self.take_read()?;
        let request = ScanRequest { prefix: prefix.to_owned(), after: after.to_owned(), limit };
        let reply = self.post(wire::SCAN_PATH, &request).await?;
        let reply: RowsReply = parse(&accepted(reply)?)?;
        Ok(reply.rows)
    }

    /// Reads the host list.
    pub async fn hosts(&self) -> Result<HostList, StoreError> {
        self.take_read()?;
        let reply = self.call(Method::GET, wire::HOSTS_PATH, Bytes::new()).await?;
        parse(&accepted(reply)?)
    }

    /// Writes an object.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), StoreError> {
        if !self.writes.borrow_mut().take() {
            return Err(StoreError::OverBudget);
        }
        let target = format!("{}{name}", wire::OBJECTS_PATH);
        let reply = self.call(Method::PUT, &target, content).await?;
        accepted(reply).map(drop)
    }

    /// Reads an object, if there is one.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.take_read()?;
        let target = format!("{}{name}", wire::OBJECTS_PATH);
        let reply = self.call(Method::GET, &target, Bytes::new()).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(accepted(reply)?.body))
    }

    fn take_read(&self) -> Result<(), StoreError> {
        if self.reads.borrow_mut().take() {
            Ok(())
        } else {
            Err(StoreError::OverBudget)
        }
    }

    async fn post(&self, target: &str, body: &impl Serialize) -> Result<ClientReply, StoreError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| StoreError::Unreachable { message: error.to_string() })?;
        self.call(Method::POST, target, Bytes::from(body)).await
    }

    async fn call(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
    ) -> Result<ClientReply, StoreError> {
        let result = self.client.call(method, target, HeaderMap::new(), body).await;
        result.map_err(|error| match error {
            HttpError::Broken { ref source }
                if source.kind() == std::io::ErrorKind::ConnectionRefused =>
            {
                StoreError::Unreachable { message: error.to_string() }
            }
            other => StoreError::AnswerLost { message: other.to_string() },
        })
    }
}

fn accepted(reply: ClientReply) -> Result<ClientReply, StoreError> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    Err(StoreError::Refused { status: reply.status.as_u16() })
}

fn parse<T: DeserializeOwned>(reply: &ClientReply) -> Result<T, StoreError> {
    serde_json::from_slice(&reply.body)
        .map_err(|error| StoreError::Malformed { message: error.to_string() })
}

/// `RetryPause` spaces calls after failures, doubling and jittered, so that a fleet does not come
/// back all at once.
#[derive(Debug, Clone, Copy)]
pub struct RetryPause {
    current: Duration,
    most: Duration,
}

impl Default for RetryPause {
    fn default() -> Self {
        Self::up_to(PAUSE_MAX)
    }
}

impl RetryPause {
    /// Builds pauses of at most `most`.
    pub fn up_to(most: Duration) -> Self {
        Self { current: PAUSE_MIN, most }
    }

    /// Returns the next pause: between half and all of a time that doubles.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.current.mul_f64(rand::random_range(0.5..=1.0));
        self.current = (self.current * 2).min(self.most);
        pause
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.current = PAUSE_MIN;
    }
}
